//! Lookups over several sources: tables of scripts, then any order of events.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::lookup::{
    Action, Budgets, LatencyEstimate, Lookup, Outcome, Policy, Reason, SourceReply,
};
use roseshore_core::prelude::*;
use roseshore_core::retry::RetryBudget;

const DEADLINE: u64 = 5000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Fixed times: hedge after 30 ms, attempts end after 1 s, retries come 10 ms to 20 ms later.
fn policy() -> Policy {
    Policy { hedge_after: ms(30), attempt_limit: ms(1000), attempts: 3, ..Policy::default() }
}

fn budgets(burst: f64) -> Budgets {
    Budgets {
        retries: RetryBudget::new(0.1, burst, 0.0),
        hedges: RetryBudget::new(0.1, burst, 0.0),
    }
}

/// An event, at a time in milliseconds from the start.
enum Step {
    Tick(u64),
    Say(u64, usize, SourceReply<&'static str>),
}

#[derive(Default)]
struct Seen {
    asked: Vec<(usize, Reason)>,
    ended: Option<(u64, Outcome<&'static str>)>,
    conflicts: Vec<(usize, usize)>,
}

fn play(
    mut lookup: Lookup<&'static str>,
    budgets: &mut Budgets,
    steps: Vec<Step>,
    t0: Instant,
) -> Seen {
    let mut seen = Seen::default();
    let start = std::iter::once(Step::Tick(0));
    for step in start.chain(steps) {
        let (at, actions) = match step {
            Step::Tick(at) => (at, lookup.tick(t0 + ms(at), budgets)),
            Step::Say(at, attempt, said) => {
                (at, lookup.on_reply(attempt, said, t0 + ms(at), budgets))
            }
        };
        for action in actions {
            match action {
                Action::Ask { source, reason, attempt, .. } => {
                    assert_eq!(attempt, seen.asked.len(), "attempts are numbered as they come");
                    seen.asked.push((source, reason));
                }
                Action::Done(outcome) => {
                    assert!(seen.ended.is_none(), "told twice");
                    seen.ended = Some((at, outcome));
                }
                Action::Conflict { earlier, later } => seen.conflicts.push((earlier, later)),
            }
        }
    }
    seen
}

// One table, which is read best in one piece.
#[allow(clippy::too_many_lines)]
#[test]
fn scripts() {
    use Reason::{First, Hedge, Retry};
    use SourceReply::{Failed, Found, Missing, NoReplica};
    use Step::{Say, Tick};
    use Verdict::{MayHaveRun, NotRun};
    struct Case {
        name: &'static str,
        sources: usize,
        burst: f64,
        compare: bool,
        steps: Vec<Step>,
        asked: Vec<(usize, Reason)>,
        ended: Option<(u64, Outcome<&'static str>)>,
        conflicts: Vec<(usize, usize)>,
    }
    let base = |name, sources, steps, asked, ended| Case {
        name,
        sources,
        burst: 10.0,
        compare: false,
        steps,
        asked,
        ended,
        conflicts: vec![],
    };
    let found = |at, index, record| Some((at, Outcome::Found(index, record)));
    let silent = |at, index, verdict| Some((at, Outcome::Unavailable(index, verdict)));
    let firsts = || vec![(0, First), (1, First), (2, First)];
    let cases = [
        base("first holds", 3, vec![Say(1, 0, Found("a"))], vec![(0, First)], found(1, 0, "a")),
        base(
            "second holds",
            3,
            vec![Say(1, 0, Missing), Say(2, 1, Found("b"))],
            vec![(0, First), (1, First)],
            found(2, 1, "b"),
        ),
        base(
            "every source says missing",
            3,
            vec![Say(1, 0, Missing), Say(2, 1, Missing), Say(3, 2, Missing)],
            firsts(),
            Some((3, Outcome::NotFound)),
        ),
        base(
            "last source silent",
            3,
            vec![Say(1, 0, Missing), Say(2, 1, Missing), Say(3, 2, NoReplica)],
            firsts(),
            silent(3, 2, MayHaveRun),
        ),
        base(
            "no replica of the only source",
            1,
            vec![Say(0, 0, NoReplica)],
            vec![(0, First)],
            silent(0, 0, NotRun),
        ),
        base(
            "retry after a failure",
            1,
            vec![Say(1, 0, Failed(MayHaveRun)), Tick(30), Say(31, 1, Found("a"))],
            vec![(0, First), (0, Retry)],
            found(31, 0, "a"),
        ),
        base(
            "every attempt refused unstarted",
            1,
            vec![
                Say(1, 0, Failed(NotRun)),
                Tick(30),
                Say(31, 1, Failed(NotRun)),
                Tick(80),
                Say(81, 2, Failed(NotRun)),
            ],
            vec![(0, First), (0, Retry), (0, Retry)],
            silent(81, 0, NotRun),
        ),
        base(
            "one of the attempts may have run",
            1,
            vec![
                Say(1, 0, Failed(MayHaveRun)),
                Tick(30),
                Say(31, 1, Failed(NotRun)),
                Tick(80),
                Say(81, 2, Failed(NotRun)),
            ],
            vec![(0, First), (0, Retry), (0, Retry)],
            silent(81, 0, MayHaveRun),
        ),
        Case {
            burst: 0.0,
            ..base(
                "no budget: given up at once, long before the deadline",
                1,
                vec![Say(1, 0, Failed(MayHaveRun))],
                vec![(0, First)],
                silent(1, 0, MayHaveRun),
            )
        },
        Case {
            burst: 0.0,
            ..base(
                "no budget: a frozen source is given up at the attempt's limit",
                1,
                vec![Tick(999), Tick(1000)],
                vec![(0, First)],
                silent(1000, 0, MayHaveRun),
            )
        },
        base(
            "hedge answers",
            1,
            vec![Tick(30), Say(35, 1, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(35, 0, "a"),
        ),
        base(
            "slow one answers after the hedge failed",
            1,
            vec![Tick(30), Say(35, 1, Failed(MayHaveRun)), Say(40, 0, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(40, 0, "a"),
        ),
        base(
            "hedge without a second replica",
            1,
            vec![Tick(30), Say(30, 1, NoReplica), Say(40, 0, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(40, 0, "a"),
        ),
        base(
            "slow first source: the second's record waits for the first's word",
            2,
            vec![Tick(30), Say(31, 1, Found("b")), Say(500, 0, Missing)],
            vec![(0, First), (1, First), (0, Hedge)],
            found(500, 1, "b"),
        ),
        base(
            "earlier source silent, later one holds: refused",
            2,
            vec![
                Tick(30),
                Say(31, 1, Found("b")),
                Say(32, 2, NoReplica),
                Tick(1000),
                Tick(1030),
                Tick(2030),
                Tick(2080),
                Tick(3080),
            ],
            vec![(0, First), (1, First), (0, Hedge), (0, Retry), (0, Retry)],
            silent(3080, 0, MayHaveRun),
        ),
        base(
            "later source silent, earlier one holds: answered",
            2,
            vec![Tick(30), Say(31, 1, NoReplica), Say(32, 0, Found("a"))],
            vec![(0, First), (1, First), (0, Hedge)],
            found(32, 0, "a"),
        ),
        base(
            "deadline",
            1,
            vec![Tick(DEADLINE)],
            vec![(0, First)],
            silent(DEADLINE, 0, MayHaveRun),
        ),
        Case {
            compare: true,
            conflicts: vec![(0, 1)],
            ..base(
                "sources that differ, the first in order goes first",
                3,
                vec![Say(1, 1, Found("b")), Say(2, 0, Found("a")), Say(3, 2, Missing)],
                firsts(),
                found(2, 0, "a"),
            )
        },
        Case {
            compare: true,
            conflicts: vec![(0, 2)],
            ..base(
                "sources that differ, the later one after the answer",
                3,
                vec![Say(1, 0, Found("a")), Say(2, 1, Missing), Say(3, 2, Found("c"))],
                firsts(),
                found(1, 0, "a"),
            )
        },
        Case {
            compare: true,
            ..base(
                "equal records are no conflict",
                3,
                vec![Say(1, 2, Found("a")), Say(2, 1, Found("a")), Say(3, 0, Found("a"))],
                firsts(),
                found(3, 0, "a"),
            )
        },
        Case {
            conflicts: vec![(0, 0)],
            ..base(
                "replicas of one source differ: the record goes before its absence",
                2,
                vec![Tick(30), Say(31, 2, Missing), Say(32, 0, Found("a"))],
                vec![(0, First), (1, First), (0, Hedge)],
                found(32, 0, "a"),
            )
        },
    ];
    for case in cases {
        let t0 = Instant::now();
        let policy = Policy { compare: case.compare, ..policy() };
        let lookup = Lookup::new(case.sources, policy, t0 + ms(DEADLINE));
        let seen = play(lookup, &mut budgets(case.burst), case.steps, t0);
        assert_eq!(seen.asked, case.asked, "asked, {}", case.name);
        assert_eq!(seen.ended, case.ended, "ended, {}", case.name);
        assert_eq!(seen.conflicts, case.conflicts, "conflicts, {}", case.name);
    }
}

/// The same cases in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// What an attempt brings: the source's truth, or a failure.
#[derive(Clone, Copy, Debug)]
enum Luck {
    Truth,
    NotRun,
    Lost,
    NoReplica,
}

#[derive(Clone, Debug)]
enum Move {
    /// The attempt of this index among the open ones brings this.
    Reply(prop::sample::Index, Luck),
    /// An attempt that was given up brings something late.
    Late(prop::sample::Index, Luck),
    Pass(u64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let luck = prop_oneof![
        4 => Just(Luck::Truth),
        1 => Just(Luck::NotRun),
        2 => Just(Luck::Lost),
        1 => Just(Luck::NoReplica)
    ];
    let any = any::<prop::sample::Index>;
    let reply = (any(), luck.clone()).prop_map(|(i, l)| Move::Reply(i, l));
    let late = (any(), luck).prop_map(|(i, l)| Move::Late(i, l));
    let one = prop_oneof![5 => reply, 1 => late, 4 => (0_u64..1200).prop_map(Move::Pass)];
    prop::collection::vec(one, 0..40)
}

/// What a driver would have seen of one lookup.
#[derive(Default)]
struct Run {
    asks: Vec<(usize, Reason)>,
    replied: Vec<bool>,
    missing: Vec<bool>,
    holds: Vec<bool>,
    ran: bool,
    successes: f64,
    outcome: Option<Outcome<usize>>,
}

impl Run {
    fn take(&mut self, actions: Vec<Action<usize>>) {
        for action in actions {
            match action {
                Action::Ask { source, reason, .. } => {
                    assert!(self.outcome.is_none(), "asked after the end");
                    self.asks.push((source, reason));
                    self.replied.push(false);
                }
                Action::Done(outcome) => {
                    assert!(self.outcome.is_none(), "told twice");
                    self.check(&outcome);
                    self.outcome = Some(outcome);
                }
                Action::Conflict { earlier, later } => assert!(earlier <= later),
            }
        }
    }

    fn check(&self, outcome: &Outcome<usize>) {
        let all_missing = |up_to: usize| self.missing[..up_to].iter().all(|m| *m);
        match outcome {
            Outcome::NotFound => assert!(all_missing(self.missing.len())),
            Outcome::Found(index, record) => {
                assert!(all_missing(*index) && self.holds[*index]);
                assert_eq!(record, index);
            }
            Outcome::Unavailable(index, verdict) => {
                assert!(all_missing(*index) && !self.missing[*index] && !self.holds[*index]);
                let unclear = self.ran || self.replied.iter().any(|r| !r);
                assert!(*verdict != Verdict::NotRun || !unclear, "`not run` is not true");
            }
        }
    }

    fn said(&mut self, attempt: usize, luck: Luck, truth: &[bool]) -> SourceReply<usize> {
        let source = self.asks[attempt].0;
        let first = !std::mem::replace(&mut self.replied[attempt], true);
        let told = matches!(luck, Luck::Truth | Luck::Lost);
        self.ran |= told || !first;
        match luck {
            Luck::Truth => {
                self.successes += 1.0;
                if truth[source] {
                    self.holds[source] = true;
                    SourceReply::Found(source)
                } else {
                    self.missing[source] = true;
                    SourceReply::Missing
                }
            }
            Luck::NotRun => SourceReply::Failed(Verdict::NotRun),
            Luck::Lost => SourceReply::Failed(Verdict::MayHaveRun),
            Luck::NoReplica => SourceReply::NoReplica,
        }
    }
}

proptest! {
    #![proptest_config(config(2000))]

    #[test]
    fn any_order_of_events(
        truth in prop::collection::vec(any::<bool>(), 1..5),
        compare in any::<bool>(),
        burst in 0.0_f64..4.0,
        moves in moves(),
    ) {
        let t0 = Instant::now();
        let mut now = t0;
        let (deadline, burst) = (t0 + ms(DEADLINE), burst.floor());
        let mut budgets = budgets(burst);
        let sources = truth.len();
        let mut lookup = Lookup::new(sources, Policy { compare, ..policy() }, deadline);
        let mut run = Run {
            missing: vec![false; sources],
            holds: vec![false; sources],
            ..Run::default()
        };
        run.take(lookup.tick(now, &mut budgets));
        for step in moves {
            let (late, index, luck) = match step {
                Move::Pass(wait) => {
                    now += ms(wait);
                    prop_assert!(lookup.done() || lookup.next_wake() <= deadline);
                    run.take(lookup.tick(now, &mut budgets));
                    continue;
                }
                Move::Reply(index, luck) => (false, index, luck),
                Move::Late(index, luck) => (true, index, luck),
            };
            let fit: Vec<usize> = (0..run.asks.len()).filter(|a| run.replied[*a] == late).collect();
            if !fit.is_empty() && (!late || matches!(luck, Luck::Truth)) {
                let attempt = *index.get(&fit);
                let said = run.said(attempt, luck, &truth);
                run.take(lookup.on_reply(attempt, said, now, &mut budgets));
            }
        }
        run.take(lookup.tick(deadline.max(now), &mut budgets));
        prop_assert!(run.outcome.is_some(), "not ended at the deadline");
        let paid = |reason| run.asks.iter().filter(|(_, r)| *r == reason).count() as f64;
        let bound = burst + 0.1 * run.successes;
        prop_assert!(paid(Reason::Retry) <= bound && paid(Reason::Hedge) <= bound);
        for source in 0..sources {
            let asks = run.asks.iter().filter(|(s, _)| *s == source).count();
            prop_assert!(asks <= 5, "asked {asks} times");
        }
    }
}

#[test]
fn pace_follows_replies_within_bounds() {
    struct Case {
        name: &'static str,
        took: Vec<u64>,
        least: u64,
        most: u64,
    }
    let cases = [
        Case { name: "unknown", took: vec![], least: 30, most: 30 },
        Case { name: "even", took: vec![20; 100], least: 20, most: 21 },
        Case { name: "never under the shortest", took: vec![0; 10], least: 5, most: 5 },
        Case { name: "never over the longest", took: vec![4000; 10], least: 300, most: 300 },
        Case { name: "wide", took: [10, 40].repeat(50), least: 50, most: 150 },
    ];
    for case in cases {
        let mut pace = LatencyEstimate::default();
        case.took.iter().for_each(|t| pace.observe(ms(*t)));
        let after = pace.hedge_after();
        assert!(ms(case.least) <= after && after <= ms(case.most), "{}: {after:?}", case.name);
    }
}
