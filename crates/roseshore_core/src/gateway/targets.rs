//! State of the targets that configured routes lead to.
//!
//! It combines three sources: the platform's target list, what targets report about themselves in
//! responses, and the outcome of this host's own requests. A target that is listed as draining gets
//! no new work at once. A target that disappears from the list is removed, unless the store was
//! unreachable shortly before: heartbeats may then have lapsed through no fault of the target, so
//! it is kept for the time in which its entry would come back.
//!
//! Values needed for every heartbeat and datagram, such as the list digest and the index by hash,
//! are updated incrementally. Recomputing the digest of a list of thousands for each record would
//! stall small hosts for seconds.

mod availability;
mod list;
mod models;
mod responses;
mod target;

use super::hashes::TargetHash;
use super::liveness::Doubt;
use super::paces::{EnginePace, PaceReport};
use super::path::{Candidate, MAX_QUEUED, PathRequest};
use super::plan::pressure::{EngineUsage, peak_utilisation};
use super::position::Position;
use super::progress::TargetEvidence;
use super::quota::room::{Occupancy, Share, UsableRoom};
use super::reports::TargetLoad;
use super::routes::EngineSpec;
use crate::load::breaker::CircuitBreaker;
use crate::prelude::*;
pub use availability::Availability;
use availability::StoredAvailability;
use list::DroppedTargets;
pub use list::{Absence, ListDelta, ListUpdate, RecordChange};
pub use models::ForeignLayers;
use models::Models;
pub use responses::ResponseWait;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use target::ReportedHolding;
pub use target::{
    Claim, Holding, LayersReport, LivenessFailure, OutOfUse, Relay, Target, TargetRecord,
};

/// How long the load that a target reported is valid.
const LOAD_VALIDITY: Duration = Duration::from_millis(500);
/// How long the time to a first event counts for later sends through the same targets.
const FIRST_EVENT_VALIDITY: Duration = Duration::from_secs(3);

/// Changes to what other hosts report about targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChanges {
    /// Targets that they now report to fail liveness checks.
    pub down: Vec<TargetId>,
    /// Targets that they no longer report to.
    pub back: Vec<TargetId>,
}

/// Free room at the engines of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct FreeRoom {
    /// KV cache, in tokens times layers.
    kv: f64,
    /// Slots of engines that hold the first layer.
    slots: f64,
}

impl FreeRoom {
    fn add(&mut self, engine: &Candidate) {
        self.kv += engine.kv_free.max(0.0);
        if engine.layers.0 == 0 {
            self.slots += engine.free_slots().max(0.0);
        }
    }
}

/// A part of a whole, 0 to 1; 1 if there is nothing.
fn fraction(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { (part / whole).clamp(0.0, 1.0) } else { 1.0 }
}

/// All known targets, by id.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// Ids of the targets in their current incarnation, by hash.
    ids: HashMap<TargetHash, TargetId>,
    /// XOR of the record digests of all listed targets.
    digest: u64,
    /// Position up to which the list has been read.
    position: Position,
    /// Targets that were recently removed from the list.
    dropped: DroppedTargets,
    /// Whether other hosts report that any target fails their liveness checks.
    reported_down: bool,
    /// What targets reported about their availability, by incarnation.
    availability: HashMap<TargetHash, StoredAvailability>,
    /// The models whose layers engines hold.
    models: Models,
}

impl Targets {
    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.all.get(id)
    }

    /// Returns the hash of a target's current incarnation.
    pub fn hash(&self, id: &str) -> Option<TargetHash> {
        self.all.get(id).map(|t| t.hash)
    }

    /// Returns the id of the target whose current incarnation has this hash.
    pub fn id_of(&self, hash: TargetHash) -> Option<&TargetId> {
        self.ids.get(&hash)
    }

    /// The id of the target that listens at an address.
    pub fn id_at(&self, addr: SocketAddr) -> Option<&TargetId> {
        let listens = |t: &&Target| t.record.addr == addr && !t.replaced && !t.foreign;
        self.all.values().find(listens).map(|t| &t.record.id)
    }

    /// Whether a target is no longer listed, or another one has taken its address.
    pub fn is_gone(&self, id: &str) -> bool {
        let Some(target) = self.all.get(id) else { return true };
        let follows = |other: &Target| other.record.addr == target.record.addr && !other.foreign;
        target.replaced || self.all.values().any(|t| t.record.id != id && follows(t))
    }

    /// Number of known targets, including those that are missing from the list but still kept.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Iterates over the targets of a service, without entries of other programs.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.all.values().filter(move |t| t.record.service == service && !t.foreign)
    }

    /// Accounts for a request that is sent to a target.
    pub fn reserve(&mut self, claim: &Claim, now: Instant) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.in_flight += 1;
            target.kv_used += claim.kv_used;
            target.recent.claim(claim.kv_used, now);
        }
    }

    /// Undoes [`Targets::reserve`] at `since` when the request has ended.
    pub fn release(&mut self, claim: &Claim, since: Instant, now: Instant) {
        if let Some(target) = self.all.get_mut(&claim.target) {
            target.recent.end(claim.kv_used, since, now);
            target.in_flight = target.in_flight.saturating_sub(1);
            target.kv_used = (target.kv_used - claim.kv_used).max(0.0);
        }
    }

    /// Records a failed request. Returns whether it put the target out of use.
    pub fn record_failure(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.tripped();
        target.health.record_failure(now);
        !before
    }

    /// Like [`Targets::record_failure`], for a request that failed by what the target sent. Unlike a
    /// target that was not reached, this one is not in use again once another host reaches it.
    pub fn record_own_failure(&mut self, id: &str, now: Instant) -> bool {
        if let Some(target) = self.all.get_mut(id) {
            target.failed_itself = true;
        }
        self.record_failure(id, now)
    }

    /// Share of an engine's KV cache in use, as counted here, if `added` more, in tokens times layers,
    /// were taken; `None` if it is no engine.
    pub fn kv_fill(&self, id: &str, spec: &EngineSpec, added: f64) -> Option<f64> {
        let target = self.all.get(id)?;
        let capacity = Self::kv_capacity(target, spec)?;
        Some((target.total_kv_used() + added) / capacity.max(1.0))
    }

    /// What is known of a target that refused a request: `predicted` is the use of its KV cache
    /// expected when the request was sent, `takes_slot` whether the request takes one of its slots.
    pub fn evidence(
        &self,
        id: &str,
        spec: Option<&EngineSpec>,
        predicted: f64,
        takes_slot: bool,
        now: Instant,
    ) -> TargetEvidence {
        let Some(target) = self.all.get(id) else { return TargetEvidence::default() };
        let slots = f64::from(target.record.slots.max(1));
        let by_slot = |requests: f64| if takes_slot { requests / slots } else { 0.0 };
        let lost_layers = target.record.kind.is_some() && target.holding().is_none();
        TargetEvidence {
            predicted,
            current: spec.and_then(|spec| self.kv_fill(id, spec, 0.0)).unwrap_or(0.0),
            slots: by_slot(target.total_in_flight()),
            reported: by_slot(target.reported_requests(now)),
            unavailable: !target.is_available()
                || target.is_down()
                || target.clearing.is_some()
                || lost_layers,
        }
    }

    /// Records that a full engine refused a request that it is still counted with. Returns whether
    /// less of its room is held to be usable than before.
    pub fn record_full(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let counted = target.total_kv_used();
        let before = target.usable;
        target.usable = Some(UsableRoom::after_refusal(before, counted, now));
        before.is_none_or(|known| known.part(counted, now) >= 1.0)
    }

    /// Part of an engine's KV cache that is held to be usable; `None` if it is no engine.
    pub fn usable_part(&self, id: &str, spec: &EngineSpec, now: Instant) -> Option<f64> {
        let target = self.all.get(id)?;
        Some(target.usable_part(Self::kv_capacity(target, spec)?, now))
    }

    /// Forgets what refusals showed where it no longer narrows an engine's room. Returns those
    /// engines, and the smallest usable part of the others.
    pub fn widen(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        now: Instant,
    ) -> (Vec<TargetId>, f64) {
        let (mut back, mut least) = (Vec::new(), 1.0_f64);
        for target in self.all.values_mut().filter(|t| t.record.service == service) {
            let Some(usable) = target.usable else { continue };
            let part = Self::kv_capacity(target, spec).map_or(1.0, |all| usable.part(all, now));
            if part >= 1.0 {
                target.usable = None;
                back.push(target.record.id.clone());
            }
            least = least.min(part);
        }
        (back, least)
    }

    /// When a target's quarantine ends; `None` if it is not quarantined.
    pub fn quarantine_end(&self, id: &str) -> Option<Instant> {
        self.all.get(id)?.health.open_until()
    }

    /// Records a complete response. Returns whether it put the target back into use.
    pub fn record_success(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.health.tripped();
        target.health.record_success(now);
        target.health.forgive_failure();
        target.failed_itself = false;
        before && !target.health.tripped()
    }

    /// Records that data arrived through these targets. It also clears their liveness failures,
    /// unless another host relayed it, which shows nothing about this host's links.
    pub fn record_progress<'a>(
        &mut self,
        path: impl Iterator<Item = &'a TargetId>,
        relayed: bool,
        now: Instant,
    ) {
        for id in path {
            if let Some(target) = self.all.get_mut(id) {
                target.last_progress = Some(now);
                target.alive_at = Some(now);
                target.record_response(now);
                if let Some(relay) = &mut target.relay {
                    relay.confirmed = now;
                } else if !relayed {
                    target.liveness_failure = None;
                }
            }
        }
    }

    /// Targets of a stalled path through which nothing has arrived since `since`. A stalled stream
    /// does not tell which of its targets is at fault, but progress of other streams shows which
    /// are not.
    pub fn suspects(&self, path: &[TargetId], since: Instant) -> Vec<TargetId> {
        let quiet = |id: &&TargetId| {
            self.all.get(*id).is_none_or(|t| t.last_progress.is_none_or(|at| at <= since))
        };
        path.iter().filter(quiet).cloned().collect()
    }

    /// Records the time from a send over a path to its first event.
    pub fn record_first_event<'a>(
        &mut self,
        path: impl Iterator<Item = &'a TargetId>,
        took: Duration,
        now: Instant,
    ) {
        for id in path {
            if let Some(target) = self.all.get_mut(id) {
                let longer = |(known, at): (Duration, Instant)| {
                    known > took && now.saturating_duration_since(at) < FIRST_EVENT_VALIDITY
                };
                target.first_event =
                    target.first_event.filter(|last| longer(*last)).or(Some((took, now)));
            }
        }
    }

    /// Longest recent time from a send through any of these targets to the first event; zero if none
    /// is known.
    pub fn longest_first_event(&self, path: &[TargetId], now: Instant) -> Duration {
        let known = path.iter().filter_map(|id| self.all.get(id)?.first_event);
        let recent =
            known.filter(|(_, at)| now.saturating_duration_since(*at) < FIRST_EVENT_VALIDITY);
        recent.map(|(took, _)| took).max().unwrap_or_default()
    }

    /// The largest slowdown of these targets.
    pub fn slowdown(&self, path: &[TargetId], now: Instant) -> f64 {
        path.iter().filter_map(|id| self.all.get(id)).fold(1.0, |most, t| t.slowdown(now).max(most))
    }

    /// Whether the target is an engine that is taken to hold no layers: it was restarted, and
    /// nothing arrives through it any more although its port answers.
    pub fn holds_no_layers(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|t| t.record.kind.is_some() && t.holding().is_none())
    }

    /// Records a failed liveness check. Returns whether the target was taken to be alive before.
    pub fn liveness_failed(&mut self, id: &str, failure: LivenessFailure) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let new = target.liveness_failure.is_none();
        target.liveness_failure = Some(failure);
        new
    }

    /// Records a passed liveness check that began at `started`. Returns whether the target was
    /// taken to be dead before.
    pub fn liveness_passed(&mut self, id: &str, started: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let before = target.is_down();
        target.alive_at = target.alive_at.max(Some(started));
        (target.liveness_failure, target.relay) = (None, None);
        before && !target.is_down()
    }

    /// Records that data arrived from a target for another host.
    pub fn record_alive(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.alive_at = Some(now);
        }
    }

    /// Whether this host itself reached a target since `since`.
    pub fn reached_since(&self, id: &str, since: Instant) -> bool {
        let reached = |t: &Target| t.liveness_failure.is_none() && t.alive_at >= Some(since);
        self.all.get(id).is_some_and(reached)
    }

    /// Records that another host reached a target. Returns whether the target is in use again by
    /// that: it fails this host's checks, so the fault is at this host's link.
    pub fn record_relay(&mut self, target: TargetHash, relay: Relay) -> bool {
        let Some(target) = self.ids.get(&target).and_then(|id| self.all.get_mut(id)) else {
            return false;
        };
        let before = target.relay();
        target.set_relay(relay);
        if before.is_some() || target.relay().is_none() {
            return false;
        }
        if !target.failed_itself {
            target.health = CircuitBreaker::default();
        }
        true
    }

    /// Records that a host did not reach a target for this one.
    pub fn relay_failed(&mut self, id: &str, host: SocketAddr) {
        if let Some(target) = self.all.get_mut(id) {
            target.relay = target.relay.filter(|relay| relay.host != host);
        }
    }

    /// Forgets the host that reaches a target unless it did so after `since`.
    pub fn expire_relay(&mut self, id: &str, since: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.relay = target.relay.filter(|relay| relay.confirmed >= since);
        }
    }

    /// Targets that pass this host's checks and have shown no sign of life since `since`.
    pub fn unseen(&self, since: Instant) -> Vec<TargetId> {
        let unseen =
            |t: &&Target| t.liveness_failure.is_none() && t.alive_at < Some(since) && !t.foreign;
        self.all.values().filter(unseen).map(|t| t.record.id.clone()).collect()
    }

    /// Ids of the targets that fail this host's liveness checks.
    pub fn dead(&self) -> Vec<TargetId> {
        self.all
            .values()
            .filter(|t| t.liveness_failure.is_some())
            .map(|t| t.record.id.clone())
            .collect()
    }

    /// Records that another target answers at this target's address.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(target) = self.all.get_mut(id) {
            target.replaced = true;
        }
    }

    /// Builds the layers report that follows the target's latest one, for what this host has just
    /// found out.
    pub fn next_report(&self, target: TargetHash, layers: (Layer, Layer)) -> LayersReport {
        let known = self.ids.get(&target).and_then(|id| self.all.get(id));
        let last = known.map_or(LayersReport::default(), |t| t.layers_report);
        LayersReport { number: last.number + 1, layers, listed: last.listed }
    }

    /// Applies a report of the layers that a target holds; an empty range means that the target was
    /// shown not to hold what the list says. The report is believed until `until`. Returns whether
    /// it is new. Reports older than the latest one, made against another list record or of layers
    /// that the model does not have are ignored. Reports with equal numbers are ordered by their content, so all hosts settle on the
    /// same one.
    pub fn apply_report(
        &mut self,
        target: TargetHash,
        report: LayersReport,
        until: Instant,
    ) -> bool {
        let Some(target) = self.ids.get(&target).and_then(|id| self.all.get_mut(id)) else {
            return false;
        };
        if report < target.layers_report || report.listed != target.layers_report.listed {
            return false;
        }
        let holds_some = report.layers.0 < report.layers.1;
        if holds_some && !self.models.contain(&target.record.service, report.layers) {
            return false;
        }
        let new = report > target.layers_report;
        target.layers_report = report;
        let (from, to) = report.layers;
        let holding = (from < to).then_some(Holding { layers: (from, to) });
        if new {
            target.clearing = None;
        }
        let differs = target.record.holding != holding;
        target.reported_holding = differs.then_some(ReportedHolding { holding, until });
        new
    }

    /// Sets the load that other hosts have at each target. Returns the targets of which they report
    /// for the first time that they fail liveness checks, and those of which they no longer do.
    pub fn set_remote_loads(
        &mut self,
        loads: &HashMap<TargetHash, TargetLoad>,
        now: Instant,
    ) -> ReportChanges {
        let mut changes = ReportChanges::default();
        self.reported_down = loads.values().any(|load| load.down);
        for target in self.all.values_mut() {
            let load = loads.get(&target.hash).copied().unwrap_or_default();
            if load.down != target.remote_load.down {
                let list = if load.down { &mut changes.down } else { &mut changes.back };
                list.push(target.record.id.clone());
                target.reported_at = load.down.then_some(now);
            }
            target.remote_load = load;
        }
        changes
    }

    /// Number of targets that fail this host's liveness checks, that fail the checks of other
    /// hosts, and that are reached through another host.
    pub fn down_counts(&self) -> (usize, usize, usize) {
        self.all.values().fold((0, 0, 0), |(own, reported, relayed), t| {
            (
                own + usize::from(t.liveness_failure.is_some()),
                reported + usize::from(t.remote_load.down),
                relayed + usize::from(t.relay().is_some()),
            )
        })
    }

    /// Targets that fail liveness checks of this host, or of others by their reports.
    pub fn doubtful(&self) -> Vec<(TargetId, Doubt)> {
        let doubtful =
            |t: &&Target| (t.liveness_failure.is_some() || t.reported_at.is_some()) && !t.foreign;
        let doubt = |t: &Target| Doubt {
            target: t.hash,
            reported: t.reported_at,
            failing: t.liveness_failure.is_some(),
            relayed: t.relay().is_some(),
            used: t.in_flight > 0,
            alive: t.alive_at,
        };
        self.all.values().filter(doubtful).map(|t| (t.record.id.clone(), doubt(t))).collect()
    }

    /// Targets that other hosts report to fail liveness checks and that this host reached after the
    /// report.
    pub fn refuted(&self) -> Vec<TargetHash> {
        if !self.reported_down {
            return Vec::new();
        }
        self.all.values().filter(|t| t.is_refuted()).map(|t| t.hash).collect()
    }

    /// Why a target gets no new work at present although it is listed; `None` if it does.
    pub fn out_of_use(&self, id: &str, now: Instant) -> Option<OutOfUse> {
        let target = self.all.get(id)?;
        match target.liveness_failure {
            Some(failure) if target.is_down() => Some(OutOfUse::Failing(failure)),
            None if target.is_down() => Some(OutOfUse::Reported),
            _ => (!target.is_healthy(now)).then_some(OutOfUse::Failed),
        }
    }

    /// This host's load at each target that it uses or finds dead, for other hosts.
    pub fn load_reports(&self) -> Vec<TargetLoad> {
        let report = |t: &Target| TargetLoad {
            target: t.hash,
            own: t.in_flight.min(u32::from(u16::MAX)) as u16,
            held: (t.kv_used / 1000.0) as u32,
            down: t.liveness_failure.is_some() && t.relay().is_none(),
        };
        self.all.values().map(report).filter(|n| n.own > 0 || n.down).collect()
    }

    /// Hashes of the targets in a data centre.
    pub fn in_data_centre(&self, centre: &str) -> HashSet<TargetHash> {
        let near = self.all.values().filter(|t| t.record.data_centre == centre);
        near.map(|t| t.hash).collect()
    }

    /// Records the pace that a target reported to this or another host; the latest report wins.
    pub fn record_pace(&mut self, target: TargetHash, pace: EnginePace) {
        let known = self.ids.get(&target).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known.filter(|t| pace.is_newer(t.pace)) {
            target.pace = Some(pace);
        }
    }

    /// Up to `most` paces that differ from the published one, for other hosts: the slowest of the
    /// targets in use, and some of the others, chosen by `draw`. Hosts avoid slow targets, so that
    /// most of these are not in use, and have to learn of them all the same.
    pub fn pace_reports(&self, most: usize, draw: usize, now: Instant) -> Vec<PaceReport> {
        let (mut used, mut others) = (Vec::new(), Vec::new());
        for target in self.all.values() {
            let report = target.pace.and_then(|pace| pace.report(target.hash, now));
            let group = if target.total_in_flight() > 0.0 { &mut used } else { &mut others };
            group.extend(report);
        }
        used.sort_unstable_by_key(|report| (Reverse(report.pace), report.target));
        used.truncate(most - others.len().min(most / 2));
        others.sort_unstable_by_key(|report| report.target);
        let first = draw.checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(first);
        others.truncate(most - used.len());
        used.extend(others);
        used
    }

    /// Records the load that a target reported: requests running and waiting.
    pub fn record_load(&mut self, id: &str, running: u32, waiting: u32, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.reported_load = Some((f64::from(running + waiting), now));
        }
    }

    /// Chooses a target of a plain service: the least loaded healthy one, preferring the own data
    /// centre among equals. If all have failed recently, it is the least loaded of them, except for
    /// targets that answer nothing, since connecting to one of these would cost the caller the time
    /// of a connection attempt.
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
            let busy = t.reported_requests(now).max(t.total_in_flight());
            let far = if t.record.data_centre == near { 0.0 } else { 0.5 };
            (busy + far) / f64::from(t.record.slots.max(1))
        };
        let least = |a: &&Target, b: &&Target| cost(a).total_cmp(&cost(b));
        let reachable = || {
            open().filter(|t| {
                t.relay().is_some() || t.liveness_failure != Some(LivenessFailure::Silent)
            })
        };
        open().filter(|t| t.is_healthy(now)).min_by(least).or_else(|| reachable().min_by(least))
    }

    /// The targets that a path through the layers may use, with their costs, free capacity and what
    /// this host may take of it by its share.
    pub fn parts(
        &self,
        service: &str,
        spec: &EngineSpec,
        need: &PathRequest<'_>,
        share: &Share,
        now: Instant,
    ) -> Vec<Candidate> {
        let usable = |t: &&Target| t.accepts_work(now) && !need.avoided.contains(&t.record.id);
        let all = self.of_service(service).filter(usable);
        let mut parts: Vec<Candidate> =
            all.filter_map(|t| Self::part(t, spec, need, now)).collect();
        self.divide_room(&mut parts, spec, need, share, now);
        parts
    }

    /// Limits the room at each engine to this host's share.
    fn divide_room(
        &self,
        parts: &mut [Candidate],
        spec: &EngineSpec,
        need: &PathRequest<'_>,
        share: &Share,
        now: Instant,
    ) {
        let mut free: HashMap<DataCentreId, FreeRoom> = HashMap::new();
        for part in parts.iter() {
            free.entry(part.data_centre.clone()).or_default().add(part);
        }
        let all_layers = f64::from(spec.layers).max(1.0);
        for part in parts {
            let Some(target) = self.all.get(&part.id) else { continue };
            let (requests, kv) = target.recent.net(share.report_age(part.local), now);
            let free = &free[&part.data_centre];
            let of_layers = free.kv * part.width() / all_layers;
            let memory = Occupancy {
                capacity: part.kv_capacity,
                free: part.kv_free,
                recent: kv,
                request: need.kv_tokens() * part.width(),
                free_part: fraction(part.kv_free, of_layers),
            };
            part.kv_room = share.room(part.local, &memory);
            let slots = Occupancy {
                capacity: part.slots + MAX_QUEUED,
                free: part.free_slots(),
                recent: requests,
                request: 1.0,
                free_part: fraction(part.free_slots(), free.slots),
            };
            part.slot_room = share.room(part.local, &slots);
        }
    }

    /// Number of data centres with targets of a service.
    pub fn data_centres(&self, service: &str) -> usize {
        let centres = self.of_service(service).map(|t| t.record.data_centre.as_str());
        centres.collect::<BTreeSet<_>>().len()
    }

    /// Occupancy of a data centre's engines, as a fraction: the highest occupancy of any layer's KV
    /// cache, or that of the slots of the engines with the first layer if it is higher.
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

    /// Fraction of slots in use at the engines that hold the first layer, where requests begin.
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

    /// KV cache capacity of an engine beside its weights, in tokens times layers.
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
        let kv_capacity = kv_capacity * t.usable_part(kv_capacity, now);
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
            slot_room: f64::INFINITY,
            kv_free: kv_capacity - t.total_kv_used(),
            kv_room: f64::INFINITY,
            kv_capacity,
            healthy: t.is_healthy(now),
        })
    }
}
