//! Carries out admission: asks the level, keeps the queues, and sends what waits when room is freed.
//!
//! Decisions are in [`admission`](roseshore_core::gateway::admission). Whatever may free room calls
//! [`EntryHost::room_changed`]; the queues are looked at once in each iteration of the event loop.

use super::choice::Choice;
use super::exchange::Exchange;
use super::{EntryHost, Timer, log_event};
use crate::http;
use crate::slab::Key;
use rand::RngExt;
use roseshore_core::gateway::Unavailable;
use roseshore_core::gateway::admission::{
    self, Arrival, Decision, Joined, Level, Queue, Scan, Wait, Waiter,
};
use roseshore_core::gateway::demand::Rank;
use roseshore_core::gateway::peers::name_hash;
use roseshore_core::gateway::routes::AcceptedRequest;
use roseshore_core::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Interval at which a request is tried again that waits for something else than room, such as the
/// end of a back-off, which nothing announces.
const RECHECK_INTERVAL: Duration = Duration::from_millis(35);

/// Admission to all services.
#[derive(Default)]
pub(super) struct Admission {
    services: HashMap<ServiceId, ServiceAdmission>,
    /// Whether room may have been freed since the queues were looked at.
    room_changed: bool,
    /// Whether it has to be checked who may still wait.
    recheck: bool,
    /// Whether a queue has changed since its length was told.
    queue_changed: bool,
}

/// Admission to one service.
#[derive(Default)]
struct ServiceAdmission {
    level: Level,
    queue: Queue,
    /// The ranks that requests may have; `None` if not known.
    ranks: Option<Vec<Rank>>,
    /// Since when no path exists, whatever its load.
    no_path_since: Option<Instant>,
}

/// The wait of a request for room.
#[derive(Clone, Copy)]
pub(super) struct RoomWait {
    since: Instant,
    until: Instant,
    predicted: Option<Duration>,
    /// Whether it waits for something else than room.
    recheck: bool,
}

/// A request's entry in its queue.
fn waiter(key: Key, exchange: &Exchange, since: Instant) -> Waiter {
    Waiter {
        id: key.to_number() as u64,
        begun: exchange.is_begun(),
        rank: exchange.rank,
        returned: exchange.returned(),
        organisation: exchange.organisation_hash(),
        work: exchange.work,
        bytes: exchange.body.len() + 1024,
        since,
    }
}

fn count_decision(decision: &'static str, rank: Rank) {
    let rank = rank.to_string();
    metrics::counter!("roseshore_admission_total", "decision" => decision, "rank" => rank)
        .increment(1);
}

impl EntryHost {
    /// Notes that room may have been freed, so that the queues are looked at.
    pub(super) fn room_changed(&mut self) {
        self.admission.room_changed = true;
    }

    /// Notes that the configuration changed or this host stops, so that it is checked who may still
    /// wait.
    pub(super) fn recheck_waiting(&mut self) {
        self.admission.recheck = true;
        for service in self.admission.services.values_mut() {
            service.ranks = None;
        }
    }

    fn service_admission(&mut self, service: &str) -> &mut ServiceAdmission {
        self.admission.services.entry(service.to_owned()).or_default()
    }

    /// The ranks that requests to a service may have.
    fn service_ranks(&mut self, service: &str) -> &[Rank] {
        let Some(snapshot) = self.snapshot.clone() else { return &[] };
        let state = self.service_admission(service);
        state.ranks.get_or_insert_with(|| snapshot.ranks(service))
    }

    /// Whether the level admits a request that has not been sent. Ends the request if not. It is in
    /// force for services whose routes have different priorities.
    pub(super) fn passes_level(&mut self, key: Key, best: Option<&Choice>) -> bool {
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        let new = exchange.sends == 0 && !exchange.is_begun() && exchange.service.engine.is_some();
        let Some(best) = best.filter(|_| new) else { return true };
        if std::mem::replace(&mut exchange.level_passed, true) {
            return true;
        }
        let service = exchange.service.name.clone();
        if !Rank::routes_differ(self.service_ranks(&service)) {
            return true;
        }
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let arrival = Arrival {
            rank: exchange.rank,
            organisation: Some(exchange.organisation_hash()),
            returned: exchange.returned(),
        };
        let attempt = exchange.request_fields.attempt.clone();
        let organisation = exchange.organisation.clone();
        let demand = self.centre_demand(&service);
        let (now, draw) = (self.now, self.rng.random());
        let state = self.service_admission(&service);
        state.no_path_since = None;
        // What waits here would take any place that is free.
        let least = if state.queue.is_empty() { 0.0 } else { 1.0 };
        let utilisation = best.utilisation.0.max(least);
        let decision = state.level.decide(&arrival, utilisation, &demand, now, draw);
        let fill = state.level.fill();
        let Decision::Refuse { probability } = decision else {
            count_decision("admitted", arrival.rank);
            return true;
        };
        count_decision("refused", arrival.rank);
        log_event!(
            self,
            RequestNotAdmitted,
            "request={attempt} service={service} rank={} organisation={} returned={} fill={:.2} \
             level_fill={fill:.2} probability={probability:.2} offered={:.1} ended={:.1}",
            arrival.rank,
            organisation.as_deref().unwrap_or("-"),
            arrival.returned,
            best.utilisation.0,
            demand.total.offered(),
            demand.total.ended
        );
        self.end_without(key, Code::Overloaded, "callers ask for more than the engines can do");
        false
    }

    /// Whether a request may take a place that it was offered, rather than those who wait.
    pub(super) fn may_pass(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let Some(state) = self.admission.services.get(&exchange.service.name) else { return true };
        state.queue.may_pass(&waiter(key, exchange, now), now)
    }

    /// Whether a request goes on waiting for room. At the end of its wait it leaves the queue, for
    /// one more try.
    pub(super) fn awaits_room(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return true };
        let Some(wait) = exchange.room_wait else { return false };
        let service = exchange.service.name.clone();
        if now >= wait.until {
            self.leave_queue(key, &service);
            return false;
        }
        if wait.recheck {
            self.room_changed();
            self.set_timer(wait.until.min(now + RECHECK_INTERVAL), Timer::Exchange(key));
        }
        self.is_queued(key, &service)
    }

    fn is_queued(&self, key: Key, service: &str) -> bool {
        let state = self.admission.services.get(service);
        state.is_some_and(|state| state.queue.contains(key.to_number() as u64))
    }

    fn leave_queue(&mut self, key: Key, service: &str) {
        let Some(state) = self.admission.services.get_mut(service) else { return };
        self.admission.queue_changed |= state.queue.remove(key.to_number() as u64).is_some();
    }

    /// Makes a request wait for room, or ends it if it cannot be served in the time that it may
    /// wait. `best` is the best choice now.
    pub(super) fn wait_for_room(&mut self, key: Key, best: Option<Choice>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (engine, begun) = (exchange.service.engine.is_some(), exchange.delivery.started);
        let wait = Wait {
            begun,
            rank: exchange.rank,
            work: exchange.work,
            objective: exchange.route.objective,
            first_token: best.as_ref().map_or(Duration::ZERO, Choice::first_token),
            age: now.saturating_duration_since(exchange.started),
        };
        let known = exchange.room_wait;
        let mut path_expected = best.is_none() && begun;
        if best.is_none() && !begun {
            let left = known.map_or(wait.for_path(), |w| w.until.saturating_duration_since(now));
            match self.unavailable_reason(key) {
                Unavailable::BackingOff(pause) if !engine || pause >= left => {
                    return self.end_paused(key, pause);
                }
                Unavailable::RateLimited => return self.end_limited(key),
                Unavailable::BackingOff(_) => path_expected = true,
                Unavailable::Other => {}
            }
        }
        if !engine {
            let why = self.shortage_reason(best);
            return self.end_without(key, Code::NoTarget, &why);
        }
        let fresh = || self.new_wait(key, &wait, best.as_ref(), path_expected);
        let Some(room_wait) = known.or_else(fresh) else {
            let why = self.shortage_reason(best);
            return self.refuse_wait(key, Code::NoTarget, &why);
        };
        if now >= room_wait.until {
            let why = self.shortage_reason(best);
            return self.refuse_wait(key, Code::NoTarget, &why);
        }
        self.join_queue(key, room_wait, best.as_ref());
    }

    /// The wait of a request that has just found no room; `None` if it is refused at once.
    /// `path_expected` tells that there will be a path although there is none.
    fn new_wait(
        &mut self,
        key: Key,
        wait: &Wait,
        best: Option<&Choice>,
        path_expected: bool,
    ) -> Option<RoomWait> {
        let now = self.now;
        let exchange = self.exchanges.get(key)?;
        let service = exchange.service.name.clone();
        let entry = waiter(key, exchange, now);
        let unsent = exchange.sends == 0;
        let demand = self.centre_demand(&service);
        let state = self.service_admission(&service);
        let ahead = state.queue.ahead(&entry);
        let (until, recheck) = match best {
            None if unsent && !path_expected => {
                // Requests of one service wait together for a path, not each anew.
                (*state.no_path_since.get_or_insert(now) + wait.for_path(), true)
            }
            None => (now + wait.for_path(), true),
            Some(choice) => (now + wait.hold(ahead, &demand)?, choice.unhealthy.is_some()),
        };
        let predicted = wait.predicted(ahead, &demand);
        Some(RoomWait { since: now, until, predicted, recheck })
    }

    /// Adds a request to its queue.
    fn join_queue(&mut self, key: Key, wait: RoomWait, best: Option<&Choice>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        let entry = waiter(key, exchange, wait.since);
        let (attempt, rank) = (exchange.request_fields.attempt.clone(), exchange.rank);
        let organisation = exchange.organisation.clone();
        let service = exchange.service.name.clone();
        let state = self.service_admission(&service);
        let joined = state.queue.join(entry);
        let (length, fill) = (state.queue.len(), state.level.fill());
        self.admission.queue_changed = true;
        if joined == Joined::Full {
            return self.refuse_wait(key, Code::QueueFull, "too many requests wait");
        }
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if exchange.room_wait.replace(wait).is_none() {
            count_decision("waits", rank);
            let utilisation = best.map_or(0.0, |choice| choice.utilisation.0);
            log_event!(
                self,
                RequestQueued,
                "request={attempt} service={service} rank={rank} organisation={} returned={} \
                 begun={} work={:.2} fill={utilisation:.2} level_fill={fill:.2} waiting={length} \
                 predicted_ms={} until_ms={}",
                organisation.as_deref().unwrap_or("-"),
                entry.returned,
                entry.begun,
                entry.work,
                wait.predicted.map_or(-1, |time| time.as_millis() as i64),
                wait.until.saturating_duration_since(now).as_millis()
            );
        }
        if let Joined::Displaced(ids) = joined {
            for id in ids {
                let why = "others that go first wait";
                self.refuse_wait(Key::from_number(id as usize), Code::QueueFull, why);
            }
        }
        let recheck = if wait.recheck { now + RECHECK_INTERVAL } else { wait.until };
        self.set_timer(recheck.min(wait.until), Timer::Exchange(key));
        // It may have found room, but has to let others go first.
        self.admission.room_changed |= best.is_some_and(|choice| choice.suitable);
    }

    /// Ends a request that waited or would have had to wait.
    fn refuse_wait(&mut self, key: Key, code: Code, why: &str) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        count_decision("refused", exchange.rank);
        self.end_without(key, code, why);
    }

    /// Ends the wait of a request that is sent or ends.
    pub(super) fn end_room_wait(&mut self, key: Key, sent: bool) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(wait) = exchange.room_wait.take() else { return };
        let attempt = exchange.request_fields.attempt.clone();
        let service = exchange.service.name.clone();
        self.leave_queue(key, &service);
        let waited = now.saturating_duration_since(wait.since);
        let predicted = wait.predicted.map_or(-1, |time| time.as_millis() as i64);
        log_event!(
            self,
            WaitEnded,
            "request={attempt} sent={sent} waited_ms={} predicted_ms={predicted}",
            waited.as_millis()
        );
        metrics::histogram!("roseshore_queue_seconds", "sent" => sent.to_string())
            .record(waited.as_secs_f64());
        if let Some(predicted) = wait.predicted {
            metrics::histogram!("roseshore_queue_predicted_seconds", "sent" => sent.to_string())
                .record(predicted.as_secs_f64());
        }
    }

    /// Sends those that wait and now find room, in order.
    pub(super) fn serve_queues(&mut self) {
        if std::mem::take(&mut self.admission.recheck) {
            self.drop_invalid_waiters();
        }
        if std::mem::take(&mut self.admission.room_changed) {
            let waiting = self.admission.services.iter().filter(|(_, s)| !s.queue.is_empty());
            let waiting: Vec<ServiceId> = waiting.map(|(name, _)| name.clone()).collect();
            for service in waiting {
                self.serve_queue(&service);
            }
        }
        if std::mem::take(&mut self.admission.queue_changed) {
            self.report_queues();
        }
    }

    fn serve_queue(&mut self, service: &ServiceId) {
        let now = self.now;
        let mut scan = Scan::default();
        while let Some(entry) =
            self.admission.services.get(service).and_then(|state| state.queue.next(&mut scan))
        {
            let key = Key::from_number(entry.id as usize);
            if self.block_or_wait(key) {
                continue;
            }
            let choice = self.choose(key).filter(|choice| choice.suitable);
            let restricted = self.exchanges.get(key).is_some_and(|e| e.tried_targets.count() > 0);
            let Some(choice) = choice else {
                scan.found_none(&entry, restricted, now);
                continue;
            };
            if let Some(state) = self.admission.services.get_mut(service) {
                state.queue.take(entry.id);
                self.admission.queue_changed = true;
            }
            self.send_over(key, choice);
        }
    }

    /// Ends requests that wait although the configuration no longer allows them, and new streams
    /// that would not end before this host exits. Callers of the latter go to another host.
    fn drop_invalid_waiters(&mut self) {
        let queues = self.admission.services.values();
        let waiting = queues.flat_map(|state| state.queue.waiters());
        let waiting: Vec<Key> =
            waiting.filter(|w| !w.begun).map(|w| Key::from_number(w.id as usize)).collect();
        for key in waiting {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            if !self.still_accepted(exchange) {
                let why = "the configuration no longer has the route or the key";
                self.refuse_wait(key, Code::NoTarget, why);
            } else if !self.ends_before_exit(&exchange.request_fields, &exchange.service) {
                self.refuse_wait(key, Code::Draining, "this host is leaving");
            }
        }
    }

    /// Whether the configuration in force accepts a request.
    fn still_accepted(&self, exchange: &Exchange) -> bool {
        let accepted = AcceptedRequest {
            route: &exchange.route.name,
            service: &exchange.service.name,
            host: http::field(&exchange.head.fields, "host").unwrap_or(""),
            path: &exchange.head.path,
            key: exchange.request_fields.api_key.as_deref(),
            organisation: exchange.organisation.as_deref(),
        };
        self.snapshot.as_ref().is_some_and(|snapshot| snapshot.still_accepts(&accepted))
    }

    /// Tells the other hosts and the metrics who waits.
    fn report_queues(&mut self) {
        for (service, state) in &self.admission.services {
            let mut waiting: BTreeMap<Rank, u16> = BTreeMap::new();
            for waiter in state.queue.waiters() {
                let count = waiting.entry(waiter.rank).or_default();
                *count = count.saturating_add(1);
            }
            self.demand.meter.set_waiting(name_hash(service), waiting);
            metrics::gauge!("roseshore_queue_length", "service" => service.clone())
                .set(state.queue.len() as f64);
            metrics::gauge!("roseshore_queue_bytes", "service" => service.clone())
                .set(state.queue.bytes() as f64);
        }
    }

    /// Drops the state of services that are no longer configured, and shows the levels.
    pub(super) fn expire_admission(&mut self) {
        let (now, snapshot) = (self.now, self.snapshot.as_ref());
        self.admission.services.retain(|name, state| {
            !state.queue.is_empty() || snapshot.is_some_and(|s| s.service(name).is_some())
        });
        for (service, state) in &mut self.admission.services {
            state.level.expire(now);
            metrics::gauge!("roseshore_level_fill", "service" => service.clone())
                .set(state.level.fill());
        }
        self.room_changed();
    }

    /// The urgency of a request for engines; `None` if all of its service have the same rank.
    pub(super) fn urgency(&mut self, key: Key) -> Option<u8> {
        let exchange = self.exchanges.get(key)?;
        let (rank, begun) = (exchange.rank, exchange.is_begun());
        let service = exchange.service.name.clone();
        let ranks = self.service_ranks(&service);
        if Rank::routes_differ(ranks) { admission::urgency(rank, ranks, begun) } else { None }
    }

    /// Why a request cannot be sent, given the best choice that there is.
    fn shortage_reason(&self, best: Option<Choice>) -> String {
        let Some(choice) = best else { return "no target takes the request".to_owned() };
        let out_of_use =
            choice.unhealthy.and_then(|id| Some((self.targets.out_of_use(&id, self.now)?, id)));
        match (out_of_use, choice.utilisation) {
            (Some((reason, id)), _) => format!("no path: target `{id}` {reason}"),
            (None, _) if choice.suitable => "no room: others wait before it".to_owned(),
            (None, (utilisation, bottleneck)) => {
                format!("no room: target `{bottleneck}` would be {utilisation:.2} full")
            }
        }
    }

    /// Why no target can be chosen for a request.
    fn unavailable_reason(&mut self, key: Key) -> Unavailable {
        let Some(exchange) = self.exchanges.get(key) else { return Unavailable::Other };
        let pause_ends = self.targets.pause_ends(&exchange.service.name, self.now);
        let limited = self.limited_targets(&exchange.service.name);
        Unavailable::of(pause_ends, !limited.is_empty(), self.now, |attempt| {
            let excluded = if attempt.enforce_limits { limited.as_slice() } else { &[] };
            self.choose_at(key, attempt.at, excluded).is_some()
        })
    }
}
