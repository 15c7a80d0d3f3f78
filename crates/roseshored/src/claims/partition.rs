//! The threads of one partition.

use super::ClaimsConfig;
use crate::event;
use flume::{Receiver, RecvTimeoutError, Sender};
use roseshore_core::event as numbered;
use roseshore_core::once::Outcome;
use roseshore_core::once::batch::AppendResult;
use roseshore_core::once::partition::{
    Action, Attempt, AttemptId, Decision, KeyStatus, LocalWork, LogRecord, Partition, ReadResult,
    SettleRequest, SettleResult,
};
use roseshore_core::once::record::Owner;
use roseshore_core::prelude::{Code, Duration, Instant, Key, Offset, Verdict};
use roseshore_ports::inside::Members;
use roseshore_ports::outside::{CallError, CallResult, Log};
use roseshore_wire::platform::Records;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::{io, thread};

/// Records in one read at most; with the longest answers some 11 MB.
const READ_MAX: usize = 128;
/// How old the view of the daemons may be while work is under way.
const MEMBERS_EVERY: Duration = Duration::from_millis(100);
/// The longest wait for an event.
const IDLE: Duration = Duration::from_secs(1);

/// What the machine's thread is told.
pub(super) enum Event {
    Begin(Attempt, Sender<Decision>),
    Dispatch(Offset, Sender<bool>),
    /// The sender is dropped once the outcome stands in the log.
    Settle(Offset, Outcome, Sender<()>),
    /// What is known of a key; `true` to learn the log's time too.
    Look(Key, bool, Instant, Sender<KeyStatus>),
    SettleBy(SettleRequest, Sender<SettleResult>),
    Abandon(Offset),
    Work(Key, Sender<LocalWork>),
    Appended(AppendResult),
    Read(ReadResult),
    /// Tell when nothing waits for the log.
    Flush(Sender<()>),
    /// The driver is gone.
    Stop,
}

struct ReadAsk {
    from: Offset,
    wait: Duration,
}

struct Driver {
    stream: String,
    machine: Partition,
    callers: FxHashMap<AttemptId, Caller>,
    members: Arc<dyn Members>,
    /// When the daemons were looked at last.
    looked: Option<Instant>,
    appends: Sender<Vec<String>>,
    reads: Sender<ReadAsk>,
    flushing: Vec<Sender<()>>,
    settling: FxHashMap<Offset, Sender<()>>,
    looks: FxHashMap<AttemptId, Sender<KeyStatus>>,
    words: FxHashMap<AttemptId, Sender<SettleResult>>,
}

struct Caller {
    key: Key,
    told: Sender<Decision>,
}

/// Starts the threads of the partition with this stream.
pub(super) fn start(
    stream: String,
    config: ClaimsConfig,
    log: Arc<dyn Log>,
    members: Arc<dyn Members>,
) -> io::Result<Sender<Event>> {
    let (events, inbox) = flume::unbounded();
    let (appends, append_asks) = flume::unbounded();
    let (reads, read_asks) = flume::unbounded();
    let own = members.own();
    let own = Owner { host: own.host, incarnation: own.incarnation };
    let machine = Partition::new(own, rand::random(), config.max_records, config.max_batch);
    let callers = FxHashMap::default();
    let (name, flushing, settling) = (stream.clone(), vec![], FxHashMap::default());
    let driver = Driver {
        stream,
        machine,
        callers,
        members,
        looked: None,
        appends,
        reads,
        flushing,
        settling,
        looks: FxHashMap::default(),
        words: FxHashMap::default(),
    };
    spawn(format!("{name} append"), {
        let (stream, log, events) = (name.clone(), log.clone(), events.clone());
        move || append_all(&stream, &*log, &append_asks, &events)
    })?;
    spawn(format!("{name} read"), {
        let (stream, events) = (name.clone(), events.clone());
        move || read_all(&stream, &*log, &read_asks, &events)
    })?;
    spawn(name, move || driver.run(&inbox))?;
    Ok(events)
}

fn spawn(name: String, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name).spawn(work).map(drop)
}

fn append_all(stream: &str, log: &dyn Log, asks: &Receiver<Vec<String>>, events: &Sender<Event>) {
    for lines in asks {
        let began = Instant::now();
        let how = match log.append(stream, &lines) {
            Ok(_) => AppendResult::Done,
            Err(CallError::Refused(429, ..)) => AppendResult::RateLimited,
            Err(err) if err.verdict() == Verdict::NotRun => AppendResult::Unreachable,
            Err(_) => AppendResult::Unconfirmed,
        };
        metrics::histogram!("roseshore_claims_append_seconds").record(began.elapsed());
        metrics::histogram!("roseshore_claims_append_records").record(lines.len() as f64);
        if events.send(Event::Appended(how)).is_err() {
            return;
        }
    }
}

fn read_all(stream: &str, log: &dyn Log, asks: &Receiver<ReadAsk>, events: &Sender<Event>) {
    for ask in asks {
        let end = read_end(log.read(stream, ask.from, READ_MAX, ask.wait));
        if events.send(Event::Read(end)).is_err() {
            return;
        }
    }
}

fn read_end(read: CallResult<Records>) -> ReadResult {
    match read {
        Ok(read) => {
            let line = |record: roseshore_wire::platform::Record| LogRecord {
                offset: record.offset,
                time: record.time_ms,
                data: record.data,
            };
            ReadResult::Records {
                records: read.records.into_iter().map(line).collect(),
                end: read.end,
            }
        }
        Err(CallError::Trimmed(oldest, _)) => ReadResult::Trimmed { oldest },
        Err(_) => ReadResult::Failed,
    }
}

impl Driver {
    fn run(mut self, inbox: &Receiver<Event>) {
        loop {
            let now = Instant::now();
            let due = self.machine.due(now).map_or(now + IDLE, |due| due.min(now + IDLE));
            let busy = !self.machine.is_idle();
            let due = if busy { due.min(now + MEMBERS_EVERY) } else { due };
            match inbox.recv_deadline(due) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => self.machine.tick(Instant::now()),
            }
            self.look_around();
            self.act();
        }
    }

    fn take(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Begin(ask, told) => {
                let key = ask.key.clone();
                let id = self.machine.begin(ask, now);
                self.callers.insert(id, Caller { key, told });
            }
            Event::Dispatch(offset, told) => {
                let granted = self.machine.dispatch(offset, now);
                if !granted {
                    event!(numbered::Event::KeyAbandoned, "offset={offset} why=late");
                }
                // A caller that is gone leaves its guard's outcome, or a claim that stays unknown.
                let _ = told.send(granted);
            }
            Event::Settle(offset, outcome, told) => {
                self.settling.insert(offset, told);
                self.machine.record_outcome(offset, outcome, now);
            }
            Event::Look(key, mark, deadline, told) => {
                let id = self.machine.query_key(key, mark, deadline);
                self.looks.insert(id, told);
            }
            Event::SettleBy(settling, told) => {
                let id = self.machine.submit_settlement(settling);
                self.words.insert(id, told);
            }
            Event::Abandon(offset) => {
                event!(numbered::Event::KeyAbandoned, "offset={offset}");
                self.machine.abandon(offset);
            }
            Event::Work(key, told) => {
                let _ = told.send(self.machine.local_work(&key));
            }
            Event::Appended(how) => self.machine.on_append(how, now),
            Event::Read(end) => self.machine.on_read(end, now),
            Event::Flush(told) => self.flushing.push(told),
            Event::Stop => {}
        }
    }

    /// Passes on who is counted among the daemons, not more often than need be.
    fn look_around(&mut self) {
        let now = Instant::now();
        let fresh = self.looked.is_some_and(|looked| now < looked + MEMBERS_EVERY);
        if fresh || self.machine.is_idle() {
            return;
        }
        self.looked = Some(now);
        let all = self.members.all();
        let owner = |member: roseshore_ports::inside::Member| Owner {
            host: member.host,
            incarnation: member.incarnation,
        };
        self.machine.set_members(all.into_iter().map(owner).collect(), now);
    }

    fn act(&mut self) {
        for action in self.machine.actions(Instant::now()) {
            match action {
                Action::Append(lines) => drop(self.appends.send(lines)),
                Action::Read { from, wait } => drop(self.reads.send(ReadAsk { from, wait })),
                Action::Decide(id, decision) => self.decide(id, decision),
                Action::ReportKey(id, known) => {
                    self.looks.remove(&id).map(|told| told.send(known));
                }
                Action::ReportSettle(id, ruling) => {
                    self.words.remove(&id).map(|told| told.send(ruling));
                }
                Action::Recorded(offset) => drop(self.settling.remove(&offset)),
            }
        }
        if self.machine.is_idle() {
            self.settling.clear();
            for told in self.flushing.drain(..) {
                let _ = told.send(());
            }
        }
        metrics::gauge!("roseshore_claims_keys", "stream" => self.stream.clone())
            .set(self.machine.keys().len() as f64);
    }

    fn decide(&mut self, id: AttemptId, decision: Decision) {
        let Some(caller) = self.callers.remove(&id) else { return };
        let key = &caller.key;
        let name = match &decision {
            Decision::Won(offset) => {
                event!(numbered::Event::KeyClaimed, "key={key} offset={offset}");
                "won"
            }
            Decision::Replay(_) | Decision::ReadFromLog(..) => {
                event!(numbered::Event::KeyRepeated, "key={key}");
                "repeated"
            }
            Decision::AskOwner(owner, _) => {
                event!(numbered::Event::KeyRepeated, "key={key} owner={}", owner.host);
                "asked"
            }
            Decision::Refused(refusal) => {
                if refusal.code == Code::KeyUnknown {
                    event!(numbered::Event::KeyUnsettled, "key={key}");
                }
                "refused"
            }
        };
        metrics::counter!("roseshore_claims_total", "decision" => name).increment(1);
        if let Err(flume::SendError(Decision::Won(offset))) = caller.told.send(decision) {
            self.machine.abandon(offset);
        }
    }
}
