//! Connection whose task ends with its owner.

use std::future::Future;

use async_std::{
    channel::{self, Sender},
    task,
};
use futures_lite::future;

/// Keeps a connection's task running; dropping the last clone closes the connection, which
/// cancels what is in progress on it.
#[derive(Debug, Clone)]
pub struct ConnectionGuard {
    _stop: Sender<()>,
}

/// Runs the task of a connection until the returned value is dropped.
pub fn spawn_connection<F: Future + Send + 'static>(connection: F) -> ConnectionGuard {
    let (stop, stopped) = channel::bounded::<()>(1);
    task::spawn(async move {
        let run = async {
            // An error of the connection reaches the exchanges that wait on it.
            connection.await;
        };
        let stop = async {
            stopped.recv().await.ok();
        };
        future::or(stop, run).await;
    });
    ConnectionGuard { _stop: stop }
}
