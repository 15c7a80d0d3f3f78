//! The list of targets as it is read: records, what drops out, and what other hosts lack of it.

use super::Targets;
use super::target::{Target, TargetRecord};
use crate::gateway::peers::ListVersion;
use crate::gateway::position::Position;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// What follows from a target's absence in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It left: no new work, at once.
    Left,
    /// The store was out of reach a moment ago: it may come back until then.
    Lapsed(Instant),
}

/// What a record of the list brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Nothing that matters for work.
    Unchanged,
    /// A target that was not known, or something about one that was.
    Changed,
    /// The target started again under its id: what was known of it, and what runs through it, is gone.
    Restarted,
}

/// What a whole list brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Targets that dropped out.
    pub lost: Vec<TargetId>,
    /// Targets that started again under their ids.
    pub restarted: Vec<TargetId>,
}

/// Targets that dropped out of the list, and how far it was read by then.
#[derive(Clone, Debug, Default)]
pub(super) struct DroppedTargets {
    ids: HashMap<TargetId, Position>,
    /// What dropped out before that may have been forgotten.
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

/// Dropped targets that are remembered: more than leave while a host is cut off for some seconds.
const MAX_DROPPED: usize = 400;

/// What changed in the list since a host read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Records that are new or changed; all of them where `dropped` is none.
    pub records: Vec<TargetRecord>,
    /// Targets that dropped out; none when the whole list is given.
    pub dropped: Option<Vec<TargetId>>,
}

impl Targets {
    /// Takes a record of the list. The list is in order, so a record with another life is of a later one
    /// even where the target's clock went back.
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
        self.digest ^= known.digest();
        if changed { RecordChange::Changed } else { RecordChange::Unchanged }
    }

    fn add(&mut self, mut target: Target) {
        target.changed_at = self.position;
        target.availability = self.availability_of(target.hash);
        self.digest ^= target.digest();
        self.ids.insert(target.hash, target.record.id.clone());
        self.all.insert(target.record.id.clone(), target);
    }

    /// A target dropped out of the list; returns whether it was known.
    pub fn remove(&mut self, id: &str, absence: Absence) -> bool {
        // Also one that is not known here: another host may have read it before it dropped out.
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

    /// Takes the whole list at once.
    pub fn replace_list(&mut self, records: Vec<TargetRecord>, absence: Absence) -> ListUpdate {
        let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
        let lost: Vec<_> = self.all.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        // Of what dropped out before nothing is known here.
        self.dropped = DroppedTargets { ids: HashMap::new(), complete_since: self.position };
        self.apply_delta(records, lost, absence)
    }

    /// Takes what changed in the list.
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
                // It may have dropped out and come back as it was, unseen here.
                target.changed_at = self.position;
            }
        }
        ListUpdate { lost, restarted }
    }

    /// Takes the whole list of a store that came back from an older copy. What is known here of a target's life
    /// is newer than the copy, so it stays until the target writes its entry again; what the copy lacks
    /// may have been written after it; and what is known to be gone is no target again by being in it.
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

    /// Lets time pass; returns the targets that have been missing for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<TargetId> {
        for target in self.all.values_mut() {
            target.tick(now);
        }
        self.expire_availability(now);
        let late = |t: &Target| t.missing_until.is_some_and(|until| now >= until);
        let gone: Vec<_> =
            self.all.iter().filter(|(_, t)| late(t)).map(|(id, _)| id.clone()).collect();
        for target in gone.iter().filter_map(|id| self.all.remove(id)) {
            self.ids.remove(&target.hash);
        }
        gone
    }

    /// The list has been read so far: what is taken from now on belongs to that.
    pub fn advance_to(&mut self, next: Position) {
        self.position = self.position.max(next);
    }

    /// What changed since the list was read so far; all of it where that is not known any more.
    pub fn changes_since(&self, known: Position) -> ListDelta {
        if known == Position::default() || known < self.dropped.complete_since {
            return ListDelta { records: self.listed_records(), dropped: None };
        }
        let fresh = self.all.values().filter(|t| t.missing_until.is_none() && t.changed_at > known);
        let records = fresh.map(|t| t.record.clone()).collect();
        let gone = self.dropped.ids.iter().filter(|(_, at)| **at > known);
        ListDelta { records, dropped: Some(gone.map(|(id, _)| id.clone()).collect()) }
    }

    /// The records that are listed.
    pub fn listed_records(&self) -> Vec<TargetRecord> {
        let listed = self.all.values().filter(|t| t.missing_until.is_none());
        listed.map(|t| t.record.clone()).collect()
    }

    /// How far the list was read, for the others.
    /// The digest is the same wherever the same was read.
    pub fn list_version(&self, next: Position) -> ListVersion {
        ListVersion { next, digest: self.digest }
    }
}
