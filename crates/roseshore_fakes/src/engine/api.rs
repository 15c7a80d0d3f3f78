//! The HTTP API of the fake engine.
//!
//! In addition to the engine protocol: `GET /v1/stage` (the address for frames), `GET` and
//! `POST /_fault`, `POST /_leave`, `GET /_stats`.

use super::core::Core;
use super::link::StageAddr;
use super::{loader, stream};
use crate::fault;
use crate::http::{self, Handler, Request};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Cancel, Kv, KvExport, Order};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tiny_http::Method;

/// The longest time that a cancel waits for the work to end.
const CANCEL_WAIT: Duration = Duration::from_secs(5);

/// The request handler of one engine.
pub(super) struct Api {
    core: Arc<Core>,
}

impl Api {
    pub(super) fn new(core: Arc<Core>) -> Api {
        Api { core }
    }
}

impl Handler for Api {
    fn handle(&self, request: Request) {
        let core = &self.core;
        let path = http::path(&request);
        if path == fault::PATH {
            return core.faults.serve(request);
        }
        core.wait_while_frozen();
        if core.has_ended() {
            return drop(request.into_writer());
        }
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/load") => http::reply_json(request, 200, &core.load()),
            (Method::Get, "/v1/cache") => cache(core, request),
            (Method::Get, "/v1/stage") => stage(core, request),
            (Method::Get, "/_stats") => http::reply_json(request, 200, &core.stats.get()),
            (Method::Post, "/_leave") => leave(core, request),
            (Method::Post, "/v1/generate") => stream::serve(core, request),
            (Method::Post, "/v1/cancel") => with_body(core, request, cancel),
            (Method::Post, "/v1/kv/export") => with_body(core, request, export),
            (Method::Post, "/v1/kv/import") => with_body(core, request, import),
            (Method::Post, "/v1/order") => with_body(core, request, order),
            _ => http::reply_text(request, 404, "no such call"),
        }
    }
}

fn with_body<T: DeserializeOwned>(
    core: &Arc<Core>,
    request: Request,
    serve: fn(&Arc<Core>, Request, T),
) {
    match http::read_json(&request) {
        Ok(body) => serve(core, request, body),
        Err(why) => http::reply_text(request, 400, &why),
    }
}

fn cache(core: &Core, request: Request) {
    let from = http::query(&request, "from").unwrap_or(0);
    http::reply_json(request, 200, &core.cache.events(from, Instant::now()));
}

fn stage(core: &Core, request: Request) {
    let stage = StageAddr { addr: core.hops, incarnation: core.settings.incarnation };
    http::reply_json(request, 200, &stage);
}

fn leave(core: &Core, request: Request) {
    core.stats.leave();
    http::reply_json(request, 200, &core.stats.get());
}

fn cancel(core: &Arc<Core>, request: Request, ask: Cancel) {
    core.stats.count(|stats| stats.cancels += 1);
    if !core.answers.cancel(&ask.answer, ask.epoch, Instant::now() + CANCEL_WAIT) {
        return http::reply_after(request, 503, CANCEL_WAIT, "the work has not ended yet");
    }
    if !ask.keep_kv {
        core.kv.free(&ask.answer, ask.epoch);
    }
    http::reply_text(request, 200, "");
}

fn export(core: &Arc<Core>, request: Request, ask: KvExport) {
    if core.faults.get().export_fails {
        return http::reply_text(request, 500, "the export failed");
    }
    let Some(kv) = core.kv.export(&ask.answer) else {
        return http::reply_text(request, 404, "no KV cache of this answer");
    };
    transfer(core, &kv);
    http::reply_json(request, 200, &kv);
}

fn import(core: &Arc<Core>, request: Request, kv: Kv) {
    if core.faults.get().import_fails {
        return http::reply_text(request, 500, "the import failed");
    }
    let newer = core.answers.newest(&kv.answer).max(core.kv.epoch(&kv.answer));
    if newer.is_some_and(|newer| newer > kv.epoch) {
        return http::reply_text(request, 409, "an own newer epoch exists");
    }
    let holding = core.holding.get();
    let held = holding.layers.0 <= kv.layers.0 && kv.layers.1 <= holding.layers.1;
    if !held || holding.version.as_ref() != Some(&kv.version) {
        return http::reply_text(request, 409, "the layers or weights are not held");
    }
    match core.kv.import(&kv) {
        Ok(()) => http::reply_text(request, 200, ""),
        Err(why) => http::reply_text(request, 400, &why),
    }
}

/// Sleeps for the time that the bytes of the cache take on the link.
fn transfer(core: &Core, kv: &Kv) {
    let bytes = kv.tokens.saturating_mul(core.settings.kv_bytes) as f64;
    let time = Duration::from_secs_f64(bytes / core.settings.link_rate);
    core.work(time, || true);
}

fn order(core: &Arc<Core>, request: Request, order: Order) {
    let outcome = loader::order(core, &order);
    if core.faults.get().lose_order {
        return drop(request.into_writer());
    }
    match outcome {
        Ok(holding) => http::reply_json(request, 200, &holding),
        Err(holding) => http::reply_json(request, 412, &holding),
    }
}
