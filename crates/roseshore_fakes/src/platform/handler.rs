//! HTTP handlers of the fake platform.

use super::hosts::HostsState;
use super::log::LogState;
use super::weights::WeightsState;
use super::{PlatformFaults, PlatformSettings};
use crate::fault::{self, Faults};
use crate::http::{self, Handler, Request};
use parking_lot::{Condvar, Mutex};
use roseshore_core::prelude::*;
use roseshore_core::wall::millis;
use roseshore_wire::platform::{Append, Appended, Host};
use serde::Deserialize;
use std::thread;
use tiny_http::Method;

/// The limit on records per read if the caller gives none.
const MAX_RECORDS: u64 = 1000;
/// The longest wait of a long-polling read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// The shared state of the fake.
pub(super) struct Platform {
    log: Mutex<LogState>,
    grown: Condvar,
    hosts: Mutex<HostsState>,
    frozen: Mutex<Option<Instant>>,
    weights: Mutex<WeightsState>,
    faults: Faults<PlatformFaults>,
    trimmed: Mutex<Option<usize>>,
    lag: Duration,
}

#[derive(Deserialize)]
struct Leave {
    host: HostId,
}

impl Platform {
    pub(super) fn new(settings: PlatformSettings, now: Instant) -> Platform {
        Platform {
            log: Mutex::new(LogState::new(settings.appends, settings.keep, now)),
            grown: Condvar::new(),
            hosts: Mutex::new(HostsState::new(settings.hosts, now)),
            frozen: Mutex::new(None),
            weights: Mutex::new(WeightsState::new(settings.rate, now)),
            faults: Faults::default(),
            trimmed: Mutex::new(None),
            lag: settings.lag,
        }
    }

    pub(super) fn faults(&self) -> Faults<PlatformFaults> {
        self.faults.clone()
    }

    pub(super) fn set_hosts(&self, hosts: Vec<Host>) {
        self.hosts.lock().set(hosts, Instant::now());
    }

    pub(super) fn leave(&self, host: &str) -> bool {
        self.hosts.lock().leave(host, Instant::now())
    }

    pub(super) fn appends(&self) -> u64 {
        self.log.lock().appends()
    }

    fn append(&self, stream: &str, request: Request) {
        let faults = self.faults.get();
        let body = http::read_json::<Append>(&request);
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.appends_limited {
            return http::reply_after(request, 429, Duration::from_secs(1), "over the rate");
        }
        if faults.appends_out {
            return http::reply_text(request, 503, "appends are out");
        }
        let records = match body {
            Ok(append) if append.records.is_empty() => {
                return http::reply_text(request, 400, "no records");
            }
            Ok(append) => append.records,
            Err(why) => return http::reply_text(request, 400, &why),
        };
        let put =
            self.log.lock().append(stream, records, Instant::now(), millis(SystemTime::now()));
        let Some(first) = put else {
            return http::reply_after(request, 429, Duration::from_secs(1), "over the rate");
        };
        self.grown.notify_all();
        if self.loses_reply(stream) {
            return http::drop_request(request);
        }
        if faults.garbled {
            return http::reply_text(request, 200, "{\"first\":");
        }
        http::reply_json(request, 200, &Appended { first });
    }

    fn loses_reply(&self, stream: &str) -> bool {
        let mut lost = false;
        self.faults.change(|f| {
            lost = f.lose_replies > 0 && stream.starts_with(&f.lose_stream);
            f.lose_replies -= u32::from(lost);
        });
        lost
    }

    fn read(&self, stream: &str, request: Request) {
        let faults = self.faults.get();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.reads_out {
            return http::reply_text(request, 503, "reads are out");
        }
        if faults.garbled {
            return http::reply_text(request, 200, "{\"records\":");
        }
        self.trim();
        let from = http::query(&request, "from").unwrap_or(0);
        let max = http::query(&request, "max").unwrap_or(MAX_RECORDS) as usize;
        let wait = http::query(&request, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut log = self.log.lock();
        let read = loop {
            let read = log.read(stream, from, max, millis(SystemTime::now()));
            let empty = matches!(&read, Ok(r) if r.records.is_empty());
            if !empty || self.grown.wait_until(&mut log, until).timed_out() {
                break read;
            }
        };
        drop(log);
        // An outage that began while the read waited also suppresses its reply.
        if self.faults.get().log_out {
            return http::drop_request(request);
        }
        match read {
            Ok(records) => http::reply_json(request, 200, &records),
            Err(trimmed) => http::reply_json(request, 410, &trimmed),
        }
    }

    fn trim(&self) {
        let wanted = self.faults.get().trim_to;
        let mut trimmed = self.trimmed.lock();
        if *trimmed != wanted {
            *trimmed = wanted;
            if let Some(count) = wanted {
                self.log.lock().trim_to(count);
            }
        }
    }

    fn show_hosts(&self, request: Request) {
        let faults = self.faults.get();
        if faults.hosts_out {
            return http::drop_request(request);
        }
        let lag = faults.hosts_lag_ms.map_or(self.lag, Duration::from_millis);
        let now = Instant::now();
        let at = self.freeze(now).unwrap_or(now);
        let shown = self.hosts.lock().shown(at, lag).clone();
        http::reply_json(request, 200, &shown);
    }

    /// The time at which the list froze: when the fault was switched on, or at the first request
    /// after that.
    fn freeze(&self, now: Instant) -> Option<Instant> {
        let mut frozen = self.frozen.lock();
        let wanted = self.faults.get().hosts_frozen;
        *frozen = if wanted { Some(frozen.unwrap_or(now)) } else { None };
        *frozen
    }

    fn switch_faults(&self, request: Request) {
        self.faults.serve(request);
        self.freeze(Instant::now());
        self.trim();
    }

    fn take_weights(&self, request: Request) {
        let bytes = http::query(&request, "bytes").unwrap_or(0);
        let now = Instant::now();
        let given = self.weights.lock().take(bytes, now);
        thread::sleep(given.saturating_duration_since(now));
        http::reply_text(request, 200, "given");
    }

    fn replace_hosts(&self, request: Request) {
        match http::read_json::<Vec<Host>>(&request) {
            Ok(hosts) => {
                self.set_hosts(hosts);
                http::reply_text(request, 200, "ok");
            }
            Err(why) => http::reply_text(request, 400, &why),
        }
    }

    fn mark_leaving(&self, request: Request) {
        match http::read_json::<Leave>(&request) {
            Ok(leave) if self.leave(&leave.host) => http::reply_text(request, 200, "ok"),
            Ok(leave) => http::reply_text(request, 404, &format!("`{}` is not listed", leave.host)),
            Err(why) => http::reply_text(request, 400, &why),
        }
    }

    fn serve_log(&self, stream: &str, request: Request) {
        if self.faults.get().log_out {
            return http::drop_request(request);
        }
        match request.method() {
            Method::Get => self.read(stream, request),
            Method::Post => self.append(stream, request),
            _ => http::reply_text(request, 405, "no such method"),
        }
    }

    fn serve_weights(&self, path: &str, request: Request) {
        if self.faults.get().weights_out {
            return http::drop_request(request);
        }
        if path == "/v1/weights/take" {
            return self.take_weights(request);
        }
        let report = self.weights.lock().report(Instant::now());
        http::reply_json(request, 200, &report);
    }
}

impl Handler for Platform {
    fn handle(&self, request: Request) {
        let path = http::path(&request);
        let stream = path.strip_prefix("/v1/streams/").and_then(|p| p.strip_suffix("/records"));
        if let Some(stream) = stream {
            return self.serve_log(stream, request);
        }
        match path.as_str() {
            fault::PATH => self.switch_faults(request),
            "/v1/hosts" => self.show_hosts(request),
            "/v1/weights" | "/v1/weights/take" => self.serve_weights(&path, request),
            "/_hosts" => self.replace_hosts(request),
            "/_hosts/leave" => self.mark_leaving(request),
            _ => http::reply_text(request, 404, "no such path"),
        }
    }
}
