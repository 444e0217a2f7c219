//! Settings of the daemon, read from YAML and checked whole.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName};
use shallottack_settings::{Check, SettingsError};

/// Shortest token in bytes; shorter ones can be guessed.
const MIN_TOKEN_BYTES: usize = 16;
/// Largest body limit in bytes; bodies are held in memory whole.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Settings of one daemon.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the endpoint: the backend server and this daemon; unique in the mesh.
    pub endpoint: EndpointId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address that other daemons use to reach this one; the listening address by default.
    #[serde(default)]
    pub advertise: Option<IpAddr>,
    /// Addresses of some daemons' peers ports, asked first when joining.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Secrets shared with daemons and operators.
    pub tokens: Tokens,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Longest time that a planned stop waits for requests in flight, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_ms")]
    pub drain: Duration,
    /// Threads that run the daemon. A call that moves between threads waits for the next one to
    /// wake up, so that one thread gives the lowest latency.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Level of the log: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: log::LevelFilter,
    /// Backend server inside the daemon, for trying things out.
    #[serde(default)]
    pub embedded: Option<Embedded>,
    /// Configuration file to apply at start when the platform holds none.
    #[serde(default)]
    pub bootstrap: Option<std::path::PathBuf>,
}

/// Addresses to listen on; port 0 takes a free port.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests, HTTP/1.1.
    pub callers: SocketAddr,
    /// Calls forwarded by other daemons, HTTP/1.1.
    pub relay: SocketAddr,
    /// Messages of other daemons, gRPC.
    pub peers: SocketAddr,
    /// Operators' API and metrics, HTTP/1.1.
    pub operators: SocketAddr,
    /// Announcements of the backend server on the same VM, HTTP/1.1; loopback only.
    pub announce: SocketAddr,
}

/// Where the platform's table and object store are.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum PlatformSettings {
    /// In the daemon's own memory, for a mesh of one daemon; lost when it stops.
    Memory {},
    /// A service over HTTP.
    Http {
        /// Addresses of the service; the next one is tried when one can't be reached.
        addresses: Vec<SocketAddr>,
        /// Bearer token of the service.
        token: String,
    },
}

/// Secrets shared with daemons and operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Authenticates daemons to one another.
    pub mesh: String,
    /// Authenticates operators.
    pub operators: String,
}

/// Limits on requests and connections.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a request or response, in bytes.
    pub body_bytes: usize,
    /// Most open connections of callers.
    pub caller_connections: usize,
    /// Most open connections of other daemons' forwarded calls.
    pub relay_connections: usize,
    /// Most connections kept to the backend server.
    pub backend_connections: usize,
    /// Longest time for the headers of a request to arrive, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1024 * 1024,
            caller_connections: 1_024,
            relay_connections: 1_024,
            backend_connections: 130,
            header_timeout: Duration::from_secs(5),
        }
    }
}

/// Backend server inside the daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Embedded {
    /// Service that it serves.
    pub service: ServiceName,
    /// Group that it belongs to.
    pub group: GroupName,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

fn default_drain() -> Duration {
    Duration::from_secs(30)
}

fn default_threads() -> usize {
    1
}

fn default_log() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the file's name and the place of the error.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        shallottack_settings::load(path)
    }

    /// Parses and checks settings; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the place of the error or with every problem found.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        shallottack_settings::parse(name, text)
    }
}

impl Check for Settings {
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (key, token) in self.secrets() {
            if token.len() < MIN_TOKEN_BYTES || !token.bytes().all(|it| it.is_ascii_graphic()) {
                problems.push(format!(
                    "{key}: expected at least {MIN_TOKEN_BYTES} printable ASCII characters without spaces"
                ));
            }
        }
        if !self.listen.announce.ip().is_loopback() {
            problems.push("listen.announce: expected a loopback address".to_owned());
        }
        if !(1..=MAX_BODY_BYTES).contains(&self.limits.body_bytes) {
            problems.push(format!("limits.body_bytes: expected 1 to {MAX_BODY_BYTES}"));
        }
        let counts = [
            ("limits.caller_connections", self.limits.caller_connections),
            ("limits.relay_connections", self.limits.relay_connections),
            ("limits.backend_connections", self.limits.backend_connections),
        ];
        for (key, count) in counts {
            if !(1..=65_536).contains(&count) {
                problems.push(format!("{key}: expected 1 to 65536"));
            }
        }
        if !(1..=60_000).contains(&self.limits.header_timeout.as_millis()) {
            problems.push("limits.header_timeout_ms: expected 1 to 60000".to_owned());
        }
        if !(1..=64).contains(&self.threads) {
            problems.push("threads: expected 1 to 64".to_owned());
        }
        if !(1..=3_600_000).contains(&self.drain.as_millis()) {
            problems.push("drain_ms: expected 1 to 3600000".to_owned());
        }
        if let PlatformSettings::Http { addresses, .. } = &self.platform
            && addresses.is_empty()
        {
            problems.push("platform.http.addresses: expected at least one address".to_owned());
        }
        if self.embedded.as_ref().is_some_and(|it| !(1..=1_024).contains(&it.slots)) {
            problems.push("embedded.slots: expected 1 to 1024".to_owned());
        }
        if self.listen.relay.ip().is_unspecified() && self.advertise.is_none() {
            problems.push("advertise: required when listen.relay is 0.0.0.0 or ::".to_owned());
        }
        problems
    }
}

impl Settings {
    fn secrets(&self) -> Vec<(&'static str, &str)> {
        let mut secrets = vec![
            ("tokens.mesh", self.tokens.mesh.as_str()),
            ("tokens.operators", self.tokens.operators.as_str()),
        ];
        if let PlatformSettings::Http { token, .. } = &self.platform {
            secrets.push(("platform.http.token", token));
        }
        secrets
    }
}
