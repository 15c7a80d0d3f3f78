//! Claims of idempotency keys by several daemons that share one log service, under faults of the log.

use parking_lot::Mutex;
use roseshore_adapters::platform::HttpPlatform;
use roseshore_core::once::{partition_of, record::MAX_BODY, stream_of};
use roseshore_core::prelude::*;
use roseshore_fakes::platform::{PlatformFake, PlatformFaults, PlatformSettings};
use roseshore_ports::inside::{
    Claim, ClaimResult, Claims, Keys, Member, MemberState, Members, OperatorDecision, Outcome,
    PeerHandler, SettleResult,
};
use roseshore_ports::outside::{CallError, CallResult, Log, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshore_wire::platform::Records;
use roseshored::claims::{ClaimGuard, ClaimsConfig, ClaimsDriver};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;

const KEY: &str = "org/plates/7781";
const CONFIG: ClaimsConfig = ClaimsConfig { partitions: 2, max_records: 1000, max_batch: 512 };
/// Time limit of calls to the log where a call that is slow, as beside load, must not pass for a
/// fault.
const SLOW_LIMIT: Duration = Duration::from_secs(30);

/// The daemons of a test, shared by their member lists and peer connections.
#[derive(Default)]
struct Daemons {
    members: Mutex<Vec<Member>>,
    drivers: Mutex<Vec<(SocketAddr, Arc<ClaimsDriver>)>>,
}

struct MemberList {
    shared: Arc<Daemons>,
    own: Member,
}

impl Members for MemberList {
    fn own(&self) -> Member {
        self.own.clone()
    }

    fn all(&self) -> Vec<Member> {
        self.shared.members.lock().clone()
    }

    fn ranked(&self, _subject: &str) -> Vec<Member> {
        self.all()
    }

    fn leaving(&self, _host: &HostId) -> bool {
        false
    }
}

struct LocalPeers(Arc<Daemons>);

impl Peers for LocalPeers {
    fn ask(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        _limit: Duration,
    ) -> CallResult<PeerReply> {
        let drivers = self.0.drivers.lock().clone();
        let peer = drivers.into_iter().find(|(at, _)| *at == addr);
        let reply = peer.and_then(|(_, driver)| driver.answer(request));
        reply.ok_or_else(|| CallError::Unreached("no such peer".into()))
    }
}

struct Cluster {
    platform: PlatformFake,
    log: Arc<HttpPlatform>,
    shared: Arc<Daemons>,
    daemons: Vec<Arc<ClaimsDriver>>,
}

impl Cluster {
    fn new(daemons: u16) -> Cluster {
        Cluster::with_limit(daemons, Duration::from_secs(2))
    }

    /// Like [`Cluster::new`], with this time limit of calls to the log.
    fn with_limit(daemons: u16, limit: Duration) -> Cluster {
        let platform = PlatformFake::start(PlatformSettings::default()).expect("a port is free");
        let log = Arc::new(HttpPlatform::new(platform.addr(), limit));
        let mut cluster = Cluster { platform, log, shared: Arc::default(), daemons: vec![] };
        (0..daemons).for_each(|host| cluster.add(host));
        cluster
    }

    /// Starts a daemon on a host; replaces the one that ran there.
    fn add(&mut self, host: u16) {
        self.add_with_log(host, self.log.clone());
    }

    /// Like [`Cluster::add`], with a daemon that reaches the log in another way.
    fn add_with_log(&mut self, host: u16, log: Arc<dyn Log>) {
        let peer = SocketAddr::from(([127, 0, 0, 1], host + 1));
        let incarnation = self.daemons.len() as u64 + 1;
        let (host, data_centre) = (format!("h{host}"), "dc".into());
        let state = MemberState::Alive;
        let own = Member { host, data_centre, peer, incarnation, state, offset: 0, digest: 0 };
        self.shared.members.lock().retain(|member| member.host != own.host);
        self.shared.members.lock().push(own.clone());
        let view = Arc::new(MemberList { shared: self.shared.clone(), own });
        let link = Arc::new(LocalPeers(self.shared.clone()));
        let driver = ClaimsDriver::start(CONFIG, log, link, view);
        let driver = Arc::new(driver.expect("threads can be started"));
        self.shared.drivers.lock().retain(|(at, _)| *at != peer);
        self.shared.drivers.lock().push((peer, driver.clone()));
        self.daemons.push(driver);
    }

    fn faults(&self, faults: PlatformFaults) {
        self.platform.faults.set(faults);
    }

    fn begin(&self, daemon: usize) -> ClaimResult {
        begin(&*self.daemons[daemon])
    }

    fn win(&self, daemon: usize) -> Claim {
        won(self.begin(daemon))
    }

    /// Settles the key by an operator's decision through daemon 1.
    fn settle(&self, ran: bool) -> String {
        let decision = OperatorDecision { operator: "op".into(), note: "looked".into(), ran };
        let deadline = Instant::now() + Duration::from_secs(20);
        match self.daemons[1].settle_by_operator(&KEY.into(), decision, deadline) {
            SettleResult::Applied(offset) => format!("taken {offset}"),
            SettleResult::Rejected(refusal) if refusal.message.contains("among the daemons") => {
                "at work".into()
            }
            SettleResult::Rejected(refusal) => refusal.code.to_string(),
            SettleResult::Unknown => "unknown".into(),
        }
    }

    /// Waits until the stream of the key holds `count` records.
    fn wait_for_records(&self, count: Offset) {
        let stream = stream_of(partition_of(&KEY.into(), CONFIG.partitions));
        let end = || self.log.read(&stream, count - 1, 1, Duration::from_millis(100));
        let limit = Instant::now() + Duration::from_secs(20);
        while end().map_or(0, |read| read.end) < count {
            assert!(Instant::now() < limit, "the log holds fewer than {count} records");
        }
    }
}

/// Daemon 0 wins the key and dispatches the work, but its outcome stays unknown.
fn lose_outcome(cluster: &Cluster) {
    let claim = cluster.win(0);
    assert!(cluster.daemons[0].dispatch(&claim));
    cluster.daemons[0].settle(&claim, Outcome::unknown());
    cluster.wait_for_records(2);
}

fn begin(claims: &dyn Claims) -> ClaimResult {
    claims.begin(&KEY.into(), 7, Instant::now() + Duration::from_secs(20))
}

fn won(begin: ClaimResult) -> Claim {
    match begin {
        ClaimResult::Won(claim) => claim,
        other => panic!("not won but {}", describe(&other)),
    }
}

fn describe(begin: &ClaimResult) -> String {
    match begin {
        ClaimResult::Won(_) => "won".into(),
        ClaimResult::Settled(outcome) => format!("settled {}", outcome.body.len()),
        ClaimResult::Refused(refusal) => format!("{} {}", refusal.code, refusal.verdict.name()),
    }
}

fn answer(size: usize) -> Outcome {
    let (content, body) = ("text/plain".into(), vec![b'a'; size]);
    Outcome { verdict: Verdict::Answered, status: 200, content, body }
}

fn run(claims: &dyn Claims, claim: &Claim, outcome: Outcome) {
    assert!(claims.dispatch(claim));
    claims.settle(claim, outcome);
}

#[test]
fn one_key_at_every_daemon_at_once() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
    }
    let cases = [
        Case { name: "no fault", faults: PlatformFaults::default() },
        Case {
            name: "replies lost",
            faults: PlatformFaults { lose_replies: 8, ..Default::default() },
        },
        Case { name: "log slow", faults: PlatformFaults { slow_ms: 100, ..Default::default() } },
    ];
    for case in cases {
        let cluster = Cluster::new(8);
        cluster.faults(case.faults);
        let work = |driver: &Arc<ClaimsDriver>| match begin(&**driver) {
            ClaimResult::Won(claim) => {
                run(&**driver, &claim, answer(3));
                "won".to_owned()
            }
            other => describe(&other),
        };
        let mut results: Vec<String> = thread::scope(|scope| {
            let twice = cluster.daemons.iter().chain(&cluster.daemons);
            let threads: Vec<_> = twice.map(|driver| scope.spawn(|| work(driver))).collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
        });
        results.sort();
        let mut expected = vec!["settled 3"; 15];
        expected.push("won");
        assert_eq!(results, expected, "{}", case.name);
    }
}

struct Scenario {
    name: &'static str,
    /// The steps before daemon 1 begins its attempt.
    before: fn(&mut Cluster),
    /// The result of daemon 1's attempt.
    expected: &'static str,
}

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "log unavailable before the claim",
        before: |cluster| cluster.faults(PlatformFaults { log_out: true, ..Default::default() }),
        expected: "RS502 may_have_run",
    },
    Scenario {
        name: "log back after an outage",
        before: |cluster| {
            cluster.faults(PlatformFaults { log_out: true, ..Default::default() });
            assert_eq!(describe(&cluster.begin(1)), "RS502 may_have_run");
            cluster.faults(PlatformFaults::default());
            // Daemon 1 takes the log for unavailable until one of its own reads succeeds.
            let claim = loop {
                if let ClaimResult::Won(claim) = cluster.begin(1) {
                    break claim;
                }
            };
            cluster.daemons[1].abandon(&claim);
        },
        expected: "won",
    },
    Scenario {
        name: "abandoned",
        before: |cluster| {
            let claim = cluster.win(0);
            cluster.daemons[0].abandon(&claim);
            assert!(!cluster.daemons[0].dispatch(&claim), "dispatched an abandoned claim");
            cluster.wait_for_records(2);
        },
        expected: "won",
    },
    Scenario {
        name: "dropped before its dispatch",
        before: |cluster| {
            drop(ClaimGuard::new(&*cluster.daemons[0], cluster.win(0)));
            cluster.wait_for_records(2);
        },
        expected: "won",
    },
    Scenario {
        name: "panic after its dispatch",
        before: |cluster| {
            let claim = cluster.win(0);
            let driver = cluster.daemons[0].clone();
            let caught = catch_unwind(AssertUnwindSafe(|| {
                let mut won = ClaimGuard::new(&*driver, claim);
                assert!(won.dispatch());
                std::panic::resume_unwind(Box::new("a fault of the caller"));
            }));
            assert!(caught.is_err());
            cluster.wait_for_records(2);
        },
        expected: "RS402 may_have_run",
    },
    Scenario {
        name: "host replaced after the dispatch",
        before: |cluster| {
            let claim = cluster.win(0);
            assert!(cluster.daemons[0].dispatch(&claim));
            cluster.add(0);
        },
        expected: "RS402 may_have_run",
    },
    Scenario {
        name: "host replaced after the outcome",
        before: |cluster| {
            run(&*cluster.daemons[0], &cluster.win(0), answer(3));
            cluster.wait_for_records(2);
            cluster.add(0);
        },
        expected: "settled 3",
    },
    Scenario {
        name: "settled by an operator",
        before: |cluster| {
            lose_outcome(cluster);
            assert_eq!(cluster.settle(true), "taken 3");
        },
        expected: "RS406 may_have_run",
    },
    Scenario {
        name: "settled by an operator as not run",
        before: |cluster| {
            lose_outcome(cluster);
            assert_eq!(cluster.settle(false), "taken 3");
            assert_eq!(cluster.settle(true), "taken 5", "the key is free again");
            assert_eq!(cluster.settle(false), "RS701", "the first word stays");
        },
        expected: "RS406 may_have_run",
    },
    Scenario {
        name: "settled while the claimant works",
        before: |cluster| {
            let claim = cluster.win(0);
            assert_eq!(cluster.settle(true), "at work");
            run(&*cluster.daemons[0], &claim, answer(3));
            assert_eq!(cluster.settle(true), "RS701", "the answer stays");
        },
        expected: "settled 3",
    },
    Scenario {
        name: "settled while the claimant may still dispatch",
        before: |cluster| {
            cluster.win(0);
            cluster.add(0);
            assert_eq!(cluster.settle(false), "RS401");
        },
        expected: "RS402 may_have_run",
    },
    Scenario {
        name: "settled while the log is unavailable",
        before: |cluster| {
            lose_outcome(cluster);
            cluster.faults(PlatformFaults { log_out: true, ..Default::default() });
            assert_eq!(cluster.settle(true), "RS502");
            cluster.faults(PlatformFaults::default());
            // Requests are still refused at once until a read succeeds after the outage.
            while cluster.settle(false) == "RS502" {}
        },
        expected: "won",
    },
    Scenario {
        name: "settled, reply lost",
        before: |cluster| {
            lose_outcome(cluster);
            cluster.faults(PlatformFaults { lose_replies: 2, ..Default::default() });
            assert!(cluster.settle(true).starts_with("taken"));
            cluster.faults(PlatformFaults::default());
        },
        expected: "RS406 may_have_run",
    },
    Scenario {
        name: "nothing to settle",
        before: |cluster| assert_eq!(cluster.settle(false), "RS702"),
        expected: "won",
    },
    Scenario {
        name: "answer too large for the log",
        before: |cluster| {
            run(&*cluster.daemons[0], &cluster.win(0), answer(MAX_BODY + 1));
            cluster.wait_for_records(2);
        },
        expected: "settled 65537",
    },
    Scenario {
        name: "answer too large, claimant replaced",
        before: |cluster| {
            run(&*cluster.daemons[0], &cluster.win(0), answer(MAX_BODY + 1));
            cluster.wait_for_records(2);
            cluster.add(0);
        },
        expected: "RS402 may_have_run",
    },
    Scenario {
        name: "log unavailable at the outcome, claimant queried",
        before: |cluster| {
            let claim = cluster.win(0);
            assert!(cluster.daemons[0].dispatch(&claim));
            let soon = || Instant::now() + Duration::from_millis(100);
            let attempt = || describe(&cluster.daemons[1].begin(&KEY.into(), 7, soon()));
            while attempt() != "RS401 may_have_run" {}
            cluster.faults(PlatformFaults { log_out: true, ..Default::default() });
            cluster.daemons[0].settle(&claim, answer(4));
        },
        expected: "settled 4",
    },
    Scenario {
        name: "trimmed after the outcome",
        before: |cluster| {
            run(&*cluster.daemons[0], &cluster.win(0), answer(3));
            cluster.wait_for_records(2);
            cluster.faults(PlatformFaults { trim_to: Some(0), ..Default::default() });
        },
        expected: "RS403 may_have_run",
    },
    Scenario {
        name: "trimmed after daemon 1 read the outcome",
        before: |cluster| {
            run(&*cluster.daemons[0], &cluster.win(0), answer(3));
            assert_eq!(describe(&cluster.begin(1)), "settled 3");
            cluster.faults(PlatformFaults { trim_to: Some(0), ..Default::default() });
        },
        expected: "settled 3",
    },
];

#[test]
fn faults_at_each_step() {
    for scenario in SCENARIOS {
        let mut cluster = Cluster::new(2);
        (scenario.before)(&mut cluster);
        assert_eq!(describe(&cluster.begin(1)), scenario.expected, "{}", scenario.name);
    }
}

#[test]
fn a_settled_key_is_in_the_log() {
    let cluster = Cluster::new(1);
    let stream = stream_of(partition_of(&KEY.into(), CONFIG.partitions));
    run(&*cluster.daemons[0], &cluster.win(0), answer(3));
    let end = cluster.log.read(&stream, 0, 9, Duration::ZERO).expect("the log answers").end;
    assert_eq!(end, 2, "claim and outcome");
}

#[test]
fn a_flush_waits_for_the_log() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
    }
    let cases = [
        Case {
            name: "refused",
            faults: PlatformFaults { appends_out: true, ..Default::default() },
        },
        Case { name: "cut", faults: PlatformFaults { log_out: true, ..Default::default() } },
        Case {
            name: "over its rate",
            faults: PlatformFaults { appends_limited: true, ..Default::default() },
        },
        Case { name: "garbled", faults: PlatformFaults { garbled: true, ..Default::default() } },
    ];
    for case in cases {
        let cluster = Cluster::new(2);
        let claim = cluster.win(0);
        cluster.faults(case.faults);
        run(&*cluster.daemons[0], &claim, answer(3));
        let early = cluster.daemons[0].flush(Duration::from_millis(100));
        assert!(!early, "{}: flushed although the log takes no records", case.name);
        cluster.faults(PlatformFaults::default());
        assert!(cluster.daemons[0].flush(Duration::from_secs(20)), "{}", case.name);
        assert_eq!(describe(&cluster.begin(1)), "settled 3", "{}", case.name);
    }
}

#[test]
fn an_evicted_answer_is_read_from_the_log() {
    let cluster = Cluster::with_limit(2, SLOW_LIMIT);
    let keys: Vec<Key> = (0..200).map(|n| format!("org/plates/{n}")).collect();
    let deadline = Instant::now() + Duration::from_mins(1);
    for key in &keys {
        let claim = won(cluster.daemons[0].begin(key, 7, deadline));
        run(&*cluster.daemons[0], &claim, answer(MAX_BODY));
    }
    assert!(cluster.daemons[0].flush(SLOW_LIMIT), "every outcome is in the log");
    for key in &keys {
        let again = cluster.daemons[1].begin(key, 7, deadline);
        assert_eq!(describe(&again), "settled 65536", "{key}");
    }
}

/// A log whose records before an offset are read with a fault.
struct FaultyLog {
    log: Arc<HttpPlatform>,
    before: Mutex<(Offset, Vec<CallError>)>,
}

impl Log for FaultyLog {
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset> {
        self.log.append(stream, records)
    }

    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records> {
        let mut before = self.before.lock();
        if from < before.0
            && let Some(fault) = before.1.pop()
        {
            return Err(fault);
        }
        drop(before);
        self.log.read(stream, from, max, wait)
    }
}

#[test]
fn faults_while_an_evicted_answer_is_read() {
    struct Case {
        name: &'static str,
        faults: Vec<CallError>,
        expected: &'static str,
    }
    let lost = || CallError::Lost("timed out".into());
    let cases = [
        Case { name: "no fault", faults: vec![], expected: "settled 65536" },
        Case { name: "one reply lost", faults: vec![lost()], expected: "settled 65536" },
        Case {
            name: "log unavailable",
            faults: (0..1000).map(|_| lost()).collect(),
            expected: "RS502 may_have_run",
        },
        Case {
            name: "trimmed",
            faults: vec![CallError::Trimmed(1, 1)],
            expected: "RS402 may_have_run",
        },
    ];
    let mut cluster = Cluster::with_limit(1, SLOW_LIMIT);
    let before = Mutex::default();
    let log = Arc::new(FaultyLog { log: cluster.log.clone(), before });
    cluster.add_with_log(1, log.clone());
    let deadline = Instant::now() + Duration::from_mins(2);
    let names = (0..).map(|n| format!("org/plates/{n}"));
    // More than a partition keeps in memory.
    let keys: Vec<Key> =
        names.filter(|key| partition_of(key, CONFIG.partitions) == 0).take(70).collect();
    for key in &keys {
        let claim = won(cluster.daemons[0].begin(key, 7, deadline));
        run(&*cluster.daemons[0], &claim, answer(MAX_BODY));
    }
    assert!(cluster.daemons[0].flush(SLOW_LIMIT), "every outcome is in the log");
    let newest = cluster.daemons[1].begin(&keys[69], 7, deadline);
    assert_eq!(describe(&newest), "settled 65536", "daemon 1 has read the log");
    for case in cases {
        *log.before.lock() = (2 * 69, case.faults);
        let again = cluster.daemons[1].begin(&keys[0], 7, deadline);
        assert_eq!(describe(&again), case.expected, "{}", case.name);
    }
}

/// A log whose larger replies do not arrive within the time limit of a read.
struct SlowLog {
    log: Arc<HttpPlatform>,
    max_bytes: usize,
}

impl Log for SlowLog {
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset> {
        self.log.append(stream, records)
    }

    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records> {
        let read = self.log.read(stream, from, max, wait)?;
        let bytes: usize = read.records.iter().map(|record| record.data.len()).sum();
        if bytes > self.max_bytes {
            return Err(CallError::Lost("timed out".into()));
        }
        Ok(read)
    }
}

#[test]
fn a_daemon_catches_up_with_more_answers_than_one_read_can_carry() {
    let mut cluster = Cluster::new(1);
    let limit = Instant::now() + Duration::from_mins(2);
    for n in 0..40 {
        let claim = won(cluster.daemons[0].begin(&format!("org/plates/{n}"), 7, limit));
        run(&*cluster.daemons[0], &claim, answer(MAX_BODY));
    }
    cluster
        .add_with_log(1, Arc::new(SlowLog { log: cluster.log.clone(), max_bytes: 3 * MAX_BODY }));
    for n in 0..40 {
        let key = format!("org/plates/{n}");
        while describe(&cluster.daemons[1].begin(&key, 7, limit)) != "settled 65536" {
            assert!(Instant::now() < limit, "{key} is still refused");
        }
    }
}
