//! The driver of orders against the platform's and the engines' stand-ins, with faults at each
//! step. Rounds are run by hand, so that a daemon that is not given one is paused.

#[path = "orders/bed.rs"]
mod bed;

use bed::{Bed, Daemon, holds, times, wait};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::EngineFaults;
use roseshore_fakes::platform::PlatformFaults;
use roseshore_ports::outside::{CallError, Engine, StreamItem};
use roseshored::orders::OrderSettings;

/// A lease short enough for tests to wait for its end.
fn short() -> OrderSettings {
    times(Duration::from_secs(1))
}

/// A lease that does not end by itself in a test.
fn long() -> OrderSettings {
    times(Duration::from_mins(10))
}

fn rounds(daemons: &mut [Daemon]) {
    for daemon in daemons {
        daemon.orders.round();
    }
}

fn declare(daemons: &[Daemon], bed: &Bed, version: &str) {
    for daemon in daemons {
        daemon.declare(bed, version);
    }
}

struct Case {
    name: &'static str,
    /// Faults of the platform and of every engine from the time of the change on.
    platform: PlatformFaults,
    engine: EngineFaults,
    /// Whether the first daemon held the lease before the faults.
    held: bool,
    /// Whether the change has to wait for the end of the faults.
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
        Case { blocked: true, ..case("log out before the lease", log_out()) },
        Case { blocked: true, held: true, ..case("log out under a lease", log_out()) },
        Case {
            blocked: true,
            ..case("appends out", PlatformFaults { appends_out: true, ..none() })
        },
        Case {
            blocked: true,
            held: true,
            ..case("reads out under a lease", PlatformFaults { reads_out: true, ..none() })
        },
        Case {
            blocked: true,
            ..case("weight store out", PlatformFaults { weights_out: true, ..none() })
        },
    ]
}

#[test]
fn a_change_is_brought_about_once() {
    for case in cases() {
        let name = case.name;
        let bed = Bed::start(true);
        let mut daemons: Vec<_> =
            (0..case.writers).map(|n| bed.daemon(&format!("h{n}"), short())).collect();
        if case.held {
            wait("the lease", || {
                rounds(&mut daemons);
                daemons[0].orders.fence().is_some()
            });
        }
        bed.platform.faults.set(case.platform);
        bed.engines.iter().for_each(|e| e.faults().set(case.engine.clone()));
        if case.held {
            wait("the end of the lease", || {
                rounds(&mut daemons);
                daemons[0].orders.fence().is_none()
            });
        }
        declare(&daemons, &bed, "v2");
        if case.blocked {
            (0..20).for_each(|_| rounds(&mut daemons));
            assert!(bed.all("v1") && bed.loads().iter().all(|n| *n == 0), "{name}: it is kept");
            bed.platform.faults.clear();
        }
        wait(name, || {
            rounds(&mut daemons);
            bed.all("v2")
        });
        (0..5).for_each(|_| rounds(&mut daemons));
        assert_eq!(bed.loads(), [1, 1, 1, 1], "{name}: loads");
    }
}

#[test]
fn one_chain_serves_until_the_other_has_changed() {
    let bed = Bed::loading(true, Duration::from_millis(300));
    let mut daemons = [bed.daemon("h0", long())];
    daemons[0].declare(&bed, "v2");
    wait("the change", || {
        rounds(&mut daemons);
        let chain = |at: usize, v: &str| bed.engines[at..at + 2].iter().all(|e| holds(e, v));
        let whole = [(0, "v1"), (0, "v2"), (2, "v1"), (2, "v2")];
        assert!(whole.iter().any(|(at, v)| chain(*at, v)), "no chain is whole");
        bed.all("v2")
    });
}

struct Late {
    name: &'static str,
    checks: bool,
}

const LATE: &[Late] = &[
    Late { name: "the targets check fencing numbers", checks: true },
    Late { name: "the targets check nothing", checks: false },
];

/// A holder is paused with its order in hand; its successor has brought about a later version when
/// the order goes out.
#[test]
fn a_late_order_of_a_paused_holder() {
    for case in LATE {
        let name = case.name;
        let bed = Bed::start(case.checks);
        let (mut first, mut second) = (bed.daemon("h0", short()), bed.daemon("h1", short()));
        first.gate.shut(true);
        first.declare(&bed, "v2");
        wait("an order in hand", || {
            first.orders.round();
            *first.gate.waiting.lock() >= 2
        });
        second.declare(&bed, "v3");
        wait("the successor's change", || {
            second.orders.round();
            bed.all("v3")
        });
        let successor = bed.engines[0].holding().fence;
        let hand = *first.gate.waiting.lock();
        first.gate.shut(false);
        wait("the late orders", || *first.gate.waiting.lock() == 0);
        let late = || bed.engines[..2].iter().any(|e| e.holding().version.as_deref() != Some("v3"));
        if case.checks {
            // Orders are repeated, so that there may be more of them than targets.
            wait("a refusal of each", || *first.gate.refused.lock() == vec![412; hand]);
            assert!(bed.all("v3"), "{name}: nothing has changed");
            assert_eq!(bed.engines[0].holding().fence, successor, "{name}");
        } else {
            // The harm: the targets obey, and hold the older version now.
            wait("the wrong holding", || late() && holds(&bed.engines[0], "v2"));
            // A router that still trusts its last reports is refused, and gets no wrong answer.
            let deadline = Instant::now() + Duration::from_secs(10);
            let opened = second.gate.generate(bed.engines[0].addr(), &bed.ask("v3"), deadline);
            assert!(matches!(opened, Err(CallError::Refused(409, ..))), "{name}: {opened:?}");
        }
        wait("the holding put right", || {
            second.orders.round();
            bed.all("v3")
        });
        // What the first daemon finds when it goes on: it holds no lease, and does no more harm.
        first.orders.round();
        assert!(first.orders.fence().is_none() && bed.all("v3"), "{name}");
        let deadline = Instant::now() + Duration::from_secs(10);
        let stream = second.gate.generate(bed.engines[0].addr(), &bed.ask("v3"), deadline);
        let items: Vec<StreamItem> = stream.expect("opens").iter().collect();
        assert!(matches!(items.last(), Some(StreamItem::Ended(Ok(())))), "{name}: {items:?}");
    }
}

#[test]
fn a_drained_holder_gives_way_once_its_orders_have_landed() {
    let bed = Bed::start(true);
    let (mut first, mut second) = (bed.daemon("h0", long()), bed.daemon("h1", long()));
    first.gate.shut(true);
    first.declare(&bed, "v2");
    second.declare(&bed, "v2");
    wait("orders in hand", || {
        first.orders.round();
        *first.gate.waiting.lock() >= 2
    });
    first.drain.start();
    for _ in 0..10 {
        first.orders.round();
        second.orders.round();
        assert!(second.orders.fence().is_none(), "orders are under way");
    }
    first.gate.shut(false);
    // The lease runs for minutes: only its release lets the second daemon go on.
    wait("the change by the second daemon", || {
        first.orders.round();
        second.orders.round();
        second.orders.fence().is_some() && bed.all("v2")
    });
    assert!(first.orders.fence().is_none());
    assert_eq!(bed.loads(), [1, 1, 1, 1]);
}

#[test]
fn a_daemon_that_is_not_first_leaves_the_lease_alone() {
    let bed = Bed::start(true);
    let mut daemons = [bed.daemon("h0", short()), bed.daemon("h1", short())];
    for daemon in &daemons {
        daemon.rank(&["h0", "h1"]);
    }
    declare(&daemons, &bed, "v2");
    wait("the change", || {
        rounds(&mut daemons);
        assert!(daemons[1].orders.fence().is_none());
        bed.all("v2")
    });
    // The first is gone: the second takes over after the lease has run out.
    daemons[1].rank(&["h1"]);
    daemons[1].declare(&bed, "v3");
    wait("the change by the second", || {
        daemons[1].orders.round();
        bed.all("v3")
    });
}

/// Two daemons with different views of the fleet both believe that they are first.
#[test]
fn two_writers_never_hold_the_lease_together() {
    let bed = Bed::start(false);
    let mut daemons = [bed.daemon("h0", short()), bed.daemon("h1", short())];
    daemons[0].declare(&bed, "v2");
    daemons[1].declare(&bed, "v3");
    let mut fences = Vec::new();
    wait("several holders", || {
        // A holder that is paused now and then lets its lease run out.
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

/// A spare engine takes the layers of which every declared engine is lost, and keeps to them.
#[test]
fn a_spare_takes_lost_layers() {
    let mut bed = Bed::start(true);
    let mut daemons = [bed.daemon("h0", long())];
    wait("the lease", || {
        rounds(&mut daemons);
        daemons[0].orders.fence().is_some()
    });
    bed.engines[1].stop();
    (0..30).for_each(|_| rounds(&mut daemons));
    assert_eq!(bed.spare.stats().orders, 0, "the other chain has these layers");
    bed.engines[3].stop();
    wait("the spare's load", || {
        rounds(&mut daemons);
        holds(&bed.spare, "v1") && bed.spare.holding().layers == (2, 4)
    });
    declare(&daemons, &bed, "v2");
    wait("the change of the spare with its model", || {
        rounds(&mut daemons);
        holds(&bed.spare, "v2")
    });
    assert_eq!(bed.spare.stats().loads, 2);
}
