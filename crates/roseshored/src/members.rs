//! Runs the membership protocol: sends and receives heartbeats and reads the platform's host list.
//!
//! Three threads share the membership state: one receives heartbeats, one sends them and advances
//! the timers, one reads the host list. The state machine is [`roseshore_core::membership`].

use crate::app::Drain;
use crate::event;
use parking_lot::Mutex;
use roseshore_core::membership::{
    Change, Heartbeat, ListedHost, MemberDigest, Membership, Settings,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, Member, MemberState, Members};
use roseshore_ports::outside::{Datagrams, HostList, ReceivedDatagram};
use roseshore_wire::frame::MAX_DATAGRAM;
use roseshore_wire::peer::{Datagram, LoadReport, TargetLoad};
use roseshore_wire::platform::{HostState, Hosts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{io, thread};

/// Longest blocking wait of a thread before it checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queues of outgoing and of received load reports.
const MAX_QUEUED_REPORTS: usize = 4096;
/// Bytes of a datagram reserved for the heartbeat itself.
const HEARTBEAT_BYTES: usize = 200;

/// Dependencies and settings of a [`MemberDriver`].
pub struct MemberConfig {
    /// This daemon's heartbeat; offset, digest and sequence are filled in before each send.
    pub own: Heartbeat,
    /// The address on which it receives peers' datagrams.
    pub peer: SocketAddr,
    /// Peers from the settings, used until the host list has been read.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the membership protocol.
    pub settings: Settings,
    /// Time between two reads of the host list.
    pub list_interval: Duration,
    /// The socket at `peer`.
    pub socket: Arc<dyn Datagrams>,
    /// The platform's host list.
    pub list: Arc<dyn HostList>,
    /// The configuration in force.
    pub fleets: Arc<dyn ConfigSource>,
    /// Whether this daemon takes no new work.
    pub drain: Arc<Drain>,
}

/// Load reports received from a peer in one heartbeat.
#[derive(Clone, Debug)]
pub struct PeerReports {
    /// When the heartbeat arrived.
    pub received_at: Instant,
    /// The reports; their ages count back from `received_at`.
    pub notes: Vec<TargetLoad>,
}

/// A load report to send to the peers.
#[derive(Clone, Debug)]
pub struct LocalReport {
    /// When the target was polled; the age of the report is computed from it on sending.
    pub seen: Instant,
    /// What the target reported.
    pub content: LoadReport,
    /// Whether to send it at once instead of with the next regular heartbeat.
    pub urgent: bool,
}

/// This daemon's view of the other daemons, and the threads that maintain it.
pub struct MemberDriver {
    view: Mutex<Membership>,
    socket: Arc<dyn Datagrams>,
    list: Arc<dyn HostList>,
    fleets: Arc<dyn ConfigSource>,
    drain: Arc<Drain>,
    outbox: flume::Sender<LocalReport>,
    inbox: flume::Receiver<PeerReports>,
    joined: AtomicBool,
    stopped: AtomicBool,
}

impl MemberDriver {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(config: MemberConfig) -> io::Result<Arc<MemberDriver>> {
        let MemberConfig { own, peer, seeds, settings, list_interval, socket, list, fleets, drain } =
            config;
        let view = Mutex::new(Membership::new(own, peer, seeds, settings, Instant::now()));
        let (outbox, queued) = flume::bounded(MAX_QUEUED_REPORTS);
        let (received_reports, inbox) = flume::bounded(MAX_QUEUED_REPORTS);
        let driver = Arc::new(MemberDriver {
            view,
            socket,
            list,
            fleets,
            drain,
            outbox,
            inbox,
            joined: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let (a, b, c) = (driver.clone(), driver.clone(), driver.clone());
        spawn("members-hear", move || a.receive_loop(&received_reports))?;
        spawn("members-beat", move || b.send_loop(&queued))?;
        spawn("members-list", move || c.host_list_loop(list_interval))?;
        Ok(driver)
    }

    /// Tells the threads to stop, without joining them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Queues a report for the next heartbeat; when the queue is full, drops and counts it.
    pub fn queue_report(&self, report: LocalReport) {
        if self.outbox.try_send(report).is_err() {
            metrics::counter!("roseshore_notes_dropped_total").increment(1);
        }
    }

    /// Receiver of the reports from peers; all receivers share one queue.
    pub fn peer_reports(&self) -> flume::Receiver<PeerReports> {
        self.inbox.clone()
    }

    /// Whether a daemon has joined since the last call and therefore needs full reports.
    pub fn take_joined(&self) -> bool {
        self.joined.swap(false, Ordering::SeqCst)
    }

    /// Whether the view may be incomplete, so that this daemon cannot tell which others are alive.
    pub fn stale(&self) -> bool {
        self.view.lock().stale(Instant::now())
    }

    /// This daemon's rank in the rendezvous order for a subject.
    pub fn rank(&self, subject: &str) -> Option<usize> {
        self.view.lock().place(subject)
    }

    /// The interval between heartbeats.
    pub fn period(&self) -> Duration {
        self.view.lock().period()
    }

    /// Daemons of other data centres that are in the host list or not gone.
    pub fn remote_members(&self) -> Vec<Member> {
        self.view.lock().remote()
    }

    /// The membership digest to send to other data centres.
    pub fn digest(&self) -> Vec<MemberDigest> {
        self.view.lock().digest(Instant::now())
    }

    /// Applies the membership digest of another data centre.
    pub fn apply_digest(&self, members: Vec<MemberDigest>) {
        let changes = self.view.lock().on_digest(members, Instant::now());
        self.log_changes(&changes);
    }

    fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn receive_loop(&self, received_reports: &flume::Sender<PeerReports>) {
        while self.running() {
            if let Some(received) = self.socket.receive(STOP_CHECK_INTERVAL) {
                self.handle_datagram(received, received_reports);
            }
        }
    }

    fn handle_datagram(
        &self,
        received: ReceivedDatagram,
        received_reports: &flume::Sender<PeerReports>,
    ) {
        let received_at = Instant::now();
        let Datagram::Beat { heartbeat, notes } = received.datagram;
        let result = self.view.lock().on_heartbeat(received.from, heartbeat, received_at);
        match result {
            Ok(changes) => {
                self.log_changes(&changes);
                if !notes.is_empty()
                    && received_reports.try_send(PeerReports { received_at, notes }).is_err()
                {
                    metrics::counter!("roseshore_notes_dropped_total").increment(1);
                }
            }
            Err(reason) => {
                let counter =
                    metrics::counter!("roseshore_datagrams_ignored_total", "why" => reason.name());
                counter.increment(1);
            }
        }
    }

    fn send_loop(&self, outbox: &flume::Receiver<LocalReport>) {
        let mut next = Instant::now();
        let mut draining = false;
        let mut waiting = Vec::new();
        while self.running() {
            let changes = self.view.lock().tick(Instant::now());
            self.log_changes(&changes);
            let drain_started = self.drain.draining() != draining;
            draining = self.drain.draining();
            let now = Instant::now();
            if drain_started || now >= next {
                next = now + self.period();
                waiting.extend(outbox.drain());
                self.send_heartbeat(std::mem::take(&mut waiting));
            }
            let wait = next.saturating_duration_since(now).min(STOP_CHECK_INTERVAL);
            if let Ok(report) = outbox.recv_timeout(wait) {
                let urgent = report.urgent;
                waiting.push(report);
                if urgent {
                    self.send_heartbeat(std::mem::take(&mut waiting));
                }
            }
        }
    }

    fn send_heartbeat(&self, reports: Vec<LocalReport>) {
        let now = Instant::now();
        let addrs = self.view.lock().heartbeat_addrs();
        for notes in split(reports.into_iter().map(|report| report.into_wire(now))) {
            let heartbeat = self.heartbeat();
            let datagram = Datagram::Beat { heartbeat, notes };
            for peer in &addrs {
                if let Err(e) = self.socket.send(*peer, &datagram) {
                    log::debug!("cannot send heartbeat to `{peer}`: {e}");
                }
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let config = self.fleets.current();
        let (offset, digest) = config.map_or((0, 0), |f| (f.offset, f.digest));
        self.view.lock().next_heartbeat(self.drain.draining(), offset, digest)
    }

    fn host_list_loop(&self, period: Duration) {
        while self.running() {
            match self.list.hosts() {
                Ok(hosts) => self.apply_host_list(hosts),
                Err(e) => {
                    metrics::counter!("roseshore_host_list_failed_total").increment(1);
                    log::debug!("cannot read the host list: {e}");
                }
            }
            thread::sleep(period);
        }
    }

    fn apply_host_list(&self, list: Hosts) {
        let hosts = list.hosts.into_iter().map(|h| ListedHost {
            host: h.host,
            data_centre: h.data_centre,
            peer: h.peer,
            leaving: h.state == HostState::Leaving,
        });
        let mut view = self.view.lock();
        let before = view.leaving_targets();
        let changes = view.on_host_list(list.version, hosts.collect(), Instant::now());
        let leaving = view.leaving_targets();
        drop(view);
        for host in leaving.difference(&before) {
            event!(Event::TargetLeft, "host={host} state=leaving");
        }
        self.log_changes(&changes);
    }

    fn log_changes(&self, changes: &[Change]) {
        for change in changes {
            let (event, text) = match change.to {
                MemberState::Alive => (Event::HostJoined, "alive"),
                MemberState::Suspect => (Event::HostSuspected, "suspected"),
                MemberState::Leaving => (Event::HostLeaving, "leaving"),
                MemberState::Gone => (Event::HostGone, "gone"),
            };
            event!(event, "host={} state={text}", change.host);
            if change.to == MemberState::Alive {
                self.joined.store(true, Ordering::SeqCst);
            }
        }
    }
}

impl Members for MemberDriver {
    fn own(&self) -> Member {
        self.view.lock().own()
    }

    fn all(&self) -> Vec<Member> {
        self.view.lock().all()
    }

    fn ranked(&self, subject: &str) -> Vec<Member> {
        self.view.lock().ranked(subject)
    }

    fn leaving(&self, host: &HostId) -> bool {
        self.view.lock().leaving(host)
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(body).map(drop)
}

impl LocalReport {
    fn into_wire(self, now: Instant) -> TargetLoad {
        let age_ms = now.saturating_duration_since(self.seen).as_millis() as u32;
        TargetLoad { age_ms, content: self.content }
    }
}

/// Splits reports into groups that each fit a datagram. Returns at least one group, which may be
/// empty, so that a heartbeat is sent even without reports.
fn split(notes: impl Iterator<Item = TargetLoad>) -> Vec<Vec<TargetLoad>> {
    let mut groups = vec![Vec::new()];
    let mut used = 0;
    for note in notes {
        let size = roseshore_wire::frame::encode(&note, usize::MAX).map_or(0, |b| b.len());
        if used + size > MAX_DATAGRAM - HEARTBEAT_BYTES && used > 0 {
            groups.push(Vec::new());
            used = 0;
        }
        used += size;
        groups.last_mut().expect("at least one group").push(note);
    }
    groups
}
