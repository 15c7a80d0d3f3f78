//! A won key in the hands of a caller.

use roseshore_ports::inside::{Claim, Claims, Outcome};

/// A won key that is never left hanging: dropped before its dispatch, by a panic too, it is
/// abandoned; dropped after it without an outcome, it is recorded as not known.
pub struct ClaimGuard<'a> {
    claims: &'a dyn Claims,
    claim: Claim,
    state: GuardState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum GuardState {
    Open,
    Dispatched,
    Ended,
}

impl<'a> ClaimGuard<'a> {
    /// Guards a claim.
    pub fn new(claims: &'a dyn Claims, claim: Claim) -> ClaimGuard<'a> {
        ClaimGuard { claims, claim, state: GuardState::Open }
    }

    /// Whether the first byte may be sent now; see [`Claims::dispatch`].
    pub fn dispatch(&mut self) -> bool {
        if self.state == GuardState::Open {
            let granted = self.claims.dispatch(&self.claim);
            self.state = if granted { GuardState::Dispatched } else { GuardState::Ended };
        }
        self.state == GuardState::Dispatched
    }

    /// Whether something may have been sent.
    pub fn dispatched(&self) -> bool {
        self.state == GuardState::Dispatched
    }

    /// Records the end.
    pub fn settle(mut self, outcome: Outcome) {
        self.state = GuardState::Ended;
        self.claims.settle(&self.claim, outcome);
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        match self.state {
            GuardState::Open => self.claims.abandon(&self.claim),
            GuardState::Dispatched => self.claims.settle(&self.claim, Outcome::unknown()),
            GuardState::Ended => {}
        }
    }
}
