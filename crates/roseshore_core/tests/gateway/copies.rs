//! When a host asks another for a copy of what it has read.

use proptest::prelude::*;
use roseshore_core::gateway::Copies;
use roseshore_core::gateway::Position;
use roseshore_core::gateway::copies::{COPY_TIMEOUT, CopyOutcome, Extent};
use roseshore_core::gateway::targets::Absence;
use roseshore_core::gateway::{TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// A place in the store's first era.
fn at(next: Offset) -> Position {
    Position { era: 0, next }
}

/// What happened to the copy that was asked for at first, and when the next may be asked for.
struct Case {
    name: &'static str,
    outcome: CopyOutcome,
    /// After so many milliseconds another may be asked for, and not a little before.
    after: u64,
}

#[test]
fn one_copy_at_a_time_and_the_store_after_a_failure() {
    let cases = [
        Case { name: "it came", outcome: CopyOutcome::Received, after: 0 },
        Case { name: "it failed", outcome: CopyOutcome::Failed, after: 1_000 },
        Case { name: "turned away", outcome: CopyOutcome::Refused, after: 60 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut copies = Copies::default();
        assert_eq!(copies.start(now), Some(now + COPY_TIMEOUT), "{}", case.name);
        assert!(copies.in_progress() && copies.start(now).is_none(), "{}", case.name);
        copies.finish(case.outcome, now);
        let expected = case.outcome == CopyOutcome::Refused;
        assert_eq!(copies.expected(now), expected, "{}", case.name);
        let due = now + Duration::from_millis(case.after);
        if case.after > 0 {
            let before = now + Duration::from_millis(case.after - 1);
            assert_eq!(copies.start(before), None, "{}", case.name);
        }
        assert!(copies.start(due).is_some(), "{}", case.name);
    }
}

/// Copies that are asked for at these times (ms) and of these sizes, and whether they are given.
struct Gifts {
    name: &'static str,
    asked: &'static [(u64, usize, bool)],
}

#[test]
fn a_host_gives_so_much_in_a_moment() {
    let cases = [
        Gifts {
            name: "small ones until it is enough",
            asked: &[(0, 90_000, true), (1, 90_000, true), (2, 90_000, false), (3, 10_000, true)],
        },
        Gifts { name: "a large one first", asked: &[(0, 400_000, true), (10, 1_000, false)] },
        Gifts {
            name: "the next moment",
            asked: &[(0, 150_000, true), (199, 150_000, false), (200, 150_000, true)],
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut copies = Copies::default();
        for (at, bytes, given) in case.asked {
            let now = begun + Duration::from_millis(*at);
            assert_eq!(copies.take_budget(*bytes, now), *given, "{} at {at}", case.name);
        }
    }
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7000))
}

/// When the last of sixty hosts has a copy of so many bytes that three have at first, ms; the three
/// are the only ones that the others hear. Links carry 20 Mbit/s.
fn spread(bytes: usize, sent_on: bool) -> u64 {
    const HOSTS: usize = 60;
    let begun = Instant::now();
    let extent = Extent { config: 2, list: at(9) };
    let mut copies = vec![Copies::default(); HOSTS];
    // When each has it, and whom it asks next, and when.
    let mut has: Vec<Option<u64>> = (0..HOSTS).map(|n| (n < 3).then_some(0)).collect();
    let mut asks: Vec<(u64, usize)> = (0..HOSTS).map(|n| (0, n % 3)).collect();
    let way = (bytes * 8 / 20_000) as u64 + 1;
    for at in 0..60_000 {
        let now = begun + Duration::from_millis(at);
        for n in 0..HOSTS {
            let (due, from) = asks[n];
            if has[n].is_some() || due > at {
                continue;
            }
            let known = has[from].is_some_and(|since| since <= at);
            if known && copies[from].take_budget(bytes, now) {
                copies[from].record_recipient(addr(n), extent);
                has[n] = Some(at + way);
                continue;
            }
            let other = copies[from].redirect(extent, addr(n)).filter(|_| known && sent_on);
            let other = other.and_then(|owner| (0..HOSTS).find(|n| addr(*n) == owner));
            asks[n] = other.map_or((at + 60, n % 3), |owner| (at + 2, owner));
        }
        if has.iter().all(|since| since.is_some_and(|since| since <= at)) {
            return at;
        }
    }
    u64::MAX
}

#[test]
fn a_copy_spreads_over_those_that_have_it() {
    // A list of 195 targets, and a configuration of 1,400 routes: without and with hosts that are sent
    // on to those that have it, ms.
    assert_eq!((spread(17_000, false), spread(17_000, true)), (247, 71));
    assert_eq!((spread(250_000, false), spread(250_000, true)), (4_421, 869));
}

/// A host, and how far it has read the list.
#[derive(Default)]
struct Reader {
    targets: Targets,
    next: usize,
}

/// What happens next: a record is written, a host reads so many records, or takes another's copy.
#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<u8>),
    Read(usize, usize),
    Copy(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..12u8, proptest::option::weighted(0.7, any::<u8>()))
            .prop_map(|(id, value)| Step::Write(id, value)),
        2 => (0..4usize, 1..6usize).prop_map(|(host, count)| Step::Read(host, count)),
        3 => (0..4usize, 0..4usize).prop_map(|(from, to)| Step::Copy(from, to)),
    ]
}

fn named(id: u8, port: u8) -> TargetRecord {
    TargetRecord {
        id: format!("t-{id}"),
        life: 0,
        service: "plain".to_owned(),
        addr: std::net::SocketAddr::from(([10, 0, 0, id], 80 + u16::from(port))),
        data_centre: "north".to_owned(),
        slots: 6,
        draining: false,
        kind: None,
        holding: None,
    }
}

proptest! {
    /// Whoever takes another's changes has its list: whatever was read, copied and forgotten before.
    #[test]
    fn changes_lead_to_the_same_list(steps in proptest::collection::vec(step(), 1..200)) {
        let mut log: Vec<(u8, Option<u8>)> = Vec::new();
        let mut hosts: Vec<Reader> = (0..4).map(|_| Reader::default()).collect();
        for step in steps {
            match step {
                Step::Write(id, value) => log.push((id, value)),
                Step::Read(host, count) => {
                    let Reader { targets, next } = &mut hosts[host];
                    let end = (*next + count).min(log.len());
                    targets.advance_to(at(end as Offset));
                    for (id, value) in &log[*next..end] {
                        match value {
                            Some(port) => drop(targets.upsert(named(*id, *port))),
                            None => drop(targets.remove(&format!("t-{id}"), Absence::Left)),
                        }
                    }
                    *next = end;
                }
                Step::Copy(from, to) if hosts[from].next > hosts[to].next => {
                    let known = hosts[to].next as Offset;
                    let (next, changes) = (hosts[from].next, hosts[from].targets.changes_since(at(known)));
                    let targets = &mut hosts[to].targets;
                    targets.advance_to(at(next as Offset));
                    match changes.dropped {
                        Some(lost) => targets.apply_delta(changes.records, lost, Absence::Left),
                        None => targets.replace_list(changes.records, Absence::Left),
                    };
                    hosts[to].next = next;
                    let mark = |host: usize| hosts[host].targets.list_version(at(0));
                    prop_assert_eq!(mark(to), mark(from));
                }
                Step::Copy(..) => {}
            }
        }
    }
}

/// In a crowd before 3,000 targets, what one more change costs each host to fetch: 3,000 records before.
#[test]
fn a_change_is_handed_on_alone() {
    let mut giver = Targets::default();
    giver.advance_to(at(3000));
    for id in 0..250 {
        giver.upsert(named(id, 0));
    }
    giver.advance_to(at(3001));
    giver.upsert(named(7, 1));
    giver.remove("t-9", Absence::Left);
    let changes = giver.changes_since(at(3000));
    assert_eq!(changes.records, [named(7, 1)]);
    assert_eq!(changes.dropped, Some(vec!["t-9".to_owned()]));
    assert_eq!(giver.changes_since(at(0)).records.len(), 249, "who has nothing gets all");
}
