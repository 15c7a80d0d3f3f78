//! When a host copies store data from another, and how copies spread.

use proptest::prelude::*;
use roseshore_core::gateway::Copies;
use roseshore_core::gateway::Position;
use roseshore_core::gateway::copies::{COPY_TIMEOUT, Contents, CopyOutcome};
use roseshore_core::gateway::targets::Absence;
use roseshore_core::gateway::{TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// A position in the store's first era.
fn at(next: Offset) -> Position {
    Position { era: 0, next }
}

/// Result of a first copy, and when the next one may be requested.
struct Case {
    name: &'static str,
    outcome: CopyOutcome,
    /// Milliseconds after which another copy may be requested, and not earlier.
    after: u64,
}

#[test]
fn one_copy_at_a_time_and_the_store_after_a_failure() {
    let cases = [
        Case { name: "it arrived", outcome: CopyOutcome::Received, after: 0 },
        Case { name: "it failed", outcome: CopyOutcome::Failed, after: 1_000 },
        Case { name: "refused", outcome: CopyOutcome::Refused, after: 60 },
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

/// Requests for copies at these times (ms) and of these sizes, and whether they are served.
struct Requests {
    name: &'static str,
    /// Bandwidth of the link in bytes per second.
    link: Option<u64>,
    asked: &'static [(u64, usize, bool)],
}

#[test]
fn a_host_hands_out_limited_bytes_per_window() {
    let cases = [
        Requests {
            name: "small ones up to the limit",
            link: None,
            asked: &[(0, 90_000, true), (1, 90_000, true), (2, 90_000, false), (3, 10_000, true)],
        },
        Requests {
            name: "a large one first",
            link: Some(2_500_000),
            asked: &[(0, 400_000, true), (10, 1_000, false)],
        },
        Requests {
            name: "the next window",
            link: Some(2_500_000),
            asked: &[(0, 150_000, true), (199, 150_000, false), (200, 150_000, true)],
        },
        Requests {
            name: "a link of 100 Mbit/s",
            link: Some(12_500_000),
            asked: &[(0, 900_000, true), (1, 100_000, true), (2, 1_000, false)],
        },
        Requests {
            name: "a link that carries more than the host may hold in memory",
            link: Some(1_250_000_000),
            asked: &[(0, 7_900_000, true), (1, 200_000, false), (200, 200_000, true)],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut copies = Copies::new(case.link);
        for (at, bytes, served) in case.asked {
            let now = start + Duration::from_millis(*at);
            assert_eq!(copies.take_budget(*bytes, now), *served, "{} at {at}", case.name);
        }
    }
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7000))
}

/// Time in ms until the last of sixty hosts has a copy of this size. Three hosts have it at first,
/// and the others receive heartbeats only from these. Links carry 20 Mbit/s.
fn spread(bytes: usize, redirected: bool) -> u64 {
    const HOSTS: usize = 60;
    let start = Instant::now();
    let contents = Contents { config: 2, digest: 9 };
    let mut copies = vec![Copies::default(); HOSTS];
    // When each host has the copy, and when and whom it asks next.
    let mut has: Vec<Option<u64>> = (0..HOSTS).map(|n| (n < 3).then_some(0)).collect();
    let mut asks: Vec<(u64, usize)> = (0..HOSTS).map(|n| (0, n % 3)).collect();
    let transfer_ms = (bytes * 8 / 20_000) as u64 + 1;
    for at in 0..60_000 {
        let now = start + Duration::from_millis(at);
        for n in 0..HOSTS {
            let (due, from) = asks[n];
            if has[n].is_some() || due > at {
                continue;
            }
            let known = has[from].is_some_and(|since| since <= at);
            if known && copies[from].take_budget(bytes, now) {
                copies[from].record_recipient(addr(n), contents);
                has[n] = Some(at + transfer_ms);
                continue;
            }
            let other = copies[from].redirect(contents, addr(n)).filter(|_| known && redirected);
            let other = other.and_then(|holder| (0..HOSTS).find(|n| addr(*n) == holder));
            asks[n] = other.map_or((at + 60, n % 3), |holder| (at + 2, holder));
        }
        if has.iter().all(|since| since.is_some_and(|since| since <= at)) {
            return at;
        }
    }
    u64::MAX
}

#[test]
fn redirects_speed_up_the_spread_of_a_copy() {
    // A list of 195 targets and a configuration of 1,400 routes: without and with redirects to
    // hosts that have the copy, in ms.
    assert_eq!((spread(17_000, false), spread(17_000, true)), (247, 71));
    assert_eq!((spread(250_000, false), spread(250_000, true)), (4_421, 869));
}

/// A host, and how far it has read the list.
#[derive(Default)]
struct Reader {
    targets: Targets,
    next: usize,
}

/// A record is written, a host reads some records, or it takes another's copy.
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
    /// A host that applies another's changes has the same list, whatever was read, copied and
    /// forgotten before.
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
                    let version = |host: usize| hosts[host].targets.list_version(at(0));
                    prop_assert_eq!(version(to), version(from));
                }
                Step::Copy(..) => {}
            }
        }
    }
}

/// What a host has to copy for one more change when there are thousands of targets: only the
/// change. Without the delta each host copied all 3,000 records.
#[test]
fn a_change_is_copied_without_the_whole_list() {
    let mut source = Targets::default();
    source.advance_to(at(3000));
    for id in 0..250 {
        source.upsert(named(id, 0));
    }
    source.advance_to(at(3001));
    source.upsert(named(7, 1));
    source.remove("t-9", Absence::Left);
    let changes = source.changes_since(at(3000));
    assert_eq!(changes.records, [named(7, 1)]);
    assert_eq!(changes.dropped, Some(vec!["t-9".to_owned()]));
    assert_eq!(
        source.changes_since(at(0)).records.len(),
        249,
        "a host with nothing gets the whole list"
    );
}
