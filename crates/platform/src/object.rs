//! The platform's object store and the digest that guards each object.

use async_trait::async_trait;
use sha2::{Digest, Sha256};

/// Length of the digest in front of each object, in bytes.
const DIGEST_BYTES: usize = 32;

/// Why an object could not be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// There is no such object.
    #[error("object `{0}` is missing")]
    Missing(String),
    /// The object's bytes do not match its digest.
    #[error("object `{0}` is torn: its digest does not match")]
    Corrupt(String),
    /// The platform does not answer.
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

    /// Writes an object whole, replacing one of the same name.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError::Unavailable`]; the object may have been written all the same.
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError>;

    /// Removes an object; removing an absent one succeeds.
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

/// Returns the object's bytes with the digest of `body` in front.
pub fn encode_object(body: &[u8]) -> Vec<u8> {
    let mut object = Vec::with_capacity(DIGEST_BYTES + body.len());
    object.extend_from_slice(&digest(body));
    object.extend_from_slice(body);
    object
}

/// Returns the body of a sealed object after checking its digest.
///
/// # Errors
///
/// Returns [`ObjectError::Corrupt`] when the digest does not match.
pub fn decode_object<'a>(name: &str, object: &'a [u8]) -> Result<&'a [u8], ObjectError> {
    let torn = || ObjectError::Corrupt(name.to_owned());
    let (stored, body) = object.split_at_checked(DIGEST_BYTES).ok_or_else(torn)?;
    if stored == digest(body) { Ok(body) } else { Err(torn()) }
}
