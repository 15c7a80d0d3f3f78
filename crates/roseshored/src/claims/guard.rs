//! Guard that ends a won claim on every path.

use roseshore_ports::inside::{Claim, Claims, Outcome};

/// A won claim that always gets an end. If the guard is dropped before dispatch, also by a panic, the
/// claim is abandoned; if it is dropped after dispatch without an outcome, the outcome is recorded as
/// unknown.
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
    /// Takes over a claim that was won and not dispatched yet.
    pub fn new(claims: &'a dyn Claims, claim: Claim) -> ClaimGuard<'a> {
        ClaimGuard { claims, claim, state: GuardState::Open }
    }

    /// Requests permission to send the first byte; see [`Claims::dispatch`]. The first result holds for
    /// all later calls.
    pub fn dispatch(&mut self) -> bool {
        if self.state == GuardState::Open {
            let granted = self.claims.dispatch(&self.claim);
            self.state = if granted { GuardState::Dispatched } else { GuardState::Ended };
        }
        self.state == GuardState::Dispatched
    }

    /// Whether dispatch was granted, so that a target may have received the work.
    pub fn dispatched(&self) -> bool {
        self.state == GuardState::Dispatched
    }

    /// Records the outcome of the work.
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
