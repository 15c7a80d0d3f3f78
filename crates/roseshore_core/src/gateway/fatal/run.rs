//! How far a run got before it ended, which is what its end and its survival are worth.
//!
//! A request or a part of a prompt that crashes its targets does so at about the same point of each
//! run. A run that got clearly beyond that point acquits it; one that did not get there shows
//! nothing, unless it is complete and its targets outlived it. So crashes are recorded with the
//! [`Stage`] of their run, and survivals with the stage up to which they acquit.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A run is in its beginning until it has made progress for this long. Requests that crash their
/// targets did so 30 to 120 ms after they began to run.
pub const EARLY: Duration = Duration::from_millis(500);
/// How much longer than runs that crash their targets a run has to last to acquit of these crashes,
/// which do not occur at exactly the same point.
const OUTLIVED_FACTOR: f64 = 1.2;
/// Most time between two events that counts as progress. A target that is stopped, or whose events
/// arrive late, does not get further meanwhile.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(100);

/// How far a run got. Each stage but the first is as long as all before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stage(u8);

impl Stage {
    /// It had hardly begun to run.
    pub const BEGINNING: Stage = Stage(0);
    /// It got a complete response.
    pub const COMPLETE: Stage = Stage(u8::MAX);

    /// The stage of a run that has made progress for so long.
    pub fn after(ran: Duration) -> Stage {
        let beginnings = ran.div_duration_f64(EARLY);
        Stage(if beginnings < 1.0 { 0 } else { 1 + beginnings.log2() as u8 })
    }

    /// Whether it is the beginning.
    pub fn is_beginning(self) -> bool {
        self == Stage::BEGINNING
    }

    /// The stage before which a run that has made progress for so long acquits of crashes.
    pub fn outlived(ran: Duration) -> Stage {
        Stage::after(ran.div_f64(OUTLIVED_FACTOR))
    }

    /// The stage before which a complete run of this stage acquits of crashes.
    #[must_use]
    pub fn completed(self) -> Stage {
        Stage(self.0.saturating_add(1))
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Stage::COMPLETE { f.write_str("complete") } else { write!(f, "{}", self.0) }
    }
}

/// The progress of a run, by the events that arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    latest: Option<Instant>,
    ran: Duration,
}

impl Progress {
    /// Records that an event has arrived.
    pub fn record_event(&mut self, now: Instant) {
        self.ran = self.ran(now);
        self.latest = Some(now);
    }

    /// Time for which the run has made progress until `now`.
    fn ran(&self, now: Instant) -> Duration {
        let gap = self.latest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.ran + gap.min(MAX_COUNTED_GAP)
    }

    /// Its stage, if it ends now.
    pub fn stage(&self, now: Instant) -> Stage {
        Stage::after(self.ran(now))
    }

    /// The stage before which it acquits of crashes, if it gets an event now.
    pub fn outlived(&self, now: Instant) -> Stage {
        Stage::outlived(self.ran(now))
    }
}

/// How a host stopped watching a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its connection broke off.
    Interrupted,
    /// The host closed its connection, since its caller had left, its time was over, or another send
    /// took its place.
    Closed,
    /// It got a complete response.
    Completed,
}

impl RunEnd {
    /// Value used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Interrupted => "interrupted",
            RunEnd::Closed => "closed",
            RunEnd::Completed => "completed",
        }
    }
}

/// What is known of a target that a run used, since the run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Its process has ended.
    Ended,
    /// Nothing answers at its address.
    Unreachable,
    /// Its process was alive after the run.
    Alive,
    /// None of this.
    Unknown,
}

/// What a run shows about its suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// The target with this number, in order of the path, crashed under it.
    Crashed(usize),
    /// The machine of the target with this number fell silent under it.
    FellSilent(usize),
    /// Its targets outlived it.
    Survived,
    /// Nothing; the text says why, for the log.
    Inconclusive(&'static str),
    /// It is too early to tell.
    Undecided,
}

/// How long after a run that the host did not see break off its targets may crash under it.
pub const OUTLIVED_AFTER: Duration = EARLY;
/// Time in which checks determine what became of a target: those of one target are 0.2 s apart, so
/// there is time for three. A target that starts again at once answers them as before.
pub const DIAGNOSIS_TIME: Duration = Duration::from_secs(1);

/// Time after which the list of targets shows that a target has ended: it writes its entry each 1.2 s,
/// and the entry lapses when three writes are missing.
const LISTED_AFTER: Duration = Duration::from_secs(6);

/// Judges a run that ended `since` ago by the state of its targets. For a run that did not break off
/// they count as alive only if they were so [`OUTLIVED_AFTER`] its end.
pub fn judge(end: RunEnd, targets: &[TargetState], since: Duration) -> RunVerdict {
    // Of several targets that crashed together, as in a rack, only one counts.
    if let Some(ended) = targets.iter().position(|state| *state == TargetState::Ended) {
        return RunVerdict::Crashed(ended);
    }
    let alive = targets.iter().all(|state| *state == TargetState::Alive);
    let silent = targets.iter().position(|state| *state == TargetState::Unreachable);
    if let Some(silent) = silent.filter(|_| end == RunEnd::Interrupted && since >= DIAGNOSIS_TIME) {
        return RunVerdict::FellSilent(silent);
    }
    match end {
        RunEnd::Interrupted if alive => RunVerdict::Inconclusive("alive"),
        RunEnd::Interrupted if since < LISTED_AFTER => RunVerdict::Undecided,
        RunEnd::Completed if alive && since >= OUTLIVED_AFTER => RunVerdict::Survived,
        RunEnd::Closed if alive && since >= OUTLIVED_AFTER => RunVerdict::Inconclusive("alive"),
        _ if since >= OUTLIVED_AFTER + DIAGNOSIS_TIME => RunVerdict::Inconclusive("unknown"),
        _ => RunVerdict::Undecided,
    }
}
