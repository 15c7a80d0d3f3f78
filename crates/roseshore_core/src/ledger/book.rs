//! One daemon's memory of its requests.
//!
//! What runs is held in full; it is bounded by admission. Of what ended, the newest rows of each
//! kind are held, so that a flood of refusals does not push out the late answers.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Ended requests of one kind that are remembered.
pub const KEPT: usize = 4096;

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whose {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub organisation: OrganisationId,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Whose it is.
    pub whose: Whose,
    /// When it came in.
    pub begun: SystemTime,
    /// When its answer must be whole.
    pub deadline: SystemTime,
}

/// A request that has its final verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Whose it was.
    pub whose: Whose,
    /// When it ended.
    pub at: SystemTime,
    /// How long past its deadline it ended; zero when in time.
    pub late: Duration,
    /// What the caller was told.
    pub verdict: Verdict,
    /// Why it was refused, if it was, or that the answer is "not found".
    pub code: Option<Code>,
    /// Whether a recorded answer was given again.
    pub repeated: bool,
    /// Whether the caller left first.
    pub left: bool,
    /// Re-routes it took.
    pub resumed: u32,
    /// Whether it is advisory work that ended without a whole answer in time.
    pub missed: bool,
}

impl Ended {
    /// Whether it was answered, but after its deadline.
    pub fn was_late(&self) -> bool {
        self.verdict == Verdict::Answered && !self.late.is_zero()
    }

    /// Whether the caller was told that it got no answer.
    pub fn was_refused(&self) -> bool {
        self.verdict != Verdict::Answered
    }
}

/// What became of a request, as far as this daemon remembers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It runs.
    Running(Running),
    /// It ended.
    Ended(Ended),
}

/// The requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Book {
    running: HashMap<RequestId, Running>,
    answered: VecDeque<Ended>,
    late: VecDeque<Ended>,
    refused: VecDeque<Ended>,
}

impl Book {
    /// A request has come in.
    pub fn begun(&mut self, running: Running) {
        self.running.insert(running.whose.request.clone(), running);
    }

    /// A request got its final verdict.
    pub fn ended(&mut self, ended: Ended) {
        self.running.remove(&ended.whose.request);
        let rows = if ended.was_late() {
            &mut self.late
        } else if ended.was_refused() {
            &mut self.refused
        } else {
            &mut self.answered
        };
        if rows.len() == KEPT {
            rows.pop_front();
        }
        rows.push_back(ended);
    }

    /// What runs, in no order.
    pub fn running(&self) -> impl Iterator<Item = &Running> {
        self.running.values()
    }

    /// Answers that came after their deadline, oldest first.
    pub fn late(&self) -> impl Iterator<Item = &Ended> {
        self.late.iter()
    }

    /// Requests that got no answer, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &Ended> {
        self.refused.iter()
    }

    /// What became of a request, by its whole id or its caller's part; `None` when this daemon never had it or has forgotten it.
    pub fn fate(&self, request: &str) -> Option<Fate> {
        let known = |it: &&Running| request_id_matches(&it.whose.request, request);
        if let Some(running) = self.running.values().find(known) {
            return Some(Fate::Running(running.clone()));
        }
        // A caller may use an id again; the newest use is the one it asks about.
        let ended = [&self.answered, &self.late, &self.refused];
        let found = ended.into_iter().filter_map(|rows| newest(rows, request));
        found.max_by_key(|e| e.at).cloned().map(Fate::Ended)
    }
}

fn newest<'a>(rows: &'a VecDeque<Ended>, request: &str) -> Option<&'a Ended> {
    rows.iter().rev().find(|e| request_id_matches(&e.whose.request, request))
}
