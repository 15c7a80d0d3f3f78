//! What is known of the targets that declared routes lead to.
//!
//! Three sources meet: the platform's list, what targets said of themselves in answers, and how
//! this host's own sends fared. Leaving in the list means no new work at once. A target that drops
//! out of the list is gone, unless the store was out of reach a moment ago: then heartbeats may
//! have lapsed for no fault of the target, and it stays for the time in which it would come back.
//!
//! What is asked for with every heartbeat and datagram is kept up with each change: worked out anew
//! for each record, the digest of a list of thousands would make small hosts stand still for seconds.

mod availability;
mod list;
mod target;

use super::paces::{EnginePace, PaceReport};
use super::path::{Candidate, PathRequest};
use super::peers::{TargetHash, TargetLoad};
use super::plan::pressure::{EngineUsage, peak_utilisation};
use super::position::Position;
use super::routes::EngineSpec;
use crate::prelude::*;
pub use availability::Availability;
use availability::StoredAvailability;
use list::DroppedTargets;
pub use list::{Absence, ListDelta, ListUpdate, RecordChange};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use target::ReportedHolding;
pub use target::{Claim, Holding, LayersReport, LivenessFailure, Target, TargetRecord};

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// The target with each mark.
    ids: HashMap<TargetHash, TargetId>,
    /// Of what is listed.
    digest: u64,
    /// How far the list has been read.
    position: Position,
    /// What dropped out of the list of late.
    dropped: DroppedTargets,
    /// What targets said that they take, by their lives.
    availability: HashMap<TargetHash, StoredAvailability>,
}

impl Targets {
    /// A target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.all.get(id)
    }

    /// The mark of a target in its life at hand.
    pub fn hash(&self, id: &str) -> Option<TargetHash> {
        self.all.get(id).map(|t| t.hash)
    }

    /// The id of the target with a mark.
    pub fn id_of(&self, mark: TargetHash) -> Option<&TargetId> {
        self.ids.get(&mark)
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
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.all.values().filter(move |t| t.record.service == service)
    }

    /// A request goes to a target.
    pub fn reserve(&mut self, claim: &Claim) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.in_flight += 1;
            target.kv_used += claim.kv_used;
        }
    }

    /// It ended.
    pub fn release(&mut self, claim: &Claim) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.kv_used = (target.kv_used - claim.kv_used).max(0.0);
        }
    }

    /// A send failed there; returns whether that put it out of use just now.
    pub fn record_failure(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.tripped();
        target.health.record_failure(now);
        !before
    }

    /// Until when a target is out of use; none where it is not.
    pub fn quarantine_end(&self, id: &str) -> Option<Instant> {
        self.all.get(id)?.health.open_until()
    }

    /// A whole answer came; returns whether that put it into use again.
    pub fn record_success(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.tripped();
        target.health.record_success(now);
        target.health.forgive_failure();
        before && !target.health.tripped()
    }

    /// Something came through these targets.
    pub fn record_progress<'a>(&mut self, path: impl Iterator<Item = &'a TargetId>, now: Instant) {
        for id in path {
            if let Some(target) = self.all.get_mut(id) {
                target.last_progress = Some(now);
                target.liveness_failure = None;
            }
        }
    }

    /// The targets of a silent path that nothing has come through since `since`. A silent stream
    /// does not say which of its targets is at fault, but other streams show which are not.
    pub fn suspects(&self, path: &[TargetId], since: Instant) -> Vec<TargetId> {
        let quiet = |id: &&TargetId| {
            self.all.get(*id).is_none_or(|t| t.last_progress.is_none_or(|at| at <= since))
        };
        path.iter().filter(quiet).cloned().collect()
    }

    /// Whether it is an engine that is held to hold no layers: it started again, and nothing comes
    /// through it any more, though its port answers.
    pub fn holds_no_layers(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|t| t.record.kind.is_some() && t.holding().is_none())
    }

    /// It does not answer liveness checks; returns whether that is news.
    pub fn liveness_failed(&mut self, id: &str, death: LivenessFailure) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let news = target.liveness_failure.is_none();
        target.liveness_failure = Some(death);
        news
    }

    /// It answered a liveness check; returns whether that is news.
    pub fn liveness_passed(&mut self, id: &str) -> bool {
        self.all.get_mut(id).is_some_and(|t| t.liveness_failure.take().is_some())
    }

    /// The targets that this host holds for dead.
    pub fn dead(&self) -> Vec<TargetId> {
        self.all
            .values()
            .filter(|t| t.liveness_failure.is_some())
            .map(|t| t.record.id.clone())
            .collect()
    }

    /// Another target answers at its address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(target) = self.all.get_mut(id) {
            target.replaced = true;
        }
    }

    /// The next word of a target's layers, for what this host has just found out.
    pub fn next_report(&self, target: TargetHash, layers: (Layer, Layer)) -> LayersReport {
        let known = self.ids.get(&target).and_then(|id| self.all.get(id));
        let last = known.map_or(LayersReport::default(), |t| t.layers_report);
        LayersReport { number: last.number + 1, layers, listed: last.listed }
    }

    /// A target holds layers by its own word, or an empty range: it was shown not to hold what the list
    /// says. Believed until then; returns whether that is news. An earlier word than the last changes
    /// nothing, nor does one beside another list, and of two with one number every host takes the same.
    pub fn apply_report(&mut self, target: TargetHash, word: LayersReport, until: Instant) -> bool {
        let Some(target) = self.ids.get(&target).and_then(|id| self.all.get_mut(id)) else {
            return false;
        };
        if word < target.layers_report || word.listed != target.layers_report.listed {
            return false;
        }
        let news = word > target.layers_report;
        target.layers_report = word;
        let (from, to) = word.layers;
        let holding = (from < to).then_some(Holding { layers: (from, to) });
        if news {
            target.clearing = None;
        }
        let differs = target.record.holding != holding;
        target.reported_holding = differs.then_some(ReportedHolding { holding, until });
        news
    }

    /// What other hosts have at the targets.
    pub fn set_remote_loads(&mut self, loads: &HashMap<TargetHash, TargetLoad>) {
        for target in self.all.values_mut() {
            target.remote_load = loads.get(&target.hash).copied().unwrap_or_default();
        }
    }

    /// What this host has at the targets, for the others.
    pub fn load_reports(&self) -> Vec<TargetLoad> {
        let note = |t: &Target| TargetLoad {
            target: t.hash,
            own: t.in_flight.min(u32::from(u16::MAX)) as u16,
            held: (t.kv_used / 1000.0) as u32,
            down: t.liveness_failure.is_some(),
        };
        self.all.values().map(note).filter(|n| n.own > 0 || n.down).collect()
    }

    /// A target reported its pace, here or to another host; the latest word counts.
    pub fn record_pace(&mut self, target: TargetHash, pace: EnginePace) {
        let known = self.ids.get(&target).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known.filter(|t| pace.is_newer(t.pace)) {
            target.pace = Some(pace);
        }
    }

    /// The paces that differ from what is published, for the other hosts: the slowest of so many.
    pub fn pace_reports(&self, most: usize, now: Instant) -> Vec<PaceReport> {
        let note = |t: &Target| t.pace?.report(t.hash, now);
        let mut notes: Vec<PaceReport> = self.all.values().filter_map(note).collect();
        notes.sort_unstable_by_key(|note| (Reverse(note.pace), note.target));
        notes.truncate(most);
        notes
    }

    /// A target told its load.
    pub fn record_load(&mut self, id: &str, running: u32, waiting: u32, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.reported_load = Some((f64::from(running + waiting), now));
        }
    }

    /// The target of a plain service for a request: the least loaded sound one, own data centre
    /// first among equals. When all have failed of late, the least loaded of them; but nothing is
    /// sent to one that is dark, since that would cost its caller the time of a connection.
    pub fn choose_plain<'a>(
        &'a self,
        service: &'a str,
        near: &str,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<&'a Target> {
        let open = || {
            self.of_service(service)
                .filter(|t| t.accepts_work(now) && !avoid.contains(&t.record.id))
        };
        let cost = |t: &Target| {
            let told = t
                .reported_load
                .filter(|(_, at)| now.saturating_duration_since(*at) < Duration::from_millis(500));
            let busy = told.map_or(0.0, |(n, _)| n).max(t.total_in_flight());
            let far = if t.record.data_centre == near { 0.0 } else { 0.5 };
            (busy + far) / f64::from(t.record.slots.max(1))
        };
        let least = |a: &&Target, b: &&Target| cost(a).total_cmp(&cost(b));
        let lit = || open().filter(|t| t.liveness_failure != Some(LivenessFailure::Silent));
        open().filter(|t| t.is_healthy(now)).min_by(least).or_else(|| lit().min_by(least))
    }

    /// The parts that a path through the layers may use.
    pub fn parts(
        &self,
        service: &str,
        spec: &EngineSpec,
        need: &PathRequest<'_>,
        now: Instant,
    ) -> Vec<Candidate> {
        let usable = |t: &&Target| t.accepts_work(now) && !need.avoided.contains(&t.record.id);
        let all = self.of_service(service).filter(usable);
        all.filter_map(|t| Self::part(t, spec, need, now)).collect()
    }

    /// How full the fullest layer of a data centre's engines is, as a share of its room, or the first
    /// layers' engines, as a share of their slots.
    pub fn fullest(&self, service: &str, spec: &EngineSpec, centre: &str) -> f64 {
        let near =
            self.of_service(service).filter(|t| t.is_available() && t.record.data_centre == centre);
        let taken = near.filter_map(|t| {
            let layers = t.holding()?.layers;
            let capacity = Self::kv_capacity(t, spec)?;
            Some(EngineUsage { layers, capacity, used: t.total_kv_used() })
        });
        peak_utilisation(spec.layers, taken).max(self.first_layer_load(service, centre))
    }

    /// The share of the slots that are taken at the engines which requests may begin at.
    fn first_layer_load(&self, service: &str, centre: &str) -> f64 {
        let first = |t: &&Target| {
            t.is_available()
                && t.record.data_centre == centre
                && t.holding().is_some_and(|h| h.layers.0 == 0)
        };
        let (taken, slots) = self.of_service(service).filter(first).fold((0.0, 0.0), |sum, t| {
            (sum.0 + t.total_in_flight(), sum.1 + f64::from(t.record.slots))
        });
        if slots > 0.0 { taken / slots } else { 0.0 }
    }

    /// KV cache of an engine beside its layers, tokens times layers.
    fn kv_capacity(t: &Target, spec: &EngineSpec) -> Option<f64> {
        let weights = t.weight_layers();
        let kind = spec.kind(t.record.kind.as_deref())?;
        Some(spec.kv_capacity(kind.memory_mb, weights) * f64::from(weights))
    }

    fn part(
        t: &Target,
        spec: &EngineSpec,
        need: &PathRequest<'_>,
        now: Instant,
    ) -> Option<Candidate> {
        let layers = t.holding()?.layers;
        let kind = spec.kind(t.record.kind.as_deref())?;
        let share = 1.0 / f64::from(spec.layers);
        let in_flight = t.total_in_flight();
        let context = spec.context_ms * (spec.mean_prompt + spec.mean_answer);
        let step = spec.step_ms + (spec.per_seq_ms + context) * (in_flight + 1.0);
        let kv_capacity = Self::kv_capacity(t, spec)?;
        let slowness = t.slowdown(now);
        let prefill_ms = slowness * kind.prefill_factor * share / spec.prefill_per_ms;
        Some(Candidate {
            id: t.record.id.clone(),
            addr: t.record.addr,
            local: t.record.data_centre == need.data_centre,
            data_centre: t.record.data_centre.clone(),
            layers,
            decode_ms: slowness * step * kind.step_factor * share,
            prefill_ms,
            in_flight,
            slots: f64::from(t.record.slots),
            kv_free: kv_capacity - t.total_kv_used(),
            kv_capacity,
            healthy: t.is_healthy(now),
        })
    }
}
