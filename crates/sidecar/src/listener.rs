//! HTTP/1.1 listener with graceful stop.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use async_std::{
    channel::{self, Receiver, Sender},
    net::{TcpListener, TcpStream},
    task,
};
use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use shallottack_http::{
    Application, Body, ConnectionLimits, MemoryBudget, ParseError, SizeLimits, serve_pipelined,
};

/// Connection limits of ports that only the platform, the backend server on the same VM and
/// operators use.
const PLATFORM_LIMITS: ConnectionLimits = ConnectionLimits {
    sizes: SizeLimits { head: 16 * 1024, body: 16 * 1024 },
    head: Duration::from_secs(10),
    idle: Duration::from_secs(60),
};

/// Stop signal that any number of tasks can wait for.
#[derive(Debug, Clone)]
pub struct StopSignal(Receiver<Infallible>);

/// Sends the stop signal when dropped.
#[derive(Debug)]
pub struct StopTrigger(
    #[allow(dead_code, reason = "dropping the sender closes the channel")] Sender<Infallible>,
);

impl StopSignal {
    /// Creates a stop signal and its trigger.
    pub fn new() -> (StopTrigger, StopSignal) {
        let (trigger, signal) = channel::bounded(1);
        (StopTrigger(trigger), StopSignal(signal))
    }

    /// Waits until the trigger is dropped.
    pub async fn wait(&self) {
        self.0.recv().await.ok();
    }
}

/// Application that handles each request with a function, one at a time per connection.
pub struct FnApplication<F> {
    /// Handler of the requests.
    pub handler: F,
    /// Budget of the memory for requests.
    pub memory: MemoryBudget,
}

impl<F, R> Application for FnApplication<F>
where
    F: Fn(Request<Bytes>) -> R + Send + Sync,
    R: Future<Output = Response<Bytes>> + Send,
{
    fn limits(&self) -> ConnectionLimits {
        PLATFORM_LIMITS
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn allows_parallel(&self, _: &http::request::Parts) -> bool {
        false
    }

    async fn call(&self, request: Request<Body>) -> Response<Body> {
        (self.handler)(request.map(|it| it.to_bytes())).await.map(Body::from)
    }

    fn malformed(&self, error: ParseError) -> Response<Body> {
        log::debug!("request on an internal port is refused: {error}");
        let mut response = Response::new(Body::default());
        *response.status_mut() = match error {
            ParseError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        };
        response
    }

    fn memory(&self) -> &MemoryBudget {
        &self.memory
    }
}

/// Serves `application` on `listener` until `stop` is signalled, then closes each connection after
/// the requests in progress on it. `open` counts the open connections.
pub async fn serve<A: Application + 'static>(
    listener: TcpListener,
    stop: StopSignal,
    open: Arc<AtomicUsize>,
    application: A,
) {
    let application = Arc::new(application);
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        match future::or(stopped, accept).await {
            None => return,
            Some(Ok((stream, _))) => {
                let guard = ConnectionGuard::new(Arc::clone(&open));
                let application = Arc::clone(&application);
                task::spawn(serve_connection(stream, stop.clone(), application, guard));
                // Connections may come as fast as they are accepted.
                future::yield_now().await;
            }
            // File descriptors are exhausted; retry when connections may have closed.
            Some(Err(error)) => {
                log::warn!("can't accept a connection: {error}");
                task::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection<A: Application>(
    stream: TcpStream,
    stop: StopSignal,
    application: Arc<A>,
    _guard: ConnectionGuard,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("can't disable Nagle's algorithm: {error}");
        return;
    }
    if let Err(error) = serve_pipelined(stream, &*application, stop.wait()).await {
        log::debug!("connection failed: {error}");
    }
}

/// Counts an open connection until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: Arc<AtomicUsize>) -> ConnectionGuard {
        count.fetch_add(1, SeqCst);
        ConnectionGuard(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}
