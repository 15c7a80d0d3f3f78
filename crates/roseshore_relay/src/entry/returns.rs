//! What refused callers are told about coming back, and what is known of those who did.

use super::exchange::{Exchange, RETRY_AFTER};
use super::{EntryHost, log_event};
use crate::slab::Key;
use rand::RngExt;
use roseshore_core::gateway::Route;
use roseshore_core::gateway::returns::{Lack, RETURNED_AGE, RefusedCaller};
use roseshore_core::prelude::*;

/// Retry delay, before jitter, when other hosts can serve the caller: just long enough that callers
/// do not retry all at once.
pub(super) const RETRY_ELSEWHERE: Duration = Duration::from_millis(60);
/// Utilisation of the best path from which engines are loaded.
const LOADED: f64 = 0.7;
/// Time after its start in which a host may send little again, while others may.
const START_TIME: Duration = Duration::from_secs(3);
/// Time without a refusal after which callers' deadlines are those of first tries.
const QUIET_TIME: Duration = Duration::from_secs(10);

impl EntryHost {
    /// For how long a caller must have tried already, at least.
    pub(super) fn caller_age(&mut self, route: &Route, deadline: Option<Duration>) -> Duration {
        let quiet = self.returns.quiet_for(QUIET_TIME, self.now);
        deadline.map_or(Duration::ZERO, |deadline| {
            self.caller_ages.age(&route.name, route.timeout, deadline, quiet)
        })
    }

    /// When a caller should come back that is refused for want of room or of a path.
    pub(super) fn plan_return(&mut self, key: Key, code: Code) -> Duration {
        let lack = self.lack(key);
        let Some(exchange) = self.exchanges.get(key) else { return Duration::ZERO };
        let caller = RefusedCaller {
            request: exchange.suspects.request,
            rank: exchange.rank,
            work: exchange.work,
            remaining: exchange.deadline.saturating_duration_since(self.now),
            lack,
        };
        let (attempt, age) = (exchange.request_fields.attempt.clone(), exchange.age);
        let service = exchange.service.name.clone();
        let demand = self.centre_demand(&service);
        let draw = self.rng.random::<f64>();
        let planned = self.returns.after(&caller, &demand, self.now, draw);
        log_event!(
            self,
            ReturnPlanned,
            "request={attempt} service={service} code={code} lack={} rank={:?} work={:.2} age_ms={} \
             left_ms={} after_ms={} slot_ms={} ended={:.1} part={:.3} hosts={}",
            lack.name(),
            caller.rank,
            caller.work,
            age.as_millis(),
            caller.remaining.as_millis(),
            planned.after.as_millis(),
            super::probes::millis(planned.slot),
            demand.total.ended,
            demand.own_part,
            demand.hosts,
        );
        planned.after
    }

    /// What a request is refused for.
    fn lack(&mut self, key: Key) -> Lack {
        let Some(exchange) = self.exchanges.get(key) else { return Lack::Room };
        let (untried, refused) = (exchange.sends == 0, exchange.refused_sends > 0);
        let new = self.now.saturating_duration_since(self.started) < START_TIME;
        match self.choose(key) {
            Some(choice) if choice.utilisation.0 < LOADED && (new || !refused) => Lack::Send,
            None if untried => Lack::Path,
            _ => Lack::Room,
        }
    }

    /// When a caller should come back whose request needs a confirmed configuration.
    pub(super) fn unconfirmed_delay(&mut self) -> Duration {
        if self.config_outdated() || self.peers.others_confirm(self.now) {
            return self.with_jitter(RETRY_ELSEWHERE);
        }
        self.with_jitter(RETRY_AFTER)
    }
}

/// Counts how a request ended whose caller had come back.
pub(super) fn count_returned(exchange: &Exchange, code: u16) {
    if !exchange.returned() {
        return;
    }
    let outcome = match exchange.verdict {
        Verdict::Answered => "answered",
        Verdict::NotRun if code > 0 => "refused",
        _ if code == 0 => "left",
        _ => "failed",
    };
    metrics::counter!("roseshore_returned_total", "outcome" => outcome).increment(1);
}

impl Exchange {
    /// Whether its caller has come back after an earlier try.
    pub(super) fn returned(&self) -> bool {
        self.age > RETURNED_AGE
    }
}
