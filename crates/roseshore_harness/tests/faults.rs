//! Guarantees under faults, with separate processes: killed, frozen, shut down in an orderly way, and
//! partitioned from the platform.

use roseshore_harness::caller::{Chat, ClientReply, RequestOptions};
use roseshore_harness::fleets::{self, CARDS, CHAT, CUSTOMER, NOTE, Shape};
use roseshore_harness::process::wait_until;
use roseshore_harness::world::{Plan, World};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The metric that counts targets that take no new work, without its value.
const LEAVING_METRIC: &str = "roseshore_events_total{event=\"E604\"}";
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);

fn world(shape: Shape, daemons: usize) -> World {
    let fleet = fleets::fleet(shape);
    World::serving(Plan { fleet, daemons, ..Plan::default() }).expect("the system starts")
}

/// Sends the same keyed call to every daemon at once.
fn call_all(world: &World, key: &str) -> Vec<ClientReply> {
    let marks = RequestOptions::of(CUSTOMER).keyed(key);
    thread::scope(|scope| {
        let calls: Vec<_> = world
            .daemons
            .iter()
            .map(|daemon| scope.spawn(|| world.caller.call(daemon.addr, NOTE, "note", &marks)))
            .collect();
        calls.into_iter().map(|call| call.join().expect("no panic")).collect()
    })
}

#[test]
fn a_key_at_all_entry_hosts_at_once_runs_once_and_repeats_get_its_answer() {
    let world = world(Shape { centres: 2, ..Shape::default() }, 2);
    for round in 0..10 {
        let key = format!("key-{round}");
        for got in call_all(&world, &key) {
            assert!(got.status == 200 || got.code.as_deref() == Some("RS401"), "{got:?}");
        }
        assert_eq!(world.ran(&key).expect("the replicas answer"), 1, "{key}");
        let again = call_all(&world, &key);
        assert!(again.iter().all(|got| got.status == 200 && got.replayed), "{again:?}");
        assert!(again.iter().all(|got| got.text == again[0].text), "{again:?}");
        assert_eq!(world.ran(&key).expect("the replicas answer"), 1, "{key}");
    }
}

#[test]
fn a_key_outlives_the_host_that_took_it() {
    let mut world = world(Shape::default(), 3);
    let marks = RequestOptions::of(CUSTOMER).keyed("first");
    let got = world.caller.call(world.daemons[0].addr, NOTE, "note", &marks);
    assert_eq!(got.status, 200, "{got:?}");
    world.daemons[0].process.kill();
    let fresh = world.start_daemon("north", "north-9").expect("starts");
    world.daemons[0] = fresh;
    world.list_hosts().expect("listed");
    world.ready().expect("ready");
    for daemon in &world.daemons {
        let again = world.caller.call(daemon.addr, NOTE, "note", &marks);
        assert!(again.status == 200 && again.replayed && again.text == got.text, "{again:?}");
    }
    assert_eq!(world.ran("first").expect("the replicas answer"), 1);
}

#[test]
fn without_the_platform_reads_go_on_and_keyed_work_is_refused_truthfully() {
    let world = world(Shape::default(), 2);
    let addr = world.daemons[0].addr;
    world.platform.freeze();
    let chat = Chat { service: CHAT, prompt: "go on", tokens: 6 };
    let marks = RequestOptions::of(CUSTOMER);
    for _ in 0..5 {
        let got = world.caller.stream(addr, &chat, &marks, |_| ());
        assert!(got.whole && got.joined() == fleets::text(&chat), "{got:?}");
        let got = world.caller.lookup(addr, CARDS, "pkg-7", &marks);
        assert_eq!(got.status, 200, "{got:?}");
    }
    let keyed =
        RequestOptions { deadline: Some(3_000), ..RequestOptions::of(CUSTOMER).keyed("out") };
    let refused = world.caller.call(addr, NOTE, "note", &keyed);
    assert!(refused.status >= 400, "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    world.platform.thaw();
    assert_eq!(world.ran("out").expect("the replicas answer"), 0, "the refused attempt never runs");
    let answered = wait_until(|| {
        let got =
            world.caller.call(addr, NOTE, "note", &RequestOptions::of(CUSTOMER).keyed("back"));
        got.status == 200
    });
    assert!(answered, "keyed work goes on with the platform");
    assert_eq!(world.ran("back").expect("the replicas answer"), 1);
}

#[test]
fn a_host_that_starts_without_the_platform_gets_its_configuration_from_peers() {
    let mut world = world(Shape::default(), 2);
    // The host list is still served, but the log is not.
    world.fault(world.log, &json!({ "log_out": true })).expect("switched");
    let fresh = world.start_daemon("north", "north-9").expect("starts");
    world.daemons.push(fresh);
    world.list_hosts().expect("listed");
    world.ready().expect("the new daemon serves by its peers' configuration");
}

#[test]
fn a_planned_stop_cuts_nothing() {
    const ROUNDS: usize = 6;
    let mut world = world(Shape { chains: 3, ..Shape::default() }, 2);
    let stop = AtomicBool::new(false);
    let whole = AtomicUsize::new(0);
    for round in 0..ROUNDS {
        let stopping = round % 2;
        let addr = world.daemons[stopping].addr;
        stop.store(false, Ordering::SeqCst);
        let cut = thread::scope(|scope| {
            let streams: Vec<_> =
                (0..8).map(|_| scope.spawn(|| stream_until(&world, addr, &stop, &whole))).collect();
            let before = whole.load(Ordering::SeqCst);
            assert!(wait_until(|| whole.load(Ordering::SeqCst) > before + 8), "under load");
            world.daemons[stopping].process.terminate();
            let gone = || world.caller.status(addr, "/readyz") != Some(200);
            assert!(wait_until(gone), "the balancer sees it leave");
            stop.store(true, Ordering::SeqCst);
            let results = streams.into_iter().map(|s| s.join().expect("no panic"));
            results.flatten().collect::<Vec<ClientReply>>()
        });
        assert!(cut.is_empty(), "round {round}: {cut:?}");
        let status =
            world.daemons[stopping].process.wait(SHUTDOWN_LIMIT).expect("it ends by itself");
        assert!(status.success(), "round {round}: {status:?}");
        let host = format!("north-{}", 10 + round);
        world.daemons[stopping] = world.start_daemon("north", &host).expect("starts");
        world.list_hosts().expect("listed");
        world.ready().expect("ready");
    }
    let chat = Chat { service: CHAT, prompt: "after all restarts", tokens: 4 };
    for daemon in &world.daemons {
        let got = world.caller.stream(daemon.addr, &chat, &RequestOptions::of(CUSTOMER), |_| ());
        assert!(got.whole && got.joined() == fleets::text(&chat), "{got:?}");
    }
}

/// Streams answers until stopped; returns those that were neither complete nor refused as `not_run`,
/// except those without any response.
fn stream_until(
    world: &World,
    addr: SocketAddr,
    stop: &AtomicBool,
    whole: &AtomicUsize,
) -> Vec<ClientReply> {
    let chat = Chat { service: CHAT, prompt: "a long answer", tokens: 40 };
    let marks = RequestOptions::of(CUSTOMER);
    let mut cut = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let got = world.caller.stream(addr, &chat, &marks, |_| ());
        if got.whole && got.joined() == fleets::text(&chat) {
            whole.fetch_add(1, Ordering::SeqCst);
        } else if got.verdict.as_deref() != Some("not_run") && got.status != 0 {
            cut.push(got);
        }
    }
    cut
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let world = world(Shape { chains: 2, ..Shape::default() }, 2);
    let marks = RequestOptions::of(CUSTOMER);
    // A repeated prompt is routed to the engine that has it cached as long as that has room. Each
    // request has its own prompt, so that only the load decides.
    let asked = AtomicUsize::new(0);
    let send = || {
        for daemon in &world.daemons {
            let prompt = format!("work-{}", asked.fetch_add(1, Ordering::Relaxed));
            let chat = Chat { service: CHAT, prompt: &prompt, tokens: 2 };
            let got = world.caller.answer(daemon.addr, &chat, &marks);
            assert_eq!(got.status, 200, "{got:?}");
        }
    };
    let opened = |target: &str| {
        let addr = world.addr(target).expect("declared");
        let stats = world.caller.get(addr, "/_stats").expect("answers");
        stats["opened"].as_u64().unwrap_or(0)
    };
    let told = |addr: SocketAddr, rounds: usize| {
        let page = world.caller.get(addr, "/metrics").unwrap_or_default();
        let lines = page.as_str().unwrap_or_default().lines();
        let mut counts =
            lines.filter_map(|l| l.strip_prefix(LEAVING_METRIC)?.trim().parse::<usize>().ok());
        counts.any(|count| count >= rounds)
    };
    for (round, target) in ["north-0-0", "north-1-0"].into_iter().enumerate() {
        let leaving = json!({ "host": format!("host-{target}") });
        world.caller.post(world.log, "/_hosts/leave", &leaving).expect("listed");
        let out = wait_until(|| world.daemons.iter().all(|d| told(d.addr, round + 1)));
        assert!(out, "no word that {target} leaves");
        let before = opened(target);
        (0..50).for_each(|_| send());
        assert_eq!(opened(target), before, "{target} got work again");
        world.list_hosts().expect("back on the list");
        let back = wait_until(|| {
            send();
            opened(target) > before
        });
        assert!(back, "{target} is not used again");
    }
}

/// Guards against losing an answer when a stage of the only remaining chain stalls for a short time and fails its
/// liveness check, while the host of the other chain is leaving.
#[test]
fn an_answer_survives_a_stall_of_the_only_remaining_chain() {
    const STALL: Duration = Duration::from_secs(1);
    let world = world(Shape { chains: 2, ..Shape::default() }, 1);
    let daemon = world.daemons[0].addr;
    let leaving = json!({ "host": "host-north-0-0" });
    world.caller.post(world.log, "/_hosts/leave", &leaving).expect("listed");
    let left =
        wait_until(|| world.caller.metric(daemon, LEAVING_METRIC).is_some_and(|count| count > 0));
    assert!(left, "the daemon did not take the leaving host out of use");
    let chat = Chat { service: CHAT, prompt: "a long answer", tokens: 400 };
    let stage = &world.targets["north-1-0"];
    let got = thread::scope(|scope| {
        world.caller.stream(daemon, &chat, &RequestOptions::of(CUSTOMER), |count| {
            if count == 5 {
                stage.freeze();
                scope.spawn(|| {
                    thread::sleep(STALL);
                    stage.thaw();
                });
            }
        })
    });
    assert!(got.whole && got.joined() == fleets::text(&chat), "{got:?}");
}

#[test]
fn a_leaving_daemon_takes_no_new_work_and_finishes_what_it_has() {
    let world = world(Shape::default(), 2);
    let daemon = &world.daemons[1];
    let marks = RequestOptions::of(CUSTOMER);
    let chat = Chat { service: CHAT, prompt: "a long answer", tokens: 400 };
    let leave = json!({ "host": daemon.host });
    let ready = || world.caller.status(daemon.addr, "/readyz") == Some(200);
    let got = world.caller.stream(daemon.addr, &chat, &marks, |count| {
        if count == 5 {
            world.caller.post(world.log, "/_hosts/leave", &leave).expect("listed");
            assert!(wait_until(|| !ready()), "the balancer sees it leave");
        }
    });
    assert!(got.whole && got.joined() == fleets::text(&chat), "{got:?}");
    let refused = world.caller.answer(daemon.addr, &chat, &marks);
    let verdict = (refused.code.as_deref(), refused.verdict.as_deref());
    assert_eq!(verdict, (Some("RS204"), Some("not_run")), "{refused:?}");
    let other = world.caller.answer(world.daemons[0].addr, &chat, &marks);
    assert_eq!(other.status, 200, "{other:?}");
    world.list_hosts().expect("the list takes it back");
    assert!(wait_until(ready), "it is used again");
}

#[test]
fn a_frozen_daemon_wakes_to_the_newest_configuration() {
    let world = world(Shape::default(), 2);
    let offset = |addr| {
        // A failed call gives no information on the configuration.
        world.caller.get(addr, "/v1/admin/config").ok()?["offset"].as_u64()
    };
    let frozen = &world.daemons[1];
    let before = offset(frozen.addr).expect("answers");
    frozen.process.freeze();
    let customer = roseshore_core::fleet::Organisation { share: 1.0, rate: 1.0, burst: 1.0 };
    let key = roseshore_core::config::ObjectKey::new(
        roseshore_core::config::Kind::Organisation,
        "late-comer",
    );
    let object = roseshore_core::config::Object::Organisation(customer);
    let outcome = world.command("while-frozen", &[(key, object)]).expect("answered");
    let accepted = format!("{outcome:?}").starts_with("Accepted");
    assert!(accepted, "{outcome:?}");
    frozen.process.thaw();
    let mut last = before;
    let caught = wait_until(|| {
        let now = offset(frozen.addr).unwrap_or(last);
        assert!(now >= last, "the configuration went back from {last} to {now}");
        last = now;
        now > before
    });
    assert!(caught, "the daemon did not catch up");
    let fleet = world.caller.get(frozen.addr, "/v1/admin/config").expect("answers");
    assert!(fleet.to_string().contains("late-comer"));
}
