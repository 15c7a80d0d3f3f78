//! Lookups by name over the declared sources of a service.
//!
//! The driver of [`roseshore_core::lookup`]: it asks replicas on a bounded pool of threads, so that
//! an attempt can be left behind when another one is sooner, and tells the caller the outcome. It
//! keeps what lookups of one service share: budgets for extra attempts, and the pace of each
//! source. A daemon is one process, so [`run`] uses one [`Lookups`] for all.

mod attempts;
mod pool;
mod reply;
mod shared;

pub use reply::read_reply;

use crate::app::App;
use crate::event;
use attempts::{Asked, Heard};
use metrics::counter;
use pool::Pool;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::lookup::{Action, Lookup, Outcome, Policy};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, RequestInfo, Router};
use roseshore_ports::outside::{ServiceReply, Services};
use shared::{Service, Shared};
use std::sync::{Arc, LazyLock};

/// Threads that wait for replicas at once.
const THREADS: usize = 256;
/// The part of lookups over several sources that ask all of them, to find contradictions.
const COMPARE_RATIO: f64 = 1.0 / 64.0;

static LOOKUPS: LazyLock<Lookups> = LazyLock::new(|| Lookups::new(THREADS));

/// A record as it is passed around; bodies are not copied.
type Found = Arc<ServiceReply>;

/// Looks a name up.
///
/// # Errors
/// [`Code::NotFound`] only when every source that could hold the name says that it does not;
/// [`Code::SourceSilent`] when a source that could hold it was given up on.
pub fn run(
    app: &App,
    ask: &RequestInfo,
    name: &str,
    trace: Option<&str>,
) -> Result<ServiceReply, Refusal> {
    let parts = LookupDeps {
        fleets: app.fleets.clone(),
        router: app.router.clone(),
        services: app.services.clone(),
    };
    LOOKUPS.run(&parts, ask, name, trace)
}

/// What lookups need of the daemon.
#[derive(Clone)]
pub struct LookupDeps {
    /// The configuration in force.
    pub fleets: Arc<dyn ConfigSource>,
    /// The choice of replicas.
    pub router: Arc<dyn Router>,
    /// The replicas.
    pub services: Arc<dyn Services>,
}

/// What lookups share.
pub struct Lookups {
    pool: Arc<Pool>,
    shared: Shared,
    compare_ratio: f64,
}

impl Lookups {
    /// Lookups over so many threads at most.
    pub fn new(threads: usize) -> Lookups {
        let pool = Arc::new(Pool::new(threads));
        Lookups { pool, shared: Shared::default(), compare_ratio: COMPARE_RATIO }
    }

    /// Sets the part of lookups over several sources that ask all of them.
    #[must_use]
    pub fn with_compare_ratio(mut self, ratio: f64) -> Lookups {
        self.compare_ratio = ratio;
        self
    }

    /// Looks a name up.
    ///
    /// # Errors
    /// Those of [`run`].
    pub fn run(
        &self,
        parts: &LookupDeps,
        ask: &RequestInfo,
        name: &str,
        trace: Option<&str>,
    ) -> Result<ServiceReply, Refusal> {
        check(ask, name)?;
        let sources = sources(parts, &ask.service)?;
        let service = self.shared.service(&ask.service, &sources);
        let policy = policy(&service, self.compare_ratio);
        let retry_after = policy.retry_after;
        let asked = Asked::new(parts, &self.pool, &service, ask, name, trace);
        let outcome = self.drive(asked, policy, ask.deadline);
        finish(&service, ask, name, outcome, retry_after)
    }

    fn drive(&self, mut asked: Asked, policy: Policy, deadline: Instant) -> Outcome<Found> {
        let mut lookup = Lookup::new(asked.service.sources.len(), policy, deadline);
        let mut actions = lookup.tick(Instant::now(), &mut asked.service.budgets.lock());
        loop {
            for action in actions {
                match action {
                    Action::Ask { source, attempt, reason, limit } => {
                        asked.ask(source, attempt, reason, limit);
                    }
                    Action::Conflict { earlier, later } => asked.conflict(earlier, later),
                    Action::Done(outcome) => {
                        self.watch(asked, lookup);
                        return outcome;
                    }
                }
            }
            actions = hear(&asked, &mut lookup);
        }
    }

    /// Hears the sources out that were asked for a comparison, behind the caller's back.
    fn watch(&self, asked: Asked, lookup: Lookup<Found>) {
        if !lookup.compares() || !lookup.has_open_attempts() {
            return;
        }
        // Without a free thread the comparison is left out.
        self.pool.give(Box::new(move || compare(asked, lookup)));
    }
}

/// Waits for a reply or for time to pass, and takes all replies that are there: one that was not
/// taken would count as unknown in the verdict.
fn hear(asked: &Asked, lookup: &mut Lookup<Found>) -> Vec<Action<Found>> {
    let first = asked.heard.recv_deadline(lookup.next_wake()).ok();
    let mut budgets = asked.service.budgets.lock();
    let now = Instant::now();
    let mut actions = Vec::new();
    for Heard { attempt, said } in first.into_iter().chain(asked.heard.try_iter()) {
        actions.extend(lookup.record_reply(attempt, said, now, &mut budgets));
    }
    actions.extend(lookup.tick(now, &mut budgets));
    actions
}

fn compare(asked: Asked, mut lookup: Lookup<Found>) {
    let end = Instant::now() + Policy::default().attempt_limit;
    while lookup.has_open_attempts() {
        let Ok(Heard { attempt, said }) = asked.heard.recv_deadline(end) else { return };
        let mut budgets = asked.service.budgets.lock();
        let actions = lookup.on_reply(attempt, said, Instant::now(), &mut budgets);
        drop(budgets);
        for action in actions {
            if let Action::Conflict { earlier, later } = action {
                asked.conflict(earlier, later);
            }
        }
    }
}

/// The name goes into a path as it came, so nothing but a part of a path may be in it.
fn check(ask: &RequestInfo, name: &str) -> Result<(), Refusal> {
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'"' | b'<' | b'>');
    if name.is_empty() || !name.bytes().all(plain) {
        let text = "the name is empty or has characters that a path may not have; encode them";
        return Err(Refusal::not_run(Code::BadRequest, text));
    }
    if ask.deadline <= Instant::now() {
        let text = "the deadline passed before the lookup began; give it more time";
        return Err(Refusal::not_run(Code::DeadlinePassed, text));
    }
    Ok(())
}

/// A lookup service without declared sources is its own only source.
fn sources(parts: &LookupDeps, service: &str) -> Result<Vec<String>, Refusal> {
    let Some(known) = parts.fleets.current() else {
        let text = "this host has no configuration yet; ask another one or come back";
        let refusal = Refusal::not_run(Code::NoConfiguration, text);
        return Err(refusal.after(Policy::default().retry_after));
    };
    let declared = known.fleet.services.get(service).filter(|s| s.kind == ServiceKind::Lookup);
    let Some(declared) = declared else {
        let text =
            format!("`{service}` is no declared lookup service; declare it with `roseshore apply`");
        return Err(Refusal::not_run(Code::UnknownService, text));
    };
    Ok(declared.sources.clone())
}

fn policy(service: &Service, compare_ratio: f64) -> Policy {
    let fixed = Policy::default();
    let unit_random: f64 = rand::random();
    let compare = service.sources.len() > 1 && rand::random::<f64>() < compare_ratio;
    Policy {
        hedge_after: service.hedge_after(),
        // Callers that were refused together do not come back together.
        retry_after: fixed.retry_after.mul_f64(1.0 + unit_random),
        compare,
        unit_random,
        ..fixed
    }
}

fn finish(
    service: &Service,
    ask: &RequestInfo,
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
            let message = format!("no source of `{}` holds `{name}`; check the name", ask.service);
            // Every source ran and said so: this is the whole answer.
            let verdict = Verdict::Answered;
            Err(Refusal { verdict, code: Code::NotFound, message, retry_after: None })
        }
        Outcome::Unavailable(index, verdict) => {
            counter!("roseshore_lookups_total", "outcome" => "silent").increment(1);
            let source = &service.sources[index];
            if source.silence.may_log(Instant::now()) {
                let id = &ask.request;
                event!(
                    Event::SourceSilent,
                    "service={} source={} request={id}",
                    ask.service,
                    source.name
                );
            }
            let message = format!(
                "source `{}` of `{}` did not say whether it holds `{name}`; ask again later",
                source.name, ask.service
            );
            let refusal = Refusal { verdict, code: Code::SourceSilent, message, retry_after: None };
            Err(refusal.after(retry_after))
        }
    }
}
