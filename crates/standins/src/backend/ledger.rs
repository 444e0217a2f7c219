//! Ledger of the runs of a backend server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::state::State;

/// Runs under one `Idempotency-Key`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// Runs that began.
    pub runs: u64,
    /// Runs that came to their end.
    pub completed: u64,
}

/// What a backend server did since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls that were shed.
    pub shed: u64,
    /// Calls whose deadline passed before they had a slot.
    pub expired: u64,
    /// Runs that began.
    pub runs: u64,
    /// Runs that came to their end.
    pub completed: u64,
    /// Runs that ended early: cancelled by the client or past their deadline.
    pub cancelled: u64,
    /// Runs that ended with an injected 500.
    pub errors: u64,
    /// Runs by `Idempotency-Key`.
    pub keys: BTreeMap<String, KeyRuns>,
}

/// A run in progress. It counts as cancelled when it is dropped before its end.
pub(super) struct Run {
    state: State,
    key: Option<String>,
    /// Number of the run, from 1.
    pub number: u64,
    ended: bool,
}

impl Run {
    /// Enters the start of a run.
    pub(super) fn begin(state: &State, key: Option<String>) -> Run {
        let mut ledger = state.ledger();
        ledger.runs += 1;
        if let Some(key) = &key {
            ledger.keys.entry(key.clone()).or_default().runs += 1;
        }
        let number = ledger.runs;
        drop(ledger);
        Run { state: State::clone(state), key, number, ended: false }
    }

    /// Enters the end of the run.
    pub(super) fn complete(mut self) -> u64 {
        self.ended = true;
        let mut ledger = self.state.ledger();
        ledger.completed += 1;
        if let Some(runs) = self.key.as_ref().and_then(|key| ledger.keys.get_mut(key)) {
            runs.completed += 1;
        }
        self.number
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.state.ledger().cancelled += 1;
        }
    }
}
