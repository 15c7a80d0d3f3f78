//! Asynchronous calls to targets on behalf of an answer; results come back as reports.

use super::pool::{Job, Pool};
use parking_lot::Mutex;
use roseshore_core::answer::{CacheMove, Input, ProbeResult, StreamFailure};
use roseshore_core::cost::MoveCostModel;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{Cancel, Generate, KvExport, Stage};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

/// Maximum number of streams being opened at the same time, per process.
const MAX_OPENS: usize = 1024;
/// Maximum number of cancels, probes and cache moves at the same time, per process. Beyond it cancels
/// are skipped, so that a target goes on with work whose result is discarded; probes yield no result
/// and cache moves fail.
const MAX_CONTROLS: usize = 128;
/// Time limit of a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Thread pools and measured cache transfer costs are shared by all answers of the process.
static SHARED: LazyLock<Shared> = LazyLock::new(|| Shared {
    opens: Pool::new("answer-open", MAX_OPENS),
    controls: Pool::new("answer-control", MAX_CONTROLS),
    move_cost: Mutex::new(MoveCostModel::default()),
});

struct Shared {
    opens: Pool,
    controls: Pool,
    move_cost: Mutex<MoveCostModel>,
}

/// The result of a call, sent to the answer's driver.
pub(super) enum Report {
    /// An input of the state machine.
    Input(Input),
    /// A stream was opened: its response head has arrived.
    Opened(Epoch, flume::Receiver<StreamItem>),
}

/// Transfers of KV caches to the stages of a new route.
pub(super) struct CacheMoves {
    pub(super) answer: RequestId,
    pub(super) epoch: Epoch,
    pub(super) caches: Vec<CacheMove>,
    /// Time limit of each single call.
    pub(super) limit: Duration,
    /// Tokens in the cache, for the cost model.
    pub(super) tokens: u32,
}

/// The cost of moving KV caches, as measured by this process so far.
pub(super) fn move_cost() -> MoveCostModel {
    SHARED.move_cost.lock().clone()
}

/// Starts the calls of one answer.
pub(super) struct Calls {
    engine: Arc<dyn Engine>,
    reports: flume::Sender<Report>,
}

impl Calls {
    pub(super) fn new(engine: Arc<dyn Engine>, reports: flume::Sender<Report>) -> Calls {
        Calls { engine, reports }
    }

    /// Opens a stream on the first stage; reports [`Report::Opened`] or [`Input::OpenFailed`].
    pub(super) fn open(&self, addr: SocketAddr, request: Generate, deadline: Instant) {
        let engine = Arc::clone(&self.engine);
        let reports = self.reports.clone();
        let epoch = request.epoch;
        let job: Job = Box::new(move || {
            let report = match engine.generate(addr, &request, deadline) {
                Ok(items) => Report::Opened(epoch, items),
                Err(err) => Report::Input(Input::OpenFailed(epoch, failure(&err))),
            };
            // If the driver has ended, the stream is dropped here, which closes the connection.
            let _ = reports.send(report);
        });
        if SHARED.opens.run(job).is_err() {
            // This daemon is overloaded, not the target: nothing was sent, and the target must not be
            // marked as failed.
            let full = StreamFailure::Refused { status: 503, after: None };
            let input = Input::OpenFailed(epoch, full);
            let _ = self.reports.send(Report::Input(input));
        }
    }

    /// Cancels the work on a stage; failures are only counted.
    pub(super) fn cancel(&self, addr: SocketAddr, request: Cancel) {
        let engine = Arc::clone(&self.engine);
        let job: Job = Box::new(move || {
            if engine.cancel(addr, &request, CANCEL_TIMEOUT).is_err() {
                metrics::counter!("roseshore_answer_cancels_failed_total").increment(1);
            }
        });
        if SHARED.controls.run(job).is_err() {
            metrics::counter!("roseshore_answer_cancels_failed_total").increment(1);
        }
    }

    /// Checks whether each stage is alive; reports [`Input::Probed`] per stage.
    pub(super) fn probe(&self, epoch: Epoch, stages: &[Stage], timeout: Duration) {
        for stage in stages {
            let engine = Arc::clone(&self.engine);
            let reports = self.reports.clone();
            let target = stage.target.clone();
            let addr = stage.addr;
            let job: Job = Box::new(move || {
                let health = match engine.load(addr, timeout) {
                    Ok(load) => ProbeResult::Alive(load.holding.incarnation),
                    Err(CallError::Unreached(_)) => ProbeResult::Dead,
                    Err(_) => ProbeResult::Silent,
                };
                let _ = reports.send(Report::Input(Input::Probed(epoch, target, health)));
            });
            // Without a free thread there is no probe result, so no stage is marked as failed.
            let _ = SHARED.controls.run(job);
        }
    }

    /// Moves KV caches and reports [`Input::Moved`] once for all of them.
    pub(super) fn move_caches(&self, request: CacheMoves) {
        let engine = Arc::clone(&self.engine);
        let reports = self.reports.clone();
        let epoch = request.epoch;
        let job: Job = Box::new(move || {
            let done = move_all(engine.as_ref(), &request).is_ok();
            let _ = reports.send(Report::Input(Input::Moved(epoch, done)));
        });
        if SHARED.controls.run(job).is_err() {
            let _ = self.reports.send(Report::Input(Input::Moved(epoch, false)));
        }
    }
}

fn move_all(engine: &dyn Engine, request: &CacheMoves) -> CallResult<()> {
    for cache in &request.caches {
        let started = Instant::now();
        let cancel =
            Cancel { answer: request.answer.clone(), epoch: request.epoch - 1, keep_kv: true };
        engine.cancel(cache.from.addr, &cancel, request.limit)?;
        let export = KvExport { answer: request.answer.clone() };
        let kv = engine.export(cache.from.addr, &export, request.limit)?;
        engine.import(cache.to.addr, &kv, request.limit)?;
        let layers = cache.to.layers.1 - cache.to.layers.0;
        SHARED.move_cost.lock().observe(request.tokens, layers, started.elapsed());
    }
    Ok(())
}

/// Translates a failed call into the state machine's terms.
pub(super) fn failure(err: &CallError) -> StreamFailure {
    match err {
        CallError::Unreached(_) => StreamFailure::Unreachable,
        CallError::Refused(status, after, _) => {
            StreamFailure::Refused { status: *status, after: *after }
        }
        CallError::Garbled(_) => StreamFailure::Malformed,
        CallError::Lost(_) | CallError::Trimmed(..) => StreamFailure::Lost,
    }
}
