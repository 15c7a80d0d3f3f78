//! A send, one attempt to have a target run a request, and the progress of its response.

use super::Route;
use super::choice::Choice;
use super::ended_runs::RunSubject;
use crate::http::{BodyDecoder, ResponseHead};
use crate::slab::Key;
use roseshore_core::gateway::Hop;
use roseshore_core::gateway::fatal::{Progress, RunEnd, Stage};
use roseshore_core::gateway::memory::{Account, Body, Buffer, Holder};
use roseshore_core::gateway::partial::PartialElement;
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::quota::pending_retries::PendingCopy;
use roseshore_core::gateway::targets::Claim;
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// A send in flight.
pub(super) struct InFlightSend {
    pub(super) socket: Key,
    pub(super) target: TargetId,
    pub(super) route: Route,
    /// The engines of the chain that runs the request, in order; empty for a plain service.
    pub(super) path: Vec<(TargetId, SocketAddr, Hop)>,
    /// The load that is counted for each target.
    pub(super) claims: Vec<Claim>,
    pub(super) sent_at: Instant,
    /// All targets involved, with their incarnations when it was sent.
    pub(super) incarnations: Vec<(TargetId, TargetHash)>,
    /// When the response last made progress: an event of a stream, or the head of another response.
    /// The send time before that.
    pub(super) latest_at: Instant,
    /// When the request went back to it after it had stood by.
    pub(super) resumed_at: Option<Instant>,
    /// Whether it stands by since a standby send went on, not for its own silence.
    pub(super) displaced: bool,
    /// When the first event arrived.
    pub(super) first_event: Option<Instant>,
    /// What is at fault if a target crashes under it.
    pub(super) subject: RunSubject,
    /// How the run ends; `None` if its target has not run it.
    pub(super) end: Option<RunEnd>,
    /// Progress of the run by its events, and the stage that it is recorded to have survived.
    pub(super) progress: Progress,
    pub(super) survived: Stage,
    pub(super) phase: Phase,
    /// When the first byte of a response arrived.
    pub(super) response_since: Option<Instant>,
    /// The head or event that is being received.
    pub(super) partial: PartialElement,
    /// Responses to other requests that preceded the expected one.
    pub(super) stale_responses: u32,
    /// Bytes of their bodies.
    pub(super) stale_bytes: usize,
    /// The received part of a response that is forwarded whole.
    pub(super) body: Body,
    /// The received part of a stream that has not been forwarded.
    pub(super) events: Buffer,
    /// Bytes at the front of it that hold no end of an event.
    pub(super) searched: usize,
    /// Predicted time between tokens in milliseconds.
    pub(super) token_ms: f64,
    /// Predicted time to the first token in milliseconds.
    pub(super) ttft_ms: f64,
    /// KV cache of each target in use, as predicted with this send; in the order of `claims`.
    pub(super) fills: Vec<f64>,
    /// The largest slowdown of its targets when it was sent.
    pub(super) slowdown: f64,
    /// Whether it was logged that it is waited for beyond the usual time.
    pub(super) kept: bool,
    /// Whether it uses an idle connection rather than a new one.
    pub(super) reused: bool,
    /// The status of the response; 0 before it arrives.
    pub(super) status: u16,
    /// The pause that the target asked for in the response.
    pub(super) pause: Option<Duration>,
    /// Whether the response stated that the target is shutting down.
    pub(super) leaving: bool,
}

/// Progress of a response.
pub(super) enum Phase {
    /// Waiting for the head.
    Head,
    /// Reading the response to another request, which is discarded.
    Stale(BodyDecoder),
    /// Reading the body of a response that is forwarded whole.
    Whole(ResponseHead, BodyDecoder),
    /// Reading a stream.
    Events(ResponseHead, BodyDecoder),
}

impl InFlightSend {
    /// A send of a request over the chosen path; the response is charged to `account`.
    pub(super) fn new(
        choice: Choice,
        socket: Key,
        route: Route,
        account: &Account,
        now: Instant,
    ) -> InFlightSend {
        InFlightSend {
            socket,
            target: choice.target,
            route,
            path: choice.path,
            claims: choice.claims,
            incarnations: Vec::new(),
            sent_at: now,
            latest_at: now,
            resumed_at: None,
            displaced: false,
            first_event: None,
            subject: RunSubject::default(),
            end: Some(RunEnd::Closed),
            progress: Progress::default(),
            survived: Stage::BEGINNING,
            phase: Phase::Head,
            response_since: None,
            partial: PartialElement::default(),
            stale_responses: 0,
            stale_bytes: 0,
            body: account.body(Holder::Answers),
            events: account.buffer(Holder::Answers),
            searched: 0,
            token_ms: choice.token_ms,
            ttft_ms: choice.ttft_ms,
            fills: Vec::new(),
            slowdown: 1.0,
            kept: false,
            reused: false,
            status: 0,
            pause: None,
            leaving: false,
        }
    }

    /// The target of the path at an address, and the layers that it was to run.
    pub(super) fn at(&self, addr: SocketAddr) -> Option<(&TargetId, (Layer, Layer))> {
        let (id, _, hop) = self.path.iter().find(|(_, at, _)| *at == addr)?;
        Some((id, hop.layers))
    }

    /// The copy of the request; `None` once its target has begun to respond to it.
    pub(super) fn pending_copy(&self) -> Option<PendingCopy> {
        let unanswered = self.response_since.is_none();
        let (target, incarnation) = self.incarnations.first().filter(|_| unanswered).cloned()?;
        let connection = self.socket.to_number();
        Some(PendingCopy { connection, target, incarnation, sent: self.sent_at })
    }

    /// Since when it is waited for without progress.
    pub(super) fn waited_since(&self) -> Instant {
        self.resumed_at.map_or(self.latest_at, |resumed| resumed.max(self.latest_at))
    }

    /// KV cache of a target in use, as predicted with this send.
    pub(super) fn fill(&self, id: &str) -> f64 {
        let mut fills = self.claims.iter().zip(&self.fills);
        fills.find(|(claim, _)| claim.target == id).map_or(0.0, |(_, fill)| *fill)
    }

    /// All targets involved.
    pub(super) fn targets(&self) -> Vec<TargetId> {
        if self.path.is_empty() {
            return vec![self.target.clone()];
        }
        self.path.iter().map(|(id, ..)| id.clone()).collect()
    }
}
