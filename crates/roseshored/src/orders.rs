//! Gives orders to the targets of the own data centre.
//!
//! The daemon that is first in rendezvous order for the subject `orders` tries to hold the lease
//! of its data centre; while it does, it brings targets to what the fleet declares. Who may order
//! and which orders are due is decided in `roseshore_core::order`; this module reads and appends
//! records, asks the parts for their state, and sends.

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

/// How long a round waits before the next one.
const ROUND: Duration = Duration::from_millis(250);
/// Threads that send orders concurrently.
const SENDERS: usize = 4;

/// The times of giving orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderSettings {
    /// Those of the lease.
    pub lease: LeaseTimes,
    /// Those of the choice of orders.
    pub reconciler: ReconcilerLimits,
    /// Those of the placement of spare engines.
    pub placement: PlacementBounds,
    /// A report older than this says nothing about what a target holds.
    pub max_age: Duration,
    /// How long a target has to answer an order; the lease's margin covers it.
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

/// What giving orders needs.
#[derive(Clone)]
pub struct OrderDeps {
    /// Keeps the leases.
    pub log: Arc<dyn Log>,
    /// Takes the orders.
    pub engine: Arc<dyn Engine>,
    /// Gives the weights.
    pub weights: Arc<dyn WeightStore>,
    /// What should be held.
    pub fleets: Arc<dyn ConfigSource>,
    /// What is held.
    pub reports: Arc<dyn ReportStore>,
    /// Who else could order.
    pub members: Arc<dyn Members>,
    /// Whether this daemon is leaving.
    pub drain: Arc<Drain>,
}

/// The orders of one daemon.
pub struct OrderDriver {
    parts: OrderDeps,
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
    /// A driver that holds no lease yet; starts the threads that send.
    pub fn new(parts: OrderDeps, times: OrderSettings) -> OrderDriver {
        let own = parts.members.own();
        let lease_client = LeaseClient::new(own.host, own.incarnation, times.lease);
        let lease_client = Arc::new(Mutex::new(lease_client));
        let sender = Sender::start(parts.engine.clone(), lease_client.clone(), times.timeout);
        OrderDriver {
            stream: format!("orders-{}", own.data_centre),
            data_centre: own.data_centre,
            reconciler: Reconciler::new(times.reconciler),
            bounds: times.placement,
            placement: Placement::new(times.placement),
            max_age: times.max_age,
            holding: false,
            parts,
            lease_client,
            sender,
        }
    }

    /// Runs rounds until `stop` is closed.
    pub fn run(mut self, stop: &flume::Receiver<()>) {
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(ROUND) {
            self.round();
        }
        self.release();
    }

    /// The fencing number with which this daemon may order now, if it holds the lease.
    pub fn fence(&self) -> Option<Fence> {
        self.lease_client.lock().may_order(Instant::now(), true)
    }

    /// One round: read the stream, hold the lease if it is this daemon's turn, give what is due.
    pub fn round(&mut self) {
        let host = self.parts.members.own().host;
        let ranked = self.parts.members.ranked("orders");
        // The second in rank reads along, so that it can take over without reading up first.
        let near = ranked.iter().take(2).any(|m| m.host == host);
        if !near && !self.holding {
            return;
        }
        if !self.read() {
            return;
        }
        let leaving = self.parts.drain.draining();
        let first = ranked.first().is_some_and(|m| m.host == host);
        let due = self.lease_client.lock().due(Instant::now(), first && !leaving, rand::random());
        if let Some(record) = due {
            self.append(&record);
        }
        self.note_holding();
        if leaving {
            self.release();
        } else if self.holding {
            self.give();
        }
    }

    /// Reads the stream up to its end; `false` when the log does not answer.
    fn read(&self) -> bool {
        let from = self.lease_client.lock().state().next_offset();
        let read = read_to_end(&*self.parts.log, &self.stream, from, |met| {
            let mut lease = self.lease_client.lock();
            match met {
                Batch::Records(records) => records.iter().for_each(|it| take(&mut lease, it)),
                Batch::Trimmed(oldest) => lease.skip_to(oldest),
            }
            Ok(lease.state().next_offset())
        });
        read.is_ok()
    }

    fn append(&self, record: &LeaseRecord) {
        let Ok(line) = serde_json::to_string(record) else { return };
        // Whatever becomes of the append, the next reading tells.
        let _ = self.parts.log.append(&self.stream, &[line]);
    }

    fn note_holding(&mut self) {
        let fence = self.fence();
        match (self.holding, fence) {
            (false, Some(fence)) => {
                event!(Event::LeaseTaken, "stream={} fence={fence}", self.stream);
            }
            (true, None) => {
                event!(Event::LeaseLost, "stream={}", self.stream);
                // Another holder may move spares meanwhile.
                self.placement = Placement::new(self.bounds);
            }
            _ => {}
        }
        self.holding = fence.is_some();
    }

    /// Ends the lease once no order is under way.
    fn release(&mut self) {
        if self.sender.flying() > 0 {
            return;
        }
        let record = self.lease_client.lock().release();
        if let Some(record) = record {
            self.append(&record);
            self.holding = false;
        }
    }

    fn give(&mut self) {
        let Some(fleet) = self.parts.fleets.current() else { return };
        let mut wants = desired(&fleet.fleet, &self.data_centre);
        let seen = seen(&self.parts.reports.newest(), Instant::now(), self.max_age);
        let spares = spares(&fleet.fleet, &self.data_centre);
        let placed = self.placement.place(Instant::now(), &wants, &spares, &seen);
        wants.extend(placed);
        let store = self.parts.weights.weights().ok();
        let store = store.map(|s| WeightStoreState { rate: s.rate, backlog: s.backlog });
        let now = Instant::now();
        let lease_client = self.lease_client.clone();
        let allowed = |checks_fence| lease_client.lock().may_order(now, checks_fence).is_some();
        let due = self.reconciler.due(now, &wants, &seen, store, allowed);
        metrics::gauge!("roseshore_orders_waiting").set(due.len() as f64);
        for due in due {
            if let Some(target) = fleet.fleet.targets.get(&due.target) {
                self.sender.send(Job { addr: target.addr, due });
            }
        }
    }
}

fn take(lease_client: &mut LeaseClient, record: &roseshore_wire::platform::Record) {
    match serde_json::from_str::<LeaseRecord>(&record.data) {
        Ok(lease) => {
            lease_client.record(record.offset, record.time_ms, &lease, Instant::now());
        }
        // A record of a later version is skipped by every reader alike.
        Err(_) => lease_client.skip_to(record.offset + 1),
    }
}

/// What targets hold, by their fresh reports.
fn seen(reports: &[Report], now: Instant, limit: Duration) -> BTreeMap<TargetId, Observed> {
    let fresh = reports.iter().filter(|r| now.saturating_duration_since(r.seen) < limit);
    fresh.filter_map(|r| Some((r.target.clone(), holding(&r.content)?))).collect()
}

fn holding(content: &ReportContent) -> Option<Observed> {
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
            // Answers in flight go on; routers choose only targets that prefill as well.
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
    flying: Arc<AtomicUsize>,
}

impl Sender {
    fn start(
        engine: Arc<dyn Engine>,
        lease_client: Arc<Mutex<LeaseClient>>,
        flight: Duration,
    ) -> Sender {
        let (jobs, queue) = flume::bounded::<Job>(SENDERS * 16);
        let flying = Arc::new(AtomicUsize::new(0));
        for _ in 0..SENDERS {
            let (queue, engine) = (queue.clone(), engine.clone());
            let (lease_client, flying) = (lease_client.clone(), flying.clone());
            thread::spawn(move || {
                for job in queue {
                    send(engine.as_ref(), &lease_client, &job, flight);
                    flying.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
        Sender { jobs, flying }
    }

    /// Orders that are waiting to be sent or to be answered.
    fn flying(&self) -> usize {
        self.flying.load(Ordering::SeqCst)
    }

    fn send(&self, job: Job) {
        self.flying.fetch_add(1, Ordering::SeqCst);
        // A full queue drops the order; it is due again in a later round.
        if self.jobs.try_send(job).is_err() {
            self.flying.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn send(engine: &dyn Engine, lease_client: &Mutex<LeaseClient>, job: &Job, flight: Duration) {
    // Asked here and not when the order was decided: the thread may have waited long.
    let Some(fence) = lease_client.lock().may_order(Instant::now(), job.due.checks_fence) else {
        return;
    };
    let order = job.order(fence);
    let target = &job.due.target;
    let (role, version) = (order.role, order.version.as_deref().unwrap_or_default());
    event!(Event::OrderSent, "target={target} version={version} role={role:?} fence={fence}");
    match engine.order(job.addr, &order, flight) {
        Ok(_) => {}
        Err(CallError::Refused(412, ..)) => {
            event!(Event::OrderFenced, "target={target} fence={fence}");
        }
        Err(err) => event!(Event::OrderUnknown, "target={target} fence={fence}: {err}"),
    }
}
