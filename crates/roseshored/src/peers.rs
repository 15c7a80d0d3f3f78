//! Exchanges digests of members and load with the other data centres.
//!
//! [`roseshore_core::membership::DigestSchedule`] decides which daemon calls which;
//! this driver sends the digests and relays received ones within its own data centre. No other
//! thread waits for it, so an unreachable data centre delays nothing else.

mod summary;

pub use summary::summarise;

use crate::members::MemberDriver;
use parking_lot::Mutex;
use roseshore_core::membership::{DigestCall, DigestSchedule, Settings};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{MemberState, Members, PeerHandler, ReportStore};
use roseshore_ports::outside::Peers;
use roseshore_wire::peer::{Digest, PeerReply, PeerRequest, Summary};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{io, thread};

/// Interval between checks for due exchanges and for digests to relay.
const TICK: Duration = Duration::from_millis(100);
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Batches of received digests that may wait to be relayed.
const MAX_QUEUED_BATCHES: usize = 64;

/// Dependencies and settings of a [`PeerDriver`].
pub struct PeerConfig {
    /// The view of the daemons.
    pub members: Arc<MemberDriver>,
    /// Connections to the peers.
    pub peers: Arc<dyn Peers>,
    /// Load reports of the targets in this data centre.
    pub reports: Arc<dyn ReportStore>,
    /// The membership settings, which also set how often digests are exchanged.
    pub settings: Settings,
}

/// The load of another data centre, from its newest digest.
#[derive(Clone, Debug)]
pub struct RemoteLoad {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// When the digest arrived.
    pub received_at: Instant,
    /// One summary per model; ages count back from `received_at`.
    pub summaries: Vec<Summary>,
}

/// The running exchange; register it as a [`PeerHandler`], so that it answers other daemons.
pub struct PeerDriver {
    members: Arc<MemberDriver>,
    peers: Arc<dyn Peers>,
    reports: Arc<dyn ReportStore>,
    schedule: Mutex<DigestSchedule>,
    remote: Mutex<BTreeMap<DataCentreId, RemoteLoad>>,
    relay_queue: flume::Sender<ReceivedDigests>,
    stopped: AtomicBool,
}

/// Digests received from another data centre, to relay within this one.
struct ReceivedDigests {
    received_at: Instant,
    digests: Vec<Digest>,
}

impl PeerDriver {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(config: PeerConfig) -> io::Result<Arc<PeerDriver>> {
        let own = config.members.own().data_centre;
        let (relay_queue, received) = flume::bounded(MAX_QUEUED_BATCHES);
        let driver = Arc::new(PeerDriver {
            members: config.members,
            peers: config.peers,
            reports: config.reports,
            schedule: Mutex::new(DigestSchedule::new(own, config.settings)),
            remote: Mutex::new(BTreeMap::new()),
            relay_queue,
            stopped: AtomicBool::new(false),
        });
        let (exchange, relay) = (driver.clone(), driver.clone());
        thread::Builder::new()
            .name("peers-speak".into())
            .spawn(move || exchange.exchange_loop())?;
        thread::Builder::new()
            .name("peers-relay".into())
            .spawn(move || relay.relay_loop(&received))?;
        Ok(driver)
    }

    /// Tells the threads to stop, without joining them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// The newest known load of each other data centre.
    pub fn remote_loads(&self) -> Vec<RemoteLoad> {
        self.remote.lock().values().cloned().collect()
    }

    fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn exchange_loop(&self) {
        while self.running() {
            thread::sleep(TICK);
            if self.members.stale() {
                continue;
            }
            let remote = self.members.remote_members();
            let rank = |subject: &str| self.members.rank(subject);
            let calls = self.schedule.lock().tick(remote, rank, Instant::now());
            for call in calls {
                self.exchange(call);
            }
        }
    }

    fn exchange(&self, call: DigestCall) {
        let request = PeerRequest::Digests { digests: vec![self.digest()], speaker: true };
        if let Ok(PeerReply::Digests { digests }) =
            self.peers.ask(call.to.peer, &request, PEER_TIMEOUT)
        {
            self.accept(digests);
            return;
        }
        metrics::counter!("roseshore_digests_failed_total").increment(1);
        self.schedule.lock().failed(&call.data_centre, Instant::now());
    }

    /// Applies digests from another data centre and queues them for relay within this one.
    fn accept(&self, digests: Vec<Digest>) {
        let received_at = Instant::now();
        self.apply(&digests, received_at);
        if self.relay_queue.try_send(ReceivedDigests { received_at, digests }).is_err() {
            metrics::counter!("roseshore_digests_dropped_total").increment(1);
        }
    }

    fn apply(&self, digests: &[Digest], received_at: Instant) {
        for digest in digests {
            let data_centre = digest.data_centre.clone();
            self.members.apply_digest(digest.members.clone());
            self.schedule.lock().heard(&data_centre, received_at);
            let summaries = digest.summaries.clone();
            let load = RemoteLoad { data_centre: data_centre.clone(), received_at, summaries };
            self.remote.lock().insert(data_centre, load);
        }
    }

    fn relay_loop(&self, received: &flume::Receiver<ReceivedDigests>) {
        while self.running() {
            let Ok(ReceivedDigests { received_at, digests }) = received.recv_timeout(TICK) else {
                continue;
            };
            let own = self.members.own();
            for member in self.members.all() {
                let local = member.data_centre == own.data_centre && member.host != own.host;
                if local && member.state != MemberState::Suspect {
                    let digests = add_age(&digests, received_at.elapsed());
                    let request = PeerRequest::Digests { digests, speaker: false };
                    // A lost relay is not retried: the next digest replaces it.
                    let _ = self.peers.ask(member.peer, &request, PEER_TIMEOUT);
                }
            }
        }
    }

    fn digest(&self) -> Digest {
        Digest {
            data_centre: self.members.own().data_centre,
            members: self.members.digest(),
            summaries: summarise(&self.reports.newest(), Instant::now()),
        }
    }
}

impl PeerHandler for PeerDriver {
    fn answer(&self, request: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Digests { digests, speaker } = request else { return None };
        if !speaker {
            self.apply(digests, Instant::now());
            return Some(PeerReply::Done);
        }
        self.accept(digests.clone());
        Some(PeerReply::Digests { digests: vec![self.digest()] })
    }
}

/// Returns the digests with `by` added to all their ages.
fn add_age(digests: &[Digest], by: Duration) -> Vec<Digest> {
    let by = by.as_millis() as u32;
    let mut digests = digests.to_vec();
    for digest in &mut digests {
        digest.members.iter_mut().for_each(|m| m.age_ms = m.age_ms.saturating_add(by));
        digest.summaries.iter_mut().for_each(|s| s.age_ms = s.age_ms.saturating_add(by));
    }
    digests
}
