//! Membership and state exchange among entry hosts.
//!
//! Several times a second each host sends heartbeats with its load at each target, the targets that
//! fail its liveness checks, and how much of the store it has read. So a scheduling decision takes
//! the load of all hosts into account, and one host's reads of the store serve its neighbours.
//!
//! [`relation`] decides which hosts get heartbeats and how often, `sending` builds them, `ranking`
//! determines which hosts act as speakers, read the store and issue orders, and `view` combines
//! what the others have reported. This module keeps the list of peers.
//!
//! The protocol tolerates the loss of any message. A delayed heartbeat must not be taken for a
//! fresh one, so the time of a freshness proof is expressed on the receiver's own clock: the sender
//! names the last heartbeat that it received from the receiver and the process that sent it, and how
//! long after it the proof was made. A proof relayed by a speaker is first expressed on the
//! speaker's clock, and grows older with each hop.

mod demand;
mod lending;
mod message;
mod peer;
mod ranking;
pub mod relation;
mod sending;
mod sums;
mod view;

use super::demand::ServiceDemand;
use super::fatal::FatalReport;
pub use super::hashes::{CentreHash, TargetHash, name_hash, target_hash};
use super::paces::PaceReport;
pub use super::reports::{LimitReport, ListVersion, TargetLoad};
use crate::prelude::*;
use lending::Lending;
use message::life_tag;
pub use message::{
    Datagram, Echo, Heartbeat, HoldingReport, KnownHost, PeerRequest, PermitGrant, PermitRequest,
    ReachQuery, ReachReply, RetryLoan, RetryLoanRequest, Scope, ServiceCounts, TunnelReply,
    TunnelRequest,
};
use peer::Peer;
use sending::Urgency;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
pub use view::View;

/// What a received heartbeat tells the caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatEffect {
    /// Whether the sender was unknown, restarted, or silent before.
    pub joined: bool,
    /// When the sender's configuration was proven to be the newest, on this host's clock.
    pub config_proven: Option<Instant>,
    /// When the sender's target list was proven to be complete, on this host's clock.
    pub list_proven: Option<Instant>,
    /// Whether the sender is in the own data centre.
    pub near: bool,
}

/// State that a host reports about itself.
#[derive(Clone, Debug)]
pub struct LocalState {
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Whether the store answers it.
    pub reading: bool,
    /// Version of its configuration; 0 for none.
    pub config: u64,
    /// When the configuration was last proven to be the newest.
    pub config_proven: Option<Instant>,
    /// How far it has read the target list.
    pub list: ListVersion,
    /// When the list was last proven to be complete.
    pub list_proven: Option<Instant>,
    /// Its load at each target.
    pub loads: Vec<TargetLoad>,
    /// Targets of its data centre; their loads are reported before others.
    pub home: HashSet<TargetHash>,
    /// Targets that it reached after other hosts had reported that they fail liveness checks.
    pub refuted: Vec<TargetHash>,
    /// Requests that it has counted, by service.
    pub counts: Vec<ServiceCounts>,
    /// Layers that it has ordered targets to hold, or found them to hold.
    pub holdings: Vec<HoldingReport>,
    /// Paces that engines reported.
    pub paces: Vec<PaceReport>,
    /// Requests under which targets crashed.
    pub fatal: Vec<FatalReport>,
    /// Limits that targets advertised.
    pub limits: Vec<LimitReport>,
    /// What callers ask of it, by service.
    pub demand: Vec<ServiceDemand>,
}

impl Default for LocalState {
    fn default() -> LocalState {
        LocalState {
            leaving: false,
            reading: true,
            config: 0,
            config_proven: None,
            list: ListVersion::default(),
            list_proven: None,
            loads: Vec::new(),
            home: HashSet::new(),
            refuted: Vec::new(),
            counts: Vec::new(),
            holdings: Vec::new(),
            paces: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
            demand: Vec::new(),
        }
    }
}

/// All other hosts.
#[derive(Clone, Debug)]
pub struct Peers {
    addr: SocketAddr,
    centre: CentreHash,
    capacity: u16,
    life: u64,
    started: Instant,
    sequence: u64,
    leaving: bool,
    reading: bool,
    /// Whether this host was a speaker for its data centre at its last round of heartbeats.
    speaking: bool,
    urgency: Urgency,
    all: BTreeMap<SocketAddr, Peer>,
    lending: Lending,
    next_named: usize,
}

impl Peers {
    /// Creates the peer list with only the seeds known; `life` identifies this process.
    pub fn new(
        addr: SocketAddr,
        data_centre: &str,
        life: u64,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Peers {
        let seed = |addr: &SocketAddr| (*addr, Peer::seed(*addr, now));
        Peers {
            addr,
            centre: name_hash(data_centre),
            capacity: 0,
            life,
            started: now,
            sequence: 0,
            leaving: false,
            reading: true,
            speaking: true,
            urgency: Urgency::Normal,
            all: seeds.iter().filter(|seed| **seed != addr).map(seed).collect(),
            lending: Lending::default(),
            next_named: 0,
        }
    }

    /// Sets the host's CPU share, in thousandths of a core.
    #[must_use]
    pub fn with_capacity(self, capacity: u16) -> Peers {
        Peers { capacity, ..self }
    }

    /// Address at which this host receives heartbeats.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Processes a heartbeat; returns `None` if it is outdated, a duplicate or the host's own.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<HeartbeatEffect> {
        for named in &heartbeat.named {
            self.learn_host(named, now);
        }
        if from == self.addr {
            return None;
        }
        let near = heartbeat.centre == self.centre;
        let regular = heartbeat.speaks || (near && self.speaking);
        let peer = self.all.entry(from).or_insert_with(|| Peer::unknown(from, now));
        if heartbeat.life == peer.life && heartbeat.sequence <= peer.sequence {
            return None;
        }
        let back = regular && !peer.alive(near, now);
        let joined = peer.last_heard.is_none() || heartbeat.life != peer.life || back;
        // The clock of a former process of this host started at another time.
        let echo = heartbeat.echo.filter(|echo| echo.life == life_tag(self.life));
        peer.update(heartbeat, now);
        let sent = |echo: Echo| self.started.checked_add(Duration::from_millis(echo.sent));
        peer.heard_from = echo.and_then(sent).filter(|at| *at <= now);
        let config_proven = echo.and_then(|echo| self.proof_time(echo, echo.config?, now));
        let list_proven = echo.and_then(|echo| self.proof_time(echo, echo.list?, now));
        Some(HeartbeatEffect { joined, config_proven, list_proven, near })
    }

    /// Whether a peer is in the own data centre.
    fn is_near(&self, peer: &Peer) -> bool {
        peer.centre == Some(self.centre)
    }

    /// Whether a peer is known to be in another data centre.
    fn is_far(&self, peer: &Peer) -> bool {
        peer.centre.is_some_and(|centre| centre != self.centre)
    }

    fn learn_host(&mut self, named: &KnownHost, now: Instant) {
        if named.addr == self.addr {
            return;
        }
        let unknown = || Peer::unknown(named.addr, now);
        self.all.entry(named.addr).or_insert_with(unknown).note_named(named, now);
    }

    /// Time of a proof on this host's clock, at most `now`.
    fn proof_time(&self, echo: Echo, since: i64, now: Instant) -> Option<Instant> {
        let sent = self.started.checked_add(Duration::from_millis(echo.sent))?;
        let since_then = Duration::from_millis(since.unsigned_abs());
        let proven = match since {
            ..0 => sent.checked_sub(since_then)?,
            _ => sent.checked_add(since_then)?,
        };
        Some(proven.min(now))
    }
}
