//! Versions, leases and seeds in the platform's table and object store.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use shallottack_config::{
    Catalog, Delta, Version,
    commit::{
        self, CHANGE_PREFIX, ChangeRow, HEAD_KEY, Head, HeadRead, ReadPlan, Removals,
        UnusableObjects, change_key, plan_read, snapshot_object, write_key,
    },
};
use shallottack_distribution::{
    FetchError, LeaseOutcome, LeaseRow, ObservedHead, ObservedLease, Unavailable,
};
use shallottack_kernel::DataCentre;
use shallottack_platform::{
    CommitError, ObjectError, Platform, ReadError, Transaction, decode_object, encode_object,
};

/// Rows read from the table in one request.
const SCAN_ROWS: usize = 128;
/// Rows of seeds for each data centre.
pub const SEED_SLOTS: usize = 8;
/// Rows removed in one transaction.
const REMOVE_ROWS: usize = 100;

/// Why something could not be read from the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform does not answer.
    #[error("{0}")]
    Unavailable(String),
    /// Rows or objects that are needed are missing, torn or malformed.
    #[error("{0}")]
    Missing(String),
}

impl From<ReadError> for StoreError {
    fn from(error: ReadError) -> StoreError {
        StoreError::Unavailable(error.to_string())
    }
}

impl From<ObjectError> for StoreError {
    fn from(error: ObjectError) -> StoreError {
        match error {
            ObjectError::Unavailable(_) => StoreError::Unavailable(error.to_string()),
            ObjectError::Missing(_) | ObjectError::Corrupt(_) => {
                StoreError::Missing(error.to_string())
            }
        }
    }
}

impl From<StoreError> for FetchError {
    fn from(error: StoreError) -> FetchError {
        match error {
            StoreError::Unavailable(_) => FetchError::Unavailable,
            StoreError::Missing(_) => FetchError::Missing,
        }
    }
}

/// A seed row: key, revision when present, and the address in it.
#[derive(Debug, Clone)]
pub struct Seed {
    /// Key of the row.
    pub key: String,
    /// Revision of the row; `None` when it is absent.
    pub revision: Option<u64>,
    /// Peers address of a daemon.
    pub address: Option<SocketAddr>,
}

/// Versions, leases and seeds in the platform.
pub struct Store {
    platform: Arc<dyn Platform>,
    /// The last lease or head request had no answer.
    failing: AtomicBool,
}

impl Store {
    pub(super) fn new(platform: Arc<dyn Platform>) -> Store {
        Store { platform, failing: AtomicBool::new(false) }
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Arc<dyn Platform> {
        &self.platform
    }

    /// Reads the head row.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the platform does not answer or the row is malformed.
    pub async fn read_head(&self) -> Result<Option<HeadRead>, StoreError> {
        let Some(row) = self.platform.read(HEAD_KEY).await? else { return Ok(None) };
        let head: Head = decode(HEAD_KEY, &row.value)?;
        Ok(Some(HeadRead { revision: row.revision, head }))
    }

    pub(super) async fn observe_head(&self) -> Result<Option<ObservedHead>, Unavailable> {
        let read = self.noted("head read", self.read_head().await)?;
        Ok(read.map(|it| ObservedHead { version: it.head.version }))
    }

    pub(super) async fn read_lease(
        &self,
        data_centre: &DataCentre,
    ) -> Result<Option<ObservedLease>, Unavailable> {
        let row = self.platform.read(&lease_key(data_centre)).await;
        let Some(row) = self.noted("lease read", row)? else { return Ok(None) };
        let value = self.noted("lease read", serde_json::from_slice::<LeaseRow>(&row.value))?;
        Ok(Some(ObservedLease { revision: row.revision, row: value }))
    }

    pub(super) async fn commit_lease(
        &self,
        data_centre: &DataCentre,
        revision: Option<u64>,
        row: &LeaseRow,
    ) -> LeaseOutcome {
        let key = lease_key(data_centre);
        let transaction =
            Transaction::default().when(key.clone(), revision).put(key, commit::encode(row));
        match self.platform.commit(transaction).await {
            Ok(()) => LeaseOutcome::Committed,
            Err(CommitError::Conflict { .. }) => LeaseOutcome::Conflict,
            Err(error @ (CommitError::Unavailable(_) | CommitError::Unknown(_))) => {
                log::warn!(error = error.to_string(); "lease write not confirmed");
                LeaseOutcome::Unconfirmed
            }
        }
    }

    /// Logs the first failure of a series and the first success after it.
    fn noted<T, E: Display>(&self, call: &str, result: Result<T, E>) -> Result<T, Unavailable> {
        let failing = self.failing.swap(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(value) => {
                if failing {
                    log::info!(call; "platform answers again");
                }
                Ok(value)
            }
            Err(error) => {
                if !failing {
                    log::warn!(call, error = error.to_string(); "platform does not answer");
                }
                Err(Unavailable)
            }
        }
    }

    /// Reads the change rows after `from` up to and including `to`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the platform does not answer or a row is malformed.
    pub async fn read_changes(&self, from: u64, to: u64) -> Result<Vec<ChangeRow>, StoreError> {
        let mut rows = Vec::new();
        let mut after = change_key(from);
        while (rows.len() as u64) < to.saturating_sub(from) {
            let page = self.platform.scan(CHANGE_PREFIX, &after, SCAN_ROWS).await?;
            let Some(last) = page.last() else { break };
            after = last.key.clone();
            for row in page {
                rows.push(decode::<ChangeRow>(&row.key, &row.value)?);
            }
        }
        rows.truncate(to.saturating_sub(from) as usize);
        Ok(rows)
    }

    pub(super) async fn fetch_deltas(&self, from: Version) -> Result<Vec<Arc<[u8]>>, FetchError> {
        let rows = self.platform.scan(CHANGE_PREFIX, &change_key(from.seq), SCAN_ROWS).await;
        let mut bodies = Vec::new();
        for row in rows.map_err(StoreError::from)? {
            let change: ChangeRow = decode(&row.key, &row.value)?;
            match self.get(&change.object).await {
                Ok(body) => bodies.push(body.into()),
                // What precedes an unusable delta is still of use.
                Err(_) if !bodies.is_empty() => break,
                Err(error) => return Err(error.into()),
            }
        }
        Ok(bodies)
    }

    pub(super) async fn fetch_snapshot(&self, skip: u8) -> Result<Arc<[u8]>, FetchError> {
        let read = self.read_head().await?.ok_or(FetchError::Missing)?;
        let head = read.head;
        let newest = head.snapshot.is_some().then_some(head.snapshot_seq);
        let mut kept = newest.into_iter().chain(head.older);
        let seq = kept.nth(usize::from(skip)).ok_or(FetchError::Missing)?;
        Ok(self.get(&snapshot_object(seq)).await?.into())
    }

    /// Builds the catalog of the head row's version, from `held` when that is possible.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the platform does not answer or its objects do not suffice.
    pub async fn load_catalog(&self, held: Option<&Catalog>) -> Result<Catalog, StoreError> {
        let Some(read) = self.read_head().await? else { return Ok(Catalog::default()) };
        let mut unusable = UnusableObjects::default();
        loop {
            let plan = plan_read(&read.head, held.map(|it| it.version), &unusable);
            match self.follow(plan, held, &mut unusable).await? {
                Some(catalog) => return Ok(catalog),
                None => continue,
            }
        }
    }

    /// Follows a plan; returns `None` after noting an object as unusable.
    async fn follow(
        &self,
        plan: ReadPlan,
        held: Option<&Catalog>,
        unusable: &mut UnusableObjects,
    ) -> Result<Option<Catalog>, StoreError> {
        match plan {
            ReadPlan::Current => Ok(Some(held.cloned().unwrap_or_default())),
            ReadPlan::Deltas { from, to } => {
                let start = held.filter(|it| it.version == from).cloned().unwrap_or_default();
                self.apply_deltas(start, to, unusable).await
            }
            ReadPlan::Snapshot { name, seq, to } => {
                let start = match self.get(&name).await {
                    Ok(body) => decode::<Catalog>(&name, &body),
                    Err(error) => Err(error),
                };
                match start {
                    Ok(start) => self.apply_deltas(start, to, unusable).await,
                    Err(StoreError::Missing(_)) => {
                        unusable.snapshots.insert(seq);
                        Ok(None)
                    }
                    Err(error) => Err(error),
                }
            }
            ReadPlan::Peer => {
                Err(StoreError::Missing("snapshots and deltas do not suffice".to_owned()))
            }
        }
    }

    async fn apply_deltas(
        &self,
        mut catalog: Catalog,
        to: Version,
        unusable: &mut UnusableObjects,
    ) -> Result<Option<Catalog>, StoreError> {
        for row in self.read_changes(catalog.version.seq, to.seq).await? {
            let delta = match self.get(&row.object).await {
                Ok(body) => decode::<Delta>(&row.object, &body),
                Err(error) => Err(error),
            };
            let applied = match delta {
                Ok(delta) => catalog.apply(&delta).ok(),
                Err(StoreError::Missing(_)) => None,
                Err(error) => return Err(error),
            };
            match applied {
                Some(next) => catalog = next,
                None => {
                    unusable.deltas.insert(row.version.seq);
                    return Ok(None);
                }
            }
        }
        if catalog.version == to {
            return Ok(Some(catalog));
        }
        unusable.deltas.insert(catalog.version.seq + 1);
        Ok(None)
    }

    /// Rebuilds every version since the oldest snapshot whose deltas are retained, oldest first.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the platform does not answer or an object is missing or torn.
    pub async fn history(&self) -> Result<Vec<Catalog>, StoreError> {
        let Some(read) = self.read_head().await? else { return Ok(Vec::new()) };
        let oldest = read.head.older.last().copied();
        let mut catalog = match oldest {
            Some(seq) => {
                let name = snapshot_object(seq);
                decode::<Catalog>(&name, &self.get(&name).await?)?
            }
            None => Catalog::default(),
        };
        let mut versions = Vec::new();
        for row in self.read_changes(catalog.version.seq, read.head.version.seq).await? {
            let delta: Delta = decode(&row.object, &self.get(&row.object).await?)?;
            catalog = catalog
                .apply(&delta)
                .map_err(|error| StoreError::Missing(format!("`{}`: {error}", row.object)))?;
            versions.push(catalog.clone());
        }
        Ok(versions)
    }

    /// Writes a snapshot of `catalog` when one is due, and removes what is no longer retained.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the platform does not answer; the next change tries again.
    pub async fn snapshot_if_due(&self, catalog: &Catalog) -> Result<bool, StoreError> {
        let Some(read) = self.read_head().await? else { return Ok(false) };
        if !commit::snapshot_due(&read.head) {
            return Ok(false);
        }
        let name = snapshot_object(catalog.version.seq);
        self.put(&name, &commit::encode(catalog)).await?;
        let Some(read) = self.read_head().await? else { return Ok(false) };
        let Some(transaction) = commit::record_snapshot(&read, catalog.version) else {
            return Ok(false);
        };
        if self.platform.commit(translate(transaction)).await.is_err() {
            return Ok(false);
        }
        if let Some(after) = self.read_head().await? {
            self.remove(&commit::removals(&read.head, &after.head)).await?;
        }
        Ok(true)
    }

    async fn remove(&self, removals: &Removals) -> Result<(), StoreError> {
        for name in &removals.snapshots {
            self.platform.delete(name).await?;
        }
        if let Some((from, to)) = removals.deltas {
            for row in self.read_changes(from, to).await? {
                self.platform.delete(&row.object).await?;
            }
        }
        if let Some((from, to)) = removals.rows {
            let rows = self.read_changes(from, to).await?;
            for chunk in rows.chunks(REMOVE_ROWS / 2) {
                let transaction = chunk.iter().fold(Transaction::default(), |it, row| {
                    it.remove(change_key(row.version.seq)).remove(write_key(&row.id))
                });
                // Removals are repeated with the next snapshot.
                let _ = self.platform.commit(transaction).await;
            }
        }
        Ok(())
    }

    /// Writes an object with its digest.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] when the platform does not confirm.
    pub async fn put(&self, name: &str, body: &[u8]) -> Result<(), StoreError> {
        Ok(self.platform.put(name, encode_object(body)).await?)
    }

    async fn get(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        let object = self.platform.get(name).await?;
        Ok(decode_object(name, &object)?.to_vec())
    }

    /// Reads the seed rows of all data centres, or of one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] when the platform does not answer.
    pub async fn read_seeds(
        &self,
        data_centre: Option<&DataCentre>,
    ) -> Result<Vec<Seed>, StoreError> {
        let prefix = data_centre.map_or("seed/".to_owned(), |it| format!("seed/{it}/"));
        let rows = self.platform.scan(&prefix, "", SCAN_ROWS).await?;
        Ok(rows
            .into_iter()
            .map(|row| Seed {
                address: std::str::from_utf8(&row.value).ok().and_then(|it| it.parse().ok()),
                key: row.key,
                revision: Some(row.revision),
            })
            .collect())
    }

    /// Writes the seed rows of a data centre whose addresses are not in `live`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] when the platform does not answer.
    pub async fn refresh_seeds(
        &self,
        data_centre: &DataCentre,
        live: &[SocketAddr],
    ) -> Result<(), StoreError> {
        let present = self.read_seeds(Some(data_centre)).await?;
        let used: Vec<_> = present.iter().filter_map(|seed| seed.address).collect();
        let mut spare = live.iter().filter(|address| !used.contains(address));
        for slot in 0..SEED_SLOTS.min(live.len()) {
            let key = format!("seed/{data_centre}/{slot}");
            let row = present.iter().find(|seed| seed.key == key);
            if row.and_then(|it| it.address).is_some_and(|address| live.contains(&address)) {
                continue;
            }
            let Some(address) = spare.next() else { break };
            let transaction = Transaction::default()
                .when(key.clone(), row.and_then(|it| it.revision))
                .put(key, address.to_string().into_bytes());
            // A conflict means that another source has just written the row.
            let _ = self.platform.commit(transaction).await;
        }
        Ok(())
    }
}

/// Returns a transaction of the commit decisions in the form that the platform takes.
pub(crate) fn translate(transaction: commit::Transaction) -> Transaction {
    let start = transaction
        .conditions
        .into_iter()
        .fold(Transaction::default(), |it, condition| it.when(condition.key, condition.revision));
    transaction.writes.into_iter().fold(start, |it, write| it.put(write.key, write.value))
}

fn lease_key(data_centre: &DataCentre) -> String {
    format!("lease/source/{data_centre}")
}

fn decode<T: serde::de::DeserializeOwned>(name: &str, json: &[u8]) -> Result<T, StoreError> {
    commit::decode(json).map_err(|error| StoreError::Missing(format!("`{name}`: {error}")))
}
