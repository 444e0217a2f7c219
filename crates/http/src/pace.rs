//! Keeps a peer that always has bytes ready from holding the thread.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{
    future,
    io::{AsyncRead, AsyncWrite},
};

/// Number of bytes after which a task gives way to others.
const TURN_BYTES: usize = 64 * 1024;
/// Number of steps, such as reads, after which a task gives way to others; a step takes up to 50 us.
const TURN_STEPS: usize = 32;

/// Steps and bytes of a task since it last gave way.
#[derive(Debug, Default)]
pub struct Pace {
    steps: usize,
    bytes: usize,
}

impl Pace {
    /// Counts a step. Returns whether the task has to give way now.
    pub fn count(&mut self, bytes: usize) -> bool {
        self.steps += 1;
        self.bytes += bytes;
        let spent = self.steps >= TURN_STEPS || self.bytes >= TURN_BYTES;
        if spent {
            *self = Pace::default();
        }
        spent
    }

    /// Counts a step, and gives way to other tasks if it is time to.
    pub async fn step(&mut self, bytes: usize) {
        if self.count(bytes) {
            future::yield_now().await;
        }
    }
}

/// Stream whose reader and writer give way to other tasks, however many bytes are ready.
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    pace: Pace,
    /// Whether the next read or write gives way instead.
    spent: bool,
}

impl<S> PacedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> PacedStream<S> {
        PacedStream { stream, pace: Pace::default(), spent: false }
    }

    fn poll_turn(&mut self, cx: &Context<'_>) -> Poll<()> {
        if std::mem::take(&mut self.spent) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn count(&mut self, result: io::Result<usize>) -> Poll<io::Result<usize>> {
        self.spent = self.pace.count(*result.as_ref().unwrap_or(&0));
        Poll::Ready(result)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(cx));
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.count(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(cx));
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(cx));
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.count(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
