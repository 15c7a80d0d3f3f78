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
    /// With the key of the others, and another body.
    Reuse(usize),
    Append(usize, Fate),
    Read(usize, bool),
    Dispatch(usize),
    Settle(usize, Verdict),
    Abandon(usize),
    Land,
    Pass(u64),
    /// Time passes, and no daemon runs meanwhile.
    Freeze(u64),
    Replace(usize),
    Trim,
    /// The log service comes back empty.
    Lose,
    Members,
}

/// An attempt, as the judge outside sees it.
#[derive(Clone, Debug)]
struct Asked {
    key: Key,
    digest: u64,
    at: usize,
    deadline: Instant,
}

/// A moment at which work of a key may have begun, and whether it ran after all.
#[derive(Clone, Copy, Debug)]
struct Run {
    digest: u64,
    at: usize,
    ran: bool,
}

struct Daemon {
    machine: Partition,
    life: u64,
    append: Option<Vec<String>>,
    read: Option<Offset>,
    attempts: BTreeMap<AttemptId, Asked>,
    won: Vec<(Asked, Offset)>,
    sent: Vec<(Key, Offset, usize)>,
}

impl Daemon {
    fn new(host: usize, life: u64) -> Daemon {
        let seed = host as u64 * 1000 + life;
        let machine = Partition::new(owner(host, life), seed, 1000, 512);
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
    runs: BTreeMap<Key, Vec<Run>>,
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
            Step::Begin(d, timed) => self.begin(d, if timed { TIMED } else { PLAIN }, 7),
            Step::Reuse(d) => self.begin(d, PLAIN, 8),
            Step::Append(d, fate) => self.append(d, fate),
            Step::Read(d, works) => self.read(d, works),
            Step::Dispatch(d) => self.dispatch(d),
            Step::Settle(d, verdict) => self.settle(d, verdict),
            Step::Abandon(d) => {
                // A dispatched one must stay what it is.
                let daemon = &mut self.daemons[d];
                let sent = daemon.sent.last().map(|(_, offset, _)| *offset);
                let won = daemon.won.pop().map(|(_, offset)| offset);
                won.or(sent).into_iter().for_each(|offset| daemon.machine.abandon(offset));
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
            Step::Freeze(millis) => self.now += Duration::from_millis(millis),
            Step::Replace(d) => {
                let old = std::mem::replace(&mut self.daemons[d], Daemon::new(d, 0));
                self.daemons[d] = Daemon::new(d, old.life + 1);
            }
            Step::Trim => self.oldest = self.log.len(),
            Step::Lose => self.log.clear(),
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

    fn begin(&mut self, d: usize, key: &str, digest: u64) {
        let deadline = self.now + Duration::from_secs(5);
        let ask = Attempt { key: key.into(), digest, deadline };
        let id = self.daemons[d].machine.begin(ask, self.now);
        let asked = Asked { key: key.into(), digest, at: self.clock, deadline };
        self.daemons[d].attempts.insert(id, asked);
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
        let Some((asked, offset)) = self.daemons[d].won.pop() else { return };
        if !self.daemons[d].machine.dispatch(offset, self.now) {
            return;
        }
        assert!(self.now < asked.deadline, "{asked:?} was dispatched late");
        let Asked { key, digest, .. } = asked;
        let runs = self.runs.entry(key.clone()).or_default();
        runs.push(Run { digest, at: self.clock, ran: true });
        let run = runs.len() - 1;
        let ran = runs.iter().filter(|run| run.ran).count();
        assert_eq!(ran, 1, "key {key} ran twice");
        self.daemons[d].sent.push((key, offset, run));
    }

    fn settle(&mut self, d: usize, verdict: Verdict) {
        let Some((key, offset, run)) = self.daemons[d].sent.pop() else { return };
        let outcome = Outcome { verdict, ..answer(&format!("run {run} of {key}")) };
        if verdict == Verdict::NotRun {
            self.runs.get_mut(&key).expect("it was dispatched")[run].ran = false;
        }
        self.daemons[d].machine.settle(offset, outcome, self.now);
    }

    fn act(&mut self, d: usize) {
        let now = self.now;
        for action in self.daemons[d].machine.actions(now) {
            match action {
                Action::Append(lines) => self.daemons[d].append = Some(lines),
                Action::Read { from, .. } => self.daemons[d].read = Some(from),
                Action::Recorded(claim) => {
                    let nonce = |line: &String| Record::parse(line).map(|record| record.nonce);
                    let lines = self.log.iter().map(|(_, line)| line);
                    let of = lines.clone().nth(claim as usize).and_then(nonce);
                    let outcome = |line: &String| line.contains("outcome") && nonce(line) == of;
                    assert!(lines.clone().any(outcome), "no outcome of the claim at {claim}");
                }
                Action::Decide(id, decision) => {
                    let asked = self.daemons[d].attempts.remove(&id).expect("one decision");
                    self.judge(d, asked, decision);
                }
            }
        }
    }

    fn judge(&mut self, d: usize, asked: Asked, decision: Decision) {
        let key = asked.key.clone();
        match &decision {
            Decision::Won(offset) => self.daemons[d].won.push((asked, *offset)),
            Decision::Repeat(outcome) => {
                let answers = self.answers.entry(key.clone()).or_default();
                answers.push(Outcome::clone(outcome));
                assert!(answers.iter().all(|a| *a == answers[0]), "repeats of {key} differ");
                let own = self.runs[&key].iter().any(|run| run.ran && run.digest == asked.digest);
                assert!(own, "{key} was told the answer to another body");
            }
            Decision::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                let runs = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
                let mine = |run: &Run| run.ran && run.digest == asked.digest;
                let ran = runs.iter().any(|run| mine(run) && run.at < asked.at);
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
        1 => daemon().prop_map(Step::Reuse),
        8 => (daemon(), fate()).prop_map(|(d, fate)| Step::Append(d, fate)),
        8 => (daemon(), prop::bool::weighted(0.8)).prop_map(|(d, works)| Step::Read(d, works)),
        5 => daemon().prop_map(Step::Dispatch),
        3 => (daemon(), verdict).prop_map(|(d, verdict)| Step::Settle(d, verdict)),
        1 => daemon().prop_map(Step::Abandon),
        2 => Just(Step::Land),
        3 => prop_oneof![Just(10), Just(600), Just(6000), Just(70_000)].prop_map(Step::Pass),
        1 => prop_oneof![Just(600), Just(6000)].prop_map(Step::Freeze),
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

#[test]
fn reach_of_the_fold() {
    struct Case {
        name: &'static str,
        oldest: Offset,
        bound: usize,
        key: &'static str,
        reaches: bool,
    }
    let cases = [
        Case { name: "whole stream, plain key", oldest: 0, bound: 9, key: PLAIN, reaches: true },
        Case { name: "trimmed, plain key", oldest: 5, bound: 9, key: PLAIN, reaches: false },
        Case { name: "trimmed, old key", oldest: 5, bound: 9, key: TIMED, reaches: false },
        Case {
            name: "trimmed, key inside the skew",
            oldest: 5,
            bound: 9,
            key: "k@1800000060000",
            reaches: false,
        },
        Case {
            name: "trimmed, key past the skew",
            oldest: 5,
            bound: 9,
            key: "k@1800000060001",
            reaches: true,
        },
        Case { name: "memory full, plain key", oldest: 0, bound: 1, key: PLAIN, reaches: false },
        Case {
            name: "memory full, key past the skew",
            oldest: 0,
            bound: 1,
            key: "k@1800000060001",
            reaches: true,
        },
    ];
    for case in cases {
        let mut keys = Keys::new(case.bound);
        keys.restart(case.oldest);
        for nonce in 0..2 {
            let record = Record { key: format!("other{nonce}"), nonce, act: claim(nonce) };
            keys.take(case.oldest + nonce, EPOCH, &record.line());
        }
        assert_eq!(keys.reaches(&case.key.into()), case.reaches, "{}", case.name);
    }
}

#[test]
fn marks_keep_the_window_open() {
    let mut world = World::new();
    let minutes = |minutes: u64| Step::Pass(minutes * 60_000);
    for step in [minutes(0), minutes(10), Step::Append(0, Fate::Done)] {
        world.step(step);
    }
    assert_eq!(world.log.len(), 1, "one mark");
    // The log keeps the mark; a daemon that starts now can judge a key that is made now.
    let mut keys = Keys::new(9);
    keys.restart(5);
    keys.take(5, world.log[0].0, &world.log[0].1);
    assert!(keys.is_empty());
    assert!(keys.reaches(&format!("k@{}", EPOCH + 12 * 60_000)));
}

#[test]
fn a_key_from_the_future_is_void() {
    let mut keys = Keys::new(9);
    let key = Key::from("k@1800000060001");
    let first = Record { key: key.clone(), nonce: 1, act: claim(1) };
    keys.take(0, EPOCH, &first.line());
    assert_eq!((keys.state(&key), keys.ahead(&key)), (&State::Free, true));
    keys.take(1, EPOCH + 1, &Record { nonce: 2, ..first }.line());
    assert!(matches!(keys.state(&key), State::Held(held) if held.nonce == 2));
}

/// What the last decided attempt was told.
fn told(world: &World) -> String {
    match world.decisions.last().map(|(_, decision)| decision) {
        None => "nothing".into(),
        Some(Decision::Won(_)) => "won".into(),
        Some(Decision::Repeat(_)) => "repeat".into(),
        Some(Decision::Stored(..)) => "stored".into(),
        Some(Decision::AskOwner(owner, refusal)) => {
            format!("ask {} or {}", owner.host, refusal.code)
        }
        Some(Decision::Refused(refusal)) => format!("{} {}", refusal.code, refusal.verdict.name()),
    }
}

struct Story {
    name: &'static str,
    /// Daemon 0 goes so far with a key first.
    before: &'static [&'static [Step]],
    then: &'static [Step],
    told: &'static str,
}
const OUT: &[Step] = &[Step::Read(0, false), Step::Pass(600)];
const CLAIM: &[Step] =
    &[Step::Begin(0, false), Step::Read(0, true), Step::Append(0, Fate::Done), Step::Read(0, true)];
const RUN: &[Step] = &[Step::Dispatch(0)];
const SETTLE: &[Step] =
    &[Step::Settle(0, Verdict::Answered), Step::Pass(20), Step::Append(0, Fate::Done)];
const GONE: &[Step] = &[Step::Replace(0), Step::Members];
/// Daemon 1 does the same, whatever it takes.
const OTHER: &[Step] = &[
    Step::Begin(1, false),
    Step::Read(1, true),
    Step::Append(1, Fate::Done),
    Step::Read(1, true),
    Step::Read(1, true),
];
const STORIES: &[Story] = &[
    Story { name: "no fault", before: &[CLAIM], then: &[], told: "won" },
    Story { name: "repeat", before: &[CLAIM, RUN, SETTLE], then: OTHER, told: "repeat" },
    Story {
        name: "log out before the claim",
        before: &[],
        then: &[Step::Begin(0, false), Step::Read(0, false), Step::Pass(600)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "log out for a while",
        before: &[&[Step::Begin(0, false), Step::Read(0, false), Step::Pass(300)]],
        then: &[Step::Read(0, true), Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "log back after an outage",
        before: &[&[Step::Begin(0, false)], OUT, &[Step::Pass(300), Step::Read(0, true)]],
        then: CLAIM,
        told: "won",
    },
    Story {
        name: "log out, asked again",
        before: &[&[Step::Begin(0, false)], OUT],
        then: &[Step::Begin(0, false)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "appends out, stream read",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::Unreached),
            Step::Pass(600),
        ],
        told: "RS502 not_run",
    },
    Story {
        name: "log over its rate",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::Busy),
            Step::Pass(20),
        ]],
        then: &[Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "append reply lost, claim in the log",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::LostAfter),
            Step::Read(0, true),
        ],
        told: "won",
    },
    Story {
        name: "append reply lost, claim not in the log",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::LostBefore),
            Step::Pass(20),
        ]],
        then: &[Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "append reply lost, log then out",
        before: &[&[Step::Begin(0, false), Step::Append(0, Fate::Done), Step::Read(0, true)]],
        then: &[Step::Append(0, Fate::LostAfter), Step::Read(0, false), Step::Pass(600)],
        told: "RS502 not_run",
    },
    Story {
        name: "claim lost with the log out is given back",
        before: &[
            &[Step::Begin(0, false), Step::Read(0, true), Step::Append(0, Fate::LostAfter)],
            OUT,
            &[Step::Pass(300), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "claim lands after it was given up",
        before: &[
            &[
                Step::Begin(0, false),
                Step::Read(0, true),
                Step::Append(0, Fate::LostLater),
                Step::Pass(6000),
            ],
            &[Step::Append(0, Fate::Done), Step::Land],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "winner paused past its deadline",
        before: &[CLAIM, &[Step::Freeze(6000), Step::Dispatch(0), Step::Append(0, Fate::Done)]],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "winner gives up",
        before: &[CLAIM, &[Step::Abandon(0), Step::Pass(20), Step::Append(0, Fate::Done)]],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "log out at the abandonment",
        before: &[CLAIM, &[Step::Abandon(0), Step::Pass(20), Step::Append(0, Fate::Unreached)]],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Pass(6000)],
        told: "RS401 may_have_run",
    },
    Story {
        name: "host replaced after the claim",
        before: &[CLAIM, GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the dispatch",
        before: &[CLAIM, RUN, GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced before its outcome was taken",
        before: &[CLAIM, RUN, &[Step::Settle(0, Verdict::Answered)], GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the outcome",
        before: &[CLAIM, RUN, SETTLE, GONE],
        then: OTHER,
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, then back",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::Answered), Step::Pass(20), Step::Append(0, Fate::Unreached)],
            &[Step::Pass(300), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, asked here",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::Answered), Step::Read(0, false), Step::Pass(600)],
        ],
        then: &[Step::Begin(0, false)],
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, asked elsewhere",
        before: &[
            CLAIM,
            RUN,
            &[Step::Begin(1, false), Step::Read(1, true), Step::Settle(0, Verdict::Answered)],
        ],
        then: &[Step::Read(1, false), Step::Pass(600)],
        told: "ask h0 or RS402",
    },
    Story {
        name: "log out, key known to be settled",
        before: &[
            CLAIM,
            RUN,
            SETTLE,
            OTHER,
            &[Step::Begin(1, true), Step::Read(1, false), Step::Pass(600)],
        ],
        then: &[Step::Begin(1, false)],
        told: "repeat",
    },
    Story {
        name: "target said that nothing ran",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::NotRun), Step::Pass(20), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "target's reply lost",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::MayHaveRun), Step::Pass(20), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "still in progress at the deadline",
        before: &[CLAIM, RUN],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Pass(6000)],
        told: "RS401 may_have_run",
    },
    Story {
        name: "another body",
        before: &[CLAIM, RUN, SETTLE],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        told: "RS405 not_run",
    },
    Story {
        name: "another body, before the outcome",
        before: &[CLAIM, RUN],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        told: "RS405 not_run",
    },
    Story {
        name: "another body, log out before the outcome",
        before: &[CLAIM, RUN, &[Step::Begin(1, true), Step::Read(1, true)]],
        then: &[Step::Reuse(1), Step::Read(1, false), Step::Pass(600)],
        told: "RS402 may_have_run",
    },
    Story {
        name: "log that lost its records",
        before: &[CLAIM, RUN, SETTLE],
        then: &[Step::Begin(0, true), Step::Lose, Step::Read(0, true), Step::Pass(600)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "record trimmed",
        before: &[CLAIM, RUN, SETTLE, &[Step::Trim]],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Read(1, true)],
        told: "RS403 may_have_run",
    },
];

#[test]
fn faults_at_each_step() {
    for case in STORIES {
        let mut world = World::new();
        for step in case.before.iter().copied().flatten().chain(case.then) {
            world.step(*step);
        }
        assert_eq!(told(&world), case.told, "{}", case.name);
    }
}
