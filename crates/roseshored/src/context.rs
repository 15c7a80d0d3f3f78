//! The daemon's parts as the front and the paths behind it see them.

use crate::admin::AdminApi;
use crate::app::App;
use crate::spans::Store;
use metrics_exporter_prometheus::PrometheusHandle;

/// What the paths need of the daemon.
#[derive(Clone)]
pub struct ServerContext {
    /// The parts.
    pub app: App,
    /// What operators' calls touch; without it there are none.
    pub admin_api: Option<AdminApi>,
    /// The spans of the last requests.
    pub spans: &'static Store,
    /// The metrics.
    pub metrics: Option<PrometheusHandle>,
}
