//! Tells a silent connection from a busy one.
//!
//! A ping waits behind the bytes that were sent before it, on this connection and on the links that
//! it shares with others. A late answer to a ping therefore does not end the calls of a connection;
//! it only counts as silent until the next byte arrives.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_std::task;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// Time without a byte from the other daemon, although calls are in progress, after which a
/// connection counts as silent: that between pings, and 700 ms for the answer, which a VM slowed to
/// a fifth of its speed still meets.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Rate in bytes per second at which a busy link carries the bytes of one connection at least: a
/// twentieth of 10 Mbit/s. An answer is expected after the bytes sent before.
const MIN_RATE: u64 = 64 * 1024;
/// Longest time without a byte that counts as busy.
const MAX_SILENCE: Duration = Duration::from_secs(8);

/// Progress of a connection.
#[derive(Debug)]
pub struct Watch {
    origin: Instant,
    /// Time of the last byte read, in milliseconds since `origin`.
    read_ms: AtomicU64,
    /// Start of the oldest period without a pause in which calls were in progress, likewise.
    busy_ms: AtomicU64,
    /// Number of calls in progress.
    calls: AtomicUsize,
    /// Number of bytes written since the last byte was read.
    unanswered: AtomicU64,
}

impl Watch {
    /// Creates the record of a new connection.
    pub fn new() -> Arc<Watch> {
        Arc::new(Watch {
            origin: Instant::now(),
            read_ms: AtomicU64::new(0),
            busy_ms: AtomicU64::new(0),
            calls: AtomicUsize::new(0),
            unanswered: AtomicU64::new(0),
        })
    }

    /// Records that a call begins, until the returned value is dropped.
    pub fn begin_call(self: &Arc<Watch>) -> CallGuard {
        if self.calls.fetch_add(1, Relaxed) == 0 {
            self.busy_ms.store(self.elapsed_ms(), Relaxed);
        }
        CallGuard(Arc::clone(self))
    }

    /// Returns the number of calls in progress.
    pub fn calls(&self) -> usize {
        self.calls.load(Relaxed)
    }

    /// Returns the time since the last byte was read.
    pub fn since_read(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms().saturating_sub(self.read_ms.load(Relaxed)))
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.calls() > 0 && self.time_left().is_zero()
    }

    /// Waits until the connection is silent.
    pub async fn silent(&self) {
        while !self.is_silent() {
            // Without calls there is nothing to wait for but the next one.
            let left = self.time_left();
            task::sleep(if left.is_zero() { SILENCE } else { left }).await;
        }
    }

    /// Returns the time until the connection is silent, if no byte arrives before.
    fn time_left(&self) -> Duration {
        let since = self.read_ms.load(Relaxed).max(self.busy_ms.load(Relaxed));
        let quiet = Duration::from_millis(self.elapsed_ms().saturating_sub(since));
        let queued = self.unanswered.load(Relaxed).saturating_mul(1_000) / MIN_RATE;
        (SILENCE + Duration::from_millis(queued)).min(MAX_SILENCE).saturating_sub(quiet)
    }

    fn elapsed_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

/// Counts a call as in progress until dropped.
#[derive(Debug)]
pub struct CallGuard(Arc<Watch>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Relaxed);
    }
}

/// Stream that records its progress.
#[derive(Debug)]
pub struct WatchedStream<S> {
    stream: S,
    watch: Arc<Watch>,
}

impl<S> WatchedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, watch: Arc<Watch>) -> WatchedStream<S> {
        WatchedStream { stream, watch }
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = result {
            self.watch.unanswered.fetch_add(*count as u64, Relaxed);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.watch.read_ms.store(self.watch.elapsed_ms(), Relaxed);
            self.watch.unanswered.store(0, Relaxed);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
