//! What is known of the targets that declared routes lead to.
//!
//! Three sources meet: the platform's list, what targets said of themselves in answers, and how
//! this host's own sends fared. Leaving in the list means no new work at once. A target that drops
//! out of the list is gone, unless the store was out of reach a moment ago: then heartbeats may
//! have lapsed for no fault of the target, and it stays for the time in which it would come back.
//!
//! What is asked for with every heartbeat and datagram is kept up with each change: worked out anew
//! for each record, the digest made a list of 1,000 targets cost 415 ms of a core and one of 3,000
//! cost 3.4 s, so that hosts of 0.12 cores stood still for seconds whenever a list came.

mod target;

use super::paces::{Pace, PaceNote};
use super::path::{Part, PathNeed};
use super::peers::{ListMark, LoadNote, TargetMark};
use super::plan::pressure::{Taken, fullest};
use super::routes::EngineSpec;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use target::Learned;
pub use target::{Claim, Death, Holding, Target, TargetRecord, Word};

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

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// The target with each mark.
    marks: HashMap<TargetMark, TargetId>,
    /// Of what is listed.
    digest: u64,
    /// How far the list has been read.
    next: Offset,
    /// What dropped out of the list of late.
    gone: Gone,
}

/// Targets that dropped out of the list, and how far it was read by then.
#[derive(Clone, Debug, Default)]
struct Gone {
    ids: HashMap<TargetId, Offset>,
    /// What dropped out before that may have been forgotten.
    known: Offset,
}

impl Gone {
    fn add(&mut self, id: TargetId, next: Offset) {
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

    /// Lets time pass; returns the targets that have been missing for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<TargetId> {
        for target in self.all.values_mut() {
            target.tick(now);
        }
        let late = |t: &Target| t.missing.is_some_and(|until| now >= until);
        let gone: Vec<_> =
            self.all.iter().filter(|(_, t)| late(t)).map(|(id, _)| id.clone()).collect();
        for target in gone.iter().filter_map(|id| self.all.remove(id)) {
            self.marks.remove(&target.mark);
        }
        gone
    }

    /// A target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.all.get(id)
    }

    /// The mark of a target in its life at hand.
    pub fn mark(&self, id: &str) -> Option<TargetMark> {
        self.all.get(id).map(|t| t.mark)
    }

    /// The id of the target with a mark.
    pub fn marked(&self, mark: TargetMark) -> Option<&TargetId> {
        self.marks.get(&mark)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The targets of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.all.values().filter(move |t| t.record.service == service)
    }

    /// A request goes to a target.
    pub fn begin(&mut self, claim: &Claim) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.own += 1;
            target.held += claim.held;
        }
    }

    /// It ended.
    pub fn end(&mut self, claim: &Claim) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.own = target.own.saturating_sub(1);
            target.held = (target.held - claim.held).max(0.0);
        }
    }

    /// A send failed there; returns whether that put it out of use just now.
    pub fn failed(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.suspect();
        target.health.failed(now);
        !before
    }

    /// A whole answer came; returns whether that put it into use again.
    pub fn worked(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.suspect();
        target.health.worked(now);
        target.health.forgive();
        before && !target.health.suspect()
    }

    /// Something came through these targets.
    pub fn progressed<'a>(&mut self, path: impl Iterator<Item = &'a TargetId>, now: Instant) {
        for id in path {
            if let Some(target) = self.all.get_mut(id) {
                target.progress = Some(now);
                target.dead = None;
            }
        }
    }

    /// The targets of a silent path that nothing has come through since `since`. A silent stream
    /// does not say which of its targets is at fault, but other streams show which are not.
    pub fn suspects(&self, path: &[TargetId], since: Instant) -> Vec<TargetId> {
        let quiet = |id: &&TargetId| {
            self.all.get(*id).is_none_or(|t| t.progress.is_none_or(|at| at <= since))
        };
        path.iter().filter(quiet).cloned().collect()
    }

    /// Whether it is an engine that is held to hold no layers: it started again, and nothing comes
    /// through it any more, though its port answers.
    pub fn empty(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|t| t.record.kind.is_some() && t.holding().is_none())
    }

    /// It does not answer liveness checks; returns whether that is news.
    pub fn died(&mut self, id: &str, death: Death) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let news = target.dead.is_none();
        target.dead = Some(death);
        news
    }

    /// It answered a liveness check; returns whether that is news.
    pub fn answered(&mut self, id: &str) -> bool {
        self.all.get_mut(id).is_some_and(|t| t.dead.take().is_some())
    }

    /// The targets that this host holds for dead.
    pub fn dead(&self) -> Vec<TargetId> {
        self.all.values().filter(|t| t.dead.is_some()).map(|t| t.record.id.clone()).collect()
    }

    /// Another target answers at its address.
    pub fn replaced(&mut self, id: &str) {
        if let Some(target) = self.all.get_mut(id) {
            target.replaced = true;
        }
    }

    /// The next word of a target's layers, for what this host has just found out.
    pub fn next_word(&self, target: TargetMark, layers: (Layer, Layer)) -> Word {
        let known = self.marks.get(&target).and_then(|id| self.all.get(id));
        let last = known.map_or(Word::default(), |t| t.word);
        Word { number: last.number + 1, layers, listed: last.listed }
    }

    /// A target holds layers by its own word, or an empty range: it was shown not to hold what the list
    /// says. Believed until then; returns whether that is news. An earlier word than the last changes
    /// nothing, nor does one beside another list, and of two with one number every host takes the same.
    pub fn learned(&mut self, target: TargetMark, word: Word, until: Instant) -> bool {
        let Some(target) = self.marks.get(&target).and_then(|id| self.all.get_mut(id)) else {
            return false;
        };
        if word < target.word || word.listed != target.word.listed {
            return false;
        }
        let news = word > target.word;
        target.word = word;
        let (from, to) = word.layers;
        let holding = (from < to).then_some(Holding { layers: (from, to) });
        if news {
            target.clearing = None;
        }
        let differs = target.record.holding != holding;
        target.learned = differs.then_some(Learned { holding, until });
        news
    }

    /// What other hosts have at the targets.
    pub fn others(&mut self, loads: &HashMap<TargetMark, LoadNote>) {
        for target in self.all.values_mut() {
            target.others = loads.get(&target.mark).copied().unwrap_or_default();
        }
    }

    /// What this host has at the targets, for the others.
    pub fn notes(&self) -> Vec<LoadNote> {
        let note = |t: &Target| LoadNote {
            target: t.mark,
            own: t.own.min(u32::from(u16::MAX)) as u16,
            held: (t.held / 1000.0) as u32,
            down: t.dead.is_some(),
        };
        self.all.values().map(note).filter(|n| n.own > 0 || n.down).collect()
    }

    /// The list has been read so far: what is taken from now on belongs to that.
    pub fn reach(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// What changed since the list was read so far; all of it where that is not known any more.
    pub fn since(&self, known: Offset) -> Changes {
        if known == 0 || known < self.gone.known {
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
    pub fn list_mark(&self, next: Offset) -> ListMark {
        ListMark { next, digest: self.digest }
    }

    /// A target reported its pace, here or to another host; the latest word counts.
    pub fn paced(&mut self, target: TargetMark, pace: Pace) {
        let known = self.marks.get(&target).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known.filter(|t| pace.newer(t.pace)) {
            target.pace = Some(pace);
        }
    }

    /// The paces that differ from what is published, for the other hosts: the slowest of so many.
    pub fn pace_notes(&self, most: usize, now: Instant) -> Vec<PaceNote> {
        let note = |t: &Target| t.pace?.note(t.mark, now);
        let mut notes: Vec<PaceNote> = self.all.values().filter_map(note).collect();
        notes.sort_unstable_by_key(|note| (Reverse(note.pace), note.target));
        notes.truncate(most);
        notes
    }

    /// A target told its load.
    pub fn loaded(&mut self, id: &str, running: u32, waiting: u32, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.load = Some((f64::from(running + waiting), now));
        }
    }

    /// The target of a plain service for a request: the least loaded sound one, own data centre
    /// first among equals. When all have failed of late, the least loaded of them; but nothing is
    /// sent to one that is dark, since that would cost its caller the time of a connection.
    pub fn plain<'a>(
        &'a self,
        service: &'a str,
        near: &str,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<&'a Target> {
        let open = || self.of(service).filter(|t| t.open() && !avoid.contains(&t.record.id));
        let cost = |t: &Target| {
            let told = t
                .load
                .filter(|(_, at)| now.saturating_duration_since(*at) < Duration::from_millis(500));
            let busy = told.map_or(0.0, |(n, _)| n).max(t.busy());
            let far = if t.record.data_centre == near { 0.0 } else { 0.5 };
            (busy + far) / f64::from(t.record.slots.max(1))
        };
        let least = |a: &&Target, b: &&Target| cost(a).total_cmp(&cost(b));
        let lit = || open().filter(|t| t.dead != Some(Death::Dark));
        open().filter(|t| t.sound(now)).min_by(least).or_else(|| lit().min_by(least))
    }

    /// The parts that a path through the layers may use.
    pub fn parts(
        &self,
        service: &str,
        spec: &EngineSpec,
        need: &PathNeed<'_>,
        now: Instant,
    ) -> Vec<Part> {
        let usable = |t: &&Target| t.open() && !need.avoid.contains(&t.record.id);
        let all = self.of(service).filter(usable);
        all.filter_map(|t| Self::part(t, spec, need, now)).collect()
    }

    /// How full the fullest layer of a data centre's engines is, as a share of its room, or the first
    /// layers' engines, as a share of their slots.
    pub fn fullest(&self, service: &str, spec: &EngineSpec, centre: &str) -> f64 {
        let near = self.of(service).filter(|t| t.open() && t.record.data_centre == centre);
        let taken = near.filter_map(|t| {
            let layers = t.holding()?.layers;
            let room = Self::room(t, spec)?;
            Some(Taken { layers, room, taken: t.taken() })
        });
        fullest(spec.layers, taken).max(self.started(service, centre))
    }

    /// The share of the slots that are taken at the engines which requests may begin at.
    fn started(&self, service: &str, centre: &str) -> f64 {
        let first = |t: &&Target| {
            t.open()
                && t.record.data_centre == centre
                && t.holding().is_some_and(|h| h.layers.0 == 0)
        };
        let (taken, slots) = self
            .of(service)
            .filter(first)
            .fold((0.0, 0.0), |sum, t| (sum.0 + t.busy(), sum.1 + f64::from(t.record.slots)));
        if slots > 0.0 { taken / slots } else { 0.0 }
    }

    /// KV cache of an engine beside its layers, tokens times layers.
    fn room(t: &Target, spec: &EngineSpec) -> Option<f64> {
        let weights = t.weights();
        let kind = spec.kind(t.record.kind.as_deref())?;
        Some(spec.room(kind.size_mb, weights) * f64::from(weights))
    }

    fn part(t: &Target, spec: &EngineSpec, need: &PathNeed<'_>, now: Instant) -> Option<Part> {
        let layers = t.holding()?.layers;
        let kind = spec.kind(t.record.kind.as_deref())?;
        let share = 1.0 / f64::from(spec.layers);
        let busy = t.busy();
        let context = spec.context_ms * (spec.prompt + spec.answer);
        let step = spec.step_ms + (spec.per_seq_ms + context) * (busy + 1.0);
        let room = Self::room(t, spec)?;
        let slowness = t.slowness(now);
        let read_ms = slowness * kind.read * share / spec.read_per_ms;
        Some(Part {
            id: t.record.id.clone(),
            addr: t.record.addr,
            near: t.record.data_centre == need.near,
            data_centre: t.record.data_centre.clone(),
            layers,
            token_ms: slowness * step * kind.pace * share,
            read_ms,
            busy,
            slots: f64::from(t.record.slots),
            free: room - t.taken(),
            room,
            sound: t.sound(now),
        })
    }
}
