//! What operators are told of a command, where it is in force, and who asks for records when.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::config::*;
use roseshore_core::prelude::*;

const ID: &str = "c";

fn record(id: &str, base: &str, rate: &str) -> String {
    format!(
        r#"{{"format":1,"id":"{id}","operator":"op","made_at":0,"changes":[{{"key":{{"kind":"organisation","id":"o"}},"base":{base},"put":{{"organisation":{{"rate":{rate}}}}}}}]}}"#
    )
}

/// How one append goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Append {
    /// Effect and reply.
    Replied,
    /// Effect, but no reply.
    ReplyLost,
    /// No effect now, no reply; the effect comes after everything else.
    Delayed,
    /// No effect, no reply.
    Vanished,
    /// No effect, and the log says so.
    Refused,
}
use Append::*;

/// The fake log, with what each append and read does.
struct World {
    log: Vec<String>,
    delayed: Vec<String>,
    appends: Vec<Append>,
    reads: Vec<bool>,
}

impl World {
    fn new(before: &[String], appends: &[Append], reads: &[bool]) -> World {
        World {
            log: before.to_vec(),
            delayed: vec![],
            appends: appends.to_vec(),
            reads: reads.to_vec(),
        }
    }

    fn append(&mut self, data: &str) -> AppendOutcome {
        let how = if self.appends.is_empty() { Refused } else { self.appends.remove(0) };
        match how {
            Replied | ReplyLost => self.log.push(data.to_owned()),
            Delayed => self.delayed.push(data.to_owned()),
            Vanished | Refused => {}
        }
        match how {
            Replied => AppendOutcome::Appended(self.log.len() as Offset - 1),
            Refused => AppendOutcome::Refused("outage".into()),
            _ => AppendOutcome::Lost("timeout".into()),
        }
    }

    fn readable(&mut self) -> bool {
        !self.reads.is_empty() && self.reads.remove(0)
    }

    /// Brings one command to its end as the driver would, on a clock of its own.
    fn run(&mut self, data: &str) -> Settled {
        let start = Instant::now();
        let mut now = start;
        let mut state = State::default();
        let mut submission =
            Submission::new(ID.into(), record_digest(data), now, start + Duration::from_secs(3));
        loop {
            match submission.next(now, &state) {
                Step::Done(settled) => return settled,
                Step::Append => {
                    let outcome = self.append(data);
                    submission.appended(now, outcome);
                }
                Step::Read => {
                    if self.readable() {
                        fold_on(&mut state, &self.log);
                    }
                    submission.log_read();
                }
                Step::Wait(until) => now = until,
            }
            now += Duration::from_millis(50);
        }
    }

    /// What the log says in the end, once what was delayed has come.
    fn truth(mut self) -> Option<Decision> {
        self.log.append(&mut self.delayed);
        let mut state = State::default();
        fold_on(&mut state, &self.log);
        state.decision(ID).map(|(_, _, judged)| judged.clone())
    }
}

fn fold_on(state: &mut State, log: &[String]) {
    for it in &log[state.offset() as usize..] {
        state.fold(state.offset(), it);
    }
}

struct Case {
    name: &'static str,
    before: Vec<String>,
    sent: String,
    appends: &'static [Append],
    reads: &'static [bool],
    want: &'static str,
}

// One case a line.
#[rustfmt::skip]
fn cases() -> Vec<Case> {
    let good = || record(ID, "null", "1");
    let raced = || vec![record("first", "null", "2")];
    let case = |name, before, sent, appends, reads, want| Case {
        name,
        before,
        sent,
        appends,
        reads,
        want,
    };
    vec![
        case("accepted", vec![], good(), &[Replied], &[true], "Accepted(0)"),
        case("invalid", vec![], record(ID, "null", "0"), &[Replied], &[true], "Rejected(CommandInvalid, Some(Invalid",),
        case("lost the race", raced(), good(), &[Replied], &[true], "Rejected(CommandConflict, Some(Conflict",),
        case("reply lost, accepted", vec![], good(), &[ReplyLost], &[true], "Accepted(0)"),
        case("reply lost, log unread, sent again", vec![], good(), &[ReplyLost, Replied], &[false, true], "Accepted(0)",),
        case("reply lost, lost the race", raced(), good(), &[ReplyLost], &[true], "Rejected(CommandConflict",),
        case("reply lost, then out", vec![], good(), &[ReplyLost], &[], "Unknown"),
        case("vanished, sent again", vec![], good(), &[Vanished, Replied], &[true, true], "Accepted(0)",),
        case("vanished, then out", vec![], good(), &[Vanished], &[true, true], "Unknown"),
        case("delayed, then out", vec![], good(), &[Delayed], &[true], "Unknown"),
        case("out from the start", vec![], good(), &[], &[], "Rejected(LogUnreachable, None, \"nothing was appended",),
        case("refused, then taken", vec![], good(), &[Refused, Replied], &[true], "Accepted(0)"),
        case("refused after a lost reply", vec![], good(), &[Delayed, Refused, Refused, Refused, Refused, Refused], &[true], "Unknown",),
        case("taken, then out", vec![], good(), &[Replied], &[], "it lies at offset 0 of the log"),
        case("the id of another command", vec![record(ID, "null", "9")], good(), &[Replied], &[true], "belongs to another command, at offset 0",),
        case("sent before by another host", vec![good()], good(), &[Replied], &[true], "Accepted(0)",),
    ]
}

#[test]
fn a_report_is_never_wrong() {
    for case in cases() {
        let mut world = World::new(&case.before, case.appends, case.reads);
        let got = format!("{:?}", world.run(&case.sent));
        assert!(got.contains(case.want), "{}: {got}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn no_order_of_faults_makes_a_report_wrong(
        raced in any::<bool>(),
        valid in any::<bool>(),
        appends in proptest::collection::vec(
            prop_oneof![Just(Replied), Just(ReplyLost), Just(Delayed), Just(Vanished), Just(Refused)], 0..8),
        reads in proptest::collection::vec(any::<bool>(), 0..12),
    ) {
        let before = if raced { vec![record("first", "null", "2")] } else { vec![] };
        let mut world = World::new(&before, &appends, &reads);
        let settled = world.run(&record(ID, "null", if valid { "1" } else { "0" }));
        let truth = world.truth();
        match settled {
            Settled::Accepted(_) => prop_assert_eq!(truth, Some(Decision::Accepted)),
            Settled::Rejected(..) => prop_assert_ne!(truth, Some(Decision::Accepted)),
            Settled::Unknown(_) => {}
        }
    }
}

#[test]
fn in_force_means_every_daemon_said_so() {
    struct Case {
        name: &'static str,
        words: &'static [(&'static str, Offset)],
        in_force: &'static [&'static str],
        unconfirmed: &'static [&'static str],
    }
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "nobody heard", words: &[], in_force: &[], unconfirmed: &["a", "b"] },
        Case { name: "one behind", words: &[("a", 6), ("b", 6), ("b", 5)], in_force: &["a"], unconfirmed: &["b"] },
        Case { name: "everywhere", words: &[("a", 6), ("b", 9), ("b", 6)], in_force: &["a", "b"], unconfirmed: &[] },
        Case { name: "an undeclared place counts", words: &[("a", 6), ("c", 1), ("b", 6)], in_force: &["a", "b"], unconfirmed: &["c"] },
    ];
    for case in cases {
        let declared = ["a".to_owned(), "b".to_owned()];
        let word = |it: &(&str, Offset)| Progress { data_centre: it.0.into(), offset: it.1 };
        let words: Vec<Progress> = case.words.iter().map(word).collect();
        let got = confirmation(5, &declared, &words);
        assert_eq!(got.in_force, case.in_force, "{}", case.name);
        assert_eq!(got.unconfirmed, case.unconfirmed, "{}", case.name);
    }
}

#[test]
fn the_log_is_read_by_few_and_watched_by_all() {
    struct Case {
        name: &'static str,
        rank: Option<usize>,
        failures: u32,
        since_ms: u64,
        want: Option<u64>,
    }
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "at once after the start", rank: Some(5), failures: 0, since_ms: 0, want: Some(0) },
        Case { name: "the first too", rank: Some(0), failures: 0, since_ms: 0, want: Some(0) },
        Case { name: "the first holds a long poll", rank: Some(0), failures: 0, since_ms: 1, want: Some(2000) },
        Case { name: "so does the second", rank: Some(1), failures: 0, since_ms: 1, want: Some(2000) },
        Case { name: "the third rests", rank: Some(2), failures: 0, since_ms: 4999, want: None },
        Case { name: "and asks as a backstop", rank: Some(2), failures: 0, since_ms: 5000, want: Some(0) },
        Case { name: "without a rank too", rank: None, failures: 0, since_ms: 5000, want: Some(0) },
        Case { name: "a pause after a failure", rank: Some(0), failures: 1, since_ms: 49, want: None },
        Case { name: "then again", rank: Some(0), failures: 1, since_ms: 100, want: Some(0) },
        Case { name: "longer pauses", rank: Some(0), failures: 4, since_ms: 300, want: None },
        Case { name: "up to a bound", rank: Some(0), failures: 40, since_ms: 2000, want: Some(0) },
    ];
    for case in cases {
        let start = Instant::now();
        let mut reader = Reader::new(ReaderLimits::default(), start);
        if case.since_ms > 0 && case.failures == 0 {
            assert_eq!(reader.answered(start, false), None, "{}", case.name);
        }
        for failure in 0..case.failures {
            let turn = reader.failed(start, 0.5);
            assert_eq!(turn, (failure == 0).then_some(Transition::Lost), "{}", case.name);
        }
        let act = reader.next(start + Duration::from_millis(case.since_ms), case.rank);
        let got = match act {
            ReadAction::Read { wait } => Some(wait.as_millis() as u64),
            ReadAction::Wait { .. } => None,
        };
        assert_eq!(got, case.want, "{}", case.name);
        let back = reader.answered(start, true);
        assert_eq!(back, (case.failures > 0).then_some(Transition::Recovered), "{}", case.name);
    }
}

#[test]
fn records_are_pulled_from_whoever_is_ahead() {
    struct Case {
        name: &'static str,
        offset: Offset,
        failures: usize,
        want: Option<&'static str>,
    }
    let peer = |host: &str, near, offset| Peer { host: host.into(), near, offset, digest: offset };
    let peers = [
        peer("far", false, 9),
        peer("near", true, 7),
        peer("behind", true, 3),
        peer("top", true, 8),
    ];
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "the near one that is furthest", offset: 3, failures: 0, want: Some("top") },
        Case { name: "the next after a failure", offset: 3, failures: 1, want: Some("near") },
        Case { name: "a far one when no near one can", offset: 8, failures: 0, want: Some("far") },
        Case { name: "round again", offset: 3, failures: 3, want: Some("top") },
        Case { name: "nobody is ahead", offset: 9, failures: 2, want: None },
    ];
    for case in cases {
        let mut selector = PeerSelector::default();
        (0..case.failures).for_each(|_| selector.asked(false));
        let got = selector.next(case.offset, &peers).map(|it| it.host.as_str());
        assert_eq!(got, case.want, "{}", case.name);
    }
    let differing: Vec<_> = diverged(7, 1, &peers).into_iter().map(|it| it.host.as_str()).collect();
    assert_eq!(differing, ["near"]);
    assert!(diverged(7, 7, &peers).is_empty() && diverged(6, 1, &peers).is_empty());
}

#[test]
fn a_snapshot_is_written_when_due_by_the_first_alone() {
    struct Case {
        name: &'static str,
        first: bool,
        offset: Offset,
        newest: Option<(Offset, u64)>,
        want: SnapshotAction,
    }
    let minutes = |it: u64| Duration::from_mins(it);
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "no records yet", first: true, offset: 0, newest: None, want: SnapshotAction::Nothing },
        Case { name: "not the first", first: false, offset: 900, newest: None, want: SnapshotAction::Nothing },
        Case { name: "there is none", first: true, offset: 1, newest: None, want: SnapshotAction::Write },
        Case { name: "a fresh one", first: true, offset: 300, newest: Some((45, 14)), want: SnapshotAction::Nothing },
        Case { name: "many records since", first: true, offset: 301, newest: Some((45, 14)), want: SnapshotAction::Write },
        Case { name: "an old one, nothing new", first: true, offset: 45, newest: Some((45, 15)), want: SnapshotAction::Write },
    ];
    for case in cases {
        let now = Instant::now() + minutes(60);
        let mut schedule = SnapshotSchedule::new(SnapshotLimits::default(), now);
        let look = if case.first && case.offset > 0 {
            SnapshotAction::Look
        } else {
            SnapshotAction::Nothing
        };
        assert_eq!(schedule.next(now, case.first, case.offset), look, "{}", case.name);
        schedule.found(now, case.newest.map(|(offset, age)| (offset, minutes(age))));
        assert_eq!(schedule.next(now, case.first, case.offset), case.want, "{}", case.name);
        schedule.failed(now);
        assert_eq!(
            schedule.next(now, case.first, case.offset),
            SnapshotAction::Nothing,
            "{}: a pause",
            case.name
        );
        schedule.written(now, case.offset);
        let later = now + minutes(1);
        assert_eq!(
            schedule.next(later, case.first, case.offset),
            SnapshotAction::Nothing,
            "{}",
            case.name
        );
    }
}
