//! Polls targets and shares what they say.
//!
//! One thread drives [`roseshore_core::polling`]; a bounded pool of threads asks the targets, so
//! that a frozen one holds up nothing but its own poll. Reports go to [`ReportStore`] here and, with
//! the next heartbeat, to the other daemons of the data centre.

pub mod caches;
pub mod delta;

use crate::event;
use crate::members::{LocalReport, MemberDriver, PeerReports};
use delta::{DeltaDecoder, DeltaEncoder};
use roseshore_core::fleet::TargetKind;
use roseshore_core::polling::{Action, Polling, Settings};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, Members, Report, ReportContent, ReportStore};
use roseshore_ports::outside::{Engine, Services};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{io, thread};

/// How often the decision is asked what is due.
const TICK: Duration = Duration::from_millis(20);
/// How long a target may take to report.
const LIMIT: Duration = Duration::from_millis(200);
/// Threads that ask targets.
const WORKERS: usize = 8;

/// What the driver needs.
pub struct LoadConfig {
    /// The daemons.
    pub members: Arc<MemberDriver>,
    /// The configuration in force; its targets of the own data centre are polled.
    pub fleets: Arc<dyn ConfigSource>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain and lookup services.
    pub services: Arc<dyn Services>,
    /// Who takes the reports.
    pub reports: Arc<dyn ReportStore>,
    /// The times of polling.
    pub settings: Settings,
}

/// The running driver; its threads end soon after it is dropped.
pub struct LoadDriver {
    stopped: Arc<AtomicBool>,
}

impl LoadDriver {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(parts: LoadConfig) -> io::Result<LoadDriver> {
        let stopped = Arc::new(AtomicBool::new(false));
        let (ask, jobs) = flume::bounded(parts.settings.max_polls);
        let (tell, polled) = flume::bounded(parts.settings.max_polls);
        for n in 0..WORKERS {
            let worker = Worker {
                engine: parts.engine.clone(),
                services: parts.services.clone(),
                jobs: jobs.clone(),
                polled: tell.clone(),
            };
            let name = format!("loads-{n}");
            thread::Builder::new().name(name).spawn(move || worker.run())?;
        }
        let told = parts.members.peer_reports();
        let (period, full) = (parts.settings.period, parts.settings.full_limit);
        let driver = Driver {
            polling: Polling::new(parts.settings),
            members: parts.members,
            fleets: parts.fleets,
            reports: parts.reports,
            period,
            full,
            offset: None,
            targets: BTreeMap::new(),
            encoder: DeltaEncoder::default(),
            decoder: DeltaDecoder::default(),
            ask,
        };
        let stop = stopped.clone();
        thread::Builder::new()
            .name("loads".into())
            .spawn(move || driver.run(&polled, &told, &stop))?;
        Ok(LoadDriver { stopped })
    }
}

impl Drop for LoadDriver {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

#[derive(Clone)]
struct Job {
    target: TargetId,
    kind: TargetKind,
    addr: SocketAddr,
}

struct Polled {
    target: TargetId,
    begun: Instant,
    content: ReportContent,
}

struct Worker {
    engine: Arc<dyn Engine>,
    services: Arc<dyn Services>,
    jobs: flume::Receiver<Job>,
    polled: flume::Sender<Polled>,
}

impl Worker {
    fn run(&self) {
        while let Ok(job) = self.jobs.recv() {
            let begun = Instant::now();
            let content = match job.kind {
                TargetKind::Engine => self.engine.load(job.addr, LIMIT).map(ReportContent::Engine),
                TargetKind::Service => {
                    self.services.load(job.addr, LIMIT).map(ReportContent::Service)
                }
            };
            let content = content.unwrap_or_else(|e| {
                log::debug!("poll of `{}`: {e}", job.target);
                ReportContent::Silent
            });
            if self.polled.send(Polled { target: job.target, begun, content }).is_err() {
                return;
            }
        }
    }
}

struct Driver {
    polling: Polling,
    members: Arc<MemberDriver>,
    fleets: Arc<dyn ConfigSource>,
    reports: Arc<dyn ReportStore>,
    period: Duration,
    full: usize,
    offset: Option<Offset>,
    targets: BTreeMap<TargetId, Job>,
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
    ask: flume::Sender<Job>,
}

impl Driver {
    fn run(
        mut self,
        polled: &flume::Receiver<Polled>,
        told: &flume::Receiver<PeerReports>,
        stop: &AtomicBool,
    ) {
        while !stop.load(Ordering::SeqCst) {
            if let Ok(first) = polled.recv_timeout(TICK) {
                self.take(first);
                polled.drain().for_each(|p| self.take(p));
            }
            told.drain().for_each(|t| self.take_told(t));
            self.follow();
            self.tick();
        }
    }

    /// Takes over a new configuration.
    fn follow(&mut self) {
        self.polling.set_period(self.period.max(self.members.period()));
        if self.members.take_joined() {
            self.encoder.reset();
        }
        let Some(force) = self.fleets.current() else { return };
        if self.offset == Some(force.offset) {
            return;
        }
        self.offset = Some(force.offset);
        let own = self.members.own().data_centre;
        let all = force.fleet.targets.len() <= self.full;
        let polled = force.fleet.targets.iter().filter(|(_, t)| all || t.data_centre == own);
        let job =
            |id: &TargetId, t: &Target| Job { target: id.clone(), kind: t.kind, addr: t.addr };
        self.targets = polled.map(|(id, t)| (id.clone(), job(id, t))).collect();
        self.polling.set_targets(self.targets.keys().cloned(), Instant::now());
        self.encoder.retain(|t| self.targets.contains_key(t));
        self.decoder.retain(|t| self.targets.contains_key(t));
    }

    fn tick(&mut self) {
        let stale = self.members.stale();
        let members = &self.members;
        let place = |target: &str| if stale { None } else { members.place(target) };
        for action in self.polling.tick(Instant::now(), place) {
            self.act(action);
        }
    }

    fn act_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Poll(target) => {
                let Some(job) = self.targets.get(&target) else { return };
                metrics::counter!("roseshore_polls_total").increment(1);
                if self.ask.try_send(job.clone()).is_err() {
                    // The decision takes the poll for lost after a while and asks again.
                    metrics::counter!("roseshore_polls_crowded_total").increment(1);
                }
            }
            Action::Unresponsive(target) => {
                self.publish(target, ReportContent::Silent, Instant::now());
            }
            Action::Down(target) => event!(Event::TargetLost, "target={target} does not answer"),
            Action::Up(target) => event!(Event::TargetBack, "target={target} answers"),
        }
    }

    fn take(&mut self, polled: Polled) {
        let now = Instant::now();
        let Polled { target, begun, content } = polled;
        let actions = if content == ReportContent::Silent {
            metrics::counter!("roseshore_polls_failed_total").increment(1);
            self.polling.on_failure(&target, now)
        } else {
            let actions = self.polling.on_answer(&target, now);
            self.publish(target, content, begun);
            actions
        };
        self.act_all(actions);
    }

    fn publish(&mut self, target: TargetId, content: ReportContent, seen: Instant) {
        let urgent = content == ReportContent::Silent;
        let note = self.encoder.encode(&target, &content, Instant::now());
        self.members.queue_report(LocalReport { seen, content: note, urgent });
        self.reports.store(Report { target, seen, content });
    }

    fn take_told(&mut self, told: PeerReports) {
        for note in told.notes {
            let age = Duration::from_millis(u64::from(note.age_ms));
            let seen = told.received_at.checked_sub(age).unwrap_or(told.received_at);
            let Some(unpacked) = self.decoder.decode(note.content) else {
                metrics::counter!("roseshore_notes_incomplete_total").increment(1);
                continue;
            };
            let delta::DecodedReport { target, content } = unpacked;
            let silent = content == ReportContent::Silent;
            let actions = self.polling.on_peer_report(&target, silent, seen);
            self.act_all(actions);
            self.reports.store(Report { target, seen, content });
        }
    }
}
