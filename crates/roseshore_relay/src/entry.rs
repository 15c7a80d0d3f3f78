//! The process of an entry host: state, event loop and timers.

mod admission;
mod callers;
mod calls;
mod choice;
mod connections;
mod copies;
mod demand;
mod dispatch;
mod ended_runs;
mod exchange;
mod fatal;
mod heartbeats;
mod in_flight;
mod liveness;
mod memory;
mod own_records;
mod pace_polling;
mod placement;
mod probes;
mod rate_limits;
mod records;
mod relays;
mod responses;
mod responsiveness;
mod retry_loans;
mod returns;
mod send_failure;
mod signals;
mod standby;
mod store_sync;
mod target_feedback;
mod timeouts;

use crate::log_writer::LogWriter;
use crate::net::{Dial, Endpoint, Net, SocketChange};
use crate::slab::{Key, Slab};
use admission::Admission;
use callers::Caller;
use calls::Call;
use demand::Demand;
use ended_runs::EndedRuns;
use exchange::Exchange;
use liveness::Liveness;
use metrics_exporter_prometheus::PrometheusHandle;
use own_records::OwnRecords;
use pace_polling::PacePolling;
use placement::PlacementState;
use rand::RngExt;
use rand::rngs::SmallRng;
use rate_limits::RateLimits;
use relays::Relays;
use roseshore_core::gateway::copies::COPY_TIMEOUT;
use roseshore_core::gateway::leaving::{CallTimes, TokenPace};
use roseshore_core::gateway::poll_timing::{PollTiming, max_wait};
use roseshore_core::gateway::{
    CallerAges, ConfigLease, Copies, EntrySettings, FatalRequests, Moves, NewerConfigs, Overload,
    Peers, PendingRetries, RetryBudget, RetryLoans, Returns, Snapshot, Targets,
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
use store_sync::StoreSync;

/// Interval of periodic work that has no timer of its own.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors reserved for files and the runtime, as the platform requires.
const RESERVED_DESCRIPTORS: usize = 220;
/// Descriptor limit if the settings give none.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// What an [`EntryHost`] is created from.
pub struct EntryOptions {
    /// The settings at start.
    pub settings: EntrySettings,
    /// Reads the settings again, on the reload signal and periodically.
    pub read_settings: Box<dyn Fn() -> Result<EntrySettings, WireError>>,
    /// Wire formats of the platform.
    pub platform: Box<dyn EntryPlatform>,
    /// The clock; time for which the machine was suspended counts.
    pub clock: Box<dyn Clock>,
    /// Opens connections to targets, the store and other hosts.
    pub dial: Box<dyn Dial>,
    /// The recorder of the metrics; `None` if the process has none.
    pub metrics: Option<PrometheusHandle>,
    /// Address at which metrics are served; `None` to serve none.
    pub metrics_addr: Option<SocketAddr>,
    /// Set by the stop signal.
    pub stop: Arc<AtomicBool>,
    /// Set by the reload signal.
    pub reload: Arc<AtomicBool>,
    /// Whether to write no log lines, for tests that run many hosts in one process.
    pub quiet: bool,
}

/// What a connection is used for.
enum Role {
    Caller(Caller),
    /// Health probes of the load balancer.
    Probe,
    /// Scrapes of metrics.
    Metrics,
    /// A send of this exchange, in flight or standing by.
    Target(Key),
    /// This call.
    Call(Key),
    /// A liveness check of this target.
    Liveness(TargetId),
    /// Kept for reuse on this route.
    Idle(Route),
    /// Another host that requests a copy of the store data, or a tunnel.
    PeerRequester,
    /// One of the two connections of this tunnel.
    Tunnel(Key),
    /// Closed as soon as its output has been written.
    Closing,
    /// Another host that was asked for a copy, and the bytes received by the last time-out check.
    CopySource(SocketAddr, usize),
}

/// How a connection reaches an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Route {
    to: SocketAddr,
    /// The host that relays the connection; `None` for a direct one.
    via: Option<SocketAddr>,
}

/// What to check when a timer fires. The key is that of an exchange, a call or a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Exchange(Key),
    Call(Key),
    Caller(Key),
    Liveness(Key),
    Copy(Key),
}

/// An entry host: accepts requests of callers and proxies them to targets.
pub struct EntryHost {
    settings: EntrySettings,
    read_settings: Box<dyn Fn() -> Result<EntrySettings, WireError>>,
    platform: Box<dyn EntryPlatform>,
    clock: Box<dyn Clock>,
    metrics_handle: Option<PrometheusHandle>,
    /// When samples of histograms were last added up.
    metrics_drained: Instant,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    net: Net,
    log: LogWriter,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    roles: HashMap<Key, Role>,
    /// Idle connections to targets and the store, with the time since when they are idle.
    idle: HashMap<Route, Vec<(Key, Instant)>>,
    exchanges: Slab<Exchange>,
    calls: Slab<Call>,
    snapshot: Option<Arc<Snapshot>>,
    config_lease: ConfigLease,
    targets: Targets,
    peers: Peers,
    /// Whether an urgent heartbeat is pending.
    urgent_pending: bool,
    /// When the last urgent heartbeat was sent.
    urgent_sent: Option<Instant>,
    /// When the heartbeats of other hosts were last aggregated.
    peers_viewed: Option<Instant>,
    /// Whether this host was a speaker of its data centre at the last check, for the log.
    was_speaking: bool,
    liveness: Liveness,
    relays: Relays,
    rate_limits: RateLimits,
    retry_budgets: HashMap<ServiceId, RetryBudget>,
    demand: Demand,
    admission: Admission,
    retry_loans: RetryLoans,
    pending_retries: PendingRetries,
    /// Silent requests that were sent elsewhere.
    moves: Moves,
    /// Whether sends may wait for a loan that has to be requested.
    loans_wanted: bool,
    store_sync: StoreSync,
    copies: Copies,
    placement: PlacementState,
    pace_polling: PacePolling,
    /// Speed of recent streams, to tell which ones end before a shutdown.
    pace: TokenPace,
    /// Times of recent calls of services without engines, for the same.
    call_times: CallTimes,
    returns: Returns,
    caller_ages: CallerAges,
    fatal: FatalRequests,
    /// Runs that have ended, until it is known whether their targets crashed.
    ended_runs: EndedRuns,
    overload: Overload,
    /// New callers turned away since the last tick.
    turned_away: u32,
    /// The turn in which there was no room for a new caller.
    no_room_at: Option<Instant>,
    /// Connections that were closed for new ones since the last tick.
    replaced: usize,
    /// When the event loop last woke up.
    woke: Instant,
    own_records: OwnRecords,
    rng: SmallRng,
    started: Instant,
    now: Instant,
    /// Earliest possible arrival time of the input that is processed in this iteration of the loop.
    earliest_arrival: Instant,
    last_tick: Instant,
    ready: bool,
    /// Whether API keys are not honoured because the configuration may be old.
    keys_suspended: bool,
    /// Configurations that other hosts have and this one lacks.
    newer_configs: NewerConfigs,
    /// When the stop signal was received.
    stopping_since: Option<Instant>,
    /// Callers that got a response, from which a next request may have been received.
    resumed_callers: Vec<Key>,
    /// Begun answers that were cut off for the exit of this process.
    answers_cut: usize,
    settings_read: Instant,
}

/// Logs an event and counts it in the metrics.
macro_rules! log_event {
    ($entry:expr, $event:ident, $($text:tt)+) => {{
        let now = $entry.now;
        $entry.log.log(now, Event::$event, format_args!($($text)+));
        metrics::counter!("roseshore_events_total", "event" => Event::$event.number().to_string())
            .increment(1);
    }};
}
use log_event;

impl EntryHost {
    /// Opens the listeners.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn new(options: EntryOptions) -> io::Result<EntryHost> {
        let EntryOptions {
            mut settings,
            read_settings,
            platform,
            clock,
            dial,
            metrics,
            metrics_addr,
            stop,
            reload,
            quiet,
        } = options;
        let now = clock.now();
        let sockets = settings.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let mut net = Net::new(sockets.saturating_sub(RESERVED_DESCRIPTORS).max(64), dial)?;
        settings.caller_addr = net.listen(Endpoint::Callers, settings.caller_addr)?;
        settings.probe_addr = net.listen(Endpoint::Probes, settings.probe_addr)?;
        if let Some(addr) = metrics_addr {
            net.listen(Endpoint::Metrics, addr)?;
        }
        if let Some(peer) = settings.peer_addr {
            settings.peer_addr = Some(net.bind_datagrams(peer)?);
            net.listen(Endpoint::Copies, peer)?;
        }
        let mut rng: SmallRng = rand::make_rng();
        let own = settings.peer_addr.unwrap_or(settings.caller_addr);
        let data_centre = &settings.data_centre;
        let peers = Peers::new(own, data_centre, rng.random(), &settings.seeds, now)
            .with_capacity(settings.millicores);
        let mut entry = EntryHost {
            config_lease: ConfigLease::new(settings.bounds.revoke),
            store_sync: StoreSync::new(&settings.bounds),
            copies: Copies::new(settings.link_rate),
            settings,
            read_settings,
            platform,
            clock,
            metrics_handle: metrics,
            metrics_drained: now,
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
            urgent_pending: false,
            urgent_sent: None,
            peers_viewed: None,
            was_speaking: false,
            liveness: Liveness::default(),
            relays: Relays::default(),
            rate_limits: RateLimits::new(rng.random()),
            retry_budgets: HashMap::new(),
            demand: Demand::default(),
            admission: Admission::default(),
            retry_loans: RetryLoans::new(usize::from(rng.random::<u16>())),
            loans_wanted: false,
            pending_retries: PendingRetries::default(),
            moves: Moves::default(),
            placement: PlacementState::default(),
            pace_polling: PacePolling::default(),
            pace: TokenPace::default(),
            call_times: CallTimes::default(),
            returns: Returns::default(),
            caller_ages: CallerAges::default(),
            fatal: FatalRequests::new(now),
            ended_runs: EndedRuns::default(),
            overload: Overload::default(),
            turned_away: 0,
            no_room_at: None,
            replaced: 0,
            woke: now,
            own_records: OwnRecords::default(),
            rng,
            started: now,
            now,
            earliest_arrival: now,
            // Makes the first iteration of the loop a tick, which starts to read the store: nothing
            // is served before that.
            last_tick: now.checked_sub(TICK_INTERVAL).unwrap_or(now),
            ready: false,
            keys_suspended: true,
            newer_configs: NewerConfigs::default(),
            stopping_since: None,
            resumed_callers: Vec::new(),
            answers_cut: 0,
            settings_read: now,
        };
        entry.log_start();
        Ok(entry)
    }

    fn log_start(&mut self) {
        let EntrySettings { host, data_centre, caller_addr, store_addr, .. } = &self.settings;
        let wall = wall::millis(self.clock.wall());
        let text = format!(
            "host={host} data_centre={data_centre} callers={caller_addr} store={store_addr} \
             wall_ms={wall}"
        );
        log_event!(self, Started, "{text}");
    }

    /// The addresses that accept callers and health probes.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.settings.caller_addr, self.settings.probe_addr)
    }

    /// Runs until shutdown after the stop signal is complete; returns the number of answers that were
    /// cut off.
    ///
    /// # Errors
    /// If the readiness queue fails.
    pub fn run(&mut self) -> io::Result<usize> {
        let mut changes = Vec::new();
        loop {
            let began = self.clock.now();
            let timeout = self.net.wait(max_wait(self.now, began, self.next_timer()))?;
            let woke = self.clock.now();
            self.overload.record(
                began.saturating_duration_since(self.woke),
                woke.saturating_duration_since(began),
            );
            self.woke = woke;
            self.net.set_now(woke);
            self.net.process_ready(&mut changes);
            let timing =
                PollTiming { previous_end: self.now, began, timeout, ended: self.clock.now() };
            (self.now, self.earliest_arrival) = (timing.ended, timing.earliest_arrival());
            if timing.is_late() {
                self.net.wait(Duration::ZERO)?;
                self.net.process_ready(&mut changes);
            }
            for change in changes.drain(..) {
                match change {
                    SocketChange::Endpoint(Endpoint::Peers) => self.receive_datagrams(),
                    SocketChange::Endpoint(endpoint) => self.accept_connections(endpoint),
                    SocketChange::Socket(key) => self.handle_socket(key),
                }
            }
            self.fire_timers();
            self.exchange_reach();
            self.reroute_from_dead();
            self.resolve_interrupted();
            self.request_loans();
            self.send_urgent();
            if self.now.saturating_duration_since(self.last_tick) >= TICK_INTERVAL {
                self.last_tick = self.now;
                self.tick();
            }
            self.bound_memory();
            self.handle_resumed_callers();
            self.serve_queues();
            self.log.flush();
            if let Some(cut) = self.advance_shutdown() {
                log_event!(self, Stopped, "cut={cut}");
                self.log.close(Duration::from_millis(100));
                return Ok(cut);
            }
        }
    }

    /// When the event loop has to wake up next: at the earliest timer or the next tick, or at once if
    /// there are requests to read.
    fn next_timer(&self) -> Instant {
        if !self.resumed_callers.is_empty() {
            return self.now;
        }
        let tick = self.last_tick + TICK_INTERVAL;
        self.timers.peek().map_or(tick, |Reverse((at, _))| tick.min(*at))
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    /// Handles all timers that are due.
    fn fire_timers(&mut self) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Exchange(key) => self.check_exchange(key),
                Timer::Call(key) => self.call_timed_out(key),
                Timer::Caller(key) => self.check_caller(key),
                Timer::Liveness(key) => self.liveness_timed_out(key),
                Timer::Copy(key) => self.copy_timed_out(key),
            }
        }
    }

    /// Does the periodic work of every [`TICK_INTERVAL`].
    fn tick(&mut self) {
        self.handle_signals();
        for id in self.targets.tick(self.now) {
            log_event!(self, TargetLeft, "target={id} state=missing");
        }
        self.sync_store();
        self.sync_own_records();
        self.update_placement();
        self.poll_paces();
        self.recheck_dead();
        self.resolve_ended();
        self.fatal.expire(self.now);
        self.update_blocked_gauges();
        self.log_turned_away();
        self.log_connections_full();
        self.expire_limits();
        self.close_idle();
        self.update_outdated();
        self.update_readiness();
        self.send_heartbeats();
        self.update_retry_pools();
        self.postpone_retries();
        self.widen_rooms();
        self.update_demand_gauges();
        self.expire_admission();
        self.update_memory_gauges();
        self.drain_metrics();
    }

    /// Passes a changed connection to the code for its role.
    fn handle_socket(&mut self, key: Key) {
        if self.tunnel_pending(key) {
            return;
        }
        match self.roles.get(&key) {
            Some(Role::Caller(_)) => self.handle_caller(key),
            Some(Role::Probe | Role::Metrics) => self.handle_probe(key),
            Some(Role::Target(exchange)) => {
                let exchange = *exchange;
                self.handle_target(exchange, key);
            }
            Some(Role::Call(call)) => {
                let call = *call;
                self.handle_call(call);
            }
            Some(Role::Liveness(_)) => self.handle_liveness(key),
            Some(Role::PeerRequester) => self.handle_peer_request(key),
            Some(Role::Tunnel(tunnel)) => {
                let tunnel = *tunnel;
                self.handle_tunnel(tunnel);
            }
            Some(Role::Closing) => self.close_ended(key),
            Some(Role::CopySource(..)) => self.handle_copy_reply(key),
            Some(Role::Idle(route)) => {
                let route = *route;
                self.check_idle(key, route);
            }
            None => {}
        }
    }

    /// Accepts all pending connections of a listener.
    fn accept_connections(&mut self, endpoint: Endpoint) {
        while let Some(key) = self.net.accept(endpoint) {
            if endpoint == Endpoint::Callers && !self.take_caller() {
                self.net.close(key);
                continue;
            }
            if endpoint == Endpoint::Callers && !self.make_room_for_caller() {
                self.net.refuse(key);
                continue;
            }
            let role = match endpoint {
                Endpoint::Callers => Role::Caller(Caller::new(self.now)),
                Endpoint::Probes => Role::Probe,
                Endpoint::Metrics | Endpoint::Peers => Role::Metrics,
                Endpoint::Copies => Role::PeerRequester,
            };
            self.roles.insert(key, role);
            match endpoint {
                Endpoint::Callers => self.watch_caller(key),
                Endpoint::Copies => self.set_timer(self.now + COPY_TIMEOUT, Timer::Copy(key)),
                Endpoint::Probes | Endpoint::Metrics => self.make_room_for_probe(endpoint, key),
                Endpoint::Peers => {}
            }
        }
    }

    /// Whether this host has the time for a new caller. Counts those that are turned away.
    fn take_caller(&mut self) -> bool {
        let take = self.overload.take_caller(self.now);
        if !take {
            metrics::counter!("roseshore_callers_turned_away_total").increment(1);
        }
        self.turned_away += u32::from(!take);
        take
    }

    /// Logs how many callers were turned away since the last tick.
    fn log_turned_away(&mut self) {
        let count = std::mem::take(&mut self.turned_away);
        if count > 0 {
            let busy = self.overload.busy();
            log_event!(self, CallersTurnedAway, "count={count} busy={busy:.2}");
        }
    }

    /// Closes a connection now.
    fn close(&mut self, key: Key) {
        self.roles.remove(&key);
        self.relays.forget(key);
        self.net.close(key);
    }

    /// Closes a connection now, and takes back what has not reached its other end.
    fn abort(&mut self, key: Key) {
        self.roles.remove(&key);
        self.relays.forget(key);
        self.net.abort(key);
    }

    /// Closes a connection whose peer has closed it.
    fn close_ended(&mut self, key: Key) {
        if self.net.get(key).is_none_or(|socket| socket.ended.is_some()) {
            self.close(key);
        }
    }

    /// Closes a connection once all its output has been written.
    fn close_flushed(&mut self, key: Key) {
        self.net.close_flushed(key);
        if self.net.get(key).is_none() {
            self.roles.remove(&key);
        }
    }

    /// An idle connection on a route or, if there is none or `new_only` is set, a new one while there
    /// are fewer than `max`. The flag tells whether it is reused.
    fn acquire_connection(
        &mut self,
        route: Route,
        new_only: bool,
        max: usize,
    ) -> io::Result<(Key, bool)> {
        while let Some((key, _)) =
            self.idle.get_mut(&route).filter(|_| !new_only).and_then(Vec::pop)
        {
            if self.net.get(key).is_some_and(|s| s.reusable()) {
                return Ok((key, true));
            }
            self.close(key);
        }
        if self.net.connections().0 >= max {
            return Err(io::Error::new(io::ErrorKind::QuotaExceeded, "too many connections"));
        }
        metrics::counter!("roseshore_connections_opened_total").increment(1);
        let key = match route.via {
            None => self.net.connect(route.to)?,
            Some(host) => self.open_tunnel(route.to, host)?,
        };
        Ok((key, false))
    }

    /// Keeps a connection for reuse.
    fn keep_idle(&mut self, key: Key, route: Route) {
        self.roles.insert(key, Role::Idle(route));
        self.idle.entry(route).or_default().push((key, self.now));
    }

    /// Closes an idle connection that ended or received unexpected input.
    fn check_idle(&mut self, key: Key, route: Route) {
        if !self.net.get(key).is_some_and(|s| s.reusable()) {
            if let Some(connections) = self.idle.get_mut(&route) {
                connections.retain(|(k, _)| *k != key);
            }
            self.close(key);
        }
    }

    /// Closes connections that have been idle for too long.
    fn close_idle(&mut self) {
        /// Targets close connections that are idle for some seconds; this is shorter than the time
        /// of any known target, so that a request is not sent on a connection that is being closed.
        const MAX_IDLE: Duration = Duration::from_millis(2500);
        let now = self.now;
        let mut expired = Vec::new();
        for connections in self.idle.values_mut() {
            let idle_too_long = |at: &Instant| now.saturating_duration_since(*at) >= MAX_IDLE;
            expired.extend(
                connections.iter().filter(|(_, at)| idle_too_long(at)).map(|(key, _)| *key),
            );
            connections.retain(|(_, at)| !idle_too_long(at));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
        for key in expired {
            self.close(key);
        }
    }
}
