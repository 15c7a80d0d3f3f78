//! Which orders to give now.
//!
//! Orders are level-triggered: an order says what to hold, and is given again until the target
//! reports that. So a lost reply needs no memory, and an order of a former holder that lands late
//! is put right by the next round. Four bounds hold: a target whose going would break the last
//! whole chain of what it serves now waits for another, answers in flight get time to end before
//! weights go, the weight store's backlog stays within a horizon, and a target is not ordered again
//! before its last order can have taken effect.

mod serving;

pub use serving::tiles;

use crate::order::desired::Desired;
use crate::prelude::*;
use serving::{Going, Serving};
use std::collections::{BTreeMap, BTreeSet};

/// What a target reports that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
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

impl Seen {
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

/// The bounds of [`Giver`].
#[derive(Clone, Copy, Debug)]
pub struct GiverBounds {
    /// The longest backlog that a new load may find at the weight store.
    pub horizon: Duration,
    /// How long an order has before it is given again.
    pub again: Duration,
    /// The longest wait between repeats of an order that has no effect.
    pub longest: Duration,
    /// How long daemons may take to hear that a target takes no new answers, or that a new version
    /// serves.
    pub quiet: Duration,
    /// How long answers in flight may hold up a change.
    pub drain: Duration,
}

impl Default for GiverBounds {
    fn default() -> GiverBounds {
        GiverBounds {
            horizon: Duration::from_secs(20),
            again: Duration::from_secs(2),
            longest: Duration::from_mins(1),
            quiet: Duration::from_secs(1),
            drain: Duration::from_secs(30),
        }
    }
}

/// What a target is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// To take no new answers, and to keep what it holds.
    Drain(Seen),
    /// To hold what it should.
    Hold(Desired),
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// The target.
    pub target: TargetId,
    /// Whether it refuses old fencing numbers.
    pub checks: bool,
    /// What it is to do.
    pub step: Step,
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
    holds: &'a Seen,
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
pub struct Giver {
    bounds: GiverBounds,
    given: BTreeMap<TargetId, Given>,
    waits: BTreeMap<TargetId, Wait>,
}

impl Giver {
    /// A giver that has given nothing yet.
    pub fn new(bounds: GiverBounds) -> Giver {
        Giver { bounds, ..Giver::default() }
    }

    /// The orders to give now.
    ///
    /// `seen` has only targets whose report is fresh; a silent target is not ordered. `allowed`
    /// says whether orders may be given to a target with this `checks` mark. `store` is `None`
    /// while the weight store does not answer; loads wait for it then.
    pub fn due(
        &mut self,
        now: Instant,
        wants: &BTreeMap<TargetId, Desired>,
        seen: &BTreeMap<TargetId, Seen>,
        store: Option<Store>,
        allowed: impl Fn(bool) -> bool,
    ) -> Vec<Due> {
        self.forget(wants, seen);
        let open = self.open(wants, seen);
        self.waits.retain(|id, _| open.iter().any(|o| o.id == id));
        let mut budget = Budget::new(store, self.bounds.horizon);
        let mut orders = Vec::new();
        for open in open {
            let bytes = if same_weights(open.holds, open.want) { 0 } else { open.want.bytes };
            let step = self.step(now, &open);
            let Some(step) = step.filter(|_| allowed(open.want.checks)) else { continue };
            let drain = matches!(step, Step::Drain(_));
            // A drained target needs the store next, so draining takes its place there as well.
            if self.waited(open.id, open.want, drain, now) && budget.take(bytes) {
                self.note(open.id, open.want, drain, now);
                let checks = open.want.checks;
                orders.push(Due { target: open.id.clone(), checks, step });
            }
        }
        orders
    }

    /// The targets that may change now, those first that cost their model nothing.
    fn open<'a>(
        &self,
        wants: &'a BTreeMap<TargetId, Desired>,
        seen: &'a BTreeMap<TargetId, Seen>,
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
    fn step(&mut self, now: Instant, open: &Open<'_>) -> Option<Step> {
        let hold = || Some(Step::Hold(open.want.clone()));
        let holds = open.holds;
        if same_weights(holds, open.want) {
            return hold();
        }
        if open.going == Going::Spare {
            return Some(Step::Drain(holds.clone()));
        }
        let wait = Wait { since: now, serves: holds.serves };
        let known = self.waits.entry(open.id.clone()).or_insert(wait);
        if known.serves != wait.serves {
            *known = wait;
        }
        let waited = now.saturating_duration_since(known.since);
        // Daemons that have not heard of it yet may still send new answers.
        let trailing = !holds.serves || open.going == Going::Replaced;
        let quiet = if trailing { self.bounds.quiet } else { Duration::ZERO };
        let idle = holds.running == 0 && waited >= quiet;
        if idle || waited >= self.bounds.drain { hold() } else { None }
    }

    /// The models of which a load is under way or ordered.
    fn changing<'a>(&'a self, seen: &'a BTreeMap<TargetId, Seen>) -> BTreeSet<&'a ModelId> {
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
        let backoff = self.bounds.again * 2_u32.saturating_pow(tries.min(10));
        let next = now + backoff.min(self.bounds.longest);
        self.given.insert(id.clone(), Given { want: want.clone(), drain, next, tries });
    }

    /// Drops what was given to targets that hold it by now or are no longer declared.
    fn forget(&mut self, wants: &BTreeMap<TargetId, Desired>, seen: &BTreeMap<TargetId, Seen>) {
        self.given.retain(|id, given| {
            // A silent target does not hold up the change of the others.
            let open = seen.get(id).is_some_and(|holds| !holds.fits(&given.want));
            open && wants.contains_key(id)
        });
    }
}

/// An order that changes adapters only costs the weight store nothing worth counting.
fn same_weights(holds: &Seen, want: &Desired) -> bool {
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
    fn new(store: Option<Store>, horizon: Duration) -> Budget {
        let most = store.map_or(0, |s| (s.rate as f64 * horizon.as_secs_f64()) as u64);
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
