//! Which orders to give now.
//!
//! Orders are level-triggered: an order says what to hold, and is given again until the target
//! reports that. So a lost reply needs no memory, and an order of a former holder that lands late
//! is put right by the next round. Four bounds hold: a target whose going would break the last
//! whole chain of what it serves now waits for another, answers in flight get time to end before
//! weights go, the weight store's backlog stays within a limit, and a target is not ordered again
//! before its last order can have taken effect.

mod serving;

pub use serving::tiles;

use crate::order::desired::Desired;
use crate::prelude::*;
use serving::{Going, Serving};
use std::collections::{BTreeMap, BTreeSet};

/// What a target reports that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    /// The model, if any.
    pub model: Option<ModelId>,
    /// The version.
    pub version: Option<VersionId>,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether a load is under way.
    pub loading: bool,
    /// Whether it takes new answers, by its role.
    pub serves: bool,
    /// Answers that it works on.
    pub running: u32,
    /// Answers that wait there.
    pub queue: u32,
    /// Steps that run at once.
    pub slots: u32,
}

impl Observed {
    fn fits(&self, want: &Desired) -> bool {
        !self.loading
            && self.serves
            && self.model.as_ref() == Some(&want.model)
            && self.version.as_ref() == Some(&want.version)
            && self.layers == want.layers
            && self.adapters == want.adapters
    }
}

/// The weight store's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Bytes a second.
    pub rate: u64,
    /// Bytes asked for and not yet given.
    pub backlog: u64,
}

/// The bounds of [`Reconciler`].
#[derive(Clone, Copy, Debug)]
pub struct ReconcilerLimits {
    /// The longest backlog that a new load may find at the weight store.
    pub max_backlog: Duration,
    /// How long an order has before it is given again.
    pub retry_after: Duration,
    /// The longest wait between repeats of an order that has no effect.
    pub max_backoff: Duration,
    /// How long daemons may take to hear that a target takes no new answers, or that a new version
    /// serves.
    pub propagation: Duration,
    /// How long answers in flight may hold up a change.
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

/// What a target is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To take no new answers, and to keep what it holds.
    Drain(Observed),
    /// To hold what it should.
    Hold(Desired),
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// The target.
    pub target: TargetId,
    /// Whether it refuses old fencing numbers.
    pub checks_fence: bool,
    /// What it is to do.
    pub step: Action,
}

/// Since when a target waits for its answers in flight.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Instant,
    serves: bool,
}

/// A target that does not hold what it should.
struct Open<'a> {
    id: &'a TargetId,
    want: &'a Desired,
    holds: &'a Observed,
    going: Going,
}

#[derive(Clone, Debug)]
struct Given {
    want: Desired,
    drain: bool,
    next: Instant,
    tries: u32,
}

impl Given {
    fn same(&self, want: &Desired, drain: bool) -> bool {
        self.want == *want && self.drain == drain
    }
}

/// Decides which orders to give.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    bounds: ReconcilerLimits,
    given: BTreeMap<TargetId, Given>,
    waits: BTreeMap<TargetId, Wait>,
}

impl Reconciler {
    /// A reconciler that has given nothing yet.
    pub fn new(bounds: ReconcilerLimits) -> Reconciler {
        Reconciler { bounds, ..Reconciler::default() }
    }

    /// The orders to give now.
    ///
    /// `seen` has only targets whose report is fresh; a silent target is not ordered. `allowed`
    /// says whether orders may be given to a target with this `checks_fence` mark. `store` is `None`
    /// while the weight store does not answer; loads wait for it then.
    pub fn due(
        &mut self,
        now: Instant,
        wants: &BTreeMap<TargetId, Desired>,
        seen: &BTreeMap<TargetId, Observed>,
        store: Option<Store>,
        allowed: impl Fn(bool) -> bool,
    ) -> Vec<DueOrder> {
        self.forget(wants, seen);
        let open = self.open(wants, seen);
        self.waits.retain(|id, _| open.iter().any(|o| o.id == id));
        let mut budget = Budget::new(store, self.bounds.max_backlog);
        let mut orders = Vec::new();
        for open in open {
            let bytes = if same_weights(open.holds, open.want) { 0 } else { open.want.bytes };
            let step = self.step(now, &open);
            let Some(step) = step.filter(|_| allowed(open.want.checks_fence)) else { continue };
            let drain = matches!(step, Action::Drain(_));
            // A drained target needs the store next, so draining takes its place there as well.
            if self.waited(open.id, open.want, drain, now) && budget.take(bytes) {
                self.note(open.id, open.want, drain, now);
                let checks_fence = open.want.checks_fence;
                orders.push(DueOrder { target: open.id.clone(), checks_fence, step });
            }
        }
        orders
    }

    /// The targets that may change now, those first that cost their model nothing.
    fn open<'a>(
        &self,
        wants: &'a BTreeMap<TargetId, Desired>,
        seen: &'a BTreeMap<TargetId, Observed>,
    ) -> Vec<Open<'a>> {
        let mut serving = Serving::new(seen, wants);
        let (mut open, blocked): (Vec<_>, Vec<_>) = wants
            .iter()
            .filter_map(|(id, want)| Some((id, want, seen.get(id)?)))
            .filter(|(_, want, holds)| !holds.loading && !holds.fits(want))
            .map(|(id, want, holds)| {
                let going = serving.leave(id, holds, want);
                Open { id, want, holds, going }
            })
            .partition(|open| open.going != Going::Last);
        let mut changing = self.changing(seen);
        changing.extend(open.iter().map(|open| &open.want.model));
        // Nothing else of the model is on the move, so waiting would last for ever: a model with a
        // single chain has to go out of service for its change.
        open.extend(blocked.into_iter().filter(|open| !changing.contains(&open.want.model)));
        open
    }

    /// What a target is to do now, if its answers in flight leave it anything to do.
    fn step(&mut self, now: Instant, open: &Open<'_>) -> Option<Action> {
        let hold = || Some(Action::Hold(open.want.clone()));
        let holds = open.holds;
        if same_weights(holds, open.want) {
            return hold();
        }
        if open.going == Going::Spare {
            return Some(Action::Drain(holds.clone()));
        }
        let wait = Wait { since: now, serves: holds.serves };
        let known = self.waits.entry(open.id.clone()).or_insert(wait);
        if known.serves != wait.serves {
            *known = wait;
        }
        let waited = now.saturating_duration_since(known.since);
        // Daemons that have not heard of it yet may still send new answers.
        let trailing = !holds.serves || open.going == Going::Replaced;
        let quiet = if trailing { self.bounds.propagation } else { Duration::ZERO };
        let idle = holds.running == 0 && waited >= quiet;
        if idle || waited >= self.bounds.drain_timeout { hold() } else { None }
    }

    /// The models of which a load is under way or ordered.
    fn changing<'a>(&'a self, seen: &'a BTreeMap<TargetId, Observed>) -> BTreeSet<&'a ModelId> {
        let loading = seen.values().filter(|holds| holds.loading);
        let ordered = self.given.values().map(|given| &given.want.model);
        loading.filter_map(|holds| holds.model.as_ref()).chain(ordered).collect()
    }

    fn waited(&self, id: &TargetId, want: &Desired, drain: bool, now: Instant) -> bool {
        self.given.get(id).is_none_or(|given| !given.same(want, drain) || now >= given.next)
    }

    fn note(&mut self, id: &TargetId, want: &Desired, drain: bool, now: Instant) {
        let tries = match self.given.get(id) {
            Some(given) if given.same(want, drain) => given.tries + 1,
            _ => 0,
        };
        let backoff = self.bounds.retry_after * 2_u32.saturating_pow(tries.min(10));
        let next = now + backoff.min(self.bounds.max_backoff);
        self.given.insert(id.clone(), Given { want: want.clone(), drain, next, tries });
    }

    /// Drops what was given to targets that hold it by now or are no longer declared.
    fn forget(&mut self, wants: &BTreeMap<TargetId, Desired>, seen: &BTreeMap<TargetId, Observed>) {
        self.given.retain(|id, given| {
            // A silent target does not hold up the change of the others.
            let open = seen.get(id).is_some_and(|holds| !holds.fits(&given.want));
            open && wants.contains_key(id)
        });
    }
}

/// An order that changes adapters only costs the weight store nothing worth counting.
fn same_weights(holds: &Observed, want: &Desired) -> bool {
    holds.model.as_ref() == Some(&want.model)
        && holds.version.as_ref() == Some(&want.version)
        && holds.layers == want.layers
}

/// Bytes that may be asked of the weight store in one round.
struct Budget {
    left: u64,
    idle: bool,
}

impl Budget {
    fn new(store: Option<Store>, max_backlog: Duration) -> Budget {
        let most = store.map_or(0, |s| (s.rate as f64 * max_backlog.as_secs_f64()) as u64);
        let backlog = store.map_or(0, |s| s.backlog);
        Budget { left: most.saturating_sub(backlog), idle: store.is_some() && backlog == 0 }
    }

    /// Takes bytes if there is room; an idle store takes any one load, however large.
    fn take(&mut self, bytes: u64) -> bool {
        if bytes > self.left && !(self.idle && bytes > 0) {
            return false;
        }
        self.left = self.left.saturating_sub(bytes);
        self.idle &= bytes == 0;
        true
    }
}
