//! Object store of the platform, and the digest that detects corrupt objects.

use async_trait::async_trait;
use sha2::{Digest, Sha256};

/// Length of the SHA-256 digest at the start of each object, in bytes.
const DIGEST_BYTES: usize = 32;

/// Error of an object read, write or removal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// The object does not exist.
    #[error("object `{0}` is missing")]
    Missing(String),
    /// The object's bytes do not match its digest.
    #[error("object `{0}` is corrupt: its digest does not match")]
    Corrupt(String),
    /// The platform did not answer or reported an error.
    #[error("object store unavailable: {0}")]
    Unavailable(String),
}

/// Client of the platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError::Missing`] or [`ObjectError::Unavailable`].
    async fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError>;

    /// Writes an object, replacing any of the same name.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError::Unavailable`]; the object may have been written nevertheless.
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError>;

    /// Removes an object; succeeds if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError::Unavailable`].
    async fn delete(&self, name: &str) -> Result<(), ObjectError>;
}

/// Returns the SHA-256 digest of `body`.
pub fn digest(body: &[u8]) -> [u8; DIGEST_BYTES] {
    Sha256::digest(body).into()
}

/// Returns the bytes to store for `body`: its digest, then `body` itself.
pub fn encode_object(body: &[u8]) -> Vec<u8> {
    let mut object = Vec::with_capacity(DIGEST_BYTES + body.len());
    object.extend_from_slice(&digest(body));
    object.extend_from_slice(body);
    object
}

/// Checks the digest of an object made by [`encode_object`] and returns its body.
///
/// # Errors
///
/// Returns [`ObjectError::Corrupt`] if the object is too short or its digest does not match.
pub fn decode_object<'a>(name: &str, object: &'a [u8]) -> Result<&'a [u8], ObjectError> {
    let corrupt = || ObjectError::Corrupt(name.to_owned());
    let (stored, body) = object.split_at_checked(DIGEST_BYTES).ok_or_else(corrupt)?;
    if stored == digest(body) { Ok(body) } else { Err(corrupt()) }
}
