//! Requests that crash targets: what counts against them, what clears them, and how hosts learn of
//! it.

use proptest::prelude::*;
use roseshore_core::gateway::fatal::{
    Crash, CrashReport, EARLY, FatalChange, FatalReport, REPORT_BYTES, Stage, SurvivalReport,
};
use roseshore_core::gateway::{FatalRequests, Fingerprint, Suspects};
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The stage of a run that had hardly begun, or that was beyond that.
fn stage(early: bool) -> Stage {
    if early { Stage::BEGINNING } else { Stage::after(EARLY) }
}

fn completed(age: u32) -> Vec<SurvivalReport> {
    vec![SurvivalReport { stage: Stage::COMPLETE, age }]
}

/// A process that ended under a run.
fn crash(target: u32, stage: Stage, at: Instant) -> Crash {
    Crash { target, stage, silent: false, at }
}

fn print(body: &str) -> Fingerprint {
    Fingerprint::of(Some("acme"), &[b"POST", b"/draft/", body.as_bytes()])
}

/// An event concerning a request; the first field is its time in milliseconds.
#[derive(Clone, Copy)]
enum Step {
    /// A target crashed under it: the target's hash, and whether the request had hardly begun to
    /// run there.
    Crash(u64, u32, bool),
    /// It completed.
    Done(u64),
    /// Another host reports a crash of this target, with its age in milliseconds.
    Remote(u64, u32, u32),
    /// Another host reports that it completed, with the age in milliseconds.
    RemoteDone(u64, u32),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    blocked: bool,
}

fn apply(steps: &[Step], start: Instant) -> (FatalRequests, Instant) {
    let mut fatal = FatalRequests::new(start);
    let mut now = start;
    let request = print("a");
    for step in steps {
        let (Step::Crash(at, ..) | Step::Done(at) | Step::Remote(at, ..) | Step::RemoteDone(at, _)) =
            *step;
        now = start + ms(at);
        let report = |ends, survived| FatalReport { fingerprint: request, ends, survived };
        match *step {
            Step::Crash(_, target, early) => {
                fatal.record_crash(request, crash(target, stage(early), now), now)
            }
            Step::Done(_) => fatal.record_survival(request, Stage::COMPLETE, now),
            Step::Remote(_, target, age) => {
                let crash = CrashReport { target, stage: Stage::BEGINNING, silent: false, age };
                fatal.receive(&report(vec![crash], vec![]), now, now)
            }
            Step::RemoteDone(_, age) => fatal.receive(&report(vec![], completed(age)), now, now),
        };
        fatal.expire(now);
    }
    (fatal, now)
}

#[test]
fn three_crashes_block_a_request_unless_something_clears_it() {
    use Step::{Crash, Done, Remote, RemoteDone};
    const MINUTE: u64 = 60_000;
    let cases = [
        Case { name: "two", steps: &[Crash(0, 1, true), Crash(9, 2, true)], blocked: false },
        Case {
            name: "three",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Crash(20, 3, true)],
            blocked: true,
        },
        Case {
            name: "two seen here, one elsewhere",
            steps: &[Crash(0, 1, true), Remote(9, 2, 4), Crash(20, 3, true)],
            blocked: true,
        },
        Case {
            name: "one crash that two hosts saw",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Remote(20, 2, 11)],
            blocked: false,
        },
        Case {
            name: "a crash late in a run here and early in one elsewhere",
            steps: &[Crash(0, 1, false), Remote(9, 1, 8), Crash(20, 2, true), Crash(30, 3, true)],
            blocked: true,
        },
        Case {
            name: "a target that restarted and crashed again",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Crash(5_000, 2, true)],
            blocked: true,
        },
        Case {
            name: "a complete response between",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Done(15), Crash(20, 3, true)],
            blocked: false,
        },
        Case {
            name: "a complete response after",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Crash(20, 3, true), Done(900)],
            blocked: false,
        },
        Case {
            name: "a complete response elsewhere",
            steps: &[Crash(0, 1, true), Crash(9, 2, true), Crash(20, 3, true), RemoteDone(900, 8)],
            blocked: false,
        },
        Case {
            name: "late reports of crashes before a complete response",
            steps: &[
                Done(900),
                Remote(1_000, 1, 300),
                Remote(1_001, 2, 300),
                Remote(1_002, 3, 300),
            ],
            blocked: false,
        },
        Case {
            name: "crashes after a complete response",
            steps: &[Done(900), Remote(1_000, 1, 10), Remote(1_001, 2, 10), Remote(1_002, 3, 10)],
            blocked: true,
        },
        Case {
            name: "four late in a run",
            steps: &[
                Crash(0, 1, false),
                Crash(9, 2, false),
                Crash(20, 3, false),
                Crash(30, 4, false),
            ],
            blocked: false,
        },
        Case {
            name: "five late in a run",
            steps: &[
                Crash(0, 1, false),
                Crash(9, 2, false),
                Crash(20, 3, false),
                Crash(30, 4, false),
                Crash(40, 5, false),
            ],
            blocked: true,
        },
        Case {
            name: "ten minutes later",
            steps: &[
                Crash(0, 1, true),
                Crash(9, 2, true),
                Crash(20, 3, true),
                Remote(11 * MINUTE, 3, 11 * 60_000),
            ],
            blocked: false,
        },
    ];
    for case in cases {
        let (fatal, now) = apply(case.steps, Instant::now());
        assert_eq!(fatal.blocked(print("a"), now).is_some(), case.blocked, "{}", case.name);
        assert!(fatal.blocked(print("b"), now).is_none(), "{}", case.name);
    }
}

#[test]
fn requests_of_two_organisations_differ() {
    let parts: [&[u8]; 2] = [b"/draft/", b"body"];
    let (own, other) =
        (Fingerprint::of(Some("acme"), &parts), Fingerprint::of(Some("ajax"), &parts));
    assert_eq!(own.digest, other.digest);
    assert_ne!(own, other);
    assert_ne!(
        Fingerprint::of(None, &[b"/draft/", b"body"]),
        Fingerprint::of(None, &[b"/draft/b", b"ody"]),
        "a part does not extend into the next"
    );
}

#[test]
fn a_success_is_remembered_anew_while_many_others_succeed() {
    let start = Instant::now();
    let mut fatal = FatalRequests::new(start);
    let (known, crashed) = (print("known"), 7);
    fatal.record_survival(known, Stage::COMPLETE, start);
    for n in 0..5_000 {
        fatal.record_survival(print(&n.to_string()), Stage::COMPLETE, start);
    }
    let again = start + ms(3_000);
    fatal.record_survival(known, Stage::COMPLETE, again);
    // A crash before the second success, which another host reports late.
    let crash = CrashReport { target: crashed, stage: Stage::BEGINNING, silent: false, age: 1_000 };
    let report = FatalReport { fingerprint: known, ends: vec![crash], survived: vec![] };
    fatal.receive(&report, again + ms(500), again + ms(500));
    assert_eq!(fatal.crashes(known), 0);
}

#[test]
fn memory_is_bounded_and_blocked_requests_stay() {
    let now = Instant::now();
    let mut fatal = FatalRequests::new(now);
    for target in 1..=3 {
        fatal.record_crash(print("guilty"), crash(target, Stage::BEGINNING, now), now);
    }
    for n in 0..5_000_u32 {
        fatal.record_crash(
            print(&format!("beside-{n}")),
            crash(3, Stage::BEGINNING, now + ms(u64::from(n))),
            now + ms(u64::from(n)),
        );
    }
    // A moment at which it is the turn of the blocked requests again.
    let later = now + ms(6_100);
    assert!(fatal.blocked(print("guilty"), later).is_some());
    assert_eq!(fatal.all_blocked().count(), 1);
    let bytes: usize = fatal.reports(later).iter().map(FatalReport::max_bytes).sum();
    assert!(bytes <= REPORT_BYTES, "{bytes} bytes");
    assert_eq!(fatal.reports(later)[0].fingerprint, print("guilty"), "the most crashes first");
}

/// A transmission between two hosts: reports arrive late, repeatedly, out of order, or not at all.
#[derive(Clone, Debug)]
struct Transmission {
    from: usize,
    to: usize,
    delay: u64,
    lost: bool,
}

fn transmissions() -> impl Strategy<Value = Vec<Transmission>> {
    let transmission = (0_usize..4, 0_usize..4, 0_u64..300, prop::bool::weighted(0.2))
        .prop_map(|(from, to, delay, lost)| Transmission { from, to, delay, lost });
    prop::collection::vec(transmission, 30..120)
}

proptest! {
    /// However reports arrive, no host counts more crashes than happened, nothing is reported for
    /// ever, and once reports get through all hosts agree.
    #[test]
    fn hosts_converge_and_stop_reporting(
        crashes in prop::collection::vec((0_usize..4, 0_u64..900, 1_u32..6, any::<bool>()), 0..9),
        completed in prop::option::of((0_usize..4, 0_u64..900)),
        transmissions in transmissions(),
    ) {
        let start = Instant::now();
        let mut hosts = vec![FatalRequests::new(start); 4];
        let mut in_transit: Vec<(Instant, usize, FatalReport)> = Vec::new();
        for (step, transmission) in transmissions.iter().enumerate() {
            let now = start + ms(step as u64 * 10);
            let due = |at: u64| at / 10 == step as u64;
            for (host, _, target, early) in crashes.iter().filter(|(_, at, ..)| due(*at)) {
                hosts[*host].record_crash(print("a"), crash(*target, stage(*early), now), now);
            }
            if let Some((host, _)) = completed.filter(|(_, at)| due(*at)) {
                hosts[host].record_survival(print("a"), Stage::COMPLETE, now);
            }
            if !transmission.lost {
                let reports = hosts[transmission.from].reports(now).into_iter();
                in_transit.extend(reports.map(|report| (now + ms(transmission.delay), transmission.to, report)));
            }
            for (_, to, report) in in_transit.extract_if(.., |(at, ..)| *at <= now) {
                hosts[to].receive(&report, now, now);
            }
        }
        // From here on every report gets through.
        let mut now = start + ms(transmissions.len() as u64 * 10);
        let end = now + ms(6_000);
        while now < end {
            for from in 0..4 {
                for report in hosts[from].reports(now) {
                    for to in (0..4).filter(|to| *to != from) {
                        hosts[to].receive(&report, now + ms(5), now + ms(5));
                    }
                }
            }
            now += ms(100);
        }
        let blocked: Vec<bool> =
            hosts.iter().map(|h| h.blocked(print("a"), now).is_some()).collect();
        prop_assert!(blocked.iter().all(|b| *b == blocked[0]), "{:?}", blocked);
        let mut targets: Vec<u32> = crashes.iter().map(|(_, _, target, _)| *target).collect();
        targets.sort_unstable();
        targets.dedup();
        prop_assert!(!blocked[0] || targets.len() >= 3);
        let later = now + ms(2_000);
        prop_assert!(blocked[0] || hosts.iter().all(|h| h.reports(later).is_empty()));
    }
}

#[test]
fn a_host_that_joins_later_hears_of_every_blocked_request() {
    let start = Instant::now();
    let mut known = FatalRequests::new(start);
    for n in 0..50 {
        for target in 1..=3 {
            known.record_crash(
                print(&format!("r-{n}")),
                crash(target, Stage::BEGINNING, start),
                start,
            );
        }
    }
    let mut joined = FatalRequests::new(start);
    let mut changes = 0;
    for step in 0..200 {
        let now = start + ms(5_000 + step * 100);
        for report in known.reports(now) {
            let change = joined.receive(&report, now, now);
            changes += usize::from(matches!(change, FatalChange::Blocked));
        }
    }
    assert_eq!(changes, 50);
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let written = print("a").to_string();
    assert_eq!(written.parse(), Ok(print("a")));
    for wrong in ["", "12", "no fingerprint at all", "é1234567890"] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}

/// What a host that reads the records finds, and its effect.
struct RecordCase {
    name: &'static str,
    /// Wall-clock seconds between writing and reading; negative if the clock was set back.
    later: i64,
    /// Whether the request completed at this host just before.
    completed: bool,
    blocked: bool,
}

#[test]
fn a_record_blocks_a_request_until_it_lapses_or_is_cleared() {
    const WALL: u64 = 1_800_000_000_000;
    let cases = [
        RecordCase { name: "soon after", later: 9, completed: false, blocked: true },
        RecordCase { name: "the clock was set back", later: -30, completed: false, blocked: true },
        RecordCase { name: "ten minutes later", later: 601, completed: false, blocked: false },
        RecordCase { name: "it completed since", later: 9, completed: true, blocked: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut writer = FatalRequests::new(start);
        for target in 1..=3 {
            writer.record_crash(print("a"), crash(target, Stage::BEGINNING, start), start);
        }
        writer.record_crash(print("b"), crash(1, Stage::BEGINNING, start), start);
        let diff = writer.record_diff(&[], WALL, start);
        assert_eq!(diff.missing.len(), 1, "{}: only what is blocked", case.name);
        let record = &diff.missing[0];
        assert!(writer.record_diff(&[print("a")], WALL, start).missing.is_empty(), "{}", case.name);
        // Another host, later.
        let now = start + ms(700_000);
        let mut reader = FatalRequests::new(now);
        if case.completed {
            reader.record_survival(print("a"), Stage::COMPLETE, now);
        }
        let wall = WALL.saturating_add_signed(case.later * 1000);
        reader.receive(&record.aged(wall), now, now);
        assert_eq!(reader.blocked(print("a"), now).is_some(), case.blocked, "{}", case.name);
        let outdated = reader.record_diff(&[print("a")], wall, now).outdated;
        assert_eq!(outdated.is_empty(), case.blocked, "{}", case.name);
    }
}

/// What happens to a run: its target, organisation and number, and the shared parts of its prompt.
#[derive(Clone, Copy)]
enum Run {
    /// The target crashed when the run had hardly begun.
    Crash(u32, &'static str, u32, &'static [&'static str]),
    /// The run got beyond its beginning.
    Survive(&'static str, &'static [&'static str]),
}

/// Runs, a second apart, and which requests are refused after them.
struct PartCase {
    name: &'static str,
    runs: &'static [Run],
    refused: &'static [(&'static str, &'static [&'static str])],
    allowed: &'static [(&'static str, &'static [&'static str])],
}

fn suspects(organisation: &str, number: u32, parts: &[&str]) -> Suspects {
    let request = Fingerprint::of(Some(organisation), &[&number.to_le_bytes()]);
    let own = format!("own-{number}");
    let ids: Vec<String> = parts.iter().chain(&[own.as_str()]).map(|id| (*id).to_owned()).collect();
    Suspects::new(request, Some(organisation), "model", &ids)
}

const PART_CASES: [PartCase; 10] = [
    PartCase {
        name: "two crashes",
        runs: &[Run::Crash(1, "a", 1, &["f", "p"]), Run::Crash(2, "a", 2, &["f", "p"])],
        refused: &[],
        allowed: &[("a", &["f", "p"])],
    },
    PartCase {
        name: "parts that always came together are refused together",
        runs: &[
            Run::Crash(1, "a", 1, &["f", "p"]),
            Run::Crash(2, "a", 2, &["f", "p"]),
            Run::Crash(3, "a", 3, &["f", "p"]),
        ],
        refused: &[("a", &["f", "p"]), ("a", &["p", "f", "q"])],
        allowed: &[("a", &["f"]), ("a", &["p"]), ("b", &["f", "p"])],
    },
    PartCase {
        name: "a part that got far with another request is not at fault",
        runs: &[
            Run::Crash(1, "a", 1, &["f", "p"]),
            Run::Survive("a", &["f"]),
            Run::Crash(2, "a", 2, &["f", "p"]),
            Run::Crash(3, "a", 3, &["f", "p"]),
        ],
        refused: &[("a", &["p"]), ("a", &["g", "p"])],
        allowed: &[("a", &["f"])],
    },
    PartCase {
        name: "the first part",
        runs: &[
            Run::Crash(1, "a", 1, &["p", "g"]),
            Run::Crash(2, "a", 2, &["p"]),
            Run::Crash(3, "a", 3, &["p", "h"]),
        ],
        refused: &[("a", &["p"]), ("a", &["p", "g"])],
        allowed: &[("a", &["g"]), ("a", &["h"])],
    },
    PartCase {
        name: "one request that explains all crashes",
        runs: &[
            Run::Crash(1, "a", 1, &["f", "p"]),
            Run::Crash(2, "a", 1, &["f", "p"]),
            Run::Crash(3, "a", 1, &["f", "p"]),
        ],
        refused: &[],
        allowed: &[("a", &["f", "p"]), ("a", &["p"])],
    },
    PartCase {
        name: "one request beside another explains all but one crash",
        runs: &[
            Run::Crash(1, "a", 1, &["f", "p"]),
            Run::Crash(2, "a", 1, &["f", "p"]),
            Run::Crash(3, "a", 2, &["g", "p"]),
        ],
        refused: &[("a", &["p"])],
        allowed: &[("a", &["f"]), ("a", &["g"])],
    },
    PartCase {
        name: "two fatal parts behind a common one that succeeded before",
        runs: &[
            Run::Survive("a", &["f"]),
            Run::Crash(1, "a", 1, &["f", "p"]),
            Run::Crash(2, "a", 2, &["f", "q"]),
            Run::Crash(3, "a", 3, &["f", "p"]),
            Run::Crash(4, "a", 4, &["f", "q"]),
            Run::Crash(5, "a", 5, &["f", "p"]),
            Run::Crash(6, "a", 6, &["f", "q"]),
        ],
        refused: &[("a", &["p"]), ("a", &["f", "p"]), ("a", &["f", "q"])],
        allowed: &[("a", &["f"])],
    },
    PartCase {
        name: "a part that several organisations have",
        runs: &[
            Run::Crash(1, "a", 1, &["p"]),
            Run::Crash(2, "b", 2, &["p"]),
            Run::Crash(3, "c", 3, &["p"]),
        ],
        refused: &[("a", &["p"]), ("d", &["p"])],
        allowed: &[("a", &["f"])],
    },
    PartCase {
        name: "a part that several organisations have, where one got far with it",
        runs: &[
            Run::Crash(1, "a", 1, &["p"]),
            Run::Crash(2, "b", 2, &["p"]),
            Run::Survive("c", &["p"]),
            Run::Crash(3, "c", 3, &["p"]),
        ],
        refused: &[],
        allowed: &[("a", &["p"]), ("c", &["p"])],
    },
    PartCase {
        name: "one organisation blocks no part of another",
        runs: &[
            Run::Crash(1, "a", 1, &["p", "q"]),
            Run::Crash(2, "a", 2, &["p", "r"]),
            Run::Crash(3, "a", 3, &["p"]),
        ],
        refused: &[("a", &["p"])],
        allowed: &[("b", &["p"])],
    },
];

#[test]
fn crashes_are_attributed_to_the_prompt_parts_that_explain_them() {
    for case in PART_CASES {
        let start = Instant::now();
        let mut fatal = FatalRequests::new(start);
        let mut now = start;
        for run in case.runs {
            now += Duration::from_secs(1);
            match *run {
                Run::Crash(target, organisation, number, parts) => {
                    for suspect in suspects(organisation, number, parts).all() {
                        fatal.record_crash(suspect, crash(target, Stage::BEGINNING, now), now);
                    }
                }
                Run::Survive(organisation, parts) => {
                    for part in suspects(organisation, 0, parts).parts {
                        fatal.record_survival(part, stage(false), now);
                    }
                }
            }
        }
        let refused = |(organisation, parts): &(&str, &[&str])| {
            fatal.refused(&suspects(organisation, 99, parts), now).is_some()
        };
        for request in case.refused {
            assert!(refused(request), "{}: {request:?} is not refused", case.name);
        }
        for request in case.allowed {
            assert!(!refused(request), "{}: {request:?} is refused", case.name);
        }
        let later = now + Duration::from_mins(11);
        fatal.expire(later);
        assert_eq!(fatal.all_blocked().count(), 0, "{}: blocks lapse", case.name);
    }
}

#[test]
fn targets_that_crash_together_count_once_for_a_prompt_part() {
    let now = Instant::now();
    let mut fatal = FatalRequests::new(now);
    for target in 1..=4 {
        for suspect in suspects("a", target, &["f"]).all() {
            fatal.record_crash(
                suspect,
                crash(target, Stage::BEGINNING, now + ms(u64::from(target) * 5)),
                now + ms(u64::from(target) * 5),
            );
        }
    }
    assert!(fatal.refused(&suspects("a", 9, &["f"]), now + ms(50)).is_none());
}

/// Guards against requests that go on crashing targets, since a part of the prompts beside which they
/// ran explains their first crashes.
#[test]
fn a_request_acquitted_by_a_part_is_blocked_by_its_next_crash() {
    let start = Instant::now();
    let mut fatal = FatalRequests::new(start);
    let own = suspects("a", 1, &["r"]);
    let mut crash = |target, suspects: &Suspects, second| {
        for suspect in suspects.all() {
            fatal.record_crash(
                suspect,
                crash(target, Stage::BEGINNING, start + Duration::from_secs(second)),
                start + Duration::from_secs(second),
            );
        }
        fatal.refused(&own, start + Duration::from_secs(second)).is_some()
    };
    for target in 1..=4 {
        crash(target, &suspects("a", 10 + target, &["p"]), u64::from(target));
    }
    let beside = [1, 2, 3].map(|target| crash(target, &own, u64::from(target)));
    assert_eq!(beside, [false; 3], "another request's part explains these");
    assert!(crash(5, &own, 6), "nothing explains this one");
    let sound = fatal.refused(&suspects("a", 2, &["r"]), start + Duration::from_secs(6));
    assert!(sound.is_none(), "another request with the same part");
}
