//! Claim rows, their keys, and the objects that hold long answers.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use shallottack_kernel::{EndpointId, ErrorKind, Failure, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of an idempotency key in bytes. The key becomes part of a row key.
pub const MAX_KEY_BYTES: usize = 128;

/// Digest of a request, used to detect the reuse of a key with another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u128);

/// Returns the digest of a request's method, path and body.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    RequestDigest(hash.digest128())
}

/// Identifier of one attempt to run a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Random number that the daemon draws when it starts, so that its attempts differ from those
    /// of its earlier starts and of other daemons.
    pub nonce: u64,
    /// Number of the attempt since the daemon started.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.nonce, self.number)
    }
}

/// Response of a backend server, stored for repeats of its request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the size of the headers and the body in bytes, before encoding.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Location of the answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredAnswer {
    /// In the claim row.
    Inline(Arc<Answer>),
    /// In the object with this name. If the object is missing or incomplete, repeats are refused
    /// with `OutcomeUnknown`.
    Object(String),
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The attempt may have started.
    Running,
    /// The attempt ran and has this answer.
    Done(StoredAnswer),
    /// The attempt may have run, and its answer is not known.
    Unknown,
    /// The attempt never ran and never will; any request may take over the row. The row is kept,
    /// since its new revision makes a delayed claim transaction of the attempt fail, which is
    /// conditional on the earlier revision.
    Released,
}

/// Value of a row `claim/<service>/<key>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that holds or held the claim.
    pub attempt: AttemptId,
    /// Endpoint whose daemon made the claim.
    pub endpoint: EndpointId,
    /// Digest of the claimed request.
    pub digest: RequestDigest,
    /// State of the claim.
    pub state: State,
    /// Unix time until which the attempt may be running, in milliseconds.
    pub until_ms: u64,
    /// Unix time from which the row may be removed or taken over, in milliseconds.
    pub expires_ms: u64,
}

impl ClaimRow {
    /// Returns whether any request may take over the row at the Unix time `unix_ms`, in
    /// milliseconds.
    pub fn is_free(&self, unix_ms: u64) -> bool {
        self.state == State::Released || unix_ms >= self.expires_ms
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("claim rows have string keys and infallible fields")
    }
}

/// Returns the row key of the claim on an idempotency key.
pub fn claim_key(service: &ServiceName, key: &str) -> Arc<str> {
    format!("claim/{service}/{key}").into()
}

/// Returns the name of the object that holds the long answer of an attempt.
pub fn answer_object(row_key: &str, attempt: AttemptId) -> String {
    format!("{row_key}/{attempt}")
}

/// Checks an idempotency key, which becomes part of a row key and of an object name.
///
/// # Errors
///
/// Returns a [`Failure`] of kind `BadRequest` if the key is empty or too long, has other characters
/// than allowed, or consists of dots only.
pub fn check_key(key: &str) -> Result<(), Failure> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    let dots = key.bytes().all(|b| b == b'.');
    if key.len() > MAX_KEY_BYTES || dots || !key.bytes().all(allowed) {
        let detail = format!(
            "idempotency key must have 1 to {MAX_KEY_BYTES} characters of A-Z, a-z, 0-9, `-`, \
             `_`, `.` and `:`, not only dots"
        );
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    Ok(())
}
