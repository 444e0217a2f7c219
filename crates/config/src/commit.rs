//! Commit protocol for configuration changes, as a state machine without I/O.
//!
//! [`Commit`] handles one submitted change. Each attempt reads the head row, the write row of the
//! change's id and the change rows since the base, in this order. It ends with a transaction that
//! is conditional on the head row's revision and on the absence of the write row.
//!
//! The head row must be read before the write row: when the write row is then absent, no
//! transaction that requires an earlier revision of the head row has committed or can still commit.

mod check;
mod epoch;
mod rows;
mod snapshot;
mod step;

use std::{sync::Arc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};
use shallottack_kernel::{ErrorKind, Failure};

pub use check::MAX_ID_BYTES;
pub use epoch::{EpochRaise, raise_epoch};
pub use rows::{
    CHANGE_PREFIX, ChangeRow, HEAD_KEY, Head, HeadRead, WRITE_PREFIX, WriteRow, change_digest,
    change_key, decode, delta_object, delta_of, encode, hex_digest, snapshot_object, write_key,
};
pub use snapshot::{
    RETAINED_CHANGES, RETAINED_SNAPSHOTS, ReadPlan, Removals, SNAPSHOT_INTERVAL, UnusableObjects,
    plan_read, record_snapshot, removals, snapshot_due,
};
pub use step::{Accepted, Condition, Outcome, RowWrite, Step, Transaction};

use crate::{Catalog, Change, Delta, Version};

/// Timings and limits of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Upper bound of the random wait before the second attempt; doubles with each further attempt.
    pub initial_backoff: Duration,
    /// Upper bound of the wait between any two attempts.
    pub max_backoff: Duration,
    /// Time after which an operator may retry a change that was given up.
    pub retry_after: Duration,
    /// Maximum number of versions between the base of a change and the head, which bounds the rows
    /// read per change.
    pub max_behind: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_attempts: 8,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            retry_after: Duration::from_secs(2),
            max_behind: 1_024,
        }
    }
}

/// Change as received by a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The change.
    pub change: Change,
    /// Name of the operator.
    pub operator: Arc<str>,
    /// Whether to only check the change, without writing it.
    pub dry_run: bool,
    /// Whether an earlier request with the same id ended without the operator learning its outcome.
    ///
    /// A transaction of that request may still take effect, so a platform outage alone never makes
    /// this one fail as not applied. A daemon drops the commit of an operator whose connection has
    /// ended, so the earlier request makes no further attempts in the meantime.
    pub repeat: bool,
}

/// Step whose outcome is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Start,
    Head,
    WriteRow,
    Changes,
    Catalog,
    Object,
    Transaction,
    Wait,
    Ended,
}

/// State machine that commits one submitted change.
#[derive(Debug, Clone)]
pub struct Commit {
    request: Request,
    settings: Settings,
    digest: Arc<str>,
    phase: Phase,
    attempts: u32,
    head: Option<HeadRead>,
    /// Highest version of which the daemon holds a catalog; a table behind it was restored.
    held: Version,
    /// Version up to which `concurrent` has the changes since the base.
    checked: Version,
    /// Changes committed since the base.
    concurrent: Vec<ChangeRow>,
    /// Head revision of a transaction that may have taken effect or may still do so.
    unresolved: Option<Option<u64>>,
    delta: Option<Delta>,
    catalog: Option<Arc<Catalog>>,
    last_error: String,
}

impl Commit {
    /// Creates the state machine for a request.
    pub fn new(request: Request, settings: Settings) -> Commit {
        Commit {
            digest: change_digest(&request.change),
            checked: request.change.base,
            request,
            settings,
            phase: Phase::Start,
            attempts: 0,
            head: None,
            held: Version::ZERO,
            concurrent: Vec::new(),
            unresolved: None,
            delta: None,
            catalog: None,
            last_error: String::new(),
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        match check::check_request(&self.request.change) {
            Ok(()) => self.read_head(),
            Err(failure) => self.fail(failure),
        }
    }

    /// Takes the outcome of the last step and returns the next one.
    pub fn handle(&mut self, rng: &mut dyn Rng, outcome: Outcome) -> Step {
        match (self.phase, outcome) {
            (Phase::Head, Outcome::Head(head)) => self.on_head(head),
            (Phase::WriteRow, Outcome::WriteRow(Some(row))) => self.on_write_row_found(&row),
            (Phase::WriteRow, Outcome::WriteRow(None)) => self.on_write_row_absent(),
            (Phase::Changes, Outcome::Changes(rows)) => self.on_changes(rng, rows),
            (Phase::Catalog, Outcome::Catalog(catalog)) => self.on_catalog(rng, &catalog),
            (Phase::Object, Outcome::Stored) => self.transact(),
            (Phase::Transaction, Outcome::Committed) => self.accept(),
            (Phase::Transaction, Outcome::Conflict { key }) => {
                // The row may have been changed by another daemon's transaction with the same id.
                self.unresolved = Some(self.revision());
                self.wait(rng, format!("row `{key}` was changed by another writer"))
            }
            (Phase::Transaction, Outcome::Unknown(detail)) => {
                self.unresolved = Some(self.revision());
                self.wait(rng, detail)
            }
            (Phase::Wait, Outcome::Waited) => self.read_head(),
            (Phase::Start | Phase::Wait | Phase::Ended, _) => self.unexpected(),
            // Only an unanswered transaction leaves its outcome unknown: reads have no effect, and
            // writing an object again stores the same body.
            (_, Outcome::Unavailable(detail)) => self.on_unavailable(rng, detail),
            (phase, Outcome::Unknown(detail)) if phase != Phase::Transaction => {
                self.on_unavailable(rng, detail)
            }
            _ => self.unexpected(),
        }
    }

    /// Returns the delta and the resulting catalog once this commit has ended with [`Step::Done`]
    /// through its own transaction; `None` when an earlier request had committed the change.
    pub fn result(&self) -> Option<(&Delta, &Arc<Catalog>)> {
        match self.phase {
            Phase::Ended => self.delta.as_ref().zip(self.catalog.as_ref()),
            _ => None,
        }
    }

    fn read_head(&mut self) -> Step {
        self.phase = Phase::Head;
        Step::ReadHead
    }

    fn on_head(&mut self, head: Option<HeadRead>) -> Step {
        self.head = head;
        let version = self.version();
        if version < self.held || version < self.checked {
            let seen = self.held.max(self.checked);
            let detail = format!(
                "the table is at version {version}, behind {seen}: it was restored, its epoch \
                 must be raised"
            );
            return self.give_up(ErrorKind::PlatformDown, detail);
        }
        self.phase = Phase::WriteRow;
        Step::ReadWriteRow { key: write_key(&self.request.change.id) }
    }

    fn on_write_row_found(&mut self, row: &WriteRow) -> Step {
        if row.digest != self.digest {
            let id = &self.request.change.id;
            let detail = format!("write id `{id}` was used for another change");
            return self.fail(Failure::new(ErrorKind::KeyReused, detail));
        }
        self.phase = Phase::Ended;
        self.delta = None;
        Step::Done(Accepted { version: row.version, dry_run: false })
    }

    fn on_write_row_absent(&mut self) -> Step {
        let revision = self.revision();
        if self.unresolved.is_some_and(|it| it != revision) {
            self.unresolved = None;
        }
        if self.attempts >= self.settings.max_attempts {
            let detail = format!("given up after {} attempts: {}", self.attempts, self.last_error);
            return self.give_up(ErrorKind::Overloaded, detail);
        }
        if let Err(failure) =
            check::check_base(&self.settings, self.request.change.base, self.version())
        {
            return self.fail(failure);
        }
        if self.checked < self.version() {
            self.phase = Phase::Changes;
            return Step::ReadChanges { from: self.checked, to: self.version() };
        }
        self.load_catalog()
    }

    fn on_changes(&mut self, rng: &mut dyn Rng, rows: Vec<ChangeRow>) -> Step {
        if !check::is_gapless(&rows, self.checked, self.version()) {
            return self
                .on_unavailable(rng, "the change rows since the base are incomplete".into());
        }
        if let Some(failure) = check::find_overlap(&self.request.change, &rows) {
            return self.fail(failure);
        }
        self.concurrent.extend(rows);
        self.checked = self.version();
        self.load_catalog()
    }

    fn load_catalog(&mut self) -> Step {
        self.phase = Phase::Catalog;
        Step::LoadCatalog { at_least: self.version() }
    }

    fn on_catalog(&mut self, rng: &mut dyn Rng, catalog: &Catalog) -> Step {
        let version = self.version();
        if catalog.version < version {
            let detail = format!("no catalog of version {version} available");
            return self.on_unavailable(rng, detail);
        }
        if catalog.version > version {
            self.held = catalog.version;
            self.attempts += 1;
            self.last_error = "the head row changed".to_owned();
            return self.read_head();
        }
        let delta = delta_of(&self.request.change, version, version.next());
        match check::check_result(catalog, &delta, &self.concurrent) {
            Ok(result) => self.put_object(delta, result),
            Err(failure) => self.fail(failure),
        }
    }

    fn put_object(&mut self, delta: Delta, result: Catalog) -> Step {
        if self.request.dry_run {
            self.phase = Phase::Ended;
            return Step::Done(Accepted { version: delta.to, dry_run: true });
        }
        let name = delta_object(delta.to.seq, &self.request.change.id);
        let body = encode(&delta);
        self.delta = Some(delta);
        self.catalog = Some(Arc::new(result));
        self.phase = Phase::Object;
        Step::PutObject { name, body }
    }

    fn transact(&mut self) -> Step {
        let Some(delta) = &self.delta else { return self.unexpected() };
        let head = self.head.as_ref().map(|it| it.head.clone()).unwrap_or_default();
        let change = &self.request.change;
        let write = WriteRow { version: delta.to, digest: self.digest.clone() };
        let row = ChangeRow {
            version: delta.to,
            id: change.id.clone(),
            operator: self.request.operator.clone(),
            touched: change.touched(),
            object: delta_object(delta.to.seq, &change.id),
            digest: hex_digest(&encode(delta)),
        };
        let transaction = Transaction::default()
            .when(HEAD_KEY.to_owned(), self.revision())
            .when(write_key(&change.id), None)
            .put(HEAD_KEY.to_owned(), encode(&Head { version: delta.to, ..head }))
            .put(write_key(&change.id), encode(&write))
            .put(change_key(delta.to.seq), encode(&row));
        self.phase = Phase::Transaction;
        Step::Transact(transaction)
    }

    fn accept(&mut self) -> Step {
        let Some(delta) = &self.delta else { return self.unexpected() };
        self.phase = Phase::Ended;
        Step::Done(Accepted { version: delta.to, dry_run: false })
    }

    fn on_unavailable(&mut self, rng: &mut dyn Rng, detail: String) -> Step {
        if self.attempts + 1 >= self.settings.max_attempts {
            return self.give_up(ErrorKind::PlatformDown, detail);
        }
        self.wait(rng, detail)
    }

    fn wait(&mut self, rng: &mut dyn Rng, detail: String) -> Step {
        let doubled = self.settings.initial_backoff.saturating_mul(1 << self.attempts.min(16));
        let max_micros = doubled.min(self.settings.max_backoff).as_micros() as u64;
        self.attempts += 1;
        self.last_error = detail;
        self.phase = Phase::Wait;
        Step::Wait(Duration::from_micros(rng.next_u64() % (max_micros + 1)))
    }

    /// Fails with `kind`, which says that the change was not applied, or with an unknown outcome
    /// when a transaction with this id may have taken effect.
    fn give_up(&mut self, kind: ErrorKind, detail: String) -> Step {
        if self.unresolved.is_some() || self.request.repeat {
            let detail =
                format!("{detail}; repeat the change with the same id to learn its outcome");
            return self.fail(Failure::new(ErrorKind::OutcomeUnknown, detail));
        }
        self.fail(Failure::new(kind, detail).retry_after(self.settings.retry_after))
    }

    fn fail(&mut self, failure: Failure) -> Step {
        self.phase = Phase::Ended;
        self.delta = None;
        Step::Failed(failure)
    }

    fn unexpected(&mut self) -> Step {
        self.fail(Failure::new(ErrorKind::Internal, "outcome does not match the current step"))
    }

    /// Returns the version of the head row as last read.
    fn version(&self) -> Version {
        self.head.as_ref().map_or(Version::ZERO, |it| it.head.version)
    }

    fn revision(&self) -> Option<u64> {
        self.head.as_ref().map(|it| it.revision)
    }
}
