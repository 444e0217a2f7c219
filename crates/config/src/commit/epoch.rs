//! Raising the epoch after the platform's table was restored from a backup.

use std::sync::Arc;

use shallottack_kernel::{ErrorKind, Failure};

use super::{
    ChangeRow, HEAD_KEY, Head, HeadRead, Transaction, WriteRow, change_key, delta_object, encode,
    hex_digest, snapshot::push_snapshot, snapshot_object, write_key,
};
use crate::{Catalog, Delta, ResourceKey, Version, WriteId, difference};

/// Writes that raise the epoch: first the objects, then the transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct EpochRaise {
    /// Delta from the catalog of the restored table to the catalog in force.
    pub delta: Delta,
    /// Names and bodies of the objects to write.
    pub objects: Vec<(String, Vec<u8>)>,
    /// The transaction.
    pub transaction: Transaction,
}

/// Returns the writes that raise the epoch of a restored table.
///
/// `restored` is the catalog at the head of the table and `held` the newest catalog that a daemon
/// still holds. When `held` is ahead of the head, its resources are carried over, so that no
/// accepted configuration is reverted. A snapshot of the new version is written as well, because
/// daemons whose version is missing from the restored table cannot apply the delta.
///
/// # Errors
///
/// Returns a [`Failure`] of kind `Conflict` when `restored` is not the catalog at the head.
pub fn raise_epoch(
    read: Option<&HeadRead>,
    restored: &Catalog,
    held: &Catalog,
    id: &WriteId,
    operator: &Arc<str>,
) -> Result<EpochRaise, Failure> {
    let head = read.map(|it| it.head.clone()).unwrap_or_default();
    if restored.version != head.version {
        let detail =
            format!("the head row changed from version {} to {}", restored.version, head.version);
        return Err(Failure::new(ErrorKind::Conflict, detail));
    }
    let newest = if held.version > head.version { held } else { restored };
    let to = Version {
        epoch: head.version.epoch.max(held.version.epoch) + 1,
        seq: head.version.seq + 1,
    };
    let changed = difference(restored, newest);
    let touched = changed.upserts.iter().map(crate::Resource::key);
    let touched: Vec<ResourceKey> = touched.chain(changed.removes.iter().cloned()).collect();
    let delta =
        Delta { from: head.version, to, upserts: changed.upserts, removes: changed.removes };
    let body = encode(&delta);
    let digest = hex_digest(&body);
    let object = delta_object(to.seq, id);
    let snapshot = Catalog { version: to, ..newest.clone() };
    let next = push_snapshot(&Head { version: to, ..head }, to.seq);
    let row = ChangeRow {
        version: to,
        id: id.clone(),
        operator: operator.clone(),
        touched,
        object: object.clone(),
        digest: digest.clone(),
    };
    let transaction = Transaction::default()
        .when(HEAD_KEY.to_owned(), read.map(|it| it.revision))
        .when(write_key(id), None)
        .put(HEAD_KEY.to_owned(), encode(&next))
        .put(write_key(id), encode(&WriteRow { version: to, digest }))
        .put(change_key(to.seq), encode(&row));
    let objects = vec![(object, body), (snapshot_object(to.seq), encode(&snapshot))];
    Ok(EpochRaise { delta, objects, transaction })
}
