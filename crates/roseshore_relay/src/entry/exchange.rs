//! One request's life, from its last byte in to its last byte out.

use super::{EntryHost, Timer, note};
use crate::http::{self, RequestHead};
use crate::slab::Key;
use rand::RngExt;
use roseshore_core::gateway::failure::{self, FailureReply, NextStep};
use roseshore_core::gateway::routes::Denied;
use roseshore_core::gateway::{AvoidedTargets, Fingerprint, RetryState, Route, ServiceSpec};
use roseshore_core::prelude::*;
use roseshore_ports::entry::Asked;
use std::sync::Arc;

use super::callers::refusal_fields;
use super::in_flight::Send;
use super::probes::millis;
use super::rate_limits::Awaited;

/// When to come back after a refusal that another host may not give, before it is spread: a caller
/// comes back on a new connection, which reaches another host.
pub(super) const COME_BACK: Duration = Duration::from_millis(300);
/// The longest time that is asked for where a target's limit says when it takes another request.
const COME_BACK_MOST: Duration = Duration::from_secs(9);
/// When to come back from a host that is leaving: at once, but not all in the same moment.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(60);
/// The shortest time in which another send makes sense.
const LEAST: Duration = Duration::from_millis(60);
/// How long a caller waits when it does not say.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);

/// A request that is being worked on.
pub(super) struct Exchange {
    pub(super) caller: Key,
    pub(super) head: RequestHead,
    pub(super) body: Vec<u8>,
    pub(super) asked: Asked,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<ServiceSpec>,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) fingerprint: Fingerprint,
    pub(super) version: u64,
    pub(super) begun: Instant,
    /// When the caller or the operator wants an end.
    pub(super) until: Instant,
    pub(super) sends: u32,
    /// Sends so far that a target refused to run.
    pub(super) refused: u32,
    pub(super) verdict: Verdict,
    /// Whether a send may have reached its target, so that the next one is a repeat.
    pub(super) arrived: bool,
    pub(super) avoid: AvoidedTargets,
    /// The targets it was sent to; the operators bound their number.
    pub(super) sent_to: Vec<TargetId>,
    /// Since when it waits for a target with room.
    pub(super) held: Option<Instant>,
    /// The permit that it waits for.
    pub(super) awaited: Option<Awaited>,
    pub(super) send: Option<Send>,
    pub(super) out: Out,
}

/// What the caller has been sent.
#[derive(Default)]
pub(super) struct Out {
    pub(super) begun: bool,
    pub(super) last: Option<u64>,
    pub(super) events: u32,
    pub(super) first: Option<Instant>,
    pub(super) latest: Option<Instant>,
    /// The longest pause between events.
    pub(super) pause: Duration,
}

/// A request that was refused before anything was done for it.
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) attempt: Option<String>,
}

impl Exchange {
    pub(super) fn standing(&self, now: Instant) -> RetryState {
        RetryState {
            idempotent: self.route.kind.is_idempotent(),
            head_sent: self.out.begun,
            verdict: self.verdict,
            sends: self.sends,
            refused: self.refused,
            remaining: self.until.saturating_duration_since(now),
            min_remaining: LEAST,
        }
    }

    /// Whether it was sent to as many targets as its route allows.
    pub(super) fn at_bound(&self) -> bool {
        self.sent_to.len() >= self.route.max_attempts as usize
    }

    /// Whether it may be sent elsewhere although the send under way may have run.
    pub(super) fn may_move(&self, now: Instant) -> bool {
        let mut after = self.standing(now);
        after.verdict = after.verdict.join(Verdict::MayHaveRun);
        failure::next_step(&after) == NextStep::Retry
    }
}

impl EntryHost {
    /// Looks a request up in the configuration.
    pub(super) fn begin_exchange(
        &mut self,
        caller: Key,
        head: RequestHead,
        body: Vec<u8>,
    ) -> Result<Key, Refused> {
        let asked = match self.platform.asked(&head.fields) {
            Ok(asked) => asked,
            Err(err) => {
                let refusal = Refusal::not_run(Code::BadRequest, err.to_string());
                return Err(self.refused(refusal, None));
            }
        };
        let attempt = asked.attempt.clone();
        match self.admit(caller, head, body, asked) {
            Ok(exchange) => {
                let until = exchange.until;
                let now = self.now;
                self.allowance(&exchange.service.name).record_request(now);
                let key = self.exchanges.add(exchange);
                self.arm(until, Timer::Exchange(key));
                Ok(key)
            }
            Err(refusal) => Err(self.refused(refusal, Some(attempt))),
        }
    }

    fn refused(&mut self, refusal: Refusal, attempt: Option<String>) -> Refused {
        let version = self.config_version();
        let age = millis(self.currency.age(self.now));
        note!(
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

    fn admit(
        &mut self,
        caller: Key,
        head: RequestHead,
        body: Vec<u8>,
        asked: Asked,
    ) -> Result<Exchange, Refusal> {
        let Some(snapshot) = self.snapshot.clone() else {
            let refusal = Refusal::not_run(Code::NoConfiguration, "no configuration yet");
            return Err(refusal.after(self.spread(COME_BACK)));
        };
        let host = http::field(&head.fields, "host").unwrap_or("");
        let route = snapshot.route(host, &head.path).cloned();
        let route = route.map_err(|denied| self.denied(denied))?;
        let organisation = snapshot.authorise(&route, asked.key.as_deref());
        let organisation = organisation.map_err(|denied| self.denied(denied))?;
        let organisation = organisation.map(|o| o.name.clone());
        if self.outdated() || (organisation.is_some() && !self.current()) {
            return Err(self.unconfirmed());
        }
        let service = route.service(&asked.attempt).and_then(|name| snapshot.service(name));
        let Some(service) = service.cloned() else {
            let text = format!("route `{}` has no service", route.name);
            return Err(Refusal::not_run(Code::NoTarget, text).after(self.spread(COME_BACK)));
        };
        if route.kind.is_stream() && !self.ends_in_time(&asked, &service) {
            let refusal = Refusal::not_run(Code::Draining, "this host is leaving");
            return Err(refusal.after(self.spread(COME_BACK_ELSEWHERE)));
        }
        let until = self.came + asked.deadline.unwrap_or(USUAL_DEADLINE).min(route.timeout);
        if until <= self.now {
            let text = "the request's time was over before this host looked at it";
            return Err(Refusal::not_run(Code::TooLate, text).after(self.spread(COME_BACK)));
        }
        let fingerprint = fingerprint(organisation.as_deref(), host, &head, &body);
        if let Some(refusal) = self.refuse_fatal(fingerprint) {
            return Err(refusal);
        }
        Ok(Exchange {
            caller,
            head,
            body,
            route,
            service,
            organisation,
            fingerprint,
            version: snapshot.version(),
            begun: self.came,
            until,
            sends: 0,
            refused: 0,
            verdict: Verdict::NotRun,
            arrived: false,
            avoid: AvoidedTargets::default(),
            sent_to: Vec::new(),
            held: None,
            awaited: None,
            send: None,
            out: Out { last: asked.last_event, ..Out::default() },
            asked,
        })
    }

    /// Whether a stream may be expected to end before this host does.
    fn ends_in_time(&self, asked: &Asked, service: &ServiceSpec) -> bool {
        let Some(left) = self.grace_left() else { return true };
        let usual = service.engine.as_ref().map_or(0.0, |engine| engine.mean_answer);
        let guess = asked.hint.map_or(usual, f64::from);
        self.pace.ends_within(guess, f64::from(asked.longest), left)
    }

    /// A denial is only final while the configuration is known to be the newest.
    fn denied(&mut self, denied: Denied) -> Refusal {
        if !self.current() {
            return self.unconfirmed();
        }
        match denied {
            Denied::NoRoute => Refusal::not_run(Code::UnknownRoute, "no such route"),
            Denied::BadKey => Refusal::not_run(Code::BadKey, "the key is missing or not known"),
        }
    }

    fn unconfirmed(&mut self) -> Refusal {
        let text = "the configuration cannot be confirmed";
        Refusal::not_run(Code::ConfigUnconfirmed, text).after(self.spread(COME_BACK))
    }

    /// A time to come back, spread so that callers do not come back together.
    pub(super) fn spread(&mut self, base: Duration) -> Duration {
        base.mul_f64(0.75 + 0.5 * self.random.random::<f64>())
    }

    /// Refuses a request whose targets rest; there is a way after so long.
    pub(super) fn end_by_rest(&mut self, key: Key, rest: Duration) {
        // Another host may not have been asked for it, so this is no lower bound.
        let back = |usual: Duration| usual.min(rest);
        self.end_for(key, Code::TargetsRest, "the targets want a rest", back);
    }

    /// Refuses a request whose targets take no more a second.
    pub(super) fn end_by_limit(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let taken = self.next_taken(&exchange.service.name).unwrap_or_default();
        // Sooner than that, one of two callers who come back is refused again.
        let back = |usual: Duration| usual.max(taken).min(COME_BACK_MOST);
        self.end_for(key, Code::TargetsLimited, "the targets take no more a second", back);
    }

    /// Ends a request without a success.
    pub(super) fn end_without(&mut self, key: Key, code: Code, why: &str) {
        self.end_for(key, code, why, |usual| usual);
    }

    /// The same; `back` says when to come back, where it would usually be after so long.
    fn end_for(
        &mut self,
        key: Key,
        code: Code,
        why: &str,
        back: impl FnOnce(Duration) -> Duration,
    ) {
        let now = self.now;
        self.join_open_send(key);
        let Some(exchange) = self.exchanges.get(key) else { return };
        let end = failure::failure_reply(&exchange.standing(now));
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        let attempt = exchange.asked.attempt.clone();
        let engine = exchange.service.engine.is_some();
        let fingerprint = exchange.fingerprint;
        let code = match end {
            FailureReply::NotRun if code.status() != 503 => Code::NoTarget,
            FailureReply::Unknown if code.status() == 503 => Code::TargetLost,
            _ => code,
        };
        self.close_exchange(key, code.number(), why);
        let refusal = match end {
            FailureReply::Abort => {
                self.close(caller);
                return;
            }
            FailureReply::NotRun => {
                // A plain service that is full is done with some of it in milliseconds.
                let usual = match self.fatal.blocked(fingerprint, now) {
                    Some(left) => left,
                    None if engine => self.shortage.record_refusal(now),
                    None => COME_BACK,
                };
                Refusal::not_run(code, why).after(self.spread(back(usual)))
            }
            FailureReply::Unknown => Refusal::may_have_run(code, why),
        };
        metrics::counter!("roseshore_refused_total", "code" => code.to_string()).increment(1);
        let fields = refusal_fields(&refusal, Some(&attempt));
        self.answer_caller(caller, code.status(), &fields, why.as_bytes(), keep);
        self.after_answer(caller, keep);
        self.pump_caller(caller);
    }

    /// A send that is cut short may have run, unless its connection never came up.
    fn join_open_send(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = &exchange.send else { return };
        if self.net.get(send.socket).is_some_and(|s| s.connected) {
            exchange.verdict = exchange.verdict.join(Verdict::MayHaveRun);
        }
    }

    /// The caller is gone: whatever works for it is stopped.
    pub(super) fn caller_left(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (attempt, events) = (exchange.asked.attempt.clone(), exchange.out.events);
        let held = self.now.saturating_duration_since(exchange.begun).as_millis();
        note!(self, CallerLeft, "request={attempt} events={events} held_ms={held}");
        self.close_exchange(key, 0, "the caller left");
    }

    /// Takes a request out and tells of it.
    pub(super) fn close_exchange(&mut self, key: Key, code: u16, why: &str) {
        self.drop_send(key, false);
        let Some(exchange) = self.exchanges.remove(key) else { return };
        let took = self.now.saturating_duration_since(exchange.begun);
        let first = exchange.out.first.map(|at| at.saturating_duration_since(exchange.begun));
        metrics::histogram!("roseshore_request_seconds").record(took.as_secs_f64());
        if exchange.verdict == Verdict::Answered
            && let Some(engine) = &exchange.service.engine
        {
            self.pace.record_stream(f64::from(exchange.out.events) * engine.event_tokens, took);
        }
        if let Some(first) = first {
            metrics::histogram!("roseshore_first_event_seconds").record(first.as_secs_f64());
        }
        let text = format!(
            "request={} fingerprint={} route={} kind={} aim_ms={} pause_aim_ms={} organisation={} \
             service={} config_version={} sends={} verdict={} code={code} events={} first_ms={} pause_ms={} \
             took_ms={} why={why:?}",
            exchange.asked.attempt,
            exchange.fingerprint,
            exchange.route.name,
            exchange.route.kind.name(),
            exchange.route.objective.as_millis(),
            exchange.route.max_gap.unwrap_or_default().as_millis(),
            exchange.organisation.as_deref().unwrap_or("-"),
            exchange.service.name,
            exchange.version,
            exchange.sends,
            exchange.verdict.name(),
            exchange.out.events,
            millis(first),
            exchange.out.pause.as_millis(),
            took.as_millis(),
        );
        note!(self, RequestEnded, "{text}");
    }
}

/// The fingerprint of a request for a host's name.
fn fingerprint(
    organisation: Option<&str>,
    host: &str,
    head: &RequestHead,
    body: &[u8],
) -> Fingerprint {
    let parts = [head.method.as_bytes(), host.as_bytes(), head.path.as_bytes(), body];
    Fingerprint::of(organisation, &parts)
}
