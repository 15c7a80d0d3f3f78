//! Lookups over replicas with faults: sources, retries, hedges, and what the caller is told.

use parking_lot::Mutex;
use roseshore_adapters::service::HttpServices;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::lookup::SourceReply;
use roseshore_core::prelude::*;
use roseshore_core::retry::{BURST, MIN_RATE};
use roseshore_fakes::closed::Closed;
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

/// Far more than any outcome takes, and far less than [`DEADLINE`].
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

/// Gives the first replica that is not to be avoided.
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
struct Site {
    fakes: Vec<ServiceFake>,
    router: Arc<FixedRouter>,
    parts: LookupDeps,
}

/// A replica of the source of this index that holds this record of `pkg`, if any.
struct Is {
    source: usize,
    holds: Option<&'static str>,
    faults: ServiceFaults,
}

fn is(source: usize, holds: Option<&'static str>) -> Is {
    Is { source, holds, faults: ServiceFaults::default() }
}

fn broken(source: usize, holds: Option<&'static str>, faults: ServiceFaults) -> Is {
    Is { source, holds, faults }
}

fn site(sources: &[&str], replicas: Vec<Is>) -> Site {
    let mut router = FixedRouter::default();
    let mut fakes = Vec::new();
    for (index, is) in replicas.into_iter().enumerate() {
        let name = SOURCES[is.source].to_owned();
        let records = is.holds.map(|body| ("pkg".to_owned(), body.to_owned())).into_iter();
        let source = Source { name: name.clone(), percent: 0, records: records.collect() };
        let settings = ServiceSettings { sources: vec![source], ..ServiceSettings::default() };
        let fake = ServiceFake::start(settings).unwrap();
        fake.faults.set(is.faults);
        let replica = Replica { target: format!("t{index}"), addr: fake.addr() };
        router.replicas.push((format!("packages/{name}"), replica));
        fakes.push(fake);
    }
    let router = Arc::new(router);
    let parts = LookupDeps {
        fleets: fleet(ServiceKind::Lookup, sources),
        router: router.clone(),
        services: Arc::new(HttpServices::default()),
    };
    Site { fakes, router, parts }
}

fn ask(limit: Duration) -> RequestInfo {
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
enum Told {
    Record(String),
    NotFound,
    Silent(Verdict),
    Other(Code),
}

fn told(result: Result<ServiceReply, Refusal>) -> Told {
    match result {
        Ok(reply) => Told::Record(String::from_utf8(reply.body).unwrap()),
        Err(refusal) if refusal.code == Code::NotFound => {
            assert_eq!(refusal.verdict, Verdict::Answered);
            Told::NotFound
        }
        Err(refusal) if refusal.code == Code::SourceSilent => {
            assert!(refusal.retry_after.is_some_and(|w| !w.is_zero()), "no time to come back");
            Told::Silent(refusal.verdict)
        }
        Err(refusal) => Told::Other(refusal.code),
    }
}

/// Looks `pkg` up; fails when the outcome is held back as long as the deadline.
fn look_up(parts: &LookupDeps, compare_ratio: f64) -> Told {
    let (tell, heard) = flume::bounded(1);
    let parts = parts.clone();
    let lookups = Lookups::new(16).with_compare_ratio(compare_ratio);
    thread::spawn(move || {
        let _ = tell.send(told(lookups.run(&parts, &ask(DEADLINE), "pkg", None)));
    });
    heard.recv_timeout(BOUND).expect("no outcome at once when given up")
}

struct Case {
    name: &'static str,
    replicas: Vec<Is>,
    told: Told,
    /// The only target that the router hears has failed.
    failed: Option<&'static str>,
}

fn registries() -> Vec<Case> {
    let no = ServiceFaults::default;
    let frozen = || ServiceFaults { freeze: true, ..no() };
    let unknown = || ServiceFaults { unknown: true, ..no() };
    let record = |body: &str| Told::Record(body.to_owned());
    let case = |name, replicas, told, failed| Case { name, replicas, told, failed };
    let unclear = Verdict::MayHaveRun;
    vec![
        case("first holds", vec![is(0, Some("a")), is(1, None), is(2, None)], record("a"), None),
        case("last holds", vec![is(0, None), is(1, None), is(2, Some("c"))], record("c"), None),
        case("none holds", vec![is(0, None), is(1, None), is(2, None)], Told::NotFound, None),
        case(
            "declared order decides between two",
            vec![is(0, None), is(1, Some("b")), is(2, Some("c"))],
            record("b"),
            None,
        ),
        case(
            "the only source that could still hold it cannot say",
            vec![is(0, None), is(1, None), broken(2, None, unknown())],
            Told::Silent(unclear),
            None,
        ),
        case(
            "earlier source cannot say, a later one holds",
            vec![broken(0, None, unknown()), is(1, Some("b")), is(2, None)],
            Told::Silent(unclear),
            None,
        ),
        case(
            "later source cannot say, an earlier one holds",
            vec![is(0, Some("a")), broken(1, None, unknown()), is(2, None)],
            record("a"),
            None,
        ),
        case(
            "no replica of a source",
            vec![is(0, None), is(2, Some("c"))],
            Told::Silent(unclear),
            None,
        ),
        case("no replica at all", vec![], Told::Silent(Verdict::NotRun), None),
        case(
            "replicas refuse unstarted",
            vec![broken(0, Some("a"), ServiceFaults { not_run: true, ..no() })],
            Told::Silent(Verdict::NotRun),
            None,
        ),
        case(
            "a replica cannot say, another one can",
            vec![broken(0, None, unknown()), is(0, Some("a"))],
            record("a"),
            None,
        ),
        case(
            "a replica's replies are garbled, another's are not",
            vec![broken(0, None, ServiceFaults { garbled: true, ..no() }), is(0, Some("a"))],
            record("a"),
            Some("t0"),
        ),
        case(
            "a replica is frozen, another one answers the hedge",
            vec![broken(0, None, frozen()), is(0, Some("a"))],
            record("a"),
            Some("t0"),
        ),
        case(
            "a source is frozen",
            vec![broken(0, Some("a"), frozen()), is(1, Some("b")), is(2, None)],
            Told::Silent(unclear),
            Some("t0"),
        ),
    ]
}

#[test]
fn three_registries_under_one_name() {
    // The outcomes are the same whether all sources are asked at once or not.
    for compared in [0.0, 1.0] {
        for case in registries() {
            let site = site(&SOURCES, case.replicas);
            assert_eq!(look_up(&site.parts, compared), case.told, "{}", case.name);
            let wanted: Vec<&str> = case.failed.into_iter().collect();
            let end = Instant::now() + BOUND;
            while site.router.failed() != wanted && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            assert_eq!(site.router.failed(), wanted, "failed, {}", case.name);
        }
    }
}

/// Collects the lines of the daemon's events.
struct Lines;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl log::Log for Lines {
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
fn a_contradiction_is_shown_and_the_declared_order_answers() {
    log::set_logger(&Lines).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let site = site(&SOURCES, vec![is(0, Some("a")), is(1, None), is(2, Some("c"))]);
    let lookups = Lookups::new(16).with_compare_ratio(1.0);
    let told = told(lookups.run(&site.parts, &ask(DEADLINE), "pkg", None));
    assert_eq!(told, Told::Record("a".to_owned()));
    let wanted = "E802 first=packages/first other=packages/third name=pkg";
    wait_until(wanted, || LINES.lock().iter().any(|l| l == wanted));
}

#[test]
fn replicas_that_do_not_listen_ran_nothing() {
    let mut router = FixedRouter::default();
    let closed = Closed::start().unwrap();
    let replica = Replica { target: "t0".to_owned(), addr: closed.addr() };
    router.replicas.push((format!("packages/{}", SOURCES[0]), replica));
    let site = site(&SOURCES[..1], Vec::new());
    let site =
        Site { parts: LookupDeps { router: Arc::new(router), ..site.parts.clone() }, ..site };
    assert_eq!(look_up(&site.parts, 0.0), Told::Silent(Verdict::NotRun));
}

#[test]
fn an_outage_is_not_multiplied() {
    let faults = ServiceFaults { unknown: true, ..ServiceFaults::default() };
    let site = site(&SOURCES[..1], vec![broken(0, None, faults)]);
    let lookups = Lookups::new(16);
    let (began, count) = (Instant::now(), 200);
    for _ in 0..count {
        let told = told(lookups.run(&site.parts, &ask(DEADLINE), "pkg", None));
        assert_eq!(told, Told::Silent(Verdict::MayHaveRun));
    }
    let extra = site.fakes[0].ran().lookups - count;
    // Without successes: the burst of retries and of hedges, and a trickle of each.
    let bound = 2.0 * (BURST + MIN_RATE * began.elapsed().as_secs_f64());
    assert!(extra as f64 <= bound, "{extra} extra attempts over {count} lookups");
}

#[test]
fn a_full_pool_refuses_at_once_and_truthfully() {
    let faults = ServiceFaults { freeze: true, ..ServiceFaults::default() };
    let site = site(&SOURCES[..1], vec![broken(0, Some("a"), faults)]);
    let lookups = Lookups::new(0);
    let told = told(lookups.run(&site.parts, &ask(DEADLINE), "pkg", None));
    assert_eq!(told, Told::Silent(Verdict::NotRun));
    assert_eq!(site.fakes[0].ran().lookups, 0);
}

#[test]
fn refused_before_any_source_is_asked() {
    struct Case {
        name: &'static str,
        fleets: Arc<FixedFleet>,
        limit: Duration,
        looked: &'static str,
        code: Code,
    }
    let good = || fleet(ServiceKind::Lookup, &SOURCES);
    let plain = fleet(ServiceKind::Plain, &[]);
    let case = |name, fleets, limit, looked, code| Case { name, fleets, limit, looked, code };
    let cases = [
        case("no configuration", Arc::new(FixedFleet(None)), BOUND, "pkg", Code::NoConfiguration),
        case("not a lookup service", plain, BOUND, "pkg", Code::UnknownService),
        case("deadline passed", good(), Duration::ZERO, "pkg", Code::DeadlinePassed),
        case("empty name", good(), BOUND, "", Code::BadRequest),
        case("a line break in the name", good(), BOUND, "a\r\nb", Code::BadRequest),
        case("a query in the name", good(), BOUND, "a?b", Code::BadRequest),
        case("a blank in the name", good(), BOUND, "a b", Code::BadRequest),
    ];
    let site = site(&SOURCES, vec![is(0, Some("a"))]);
    for case in cases {
        let parts = LookupDeps { fleets: case.fleets, ..site.parts.clone() };
        let refusal = Lookups::new(4).run(&parts, &ask(case.limit), case.looked, None).unwrap_err();
        assert_eq!((refusal.code, refusal.verdict), (case.code, Verdict::NotRun), "{}", case.name);
    }
    assert_eq!(site.fakes[0].ran().lookups, 0);
}

#[test]
fn a_service_without_sources_is_its_own() {
    let mut site = site(&[], vec![]);
    let records = [("card-1".to_owned(), "{}".to_owned())].into();
    let source = Source { name: "packages".to_owned(), percent: 0, records };
    let settings = ServiceSettings { sources: vec![source], ..ServiceSettings::default() };
    let fake = ServiceFake::start(settings).unwrap();
    let replica = Replica { target: "t".to_owned(), addr: fake.addr() };
    let replicas = vec![("packages".to_owned(), replica)];
    site.parts.router = Arc::new(FixedRouter { replicas, ..FixedRouter::default() });
    let lookups = Lookups::new(4);
    let found = lookups.run(&site.parts, &ask(BOUND), "card-1", None).unwrap();
    assert_eq!(found.body, b"{}");
    let missing = lookups.run(&site.parts, &ask(BOUND), "card-2", None).unwrap_err();
    assert_eq!(missing.code, Code::NotFound);
}

#[test]
fn only_a_source_s_own_word_means_missing() {
    struct Case {
        name: &'static str,
        called: CallResult<ServiceReply>,
        said: SourceReply<()>,
    }
    let reply = |status, body: &str| {
        let (content, body) = ("application/json".to_owned(), body.as_bytes().to_vec());
        Ok(ServiceReply { status, content, body, replayed: false })
    };
    let unclear = || SourceReply::Failed(Verdict::MayHaveRun);
    let case = |name, called, said| Case { name, called, said };
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
            "503 unstarted",
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
        let plain = match read_reply(case.called, "s", "n") {
            SourceReply::Found(_) => SourceReply::Found(()),
            SourceReply::Missing => SourceReply::Missing,
            SourceReply::Failed(verdict) => SourceReply::Failed(verdict),
            SourceReply::NoReplica => SourceReply::NoReplica,
        };
        assert_eq!(plain, case.said, "{}", case.name);
    }
}
