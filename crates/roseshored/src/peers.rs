//! Exchanges digests with the other data centres.
//!
//! [`roseshore_core::membership::DigestSchedule`] decides who speaks with whom; this driver carries the
//! digests and passes what was learned on to the own data centre. Nothing else waits for its
//! thread, so a data centre that is cut off delays no other part.

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

/// How often the decision is asked which calls are due.
const TICK: Duration = Duration::from_millis(100);
/// How long a peer may take to reply.
const LIMIT: Duration = Duration::from_millis(500);
/// Digests that may wait to be passed on.
const MAX_WAITING: usize = 64;

/// What the driver needs.
pub struct PeerConfig {
    /// The daemons.
    pub members: Arc<MemberDriver>,
    /// The links.
    pub peers: Arc<dyn Peers>,
    /// The reports of the own data centre's targets.
    pub reports: Arc<dyn ReportStore>,
    /// The bounds that the members go by.
    pub settings: Settings,
}

/// The load of another data centre, as last told.
#[derive(Clone, Debug)]
pub struct RemoteLoad {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// When it was told.
    pub received_at: Instant,
    /// By model; ages count from `received_at`.
    pub summaries: Vec<Summary>,
}

/// The running driver; put it among the [`PeerHandler`] that serve peers.
pub struct PeerDriver {
    members: Arc<MemberDriver>,
    peers: Arc<dyn Peers>,
    reports: Arc<dyn ReportStore>,
    schedule: Mutex<DigestSchedule>,
    far: Mutex<BTreeMap<DataCentreId, RemoteLoad>>,
    learn: flume::Sender<Learned>,
    stopped: AtomicBool,
}

/// Digests to pass on to the own data centre.
struct Learned {
    at: Instant,
    digests: Vec<Digest>,
}

impl PeerDriver {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(parts: PeerConfig) -> io::Result<Arc<PeerDriver>> {
        let own = parts.members.own().data_centre;
        let (learn, learned) = flume::bounded(MAX_WAITING);
        let driver = Arc::new(PeerDriver {
            members: parts.members,
            peers: parts.peers,
            reports: parts.reports,
            schedule: Mutex::new(DigestSchedule::new(own, parts.settings)),
            far: Mutex::new(BTreeMap::new()),
            learn,
            stopped: AtomicBool::new(false),
        });
        let (speaker, relay) = (driver.clone(), driver.clone());
        thread::Builder::new().name("peers-speak".into()).spawn(move || speaker.speak())?;
        thread::Builder::new().name("peers-relay".into()).spawn(move || relay.relay(&learned))?;
        Ok(driver)
    }

    /// Ends the threads, without waiting for them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// The loads of the other data centres.
    pub fn remote_loads(&self) -> Vec<RemoteLoad> {
        self.far.lock().values().cloned().collect()
    }

    fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn speak(&self) {
        while self.running() {
            thread::sleep(TICK);
            if self.members.stale() {
                continue;
            }
            let far = self.members.remote_members();
            let place = |subject: &str| self.members.place(subject);
            let calls = self.schedule.lock().tick(far, place, Instant::now());
            for call in calls {
                self.call(call);
            }
        }
    }

    fn call(&self, call: DigestCall) {
        let ask = PeerRequest::Digests { digests: vec![self.digest()], speaker: true };
        if let Ok(PeerReply::Digests { digests }) = self.peers.ask(call.to.peer, &ask, LIMIT) {
            self.learned(digests);
            return;
        }
        metrics::counter!("roseshore_digests_failed_total").increment(1);
        self.schedule.lock().failed(&call.data_centre, Instant::now());
    }

    /// Takes digests from another data centre, and lets the own one know.
    fn learned(&self, digests: Vec<Digest>) {
        let at = Instant::now();
        self.take(&digests, at);
        if self.learn.try_send(Learned { at, digests }).is_err() {
            metrics::counter!("roseshore_digests_dropped_total").increment(1);
        }
    }

    fn take(&self, digests: &[Digest], received_at: Instant) {
        for digest in digests {
            let data_centre = digest.data_centre.clone();
            self.members.take_digest(digest.members.clone());
            self.schedule.lock().heard(&data_centre, received_at);
            let summaries = digest.summaries.clone();
            let load = RemoteLoad { data_centre: data_centre.clone(), received_at, summaries };
            self.far.lock().insert(data_centre, load);
        }
    }

    fn relay(&self, learned: &flume::Receiver<Learned>) {
        while self.running() {
            let Ok(Learned { at, digests }) = learned.recv_timeout(TICK) else { continue };
            let own = self.members.own();
            for member in self.members.all() {
                let near = member.data_centre == own.data_centre && member.host != own.host;
                if near && member.state != MemberState::Suspect {
                    let digests = aged(&digests, at.elapsed());
                    let ask = PeerRequest::Digests { digests, speaker: false };
                    // A loss is made good by the next digest.
                    let _ = self.peers.ask(member.peer, &ask, LIMIT);
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
    fn answer(&self, ask: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Digests { digests, speaker } = ask else { return None };
        if !speaker {
            self.take(digests, Instant::now());
            return Some(PeerReply::Done);
        }
        self.learned(digests.clone());
        Some(PeerReply::Digests { digests: vec![self.digest()] })
    }
}

/// Adds the time since they were told to the ages in digests.
fn aged(digests: &[Digest], by: Duration) -> Vec<Digest> {
    let by = by.as_millis() as u32;
    let mut digests = digests.to_vec();
    for digest in &mut digests {
        digest.members.iter_mut().for_each(|m| m.age_ms = m.age_ms.saturating_add(by));
        digest.summaries.iter_mut().for_each(|s| s.age_ms = s.age_ms.saturating_add(by));
    }
    digests
}
