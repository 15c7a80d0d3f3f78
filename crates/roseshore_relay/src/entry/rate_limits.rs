//! Enforces the rate limits of targets, which hold for all hosts together.
//!
//! State and decisions are in [`limits`](roseshore_core::gateway::quota::limits). Here, a request to a
//! rate-limited target waits for a permit of the issuer, the host that issues them, and this host
//! answers requests for permits if it is the issuer.

use super::choice::Choice;
use super::{EntryHost, Timer, log_event};
use crate::slab::Key;
use roseshore_core::gateway::peers::{
    Datagram, LimitReport, PermitGrant, PermitRequest, TargetHash,
};
use roseshore_core::gateway::quota::limits::{
    AdvertisedLimit, Issuer, LimitChange, Permit, TargetLimits,
};
use roseshore_core::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time-out for a grant of the issuer: one or two milliseconds on the network of a data centre, and
/// one iteration of a busy host's event loop.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum number of limits in a heartbeat; more do not fit a datagram with the other contents.
const MAX_REPORTS: usize = 12;

/// Rate limits known to this host, and its pending permit requests.
pub(super) struct RateLimits {
    pub(super) limits: TargetLimits,
    issuer: Issuer,
    /// The exchanges that wait for a permit, by the number of their permit request.
    waiting: HashMap<u64, Key>,
    last_number: u64,
}

/// The state of a request that waits for a permit.
pub(super) struct PermitWait {
    choice: Choice,
    target: TargetHash,
    number: u64,
    until: Instant,
}

impl RateLimits {
    /// No limits; `origin` identifies this run of this host's process.
    pub(super) fn new(origin: u32) -> RateLimits {
        let (limits, issuer) = (TargetLimits::new(origin), Issuer::default());
        RateLimits { limits, issuer, waiting: HashMap::new(), last_number: 0 }
    }
}

impl EntryHost {
    /// Applies what a response states about its target's limit; `sent` is when its request was
    /// sent, if known.
    pub(super) fn apply_limit(
        &mut self,
        id: &str,
        hash: TargetHash,
        advertised: AdvertisedLimit,
        sent: Option<Instant>,
        by: &str,
    ) {
        let limits = &mut self.rate_limits.limits;
        let change = match (advertised, sent) {
            (AdvertisedLimit::Limit(limit), _) => limits.advertised(hash, limit, self.now),
            (AdvertisedLimit::None, Some(sent)) => limits.not_advertised(hash, sent, self.now),
            (AdvertisedLimit::None, None) | (AdvertisedLimit::Unreadable, _) => None,
        };
        if let Some(change) = change {
            self.log_limit(id, change, by);
            self.heartbeat_now(false);
        }
    }

    /// Applies limits reported by another host, also for targets that this host does not know yet:
    /// hosts that have read the list further request permits for them.
    pub(super) fn apply_limit_reports(&mut self, from: SocketAddr, reports: &[LimitReport]) {
        for report in reports {
            if let Some(change) = self.rate_limits.limits.receive(report, self.now) {
                let listed = self.targets.id_of(report.target).cloned();
                let id = listed.unwrap_or_else(|| format!("unlisted-{:08x}", report.target));
                self.log_limit(&id, change, &format!("host={from} age_ms={}", report.age));
            }
        }
    }

    /// Logs a change of a target's limit.
    fn log_limit(&mut self, id: &str, change: LimitChange, by: &str) {
        let format_limit =
            |limit: Option<f64>| limit.map_or("none".to_owned(), |n| format!("{n:.2}"));
        let (limit, before) = (format_limit(change.after), format_limit(change.before));
        log_event!(self, LimitNamed, "target={id} limit={limit} before={before} {by}");
    }

    /// The limits to report to other hosts.
    pub(super) fn limit_reports(&mut self) -> Vec<LimitReport> {
        let now = self.now;
        let targets = &self.targets;
        let RateLimits { limits, issuer, .. } = &mut self.rate_limits;
        // Limits of incarnations that have ended are left out, or hosts would keep reporting them
        // to each other.
        let listed = |target| targets.id_of(target).is_some();
        let wanted = |target| listed(target).then(|| issuer.demand(target, now));
        limits.reports(MAX_REPORTS, wanted, now)
    }

    /// Drops limits, buckets and permit requests that are no longer needed.
    pub(super) fn expire_limits(&mut self) {
        let (targets, now) = (&self.targets, self.now);
        self.rate_limits.limits.expire(|hash| targets.id_of(hash).is_some(), now);
        self.rate_limits.issuer.expire(now);
        // The grant of a permit request may have been lost.
        let exchanges = &self.exchanges;
        let waits = |key: Key| exchanges.get(key).is_some_and(|e| e.permit_wait.is_some());
        self.rate_limits.waiting.retain(|_, key| waits(*key));
    }

    /// The targets of a service to which no request may be sent now because of their rate limit.
    pub(super) fn limited_targets(&self, service: &str) -> Vec<TargetId> {
        let of_service =
            |id: &&TargetId| self.targets.get(id).is_some_and(|t| t.record.service == service);
        let limited = self
            .rate_limits
            .limits
            .without_permit(self.now)
            .filter_map(|hash| self.targets.id_of(hash));
        limited.filter(of_service).cloned().collect()
    }

    /// The time in which the targets of a service that are at their limit accept one more request;
    /// `None` if there are none.
    pub(super) fn next_slot(&self, service: &str) -> Option<Duration> {
        let hashes =
            self.limited_targets(service).into_iter().filter_map(|id| self.targets.hash(&id));
        let rate: f64 = hashes.filter_map(|m| self.rate_limits.limits.rate(m, self.now)).sum();
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }

    /// Whether a request still waits for a permit. After the time-out it goes on to other targets
    /// without one.
    pub(super) fn awaits_permit(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return true };
        let Some(permit_wait) =
            exchange.permit_wait.take_if(|permit_wait| now >= permit_wait.until)
        else {
            return exchange.permit_wait.is_some();
        };
        self.rate_limits.waiting.remove(&permit_wait.number);
        self.rate_limits.limits.request_failed(permit_wait.target, now);
        self.log_passed_over(key, &permit_wait.choice, "unanswered", Duration::ZERO);
        false
    }

    /// Returns the choice if it may be sent now. Otherwise a permit is requested and the request
    /// waits for it, or goes to another target.
    pub(super) fn with_permit(&mut self, key: Key, choice: Choice) -> Option<Choice> {
        let Some(hash) = self.targets.hash(choice.target()) else { return Some(choice) };
        match self.rate_limits.limits.permit(hash, self.now) {
            Permit::Unlimited | Permit::Held => Some(choice),
            Permit::Ask => self.request_permit(key, choice, hash),
            Permit::None => {
                self.wait_for_room(key, None);
                None
            }
        }
    }

    /// Requests a permit. Returns the choice if the request need not wait for it.
    fn request_permit(&mut self, key: Key, choice: Choice, hash: TargetHash) -> Option<Choice> {
        self.rate_limits.last_number += 1;
        let number = self.rate_limits.last_number;
        let Some(request) = self.rate_limits.limits.permit_request(hash, number, self.now) else {
            return Some(choice);
        };
        match self.peers.issuer(self.now) {
            Some(issuer) if issuer != self.peers.addr() => {
                self.send_message(issuer, &Datagram::Ask(request));
                let until = self.now + PERMIT_TIMEOUT;
                self.rate_limits.waiting.insert(number, key);
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    exchange.permit_wait = Some(PermitWait { choice, target: hash, number, until });
                }
                self.set_timer(until, Timer::Exchange(key));
                None
            }
            Some(_) => {
                let grant = self.issue_grant(&request);
                self.rate_limits.limits.apply_grant(&grant, self.now);
                self.use_grant(key, choice, &grant)
            }
            None => {
                self.rate_limits.limits.request_failed(hash, self.now);
                self.log_passed_over(key, &choice, "no_issuer", Duration::ZERO);
                self.dispatch(key);
                None
            }
        }
    }

    /// Returns the choice if the issuer granted a permit; otherwise the request goes to another
    /// target.
    fn use_grant(&mut self, key: Key, choice: Choice, grant: &PermitGrant) -> Option<Choice> {
        if grant.permits > 0 {
            return Some(choice);
        }
        let wait = Duration::from_millis(u64::from(grant.wait));
        self.log_passed_over(key, &choice, "none_left", wait);
        self.dispatch(key);
        None
    }

    /// Answers another host's permit request.
    pub(super) fn answer_permit_request(&mut self, from: SocketAddr, request: &PermitRequest) {
        self.apply_limit_reports(from, &[request.limit]);
        let grant = self.issue_grant(request);
        self.send_message(from, &Datagram::Grant(grant));
    }

    /// Decides on a permit request as the issuer.
    fn issue_grant(&mut self, request: &PermitRequest) -> PermitGrant {
        let id = self.targets.id_of(request.limit.target);
        let record = id.and_then(|id| self.targets.get(id)).map(|t| &t.record);
        let is_local = record.is_some_and(|r| r.data_centre == self.settings.data_centre);
        let RateLimits { limits, issuer, .. } = &mut self.rate_limits;
        issuer.answer(request, limits, &self.peers, is_local, self.now)
    }

    /// Applies the issuer's grant and continues the request that waits for it.
    pub(super) fn apply_grant(&mut self, grant: &PermitGrant) {
        self.rate_limits.limits.apply_grant(grant, self.now);
        self.room_changed();
        let Some(key) = self.rate_limits.waiting.remove(&grant.number) else { return };
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(permit_wait) = exchange.permit_wait.take_if(|a| a.number == grant.number) else {
            return;
        };
        let Some(choice) = self.use_grant(key, permit_wait.choice, grant) else { return };
        if self
            .targets
            .get(choice.target())
            .is_some_and(|t| t.accepts_work(self.now) && t.is_healthy(self.now))
        {
            self.send_to(key, choice);
        } else {
            self.dispatch(key);
        }
    }

    /// Logs that a request was not sent to a target because of its limit.
    fn log_passed_over(&mut self, key: Key, choice: &Choice, why: &str, wait: Duration) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (attempt, target) = (&exchange.request_fields.attempt, choice.target());
        let hash = self.targets.hash(target);
        let limit = hash.and_then(|hash| self.rate_limits.limits.rate(hash, self.now));
        let text = format!(
            "request={attempt} target={target} limit={:.2} why={why} wait_ms={}",
            limit.unwrap_or_default(),
            wait.as_millis()
        );
        log_event!(self, PermitRefused, "{text}");
        metrics::counter!("roseshore_permits_refused_total", "why" => why.to_owned()).increment(1);
    }
}
