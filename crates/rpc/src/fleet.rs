//! Calls between the daemons of a fleet: one HTTP/2 connection for each pair.

use std::{
    collections::HashMap,
    error::Error,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use async_trait::async_trait;
use futures_lite::StreamExt;
use hyper::{
    body::Incoming,
    client::conn::http2::{Builder as ClientBuilder, SendRequest},
    server::conn::http2::Builder as ServerBuilder,
    service::service_fn,
};
use shallottack_http::{ConnectionGuard, spawn_connection};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::{Request, Response, Status, body::Body};
use tower_service::Service;

use crate::{
    Frame, PROTOCOL,
    generated::{
        fleet_client::FleetClient,
        fleet_server::{Fleet, FleetServer},
    },
    io::Spawner,
};

/// Largest encoded frame in bytes: the largest body that the sites' configurations allow, 64 MiB,
/// with its head.
const MAX_FRAME_BYTES: usize = 65 * 1024 * 1024;
/// Time to open a connection; a round trip within a region takes a few milliseconds, and the
/// first lost packet is sent again after one second, which is too late for most requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between pings of a connection with calls in progress.
const PING_EVERY: Duration = Duration::from_millis(500);
/// Time between pings of the accepting side, also of idle connections; frees the calls of a daemon
/// that has vanished.
const SERVER_PING_EVERY: Duration = Duration::from_secs(5);
/// Time in which a ping is answered; a VM at a fifth of its speed still does.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a call to another daemon has no answer.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PeerError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The connection ended or fell silent after the call was sent.
    #[error("cut: {0}")]
    Cut(String),
}

/// Receiver of calls.
#[async_trait]
pub trait FleetHandler: Send + Sync + 'static {
    /// Runs a request at the backend server beside this daemon.
    async fn run(&self, frame: Frame) -> Result<Frame, String>;
    /// Exchanges what both daemons know.
    async fn sync(&self, frame: Frame) -> Result<Frame, String>;
}

/// The request was handed back by the connection before anything was sent.
#[derive(Debug, thiserror::Error)]
#[error("connection closed before the call was sent")]
struct HandedBack;

#[derive(Clone)]
struct Channel {
    sender: SendRequest<Body>,
    _connection: ConnectionGuard,
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    /// Is always ready: a closed connection hands the request back, which `poll_ready` can't tell.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let sent = self.sender.try_send_request(request);
        Box::pin(async move {
            sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => HandedBack.into(),
                None => error.into_error().into(),
            })
        })
    }
}

/// Connections to the other daemons of a fleet.
#[derive(Default)]
pub struct FleetPeers {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl FleetPeers {
    /// Runs a request at the backend server beside the daemon at `to`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`], which tells whether the call can have reached the daemon.
    pub async fn run(&self, to: SocketAddr, head: Vec<u8>, body: bytes::Bytes) -> PeerResult {
        let mut client = self.client(to).await?;
        let reply = client.run(frame(head, body)).await;
        self.finish(to, reply)
    }

    /// Exchanges what both daemons know, within `within`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when there is no answer in time.
    pub async fn sync(&self, to: SocketAddr, head: Vec<u8>, within: Duration) -> PeerResult {
        let exchange = async {
            let mut client = self.client(to).await?;
            let reply = client.sync(frame(head, bytes::Bytes::new())).await;
            self.finish(to, reply)
        };
        match timeout(within, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                self.disconnect(to);
                Err(PeerError::Cut("timed out".to_owned()))
            }
        }
    }

    /// Closes the connection to a daemon that has ended, or that does not answer.
    pub fn disconnect(&self, to: SocketAddr) {
        self.open().remove(&to);
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn client(&self, to: SocketAddr) -> Result<FleetClient<Channel>, PeerError> {
        let kept = self.open().get(&to).filter(|it| !it.sender.is_closed()).cloned();
        let channel = match kept {
            Some(channel) => channel,
            None => self.connect(to).await?,
        };
        let origin: http::Uri =
            format!("http://{to}").parse().map_err(|_| unsent("address is not a URI"))?;
        Ok(FleetClient::with_origin(channel, origin)
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES))
    }

    async fn connect(&self, to: SocketAddr) -> Result<Channel, PeerError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = connecting.map_err(unsent)?.map_err(unsent)?;
        stream.set_nodelay(true).map_err(unsent)?;
        let (sender, connection) = ClientBuilder::new(Spawner)
            .timer(SmolTimer::new())
            .keep_alive_interval(PING_EVERY)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(unsent)?;
        let channel = Channel { sender, _connection: spawn_connection(connection) };
        self.open().insert(to, channel.clone());
        Ok(channel)
    }

    fn finish(&self, to: SocketAddr, reply: Result<Response<Frame>, Status>) -> PeerResult {
        let status = match reply {
            Ok(reply) => return Ok(reply.into_inner()),
            Err(status) => status,
        };
        let mut source = Some(&status as &(dyn Error + 'static));
        while let Some(error) = source {
            if error.is::<HandedBack>() {
                self.disconnect(to);
                return Err(unsent(error));
            }
            source = error.source();
        }
        Err(PeerError::Cut(status.to_string()))
    }
}

/// Answer of another daemon.
pub type PeerResult = Result<Frame, PeerError>;

fn frame(head: Vec<u8>, body: bytes::Bytes) -> Frame {
    Frame { protocol: PROTOCOL, head: head.into(), body }
}

fn unsent(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unsent(error.to_string())
}

struct FleetService<H>(Arc<H>);

impl<H> FleetService<H> {
    fn check(frame: &Frame) -> Result<(), Status> {
        if frame.protocol == PROTOCOL {
            return Ok(());
        }
        let detail = format!("protocol {}, expected {PROTOCOL}", frame.protocol);
        Err(Status::failed_precondition(detail))
    }
}

#[async_trait]
impl<H: FleetHandler> Fleet for FleetService<H> {
    async fn run(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        Self::check(&frame)?;
        self.0.run(frame).await.map(Response::new).map_err(Status::invalid_argument)
    }

    async fn sync(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        Self::check(&frame)?;
        self.0.sync(frame).await.map(Response::new).map_err(Status::invalid_argument)
    }
}

/// Serves `handler` to the other daemons of the fleet, until the task is cancelled.
pub fn serve_fleet<H: FleetHandler>(listener: TcpListener, handler: Arc<H>) -> JoinHandle<()> {
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            // Accepting fails when descriptors run out; the listener itself stays usable.
            let Ok(stream) = stream else { continue };
            let service = FleetServer::new(FleetService(Arc::clone(&handler)))
                .max_decoding_message_size(MAX_FRAME_BYTES)
                .max_encoding_message_size(MAX_FRAME_BYTES);
            task::spawn(serve_connection(stream, service));
        }
    })
}

async fn serve_connection<H: FleetHandler>(
    stream: TcpStream,
    service: FleetServer<FleetService<H>>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| service.clone().call(request));
    // A broken connection is the peer's to open again; its calls are cancelled with it.
    let _ = ServerBuilder::new(Spawner)
        .timer(SmolTimer::new())
        .keep_alive_interval(SERVER_PING_EVERY)
        .keep_alive_timeout(PING_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
