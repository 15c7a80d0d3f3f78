//! End-to-end requests with separate processes, including stages that fail in the middle of answers.

use roseshore_harness::caller::{Chat, ClientReply, RequestOptions};
use roseshore_harness::fleets::{self, CARDS, CHAT, CUSTOMER, NOTE, Shape};
use roseshore_harness::process::wait_until;
use roseshore_harness::world::{Plan, World};
use serde_json::json;

fn world(shape: Shape, daemons: usize) -> World {
    let fleet = fleets::fleet(shape);
    World::serving(Plan { fleet, daemons, ..Plan::default() }).expect("the system starts")
}

#[test]
fn a_request_of_each_kind_is_served() {
    let world = world(Shape { centres: 2, ..Shape::default() }, 2);
    let marks = RequestOptions::of(CUSTOMER);
    for daemon in &world.daemons {
        let chat = Chat { service: CHAT, prompt: "one two three", tokens: 12 };
        let got = world.caller.stream(daemon.addr, &chat, &marks, |_| ());
        assert!(got.whole, "{got:?}");
        assert_eq!(got.joined(), fleets::text(&chat));
        let got = world.caller.answer(daemon.addr, &chat, &marks);
        assert_eq!((got.status, got.joined()), (200, fleets::text(&chat)));
        let got = world.caller.lookup(daemon.addr, CARDS, "pkg-1", &marks);
        assert_eq!(got.status, 200, "{got:?}");
        let got = world.caller.lookup(daemon.addr, CARDS, "no-such-name", &marks);
        assert_eq!((got.status, got.code.as_deref()), (404, Some("RS601")), "{got:?}");
        let got = world.caller.call(daemon.addr, NOTE, "text", &marks);
        assert_eq!(got.status, 200, "{got:?}");
    }
}

/// How a stage fails after a number of tokens.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Killed,
    Frozen,
    Cut,
}

struct Case {
    name: &'static str,
    loss: Loss,
    /// The stages of the chain that the fault is injected into.
    stages: &'static [usize],
    after: u32,
}

const CASES: &[Case] = &[
    Case { name: "first stage killed", loss: Loss::Killed, stages: &[0], after: 5 },
    Case { name: "middle stage killed", loss: Loss::Killed, stages: &[1], after: 5 },
    Case { name: "last stage killed", loss: Loss::Killed, stages: &[2], after: 5 },
    Case { name: "killed before the first token", loss: Loss::Killed, stages: &[1], after: 0 },
    Case { name: "killed before the last token", loss: Loss::Killed, stages: &[1], after: 19 },
    Case { name: "first stage frozen", loss: Loss::Frozen, stages: &[0], after: 5 },
    Case { name: "middle stage frozen", loss: Loss::Frozen, stages: &[1], after: 5 },
    Case { name: "last stage frozen", loss: Loss::Frozen, stages: &[2], after: 5 },
    Case { name: "stream cut", loss: Loss::Cut, stages: &[0], after: 5 },
    Case { name: "two stages killed", loss: Loss::Killed, stages: &[0, 2], after: 5 },
];

/// Injects the fault into every chain but the slowest, which is the last choice for an answer.
fn inject_fault(world: &World, case: &Case, chains: usize) {
    let faults = match case.loss {
        Loss::Killed => json!({ "die_after": case.after }),
        Loss::Frozen => json!({ "freeze_after": case.after }),
        Loss::Cut => json!({ "cut_after": case.after }),
    };
    for chain in 0..chains - 1 {
        for stage in case.stages {
            let addr = world.addr(&format!("north-{chain}-{stage}")).expect("declared");
            world.fault(addr, &faults).expect("the engine answers");
        }
    }
}

#[test]
fn an_answer_outlives_its_stages() {
    const CHAINS: usize = 3;
    for case in CASES {
        let shape = Shape { chains: CHAINS, stages: 3, mixed: true, ..Shape::default() };
        let world = world(shape, 1);
        inject_fault(&world, case, CHAINS);
        let addr = world.daemons[0].addr;
        let marks = RequestOptions::of(CUSTOMER);
        let mut resumed = false;
        // Requests are sent until the fault has hit an answer; every answer must be complete.
        let met = wait_until(|| {
            let chat = Chat { service: CHAT, prompt: "a b c d", tokens: 20 };
            let got = world.caller.stream(addr, &chat, &marks, |_| ());
            assert!(got.whole, "{}: {got:?}", case.name);
            assert_eq!(got.joined(), fleets::text(&chat), "{}", case.name);
            resumed |= resumed_once(&world, &got);
            resumed
        });
        assert!(met, "{}: no answer met the fault", case.name);
    }
}

fn resumed_once(world: &World, got: &ClientReply) -> bool {
    let id = got.request.clone().unwrap_or_default();
    let fate = world.caller.get(world.daemons[0].addr, &format!("/v1/requests/{id}"));
    fate.is_ok_and(|fate| fate["resumed"].as_u64().unwrap_or(0) > 0)
}

#[test]
fn a_data_centre_whose_engines_are_lost_is_served_by_another() {
    let mut world = world(Shape { centres: 2, ..Shape::default() }, 1);
    let north = world.daemons.iter().find(|d| d.data_centre == "north").expect("started").addr;
    for (id, process) in &mut world.targets {
        if id.starts_with("north-0") || id.starts_with("north-1") {
            process.kill();
        }
    }
    let chat = Chat { service: CHAT, prompt: "from afar", tokens: 8 };
    let marks = RequestOptions::of(CUSTOMER);
    let served = wait_until(|| {
        let got = world.caller.stream(north, &chat, &marks, |_| ());
        assert!(!got.whole || got.joined() == fleets::text(&chat), "{got:?}");
        got.whole
    });
    assert!(served, "no answer over the other data centre's engines");
}
