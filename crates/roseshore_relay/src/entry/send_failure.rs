//! What follows a failed send: what is recorded of its targets, a retry or an error.

use super::ended_runs::run_end;
use super::exchange::SendFailure;
use super::probes::millis;
use super::relays::via_name;
use super::target_feedback::MISDIRECTED;
use super::timeouts::silence_text;
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::failure::{self, Blame, Fault, NextStep};
use roseshore_core::gateway::progress::{self, AVOID_FULL, Refusal};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// How long a request avoids a target after a fault with [`Blame::Unknown`].
const AVOID_UNKNOWN_BLAME: Duration = Duration::from_millis(250);

impl EntryHost {
    /// Handles a failed send; `culprit` is the target at fault if it is not the one that the
    /// request was sent to.
    pub(super) fn send_failed(&mut self, key: Key, fault: Fault, culprit: Option<SocketAddr>) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        let named = culprit.and_then(|addr| send.at(addr));
        let culprit = named.map_or(&send.target, |(id, _)| id).clone();
        self.send_failed_by(key, fault, vec![culprit]);
    }

    /// Handles a failed send that is the fault of these targets; none if it is not known whose.
    pub(super) fn send_failed_by(&mut self, key: Key, fault: Fault, culprits: Vec<TargetId>) {
        let now = self.now;
        let (refusal, evidence, evidence_text) = self.send_evidence(key, fault, &culprits);
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.verdict = exchange.verdict.join(fault.verdict());
        if let Some(send) = exchange.send.as_mut() {
            send.end = run_end(fault);
        }
        let Some(send) = &exchange.send else { return };
        let waited = now.saturating_duration_since(send.sent_at).as_millis();
        let (first, via) = (send.target.clone(), send.route.via);
        let service = exchange.service.clone();
        let blame = fault.blame(send.path.len());
        let path = send.targets().join(",");
        let text = format!(
            "request={} fingerprint={} target={} path={path} fault={} verdict={} sends={} \
             waited_ms={waited} events={} kept={} status={} rest_ms={} leaving={} via={} \
             {evidence_text} suspects={}",
            exchange.request_fields.attempt,
            exchange.suspects.request,
            send.target,
            fault.name(),
            exchange.verdict.name(),
            exchange.sends,
            exchange.delivery.events,
            send.reused,
            send.status,
            millis(send.pause),
            send.leaving,
            via_name(send.route),
            culprits.join(","),
        );
        exchange.refused_sends += u32::from(fault == Fault::Refused);
        let failure = Some(SendFailure { fault, evidence, at: now });
        exchange.last_failure = failure;
        if fault == Fault::Silent {
            exchange.last_silence = failure;
        }
        let full = refusal == Some(Refusal::Full);
        (exchange.refused_full, exchange.loan_wait) = (full, None);
        if fault == Fault::NotSent {
            exchange.tried_targets.withdraw(&first);
        } else {
            exchange.reached_target = true;
        }
        metrics::counter!("roseshore_sends_failed_total", "fault" => fault.name()).increment(1);
        log_event!(self, SendFailed, "{text}");
        if fault == Fault::Silent {
            self.remember_interrupted(key, &culprits);
        }
        if let Some(host) = via.filter(|_| fault == Fault::NotSent) {
            self.relay_failed(&first, host);
        }
        for culprit in &culprits {
            // A response of the first target does not show that a later one is alive.
            if !(fault.proves_alive() && *culprit == first) {
                self.check_alive(culprit);
            }
            if self.is_link_fault(culprit, via, fault) {
                continue;
            }
            let until = if full {
                self.record_full_engine(culprit, &service);
                Some(now + AVOID_FULL)
            } else {
                self.record_fault(culprit, blame, fault)
            };
            if let Some(exchange) = self.exchanges.get_mut(key) {
                exchange.avoided.add(culprit.clone(), until);
            }
        }
        if fault == Fault::Silent {
            self.moves.record(self.is_unread(key));
            self.set_aside(key);
        } else {
            self.drop_send(key, false);
        }
        self.retry_or_end(key, fault);
    }

    /// What the targets of a failed send show, by name and as text of a log line, and why the send
    /// was refused if it was.
    fn send_evidence(
        &self,
        key: Key,
        fault: Fault,
        culprits: &[TargetId],
    ) -> (Option<Refusal>, &'static str, String) {
        let unknown = || (None, "-", "evidence=-".to_owned());
        let Some(exchange) = self.exchanges.get(key) else { return unknown() };
        let Some(send) = &exchange.send else { return unknown() };
        let (refusal, name, numbers) = match (fault, culprits.first()) {
            (Fault::Refused, Some(culprit)) => {
                let spec = exchange.service.engine.as_ref();
                let first = *culprit == send.target;
                let fill = send.fill(culprit);
                let mut load = self.targets.evidence(culprit, spec, fill, first, self.now);
                load.unavailable |= send.status == MISDIRECTED || (first && send.leaving);
                let refusal = progress::refusal(&load);
                let numbers = format!(
                    " fill={:.2} fill_now={:.2} slots={:.2} load={:.2}",
                    load.predicted, load.current, load.slots, load.reported
                );
                (Some(refusal), refusal.name(), numbers)
            }
            (Fault::Silent, Some(_)) => (None, "dead", String::new()),
            (Fault::Silent, None) => {
                let Some(silence) = self.silence(key) else { return unknown() };
                (None, silence.path.name(), silence_text(&silence))
            }
            _ => (None, "-", String::new()),
        };
        if name != "-" {
            metrics::counter!("roseshore_send_evidence_total", "evidence" => name).increment(1);
        }
        (refusal, name, format!("evidence={name}{numbers}"))
    }

    /// Records a failure of the targets that began a response that is to be forwarded whole, at
    /// least for this time, and have not completed it.
    pub(super) fn record_unfinished(&mut self, key: Key, least: Duration) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if exchange.route.kind.is_stream() {
            return;
        }
        let late = |since: Instant| now.saturating_duration_since(since) >= least;
        let unfinished = exchange.open_sends().filter(|send| send.response_since.is_some_and(late));
        let targets: Vec<TargetId> = unfinished.map(|send| send.target.clone()).collect();
        for target in targets {
            self.record_fault(&target, Blame::Failed, Fault::Garbled);
        }
    }

    /// Records a fault of a target, unless the blame is unknown. Returns the time until which the
    /// request avoids the target, or `None` if it avoids the target until the request ends.
    pub(super) fn record_fault(
        &mut self,
        culprit: &TargetId,
        blame: Blame,
        fault: Fault,
    ) -> Option<Instant> {
        let now = self.now;
        if blame == Blame::Unknown {
            return Some(now + AVOID_UNKNOWN_BLAME);
        }
        let new = if fault.is_in_response() {
            self.targets.record_own_failure(culprit, now)
        } else {
            self.targets.record_failure(culprit, now)
        };
        if new {
            log_event!(self, TargetLost, "target={culprit} fault={}", fault.name());
        }
        // A busy target may be the only one that holds its layers, and has capacity again when
        // other requests end.
        self.targets.quarantine_end(culprit).filter(|_| blame == Blame::Busy)
    }

    /// Sends a request again after a fault, or ends it.
    fn retry_or_end(&mut self, key: Key, fault: Fault) {
        let now = self.now;
        if self.resume_displaced(key, fault) {
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let full = exchange.refused_full;
        if failure::next_step(&exchange.retry_state(now)) == NextStep::Retry
            && (!full || self.may_retry_full(key))
        {
            return self.dispatch(key);
        }
        let (code, why) = match fault {
            Fault::NotSent => (Code::TargetUnreachable, "the target could not be reached"),
            Fault::Refused => (Code::QueueFull, "the target takes no more"),
            Fault::Lost | Fault::Cut => (Code::TargetLost, "the target broke off"),
            Fault::Silent => (Code::TargetSilent, "the target fell silent"),
            Fault::Garbled | Fault::Failed => (Code::TargetGarbled, "the target's answer is bad"),
        };
        self.end_without(key, code, why);
    }
}
