//! Keeps the limits that targets name for all hosts together.
//!
//! What is known and decided stands in [`limits`](roseshore_core::gateway::limits). Here a request whose target
//! names a limit waits for the answer of the host that issues permits, and this host answers where it is that one.

use super::dispatch::Choice;
use super::{EntryHost, Timer, note};
use crate::slab::Key;
use roseshore_core::gateway::limits::{AdvertisedLimit, Issuer, LimitChange, Permit, TargetLimits};
use roseshore_core::gateway::peers::{
    Datagram, LimitReport, PermitGrant, PermitRequest, TargetHash,
};
use roseshore_core::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// For an answer of the issuer: a millisecond or two inside a data centre, and a busy host's turn.
const ASK_TIME: Duration = Duration::from_millis(25);
/// Limits that a heartbeat tells of; more do not fit a datagram beside the rest.
const TOLD: usize = 12;

/// What this host knows of limits, and what it has asked for.
pub(super) struct Limiting {
    pub(super) limits: TargetLimits,
    issuer: Issuer,
    /// Questions that are open, by their numbers.
    asked: HashMap<u64, Key>,
    number: u64,
}

/// A request that waits for a permit.
pub(super) struct Awaited {
    choice: Choice,
    target: TargetHash,
    number: u64,
    until: Instant,
}

impl Limiting {
    /// Nothing is known; `origin` tells this life of this host from others.
    pub(super) fn new(origin: u32) -> Limiting {
        let (limits, issuer) = (TargetLimits::new(origin), Issuer::default());
        Limiting { limits, issuer, asked: HashMap::new(), number: 0 }
    }
}

impl EntryHost {
    /// Takes what an answer says of its target's limit; `sent` is when its request was sent, where that is known.
    pub(super) fn heed_limit(
        &mut self,
        id: &str,
        mark: TargetHash,
        naming: AdvertisedLimit,
        sent: Option<Instant>,
        by: &str,
    ) {
        let limits = &mut self.limiting.limits;
        let change = match (naming, sent) {
            (AdvertisedLimit::Limit(limit), _) => limits.advertised(mark, limit, self.now),
            (AdvertisedLimit::None, Some(sent)) => limits.not_advertised(mark, sent, self.now),
            (AdvertisedLimit::None, None) | (AdvertisedLimit::Unreadable, _) => None,
        };
        if let Some(change) = change {
            self.tell_limit(id, change, by);
            self.beat_now(false);
        }
    }

    /// Takes what another host tells of limits, also of targets that are not listed here yet: permits for them are
    /// asked for by hosts that have read further.
    pub(super) fn hear_limits(&mut self, from: SocketAddr, notes: &[LimitReport]) {
        for note in notes {
            if let Some(change) = self.limiting.limits.receive(note, self.now) {
                let listed = self.targets.id_of(note.target).cloned();
                let id = listed.unwrap_or_else(|| format!("unlisted-{:08x}", note.target));
                self.tell_limit(&id, change, &format!("host={from} age_ms={}", note.age));
            }
        }
    }

    fn tell_limit(&mut self, id: &str, change: LimitChange, by: &str) {
        let told = |limit: Option<f64>| limit.map_or("none".to_owned(), |n| format!("{n:.2}"));
        let (limit, before) = (told(change.after), told(change.before));
        note!(self, LimitNamed, "target={id} limit={limit} before={before} {by}");
    }

    /// The limits for the other hosts.
    pub(super) fn limit_notes(&mut self) -> Vec<LimitReport> {
        let now = self.now;
        let targets = &self.targets;
        let Limiting { limits, issuer, .. } = &mut self.limiting;
        // A word on a life that has ended would go round among hosts that hold each other's.
        let listed = |target| targets.id_of(target).is_some();
        let wanted = |target| listed(target).then(|| issuer.demand(target, now));
        limits.reports(TOLD, wanted, now)
    }

    /// Forgets limits and buckets that are of no more use.
    pub(super) fn forget_limits(&mut self) {
        let (targets, now) = (&self.targets, self.now);
        self.limiting.limits.expire(|mark| targets.id_of(mark).is_some(), now);
        self.limiting.issuer.expire(now);
        // An answer that was lost leaves its question open.
        let exchanges = &self.exchanges;
        let waits = |key: Key| exchanges.get(key).is_some_and(|e| e.awaited.is_some());
        self.limiting.asked.retain(|_, key| waits(*key));
    }

    /// The targets of a service to which no request may be sent now for want of a permit.
    pub(super) fn shut(&self, service: &str) -> Vec<TargetId> {
        let serves =
            |id: &&TargetId| self.targets.get(id).is_some_and(|t| t.record.service == service);
        let shut = self
            .limiting
            .limits
            .without_permit(self.now)
            .filter_map(|mark| self.targets.id_of(mark));
        shut.filter(serves).cloned().collect()
    }

    /// The time in which the targets of a service that take no more take one more request; none where no target is
    /// limited.
    pub(super) fn next_taken(&self, service: &str) -> Option<Duration> {
        let marks = self.shut(service).into_iter().filter_map(|id| self.targets.hash(&id));
        let rate: f64 = marks.filter_map(|m| self.limiting.limits.rate(m, self.now)).sum();
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }

    /// Whether a request still waits for a permit. One that has waited for too long goes on without.
    pub(super) fn awaits_permit(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return true };
        let Some(awaited) = exchange.awaited.take_if(|awaited| now >= awaited.until) else {
            return exchange.awaited.is_some();
        };
        self.limiting.asked.remove(&awaited.number);
        self.limiting.limits.request_failed(awaited.target, now);
        self.passed_over(key, &awaited.choice, "unanswered", Duration::ZERO);
        false
    }

    /// A choice that may be sent now. Else the host that issues permits is asked and the request waits for its
    /// answer, or goes elsewhere.
    pub(super) fn permitted(&mut self, key: Key, choice: Choice) -> Option<Choice> {
        let Some(mark) = self.targets.hash(choice.target()) else { return Some(choice) };
        match self.limiting.limits.permit(mark, self.now) {
            Permit::Unlimited | Permit::Held => Some(choice),
            Permit::Ask => self.ask_permit(key, choice, mark),
            Permit::None => {
                self.hold(key, None);
                None
            }
        }
    }

    fn ask_permit(&mut self, key: Key, choice: Choice, mark: TargetHash) -> Option<Choice> {
        self.limiting.number += 1;
        let number = self.limiting.number;
        let Some(ask) = self.limiting.limits.permit_request(mark, number, self.now) else {
            return Some(choice);
        };
        match self.peers.issuer(self.now) {
            Some(issuer) if issuer != self.peers.addr() => {
                self.send_message(issuer, &Datagram::Ask(ask));
                let until = self.now + ASK_TIME;
                self.limiting.asked.insert(number, key);
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    exchange.awaited = Some(Awaited { choice, target: mark, number, until });
                }
                self.arm(until, Timer::Exchange(key));
                None
            }
            Some(_) => {
                let grant = self.answer_ask(&ask);
                self.limiting.limits.apply_grant(&grant, self.now);
                self.use_grant(key, choice, &grant)
            }
            None => {
                self.limiting.limits.request_failed(mark, self.now);
                self.passed_over(key, &choice, "no_issuer", Duration::ZERO);
                self.dispatch(key);
                None
            }
        }
    }

    /// The choice, if the issuer granted it; else the request goes elsewhere.
    fn use_grant(&mut self, key: Key, choice: Choice, grant: &PermitGrant) -> Option<Choice> {
        if grant.permits > 0 {
            return Some(choice);
        }
        let wait = Duration::from_millis(u64::from(grant.wait));
        self.passed_over(key, &choice, "none_left", wait);
        self.dispatch(key);
        None
    }

    /// Answers a question for a permit.
    pub(super) fn hear_ask(&mut self, from: SocketAddr, ask: &PermitRequest) {
        self.hear_limits(from, &[ask.limit]);
        let grant = self.answer_ask(ask);
        self.send_message(from, &Datagram::Grant(grant));
    }

    fn answer_ask(&mut self, ask: &PermitRequest) -> PermitGrant {
        let id = self.targets.id_of(ask.limit.target);
        let record = id.and_then(|id| self.targets.get(id)).map(|t| &t.record);
        let home = record.is_some_and(|r| r.data_centre == self.settings.data_centre);
        let Limiting { limits, issuer, .. } = &mut self.limiting;
        issuer.answer(ask, limits, &self.peers, home, self.now)
    }

    /// Takes the issuer's answer; the request that waits for it goes on.
    pub(super) fn hear_grant(&mut self, grant: &PermitGrant) {
        self.limiting.limits.apply_grant(grant, self.now);
        let Some(key) = self.limiting.asked.remove(&grant.number) else { return };
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(awaited) = exchange.awaited.take_if(|a| a.number == grant.number) else { return };
        let Some(choice) = self.use_grant(key, awaited.choice, grant) else { return };
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

    /// A request that would have been sent to a target was not, by its limit.
    fn passed_over(&mut self, key: Key, choice: &Choice, why: &str, wait: Duration) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (attempt, target) = (&exchange.asked.attempt, choice.target());
        let mark = self.targets.hash(target);
        let limit = mark.and_then(|mark| self.limiting.limits.rate(mark, self.now));
        let text = format!(
            "request={attempt} target={target} limit={:.2} why={why} wait_ms={}",
            limit.unwrap_or_default(),
            wait.as_millis()
        );
        note!(self, PermitRefused, "{text}");
        metrics::counter!("roseshore_permits_refused_total", "why" => why.to_owned()).increment(1);
    }
}
