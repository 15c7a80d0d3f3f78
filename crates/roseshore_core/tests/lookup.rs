//! Lookups over several sources: scripted cases, then arbitrary orders of events.

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

/// Fixed timing: hedges after 30 ms, attempts end after 1 s, retries start 10 ms to 20 ms later.
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
    Reply(u64, usize, SourceReply<&'static str>),
}

#[derive(Default)]
struct Observed {
    asked: Vec<(usize, Reason)>,
    outcome: Option<(u64, Outcome<&'static str>)>,
    conflicts: Vec<(usize, usize)>,
}

fn run_script(
    mut lookup: Lookup<&'static str>,
    budgets: &mut Budgets,
    steps: Vec<Step>,
    t0: Instant,
) -> Observed {
    let mut observed = Observed::default();
    let start = std::iter::once(Step::Tick(0));
    for step in start.chain(steps) {
        let (at, actions) = match step {
            Step::Tick(at) => (at, lookup.tick(t0 + ms(at), budgets)),
            Step::Reply(at, attempt, reply) => {
                (at, lookup.on_reply(attempt, reply, t0 + ms(at), budgets))
            }
        };
        for action in actions {
            match action {
                Action::Ask { source, reason, attempt, .. } => {
                    assert_eq!(attempt, observed.asked.len(), "attempts are numbered in order");
                    observed.asked.push((source, reason));
                }
                Action::Done(outcome) => {
                    assert!(observed.outcome.is_none(), "the outcome was returned twice");
                    observed.outcome = Some((at, outcome));
                }
                Action::Conflict { earlier, later } => observed.conflicts.push((earlier, later)),
            }
        }
    }
    observed
}

// One table, which is easiest to read as a whole.
#[allow(clippy::too_many_lines)]
#[test]
fn scripts() {
    use Reason::{First, Hedge, Retry};
    use SourceReply::{Failed, Found, Missing, NoReplica};
    use Step::{Reply, Tick};
    use Verdict::{MayHaveRun, NotRun};
    struct Case {
        name: &'static str,
        sources: usize,
        burst: f64,
        compare: bool,
        steps: Vec<Step>,
        asked: Vec<(usize, Reason)>,
        outcome: Option<(u64, Outcome<&'static str>)>,
        conflicts: Vec<(usize, usize)>,
    }
    let base = |name, sources, steps, asked, outcome| Case {
        name,
        sources,
        burst: 10.0,
        compare: false,
        steps,
        asked,
        outcome,
        conflicts: vec![],
    };
    let found = |at, index, record| Some((at, Outcome::Found(index, record)));
    let unavailable = |at, index, verdict| Some((at, Outcome::Unavailable(index, verdict)));
    let firsts = || vec![(0, First), (1, First), (2, First)];
    let cases = [
        base(
            "first has the name",
            3,
            vec![Reply(1, 0, Found("a"))],
            vec![(0, First)],
            found(1, 0, "a"),
        ),
        base(
            "second has the name",
            3,
            vec![Reply(1, 0, Missing), Reply(2, 1, Found("b"))],
            vec![(0, First), (1, First)],
            found(2, 1, "b"),
        ),
        base(
            "every source replies missing",
            3,
            vec![Reply(1, 0, Missing), Reply(2, 1, Missing), Reply(3, 2, Missing)],
            firsts(),
            Some((3, Outcome::NotFound)),
        ),
        base(
            "last source unavailable",
            3,
            vec![Reply(1, 0, Missing), Reply(2, 1, Missing), Reply(3, 2, NoReplica)],
            firsts(),
            unavailable(3, 2, MayHaveRun),
        ),
        base(
            "no replica of the only source",
            1,
            vec![Reply(0, 0, NoReplica)],
            vec![(0, First)],
            unavailable(0, 0, NotRun),
        ),
        base(
            "retry after a failure",
            1,
            vec![Reply(1, 0, Failed(MayHaveRun)), Tick(30), Reply(31, 1, Found("a"))],
            vec![(0, First), (0, Retry)],
            found(31, 0, "a"),
        ),
        base(
            "every attempt refused before it started",
            1,
            vec![
                Reply(1, 0, Failed(NotRun)),
                Tick(30),
                Reply(31, 1, Failed(NotRun)),
                Tick(80),
                Reply(81, 2, Failed(NotRun)),
            ],
            vec![(0, First), (0, Retry), (0, Retry)],
            unavailable(81, 0, NotRun),
        ),
        base(
            "one of the attempts may have run",
            1,
            vec![
                Reply(1, 0, Failed(MayHaveRun)),
                Tick(30),
                Reply(31, 1, Failed(NotRun)),
                Tick(80),
                Reply(81, 2, Failed(NotRun)),
            ],
            vec![(0, First), (0, Retry), (0, Retry)],
            unavailable(81, 0, MayHaveRun),
        ),
        Case {
            burst: 0.0,
            ..base(
                "no budget: given up at once, long before the deadline",
                1,
                vec![Reply(1, 0, Failed(MayHaveRun))],
                vec![(0, First)],
                unavailable(1, 0, MayHaveRun),
            )
        },
        Case {
            burst: 0.0,
            ..base(
                "no budget: a frozen source is given up at the attempt's limit",
                1,
                vec![Tick(999), Tick(1000)],
                vec![(0, First)],
                unavailable(1000, 0, MayHaveRun),
            )
        },
        base(
            "hedge answers",
            1,
            vec![Tick(30), Reply(35, 1, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(35, 0, "a"),
        ),
        base(
            "slow one answers after the hedge failed",
            1,
            vec![Tick(30), Reply(35, 1, Failed(MayHaveRun)), Reply(40, 0, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(40, 0, "a"),
        ),
        base(
            "hedge without a second replica",
            1,
            vec![Tick(30), Reply(30, 1, NoReplica), Reply(40, 0, Found("a"))],
            vec![(0, First), (0, Hedge)],
            found(40, 0, "a"),
        ),
        base(
            "slow first source: the second's record waits for the first's reply",
            2,
            vec![Tick(30), Reply(31, 1, Found("b")), Reply(500, 0, Missing)],
            vec![(0, First), (1, First), (0, Hedge)],
            found(500, 1, "b"),
        ),
        base(
            "earlier source unavailable, later one has the name: refused",
            2,
            vec![
                Tick(30),
                Reply(31, 1, Found("b")),
                Reply(32, 2, NoReplica),
                Tick(1000),
                Tick(1030),
                Tick(2030),
                Tick(2080),
                Tick(3080),
            ],
            vec![(0, First), (1, First), (0, Hedge), (0, Retry), (0, Retry)],
            unavailable(3080, 0, MayHaveRun),
        ),
        base(
            "later source unavailable, earlier one has the name: answered",
            2,
            vec![Tick(30), Reply(31, 1, NoReplica), Reply(32, 0, Found("a"))],
            vec![(0, First), (1, First), (0, Hedge)],
            found(32, 0, "a"),
        ),
        base(
            "deadline",
            1,
            vec![Tick(DEADLINE)],
            vec![(0, First)],
            unavailable(DEADLINE, 0, MayHaveRun),
        ),
        Case {
            compare: true,
            conflicts: vec![(0, 1)],
            ..base(
                "sources that differ, the first in order decides",
                3,
                vec![Reply(1, 1, Found("b")), Reply(2, 0, Found("a")), Reply(3, 2, Missing)],
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
                vec![Reply(1, 0, Found("a")), Reply(2, 1, Missing), Reply(3, 2, Found("c"))],
                firsts(),
                found(1, 0, "a"),
            )
        },
        Case {
            compare: true,
            ..base(
                "equal records are no conflict",
                3,
                vec![Reply(1, 2, Found("a")), Reply(2, 1, Found("a")), Reply(3, 0, Found("a"))],
                firsts(),
                found(3, 0, "a"),
            )
        },
        Case {
            conflicts: vec![(0, 0)],
            ..base(
                "replicas of one source differ: a record outranks its absence",
                2,
                vec![Tick(30), Reply(31, 2, Missing), Reply(32, 0, Found("a"))],
                vec![(0, First), (1, First), (0, Hedge)],
                found(32, 0, "a"),
            )
        },
    ];
    for case in cases {
        let t0 = Instant::now();
        let policy = Policy { compare: case.compare, ..policy() };
        let lookup = Lookup::new(case.sources, policy, t0 + ms(DEADLINE));
        let observed = run_script(lookup, &mut budgets(case.burst), case.steps, t0);
        assert_eq!(observed.asked, case.asked, "asked, {}", case.name);
        assert_eq!(observed.outcome, case.outcome, "ended, {}", case.name);
        assert_eq!(observed.conflicts, case.conflicts, "conflicts, {}", case.name);
    }
}

/// A fixed seed, so that every run has the same cases.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// The result of an attempt: the source's true answer, or a failure.
#[derive(Clone, Copy, Debug)]
enum AttemptResult {
    Answer,
    NotRun,
    ReplyLost,
    NoReplica,
}

#[derive(Clone, Debug)]
enum Event {
    /// The open attempt at this index gets this result.
    Deliver(prop::sample::Index, AttemptResult),
    /// An attempt that already had a result gets another one.
    Late(prop::sample::Index, AttemptResult),
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let result = prop_oneof![
        4 => Just(AttemptResult::Answer),
        1 => Just(AttemptResult::NotRun),
        2 => Just(AttemptResult::ReplyLost),
        1 => Just(AttemptResult::NoReplica)
    ];
    let any = any::<prop::sample::Index>;
    let reply = (any(), result.clone()).prop_map(|(i, l)| Event::Deliver(i, l));
    let late = (any(), result).prop_map(|(i, l)| Event::Late(i, l));
    let one = prop_oneof![5 => reply, 1 => late, 4 => (0_u64..1200).prop_map(Event::Advance)];
    prop::collection::vec(one, 0..40)
}

/// The course of one lookup, as its driver sees it.
#[derive(Default)]
struct Trace {
    asks: Vec<(usize, Reason)>,
    replied: Vec<bool>,
    missing: Vec<bool>,
    holds: Vec<bool>,
    ran: bool,
    successes: f64,
    outcome: Option<Outcome<usize>>,
}

impl Trace {
    fn take(&mut self, actions: Vec<Action<usize>>) {
        for action in actions {
            match action {
                Action::Ask { source, reason, .. } => {
                    assert!(self.outcome.is_none(), "asked after the end");
                    self.asks.push((source, reason));
                    self.replied.push(false);
                }
                Action::Done(outcome) => {
                    assert!(self.outcome.is_none(), "the outcome was returned twice");
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

    fn reply(
        &mut self,
        attempt: usize,
        result: AttemptResult,
        truth: &[bool],
    ) -> SourceReply<usize> {
        let source = self.asks[attempt].0;
        let first = !std::mem::replace(&mut self.replied[attempt], true);
        let reached = matches!(result, AttemptResult::Answer | AttemptResult::ReplyLost);
        self.ran |= reached || !first;
        match result {
            AttemptResult::Answer => {
                self.successes += 1.0;
                if truth[source] {
                    self.holds[source] = true;
                    SourceReply::Found(source)
                } else {
                    self.missing[source] = true;
                    SourceReply::Missing
                }
            }
            AttemptResult::NotRun => SourceReply::Failed(Verdict::NotRun),
            AttemptResult::ReplyLost => SourceReply::Failed(Verdict::MayHaveRun),
            AttemptResult::NoReplica => SourceReply::NoReplica,
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
        events in events(),
    ) {
        let t0 = Instant::now();
        let mut now = t0;
        let (deadline, burst) = (t0 + ms(DEADLINE), burst.floor());
        let mut budgets = budgets(burst);
        let sources = truth.len();
        let mut lookup = Lookup::new(sources, Policy { compare, ..policy() }, deadline);
        let mut trace = Trace {
            missing: vec![false; sources],
            holds: vec![false; sources],
            ..Trace::default()
        };
        trace.take(lookup.tick(now, &mut budgets));
        for step in events {
            let (late, index, result) = match step {
                Event::Advance(wait) => {
                    now += ms(wait);
                    prop_assert!(lookup.done() || lookup.next_wake() <= deadline);
                    trace.take(lookup.tick(now, &mut budgets));
                    continue;
                }
                Event::Deliver(index, result) => (false, index, result),
                Event::Late(index, result) => (true, index, result),
            };
            let matching: Vec<usize> =
                (0..trace.asks.len()).filter(|a| trace.replied[*a] == late).collect();
            if !matching.is_empty() && (!late || matches!(result, AttemptResult::Answer)) {
                let attempt = *index.get(&matching);
                let reply = trace.reply(attempt, result, &truth);
                trace.take(lookup.on_reply(attempt, reply, now, &mut budgets));
            }
        }
        trace.take(lookup.tick(deadline.max(now), &mut budgets));
        prop_assert!(trace.outcome.is_some(), "not ended at the deadline");
        let count = |reason| trace.asks.iter().filter(|(_, r)| *r == reason).count() as f64;
        let bound = burst + 0.1 * trace.successes;
        prop_assert!(count(Reason::Retry) <= bound && count(Reason::Hedge) <= bound);
        for source in 0..sources {
            let asks = trace.asks.iter().filter(|(s, _)| *s == source).count();
            prop_assert!(asks <= 5, "asked {asks} times");
        }
    }
}

#[test]
fn hedge_delay_follows_replies_within_bounds() {
    struct Case {
        name: &'static str,
        reply_times: Vec<u64>,
        min: u64,
        max: u64,
    }
    let cases = [
        Case { name: "unknown", reply_times: vec![], min: 30, max: 30 },
        Case { name: "even", reply_times: vec![20; 100], min: 20, max: 21 },
        Case { name: "never below the minimum", reply_times: vec![0; 10], min: 5, max: 5 },
        Case { name: "never above the maximum", reply_times: vec![4000; 10], min: 300, max: 300 },
        Case { name: "wide", reply_times: [10, 40].repeat(50), min: 50, max: 150 },
    ];
    for case in cases {
        let mut estimate = LatencyEstimate::default();
        case.reply_times.iter().for_each(|t| estimate.observe(ms(*t)));
        let after = estimate.hedge_after();
        assert!(ms(case.min) <= after && after <= ms(case.max), "{}: {after:?}", case.name);
    }
}
