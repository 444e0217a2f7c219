//! The held catalog and the recent deltas that led to it.

use std::{collections::VecDeque, sync::Arc};

use shallottack_config::{ApplyError, Catalog, Version};

use crate::{EncodedDelta, Settings};

/// Result of applying a delta or snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApplyOutcome {
    /// It was applied.
    Applied,
    /// It is not newer than the held version.
    Stale,
    /// It does not start at the held version.
    Gap,
    /// It is malformed, or the resulting catalog would be invalid.
    Invalid,
}

/// The held catalog and a bounded log of the deltas that led to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    pub(crate) catalog: Arc<Catalog>,
    /// Consecutive deltas, the last of which ends at the catalog's version.
    log: VecDeque<EncodedDelta>,
    log_bytes: usize,
    /// The catalog as JSON, cached for transfers.
    encoded: Option<Arc<[u8]>>,
}

impl Store {
    pub(crate) fn version(&self) -> Version {
        self.catalog.version
    }

    /// Applies a delta if it starts at the held version.
    pub(crate) fn apply_delta(
        &mut self,
        delta: &EncodedDelta,
        settings: &Settings,
    ) -> ApplyOutcome {
        if delta.to <= self.version() {
            return ApplyOutcome::Stale;
        }
        if delta.from != self.version() {
            return ApplyOutcome::Gap;
        }
        let Some(decoded) = delta.decode() else { return ApplyOutcome::Invalid };
        match self.catalog.apply(&decoded) {
            Ok(next) => self.catalog = Arc::new(next),
            Err(ApplyError::Gap { .. }) => return ApplyOutcome::Gap,
            Err(ApplyError::Rejected(_)) => return ApplyOutcome::Invalid,
        }
        self.encoded = None;
        self.log_bytes += delta.body.len();
        self.log.push_back(delta.clone());
        while self.log.len() > settings.log_len || self.log_bytes > settings.log_bytes {
            let Some(oldest) = self.log.pop_front() else { break };
            self.log_bytes -= oldest.body.len();
        }
        ApplyOutcome::Applied
    }

    /// Replaces the catalog if the snapshot is valid and newer.
    pub(crate) fn apply_snapshot(&mut self, body: &Arc<[u8]>) -> ApplyOutcome {
        let Ok(next) = serde_json::from_slice::<Catalog>(body) else {
            return ApplyOutcome::Invalid;
        };
        if next.version <= self.version() {
            return ApplyOutcome::Stale;
        }
        if next.validate().is_err() {
            return ApplyOutcome::Invalid;
        }
        self.catalog = Arc::new(next);
        self.encoded = Some(body.clone());
        self.log.clear();
        self.log_bytes = 0;
        ApplyOutcome::Applied
    }

    /// Returns the deltas after `have`, as many as fit in one message, or `None` if the log does
    /// not reach back to `have`.
    pub(crate) fn deltas_after(
        &self,
        have: Version,
        message_bytes: usize,
    ) -> Option<Vec<EncodedDelta>> {
        if have >= self.version() {
            return Some(Vec::new());
        }
        let start = self.log.iter().position(|it| it.from == have)?;
        let mut bytes = 0;
        let fits = |it: &&EncodedDelta| {
            let first = bytes == 0;
            bytes += it.body.len();
            first || bytes <= message_bytes
        };
        Some(self.log.iter().skip(start).take_while(fits).cloned().collect())
    }

    /// Returns the catalog as JSON.
    pub(crate) fn snapshot(&mut self) -> Arc<[u8]> {
        let catalog = &self.catalog;
        let encode = || serde_json::to_vec(catalog.as_ref()).expect("a catalog has JSON").into();
        self.encoded.get_or_insert_with(encode).clone()
    }

    /// Returns the version at which the log starts and its number of deltas.
    pub(crate) fn log_range(&self) -> (Version, usize) {
        (self.log.front().map_or(self.version(), |it| it.from), self.log.len())
    }
}
