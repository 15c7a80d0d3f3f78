//! Builds the heartbeats that are due.
//!
//! The content depends on the receiver: a host that hears all others gets the sender's own loads, a
//! host that hears only speakers gets the sums over all hosts but itself, and a speaker of another
//! data centre gets the sums over this one.

use super::demand::HostsDemand;
use super::message::{Echo, Heartbeat, KnownHost, Scope, life_tag};
use super::peer::{Peer, Rank};
use super::relation::{self, Relation};
use super::sums::{self, LoadSpace, ReportedLoads, Sums};
use super::{LocalState, Peers};
use crate::gateway::demand;
use crate::gateway::hashes::CentreHash;
use crate::prelude::*;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Number of hosts of the receiver's data centre, by rank, that heartbeats make known, so that the
/// next ones are known if the speakers are lost together. It exceeds three speakers and three to
/// follow them, so that the loss of a third of the hosts almost certainly leaves some.
const NAMED_AT_CONTACT: usize = 12;
/// How many of these, and of hosts of other data centres, one heartbeat names.
const NAMED_PER_HEARTBEAT: usize = 4;
/// Number of hosts of each other data centre to name: its speakers.
const NAMED_PER_FAR_CENTRE: usize = 3;
/// How long a host that starts contacts its seeds more often; they may start a little later.
const SEED_SEARCH: Duration = Duration::from_secs(3);

/// Part of the space for loads and demand that the demand may take.
const DEMAND_DIVISOR: usize = 2;

/// Which heartbeats are sent at once, regardless of their period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    Normal,
    Near,
    All,
}

/// Known hosts at the time when receivers are chosen.
struct Membership {
    /// Hosts of the own data centre to ask, by rank.
    asked: Vec<Rank>,
    /// Number of other hosts of the own data centre that are presumed alive.
    near: usize,
    /// Whether any of them is heard.
    heard: bool,
    /// Number of speakers that are heard, by data centre.
    far: BTreeMap<CentreHash, usize>,
}

impl Membership {
    fn speakers(&self, centre: CentreHash) -> usize {
        self.far.get(&centre).copied().unwrap_or(0)
    }
}

/// State from which one round of heartbeats is built.
struct Round<'a> {
    own: &'a LocalState,
    /// Sums over the other hosts of the own data centre.
    near: Sums,
    /// Sums over all other hosts.
    others: Sums,
    /// Demand at the other hosts of the own data centre.
    demand: HostsDemand,
    /// Hosts that were heard and are not forgotten: of the own data centre, and of all.
    near_known: usize,
    known: usize,
    /// Hosts that are heard, by data centre and rank.
    ranked: BTreeMap<CentreHash, Vec<KnownHost>>,
}

impl Peers {
    /// Makes the next heartbeats due at once: those to the own data centre, or `all`.
    pub fn make_due(&mut self, all: bool) {
        self.urgency = self.urgency.max(if all { Urgency::All } else { Urgency::Near });
    }

    /// The heartbeats that are due, with their receivers.
    pub fn due(&mut self, own: &LocalState, now: Instant) -> Vec<(SocketAddr, Heartbeat)> {
        self.leaving = own.leaving;
        self.reading = own.reading;
        self.speaking = self.speaks(now);
        self.all.retain(|_, peer| !peer.is_expired(now));
        let due = self.due_receivers(now);
        self.urgency = Urgency::Normal;
        if due.is_empty() {
            return Vec::new();
        }
        let round = self.round(own, now);
        due.into_iter().map(|(addr, to)| (addr, self.heartbeat(addr, to, &round, now))).collect()
    }

    fn due_receivers(&self, now: Instant) -> Vec<(SocketAddr, Relation)> {
        let members = self.membership(now);
        let due = |peer: &&Peer, to: Relation| {
            let period = to.period(members.near);
            let over = |last_sent| now.saturating_duration_since(last_sent) >= period;
            peer.last_sent.is_none_or(over) || self.is_urgent(to)
        };
        let relation = |peer: &Peer| self.relation(peer, &members, now);
        let related = self.all.values().filter_map(|peer| Some((peer, relation(peer)?)));
        related.filter(|(peer, to)| due(peer, *to)).map(|(peer, to)| (peer.addr, to)).collect()
    }

    fn membership(&self, now: Instant) -> Membership {
        let mut asked = self.ranked_near(now);
        let near = asked.len().saturating_sub(1).max(self.near_alive(now));
        let heard = self.near_alive(now) > 0;
        asked.truncate(relation::asked(asked.len(), heard));
        let mut far = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.speaks && p.alive(false, now)) {
            *far.entry(peer.centre.unwrap_or_default()).or_insert(0) += 1;
        }
        Membership { asked, near, heard, far }
    }

    fn is_urgent(&self, to: Relation) -> bool {
        match to {
            Relation::Speaker | Relation::Listener => self.urgency >= Urgency::Near,
            Relation::FarSpeaker => self.urgency == Urgency::All,
            Relation::Requester | Relation::StartupSeed | Relation::Contact | Relation::Seed => {
                false
            }
        }
    }

    /// Role of a host towards this one; `None` if it gets no heartbeats.
    fn relation(&self, peer: &Peer, members: &Membership, now: Instant) -> Option<Relation> {
        let near = self.is_near(peer);
        let speaks = self.speaking;
        let alive = peer.alive(near, now);
        if near && members.asked.contains(&peer.rank()) {
            return Some(Relation::Speaker);
        }
        if near && speaks && alive {
            return Some(Relation::Listener);
        }
        let far = !near && peer.centre.is_some() && speaks;
        if far && alive && peer.speaks {
            return Some(Relation::FarSpeaker);
        }
        if alive && peer.asks {
            return Some(Relation::Requester);
        }
        // A speaker keeps contacting former or possible speakers of another data centre until it
        // hears enough of them.
        let was_speaker = peer.last_heard.is_some() && peer.speaks;
        let may_be_speaker = peer.last_heard.is_none() && peer.presumed_alive(near, now);
        let speakers = peer.centre.map_or(0, |centre| members.speakers(centre));
        if far
            && ((was_speaker && speakers == 0)
                || (may_be_speaker && speakers < NAMED_PER_FAR_CENTRE))
        {
            return Some(Relation::Contact);
        }
        match (peer.seed, members.heard) {
            (true, false) if now < self.started + SEED_SEARCH => Some(Relation::StartupSeed),
            (true, false) => Some(Relation::Contact),
            (true, true) if speaks => Some(Relation::Seed),
            _ => None,
        }
    }

    fn round<'a>(&self, own: &'a LocalState, now: Instant) -> Round<'a> {
        let mut near = self.near_sums(now);
        near.clear_failures(&own.refuted);
        let mut others = near.clone();
        self.add_far(&mut others, now);
        let (near_known, known) = (self.near_known(), self.reported_hosts());
        let demand = self.near_demand(now);
        Round { own, near, others, demand, near_known, known, ranked: self.ranked(now) }
    }

    fn heartbeat(
        &mut self,
        to: SocketAddr,
        relation: Relation,
        round: &Round<'_>,
        now: Instant,
    ) -> Heartbeat {
        self.sequence += 1;
        let own = round.own;
        let sent = now.saturating_duration_since(self.started).as_millis() as u64;
        let centre = self.all.get(&to).and_then(|peer| peer.centre);
        let named = self.hosts_to_name(to, centre, relation, round);
        let mut heartbeat = Heartbeat {
            centre: self.centre,
            capacity: self.capacity,
            life: self.life,
            sequence: self.sequence,
            sent,
            echo: None,
            leaving: own.leaving,
            reading: own.reading,
            speaks: self.speaking,
            asks: relation.asks(),
            config: own.config,
            list: own.list,
            scope: Scope::Own,
            known: u16::try_from(round.known).unwrap_or(u16::MAX),
            loads: Vec::new(),
            far: Vec::new(),
            counts: Vec::new(),
            demand_hosts: 1,
            demand: own.demand.clone(),
            holds: own.holdings.clone(),
            paces: own.paces.clone(),
            fatal: own.fatal.clone(),
            limits: own.limits.clone(),
            named,
        };
        let Some(peer) = self.all.get_mut(&to) else { return heartbeat };
        if let Relation::Listener | Relation::FarSpeaker = relation {
            let included = relation == Relation::Listener && peer.scope == Scope::Own;
            let receiver = included.then_some(&*peer).filter(|p| p.alive(true, now));
            (heartbeat.demand_hosts, heartbeat.demand) = round.demand.report(&own.demand, receiver);
        }
        let free = sums::free_bytes(&heartbeat.fatal, heartbeat.limits.len());
        demand::fit(&mut heartbeat.demand, free / DEMAND_DIVISOR);
        let max_loads = sums::load_capacity(free, &heartbeat.demand);
        peer.record_sent(relation.asks(), now);
        heartbeat.echo = peer.last_heard.map(|heard| own.echo(peer.life, peer.sender_clock, heard));
        let none = HashSet::new();
        let first = if relation == Relation::FarSpeaker { &none } else { &own.home };
        let space = LoadSpace { most: max_loads, turn: peer.sent, first };
        let mut sums = match relation {
            Relation::Listener if peer.scope == Scope::Own => round.others.without(peer),
            Relation::Listener => round.others.clone(),
            Relation::FarSpeaker => round.near.clone(),
            _ => {
                let loads = ReportedLoads::of(own.loads.clone(), Vec::new(), &space);
                (heartbeat.loads, heartbeat.far) = (loads.always, loads.rotated);
                heartbeat.counts.clone_from(&own.counts);
                return heartbeat;
            }
        };
        sums.add_loads(&own.loads, true);
        let hosts = u16::try_from(sums.hosts + 1).unwrap_or(u16::MAX);
        heartbeat.scope = match relation {
            Relation::FarSpeaker => {
                heartbeat.known = u16::try_from(round.near_known).unwrap_or(u16::MAX);
                Scope::Centre(hosts)
            }
            _ => Scope::Others(hosts),
        };
        let loads = sums.report(&space);
        (heartbeat.loads, heartbeat.far) = (loads.always, loads.rotated);
        heartbeat
    }

    /// Hosts that a heartbeat names: the first of the receiver's data centre, and speakers of
    /// others, in rotation for receivers that get further heartbeats soon. Only hosts that are
    /// heard here are named, otherwise a dead one would be named forever.
    fn hosts_to_name(
        &mut self,
        to: SocketAddr,
        centre: Option<CentreHash>,
        relation: Relation,
        round: &Round<'_>,
    ) -> Vec<KnownHost> {
        let first = |hash: &CentreHash, most: usize| {
            let all = round.ranked.get(hash).into_iter().flatten();
            all.filter(|n| n.addr != to).take(most).copied().collect::<Vec<_>>()
        };
        let own = centre.map(|hash| first(&hash, NAMED_AT_CONTACT)).unwrap_or_default();
        let others = round.ranked.keys().filter(|hash| centre != Some(**hash));
        let far: Vec<KnownHost> =
            others.flat_map(|hash| first(hash, NAMED_PER_FAR_CENTRE)).collect();
        let most = match relation {
            Relation::Requester | Relation::StartupSeed | Relation::Contact | Relation::Seed => {
                NAMED_AT_CONTACT
            }
            Relation::Speaker | Relation::Listener | Relation::FarSpeaker => NAMED_PER_HEARTBEAT,
        };
        self.next_named = self.next_named.wrapping_add(1);
        let mut named = rotate_window(&own, most, self.next_named);
        named.extend(rotate_window(&far, NAMED_PER_HEARTBEAT, self.next_named));
        named
    }
}

/// Up to `most` entries of a list, different ones with each turn.
fn rotate_window(all: &[KnownHost], most: usize, turn: usize) -> Vec<KnownHost> {
    let most = most.min(all.len());
    (0..most).map(|step| all[(turn * most + step) % all.len()]).collect()
}

impl LocalState {
    /// Freshness proofs for a receiver whose last heartbeat arrived at `heard` and was sent by its
    /// process `life` at `sent` on that process's clock.
    fn echo(&self, life: u64, sent: u64, heard: Instant) -> Echo {
        let since = |proven: Instant| {
            let after = proven.saturating_duration_since(heard).as_millis() as i64;
            // Rounded up, so that the proof is not taken for newer than it is.
            let before = heard.saturating_duration_since(proven).as_millis() as i64;
            if proven >= heard { after } else { -(before + 1) }
        };
        let (config, list) = (self.config_proven.map(since), self.list_proven.map(since));
        Echo { life: life_tag(life), sent, config, list }
    }
}
