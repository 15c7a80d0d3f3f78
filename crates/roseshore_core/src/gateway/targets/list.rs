//! Maintains the target list: applies records and removals, and computes what other hosts lack.

use super::Targets;
use super::target::{Target, TargetRecord};
use crate::gateway::position::Position;
use crate::gateway::reports::ListVersion;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// How to treat a target that is absent from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It left: it gets no new work from now on.
    Left,
    /// The store was unreachable shortly before: the target is kept until this time, since it may
    /// come back.
    Lapsed(Instant),
}

/// Effect of applying one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Nothing that affects scheduling.
    Unchanged,
    /// The target is new, or a field of its record changed.
    Changed,
    /// The target restarted under the same id; its former state and the requests running on it are
    /// lost.
    Restarted,
}

/// Effect of applying a list or a delta.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Targets that are no longer listed.
    pub lost: Vec<TargetId>,
    /// Targets that restarted under the same id.
    pub restarted: Vec<TargetId>,
}

/// Recently removed targets, with the list position at their removal.
#[derive(Clone, Debug, Default)]
pub(super) struct DroppedTargets {
    ids: HashMap<TargetId, Position>,
    /// Removals before this position may have been forgotten.
    complete_since: Position,
}

impl DroppedTargets {
    fn add(&mut self, id: TargetId, next: Position) {
        self.ids.insert(id, next);
        if self.ids.len() > MAX_DROPPED {
            self.complete_since = next;
            self.ids.retain(|_, at| *at > next);
        }
    }
}

/// Number of removals remembered: more than happen while a host is cut off for some seconds.
const MAX_DROPPED: usize = 400;

/// Changes to the list since a given position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// New and changed records, or all records if `dropped` is `None`.
    pub records: Vec<TargetRecord>,
    /// Removed targets; `None` if `records` is the whole list.
    pub dropped: Option<Vec<TargetId>>,
}

impl Targets {
    /// Applies a record. The list is ordered, so a record with another incarnation is from a later
    /// one even if the target's clock went back.
    pub fn upsert(&mut self, record: TargetRecord) -> RecordChange {
        self.dropped.ids.remove(&record.id);
        let Some(known) = self.all.get_mut(&record.id) else {
            self.add(Target::new(record));
            return RecordChange::Changed;
        };
        if known.missing_until.is_some() || known.record != record {
            known.changed_at = self.position;
        }
        if known.record.life != record.life {
            let target = known.restarted(record);
            self.digest ^= known.digest();
            self.ids.remove(&known.hash);
            self.add(target);
            return RecordChange::Restarted;
        }
        self.digest ^= known.digest();
        let changed = known.update_record(record);
        self.models.check(known);
        self.digest ^= known.digest();
        if changed { RecordChange::Changed } else { RecordChange::Unchanged }
    }

    fn add(&mut self, mut target: Target) {
        target.changed_at = self.position;
        target.availability = self.availability_of(target.hash);
        self.models.check(&mut target);
        self.digest ^= target.digest();
        self.ids.insert(target.hash, target.record.id.clone());
        self.all.insert(target.record.id.clone(), target);
    }

    /// Removes a target from the list. Returns whether it was known.
    pub fn remove(&mut self, id: &str, absence: Absence) -> bool {
        // Targets unknown here are remembered, too: another host may have read the entry before its
        // removal.
        self.dropped.add(id.to_owned(), self.position);
        let Some(target) = self.all.get_mut(id) else { return false };
        self.digest ^= target.digest();
        match absence {
            Absence::Left => {
                self.ids.remove(&target.hash);
                self.all.remove(id);
            }
            Absence::Lapsed(until) => {
                target.missing_until.get_or_insert(until);
            }
        }
        true
    }

    /// Replaces the whole list.
    pub fn replace_list(&mut self, records: Vec<TargetRecord>, absence: Absence) -> ListUpdate {
        let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
        let lost: Vec<_> = self.all.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        // Nothing is known of earlier removals.
        self.dropped = DroppedTargets { ids: HashMap::new(), complete_since: self.position };
        self.apply_delta(records, lost, absence)
    }

    /// Applies changes to the list.
    pub fn apply_delta(
        &mut self,
        records: Vec<TargetRecord>,
        lost: Vec<TargetId>,
        absence: Absence,
    ) -> ListUpdate {
        for id in &lost {
            self.remove(id, absence);
        }
        let mut restarted = Vec::new();
        for record in records {
            let id = record.id.clone();
            if self.upsert(record) == RecordChange::Restarted {
                restarted.push(id.clone());
            }
            if let Some(target) = self.all.get_mut(&id) {
                // The target may have been removed and listed again unchanged without this host
                // seeing it.
                target.changed_at = self.position;
            }
        }
        ListUpdate { lost, restarted }
    }

    /// Applies the whole list of a store that was restored from an older copy. A known incarnation
    /// that is newer than the copy stays until the target writes its entry again. Entries that the
    /// copy lacks may have been written after it was made, so they are handled by `absence`.
    /// Targets known to have been removed are not brought back by the copy.
    pub fn apply_older_list(&mut self, records: Vec<TargetRecord>, absence: Absence) -> ListUpdate {
        let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
        let lost: Vec<_> = self.all.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in &lost {
            self.remove(id, absence);
        }
        let mut restarted = Vec::new();
        for record in records {
            let known = self.all.get(&record.id).map(|t| &t.record);
            if known.is_none() && self.dropped.ids.contains_key(&record.id) {
                continue;
            }
            let newest = known.filter(|known| known.life >= record.life).cloned().unwrap_or(record);
            let id = newest.id.clone();
            if self.upsert(newest) == RecordChange::Restarted {
                restarted.push(id);
            }
        }
        ListUpdate { lost, restarted }
    }

    /// Expires temporary state. Returns the targets removed because they have been missing for too
    /// long.
    pub fn tick(&mut self, now: Instant) -> Vec<TargetId> {
        for target in self.all.values_mut() {
            target.tick(now);
        }
        self.expire_availability(now);
        let late = |t: &Target| t.missing_until.is_some_and(|until| now >= until);
        let expired: Vec<_> =
            self.all.iter().filter(|(_, t)| late(t)).map(|(id, _)| id.clone()).collect();
        for target in expired.iter().filter_map(|id| self.all.remove(id)) {
            self.ids.remove(&target.hash);
        }
        expired
    }

    /// Moves the list position forward; later changes are recorded with the new position.
    pub fn advance_to(&mut self, next: Position) {
        self.position = self.position.max(next);
    }

    /// Changes since a position, or the whole list if the removals since then are no longer known.
    pub fn changes_since(&self, known: Position) -> ListDelta {
        if known == Position::default() || known < self.dropped.complete_since {
            return ListDelta { records: self.listed_records(), dropped: None };
        }
        let fresh = self.all.values().filter(|t| t.missing_until.is_none() && t.changed_at > known);
        let records = fresh.map(|t| t.record.clone()).collect();
        let removed = self.dropped.ids.iter().filter(|(_, at)| **at > known);
        ListDelta { records, dropped: Some(removed.map(|(id, _)| id.clone()).collect()) }
    }

    /// Records of all targets that are listed, without those that are missing.
    pub fn listed_records(&self) -> Vec<TargetRecord> {
        let listed = self.all.values().filter(|t| t.missing_until.is_none());
        listed.map(|t| t.record.clone()).collect()
    }

    /// Position and digest of the list, for other hosts. The digest is the same on all hosts that
    /// have read the same entries.
    pub fn list_version(&self, next: Position) -> ListVersion {
        ListVersion { next, digest: self.digest }
    }
}
