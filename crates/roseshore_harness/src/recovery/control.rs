//! Measures events of the platform: the log's return, hosts that leave, a configuration that takes
//! effect.

use super::{Row, median, world};
use crate::caller::{Chat, RequestOptions};
use crate::fleets::{CHAT, CUSTOMER, NOTE, Shape};
use crate::process::{ProcessError, wait_until};
use crate::world::World;
use roseshore_core::config::{Kind, Object, ObjectKey};
use roseshore_core::prelude::Organisation;
use roseshore_wire::admin::Outcome;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of a log outage.
const OUTAGE: Duration = Duration::from_millis(1500);
/// How long requests continue after a host was ordered to leave.
const LOAD_PERIOD: Duration = Duration::from_millis(3500);
/// Interval between polls of an engine's statistics.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Measures recovery from a log outage and from a frozen platform, and the time of calls with the
/// same key that are sent to several hosts at once.
pub(super) fn log(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let world = world(Shape { centres: 2, ..Shape::default() }, 2)?;
    let addr = world.daemons[0].addr;
    let mut count = 0;
    let mut keyed = || {
        count += 1;
        let begun = Instant::now();
        let marks = RequestOptions::of(CUSTOMER).keyed(&format!("key-{count}"));
        let got = world.caller.call(addr, NOTE, "note", &marks);
        (got.status == 200).then(|| begun.elapsed())
    };
    let plain = median((0..10).filter_map(|_| keyed()).collect());
    let (mut out, mut frozen) = (Vec::new(), Vec::new());
    for _ in 0..repeats {
        world.fault(world.log, &json!({ "log_out": true }))?;
        wait_out_outage(&mut keyed);
        world.fault(world.log, &json!({}))?;
        out.push(time_to_accept(&mut keyed));
        world.platform.freeze();
        wait_out_outage(&mut keyed);
        world.platform.thaw();
        frozen.push(time_to_accept(&mut keyed));
    }
    let (first, again) = concurrent_calls(&world, repeats);
    let bound = "retry of reads and appends, 500 ms of patience";
    Ok(vec![
        Row::new("log service out, back: keyed work taken", bound, out).with_plain(plain),
        Row::new("platform frozen, thawed: keyed work taken", bound, frozen).with_plain(plain),
        Row::new("a key at 4 hosts at once: the last answer", "log", first).with_plain(plain),
        Row::new("its repeats at 4 hosts at once", "log read", again).with_plain(plain),
    ])
}

/// Keeps sending keyed calls during the outage, so that claims are waiting when the log returns.
fn wait_out_outage(keyed: &mut impl FnMut() -> Option<Duration>) {
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE {
        keyed();
        thread::sleep(Duration::from_millis(50));
    }
}

fn time_to_accept(keyed: &mut impl FnMut() -> Option<Duration>) -> Duration {
    let begun = Instant::now();
    wait_until(|| keyed().is_some());
    begun.elapsed()
}

/// Sends calls with the same key to every daemon at once, then repeats them. Returns the slowest
/// call of each first round and of each repeat.
fn concurrent_calls(world: &World, repeats: usize) -> (Vec<Duration>, Vec<Duration>) {
    let slowest = |key: &str| {
        let marks = RequestOptions::of(CUSTOMER).keyed(key);
        thread::scope(|scope| {
            let call = |addr| world.caller.call(addr, NOTE, "note", &marks).took;
            let calls: Vec<_> =
                world.daemons.iter().map(|d| scope.spawn(move || call(d.addr))).collect();
            let took = calls.into_iter().map(|call| call.join().unwrap_or_default());
            took.max().unwrap_or_default()
        })
    };
    (0..repeats).map(|n| (slowest(&format!("d-{n}")), slowest(&format!("d-{n}")))).unzip()
}

/// Measures how soon targets and daemons that the host list marks as leaving get no new work.
pub(super) fn leaving(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let mut world = world(Shape { chains: 2, ..Shape::default() }, 2)?;
    let mut rows = Vec::new();
    let (mut order, mut notice) = (Vec::new(), Vec::new());
    for round in 0..repeats {
        let chain = round % 2;
        let last = last_work(&world, &format!("north-{chain}-0"))?;
        order.push(last.order);
        notice.push(last.notice);
        world.list_hosts()?;
        thread::sleep(Duration::from_millis(1500));
    }
    rows.push(Row::new("target leaving: last new work after the order", LIST_BOUND, order));
    rows.push(Row::new("target leaving: after the list shows it", LIST_BOUND, notice));
    let (mut order, mut notice) = (Vec::new(), Vec::new());
    for round in 0..repeats {
        let daemon = &world.daemons[1];
        let (host, addr) = (daemon.host.clone(), daemon.addr);
        let begun = leave(&world, &host)?;
        let shown = shown(&world, &host);
        wait_until(|| world.caller.status(addr, "/readyz") != Some(200));
        order.push(begun.elapsed());
        notice.push(shown.elapsed());
        world.daemons[1] = world.start_daemon("north", &format!("north-{}", 10 + round))?;
        world.list_hosts()?;
        world.ready()?;
    }
    rows.push(Row::new("daemon leaving: not ready after the order", LIST_BOUND, order));
    rows.push(Row::new("daemon leaving: after the list shows it", LIST_BOUND, notice));
    Ok(rows)
}

const LIST_BOUND: &str = "list's lag 500 ms, its reading every 500 ms";

struct LastWork {
    order: Duration,
    notice: Duration,
}

fn leave(world: &World, host: &str) -> Result<Instant, ProcessError> {
    let begun = Instant::now();
    world.caller.post(world.log, "/_hosts/leave", &json!({ "host": host }))?;
    Ok(begun)
}

/// Waits until the host list shows the host as leaving, and returns that time.
fn shown(world: &World, host: &str) -> Instant {
    let leaving = || {
        let list = world.caller.get(world.log, "/v1/hosts").unwrap_or_default();
        let hosts = list["hosts"].as_array().cloned().unwrap_or_default();
        hosts.iter().any(|h| h["host"] == host && h["state"] == "leaving")
    };
    wait_until(leaving);
    Instant::now()
}

/// Orders a target's host to leave under load, and measures when the target got its last new work.
fn last_work(world: &World, target: &str) -> Result<LastWork, ProcessError> {
    let addr = world.addr(target).ok_or_else(|| ProcessError::NotReady(target.to_owned()))?;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for daemon in &world.daemons {
            for _ in 0..3 {
                scope.spawn(|| work_until(world, daemon.addr, &stop));
            }
        }
        let last = scope.spawn(|| last_opened(world, addr, &stop));
        thread::sleep(Duration::from_millis(300));
        let times = leave(world, &format!("host-{target}"))
            .map(|begun| (begun, shown(world, &format!("host-{target}"))));
        thread::sleep(LOAD_PERIOD);
        stop.store(true, Ordering::SeqCst);
        let last = last.join().unwrap_or_else(|_| Instant::now());
        let (begun, shown) = times?;
        let since = |at: Instant| last.saturating_duration_since(at);
        Ok(LastWork { order: since(begun), notice: since(shown) })
    })
}

fn work_until(world: &World, addr: SocketAddr, stop: &AtomicBool) {
    let mut count = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let prompt = format!("w {count}");
        let chat = Chat { service: CHAT, prompt: &prompt, tokens: 2 };
        world.caller.answer(addr, &chat, &RequestOptions::of(CUSTOMER));
    }
}

/// Polls an engine's count of opened answers until stopped; returns when it last increased.
fn last_opened(world: &World, addr: SocketAddr, stop: &AtomicBool) -> Instant {
    let (mut known, mut last) = (0, Instant::now());
    while !stop.load(Ordering::SeqCst) {
        let stats = world.caller.get(addr, "/_stats").unwrap_or_default();
        let opened = stats["opened"].as_u64().unwrap_or(known);
        if opened > known {
            (known, last) = (opened, Instant::now());
        }
        thread::sleep(POLL_INTERVAL);
    }
    last
}

/// Measures the time from a command at the first daemon until it is in force at every daemon of two
/// data centres, and until that is reported.
pub(super) fn config(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let world = world(Shape { centres: 2, ..Shape::default() }, 2)?;
    let (mut in_force, mut reported) = (Vec::new(), Vec::new());
    for round in 0..repeats {
        let customer = Organisation { share: 1.0, rate: 1.0, burst: 1.0 };
        let name = format!("customer-{round}");
        let key = ObjectKey::new(Kind::Organisation, name.as_str());
        let objects = [(key, Object::Organisation(customer))];
        let begun = Instant::now();
        let (outcome, known) = thread::scope(|scope| {
            let known = |daemon: SocketAddr| {
                wait_until(|| knows(&world, daemon, &name));
                begun.elapsed()
            };
            let polls: Vec<_> =
                world.daemons.iter().map(|d| scope.spawn(move || known(d.addr))).collect();
            let outcome = world.command(&format!("config-{round}"), &objects);
            reported.push(begun.elapsed());
            let known = polls.into_iter().map(|poll| poll.join().unwrap_or_default());
            (outcome, known.max().unwrap_or_default())
        });
        in_force.push(known);
        match outcome? {
            Outcome::Accepted { unconfirmed, .. } if unconfirmed.is_empty() => {}
            other => return Err(ProcessError::Call(format!("{other:?}"))),
        }
        thread::sleep(Duration::from_millis(100 + 37 * round as u64));
    }
    let (tail, heard) = ("append, tail of the log", "tail, then heartbeats and digests");
    Ok(vec![
        Row::new("command sent: in force at 4 daemons of 2 data centres", tail, in_force),
        Row::new("command sent: reported in force everywhere", heard, reported),
    ])
}

fn knows(world: &World, addr: SocketAddr, customer: &str) -> bool {
    let config = world.caller.get(addr, "/v1/admin/config");
    config.is_ok_and(|config| config.to_string().contains(customer))
}
