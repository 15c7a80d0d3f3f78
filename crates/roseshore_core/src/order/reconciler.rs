//! Reconciles targets with their desired state: decides which orders are due.
//!
//! Orders are level-triggered: an order states what a target should hold and is repeated until the
//! target reports that state. A lost reply therefore needs no tracking, and a late order of a
//! former lease holder is corrected in the next round.
//!
//! Four limits apply:
//!
//! - A target is not taken out of service while that would break the last complete chain of the
//!   version it serves.
//! - Answers in flight get time to finish before weights are replaced.
//! - The backlog of the weight store stays within [`ReconcilerLimits::max_backlog`].
//! - An order is not repeated before the previous one can have taken effect.

mod serving;

pub use serving::tiles;

use crate::order::desired::Desired;
use crate::prelude::*;
use serving::{RemovalImpact, Serving};
use std::collections::{BTreeMap, BTreeSet};

/// State that a target reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    /// Loaded model; `None` if the target holds none.
    pub model: Option<ModelId>,
    /// Version of the loaded weights; `None` if the target holds none.
    pub version: Option<VersionId>,
    /// Loaded layers: the first and one past the last.
    pub layers: (Layer, Layer),
    /// Loaded adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether the target's role lets it take new answers.
    pub serves: bool,
    /// Number of answers that the target is computing.
    pub running: u32,
    /// Number of answers queued at the target.
    pub queue: u32,
    /// Number of steps that the target runs concurrently.
    pub slots: u32,
}

impl Observed {
    fn matches(&self, want: &Desired) -> bool {
        !self.loading
            && self.serves
            && self.model.as_ref() == Some(&want.model)
            && self.version.as_ref() == Some(&want.version)
            && self.layers == want.layers
            && self.adapters == want.adapters
    }
}

/// Load of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightStoreState {
    /// Throughput in bytes per second.
    pub rate: u64,
    /// Bytes requested and not yet delivered.
    pub backlog: u64,
}

/// Limits of a [`Reconciler`].
#[derive(Clone, Copy, Debug)]
pub struct ReconcilerLimits {
    /// Longest backlog at the weight store, as time at its current rate, with new loads.
    pub max_backlog: Duration,
    /// Delay before the first repeat of an order; doubles with each further repeat.
    pub retry_after: Duration,
    /// Longest delay between repeats of an order that has no effect.
    pub max_backoff: Duration,
    /// Time until every daemon knows that a target takes no new answers or that a new version
    /// serves.
    pub propagation: Duration,
    /// Longest time that a change waits for answers in flight.
    pub drain_timeout: Duration,
}

impl Default for ReconcilerLimits {
    fn default() -> ReconcilerLimits {
        ReconcilerLimits {
            max_backlog: Duration::from_secs(20),
            retry_after: Duration::from_secs(2),
            max_backoff: Duration::from_mins(1),
            propagation: Duration::from_secs(1),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// Action that an order asks of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stop taking new answers and keep the loaded state.
    Drain(Observed),
    /// Load the desired state and take new answers.
    Hold(Desired),
}

/// Order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// Target that receives the order.
    pub target: TargetId,
    /// Whether the target rejects stale fencing tokens.
    pub checks_fence: bool,
    /// Requested action.
    pub action: Action,
}

/// Wait of a target for its answers in flight; restarts when `serves` changes.
#[derive(Clone, Copy, Debug)]
struct DrainWait {
    since: Instant,
    serves: bool,
}

/// Target whose observed state differs from the desired one.
struct Pending<'a> {
    id: &'a TargetId,
    want: &'a Desired,
    observed: &'a Observed,
    impact: RemovalImpact,
}

/// Last order issued to a target.
#[derive(Clone, Debug)]
struct IssuedOrder {
    want: Desired,
    drain: bool,
    /// Earliest time of the next repeat.
    next: Instant,
    /// Number of repeats so far.
    tries: u32,
}

impl IssuedOrder {
    fn same(&self, want: &Desired, drain: bool) -> bool {
        self.want == *want && self.drain == drain
    }
}

/// Decides which orders are due, from the desired and observed state of targets.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    bounds: ReconcilerLimits,
    issued: BTreeMap<TargetId, IssuedOrder>,
    waits: BTreeMap<TargetId, DrainWait>,
}

impl Reconciler {
    /// Creates a reconciler that has issued no orders.
    pub fn new(bounds: ReconcilerLimits) -> Reconciler {
        Reconciler { bounds, ..Reconciler::default() }
    }

    /// Returns the orders to send now, and records them as issued.
    ///
    /// `observed` contains only targets with a recent report; other targets get no orders.
    /// `allowed` returns whether orders may be sent to targets with this value of `checks_fence`.
    /// `store` is `None` while the weight store does not answer, which postpones loads.
    pub fn due(
        &mut self,
        now: Instant,
        wants: &BTreeMap<TargetId, Desired>,
        observed: &BTreeMap<TargetId, Observed>,
        store: Option<WeightStoreState>,
        allowed: impl Fn(bool) -> bool,
    ) -> Vec<DueOrder> {
        self.prune_issued(wants, observed);
        let pending = self.pending(wants, observed);
        self.waits.retain(|id, _| pending.iter().any(|o| o.id == id));
        let mut budget = Budget::new(store, self.bounds.max_backlog);
        let mut orders = Vec::new();
        for pending in pending {
            let bytes =
                if weights_match(pending.observed, pending.want) { 0 } else { pending.want.bytes };
            let action = self.next_action(now, &pending);
            let Some(action) = action.filter(|_| allowed(pending.want.checks_fence)) else {
                continue;
            };
            let drain = matches!(action, Action::Drain(_));
            // A drained target loads its weights next, so a drain reserves the bytes as well.
            if self.retry_due(pending.id, pending.want, drain, now) && budget.reserve(bytes) {
                self.record_issued(pending.id, pending.want, drain, now);
                let checks_fence = pending.want.checks_fence;
                orders.push(DueOrder { target: pending.id.clone(), checks_fence, action });
            }
        }
        orders
    }

    /// Returns the targets that may change now, first those that break no chain of their model.
    fn pending<'a>(
        &self,
        wants: &'a BTreeMap<TargetId, Desired>,
        observed: &'a BTreeMap<TargetId, Observed>,
    ) -> Vec<Pending<'a>> {
        let mut serving = Serving::new(observed, wants);
        let (mut pending, blocked): (Vec<_>, Vec<_>) = wants
            .iter()
            .filter_map(|(id, want)| Some((id, want, observed.get(id)?)))
            .filter(|(_, want, observed)| !observed.loading && !observed.matches(want))
            .map(|(id, want, observed)| {
                let impact = serving.remove(id, observed, want);
                Pending { id, want, observed, impact }
            })
            .partition(|pending| pending.impact != RemovalImpact::BreaksLastChain);
        let mut changing = self.changing_models(observed);
        changing.extend(pending.iter().map(|pending| &pending.want.model));
        // If no other target of the model is changing, waiting would never end: a model with a
        // single chain has to go out of service for its change.
        pending
            .extend(blocked.into_iter().filter(|pending| !changing.contains(&pending.want.model)));
        pending
    }

    /// Returns the action for a target, or `None` while it waits for its answers in flight.
    fn next_action(&mut self, now: Instant, pending: &Pending<'_>) -> Option<Action> {
        let hold = || Some(Action::Hold(pending.want.clone()));
        let observed = pending.observed;
        if weights_match(observed, pending.want) {
            return hold();
        }
        if pending.impact == RemovalImpact::Redundant {
            return Some(Action::Drain(observed.clone()));
        }
        let wait = DrainWait { since: now, serves: observed.serves };
        let known = self.waits.entry(pending.id.clone()).or_insert(wait);
        if known.serves != wait.serves {
            *known = wait;
        }
        let waited = now.saturating_duration_since(known.since);
        // Daemons that do not know of the drain or of the new version yet may still send answers.
        let trailing = !observed.serves || pending.impact == RemovalImpact::Replaced;
        let quiet = if trailing { self.bounds.propagation } else { Duration::ZERO };
        let idle = observed.running == 0 && waited >= quiet;
        if idle || waited >= self.bounds.drain_timeout { hold() } else { None }
    }

    /// Returns the models with a load in progress or ordered.
    fn changing_models<'a>(
        &'a self,
        observed: &'a BTreeMap<TargetId, Observed>,
    ) -> BTreeSet<&'a ModelId> {
        let loading = observed.values().filter(|observed| observed.loading);
        let ordered = self.issued.values().map(|issued| &issued.want.model);
        loading.filter_map(|observed| observed.model.as_ref()).chain(ordered).collect()
    }

    fn retry_due(&self, id: &TargetId, want: &Desired, drain: bool, now: Instant) -> bool {
        self.issued.get(id).is_none_or(|issued| !issued.same(want, drain) || now >= issued.next)
    }

    fn record_issued(&mut self, id: &TargetId, want: &Desired, drain: bool, now: Instant) {
        let tries = match self.issued.get(id) {
            Some(issued) if issued.same(want, drain) => issued.tries + 1,
            _ => 0,
        };
        let backoff = self.bounds.retry_after * 2_u32.saturating_pow(tries.min(10));
        let next = now + backoff.min(self.bounds.max_backoff);
        self.issued.insert(id.clone(), IssuedOrder { want: want.clone(), drain, next, tries });
    }

    /// Drops orders whose target reached the ordered state, sends no reports or is not declared.
    fn prune_issued(
        &mut self,
        wants: &BTreeMap<TargetId, Desired>,
        observed: &BTreeMap<TargetId, Observed>,
    ) {
        self.issued.retain(|id, issued| {
            // A target without reports must not delay the change of the others.
            let pending = observed.get(id).is_some_and(|observed| !observed.matches(&issued.want));
            pending && wants.contains_key(id)
        });
    }
}

/// Whether the target holds the desired weights, adapters aside.
///
/// A change of adapters alone puts a negligible load on the weight store.
fn weights_match(observed: &Observed, want: &Desired) -> bool {
    observed.model.as_ref() == Some(&want.model)
        && observed.version.as_ref() == Some(&want.version)
        && observed.layers == want.layers
}

/// Bytes that may be requested from the weight store in one round.
struct Budget {
    left: u64,
    idle: bool,
}

impl Budget {
    fn new(store: Option<WeightStoreState>, max_backlog: Duration) -> Budget {
        let most = store.map_or(0, |s| (s.rate as f64 * max_backlog.as_secs_f64()) as u64);
        let backlog = store.map_or(0, |s| s.backlog);
        Budget { left: most.saturating_sub(backlog), idle: store.is_some() && backlog == 0 }
    }

    /// Reserves `bytes` if they fit; an idle store accepts one load of any size.
    fn reserve(&mut self, bytes: u64) -> bool {
        if bytes > self.left && !(self.idle && bytes > 0) {
            return false;
        }
        self.left = self.left.saturating_sub(bytes);
        self.idle &= bytes == 0;
        true
    }
}
