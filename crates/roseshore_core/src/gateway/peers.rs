//! What entry hosts tell each other.
//!
//! Each host tells others several times a second what it has in flight at each target, which
//! targets failed it, and how much of the store it has read. So a choice sees the load of all
//! hosts, and one host's reads of the store serve its neighbours.
//!
//! [`relation`] says to whom a host tells how often, `sending` what, `ranking` which hosts speak, read
//! the store and give orders, `view` what the others have. This module keeps who is there.
//!
//! Nothing here has to arrive. A heartbeat that is late must not pass for a fresh one, so a proof
//! of freshness is counted on the hearer's own clock: the sender names the last heartbeat that it
//! heard from the hearer, and how long after that its proof was made. A proof that comes through
//! a speaker is placed on the speaker's clock first, and grows older with each step.

mod message;
mod peer;
mod ranking;
pub mod relation;
mod sending;
mod sums;
mod view;

use super::fatal::FatalReport;
use super::paces::PaceReport;
use crate::prelude::*;
pub use message::{
    CentreHash, Datagram, Echo, Heartbeat, HoldingReport, KnownHost, LimitReport, ListVersion,
    PermitGrant, PermitRequest, Scope, ServiceCounts, TargetHash, TargetLoad, name_hash,
    target_hash,
};
use peer::Peer;
use sending::Urgency;
use std::collections::BTreeMap;
use std::net::SocketAddr;
pub use view::View;

/// What a heartbeat brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatEffect {
    /// The sender was not known, or had been silent.
    pub joined: bool,
    /// When the sender's configuration was proven, on the own clock.
    pub config_proven: Option<Instant>,
    /// The same of its list of targets.
    pub list_proven: Option<Instant>,
    /// Whether the sender is of the own data centre.
    pub near: bool,
}

/// What a host tells of itself.
#[derive(Clone, Debug)]
pub struct LocalState {
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the store answers it.
    pub reading: bool,
    /// The version of its configuration.
    pub config: u64,
    /// When that was last proven to be the newest.
    pub config_proven: Option<Instant>,
    /// How far it has read the list of targets.
    pub list: ListVersion,
    /// When that was last proven to be all there is.
    pub list_proven: Option<Instant>,
    /// What it has in flight.
    pub loads: Vec<TargetLoad>,
    /// What it has counted.
    pub counts: Vec<ServiceCounts>,
    /// What it has ordered, and learned, of targets' layers.
    pub holdings: Vec<HoldingReport>,
    /// What engines reported of their pace.
    pub paces: Vec<PaceReport>,
    /// Requests that end targets.
    pub fatal: Vec<FatalReport>,
    /// Limits that targets named.
    pub limits: Vec<LimitReport>,
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
            counts: Vec::new(),
            holdings: Vec::new(),
            paces: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
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
    /// Whether it spoke for its data centre when it last told others.
    speaking: bool,
    urgency: Urgency,
    all: BTreeMap<SocketAddr, Peer>,
    next_named: usize,
}

impl Peers {
    /// Knows only seeds.
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
            urgency: Urgency::No,
            all: seeds.iter().filter(|seed| **seed != addr).map(seed).collect(),
            next_named: 0,
        }
    }

    /// The same host with a processor share, thousandths of a core.
    #[must_use]
    pub fn with_capacity(self, capacity: u16) -> Peers {
        Peers { capacity, ..self }
    }

    /// Where this host hears the others.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes a heartbeat; `None` for one that is no news.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        beat: Heartbeat,
        now: Instant,
    ) -> Option<HeartbeatEffect> {
        for named in &beat.named {
            self.learn_host(named, now);
        }
        if from == self.addr {
            return None;
        }
        let near = beat.centre == self.centre;
        let spoken = beat.speaks || (near && self.speaking);
        let peer = self.all.entry(from).or_insert_with(|| Peer::unknown(from, now));
        if beat.life == peer.life && beat.sequence <= peer.sequence {
            return None;
        }
        let back = spoken && !peer.alive(near, now);
        let joined = peer.last_heard.is_none() || beat.life != peer.life || back;
        let echo = beat.echo;
        peer.update(beat, now);
        let config_proven = echo.and_then(|echo| self.proof_time(echo, echo.config?, now));
        let list_proven = echo.and_then(|echo| self.proof_time(echo, echo.list?, now));
        Some(HeartbeatEffect { joined, config_proven, list_proven, near })
    }

    /// Whether a host is of the own data centre.
    fn is_near(&self, peer: &Peer) -> bool {
        peer.centre == Some(self.centre)
    }

    /// Whether it is known to be of another one.
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

    /// A proof's time on the own clock; none is newer than its telling.
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
