//! Configuration changes under faults, with separate processes: concurrent operators, lost replies,
//! and a data centre partitioned from the platform.

use roseshore_core::config::{Change, Command, FORMAT, Kind, Object, ObjectKey, Reason};
use roseshore_core::fleet::Organisation;
use roseshore_harness::caller::{Chat, RequestOptions};
use roseshore_harness::fleets::{self, CARDS, CHAT, CUSTOMER, NOTE, Shape};
use roseshore_harness::process::wait_until;
use roseshore_harness::world::{Plan, World};
use roseshore_wire::admin::{Outcome, Report};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread;

fn world(shape: Shape, daemons: usize, relayed: &[&str]) -> World {
    let fleet = fleets::fleet(shape);
    let relayed = relayed.iter().map(|dc| (*dc).to_owned()).collect();
    World::serving(Plan { fleet, daemons, relayed, ..Plan::default() }).expect("the system starts")
}

/// A command that creates an organisation.
fn command(operator: &str, id: &str, customer: &str, rate: f64) -> Command {
    let object = Object::Organisation(Organisation { share: 1.0, rate, burst: rate });
    let key = ObjectKey::new(Kind::Organisation, customer);
    Command {
        format: FORMAT,
        id: id.to_owned(),
        operator: operator.to_owned(),
        made_at: 0,
        changes: vec![Change { key, base: None, put: Some(object) }],
    }
}

fn submit(world: &World, to: SocketAddr, command: &Command) -> Outcome {
    let reply = world.caller.post(to, "/v1/admin/commands?wait_ms=3000", command);
    let reply = reply.expect("the daemon answers");
    serde_json::from_value::<Report>(reply).expect("a report").outcome
}

/// Polls the outcome of a command until it is known.
fn wait_outcome(world: &World, to: SocketAddr, command: &Command, first: Outcome) -> Outcome {
    let mut outcome = first;
    let known = wait_until(|| {
        if matches!(outcome, Outcome::Unknown { .. }) {
            let path = format!("/v1/admin/commands/{}", command.id);
            let report = world.caller.get(to, &path).expect("the daemon answers");
            outcome = serde_json::from_value::<Report>(report).expect("a report").outcome;
        }
        !matches!(outcome, Outcome::Unknown { .. })
    });
    assert!(known, "`{}` stays unknown", command.id);
    outcome
}

fn rate(world: &World, at: SocketAddr, customer: &str) -> Option<f64> {
    let config = world.caller.get(at, "/v1/admin/config").expect("the daemon answers");
    let objects = config["objects"].as_array().cloned().unwrap_or_default();
    let object = objects.iter().find(|o| o["key"]["id"] == customer)?;
    object["object"]["organisation"]["rate"].as_f64()
}

struct Race {
    name: &'static str,
    faults: Value,
}

#[test]
fn racing_operators_have_one_winner() {
    let world = world(Shape::default(), 2, &[]);
    let races = [
        Race { name: "no fault", faults: json!({}) },
        Race {
            name: "both replies lost",
            faults: json!({ "lose_replies": 2, "lose_stream": "config" }),
        },
        Race {
            name: "one reply lost, log slow",
            faults: json!({ "lose_replies": 1, "lose_stream": "config", "slow_ms": 50 }),
        },
    ];
    for Race { name, faults } in &races {
        let customer = name.replace([' ', ','], "-");
        let commands = ["ann", "bob"].map(|operator| {
            let rate = if operator == "ann" { 11.0 } else { 22.0 };
            command(operator, &format!("{customer}-{operator}"), &customer, rate)
        });
        world.fault(world.log, faults).expect("the platform answers");
        let outcomes = thread::scope(|scope| {
            let sent = [0, 1].map(|i| {
                let (world, command) = (&world, &commands[i]);
                scope.spawn(move || submit(world, world.daemons[i].addr, command))
            });
            sent.map(|sent| sent.join().expect("no panic"))
        });
        world.fault(world.log, &json!({})).expect("the platform answers");
        let [first, second] = outcomes;
        let ends = [(0, first), (1, second)]
            .map(|(i, it)| wait_outcome(&world, world.daemons[i].addr, &commands[i], it));
        let won = |it: &Outcome| matches!(it, Outcome::Accepted { .. });
        let winner = ends.iter().position(won).expect("one is accepted");
        let Outcome::Rejected { reason, .. } = &ends[1 - winner] else {
            panic!("{name}: the loser is told so: {ends:?}");
        };
        let Some(Reason::Conflict { winner: Some(author), .. }) = reason else {
            panic!("{name}: the loser is told what won: {reason:?}");
        };
        assert_eq!(author.operator, commands[winner].operator, "{name}");
        assert_eq!(author.command, commands[winner].id, "{name}");
        let expected = [11.0, 22.0][winner];
        for daemon in &world.daemons {
            let there = wait_until(|| rate(&world, daemon.addr, &customer) == Some(expected));
            assert!(there, "{name}: in force at `{}`", daemon.host);
        }
    }
}

#[test]
fn a_data_centre_without_the_platform_serves_on_and_rejoins() {
    let world = world(Shape { centres: 2, ..Shape::default() }, 1, &["south"]);
    let (north, south) = (world.daemons[0].addr, world.daemons[1].addr);
    let offset = || {
        let config = world.caller.get(south, "/v1/admin/config").expect("the daemon answers");
        config["offset"].as_u64().unwrap_or(0)
    };
    let marks = RequestOptions::of(CUSTOMER);
    let chat = Chat { service: CHAT, prompt: "go on alone", tokens: 12 };
    for round in 0..2 {
        let relay = &world.relays["south"];
        let before = offset();
        relay.cut();
        if round == 1 {
            // Adds a second fault at the same time: an engine exits in the middle of an answer.
            let addr = world.addr("south-0-0").expect("declared");
            world.fault(addr, &json!({ "die_after": 4 })).expect("the engine answers");
        }
        let customer = format!("meanwhile-{round}");
        let command = command("ann", &customer, &customer, 5.0);
        let outcome = submit(&world, north, &command);
        let Outcome::Accepted { in_force, .. } = &outcome else { panic!("{outcome:?}") };
        let said = in_force.iter().any(|dc| dc == "south");
        assert!(!said || rate(&world, south, &customer).is_some(), "{outcome:?} is not true");
        for _ in 0..5 {
            let got = world.caller.stream(south, &chat, &marks, |_| ());
            assert!(got.whole && got.joined() == fleets::text(&chat), "{got:?}");
            let got = world.caller.lookup(south, CARDS, "pkg-3", &marks);
            assert_eq!(got.status, 200, "{got:?}");
        }
        let key = format!("cut-{round}");
        let keyed =
            RequestOptions { deadline: Some(2_000), ..RequestOptions::of(CUSTOMER).keyed(&key) };
        let refused = world.caller.call(south, NOTE, "note", &keyed);
        assert!(refused.status >= 400 && refused.retry_after.is_some(), "{refused:?}");
        assert_eq!(world.ran(&key).expect("answers"), 0, "{refused:?}");
        relay.mend();
        let mut last = before;
        let caught = wait_until(|| {
            let now = offset();
            assert!(now >= last, "the configuration went back from {last} to {now}");
            last = now;
            rate(&world, south, &customer) == Some(5.0)
        });
        assert!(caught, "round {round}: it takes the newest configuration");
        let answered = wait_until(|| world.caller.call(south, NOTE, "note", &keyed).status == 200);
        assert!(answered, "keyed work goes on");
        assert_eq!(world.ran(&key).expect("answers"), 1);
    }
}
