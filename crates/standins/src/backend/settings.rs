//! Settings and faults of a backend server.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use shallottack_kernel::{GroupName, ServiceName};

/// Standard deviation of the logarithm for [`ServiceTime::LogNormal`]; its 99th percentile is 6.2
/// times the mean.
const LOG_DEVIATION: f64 = 1.0;

/// Distribution of the service time; all forms have the mean of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceTime {
    /// Always the mean.
    #[default]
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal, with a long tail.
    LogNormal,
}

impl ServiceTime {
    /// Draws a service time around `mean`.
    pub fn draw(self, mean: Duration, rng: &mut impl Rng) -> Duration {
        // In (0, 1], so that the logarithm is finite.
        let mut uniform = || 1.0 - rng.random::<f64>();
        let factor = match self {
            ServiceTime::Fixed => 1.0,
            ServiceTime::Exponential => -uniform().ln(),
            ServiceTime::LogNormal => {
                let angle = std::f64::consts::TAU * uniform();
                let normal = (-2.0 * uniform().ln()).sqrt() * angle.cos();
                (LOG_DEVIATION * normal - LOG_DEVIATION * LOG_DEVIATION / 2.0).exp()
            }
        };
        mean.mul_f64(factor)
    }
}

impl FromStr for ServiceTime {
    type Err = String;

    fn from_str(text: &str) -> Result<ServiceTime, String> {
        match text {
            "fixed" => Ok(ServiceTime::Fixed),
            "exponential" => Ok(ServiceTime::Exponential),
            "log-normal" => Ok(ServiceTime::LogNormal),
            _ => Err(format!("`{text}` is none of fixed, exponential, log-normal")),
        }
    }
}

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of the service, such as `v1`.
    pub group: GroupName,
    /// Announce port of the daemon beside it.
    pub announce: Option<SocketAddr>,
    /// Interval at which the announcement is repeated after it was accepted; never when `None`.
    pub reannounce: Option<Duration>,
    /// Calls that run at the same time.
    pub slots: usize,
    /// Calls that wait for a slot; more are shed.
    pub queue: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Distribution of the service time.
    pub distribution: ServiceTime,
    /// Most open connections.
    pub connections: usize,
    /// Time after the start during which calls are slower.
    pub cold_start: Duration,
    /// Factor of the service time at the start; it falls linearly to 1 over the cold start.
    pub cold_factor: f64,
    /// Time that it goes on serving after its daemon took `POST /leave`.
    pub drain: Duration,
    /// Whether a call ends when its client closes the connection.
    pub cancel: bool,
    /// Seed of service times and fault shares.
    pub seed: u64,
    /// Faults from the start.
    pub faults: Faults,
}

impl BackendSettings {
    /// Returns settings with 12 slots and about 130 connections on a free loopback port.
    pub fn new(service: ServiceName, group: GroupName) -> BackendSettings {
        BackendSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service,
            group,
            announce: None,
            reannounce: None,
            slots: 12,
            queue: 24,
            service_time: Duration::from_millis(5),
            distribution: ServiceTime::Fixed,
            connections: 130,
            cold_start: Duration::ZERO,
            cold_factor: 5.0,
            drain: Duration::from_secs(2),
            cancel: true,
            seed: 0,
            faults: Faults::default(),
        }
    }
}

/// What the health endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// The state: up unless cold or draining.
    #[default]
    Truth,
    /// Always 200.
    Up,
    /// Always 503.
    Down,
}

/// What the load endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// The state.
    #[default]
    Truth,
    /// Always without load.
    Idle,
    /// Always with all slots busy and a full queue.
    Full,
}

/// Faults of a backend server. Shares are probabilities of each call between 0 and 1.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time added to every service time, in milliseconds.
    pub slow_ms: u64,
    /// Share of calls that are answered 500 after they ran.
    pub error_share: f64,
    /// Share of calls that are shed without need.
    pub shed_share: f64,
    /// Share of calls whose response ends in the middle of its body, with a closed connection.
    pub half_share: f64,
    /// Share of calls whose response is held back by `late_ms` after the run.
    pub late_share: f64,
    /// Time by which late responses are held back, in milliseconds.
    pub late_ms: u64,
    /// Share of calls that run and whose connection is then closed without a response.
    pub lost_share: f64,
    /// Whether everything but the control paths stands still. Connections are still accepted.
    pub freeze: bool,
    /// What the health endpoint reports.
    pub health: HealthReport,
    /// What the load endpoint reports.
    pub load: LoadReport,
    /// Age of what the health and load endpoints report, in milliseconds.
    pub lag_ms: u64,
}
