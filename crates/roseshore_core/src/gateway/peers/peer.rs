//! One other host, as known from heartbeats.

use super::message::{Heartbeat, KnownHost, Scope, ServiceCounts};
use crate::gateway::demand::{self, ServiceDemand};
use crate::gateway::hashes::{CentreHash, TargetHash};
use crate::gateway::reports::{LimitReport, ListVersion, TargetLoad};
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Silence after which a host of the own data centre is taken to be down.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// Silence after which a host of another data centre is taken to be down.
const FAR_SILENCE_LIMIT: Duration = Duration::from_millis(2500);
/// How long a host named in a heartbeat is presumed alive; a speaker repeats the name several times
/// a second.
const NAMED_VALIDITY: Duration = Duration::from_secs(3);
/// A host that did not answer gets another chance when it is named again this long after it was
/// first asked.
const RETRY_UNANSWERED: Duration = Duration::from_secs(5);
/// Silence after which a host is forgotten.
const RETENTION: Duration = Duration::from_mins(1);
/// How long a load is valid that is reported in rotation. Each is repeated several times in this
/// time.
const FAR_LOAD_VALIDITY: Duration = Duration::from_millis(2500);
/// How long a reported number of permit requests is valid before the host's latest heartbeat;
/// heartbeats report targets in rotation.
const WANTED_VALIDITY: Duration = Duration::from_millis(2500);
/// Time since the last heartbeat of this host that another one heard, up to which it relies on this
/// host. The other one reports it up to a period of heartbeats later.
const HEARD_VALIDITY: Duration = Duration::from_secs(2);

/// The order in which hosts act as speakers, read the store and issue orders: by CPU share, largest
/// first, then by address. Large hosts come first because speaking for a data centre takes several
/// times the CPU that a host needs otherwise.
pub(super) type Rank = (Reverse<u16>, SocketAddr);

/// Rank of a host.
pub(super) fn rank(capacity: u16, addr: SocketAddr) -> Rank {
    (Reverse(capacity), addr)
}

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    /// Whether it is from the settings; such a host is never forgotten.
    pub(super) seed: bool,
    /// Data centre, once the host was heard or named.
    pub(super) centre: Option<CentreHash>,
    pub(super) capacity: u16,
    pub(super) last_heard: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    /// Number of heartbeats sent to it.
    pub(super) sent: usize,
    /// Since when it has been asked without an answer.
    unanswered_since: Option<Instant>,
    /// When it was last named, or else first learned of.
    last_known: Instant,
    last_named: Option<Instant>,
    pub(super) life: u64,
    pub(super) sequence: u64,
    /// Send time in its last heartbeat, on its clock.
    pub(super) sender_clock: u64,
    pub(super) leaving: bool,
    pub(super) reading: bool,
    pub(super) speaks: bool,
    pub(super) asks: bool,
    pub(super) config: u64,
    pub(super) list: ListVersion,
    pub(super) scope: Scope,
    pub(super) loads: Vec<TargetLoad>,
    /// Loads that it reports in rotation, with the times of the reports.
    far_loads: HashMap<TargetHash, (TargetLoad, Instant)>,
    pub(super) counts: Vec<ServiceCounts>,
    /// Hosts that its demand includes.
    pub(super) demand_hosts: u16,
    /// The demand that it reported, for the hosts of its scope in its data centre.
    pub(super) demand: Vec<ServiceDemand>,
    /// Hosts that it knows of.
    pub(super) known: u16,
    /// When this host sent the last heartbeat that it heard.
    pub(super) heard_from: Option<Instant>,
    /// Permit requests that it reported for limited targets, with the times of the reports.
    wanted: HashMap<TargetHash, (u16, Instant)>,
}

impl Peer {
    /// A host of which only the address is known.
    pub(super) fn unknown(addr: SocketAddr, now: Instant) -> Peer {
        Peer {
            addr,
            seed: false,
            centre: None,
            capacity: 0,
            last_heard: None,
            last_sent: None,
            sent: 0,
            unanswered_since: None,
            last_known: now,
            last_named: None,
            life: 0,
            sequence: 0,
            sender_clock: 0,
            leaving: false,
            reading: true,
            speaks: false,
            asks: false,
            config: 0,
            list: ListVersion::default(),
            scope: Scope::Own,
            loads: Vec::new(),
            far_loads: HashMap::new(),
            counts: Vec::new(),
            demand_hosts: 0,
            demand: Vec::new(),
            known: 0,
            heard_from: None,
            wanted: HashMap::new(),
        }
    }

    /// A host from the settings.
    pub(super) fn seed(addr: SocketAddr, now: Instant) -> Peer {
        Peer { seed: true, ..Peer::unknown(addr, now) }
    }

    /// Applies a heartbeat that is newer than the last.
    pub(super) fn update(&mut self, heartbeat: Heartbeat, now: Instant) {
        self.centre = Some(heartbeat.centre);
        self.capacity = heartbeat.capacity;
        self.last_heard = Some(now);
        self.unanswered_since = None;
        self.life = heartbeat.life;
        self.sequence = heartbeat.sequence;
        self.sender_clock = heartbeat.sent;
        self.leaving = heartbeat.leaving;
        self.reading = heartbeat.reading;
        self.speaks = heartbeat.speaks;
        self.asks = heartbeat.asks;
        self.config = heartbeat.config;
        self.list = heartbeat.list;
        self.scope = heartbeat.scope;
        self.loads = heartbeat.loads;
        self.far_loads.retain(|_, (_, at)| now.saturating_duration_since(*at) < FAR_LOAD_VALIDITY);
        self.far_loads
            .extend(heartbeat.far.into_iter().map(|report| (report.target, (report, now))));
        self.counts = heartbeat.counts;
        self.demand_hosts = heartbeat.demand_hosts;
        self.demand = demand::sanitised(heartbeat.demand);
        self.known = heartbeat.known;
        self.update_wanted(&heartbeat.limits, now);
    }

    fn update_wanted(&mut self, limits: &[LimitReport], now: Instant) {
        self.wanted.retain(|_, (_, at)| now.saturating_duration_since(*at) < WANTED_VALIDITY);
        let asked = limits.iter().filter(|report| report.wanted > 0);
        self.wanted.extend(asked.map(|report| (report.target, (report.wanted, now))));
    }

    /// Permit requests for a target, as the host last reported.
    pub(super) fn wanted(&self, target: TargetHash) -> u16 {
        self.wanted.get(&target).map_or(0, |(wanted, _)| *wanted)
    }

    /// Loads that it reports in rotation.
    pub(super) fn far_loads(&self) -> impl Iterator<Item = &TargetLoad> {
        let used = |report: &&TargetLoad| self.loads.iter().all(|l| l.target != report.target);
        self.far_loads.values().map(|(report, _)| report).filter(used)
    }

    /// Records that another host's heartbeat names this one.
    pub(super) fn note_named(&mut self, named: &KnownHost, now: Instant) {
        if self.last_heard.is_none() {
            self.centre = Some(named.centre);
            self.capacity = named.capacity;
        }
        if self
            .unanswered_since
            .is_some_and(|at| now.saturating_duration_since(at) >= RETRY_UNANSWERED)
        {
            self.unanswered_since = None;
        }
        if !self.alive(true, now) {
            // Leaving hosts are not named.
            self.leaving = false;
        }
        self.last_named = Some(now);
        self.last_known = now;
    }

    /// Records a heartbeat sent to it.
    pub(super) fn record_sent(&mut self, asks: bool, now: Instant) {
        self.last_sent = Some(now);
        self.sent = self.sent.wrapping_add(1);
        if asks {
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// Whether it was heard recently; `near` for a host of the own data centre.
    pub(super) fn alive(&self, near: bool, now: Instant) -> bool {
        self.silent_for(if near { SILENCE_LIMIT } else { FAR_SILENCE_LIMIT }, now) == Some(false)
    }

    /// Whether it is alive, or presumed so because another host hears it and it has not left a
    /// question unanswered.
    pub(super) fn presumed_alive(&self, near: bool, now: Instant) -> bool {
        let recent = |at: Option<Instant>, most| {
            at.is_some_and(|at| now.saturating_duration_since(at) < most)
        };
        let answers =
            self.unanswered_since.is_none() || recent(self.unanswered_since, SILENCE_LIMIT);
        self.alive(near, now) || (recent(self.last_named, NAMED_VALIDITY) && answers)
    }

    /// Whether it has been silent and unnamed for so long that it can be forgotten.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let last = self.last_heard.max(Some(self.last_known)).unwrap_or(self.last_known);
        !self.seed && now.saturating_duration_since(last) >= RETENTION
    }

    /// Whether it has heard this host recently.
    pub(super) fn hears_this_host(&self, now: Instant) -> bool {
        self.heard_from.is_some_and(|at| now.saturating_duration_since(at) < HEARD_VALIDITY)
    }

    fn silent_for(&self, most: Duration, now: Instant) -> Option<bool> {
        self.last_heard.map(|heard| now.saturating_duration_since(heard) >= most)
    }

    /// Its position in the order of hosts.
    pub(super) fn rank(&self) -> Rank {
        rank(self.capacity, self.addr)
    }
}
