//! The record of requests and the weekly account.

use proptest::prelude::*;
use roseshore_core::ledger::account::{Counter, Counts, Fold, OTHERS, Part, ROWS, week_of};
use roseshore_core::ledger::history::{Book, Ended, Fate, KEPT, Running, Whose};
use roseshore_core::prelude::*;

const DAY: u64 = 24 * 3600 * 1000;

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

fn ended(request: &str, verdict: Verdict, late: u64) -> Ended {
    Ended {
        whose: Whose { request: request.into(), service: "s".into(), organisation: "o".into() },
        at: at(10 * DAY),
        late: Duration::from_millis(late),
        verdict,
        code: None,
        repeated: false,
        left: false,
        resumed: 0,
        missed: false,
    }
}

struct Case {
    name: &'static str,
    ended: Ended,
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
            ended: Ended { repeated: true, ..ended("r", Verdict::Answered, 5) },
            late: 1,
            refused: 0,
            counts: Counts { late: 1, repeated: 1, ..none },
        },
        Case {
            name: "not found is an answer",
            ended: Ended { code: Some(Code::NotFound), ..ended("r", Verdict::Answered, 0) },
            late: 0,
            refused: 0,
            counts: Counts { answered: 1, ..none },
        },
        Case {
            name: "missed advisory work",
            ended: Ended { missed: true, left: true, ..ended("r", Verdict::Answered, 0) },
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
fn every_end_is_listed_and_counted_once() {
    for case in cases() {
        let mut book = Book::default();
        let mut counter = Counter::new("h".into(), 1);
        let whose = case.ended.whose.clone();
        book.begun(Running { whose, begun: at(0), deadline: at(1) });
        assert!(matches!(book.fate("r"), Some(Fate::Running(_))), "{}", case.name);
        book.ended(case.ended.clone());
        counter.ended(&case.ended);
        assert_eq!(book.running().count(), 0, "{}", case.name);
        assert_eq!(book.late().count(), case.late, "{}", case.name);
        assert_eq!(book.refused().count(), case.refused, "{}", case.name);
        assert_eq!(book.fate("r"), Some(Fate::Ended(case.ended)), "{}", case.name);
        let part = counter.due().expect("something was counted");
        assert_eq!(part.rows[0].counts, case.counts, "{}", case.name);
    }
}

#[test]
fn a_flood_of_refusals_does_not_push_out_late_answers() {
    let mut book = Book::default();
    book.ended(ended("late", Verdict::Answered, 5));
    for i in 0..KEPT + 10 {
        book.ended(ended(&i.to_string(), Verdict::NotRun, 0));
    }
    assert_eq!((book.late().count(), book.refused().count()), (1, KEPT));
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
fn a_part_without_a_reply_is_given_again_under_its_number() {
    let mut counter = Counter::new("h".into(), 1);
    counter.ended(&ended("a", Verdict::Answered, 1));
    let first = counter.due().expect("due");
    counter.ended(&ended("b", Verdict::Answered, 1));
    assert_eq!(counter.due().as_ref(), Some(&first), "unchanged until it is known to be there");
    counter.appended();
    let second = counter.due().expect("due");
    assert_eq!((first.sequence, second.sequence), (1, 2));
    counter.appended();
    assert_eq!((counter.due(), counter.open()), (None, 0));
}

#[test]
fn too_many_rows_of_a_week_are_added_up() {
    let mut fold = Fold::default();
    let mut counter = Counter::new("h".into(), 1);
    for i in 0..2 * ROWS {
        let mut end = ended("r", Verdict::Answered, 1);
        end.whose.organisation = format!("o{i}");
        counter.ended(&end);
    }
    fold.take(0, counter.due().as_ref());
    let rows: Vec<_> = fold.rows().collect();
    assert_eq!(rows.len(), ROWS + 1);
    let late: u64 = rows.iter().map(|r| r.counts.late).sum();
    assert_eq!(late, 2 * ROWS as u64, "nothing is lost by adding up");
    assert!(rows.iter().any(|r| r.key.organisation == OTHERS));
}

/// One step of two daemons that write to one stream.
#[derive(Clone, Debug)]
enum Step {
    /// A request ends at a daemon.
    End { daemon: usize, late: bool },
    /// A daemon appends what is due; the record may be lost, and the reply.
    Append { daemon: usize, kept: bool, replied: bool },
    /// A daemon is replaced; what it had not appended is lost with it.
    Replace { daemon: usize },
    /// A reader starts anew from a summary of the reader before it.
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
        let mut lives = [1_u64, 1];
        let mut counters: Vec<Counter> = (0..2).map(|i| Counter::new(format!("h{i}"), 1)).collect();
        // What each daemon counted and has not put into the log: late, in time.
        let mut open = [(0_u64, 0_u64); 2];
        let mut pending: [Option<(Part, (u64, u64))>; 2] = [None, None];
        let mut expected = (0_u64, 0_u64);
        let mut log: Vec<Part> = Vec::new();
        let mut fold = Fold::default();
        for step in steps {
            match step {
                Step::End { daemon, late } => {
                    counters[daemon].ended(&ended("r", Verdict::Answered, u64::from(late)));
                    let counts = &mut open[daemon];
                    if late { counts.0 += 1 } else { counts.1 += 1 }
                }
                Step::Append { daemon, kept, replied } => {
                    let Some(part) = counters[daemon].due() else { continue };
                    if pending[daemon].as_ref().is_none_or(|(p, _)| *p != part) {
                        pending[daemon] = Some((part.clone(), std::mem::take(&mut open[daemon])));
                    }
                    if kept {
                        if !log.contains(&part) {
                            let (_, counts) = pending[daemon].as_ref().expect("is pending");
                            expected = (expected.0 + counts.0, expected.1 + counts.1);
                        }
                        log.push(part);
                    }
                    if replied {
                        counters[daemon].appended();
                    }
                }
                Step::Replace { daemon } => {
                    lives[daemon] += 1;
                    counters[daemon] = Counter::new(format!("h{daemon}"), lives[daemon]);
                    open[daemon] = (0, 0);
                    pending[daemon] = None;
                }
                Step::Summary => {
                    let mut next = Fold::default();
                    next.resume(&fold.summary());
                    fold = next;
                }
            }
            for (offset, part) in log.iter().enumerate().skip(fold.next() as usize) {
                fold.take(offset as Offset, Some(part));
            }
            let late: u64 = fold.rows().map(|r| r.counts.late).sum();
            let answered: u64 = fold.rows().map(|r| r.counts.answered).sum();
            prop_assert_eq!((late, answered), expected);
        }
        prop_assert_eq!(fold.lost(), 0);
    }
}
