//! Calls to targets on behalf of an answer, none of which the answer waits for.

use super::pool::{Job, Pool};
use parking_lot::Mutex;
use roseshore_core::answer::{CacheMove, Input, ProbeResult, StreamFailure};
use roseshore_core::cost::MoveCostModel;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{Cancel, Generate, KvExport, Stage};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

/// Streams being opened at once.
const OPENS: usize = 1024;
/// Cancels, probes and moves at once; beyond it cancels are left out, which costs the target work
/// that nobody reads, and probes and moves count as failed.
const CONTROLS: usize = 128;
/// How long a cancel may take.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Threads are the process's, and so is what its links were seen to take.
static SHARED: LazyLock<Shared> = LazyLock::new(|| Shared {
    opens: Pool::new("answer-open", OPENS),
    controls: Pool::new("answer-control", CONTROLS),
    rates: Mutex::new(MoveCostModel::default()),
});

struct Shared {
    opens: Pool,
    controls: Pool,
    rates: Mutex<MoveCostModel>,
}

/// What a call reports to the answer's driver.
pub(super) enum Report {
    /// An event for the machine.
    Input(Input),
    /// A stream's head has come.
    Opened(Epoch, flume::Receiver<StreamItem>),
}

/// Moves of KV caches for one new route.
pub(super) struct Moves {
    pub(super) answer: RequestId,
    pub(super) epoch: Epoch,
    pub(super) list: Vec<CacheMove>,
    pub(super) limit: Duration,
    pub(super) tokens: u32,
}

/// What moving KV caches was seen to take.
pub(super) fn rates() -> MoveCostModel {
    SHARED.rates.lock().clone()
}

/// The calls of one answer.
pub(super) struct Calls {
    engine: Arc<dyn Engine>,
    post: flume::Sender<Report>,
}

impl Calls {
    pub(super) fn new(engine: Arc<dyn Engine>, post: flume::Sender<Report>) -> Calls {
        Calls { engine, post }
    }

    /// Opens a stream.
    pub(super) fn open(&self, addr: SocketAddr, ask: Generate, deadline: Instant) {
        let engine = Arc::clone(&self.engine);
        let post = self.post.clone();
        let epoch = ask.epoch;
        let job: Job = Box::new(move || {
            let report = match engine.generate(addr, &ask, deadline) {
                Ok(items) => Report::Opened(epoch, items),
                Err(err) => Report::Input(Input::OpenFailed(epoch, failure(&err))),
            };
            // A driver that has ended drops the stream, and with it the connection.
            let _ = post.send(report);
        });
        if SHARED.opens.run(job).is_err() {
            // This daemon is full, not the target: nothing was sent, and the target is not blamed.
            let full = StreamFailure::Refused { status: 503, after: None };
            let input = Input::OpenFailed(epoch, full);
            let _ = self.post.send(Report::Input(input));
        }
    }

    /// Ends the work on a stage, best effort.
    pub(super) fn cancel(&self, addr: SocketAddr, ask: Cancel) {
        let engine = Arc::clone(&self.engine);
        let job: Job = Box::new(move || {
            if engine.cancel(addr, &ask, CANCEL_LIMIT).is_err() {
                metrics::counter!("roseshore_answer_cancels_failed_total").increment(1);
            }
        });
        if SHARED.controls.run(job).is_err() {
            metrics::counter!("roseshore_answer_cancels_failed_total").increment(1);
        }
    }

    /// Asks every stage whether it lives.
    pub(super) fn probe(&self, epoch: Epoch, stages: &[Stage], limit: Duration) {
        for stage in stages {
            let engine = Arc::clone(&self.engine);
            let post = self.post.clone();
            let target = stage.target.clone();
            let addr = stage.addr;
            let job: Job = Box::new(move || {
                let health = match engine.load(addr, limit) {
                    Ok(load) => ProbeResult::Alive(load.holding.incarnation),
                    Err(CallError::Unreached(_)) => ProbeResult::Dead,
                    Err(_) => ProbeResult::Silent,
                };
                let _ = post.send(Report::Input(Input::Probed(epoch, target, health)));
            });
            // Without a thread there is no result, so no stage is blamed.
            let _ = SHARED.controls.run(job);
        }
    }

    /// Brings KV caches over and reports once.
    pub(super) fn bring(&self, moves: Moves) {
        let engine = Arc::clone(&self.engine);
        let post = self.post.clone();
        let epoch = moves.epoch;
        let job: Job = Box::new(move || {
            let done = bring_all(engine.as_ref(), &moves).is_ok();
            let _ = post.send(Report::Input(Input::Moved(epoch, done)));
        });
        if SHARED.controls.run(job).is_err() {
            let _ = self.post.send(Report::Input(Input::Moved(epoch, false)));
        }
    }
}

fn bring_all(engine: &dyn Engine, all: &Moves) -> CallResult<()> {
    for one in &all.list {
        let began = Instant::now();
        let cancel = Cancel { answer: all.answer.clone(), epoch: all.epoch - 1, keep_kv: true };
        engine.cancel(one.from.addr, &cancel, all.limit)?;
        let export = KvExport { answer: all.answer.clone() };
        let kv = engine.export(one.from.addr, &export, all.limit)?;
        engine.import(one.to.addr, &kv, all.limit)?;
        let layers = one.to.layers.1 - one.to.layers.0;
        SHARED.rates.lock().observe(all.tokens, layers, began.elapsed());
    }
    Ok(())
}

/// What a failed call means to the machine.
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
