//! An entry host's process: its state, its loop and its timers.

mod blocked_requests;
mod callers;
mod calls;
mod copies;
mod dispatch;
mod exchange;
mod fatal;
mod heartbeats;
mod in_flight;
mod liveness;
mod pace_polling;
mod placement;
mod probes;
mod rate_limits;
mod records;
mod responses;
mod signals;
mod store_sync;
mod target_feedback;
mod timeouts;

use crate::log_writer::LogWriter;
use crate::net::{Ended, Endpoint, Net, SocketChange};
use crate::slab::{Key, Slab};
use blocked_requests::Blocked;
use callers::Caller;
use calls::Call;
use exchange::Exchange;
use fatal::Broken;
use liveness::Liveness;
use metrics_exporter_prometheus::PrometheusHandle;
use pace_polling::Pacing;
use placement::Placing;
use rand::RngExt;
use rand::rngs::SmallRng;
use rate_limits::Limiting;
use roseshore_core::gateway::copies::COPY_TIMEOUT;
use roseshore_core::gateway::leaving::TokenPace;
use roseshore_core::gateway::poll_timing::PollTiming;
use roseshore_core::gateway::{
    ConfigLease, Copies, EntrySettings, FatalRequests, Peers, RetryBudget, Shortage, Snapshot,
    Targets,
};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_ports::clock::Clock;
use roseshore_ports::entry::{EntryPlatform, WireError};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use store_sync::Following;

/// How often duties without a timer of their own are looked after.
const TICK: Duration = Duration::from_millis(100);
/// Descriptors kept free for files and the process itself, as the platform asks.
const SPARE_DESCRIPTORS: usize = 220;
/// Descriptors when the settings do not say.
const USUAL_DESCRIPTORS: usize = 1024;

/// What the process is started with.
pub struct EntryOptions {
    /// The settings.
    pub settings: EntrySettings,
    /// Reads the settings again.
    pub read_settings: Box<dyn Fn() -> Result<EntrySettings, WireError>>,
    /// How the platform spells.
    pub platform: Box<dyn EntryPlatform>,
    /// The time; it counts what the machine was suspended for.
    pub clock: Box<dyn Clock>,
    /// Where metrics are served, and what renders them.
    pub metrics: Option<(SocketAddr, PrometheusHandle)>,
    /// Set by the stop signal.
    pub stop: Arc<AtomicBool>,
    /// Set by the reload signal.
    pub reload: Arc<AtomicBool>,
    /// Whether no log lines are written; for tests that run many hosts in one process.
    pub quiet: bool,
}

/// What a connection is used for.
enum Role {
    Caller(Caller),
    Probe,
    Metrics,
    Target(Key),
    Call(Key),
    Liveness(TargetId),
    Idle(SocketAddr),
    /// A host that asks for a copy.
    CopyAsker,
    /// A host that was asked for a copy, and the bytes that had come when that was last looked at.
    CopySource(SocketAddr, usize),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Exchange(Key),
    Call(Key),
    Caller(Key),
    Liveness(Key),
    Copy(Key),
}

/// An entry host.
pub struct EntryHost {
    settings: EntrySettings,
    read_settings: Box<dyn Fn() -> Result<EntrySettings, WireError>>,
    platform: Box<dyn EntryPlatform>,
    clock: Box<dyn Clock>,
    rendered: Option<PrometheusHandle>,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    net: Net,
    log: LogWriter,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    roles: HashMap<Key, Role>,
    idle: HashMap<SocketAddr, Vec<(Key, Instant)>>,
    exchanges: Slab<Exchange>,
    calls: Slab<Call>,
    snapshot: Option<Arc<Snapshot>>,
    currency: ConfigLease,
    targets: Targets,
    peers: Peers,
    /// Whether there is news that does not wait, and when such news was last told.
    urgent: bool,
    told_urgent: Option<Instant>,
    /// When what the others told was last added up.
    viewed: Option<Instant>,
    /// Whether this host was last seen to speak for its data centre.
    speaking: bool,
    liveness: Liveness,
    limiting: Limiting,
    allowances: HashMap<ServiceId, RetryBudget>,
    following: Following,
    copies: Copies,
    placing: Placing,
    pacing: Pacing,
    pace: TokenPace,
    shortage: Shortage,
    fatal: FatalRequests,
    /// Sends that broke off, until it is known whether their targets ended.
    broken: Vec<Broken>,
    blocked: Blocked,
    random: SmallRng,
    begun: Instant,
    now: Instant,
    /// The earliest moment at which what is looked at in this turn may have come.
    came: Instant,
    ticked: Instant,
    ready: bool,
    suspended: bool,
    /// Since when a neighbour has had a newer configuration.
    outdated: Option<Instant>,
    stopping: Option<Instant>,
    reread_at: Instant,
}

/// Logs a line of the journal.
macro_rules! note {
    ($entry:expr, $event:ident, $($text:tt)+) => {{
        let now = $entry.now;
        $entry.log.log(now, Event::$event, format_args!($($text)+));
        metrics::counter!("roseshore_events_total", "event" => Event::$event.number().to_string())
            .increment(1);
    }};
}
use note;

impl EntryHost {
    /// Listens and is ready to run.
    ///
    /// # Errors
    /// When an address cannot be had.
    pub fn new(options: EntryOptions) -> io::Result<EntryHost> {
        let EntryOptions {
            mut settings,
            read_settings,
            platform,
            clock,
            metrics,
            stop,
            reload,
            quiet,
        } = options;
        let now = clock.now();
        let sockets = settings.max_descriptors.unwrap_or(USUAL_DESCRIPTORS);
        let mut net = Net::new(sockets.saturating_sub(SPARE_DESCRIPTORS).max(64))?;
        settings.caller_addr = net.listen(Endpoint::Callers, settings.caller_addr)?;
        settings.probe_addr = net.listen(Endpoint::Probes, settings.probe_addr)?;
        let rendered = match metrics {
            Some((addr, handle)) => {
                net.listen(Endpoint::Metrics, addr)?;
                Some(handle)
            }
            None => None,
        };
        if let Some(peer) = settings.peer_addr {
            settings.peer_addr = Some(net.bind_datagrams(peer)?);
            net.listen(Endpoint::Copies, peer)?;
        }
        let mut random: SmallRng = rand::make_rng();
        let own = settings.peer_addr.unwrap_or(settings.caller_addr);
        let centre = &settings.data_centre;
        let peers = Peers::new(own, centre, random.random(), &settings.seeds, now)
            .with_capacity(settings.millicores);
        let mut entry = EntryHost {
            currency: ConfigLease::new(settings.bounds.revoke),
            settings,
            read_settings,
            platform,
            clock,
            rendered,
            stop,
            reload,
            net,
            log: LogWriter::new(now, quiet),
            timers: BinaryHeap::new(),
            roles: HashMap::new(),
            idle: HashMap::new(),
            exchanges: Slab::default(),
            calls: Slab::default(),
            snapshot: None,
            targets: Targets::default(),
            peers,
            urgent: false,
            told_urgent: None,
            viewed: None,
            speaking: false,
            liveness: Liveness::default(),
            limiting: Limiting::new(random.random()),
            allowances: HashMap::new(),
            following: Following::default(),
            copies: Copies::default(),
            placing: Placing::default(),
            pacing: Pacing::default(),
            pace: TokenPace::default(),
            shortage: Shortage::default(),
            fatal: FatalRequests::new(now),
            broken: Vec::new(),
            blocked: Blocked::default(),
            random,
            begun: now,
            now,
            came: now,
            // The first turn of the loop is a tick: nothing serves before the store was read.
            ticked: now.checked_sub(TICK).unwrap_or(now),
            ready: false,
            suspended: true,
            outdated: None,
            stopping: None,
            reread_at: now,
        };
        let wall = wall::millis(entry.clock.wall());
        let (host, centre) = (entry.settings.host.clone(), entry.settings.data_centre.clone());
        note!(
            entry,
            Started,
            "host={host} data_centre={centre} callers={} store={} wall_ms={}",
            entry.settings.caller_addr,
            entry.settings.store_addr,
            wall
        );
        Ok(entry)
    }

    /// Where callers come in, and where probes do.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.settings.caller_addr, self.settings.probe_addr)
    }

    /// Runs until the stop signal has been obeyed; returns how many requests were cut off.
    ///
    /// # Errors
    /// When the readiness queue fails.
    pub fn run(&mut self) -> io::Result<usize> {
        let mut notices = Vec::new();
        loop {
            let began = self.clock.now();
            let timeout = self.next_timer().saturating_duration_since(began);
            self.net.poll(timeout, &mut notices)?;
            let look =
                PollTiming { previous_end: self.now, began, timeout, ended: self.clock.now() };
            (self.now, self.came) = (look.ended, look.earliest_arrival());
            for notice in notices.drain(..) {
                match notice {
                    SocketChange::Endpoint(Endpoint::Peers) => self.hear(),
                    SocketChange::Endpoint(door) => self.accept(door),
                    SocketChange::Socket(key) => self.socket_changed(key),
                }
            }
            self.fire_timers();
            self.leave_fallen();
            self.judge_broken();
            self.tell_urgent();
            if self.now.saturating_duration_since(self.ticked) >= TICK {
                self.ticked = self.now;
                self.tick();
            }
            self.log.flush();
            if let Some(cut) = self.ended() {
                note!(self, Stopped, "cut={cut}");
                self.log.close(Duration::from_millis(100));
                return Ok(cut);
            }
        }
    }

    fn next_timer(&self) -> Instant {
        let tick = self.ticked + TICK;
        self.timers.peek().map_or(tick, |Reverse((at, _))| tick.min(*at))
    }

    fn arm(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    fn fire_timers(&mut self) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Exchange(key) => self.check_exchange(key),
                Timer::Call(key) => self.check_call(key),
                Timer::Caller(key) => self.check_caller(key),
                Timer::Liveness(key) => self.check_timed_out(key),
                Timer::Copy(key) => self.copy_timed_out(key),
            }
        }
    }

    fn tick(&mut self) {
        self.obey_signals();
        for id in self.targets.tick(self.now) {
            note!(self, TargetLeft, "target={id} state=missing");
        }
        self.follow();
        self.follow_blocked();
        self.place();
        self.ask_paces();
        self.recheck_dead();
        self.recheck_broken();
        self.fatal.expire(self.now);
        self.forget_limits();
        self.drop_idle();
        self.judge_age();
        self.judge_ready();
        self.beat();
    }

    fn socket_changed(&mut self, key: Key) {
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.pump_caller(key),
            Some(Role::Probe | Role::Metrics) => self.pump_probe(key),
            Some(Role::Target(exchange)) => {
                let exchange = *exchange;
                self.pump_target(exchange);
            }
            Some(Role::Call(call)) => {
                let call = *call;
                self.pump_call(call);
            }
            Some(Role::Liveness(_)) => self.check_changed(key),
            Some(Role::CopyAsker) => self.pump_asker(key),
            Some(Role::CopySource(..)) => self.pump_source(key),
            Some(Role::Idle(addr)) => {
                let addr = *addr;
                self.check_idle(key, addr);
            }
            None => {}
        }
    }

    fn accept(&mut self, door: Endpoint) {
        while let Some(key) = self.net.accept(door) {
            let role = match door {
                Endpoint::Callers => Role::Caller(Caller::new(self.now)),
                Endpoint::Probes => Role::Probe,
                Endpoint::Metrics | Endpoint::Peers => Role::Metrics,
                Endpoint::Copies => Role::CopyAsker,
            };
            let caller = matches!(role, Role::Caller(_));
            self.roles.insert(key, role);
            if caller {
                self.watch_caller(key);
            } else if door == Endpoint::Copies {
                self.arm(self.now + COPY_TIMEOUT, Timer::Copy(key));
            }
        }
    }

    /// Closes a connection at once.
    fn close(&mut self, key: Key) {
        self.roles.remove(&key);
        self.net.close(key);
    }

    /// Closes a connection when all that was to be sent has left.
    fn finish_socket(&mut self, key: Key) {
        self.net.close_flushed(key);
        if self.net.get(key).is_none() {
            self.roles.remove(&key);
        }
    }

    /// A kept connection to an address, or a new one; says whether it was kept.
    fn connection(&mut self, addr: SocketAddr, fresh: bool) -> io::Result<(Key, bool)> {
        while let Some((key, _)) = self.idle.get_mut(&addr).filter(|_| !fresh).and_then(Vec::pop) {
            if self.net.get(key).is_some_and(|s| s.reusable()) {
                return Ok((key, true));
            }
            self.close(key);
        }
        metrics::counter!("roseshore_connections_opened_total").increment(1);
        Ok((self.net.connect(addr)?, false))
    }

    /// Keeps a connection for later.
    fn keep(&mut self, key: Key, addr: SocketAddr) {
        self.roles.insert(key, Role::Idle(addr));
        self.idle.entry(addr).or_default().push((key, self.now));
    }

    /// A kept connection that says something, or ends, is of no more use.
    fn check_idle(&mut self, key: Key, addr: SocketAddr) {
        if !self.net.get(key).is_some_and(|s| s.reusable()) {
            if let Some(kept) = self.idle.get_mut(&addr) {
                kept.retain(|(k, _)| *k != key);
            }
            self.close(key);
        }
    }

    fn drop_idle(&mut self) {
        /// Targets close connections that rest for some seconds; this is sooner than any seen.
        const REST: Duration = Duration::from_millis(2500);
        let now = self.now;
        let mut old = Vec::new();
        for kept in self.idle.values_mut() {
            let rested = |at: &Instant| now.saturating_duration_since(*at) >= REST;
            old.extend(kept.iter().filter(|(_, at)| rested(at)).map(|(key, _)| *key));
            kept.retain(|(_, at)| !rested(at));
        }
        self.idle.retain(|_, kept| !kept.is_empty());
        for key in old {
            self.close(key);
        }
    }
}

/// Whether a connection ended in order, for answers that end with it.
fn orderly(ended: Option<Ended>) -> bool {
    ended == Some(Ended::Orderly)
}
