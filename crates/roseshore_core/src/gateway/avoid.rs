//! Which targets a request is not sent to again.
//!
//! A target that failed a request is avoided for the rest of it. One that only had no room is avoided until its
//! quarantine ends. The first engine of a path is avoided for a short fixed time when it may have broken off because a
//! later engine ended. Either may be the only one that holds some layers, so avoiding it for longer would break off
//! streams that it can serve again.

use crate::prelude::*;

/// The targets that one request avoids.
#[derive(Clone, Debug, Default)]
pub struct AvoidedTargets {
    all: Vec<Avoided>,
}

#[derive(Clone, Debug)]
struct Avoided {
    target: TargetId,
    /// Until when; none for the rest of the request.
    until: Option<Instant>,
}

impl AvoidedTargets {
    /// Avoids a target until a moment, or for the rest of the request.
    pub fn add(&mut self, target: TargetId, until: Option<Instant>) {
        self.all.push(Avoided { target, until });
    }

    /// The targets that are avoided now.
    pub fn list(&self, now: Instant) -> Vec<TargetId> {
        let bound = self.all.iter().filter(|it| it.until.is_none_or(|until| now < until));
        bound.map(|it| it.target.clone()).collect()
    }
}
