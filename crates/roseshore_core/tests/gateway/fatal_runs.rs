//! Runs of requests and parts of prompts: what their ends show, and how far they acquit.

use roseshore_core::gateway::fatal::{
    Crash, CrashReport, EARLY, FatalReport, Progress, RunEnd, RunVerdict, Stage, SurvivalReport,
    TargetState, judge,
};
use roseshore_core::gateway::{FatalRequests, Fingerprint};
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A process that ended under a run.
fn crash(target: u32, stage: Stage, at: Instant) -> Crash {
    Crash { target, stage, silent: false, at }
}

fn part() -> Fingerprint {
    Fingerprint::of_part(Some("acme"), "model", "p")
}

/// Events of a run, in milliseconds after its start, and how far it has got at a time.
struct ProgressCase {
    name: &'static str,
    events: &'static [u64],
    at: u64,
    stage: Duration,
}

#[test]
fn a_run_gets_further_only_while_it_makes_progress() {
    const STEADY: [u64; 12] = [0, 90, 180, 270, 360, 450, 540, 630, 720, 810, 900, 990];
    let cases = [
        ProgressCase { name: "no event", events: &[], at: 5_000, stage: ms(0) },
        ProgressCase { name: "one event, then silence", events: &[0], at: 5_000, stage: ms(0) },
        ProgressCase { name: "a pause", events: &[0, 3_000, 3_030], at: 3_060, stage: ms(0) },
        ProgressCase { name: "half a second", events: &STEADY[..7], at: 540, stage: ms(500) },
        ProgressCase { name: "a second", events: &STEADY, at: 1_010, stage: ms(1_000) },
        ProgressCase { name: "and a pause", events: &STEADY, at: 9_000, stage: ms(1_000) },
    ];
    for case in cases {
        let start = Instant::now();
        let mut progress = Progress::default();
        case.events.iter().for_each(|at| progress.record_event(start + ms(*at)));
        assert_eq!(progress.stage(start + ms(case.at)), Stage::after(case.stage), "{}", case.name);
    }
}

#[test]
fn a_run_acquits_a_part_only_of_crashes_that_it_has_outlived() {
    let start = Instant::now();
    let part = part();
    let mut fatal = FatalRequests::new(start);
    let late = Stage::after(ms(700));
    for target in 0..4 {
        let now = start + ms(u64::from(target) * 1_000);
        fatal.record_survival(part, late, now);
        fatal.record_crash(part, crash(target, late, now + ms(200)), now + ms(200));
    }
    assert_eq!(fatal.crashes(part), 4, "runs that got as far as the crashes");
    let other = FatalReport {
        fingerprint: part,
        ends: vec![],
        survived: vec![SurvivalReport { stage: Stage::after(ms(1_200)), age: 1 }],
    };
    fatal.receive(&other, start + ms(3_500), start + ms(3_500));
    assert_eq!(fatal.crashes(part), 0, "a longer run");
}

/// A run that ended some milliseconds ago, and what is known of its targets.
struct JudgeCase {
    name: &'static str,
    end: RunEnd,
    since: u64,
    targets: &'static [TargetState],
    verdict: RunVerdict,
}

#[test]
fn a_run_is_judged_by_what_became_of_its_targets() {
    use RunEnd::{Closed, Completed, Interrupted};
    use TargetState::{Alive, Ended, Unknown, Unreachable};
    let case =
        |name, end, since, targets, verdict| JudgeCase { name, end, since, targets, verdict };
    let cases = [
        case("port closed", Interrupted, 1, &[Ended], RunVerdict::Crashed(0)),
        case("a later target", Interrupted, 1, &[Unknown, Ended], RunVerdict::Crashed(1)),
        case("no news", Interrupted, 3_000, &[Unknown], RunVerdict::Undecided),
        case("no news at all", Interrupted, 9_000, &[Unknown], RunVerdict::Inconclusive("unknown")),
        case("data since", Interrupted, 200, &[Alive], RunVerdict::Inconclusive("alive")),
        case("silent a moment", Interrupted, 300, &[Unreachable], RunVerdict::Undecided),
        case("silent", Interrupted, 1_000, &[Unreachable], RunVerdict::FellSilent(0)),
        case("of one", Interrupted, 200, &[Alive, Unknown], RunVerdict::Undecided),
        case("caller left", Closed, 100, &[Ended], RunVerdict::Crashed(0)),
        case("too soon", Completed, 100, &[Alive], RunVerdict::Undecided),
        case("outlived", Completed, 600, &[Alive, Alive], RunVerdict::Survived),
        case("not known of one", Completed, 600, &[Alive, Unknown], RunVerdict::Undecided),
        case("never known", Completed, 9_000, &[Unknown], RunVerdict::Inconclusive("unknown")),
        case(
            "no sign of life",
            Completed,
            9_000,
            &[Unreachable],
            RunVerdict::Inconclusive("unknown"),
        ),
        case("closed and outlived", Closed, 600, &[Alive], RunVerdict::Inconclusive("alive")),
    ];
    for JudgeCase { name, end, since, targets, verdict } in cases {
        assert_eq!(judge(end, targets, ms(since)), verdict, "{name}");
    }
}

/// When machines fall silent under a part, in milliseconds, and whether that blocks it.
struct SilentCase {
    name: &'static str,
    at: &'static [u64],
    /// When a run with the part outlives them.
    survived: Option<u64>,
    blocked: bool,
}

#[test]
fn machines_that_fall_silent_block_a_part_only_one_after_the_other() {
    const SERIES: &[u64] = &[0, 3_000, 6_000, 9_000, 12_000];
    let case = |name, at, survived, blocked| SilentCase { name, at, survived, blocked };
    let cases = [
        case("one after the other", SERIES, None, true),
        case("four of them", &SERIES[..4], None, false),
        case("all at once, as behind a cut", &[0, 200, 400, 900, 1_200, 1_900], None, false),
        case("two cuts", &[0, 200, 400, 20_000, 20_200, 20_400], None, false),
        case("a run outlives some", SERIES, Some(7_000), false),
    ];
    for SilentCase { name, at, survived, blocked } in cases {
        let start = Instant::now();
        let part = part();
        let mut fatal = FatalRequests::new(start);
        for (target, at) in (0_u32..).zip(at) {
            let now = start + ms(*at);
            fatal.record_crash(
                part,
                Crash { silent: true, ..crash(target, Stage::BEGINNING, now) },
                now,
            );
            if survived.is_some_and(|after| (*at..*at + 3_000).contains(&after)) {
                fatal.record_survival(part, Stage::after(EARLY), now + ms(1_000));
            }
        }
        let end = start + ms(*at.last().expect("there are some"));
        assert_eq!(fatal.blocked(part, end).is_some(), blocked, "{name}");
    }
}

/// Reports of two crashes that a host reads again after it stood still, and the crashes that it
/// counts then.
struct UnreadCase {
    name: &'static str,
    /// How long it stood still.
    unread: u64,
    /// When the targets crash again, if they do.
    again: Option<u64>,
    counted: usize,
}

#[test]
fn crashes_that_are_reported_again_to_a_host_that_stood_still_count_once() {
    let case = |name, unread, again, counted| UnreadCase { name, unread, again, counted };
    let cases = [
        case("read at once", 0, None, 2),
        case("read after three seconds", 3_000, None, 2),
        case("and crashed again", 3_000, Some(9_000), 4),
    ];
    for UnreadCase { name, unread, again, counted } in cases {
        let start = Instant::now();
        let crash =
            |target, age| CrashReport { target, stage: Stage::BEGINNING, silent: false, age };
        let report = |age| FatalReport {
            fingerprint: part(),
            ends: vec![crash(1, age), crash(2, age)],
            survived: vec![],
        };
        let mut fatal = FatalRequests::new(start);
        fatal.receive(&report(10), start, start);
        let arrived = start + ms(200);
        fatal.receive(&report(210), arrived, arrived + ms(unread));
        if let Some(at) = again {
            fatal.receive(&report(10), start + ms(at), start + ms(at));
        }
        assert_eq!(fatal.crashes(part()), counted, "{name}");
    }
}

#[test]
fn a_report_has_the_survival_that_acquits_however_far_earlier_runs_got() {
    let start = Instant::now();
    let (mut known, mut other) = (FatalRequests::new(start), FatalRequests::new(start));
    for (second, ran) in (0..).zip([20_000, 10_000, 5_000, 2_500]) {
        known.record_survival(part(), Stage::after(ms(ran)), start + ms(second * 1_000));
    }
    let crashed = start + ms(5_000);
    for host in [&mut known, &mut other] {
        host.record_crash(part(), crash(1, Stage::BEGINNING, crashed), crashed);
    }
    let now = start + ms(6_000);
    known.record_survival(part(), Stage::after(EARLY), now);
    for report in known.reports(now) {
        other.receive(&report, now, now);
    }
    assert_eq!(other.crashes(part()), 0);
}

/// Runs of a part that last for so long, in milliseconds, and whether the part is blocked when
/// engines crash under them.
struct ShortCase {
    name: &'static str,
    runs: u64,
    /// When each crash occurs in its run.
    crashes: &'static [u64],
    /// Whether runs between the crashes are complete.
    complete: bool,
    blocked: bool,
}

#[test]
fn complete_runs_acquit_a_part_of_crashes_that_none_of_its_runs_gets_beyond() {
    const LATE: &[u64] = &[700, 900, 600, 800, 700, 900];
    const NEAR_A_STAGE: &[u64] = &[480, 520, 480, 520, 480, 520];
    let case = |name, runs, crashes, complete, blocked| ShortCase {
        name,
        runs,
        crashes,
        complete,
        blocked,
    };
    let cases = [
        case("sound runs of a second", 950, LATE, true, false),
        case("runs that end before each crash", 450, LATE, true, true),
        case("no complete run", 950, LATE, false, true),
        case("crashes on both sides of a stage's end", 450, NEAR_A_STAGE, false, true),
    ];
    for ShortCase { name, runs, crashes, complete, blocked } in cases {
        let start = Instant::now();
        let mut fatal = FatalRequests::new(start);
        let mut now = start;
        for (target, crash_at) in (0_u32..).zip(crashes) {
            now += ms(5_000);
            // What a run that crashes its target had shown before.
            fatal.record_survival(part(), Stage::outlived(ms(*crash_at)), now);
            let stage = Stage::after(ms(*crash_at));
            fatal.record_crash(part(), crash(target, stage, now), now);
            if complete {
                fatal.record_survival(part(), Stage::after(ms(runs)).completed(), now + ms(1_000));
            }
        }
        assert_eq!(fatal.blocked(part(), now).is_some(), blocked, "{name}");
    }
}
