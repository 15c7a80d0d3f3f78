//! A model's version is changed by a command while answers flow, with separate processes.

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

/// So many that an answer outlasts the way of an order to its stages.
const TOKENS: u32 = 300;
const CALLERS: usize = 6;
/// Two looks at targets that are further apart say nothing together; far below the time between
/// the change of one chain and that of the next.
const ONE_LOOK: Duration = Duration::from_millis(400);

fn chat() -> Chat<'static> {
    Chat { service: CHAT, prompt: "a long answer", tokens: TOKENS }
}

fn text(version: &str) -> String {
    let words = ["<user>", "a", "long", "answer"].map(str::to_owned);
    expected(MODEL, version, None, &words, TOKENS).concat()
}

/// Puts a version of the model in force by a command.
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

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    stop: AtomicBool,
    old: AtomicUsize,
    /// Answers of the new version, by caller.
    new: [AtomicUsize; CALLERS],
}

impl Seen {
    fn all_new(&self) -> bool {
        self.new.iter().all(|n| n.load(Ordering::SeqCst) >= 2)
    }
}

/// Ends the flows, also when a look at the system fails.
struct Flowing<'a>(&'a Seen);

impl Drop for Flowing<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// Asks one daemon again and again; returns what was not a whole answer of one version, in order.
fn flow(world: &World, to: SocketAddr, caller: usize, seen: &Seen) -> Vec<ClientReply> {
    let marks = RequestOptions::of(CUSTOMER);
    let mut wrong = Vec::new();
    while !seen.stop.load(Ordering::SeqCst) {
        let got = world.caller.stream(to, &chat(), &marks, |_| ());
        let new = &seen.new[caller];
        if got.whole && got.joined() == text("v2") {
            new.fetch_add(1, Ordering::SeqCst);
        } else if got.whole && got.joined() == text("v1") && new.load(Ordering::SeqCst) == 0 {
            seen.old.fetch_add(1, Ordering::SeqCst);
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

/// The version that a chain serves, if it is whole.
fn chain(world: &World, chain: usize) -> Option<String> {
    let stages = [0, 1].map(|stage| load(world, &format!("north-{chain}-{stage}")).holding);
    let whole = stages.iter().all(|h| !h.loading && h.role == Role::Both);
    let same = stages[0].version == stages[1].version;
    stages[0].version.clone().filter(|_| whole && same)
}

/// Looks at both chains; whether both serve the new version.
fn look(world: &World) -> bool {
    let begun = Instant::now();
    let chains = [chain(world, 0), chain(world, 1)];
    let one = chains.iter().any(Option::is_some);
    assert!(one || begun.elapsed() > ONE_LOOK, "no chain serves");
    chains.iter().all(|c| c.as_deref() == Some("v2"))
}

struct Case {
    name: &'static str,
    /// Whether the weight store is out at first, and a daemon joins meanwhile.
    held_up: bool,
}

const CASES: &[Case] = &[
    Case { name: "two chains, one after the other", held_up: false },
    Case { name: "weight store out, and a daemon that starts meanwhile", held_up: true },
];

/// The daemon that joins answers with the version that still serves.
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
        let seen = Seen::default();
        let wrong = thread::scope(|scope| {
            let flows: Vec<_> = (0..CALLERS)
                .map(|n| {
                    let (world, seen, to) = (&world, &seen, world.daemons[n % 2].addr);
                    scope.spawn(move || flow(world, to, n, seen))
                })
                .collect();
            let guard = Flowing(&seen);
            let flowing = wait_until(|| seen.old.load(Ordering::SeqCst) >= CALLERS);
            world.fault(world.log, &json!({ "weights_out": case.held_up })).expect("switched");
            change(&world, "v2");
            let fresh = case.held_up.then(|| join(&world));
            world.fault(world.log, &json!({})).expect("switched");
            let changed = wait_until(|| look(&world));
            let answered = wait_until(|| seen.all_new());
            drop((guard, fresh));
            assert!(flowing && changed && answered, "{}: {changed} {answered}", case.name);
            flows
                .into_iter()
                .flat_map(|f| f.join().expect("no panic"))
                .collect::<Vec<ClientReply>>()
        });
        assert!(wrong.is_empty(), "{}: {} wrong: {:?}", case.name, wrong.len(), wrong[0]);
    }
}
