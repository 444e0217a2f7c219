//! Metrics in the Prometheus text format.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::node::Node;

/// Upper bounds of the latency buckets in seconds; latency goals lie between 0.06 and 1.5.
const BUCKETS_S: [f64; 12] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Installs the global recorder. Returns `None` if one is already installed.
pub fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
    builder.install_recorder().ok()
}

/// Handles a scrape: responds with all metrics.
pub async fn handle(
    node: Arc<Node>,
    recorder: Option<PrometheusHandle>,
    _request: Request<Bytes>,
) -> Response<Bytes> {
    let load = node.load();
    metrics::gauge!("shallottack_backend_running").set(load.running);
    metrics::gauge!("shallottack_backend_queued").set(load.queued);
    metrics::gauge!("shallottack_backend_limit").set(load.limit);
    metrics::gauge!("shallottack_members").set(node.shared().directory.len() as f64);
    let text = recorder.map_or_else(String::new, |it| it.render());
    Response::new(Bytes::from(text))
}
