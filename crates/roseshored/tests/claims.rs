//! The driver of unrepeatable work: several daemons on one log service, with its faults.

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
use roseshored::claims::{ClaimGuard, ClaimsConfig, ClaimsDriver};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;

const KEY: &str = "org/plates/7781";
const CONFIG: ClaimsConfig = ClaimsConfig { partitions: 2, max_records: 1000, max_batch: 512 };

/// The daemons of a test, as each sees the others.
#[derive(Default)]
struct Site {
    members: Mutex<Vec<Member>>,
    drivers: Mutex<Vec<(SocketAddr, Arc<ClaimsDriver>)>>,
}

struct View {
    site: Arc<Site>,
    own: Member,
}

impl Members for View {
    fn own(&self) -> Member {
        self.own.clone()
    }

    fn all(&self) -> Vec<Member> {
        self.site.members.lock().clone()
    }

    fn ranked(&self, _subject: &str) -> Vec<Member> {
        self.all()
    }

    fn leaving(&self, _host: &HostId) -> bool {
        false
    }
}

struct Link(Arc<Site>);

impl Peers for Link {
    fn ask(&self, addr: SocketAddr, ask: &PeerRequest, _limit: Duration) -> CallResult<PeerReply> {
        let drivers = self.0.drivers.lock().clone();
        let peer = drivers.into_iter().find(|(at, _)| *at == addr);
        let reply = peer.and_then(|(_, driver)| driver.answer(ask));
        reply.ok_or_else(|| CallError::Unreached("no such peer".into()))
    }
}

struct World {
    platform: PlatformFake,
    log: Arc<HttpPlatform>,
    site: Arc<Site>,
    daemons: Vec<Arc<ClaimsDriver>>,
}

impl World {
    fn new(daemons: u16) -> World {
        let platform = PlatformFake::start(PlatformSettings::default()).expect("a port is free");
        let log = Arc::new(HttpPlatform::new(platform.addr(), Duration::from_secs(2)));
        let mut world = World { platform, log, site: Arc::default(), daemons: vec![] };
        (0..daemons).for_each(|host| world.add(host));
        world
    }

    /// Adds a daemon on a host, in place of the one that was there.
    fn add(&mut self, host: u16) {
        let peer = SocketAddr::from(([127, 0, 0, 1], host + 1));
        let incarnation = self.daemons.len() as u64 + 1;
        let (host, data_centre) = (format!("h{host}"), "dc".into());
        let state = MemberState::Alive;
        let own = Member { host, data_centre, peer, incarnation, state, offset: 0, digest: 0 };
        self.site.members.lock().retain(|member| member.host != own.host);
        self.site.members.lock().push(own.clone());
        let view = Arc::new(View { site: self.site.clone(), own });
        let link = Arc::new(Link(self.site.clone()));
        let driver = ClaimsDriver::start(CONFIG, self.log.clone(), link, view);
        let driver = Arc::new(driver.expect("threads can be started"));
        self.site.drivers.lock().retain(|(at, _)| *at != peer);
        self.site.drivers.lock().push((peer, driver.clone()));
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

    /// Has an operator settle the key through daemon 1.
    fn settle(&self, ran: bool) -> String {
        let word = OperatorDecision { operator: "op".into(), note: "looked".into(), ran };
        let deadline = Instant::now() + Duration::from_secs(20);
        match self.daemons[1].settle_by_operator(&KEY.into(), word, deadline) {
            SettleResult::Applied(offset) => format!("taken {offset}"),
            SettleResult::Rejected(refusal) if refusal.message.contains("among the daemons") => {
                "at work".into()
            }
            SettleResult::Rejected(refusal) => refusal.code.to_string(),
            SettleResult::Unknown => "unknown".into(),
        }
    }

    /// Waits until the stream of the key holds so many records.
    fn records(&self, count: Offset) {
        let stream = stream_of(partition_of(&KEY.into(), CONFIG.partitions));
        let end = || self.log.read(&stream, count - 1, 1, Duration::from_millis(100));
        let limit = Instant::now() + Duration::from_secs(20);
        while end().map_or(0, |read| read.end) < count {
            assert!(Instant::now() < limit, "the log holds fewer than {count} records");
        }
    }
}

/// Daemon 0 wins the key, sends it and gets no whole reply.
fn lose_outcome(world: &World) {
    let claim = world.win(0);
    assert!(world.daemons[0].dispatch(&claim));
    world.daemons[0].settle(&claim, Outcome::unknown());
    world.records(2);
}

fn begin(claims: &dyn Claims) -> ClaimResult {
    claims.begin(&KEY.into(), 7, Instant::now() + Duration::from_secs(20))
}

fn won(begin: ClaimResult) -> Claim {
    match begin {
        ClaimResult::Won(claim) => claim,
        other => panic!("not won but {}", told(&other)),
    }
}

fn told(begin: &ClaimResult) -> String {
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
        let world = World::new(8);
        world.faults(case.faults);
        let work = |driver: &Arc<ClaimsDriver>| match begin(&**driver) {
            ClaimResult::Won(claim) => {
                run(&**driver, &claim, answer(3));
                "won".to_owned()
            }
            other => told(&other),
        };
        let mut ends: Vec<String> = thread::scope(|scope| {
            let twice = world.daemons.iter().chain(&world.daemons);
            let threads: Vec<_> = twice.map(|driver| scope.spawn(|| work(driver))).collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
        });
        ends.sort();
        let mut expected = vec!["settled 3"; 15];
        expected.push("won");
        assert_eq!(ends, expected, "{}", case.name);
    }
}

struct Story {
    name: &'static str,
    /// What daemon 0 does first.
    before: fn(&mut World),
    /// What daemon 1 is told then.
    told: &'static str,
}

const STORIES: &[Story] = &[
    Story {
        name: "log out before the claim",
        before: |world| world.faults(PlatformFaults { log_out: true, ..Default::default() }),
        told: "RS502 may_have_run",
    },
    Story {
        name: "log back after an outage",
        before: |world| {
            world.faults(PlatformFaults { log_out: true, ..Default::default() });
            assert_eq!(told(&world.begin(1)), "RS502 may_have_run");
            world.faults(PlatformFaults::default());
            // Daemon 1 believes in the outage until its own reads tell it otherwise.
            let claim = loop {
                if let ClaimResult::Won(claim) = world.begin(1) {
                    break claim;
                }
            };
            world.daemons[1].abandon(&claim);
        },
        told: "won",
    },
    Story {
        name: "given up",
        before: |world| {
            let claim = world.win(0);
            world.daemons[0].abandon(&claim);
            assert!(!world.daemons[0].dispatch(&claim), "it was given up");
            world.records(2);
        },
        told: "won",
    },
    Story {
        name: "dropped before its dispatch",
        before: |world| {
            drop(ClaimGuard::new(&*world.daemons[0], world.win(0)));
            world.records(2);
        },
        told: "won",
    },
    Story {
        name: "panic after its dispatch",
        before: |world| {
            let claim = world.win(0);
            let driver = world.daemons[0].clone();
            let caught = catch_unwind(AssertUnwindSafe(|| {
                let mut won = ClaimGuard::new(&*driver, claim);
                assert!(won.dispatch());
                std::panic::resume_unwind(Box::new("a fault of the caller"));
            }));
            assert!(caught.is_err());
            world.records(2);
        },
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the dispatch",
        before: |world| {
            let claim = world.win(0);
            assert!(world.daemons[0].dispatch(&claim));
            world.add(0);
        },
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the outcome",
        before: |world| {
            run(&*world.daemons[0], &world.win(0), answer(3));
            world.records(2);
            world.add(0);
        },
        told: "settled 3",
    },
    Story {
        name: "settled by an operator",
        before: |world| {
            lose_outcome(world);
            assert_eq!(world.settle(true), "taken 3");
        },
        told: "RS406 may_have_run",
    },
    Story {
        name: "settled by an operator as not run",
        before: |world| {
            lose_outcome(world);
            assert_eq!(world.settle(false), "taken 3");
            assert_eq!(world.settle(true), "taken 5", "the key is free again");
            assert_eq!(world.settle(false), "RS701", "the first word stays");
        },
        told: "RS406 may_have_run",
    },
    Story {
        name: "settled while the claimant works",
        before: |world| {
            let claim = world.win(0);
            assert_eq!(world.settle(true), "at work");
            run(&*world.daemons[0], &claim, answer(3));
            assert_eq!(world.settle(true), "RS701", "the answer stays");
        },
        told: "settled 3",
    },
    Story {
        name: "settled while the claimant may yet wake",
        before: |world| {
            world.win(0);
            world.add(0);
            assert_eq!(world.settle(false), "RS401");
        },
        told: "RS402 may_have_run",
    },
    Story {
        name: "settled with the log out",
        before: |world| {
            lose_outcome(world);
            world.faults(PlatformFaults { log_out: true, ..Default::default() });
            assert_eq!(world.settle(true), "RS502");
            world.faults(PlatformFaults::default());
            // The first questions after an outage are still refused at once.
            while world.settle(false) == "RS502" {}
        },
        told: "won",
    },
    Story {
        name: "settled, reply lost",
        before: |world| {
            lose_outcome(world);
            world.faults(PlatformFaults { lose_replies: 2, ..Default::default() });
            assert!(world.settle(true).starts_with("taken"));
            world.faults(PlatformFaults::default());
        },
        told: "RS406 may_have_run",
    },
    Story {
        name: "nothing to settle",
        before: |world| assert_eq!(world.settle(false), "RS702"),
        told: "won",
    },
    Story {
        name: "answer too large for the log",
        before: |world| {
            run(&*world.daemons[0], &world.win(0), answer(MAX_BODY + 1));
            world.records(2);
        },
        told: "settled 65537",
    },
    Story {
        name: "answer too large, claimant replaced",
        before: |world| {
            run(&*world.daemons[0], &world.win(0), answer(MAX_BODY + 1));
            world.records(2);
            world.add(0);
        },
        told: "RS402 may_have_run",
    },
    Story {
        name: "log out at the outcome, claimant asked",
        before: |world| {
            let claim = world.win(0);
            assert!(world.daemons[0].dispatch(&claim));
            let soon = || Instant::now() + Duration::from_millis(100);
            let ask = || told(&world.daemons[1].begin(&KEY.into(), 7, soon()));
            while ask() != "RS401 may_have_run" {}
            world.faults(PlatformFaults { log_out: true, ..Default::default() });
            world.daemons[0].settle(&claim, answer(4));
        },
        told: "settled 4",
    },
    Story {
        name: "trimmed after the outcome",
        before: |world| {
            run(&*world.daemons[0], &world.win(0), answer(3));
            world.records(2);
            world.faults(PlatformFaults { trim_to: Some(0), ..Default::default() });
        },
        told: "RS403 may_have_run",
    },
    Story {
        name: "trimmed, but followed before",
        before: |world| {
            run(&*world.daemons[0], &world.win(0), answer(3));
            assert_eq!(told(&world.begin(1)), "settled 3");
            world.faults(PlatformFaults { trim_to: Some(0), ..Default::default() });
        },
        told: "settled 3",
    },
];

#[test]
fn faults_at_each_step() {
    for story in STORIES {
        let mut world = World::new(2);
        (story.before)(&mut world);
        assert_eq!(told(&world.begin(1)), story.told, "{}", story.name);
    }
}

#[test]
fn a_settled_key_stands_in_the_log() {
    let world = World::new(1);
    let stream = stream_of(partition_of(&KEY.into(), CONFIG.partitions));
    run(&*world.daemons[0], &world.win(0), answer(3));
    let end = world.log.read(&stream, 0, 9, Duration::ZERO).expect("the log answers").end;
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
        let world = World::new(2);
        let claim = world.win(0);
        world.faults(case.faults);
        run(&*world.daemons[0], &claim, answer(3));
        let early = world.daemons[0].flush(Duration::from_millis(100));
        assert!(!early, "{}: the log tells nothing", case.name);
        world.faults(PlatformFaults::default());
        assert!(world.daemons[0].flush(Duration::from_secs(20)), "{}", case.name);
        assert_eq!(told(&world.begin(1)), "settled 3", "{}", case.name);
    }
}

#[test]
fn an_answer_that_left_memory_is_read_again() {
    let world = World::new(2);
    let keys: Vec<Key> = (0..200).map(|n| format!("org/plates/{n}")).collect();
    let deadline = Instant::now() + Duration::from_mins(1);
    for key in &keys {
        let claim = won(world.daemons[0].begin(key, 7, deadline));
        run(&*world.daemons[0], &claim, answer(MAX_BODY));
    }
    for key in &keys {
        let again = world.daemons[1].begin(key, 7, deadline);
        assert_eq!(told(&again), "settled 65536", "{key}");
    }
}
