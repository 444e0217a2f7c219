//! Listener that serves a tide application, with limits and graceful shutdown.

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

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Interval at which a stop checks for idle connections.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most open connections. The first request of a connection over the limit is answered 503
    /// with `shallottack-run: no`; over twice the limit, connections are closed at once.
    pub connections: usize,
    /// Longest request body in bytes. A longer one is answered 413.
    pub body_bytes: usize,
    /// Time limit from the first byte of a request to the end of its head.
    pub head: Duration,
    /// Time limit for receiving the rest of a request, and for writing its response.
    pub transfer: Duration,
    /// Time after which a connection without a request is closed.
    pub idle: Duration,
    /// Time for which a connection must be idle during a stop before it is closed, so that requests
    /// that were in transit when the stop began are still served.
    pub linger: Duration,
    /// Whether a request is cancelled (its handler dropped) when the client closes the connection
    /// or shuts down its sending side.
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
    /// Connections refused because they were over the limit.
    pub refused: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Requests passed to the application.
    pub requests: u64,
    /// Requests cancelled because the client closed the connection before the response.
    pub cancelled: u64,
    /// Requests rejected because they were too slow, too large, truncated or malformed.
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
    /// Whether a stop has begun. Responses then ask the client to close the connection.
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

/// Result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Connections that were still open at the time limit and were closed.
    pub aborted: usize,
}

/// Handle of a running listener. Dropping it closes the listener and all connections at once.
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
/// Returns an I/O error if the address of the listener can't be read.
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

    /// Stops gracefully: accepts the connections that are already queued, closes the listener,
    /// serves the requests in flight and closes each connection once it has been idle for the
    /// linger time. After `limit` the remaining connections are closed.
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
            // `cancel` must be polled by an executor. The task ends without it, too.
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

/// What woke the accept loop.
enum Event {
    Accepted(io::Result<(TcpStream, SocketAddr)>),
    SweepDue,
    Stop,
}

/// Accepts connections and closes expired ones until `stop` receives a message.
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
        let sweep_due = async {
            sweep.as_mut().await;
            Event::SweepDue
        };
        let accepted = async { Event::Accepted(listener.accept().await) };
        match future::or(stopping, future::or(sweep_due, accepted)).await {
            Event::Stop => break,
            Event::SweepDue => {
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
    // The operating system has already completed the handshake of queued connections, and closing
    // the listener would reset them.
    while let Some(Ok((tcp, peer))) = future::poll_once(listener.accept()).await {
        start(&shared, &app, tcp, peer, next_id);
        next_id += 1;
    }
}

/// Spawns the task of an accepted connection, or closes it at twice the connection limit.
fn start<S>(shared: &Arc<Shared>, app: &tide::Server<S>, tcp: TcpStream, peer: SocketAddr, id: u64)
where
    S: Clone + Send + Sync + 'static,
{
    shared.counters.accepted.fetch_add(1, Relaxed);
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    // Locked until the entry is inserted, so that a task that ends at once still removes its entry.
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

async fn close_expired(shared: &Shared, stop_began: Option<Instant>) {
    let connections: Vec<_> = shared.lock().values().map(|e| Arc::clone(&e.connection)).collect();
    for connection in connections {
        connection.close_if_expired(stop_began).await;
    }
}
