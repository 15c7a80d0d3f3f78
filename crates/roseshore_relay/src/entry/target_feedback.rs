//! Applies what targets report about themselves in the header fields of their responses.
//!
//! Every response of a target is handled here first: to a request, also if the caller got another
//! response, to a call for a report or to an order. The consequences are decided in
//! [`Targets`](roseshore_core::gateway::Targets).

use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, ResponseFields};
use std::net::SocketAddr;

/// Statuses with which a target refuses requests for a time that it states.
const PAUSE_STATUSES: [u16; 2] = [429, 503];
/// Status of a target that was not the intended recipient of the request (421 Misdirected Request).
pub(super) const MISDIRECTED: u16 = 421;

impl EntryHost {
    /// Applies the feedback in a target's response to a request.
    pub(super) fn apply_feedback(&mut self, key: Key, status: u16, feedback: &ResponseFields) {
        if status == MISDIRECTED && feedback.faulty_target.is_none() {
            // The response is of another process at the address, not of the target.
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let Some(send) = &exchange.send else { return };
        let by = format!("request={}", exchange.request_fields.attempt);
        let incarnation =
            |id: &TargetId| send.incarnations.iter().find(|(known, _)| known == id).cloned();
        let first = incarnation(&send.target);
        let faulty = feedback
            .faulty_target
            .and_then(|addr| send.at(addr))
            .and_then(|(id, _)| incarnation(id));
        let later = faulty.filter(|faulty| Some(faulty) != first.as_ref());
        // For the response to an earlier request, it is not known when that was sent.
        let own = feedback
            .attempt
            .as_ref()
            .is_none_or(|attempt| *attempt == exchange.request_fields.attempt);
        let asked = Some(send.sent_at).filter(|_| own);
        if let Some((id, hash)) = first {
            self.apply_state(&id, hash, status, feedback, &by);
            self.apply_limit(&id, hash, feedback.limit, asked, &by);
        }
        if let Some((id, hash)) = later {
            // The first target of the path passes on the pause that a later one asked for. If it
            // reports leaving, that concerns itself.
            let pause =
                ResponseFields { retry_after: feedback.retry_after, ..ResponseFields::default() };
            self.apply_state(&id, hash, status, &pause, &by);
        }
    }

    /// Applies the feedback in a target's reply to a call.
    pub(super) fn apply_reply_feedback(&mut self, id: &TargetId, reply: &CallReply) {
        let feedback = self.platform.read_response(&reply.fields);
        if let Some(hash) = self.targets.hash(id).filter(|_| reply.status != MISDIRECTED) {
            self.apply_state(id, hash, reply.status, &feedback, "call");
            // Replies to calls need not state a limit, so one without a limit does not end it.
            self.apply_limit(id, hash, feedback.limit, None, "call");
        }
    }

    /// Applies what a target reports about its shutdown, or a pause that it asks for.
    fn apply_state(
        &mut self,
        id: &str,
        hash: TargetHash,
        status: u16,
        feedback: &ResponseFields,
        by: &str,
    ) {
        let now = self.now;
        if feedback.leaving && self.targets.mark_leaving(hash, now) {
            log_event!(self, TargetLeft, "target={id} state=leaving by=answer {by}");
        }
        let Some(pause) = feedback.retry_after.filter(|_| PAUSE_STATUSES.contains(&status)) else {
            return;
        };
        if let Some(given) = self.targets.pause(hash, pause, now) {
            let (asked, given) = (pause.as_millis(), given.as_millis());
            let text = format!("target={id} status={status} rest_ms={given} asked_ms={asked} {by}");
            log_event!(self, TargetRests, "{text}");
        }
    }

    /// The address for calls to a target, unless it currently accepts nothing from this host.
    pub(super) fn call_address(&self, id: &str) -> Option<SocketAddr> {
        let target = self.targets.get(id).filter(|t| t.accepts_work(self.now));
        target.map(|t| t.record.addr)
    }
}
