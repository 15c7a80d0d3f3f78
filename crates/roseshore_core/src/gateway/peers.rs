//! What entry hosts tell each other.
//!
//! Each host tells others several times a second what it has in flight at each target, which
//! targets failed it, and how much of the store it has read. So a choice sees the load of all
//! hosts, and one host's reads of the store serve its neighbours. Who tells whom is decided in
//! [`audience`]; this module keeps who is there, and what they said.
//!
//! Nothing here has to arrive. A heartbeat that is late must not pass for a fresh one, so a proof
//! of freshness is counted on the hearer's own clock: the sender names the last heartbeat that it
//! heard from the hearer, and how long after that its proof was made. A proof that comes through
//! a speaker is placed on the speaker's clock first, and grows older with each step.

pub mod audience;
mod message;
mod peer;
mod sums;

use super::allowance::Counted;
use crate::prelude::*;
use audience::Relation;
pub use message::{
    Beat, CentreMark, CountNote, Echo, HoldNote, ListMark, LoadNote, Named, Scope, TargetMark, mark,
};
use peer::{Peer, Rank, rank};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use sums::{Sums, foremost};

/// Hosts of the hearer's data centre that a heartbeat names, by rank: when the speakers are lost
/// together, the next ones are known. More than three speakers and three to follow them, so that
/// the loss of a third of the hosts leaves some with near certainty.
const STANDBY: usize = 12;
/// Of these, and of hosts of other data centres, those that one heartbeat names.
const NAMED: usize = 4;
/// A host that has begun tries its seeds often for so long: they may begin a little later.
const SEEKING: Duration = Duration::from_secs(3);
/// Hosts of each other data centre worth naming: its speakers.
const FAR_FIRST: usize = 3;

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
#[derive(Clone, Debug)]
pub struct Own {
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the store answers it.
    pub reading: bool,
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

impl Default for Own {
    fn default() -> Own {
        Own {
            leaving: false,
            reading: true,
            config: 0,
            proven: None,
            list: ListMark::default(),
            listed: None,
            loads: Vec::new(),
            counts: Vec::new(),
            holds: Vec::new(),
        }
    }
}

/// What all other hosts have told.
#[derive(Clone, Debug)]
pub struct View {
    /// What they have in flight at each target, and whether it failed one of them.
    pub loads: HashMap<TargetMark, LoadNote>,
    /// Hosts that live or lived of late, the viewing one included.
    pub hosts: usize,
    sums: Sums,
}

impl View {
    /// What they have counted for a service.
    pub fn counted(&self, service: TargetMark) -> Counted {
        self.sums.counted(service)
    }
}

/// All other hosts.
#[derive(Clone, Debug)]
pub struct Peers {
    addr: SocketAddr,
    centre: CentreMark,
    capacity: u16,
    life: u64,
    begun: Instant,
    sequence: u64,
    leaving: bool,
    reading: bool,
    /// Whether it spoke for its data centre when it last told others.
    speaking: bool,
    hurry: Hurry,
    all: BTreeMap<SocketAddr, Peer>,
    next_named: usize,
}

/// Whose next heartbeats do not wait for their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Hurry {
    No,
    Near,
    All,
}

/// Who there is when it is decided whom to tell.
struct Around {
    /// Hosts of the own data centre to ask, by rank.
    asked: Vec<Rank>,
    /// Other hosts of the own data centre that are known to live.
    near: usize,
    /// Whether any of them is heard.
    heard: bool,
    /// Speakers that are heard, by data centre.
    far: BTreeMap<CentreMark, usize>,
}

impl Around {
    fn speakers(&self, centre: CentreMark) -> usize {
        self.far.get(&centre).copied().unwrap_or(0)
    }
}

/// What one round of heartbeats is made from.
struct Round<'a> {
    own: &'a Own,
    /// Other hosts of the own data centre.
    near: Sums,
    /// All other hosts.
    others: Sums,
    /// Hosts that are heard, by data centre and rank.
    ranked: BTreeMap<CentreMark, Vec<Named>>,
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
            centre: mark(data_centre),
            capacity: 0,
            life,
            begun: now,
            sequence: 0,
            leaving: false,
            reading: true,
            speaking: true,
            hurry: Hurry::No,
            all: seeds.iter().filter(|seed| **seed != addr).map(seed).collect(),
            next_named: 0,
        }
    }

    /// The same host with a processor share, thousandths of a core.
    #[must_use]
    pub fn with_capacity(self, capacity: u16) -> Peers {
        Peers { capacity, ..self }
    }

    /// Takes a heartbeat; `None` for one that is no news.
    pub fn hear(&mut self, from: SocketAddr, beat: Beat, now: Instant) -> Option<Heard> {
        for named in &beat.named {
            self.learn(named, now);
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
        let joined = peer.heard.is_none() || beat.life != peer.life || back;
        let echo = beat.echo;
        peer.take(beat, now);
        let proven = echo.and_then(|echo| self.placed(echo, echo.config?, now));
        let listed = echo.and_then(|echo| self.placed(echo, echo.list?, now));
        Some(Heard { joined, proven, listed, near })
    }

    fn learn(&mut self, named: &Named, now: Instant) {
        if named.addr == self.addr {
            return;
        }
        let unknown = || Peer::unknown(named.addr, now);
        self.all.entry(named.addr).or_insert_with(unknown).name(named, now);
    }

    /// A proof's time on the own clock; none is newer than its telling.
    fn placed(&self, echo: Echo, since: i64, now: Instant) -> Option<Instant> {
        let sent = self.begun.checked_add(Duration::from_millis(echo.sent))?;
        let since_then = Duration::from_millis(since.unsigned_abs());
        let proven = match since {
            ..0 => sent.checked_sub(since_then)?,
            _ => sent.checked_add(since_then)?,
        };
        Some(proven.min(now))
    }

    /// Makes the next heartbeats due at once: to the own data centre, or to all.
    pub fn make_due(&mut self, all: bool) {
        self.hurry = self.hurry.max(if all { Hurry::All } else { Hurry::Near });
    }

    /// The heartbeats that are due, with their hearers.
    pub fn due(&mut self, own: &Own, now: Instant) -> Vec<(SocketAddr, Beat)> {
        self.leaving = own.leaving;
        self.reading = own.reading;
        self.speaking = self.speaks(now);
        self.all.retain(|_, peer| !peer.forgotten(now));
        let due = self.due_hearers(now);
        self.hurry = Hurry::No;
        if due.is_empty() {
            return Vec::new();
        }
        let round = self.round(own, now);
        due.into_iter().map(|(addr, to)| (addr, self.beat(addr, to, &round, now))).collect()
    }

    fn due_hearers(&self, now: Instant) -> Vec<(SocketAddr, Relation)> {
        let around = self.around(now);
        let due = |peer: &&Peer, to: Relation| {
            let period = to.period(around.near);
            let over = |told| now.saturating_duration_since(told) >= period;
            peer.told.is_none_or(over) || self.hurries(to)
        };
        let relation = |peer: &Peer| self.relation(peer, &around, now);
        let related = self.all.values().filter_map(|peer| Some((peer, relation(peer)?)));
        related.filter(|(peer, to)| due(peer, *to)).map(|(peer, to)| (peer.addr, to)).collect()
    }

    fn around(&self, now: Instant) -> Around {
        let mut asked = self.ranked_near(now);
        let near = asked.len().saturating_sub(1).max(self.near(now));
        let heard = self.near(now) > 0;
        asked.truncate(audience::asked(asked.len(), heard));
        let mut far = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.speaks && p.alive(false, now)) {
            *far.entry(peer.centre.unwrap_or_default()).or_insert(0) += 1;
        }
        Around { asked, near, heard, far }
    }

    fn hurries(&self, to: Relation) -> bool {
        match to {
            Relation::Speaker | Relation::Listener => self.hurry >= Hurry::Near,
            Relation::FarSpeaker => self.hurry == Hurry::All,
            Relation::Asker | Relation::Sought | Relation::Contact | Relation::Seed => false,
        }
    }

    /// What a host is to this one; `None` when there is nothing to tell it.
    fn relation(&self, peer: &Peer, around: &Around, now: Instant) -> Option<Relation> {
        let near = peer.centre == Some(self.centre);
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
            return Some(Relation::Asker);
        }
        // Who speaks keeps trying those who spoke, or may, until enough of their data centre are
        // heard.
        let spoke = peer.heard.is_some() && peer.speaks;
        let said = peer.heard.is_none() && peer.sound(near, now);
        let speakers = peer.centre.map_or(0, |centre| around.speakers(centre));
        if far && ((spoke && speakers == 0) || (said && speakers < FAR_FIRST)) {
            return Some(Relation::Contact);
        }
        match (peer.seed, around.heard) {
            (true, false) if now < self.begun + SEEKING => Some(Relation::Sought),
            (true, false) => Some(Relation::Contact),
            (true, true) if speaks => Some(Relation::Seed),
            _ => None,
        }
    }

    fn round<'a>(&self, own: &'a Own, now: Instant) -> Round<'a> {
        let near = self.near_sums(now);
        let mut others = near.clone();
        self.add_far(&mut others, now);
        Round { own, near, others, ranked: self.ranked(now) }
    }

    fn beat(&mut self, to: SocketAddr, as_what: Relation, round: &Round<'_>, now: Instant) -> Beat {
        self.sequence += 1;
        let own = round.own;
        let sent = now.saturating_duration_since(self.begun).as_millis() as u64;
        let centre = self.all.get(&to).and_then(|peer| peer.centre);
        let named = self.names(to, centre, as_what, round);
        let mut beat = Beat {
            centre: self.centre,
            capacity: self.capacity,
            life: self.life,
            sequence: self.sequence,
            sent,
            echo: None,
            leaving: own.leaving,
            reading: own.reading,
            speaks: self.speaking,
            asks: as_what.asks(),
            config: own.config,
            list: own.list,
            scope: Scope::Own,
            loads: Vec::new(),
            far: Vec::new(),
            counts: Vec::new(),
            holds: own.holds.clone(),
            named,
        };
        let Some(peer) = self.all.get_mut(&to) else { return beat };
        peer.told(as_what.asks(), now);
        beat.echo = peer.heard.map(|heard| own.echo(peer.sent, heard));
        let mut sums = match as_what {
            Relation::Listener if peer.scope == Scope::Own => round.others.without(peer),
            Relation::Listener => round.others.clone(),
            Relation::FarSpeaker => round.near.clone(),
            _ => {
                beat.loads = foremost(own.loads.clone());
                beat.counts.clone_from(&own.counts);
                return beat;
            }
        };
        sums.add_loads(&own.loads, true);
        sums.add_counts(&own.counts);
        let hosts = u16::try_from(sums.hosts + 1).unwrap_or(u16::MAX);
        beat.scope = match as_what {
            Relation::FarSpeaker => Scope::Centre(hosts),
            _ => Scope::Others(hosts),
        };
        beat.loads = sums.near_notes();
        beat.far = sums.far_notes(beat.loads.len(), self.sequence as usize);
        beat.counts = sums.count_notes();
        beat
    }

    /// Hosts that a heartbeat names: the first of the hearer's data centre, and speakers of others;
    /// some of them in turn to those who hear more soon. Only those that are heard here, or
    /// a dead one would be named for ever.
    fn names(
        &mut self,
        to: SocketAddr,
        centre: Option<CentreMark>,
        as_what: Relation,
        round: &Round<'_>,
    ) -> Vec<Named> {
        let first = |mark: &CentreMark, most: usize| {
            let all = round.ranked.get(mark).into_iter().flatten();
            all.filter(|n| n.addr != to).take(most).copied().collect::<Vec<_>>()
        };
        let own = centre.map(|mark| first(&mark, STANDBY)).unwrap_or_default();
        let others = round.ranked.keys().filter(|mark| centre != Some(**mark));
        let far: Vec<Named> = others.flat_map(|mark| first(mark, FAR_FIRST)).collect();
        let most = match as_what {
            Relation::Asker | Relation::Sought | Relation::Contact | Relation::Seed => STANDBY,
            Relation::Speaker | Relation::Listener | Relation::FarSpeaker => NAMED,
        };
        self.next_named = self.next_named.wrapping_add(1);
        let mut named = in_turn(&own, most, self.next_named);
        named.extend(in_turn(&far, NAMED, self.next_named));
        named
    }

    /// Hosts that are heard, by data centre and rank.
    fn ranked(&self, now: Instant) -> BTreeMap<CentreMark, Vec<Named>> {
        let mut ranked: BTreeMap<CentreMark, Vec<Named>> = BTreeMap::new();
        for peer in self.all.values() {
            let Some(centre) = peer.centre else { continue };
            if peer.leaving || !peer.alive(centre == self.centre, now) {
                continue;
            }
            let named = Named { addr: peer.addr, centre, capacity: peer.capacity };
            ranked.entry(centre).or_default().push(named);
        }
        for hosts in ranked.values_mut() {
            hosts.sort_by_key(|n| rank(n.capacity, n.addr));
        }
        ranked
    }

    /// The hosts of the own data centre that may be taken to live and stay, by rank, this one
    /// included.
    fn ranked_near(&self, now: Instant) -> Vec<Rank> {
        let near = self.all.values().filter(|p| p.centre == Some(self.centre));
        let stays = near.filter(|p| !p.leaving && p.sound(true, now));
        let mut ranks: Vec<Rank> = stays.map(Peer::rank).collect();
        if !self.leaving {
            ranks.push(self.rank());
        }
        ranks.sort_unstable();
        ranks
    }

    fn rank(&self) -> Rank {
        rank(self.capacity, self.addr)
    }

    /// Whether this host spoke for its data centre when it last told others.
    pub fn speaking(&self) -> bool {
        self.speaking
    }

    /// Whether this host speaks for its data centre.
    pub fn speaks(&self, now: Instant) -> bool {
        let ranks = self.ranked_near(now);
        ranks.iter().take(audience::speakers(ranks.len())).any(|rank| *rank == self.rank())
    }

    /// Other hosts of the own data centre, as they told of themselves.
    fn near_sums(&self, now: Instant) -> Sums {
        let mut sums = Sums::default();
        let near = |p: &&Peer| p.centre == Some(self.centre) && p.scope == Scope::Own;
        for peer in self.all.values().filter(near) {
            if peer.alive(true, now) {
                sums.hosts += 1;
                sums.add_loads(&peer.loads, true);
            }
            if peer.counts(now) {
                sums.add_counts(&peer.counts);
            }
        }
        sums
    }

    /// Adds other data centres: of each, the word of the speaker that hears most of it.
    fn add_far(&self, sums: &mut Sums, now: Instant) {
        let mut best: BTreeMap<CentreMark, (u16, &Peer)> = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.counts(now)) {
            let Some(centre) = peer.centre.filter(|c| *c != self.centre) else { continue };
            let hosts = match peer.scope {
                Scope::Centre(hosts) => hosts,
                Scope::Own | Scope::Others(_) => 0,
            };
            let word = (peer.alive(false, now), hosts);
            let known = best.get(&centre).map(|(hosts, p)| (p.alive(false, now), *hosts));
            if known < Some(word) {
                best.insert(centre, (hosts, peer));
            }
        }
        for (hosts, peer) in best.into_values() {
            sums.add_counts(&peer.counts);
            if peer.alive(false, now) {
                sums.hosts += usize::from(hosts.max(1));
                sums.add_loads(&peer.loads, false);
            }
        }
    }

    /// All other hosts, as heard from them or from the speaker that hears most.
    fn others(&self, now: Instant) -> Sums {
        let mut heard = self.near_sums(now);
        self.add_far(&mut heard, now);
        let told = |peer: &Peer| match peer.scope {
            Scope::Others(hosts) if peer.alive(true, now) => {
                Some((usize::from(hosts), peer.rank()))
            }
            _ => None,
        };
        let near = self.all.values().filter(|p| p.centre == Some(self.centre));
        let words = near.filter_map(|p| Some((told(p)?, p)));
        let most = words.max_by(|(a, _), (b, _)| (a.0, b.1).cmp(&(b.0, a.1)));
        let Some(((hosts, _), peer)) = most.filter(|((hosts, _), _)| *hosts > heard.hosts) else {
            return heard;
        };
        let mut sums = Sums::default();
        sums.hosts = hosts;
        sums.add_loads(&peer.loads, true);
        sums.add_loads(peer.far(), false);
        sums.add_counts(&peer.counts);
        sums
    }

    /// What the other hosts have in flight and have counted.
    pub fn view(&self, now: Instant) -> View {
        let sums = self.others(now);
        let hosts = self.hosts().max(1 + sums.hosts);
        View { loads: sums.by_target(), sums, hosts }
    }

    /// What the other hosts have in flight at each target, and whether it failed one of them.
    pub fn loads(&self, now: Instant) -> HashMap<TargetMark, LoadNote> {
        self.view(now).loads
    }

    /// Hosts that were heard, and live or lived of late, this one included.
    pub fn hosts(&self) -> usize {
        1 + self.all.values().filter(|p| p.heard.is_some()).count()
    }

    /// Hosts of the own data centre that live, this one left out.
    pub fn near(&self, now: Instant) -> usize {
        let near = |p: &&Peer| p.centre == Some(self.centre) && p.alive(true, now);
        self.all.values().filter(near).count()
    }

    /// This host's place among those of its data centre that live and stay; 0 is the first.
    pub fn place(&self, now: Instant) -> usize {
        self.near_before(now, |p| p.config > 0)
    }

    /// Hosts of the own data centre that come before this one. Of those that are only named nothing
    /// else is known, so they count.
    fn near_before(&self, now: Instant, counts: impl Fn(&Peer) -> bool) -> usize {
        let own = self.rank();
        let before = self.all.values().filter(|p| {
            let near = p.centre == Some(self.centre) && p.rank() < own;
            near && !p.leaving && p.sound(true, now) && (!p.alive(true, now) || counts(p))
        });
        before.count()
    }

    /// This host's place in the order in which hosts read the store: one of the whole system reads,
    /// and when it is silent the next one of each data centre does. Hosts that the store does not
    /// answer come last.
    pub fn reading_place(&self, now: Instant) -> usize {
        let own = (!self.reading, self.rank());
        let before = |p: &Peer, near: bool| {
            let known = p.alive(near, now);
            let stays = !p.leaving && p.sound(near, now) && (!known || p.config > 0);
            stays && (known && !p.reading, p.rank()) < own
        };
        let near = self.all.values().filter(|p| p.centre == Some(self.centre));
        let far = self.all.values().filter(|p| p.centre.is_some_and(|c| c != self.centre));
        let far = far.filter(|p| before(p, false)).count();
        near.filter(|p| before(p, true)).count() + far.min(1)
    }

    /// This host's place in that order when nobody has read anything yet.
    pub fn starting_place(&self, now: Instant) -> usize {
        let own = self.rank();
        let first = |p: &&Peer| p.centre.is_some_and(|c| c != self.centre) && p.rank() < own;
        let far = self.all.values().filter(first).any(|p| p.sound(false, now));
        self.near_before(now, |_| true) + usize::from(far)
    }

    /// Whether there is no other host to hear of.
    pub fn alone(&self) -> bool {
        self.all.is_empty()
    }

    /// The newest version of the configuration that any living host has.
    pub fn newest_config(&self, now: Instant) -> u64 {
        let near = |p: &Peer| p.centre == Some(self.centre);
        let alive = self.all.values().filter(|p| p.alive(near(p), now));
        alive.map(|p| p.config).max().unwrap_or(0)
    }
}

/// So many of a list, others with each turn.
fn in_turn(all: &[Named], most: usize, turn: usize) -> Vec<Named> {
    let most = most.min(all.len());
    (0..most).map(|step| all[(turn * most + step) % all.len()]).collect()
}

impl Own {
    /// The own proofs, for a hearer whose last heartbeat was sent at `sent` on its clock.
    fn echo(&self, sent: u64, heard: Instant) -> Echo {
        let since = |proven: Instant| {
            let after = proven.saturating_duration_since(heard).as_millis() as i64;
            // An older proof is rounded up to the older side.
            let before = heard.saturating_duration_since(proven).as_millis() as i64;
            if proven >= heard { after } else { -(before + 1) }
        };
        Echo { sent, config: self.proven.map(since), list: self.listed.map(since) }
    }
}
