//! What entry hosts tell each other.
//!
//! Each host tells the others of its data centre several times a second, and those of other data
//! centres less often, what it has in flight at each target, which targets failed it, and how much
//! of the store it has read. So a choice sees the load of all hosts, and one host's reads of the
//! store serve its neighbours.
//!
//! Nothing here has to arrive. A heartbeat that is late must not pass for a fresh one, so a proof
//! of freshness is counted on the hearer's own clock: the sender names the last heartbeat that it
//! heard from the hearer, and how long after that its proof was made.

use super::allowance::Counted;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Between heartbeats to hosts of the own data centre, at least.
const NEAR: Duration = Duration::from_millis(100);
/// Added for each of them, so that a large data centre does not drown in heartbeats: a hundred
/// hosts hear a hundred heartbeats a second each.
const NEAR_EACH: Duration = Duration::from_millis(10);
/// Between heartbeats to hosts of other data centres: bytes between data centres are dear.
const FAR: Duration = Duration::from_millis(400);
/// Between heartbeats to addresses that have not been heard of.
const CONTACT: Duration = Duration::from_secs(1);
/// Silence after which a host no longer counts.
const GONE: Duration = Duration::from_millis(1200);
/// Silence of a host of another data centre after which it no longer counts.
const FAR_GONE: Duration = Duration::from_millis(2500);
/// Silence after which an address is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(1);
/// What a silent host had counted still counts for so long.
const COUNTED: Duration = Duration::from_secs(10);
/// Addresses that a heartbeat names.
const NAMED: usize = 4;
/// Targets that a heartbeat tells of; more do not fit a datagram.
const TOLD: usize = 70;

/// A target in a heartbeat.
pub type TargetMark = u32;

/// The mark of a target.
pub fn mark(target: &str) -> TargetMark {
    xxh3_64(target.as_bytes()) as TargetMark
}

/// What a host has at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNote {
    /// The target.
    pub target: TargetMark,
    /// Requests in flight.
    pub own: u16,
    /// KV cache that they take, thousands of tokens times layers.
    pub held: u32,
    /// Whether it failed that host of late.
    pub down: bool,
}

/// The layers that a target holds by its own report, or was ordered to hold; the list says so
/// later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldNote {
    /// The target.
    pub target: TargetMark,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Whether it holds them; else it was ordered to.
    pub done: bool,
}

/// What a host has counted of a service's requests and repeated sends in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountNote {
    /// The mark of the service.
    pub service: TargetMark,
    /// Requests.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

/// How far a host has read the list of targets, and what it came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMark {
    /// The next offset.
    pub next: Offset,
    /// The digest of the list.
    pub digest: u64,
}

/// When what a host has read was last proven to be what the store holds, as times that the hearer
/// can place: from hearing its heartbeat, ms; negative when the proof is older than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The hearer's time in its last heartbeat that was heard, ms.
    pub sent: u64,
    /// The proof of the configuration.
    pub config: Option<i64>,
    /// The proof of the list of targets.
    pub list: Option<i64>,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// The sender's life.
    pub life: u64,
    /// Grows with every heartbeat of a life.
    pub sequence: u64,
    /// When it was sent on the sender's clock, ms since its start.
    pub sent: u64,
    /// The sender's proof, for this hearer.
    pub echo: Option<Echo>,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// The version of its configuration; 0 for none.
    pub config: u64,
    /// How far it has read the list of targets.
    pub list: ListMark,
    /// What it has in flight.
    pub loads: Vec<LoadNote>,
    /// What it has counted.
    pub counts: Vec<CountNote>,
    /// What it has ordered, and learned, of targets' layers.
    pub holds: Vec<HoldNote>,
    /// Some hosts that it knows.
    pub named: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Option<Instant>,
    told: Option<Instant>,
    known: Instant,
    near: bool,
    life: u64,
    sequence: u64,
    /// Its clock in its last heartbeat.
    sent: u64,
    leaving: bool,
    config: u64,
    list: ListMark,
    loads: HashMap<TargetMark, LoadNote>,
    counts: Vec<CountNote>,
}

/// What a heartbeat brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    /// The sender was not known, or had been silent.
    pub joined: bool,
    /// When the sender's configuration was proven, on the own clock.
    pub proven: Option<Instant>,
    /// The same of its list of targets.
    pub listed: Option<Instant>,
    /// Whether the sender is of the own data centre.
    pub near: bool,
}

/// What a host tells of itself.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The version of its configuration.
    pub config: u64,
    /// When that was last proven to be the newest.
    pub proven: Option<Instant>,
    /// How far it has read the list of targets.
    pub list: ListMark,
    /// When that was last proven to be all there is.
    pub listed: Option<Instant>,
    /// What it has in flight.
    pub loads: Vec<LoadNote>,
    /// What it has counted.
    pub counts: Vec<CountNote>,
    /// What it has ordered, and learned, of targets' layers.
    pub holds: Vec<HoldNote>,
}

/// All other hosts.
#[derive(Clone, Debug)]
pub struct Peers {
    addr: SocketAddr,
    data_centre: DataCentreId,
    life: u64,
    begun: Instant,
    sequence: u64,
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
        let data_centre = data_centre.to_owned();
        let mut peers = Peers {
            addr,
            data_centre,
            life,
            begun: now,
            sequence: 0,
            all: BTreeMap::new(),
            next_named: 0,
        };
        for seed in seeds {
            peers.learn(*seed, now);
        }
        peers
    }

    fn learn(&mut self, addr: SocketAddr, now: Instant) {
        if addr == self.addr {
            return;
        }
        self.all.entry(addr).or_insert_with(|| Peer::unknown(now));
    }

    /// Takes a heartbeat; `None` for one that is no news.
    pub fn hear(&mut self, from: SocketAddr, beat: Beat, now: Instant) -> Option<Heard> {
        self.learn(from, now);
        for addr in &beat.named {
            self.learn(*addr, now);
        }
        let near = beat.data_centre == self.data_centre;
        let begun = self.begun;
        let peer = self.all.get_mut(&from)?;
        let stale = beat.life == peer.life && beat.sequence <= peer.sequence;
        if stale {
            return None;
        }
        let joined = !peer.alive(now) || beat.life != peer.life;
        peer.life = beat.life;
        peer.sequence = beat.sequence;
        peer.heard = Some(now);
        peer.near = near;
        peer.sent = beat.sent;
        peer.leaving = beat.leaving;
        peer.config = beat.config;
        peer.list = beat.list;
        peer.counts = beat.counts;
        peer.loads = beat.loads.into_iter().map(|note| (note.target, note)).collect();
        let placed = |echo: Echo, since: i64| {
            let sent = begun.checked_add(Duration::from_millis(echo.sent))?;
            let since_then = Duration::from_millis(since.unsigned_abs());
            let proven = match since {
                ..0 => sent.checked_sub(since_then)?,
                _ => sent.checked_add(since_then)?,
            };
            // No proof is newer than its telling.
            Some(proven.min(now))
        };
        let proven = beat.echo.and_then(|echo| placed(echo, echo.config?));
        let listed = beat.echo.and_then(|echo| placed(echo, echo.list?));
        Some(Heard { joined, proven, listed, near })
    }

    /// Makes the next heartbeats due at once: to the own data centre, or to all.
    pub fn make_due(&mut self, all: bool) {
        self.all.values_mut().filter(|p| all || p.near).for_each(|p| p.told = None);
    }

    /// The heartbeats that are due, with their hearers.
    pub fn due(&mut self, own: &Own, now: Instant) -> Vec<(SocketAddr, Beat)> {
        self.all.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.saturating_duration_since(last) < FORGOTTEN
        });
        let near = NEAR.max(NEAR_EACH * self.near(now) as u32);
        let due: Vec<SocketAddr> = self
            .all
            .iter()
            .filter(|(_, peer)| {
                let period = match (peer.alive(now), peer.near) {
                    (false, _) => CONTACT,
                    (true, true) => near,
                    (true, false) => FAR,
                };
                peer.told.is_none_or(|told| now.saturating_duration_since(told) >= period)
            })
            .map(|(addr, _)| *addr)
            .collect();
        due.into_iter().map(|addr| (addr, self.beat(addr, own, now))).collect()
    }

    fn beat(&mut self, to: SocketAddr, own: &Own, now: Instant) -> Beat {
        self.sequence += 1;
        let alive: Vec<SocketAddr> =
            self.all.iter().filter(|(_, p)| p.alive(now)).map(|(addr, _)| *addr).collect();
        let mut named = Vec::new();
        for step in 0..NAMED.min(alive.len()) {
            named.push(alive[(self.next_named + step) % alive.len()]);
        }
        self.next_named = self.next_named.wrapping_add(NAMED);
        let mut loads = own.loads.clone();
        loads.sort_by_key(|note| std::cmp::Reverse((note.down, note.held, note.own)));
        loads.truncate(TOLD);
        let sent = now.saturating_duration_since(self.begun).as_millis() as u64;
        let mut echo = None;
        if let Some(peer) = self.all.get_mut(&to) {
            peer.told = Some(now);
            echo = peer.heard.map(|heard| {
                let since = |proven: Instant| {
                    let after = proven.saturating_duration_since(heard).as_millis() as i64;
                    // An older proof is rounded up to the older side.
                    let before = heard.saturating_duration_since(proven).as_millis() as i64;
                    if proven >= heard { after } else { -(before + 1) }
                };
                let (config, list) = (own.proven.map(since), own.listed.map(since));
                Echo { sent: peer.sent, config, list }
            });
        }
        Beat {
            data_centre: self.data_centre.clone(),
            life: self.life,
            sequence: self.sequence,
            sent,
            echo,
            leaving: own.leaving,
            config: own.config,
            list: own.list,
            loads,
            counts: own.counts.clone(),
            holds: own.holds.clone(),
            named,
        }
    }

    /// What the other hosts have in flight at each target, and whether it failed one of them.
    pub fn loads(&self, now: Instant) -> HashMap<TargetMark, LoadNote> {
        let mut sums: HashMap<TargetMark, LoadNote> = HashMap::new();
        for peer in self.all.values().filter(|p| p.alive(now)) {
            for note in peer.loads.values() {
                let sum = sums.entry(note.target).or_default();
                sum.own = sum.own.saturating_add(note.own);
                sum.held = sum.held.saturating_add(note.held);
                sum.down |= note.down && peer.near;
            }
        }
        sums
    }

    /// What the other hosts have counted for a service, by their last word.
    pub fn counted(&self, service: TargetMark, now: Instant) -> Counted {
        let recent =
            |p: &&Peer| p.heard.is_some_and(|heard| now.saturating_duration_since(heard) < COUNTED);
        let notes = self.all.values().filter(recent).flat_map(|p| &p.counts);
        notes.filter(|n| n.service == service).fold(Counted::default(), |sum, n| Counted {
            requests: sum.requests + n.requests,
            repeats: sum.repeats + n.repeats,
        })
    }

    /// Hosts that live or lived of late, this one included.
    pub fn hosts(&self) -> usize {
        1 + self.all.values().filter(|p| p.heard.is_some()).count()
    }

    /// Hosts of the own data centre that live, this one left out.
    pub fn near(&self, now: Instant) -> usize {
        self.all.values().filter(|p| p.near && p.alive(now)).count()
    }

    /// This host's place among those of its data centre that live and stay; 0 is the first.
    pub fn place(&self, now: Instant) -> usize {
        let before = self.all.iter().filter(|(addr, p)| {
            p.near && p.alive(now) && !p.leaving && p.config > 0 && **addr < self.addr
        });
        before.count()
    }

    /// This host's place in the order in which hosts read the store: one of the whole system reads,
    /// and when it is silent the next one of each data centre does.
    pub fn reading_place(&self, now: Instant) -> usize {
        let stays = |p: &Peer| p.alive(now) && !p.leaving && p.config > 0;
        let far = self.all.iter().any(|(addr, p)| !p.near && stays(p) && *addr < self.addr);
        self.place(now) + usize::from(far)
    }

    /// The newest version of the configuration that any living host has.
    pub fn newest_config(&self, now: Instant) -> u64 {
        let alive = self.all.values().filter(|p| p.alive(now));
        alive.map(|p| p.config).max().unwrap_or(0)
    }
}

impl Peer {
    fn unknown(now: Instant) -> Peer {
        Peer {
            heard: None,
            told: None,
            known: now,
            near: false,
            life: 0,
            sequence: 0,
            sent: 0,
            leaving: false,
            config: 0,
            list: ListMark::default(),
            loads: HashMap::new(),
            counts: Vec::new(),
        }
    }

    fn alive(&self, now: Instant) -> bool {
        let most = if self.near { GONE } else { FAR_GONE };
        self.heard.is_some_and(|heard| now.saturating_duration_since(heard) < most)
    }
}
