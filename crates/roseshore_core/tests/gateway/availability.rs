//! Availability that targets report about themselves.

use roseshore_core::gateway::peers::target_hash;
use roseshore_core::gateway::targets::Absence;
use roseshore_core::gateway::{TargetRecord, Targets};
use roseshore_core::prelude::*;

fn record(id: &str, life: u64) -> TargetRecord {
    TargetRecord {
        id: id.to_owned(),
        life,
        service: "plain".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 6,
        draining: false,
        kind: None,
        holding: None,
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An event at target `a` in its first incarnation, and the time from which it may be used; `None`
/// for never.
struct Case {
    name: &'static str,
    happens: fn(&mut Targets, Instant),
    used: Option<Duration>,
}

fn first() -> u32 {
    target_hash("a", 1)
}

fn cases() -> Vec<Case> {
    let case = |name, happens, used| Case { name, happens, used };
    vec![
        case("nothing", |_, _| (), Some(ms(0))),
        case("paused", |t, now| _ = t.pause(first(), ms(3_000), now), Some(ms(3_000))),
        case("a pause of no time", |t, now| _ = t.pause(first(), ms(0), now), Some(ms(0))),
        case(
            "a shorter pause after a longer one",
            |t, now| {
                assert_eq!(t.pause(first(), ms(3_000), now), Some(ms(3_000)));
                assert_eq!(t.pause(first(), ms(500), now + ms(100)), None);
            },
            Some(ms(3_000)),
        ),
        case(
            "a pause of a day",
            |t, now| {
                let day = Duration::from_hours(24);
                assert_eq!(t.pause(first(), day, now), Some(Duration::from_hours(1)));
            },
            Some(Duration::from_hours(1)),
        ),
        case(
            "an older response completes",
            |t, now| {
                t.record_failure("a", now);
                t.pause(first(), ms(3_000), now);
                t.record_success("a", now + ms(400));
            },
            Some(ms(3_000)),
        ),
        case(
            "removed and listed again",
            |t, now| {
                t.pause(first(), ms(3_000), now);
                t.remove("a", Absence::Left);
                t.upsert(record("a", 1));
            },
            Some(ms(3_000)),
        ),
        case(
            "another incarnation",
            |t, now| {
                t.pause(first(), ms(3_000), now);
                t.mark_leaving(first(), now);
                t.upsert(record("a", 2));
            },
            Some(ms(0)),
        ),
        case(
            "leaves",
            |t, now| {
                assert!(t.mark_leaving(first(), now));
                assert!(!t.mark_leaving(first(), now), "already known to leave");
            },
            None,
        ),
        case(
            "leaves, removed and listed again",
            |t, now| {
                t.mark_leaving(first(), now);
                t.remove("a", Absence::Left);
                t.tick(now + ms(30_000));
                t.upsert(record("a", 1));
            },
            None,
        ),
        case(
            "leaves before it is listed",
            |t, now| {
                t.remove("a", Absence::Left);
                t.mark_leaving(first(), now);
                t.upsert(record("a", 1));
            },
            None,
        ),
    ]
}

#[test]
fn a_targets_own_statement_decides_when_it_is_used() {
    let now = Instant::now();
    for case in cases() {
        let mut targets = Targets::default();
        targets.upsert(record("a", 1));
        (case.happens)(&mut targets, now);
        let used = |at: Duration| targets.choose_plain("plain", "north", &[], now + at).is_some();
        let late = Duration::from_hours(30);
        match case.used {
            None => assert!(!used(ms(0)) && !used(late), "{}", case.name),
            Some(from) => {
                assert!(from.is_zero() || !used(from.saturating_sub(ms(1))), "{}", case.name);
                assert!(used(from) && used(late), "{}", case.name);
            }
        }
    }
}

#[test]
fn pause_ends_are_listed_and_statements_of_unknown_targets_expire() {
    let now = Instant::now();
    let mut targets = Targets::default();
    for id in ["a", "b", "c"] {
        targets.upsert(record(id, 1));
    }
    assert_eq!(targets.pause_ends("plain", now), []);
    targets.pause(first(), ms(3_000), now);
    targets.pause(target_hash("b", 1), ms(800), now);
    assert_eq!(targets.pause_ends("plain", now + ms(300)), [now + ms(3_000), now + ms(800)]);
    assert_eq!(targets.pause_ends("other", now), []);
    assert_eq!(targets.pause_ends("plain", now + ms(3_000)), []);
    targets.mark_leaving(target_hash("c", 1), now);
    targets.remove("c", Absence::Left);
    targets.tick(now + Duration::from_mins(2));
    targets.upsert(record("c", 1));
    let accepts = targets.get("c").expect("listed").accepts_work(now + Duration::from_mins(2));
    assert!(accepts, "the statement of a target that was gone for so long is not kept");
}

/// Requests that one host sends to an engine during the three seconds for which it asked for a
/// pause, at fifteen new streams a second and with one of sixteen older responses ending every
/// tenth of a second.
fn sent_during_pause(honoured: bool) -> u32 {
    let start = Instant::now();
    let mut targets = Targets::default();
    targets.upsert(record("a", 1));
    let mut sent = 0;
    for step in 0..300_u64 {
        let now = start + ms(10 * step);
        if step % 10 == 0 && step < 160 {
            targets.record_success("a", now);
        }
        let usable = targets.get("a").is_some_and(|t| t.accepts_work(now) && t.is_healthy(now));
        if step % 7 == 0 && usable {
            sent += u32::from(now > start + ms(500));
            targets.record_failure("a", now);
            if honoured {
                targets.pause(first(), ms(3_000), now);
            }
        }
    }
    sent
}

/// Operators tolerate two requests during the pause. Without the pause, successful older responses
/// clear the engine's failures, and 7 requests are sent; with it, none.
#[test]
fn an_engine_gets_no_requests_during_its_pause() {
    assert!(sent_during_pause(false) > 2);
    assert_eq!(sent_during_pause(true), 0);
}
