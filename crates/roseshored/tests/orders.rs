//! The order driver against fakes of the platform and the engines, with faults at each step. The
//! test runs each round itself, so that a daemon without a round is paused.

#[path = "orders/fixture.rs"]
mod fixture;

use fixture::{Daemon, Fixture, holds, order_settings, wait};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::EngineFaults;
use roseshore_fakes::platform::PlatformFaults;
use roseshore_ports::outside::{CallError, Engine, StreamItem};
use roseshored::orders::OrderSettings;

/// Settings with a lease short enough for a test to wait for its expiry.
fn short() -> OrderSettings {
    order_settings(Duration::from_secs(1))
}

/// Settings with a lease that does not expire during a test.
fn long() -> OrderSettings {
    order_settings(Duration::from_mins(10))
}

fn rounds(daemons: &mut [Daemon]) {
    for daemon in daemons {
        daemon.orders.round();
    }
}

fn declare(daemons: &[Daemon], fixture: &Fixture, version: &str) {
    for daemon in daemons {
        daemon.declare(fixture, version);
    }
}

struct Case {
    name: &'static str,
    /// Faults of the platform and of every engine, set before the change is declared.
    platform: PlatformFaults,
    engine: EngineFaults,
    /// Whether the first daemon holds the lease before the faults are set.
    held: bool,
    /// Whether the change cannot be made until the faults are cleared.
    blocked: bool,
    writers: usize,
}

fn cases() -> Vec<Case> {
    let none = PlatformFaults::default;
    let case = |name, platform| Case {
        name,
        platform,
        engine: EngineFaults::default(),
        held: false,
        blocked: false,
        writers: 1,
    };
    let lost = |count| PlatformFaults { lose_replies: count, ..none() };
    let log_out = || PlatformFaults { log_out: true, ..none() };
    let losing = EngineFaults { lose_order: true, ..EngineFaults::default() };
    vec![
        case("no fault", none()),
        Case {
            engine: losing.clone(),
            ..case("replies of orders lost after their effect", none())
        },
        case("reply of the lease record's append lost", lost(1)),
        case("replies of all lease records' appends lost", lost(u32::MAX)),
        Case { writers: 3, ..case("three writers at once", none()) },
        Case {
            writers: 2,
            engine: losing,
            ..case("two writers at once, every reply lost", lost(u32::MAX))
        },
        Case { blocked: true, ..case("log unavailable before the lease", log_out()) },
        Case { blocked: true, held: true, ..case("log unavailable under a lease", log_out()) },
        Case {
            blocked: true,
            ..case("appends unavailable", PlatformFaults { appends_out: true, ..none() })
        },
        Case {
            blocked: true,
            held: true,
            ..case("reads unavailable under a lease", PlatformFaults { reads_out: true, ..none() })
        },
        Case {
            blocked: true,
            ..case("weight store unavailable", PlatformFaults { weights_out: true, ..none() })
        },
    ]
}

#[test]
fn a_change_is_applied_once() {
    for case in cases() {
        let name = case.name;
        let fixture = Fixture::start(true);
        let mut daemons: Vec<_> =
            (0..case.writers).map(|n| fixture.daemon(&format!("h{n}"), short())).collect();
        if case.held {
            wait("the lease", || {
                rounds(&mut daemons);
                daemons[0].orders.fence().is_some()
            });
        }
        fixture.platform.faults.set(case.platform);
        fixture.engines.iter().for_each(|e| e.faults().set(case.engine.clone()));
        if case.held {
            wait("the end of the lease", || {
                rounds(&mut daemons);
                daemons[0].orders.fence().is_none()
            });
        }
        declare(&daemons, &fixture, "v2");
        if case.blocked {
            (0..20).for_each(|_| rounds(&mut daemons));
            assert!(
                fixture.all("v1") && fixture.loads().iter().all(|n| *n == 0),
                "{name}: the old version is kept"
            );
            fixture.platform.faults.clear();
        }
        wait(name, || {
            rounds(&mut daemons);
            fixture.all("v2")
        });
        (0..5).for_each(|_| rounds(&mut daemons));
        assert_eq!(fixture.loads(), [1, 1, 1, 1], "{name}: loads");
    }
}

#[test]
fn one_chain_serves_until_the_other_has_changed() {
    let fixture = Fixture::loading(true, Duration::from_millis(300));
    let mut daemons = [fixture.daemon("h0", long())];
    daemons[0].declare(&fixture, "v2");
    wait("the change", || {
        rounds(&mut daemons);
        let chain = |at: usize, v: &str| fixture.engines[at..at + 2].iter().all(|e| holds(e, v));
        let complete = [(0, "v1"), (0, "v2"), (2, "v1"), (2, "v2")];
        assert!(complete.iter().any(|(at, v)| chain(*at, v)), "no chain is complete");
        fixture.all("v2")
    });
}

struct LateOrderCase {
    name: &'static str,
    checks: bool,
}

const LATE_ORDER_CASES: &[LateOrderCase] = &[
    LateOrderCase { name: "the targets check fencing numbers", checks: true },
    LateOrderCase { name: "the targets check nothing", checks: false },
];

/// A lease holder is paused just before it sends an order. Its successor has already deployed a
/// later version when the order is sent.
#[test]
fn a_late_order_of_a_paused_holder() {
    for case in LATE_ORDER_CASES {
        let name = case.name;
        let fixture = Fixture::start(case.checks);
        let (mut first, mut second) =
            (fixture.daemon("h0", short()), fixture.daemon("h1", short()));
        first.gate.shut(true);
        first.declare(&fixture, "v2");
        wait("an order held back", || {
            first.orders.round();
            *first.gate.waiting.lock() >= 2
        });
        second.declare(&fixture, "v3");
        wait("the successor's change", || {
            second.orders.round();
            fixture.all("v3")
        });
        let successor = fixture.engines[0].holding().fence;
        let held_back = *first.gate.waiting.lock();
        first.gate.shut(false);
        wait("the late orders", || *first.gate.waiting.lock() == 0);
        let outdated =
            || fixture.engines[..2].iter().any(|e| e.holding().version.as_deref() != Some("v3"));
        if case.checks {
            // Orders are retried, so there may be more of them than targets.
            wait("a refusal of each", || *first.gate.refused.lock() == vec![412; held_back]);
            assert!(fixture.all("v3"), "{name}: nothing has changed");
            assert_eq!(fixture.engines[0].holding().fence, successor, "{name}");
        } else {
            // Without the check the targets obey and now hold the older version.
            wait("the wrong holding", || outdated() && holds(&fixture.engines[0], "v2"));
            // A router that still relies on its last reports is refused, and gets no wrong answer.
            let deadline = Instant::now() + Duration::from_secs(10);
            let opened =
                second.gate.generate(fixture.engines[0].addr(), &fixture.request("v3"), deadline);
            assert!(matches!(opened, Err(CallError::Refused(409, ..))), "{name}: {opened:?}");
        }
        wait("the holding corrected", || {
            second.orders.round();
            fixture.all("v3")
        });
        // When the first daemon continues, it finds that it holds no lease and sends nothing more.
        first.orders.round();
        assert!(first.orders.fence().is_none() && fixture.all("v3"), "{name}");
        let deadline = Instant::now() + Duration::from_secs(10);
        let stream =
            second.gate.generate(fixture.engines[0].addr(), &fixture.request("v3"), deadline);
        let items: Vec<StreamItem> = stream.expect("opens").iter().collect();
        assert!(matches!(items.last(), Some(StreamItem::Ended(Ok(())))), "{name}: {items:?}");
    }
}

#[test]
fn a_drained_holder_releases_the_lease_after_its_orders() {
    let fixture = Fixture::start(true);
    let (mut first, mut second) = (fixture.daemon("h0", long()), fixture.daemon("h1", long()));
    first.gate.shut(true);
    first.declare(&fixture, "v2");
    second.declare(&fixture, "v2");
    wait("orders held back", || {
        first.orders.round();
        *first.gate.waiting.lock() >= 2
    });
    first.drain.start();
    for _ in 0..10 {
        first.orders.round();
        second.orders.round();
        assert!(second.orders.fence().is_none(), "orders are in flight");
    }
    first.gate.shut(false);
    // The lease lasts for minutes: only its release lets the second daemon continue.
    wait("the change by the second daemon", || {
        first.orders.round();
        second.orders.round();
        second.orders.fence().is_some() && fixture.all("v2")
    });
    assert!(first.orders.fence().is_none());
    assert_eq!(fixture.loads(), [1, 1, 1, 1]);
}

#[test]
fn a_daemon_that_is_not_first_does_not_take_the_lease() {
    let fixture = Fixture::start(true);
    let mut daemons = [fixture.daemon("h0", short()), fixture.daemon("h1", short())];
    for daemon in &daemons {
        daemon.rank(&["h0", "h1"]);
    }
    declare(&daemons, &fixture, "v2");
    wait("the change", || {
        rounds(&mut daemons);
        assert!(daemons[1].orders.fence().is_none());
        fixture.all("v2")
    });
    // The first daemon is gone: the second takes over after the lease has expired.
    daemons[1].rank(&["h1"]);
    daemons[1].declare(&fixture, "v3");
    wait("the change by the second", || {
        daemons[1].orders.round();
        fixture.all("v3")
    });
}

/// Two daemons have different views of the fleet and each considers itself first.
#[test]
fn two_writers_never_hold_the_lease_together() {
    let fixture = Fixture::start(false);
    let mut daemons = [fixture.daemon("h0", short()), fixture.daemon("h1", short())];
    daemons[0].declare(&fixture, "v2");
    daemons[1].declare(&fixture, "v3");
    let mut fences = Vec::new();
    wait("several holders", || {
        // Pausing the daemons in turn lets the lease of the holder expire.
        let paused = fences.len() % 2;
        daemons[1 - paused].orders.round();
        if fences.is_empty() {
            daemons[paused].orders.round();
        }
        let before = daemons[0].orders.fence();
        let other = daemons[1].orders.fence();
        let both = before.is_some() && other.is_some() && before == daemons[0].orders.fence();
        assert!(!both, "both may order: {before:?} {other:?}");
        for fence in before.into_iter().chain(other) {
            let newest = fences.last().copied().unwrap_or(0);
            assert!(fence >= newest || fences.is_empty(), "{fence} after {newest}");
            if fences.last() != Some(&fence) {
                fences.push(fence);
            }
        }
        fences.len() >= 4
    });
}

/// A spare engine takes over layers when every engine declared for them is lost, and keeps them.
#[test]
fn a_spare_takes_lost_layers() {
    let mut fixture = Fixture::start(true);
    let mut daemons = [fixture.daemon("h0", long())];
    wait("the lease", || {
        rounds(&mut daemons);
        daemons[0].orders.fence().is_some()
    });
    fixture.engines[1].stop();
    (0..30).for_each(|_| rounds(&mut daemons));
    assert_eq!(fixture.spare.stats().orders, 0, "the other chain has these layers");
    fixture.engines[3].stop();
    wait("the spare's load", || {
        rounds(&mut daemons);
        holds(&fixture.spare, "v1") && fixture.spare.holding().layers == (2, 4)
    });
    declare(&daemons, &fixture, "v2");
    wait("the change of the spare with its model", || {
        rounds(&mut daemons);
        holds(&fixture.spare, "v2")
    });
    assert_eq!(fixture.spare.stats().loads, 2);
}
