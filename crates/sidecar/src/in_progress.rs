//! Counts requests in progress, for which a graceful stop waits.

use std::sync::{Arc, atomic::Ordering::SeqCst};

use crate::node::Node;

/// Counts a request as in progress until dropped.
pub struct InProgressGuard(Arc<Node>);

impl InProgressGuard {
    /// Counts a request as in progress.
    pub fn new(node: &Arc<Node>) -> InProgressGuard {
        node.in_progress.fetch_add(1, SeqCst);
        InProgressGuard(Arc::clone(node))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, SeqCst);
    }
}
