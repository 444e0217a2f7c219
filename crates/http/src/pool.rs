//! Client with a connection pool per address.

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
    /// Most open connections to one address. Further requests wait.
    pub connections: usize,
    /// Time after which an idle connection is closed. It must be shorter than the server's idle
    /// timeout, so that the client closes first.
    pub idle: Duration,
    /// Time limit for opening a connection.
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
    /// Exchanges on a connection that was idle in the pool.
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
struct IdleConnection {
    tcp: TcpStream,
    since: Instant,
}

/// Connections to one address.
#[derive(Debug)]
struct Endpoint {
    idle: Mutex<Vec<IdleConnection>>,
    /// Bounded channel used as a semaphore, with one message per connection in use.
    acquire: Sender<()>,
    release: Receiver<()>,
}

impl Endpoint {
    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permit to use one connection to an endpoint.
struct Permit<'a>(&'a Endpoint);

impl<'a> Permit<'a> {
    async fn acquire(endpoint: &'a Endpoint) -> Permit<'a> {
        // Fails only if the receiver was dropped, and the endpoint owns both ends.
        endpoint.acquire.send(()).await.ok();
        Permit(endpoint)
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
    endpoints: Mutex<HashMap<SocketAddr, Arc<Endpoint>>>,
    counters: Counters,
}

/// HTTP/1.1 client with a connection pool that its clones share.
///
/// A connection returns to the pool only after a complete exchange. It is closed if the response
/// was abandoned, late or invalid. Dropping the future of [`Pool::send`] closes its connection.
#[derive(Debug, Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Pool {
        let period = (settings.idle / 4).clamp(Duration::from_millis(10), Duration::from_secs(5));
        let inner = Inner { settings, endpoints: Mutex::default(), counters: Counters::default() };
        let inner = Arc::new(inner);
        task::spawn(close_idle(Arc::downgrade(&inner), period));
        Pool { inner }
    }

    /// Sends `request` to the server at `to` and returns the complete response. The limit `within`
    /// covers the whole call, including the wait for a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error`], which indicates whether the request may have reached the server.
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

    /// Opens connections to `to` until `count` are open, and returns how many of them are idle.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] on the first connection that can't be opened.
    pub async fn preconnect(&self, to: SocketAddr, count: usize) -> Result<usize, Error> {
        let endpoint = self.endpoint(to);
        let count = count.min(self.inner.settings.connections);
        while endpoint.idle().len() + endpoint.acquire.len() < count {
            let _permit = Permit::acquire(&endpoint).await;
            let tcp = self.connect(to).await?;
            self.keep(&endpoint, tcp);
        }
        let idle_count = endpoint.idle().len();
        Ok(idle_count)
    }

    /// Closes the idle connections to `to`, for example after its server has left.
    pub fn forget(&self, to: SocketAddr) {
        self.endpoints().remove(&to);
    }

    /// Returns the number of idle connections to `to`.
    pub fn idle_connections(&self, to: SocketAddr) -> usize {
        let endpoint = self.endpoints().get(&to).map(Arc::clone);
        endpoint.map_or(0, |endpoint| endpoint.idle().len())
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
        let endpoint = self.endpoint(to);
        let _permit = Permit::acquire(&endpoint).await;
        let kept = take_idle(&endpoint, self.inner.settings.idle).await;
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
            self.keep(&endpoint, tcp);
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

    fn keep(&self, endpoint: &Endpoint, tcp: TcpStream) {
        let mut idle = endpoint.idle();
        if idle.len() < self.inner.settings.connections {
            idle.push(IdleConnection { tcp, since: Instant::now() });
        }
    }

    fn endpoint(&self, to: SocketAddr) -> Arc<Endpoint> {
        let mut endpoints = self.endpoints();
        let endpoint = endpoints.entry(to).or_insert_with(|| {
            let (acquire, release) = channel::bounded(self.inner.settings.connections.max(1));
            Arc::new(Endpoint { idle: Mutex::default(), acquire, release })
        });
        Arc::clone(endpoint)
    }

    fn endpoints(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Endpoint>>> {
        self.inner.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the most recently used idle connection that is still open and has no unread bytes. A
/// connection with unsolicited bytes is closed, as they belong to no request of this client.
async fn take_idle(endpoint: &Endpoint, limit: Duration) -> Option<TcpStream> {
    loop {
        let idle = endpoint.idle().pop()?;
        if idle.since.elapsed() < limit && peek_now(&idle.tcp).await == Peek::Empty {
            return Some(idle.tcp);
        }
    }
}

/// Closes connections that have been idle for too long, until the pool is dropped. A connection
/// that the server closed is dropped when it is next taken, or here.
async fn close_idle(pool: Weak<Inner>, period: Duration) {
    loop {
        task::sleep(period).await;
        let Some(inner) = pool.upgrade() else { return };
        let mut endpoints = inner.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints.retain(|_, endpoint| {
            let mut idle = endpoint.idle();
            idle.retain(|idle| idle.since.elapsed() < inner.settings.idle);
            !idle.is_empty() || Arc::strong_count(endpoint) > 1
        });
    }
}
