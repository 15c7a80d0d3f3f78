//! Whether a target that refuses a request, or a send without events, is full, slow or dead.
//!
//! Each of these has its own evidence. A refusing target is full if the load that hosts know of says
//! so, and failing otherwise. A silent send is slow while other requests progress through all its
//! targets, or while sends through them recently took as long. Death is shown by liveness checks,
//! which do not wait for these decisions: see [`super::liveness`].

use crate::prelude::*;

/// Load from which a refusing target counts as full, as a fraction. Hosts know the load of a moment
/// ago, so that a full target may seem to have room.
const MIN_FULL: f64 = 0.6;
/// How long a request avoids a target that was full: about the time in which a place is freed there.
pub const AVOID_FULL: Duration = Duration::from_millis(125);
/// Utilisation of a path from which a request refused by a full target is not sent over it: a second
/// refusal would cost another retry.
const MAX_RETRY_UTILISATION: f64 = 0.9;

/// Shortest time without an event after which callers leave.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// The same time as multiples of a route's objective and of its longest acceptable pause.
const PATIENCE_FACTORS: (u32, u32) = (4, 8);
/// Multiples of the expected time to an event after which a send is given up: without evidence, and
/// while other requests progress through all its targets.
const WAIT_FACTORS: (f64, f64) = (1.5, 3.0);
/// Time within which progress of other requests shows that a target is alive.
pub const RECENT_PROGRESS: Duration = Duration::from_millis(500);
/// Load of a path, as a fraction, from which an event is expected no earlier than a send is usually
/// given up: what a full engine does before a request's first event is not in the prediction.
const CROWDED: f64 = 0.7;
/// Largest factor by which targets are taken to have become slower since a send.
const MAX_SLOWDOWN: f64 = 64.0;

/// What is known of a target that refused a request. Loads are fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetEvidence {
    /// KV cache in use as predicted when the request was sent, with the request itself.
    pub predicted: f64,
    /// KV cache in use as known now.
    pub current: f64,
    /// Slots in use; 0 if the request takes none there.
    pub slots: f64,
    /// Requests that it reported as running and waiting, for each of its slots; 0 without a recent
    /// report.
    pub reported: f64,
    /// Whether it leaves, fails liveness checks, or does not hold the layers.
    pub unavailable: bool,
}

impl TargetEvidence {
    /// The largest of its loads.
    pub fn load(&self) -> f64 {
        let TargetEvidence { predicted, current, slots, reported, .. } = *self;
        [predicted, current, slots, reported].into_iter().fold(0.0, f64::max)
    }
}

/// Why a target refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has no room at the moment.
    Full,
    /// It has room, or gives up its work.
    Failing,
}

impl Refusal {
    /// Value used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Full => "full",
            Refusal::Failing => "failing",
        }
    }
}

/// Decides why a target refused a request.
pub fn refusal(evidence: &TargetEvidence) -> Refusal {
    if evidence.load() >= MIN_FULL && !evidence.unavailable {
        Refusal::Full
    } else {
        Refusal::Failing
    }
}

/// Whether a path has so much room that a request refused by a full target is sent over it.
pub fn is_roomy(utilisation: f64) -> bool {
    utilisation < MAX_RETRY_UTILISATION
}

/// Time without an event after which the caller of a stream leaves.
pub fn patience(objective: Duration, max_gap: Option<Duration>) -> Duration {
    let (objectives, gaps) = PATIENCE_FACTORS;
    let gap = max_gap.unwrap_or_default().saturating_mul(gaps);
    MIN_PATIENCE.max(objective.saturating_mul(objectives)).max(gap)
}

/// What the targets of a silent send show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Other requests progress through all of them.
    Moving,
    /// Nothing arrived lately through some of them, and none fails a liveness check.
    Quiet,
    /// Some have neither shown progress nor passed their latest liveness check.
    Suspect,
}

impl PathState {
    /// Value used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PathState::Moving => "slow",
            PathState::Quiet => "quiet",
            PathState::Suspect => "suspect",
        }
    }
}

/// A send without an event for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Silence {
    /// Time after which a send over healthy targets is given up.
    pub usual: Duration,
    /// Predicted time to the awaited event.
    pub predicted: Duration,
    /// Factor by which the targets have become slower since the prediction.
    pub slowdown: f64,
    /// Longest time that sends through the same targets recently took for such an event; zero if
    /// none is known.
    pub observed: Duration,
    /// Expected time to an event over another path, which reads the prompt again.
    pub elsewhere: Duration,
    /// Largest load of the targets, as a fraction.
    pub load: f64,
    /// What the targets show.
    pub path: PathState,
    /// Time without an event after which the caller leaves.
    pub patience: Duration,
}

impl Silence {
    /// Expected time to the awaited event.
    fn expected(&self) -> Duration {
        let slowdown =
            if self.slowdown.is_finite() { self.slowdown.clamp(1.0, MAX_SLOWDOWN) } else { 1.0 };
        let crowded = if self.load >= CROWDED { self.usual } else { Duration::ZERO };
        self.predicted.mul_f64(slowdown).max(self.observed).max(crowded)
    }

    /// Latest time at which another path may be tried so that its first event still finds the caller
    /// there.
    fn latest(&self) -> Duration {
        self.patience.saturating_sub(self.elsewhere)
    }

    /// Whether an event over another path, expected after `elsewhere`, would still find the caller
    /// there when this send has been silent for `silent`.
    pub fn arrives_in_time(&self, silent: Duration, elsewhere: Duration) -> bool {
        silent.saturating_add(elsewhere) < self.patience
    }
}

/// Time without an event after which a send is given up; `None` if waiting is better for as long as
/// its targets show what they do.
pub fn give_up_after(silence: &Silence) -> Option<Duration> {
    let (expected, latest) = (silence.expected(), silence.latest());
    let usual = silence.usual;
    match silence.path {
        PathState::Suspect => Some(usual),
        PathState::Quiet => {
            let wait = usual.max(expected.mul_f64(WAIT_FACTORS.0));
            Some(wait.min(latest.max(usual)))
        }
        PathState::Moving if latest < usual => None,
        PathState::Moving => Some(usual.max(expected.mul_f64(WAIT_FACTORS.1)).min(latest)),
    }
}

/// Part of its retries that a lender keeps for streams that broke off.
const RESERVED_PART: f64 = 0.25;
/// How long a denied retry shows that the budget is spent.
pub const DENIAL_VALIDITY: Duration = Duration::from_millis(500);

/// The retries of a service that a host may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySupply {
    /// Retries that it may make and lend in a window.
    pub allowed: f64,
    /// Those that are left of them.
    pub left: f64,
    /// Whether it lends to others; a host that does not keeps few of its own.
    pub lends: bool,
    /// Time since it last found no retry, at its own and at other hosts.
    pub denied: Option<Duration>,
}

/// Whether a request that a full target refused may be sent again. What is left of a budget that is
/// nearly spent is for streams that broke off: their callers have a part of the answer, while a
/// request that has not run can come back.
pub fn may_retry_full(started: bool, supply: &RetrySupply) -> bool {
    let denied = supply.denied.is_some_and(|ago| ago < DENIAL_VALIDITY);
    let reserved = supply.lends && supply.left < RESERVED_PART * supply.allowed;
    started || !(denied || reserved)
}
