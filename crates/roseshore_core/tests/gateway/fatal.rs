//! Requests that end targets: what is held against them, what clears them, and who knows.

use proptest::prelude::*;
use roseshore_core::gateway::fatal::{FatalChange, FatalReport, REPORT_BYTES};
use roseshore_core::gateway::{FatalRequests, Fingerprint};
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn print(body: &str) -> Fingerprint {
    Fingerprint::of(Some("acme"), &[b"POST", b"/draft/", body.as_bytes()])
}

/// What happens to a request, by milliseconds.
#[derive(Clone, Copy)]
enum Step {
    /// A target ended under it: its mark, and whether it had hardly begun to run there.
    Ended(u64, u32, bool),
    /// It ended whole.
    Whole(u64),
    /// Another host tells of an end of so long ago.
    Told(u64, u32, u32),
    /// Another host tells that it ended whole so long ago.
    ToldWhole(u64, u32),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    blocked: bool,
}

fn play(steps: &[Step], start: Instant) -> (FatalRequests, Instant) {
    let mut fatal = FatalRequests::new(start);
    let mut now = start;
    let request = print("a");
    for step in steps {
        let (Step::Ended(at, ..) | Step::Whole(at) | Step::Told(at, ..) | Step::ToldWhole(at, _)) =
            *step;
        now = start + ms(at);
        let note = |ends, well| FatalReport { fingerprint: request, ends, well };
        match *step {
            Step::Ended(_, target, early) => fatal.record_crash(request, target, early, now),
            Step::Whole(_) => fatal.record_success(request, now),
            Step::Told(_, target, age) => {
                let end = roseshore_core::gateway::fatal::CrashReport { target, early: true, age };
                fatal.receive(&note(vec![end], None), now)
            }
            Step::ToldWhole(_, age) => fatal.receive(&note(vec![], Some(age)), now),
        };
        fatal.expire(now);
    }
    (fatal, now)
}

#[test]
fn three_ends_block_a_request_unless_something_clears_it() {
    use Step::{Ended, Told, ToldWhole, Whole};
    const MINUTE: u64 = 60_000;
    let cases = [
        Case { name: "two", steps: &[Ended(0, 1, true), Ended(9, 2, true)], blocked: false },
        Case {
            name: "three",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Ended(20, 3, true)],
            blocked: true,
        },
        Case {
            name: "two seen here, one elsewhere",
            steps: &[Ended(0, 1, true), Told(9, 2, 4), Ended(20, 3, true)],
            blocked: true,
        },
        Case {
            name: "one end that two hosts saw",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Told(20, 2, 11)],
            blocked: false,
        },
        Case {
            name: "an end under a long run here and a short one elsewhere",
            steps: &[Ended(0, 1, false), Told(9, 1, 8), Ended(20, 2, true), Ended(30, 3, true)],
            blocked: true,
        },
        Case {
            name: "a target that started again and ended again",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Ended(5_000, 2, true)],
            blocked: true,
        },
        Case {
            name: "a whole answer between",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Whole(15), Ended(20, 3, true)],
            blocked: false,
        },
        Case {
            name: "a whole answer after",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Ended(20, 3, true), Whole(900)],
            blocked: false,
        },
        Case {
            name: "a whole answer elsewhere",
            steps: &[Ended(0, 1, true), Ended(9, 2, true), Ended(20, 3, true), ToldWhole(900, 8)],
            blocked: false,
        },
        Case {
            name: "late words of ends before a whole answer",
            steps: &[Whole(900), Told(1_000, 1, 300), Told(1_001, 2, 300), Told(1_002, 3, 300)],
            blocked: false,
        },
        Case {
            name: "ends after a whole answer",
            steps: &[Whole(900), Told(1_000, 1, 10), Told(1_001, 2, 10), Told(1_002, 3, 10)],
            blocked: true,
        },
        Case {
            name: "four after a long run",
            steps: &[
                Ended(0, 1, false),
                Ended(9, 2, false),
                Ended(20, 3, false),
                Ended(30, 4, false),
            ],
            blocked: false,
        },
        Case {
            name: "five after a long run",
            steps: &[
                Ended(0, 1, false),
                Ended(9, 2, false),
                Ended(20, 3, false),
                Ended(30, 4, false),
                Ended(40, 5, false),
            ],
            blocked: true,
        },
        Case {
            name: "ten minutes later",
            steps: &[
                Ended(0, 1, true),
                Ended(9, 2, true),
                Ended(20, 3, true),
                Told(11 * MINUTE, 3, 11 * 60_000),
            ],
            blocked: false,
        },
    ];
    for case in cases {
        let (fatal, now) = play(case.steps, Instant::now());
        assert_eq!(fatal.blocked(print("a"), now).is_some(), case.blocked, "{}", case.name);
        assert!(fatal.blocked(print("b"), now).is_none(), "{}", case.name);
    }
}

#[test]
fn another_organisation_s_request_is_another_request() {
    let parts: [&[u8]; 2] = [b"/draft/", b"body"];
    let (own, other) =
        (Fingerprint::of(Some("acme"), &parts), Fingerprint::of(Some("ajax"), &parts));
    assert_eq!(own.digest, other.digest);
    assert_ne!(own, other);
    assert_ne!(
        Fingerprint::of(None, &[b"/draft/", b"body"]),
        Fingerprint::of(None, &[b"/draft/b", b"ody"]),
        "a part does not run over into the next"
    );
}

#[test]
fn what_is_remembered_is_bounded_and_blocked_requests_stay() {
    let now = Instant::now();
    let mut fatal = FatalRequests::new(now);
    for target in 1..=3 {
        fatal.record_crash(print("guilty"), target, true, now);
    }
    for n in 0..5_000_u32 {
        fatal.record_crash(print(&format!("beside-{n}")), 3, true, now + ms(u64::from(n)));
    }
    // A moment at which blocked requests have their turn again.
    let later = now + ms(6_100);
    assert!(fatal.blocked(print("guilty"), later).is_some());
    assert_eq!(fatal.blocked_count(), 1);
    let bytes: usize = fatal.reports(later).iter().map(FatalReport::max_bytes).sum();
    assert!(bytes <= REPORT_BYTES, "{bytes} bytes");
    assert_eq!(fatal.reports(later)[0].fingerprint, print("guilty"), "the most ends first");
}

/// Hosts that hear each other's words late, twice, out of order, or not at all.
#[derive(Clone, Debug)]
struct Word {
    from: usize,
    to: usize,
    delay: u64,
    lost: bool,
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    let word = (0_usize..4, 0_usize..4, 0_u64..300, prop::bool::weighted(0.2))
        .prop_map(|(from, to, delay, lost)| Word { from, to, delay, lost });
    prop::collection::vec(word, 30..120)
}

proptest! {
    /// However words come, nobody makes more of them than what was seen, nothing is told for ever, and once words
    /// get through all hosts agree.
    #[test]
    fn hosts_agree_in_the_end_and_fall_silent(
        ends in prop::collection::vec((0_usize..4, 0_u64..900, 1_u32..6, any::<bool>()), 0..9),
        whole in prop::option::of((0_usize..4, 0_u64..900)),
        words in words(),
    ) {
        let start = Instant::now();
        let mut hosts = vec![FatalRequests::new(start); 4];
        let mut flying: Vec<(Instant, usize, FatalReport)> = Vec::new();
        for (step, word) in words.iter().enumerate() {
            let now = start + ms(step as u64 * 10);
            let due = |at: u64| at / 10 == step as u64;
            for (host, _, target, early) in ends.iter().filter(|(_, at, ..)| due(*at)) {
                hosts[*host].record_crash(print("a"), *target, *early, now);
            }
            if let Some((host, _)) = whole.filter(|(_, at)| due(*at)) {
                hosts[host].record_success(print("a"), now);
            }
            if !word.lost {
                let told = hosts[word.from].reports(now).into_iter();
                flying.extend(told.map(|note| (now + ms(word.delay), word.to, note)));
            }
            for (_, to, note) in flying.extract_if(.., |(at, ..)| *at <= now) {
                hosts[to].receive(&note, now);
            }
        }
        // From here on every word gets through.
        let mut now = start + ms(words.len() as u64 * 10);
        let end = now + ms(6_000);
        while now < end {
            for from in 0..4 {
                for note in hosts[from].reports(now) {
                    for to in (0..4).filter(|to| *to != from) {
                        hosts[to].receive(&note, now + ms(5));
                    }
                }
            }
            now += ms(100);
        }
        let blocked: Vec<bool> =
            hosts.iter().map(|h| h.blocked(print("a"), now).is_some()).collect();
        prop_assert!(blocked.iter().all(|b| *b == blocked[0]), "{:?}", blocked);
        let mut targets: Vec<u32> = ends.iter().map(|(_, _, target, _)| *target).collect();
        targets.sort_unstable();
        targets.dedup();
        prop_assert!(!blocked[0] || targets.len() >= 3);
        let quiet = now + ms(2_000);
        prop_assert!(blocked[0] || hosts.iter().all(|h| h.reports(quiet).is_empty()));
    }
}

#[test]
fn a_host_that_joins_later_hears_of_every_blocked_request() {
    let start = Instant::now();
    let mut known = FatalRequests::new(start);
    for n in 0..50 {
        for target in 1..=3 {
            known.record_crash(print(&format!("r-{n}")), target, true, start);
        }
    }
    let mut joined = FatalRequests::new(start);
    let mut changes = 0;
    for step in 0..200 {
        let now = start + ms(5_000 + step * 100);
        for note in known.reports(now) {
            let change = joined.receive(&note, now);
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

/// What a host that reads the records finds, and what it does with them.
struct RecordCase {
    name: &'static str,
    /// Seconds of the time of day between writing and reading, which may have been set back.
    later: i64,
    /// Whether the request ended whole at this host a moment ago.
    whole: bool,
    blocked: bool,
}

#[test]
fn a_record_blocks_a_request_until_it_lapses_or_is_cleared() {
    const WALL: u64 = 1_800_000_000_000;
    let cases = [
        RecordCase { name: "soon after", later: 9, whole: false, blocked: true },
        RecordCase { name: "the clock was set back", later: -30, whole: false, blocked: true },
        RecordCase { name: "ten minutes later", later: 601, whole: false, blocked: false },
        RecordCase { name: "it is well now", later: 9, whole: true, blocked: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut writer = FatalRequests::new(start);
        for target in 1..=3 {
            writer.record_crash(print("a"), target, true, start);
        }
        writer.record_crash(print("b"), 1, true, start);
        let upkeep = writer.record_diff(&[], WALL, start);
        assert_eq!(upkeep.missing.len(), 1, "{}: only what is blocked", case.name);
        let record = &upkeep.missing[0];
        assert!(writer.record_diff(&[print("a")], WALL, start).missing.is_empty(), "{}", case.name);
        // Another host, later.
        let now = start + ms(700_000);
        let mut reader = FatalRequests::new(now);
        if case.whole {
            reader.record_success(print("a"), now);
        }
        let wall = WALL.saturating_add_signed(case.later * 1000);
        reader.receive(&record.aged(wall), now);
        assert_eq!(reader.blocked(print("a"), now).is_some(), case.blocked, "{}", case.name);
        let outdated = reader.record_diff(&[print("a")], wall, now).outdated;
        assert_eq!(outdated.is_empty(), case.blocked, "{}", case.name);
    }
}
