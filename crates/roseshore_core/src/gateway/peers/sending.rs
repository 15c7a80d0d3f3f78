//! Makes the heartbeats that are due.
//!
//! What a heartbeat tells depends on its hearer: a host that hears all others gets the sender's own
//! loads, one that hears only speakers the sums of all hosts but itself, and a speaker of another data
//! centre the sums of this one.

use super::message::{CentreHash, Echo, Heartbeat, KnownHost, Scope};
use super::peer::{Peer, Rank};
use super::relation::{self, Relation};
use super::sums::{self, Sums, most_relevant};
use super::{LocalState, Peers};
use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Hosts of the hearer's data centre that a heartbeat names, by rank: when the speakers are lost
/// together, the next ones are known. More than three speakers and three to follow them, so that
/// the loss of a third of the hosts leaves some with near certainty.
const NAMED_AT_CONTACT: usize = 12;
/// Of these, and of hosts of other data centres, those that one heartbeat names.
const NAMED_PER_HEARTBEAT: usize = 4;
/// Hosts of each other data centre worth naming: its speakers.
const NAMED_PER_FAR_CENTRE: usize = 3;
/// A host that has begun tries its seeds often for so long: they may begin a little later.
const SEED_SEARCH: Duration = Duration::from_secs(3);

/// Whose next heartbeats do not wait for their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    No,
    Near,
    All,
}

/// Who there is when it is decided whom to tell.
struct Membership {
    /// Hosts of the own data centre to ask, by rank.
    asked: Vec<Rank>,
    /// Other hosts of the own data centre that are known to live.
    near: usize,
    /// Whether any of them is heard.
    heard: bool,
    /// Speakers that are heard, by data centre.
    far: BTreeMap<CentreHash, usize>,
}

impl Membership {
    fn speakers(&self, centre: CentreHash) -> usize {
        self.far.get(&centre).copied().unwrap_or(0)
    }
}

/// What one round of heartbeats is made from.
struct Round<'a> {
    own: &'a LocalState,
    /// Other hosts of the own data centre.
    near: Sums,
    /// All other hosts.
    others: Sums,
    /// Hosts that are heard, by data centre and rank.
    ranked: BTreeMap<CentreHash, Vec<KnownHost>>,
}

impl Peers {
    /// Makes the next heartbeats due at once: to the own data centre, or to all.
    pub fn make_due(&mut self, all: bool) {
        self.urgency = self.urgency.max(if all { Urgency::All } else { Urgency::Near });
    }

    /// The heartbeats that are due, with their hearers.
    pub fn due(&mut self, own: &LocalState, now: Instant) -> Vec<(SocketAddr, Heartbeat)> {
        self.leaving = own.leaving;
        self.reading = own.reading;
        self.speaking = self.speaks(now);
        self.all.retain(|_, peer| !peer.is_expired(now));
        let due = self.due_hearers(now);
        self.urgency = Urgency::No;
        if due.is_empty() {
            return Vec::new();
        }
        let round = self.round(own, now);
        due.into_iter().map(|(addr, to)| (addr, self.beat(addr, to, &round, now))).collect()
    }

    fn due_hearers(&self, now: Instant) -> Vec<(SocketAddr, Relation)> {
        let around = self.membership(now);
        let due = |peer: &&Peer, to: Relation| {
            let period = to.period(around.near);
            let over = |told| now.saturating_duration_since(told) >= period;
            peer.last_sent.is_none_or(over) || self.is_urgent(to)
        };
        let relation = |peer: &Peer| self.relation(peer, &around, now);
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

    /// What a host is to this one; `None` when there is nothing to tell it.
    fn relation(&self, peer: &Peer, around: &Membership, now: Instant) -> Option<Relation> {
        let near = self.is_near(peer);
        let speaks = self.speaking;
        let alive = peer.alive(near, now);
        if near && around.asked.contains(&peer.rank()) {
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
        // Who speaks keeps trying those who spoke, or may, until enough of their data centre are
        // heard.
        let spoke = peer.last_heard.is_some() && peer.speaks;
        let said = peer.last_heard.is_none() && peer.presumed_alive(near, now);
        let speakers = peer.centre.map_or(0, |centre| around.speakers(centre));
        if far && ((spoke && speakers == 0) || (said && speakers < NAMED_PER_FAR_CENTRE)) {
            return Some(Relation::Contact);
        }
        match (peer.seed, around.heard) {
            (true, false) if now < self.started + SEED_SEARCH => Some(Relation::StartupSeed),
            (true, false) => Some(Relation::Contact),
            (true, true) if speaks => Some(Relation::Seed),
            _ => None,
        }
    }

    fn round<'a>(&self, own: &'a LocalState, now: Instant) -> Round<'a> {
        let near = self.near_sums(now);
        let mut others = near.clone();
        self.add_far(&mut others, now);
        Round { own, near, others, ranked: self.ranked(now) }
    }

    fn beat(
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
        let mut beat = Heartbeat {
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
            loads: Vec::new(),
            far: Vec::new(),
            counts: Vec::new(),
            holds: own.holdings.clone(),
            paces: own.paces.clone(),
            fatal: own.fatal.clone(),
            limits: own.limits.clone(),
            named,
        };
        let told = sums::load_capacity(&beat.fatal, beat.limits.len());
        let Some(peer) = self.all.get_mut(&to) else { return beat };
        peer.record_sent(relation.asks(), now);
        beat.echo = peer.last_heard.map(|heard| own.echo(peer.sender_clock, heard));
        let mut sums = match relation {
            Relation::Listener if peer.scope == Scope::Own => round.others.without(peer),
            Relation::Listener => round.others.clone(),
            Relation::FarSpeaker => round.near.clone(),
            _ => {
                beat.loads = most_relevant(own.loads.clone(), told);
                beat.counts.clone_from(&own.counts);
                return beat;
            }
        };
        sums.add_loads(&own.loads, true);
        sums.add_counts(&own.counts);
        let hosts = u16::try_from(sums.hosts + 1).unwrap_or(u16::MAX);
        beat.scope = match relation {
            Relation::FarSpeaker => Scope::Centre(hosts),
            _ => Scope::Others(hosts),
        };
        beat.loads = sums.near_loads(told);
        beat.far = sums.far_loads(told - beat.loads.len(), self.sequence as usize);
        beat.counts = sums.service_counts();
        beat
    }

    /// Hosts that a heartbeat names: the first of the hearer's data centre, and speakers of others;
    /// some of them in turn to those who hear more soon. Only those that are heard here, or
    /// a dead one would be named for ever.
    fn hosts_to_name(
        &mut self,
        to: SocketAddr,
        centre: Option<CentreHash>,
        relation: Relation,
        round: &Round<'_>,
    ) -> Vec<KnownHost> {
        let first = |mark: &CentreHash, most: usize| {
            let all = round.ranked.get(mark).into_iter().flatten();
            all.filter(|n| n.addr != to).take(most).copied().collect::<Vec<_>>()
        };
        let own = centre.map(|mark| first(&mark, NAMED_AT_CONTACT)).unwrap_or_default();
        let others = round.ranked.keys().filter(|mark| centre != Some(**mark));
        let far: Vec<KnownHost> =
            others.flat_map(|mark| first(mark, NAMED_PER_FAR_CENTRE)).collect();
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

/// So many of a list, others with each turn.
fn rotate_window(all: &[KnownHost], most: usize, turn: usize) -> Vec<KnownHost> {
    let most = most.min(all.len());
    (0..most).map(|step| all[(turn * most + step) % all.len()]).collect()
}

impl LocalState {
    /// The own proofs, for a hearer whose last heartbeat was sent at `sent` on its clock.
    fn echo(&self, sent: u64, heard: Instant) -> Echo {
        let since = |proven: Instant| {
            let after = proven.saturating_duration_since(heard).as_millis() as i64;
            // An older proof is rounded up to the older side.
            let before = heard.saturating_duration_since(proven).as_millis() as i64;
            if proven >= heard { after } else { -(before + 1) }
        };
        Echo { sent, config: self.config_proven.map(since), list: self.list_proven.map(since) }
    }
}
