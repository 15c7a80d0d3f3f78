//! What becomes of an attempt, by what the fold says of its key.

use super::{Action, AttemptId, COME_BACK, Decision, Partition, Phase, SPREAD};
use crate::once::keys::{Holder, RecordedOutcome, State};
use crate::once::record::{Act, Nonce, Outcome, Owner, Record};
use crate::once::refusals::{
    ahead, free_but_out, in_progress, late, log_out, log_slow, not_held, ran, reused, too_old,
    unknown,
};
use crate::prelude::*;
use std::sync::Arc;

impl Partition {
    pub(super) fn look_all(&mut self, now: Instant) {
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            self.look(id, now);
        }
    }

    /// Decides an attempt, or does its next step, by what the fold says.
    pub(super) fn look(&mut self, id: AttemptId, now: Instant) {
        let Some(run) = self.running.get(&id) else { return };
        let Phase::Waiting(claimed) = run.phase else { return };
        let (key, digest, nonce) = (run.ask.key.clone(), run.ask.digest, run.nonce);
        let current = self.current > run.earlier;
        match self.keys.state(&key).clone() {
            State::Recorded(settled) => {
                if settled.digest != digest {
                    return self.refuse(id, reused(&key));
                }
                self.repeat(id, settled);
            }
            State::Ran(first) if first.is_some_and(|first| first != digest) => {
                self.refuse(id, reused(&key));
            }
            State::Ran(_) => self.refuse(id, ran(&key)),
            State::Held(held) if held.nonce == nonce => self.won(id, &held, now),
            State::Held(held) => {
                if let Some(outcome) = self.own_outcome(held.nonce) {
                    if held.digest != digest {
                        return self.refuse(id, reused(&key));
                    }
                    return self.decide(id, Decision::Replay(outcome));
                }
                // An older holder may have been freed since, and this body have run.
                if current && held.digest != digest && self.keys.covers(&key) {
                    return self.refuse(id, reused(&key));
                }
                let gone = held.owner.as_ref().is_none_or(|owner| self.gone(owner));
                if current && gone {
                    self.refuse(id, unknown(&key, "its claimant is gone"));
                }
            }
            State::Unknown(_) if current => {
                self.refuse(id, unknown(&key, "its claimant got no whole reply"));
            }
            State::Free if self.keys.is_void(&key, nonce) => self.claim_anew(id, now),
            State::Free if current && !self.keys.covers(&key) => self.refuse(id, too_old(&key)),
            State::Free if !claimed && self.current > 0 => self.claim(id, now),
            State::Unknown(_) | State::Free => {}
        }
    }

    fn repeat(&mut self, id: AttemptId, settled: RecordedOutcome) {
        let refusal = not_held(&self.running[&id].ask.key);
        let decision = match (settled.outcome, settled.owner) {
            (Some(outcome), _) => Decision::Replay(outcome),
            (None, _) if settled.whole => Decision::ReadFromLog(settled.offset, refusal),
            (None, Some(owner)) => Decision::AskOwner(owner, refusal),
            (None, None) => Decision::Refused(refusal),
        };
        self.decide(id, decision);
    }

    /// The claim is read back as the holder.
    fn won(&mut self, id: AttemptId, held: &Holder, now: Instant) {
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        if now >= run.ask.deadline {
            return self.give_up(id, now);
        }
        if !self.keys.covers(&run.ask.key) {
            let refusal = too_old(&run.ask.key);
            return self.refuse(id, refusal);
        }
        run.phase = Phase::Won(held.offset);
        self.actions.push(Action::Decide(id, Decision::Won(held.offset)));
    }

    fn claim(&mut self, id: AttemptId, now: Instant) {
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        run.phase = Phase::Waiting(true);
        let (key, nonce, digest) = (run.ask.key.clone(), run.nonce, run.ask.digest);
        let left = run.ask.deadline.saturating_duration_since(now).as_millis() as u64;
        let owner = self.own.clone();
        self.batch.push(&Record { key, nonce, act: Act::Claim { owner, digest, left } });
    }

    /// The claim came while another one held the key, which is free now.
    fn claim_anew(&mut self, id: AttemptId, now: Instant) {
        let key = self.running[&id].ask.key.clone();
        if self.keys.is_in_future(&key) {
            return self.refuse(id, ahead(&key));
        }
        let nonce = self.fresh();
        let run = self.running.get_mut(&id).expect("the attempt was just found");
        run.nonce = nonce;
        self.claim(id, now);
    }

    fn own_outcome(&self, nonce: Nonce) -> Option<Arc<Outcome>> {
        self.running.values().find(|run| run.nonce == nonce).and_then(|run| match &run.phase {
            Phase::Recording(_, outcome) if outcome.verdict == Verdict::Answered => {
                Some(outcome.clone())
            }
            _ => None,
        })
    }

    fn gone(&self, owner: &Owner) -> bool {
        let is = |known: &Owner| {
            let life = known.incarnation == owner.incarnation || known.incarnation == 0;
            known.host == owner.host && life
        };
        // A daemon that has heard of nobody else yet knows of nobody that is gone either.
        let knows = self.alive.iter().any(|known| known.host != self.own.host);
        *owner != self.own && knows && !self.alive.iter().any(is)
    }

    fn decide(&mut self, id: AttemptId, decision: Decision) {
        let Some(run) = self.running.remove(&id) else { return };
        let spent = self.keys.is_void(&run.ask.key, run.nonce);
        let claimed = run.phase == Phase::Waiting(true);
        // A claim that was read back as void needs no abandonment; one that may yet land does.
        if claimed && !self.batch.revoke(run.nonce) && !spent {
            self.batch.push(&run.abandonment());
        }
        self.actions.push(Action::Decide(id, decision));
    }

    fn refuse(&mut self, id: AttemptId, refusal: Refusal) {
        self.decide(id, Decision::Refused(refusal));
    }

    /// Ends an attempt that the log has not decided.
    pub(super) fn give_up(&mut self, id: AttemptId, now: Instant) {
        let Some(run) = self.running.get(&id) else { return };
        if !matches!(run.phase, Phase::Waiting(_)) {
            return;
        }
        let key = &run.ask.key;
        let out = self.out(now);
        let current = self.current > run.earlier;
        let refusal = match self.keys.state(key) {
            State::Held(held) if held.nonce == run.nonce && self.keys.covers(key) => late(key),
            State::Held(held) if out && held.digest == run.ask.digest => {
                let refusal = unknown(key, "the log cannot be reached").after(COME_BACK);
                let owner = held.owner.clone();
                let refused = Decision::Refused(refusal.clone());
                let decision = owner.map_or(refused, |owner| Decision::AskOwner(owner, refusal));
                return self.decide(id, decision);
            }
            State::Held(_) if out => unknown(key, "the log cannot be reached"),
            State::Held(_) => in_progress(key),
            State::Unknown(_) => unknown(key, "its claimant got no whole reply"),
            State::Free if current && self.keys.covers(key) && out => free_but_out(key),
            State::Free if current && self.keys.covers(key) => late(key),
            State::Free if out => log_out(key),
            State::Free | State::Recorded(_) | State::Ran(_) => log_slow(key),
        };
        let spread = Duration::from_millis(run.nonce % SPREAD);
        self.refuse(id, refusal.after(COME_BACK + spread));
    }
}
