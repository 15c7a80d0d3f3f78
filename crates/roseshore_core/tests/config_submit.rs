//! Tests of reports on commands, of where a command is in force, and of the schedules for reading
//! records and writing snapshots.

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

/// Behaviour of one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Append {
    /// The record is appended and the reply arrives.
    Replied,
    /// The record is appended, but the reply is lost.
    ReplyLost,
    /// There is no reply, and the record is appended after everything else.
    Delayed,
    /// There is no reply, and the record is never appended.
    Vanished,
    /// The log refuses the record.
    Refused,
}
use Append::*;

/// Fake log with the behaviour of each append and read; `true` is a successful read.
struct FakeLog {
    records: Vec<String>,
    delayed: Vec<String>,
    appends: Vec<Append>,
    reads: Vec<bool>,
}

impl FakeLog {
    fn new(before: &[String], appends: &[Append], reads: &[bool]) -> FakeLog {
        FakeLog {
            records: before.to_vec(),
            delayed: vec![],
            appends: appends.to_vec(),
            reads: reads.to_vec(),
        }
    }

    fn append(&mut self, data: &str) -> AppendOutcome {
        let how = if self.appends.is_empty() { Refused } else { self.appends.remove(0) };
        match how {
            Replied | ReplyLost => self.records.push(data.to_owned()),
            Delayed => self.delayed.push(data.to_owned()),
            Vanished | Refused => {}
        }
        match how {
            Replied => AppendOutcome::Appended(self.records.len() as Offset - 1),
            Refused => AppendOutcome::Refused("outage".into()),
            _ => AppendOutcome::Lost("timeout".into()),
        }
    }

    fn read_succeeds(&mut self) -> bool {
        !self.reads.is_empty() && self.reads.remove(0)
    }

    /// Submits one command as the driver does, with a simulated clock.
    fn run(&mut self, data: &str) -> CommandResult {
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
                    if self.read_succeeds() {
                        fold_rest(&mut state, &self.records);
                    }
                    submission.log_read();
                }
                Step::Wait(until) => now = until,
            }
            now += Duration::from_millis(50);
        }
    }

    /// Decision by the log once delayed records have been appended.
    fn final_decision(mut self) -> Option<Decision> {
        self.records.append(&mut self.delayed);
        let mut state = State::default();
        fold_rest(&mut state, &self.records);
        state.decision(ID).map(|(_, _, judged)| judged.clone())
    }
}

fn fold_rest(state: &mut State, log: &[String]) {
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
        case("a concurrent command was first", raced(), good(), &[Replied], &[true], "Rejected(CommandConflict, Some(Conflict",),
        case("reply lost, accepted", vec![], good(), &[ReplyLost], &[true], "Accepted(0)"),
        case("reply lost, read failed, appended again", vec![], good(), &[ReplyLost, Replied], &[false, true], "Accepted(0)",),
        case("reply lost, a concurrent command was first", raced(), good(), &[ReplyLost], &[true], "Rejected(CommandConflict",),
        case("reply lost, then outage", vec![], good(), &[ReplyLost], &[], "Unknown"),
        case("vanished, appended again", vec![], good(), &[Vanished, Replied], &[true, true], "Accepted(0)",),
        case("vanished, then outage", vec![], good(), &[Vanished], &[true, true], "Unknown"),
        case("delayed, then outage", vec![], good(), &[Delayed], &[true], "Unknown"),
        case("outage from the start", vec![], good(), &[], &[], "Rejected(LogUnreachable, None, \"nothing was appended",),
        case("refused, then appended", vec![], good(), &[Refused, Replied], &[true], "Accepted(0)"),
        case("refused after a lost reply", vec![], good(), &[Delayed, Refused, Refused, Refused, Refused, Refused], &[true], "Unknown",),
        case("appended, then outage", vec![], good(), &[Replied], &[], "it lies at offset 0 of the log"),
        case("the id of another command", vec![record(ID, "null", "9")], good(), &[Replied], &[true], "belongs to another command, at offset 0",),
        case("appended before by another host", vec![good()], good(), &[Replied], &[true], "Accepted(0)",),
    ]
}

#[test]
fn reports_are_correct() {
    for case in cases() {
        let mut log = FakeLog::new(&case.before, case.appends, case.reads);
        let got = format!("{:?}", log.run(&case.sent));
        assert!(got.contains(case.want), "{}: {got}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn reports_are_correct_under_any_faults(
        raced in any::<bool>(),
        valid in any::<bool>(),
        appends in proptest::collection::vec(
            prop_oneof![Just(Replied), Just(ReplyLost), Just(Delayed), Just(Vanished), Just(Refused)], 0..8),
        reads in proptest::collection::vec(any::<bool>(), 0..12),
    ) {
        let before = if raced { vec![record("first", "null", "2")] } else { vec![] };
        let mut log = FakeLog::new(&before, &appends, &reads);
        let settled = log.run(&record(ID, "null", if valid { "1" } else { "0" }));
        let actual = log.final_decision();
        match settled {
            CommandResult::Accepted(_) => prop_assert_eq!(actual, Some(Decision::Accepted)),
            CommandResult::Rejected(..) => prop_assert_ne!(actual, Some(Decision::Accepted)),
            CommandResult::Unknown(_) => {}
        }
    }
}

#[test]
fn in_force_requires_progress_of_every_daemon() {
    struct Case {
        name: &'static str,
        progress: &'static [(&'static str, Offset)],
        in_force: &'static [&'static str],
        unconfirmed: &'static [&'static str],
    }
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "no progress known", progress: &[], in_force: &[], unconfirmed: &["a", "b"] },
        Case { name: "one behind", progress: &[("a", 6), ("b", 6), ("b", 5)], in_force: &["a"], unconfirmed: &["b"] },
        Case { name: "everywhere", progress: &[("a", 6), ("b", 9), ("b", 6)], in_force: &["a", "b"], unconfirmed: &[] },
        Case { name: "an undeclared data centre counts", progress: &[("a", 6), ("c", 1), ("b", 6)], in_force: &["a", "b"], unconfirmed: &["c"] },
    ];
    for case in cases {
        let declared = ["a".to_owned(), "b".to_owned()];
        let progress = |it: &(&str, Offset)| Progress { data_centre: it.0.into(), offset: it.1 };
        let progress: Vec<Progress> = case.progress.iter().map(progress).collect();
        let got = confirmation(5, &declared, &progress);
        assert_eq!(got.in_force, case.in_force, "{}", case.name);
        assert_eq!(got.unconfirmed, case.unconfirmed, "{}", case.name);
    }
}

#[test]
fn few_daemons_long_poll_and_all_read_at_an_interval() {
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
        Case { name: "the first daemon at once after the start", rank: Some(0), failures: 0, since_ms: 0, want: Some(0) },
        Case { name: "the first long-polls", rank: Some(0), failures: 0, since_ms: 1, want: Some(2000) },
        Case { name: "the second long-polls", rank: Some(1), failures: 0, since_ms: 1, want: Some(2000) },
        Case { name: "the third waits", rank: Some(2), failures: 0, since_ms: 4999, want: None },
        Case { name: "the third reads at the poll interval", rank: Some(2), failures: 0, since_ms: 5000, want: Some(0) },
        Case { name: "without a rank at the poll interval", rank: None, failures: 0, since_ms: 5000, want: Some(0) },
        Case { name: "a pause after a failure", rank: Some(0), failures: 1, since_ms: 49, want: None },
        Case { name: "the next read after the pause", rank: Some(0), failures: 1, since_ms: 100, want: Some(0) },
        Case { name: "longer pauses", rank: Some(0), failures: 4, since_ms: 300, want: None },
        Case { name: "up to the longest pause", rank: Some(0), failures: 40, since_ms: 2000, want: Some(0) },
    ];
    for case in cases {
        let start = Instant::now();
        let mut reader = Reader::new(ReaderLimits::default(), start);
        if case.since_ms > 0 && case.failures == 0 {
            assert_eq!(reader.answered(start, false), None, "{}", case.name);
        }
        for failure in 0..case.failures {
            let transition = reader.failed(start, 0.5);
            assert_eq!(transition, (failure == 0).then_some(Transition::Lost), "{}", case.name);
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
fn records_are_pulled_from_a_peer_that_is_ahead() {
    struct Case {
        name: &'static str,
        offset: Offset,
        failures: usize,
        want: Option<&'static str>,
    }
    let peer =
        |host: &str, local, offset| Peer { host: host.into(), local, offset, digest: offset };
    let peers = [
        peer("far", false, 9),
        peer("near", true, 7),
        peer("behind", true, 3),
        peer("top", true, 8),
    ];
    #[rustfmt::skip] // One case a line.
    let cases = [
        Case { name: "the local peer with the latest offset", offset: 3, failures: 0, want: Some("top") },
        Case { name: "the next after a failure", offset: 3, failures: 1, want: Some("near") },
        Case { name: "a remote peer when no local peer is ahead", offset: 8, failures: 0, want: Some("far") },
        Case { name: "after all peers the first again", offset: 3, failures: 3, want: Some("top") },
        Case { name: "no peer is ahead", offset: 9, failures: 2, want: None },
    ];
    for case in cases {
        let mut selector = PeerSelector::default();
        (0..case.failures).for_each(|_| selector.record(false));
        let got = selector.next(case.offset, &peers).map(|it| it.host.as_str());
        assert_eq!(got, case.want, "{}", case.name);
    }
    let differing: Vec<_> = diverged(7, 1, &peers).into_iter().map(|it| it.host.as_str()).collect();
    assert_eq!(differing, ["near"]);
    assert!(diverged(7, 7, &peers).is_empty() && diverged(6, 1, &peers).is_empty());
}

#[test]
fn only_the_first_daemon_writes_a_due_snapshot() {
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
        let check = if case.first && case.offset > 0 {
            SnapshotAction::CheckNewest
        } else {
            SnapshotAction::Nothing
        };
        assert_eq!(schedule.next(now, case.first, case.offset), check, "{}", case.name);
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
