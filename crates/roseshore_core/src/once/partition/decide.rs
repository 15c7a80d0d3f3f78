//! Decisions on attempts, by the state of their keys.

use super::{
    Action, AttemptId, Decision, Partition, Phase, RETRY_AFTER, RETRY_SPREAD_MS, RunningAttempt,
    StoredAnswer,
};
use crate::once::keys::{Holder, RecordedOutcome, State};
use crate::once::record::{Act, Nonce, Outcome, Owner, Record};
use crate::once::refusals::{
    already_ran, answer_lost, answer_unreadable, in_future, in_progress, log_timeout,
    log_unavailable, not_dispatched, not_run_log_unavailable, reused, too_old, unknown,
};
use crate::prelude::*;
use std::sync::Arc;

impl Partition {
    /// Advances every attempt.
    pub(super) fn advance_all(&mut self, now: Instant) {
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            self.advance(id, now);
        }
    }

    /// Decides an attempt or takes its next step, by the state of its key.
    pub(super) fn advance(&mut self, id: AttemptId, now: Instant) {
        let Some(run) = self.running.get(&id) else { return };
        let Phase::Waiting(claimed) = run.phase else { return };
        let (key, digest, nonce) = (run.attempt.key.clone(), run.attempt.digest, run.nonce);
        let current = self.current_read > run.reads_before;
        match self.keys.state(&key).clone() {
            State::Recorded(recorded) => {
                if recorded.digest != digest {
                    return self.refuse(id, reused(&key));
                }
                self.replay(id, recorded);
            }
            State::Ran(first) if first.is_some_and(|first| first != digest) => {
                self.refuse(id, reused(&key));
            }
            State::Ran(_) => self.refuse(id, already_ran(&key)),
            State::Held(held) if held.nonce == nonce => self.on_won(id, &held, now),
            State::Held(held) => {
                if let Some(outcome) = self.pending_outcome(held.nonce) {
                    if held.digest != digest {
                        return self.refuse(id, reused(&key));
                    }
                    return self.decide(id, Decision::Replay(outcome));
                }
                // Only a current state proves reuse: an older holder may since have been released,
                // and this body have run.
                if current && held.digest != digest && self.keys.covers(&key) {
                    return self.refuse(id, reused(&key));
                }
                let is_gone = held.owner.as_ref().is_none_or(|owner| self.is_gone(owner));
                if current && is_gone {
                    self.refuse(id, unknown(&key, "its claimant is gone"));
                }
            }
            State::Unknown(_) if current => {
                self.refuse(id, unknown(&key, "its claimant got no whole reply"));
            }
            State::Free if self.keys.is_void(&key, nonce) => self.reclaim(id, now),
            State::Free if current && !self.keys.covers(&key) => self.refuse(id, too_old(&key)),
            State::Free if !claimed && self.current_read > 0 => self.claim(id, now),
            State::Unknown(_) | State::Free => {}
        }
    }

    /// Answers an attempt from the recorded outcome.
    fn replay(&mut self, id: AttemptId, recorded: RecordedOutcome) {
        let run = &self.running[&id];
        let refusal = answer_lost(&run.attempt.key);
        let decision = match (recorded.outcome, recorded.owner) {
            (Some(outcome), _) => Decision::Replay(outcome),
            (None, _) if recorded.whole => Decision::ReadFromLog(StoredAnswer {
                offset: recorded.offset,
                lost: refusal,
                unreadable: answer_unreadable(&run.attempt.key).after(run.retry_after()),
            }),
            (None, Some(owner)) => Decision::AskOwner(owner, refusal),
            (None, None) => Decision::Refused(refusal),
        };
        self.decide(id, decision);
    }

    /// The attempt's claim has been read back as the holder of the key.
    fn on_won(&mut self, id: AttemptId, held: &Holder, now: Instant) {
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        if now >= run.attempt.deadline {
            return self.give_up(id, now);
        }
        if !self.keys.covers(&run.attempt.key) {
            let refusal = too_old(&run.attempt.key);
            return self.refuse(id, refusal);
        }
        run.phase = Phase::Won(held.offset);
        self.actions.push(Action::Decide(id, Decision::Won(held.offset)));
    }

    fn claim(&mut self, id: AttemptId, now: Instant) {
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        run.phase = Phase::Waiting(true);
        let (key, nonce, digest) = (run.attempt.key.clone(), run.nonce, run.attempt.digest);
        let left = run.attempt.deadline.saturating_duration_since(now).as_millis() as u64;
        let owner = self.owner.clone();
        self.batch.push(&Record { key, nonce, act: Act::Claim { owner, digest, left } });
    }

    /// Claims with a new nonce: the first claim is void because another one held the key, which is
    /// free by now.
    fn reclaim(&mut self, id: AttemptId, now: Instant) {
        let key = self.running[&id].attempt.key.clone();
        if self.keys.is_in_future(&key) {
            return self.refuse(id, in_future(&key));
        }
        let nonce = self.next_nonce();
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        run.nonce = nonce;
        self.claim(id, now);
    }

    /// The answer that this daemon got for the claim and that is not yet known to be in the log.
    fn pending_outcome(&self, nonce: Nonce) -> Option<Arc<Outcome>> {
        self.running.values().find(|run| run.nonce == nonce).and_then(|run| match &run.phase {
            Phase::Recording(_, outcome) if outcome.verdict == Verdict::Answered => {
                Some(outcome.clone())
            }
            _ => None,
        })
    }

    fn is_gone(&self, owner: &Owner) -> bool {
        let matches = |member: &Owner| {
            let same_incarnation =
                member.incarnation == owner.incarnation || member.incarnation == 0;
            member.host == owner.host && same_incarnation
        };
        // A daemon that has heard of no other host yet cannot tell that one is gone.
        let knows_others = self.members.iter().any(|member| member.host != self.owner.host);
        *owner != self.owner && knows_others && !self.members.iter().any(matches)
    }

    fn decide(&mut self, id: AttemptId, decision: Decision) {
        let Some(run) = self.running.remove(&id) else { return };
        let is_void = self.keys.is_void(&run.attempt.key, run.nonce);
        let claimed = run.phase == Phase::Waiting(true);
        // A claim that was read back as void needs no abandonment; one that may yet get into the
        // log does.
        if claimed && !self.batch.revoke(run.nonce) && !is_void {
            self.batch.push(&run.abandonment());
        }
        self.actions.push(Action::Decide(id, decision));
    }

    fn refuse(&mut self, id: AttemptId, refusal: Refusal) {
        self.decide(id, Decision::Refused(refusal));
    }

    /// Refuses an attempt that the log has not decided in time.
    pub(super) fn give_up(&mut self, id: AttemptId, now: Instant) {
        let Some(run) = self.running.get(&id) else { return };
        if !matches!(run.phase, Phase::Waiting(_)) {
            return;
        }
        let key = &run.attempt.key;
        let log_down = self.log_down(now);
        let current = self.current_read > run.reads_before;
        let refusal = match self.keys.state(key) {
            State::Held(held) if held.nonce == run.nonce && self.keys.covers(key) => {
                not_dispatched(key)
            }
            State::Held(held) if log_down && held.digest == run.attempt.digest => {
                let refusal = unknown(key, "the log cannot be reached").after(RETRY_AFTER);
                let owner = held.owner.clone();
                let refused = Decision::Refused(refusal.clone());
                let decision = owner.map_or(refused, |owner| Decision::AskOwner(owner, refusal));
                return self.decide(id, decision);
            }
            State::Held(_) if log_down => unknown(key, "the log cannot be reached"),
            State::Held(_) => in_progress(key),
            State::Unknown(_) => unknown(key, "its claimant got no whole reply"),
            State::Free if current && self.keys.covers(key) && log_down => {
                not_run_log_unavailable(key)
            }
            State::Free if current && self.keys.covers(key) => not_dispatched(key),
            State::Free if log_down => log_unavailable(key),
            State::Free | State::Recorded(_) | State::Ran(_) => log_timeout(key),
        };
        let retry_after = run.retry_after();
        self.refuse(id, refusal.after(retry_after));
    }
}

impl RunningAttempt {
    /// When its caller is told to retry; spread, since an outage refuses many attempts at once.
    fn retry_after(&self) -> Duration {
        RETRY_AFTER + Duration::from_millis(self.nonce % RETRY_SPREAD_MS)
    }
}
