//! Carries out the steps of submitting configuration changes.

use std::sync::Arc;

use rand::rng;
use shallottack_api::Accepted;
use shallottack_config::{
    Change, Version,
    commit::{self, Commit, Outcome, Request, Step},
};
use shallottack_distribution as distribution;
use shallottack_kernel::Failure;
use shallottack_platform::CommitError;

use crate::mesh::{Mesh, StoreError, translate};

/// Service that submits changes to the platform.
pub struct Commits {
    mesh: Arc<Mesh>,
}

impl Commits {
    /// Name under which the service is registered with the kernel.
    pub const NAME: &'static str = "commits";

    /// Creates the service.
    pub fn new(mesh: Arc<Mesh>) -> Commits {
        Commits { mesh }
    }

    /// Submits a change, or only checks it when `dry_run`. A caller that does not know how an
    /// earlier request with the same id ended sets `repeat`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] whose kind tells whether the change can have been accepted.
    pub async fn submit(
        &self,
        change: Change,
        operator: &str,
        dry_run: bool,
        repeat: bool,
    ) -> Result<Accepted, Failure> {
        let base = change.base;
        let request = Request { change, operator: operator.into(), dry_run, repeat };
        let mut commit = Commit::new(request, commit::Settings::default());
        let mut step = commit.start();
        loop {
            step = match step {
                Step::Done(accepted) => {
                    self.publish(&commit).await;
                    let version = accepted.version;
                    // A repeat is answered with the version of the first time.
                    let committed = commit.result().is_some();
                    return Ok(Accepted { version, merged: committed && version != base.next() });
                }
                Step::Failed(failure) => return Err(failure),
                step => {
                    let outcome = self.carry_out(step).await;
                    commit.handle(&mut rng(), outcome)
                }
            };
        }
    }

    /// Returns the newest accepted version.
    ///
    /// # Errors
    ///
    /// Returns what went wrong when the platform does not answer.
    pub async fn head_version(&self) -> Result<Version, String> {
        let read = self.mesh.store().read_head().await.map_err(|error| error.to_string())?;
        Ok(read.map_or(Version::ZERO, |it| it.head.version))
    }

    async fn carry_out(&self, step: Step) -> Outcome {
        let store = self.mesh.store();
        let result = match step {
            Step::ReadHead => store.read_head().await.map(Outcome::Head),
            Step::ReadWriteRow { key } => self.read_write(&key).await,
            Step::ReadChanges { from, to } => {
                store.read_changes(from.seq, to.seq).await.map(Outcome::Changes)
            }
            Step::LoadCatalog { at_least } => self.load_catalog(at_least).await,
            Step::PutObject { name, body } => {
                store.put(&name, &body).await.map(|()| Outcome::Stored)
            }
            Step::Transact(transaction) => Ok(self.transact(transaction).await),
            Step::Wait(time) => {
                async_std::task::sleep(time).await;
                Ok(Outcome::Waited)
            }
            Step::Done(_) | Step::Failed(_) => Ok(Outcome::Waited),
        };
        result.unwrap_or_else(|error: StoreError| Outcome::Unavailable(error.to_string()))
    }

    async fn read_write(&self, key: &str) -> Result<Outcome, StoreError> {
        let Some(row) = self.mesh.store().platform().read(key).await? else {
            return Ok(Outcome::WriteRow(None));
        };
        let row = commit::decode(&row.value)
            .map_err(|error| StoreError::Missing(format!("`{key}`: {error}")))?;
        Ok(Outcome::WriteRow(Some(row)))
    }

    async fn load_catalog(&self, at_least: Version) -> Result<Outcome, StoreError> {
        let held = self.mesh.catalog();
        if let Some(catalog) = held.as_ref().filter(|it| it.version >= at_least) {
            return Ok(Outcome::Catalog(Arc::clone(catalog)));
        }
        let catalog = self.mesh.store().load_catalog(held.as_deref()).await?;
        Ok(Outcome::Catalog(Arc::new(catalog)))
    }

    async fn transact(&self, transaction: commit::Transaction) -> Outcome {
        match self.mesh.store().platform().commit(translate(transaction)).await {
            Ok(()) => Outcome::Committed,
            Err(CommitError::Conflict { key }) => Outcome::Conflict { key },
            Err(CommitError::Unavailable(detail)) => Outcome::Unavailable(detail),
            Err(CommitError::Unknown(detail)) => Outcome::Unknown(detail),
        }
    }

    /// Spreads the delta of an accepted change at once and writes a snapshot when one is due.
    async fn publish(&self, commit: &Commit) {
        let Some((delta, catalog)) = commit.result() else { return };
        let body: Arc<[u8]> = commit::encode(delta).into();
        self.mesh.distribution(distribution::Input::Committed(body));
        let mesh = Arc::clone(&self.mesh);
        let catalog = Arc::clone(catalog);
        // The change is accepted whether or not the snapshot can be written.
        async_std::task::spawn(async move { mesh.store().snapshot_if_due(&catalog).await });
    }
}
