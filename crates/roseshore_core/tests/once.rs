//! Unrepeatable work: the fold, and any interleaving of daemons, faults of the log and callers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::once::Outcome;
use roseshore_core::once::batch::Appended;
use roseshore_core::once::born::born;
use roseshore_core::once::keys::{Keys, State};
use roseshore_core::once::partition::{
    Action, Attempt, AttemptId, Decision, Line, Partition, ReadEnd,
};
use roseshore_core::once::record::{Act, Nonce, Owner, Record};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;

const DAEMONS: usize = 3;
/// The log's time at the start of each run, milliseconds.
const EPOCH: u64 = 1_800_000_000_000;
const TIMED: &str = "o/s/timed@1800000000000";
const PLAIN: &str = "o/s/plain";

fn answer(text: &str) -> Outcome {
    let (content, body) = ("text/plain".into(), text.as_bytes().to_vec());
    Outcome { verdict: Verdict::Answered, status: 200, content, body }
}

fn owner(host: usize, incarnation: u64) -> Owner {
    Owner { host: format!("h{host}"), incarnation }
}

/// What the log does with one append.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Done,
    Busy,
    Unreached,
    /// The reply is lost; it took no effect.
    LostBefore,
    /// The reply is lost; it took effect.
    LostAfter,
    /// The reply is lost; it takes effect later.
    LostLater,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(usize, bool),
    Append(usize, Fate),
    Read(usize, bool),
    Dispatch(usize),
    Settle(usize, Verdict),
    Abandon(usize),
    Land,
    Pass(u64),
    Replace(usize),
    Trim,
    Members,
}

struct Daemon {
    machine: Partition,
    life: u64,
    append: Option<Vec<String>>,
    read: Option<Offset>,
    attempts: BTreeMap<AttemptId, (Key, usize)>,
    won: Vec<(Key, Offset)>,
    sent: Vec<(Key, Offset, usize)>,
}

impl Daemon {
    fn new(host: usize, life: u64) -> Daemon {
        let seed = host as u64 * 1000 + life;
        let machine = Partition::new(owner(host, life), seed, 1000);
        let (attempts, won, sent) = Default::default();
        Daemon { machine, life, append: None, read: None, attempts, won, sent }
    }
}

/// Some daemons on one stream, and what a judge outside has seen.
struct World {
    start: Instant,
    now: Instant,
    log: Vec<(u64, String)>,
    oldest: usize,
    late: Vec<Vec<String>>,
    daemons: Vec<Daemon>,
    /// The moments at which work of each key may have begun, whether it ran after all.
    runs: BTreeMap<Key, Vec<(usize, bool)>>,
    answers: BTreeMap<Key, Vec<Outcome>>,
    decisions: Vec<(Key, Decision)>,
    clock: usize,
}

impl World {
    fn new() -> World {
        let start = Instant::now();
        let daemons = (0..DAEMONS).map(|host| Daemon::new(host, 1)).collect();
        let (runs, answers, decisions) = Default::default();
        let (log, late) = Default::default();
        let (now, oldest, clock) = (start, 0, 0);
        World { start, now, log, oldest, late, daemons, runs, answers, decisions, clock }
    }

    fn take_in(&mut self, lines: Vec<String>) {
        let time = EPOCH + (self.now - self.start).as_millis() as u64;
        self.log.extend(lines.into_iter().map(|line| (time, line)));
    }

    fn step(&mut self, step: Step) {
        self.clock += 1;
        match step {
            Step::Begin(d, timed) => self.begin(d, if timed { TIMED } else { PLAIN }),
            Step::Append(d, fate) => self.append(d, fate),
            Step::Read(d, works) => self.read(d, works),
            Step::Dispatch(d) => self.dispatch(d),
            Step::Settle(d, verdict) => self.settle(d, verdict),
            Step::Abandon(d) => {
                if let Some((_, offset)) = self.daemons[d].won.pop() {
                    self.daemons[d].machine.abandon(offset);
                }
            }
            Step::Land => {
                if let Some(lines) = self.late.pop() {
                    self.take_in(lines);
                }
            }
            Step::Pass(millis) => {
                self.now += Duration::from_millis(millis);
                let now = self.now;
                self.daemons.iter_mut().for_each(|daemon| daemon.machine.tick(now));
            }
            Step::Replace(d) => {
                let old = std::mem::replace(&mut self.daemons[d], Daemon::new(d, 0));
                self.daemons[d] = Daemon::new(d, old.life + 1);
            }
            Step::Trim => self.oldest = self.log.len(),
            Step::Members => {
                let lives = self.daemons.iter().enumerate();
                let alive: Vec<Owner> = lives.map(|(host, d)| owner(host, d.life)).collect();
                let now = self.now;
                let all = self.daemons.iter_mut();
                all.for_each(|daemon| daemon.machine.members(alive.clone(), now));
            }
        }
        (0..DAEMONS).for_each(|d| self.act(d));
    }

    fn begin(&mut self, d: usize, key: &str) {
        let deadline = self.now + Duration::from_secs(5);
        let ask = Attempt { key: key.into(), digest: 7, deadline };
        let id = self.daemons[d].machine.begin(ask, self.now);
        self.daemons[d].attempts.insert(id, (key.into(), self.clock));
    }

    fn append(&mut self, d: usize, fate: Fate) {
        let Some(lines) = self.daemons[d].append.take() else { return };
        let how = match fate {
            Fate::Done => Appended::Done,
            Fate::Busy => Appended::Busy,
            Fate::Unreached => Appended::Unreached,
            Fate::LostBefore | Fate::LostAfter | Fate::LostLater => Appended::Lost,
        };
        match fate {
            Fate::Done | Fate::LostAfter => self.take_in(lines),
            Fate::LostLater => self.late.push(lines),
            Fate::Busy | Fate::Unreached | Fate::LostBefore => {}
        }
        self.daemons[d].machine.appended(how, self.now);
    }

    fn read(&mut self, d: usize, works: bool) {
        let Some(from) = self.daemons[d].read.take() else { return };
        let end = self.log.len() as Offset;
        let kept = self.log.iter().enumerate().skip(from as usize);
        let line = |(at, (time, data)): (usize, &(u64, String))| Line {
            offset: at as Offset,
            time: *time,
            data: data.clone(),
        };
        let read = match works {
            false => ReadEnd::Failed,
            true if (from as usize) < self.oldest => {
                ReadEnd::Trimmed { oldest: self.oldest as Offset }
            }
            true => ReadEnd::Records { records: kept.map(line).collect(), end },
        };
        self.daemons[d].machine.read(read, self.now);
    }

    fn dispatch(&mut self, d: usize) {
        let Some((key, offset)) = self.daemons[d].won.pop() else { return };
        if !self.daemons[d].machine.dispatch(offset, self.now) {
            return;
        }
        let runs = self.runs.entry(key.clone()).or_default();
        runs.push((self.clock, true));
        let run = runs.len() - 1;
        let ran = runs.iter().filter(|(_, ran)| *ran).count();
        assert_eq!(ran, 1, "key {key} ran twice");
        self.daemons[d].sent.push((key, offset, run));
    }

    fn settle(&mut self, d: usize, verdict: Verdict) {
        let Some((key, offset, run)) = self.daemons[d].sent.pop() else { return };
        let outcome = Outcome { verdict, ..answer(&format!("run {run} of {key}")) };
        if verdict == Verdict::NotRun {
            self.runs.get_mut(&key).expect("it was dispatched")[run].1 = false;
        }
        self.daemons[d].machine.settle(offset, outcome, self.now);
    }

    fn act(&mut self, d: usize) {
        let now = self.now;
        for action in self.daemons[d].machine.actions(now) {
            match action {
                Action::Append(lines) => self.daemons[d].append = Some(lines),
                Action::Read { from, .. } => self.daemons[d].read = Some(from),
                Action::Decide(id, decision) => {
                    let (key, arrived) =
                        self.daemons[d].attempts.remove(&id).expect("one decision");
                    self.judge(d, key, arrived, decision);
                }
            }
        }
    }

    fn judge(&mut self, d: usize, key: Key, arrived: usize, decision: Decision) {
        match &decision {
            Decision::Won(offset) => self.daemons[d].won.push((key.clone(), *offset)),
            Decision::Repeat(outcome) => {
                let answers = self.answers.entry(key.clone()).or_default();
                answers.push(Outcome::clone(outcome));
                assert!(answers.iter().all(|a| *a == answers[0]), "repeats of {key} differ");
            }
            Decision::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                let runs = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
                let ran = runs.iter().any(|(at, ran)| *ran && *at < arrived);
                assert!(!ran, "{key} had run, and was told {refusal:?}");
            }
            Decision::Refused(_) | Decision::Stored(..) | Decision::AskOwner(..) => {}
        }
        self.decisions.push((key, decision));
    }

    /// Lets everything that is under way succeed, until nothing is.
    fn calm(&mut self) {
        for _ in 0..40 {
            for d in 0..DAEMONS {
                self.step(Step::Append(d, Fate::Done));
                self.step(Step::Read(d, true));
                self.step(Step::Dispatch(d));
                self.step(Step::Settle(d, Verdict::Answered));
            }
            self.step(Step::Pass(5));
        }
    }
}

fn daemon() -> impl Strategy<Value = usize> {
    0..DAEMONS
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Done),
        1 => Just(Fate::Busy),
        1 => Just(Fate::Unreached),
        1 => Just(Fate::LostBefore),
        2 => Just(Fate::LostAfter),
        2 => Just(Fate::LostLater),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let verdict = prop_oneof![
        3 => Just(Verdict::Answered),
        1 => Just(Verdict::MayHaveRun),
        1 => Just(Verdict::NotRun),
    ];
    prop_oneof![
        5 => (daemon(), any::<bool>()).prop_map(|(d, timed)| Step::Begin(d, timed)),
        8 => (daemon(), fate()).prop_map(|(d, fate)| Step::Append(d, fate)),
        8 => (daemon(), prop::bool::weighted(0.8)).prop_map(|(d, works)| Step::Read(d, works)),
        5 => daemon().prop_map(Step::Dispatch),
        3 => (daemon(), verdict).prop_map(|(d, verdict)| Step::Settle(d, verdict)),
        1 => daemon().prop_map(Step::Abandon),
        2 => Just(Step::Land),
        3 => prop_oneof![Just(10), Just(600), Just(6000), Just(70_000)].prop_map(Step::Pass),
        1 => daemon().prop_map(Step::Replace),
        1 => Just(Step::Trim),
        1 => Just(Step::Members),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        max_shrink_iters: 20_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No key runs twice, "not run" is true, and repeats are equal, whatever happens.
    #[test]
    fn any_interleaving(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.calm();
        world.step(Step::Members);
        world.step(Step::Pass(11_000));
        world.calm();
        for daemon in &world.daemons {
            prop_assert!(daemon.attempts.is_empty(), "an attempt was never answered");
            prop_assert!(daemon.machine.idle(), "work is left over");
        }
    }

    /// With the platform up, a key is answered exactly once and every other attempt repeats it.
    #[test]
    fn exactly_once(begins in prop::collection::vec((daemon(), any::<bool>(), 0..30_u64), 1..20)) {
        let mut world = World::new();
        for (d, timed, pause) in begins {
            world.step(Step::Begin(d, timed));
            world.step(Step::Pass(pause));
            let other = (d + 1) % DAEMONS;
            world.step(Step::Append(other, Fate::Done));
            world.step(Step::Read(other, true));
        }
        world.calm();
        for (key, decision) in &world.decisions {
            let fine = matches!(decision, Decision::Won(_) | Decision::Repeat(_));
            prop_assert!(fine, "{}: {:?}", key, decision);
        }
        let once = world.runs.values().all(|runs| runs.len() == 1);
        prop_assert!(once, "{:?}", world.runs);
    }
}

fn claim(nonce: Nonce) -> Act {
    Act::Claim { owner: owner(nonce as usize, 1), digest: 7 }
}

fn outcome(text: &str) -> Act {
    Act::Outcome { digest: 7, outcome: answer(text), whole: true }
}

fn ended(verdict: Verdict) -> Act {
    Act::Outcome { digest: 7, outcome: Outcome { verdict, ..answer("") }, whole: true }
}

#[test]
fn fold_of_a_key() {
    struct Case {
        name: &'static str,
        records: Vec<(Nonce, Act)>,
        state: &'static str,
    }
    let settle = || Act::Settle { operator: "op".into(), outcome: answer("looked") };
    let cases = [
        Case {
            name: "first claim holds",
            records: vec![(1, claim(1)), (2, claim(2))],
            state: "held 1",
        },
        Case {
            name: "own abandonment frees",
            records: vec![(1, claim(1)), (1, Act::Abandon)],
            state: "free",
        },
        Case {
            name: "another's abandonment does not",
            records: vec![(1, claim(1)), (2, claim(2)), (2, Act::Abandon)],
            state: "held 1",
        },
        Case {
            name: "a claim that came in between stays void",
            records: vec![(1, claim(1)), (2, claim(2)), (1, Act::Abandon), (2, claim(2))],
            state: "free",
        },
        Case {
            name: "a claim made anew holds",
            records: vec![(1, claim(1)), (2, claim(2)), (1, Act::Abandon), (3, claim(3))],
            state: "held 3",
        },
        Case {
            name: "a claim that lands after its abandonment is void",
            records: vec![(1, Act::Abandon), (1, claim(1))],
            state: "free",
        },
        Case {
            name: "a claim sent twice is one",
            records: vec![(1, claim(1)), (1, claim(1)), (1, Act::Abandon), (1, claim(1))],
            state: "free",
        },
        Case {
            name: "first outcome stays",
            records: vec![(1, claim(1)), (1, outcome("a")), (1, outcome("b"))],
            state: "settled a",
        },
        Case {
            name: "no claim after an outcome",
            records: vec![(1, claim(1)), (1, outcome("a")), (1, Act::Abandon), (2, claim(2))],
            state: "settled a",
        },
        Case {
            name: "an outcome proves a claim that is no longer kept",
            records: vec![(2, claim(2)), (1, outcome("a"))],
            state: "settled a",
        },
        Case {
            name: "not run frees",
            records: vec![(1, claim(1)), (1, ended(Verdict::NotRun))],
            state: "free",
        },
        Case {
            name: "may have run is not free",
            records: vec![(1, claim(1)), (1, ended(Verdict::MayHaveRun)), (2, claim(2))],
            state: "unknown 1",
        },
        Case {
            name: "an operator settles what is unknown",
            records: vec![(1, claim(1)), (1, ended(Verdict::MayHaveRun)), (0, settle())],
            state: "settled looked",
        },
        Case {
            name: "an operator's word comes before a late outcome",
            records: vec![(1, claim(1)), (0, settle()), (1, outcome("late"))],
            state: "settled looked",
        },
    ];
    for case in cases {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: PLAIN.into(), nonce, act };
            keys.take(at as Offset, EPOCH, &record.line());
        }
        let state = match keys.state(&PLAIN.into()) {
            State::Free => "free".into(),
            State::Held(held) => format!("held {}", held.nonce),
            State::Unknown(held) => format!("unknown {}", held.nonce),
            State::Settled(settled) => {
                let outcome = settled.outcome.as_ref().expect("the bodies are short");
                format!("settled {}", String::from_utf8_lossy(&outcome.body))
            }
        };
        assert_eq!(state, case.state, "{}", case.name);
    }
}

#[test]
fn time_in_a_key() {
    struct Case {
        name: &'static str,
        key: &'static str,
        born: Option<u64>,
    }
    let cases = [
        Case {
            name: "uuid 7",
            key: "o/s/017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            born: Some(0x017f_22e2_79b0),
        },
        Case { name: "uuid 4", key: "o/s/017f22e2-79b0-4cc3-98c4-dc0c0c07398f", born: None },
        Case { name: "wrong variant", key: "o/s/017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", born: None },
        Case { name: "not hex", key: "o/s/017f22e2-79b0-7cc3-98c4-dc0c0c07398z", born: None },
        Case { name: "stamped", key: TIMED, born: Some(EPOCH) },
        Case { name: "stamp is no number", key: "o/s/a@b", born: None },
        Case { name: "plain", key: PLAIN, born: None },
        Case { name: "ulid is no proof", key: "o/s/01ARZ3NDEKTSV4RRFFQ69G5FAV", born: None },
    ];
    for case in cases {
        assert_eq!(born(case.key), case.born, "{}", case.name);
    }
}
