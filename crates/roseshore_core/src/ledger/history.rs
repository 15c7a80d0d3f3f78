//! One daemon's memory of its requests.
//!
//! What runs is held in full; it is bounded by admission. Of what ended, the newest rows of each
//! kind are held, so that a flood of refusals does not push out the late answers.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Ended requests of one kind that are remembered.
pub const MAX_ENDED: usize = 4096;

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub organisation: OrganisationId,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Whose it is.
    pub meta: RequestMeta,
    /// When it came in.
    pub started: SystemTime,
    /// When its answer must be whole.
    pub deadline: SystemTime,
}

/// A request that has its final verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// Whose it was.
    pub meta: RequestMeta,
    /// When it ended.
    pub ended_at: SystemTime,
    /// How long past its deadline it ended; zero when in time.
    pub late_by: Duration,
    /// What the caller was told.
    pub verdict: Verdict,
    /// Why it was refused, if it was, or that the answer is "not found".
    pub code: Option<Code>,
    /// Whether a recorded answer was given again.
    pub repeated: bool,
    /// Whether the caller left first.
    pub caller_left: bool,
    /// Re-routes it took.
    pub reroutes: u32,
    /// Whether it is advisory work that ended without a whole answer in time.
    pub missed: bool,
}

impl EndedRequest {
    /// Whether it was answered, but after its deadline.
    pub fn was_late(&self) -> bool {
        self.verdict == Verdict::Answered && !self.late_by.is_zero()
    }

    /// Whether the caller was told that it got no answer.
    pub fn was_refused(&self) -> bool {
        self.verdict != Verdict::Answered
    }
}

/// What became of a request, as far as this daemon remembers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It runs.
    Running(RunningRequest),
    /// It ended.
    Ended(EndedRequest),
}

/// The requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    running: HashMap<RequestId, RunningRequest>,
    answered: VecDeque<EndedRequest>,
    late: VecDeque<EndedRequest>,
    refused: VecDeque<EndedRequest>,
}

impl RequestHistory {
    /// A request has come in.
    pub fn begin(&mut self, running: RunningRequest) {
        self.running.insert(running.meta.request.clone(), running);
    }

    /// A request got its final verdict.
    pub fn end(&mut self, ended: EndedRequest) {
        self.running.remove(&ended.meta.request);
        let rows = if ended.was_late() {
            &mut self.late
        } else if ended.was_refused() {
            &mut self.refused
        } else {
            &mut self.answered
        };
        if rows.len() == MAX_ENDED {
            rows.pop_front();
        }
        rows.push_back(ended);
    }

    /// What runs, in no order.
    pub fn running(&self) -> impl Iterator<Item = &RunningRequest> {
        self.running.values()
    }

    /// Answers that came after their deadline, oldest first.
    pub fn late(&self) -> impl Iterator<Item = &EndedRequest> {
        self.late.iter()
    }

    /// Requests that got no answer, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &EndedRequest> {
        self.refused.iter()
    }

    /// What became of a request, by its whole id or its caller's part; `None` when this daemon never had it or has forgotten it.
    pub fn find(&self, request: &str) -> Option<RequestState> {
        let known = |it: &&RunningRequest| request_id_matches(&it.meta.request, request);
        if let Some(running) = self.running.values().find(known) {
            return Some(RequestState::Running(running.clone()));
        }
        // A caller may use an id again; the newest use is the one it asks about.
        let ended = [&self.answered, &self.late, &self.refused];
        let found = ended.into_iter().filter_map(|rows| newest(rows, request));
        found.max_by_key(|e| e.ended_at).cloned().map(RequestState::Ended)
    }
}

fn newest<'a>(rows: &'a VecDeque<EndedRequest>, request: &str) -> Option<&'a EndedRequest> {
    rows.iter().rev().find(|e| request_id_matches(&e.meta.request, request))
}
