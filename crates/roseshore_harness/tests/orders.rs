//! A command changes the version of a model under load, with separate processes.

use roseshore_core::config::{Change, Command, FORMAT, Kind, Object, ObjectKey};
use roseshore_fakes::engine::text::expected;
use roseshore_harness::caller::{Chat, ClientReply, RequestOptions};
use roseshore_harness::fleets::{self, CHAT, CUSTOMER, MODEL, Shape};
use roseshore_harness::process::wait_until;
use roseshore_harness::world::{Daemon, Plan, World};
use roseshore_wire::admin::{Config, Outcome, Report};
use roseshore_wire::engine::{Load, Role};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough that an answer takes more time than an order takes to reach the stages.
const TOKENS: u32 = 300;
const CALLERS: usize = 6;
/// Reads of the chains' states are comparable only if taken within this time. It is far below the
/// time between the change of one chain and that of the next.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(400);

fn chat() -> Chat<'static> {
    Chat { service: CHAT, prompt: "a long answer", tokens: TOKENS }
}

fn text(version: &str) -> String {
    let words = ["<user>", "a", "long", "answer"].map(str::to_owned);
    expected(MODEL, version, None, &words, TOKENS).concat()
}

/// Submits a command that changes the model's version, and checks that it is accepted.
fn change(world: &World, version: &str) {
    let daemon = world.daemons[0].addr;
    let config = world.caller.get(daemon, "/v1/admin/config").expect("answers");
    let config: Config = serde_json::from_value(config).expect("the configuration");
    let key = ObjectKey::new(Kind::Model, MODEL);
    let known = config.objects.into_iter().find(|o| o.key == key).expect("declared");
    let Object::Model(mut model) = known.object else { panic!("not a model") };
    version.clone_into(&mut model.version);
    let put = Some(Object::Model(model));
    let command = Command {
        format: FORMAT,
        id: format!("to-{version}"),
        operator: "harness".to_owned(),
        made_at: 0,
        changes: vec![Change { key, base: Some(known.version), put }],
    };
    let reply = world.caller.post(daemon, "/v1/admin/commands?wait_ms=10000", &command);
    let report: Report = serde_json::from_value(reply.expect("answers")).expect("a report");
    assert!(matches!(report.outcome, Outcome::Accepted { .. }), "{report:?}");
}

/// Counts of the answers that the callers received, and their stop flag.
#[derive(Default)]
struct Tally {
    stop: AtomicBool,
    old: AtomicUsize,
    /// Answers of the new version, per caller.
    new: [AtomicUsize; CALLERS],
}

impl Tally {
    fn all_new(&self) -> bool {
        self.new.iter().all(|n| n.load(Ordering::SeqCst) >= 2)
    }
}

/// Stops the callers on drop, so that they also end when a check panics.
struct StopOnDrop<'a>(&'a Tally);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// Sends requests to one daemon until stopped. Returns each reply that is not a complete answer of a
/// single version, or that has the old version after the new one.
fn send_requests(world: &World, to: SocketAddr, caller: usize, tally: &Tally) -> Vec<ClientReply> {
    let marks = RequestOptions::of(CUSTOMER);
    let mut wrong = Vec::new();
    while !tally.stop.load(Ordering::SeqCst) {
        let got = world.caller.stream(to, &chat(), &marks, |_| ());
        let new = &tally.new[caller];
        if got.whole && got.joined() == text("v2") {
            new.fetch_add(1, Ordering::SeqCst);
        } else if got.whole && got.joined() == text("v1") && new.load(Ordering::SeqCst) == 0 {
            tally.old.fetch_add(1, Ordering::SeqCst);
        } else {
            wrong.push(got);
        }
    }
    wrong
}

fn load(world: &World, target: &str) -> Load {
    let addr = world.addr(target).expect("declared");
    let load = world.caller.get(addr, "/v1/load").expect("the engine answers");
    serde_json::from_value(load).expect("a report")
}

/// The version that a chain serves; `None` if a stage is loading or lacks a role, or
/// the versions of the stages differ.
fn chain(world: &World, chain: usize) -> Option<String> {
    let stages = [0, 1].map(|stage| load(world, &format!("north-{chain}-{stage}")).holding);
    let whole = stages.iter().all(|h| !h.loading && h.role == Role::Both);
    let same = stages[0].version == stages[1].version;
    stages[0].version.clone().filter(|_| whole && same)
}

/// Whether both chains serve the new version. Checks that at least one chain serves meanwhile.
fn both_changed(world: &World) -> bool {
    let begun = Instant::now();
    let chains = [chain(world, 0), chain(world, 1)];
    let one = chains.iter().any(Option::is_some);
    assert!(one || begun.elapsed() > SNAPSHOT_LIMIT, "no chain serves");
    chains.iter().all(|c| c.as_deref() == Some("v2"))
}

struct Case {
    name: &'static str,
    /// Whether the weight store is unavailable at first, and a daemon starts meanwhile.
    held_up: bool,
}

const CASES: &[Case] = &[
    Case { name: "two chains, one after the other", held_up: false },
    Case { name: "weight store out, and a daemon that starts meanwhile", held_up: true },
];

/// Starts a daemon, which has to answer with the version that is still served.
fn join(world: &World) -> Daemon {
    let fresh = world.start_daemon("north", "north-9").expect("starts");
    let answered = wait_until(|| {
        let got = world.caller.answer(fresh.addr, &chat(), &RequestOptions::of(CUSTOMER));
        assert!(got.status != 200 || got.joined() == text("v1"), "{got:?}");
        got.status == 200
    });
    assert!(answered, "a daemon that starts meanwhile answers");
    fresh
}

#[test]
fn a_change_of_version_under_load() {
    for case in CASES {
        let fleet = fleets::fleet(Shape::default());
        let engines = vec!["--load-ms".to_owned(), "500".to_owned()];
        let plan = Plan { fleet, daemons: 2, engines, ..Plan::default() };
        let world = World::serving(plan).expect("the system starts");
        let tally = Tally::default();
        let wrong = thread::scope(|scope| {
            let senders: Vec<_> = (0..CALLERS)
                .map(|n| {
                    let (world, tally, to) = (&world, &tally, world.daemons[n % 2].addr);
                    scope.spawn(move || send_requests(world, to, n, tally))
                })
                .collect();
            let guard = StopOnDrop(&tally);
            let flowing = wait_until(|| tally.old.load(Ordering::SeqCst) >= CALLERS);
            world.fault(world.log, &json!({ "weights_out": case.held_up })).expect("switched");
            change(&world, "v2");
            let fresh = case.held_up.then(|| join(&world));
            world.fault(world.log, &json!({})).expect("switched");
            let changed = wait_until(|| both_changed(&world));
            let answered = wait_until(|| tally.all_new());
            drop((guard, fresh));
            assert!(flowing && changed && answered, "{}: {changed} {answered}", case.name);
            senders
                .into_iter()
                .flat_map(|f| f.join().expect("no panic"))
                .collect::<Vec<ClientReply>>()
        });
        assert!(wrong.is_empty(), "{}: {} wrong: {:?}", case.name, wrong.len(), wrong[0]);
    }
}
