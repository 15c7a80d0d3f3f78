//! Lifecycle of the daemon: start, drain, stop.
//!
//! During a drain no new work is accepted and requests in flight may finish within a time limit.
//! The server keeps responding for a grace period even if nothing is in flight, so that the load
//! balancer sees the readiness check fail before connections are refused.

use crate::admin::AdminApi;
use crate::app::{App, Drain};
use crate::context::ServerContext;
use crate::event;
use crate::http::HttpServer;
use crate::serve::ApiRoutes;
use crate::settings::Settings;
use crate::spans;
use flume::Receiver;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use roseshore_core::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::thread;

/// Exit status after a second signal.
const FORCED_EXIT: i32 = 1;
/// Upper bounds of the latency histograms, seconds.
const BUCKETS: &[f64] =
    &[0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.4, 2.0, 5.0, 10.0, 30.0];

/// A running daemon.
pub struct Running {
    /// The address on which callers connect.
    pub addr: SocketAddr,
    server: HttpServer,
    drain: Arc<Drain>,
    grace: Duration,
    limit: Duration,
}

/// Starts the HTTP server for callers and, with `admin_api`, for operators.
///
/// # Errors
/// When the address cannot be bound.
pub fn start(settings: &Settings, app: App, admin_api: Option<AdminApi>) -> io::Result<Running> {
    let drain = app.drain.clone();
    let context = ServerContext {
        app,
        admin_api,
        spans: spans::install(settings.max_traces),
        metrics: recorder(),
    };
    let server = HttpServer::start(settings, context, &ApiRoutes)?;
    let addr = server.addr();
    event!(
        Event::Started,
        "host={} data_centre={} listen={addr}",
        settings.host,
        settings.data_centre
    );
    Ok(Running { addr, server, drain, grace: settings.grace_period, limit: settings.drain_timeout })
}

/// The metrics recorder of this process, installed on the first call; `None` if that fails.
fn recorder() -> Option<PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let install = || {
        let seconds = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(seconds, BUCKETS).ok()?;
        builder.install_recorder().ok()
    };
    HANDLE.get_or_init(install).clone()
}

impl Running {
    /// Starts the drain: from now on no new work is accepted.
    pub fn drain(&self) {
        self.drain.start();
        event!(Event::Draining, "in_flight={}", self.server.in_flight());
    }

    /// Completes the drain and stops the server; returns the number of requests that were cut off.
    pub fn finish(self) -> usize {
        if !self.drain.draining() {
            self.drain();
        }
        let started = Instant::now();
        thread::sleep(self.grace);
        self.server.wait(self.limit.saturating_sub(started.elapsed()));
        let cut = self.server.in_flight();
        self.server.stop();
        event!(Event::Stopped, "cut={cut}");
        cut
    }
}

/// Handles `SIGTERM` and `SIGINT` from now on: the first is sent on the channel, a second one ends
/// the process at once. Called before the start, so that no signal arrives without a handler.
///
/// # Errors
/// When the handlers cannot be installed.
pub fn watch_signals() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (first, received) = flume::bounded(1);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for (seen, _) in signals.forever().enumerate() {
            if seen > 0 {
                std::process::exit(FORCED_EXIT);
            }
            let _ = first.send(());
        }
    })?;
    Ok(received)
}
