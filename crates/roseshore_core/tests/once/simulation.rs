//! Daemons on one stream of a log with faults, and a judge outside.

use roseshore_core::once::Outcome;
use roseshore_core::once::batch::AppendResult;
use roseshore_core::once::partition::{
    Action, Attempt, AttemptId, ClaimantStatus, Decision, KeyStatus, LogRecord, Partition,
    ReadResult, SettleRequest, SettleResult, may_settle,
};
use roseshore_core::once::record::{Owner, Record, Settlement};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;

pub(crate) const DAEMONS: usize = 3;
/// The log's time at the start of each run, milliseconds.
pub(crate) const EPOCH: u64 = 1_800_000_000_000;
pub(crate) const TIMED: &str = "o/s/timed@1800000000000";
pub(crate) const PLAIN: &str = "o/s/plain";

pub(crate) fn answer(text: &str) -> Outcome {
    let (content, body) = ("text/plain".into(), text.as_bytes().to_vec());
    Outcome { verdict: Verdict::Answered, status: 200, content, body }
}

pub(crate) fn owner(host: usize, incarnation: u64) -> Owner {
    Owner { host: format!("h{host}"), incarnation }
}

/// What the log does with one append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
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
pub(crate) enum Step {
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
    /// An operator asks a daemon about a key, and says what happened.
    Operator(usize, bool),
}

/// An attempt, as the judge outside sees it.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) key: Key,
    pub(crate) digest: u64,
    pub(crate) at: usize,
    pub(crate) deadline: Instant,
}

/// A moment at which work of a key may have begun, and whether it ran after all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) digest: u64,
    pub(crate) at: usize,
    pub(crate) ran: bool,
}

pub(crate) struct Daemon {
    pub(crate) machine: Partition,
    pub(crate) life: u64,
    pub(crate) append: Option<Vec<String>>,
    pub(crate) read: Option<Offset>,
    pub(crate) attempts: BTreeMap<AttemptId, Asked>,
    pub(crate) won: Vec<(Asked, Offset)>,
    pub(crate) sent: Vec<(Key, Offset, usize)>,
    pub(crate) asked: BTreeMap<AttemptId, &'static str>,
}

impl Daemon {
    pub(crate) fn new(host: usize, life: u64) -> Daemon {
        let seed = host as u64 * 1000 + life;
        let machine = Partition::new(owner(host, life), seed, 1000, 512);
        let (attempts, won, sent, asked) = Default::default();
        Daemon { machine, life, append: None, read: None, attempts, won, sent, asked }
    }
}

/// Some daemons on one stream, and what a judge outside has seen.
pub(crate) struct World {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) log: Vec<(u64, String)>,
    pub(crate) oldest: usize,
    pub(crate) late: Vec<Vec<String>>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) runs: BTreeMap<Key, Vec<Run>>,
    pub(crate) answers: BTreeMap<Key, Vec<Outcome>>,
    pub(crate) decisions: Vec<(Key, Decision)>,
    pub(crate) rulings: Vec<SettleResult>,
    pub(crate) clock: usize,
}

impl World {
    pub(crate) fn new() -> World {
        let start = Instant::now();
        let daemons = (0..DAEMONS).map(|host| Daemon::new(host, 1)).collect();
        let (runs, answers, decisions, rulings) = Default::default();
        let (log, late) = Default::default();
        let (now, oldest, clock) = (start, 0, 0);
        World { start, now, log, oldest, late, daemons, runs, answers, decisions, rulings, clock }
    }

    pub(crate) fn take_in(&mut self, lines: Vec<String>) {
        let time = EPOCH + (self.now - self.start).as_millis() as u64;
        self.log.extend(lines.into_iter().map(|line| (time, line)));
    }

    pub(crate) fn step(&mut self, step: Step) {
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
            Step::Operator(d, timed) => {
                let key = if timed { TIMED } else { PLAIN };
                let limit = self.now + Duration::from_secs(5);
                let id = self.daemons[d].machine.query_key(key.into(), true, limit);
                self.daemons[d].asked.insert(id, key);
            }
            Step::Members => {
                let lives = self.daemons.iter().enumerate();
                let alive: Vec<Owner> = lives.map(|(host, d)| owner(host, d.life)).collect();
                let now = self.now;
                let all = self.daemons.iter_mut();
                all.for_each(|daemon| daemon.machine.set_members(alive.clone(), now));
            }
        }
        (0..DAEMONS).for_each(|d| self.act(d));
    }

    pub(crate) fn begin(&mut self, d: usize, key: &str, digest: u64) {
        let deadline = self.now + Duration::from_secs(5);
        let ask = Attempt { key: key.into(), digest, deadline };
        let id = self.daemons[d].machine.begin(ask, self.now);
        let asked = Asked { key: key.into(), digest, at: self.clock, deadline };
        self.daemons[d].attempts.insert(id, asked);
    }

    pub(crate) fn append(&mut self, d: usize, fate: Fate) {
        let Some(lines) = self.daemons[d].append.take() else { return };
        let how = match fate {
            Fate::Done => AppendResult::Done,
            Fate::Busy => AppendResult::RateLimited,
            Fate::Unreached => AppendResult::Unreachable,
            Fate::LostBefore | Fate::LostAfter | Fate::LostLater => AppendResult::Unconfirmed,
        };
        match fate {
            Fate::Done | Fate::LostAfter => self.take_in(lines),
            Fate::LostLater => self.late.push(lines),
            Fate::Busy | Fate::Unreached | Fate::LostBefore => {}
        }
        self.daemons[d].machine.on_append(how, self.now);
    }

    pub(crate) fn read(&mut self, d: usize, works: bool) {
        let Some(from) = self.daemons[d].read.take() else { return };
        let end = self.log.len() as Offset;
        let kept = self.log.iter().enumerate().skip(from as usize);
        let line = |(at, (time, data)): (usize, &(u64, String))| LogRecord {
            offset: at as Offset,
            time: *time,
            data: data.clone(),
        };
        let read = match works {
            false => ReadResult::Failed,
            true if (from as usize) < self.oldest => {
                ReadResult::Trimmed { oldest: self.oldest as Offset }
            }
            true => ReadResult::Records { records: kept.map(line).collect(), end },
        };
        self.daemons[d].machine.on_read(read, self.now);
    }

    pub(crate) fn dispatch(&mut self, d: usize) {
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

    pub(crate) fn settle(&mut self, d: usize, verdict: Verdict) {
        let Some((key, offset, run)) = self.daemons[d].sent.pop() else { return };
        let outcome = Outcome { verdict, ..answer(&format!("run {run} of {key}")) };
        if verdict == Verdict::NotRun {
            self.runs.get_mut(&key).expect("it was dispatched")[run].ran = false;
        }
        self.daemons[d].machine.record_outcome(offset, outcome, self.now);
    }

    pub(crate) fn act(&mut self, d: usize) {
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
                Action::ReportKey(id, known) => self.settle_by(d, id, &known),
                Action::ReportSettle(_, ruling) => self.rulings.push(ruling),
                Action::Decide(id, decision) => {
                    let asked = self.daemons[d].attempts.remove(&id).expect("one decision");
                    self.judge(d, asked, decision);
                }
            }
        }
    }

    /// The operator tells the truth as of now, and believes that the claimant is gone.
    fn settle_by(&mut self, d: usize, id: AttemptId, known: &KeyStatus) {
        let key = Key::from(self.daemons[d].asked[&id]);
        let ran = self.runs.get(&key).is_some_and(|runs| runs.iter().any(|run| run.ran));
        let claim = match may_settle(&key, known, ran, ClaimantStatus::Gone) {
            Ok(claim) => claim,
            Err(refusal) => return self.rulings.push(SettleResult::Rejected(refusal)),
        };
        let (operator, note) = ("op".into(), "looked".into());
        let settlement = Settlement { operator, note, ran, claim };
        let deadline = self.now + Duration::from_secs(5);
        self.daemons[d].machine.submit_settlement(SettleRequest { key, settlement, deadline });
    }

    pub(crate) fn judge(&mut self, d: usize, asked: Asked, decision: Decision) {
        let key = asked.key.clone();
        match &decision {
            Decision::Won(offset) => self.daemons[d].won.push((asked, *offset)),
            Decision::Replay(outcome) => {
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
            Decision::Refused(_) | Decision::ReadFromLog(..) | Decision::AskOwner(..) => {}
        }
        self.decisions.push((key, decision));
    }

    /// Lets everything that is under way succeed, until nothing is.
    pub(crate) fn calm(&mut self) {
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
