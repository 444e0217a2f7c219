//! In-memory platform with faults that tests can inject.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;

use crate::{CommitError, ObjectError, ObjectStore, ReadError, Row, Table, Transaction};

/// Faults injected into the in-memory platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Delay added to every call.
    pub delay: Duration,
    /// Number of the next writes that take effect but report a lost answer.
    pub lost_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    objects: BTreeMap<String, Vec<u8>>,
    revision: u64,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// In-memory table and object store; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Creates an empty platform.
    pub fn new() -> MemoryPlatform {
        MemoryPlatform::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns the numbers of table reads and of table transactions so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Truncates an object to its first `keep_bytes` bytes, as a torn write would.
    pub fn truncate_object(&self, name: &str, keep_bytes: usize) {
        if let Some(object) = self.lock().objects.get_mut(name) {
            object.truncate(keep_bytes);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay and returns whether the platform is down.
    async fn apply_delay(&self) -> bool {
        let faults = self.faults();
        if !faults.delay.is_zero() {
            async_std::task::sleep(faults.delay).await;
        }
        faults.down
    }
}

impl State {
    fn row(&self, key: &str) -> Option<Row> {
        let (revision, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), revision: *revision, value: value.clone() })
    }

    fn take_lost_answer(&mut self) -> bool {
        let lost = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        lost
    }

    fn commit(&mut self, transaction: Transaction) -> Result<(), CommitError> {
        self.writes += 1;
        for condition in &transaction.conditions {
            let revision = self.rows.get(&condition.key).map(|(revision, _)| *revision);
            if revision != condition.revision {
                return Err(CommitError::Conflict { key: condition.key.clone() });
            }
        }
        self.revision += 1;
        for write in transaction.writes {
            match write.value {
                Some(value) => drop(self.rows.insert(write.key, (self.revision, value))),
                None => drop(self.rows.remove(&write.key)),
            }
        }
        Ok(())
    }
}

#[async_trait]
impl Table for MemoryPlatform {
    async fn read(&self, key: &str) -> Result<Option<Row>, ReadError> {
        if self.apply_delay().await {
            return Err(ReadError("injected outage".to_owned()));
        }
        let mut state = self.lock();
        state.reads += 1;
        Ok(state.row(key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, ReadError> {
        if self.apply_delay().await {
            return Err(ReadError("injected outage".to_owned()));
        }
        let mut state = self.lock();
        state.reads += 1;
        let start = if after > prefix { after } else { prefix };
        let keys = state.rows.range(start.to_owned()..).map(|(key, _)| key);
        let keys = keys.take_while(|key| key.starts_with(prefix)).filter(|key| *key != after);
        Ok(keys.take(limit).filter_map(|key| state.row(key)).collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<(), CommitError> {
        if self.apply_delay().await {
            return Err(CommitError::Unavailable("injected outage".to_owned()));
        }
        let mut state = self.lock();
        let result = state.commit(transaction);
        if state.take_lost_answer() {
            return Err(CommitError::Unknown("injected loss of the answer".to_owned()));
        }
        result
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        if self.apply_delay().await {
            return Err(ObjectError::Unavailable("injected outage".to_owned()));
        }
        let object = self.lock().objects.get(name).cloned();
        object.ok_or_else(|| ObjectError::Missing(name.to_owned()))
    }

    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError> {
        if self.apply_delay().await {
            return Err(ObjectError::Unavailable("injected outage".to_owned()));
        }
        let mut state = self.lock();
        state.objects.insert(name.to_owned(), body);
        if state.take_lost_answer() {
            return Err(ObjectError::Unavailable("injected loss of the answer".to_owned()));
        }
        Ok(())
    }

    async fn delete(&self, name: &str) -> Result<(), ObjectError> {
        if self.apply_delay().await {
            return Err(ObjectError::Unavailable("injected outage".to_owned()));
        }
        self.lock().objects.remove(name);
        Ok(())
    }
}
