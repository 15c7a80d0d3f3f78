//! What the other hosts have in flight and have counted, as far as this one hears.

use super::Peers;
use super::message::{CentreHash, Scope, TargetHash, TargetLoad};
use super::peer::Peer;
use super::sums::Sums;
use crate::gateway::retry_budget::RetryCounts;
use crate::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// What all other hosts have told.
#[derive(Clone, Debug)]
pub struct View {
    /// What they have in flight at each target, and whether it failed one of them.
    pub loads: HashMap<TargetHash, TargetLoad>,
    /// Hosts whose word that is, the viewing one included.
    pub reporting: usize,
    /// Hosts that live or lived of late, the viewing one included.
    pub hosts: usize,
    sums: Sums,
}

impl View {
    /// What they have counted for a service.
    pub fn counted(&self, service: TargetHash) -> RetryCounts {
        self.sums.counted(service)
    }
}

impl Peers {
    /// Other hosts of the own data centre, as they told of themselves.
    pub(super) fn near_sums(&self, now: Instant) -> Sums {
        let mut sums = Sums::default();
        let near = |p: &&Peer| self.is_near(p) && p.scope == Scope::Own;
        for peer in self.all.values().filter(near) {
            if peer.alive(true, now) {
                sums.hosts += 1;
                sums.add_loads(&peer.loads, true);
            }
            if peer.counts_valid(now) {
                sums.add_counts(&peer.counts);
            }
        }
        sums
    }

    /// Adds other data centres: of each, the word of the speaker that hears most of it.
    pub(super) fn add_far(&self, sums: &mut Sums, now: Instant) {
        let mut best: BTreeMap<CentreHash, (u16, &Peer)> = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.counts_valid(now)) {
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
        let near = self.all.values().filter(|p| self.is_near(p));
        let words = near.filter_map(|p| Some((told(p)?, p)));
        let most = words.max_by(|(a, _), (b, _)| (a.0, b.1).cmp(&(b.0, a.1)));
        let Some(((hosts, _), peer)) = most.filter(|((hosts, _), _)| *hosts > heard.hosts) else {
            return heard;
        };
        let mut sums = Sums::default();
        sums.hosts = hosts;
        sums.add_loads(&peer.loads, true);
        sums.add_loads(peer.far_loads(), false);
        sums.add_counts(&peer.counts);
        sums
    }

    /// What the other hosts have in flight and have counted.
    pub fn view(&self, now: Instant) -> View {
        let sums = self.others(now);
        let hosts = self.hosts().max(1 + sums.hosts);
        View { loads: sums.by_target(), reporting: 1 + sums.hosts, sums, hosts }
    }

    /// What the other hosts have in flight at each target, and whether it failed one of them.
    pub fn loads(&self, now: Instant) -> HashMap<TargetHash, TargetLoad> {
        self.view(now).loads
    }

    /// Hosts that were heard, and live or lived of late, this one included.
    pub fn hosts(&self) -> usize {
        1 + self.all.values().filter(|p| p.last_heard.is_some()).count()
    }
}
