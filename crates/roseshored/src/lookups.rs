//! Lookups by name over the declared sources of a service.
//!
//! Drives [`roseshore_core::lookup`]: calls replicas on a bounded pool of threads, so that an
//! attempt can be abandoned when another one finishes first, and returns the outcome. Lookups of
//! one service share the budgets for extra attempts and the latency estimate of each source.
//! [`run`] uses one [`Lookups`] for the whole process.

mod attempts;
mod pool;
mod reply;
mod shared;

pub use reply::read_reply;

use crate::app::App;
use crate::event;
use attempts::{AttemptResult, Attempts};
use metrics::counter;
use pool::Pool;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::lookup::{Action, Lookup, Outcome, Policy};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, RequestInfo, Router};
use roseshore_ports::outside::{ServiceReply, Services};
use shared::{Service, Shared};
use std::sync::{Arc, LazyLock};

/// Most threads that wait for replicas at the same time.
const MAX_THREADS: usize = 256;
/// Share of lookups over several sources that ask all of them, to detect conflicting records.
const COMPARE_RATIO: f64 = 1.0 / 64.0;

static LOOKUPS: LazyLock<Lookups> = LazyLock::new(|| Lookups::new(MAX_THREADS));

/// A found record, shared so that its body is not copied.
type Found = Arc<ServiceReply>;

/// Looks up a name.
///
/// # Errors
/// [`Code::NotFound`] only when every source that could hold the name says that it does not;
/// [`Code::SourceSilent`] when a source that could hold it gave no usable reply.
pub fn run(
    app: &App,
    request: &RequestInfo,
    name: &str,
    trace: Option<&str>,
) -> Result<ServiceReply, Refusal> {
    let deps = LookupDeps {
        fleets: app.fleets.clone(),
        router: app.router.clone(),
        services: app.services.clone(),
    };
    LOOKUPS.run(&deps, request, name, trace)
}

/// Dependencies of a lookup.
#[derive(Clone)]
pub struct LookupDeps {
    /// The configuration in force.
    pub fleets: Arc<dyn ConfigSource>,
    /// Chooses the replica for each attempt.
    pub router: Arc<dyn Router>,
    /// The client of the replicas.
    pub services: Arc<dyn Services>,
}

/// State that all lookups share: the thread pool and the state of each service.
pub struct Lookups {
    pool: Arc<Pool>,
    shared: Shared,
    compare_ratio: f64,
}

impl Lookups {
    /// Creates the shared state with a pool of at most `threads` threads.
    pub fn new(threads: usize) -> Lookups {
        let pool = Arc::new(Pool::new(threads));
        Lookups { pool, shared: Shared::default(), compare_ratio: COMPARE_RATIO }
    }

    /// Sets the share, from 0 to 1, of lookups over several sources that ask all of them.
    #[must_use]
    pub fn with_compare_ratio(mut self, ratio: f64) -> Lookups {
        self.compare_ratio = ratio;
        self
    }

    /// Looks up a name.
    ///
    /// # Errors
    /// Those of [`run`].
    pub fn run(
        &self,
        deps: &LookupDeps,
        request: &RequestInfo,
        name: &str,
        trace: Option<&str>,
    ) -> Result<ServiceReply, Refusal> {
        check_request(request, name)?;
        let sources = sources(deps, &request.service)?;
        let service = self.shared.service(&request.service, &sources);
        let policy = policy(&service, self.compare_ratio);
        let retry_after = policy.retry_after;
        let attempts = Attempts::new(deps, &self.pool, &service, request, name, trace);
        let outcome = self.drive(attempts, policy, request.deadline);
        finish(&service, request, name, outcome, retry_after)
    }

    fn drive(&self, mut attempts: Attempts, policy: Policy, deadline: Instant) -> Outcome<Found> {
        let mut lookup = Lookup::new(attempts.service.sources.len(), policy, deadline);
        let mut actions = lookup.tick(Instant::now(), &mut attempts.service.budgets.lock());
        loop {
            for action in actions {
                match action {
                    Action::Ask { source, attempt, reason, limit } => {
                        attempts.start(source, attempt, reason, limit);
                    }
                    Action::Conflict { earlier, later } => attempts.conflict(earlier, later),
                    Action::Done(outcome) => {
                        self.finish_comparison(attempts, lookup);
                        return outcome;
                    }
                }
            }
            actions = next_actions(&attempts, &mut lookup);
        }
    }

    /// Waits in the background for the remaining sources of a comparison, after the caller has its
    /// outcome.
    fn finish_comparison(&self, attempts: Attempts, lookup: Lookup<Found>) {
        if !lookup.compares() || !lookup.has_open_attempts() {
            return;
        }
        // Without a free thread the comparison is skipped.
        self.pool.submit(Box::new(move || compare_rest(attempts, lookup)));
    }
}

/// Waits for a reply or the next timer, and processes all replies that have arrived: one left in
/// the channel would count as unknown in the verdict.
fn next_actions(attempts: &Attempts, lookup: &mut Lookup<Found>) -> Vec<Action<Found>> {
    let first = attempts.results.recv_deadline(lookup.next_wake()).ok();
    let mut budgets = attempts.service.budgets.lock();
    let now = Instant::now();
    let mut actions = Vec::new();
    for AttemptResult { attempt, reply } in first.into_iter().chain(attempts.results.try_iter()) {
        actions.extend(lookup.record_reply(attempt, reply, now, &mut budgets));
    }
    actions.extend(lookup.tick(now, &mut budgets));
    actions
}

fn compare_rest(attempts: Attempts, mut lookup: Lookup<Found>) {
    let end = Instant::now() + Policy::default().attempt_limit;
    while lookup.has_open_attempts() {
        let Ok(AttemptResult { attempt, reply }) = attempts.results.recv_deadline(end) else {
            return;
        };
        let mut budgets = attempts.service.budgets.lock();
        let actions = lookup.on_reply(attempt, reply, Instant::now(), &mut budgets);
        drop(budgets);
        for action in actions {
            if let Action::Conflict { earlier, later } = action {
                attempts.conflict(earlier, later);
            }
        }
    }
}

/// Checks the name and the deadline. The name is put into a URL path unescaped, so it may contain
/// only characters that are allowed in a path.
fn check_request(request: &RequestInfo, name: &str) -> Result<(), Refusal> {
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'"' | b'<' | b'>');
    if name.is_empty() || !name.bytes().all(allowed) {
        let text = "the name is empty or has characters that a path may not have; encode them";
        return Err(Refusal::not_run(Code::BadRequest, text));
    }
    if request.deadline <= Instant::now() {
        let text = "the deadline passed before the lookup began; give it more time";
        return Err(Refusal::not_run(Code::DeadlinePassed, text));
    }
    Ok(())
}

/// The declared sources of a lookup service; empty if the service is its own only source.
fn sources(deps: &LookupDeps, service: &str) -> Result<Vec<String>, Refusal> {
    let Some(config) = deps.fleets.current() else {
        let text = "this host has no configuration yet; ask another one or come back";
        let refusal = Refusal::not_run(Code::NoConfiguration, text);
        return Err(refusal.after(Policy::default().retry_after));
    };
    let declared = config.fleet.services.get(service).filter(|s| s.kind == ServiceKind::Lookup);
    let Some(declared) = declared else {
        let text =
            format!("`{service}` is no declared lookup service; declare it with `roseshore apply`");
        return Err(Refusal::not_run(Code::UnknownService, text));
    };
    Ok(declared.sources.clone())
}

fn policy(service: &Service, compare_ratio: f64) -> Policy {
    let defaults = Policy::default();
    let unit_random: f64 = rand::random();
    let compare = service.sources.len() > 1 && rand::random::<f64>() < compare_ratio;
    Policy {
        hedge_after: service.hedge_after(),
        // Random, so that callers that were refused together do not retry together.
        retry_after: defaults.retry_after.mul_f64(1.0 + unit_random),
        compare,
        unit_random,
        ..defaults
    }
}

fn finish(
    service: &Service,
    request: &RequestInfo,
    name: &str,
    outcome: Outcome<Found>,
    retry_after: Duration,
) -> Result<ServiceReply, Refusal> {
    match outcome {
        Outcome::Found(_, reply) => {
            counter!("roseshore_lookups_total", "outcome" => "found").increment(1);
            Ok(Arc::unwrap_or_clone(reply))
        }
        Outcome::NotFound => {
            counter!("roseshore_lookups_total", "outcome" => "not_found").increment(1);
            let message =
                format!("no source of `{}` holds `{name}`; check the name", request.service);
            // Every source answered that it does not hold the name, so the answer is complete.
            let verdict = Verdict::Answered;
            Err(Refusal { verdict, code: Code::NotFound, message, retry_after: None })
        }
        Outcome::Unavailable(index, verdict) => {
            counter!("roseshore_lookups_total", "outcome" => "silent").increment(1);
            let source = &service.sources[index];
            if source.silent_log.may_log(Instant::now()) {
                let id = &request.request;
                event!(
                    Event::SourceSilent,
                    "service={} source={} request={id}",
                    request.service,
                    source.name
                );
            }
            let message = format!(
                "source `{}` of `{}` did not say whether it holds `{name}`; ask again later",
                source.name, request.service
            );
            let refusal = Refusal { verdict, code: Code::SourceSilent, message, retry_after: None };
            Err(refusal.after(retry_after))
        }
    }
}
