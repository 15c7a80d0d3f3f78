//! The request history and the weekly account.

use proptest::prelude::*;
use roseshore_core::ledger::account::{
    AccountDelta, Counter, Counts, Fold, MAX_ROWS, OTHERS, week_of,
};
use roseshore_core::ledger::history::{
    EndedRequest, MAX_ENDED, RequestHistory, RequestMeta, RequestState, RunningRequest,
};
use roseshore_core::prelude::*;

const DAY: u64 = 24 * 3600 * 1000;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

fn ended(request: &str, verdict: Verdict, late: u64) -> EndedRequest {
    EndedRequest {
        meta: RequestMeta {
            request: request.into(),
            service: "s".into(),
            organisation: "o".into(),
        },
        ended_at: at(10 * DAY),
        late_by: Duration::from_millis(late),
        verdict,
        code: None,
        repeated: false,
        caller_left: false,
        reroutes: 0,
        missed: false,
    }
}

struct Case {
    name: &'static str,
    ended: EndedRequest,
    late: usize,
    refused: usize,
    counts: Counts,
}

fn cases() -> Vec<Case> {
    let none = Counts::default();
    vec![
        Case {
            name: "in time",
            ended: ended("r", Verdict::Answered, 0),
            late: 0,
            refused: 0,
            counts: Counts { answered: 1, ..none },
        },
        Case {
            name: "late",
            ended: ended("r", Verdict::Answered, 5),
            late: 1,
            refused: 0,
            counts: Counts { late: 1, ..none },
        },
        Case {
            name: "a repeat that came late counts as both",
            ended: EndedRequest { repeated: true, ..ended("r", Verdict::Answered, 5) },
            late: 1,
            refused: 0,
            counts: Counts { late: 1, repeated: 1, ..none },
        },
        Case {
            name: "not found is an answer",
            ended: EndedRequest { code: Some(Code::NotFound), ..ended("r", Verdict::Answered, 0) },
            late: 0,
            refused: 0,
            counts: Counts { answered: 1, ..none },
        },
        Case {
            name: "missed advisory work",
            ended: EndedRequest {
                missed: true,
                caller_left: true,
                ..ended("r", Verdict::Answered, 0)
            },
            late: 0,
            refused: 0,
            counts: Counts { answered: 1, missed: 1, ..none },
        },
        Case {
            name: "refused",
            ended: ended("r", Verdict::NotRun, 0),
            late: 0,
            refused: 1,
            counts: Counts { refused: 1, ..none },
        },
        Case {
            name: "nobody knows whether it ran",
            ended: ended("r", Verdict::MayHaveRun, 9),
            late: 0,
            refused: 1,
            counts: Counts { unsettled: 1, ..none },
        },
    ]
}

#[test]
fn every_ended_request_is_listed_and_counted_once() {
    for case in cases() {
        let mut history = RequestHistory::default();
        let mut counter = Counter::new("h".into(), 1);
        let meta = case.ended.meta.clone();
        history.begin(RunningRequest { meta, started: at(0), deadline: at(1) });
        assert!(matches!(history.find("r"), Some(RequestState::Running(_))), "{}", case.name);
        history.end(case.ended.clone());
        counter.count(&case.ended);
        assert_eq!(history.running().count(), 0, "{}", case.name);
        assert_eq!(history.late().count(), case.late, "{}", case.name);
        assert_eq!(history.refused().count(), case.refused, "{}", case.name);
        assert_eq!(history.find("r"), Some(RequestState::Ended(case.ended)), "{}", case.name);
        let delta = counter.next_delta().expect("something was counted");
        assert_eq!(delta.rows[0].counts, case.counts, "{}", case.name);
    }
}

#[test]
fn a_flood_of_refusals_does_not_push_out_late_answers() {
    let mut history = RequestHistory::default();
    history.end(ended("late", Verdict::Answered, 5));
    for i in 0..MAX_ENDED + 10 {
        history.end(ended(&i.to_string(), Verdict::NotRun, 0));
    }
    assert_eq!((history.late().count(), history.refused().count()), (1, MAX_ENDED));
}

#[test]
fn weeks_begin_on_monday() {
    // 1970-01-05 was the first Monday of the epoch.
    for (millis, week) in [
        (4 * DAY, 4 * DAY),
        (4 * DAY + 1, 4 * DAY),
        (11 * DAY - 1, 4 * DAY),
        (11 * DAY, 11 * DAY),
        (0, 0),
    ] {
        assert_eq!(week_of(millis), week, "{millis}");
    }
}

#[test]
fn a_delta_without_a_reply_is_repeated_under_its_number() {
    let mut counter = Counter::new("h".into(), 1);
    counter.count(&ended("a", Verdict::Answered, 1));
    let first = counter.next_delta().expect("due");
    counter.count(&ended("b", Verdict::Answered, 1));
    assert_eq!(
        counter.next_delta().as_ref(),
        Some(&first),
        "unchanged until it is known to be in the log"
    );
    counter.appended();
    let second = counter.next_delta().expect("due");
    assert_eq!((first.sequence, second.sequence), (1, 2));
    counter.appended();
    assert_eq!((counter.next_delta(), counter.pending_rows()), (None, 0));
}

#[test]
fn excess_rows_of_a_week_are_merged() {
    let mut fold = Fold::default();
    let mut counter = Counter::new("h".into(), 1);
    for i in 0..2 * MAX_ROWS {
        let mut end = ended("r", Verdict::Answered, 1);
        end.meta.organisation = format!("o{i}");
        counter.count(&end);
    }
    fold.apply(0, counter.next_delta().as_ref());
    let rows: Vec<_> = fold.rows().collect();
    assert_eq!(rows.len(), MAX_ROWS + 1);
    let late: u64 = rows.iter().map(|r| r.counts.late).sum();
    assert_eq!(late, 2 * MAX_ROWS as u64, "merging loses no counts");
    assert!(rows.iter().any(|r| r.key.organisation == OTHERS));
}

/// One step of two daemons that append to one stream.
#[derive(Clone, Debug)]
enum Step {
    /// A request ends at a daemon.
    End { daemon: usize, late: bool },
    /// A daemon appends its next delta; the record or the reply may be lost.
    Append { daemon: usize, kept: bool, replied: bool },
    /// A daemon is replaced; the counts that it has not appended are lost.
    Replace { daemon: usize },
    /// A new reader resumes from a summary of the previous one.
    Summary,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize, any::<bool>()).prop_map(|(daemon, late)| Step::End { daemon, late }),
        4 => (0..2_usize, any::<bool>(), any::<bool>())
            .prop_map(|(daemon, kept, replied)| Step::Append { daemon, kept, replied: kept && replied }),
        1 => (0..2_usize).prop_map(|daemon| Step::Replace { daemon }),
        1 => Just(Step::Summary),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_account_counts_each_answer_once(steps in proptest::collection::vec(step(), 1..60)) {
        let mut incarnations = [1_u64, 1];
        let mut counters: Vec<Counter> = (0..2).map(|i| Counter::new(format!("h{i}"), 1)).collect();
        // The counts that each daemon has not yet put into a delta: late, in time.
        let mut unlogged = [(0_u64, 0_u64); 2];
        let mut pending: [Option<(AccountDelta, (u64, u64))>; 2] = [None, None];
        let mut expected = (0_u64, 0_u64);
        let mut log: Vec<AccountDelta> = Vec::new();
        let mut fold = Fold::default();
        for step in steps {
            match step {
                Step::End { daemon, late } => {
                    counters[daemon].count(&ended("r", Verdict::Answered, u64::from(late)));
                    let counts = &mut unlogged[daemon];
                    if late { counts.0 += 1 } else { counts.1 += 1 }
                }
                Step::Append { daemon, kept, replied } => {
                    let Some(delta) = counters[daemon].next_delta() else { continue };
                    if pending[daemon].as_ref().is_none_or(|(p, _)| *p != delta) {
                        pending[daemon] =
                            Some((delta.clone(), std::mem::take(&mut unlogged[daemon])));
                    }
                    if kept {
                        if !log.contains(&delta) {
                            let (_, counts) = pending[daemon].as_ref().expect("is pending");
                            expected = (expected.0 + counts.0, expected.1 + counts.1);
                        }
                        log.push(delta);
                    }
                    if replied {
                        counters[daemon].appended();
                    }
                }
                Step::Replace { daemon } => {
                    incarnations[daemon] += 1;
                    counters[daemon] = Counter::new(format!("h{daemon}"), incarnations[daemon]);
                    unlogged[daemon] = (0, 0);
                    pending[daemon] = None;
                }
                Step::Summary => {
                    let mut next = Fold::default();
                    next.resume(&fold.summary());
                    fold = next;
                }
            }
            for (offset, delta) in log.iter().enumerate().skip(fold.next() as usize) {
                fold.apply(offset as Offset, Some(delta));
            }
            let late: u64 = fold.rows().map(|r| r.counts.late).sum();
            let answered: u64 = fold.rows().map(|r| r.counts.answered).sum();
            prop_assert_eq!((late, answered), expected);
        }
        prop_assert_eq!(fold.lost(), 0);
    }
}
