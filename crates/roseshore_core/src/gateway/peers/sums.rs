//! What several hosts have in flight and have counted, added up.

use super::message::{ServiceCounts, TargetHash, TargetLoad};
use super::peer::Peer;
use crate::gateway::fatal::FatalReport;
use crate::gateway::retry_budget::RetryCounts;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Targets that a heartbeat tells of; more do not fit a datagram.
const MAX_LOADS: usize = 66;
/// Bytes that a target takes in a heartbeat, and a limit.
const LOAD_BYTES: usize = 12;
const LIMIT_BYTES: usize = 28;
/// Targets of them that only hosts of other data centres use: a few at a time, since there are
/// several times as many, and they matter only when work is sent there.
const MAX_FAR_LOADS: usize = 24;

/// The load of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    own: u32,
    held: u32,
    /// Hosts that it failed.
    failures: u32,
    /// Whether hosts of the own data centre use it.
    near: bool,
}

/// Loads and counts of some hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Sums {
    loads: HashMap<TargetHash, Sum>,
    counts: HashMap<TargetHash, RetryCounts>,
    pub(super) hosts: usize,
}

impl Sums {
    /// Adds what is in flight, at hosts of the own data centre or others. What failed a host of
    /// another one may only be cut off from it, so that does not count.
    pub(super) fn add_loads<'a>(
        &mut self,
        notes: impl IntoIterator<Item = &'a TargetLoad>,
        near: bool,
    ) {
        for note in notes {
            let sum = self.loads.entry(note.target).or_default();
            sum.own = sum.own.saturating_add(u32::from(note.own));
            sum.held = sum.held.saturating_add(note.held);
            sum.failures += u32::from(note.down && near);
            sum.near |= near;
        }
    }

    /// Adds what was counted.
    pub(super) fn add_counts(&mut self, notes: &[ServiceCounts]) {
        for note in notes {
            let sum = self.counts.entry(note.service).or_default();
            sum.requests = sum.requests.saturating_add(note.requests);
            sum.retries = sum.retries.saturating_add(note.repeats);
        }
    }

    /// These sums without a host that is in them.
    pub(super) fn without(&self, peer: &Peer) -> Sums {
        let mut rest = self.clone();
        rest.hosts = rest.hosts.saturating_sub(1);
        for note in &peer.loads {
            if let Some(sum) = rest.loads.get_mut(&note.target) {
                sum.own = sum.own.saturating_sub(u32::from(note.own));
                sum.held = sum.held.saturating_sub(note.held);
                sum.failures = sum.failures.saturating_sub(u32::from(note.down));
            }
        }
        for note in &peer.counts {
            if let Some(sum) = rest.counts.get_mut(&note.service) {
                sum.requests = sum.requests.saturating_sub(note.requests);
                sum.retries = sum.retries.saturating_sub(note.repeats);
            }
        }
        rest
    }

    /// The loads by target.
    pub(super) fn by_target(&self) -> HashMap<TargetHash, TargetLoad> {
        let note = |(target, sum): (&TargetHash, &Sum)| (*target, sum.note(*target));
        self.loads.iter().map(note).collect()
    }

    /// The loads of targets that the own data centre uses, for a heartbeat: those that failed first,
    /// then the fullest.
    pub(super) fn near_loads(&self, most: usize) -> Vec<TargetLoad> {
        most_relevant(self.notes(true).collect(), most)
    }

    /// The loads of some other targets, where there is room for so many; others of them with each turn.
    pub(super) fn far_loads(&self, room: usize, turn: usize) -> Vec<TargetLoad> {
        let mut notes: Vec<TargetLoad> = self.notes(false).collect();
        notes.sort_unstable_by_key(|note| note.target);
        let most = MAX_FAR_LOADS.min(room).min(notes.len());
        let first = (turn * most).checked_rem(notes.len()).unwrap_or(0);
        notes.rotate_left(first);
        notes.truncate(most);
        notes
    }

    fn notes(&self, near: bool) -> impl Iterator<Item = TargetLoad> {
        let of = move |(_, sum): &(&TargetHash, &Sum)| sum.near == near;
        let notes = self.loads.iter().filter(of).map(|(target, sum)| sum.note(*target));
        notes.filter(|n| n.own > 0 || n.held > 0 || n.down)
    }

    /// The counts for a heartbeat.
    pub(super) fn service_counts(&self) -> Vec<ServiceCounts> {
        let note = |(service, sum): (&TargetHash, &RetryCounts)| ServiceCounts {
            service: *service,
            requests: sum.requests,
            repeats: sum.retries,
        };
        self.counts.iter().map(note).collect()
    }

    /// What was counted for a service.
    pub(super) fn counted(&self, service: TargetHash) -> RetryCounts {
        self.counts.get(&service).copied().unwrap_or_default()
    }
}

impl Sum {
    fn note(self, target: TargetHash) -> TargetLoad {
        let own = u16::try_from(self.own).unwrap_or(u16::MAX);
        TargetLoad { target, own, held: self.held, down: self.failures > 0 }
    }
}

/// How many targets a heartbeat tells of beside requests that end targets, and so many limits.
pub(super) fn load_capacity(fatal: &[FatalReport], limits: usize) -> usize {
    let taken = fatal.iter().map(FatalReport::max_bytes).sum::<usize>() + limits * LIMIT_BYTES;
    MAX_LOADS.saturating_sub(taken.div_ceil(LOAD_BYTES))
}

/// The notes that matter most.
pub(super) fn most_relevant(mut notes: Vec<TargetLoad>, most: usize) -> Vec<TargetLoad> {
    notes.sort_by_key(|note| Reverse((note.down, note.held, note.own, note.target)));
    notes.truncate(most);
    notes
}
