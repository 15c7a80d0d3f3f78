//! Lookups over faulty replicas: order of sources, retries, hedges, and the outcome for the caller.

use parking_lot::Mutex;
use roseshore_adapters::service::HttpServices;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::lookup::SourceReply;
use roseshore_core::prelude::*;
use roseshore_core::retry::{BURST, MIN_RATE};
use roseshore_fakes::closed::ClosedPort;
use roseshore_fakes::service::records::Source;
use roseshore_fakes::service::{ServiceFake, ServiceFaults, ServiceSettings};
use roseshore_fakes::wait::wait_until;
use roseshore_ports::inside::{
    ActiveConfig, Chain, ChainNeeds, ConfigSource, Permit, Replica, RequestInfo, Router,
};
use roseshore_ports::outside::{CallError, CallResult, ServiceReply};
use roseshored::lookups::{LookupDeps, Lookups, read_reply};
use std::sync::Arc;
use std::thread;

/// Far longer than any outcome takes, and far shorter than [`DEADLINE`].
const BOUND: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_mins(10);
const SOURCES: [&str; 3] = ["first", "second", "third"];

struct FixedFleet(Option<ActiveConfig>);

impl ConfigSource for FixedFleet {
    fn current(&self) -> Option<ActiveConfig> {
        self.0.clone()
    }
}

fn fleet(kind: ServiceKind, sources: &[&str]) -> Arc<FixedFleet> {
    let service = Service {
        kind,
        model: None,
        sources: sources.iter().map(|s| (*s).to_owned()).collect(),
        idempotent: true,
        advisory: false,
        deadline: DEADLINE,
    };
    let services = [("packages".to_owned(), service)].into();
    let fleet = Arc::new(Fleet { services, ..Fleet::default() });
    Arc::new(FixedFleet(Some(ActiveConfig { fleet, offset: 1, digest: 1 })))
}

/// Chooses the first replica that is not to be avoided.
#[derive(Default)]
struct FixedRouter {
    replicas: Vec<(String, Replica)>,
    failed: Mutex<Vec<TargetId>>,
}

impl FixedRouter {
    /// The targets that failed, each once.
    fn failed(&self) -> Vec<TargetId> {
        let mut failed = self.failed.lock().clone();
        failed.sort();
        failed.dedup();
        failed
    }
}

impl Router for FixedRouter {
    fn chain(&self, _: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no chains here"))
    }

    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        let fit = |(s, r): &&(String, Replica)| s == serves && !avoid.contains(&r.target);
        let found = self.replicas.iter().find(fit);
        let found = found.ok_or_else(|| Refusal::not_run(Code::NoRoute, "no replica"))?;
        Ok((found.1.clone(), Permit::new(|| ())))
    }

    fn failed(&self, target: &TargetId) {
        self.failed.lock().push(target.clone());
    }

    fn record_latency(&self, _: &TargetId, _: Duration) {}
}

/// Replicas in the order of their sources, and the lookups over them.
struct Fixture {
    fakes: Vec<ServiceFake>,
    router: Arc<FixedRouter>,
    deps: LookupDeps,
}

/// A replica of the source with this index; `holds` is the body of its record of `pkg`, if any.
struct ReplicaCase {
    source: usize,
    holds: Option<&'static str>,
    faults: ServiceFaults,
}

fn replica(source: usize, holds: Option<&'static str>) -> ReplicaCase {
    ReplicaCase { source, holds, faults: ServiceFaults::default() }
}

fn broken(source: usize, holds: Option<&'static str>, faults: ServiceFaults) -> ReplicaCase {
    ReplicaCase { source, holds, faults }
}

fn fixture(sources: &[&str], replicas: Vec<ReplicaCase>) -> Fixture {
    let mut router = FixedRouter::default();
    let mut fakes = Vec::new();
    for (index, case) in replicas.into_iter().enumerate() {
        let name = SOURCES[case.source].to_owned();
        let records = case.holds.map(|body| ("pkg".to_owned(), body.to_owned())).into_iter();
        let source = Source { name: name.clone(), percent: 0, records: records.collect() };
        let settings = ServiceSettings { sources: vec![source], ..ServiceSettings::default() };
        let fake = ServiceFake::start(settings).unwrap();
        fake.faults.set(case.faults);
        let replica = Replica { target: format!("t{index}"), addr: fake.addr() };
        router.replicas.push((format!("packages/{name}"), replica));
        fakes.push(fake);
    }
    let router = Arc::new(router);
    let deps = LookupDeps {
        fleets: fleet(ServiceKind::Lookup, sources),
        router: router.clone(),
        services: Arc::new(HttpServices::default()),
    };
    Fixture { fakes, router, deps }
}

fn request(limit: Duration) -> RequestInfo {
    let arrived = Instant::now();
    RequestInfo {
        request: "r1".to_owned(),
        organisation: "mirrors".to_owned(),
        service: "packages".to_owned(),
        deadline: arrived + limit,
        arrived,
        priority: 4,
        cost: 1,
    }
}

#[derive(Debug, PartialEq)]
enum LookupOutcome {
    Record(String),
    NotFound,
    Silent(Verdict),
    Other(Code),
}

fn outcome(result: Result<ServiceReply, Refusal>) -> LookupOutcome {
    match result {
        Ok(reply) => LookupOutcome::Record(String::from_utf8(reply.body).unwrap()),
        Err(refusal) if refusal.code == Code::NotFound => {
            assert_eq!(refusal.verdict, Verdict::Answered);
            LookupOutcome::NotFound
        }
        Err(refusal) if refusal.code == Code::SourceSilent => {
            assert!(refusal.retry_after.is_some_and(|w| !w.is_zero()), "no retry time");
            LookupOutcome::Silent(refusal.verdict)
        }
        Err(refusal) => LookupOutcome::Other(refusal.code),
    }
}

/// Looks up `pkg`; panics if the outcome is delayed until the deadline.
fn look_up(deps: &LookupDeps, compare_ratio: f64) -> LookupOutcome {
    let (result_tx, result) = flume::bounded(1);
    let deps = deps.clone();
    let lookups = Lookups::new(16).with_compare_ratio(compare_ratio);
    thread::spawn(move || {
        let _ = result_tx.send(outcome(lookups.run(&deps, &request(DEADLINE), "pkg", None)));
    });
    result.recv_timeout(BOUND).expect("the outcome is delayed")
}

struct Case {
    name: &'static str,
    replicas: Vec<ReplicaCase>,
    outcome: LookupOutcome,
    /// The only target that is reported to the router as failed.
    failed: Option<&'static str>,
}

fn registries() -> Vec<Case> {
    let no = ServiceFaults::default;
    let frozen = || ServiceFaults { freeze: true, ..no() };
    let unknown = || ServiceFaults { unknown: true, ..no() };
    let record = |body: &str| LookupOutcome::Record(body.to_owned());
    let case = |name, replicas, outcome, failed| Case { name, replicas, outcome, failed };
    let unclear = Verdict::MayHaveRun;
    vec![
        case(
            "first holds",
            vec![replica(0, Some("a")), replica(1, None), replica(2, None)],
            record("a"),
            None,
        ),
        case(
            "last holds",
            vec![replica(0, None), replica(1, None), replica(2, Some("c"))],
            record("c"),
            None,
        ),
        case(
            "none holds",
            vec![replica(0, None), replica(1, None), replica(2, None)],
            LookupOutcome::NotFound,
            None,
        ),
        case(
            "declared order decides between two",
            vec![replica(0, None), replica(1, Some("b")), replica(2, Some("c"))],
            record("b"),
            None,
        ),
        case(
            "the only source that could still hold it does not know",
            vec![replica(0, None), replica(1, None), broken(2, None, unknown())],
            LookupOutcome::Silent(unclear),
            None,
        ),
        case(
            "an earlier source does not know, a later one holds",
            vec![broken(0, None, unknown()), replica(1, Some("b")), replica(2, None)],
            LookupOutcome::Silent(unclear),
            None,
        ),
        case(
            "a later source does not know, an earlier one holds",
            vec![replica(0, Some("a")), broken(1, None, unknown()), replica(2, None)],
            record("a"),
            None,
        ),
        case(
            "no replica of a source",
            vec![replica(0, None), replica(2, Some("c"))],
            LookupOutcome::Silent(unclear),
            None,
        ),
        case("no replica at all", vec![], LookupOutcome::Silent(Verdict::NotRun), None),
        case(
            "replicas refuse without starting",
            vec![broken(0, Some("a"), ServiceFaults { not_run: true, ..no() })],
            LookupOutcome::Silent(Verdict::NotRun),
            None,
        ),
        case(
            "a replica does not know, another one does",
            vec![broken(0, None, unknown()), replica(0, Some("a"))],
            record("a"),
            None,
        ),
        case(
            "a replica's replies are garbled, another's are not",
            vec![broken(0, None, ServiceFaults { garbled: true, ..no() }), replica(0, Some("a"))],
            record("a"),
            Some("t0"),
        ),
        case(
            "a replica hangs, another one answers the hedge",
            vec![broken(0, None, frozen()), replica(0, Some("a"))],
            record("a"),
            Some("t0"),
        ),
        case(
            "a source hangs",
            vec![broken(0, Some("a"), frozen()), replica(1, Some("b")), replica(2, None)],
            LookupOutcome::Silent(unclear),
            Some("t0"),
        ),
    ]
}

#[test]
fn three_registries_under_one_name() {
    // The outcomes are the same whether all sources are asked at once or not.
    for compare_ratio in [0.0, 1.0] {
        for case in registries() {
            let fixture = fixture(&SOURCES, case.replicas);
            assert_eq!(look_up(&fixture.deps, compare_ratio), case.outcome, "{}", case.name);
            let wanted: Vec<&str> = case.failed.into_iter().collect();
            let end = Instant::now() + BOUND;
            while fixture.router.failed() != wanted && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            assert_eq!(fixture.router.failed(), wanted, "failed, {}", case.name);
        }
    }
}

/// A logger that collects the daemon's event lines.
struct LineCollector;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "roseshore" {
            LINES.lock().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

#[test]
fn a_conflict_is_logged_and_the_declared_order_decides() {
    log::set_logger(&LineCollector).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let fixture =
        fixture(&SOURCES, vec![replica(0, Some("a")), replica(1, None), replica(2, Some("c"))]);
    let lookups = Lookups::new(16).with_compare_ratio(1.0);
    let outcome = outcome(lookups.run(&fixture.deps, &request(DEADLINE), "pkg", None));
    assert_eq!(outcome, LookupOutcome::Record("a".to_owned()));
    let wanted = "E802 first=packages/first other=packages/third name=pkg";
    wait_until(wanted, || LINES.lock().iter().any(|l| l == wanted));
}

#[test]
fn replicas_that_do_not_listen_ran_nothing() {
    let mut router = FixedRouter::default();
    let closed = ClosedPort::start().unwrap();
    let replica = Replica { target: "t0".to_owned(), addr: closed.addr() };
    router.replicas.push((format!("packages/{}", SOURCES[0]), replica));
    let fixture = fixture(&SOURCES[..1], Vec::new());
    let fixture = Fixture {
        deps: LookupDeps { router: Arc::new(router), ..fixture.deps.clone() },
        ..fixture
    };
    assert_eq!(look_up(&fixture.deps, 0.0), LookupOutcome::Silent(Verdict::NotRun));
}

#[test]
fn an_outage_is_not_multiplied() {
    let faults = ServiceFaults { unknown: true, ..ServiceFaults::default() };
    let fixture = fixture(&SOURCES[..1], vec![broken(0, None, faults)]);
    let lookups = Lookups::new(16);
    let (began, count) = (Instant::now(), 200);
    for _ in 0..count {
        let outcome = outcome(lookups.run(&fixture.deps, &request(DEADLINE), "pkg", None));
        assert_eq!(outcome, LookupOutcome::Silent(Verdict::MayHaveRun));
    }
    let extra = fixture.fakes[0].ran().lookups - count;
    // Without successes: the burst of retries and of hedges, and a trickle of each.
    let bound = 2.0 * (BURST + MIN_RATE * began.elapsed().as_secs_f64());
    assert!(extra as f64 <= bound, "{extra} extra attempts over {count} lookups");
}

#[test]
fn a_full_pool_refuses_at_once_as_not_run() {
    let faults = ServiceFaults { freeze: true, ..ServiceFaults::default() };
    let fixture = fixture(&SOURCES[..1], vec![broken(0, Some("a"), faults)]);
    let lookups = Lookups::new(0);
    let outcome = outcome(lookups.run(&fixture.deps, &request(DEADLINE), "pkg", None));
    assert_eq!(outcome, LookupOutcome::Silent(Verdict::NotRun));
    assert_eq!(fixture.fakes[0].ran().lookups, 0);
}

#[test]
fn refused_before_any_source_is_asked() {
    struct Case {
        name: &'static str,
        fleets: Arc<FixedFleet>,
        limit: Duration,
        name_sought: &'static str,
        code: Code,
    }
    let good = || fleet(ServiceKind::Lookup, &SOURCES);
    let plain = fleet(ServiceKind::Plain, &[]);
    let case =
        |name, fleets, limit, name_sought, code| Case { name, fleets, limit, name_sought, code };
    let cases = [
        case("no configuration", Arc::new(FixedFleet(None)), BOUND, "pkg", Code::NoConfiguration),
        case("not a lookup service", plain, BOUND, "pkg", Code::UnknownService),
        case("deadline passed", good(), Duration::ZERO, "pkg", Code::DeadlinePassed),
        case("empty name", good(), BOUND, "", Code::BadRequest),
        case("a line break in the name", good(), BOUND, "a\r\nb", Code::BadRequest),
        case("a query in the name", good(), BOUND, "a?b", Code::BadRequest),
        case("a space in the name", good(), BOUND, "a b", Code::BadRequest),
    ];
    let fixture = fixture(&SOURCES, vec![replica(0, Some("a"))]);
    for case in cases {
        let deps = LookupDeps { fleets: case.fleets, ..fixture.deps.clone() };
        let refusal =
            Lookups::new(4).run(&deps, &request(case.limit), case.name_sought, None).unwrap_err();
        assert_eq!((refusal.code, refusal.verdict), (case.code, Verdict::NotRun), "{}", case.name);
    }
    assert_eq!(fixture.fakes[0].ran().lookups, 0);
}

#[test]
fn a_service_without_sources_is_its_own_source() {
    let mut fixture = fixture(&[], vec![]);
    let records = [("card-1".to_owned(), "{}".to_owned())].into();
    let source = Source { name: "packages".to_owned(), percent: 0, records };
    let settings = ServiceSettings { sources: vec![source], ..ServiceSettings::default() };
    let fake = ServiceFake::start(settings).unwrap();
    let replica = Replica { target: "t".to_owned(), addr: fake.addr() };
    let replicas = vec![("packages".to_owned(), replica)];
    fixture.deps.router = Arc::new(FixedRouter { replicas, ..FixedRouter::default() });
    let lookups = Lookups::new(4);
    let found = lookups.run(&fixture.deps, &request(BOUND), "card-1", None).unwrap();
    assert_eq!(found.body, b"{}");
    let missing = lookups.run(&fixture.deps, &request(BOUND), "card-2", None).unwrap_err();
    assert_eq!(missing.code, Code::NotFound);
}

#[test]
fn only_a_reply_of_the_source_itself_means_missing() {
    struct Case {
        name: &'static str,
        result: CallResult<ServiceReply>,
        reply: SourceReply<()>,
    }
    let reply = |status, body: &str| {
        let (content, body) = ("application/json".to_owned(), body.as_bytes().to_vec());
        Ok(ServiceReply { status, content, body, replayed: false })
    };
    let unclear = || SourceReply::Failed(Verdict::MayHaveRun);
    let case = |name, result, reply| Case { name, result, reply };
    let cases = [
        case("record", reply(200, "x"), SourceReply::Found(())),
        case("missing", reply(404, r#"{"source":"s","missing":"n"}"#), SourceReply::Missing),
        case("404 of a web server", reply(404, "<html>"), unclear()),
        case("404 without a body", reply(404, ""), unclear()),
        case("404 for another source", reply(404, r#"{"source":"z","missing":"n"}"#), unclear()),
        case("404 for another name", reply(404, r#"{"source":"s","missing":"z"}"#), unclear()),
        case("410", reply(410, r#"{"source":"s","missing":"n"}"#), unclear()),
        case("204", reply(204, ""), unclear()),
        case("500", reply(500, ""), unclear()),
        case(
            "503 not started",
            reply(503, r#"{"not_run":true}"#),
            SourceReply::Failed(Verdict::NotRun),
        ),
        case("503 of another kind", reply(503, "busy"), unclear()),
        case("reply lost", Err(CallError::Lost(String::new())), unclear()),
        case("reply garbled", Err(CallError::Garbled(String::new())), unclear()),
        case(
            "not reached",
            Err(CallError::Unreached(String::new())),
            SourceReply::Failed(Verdict::NotRun),
        ),
    ];
    for case in cases {
        let plain = match read_reply(case.result, "s", "n") {
            SourceReply::Found(_) => SourceReply::Found(()),
            SourceReply::Missing => SourceReply::Missing,
            SourceReply::Failed(verdict) => SourceReply::Failed(verdict),
            SourceReply::NoReplica => SourceReply::NoReplica,
        };
        assert_eq!(plain, case.reply, "{}", case.name);
    }
}
