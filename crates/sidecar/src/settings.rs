//! Settings of the daemon, read from YAML and validated.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::serde_as;
use shallottack_fleet::{PlacementSettings, RejectedCallersSettings, SlotsSettings};
use shallottack_http::BudgetSettings;
use shallottack_kernel::{DataCentre, EndpointId, ServiceName};
use shallottack_settings::{Check, SettingsError};
use shallottack_site::TextDuration;

/// Settings of one daemon.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: EndpointId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Service of the backend server on the VM.
    pub service: ServiceName,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval between heartbeats of the backend server.
    #[serde_as(as = "TextDuration")]
    pub heartbeat: Duration,
    /// Bandwidth of the VM's link in Mbit/s.
    pub link_mbps: f64,
    /// Memory of the process in MB, above which the platform ends it; that of the smallest VM if it
    /// is not stated.
    #[serde(default = "smallest_memory")]
    pub memory_mb: f64,
    /// Graceful stop.
    pub stop: StopSettings,
    /// Retry budget of the whole fleet.
    pub retries: Retries,
    /// Limits on the requests of one organisation, if the site states them.
    #[serde(default)]
    pub quotas: Option<QuotaSettings>,
    /// Limits on the requests to a cold backend server, if the site states them.
    #[serde(default)]
    pub cold: Option<ColdSettings>,
    /// Time after which an evacuated data centre gets no requests, if the site states it.
    #[serde(default)]
    #[serde_as(as = "Option<TextDuration>")]
    pub evacuate: Option<Duration>,
    /// Policy of placement and admission; the default unless an experiment changes it.
    #[serde(default)]
    pub policy: Policy,
}

/// Policy of placement and admission.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Admission to the slots of the backend server.
    pub slots: SlotsSettings,
    /// Choice of the backend server.
    pub placement: PlacementSettings,
    /// Callers that retry after a rejection.
    pub returns: RejectedCallersSettings,
    /// Fraction of the fleet's retry budget that is used. The rest is for daemons that have just
    /// started, and covers runs that make more calls than expected.
    pub budget_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            slots: SlotsSettings::default(),
            placement: PlacementSettings::default(),
            returns: RejectedCallersSettings::default(),
            budget_share: 0.85,
        }
    }
}

/// Settings of the graceful stop.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Grace period between SIGTERM and SIGKILL.
    #[serde_as(as = "TextDuration")]
    pub grace: Duration,
}

/// Retry budget of the whole fleet for one service.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed for each request within the window.
    pub ratio: f64,
    /// Additional retries allowed within the window.
    pub extra: f64,
    /// Length of the sliding window.
    #[serde_as(as = "TextDuration")]
    pub window: Duration,
}

/// How closely the requests of one organisation have to keep to its quota.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    #[serde_as(as = "TextDuration")]
    pub window: Duration,
    /// Share by which the quota of a window may be exceeded.
    pub overage: f64,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: f64,
}

/// How closely the requests to a cold backend server have to keep to its rate.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// Factor on the rate that requests of one second may reach.
    pub overage: f64,
    /// Number of requests by which they may exceed it in addition.
    pub slack: f64,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers and of the backend server, HTTP/1.1.
    pub callers: SocketAddr,
    /// Calls of other daemons, gRPC.
    pub peers: SocketAddr,
    /// Readiness checks of the platform, HTTP/1.1.
    pub ready: SocketAddr,
    /// Heartbeats of the backend server, HTTP/1.1.
    pub heartbeats: SocketAddr,
    /// Metrics in the Prometheus text format, HTTP/1.1.
    pub metrics: SocketAddr,
}

/// Memory of the smallest VM in MB.
const SMALLEST_MEMORY_MB: f64 = 88.0;
/// Memory in MB that the process needs besides the bytes of its peers: code, directory,
/// configurations, log, and the buffers of connections.
const OWN_MEMORY_MB: f64 = 16.0;
/// Least memory in MB with which a daemon starts.
const MIN_MEMORY_MB: f64 = 32.0;
/// Part of the memory in bytes that only short messages use.
const SHORT_SHARE_BYTES: usize = 4_000_000;
/// Fraction of the memory for bytes of peers that long responses may use; on the smallest VM, the
/// longest response fits.
const RESPONSE_SHARE: f64 = 0.25;

fn smallest_memory() -> f64 {
    SMALLEST_MEMORY_MB
}

impl Settings {
    /// Returns the sizes of the budget for the bytes that callers, backend servers and other daemons
    /// send.
    pub fn memory_budget(&self) -> BudgetSettings {
        let capacity = ((self.memory_mb - OWN_MEMORY_MB) * 1e6) as usize;
        let responses = (capacity as f64 * RESPONSE_SHARE) as usize;
        BudgetSettings { capacity, short_share: SHORT_SHARE_BYTES, responses }
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the file name and the position of the error, or with every
    /// invalid setting.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        shallottack_settings::load(path)
    }

    /// Parses and validates settings; `name` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the position of the error, or with every invalid setting.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        shallottack_settings::parse(name, text)
    }
}

impl Check for Settings {
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let second = Duration::from_secs(1);
        if self.heartbeat.is_zero() || self.heartbeat > 60 * second {
            problems.push("heartbeat: expected more than 0 s and at most 60 s".to_owned());
        }
        if self.link_mbps.is_nan() || self.link_mbps <= 0.0 {
            problems.push("link_mbps: expected more than 0".to_owned());
        }
        if self.memory_mb.is_nan() || self.memory_mb < MIN_MEMORY_MB {
            problems.push(format!("memory_mb: expected {MIN_MEMORY_MB} or more"));
        }
        if self.stop.grace < second {
            problems.push("stop.grace: expected 1 s or more".to_owned());
        }
        if self.retries.window.is_zero() {
            problems.push("retries.window: expected more than 0 s".to_owned());
        }
        if !(0.0..=1.0).contains(&self.retries.ratio) || self.retries.extra < 0.0 {
            problems.push("retries: expected a ratio from 0 to 1 and an extra from 0".to_owned());
        }
        if self.quotas.is_some_and(|it| {
            it.window.is_zero() || !(0.0..=1.0).contains(&it.overage) || it.slack.is_sign_negative()
        }) {
            let expected = "a window above 0 s, an overage from 0 to 1 and a slack from 0";
            problems.push(format!("quotas: expected {expected}"));
        }
        if self.cold.is_some_and(|it| it.overage.is_nan() || it.overage < 1.0 || it.slack < 0.0) {
            problems.push("cold: expected an overage from 1 and a slack from 0".to_owned());
        }
        if !(0.0..=1.0).contains(&self.policy.budget_share) {
            problems.push("policy.budget_share: expected 0 to 1".to_owned());
        }
        let ports = [
            self.listen.callers,
            self.listen.peers,
            self.listen.ready,
            self.listen.heartbeats,
            self.listen.metrics,
        ];
        let repeated = |at: usize| ports[at].port() != 0 && ports[..at].contains(&ports[at]);
        if (0..ports.len()).any(repeated) {
            problems.push("listen: expected a different address for each use".to_owned());
        }
        problems
    }
}
