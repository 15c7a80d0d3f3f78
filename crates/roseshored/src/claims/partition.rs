//! The threads of one claim partition: state machine, appender and reader.

use super::ClaimsConfig;
use crate::event;
use flume::{Receiver, RecvTimeoutError, Sender};
use roseshore_core::event as catalogue;
use roseshore_core::once::batch::AppendResult;
use roseshore_core::once::partition::{
    Action, Attempt, AttemptId, Decision, KeyStatus, LocalWork, LogRecord, Partition, ReadResult,
    SettleRequest, SettleResult,
};
use roseshore_core::once::record::Owner;
use roseshore_core::once::{Outcome, ReadSize};
use roseshore_core::prelude::{Code, Duration, Instant, Key, Offset, Verdict};
use roseshore_ports::inside::Members;
use roseshore_ports::outside::{CallError, CallResult, Log};
use roseshore_wire::platform::Records;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::{io, thread};

/// How often the member list is refreshed while work is in progress.
const MEMBERS_REFRESH: Duration = Duration::from_millis(100);
/// Longest wait for an event.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);

/// Input to the state machine's thread; replies go to the enclosed sender.
pub(super) enum Event {
    Begin(Attempt, Sender<Decision>),
    Dispatch(Offset, Sender<bool>),
    /// The sender is dropped, without a message, once the outcome is in the log.
    Settle(Offset, Outcome, Sender<()>),
    /// Queries what is known of a key; `true` requests the log's time too.
    QueryKey(Key, bool, Instant, Sender<KeyStatus>),
    SettleByOperator(SettleRequest, Sender<SettleResult>),
    Abandon(Offset),
    LocalWork(Key, Sender<LocalWork>),
    Appended(AppendResult),
    Read(ReadResult),
    /// Replies once no write to the log is pending.
    Flush(Sender<()>),
    /// Sent when the driver is dropped.
    Stop,
}

struct ReadRequest {
    from: Offset,
    wait: Duration,
}

struct Driver {
    stream: String,
    machine: Partition,
    callers: FxHashMap<AttemptId, Caller>,
    members: Arc<dyn Members>,
    /// When the member list was last passed to the state machine.
    members_at: Option<Instant>,
    appends: Sender<Vec<String>>,
    reads: Sender<ReadRequest>,
    flushing: Vec<Sender<()>>,
    settling: FxHashMap<Offset, Sender<()>>,
    key_queries: FxHashMap<AttemptId, Sender<KeyStatus>>,
    settlements: FxHashMap<AttemptId, Sender<SettleResult>>,
}

struct Caller {
    key: Key,
    reply: Sender<Decision>,
}

/// Starts the threads of the partition with this stream.
pub(super) fn start(
    stream: String,
    config: ClaimsConfig,
    log: Arc<dyn Log>,
    members: Arc<dyn Members>,
) -> io::Result<Sender<Event>> {
    let (events, inbox) = flume::unbounded();
    let (appends, append_requests) = flume::unbounded();
    let (reads, read_requests) = flume::unbounded();
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
        members_at: None,
        appends,
        reads,
        flushing,
        settling,
        key_queries: FxHashMap::default(),
        settlements: FxHashMap::default(),
    };
    spawn(format!("{name} append"), {
        let (stream, log, events) = (name.clone(), log.clone(), events.clone());
        move || append_all(&stream, &*log, &append_requests, &events)
    })?;
    spawn(format!("{name} read"), {
        let (stream, events) = (name.clone(), events.clone());
        move || read_all(&stream, &*log, &read_requests, &events)
    })?;
    spawn(name, move || driver.run(&inbox))?;
    Ok(events)
}

fn spawn(name: String, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name).spawn(work).map(drop)
}

fn append_all(
    stream: &str,
    log: &dyn Log,
    requests: &Receiver<Vec<String>>,
    events: &Sender<Event>,
) {
    for lines in requests {
        let started = Instant::now();
        let result = match log.append(stream, &lines) {
            Ok(_) => AppendResult::Done,
            Err(CallError::Refused(429, ..)) => AppendResult::RateLimited,
            Err(err) if err.verdict() == Verdict::NotRun => AppendResult::Unreachable,
            Err(_) => AppendResult::Unconfirmed,
        };
        metrics::histogram!("roseshore_claims_append_seconds").record(started.elapsed());
        metrics::histogram!("roseshore_claims_append_records").record(lines.len() as f64);
        if events.send(Event::Appended(result)).is_err() {
            return;
        }
    }
}

fn read_all(stream: &str, log: &dyn Log, requests: &Receiver<ReadRequest>, events: &Sender<Event>) {
    let mut size = ReadSize::default();
    for request in requests {
        let started = Instant::now();
        let result = read_result(log.read(stream, request.from, size.records(), request.wait));
        size.record((result != ReadResult::Failed).then(|| started.elapsed()));
        if events.send(Event::Read(result)).is_err() {
            return;
        }
    }
}

fn read_result(read: CallResult<Records>) -> ReadResult {
    match read {
        Ok(read) => {
            let log_record = |record: roseshore_wire::platform::Record| LogRecord {
                offset: record.offset,
                time: record.time_ms,
                data: record.data,
            };
            ReadResult::Records {
                records: read.records.into_iter().map(log_record).collect(),
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
            let due = self
                .machine
                .due(now)
                .map_or(now + MAX_EVENT_WAIT, |due| due.min(now + MAX_EVENT_WAIT));
            let busy = !self.machine.is_idle();
            let due = if busy { due.min(now + MEMBERS_REFRESH) } else { due };
            match inbox.recv_deadline(due) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => self.machine.tick(Instant::now()),
            }
            self.refresh_members();
            self.run_actions();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Begin(attempt, reply) => {
                let key = attempt.key.clone();
                let id = self.machine.begin(attempt, now);
                self.callers.insert(id, Caller { key, reply });
            }
            Event::Dispatch(offset, reply) => {
                let granted = self.machine.dispatch(offset, now);
                if !granted {
                    event!(catalogue::Event::KeyAbandoned, "offset={offset} why=late");
                }
                // If the caller is gone, its guard has recorded an outcome, or the claim stays unknown.
                let _ = reply.send(granted);
            }
            Event::Settle(offset, outcome, reply) => {
                self.settling.insert(offset, reply);
                self.machine.record_outcome(offset, outcome, now);
            }
            Event::QueryKey(key, log_time, deadline, reply) => {
                let id = self.machine.query_key(key, log_time, deadline);
                self.key_queries.insert(id, reply);
            }
            Event::SettleByOperator(request, reply) => {
                let id = self.machine.submit_settlement(request);
                self.settlements.insert(id, reply);
            }
            Event::Abandon(offset) => {
                event!(catalogue::Event::KeyAbandoned, "offset={offset}");
                self.machine.abandon(offset);
            }
            Event::LocalWork(key, reply) => {
                let _ = reply.send(self.machine.local_work(&key));
            }
            Event::Appended(result) => self.machine.on_append(result, now),
            Event::Read(result) => self.machine.on_read(result, now),
            Event::Flush(reply) => self.flushing.push(reply),
            Event::Stop => {}
        }
    }

    /// Passes the member list to the state machine, at most every [`MEMBERS_REFRESH`] and only while
    /// there is work.
    fn refresh_members(&mut self) {
        let now = Instant::now();
        let fresh = self.members_at.is_some_and(|at| now < at + MEMBERS_REFRESH);
        if fresh || self.machine.is_idle() {
            return;
        }
        self.members_at = Some(now);
        let all = self.members.all();
        let owner = |member: roseshore_ports::inside::Member| Owner {
            host: member.host,
            incarnation: member.incarnation,
        };
        self.machine.set_members(all.into_iter().map(owner).collect(), now);
    }

    fn run_actions(&mut self) {
        for action in self.machine.actions(Instant::now()) {
            match action {
                Action::Append(lines) => drop(self.appends.send(lines)),
                Action::Read { from, wait } => drop(self.reads.send(ReadRequest { from, wait })),
                Action::Decide(id, decision) => self.decide(id, decision),
                Action::ReportKey(id, status) => {
                    self.key_queries.remove(&id).map(|reply| reply.send(status));
                }
                Action::ReportSettle(id, result) => {
                    self.settlements.remove(&id).map(|reply| reply.send(result));
                }
                Action::Recorded(offset) => drop(self.settling.remove(&offset)),
            }
        }
        if self.machine.is_idle() {
            self.settling.clear();
            for reply in self.flushing.drain(..) {
                let _ = reply.send(());
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
                event!(catalogue::Event::KeyClaimed, "key={key} offset={offset}");
                "won"
            }
            Decision::Replay(_) | Decision::ReadFromLog(..) => {
                event!(catalogue::Event::KeyRepeated, "key={key}");
                "repeated"
            }
            Decision::AskOwner(owner, _) => {
                event!(catalogue::Event::KeyRepeated, "key={key} owner={}", owner.host);
                "asked"
            }
            Decision::Refused(refusal) => {
                if refusal.code == Code::KeyUnknown {
                    event!(catalogue::Event::KeyUnsettled, "key={key}");
                }
                "refused"
            }
        };
        metrics::counter!("roseshore_claims_total", "decision" => name).increment(1);
        if let Err(flume::SendError(Decision::Won(offset))) = caller.reply.send(decision) {
            self.machine.abandon(offset);
        }
    }
}
