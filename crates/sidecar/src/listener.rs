//! HTTP/1.1 listener with a graceful stop.

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
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};

/// Time for a request's head to arrive, which also bounds idle connections. Callers reuse
/// connections that were idle for up to 12 s at today's sites, so that this side closes later.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Notice of a stop, which any number of tasks can wait for.
#[derive(Debug, Clone)]
pub struct Stop(Receiver<Infallible>);

/// Gives the notice of a stop when it is dropped.
#[derive(Debug)]
pub struct StopSource(#[allow(dead_code, reason = "dropping it is the notice")] Sender<Infallible>);

impl Stop {
    /// Creates a notice and its source.
    pub fn new() -> (StopSource, Stop) {
        let (source, stop) = channel::bounded(1);
        (StopSource(source), Stop(stop))
    }

    /// Waits for the notice.
    pub async fn wait(&self) {
        self.0.recv().await.ok();
    }
}

/// The caller has closed its connection, so that there is nobody to answer.
#[derive(Debug, thiserror::Error)]
#[error("the caller has closed its connection")]
pub struct CallerGone;

/// Serves `handler` on `listener` until `stop`, then ends each connection after the request in
/// progress on it. `open` counts the connections.
pub async fn serve<F, R>(listener: TcpListener, stop: Stop, open: Arc<AtomicUsize>, handler: F)
where
    F: Fn(TcpStream, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Full<Bytes>>, CallerGone>> + Send + 'static,
{
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        match future::or(stopped, accept).await {
            None => return,
            Some(Ok((stream, _))) => {
                let counted = Counted::new(Arc::clone(&open));
                task::spawn(serve_connection(stream, stop.clone(), handler.clone(), counted));
            }
            // Descriptors have run out; connections that end free some.
            Some(Err(error)) => {
                log::warn!("can't accept a connection: {error}");
                task::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection<F, R>(stream: TcpStream, stop: Stop, handler: F, _counted: Counted)
where
    F: Fn(TcpStream, Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Full<Bytes>>, CallerGone>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let watched = stream.clone();
    let service = service_fn(move |request| handler(watched.clone(), request));
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let run = async {
        // The caller broke the connection off or sent what is not HTTP.
        connection.as_mut().await.ok();
        true
    };
    let stopped = async {
        stop.wait().await;
        false
    };
    if !future::or(run, stopped).await {
        connection.as_mut().graceful_shutdown();
        connection.await.ok();
    }
}

struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: Arc<AtomicUsize>) -> Counted {
        count.fetch_add(1, SeqCst);
        Counted(count)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}
