//! What a deployment consists of.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// What a deployment consists of.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Name of the deployment.
    pub name: String,
    /// Configuration file that operators apply.
    pub configuration: PathBuf,
    /// Data centres; endpoints are spread over them in turn.
    pub data_centres: Vec<String>,
    /// Services.
    pub services: Vec<ServiceSize>,
    /// Requests that callers send.
    pub requests: Vec<RequestKind>,
}

/// Endpoints of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: String,
    /// Group that the backend servers belong to.
    pub group: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Calls that a backend server runs at once.
    pub slots: usize,
    /// Connections that a backend server accepts.
    pub connections: usize,
    /// Time that a call takes, in milliseconds.
    pub service_ms: f64,
}

/// Requests of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Class of the requests.
    pub class: String,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Whether each request carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

impl Description {
    /// Reads the description in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file.
    pub fn load(path: &Path) -> Result<Description, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        serde_saphyr::from_str(&text).map_err(|error| error.to_string())
    }
}
