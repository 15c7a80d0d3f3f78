//! Combined loads of several hosts.

use super::peer::Peer;
use crate::gateway::demand::{self, ServiceDemand};
use crate::gateway::fatal::FatalReport;
use crate::gateway::hashes::TargetHash;
use crate::gateway::reports::TargetLoad;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Most targets that a heartbeat reports; more do not fit a datagram.
const MAX_LOADS: usize = 66;
/// Encoded size of a target's load and of a limit, in bytes.
const LOAD_BYTES: usize = 12;
const LIMIT_BYTES: usize = 28;
/// Most loads that are reported in rotation: those of targets that only hosts of other data centres
/// use, of which there are several times as many and which matter only when work is sent there, and
/// those that do not fit.
const MAX_FAR_LOADS: usize = 24;

/// Combined load of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    own: u32,
    held: u32,
    /// Number of hosts whose liveness checks it fails.
    failures: u32,
    /// Whether hosts of the own data centre use it.
    near: bool,
}

/// Combined loads.
#[derive(Clone, Debug, Default)]
pub(super) struct Sums {
    loads: HashMap<TargetHash, Sum>,
    pub(super) hosts: usize,
}

impl Sums {
    /// Adds loads of hosts of the own (`near`) or another data centre. Failed liveness checks count
    /// only if `near`: a host elsewhere may just be cut off from the target.
    pub(super) fn add_loads<'a>(
        &mut self,
        loads: impl IntoIterator<Item = &'a TargetLoad>,
        near: bool,
    ) {
        for load in loads {
            let sum = self.loads.entry(load.target).or_default();
            sum.own = sum.own.saturating_add(u32::from(load.own));
            sum.held = sum.held.saturating_add(load.held);
            sum.failures += u32::from(load.down && near);
            sum.near |= near;
        }
    }

    /// Drops the failed liveness checks of these targets.
    pub(super) fn clear_failures(&mut self, targets: &[TargetHash]) {
        for target in targets {
            if let Some(sum) = self.loads.get_mut(target) {
                sum.failures = 0;
            }
        }
    }

    /// The sums without one host that they include.
    pub(super) fn without(&self, peer: &Peer) -> Sums {
        let mut rest = self.clone();
        rest.hosts = rest.hosts.saturating_sub(1);
        for load in peer.loads.iter().chain(peer.far_loads()) {
            if let Some(sum) = rest.loads.get_mut(&load.target) {
                sum.own = sum.own.saturating_sub(u32::from(load.own));
                sum.held = sum.held.saturating_sub(load.held);
                sum.failures = sum.failures.saturating_sub(u32::from(load.down));
            }
        }
        rest
    }

    /// The loads by target.
    pub(super) fn by_target(&self) -> HashMap<TargetHash, TargetLoad> {
        let load = |(target, sum): (&TargetHash, &Sum)| (*target, sum.load(*target));
        self.loads.iter().map(load).collect()
    }

    /// Loads for a heartbeat.
    pub(super) fn report(&self, space: &LoadSpace<'_>) -> ReportedLoads {
        let near = self.active_loads(true).collect();
        ReportedLoads::of(near, self.active_loads(false).collect(), space)
    }

    fn active_loads(&self, near: bool) -> impl Iterator<Item = TargetLoad> {
        let of = move |(_, sum): &(&TargetHash, &Sum)| sum.near == near;
        let loads = self.loads.iter().filter(of).map(|(target, sum)| sum.load(*target));
        loads.filter(|n| n.own > 0 || n.held > 0 || n.down)
    }
}

impl Sum {
    fn load(self, target: TargetHash) -> TargetLoad {
        let own = u16::try_from(self.own).unwrap_or(u16::MAX);
        TargetLoad { target, own, held: self.held, down: self.failures > 0 }
    }
}

/// Space for loads and demand in a heartbeat beside these fatal requests and this many limits,
/// bytes.
pub(super) fn free_bytes(fatal: &[FatalReport], limits: usize) -> usize {
    let taken = fatal.iter().map(FatalReport::max_bytes).sum::<usize>() + limits * LIMIT_BYTES;
    (MAX_LOADS * LOAD_BYTES).saturating_sub(taken)
}

/// Number of loads that fit this space beside the demand.
pub(super) fn load_capacity(free_bytes: usize, demand: &[ServiceDemand]) -> usize {
    free_bytes.saturating_sub(demand::report_bytes(demand)) / LOAD_BYTES
}

/// Space for loads in a heartbeat, and which go first.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSpace<'a> {
    /// Loads that fit.
    pub(super) most: usize,
    /// Changes with each heartbeat to the receiver.
    pub(super) turn: usize,
    /// Targets whose loads go first.
    pub(super) first: &'a HashSet<TargetHash>,
}

/// Loads of a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ReportedLoads {
    /// Those in every heartbeat.
    pub(super) always: Vec<TargetLoad>,
    /// Some of the others.
    pub(super) rotated: Vec<TargetLoad>,
}

impl ReportedLoads {
    /// Divides loads of targets that the own data centre uses and of others. In every heartbeat are
    /// the failing targets, those to go first, and the largest. A target that is left out would
    /// count as free, so those for which there is no space take turns.
    pub(super) fn of(
        mut near: Vec<TargetLoad>,
        far: Vec<TargetLoad>,
        space: &LoadSpace<'_>,
    ) -> ReportedLoads {
        let order = |load: &TargetLoad| {
            Reverse((
                load.down,
                space.first.contains(&load.target),
                load.held,
                load.own,
                load.target,
            ))
        };
        near.sort_by_key(order);
        let mut rest = far;
        if near.len() > space.most {
            let turns = MAX_FAR_LOADS.min(space.most / 2);
            rest.extend(near.split_off(space.most - turns));
        }
        rest.sort_unstable_by_key(|load| load.target);
        let most = MAX_FAR_LOADS.min(space.most - near.len()).min(rest.len());
        let first = space.turn.wrapping_mul(most).checked_rem(rest.len()).unwrap_or(0);
        rest.rotate_left(first);
        rest.truncate(most);
        ReportedLoads { always: near, rotated: rest }
    }
}
