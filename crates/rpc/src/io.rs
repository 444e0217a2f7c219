//! Byte-counting streams, and the executor for hyper's tasks.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

/// Counters of a daemon's traffic with other daemons.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    connections: AtomicU64,
    exchanges: AtomicU64,
}

impl Traffic {
    /// Returns the number of bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of outgoing connections that were opened.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of outgoing exchanges that were started.
    pub fn exchanges(&self) -> u64 {
        self.exchanges.load(Ordering::Relaxed)
    }

    pub(crate) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_exchange(&self) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// TCP stream that adds the bytes it transfers to a [`Traffic`].
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, traffic: Arc<Traffic>) -> CountedStream {
        CountedStream { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(len)) = result {
            self.traffic.received.fetch_add(len as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(len)) = result {
            self.traffic.sent.fetch_add(len as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Executor that spawns hyper's tasks on async-std.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        async_std::task::spawn(future);
    }
}
