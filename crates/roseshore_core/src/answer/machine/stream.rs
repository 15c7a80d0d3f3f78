//! Handling of stream events and of probe results.

use super::{Answer, Blame, PROBE_AFTER_FRACTION, Phase};
use crate::answer::lineage::{self, ExpectedLineage, LineageError, Stamp};
use crate::answer::message::{Action, Cause, Finish, ProbeResult, StreamFailure, StreamLine};
use crate::answer::reorder::Insertion;
use crate::prelude::*;

impl Answer {
    pub(super) fn opened(&mut self, now: Instant) {
        if self.phase != Phase::Opening {
            return;
        }
        self.began = true;
        self.phase = Phase::Prefill;
        self.last_progress = now;
        self.arm_timeout(now);
    }

    pub(super) fn arm_timeout(&mut self, now: Instant) {
        let bound = if self.phase == Phase::Decode {
            self.timeout.decode()
        } else {
            self.timeout.prefill()
        };
        self.timeout_at = now + bound;
        self.probe_at = Some(now + bound.mul_f64(PROBE_AFTER_FRACTION));
    }

    pub(super) fn open_failed(
        &mut self,
        now: Instant,
        failure: StreamFailure,
        out: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Opening {
            return;
        }
        let cause = match failure {
            StreamFailure::Unreachable => Cause::Unreachable,
            StreamFailure::Refused { status: 409, .. } => Cause::Mismatch,
            StreamFailure::Refused { status: 503, after } => {
                self.retry_after = after.or(self.retry_after);
                Cause::Busy
            }
            StreamFailure::Refused { .. } => Cause::Refused,
            StreamFailure::Lost => Cause::Cut,
            StreamFailure::Malformed => Cause::Malformed,
        };
        self.began |= matches!(failure, StreamFailure::Lost | StreamFailure::Malformed);
        self.abandon_route(now, cause, Blame::At(0), out);
    }

    pub(super) fn line(&mut self, now: Instant, line: StreamLine, out: &mut Vec<Action>) {
        if !self.streaming() {
            self.counters.stale += 1;
            return;
        }
        match line {
            StreamLine::Token { position, text, lineage } => {
                self.token(now, position, text, &lineage, out);
            }
            StreamLine::Done { count, reason, cached } => {
                let next = self.window.next();
                if count < next || count > self.job.limit {
                    return self.abandon_route(now, Cause::Malformed, Blame::At(0), out);
                }
                self.ending = Some((count, Finish { reason, cached }));
                self.finish(out);
            }
            StreamLine::Lost { stage } => {
                self.lost(now, stage, out);
            }
        }
    }

    pub(super) fn lost(&mut self, now: Instant, stage: Option<TargetId>, out: &mut Vec<Action>) {
        let at = stage.and_then(|t| self.stages.iter().position(|s| s.target == t));
        let blame = match at {
            // The stage is alive but has lost the cache that a warm start needs.
            Some(_) if self.warm && self.phase == Phase::Prefill => Blame::None,
            Some(at) => Blame::At(at),
            None => Blame::Any,
        };
        self.abandon_route(now, Cause::StageLost, blame, out);
    }

    pub(super) fn token(
        &mut self,
        now: Instant,
        position: Position,
        text: String,
        stamps: &[Stamp],
        out: &mut Vec<Action>,
    ) {
        if let Err(error) = self.check(stamps) {
            let text = format!("position {position}: {error}");
            out.push(Action::Log(Event::LineageBroken, text));
            let blame = error.stage().map_or(Blame::Any, Blame::At);
            return self.abandon_route(now, Cause::Lineage(error), blame, out);
        }
        let end = self.ending.as_ref().map_or(self.job.limit, |e| e.0);
        if position >= end {
            return self.abandon_route(now, Cause::Malformed, Blame::At(0), out);
        }
        match self.window.insert(position, text) {
            Insertion::Held => self.deliver(now, out),
            Insertion::Duplicate => self.counters.duplicates += 1,
            Insertion::Overflow => self.abandon_route(now, Cause::Overflow, Blame::At(0), out),
        }
    }

    pub(super) fn check(&self, stamps: &[Stamp]) -> Result<(), LineageError> {
        let expected = ExpectedLineage {
            stages: &self.stages,
            layers: self.job.layers,
            epoch: self.epoch,
            version: &self.job.version,
        };
        lineage::check(stamps, &expected)
    }

    pub(super) fn deliver(&mut self, now: Instant, out: &mut Vec<Action>) {
        let before = self.tokens.len();
        while let Some(text) = self.window.pop() {
            out.push(Action::Deliver(self.tokens.len() as Position));
            self.tokens.push(text);
        }
        if self.tokens.len() == before {
            return;
        }
        self.progress(now, before, out);
        self.finish(out);
    }

    pub(super) fn progress(&mut self, now: Instant, before: usize, out: &mut Vec<Action>) {
        if self.phase == Phase::Decode {
            self.timeout.observe(now.saturating_duration_since(self.last_progress));
        } else if self.epoch > 1 {
            let text = format!("epoch={} position={before}", self.epoch);
            out.push(Action::Log(Event::AnswerResumed, text));
        }
        self.phase = Phase::Decode;
        self.attempts = 0;
        self.cuts = 0;
        self.chain_deadline = None;
        self.last_progress = now;
        self.silent.fill(None);
        self.arm_timeout(now);
    }

    /// Completes the answer if its last token has been delivered.
    pub(super) fn finish(&mut self, out: &mut Vec<Action>) {
        match self.ending.take() {
            Some((count, finish)) if count == self.window.next() => self.complete(finish, out),
            other => self.ending = other,
        }
    }

    pub(super) fn complete(&mut self, finish: Finish, out: &mut Vec<Action>) {
        out.push(Action::Close(self.epoch));
        out.push(Action::Finish(finish));
        self.phase = Phase::Finished;
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        failure: Option<StreamFailure>,
        out: &mut Vec<Action>,
    ) {
        if !self.streaming() {
            return;
        }
        if failure == Some(StreamFailure::Malformed) || self.ending.is_some() {
            return self.abandon_route(now, Cause::Malformed, Blame::At(0), out);
        }
        self.cuts += 1;
        let blame = if self.cuts > 1 { Blame::At(0) } else { Blame::None };
        self.abandon_route(now, Cause::Cut, blame, out);
    }

    /// Records a probe result. Once every stage has one, the route is abandoned without further
    /// wait if some stage is silent.
    fn record_probe(&mut self, now: Instant, at: usize, silent: bool, out: &mut Vec<Action>) {
        // A token has arrived since the probe was sent, so the result no longer matters.
        if self.probe_at.is_some() {
            return;
        }
        self.silent[at] = Some(silent);
        let all = self.silent.iter().all(Option::is_some);
        if all && self.silent.contains(&Some(true)) {
            self.abandon_route(now, Cause::Silent, Blame::Silent, out);
        }
    }

    pub(super) fn probed(
        &mut self,
        now: Instant,
        target: &TargetId,
        result: ProbeResult,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.stages.iter().position(|s| s.target == *target) else {
            return;
        };
        if !self.streaming() {
            return;
        }
        match result {
            ProbeResult::Dead => self.abandon_route(now, Cause::Dead, Blame::At(at), out),
            ProbeResult::Alive(incarnation) if incarnation != self.stages[at].incarnation => {
                self.abandon_route(now, Cause::Restarted, Blame::At(at), out);
            }
            ProbeResult::Alive(_) => self.record_probe(now, at, false, out),
            ProbeResult::Silent => self.record_probe(now, at, true, out),
        }
    }
}
