//! Simulates daemons on one stream of a log with faults, and checks every decision from outside.

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
/// The log's time at the start of each run, in milliseconds since the Unix epoch.
pub(crate) const LOG_START: u64 = 1_800_000_000_000;
/// A key that carries its creation time, [`LOG_START`].
pub(crate) const TIMED_KEY: &str = "o/s/timed@1800000000000";
/// A key that carries no time.
pub(crate) const PLAIN_KEY: &str = "o/s/plain";

pub(crate) fn answer(text: &str) -> Outcome {
    let (content, body) = ("text/plain".into(), text.as_bytes().to_vec());
    Outcome { verdict: Verdict::Answered, status: 200, content, body }
}

pub(crate) fn owner(host: usize, incarnation: u64) -> Owner {
    Owner { host: format!("h{host}"), incarnation }
}

/// What happens to one append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AppendFault {
    None,
    RateLimited,
    Unreachable,
    /// It takes no effect, and the reply is lost.
    LostBefore,
    /// It takes effect, and the reply is lost.
    LostAfter,
    /// The reply is lost, and it takes effect later, at [`Step::DeliverLate`].
    LostLater,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A daemon gets an attempt, with the timed key if `true`.
    Begin(usize, bool),
    /// A daemon gets an attempt with the plain key and another body.
    Reuse(usize),
    /// A daemon's append in flight ends.
    Append(usize, AppendFault),
    /// A daemon's read in flight ends; `true` if it succeeds.
    Read(usize, bool),
    Dispatch(usize),
    RecordOutcome(usize, Verdict),
    Abandon(usize),
    /// The last late append takes effect.
    DeliverLate,
    /// Time passes, and every daemon's timers run. Milliseconds.
    Advance(u64),
    /// Time passes while no daemon runs. Milliseconds.
    Freeze(u64),
    /// A daemon is replaced by its next incarnation.
    Replace(usize),
    /// The log trims all its records.
    Trim,
    /// The log service comes back without its records.
    LoseLog,
    /// All daemons learn the current members.
    Members,
    /// An operator queries a key at a daemon, and then settles it truthfully.
    Operator(usize, bool),
}

/// An attempt, as the simulation tracks it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedAttempt {
    pub(crate) key: Key,
    pub(crate) digest: u64,
    pub(crate) at: usize,
    pub(crate) deadline: Instant,
}

/// A dispatch of a key's request, and whether the request ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) digest: u64,
    pub(crate) at: usize,
    pub(crate) ran: bool,
}

pub(crate) struct Daemon {
    pub(crate) machine: Partition,
    pub(crate) incarnation: u64,
    pub(crate) append: Option<Vec<String>>,
    pub(crate) read: Option<Offset>,
    pub(crate) attempts: BTreeMap<AttemptId, TrackedAttempt>,
    pub(crate) won: Vec<(TrackedAttempt, Offset)>,
    pub(crate) sent: Vec<(Key, Offset, usize)>,
    pub(crate) asked: BTreeMap<AttemptId, &'static str>,
}

impl Daemon {
    pub(crate) fn new(host: usize, incarnation: u64) -> Daemon {
        let seed = host as u64 * 1000 + incarnation;
        let machine = Partition::new(owner(host, incarnation), seed, 1000, 512);
        let (attempts, won, sent, asked) = Default::default();
        Daemon { machine, incarnation, append: None, read: None, attempts, won, sent, asked }
    }
}

/// Several daemons on one stream, and what the checks have seen so far.
pub(crate) struct Simulation {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) log: Vec<(u64, String)>,
    pub(crate) oldest: usize,
    pub(crate) late_appends: Vec<Vec<String>>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) dispatches: BTreeMap<Key, Vec<Dispatch>>,
    pub(crate) answers: BTreeMap<Key, Vec<Outcome>>,
    pub(crate) decisions: Vec<(Key, Decision)>,
    pub(crate) settle_results: Vec<SettleResult>,
    pub(crate) step_count: usize,
    /// The time from an attempt's arrival to its deadline.
    pub(crate) patience: Duration,
}

impl Simulation {
    pub(crate) fn new() -> Simulation {
        let start = Instant::now();
        let daemons = (0..DAEMONS).map(|host| Daemon::new(host, 1)).collect();
        let (dispatches, answers, decisions, settle_results) = Default::default();
        let (log, late_appends) = Default::default();
        let (now, oldest, step_count) = (start, 0, 0);
        let patience = Duration::from_secs(5);
        Simulation {
            start,
            now,
            log,
            oldest,
            late_appends,
            daemons,
            dispatches,
            answers,
            decisions,
            settle_results,
            step_count,
            patience,
        }
    }

    pub(crate) fn append_to_log(&mut self, lines: Vec<String>) {
        let time = LOG_START + (self.now - self.start).as_millis() as u64;
        self.log.extend(lines.into_iter().map(|line| (time, line)));
    }

    pub(crate) fn step(&mut self, step: Step) {
        self.step_count += 1;
        match step {
            Step::Begin(d, timed) => self.begin(d, if timed { TIMED_KEY } else { PLAIN_KEY }, 7),
            Step::Reuse(d) => self.begin(d, PLAIN_KEY, 8),
            Step::Append(d, fault) => self.append(d, fault),
            Step::Read(d, works) => self.read(d, works),
            Step::Dispatch(d) => self.dispatch(d),
            Step::RecordOutcome(d, verdict) => self.settle(d, verdict),
            Step::Abandon(d) => {
                // Abandoning a dispatched attempt must have no effect.
                let daemon = &mut self.daemons[d];
                let sent = daemon.sent.last().map(|(_, offset, _)| *offset);
                let won = daemon.won.pop().map(|(_, offset)| offset);
                won.or(sent).into_iter().for_each(|offset| daemon.machine.abandon(offset));
            }
            Step::DeliverLate => {
                if let Some(lines) = self.late_appends.pop() {
                    self.append_to_log(lines);
                }
            }
            Step::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                let now = self.now;
                self.daemons.iter_mut().for_each(|daemon| daemon.machine.tick(now));
            }
            Step::Freeze(millis) => self.now += Duration::from_millis(millis),
            Step::Replace(d) => {
                let old = std::mem::replace(&mut self.daemons[d], Daemon::new(d, 0));
                self.daemons[d] = Daemon::new(d, old.incarnation + 1);
            }
            Step::Trim => self.oldest = self.log.len(),
            Step::LoseLog => self.log.clear(),
            Step::Operator(d, timed) => {
                let key = if timed { TIMED_KEY } else { PLAIN_KEY };
                let limit = self.now + Duration::from_secs(5);
                let id = self.daemons[d].machine.query_key(key.into(), true, limit);
                self.daemons[d].asked.insert(id, key);
            }
            Step::Members => {
                let incarnations = self.daemons.iter().enumerate();
                let members: Vec<Owner> =
                    incarnations.map(|(host, d)| owner(host, d.incarnation)).collect();
                let now = self.now;
                let all = self.daemons.iter_mut();
                all.for_each(|daemon| daemon.machine.set_members(members.clone(), now));
            }
        }
        (0..DAEMONS).for_each(|d| self.act(d));
    }

    pub(crate) fn begin(&mut self, d: usize, key: &str, digest: u64) {
        let deadline = self.now + self.patience;
        let ask = Attempt { key: key.into(), digest, deadline };
        let id = self.daemons[d].machine.begin(ask, self.now);
        let asked = TrackedAttempt { key: key.into(), digest, at: self.step_count, deadline };
        self.daemons[d].attempts.insert(id, asked);
    }

    pub(crate) fn append(&mut self, d: usize, fault: AppendFault) {
        let Some(lines) = self.daemons[d].append.take() else { return };
        let result = match fault {
            AppendFault::None => AppendResult::Done,
            AppendFault::RateLimited => AppendResult::RateLimited,
            AppendFault::Unreachable => AppendResult::Unreachable,
            AppendFault::LostBefore | AppendFault::LostAfter | AppendFault::LostLater => {
                AppendResult::Unconfirmed
            }
        };
        match fault {
            AppendFault::None | AppendFault::LostAfter => self.append_to_log(lines),
            AppendFault::LostLater => self.late_appends.push(lines),
            AppendFault::RateLimited | AppendFault::Unreachable | AppendFault::LostBefore => {}
        }
        self.daemons[d].machine.on_append(result, self.now);
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
        let TrackedAttempt { key, digest, .. } = asked;
        let dispatches = self.dispatches.entry(key.clone()).or_default();
        dispatches.push(Dispatch { digest, at: self.step_count, ran: true });
        let run = dispatches.len() - 1;
        let ran = dispatches.iter().filter(|run| run.ran).count();
        assert_eq!(ran, 1, "key {key} ran twice");
        self.daemons[d].sent.push((key, offset, run));
    }

    pub(crate) fn settle(&mut self, d: usize, verdict: Verdict) {
        let Some((key, offset, run)) = self.daemons[d].sent.pop() else { return };
        let outcome = Outcome { verdict, ..answer(&format!("run {run} of {key}")) };
        if verdict == Verdict::NotRun {
            self.dispatches.get_mut(&key).expect("it was dispatched")[run].ran = false;
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
                Action::ReportKey(id, status) => self.answer_query(d, id, &status),
                Action::ReportSettle(_, ruling) => self.settle_results.push(ruling),
                Action::Decide(id, decision) => {
                    let asked = self.daemons[d].attempts.remove(&id).expect("one decision");
                    self.check_decision(d, asked, decision);
                }
            }
        }
    }

    /// The operator states what is true at this moment, and assumes that the claimant is gone.
    fn answer_query(&mut self, d: usize, id: AttemptId, status: &KeyStatus) {
        let key = Key::from(self.daemons[d].asked[&id]);
        let ran = self
            .dispatches
            .get(&key)
            .is_some_and(|dispatches| dispatches.iter().any(|run| run.ran));
        let claim = match may_settle(&key, status, ran, ClaimantStatus::Gone) {
            Ok(claim) => claim,
            Err(refusal) => return self.settle_results.push(SettleResult::Rejected(refusal)),
        };
        let (operator, note) = ("op".into(), "looked".into());
        let settlement = Settlement { operator, note, ran, claim };
        let deadline = self.now + Duration::from_secs(5);
        self.daemons[d].machine.submit_settlement(SettleRequest { key, settlement, deadline });
    }

    pub(crate) fn check_decision(&mut self, d: usize, asked: TrackedAttempt, decision: Decision) {
        let key = asked.key.clone();
        match &decision {
            Decision::Won(offset) => self.daemons[d].won.push((asked, *offset)),
            Decision::Replay(outcome) => {
                let answers = self.answers.entry(key.clone()).or_default();
                answers.push(Outcome::clone(outcome));
                assert!(answers.iter().all(|a| *a == answers[0]), "repeats of {key} differ");
                let own =
                    self.dispatches[&key].iter().any(|run| run.ran && run.digest == asked.digest);
                assert!(own, "{key} was told the answer to another body");
            }
            Decision::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                let dispatches = self.dispatches.get(&key).map_or(&[][..], Vec::as_slice);
                let mine = |run: &Dispatch| run.ran && run.digest == asked.digest;
                let ran = dispatches.iter().any(|run| mine(run) && run.at < asked.at);
                assert!(!ran, "{key} had run, and was told {refusal:?}");
            }
            Decision::Refused(_) | Decision::ReadFromLog(..) | Decision::AskOwner(..) => {}
        }
        self.decisions.push((key, decision));
    }

    /// Runs without further faults until nothing is in flight.
    pub(crate) fn run_until_idle(&mut self) {
        for _ in 0..40 {
            for d in 0..DAEMONS {
                self.step(Step::Append(d, AppendFault::None));
                self.step(Step::Read(d, true));
                self.step(Step::Dispatch(d));
                self.step(Step::RecordOutcome(d, Verdict::Answered));
            }
            self.step(Step::Advance(5));
        }
    }
}
