//! The catalog in hand and the deltas that led to it.

use std::{collections::VecDeque, sync::Arc};

use shallottack_config::{ApplyError, Catalog, Version};

use crate::{EncodedDelta, Settings};

/// What came of a delta or snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It was applied.
    New,
    /// It is not newer than the version in hand.
    Old,
    /// It does not start at the version in hand.
    Gap,
    /// It is malformed, or the result would be invalid.
    Invalid,
}

/// The catalog in hand and a bounded log of the deltas that led to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    pub(crate) catalog: Arc<Catalog>,
    /// A chain of deltas that ends at the catalog's version.
    log: VecDeque<EncodedDelta>,
    log_bytes: usize,
    /// The catalog's JSON, encoded with the first transfer of a version.
    encoded: Option<Arc<[u8]>>,
}

impl Store {
    pub(crate) fn version(&self) -> Version {
        self.catalog.version
    }

    /// Applies a delta when it starts at the version in hand.
    pub(crate) fn take_delta(&mut self, delta: &EncodedDelta, settings: &Settings) -> Taken {
        if delta.to <= self.version() {
            return Taken::Old;
        }
        if delta.from != self.version() {
            return Taken::Gap;
        }
        let Some(decoded) = delta.decode() else { return Taken::Invalid };
        match self.catalog.apply(&decoded) {
            Ok(next) => self.catalog = Arc::new(next),
            Err(ApplyError::Gap { .. }) => return Taken::Gap,
            Err(ApplyError::Rejected(_)) => return Taken::Invalid,
        }
        self.encoded = None;
        self.log_bytes += delta.body.len();
        self.log.push_back(delta.clone());
        while self.log.len() > settings.log_len || self.log_bytes > settings.log_bytes {
            let Some(oldest) = self.log.pop_front() else { break };
            self.log_bytes -= oldest.body.len();
        }
        Taken::New
    }

    /// Takes over a whole catalog when it is newer than the one in hand.
    pub(crate) fn take_snapshot(&mut self, body: &Arc<[u8]>) -> Taken {
        let Ok(next) = serde_json::from_slice::<Catalog>(body) else { return Taken::Invalid };
        if next.version <= self.version() {
            return Taken::Old;
        }
        if next.validate().is_err() {
            return Taken::Invalid;
        }
        self.catalog = Arc::new(next);
        self.encoded = Some(body.clone());
        self.log.clear();
        self.log_bytes = 0;
        Taken::New
    }

    /// Returns the deltas after `have`, as many as fit one message, or `None` when the log does
    /// not reach back so far.
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

    /// Returns the versions at the two ends of the log.
    pub(crate) fn log_range(&self) -> (Version, usize) {
        (self.log.front().map_or(self.version(), |it| it.from), self.log.len())
    }
}
