//! Drives the membership: heartbeats out and in, and the platform's host list.
//!
//! Three threads share the view: one receives, one sends and lets time pass, one reads the host
//! list. Decisions are in [`roseshore_core::membership`].

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

/// The longest wait of a thread before it looks whether it should end.
const LOOK: Duration = Duration::from_millis(100);
/// Notes that may wait for the next heartbeat.
const MAX_NOTES: usize = 4096;
/// Bytes of a datagram kept free for the heartbeat itself.
const BEAT_BYTES: usize = 200;

/// What the driver needs.
pub struct MemberConfig {
    /// This daemon; its offset, digest and sequence are filled in.
    pub own: Heartbeat,
    /// Where it hears peers.
    pub peer: SocketAddr,
    /// Peers known from settings.
    pub seeds: Vec<SocketAddr>,
    /// The bounds.
    pub settings: Settings,
    /// Between readings of the host list.
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

/// Reports that came from a peer.
#[derive(Clone, Debug)]
pub struct PeerReports {
    /// When the heartbeat that carried them arrived.
    pub received_at: Instant,
    /// The reports.
    pub notes: Vec<TargetLoad>,
}

/// A report for the peers.
#[derive(Clone, Debug)]
pub struct LocalReport {
    /// When the target was polled; its age is worked out when it is sent.
    pub seen: Instant,
    /// What it said.
    pub content: LoadReport,
    /// Whether it cannot wait for the next heartbeat.
    pub urgent: bool,
}

/// The daemons, as this one sees them.
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
    pub fn start(parts: MemberConfig) -> io::Result<Arc<MemberDriver>> {
        let MemberConfig { own, peer, seeds, settings, list_interval, socket, list, fleets, drain } =
            parts;
        let view = Mutex::new(Membership::new(own, peer, seeds, settings, Instant::now()));
        let (outbox, notes) = flume::bounded(MAX_NOTES);
        let (tell, inbox) = flume::bounded(MAX_NOTES);
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
        spawn("members-hear", move || a.hear(&tell))?;
        spawn("members-beat", move || b.send(&notes))?;
        spawn("members-list", move || c.read_list(list_interval))?;
        Ok(driver)
    }

    /// Ends the threads, without waiting for them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Sends a report with the next heartbeat; it is dropped if too many wait.
    pub fn queue_report(&self, fresh: LocalReport) {
        if self.outbox.try_send(fresh).is_err() {
            metrics::counter!("roseshore_notes_dropped_total").increment(1);
        }
    }

    /// Reports told by peers.
    pub fn peer_reports(&self) -> flume::Receiver<PeerReports> {
        self.inbox.clone()
    }

    /// Whether a daemon joined since the last call, so that it needs whole reports.
    pub fn take_joined(&self) -> bool {
        self.joined.swap(false, Ordering::SeqCst)
    }

    /// Whether this daemon may not know yet who else lives.
    pub fn stale(&self) -> bool {
        self.view.lock().stale(Instant::now())
    }

    /// This daemon's place in the order for a subject.
    pub fn place(&self, subject: &str) -> Option<usize> {
        self.view.lock().place(subject)
    }

    /// The time between heartbeats.
    pub fn period(&self) -> Duration {
        self.view.lock().period()
    }

    /// The daemons of other data centres that are listed or not gone.
    pub fn remote_members(&self) -> Vec<Member> {
        self.view.lock().far()
    }

    /// The digest for other data centres.
    pub fn digest(&self) -> Vec<MemberDigest> {
        self.view.lock().digest(Instant::now())
    }

    /// Takes the digest of another data centre.
    pub fn take_digest(&self, notes: Vec<MemberDigest>) {
        let changes = self.view.lock().on_digest(notes, Instant::now());
        self.report(&changes);
    }

    fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn hear(&self, tell: &flume::Sender<PeerReports>) {
        while self.running() {
            if let Some(received) = self.socket.receive(LOOK) {
                self.take(received, tell);
            }
        }
    }

    fn take(&self, received: ReceivedDatagram, tell: &flume::Sender<PeerReports>) {
        let received_at = Instant::now();
        let Datagram::Beat { heartbeat, notes } = received.datagram;
        let heard = self.view.lock().on_heartbeat(received.from, heartbeat, received_at);
        match heard {
            Ok(changes) => {
                self.report(&changes);
                if !notes.is_empty() && tell.try_send(PeerReports { received_at, notes }).is_err() {
                    metrics::counter!("roseshore_notes_dropped_total").increment(1);
                }
            }
            Err(why) => {
                let counter =
                    metrics::counter!("roseshore_datagrams_ignored_total", "why" => why.name());
                counter.increment(1);
            }
        }
    }

    fn send(&self, outbox: &flume::Receiver<LocalReport>) {
        let mut next = Instant::now();
        let mut draining = false;
        let mut waiting = Vec::new();
        while self.running() {
            let changes = self.view.lock().tick(Instant::now());
            self.report(&changes);
            let began = self.drain.draining() != draining;
            draining = self.drain.draining();
            let now = Instant::now();
            if began || now >= next {
                next = now + self.period();
                waiting.extend(outbox.drain());
                self.beat(std::mem::take(&mut waiting));
            }
            let wait = next.saturating_duration_since(now).min(LOOK);
            if let Ok(fresh) = outbox.recv_timeout(wait) {
                let urgent = fresh.urgent;
                waiting.push(fresh);
                if urgent {
                    self.beat(std::mem::take(&mut waiting));
                }
            }
        }
    }

    fn beat(&self, fresh: Vec<LocalReport>) {
        let now = Instant::now();
        let audience = self.view.lock().heartbeat_addrs();
        for notes in split(fresh.into_iter().map(|f| f.note(now))) {
            let heartbeat = self.heartbeat();
            let datagram = Datagram::Beat { heartbeat, notes };
            for peer in &audience {
                if let Err(e) = self.socket.send(*peer, &datagram) {
                    log::debug!("heartbeat to `{peer}`: {e}");
                }
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let known = self.fleets.current();
        let (offset, digest) = known.map_or((0, 0), |f| (f.offset, f.digest));
        self.view.lock().beat(self.drain.draining(), offset, digest)
    }

    fn read_list(&self, period: Duration) {
        while self.running() {
            match self.list.hosts() {
                Ok(hosts) => self.take_list(hosts),
                Err(e) => {
                    metrics::counter!("roseshore_host_list_failed_total").increment(1);
                    log::debug!("host list: {e}");
                }
            }
            thread::sleep(period);
        }
    }

    fn take_list(&self, list: Hosts) {
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
        self.report(&changes);
    }

    fn report(&self, changes: &[Change]) {
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
    fn note(self, now: Instant) -> TargetLoad {
        let age_ms = now.saturating_duration_since(self.seen).as_millis() as u32;
        TargetLoad { age_ms, content: self.content }
    }
}

/// Splits notes so that each part fits a datagram; there is always at least one part.
fn split(notes: impl Iterator<Item = TargetLoad>) -> Vec<Vec<TargetLoad>> {
    let mut parts = vec![Vec::new()];
    let mut used = 0;
    for note in notes {
        let size = roseshore_wire::frame::encode(&note, usize::MAX).map_or(0, |b| b.len());
        if used + size > MAX_DATAGRAM - BEAT_BYTES && used > 0 {
            parts.push(Vec::new());
            used = 0;
        }
        used += size;
        parts.last_mut().expect("one part at least").push(note);
    }
    parts
}
