//! Sends orders to the targets of this data centre, to make them hold what the fleet declares.
//!
//! The daemon that is first in rendezvous order for the subject `orders` tries to hold the lease
//! of its data centre, and sends orders while it holds it. Who may send orders and which are due is
//! decided in `roseshore_core::order`; this module reads and appends lease records, collects the
//! state and sends the orders.

use crate::app::Drain;
use crate::event;
use crate::log_reader::{Batch, read_to_end};
use parking_lot::Mutex;
use roseshore_core::order::desired::{desired, spares};
use roseshore_core::order::lease::{LeaseClient, LeaseRecord, LeaseTimes};
use roseshore_core::order::placement::{Placement, PlacementBounds};
use roseshore_core::order::reconciler::{
    Action, DueOrder, Observed, Reconciler, ReconcilerLimits, WeightStoreState,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, Members, Report, ReportContent, ReportStore};
use roseshore_ports::outside::{CallError, Engine, Log, WeightStore};
use roseshore_wire::engine::{Order, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Threads that send orders concurrently.
const SEND_THREADS: usize = 4;

/// Timing and limits of an [`OrderDriver`].
#[derive(Clone, Copy, Debug)]
pub struct OrderSettings {
    /// Timing of the lease.
    pub lease: LeaseTimes,
    /// Limits on which orders are due.
    pub reconciler: ReconcilerLimits,
    /// Bounds of the placement of spare engines.
    pub placement: PlacementBounds,
    /// Reports of this age or older are ignored.
    pub max_age: Duration,
    /// Timeout of one order. The margin of the lease must cover it, so that no order is still under
    /// way when the lease has expired.
    pub timeout: Duration,
}

impl Default for OrderSettings {
    fn default() -> OrderSettings {
        OrderSettings {
            lease: LeaseTimes::default(),
            reconciler: ReconcilerLimits::default(),
            placement: PlacementBounds::default(),
            max_age: Duration::from_secs(3),
            timeout: Duration::from_secs(1),
        }
    }
}

/// Dependencies of an [`OrderDriver`].
#[derive(Clone)]
pub struct OrderDeps {
    /// The log that holds the lease records.
    pub log: Arc<dyn Log>,
    /// The client that sends orders to engines.
    pub engine: Arc<dyn Engine>,
    /// The state of the weight store.
    pub weights: Arc<dyn WeightStore>,
    /// The configuration in force, which declares what targets should hold.
    pub fleets: Arc<dyn ConfigSource>,
    /// The newest load reports, which tell what targets hold.
    pub reports: Arc<dyn ReportStore>,
    /// The view of the daemons, for the rendezvous order.
    pub members: Arc<dyn Members>,
    /// Whether this daemon is draining.
    pub drain: Arc<Drain>,
}

/// Holds the lease and sends orders for one daemon.
pub struct OrderDriver {
    deps: OrderDeps,
    stream: String,
    data_centre: DataCentreId,
    lease_client: Arc<Mutex<LeaseClient>>,
    reconciler: Reconciler,
    bounds: PlacementBounds,
    placement: Placement,
    max_age: Duration,
    holding: bool,
    sender: Sender,
}

impl OrderDriver {
    /// Creates a driver without a lease and starts the threads that send orders.
    pub fn new(deps: OrderDeps, settings: OrderSettings) -> OrderDriver {
        let own = deps.members.own();
        let lease_client = LeaseClient::new(own.host, own.incarnation, settings.lease);
        let lease_client = Arc::new(Mutex::new(lease_client));
        let sender = Sender::start(deps.engine.clone(), lease_client.clone(), settings.timeout);
        OrderDriver {
            stream: format!("orders-{}", own.data_centre),
            data_centre: own.data_centre,
            reconciler: Reconciler::new(settings.reconciler),
            bounds: settings.placement,
            placement: Placement::new(settings.placement),
            max_age: settings.max_age,
            holding: false,
            deps,
            lease_client,
            sender,
        }
    }

    /// Runs rounds until `stop` is closed.
    pub fn run(mut self, stop: &flume::Receiver<()>) {
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(ROUND_INTERVAL) {
            self.round();
        }
        self.release();
    }

    /// The fencing number under which this daemon may send orders now, if it holds the lease.
    pub fn fence(&self) -> Option<Fence> {
        self.lease_client.lock().may_order(Instant::now(), true)
    }

    /// One round: reads the lease stream, acquires or renews the lease if this daemon is first, and
    /// sends the orders that are due.
    pub fn round(&mut self) {
        let host = self.deps.members.own().host;
        let ranked = self.deps.members.ranked("orders");
        // The second in rank also reads the stream, so that it can take over without catching up.
        let standby = ranked.iter().take(2).any(|m| m.host == host);
        if !standby && !self.holding {
            return;
        }
        if !self.read() {
            return;
        }
        let leaving = self.deps.drain.draining();
        let first = ranked.first().is_some_and(|m| m.host == host);
        let due = self.lease_client.lock().due(Instant::now(), first && !leaving, rand::random());
        if let Some(record) = due {
            self.append(&record);
        }
        self.update_holding();
        if leaving {
            self.release();
        } else if self.holding {
            self.send_due();
        }
    }

    /// Reads the stream up to its end; returns `false` if the log does not respond.
    fn read(&self) -> bool {
        let from = self.lease_client.lock().state().next_offset();
        let read = read_to_end(&*self.deps.log, &self.stream, from, |batch| {
            let mut lease = self.lease_client.lock();
            match batch {
                Batch::Records(records) => records.iter().for_each(|it| apply(&mut lease, it)),
                Batch::Trimmed(oldest) => lease.skip_to(oldest),
            }
            Ok(lease.state().next_offset())
        });
        read.is_ok()
    }

    fn append(&self, record: &LeaseRecord) {
        let Ok(line) = serde_json::to_string(record) else { return };
        // The result is ignored: the next read shows whether the record was appended.
        let _ = self.deps.log.append(&self.stream, &[line]);
    }

    fn update_holding(&mut self) {
        let fence = self.fence();
        match (self.holding, fence) {
            (false, Some(fence)) => {
                event!(Event::LeaseTaken, "stream={} fence={fence}", self.stream);
            }
            (true, None) => {
                event!(Event::LeaseLost, "stream={}", self.stream);
                // Another holder may move spare engines in the meantime.
                self.placement = Placement::new(self.bounds);
            }
            _ => {}
        }
        self.holding = fence.is_some();
    }

    /// Releases the lease, but only once no order is in flight.
    fn release(&mut self) {
        if self.sender.in_flight() > 0 {
            return;
        }
        let record = self.lease_client.lock().release();
        if let Some(record) = record {
            self.append(&record);
            self.holding = false;
        }
    }

    fn send_due(&mut self) {
        let Some(fleet) = self.deps.fleets.current() else { return };
        let mut desired_state = desired(&fleet.fleet, &self.data_centre);
        let observed_state = observed(&self.deps.reports.newest(), Instant::now(), self.max_age);
        let spares = spares(&fleet.fleet, &self.data_centre);
        let placed = self.placement.place(Instant::now(), &desired_state, &spares, &observed_state);
        desired_state.extend(placed);
        let store = self.deps.weights.weights().ok();
        let store = store.map(|s| WeightStoreState { rate: s.rate, backlog: s.backlog });
        let now = Instant::now();
        let lease_client = self.lease_client.clone();
        let allowed = |checks_fence| lease_client.lock().may_order(now, checks_fence).is_some();
        let due = self.reconciler.due(now, &desired_state, &observed_state, store, allowed);
        metrics::gauge!("roseshore_orders_waiting").set(due.len() as f64);
        for due in due {
            if let Some(target) = fleet.fleet.targets.get(&due.target) {
                self.sender.send(Job { addr: target.addr, due });
            }
        }
    }
}

fn apply(lease_client: &mut LeaseClient, record: &roseshore_wire::platform::Record) {
    match serde_json::from_str::<LeaseRecord>(&record.data) {
        Ok(lease) => {
            lease_client.record(record.offset, record.time_ms, &lease, Instant::now());
        }
        // A record of a newer version cannot be parsed; every reader skips it in the same way.
        Err(_) => lease_client.skip_to(record.offset + 1),
    }
}

/// What targets hold, according to reports that are younger than `max_age`.
fn observed(reports: &[Report], now: Instant, max_age: Duration) -> BTreeMap<TargetId, Observed> {
    let fresh = reports.iter().filter(|r| now.saturating_duration_since(r.seen) < max_age);
    fresh.filter_map(|r| Some((r.target.clone(), observe(&r.content)?))).collect()
}

fn observe(content: &ReportContent) -> Option<Observed> {
    let ReportContent::Engine(load) = content else { return None };
    let holding = &load.holding;
    Some(Observed {
        model: holding.model.clone(),
        version: holding.version.clone(),
        layers: holding.layers,
        adapters: holding.adapters.clone(),
        loading: holding.loading,
        serves: holding.role == Role::Both,
        running: load.running,
        queue: load.queue,
        slots: load.slots,
    })
}

struct Job {
    addr: SocketAddr,
    due: DueOrder,
}

impl Job {
    fn order(&self, fence: Fence) -> Order {
        let target = &self.due.target;
        match &self.due.action {
            Action::Hold(want) => Order {
                fence,
                order: format!("{fence}-{target}-{}-{}", want.model, want.version),
                model: Some(want.model.clone()),
                version: Some(want.version.clone()),
                layers: want.layers,
                adapters: want.adapters.clone(),
                role: Role::Both,
            },
            // Answers in flight continue; routers choose only targets whose role includes prefill.
            Action::Drain(holds) => Order {
                fence,
                order: format!("{fence}-{target}-drain"),
                model: holds.model.clone(),
                version: holds.version.clone(),
                layers: holds.layers,
                adapters: holds.adapters.clone(),
                role: Role::Decode,
            },
        }
    }
}

/// The threads that send orders.
struct Sender {
    jobs: flume::Sender<Job>,
    in_flight: Arc<AtomicUsize>,
}

impl Sender {
    fn start(
        engine: Arc<dyn Engine>,
        lease_client: Arc<Mutex<LeaseClient>>,
        timeout: Duration,
    ) -> Sender {
        let (jobs, queue) = flume::bounded::<Job>(SEND_THREADS * 16);
        let in_flight = Arc::new(AtomicUsize::new(0));
        for _ in 0..SEND_THREADS {
            let (queue, engine) = (queue.clone(), engine.clone());
            let (lease_client, in_flight) = (lease_client.clone(), in_flight.clone());
            thread::spawn(move || {
                for job in queue {
                    send(engine.as_ref(), &lease_client, &job, timeout);
                    in_flight.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
        Sender { jobs, in_flight }
    }

    /// The number of orders that are queued or not yet answered.
    fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    fn send(&self, job: Job) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        // A full queue drops the order; a later round finds it due again.
        if self.jobs.try_send(job).is_err() {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn send(engine: &dyn Engine, lease_client: &Mutex<LeaseClient>, job: &Job, timeout: Duration) {
    // Checked at sending and not when the order became due, because the job may have been queued for
    // long enough that the lease has expired.
    let Some(fence) = lease_client.lock().may_order(Instant::now(), job.due.checks_fence) else {
        return;
    };
    let order = job.order(fence);
    let target = &job.due.target;
    let (role, version) = (order.role, order.version.as_deref().unwrap_or_default());
    event!(Event::OrderSent, "target={target} version={version} role={role:?} fence={fence}");
    match engine.order(job.addr, &order, timeout) {
        Ok(_) => {}
        Err(CallError::Refused(412, ..)) => {
            event!(Event::OrderFenced, "target={target} fence={fence}");
        }
        Err(err) => event!(Event::OrderUnknown, "target={target} fence={fence}: {err}"),
    }
}
