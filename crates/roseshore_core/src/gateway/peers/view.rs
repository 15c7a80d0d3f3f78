//! Combined load of the other hosts, as far as this host hears of them.

use super::Peers;
use super::message::Scope;
use super::peer::Peer;
use super::sums::Sums;
use crate::gateway::hashes::{CentreHash, TargetHash};
use crate::gateway::reports::TargetLoad;
use crate::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Combined state of all other hosts.
#[derive(Clone, Debug)]
pub struct View {
    /// Load by target, and whether the target fails a host's liveness checks.
    pub loads: HashMap<TargetHash, TargetLoad>,
    /// Number of hosts included, with this one.
    pub hosts: usize,
}

impl Peers {
    /// Sums over the other hosts of the own data centre, as reported by each.
    pub(super) fn near_sums(&self, now: Instant) -> Sums {
        let mut sums = Sums::default();
        let near = |p: &&Peer| self.is_near(p) && p.scope == Scope::Own;
        for peer in self.all.values().filter(near) {
            if peer.alive(true, now) {
                sums.hosts += 1;
                sums.add_loads(&peer.loads, true);
                sums.add_loads(peer.far_loads(), true);
            }
        }
        sums
    }

    /// Adds the sums over other data centres, each as reported by the speaker that hears most of
    /// it.
    pub(super) fn add_far(&self, sums: &mut Sums, now: Instant) {
        let mut best: BTreeMap<CentreHash, (u16, &Peer)> = BTreeMap::new();
        for peer in self.all.values().filter(|p| p.alive(false, now)) {
            let Some(centre) = peer.centre.filter(|c| *c != self.centre) else { continue };
            let hosts = match peer.scope {
                Scope::Centre(hosts) => hosts,
                Scope::Own | Scope::Others(_) => 0,
            };
            if best.get(&centre).is_none_or(|(most, _)| *most < hosts) {
                best.insert(centre, (hosts, peer));
            }
        }
        for (hosts, peer) in best.into_values() {
            sums.hosts += usize::from(hosts.max(1));
            sums.add_loads(&peer.loads, false);
            sums.add_loads(peer.far_loads(), false);
        }
    }

    /// Sums over all other hosts: the reports received directly, or those of the speaker that
    /// includes more hosts.
    fn others(&self, now: Instant) -> Sums {
        let mut heard = self.near_sums(now);
        self.add_far(&mut heard, now);
        let included = |peer: &Peer| match peer.scope {
            Scope::Others(hosts) if peer.alive(true, now) => {
                Some((usize::from(hosts), peer.rank()))
            }
            _ => None,
        };
        let near = self.all.values().filter(|p| self.is_near(p));
        let reports = near.filter_map(|p| Some((included(p)?, p)));
        let most = reports.max_by(|(a, _), (b, _)| (a.0, b.1).cmp(&(b.0, a.1)));
        let Some(((hosts, _), peer)) = most.filter(|((hosts, _), _)| *hosts > heard.hosts) else {
            return heard;
        };
        let mut sums = Sums::default();
        sums.hosts = hosts;
        sums.add_loads(&peer.loads, true);
        sums.add_loads(peer.far_loads(), false);
        sums
    }

    /// Combined state of the other hosts.
    pub fn view(&self, now: Instant) -> View {
        let sums = self.others(now);
        View { loads: sums.by_target(), hosts: 1 + sums.hosts }
    }

    /// Load of the other hosts by target, and whether the target fails a host's liveness checks.
    pub fn loads(&self, now: Instant) -> HashMap<TargetHash, TargetLoad> {
        self.view(now).loads
    }

    /// Hosts that may reach a target for this one: those of the own data centre, and of others.
    pub fn possible_relays(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let stays = |near: bool| {
            let stays = self.all.values().filter(move |p| {
                self.is_near(p) == near
                    && !p.leaving
                    && p.centre.is_some()
                    && p.presumed_alive(near, now)
            });
            stays.map(|p| p.addr).collect()
        };
        (stays(true), stays(false))
    }

    /// Whether a host is in the own data centre.
    pub fn is_near_host(&self, addr: SocketAddr) -> bool {
        self.all.get(&addr).is_some_and(|peer| self.is_near(peer))
    }

    /// Live hosts whose last heartbeat reported that any of these targets fails liveness checks.
    pub fn reporting_down(&self, targets: &[TargetHash], now: Instant) -> Vec<SocketAddr> {
        let reports = |load: &TargetLoad| load.down && targets.contains(&load.target);
        let alive = self.all.values().filter(|p| p.alive(self.is_near(p), now));
        alive.filter(|p| p.loads.iter().any(reports)).map(|p| p.addr).collect()
    }

    /// Number of hosts that were heard and are not forgotten, with this one.
    pub fn hosts(&self) -> usize {
        1 + self.all.values().filter(|p| p.last_heard.is_some()).count()
    }

    /// Number of hosts of the own data centre that were heard and are not forgotten, with this one.
    pub(super) fn near_known(&self) -> usize {
        let heard = |p: &&Peer| self.is_near(p) && p.last_heard.is_some();
        1 + self.all.values().filter(heard).count()
    }

    /// Number of hosts that this host has heard, or has heard of from speakers of other data
    /// centres, and not forgotten, with this one.
    pub(super) fn heard_hosts(&self) -> usize {
        let mut far: BTreeMap<CentreHash, u16> = BTreeMap::new();
        for peer in self.all.values().filter(|p| self.is_far(p) && p.last_heard.is_some()) {
            let known = match peer.scope {
                Scope::Centre(_) => peer.known,
                Scope::Own | Scope::Others(_) => 1,
            };
            let most = far.entry(peer.centre.unwrap_or_default()).or_default();
            *most = (*most).max(known);
        }
        self.near_known() + far.into_values().map(usize::from).sum::<usize>()
    }

    /// Number of hosts that there are, or were until recently, as far as this host, a speaker of its
    /// data centre or the store knows. A host that has just started also counts those that it does
    /// not hear yet.
    pub fn known_hosts(&self, now: Instant) -> usize {
        let near = self.all.values().filter(|p| self.is_near(p) && p.last_heard.is_some());
        let reported = near.map(|p| usize::from(p.known)).max().unwrap_or(0);
        let named = if self.discovers(now) { 1 + self.all.len() } else { 1 };
        self.reported_hosts().max(reported).max(named)
    }
}
