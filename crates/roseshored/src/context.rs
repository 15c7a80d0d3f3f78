//! The daemon's components as the HTTP server and its handlers use them.

use crate::admin::AdminApi;
use crate::app::App;
use crate::spans::SpanStore;
use metrics_exporter_prometheus::PrometheusHandle;

/// What the HTTP handlers need of the daemon; cheap to clone.
#[derive(Clone)]
pub struct ServerContext {
    /// The components that serve requests.
    pub app: App,
    /// What operators' calls touch; without it there are none.
    pub admin_api: Option<AdminApi>,
    /// The spans of recent requests.
    pub spans: &'static SpanStore,
    /// The metrics recorder; without it `/metrics` is empty.
    pub metrics: Option<PrometheusHandle>,
}
