//! Listener that serves a tide application with limits and a graceful stop.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_std::{
    channel::{self, Receiver, Sender},
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use futures_lite::future;

use crate::connection::{self, Connection};

/// Pause after a failed accept, such as one without a free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Interval at which a stop looks for idle connections.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most open connections. A connection above it gets 503 with `shallottack-run: no` for its
    /// first request; above twice the limit it is closed at once.
    pub connections: usize,
    /// Longest request body in bytes; a longer one gets 413.
    pub body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub head: Duration,
    /// Time for the rest of the request to arrive, and for the client to take the response.
    pub transfer: Duration,
    /// Time after which a connection without a request is closed.
    pub idle: Duration,
    /// Time that a connection has to be idle during a stop before it is closed. Requests that were
    /// under way when the stop began are thereby still served.
    pub linger: Duration,
    /// Whether a request is cancelled (its handler dropped) when the client closes the connection.
    /// This includes a client that only shuts down its sending side.
    pub cancel_on_close: bool,
    /// Whether each request carries a [`RawConnection`](crate::RawConnection) as an extension.
    pub raw_connection: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 1024,
            body_bytes: 1 << 20,
            head: Duration::from_secs(5),
            transfer: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            linger: Duration::from_millis(100),
            cancel_on_close: true,
            raw_connection: false,
        }
    }
}

/// Counts of a listener since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections over the limit.
    pub refused: u64,
    /// Connections open now.
    pub open: u64,
    /// Requests handed to the application.
    pub requests: u64,
    /// Requests whose client closed the connection before the response.
    pub cancelled: u64,
    /// Requests closed for being too slow, too large, short or malformed.
    pub rejected: u64,
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub accepted: AtomicU64,
    pub refused: AtomicU64,
    pub requests: AtomicU64,
    pub cancelled: AtomicU64,
    pub rejected: AtomicU64,
    pub bytes_in: AtomicU64,
    pub bytes_out: AtomicU64,
}

/// State shared by a listener and its connections.
pub(crate) struct Shared {
    pub limits: Limits,
    pub counters: Counters,
    pub origin: Instant,
    /// Whether a stop has begun: responses tell the client to close.
    pub stopping: AtomicBool,
    connections: Mutex<HashMap<u64, Entry>>,
}

struct Entry {
    connection: Arc<Connection>,
    task: JoinHandle<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Entry>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Connections that were still open at the limit and were closed.
    pub aborted: usize,
}

/// A running listener. Dropping it closes the listener and all connections at once.
pub struct Serving {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Sender<()>,
    accepting: Option<JoinHandle<()>>,
}

/// Serves `app` on `listener` until the returned handle is stopped or dropped.
///
/// # Errors
///
/// Returns the error of the operating system when the listener has no address.
pub fn serve<S>(listener: TcpListener, app: tide::Server<S>, limits: Limits) -> io::Result<Serving>
where
    S: Clone + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        limits,
        counters: Counters::default(),
        origin: Instant::now(),
        stopping: AtomicBool::new(false),
        connections: Mutex::default(),
    });
    let (stop, stopped) = channel::bounded(1);
    let accepting = task::spawn(accept(listener, app, Arc::clone(&shared), stopped));
    Ok(Serving { shared, address, stop, accepting: Some(accepting) })
}

impl Serving {
    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts so far.
    pub fn traffic(&self) -> Traffic {
        let counters = &self.shared.counters;
        Traffic {
            accepted: counters.accepted.load(Relaxed),
            refused: counters.refused.load(Relaxed),
            open: self.shared.lock().len() as u64,
            requests: counters.requests.load(Relaxed),
            cancelled: counters.cancelled.load(Relaxed),
            rejected: counters.rejected.load(Relaxed),
            bytes_in: counters.bytes_in.load(Relaxed),
            bytes_out: counters.bytes_out.load(Relaxed),
        }
    }

    /// Stops gracefully: accepts the connections that already wait, closes the listener, serves
    /// the requests in flight and closes each connection once it has been idle for the linger
    /// time. After `limit` the remaining connections are closed.
    pub async fn stop(mut self, limit: Duration) -> Stopped {
        let began = Instant::now();
        self.shared.stopping.store(true, Relaxed);
        self.stop.try_send(()).ok();
        if let Some(accepting) = self.accepting.take() {
            accepting.await;
        }
        while !self.shared.lock().is_empty() && began.elapsed() < limit {
            close_expired(&self.shared, Some(began)).await;
            task::sleep(STOP_POLL).await;
        }
        Stopped { aborted: self.abort() }
    }

    /// Closes all connections and returns their number.
    fn abort(&mut self) -> usize {
        let remaining = std::mem::take(&mut *self.shared.lock());
        let count = remaining.len();
        for entry in remaining.into_values() {
            entry.connection.shut_down();
            // Cancelling needs an executor to poll the handle; the task ends without it too.
            task::spawn(entry.task.cancel());
        }
        count
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
        self.abort();
    }
}

enum Event {
    Accepted(io::Result<(TcpStream, SocketAddr)>),
    Swept,
    Stop,
}

async fn accept<S>(
    listener: TcpListener,
    app: tide::Server<S>,
    shared: Arc<Shared>,
    stop: Receiver<()>,
) where
    S: Clone + Send + Sync + 'static,
{
    let limits = &shared.limits;
    let shortest = limits.head.min(limits.idle).min(limits.transfer);
    let period = (shortest / 4).clamp(Duration::from_millis(5), Duration::from_secs(1));
    let mut sweep = Box::pin(task::sleep(period));
    let mut next_id = 0;
    loop {
        let stopping = async {
            stop.recv().await.ok();
            Event::Stop
        };
        let swept = async {
            sweep.as_mut().await;
            Event::Swept
        };
        let accepted = async { Event::Accepted(listener.accept().await) };
        match future::or(stopping, future::or(swept, accepted)).await {
            Event::Stop => break,
            Event::Swept => {
                close_expired(&shared, None).await;
                sweep = Box::pin(task::sleep(period));
            }
            Event::Accepted(Ok((tcp, peer))) => {
                start(&shared, &app, tcp, peer, next_id);
                next_id += 1;
            }
            Event::Accepted(Err(_)) => task::sleep(ACCEPT_RETRY).await,
        }
    }
    // The kernel has completed these connections; closing the listener would reset them.
    while let Some(Ok((tcp, peer))) = future::poll_once(listener.accept()).await {
        start(&shared, &app, tcp, peer, next_id);
        next_id += 1;
    }
}

fn start<S>(shared: &Arc<Shared>, app: &tide::Server<S>, tcp: TcpStream, peer: SocketAddr, id: u64)
where
    S: Clone + Send + Sync + 'static,
{
    shared.counters.accepted.fetch_add(1, Relaxed);
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    // Held until the entry is in place, so that a task that ends at once still removes it.
    let mut connections = shared.lock();
    let served = connections.values().filter(|entry| !entry.connection.refused());
    let refuse = served.count() >= shared.limits.connections;
    if refuse {
        shared.counters.refused.fetch_add(1, Relaxed);
        if connections.len() >= shared.limits.connections.saturating_mul(2) {
            return;
        }
    }
    let connection = Arc::new(Connection::new(Arc::clone(shared), tcp, peer, refuse));
    let running = Arc::clone(&connection);
    let (owner, app) = (Arc::clone(shared), app.clone());
    let task = task::spawn(async move {
        connection::run(running, app).await;
        owner.lock().remove(&id);
    });
    connections.insert(id, Entry { connection, task });
}

async fn close_expired(shared: &Shared, stopping: Option<Instant>) {
    let connections: Vec<_> = shared.lock().values().map(|e| Arc::clone(&e.connection)).collect();
    for connection in connections {
        connection.close_if_expired(stopping).await;
    }
}
