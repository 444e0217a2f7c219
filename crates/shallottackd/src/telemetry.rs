//! Metrics in Prometheus' format, and logs.

use std::sync::OnceLock;

use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::json::JsonEncoder,
};
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{calls::Backend, mesh::Mesh};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// One recorder for the process, since the `metrics` facade has one.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder; later calls do nothing.
pub fn install_metrics() {
    RECORDER.get_or_init(|| {
        let handle = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS_S)
            .ok()?
            .install_recorder()
            .ok()?;
        describe();
        Some(handle)
    });
}

fn describe() {
    describe_histogram!(
        "shallottack_call_seconds",
        "Time from a caller's request to its answer, by class and service"
    );
    describe_counter!(
        "shallottack_calls_total",
        "Callers' requests by class, service and result (answered, refused, unknown)"
    );
    describe_gauge!("shallottack_config_epoch", "Epoch of the version in force");
    describe_gauge!("shallottack_config_seq", "Sequence number of the version in force");
    describe_gauge!("shallottack_members", "Members that are not gone");
    describe_gauge!("shallottack_backend_in_flight", "Calls at the backend server");
    describe_gauge!("shallottack_backend_queued", "Calls queued for the backend server");
    describe_gauge!("shallottack_backend_limit", "Largest number of calls at the backend server");
    describe_counter!("shallottack_control_sent_bytes", "Bytes sent to other daemons' peers ports");
    describe_counter!("shallottack_control_received_bytes", "Bytes received from other daemons");
    describe_counter!("shallottack_config_applied_total", "Versions put in force");
    describe_counter!("shallottack_config_rejected_total", "Versions found invalid");
    describe_counter!("shallottack_probe_failures_total", "Failed probes of members");
    describe_counter!("shallottack_deaths_total", "Members declared dead by this daemon");
}

/// Records the values that are read rather than counted.
pub fn record(mesh: &Mesh, backend: &Backend) {
    let version = mesh.in_force();
    gauge!("shallottack_config_epoch").set(f64::from(version.epoch));
    gauge!("shallottack_config_seq").set(version.seq as f64);
    gauge!("shallottack_members").set(mesh.members().len() as f64);
    let load = backend.load();
    gauge!("shallottack_backend_in_flight").set(f64::from(load.in_flight));
    gauge!("shallottack_backend_queued").set(f64::from(load.queued));
    gauge!("shallottack_backend_limit").set(f64::from(load.limit));
    let traffic = mesh.traffic();
    counter!("shallottack_control_sent_bytes").absolute(traffic.sent_bytes());
    counter!("shallottack_control_received_bytes").absolute(traffic.received_bytes());
    let (distribution, membership) = mesh.counters();
    counter!("shallottack_config_applied_total").absolute(distribution.applied);
    counter!("shallottack_config_rejected_total").absolute(distribution.rejected);
    counter!("shallottack_probe_failures_total").absolute(membership.probe_failures);
    counter!("shallottack_deaths_total").absolute(membership.deaths);
}

/// Returns all metrics in Prometheus' text format.
pub fn render() -> String {
    RECORDER.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}

/// Writes log lines as JSON to standard error; later calls do nothing.
pub fn install_logs(level: LevelFilter) {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level));
    if let Ok(config) = config {
        // Fails only when a logger is already installed.
        let _ = log4rs::init_config(config);
    }
}
