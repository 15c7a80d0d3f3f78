//! Polls targets for their load and shares the reports with the other daemons.
//!
//! One thread drives [`roseshore_core::polling`]; a fixed pool of threads makes the calls, so that
//! a target that hangs delays only its own poll. Reports go to the local [`ReportStore`] and, with
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

/// Longest wait for a poll result before the next check for due polls.
const TICK: Duration = Duration::from_millis(20);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Threads that poll targets.
const POLL_THREADS: usize = 8;

/// Dependencies and settings of a [`LoadDriver`].
pub struct LoadConfig {
    /// The view of the daemons, which also carries the reports.
    pub members: Arc<MemberDriver>,
    /// The configuration in force. Targets in this data centre are polled; all targets are, while
    /// there are at most `settings.full_limit`.
    pub fleets: Arc<dyn ConfigSource>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain and lookup services.
    pub services: Arc<dyn Services>,
    /// Where reports are stored.
    pub reports: Arc<dyn ReportStore>,
    /// Timing and limits of polling.
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
    pub fn start(config: LoadConfig) -> io::Result<LoadDriver> {
        let stopped = Arc::new(AtomicBool::new(false));
        let (jobs, job_queue) = flume::bounded(config.settings.max_polls);
        let (results, polled) = flume::bounded(config.settings.max_polls);
        for n in 0..POLL_THREADS {
            let worker = Worker {
                engine: config.engine.clone(),
                services: config.services.clone(),
                jobs: job_queue.clone(),
                polled: results.clone(),
            };
            let name = format!("loads-{n}");
            thread::Builder::new().name(name).spawn(move || worker.run())?;
        }
        let peer_reports = config.members.peer_reports();
        let (period, full_limit) = (config.settings.period, config.settings.full_limit);
        let driver = Driver {
            polling: Polling::new(config.settings),
            members: config.members,
            fleets: config.fleets,
            reports: config.reports,
            period,
            full_limit,
            offset: None,
            targets: BTreeMap::new(),
            encoder: DeltaEncoder::default(),
            decoder: DeltaDecoder::default(),
            jobs,
        };
        let stop = stopped.clone();
        thread::Builder::new()
            .name("loads".into())
            .spawn(move || driver.run(&polled, &peer_reports, &stop))?;
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
    started: Instant,
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
            let started = Instant::now();
            let content = match job.kind {
                TargetKind::Engine => {
                    self.engine.load(job.addr, POLL_TIMEOUT).map(ReportContent::Engine)
                }
                TargetKind::Service => {
                    self.services.load(job.addr, POLL_TIMEOUT).map(ReportContent::Service)
                }
            };
            let content = content.unwrap_or_else(|e| {
                log::debug!("poll of `{}` failed: {e}", job.target);
                ReportContent::Silent
            });
            if self.polled.send(Polled { target: job.target, started, content }).is_err() {
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
    full_limit: usize,
    offset: Option<Offset>,
    targets: BTreeMap<TargetId, Job>,
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
    jobs: flume::Sender<Job>,
}

impl Driver {
    fn run(
        mut self,
        polled: &flume::Receiver<Polled>,
        peer_reports: &flume::Receiver<PeerReports>,
        stop: &AtomicBool,
    ) {
        while !stop.load(Ordering::SeqCst) {
            if let Ok(first) = polled.recv_timeout(TICK) {
                self.on_polled(first);
                polled.drain().for_each(|p| self.on_polled(p));
            }
            peer_reports.drain().for_each(|r| self.on_peer_reports(r));
            self.apply_config();
            self.tick();
        }
    }

    /// Applies a new configuration, the current heartbeat interval and joins of daemons.
    fn apply_config(&mut self) {
        self.polling.set_period(self.period.max(self.members.period()));
        if self.members.take_joined() {
            self.encoder.reset();
        }
        let Some(config) = self.fleets.current() else { return };
        if self.offset == Some(config.offset) {
            return;
        }
        self.offset = Some(config.offset);
        let own = self.members.own().data_centre;
        let all = config.fleet.targets.len() <= self.full_limit;
        let polled = config.fleet.targets.iter().filter(|(_, t)| all || t.data_centre == own);
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
        let rank = |target: &str| if stale { None } else { members.rank(target) };
        for action in self.polling.tick(Instant::now(), rank) {
            self.perform(action);
        }
    }

    fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Poll(target) => {
                let Some(job) = self.targets.get(&target) else { return };
                metrics::counter!("roseshore_polls_total").increment(1);
                if self.jobs.try_send(job.clone()).is_err() {
                    // `Polling` treats the poll as lost after a timeout and requests it again.
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

    fn on_polled(&mut self, polled: Polled) {
        let now = Instant::now();
        let Polled { target, started, content } = polled;
        let actions = if content == ReportContent::Silent {
            metrics::counter!("roseshore_polls_failed_total").increment(1);
            self.polling.on_failure(&target, now)
        } else {
            let actions = self.polling.on_answer(&target, now);
            self.publish(target, content, started);
            actions
        };
        self.perform_all(actions);
    }

    fn publish(&mut self, target: TargetId, content: ReportContent, seen: Instant) {
        let urgent = content == ReportContent::Silent;
        let note = self.encoder.encode(&target, &content, Instant::now());
        self.members.queue_report(LocalReport { seen, content: note, urgent });
        self.reports.store(Report { target, seen, content });
    }

    fn on_peer_reports(&mut self, peer_reports: PeerReports) {
        for note in peer_reports.notes {
            let age = Duration::from_millis(u64::from(note.age_ms));
            let seen =
                peer_reports.received_at.checked_sub(age).unwrap_or(peer_reports.received_at);
            let Some(unpacked) = self.decoder.decode(note.content) else {
                metrics::counter!("roseshore_notes_incomplete_total").increment(1);
                continue;
            };
            let delta::DecodedReport { target, content } = unpacked;
            let silent = content == ReportContent::Silent;
            let actions = self.polling.on_peer_report(&target, silent, seen);
            self.perform_all(actions);
            self.reports.store(Report { target, seen, content });
        }
    }
}
