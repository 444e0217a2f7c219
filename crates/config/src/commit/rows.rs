//! Rows, row keys and object names under which the platform stores the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use crate::{Change, Delta, Resource, ResourceKey, Version, WriteId};

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of change rows.
pub const CHANGE_PREFIX: &str = "config/change/";
/// Prefix of the keys of write rows.
pub const WRITE_PREFIX: &str = "config/write/";

/// Value of the head row: the newest version and the retained snapshots.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Newest committed version.
    pub version: Version,
    /// Object name of the newest snapshot; `None` before the first snapshot.
    pub snapshot: Option<String>,
    /// Sequence number of the newest snapshot, 0 before the first.
    pub snapshot_seq: u64,
    /// Sequence numbers of the older retained snapshots, newest first.
    #[serde(default)]
    pub older: Vec<u64>,
}

/// The head row as read, with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadRead {
    /// Revision of the row.
    pub revision: u64,
    /// Value of the row.
    pub head: Head,
}

/// Value of a row `config/write/<id>`: the outcome of one submitted change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteRow {
    /// Version with which the change was accepted.
    pub version: Version,
    /// Digest of the change, used to detect an id that is reused for another change.
    pub digest: Arc<str>,
}

/// Value of a row `config/change/<seq>`: one accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRow {
    /// Version that the change produced.
    pub version: Version,
    /// Identifier of the change.
    pub id: WriteId,
    /// Operator that submitted it.
    pub operator: Arc<str>,
    /// Keys of the resources that it added, replaced or removed.
    pub touched: Vec<ResourceKey>,
    /// Name of the delta object.
    pub object: String,
    /// SHA-256 of the delta object's body, in hexadecimal.
    pub digest: Arc<str>,
}

/// Returns the key of the row that records the outcome of `id`.
pub fn write_key(id: &WriteId) -> String {
    format!("{WRITE_PREFIX}{id}")
}

/// Returns the key of the row of change `seq`, zero-padded so that a scan returns the rows in
/// numeric order.
pub fn change_key(seq: u64) -> String {
    format!("{CHANGE_PREFIX}{seq:020}")
}

/// Returns the name of the object that holds the delta of change `seq`.
pub fn delta_object(seq: u64, id: &WriteId) -> String {
    format!("config/delta/{seq:020}-{id}")
}

/// Returns the name of the object that holds the snapshot of version `seq`.
pub fn snapshot_object(seq: u64) -> String {
    format!("config/snapshot/{seq:020}")
}

/// Encodes a row or the body of an object as JSON.
///
/// # Panics
///
/// Panics when the value cannot be represented as JSON; all rows and objects of this module can.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows have string keys and no fallible parts")
}

/// Decodes a row or the body of an object from JSON.
///
/// # Errors
///
/// Returns the error of the JSON parser; readers treat such an object like a corrupt one.
pub fn decode<T: DeserializeOwned>(json: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(json)
}

/// Returns the SHA-256 of `body` in hexadecimal.
pub fn hex_digest(body: &[u8]) -> Arc<str> {
    let bytes: [u8; 32] = Sha256::digest(body).into();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}

/// Returns the delta of `change` from one version to the next.
///
/// The lists are sorted so that all daemons that commit the same change at the same version write
/// identical objects.
pub fn delta_of(change: &Change, from: Version, to: Version) -> Delta {
    let mut upserts = change.upserts.clone();
    upserts.sort_by_key(Resource::key);
    let mut removes = change.removes.clone();
    removes.sort();
    Delta { from, to, upserts, removes }
}

/// Returns the digest of a change's contents without its base, so that a retry with a newer base
/// is recognised as the same change.
pub fn change_digest(change: &Change) -> Arc<str> {
    let delta = delta_of(change, Version::ZERO, Version::ZERO);
    hex_digest(&encode(&delta))
}
