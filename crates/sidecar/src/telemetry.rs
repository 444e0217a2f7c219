//! Metrics in the Prometheus text format.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use shallottack_fleet::{RateLimit, RepeatCause};

use crate::{node::Node, quotas};

/// Upper bounds of the latency buckets in seconds; latency goals lie between 0.06 and 1.5.
const BUCKETS_S: [f64; 12] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Installs the global recorder. Returns `None` if one is already installed.
pub fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
    builder.install_recorder().ok()
}

/// Sets the gauges of the retry budgets.
fn record_budgets(node: &Node) {
    let now = node.now();
    let budgets: Vec<_> = {
        let shared = node.shared();
        let budget = shared.placement.budget();
        budget.services().map(|it| (it.clone(), budget.usage(now, it))).collect()
    };
    for (service, budget) in budgets {
        let service = service.as_str().to_owned();
        let labels = [("service", service.clone())];
        metrics::gauge!("shallottack_budget_requests", &labels).set(budget.requests);
        metrics::gauge!("shallottack_budget_allowed", &labels).set(budget.allowed);
        for (cause, repeats) in RepeatCause::ALL.iter().zip(budget.repeats) {
            let labels = [("service", service.clone()), ("cause", cause.as_str().to_owned())];
            metrics::gauge!("shallottack_budget_repeats", &labels).set(repeats);
        }
    }
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
    metrics::gauge!("shallottack_memory_held_bytes").set(node.memory.held() as f64);
    metrics::gauge!("shallottack_memory_peak_bytes").set(node.memory.peak() as f64);
    let cold_rate = node.shared().slots.cold_limit(node.now()).map_or(0.0, RateLimit::rate);
    metrics::gauge!("shallottack_backend_cold_rate").set(cold_rate);
    let (on_way, granted, waiting) = {
        let shared = node.shared();
        (shared.intake.on_way(), shared.intake.granted(), shared.intake.waiting())
    };
    metrics::gauge!("shallottack_body_bytes_on_way").set(on_way as f64);
    metrics::gauge!("shallottack_bodies_granted").set(granted as f64);
    metrics::gauge!("shallottack_bodies_waiting").set(waiting as f64);
    let evacuated = node.shared().evacuations.active().count();
    metrics::gauge!("shallottack_evacuated_data_centres").set(evacuated as f64);
    record_budgets(&node);
    quotas::record(&node);
    metrics::gauge!("shallottack_members").set(node.shared().directory.len() as f64);
    let text = recorder.map_or_else(String::new, |it| it.render());
    Response::new(Bytes::from(text))
}
