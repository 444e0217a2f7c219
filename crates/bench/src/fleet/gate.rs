//! Cuts between data centres and between a data centre and the platform.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use async_trait::async_trait;
use shallottack_platform::{
    CommitError, MemoryPlatform, ObjectError, ObjectStore, ReadError, Row, Table, Transaction,
};
use shallottack_rpc::{Envelope, Handler};
use shallottackd::mesh::MeshHandler;

/// Handler that leaves messages across a cut without an answer, as a lost packet would.
pub(crate) struct Gate {
    pub(crate) inner: MeshHandler,
    pub(crate) data_centre: usize,
    pub(crate) cuts: Vec<Arc<AtomicBool>>,
}

impl Gate {
    fn is_cut(&self, envelope: &Envelope) -> bool {
        let sender = envelope.data_centre.strip_prefix("dc-").and_then(|it| it.parse().ok());
        let cut = |data_centre: usize| {
            self.cuts.get(data_centre).is_some_and(|it| it.load(Ordering::SeqCst))
        };
        sender != Some(self.data_centre) && (cut(self.data_centre) || sender.is_some_and(cut))
    }
}

#[async_trait]
impl Handler for Gate {
    async fn deliver(&self, envelope: Envelope) -> Envelope {
        if self.is_cut(&envelope) {
            return async_std::future::pending().await;
        }
        self.inner.deliver(envelope).await
    }
}

/// The platform as a data centre that may be cut off from it sees it.
pub struct CutPlatform {
    inner: MemoryPlatform,
    cut: Arc<AtomicBool>,
}

impl CutPlatform {
    /// Creates the view of a data centre whose cut is `cut`.
    pub fn new(inner: MemoryPlatform, cut: Arc<AtomicBool>) -> CutPlatform {
        CutPlatform { inner, cut }
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

const CUT: &str = "data centre is cut off";

#[async_trait]
impl Table for CutPlatform {
    async fn read(&self, key: &str) -> Result<Option<Row>, ReadError> {
        if self.is_cut() {
            return Err(ReadError(CUT.to_owned()));
        }
        self.inner.read(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, ReadError> {
        if self.is_cut() {
            return Err(ReadError(CUT.to_owned()));
        }
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<(), CommitError> {
        if self.is_cut() {
            return Err(CommitError::Unavailable(CUT.to_owned()));
        }
        self.inner.commit(transaction).await
    }
}

#[async_trait]
impl ObjectStore for CutPlatform {
    async fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        if self.is_cut() {
            return Err(ObjectError::Unavailable(CUT.to_owned()));
        }
        self.inner.get(name).await
    }

    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError> {
        if self.is_cut() {
            return Err(ObjectError::Unavailable(CUT.to_owned()));
        }
        self.inner.put(name, body).await
    }

    async fn delete(&self, name: &str) -> Result<(), ObjectError> {
        if self.is_cut() {
            return Err(ObjectError::Unavailable(CUT.to_owned()));
        }
        self.inner.delete(name).await
    }
}
