//! TCP stream that reports its bytes to an observer and coalesces small writes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
};

use async_std::net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// Number of pending bytes from which a write drains the buffer without waiting for a flush.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// Observes the bytes that pass through a [`Stream`].
pub(crate) trait Observer: Send + Sync + 'static {
    /// Called with the bytes of each read.
    fn read(&self, bytes: &[u8]);
    /// Called with the number of bytes of each write to the socket.
    fn written(&self, count: usize);
    /// Called at the end of the incoming stream.
    fn ended(&self) {}
}

/// Counts the bytes of one message and finds the end of its head.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    received: AtomicU64,
    /// Length of the head in bytes; zero until its end has been found.
    head: AtomicU64,
    /// Last four bytes received.
    tail: AtomicU32,
}

impl HeadScanner {
    /// Resets the scanner for the next message.
    pub(crate) fn reset(&self) {
        self.received.store(0, Relaxed);
        self.head.store(0, Relaxed);
        self.tail.store(0, Relaxed);
    }

    /// Returns the number of bytes received of the message so far.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Relaxed)
    }

    /// Returns the number of bytes received after the head.
    pub(crate) fn after_head(&self) -> u64 {
        self.received() - self.head.load(Relaxed)
    }

    /// Scans further bytes of the message.
    pub(crate) fn feed(&self, bytes: &[u8]) {
        let before = self.received.fetch_add(bytes.len() as u64, Relaxed);
        if self.head.load(Relaxed) > 0 {
            return;
        }
        let mut tail = self.tail.load(Relaxed);
        for (index, byte) in bytes.iter().enumerate() {
            tail = tail << 8 | u32::from(*byte);
            // async-h1 and httparse accept these two forms of the blank line that ends a head.
            let crlf = tail == u32::from_be_bytes(*b"\r\n\r\n");
            if crlf || tail as u16 == u16::from_be_bytes(*b"\n\n") {
                self.head.store(before + index as u64 + 1, Relaxed);
                return;
            }
        }
        self.tail.store(tail, Relaxed);
    }
}

/// TCP stream whose observer sees all bytes.
///
/// Writes are buffered until the flush that async-h1 issues after each message, so that head and
/// body are sent in one segment. A clone is unbuffered, because async-h1 uses a clone to send
/// `100 Continue` without a flush.
pub(crate) struct Stream<O> {
    tcp: TcpStream,
    observer: Arc<O>,
    pending: Vec<u8>,
    buffered: bool,
}

impl<O: Observer> Stream<O> {
    pub(crate) fn new(tcp: TcpStream, observer: Arc<O>) -> Stream<O> {
        Stream { tcp, observer, pending: Vec::new(), buffered: true }
    }

    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut written = 0;
        let result = loop {
            if written == self.pending.len() {
                break Poll::Ready(Ok(()));
            }
            match Pin::new(&mut self.tcp).poll_write(cx, &self.pending[written..]) {
                Poll::Ready(Ok(0)) => break Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(count)) => {
                    self.observer.written(count);
                    written += count;
                }
                Poll::Ready(Err(e)) => break Poll::Ready(Err(e)),
                Poll::Pending => break Poll::Pending,
            }
        };
        self.pending.drain(..written);
        result
    }
}

impl<O> Clone for Stream<O> {
    fn clone(&self) -> Self {
        Stream {
            tcp: self.tcp.clone(),
            observer: Arc::clone(&self.observer),
            pending: Vec::new(),
            buffered: false,
        }
    }
}

impl<O: Observer> AsyncRead for Stream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        if count == 0 && !buf.is_empty() {
            self.observer.ended();
        } else {
            self.observer.read(&buf[..count]);
        }
        Poll::Ready(Ok(count))
    }
}

impl<O: Observer> AsyncWrite for Stream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.buffered {
            let count = ready!(Pin::new(&mut self.tcp).poll_write(cx, buf))?;
            self.observer.written(count);
            return Poll::Ready(Ok(count));
        }
        if self.pending.len() >= WRITE_BUFFER_BYTES {
            ready!(self.poll_drain(cx))?;
        }
        self.pending.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_drain(cx))?;
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_drain(cx))?;
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
