//! Count of requests in progress, which a graceful stop waits for.

use std::sync::{Arc, atomic::Ordering::SeqCst};

use crate::node::Node;

/// One request in progress.
pub struct InProgress(Arc<Node>);

impl InProgress {
    /// Counts a request until the value is dropped.
    pub fn new(node: &Arc<Node>) -> InProgress {
        node.in_progress.fetch_add(1, SeqCst);
        InProgress(Arc::clone(node))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, SeqCst);
    }
}
