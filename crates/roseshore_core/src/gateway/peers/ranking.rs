//! The order of hosts, which determines the speakers, the readers of the store and the issuer of
//! orders.
//!
//! There is no election. Each host computes its rank from the hosts that it hears or that others
//! name, so for a while two hosts may hold the same role, or none does.

use super::message::{KnownHost, Scope};
use super::peer::{Peer, Rank, rank};
use super::{Peers, relation};
use crate::gateway::hashes::{CentreHash, TargetHash};
use crate::gateway::quota::retry_budget::Borrower;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Hosts of a data centre that lend retries. With three, the loss of one leaves most of the pool.
const LENDERS: usize = 3;
/// Time after its start in which a host also counts hosts that it does not hear yet, so that it does
/// not take a share as if there were none.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl Peers {
    /// Hosts that are heard and not leaving, by data centre and rank.
    pub(super) fn ranked(&self, now: Instant) -> BTreeMap<CentreHash, Vec<KnownHost>> {
        let mut ranked: BTreeMap<CentreHash, Vec<KnownHost>> = BTreeMap::new();
        for peer in self.all.values() {
            let Some(centre) = peer.centre else { continue };
            if peer.leaving || !peer.alive(centre == self.centre, now) {
                continue;
            }
            let named = KnownHost { addr: peer.addr, centre, capacity: peer.capacity };
            ranked.entry(centre).or_default().push(named);
        }
        for hosts in ranked.values_mut() {
            hosts.sort_by_key(|n| rank(n.capacity, n.addr));
        }
        ranked
    }

    /// Ranks of the hosts of the own data centre that are presumed alive and not leaving, including
    /// this one, in order.
    pub(super) fn ranked_near(&self, now: Instant) -> Vec<Rank> {
        let near = self.all.values().filter(|p| self.is_near(p));
        let stays = near.filter(|p| !p.leaving && p.presumed_alive(true, now));
        let mut ranks: Vec<Rank> = stays.map(Peer::rank).collect();
        if !self.leaving {
            ranks.push(self.rank());
        }
        ranks.sort_unstable();
        ranks
    }

    pub(super) fn rank(&self) -> Rank {
        rank(self.capacity, self.addr)
    }

    /// Whether this host was a speaker at its last round of heartbeats.
    pub fn speaking(&self) -> bool {
        self.speaking
    }

    /// Whether this host is a speaker for its data centre now.
    pub fn speaks(&self, now: Instant) -> bool {
        let ranks = self.ranked_near(now);
        ranks.iter().take(relation::speakers(ranks.len())).any(|rank| *rank == self.rank())
    }

    /// Number of live hosts in the own data centre, without this one.
    pub fn near_alive(&self, now: Instant) -> usize {
        let near = |p: &&Peer| self.is_near(p) && p.alive(true, now);
        self.all.values().filter(near).count()
    }

    /// Number of other hosts in the system: those that this host hears, or as many as a speaker
    /// reports.
    pub fn other_hosts(&self, now: Instant) -> usize {
        let alive = self.all.values().filter(|p| p.alive(self.is_near(p), now));
        let reported = |p: &Peer| match p.scope {
            Scope::Others(hosts) if self.is_near(p) => usize::from(hosts),
            _ => 0,
        };
        let (heard, most) = alive.fold((0, 0), |(n, most), p| (n + 1, most.max(reported(p))));
        heard.max(most)
    }

    /// This host's rank among those of its data centre that are presumed alive and not leaving; 0
    /// is the first.
    pub fn rank_in_centre(&self, now: Instant) -> usize {
        self.ranked_before(now, |p| p.config > 0)
    }

    /// Address of the host that issues permits in the own data centre: the first that is alive and
    /// not leaving. `None` while the first host is only named by others, not heard.
    pub fn issuer(&self, now: Instant) -> Option<SocketAddr> {
        if self.rank_in_centre(now) == 0 {
            return Some(self.addr);
        }
        let near = self.all.values().filter(|p| self.is_near(p) && p.rank() < self.rank());
        let stays = near.filter(|p| !p.leaving && p.config > 0 && p.alive(true, now));
        stays.min_by_key(|p| p.rank()).map(|p| p.addr)
    }

    /// Whether this host has started just now and may not have heard of all others yet.
    pub fn discovers(&self, now: Instant) -> bool {
        !self.no_peers() && now < self.started + DISCOVERY_TIME
    }

    /// The first hosts of the own data centre, by rank, which lend retries.
    pub(super) fn lending_ranks(&self, now: Instant) -> Vec<Rank> {
        let mut ranks = self.ranked_near(now);
        ranks.truncate(LENDERS);
        ranks
    }

    /// Hosts that may lend this one retries: the lenders of the own data centre, and if this host is
    /// one of them, also those of the other data centres.
    pub fn lenders(&self, now: Instant) -> Vec<SocketAddr> {
        let ranks = self.lending_ranks(now);
        let near = self.all.values().filter(|p| self.is_near(p) && p.alive(true, now));
        let mut lenders: Vec<SocketAddr> =
            near.filter(|p| ranks.contains(&p.rank())).map(|p| p.addr).collect();
        if ranks.contains(&self.rank()) {
            let ranked = self.ranked(now);
            let far = ranked.iter().filter(|(centre, _)| **centre != self.centre);
            lenders.extend(far.flat_map(|(_, hosts)| hosts.iter().take(LENDERS)).map(|h| h.addr));
        }
        lenders
    }

    /// Whether a host that asks this one for retries is in the own data centre, and whether it is a
    /// lender there, which asks the other lenders itself.
    pub fn borrower(&self, addr: SocketAddr, now: Instant) -> Borrower {
        match self.all.get(&addr).filter(|peer| self.is_near(peer)) {
            Some(peer) if self.lending_ranks(now).contains(&peer.rank()) => Borrower::NearLender,
            Some(_) => Borrower::Near,
            None => Borrower::Remote,
        }
    }

    /// Fraction of the known hosts of the own data centre that are heard. A host that is not heard
    /// may only be cut off, and issue permits as well.
    pub fn heard_share(&self, now: Instant) -> f64 {
        let stays =
            self.all.values().filter(|p| self.is_near(p) && p.last_heard.is_some() && !p.leaving);
        let (mut known, mut alive) = (1.0, 1.0);
        for peer in stays {
            known += 1.0;
            alive += f64::from(u8::from(peer.alive(true, now)));
        }
        alive / known
    }

    /// Permit requests for a limited target in each other data centre: the highest number that one
    /// of its hosts reported. The last report of a silent host counts while the host is known.
    pub fn remote_demand(&self, target: TargetHash) -> Vec<u16> {
        let mut wanted: BTreeMap<CentreHash, u16> = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.last_heard.is_some() && self.is_far(p)) {
            let most = wanted.entry(peer.centre.unwrap_or_default()).or_default();
            *most = (*most).max(peer.wanted(target));
        }
        wanted.into_values().collect()
    }

    /// Number of hosts of the own data centre that rank before this one and satisfy `counts`. Hosts
    /// that are only named always count, since nothing else is known of them.
    fn ranked_before(&self, now: Instant, counts: impl Fn(&Peer) -> bool) -> usize {
        let own = self.rank();
        let before = self.all.values().filter(|p| {
            let near = self.is_near(p) && p.rank() < own;
            near && !p.leaving && p.presumed_alive(true, now) && (!p.alive(true, now) || counts(p))
        });
        before.count()
    }

    /// This host's rank among the readers of the store: a single host reads for the whole system,
    /// and when it is silent the next one of each data centre takes over. Hosts that the store does
    /// not answer rank last.
    pub fn read_rank(&self, now: Instant) -> usize {
        let own = (!self.reading, self.rank());
        let before = |p: &Peer, near: bool| {
            let known = p.alive(near, now);
            let stays = !p.leaving && p.presumed_alive(near, now) && (!known || p.config > 0);
            stays && (known && !p.reading, p.rank()) < own
        };
        let near = self.all.values().filter(|p| self.is_near(p));
        let far = self.all.values().filter(|p| self.is_far(p));
        let far = far.filter(|p| before(p, false)).count();
        near.filter(|p| before(p, true)).count() + far.min(1)
    }

    /// This host's rank among the readers while no host has read anything yet.
    pub fn startup_read_rank(&self, now: Instant) -> usize {
        let own = self.rank();
        let first = |p: &&Peer| self.is_far(p) && p.rank() < own;
        let far = self.all.values().filter(first).any(|p| p.presumed_alive(false, now));
        self.ranked_before(now, |_| true) + usize::from(far)
    }

    /// Whether another host of the own data centre is likely to hold a confirmed configuration: the
    /// store answers one, or this host hears none of them and may be the only one cut off.
    pub fn others_confirm(&self, now: Instant) -> bool {
        let near = || self.all.values().filter(|p| self.is_near(p) && !p.leaving);
        let mut alive = near().filter(|p| p.alive(true, now)).peekable();
        if alive.peek().is_none() {
            return near().next().is_some();
        }
        alive.any(|p| p.reading && p.config > 0)
    }

    /// Whether no other host is known.
    pub fn no_peers(&self) -> bool {
        self.all.is_empty()
    }

    /// Newest configuration version of any live host; 0 for none.
    pub fn newest_config(&self, now: Instant) -> u64 {
        let alive = self.all.values().filter(|p| p.alive(self.is_near(p), now));
        alive.map(|p| p.config).max().unwrap_or(0)
    }
}
