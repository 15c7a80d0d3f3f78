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

/// What an attempt brought.
pub(super) struct Heard {
    pub(super) attempt: usize,
    pub(super) said: SourceReply<Found>,
}

/// One lookup's attempts and where their replies arrive.
pub(super) struct Asked {
    pub(super) service: Arc<Service>,
    pub(super) heard: flume::Receiver<Heard>,
    parts: LookupDeps,
    pool: Arc<Pool>,
    tell: flume::Sender<Heard>,
    request: RequestId,
    name: String,
    trace: Option<String>,
    /// The targets asked, by source.
    targets: Vec<Vec<TargetId>>,
}

impl Asked {
    pub(super) fn new(
        parts: &LookupDeps,
        pool: &Arc<Pool>,
        service: &Arc<Service>,
        ask: &RequestInfo,
        name: &str,
        trace: Option<&str>,
    ) -> Asked {
        let (tell, heard) = flume::unbounded();
        Asked {
            service: service.clone(),
            heard,
            parts: parts.clone(),
            pool: pool.clone(),
            tell,
            request: ask.request.clone(),
            name: name.to_owned(),
            trace: trace.map(str::to_owned),
            targets: vec![Vec::new(); service.sources.len()],
        }
    }

    /// Makes an attempt; what it brings is told to [`Asked::heard`], at once if nothing was sent.
    pub(super) fn ask(
        &mut self,
        index: SourceIndex,
        attempt: usize,
        reason: Reason,
        limit: Instant,
    ) {
        counter!("roseshore_lookup_attempts_total", "reason" => label(reason)).increment(1);
        if !self.send(index, attempt, reason, limit) {
            let _ = self.tell.send(Heard { attempt, said: SourceReply::NoReplica });
        }
    }

    fn send(&mut self, index: SourceIndex, attempt: usize, reason: Reason, limit: Instant) -> bool {
        let source = self.service.sources[index].clone();
        let Some(place) = source.enter() else { return false };
        let Some((replica, permit)) = self.replica(index, reason) else { return false };
        self.targets[index].push(replica.target.clone());
        let call = Call {
            parts: self.parts.clone(),
            replica,
            source: source.name.clone(),
            name: self.name.clone(),
            hop: CallContext {
                deadline: limit,
                trace: self.trace.clone(),
                request: self.request.clone(),
            },
        };
        let tell = self.tell.clone();
        self.pool.give(Box::new(move || {
            let began = Instant::now();
            let said = catch_unwind(AssertUnwindSafe(|| call.run(began)));
            drop((place, permit));
            let said = said.unwrap_or(SourceReply::Failed(Verdict::MayHaveRun));
            if matches!(said, SourceReply::Found(_) | SourceReply::Missing) {
                source.observe(began.elapsed());
            }
            // The lookup may have ended without this attempt.
            let _ = tell.send(Heard { attempt, said });
        }))
    }

    /// Another replica than before; the same one will do for a retry, if there is no other.
    fn replica(&self, index: SourceIndex, reason: Reason) -> Option<(Replica, Permit)> {
        let serves = &self.service.sources[index].serves;
        let avoid = &self.targets[index];
        let other = self.parts.router.replica(serves, avoid);
        if other.is_err() && reason == Reason::Retry {
            return self.parts.router.replica(serves, &[]).ok();
        }
        other.ok()
    }

    /// Makes a contradiction visible to operators.
    pub(super) fn conflict(&self, earlier: SourceIndex, later: SourceIndex) {
        counter!("roseshore_lookup_conflicts_total").increment(1);
        let (first, other) = (&self.service.sources[earlier], &self.service.sources[later]);
        if other.conflicts.may_log(Instant::now()) {
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

/// One attempt at one replica.
struct Call {
    parts: LookupDeps,
    replica: Replica,
    source: String,
    name: String,
    hop: CallContext,
}

impl Call {
    fn run(&self, began: Instant) -> SourceReply<Found> {
        let services = &self.parts.services;
        let reply = services.lookup(self.replica.addr, &self.source, &self.name, &self.hop);
        self.report(began, &reply);
        read_reply(reply, &self.source, &self.name)
    }

    /// Tells the router how the target did. Running into a caller's short deadline proves nothing
    /// against the target; running into the attempt's whole limit does.
    fn report(&self, began: Instant, reply: &CallResult<ServiceReply>) {
        let target = &self.replica.target;
        if reply.is_ok() {
            return self.parts.router.record_latency(target, began.elapsed());
        }
        let had_time = self.hop.deadline - began >= Policy::default().attempt_limit / 2;
        if had_time || Instant::now() < self.hop.deadline {
            self.parts.router.failed(target);
        }
    }
}
