//! The processing of one request, from its last byte received to the last byte of its response.

use super::{EntryHost, Timer, log_event};
use crate::http::{self, RequestHead, ResponseHead};
use crate::slab::Key;
use rand::RngExt;
use roseshore_core::gateway::demand::Rank;
use roseshore_core::gateway::failure::{self, FailureReply, Fault, NextStep};
use roseshore_core::gateway::memory::Body;
use roseshore_core::gateway::peers::name_hash;
use roseshore_core::gateway::routes::Denied;
use roseshore_core::gateway::{
    AvoidedTargets, Fingerprint, RetryState, Route, ServiceSpec, Suspects, TriedTargets,
};
use roseshore_core::prelude::*;
use roseshore_ports::entry::RequestFields;
use std::sync::Arc;

use super::admission::RoomWait;
use super::callers::refusal_fields;
use super::demand::expected_work;
use super::in_flight::InFlightSend;
use super::probes::millis;
use super::rate_limits::PermitWait;
use super::returns::{RETRY_ELSEWHERE, count_returned};

/// Retry delay, before jitter, for a refusal that another host may not give: a caller retries on a
/// new connection, which reaches another host.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest retry delay when the delay follows from the rate limits of targets.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(9);
/// Retry delay, before jitter, when all engines want a rest or are at their rate limit.
const ENGINES_RETRY_AFTER: Duration = Duration::from_millis(2400);
/// Shortest remaining time in which another send can succeed.
const MIN_SEND_TIME: Duration = Duration::from_millis(60);
/// Deadline of a request whose caller gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request that is being processed.
pub(super) struct Exchange {
    pub(super) caller: Key,
    pub(super) head: RequestHead,
    pub(super) body: Arc<Body>,
    pub(super) request_fields: RequestFields,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<ServiceSpec>,
    pub(super) organisation: Option<OrganisationId>,
    /// By the priorities of its organisation and route.
    pub(super) rank: Rank,
    /// KV cache that it is expected to take, as a multiple of the mean request's.
    pub(super) work: f64,
    /// What may be at fault if a target crashes while it runs the request.
    pub(super) suspects: Suspects,
    /// Version of the configuration by which the request was admitted.
    pub(super) config_version: u64,
    pub(super) started: Instant,
    /// For how long its caller has tried already, as far as known.
    pub(super) age: Duration,
    /// The earlier of the caller's deadline and the time-out of the route.
    pub(super) deadline: Instant,
    pub(super) sends: u32,
    /// Connections for it that the system refused to open.
    pub(super) undialled: u32,
    /// Number of sends that a target refused to run.
    pub(super) refused_sends: u32,
    /// Whether the latest send was refused by a full target.
    pub(super) refused_full: bool,
    pub(super) verdict: Verdict,
    /// How its last send failed.
    pub(super) last_failure: Option<SendFailure>,
    /// The failure that a target responded with, to be forwarded if no other target answers.
    pub(super) own_failure: Option<(ResponseHead, Body)>,
    /// How a send last failed by silence.
    pub(super) last_silence: Option<SendFailure>,
    /// Whether a send may have reached its target, so that the next one counts as a retry.
    pub(super) reached_target: bool,
    pub(super) avoided: AvoidedTargets,
    /// The targets that it was sent to; the route limits their number.
    pub(super) tried_targets: TriedTargets,
    /// Whether the level has admitted it.
    pub(super) level_passed: bool,
    /// Its wait for room.
    pub(super) room_wait: Option<RoomWait>,
    /// The rate-limit permit that it is waiting for.
    pub(super) permit_wait: Option<PermitWait>,
    /// Until when its next send waits for a loan of a retry.
    pub(super) loan_wait: Option<Instant>,
    /// Since when its next send waits for engines to respond.
    pub(super) response_wait: Option<Instant>,
    pub(super) send: Option<InFlightSend>,
    /// Whether it was logged that it waits for engines to respond.
    pub(super) move_held: bool,
    /// Earlier sends that were silent for too long, while none has taken their place.
    pub(super) standbys: Vec<InFlightSend>,
    pub(super) delivery: Delivery,
}

/// How much of the response the caller has been sent.
#[derive(Default)]
pub(super) struct Delivery {
    /// Whether the head of a stream has been sent.
    pub(super) started: bool,
    /// Id of the last event that the caller has.
    pub(super) last_id: Option<u64>,
    pub(super) events: u32,
    pub(super) first_at: Option<Instant>,
    pub(super) latest_at: Option<Instant>,
    /// The longest pause between events.
    pub(super) max_pause: Duration,
}

/// How a send of a request failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendFailure {
    pub(super) fault: Fault,
    /// What was known of its targets, as in log lines.
    pub(super) evidence: &'static str,
    pub(super) at: Instant,
}

/// A request that was refused before an exchange was created for it.
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) attempt: Option<String>,
}

impl Exchange {
    /// The input of the retry decisions in [`failure`].
    pub(super) fn retry_state(&self, now: Instant) -> RetryState {
        RetryState {
            idempotent: self.route.kind.is_idempotent(),
            head_sent: self.delivery.started,
            verdict: self.verdict,
            sends: self.sends,
            refused: self.refused_sends,
            remaining: self.deadline.saturating_duration_since(now),
            min_remaining: MIN_SEND_TIME,
        }
    }

    /// Whether its caller has a part of the stream, from this host or an earlier one.
    pub(super) fn is_begun(&self) -> bool {
        self.delivery.started || self.request_fields.last_event.is_some()
    }

    /// Hash of its organisation's name; that of an empty name without one.
    pub(super) fn organisation_hash(&self) -> u32 {
        name_hash(self.organisation.as_deref().unwrap_or_default())
    }

    /// Whether the request was sent to as many targets as its route allows.
    pub(super) fn at_bound(&self) -> bool {
        self.tried_targets.count() >= self.route.max_attempts as usize
    }

    /// Whether a target may have read the request, so that its next send is a retry.
    pub(super) fn is_repeated(&self) -> bool {
        self.reached_target || self.open_sends().next().is_some()
    }

    /// Whether the request may be sent to another target although the send in flight may have run.
    pub(super) fn may_move(&self, now: Instant) -> bool {
        let mut after = self.retry_state(now);
        after.verdict = after.verdict.join(Verdict::MayHaveRun);
        failure::next_step(&after) == NextStep::Retry
    }
}

impl EntryHost {
    /// Checks a request against the configuration and creates its exchange.
    pub(super) fn begin_exchange(
        &mut self,
        caller: Key,
        head: RequestHead,
        body: Body,
    ) -> Result<Key, Refused> {
        let request_fields = match self.platform.read_request(&head.fields) {
            Ok(request_fields) => request_fields,
            Err(err) => {
                let refusal = Refusal::not_run(Code::BadRequest, err.to_string());
                return Err(self.log_refusal(refusal, None));
            }
        };
        let attempt = request_fields.attempt.clone();
        match self.admit(caller, head, body, request_fields) {
            Ok(exchange) => {
                let until = exchange.deadline;
                let now = self.now;
                self.retry_budget(&exchange.service.name).record_request(now);
                self.record_offered(&exchange);
                let key = self.exchanges.add(exchange);
                self.set_timer(until, Timer::Exchange(key));
                Ok(key)
            }
            Err(refusal) => Err(self.log_refusal(refusal, Some(attempt))),
        }
    }

    /// Logs a request that is refused before an exchange exists for it.
    fn log_refusal(&mut self, refusal: Refusal, attempt: Option<String>) -> Refused {
        let version = self.config_version();
        let age = millis(self.config_lease.age(self.now));
        log_event!(
            self,
            RequestRefused,
            "request={} code={} verdict={} config_version={version} config_age_ms={age} why={:?}",
            attempt.as_deref().unwrap_or("-"),
            refusal.code,
            refusal.verdict.name(),
            refusal.message
        );
        metrics::counter!("roseshore_refused_total", "code" => refusal.code.to_string())
            .increment(1);
        Refused { refusal, attempt }
    }

    /// Checks the route, the API key and the deadline, and whether the request is blocked.
    fn admit(
        &mut self,
        caller: Key,
        head: RequestHead,
        body: Body,
        request_fields: RequestFields,
    ) -> Result<Exchange, Refusal> {
        let Some(snapshot) = self.snapshot.clone() else {
            let refusal = Refusal::not_run(Code::NoConfiguration, "no configuration yet");
            return Err(refusal.after(self.with_jitter(RETRY_AFTER)));
        };
        let host = http::field(&head.fields, "host").unwrap_or("");
        let route = snapshot.route(host, &head.path).cloned();
        let route = route.map_err(|denied| self.denial_refusal(denied))?;
        let organisation = snapshot.authorise(&route, request_fields.api_key.as_deref());
        let organisation = organisation.map_err(|denied| self.denial_refusal(denied))?;
        let rank = Rank::new(organisation.and_then(|o| o.priority), route.priority);
        let organisation = organisation.map(|o| o.name.clone());
        if self.config_outdated() || (organisation.is_some() && !self.config_current()) {
            return Err(self.unconfirmed_refusal());
        }
        let service =
            route.service(&request_fields.attempt).and_then(|name| snapshot.service(name));
        let Some(service) = service.cloned() else {
            let text = format!("route `{}` has no service", route.name);
            return Err(Refusal::not_run(Code::NoTarget, text).after(self.with_jitter(RETRY_AFTER)));
        };
        if !self.ends_before_exit(&request_fields, &service) {
            let refusal = Refusal::not_run(Code::Draining, "this host is leaving");
            return Err(refusal.after(self.with_jitter(RETRY_ELSEWHERE)));
        }
        let deadline = self.earliest_arrival
            + request_fields.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        if deadline <= self.now {
            let text = "the request's time was over before this host looked at it";
            return Err(Refusal::not_run(Code::TooLate, text).after(self.with_jitter(RETRY_AFTER)));
        }
        let suspects = Suspects::new(
            fingerprint(organisation.as_deref(), host, &head, &body),
            organisation.as_deref(),
            request_fields.model.as_deref().unwrap_or(&service.name),
            &request_fields.prompt_parts,
        );
        if let Some(refusal) = self.refuse_blocked(&suspects) {
            return Err(refusal);
        }
        let age = self.caller_age(&route, request_fields.deadline);
        Ok(Exchange {
            caller,
            head,
            body: Arc::new(body),
            route,
            work: expected_work(&request_fields, &service),
            service,
            organisation,
            rank,
            suspects,
            config_version: snapshot.version(),
            started: self.earliest_arrival,
            age,
            deadline,
            sends: 0,
            undialled: 0,
            refused_sends: 0,
            refused_full: false,
            verdict: Verdict::NotRun,
            last_failure: None,
            last_silence: None,
            own_failure: None,
            reached_target: false,
            avoided: AvoidedTargets::default(),
            tried_targets: TriedTargets::default(),
            level_passed: false,
            room_wait: None,
            permit_wait: None,
            loan_wait: None,
            response_wait: None,
            send: None,
            move_held: false,
            standbys: Vec::new(),
            delivery: Delivery { last_id: request_fields.last_event, ..Delivery::default() },
            request_fields,
        })
    }

    /// Whether a request is expected to end before this host has to exit.
    pub(super) fn ends_before_exit(
        &self,
        request_fields: &RequestFields,
        service: &ServiceSpec,
    ) -> bool {
        let Some(left) = self.grace_left() else { return true };
        let Some(engine) = &service.engine else {
            return self.call_times.ends_within(&service.name, left);
        };
        let guess = request_fields.length_hint.map_or(engine.mean_answer, f64::from);
        self.pace.ends_within(guess, f64::from(request_fields.max_tokens), left)
    }

    /// The refusal of a request that the configuration denies. While the configuration is not known
    /// to be the newest, the caller is asked to retry instead.
    fn denial_refusal(&mut self, denied: Denied) -> Refusal {
        if !self.config_current() {
            return self.unconfirmed_refusal();
        }
        match denied {
            Denied::NoRoute => Refusal::not_run(Code::UnknownRoute, "no such route"),
            Denied::BadKey => Refusal::not_run(Code::BadKey, "the key is missing or not known"),
        }
    }

    /// The refusal while the configuration is not confirmed to be the newest.
    fn unconfirmed_refusal(&mut self) -> Refusal {
        let text = "the configuration cannot be confirmed";
        let delay = self.unconfirmed_delay();
        Refusal::not_run(Code::ConfigUnconfirmed, text).after(delay)
    }

    /// A retry delay with 25 % jitter, so that callers do not retry all at once.
    pub(super) fn with_jitter(&mut self, base: Duration) -> Duration {
        base.mul_f64(0.75 + 0.5 * self.rng.random::<f64>())
    }

    /// Refuses a request because all its targets asked for a pause; the first pause ends after
    /// `pause`.
    pub(super) fn end_paused(&mut self, key: Key, pause: Duration) {
        // Targets may not have asked other hosts for a pause, so a retry may succeed sooner.
        let delay = self.unscheduled_delay(key).min(pause);
        self.end_with_delay(key, Code::TargetsRest, "the targets want a rest", Some(delay));
    }

    /// Refuses a request because all its targets are at their rate limit.
    pub(super) fn end_limited(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let next_slot = self.next_slot(&exchange.service.name).unwrap_or_default();
        // If callers retried sooner, one of two would be refused again.
        let delay = self.unscheduled_delay(key).max(next_slot).min(MAX_RETRY_AFTER);
        self.end_with_delay(
            key,
            Code::TargetsLimited,
            "the targets take no more a second",
            Some(delay),
        );
    }

    /// Retry delay, before jitter, of refusals that follow from what targets ask for.
    fn unscheduled_delay(&self, key: Key) -> Duration {
        let engine = self.exchanges.get(key).is_some_and(|e| e.service.engine.is_some());
        if engine { ENGINES_RETRY_AFTER } else { RETRY_AFTER }
    }

    /// Ends a request with a refusal or an error, unless it can go back to a standby send.
    pub(super) fn end_without(&mut self, key: Key, code: Code, why: &str) {
        self.end_with_delay(key, code, why, None);
    }

    /// Like [`EntryHost::end_without`], with this retry delay, before jitter, if one is given.
    fn end_with_delay(&mut self, key: Key, code: Code, why: &str, delay: Option<Duration>) {
        if self.resume_standby(key, code) {
            return;
        }
        let now = self.now;
        self.mark_may_have_run(key);
        let Some(exchange) = self.exchanges.get(key) else { return };
        let end = failure::failure_reply(&exchange.retry_state(now));
        if end == FailureReply::Unknown && self.forward_own_failure(key) {
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        let attempt = exchange.request_fields.attempt.clone();
        let code = match end {
            FailureReply::NotRun if code.status() != 503 => Code::NoTarget,
            FailureReply::Unknown if code.status() == 503 => Code::TargetLost,
            _ => code,
        };
        let delay = (end == FailureReply::NotRun).then(|| self.retry_delay(key, code, delay));
        if end != FailureReply::NotRun {
            self.record_cut(key, code, why);
        }
        self.close_exchange(key, code.number(), why);
        let refusal = match end {
            FailureReply::Abort => return self.close_written(caller, "answer_cut"),
            FailureReply::NotRun => Refusal::not_run(code, why).after(delay.unwrap_or_default()),
            FailureReply::Unknown => Refusal::may_have_run(code, why),
        };
        metrics::counter!("roseshore_refused_total", "code" => code.to_string()).increment(1);
        let fields = refusal_fields(&refusal, Some(&attempt));
        self.respond(caller, code.status(), &fields, why.as_bytes(), keep);
        self.response_sent(caller, keep);
        self.resumed_callers.push(caller);
    }

    /// Records that this host ends a request that may have run, without a whole answer.
    pub(super) fn record_cut(&mut self, key: Key, code: Code, why: &str) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let now = self.now;
        let since = |at: Option<Instant>| millis(at.map(|at| now.saturating_duration_since(at)));
        let Delivery { started: begun, events, latest_at, .. } = exchange.delivery;
        let (failure, silence) = (exchange.last_failure, exchange.last_silence);
        let text = format!(
            "request={} target={} verdict={} begun={begun} events={events} silent_ms={} sends={} \
             standbys={} failure={} evidence={} failed_ms_ago={} silence={} given_up_ms_ago={} \
             config_version={} config_in_force={} applied_ms_ago={} code={code} why={why:?}",
            exchange.request_fields.attempt,
            exchange.send.as_ref().map_or("-", |send| send.target.as_str()),
            exchange.verdict.name(),
            since(Some(latest_at.unwrap_or(exchange.started))),
            exchange.sends,
            exchange.standbys.len(),
            failure.map_or("-", |failure| failure.fault.name()),
            failure.map_or("-", |failure| failure.evidence),
            since(failure.map(|failure| failure.at)),
            silence.map_or("-", |silence| silence.evidence),
            since(silence.map(|silence| silence.at)),
            exchange.config_version,
            self.config_version(),
            since(self.store_sync.applied),
        );
        log_event!(self, AnswerCut, "{text}");
        let (code, begun) = (code.to_string(), begun.to_string());
        metrics::counter!("roseshore_answers_cut_total", "code" => code, "begun" => begun)
            .increment(1);
    }

    /// The retry delay of a request that has not run; `delay` is that of its code, if it has one.
    fn retry_delay(&mut self, key: Key, code: Code, delay: Option<Duration>) -> Duration {
        let Some(exchange) = self.exchanges.get(key) else { return RETRY_AFTER };
        let engine = exchange.service.engine.is_some();
        let blocked = self.fatal.refused(&exchange.suspects, self.now).map(|refused| refused.left);
        let delay = match blocked.or(delay) {
            Some(delay) => self.with_jitter(delay),
            None if engine => self.plan_return(key, code),
            // A plain service that is full has capacity again within milliseconds.
            None => self.with_jitter(RETRY_AFTER),
        };
        metrics::histogram!("roseshore_retry_after_seconds").record(delay.as_secs_f64());
        delay
    }

    /// Records that the send in flight may have run, unless its connection was never established.
    pub(super) fn mark_may_have_run(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = &exchange.send else { return };
        if self.net.get(send.socket).is_some_and(|s| s.established()) {
            exchange.verdict = exchange.verdict.join(Verdict::MayHaveRun);
        }
    }

    /// Ends an exchange whose caller closed its connection, and cancels the send in flight.
    pub(super) fn caller_left(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (attempt, events) = (exchange.request_fields.attempt.clone(), exchange.delivery.events);
        let held = self.now.saturating_duration_since(exchange.started).as_millis();
        log_event!(self, CallerLeft, "request={attempt} events={events} held_ms={held}");
        self.close_exchange(key, 0, "the caller left");
    }

    /// Removes an exchange and logs its outcome.
    pub(super) fn close_exchange(&mut self, key: Key, code: u16, why: &str) {
        self.record_ended(key);
        self.end_room_wait(key, false);
        self.drop_send(key, false);
        self.drop_standbys(key);
        let Some(exchange) = self.exchanges.remove(key) else { return };
        count_returned(&exchange, code);
        let took = self.now.saturating_duration_since(exchange.started);
        let first =
            exchange.delivery.first_at.map(|at| at.saturating_duration_since(exchange.started));
        metrics::histogram!("roseshore_request_seconds").record(took.as_secs_f64());
        if exchange.verdict == Verdict::Answered {
            match &exchange.service.engine {
                Some(engine) => {
                    let tokens = f64::from(exchange.delivery.events) * engine.event_tokens;
                    self.pace.record_stream(tokens, took);
                }
                None => self.call_times.record(&exchange.service.name, took),
            }
        }
        if let Some(first) = first {
            metrics::histogram!("roseshore_first_event_seconds").record(first.as_secs_f64());
        }
        let text = format!(
            "request={} fingerprint={} route={} kind={} aim_ms={} pause_aim_ms={} organisation={} \
             service={} config_version={} sends={} verdict={} code={code} events={} first_ms={} pause_ms={} \
             took_ms={} why={why:?}",
            exchange.request_fields.attempt,
            exchange.suspects.request,
            exchange.route.name,
            exchange.route.kind.name(),
            exchange.route.objective.as_millis(),
            exchange.route.max_gap.unwrap_or_default().as_millis(),
            exchange.organisation.as_deref().unwrap_or("-"),
            exchange.service.name,
            exchange.config_version,
            exchange.sends,
            exchange.verdict.name(),
            exchange.delivery.events,
            millis(first),
            exchange.delivery.max_pause.as_millis(),
            took.as_millis(),
        );
        log_event!(self, RequestEnded, "{text}");
    }
}

/// The fingerprint of a request: organisation, method, the name in its `Host` field, path and body.
fn fingerprint(
    organisation: Option<&str>,
    host: &str,
    head: &RequestHead,
    body: &Body,
) -> Fingerprint {
    let parts = [head.method.as_bytes(), host.as_bytes(), head.path.as_bytes()];
    Fingerprint::of_request(organisation, &parts, body)
}
