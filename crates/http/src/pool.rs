//! Client with kept connections to any number of addresses.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_std::{
    channel::{self, Receiver, Sender},
    future::timeout,
    net::TcpStream,
    task,
};
use tide::http::Request;

use crate::{
    Answer, Error,
    exchange::{Peek, Progress, exchange, peek_now},
};

/// Settings of a [`Pool`].
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Most open connections to one address; further requests wait.
    pub connections: usize,
    /// Time after which an unused connection is closed. It has to be shorter than the server's, so
    /// that the client rather than the server closes.
    pub idle: Duration,
    /// Time for opening one connection.
    pub connect: Duration,
    /// Longest response body in bytes.
    pub body_bytes: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connections: 128,
            idle: Duration::from_secs(20),
            connect: Duration::from_secs(1),
            body_bytes: 1 << 20,
        }
    }
}

/// Counts of a pool since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections opened.
    pub opened: u64,
    /// Exchanges on a connection that another exchange or `preconnect` left.
    pub reused: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Bytes read.
    pub bytes_in: u64,
}

#[derive(Debug, Default)]
struct Counters {
    opened: AtomicU64,
    reused: AtomicU64,
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    tcp: TcpStream,
    since: Instant,
}

/// Connections to one address.
#[derive(Debug)]
struct Lane {
    idle: Mutex<Vec<Idle>>,
    /// Bounded channel as a semaphore: one message per connection in use.
    take: Sender<()>,
    release: Receiver<()>,
}

impl Lane {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Right to use one connection of a lane.
struct Permit<'a>(&'a Lane);

impl<'a> Permit<'a> {
    async fn acquire(lane: &'a Lane) -> Permit<'a> {
        // Fails only when the receiver is gone, and the lane holds both ends.
        lane.take.send(()).await.ok();
        Permit(lane)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.release.try_recv().ok();
    }
}

#[derive(Debug)]
struct Inner {
    settings: PoolSettings,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
    counters: Counters,
}

/// HTTP/1.1 client that keeps connections; clones share them.
///
/// A connection is kept only after a complete exchange. One whose response was abandoned, late or
/// broken is closed. Dropping the future of [`Pool::send`] closes its connection.
#[derive(Debug, Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Pool {
        let period = (settings.idle / 4).clamp(Duration::from_millis(10), Duration::from_secs(5));
        let inner = Inner { settings, lanes: Mutex::default(), counters: Counters::default() };
        let inner = Arc::new(inner);
        task::spawn(close_idle(Arc::downgrade(&inner), period));
        Pool { inner }
    }

    /// Sends `request` to the server at `to` and returns its complete response, all within
    /// `within`, including the wait for a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error`], which tells whether the request can have reached the server.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request,
        within: Duration,
    ) -> Result<Answer, Error> {
        let progress = Arc::new(Progress::default());
        let answer = timeout(within, self.attempt(to, request, &progress)).await;
        let counters = &self.inner.counters;
        counters.bytes_out.fetch_add(progress.sent(), Relaxed);
        counters.bytes_in.fetch_add(progress.received(), Relaxed);
        answer.unwrap_or(Err(Error::TimedOut { sent: progress.sent() > 0 }))
    }

    /// Opens connections to `to` until `count` are open, and returns how many are unused.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] at the first connection that can't be opened.
    pub async fn preconnect(&self, to: SocketAddr, count: usize) -> Result<usize, Error> {
        let lane = self.lane(to);
        let count = count.min(self.inner.settings.connections);
        while lane.idle().len() + lane.take.len() < count {
            let _permit = Permit::acquire(&lane).await;
            let tcp = self.connect(to).await?;
            self.keep(&lane, tcp);
        }
        let unused = lane.idle().len();
        Ok(unused)
    }

    /// Closes the unused connections to `to`, for example when its server has left.
    pub fn forget(&self, to: SocketAddr) {
        self.lanes().remove(&to);
    }

    /// Returns the number of unused connections to `to`.
    pub fn idle_connections(&self, to: SocketAddr) -> usize {
        let lane = self.lanes().get(&to).map(Arc::clone);
        lane.map_or(0, |lane| lane.idle().len())
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> PoolCounts {
        let counters = &self.inner.counters;
        PoolCounts {
            opened: counters.opened.load(Relaxed),
            reused: counters.reused.load(Relaxed),
            bytes_out: counters.bytes_out.load(Relaxed),
            bytes_in: counters.bytes_in.load(Relaxed),
        }
    }

    async fn attempt(
        &self,
        to: SocketAddr,
        request: Request,
        progress: &Arc<Progress>,
    ) -> Result<Answer, Error> {
        let lane = self.lane(to);
        let _permit = Permit::acquire(&lane).await;
        let kept = take_idle(&lane, self.inner.settings.idle).await;
        let reused = kept.is_some();
        let tcp = match kept {
            Some(tcp) => tcp,
            None => self.connect(to).await?,
        };
        if reused {
            self.inner.counters.reused.fetch_add(1, Relaxed);
        }
        let limit = self.inner.settings.body_bytes;
        let (answer, reusable) = exchange(&tcp, request, reused, limit, progress).await?;
        if reusable {
            self.keep(&lane, tcp);
        }
        Ok(answer)
    }

    async fn connect(&self, to: SocketAddr) -> Result<TcpStream, Error> {
        let unreachable = |e: &dyn std::fmt::Display| Error::Unreachable(e.to_string());
        let opened = timeout(self.inner.settings.connect, TcpStream::connect(to)).await;
        let tcp = opened.map_err(|e| unreachable(&e))?.map_err(|e| unreachable(&e))?;
        tcp.set_nodelay(true).map_err(|e| unreachable(&e))?;
        self.inner.counters.opened.fetch_add(1, Relaxed);
        Ok(tcp)
    }

    fn keep(&self, lane: &Lane, tcp: TcpStream) {
        let mut idle = lane.idle();
        if idle.len() < self.inner.settings.connections {
            idle.push(Idle { tcp, since: Instant::now() });
        }
    }

    fn lane(&self, to: SocketAddr) -> Arc<Lane> {
        let mut lanes = self.lanes();
        let lane = lanes.entry(to).or_insert_with(|| {
            let (take, release) = channel::bounded(self.inner.settings.connections.max(1));
            Arc::new(Lane { idle: Mutex::default(), take, release })
        });
        Arc::clone(lane)
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Lane>>> {
        self.inner.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the most recently used connection that is still open and silent. Bytes that arrive
/// without a request belong to no request of this client, so that such a connection is closed.
async fn take_idle(lane: &Lane, limit: Duration) -> Option<TcpStream> {
    loop {
        let idle = lane.idle().pop()?;
        if idle.since.elapsed() < limit && peek_now(&idle.tcp).await == Peek::Quiet {
            return Some(idle.tcp);
        }
    }
}

/// Closes connections that are unused for too long, until the pool is dropped. One that the server
/// closed is noticed when it is next taken, or here.
async fn close_idle(pool: Weak<Inner>, period: Duration) {
    loop {
        task::sleep(period).await;
        let Some(inner) = pool.upgrade() else { return };
        let mut lanes = inner.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.retain(|_, lane| {
            let mut idle = lane.idle();
            idle.retain(|idle| idle.since.elapsed() < inner.settings.idle);
            !idle.is_empty() || Arc::strong_count(lane) > 1
        });
    }
}
