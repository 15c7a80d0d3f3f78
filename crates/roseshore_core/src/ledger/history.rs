//! One daemon's history of its requests.
//!
//! Running requests are all kept; admission bounds their number. Of ended requests, the newest of
//! each kind are kept, so that a flood of refusals does not displace the late answers.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// The number of ended requests of each kind that are kept.
pub const MAX_ENDED: usize = 4096;

/// Identifies a request, and what and whom it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request's id.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// The request.
    pub meta: RequestMeta,
    /// When it arrived.
    pub started: SystemTime,
    /// When its answer must be complete.
    pub deadline: SystemTime,
}

/// A request with its final verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// The request.
    pub meta: RequestMeta,
    /// When it ended.
    pub ended_at: SystemTime,
    /// How long after its deadline it ended; zero if it ended in time.
    pub late_by: Duration,
    /// The verdict that the caller was given.
    pub verdict: Verdict,
    /// Why it was refused, or that the answer is "not found"; `None` for other answers.
    pub code: Option<Code>,
    /// Whether a recorded answer was given again.
    pub repeated: bool,
    /// Whether the caller disconnected first.
    pub caller_left: bool,
    /// The number of times it was rerouted.
    pub reroutes: u32,
    /// Whether it was advisory and ended without a complete answer within its deadline.
    pub missed: bool,
}

impl EndedRequest {
    /// Whether it was answered after its deadline.
    pub fn was_late(&self) -> bool {
        self.verdict == Verdict::Answered && !self.late_by.is_zero()
    }

    /// Whether the caller was told that it gets no answer.
    pub fn was_refused(&self) -> bool {
        self.verdict != Verdict::Answered
    }
}

/// The state of a request, as far as this daemon remembers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It is running.
    Running(RunningRequest),
    /// It has ended.
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
    /// Adds a request that has arrived.
    pub fn begin(&mut self, running: RunningRequest) {
        self.running.insert(running.meta.request.clone(), running);
    }

    /// Replaces a running request by its final verdict.
    pub fn end(&mut self, ended: EndedRequest) {
        self.running.remove(&ended.meta.request);
        let list = if ended.was_late() {
            &mut self.late
        } else if ended.was_refused() {
            &mut self.refused
        } else {
            &mut self.answered
        };
        if list.len() == MAX_ENDED {
            list.pop_front();
        }
        list.push_back(ended);
    }

    /// The running requests, in no particular order.
    pub fn running(&self) -> impl Iterator<Item = &RunningRequest> {
        self.running.values()
    }

    /// Answers after their deadline, the oldest first.
    pub fn late(&self) -> impl Iterator<Item = &EndedRequest> {
        self.late.iter()
    }

    /// Requests that got no answer, the oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &EndedRequest> {
        self.refused.iter()
    }

    /// The state of a request, by its full id or the caller's part of it. `None` if this daemon
    /// never had it or no longer keeps it.
    pub fn find(&self, request: &str) -> Option<RequestState> {
        let matches = |it: &&RunningRequest| request_id_matches(&it.meta.request, request);
        if let Some(running) = self.running.values().find(matches) {
            return Some(RequestState::Running(running.clone()));
        }
        // A caller may reuse an id; the newest request with it is the one asked about.
        let ended = [&self.answered, &self.late, &self.refused];
        let found = ended.into_iter().filter_map(|list| find_newest(list, request));
        found.max_by_key(|e| e.ended_at).cloned().map(RequestState::Ended)
    }
}

fn find_newest<'a>(list: &'a VecDeque<EndedRequest>, request: &str) -> Option<&'a EndedRequest> {
    list.iter().rev().find(|e| request_id_matches(&e.meta.request, request))
}
