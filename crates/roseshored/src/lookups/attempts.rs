//! The attempts of one lookup.

use super::pool::Pool;
use super::shared::Service;
use super::{Found, LookupDeps, read_reply};
use crate::event;
use metrics::counter;
use roseshore_core::lookup::{Policy, Reason, SourceIndex, SourceReply};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Permit, Replica, RequestInfo};
use roseshore_ports::outside::{CallContext, CallResult, ServiceReply};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// The result of an attempt.
pub(super) struct AttemptResult {
    pub(super) attempt: usize,
    pub(super) reply: SourceReply<Found>,
}

/// The attempts of one lookup and the channel on which their results arrive.
pub(super) struct Attempts {
    pub(super) service: Arc<Service>,
    pub(super) results: flume::Receiver<AttemptResult>,
    deps: LookupDeps,
    pool: Arc<Pool>,
    result_tx: flume::Sender<AttemptResult>,
    request: RequestId,
    name: String,
    trace: Option<String>,
    /// The targets already tried, by source index.
    tried: Vec<Vec<TargetId>>,
}

impl Attempts {
    pub(super) fn new(
        deps: &LookupDeps,
        pool: &Arc<Pool>,
        service: &Arc<Service>,
        info: &RequestInfo,
        name: &str,
        trace: Option<&str>,
    ) -> Attempts {
        let (result_tx, results) = flume::unbounded();
        Attempts {
            service: service.clone(),
            results,
            deps: deps.clone(),
            pool: pool.clone(),
            result_tx,
            request: info.request.clone(),
            name: name.to_owned(),
            trace: trace.map(str::to_owned),
            tried: vec![Vec::new(); service.sources.len()],
        }
    }

    /// Starts an attempt. Its result arrives on [`Attempts::results`], at once if no call was made.
    pub(super) fn start(
        &mut self,
        index: SourceIndex,
        attempt: usize,
        reason: Reason,
        limit: Instant,
    ) {
        counter!("roseshore_lookup_attempts_total", "reason" => label(reason)).increment(1);
        if !self.send(index, attempt, reason, limit) {
            let _ = self.result_tx.send(AttemptResult { attempt, reply: SourceReply::NoReplica });
        }
    }

    fn send(&mut self, index: SourceIndex, attempt: usize, reason: Reason, limit: Instant) -> bool {
        let source = self.service.sources[index].clone();
        let Some(slot) = source.acquire_slot() else { return false };
        let Some((replica, permit)) = self.replica(index, reason) else { return false };
        self.tried[index].push(replica.target.clone());
        let call = Call {
            deps: self.deps.clone(),
            replica,
            source: source.name.clone(),
            name: self.name.clone(),
            context: CallContext {
                deadline: limit,
                trace: self.trace.clone(),
                request: self.request.clone(),
            },
        };
        let result_tx = self.result_tx.clone();
        self.pool.submit(Box::new(move || {
            let started = Instant::now();
            let reply = catch_unwind(AssertUnwindSafe(|| call.run(started)));
            drop((slot, permit));
            let reply = reply.unwrap_or(SourceReply::Failed(Verdict::MayHaveRun));
            if matches!(reply, SourceReply::Found(_) | SourceReply::Missing) {
                source.observe(started.elapsed());
            }
            // The lookup may have ended without this attempt.
            let _ = result_tx.send(AttemptResult { attempt, reply });
        }))
    }

    /// Chooses a replica that has not been tried; for a retry, any replica if there is no other.
    fn replica(&self, index: SourceIndex, reason: Reason) -> Option<(Replica, Permit)> {
        let serves = &self.service.sources[index].serves;
        let tried = &self.tried[index];
        let untried = self.deps.router.replica(serves, tried);
        if untried.is_err() && reason == Reason::Retry {
            return self.deps.router.replica(serves, &[]).ok();
        }
        untried.ok()
    }

    /// Counts and logs that two sources hold different records for the name.
    pub(super) fn conflict(&self, earlier: SourceIndex, later: SourceIndex) {
        counter!("roseshore_lookup_conflicts_total").increment(1);
        let (first, other) = (&self.service.sources[earlier], &self.service.sources[later]);
        if other.conflict_log.may_log(Instant::now()) {
            let (first, other, name) = (&first.serves, &other.serves, &self.name);
            event!(Event::SourceConflict, "first={first} other={other} name={name}");
        }
    }
}

fn label(reason: Reason) -> &'static str {
    match reason {
        Reason::First => "first",
        Reason::Retry => "retry",
        Reason::Hedge => "hedge",
    }
}

/// One call to one replica.
struct Call {
    deps: LookupDeps,
    replica: Replica,
    source: String,
    name: String,
    context: CallContext,
}

impl Call {
    fn run(&self, started: Instant) -> SourceReply<Found> {
        let services = &self.deps.services;
        let reply = services.lookup(self.replica.addr, &self.source, &self.name, &self.context);
        self.report(started, &reply);
        read_reply(reply, &self.source, &self.name)
    }

    /// Reports latency or failure of the target to the router. A time-out counts as a failure only if
    /// the attempt had at least half its limit; running into a caller's short deadline does not show
    /// that the target is at fault.
    fn report(&self, started: Instant, reply: &CallResult<ServiceReply>) {
        let target = &self.replica.target;
        if reply.is_ok() {
            return self.deps.router.record_latency(target, started.elapsed());
        }
        let had_time = self.context.deadline - started >= Policy::default().attempt_limit / 2;
        if had_time || Instant::now() < self.context.deadline {
            self.deps.router.failed(target);
        }
    }
}
