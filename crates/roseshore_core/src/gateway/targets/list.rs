//! The list of targets as it is read: records, what drops out, and what other hosts lack of it.

use super::Targets;
use super::target::{Target, TargetRecord};
use crate::gateway::peers::ListMark;
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
pub enum News {
    /// Nothing that matters for work.
    Same,
    /// A target that was not known, or something about one that was.
    Changed,
    /// The target started again under its id: what was known of it, and what runs through it, is gone.
    Restarted,
}

/// What a whole list brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replaced {
    /// Targets that dropped out.
    pub lost: Vec<TargetId>,
    /// Targets that started again under their ids.
    pub restarted: Vec<TargetId>,
}

/// Targets that dropped out of the list, and how far it was read by then.
#[derive(Clone, Debug, Default)]
pub(super) struct Gone {
    ids: HashMap<TargetId, Position>,
    /// What dropped out before that may have been forgotten.
    known: Position,
}

impl Gone {
    fn add(&mut self, id: TargetId, next: Position) {
        self.ids.insert(id, next);
        if self.ids.len() > MOST_GONE {
            self.known = next;
            self.ids.retain(|_, at| *at > next);
        }
    }
}

/// Dropped targets that are remembered: more than leave while a host is cut off for some seconds.
const MOST_GONE: usize = 400;

/// What changed in the list since a host read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Records that are new or changed; all of them where `dropped` is none.
    pub records: Vec<TargetRecord>,
    /// Targets that dropped out; none when the whole list is given.
    pub dropped: Option<Vec<TargetId>>,
}

impl Targets {
    /// Takes a record of the list. The list is in order, so a record with another life is of a later one
    /// even where the target's clock went back.
    pub fn put(&mut self, record: TargetRecord) -> News {
        self.gone.ids.remove(&record.id);
        let Some(known) = self.all.get_mut(&record.id) else {
            self.add(Target::new(record));
            return News::Changed;
        };
        if known.missing.is_some() || known.record != record {
            known.changed = self.next;
        }
        if known.record.life != record.life {
            let target = known.reborn(record);
            self.digest ^= known.digest();
            self.marks.remove(&known.mark);
            self.add(target);
            return News::Restarted;
        }
        self.digest ^= known.digest();
        let changed = known.listed(record);
        self.digest ^= known.digest();
        if changed { News::Changed } else { News::Same }
    }

    fn add(&mut self, mut target: Target) {
        target.changed = self.next;
        target.intake = self.intake_of(target.mark);
        self.digest ^= target.digest();
        self.marks.insert(target.mark, target.record.id.clone());
        self.all.insert(target.record.id.clone(), target);
    }

    /// A target dropped out of the list; returns whether it was known.
    pub fn drop(&mut self, id: &str, absence: Absence) -> bool {
        // Also one that is not known here: another host may have read it before it dropped out.
        self.gone.add(id.to_owned(), self.next);
        let Some(target) = self.all.get_mut(id) else { return false };
        self.digest ^= target.digest();
        match absence {
            Absence::Left => {
                self.marks.remove(&target.mark);
                self.all.remove(id);
            }
            Absence::Lapsed(until) => {
                target.missing.get_or_insert(until);
            }
        }
        true
    }

    /// Takes the whole list at once.
    pub fn replace(&mut self, records: Vec<TargetRecord>, absence: Absence) -> Replaced {
        let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
        let lost: Vec<_> = self.all.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        // Of what dropped out before nothing is known here.
        self.gone = Gone { ids: HashMap::new(), known: self.next };
        self.change(records, lost, absence)
    }

    /// Takes what changed in the list.
    pub fn change(
        &mut self,
        records: Vec<TargetRecord>,
        lost: Vec<TargetId>,
        absence: Absence,
    ) -> Replaced {
        for id in &lost {
            self.drop(id, absence);
        }
        let mut restarted = Vec::new();
        for record in records {
            let id = record.id.clone();
            if self.put(record) == News::Restarted {
                restarted.push(id.clone());
            }
            if let Some(target) = self.all.get_mut(&id) {
                // It may have dropped out and come back as it was, unseen here.
                target.changed = self.next;
            }
        }
        Replaced { lost, restarted }
    }

    /// Takes the whole list of a store that came back from an older copy. What is known here of a target's life
    /// is newer than the copy, so it stays until the target writes its entry again; what the copy lacks
    /// may have been written after it; and what is known to be gone is no target again by being in it.
    pub fn go_back(&mut self, records: Vec<TargetRecord>, absence: Absence) -> Replaced {
        let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
        let lost: Vec<_> = self.all.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in &lost {
            self.drop(id, absence);
        }
        let mut restarted = Vec::new();
        for record in records {
            let known = self.all.get(&record.id).map(|t| &t.record);
            if known.is_none() && self.gone.ids.contains_key(&record.id) {
                continue;
            }
            let newest = known.filter(|known| known.life >= record.life).cloned().unwrap_or(record);
            let id = newest.id.clone();
            if self.put(newest) == News::Restarted {
                restarted.push(id);
            }
        }
        Replaced { lost, restarted }
    }

    /// Lets time pass; returns the targets that have been missing for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<TargetId> {
        for target in self.all.values_mut() {
            target.tick(now);
        }
        self.forget_intakes(now);
        let late = |t: &Target| t.missing.is_some_and(|until| now >= until);
        let gone: Vec<_> =
            self.all.iter().filter(|(_, t)| late(t)).map(|(id, _)| id.clone()).collect();
        for target in gone.iter().filter_map(|id| self.all.remove(id)) {
            self.marks.remove(&target.mark);
        }
        gone
    }

    /// The list has been read so far: what is taken from now on belongs to that.
    pub fn reach(&mut self, next: Position) {
        self.next = self.next.max(next);
    }

    /// What changed since the list was read so far; all of it where that is not known any more.
    pub fn since(&self, known: Position) -> Changes {
        if known == Position::default() || known < self.gone.known {
            return Changes { records: self.listed(), dropped: None };
        }
        let fresh = self.all.values().filter(|t| t.missing.is_none() && t.changed > known);
        let records = fresh.map(|t| t.record.clone()).collect();
        let gone = self.gone.ids.iter().filter(|(_, at)| **at > known);
        Changes { records, dropped: Some(gone.map(|(id, _)| id.clone()).collect()) }
    }

    /// The records that are listed.
    pub fn listed(&self) -> Vec<TargetRecord> {
        let listed = self.all.values().filter(|t| t.missing.is_none());
        listed.map(|t| t.record.clone()).collect()
    }

    /// How far the list was read, for the others.
    /// The digest is the same wherever the same was read.
    pub fn list_mark(&self, next: Position) -> ListMark {
        ListMark { next, digest: self.digest }
    }
}
