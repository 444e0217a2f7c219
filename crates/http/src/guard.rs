//! Connection task that ends when its guard is dropped.

use std::future::Future;

use async_std::{
    channel::{self, Sender},
    task,
};
use futures_lite::future;

/// Keeps a connection's task running. Dropping the last clone closes the connection and cancels the
/// exchanges in progress on it.
#[derive(Debug, Clone)]
pub struct ConnectionGuard {
    _stop: Sender<()>,
}

/// Spawns the task of a connection, which runs until the returned guard is dropped.
pub fn spawn_connection<F: Future + Send + 'static>(connection: F) -> ConnectionGuard {
    let (stop, stopped) = channel::bounded::<()>(1);
    task::spawn(async move {
        let run = async {
            // The exchanges that wait on the connection report its error.
            connection.await;
        };
        let stop = async {
            stopped.recv().await.ok();
        };
        future::or(stop, run).await;
    });
    ConnectionGuard { _stop: stop }
}
