//! One other host, as far as heartbeats tell of it.

use super::message::{
    CentreHash, Heartbeat, KnownHost, LimitReport, ListVersion, Scope, ServiceCounts, TargetHash,
    TargetLoad,
};
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Silence after which a host no longer counts.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// Silence of a host of another data centre after which it no longer counts.
const FAR_SILENCE_LIMIT: Duration = Duration::from_millis(2500);
/// A host that another one has named is taken to live for so long: a speaker names it again several
/// times a second.
const NAMED_VALIDITY: Duration = Duration::from_secs(3);
/// A host that did not answer is asked once more when it has been named again so much later.
const RETRY_UNANSWERED: Duration = Duration::from_secs(5);
/// Silence after which an address is forgotten.
const RETENTION: Duration = Duration::from_mins(1);
/// What a speaker told of targets that only other data centres use is believed for so long; it tells
/// of each several times in that time.
const FAR_LOAD_VALIDITY: Duration = Duration::from_millis(2500);
/// What a host told of limits counts for so long before its last word; it tells of some in turn.
const WANTED_VALIDITY: Duration = Duration::from_millis(2500);
/// What a silent host had counted still counts for so long.
const COUNTS_VALIDITY: Duration = Duration::from_secs(10);

/// The order in which hosts speak, read the store and give orders: the ablest first, by address
/// among equals, since speaking for a data centre takes several times what a host needs besides.
pub(super) type Rank = (Reverse<u16>, SocketAddr);

/// The rank of a host.
pub(super) fn rank(capacity: u16, addr: SocketAddr) -> Rank {
    (Reverse(capacity), addr)
}

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    /// From the settings; never forgotten.
    pub(super) seed: bool,
    /// Known once it was heard, or named.
    pub(super) centre: Option<CentreHash>,
    pub(super) capacity: u16,
    pub(super) last_heard: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    /// Since when it has been asked without being heard.
    unanswered_since: Option<Instant>,
    /// When it was last named, or first learned of.
    last_known: Instant,
    last_named: Option<Instant>,
    pub(super) life: u64,
    pub(super) sequence: u64,
    /// Its clock in its last heartbeat.
    pub(super) sender_clock: u64,
    pub(super) leaving: bool,
    pub(super) reading: bool,
    pub(super) speaks: bool,
    pub(super) asks: bool,
    pub(super) config: u64,
    pub(super) list: ListVersion,
    pub(super) scope: Scope,
    pub(super) loads: Vec<TargetLoad>,
    /// What it told of targets that only other data centres use, and when.
    far_loads: HashMap<TargetHash, (TargetLoad, Instant)>,
    pub(super) counts: Vec<ServiceCounts>,
    /// What was asked of it for limited targets, and when it told that.
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
            wanted: HashMap::new(),
        }
    }

    /// A host from the settings.
    pub(super) fn seed(addr: SocketAddr, now: Instant) -> Peer {
        Peer { seed: true, ..Peer::unknown(addr, now) }
    }

    /// Takes a heartbeat that is news.
    pub(super) fn update(&mut self, beat: Heartbeat, now: Instant) {
        self.centre = Some(beat.centre);
        self.capacity = beat.capacity;
        self.last_heard = Some(now);
        self.unanswered_since = None;
        self.life = beat.life;
        self.sequence = beat.sequence;
        self.sender_clock = beat.sent;
        self.leaving = beat.leaving;
        self.reading = beat.reading;
        self.speaks = beat.speaks;
        self.asks = beat.asks;
        self.config = beat.config;
        self.list = beat.list;
        self.scope = beat.scope;
        self.loads = beat.loads;
        self.far_loads.retain(|_, (_, at)| now.saturating_duration_since(*at) < FAR_LOAD_VALIDITY);
        self.far_loads.extend(beat.far.into_iter().map(|note| (note.target, (note, now))));
        self.counts = beat.counts;
        self.update_wanted(&beat.limits, now);
    }

    fn update_wanted(&mut self, limits: &[LimitReport], now: Instant) {
        self.wanted.retain(|_, (_, at)| now.saturating_duration_since(*at) < WANTED_VALIDITY);
        let asked = limits.iter().filter(|note| note.wanted > 0);
        self.wanted.extend(asked.map(|note| (note.target, (note.wanted, now))));
    }

    /// What was asked of it for a limited target, by its last word.
    pub(super) fn wanted(&self, target: TargetHash) -> u16 {
        self.wanted.get(&target).map_or(0, |(wanted, _)| *wanted)
    }

    /// What it told of targets that only other data centres use.
    pub(super) fn far_loads(&self) -> impl Iterator<Item = &TargetLoad> {
        let used = |note: &&TargetLoad| self.loads.iter().all(|l| l.target != note.target);
        self.far_loads.values().map(|(note, _)| note).filter(used)
    }

    /// Another host hears it.
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
            // Hosts that leave are not named.
            self.leaving = false;
        }
        self.last_named = Some(now);
        self.last_known = now;
    }

    /// Notes a heartbeat to it.
    pub(super) fn record_sent(&mut self, asks: bool, now: Instant) {
        self.last_sent = Some(now);
        if asks {
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// Whether it was heard of late; `near` for a host of the own data centre.
    pub(super) fn alive(&self, near: bool, now: Instant) -> bool {
        self.silent_for(if near { SILENCE_LIMIT } else { FAR_SILENCE_LIMIT }, now) == Some(false)
    }

    /// Whether it may be taken to live: it was heard, or another host hears it and it has not failed
    /// to answer.
    pub(super) fn presumed_alive(&self, near: bool, now: Instant) -> bool {
        let recent = |at: Option<Instant>, most| {
            at.is_some_and(|at| now.saturating_duration_since(at) < most)
        };
        let answers =
            self.unanswered_since.is_none() || recent(self.unanswered_since, SILENCE_LIMIT);
        self.alive(near, now) || (recent(self.last_named, NAMED_VALIDITY) && answers)
    }

    /// Whether nothing was heard or said of it for so long that it is forgotten.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let last = self.last_heard.max(Some(self.last_known)).unwrap_or(self.last_known);
        !self.seed && now.saturating_duration_since(last) >= RETENTION
    }

    /// Whether what it counted still counts.
    pub(super) fn counts_valid(&self, now: Instant) -> bool {
        self.silent_for(COUNTS_VALIDITY, now) == Some(false)
    }

    fn silent_for(&self, most: Duration, now: Instant) -> Option<bool> {
        self.last_heard.map(|heard| now.saturating_duration_since(heard) >= most)
    }

    /// Its place in the order of hosts.
    pub(super) fn rank(&self) -> Rank {
        rank(self.capacity, self.addr)
    }
}
