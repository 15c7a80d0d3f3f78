//! HTTP handlers of the fake replica.

use super::work::{CallCounts, CallLog, Slots};
use super::{ServiceFaults, ServiceSettings};
use crate::fault::{self, Faults};
use crate::http::{self, Handler, Request};
use roseshore_core::prelude::*;
use roseshore_wire::service::{
    IDEMPOTENCY_KEY, Missing, NotStarted, REPLAYED, REQUEST_ID, ServiceLoad,
};
use std::io::Write;
use std::thread;
use tiny_http::Method;

const CONTENT: &str = "application/json";
const FREEZE_STEP: Duration = Duration::from_millis(5);
/// The exit status of a replica that the fault `die` ended.
const DIED_STATUS: i32 = 70;

/// The shared state of the fake.
pub(super) struct Service {
    settings: ServiceSettings,
    faults: Faults<ServiceFaults>,
    slots: Slots,
    calls: CallLog,
}

impl Service {
    pub(super) fn new(settings: ServiceSettings) -> Service {
        let slots = Slots::new(settings.slots);
        Service { settings, faults: Faults::default(), slots, calls: CallLog::default() }
    }

    pub(super) fn faults(&self) -> Faults<ServiceFaults> {
        self.faults.clone()
    }

    pub(super) fn ran(&self) -> CallCounts {
        self.calls.ran()
    }

    fn lookup(&self, path: &str, request: Request) {
        let _slot = self.slots.take();
        let faults = self.faults.get();
        if faults.not_run {
            return http::reply_json(request, 503, &NotStarted { not_run: true });
        }
        self.calls.looked_up();
        self.work(&faults);
        if faults.unknown {
            return http::reply_text(request, 500, "the source cannot say");
        }
        let (source, name) = path.split_once('/').unwrap_or((path, ""));
        let Some(known) = self.settings.sources.iter().find(|s| s.name == source) else {
            return http::reply_text(request, 500, &format!("no source `{source}` here"));
        };
        if let Some(body) = known.record(name) {
            return self.reply(request, &faults, 200, body.into_bytes(), false);
        }
        let missing = Missing { source: source.to_owned(), missing: name.to_owned() };
        let body = serde_json::to_vec(&missing).unwrap_or_default();
        self.reply(request, &faults, 404, body, false);
    }

    fn call(&self, service: &str, request: Request) {
        let key = http::header(&request, IDEMPOTENCY_KEY);
        let id = http::header(&request, REQUEST_ID);
        let _slot = self.slots.take();
        let faults = self.faults.get();
        if faults.not_run {
            return http::reply_json(request, 503, &NotStarted { not_run: true });
        }
        let run = || {
            self.calls.called(key.as_deref(), id.as_deref());
            self.work(&faults);
            result(service, request.body())
        };
        let (result, replayed) = match &key {
            Some(key) if self.settings.remembers => {
                let remembered = self.calls.once(key, run);
                (remembered.result, remembered.replayed)
            }
            _ => (run(), false),
        };
        self.reply(request, &faults, 200, result, replayed);
    }

    fn work(&self, faults: &ServiceFaults) {
        thread::sleep(self.settings.call + Duration::from_millis(faults.slow_ms));
    }

    fn reply(
        &self,
        request: Request,
        faults: &ServiceFaults,
        status: u16,
        body: Vec<u8>,
        replayed: bool,
    ) {
        if self.faults.get().die || self.loses_reply() {
            return http::drop_request(request);
        }
        if faults.error {
            return http::reply_text(request, 500, "an error of the replica");
        }
        if faults.garbled {
            return raw(request, b"HTP/9 nothing\r\n\r\n");
        }
        if faults.cut_body {
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            let half = &body[..body.len() / 2];
            return raw(request, &[head.as_bytes(), half].concat());
        }
        let headers: &[(&str, &str)] = if replayed { &[(REPLAYED, "true")] } else { &[] };
        http::reply_bytes(request, status, CONTENT, body, headers);
    }

    fn loses_reply(&self) -> bool {
        if self.faults.get().lose_replies == 0 {
            return false;
        }
        let mut lost = false;
        self.faults.change(|f| {
            lost = f.lose_replies > 0;
            f.lose_replies -= u32::from(lost);
        });
        lost
    }

    fn report(&self, request: Request) {
        let load = self.slots.load();
        let report = ServiceLoad {
            incarnation: self.settings.incarnation,
            queue: load.queue,
            running: load.running,
            slots: self.settings.slots,
            call_us: self.settings.call.as_micros() as u64,
            leaving: self.faults.get().leaving,
        };
        http::reply_json(request, 200, &report);
    }

    fn switch_faults(&self, request: Request) {
        self.faults.serve(request);
        if self.faults.get().die && self.settings.exits {
            std::process::exit(DIED_STATUS);
        }
    }

    fn wait_frozen(&self) {
        while self.faults.get().freeze {
            thread::sleep(FREEZE_STEP);
        }
    }
}

impl Handler for Service {
    fn handle(&self, request: Request) {
        let path = http::path(&request);
        if path == fault::PATH {
            return self.switch_faults(request);
        }
        if path == "/_ran" {
            return http::reply_json(request, 200, &self.ran());
        }
        self.wait_frozen();
        if self.faults.get().die {
            return http::drop_request(request);
        }
        let post = *request.method() == Method::Post;
        if let Some(rest) = path.strip_prefix("/v1/lookup/") {
            return self.lookup(rest, request);
        }
        match path.strip_prefix("/v1/call/") {
            Some(service) if post => self.call(service, request),
            _ if path == "/v1/load" => self.report(request),
            _ => http::reply_text(request, 404, "no such path"),
        }
    }
}

/// A result that identifies the service and the call that it belongs to.
fn result(service: &str, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let result = serde_json::json!({ "service": service, "echo": text });
    serde_json::to_vec(&result).unwrap_or_default()
}

fn raw(request: Request, bytes: &[u8]) {
    let mut out = request.into_writer();
    // A client that disconnected is not an error of the fake.
    let _ = out.write_all(bytes).and_then(|()| out.flush());
}
