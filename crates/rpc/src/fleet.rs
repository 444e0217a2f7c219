//! Calls between the daemons of a fleet, over HTTP/2 connections.
//!
//! Large requests have a connection of their own, so that small ones do not wait behind their bodies.
//! Their bodies are sent when the receiver has granted them, and then as fast as it reads them: at any
//! time, no more than the window of its stream is on the way of each.

use std::{
    collections::HashMap,
    error::Error,
    future::Future,
    iter,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use async_std::{
    channel::{Receiver, bounded},
    future::timeout,
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use async_trait::async_trait;
use bytes::Bytes;
use futures_lite::{Stream, StreamExt, stream};
use hyper::{
    body::Incoming,
    client::conn::http2::{Builder as ClientBuilder, SendRequest},
    server::conn::http2::Builder as ServerBuilder,
    service::service_fn,
};
use shallottack_http::{
    Body, BodyBuffer, ConnectionGuard, Kind, MemoryBudget, PacedStream, spawn_connection,
};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::{Code, Request, Response, Status, Streaming, body::Body as RpcBody};
use tower_service::Service;

use crate::{
    Frame, PROTOCOL,
    generated::{
        fleet_client::FleetClient,
        fleet_server::{Fleet, FleetServer},
    },
    io::Spawner,
    watch::{CallGuard, Watch, WatchedStream},
};

/// Largest encoded message in bytes: a whole configuration and the descriptions of all daemons.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Time limit for opening a connection for a request. A round trip within a region takes a few milliseconds; a
/// lost first packet is sent again only after one second, too late for most requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of pings on an outgoing connection with calls in progress.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the answer to a ping, after which the connection closes. Silent connections are
/// found earlier, see [`Watch`]; this one closes them when their calls have moved elsewhere.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of pings on an accepted connection, also on an idle one; cancels the calls of a daemon
/// that disappeared, within 6 s.
const SERVER_PING_INTERVAL: Duration = Duration::from_secs(3);
/// Time limit for the answer to a ping on an accepted connection. The answer waits behind bodies on
/// the links of both VMs; ten bodies of 360 kB take 2.9 s on a link of 10 Mbit/s.
const SERVER_PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest part of a body that is on the way before the receiver has read it, in bytes. Small messages
/// of other calls wait behind it: 13 ms on a link of 10 Mbit/s. A link of 1,000 Mbit/s with a round
/// trip of 1 ms still carries 128 Mbit/s a call.
const STREAM_WINDOW_BYTES: u32 = 16 * 1024;
/// Length from which the body of a request is granted by the receiver, in bytes. A shorter one fits in
/// the window of its stream.
pub const GRANTED_BYTES: usize = STREAM_WINDOW_BYTES as usize;

/// Error of a call to another daemon; tells whether the daemon may have received it.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PeerError {
    /// Nothing was sent, or the daemon rejected the message unread.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The call failed, or its connection ended or timed out, after it may have been sent.
    #[error("call interrupted: {0}")]
    Cut(String),
}

/// How long to wait for the answer to an exchange.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeWaits {
    /// Time after which the other daemon counts as overdue.
    pub prompt: Duration,
    /// Time after which the answer is no longer awaited; not less than `prompt`.
    pub late: Duration,
}

/// Handler of received calls.
#[async_trait]
pub trait FleetHandler: Send + Sync + 'static {
    /// Runs a request with a head and a body at the backend server on the same VM as this daemon.
    async fn run(&self, head: Bytes, body: Body) -> Result<(Vec<u8>, Body), String>;
    /// Waits until the body of a request may come, which is not sent before.
    async fn grant(&self, head: Bytes, bytes: usize) -> Result<BodyTurn, String>;
    /// Refuses a request for whose body there is no memory; returns the head of the reply.
    fn refuse(&self, head: Bytes) -> Result<Vec<u8>, String>;
    /// Returns the budget of the memory for bodies.
    fn memory(&self) -> &MemoryBudget;
    /// Exchanges configuration, members, load and evidence.
    async fn sync(&self, frame: Frame) -> Result<Frame, String>;
    /// Revokes a request that has not started.
    fn revoke(&self, frame: Frame) -> Result<Frame, String>;
}

/// Whether the body of a request may come.
pub enum BodyTurn {
    /// It may come now.
    Granted(Box<dyn GrantedCall>),
    /// The request is refused; the head of the reply.
    Refused(Vec<u8>),
}

/// A request whose body may come. Dropped if the body does not come.
#[async_trait]
pub trait GrantedCall: Send {
    /// Returns the time within which the body has to come.
    fn time_left(&self) -> Duration;
    /// Records that bytes of the body have arrived.
    fn record_arrival(&mut self, bytes: usize);
    /// Runs the request at the backend server on the same VM as this daemon.
    async fn run(self: Box<Self>, body: Body) -> Result<(Vec<u8>, Body), String>;
}

/// Connection to a daemon, by what it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Exchanges, and requests with small bodies.
    Small,
    /// Requests with large bodies.
    Large,
    /// Revocations, whose answer has to arrive also while the other connections are silent.
    Control,
}

/// The closed connection returned the request before any of it was sent.
#[derive(Debug, thiserror::Error)]
#[error("connection closed before the call was sent")]
struct NotSent;

#[derive(Clone)]
struct Channel {
    sender: SendRequest<RpcBody>,
    watch: Arc<Watch>,
    _connection: ConnectionGuard,
}

impl Service<http::Request<RpcBody>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    /// Is always ready, so that a closed connection fails in `call`, which can tell that the
    /// request was not sent.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<RpcBody>) -> Self::Future {
        let sent = self.sender.try_send_request(request);
        Box::pin(async move {
            sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => NotSent.into(),
                None => error.into_error().into(),
            })
        })
    }
}

/// Connections to the other daemons of a fleet.
pub struct FleetPeers {
    open: Mutex<HashMap<(SocketAddr, Lane), Channel>>,
    /// Budget of the memory for the bodies of replies.
    memory: MemoryBudget,
}

impl FleetPeers {
    /// Creates the client without connections.
    pub fn new(memory: MemoryBudget) -> FleetPeers {
        FleetPeers { open: Mutex::default(), memory }
    }

    /// Prepares a call to the daemon at `to`, and connects to it if needed.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Unsent`] if there is no connection in time.
    pub async fn open_call(&self, to: SocketAddr, lane: Lane) -> Result<PeerCall<'_>, PeerError> {
        let (client, watch) = self.client(to, lane).await?;
        Ok(PeerCall { peers: self, to, lane, client, _call: watch.begin_call(), watch })
    }

    /// Returns whether a connection to the daemon at `to` for exchanges is open.
    pub fn is_connected(&self, to: SocketAddr) -> bool {
        self.open().get(&(to, Lane::Small)).is_some_and(|it| !it.sender.is_closed())
    }

    /// Exchanges configuration, members, load and evidence with the daemon at `to`, in at most
    /// `within`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn sync(&self, to: SocketAddr, head: Vec<u8>, within: Duration) -> PeerResult {
        let waits = ExchangeWaits { prompt: within, late: within };
        self.sync_late(to, head, waits, || ()).await
    }

    /// Exchanges the same with the daemon at `to`. Calls `overdue` when there is no answer in the
    /// prompt time, and goes on waiting for it.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in the late time either.
    pub async fn sync_late(
        &self,
        to: SocketAddr,
        head: Vec<u8>,
        waits: ExchangeWaits,
        overdue: impl FnOnce(),
    ) -> PeerResult {
        let ExchangeWaits { prompt, late } = waits;
        let mut exchange = pin!(async {
            // A silent connection is used as well: on a busy link, the packets that open another one
            // wait as long as the exchange.
            let open =
                self.open().get(&(to, Lane::Small)).filter(|it| !it.sender.is_closed()).cloned();
            let channel = match open {
                Some(channel) => channel,
                None => self.connect(to, Lane::Small, late).await?,
            };
            let _call = channel.watch.begin_call();
            let reply = client_on(channel, to)?.sync(frame(head)).await;
            self.finish(to, Lane::Small, reply)
        });
        if let Ok(answer) = timeout(prompt, exchange.as_mut()).await {
            return answer;
        }
        // The answer may only wait on a busy link, as may those to the requests. On a dead connection,
        // only this exchange goes on waiting.
        let dead = |it: &Channel| it.watch.since_read() >= prompt;
        if self.open().get(&(to, Lane::Small)).is_some_and(dead) {
            self.close(to, Lane::Small);
        }
        overdue();
        let answer = timeout(late.saturating_sub(prompt), exchange).await;
        answer.unwrap_or_else(|_| Err(PeerError::Cut("timed out".to_owned())))
    }

    /// Asks the daemon at `to` to revoke a request, in at most `within`.
    ///
    /// The connection closes after the last revocation in progress, since they are rare.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn revoke(&self, to: SocketAddr, head: Vec<u8>, within: Duration) -> PeerResult {
        let exchange = async {
            let mut call = self.open_call(to, Lane::Control).await?;
            let reply = call.client.revoke(frame(head)).await;
            let answer = self.finish(to, Lane::Control, reply);
            if call.watch.calls() == 1 {
                self.close(to, Lane::Control);
            }
            answer
        };
        let timed_out = PeerError::Cut("timed out".to_owned());
        let answer = timeout(within, exchange).await.unwrap_or(Err(timed_out));
        if answer.is_err() {
            self.close(to, Lane::Control);
        }
        answer
    }

    /// Drops the connections to a daemon that has stopped.
    pub fn disconnect(&self, to: SocketAddr) {
        self.open().retain(|(address, _), _| *address != to);
    }

    /// Drops a connection to a daemon that does not answer.
    fn close(&self, to: SocketAddr, lane: Lane) {
        self.open().remove(&(to, lane));
    }

    fn open(&self) -> MutexGuard<'_, HashMap<(SocketAddr, Lane), Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn client(
        &self,
        to: SocketAddr,
        lane: Lane,
    ) -> Result<(FleetClient<Channel>, Arc<Watch>), PeerError> {
        let usable = |it: &&Channel| !it.sender.is_closed() && !it.watch.is_silent();
        let cached = self.open().get(&(to, lane)).filter(usable).cloned();
        let channel = match cached {
            Some(channel) => channel,
            None => self.connect(to, lane, CONNECT_TIMEOUT).await?,
        };
        let watch = Arc::clone(&channel.watch);
        Ok((client_on(channel, to)?, watch))
    }

    async fn connect(
        &self,
        to: SocketAddr,
        lane: Lane,
        within: Duration,
    ) -> Result<Channel, PeerError> {
        let connecting = timeout(within, TcpStream::connect(to)).await;
        let stream = connecting.map_err(unsent)?.map_err(unsent)?;
        stream.set_nodelay(true).map_err(unsent)?;
        let watch = Watch::new();
        let stream = WatchedStream::new(PacedStream::new(stream), Arc::clone(&watch));
        let (sender, connection) = ClientBuilder::new(Spawner)
            .timer(SmolTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(unsent)?;
        let channel = Channel { sender, watch, _connection: spawn_connection(connection) };
        self.open().insert((to, lane), channel.clone());
        Ok(channel)
    }

    fn finish<T>(
        &self,
        to: SocketAddr,
        lane: Lane,
        reply: Result<Response<T>, Status>,
    ) -> Result<T, PeerError> {
        let status = match reply {
            Ok(reply) => return Ok(reply.into_inner()),
            Err(status) => status,
        };
        let mut source = Some(&status as &(dyn Error + 'static));
        while let Some(error) = source {
            if error.is::<NotSent>() {
                self.close(to, lane);
                return Err(unsent(error));
            }
            source = error.source();
        }
        // Only the other daemon states these, before it runs anything.
        if matches!(status.code(), Code::InvalidArgument | Code::FailedPrecondition) {
            return Err(unsent(status));
        }
        Err(PeerError::Cut(status.to_string()))
    }
}

fn client_on(channel: Channel, to: SocketAddr) -> Result<FleetClient<Channel>, PeerError> {
    let origin: http::Uri =
        format!("http://{to}").parse().map_err(|_| unsent("address is not a URI"))?;
    Ok(FleetClient::with_origin(channel, origin)
        .max_decoding_message_size(MAX_FRAME_BYTES)
        .max_encoding_message_size(MAX_FRAME_BYTES))
}

/// A call to another daemon that has a connection.
pub struct PeerCall<'a> {
    peers: &'a FleetPeers,
    to: SocketAddr,
    lane: Lane,
    client: FleetClient<Channel>,
    watch: Arc<Watch>,
    _call: CallGuard,
}

impl PeerCall<'_> {
    /// Returns the record of the connection's progress.
    pub fn watch(&self) -> Arc<Watch> {
        Arc::clone(&self.watch)
    }

    /// Runs a request at the backend server on the same VM as the other daemon. Returns the head and
    /// the body of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`], which tells whether the call may have reached the daemon.
    pub async fn run(mut self, head: Vec<u8>, body: Body) -> Result<(Bytes, Body), PeerError> {
        let large = body.len() >= GRANTED_BYTES;
        let (grant, granted) = bounded(1);
        let reply = if large {
            self.client.run(granted_frames(head, body, granted)).await
        } else {
            self.client.run(stream::iter(frames(head, body))).await
        };
        let mut frames = self.peers.finish(self.to, self.lane, reply)?;
        let cut = |it: Status| PeerError::Cut(it.to_string());
        let mut first = first_frame(&mut frames).await.map_err(cut)?;
        if large && first.granted {
            // The channel has room for the one message.
            grant.try_send(()).ok();
            first = first_frame(&mut frames).await.map_err(cut)?;
        }
        let mut reservation = self.peers.memory.open(Kind::Response);
        let length = first.body_bytes as usize;
        let reserved = reservation.grow(length).await;
        reserved.map_err(|it| PeerError::Cut(it.to_string()))?;
        let (head, body) = receive(first, &mut frames, |_| ()).await.map_err(cut)?;
        Ok((head, body.holding(reservation)))
    }
}

/// Result of an exchange with another daemon.
pub type PeerResult = Result<Frame, PeerError>;

fn frame(head: Vec<u8>) -> Frame {
    Frame { protocol: PROTOCOL, head: head.into(), ..Frame::default() }
}

/// Returns the head of a message, and the pieces of its body once it is granted.
///
/// The body ends early when the sender of `granted` is dropped, since the call has ended. hyper sends it
/// on otherwise after the first message of the reply, and the receiver would run the request.
fn granted_frames(
    head: Vec<u8>,
    body: Body,
    granted: Receiver<()>,
) -> impl Stream<Item = Frame> + Send {
    let first = Frame { body_bytes: body.len() as u64, ..frame(head) };
    let body = stream::once_future(async move {
        let granted_now = granted.recv().await.is_ok();
        (if granted_now { body } else { Body::default() }, granted)
    });
    let pieces = body.flat_map(|(mut body, granted)| {
        let next = move || if granted.is_closed() { None } else { body.next_piece() };
        stream::iter(iter::from_fn(next))
    });
    stream::once(first).chain(pieces.map(|it| Frame { body: it, ..frame(Vec::new()) }))
}

/// Divides a message into frames of one piece of the body each, which are encoded one by one.
fn frames(head: Vec<u8>, mut body: Body) -> impl Iterator<Item = Frame> + Send {
    let body_bytes = body.len() as u64;
    let first = Frame { body: body.next_piece().unwrap_or_default(), body_bytes, ..frame(head) };
    let rest = iter::from_fn(move || body.next_piece());
    iter::once(first).chain(rest.map(|it| Frame { body: it, ..frame(Vec::new()) }))
}

/// Receives the first frame of a message.
async fn first_frame(frames: &mut Streaming<Frame>) -> Result<Frame, Status> {
    let first = frames.message().await?;
    let first = first.ok_or_else(|| Status::invalid_argument("message without a frame"))?;
    check_protocol(&first)?;
    Ok(first)
}

/// Receives the rest of a message whose memory is reserved, and calls `arrived` with the length of each
/// part of its body.
async fn receive(
    first: Frame,
    frames: &mut Streaming<Frame>,
    mut arrived: impl FnMut(usize),
) -> Result<(Bytes, Body), Status> {
    let length = first.body_bytes as usize;
    let mut buffer = BodyBuffer::default();
    let mut left = length.checked_sub(first.body.len());
    if left != Some(0) {
        buffer.extend(&first.body);
    }
    while let Some(frame) = frames.message().await? {
        left = left.and_then(|it| it.checked_sub(frame.body.len()));
        if left.is_none() {
            break;
        }
        arrived(frame.body.len());
        buffer.extend(&frame.body);
    }
    if left != Some(0) {
        return Err(Status::invalid_argument("body of another length than stated"));
    }
    let body = if buffer.is_empty() { Body::from(first.body) } else { buffer.finish() };
    Ok((first.head, body))
}

fn check_protocol(frame: &Frame) -> Result<(), Status> {
    if frame.protocol == PROTOCOL {
        return Ok(());
    }
    let detail = format!("protocol {}, expected {PROTOCOL}", frame.protocol);
    Err(Status::failed_precondition(detail))
}

fn unsent(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unsent(error.to_string())
}

struct FleetService<H>(Arc<H>);

/// Replies to a request.
type Replies = Pin<Box<dyn Stream<Item = Result<Frame, Status>> + Send>>;

impl<H: FleetHandler> FleetService<H> {
    /// Runs a request whose body comes when it is granted.
    async fn run_granted(
        &self,
        first: Frame,
        mut messages: Streaming<Frame>,
    ) -> Result<Response<Replies>, Status> {
        let length = first.body_bytes as usize;
        let turn = self.0.grant(first.head.clone(), length).await;
        let mut call = match turn.map_err(Status::invalid_argument)? {
            BodyTurn::Granted(call) => call,
            BodyTurn::Refused(head) => return Ok(refusal(head)),
        };
        let mut reservation = self.0.memory().open(Kind::Request);
        if !reservation.try_grow(length) {
            drop(call);
            let head = self.0.refuse(first.head).map_err(Status::invalid_argument)?;
            return Ok(refusal(head));
        }
        let reply = async move {
            let within = call.time_left();
            let body = receive(first, &mut messages, |it| call.record_arrival(it));
            let body = timeout(within, body).await;
            let (_, body) = body.map_err(|_| Status::deadline_exceeded("no body in time"))??;
            call.run(body.holding(reservation)).await.map_err(Status::invalid_argument)
        };
        let grant = Frame { granted: true, ..frame(Vec::new()) };
        let reply = stream::once_future(reply).flat_map(|it| -> Replies {
            match it {
                Ok((head, body)) => Box::pin(stream::iter(frames(head, body).map(Ok))),
                Err(status) => Box::pin(stream::once(Err(status))),
            }
        });
        Ok(Response::new(Box::pin(stream::once(Ok(grant)).chain(reply))))
    }
}

fn refusal(head: Vec<u8>) -> Response<Replies> {
    Response::new(Box::pin(stream::iter(frames(head, Body::default()).map(Ok))))
}

#[async_trait]
impl<H: FleetHandler> Fleet for FleetService<H> {
    type RunStream = Replies;

    async fn run(
        &self,
        request: Request<Streaming<Frame>>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let mut messages = request.into_inner();
        let first = first_frame(&mut messages).await?;
        if first.body_bytes as usize >= GRANTED_BYTES {
            return self.run_granted(first, messages).await;
        }
        let mut reservation = self.0.memory().open(Kind::Request);
        let reply = if reservation.try_grow(first.body_bytes as usize) {
            let (head, body) = receive(first, &mut messages, |_| ()).await?;
            self.0.run(head, body.holding(reservation)).await
        } else {
            self.0.refuse(first.head).map(|it| (it, Body::default()))
        };
        let (head, body) = reply.map_err(Status::invalid_argument)?;
        Ok(Response::new(Box::pin(stream::iter(frames(head, body).map(Ok)))))
    }

    async fn sync(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        check_protocol(&frame)?;
        self.0.sync(frame).await.map(Response::new).map_err(Status::invalid_argument)
    }

    async fn revoke(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        check_protocol(&frame)?;
        self.0.revoke(frame).map(Response::new).map_err(Status::invalid_argument)
    }
}

/// Serves `handler` to the other daemons of the fleet, until the task is cancelled.
pub fn serve_fleet<H: FleetHandler>(listener: TcpListener, handler: Arc<H>) -> JoinHandle<()> {
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            // Accepting fails while file descriptors are exhausted; the listener stays usable.
            let Ok(stream) = stream else { continue };
            let service = FleetServer::new(FleetService(Arc::clone(&handler)))
                .max_decoding_message_size(MAX_FRAME_BYTES)
                .max_encoding_message_size(MAX_FRAME_BYTES);
            task::spawn(serve_connection(stream, service));
            // Connections may come as fast as they are accepted.
            task::yield_now().await;
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
    // An error means a broken connection: its calls are cancelled, and the peer opens it again.
    let _ = ServerBuilder::new(Spawner)
        .timer(SmolTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .keep_alive_interval(SERVER_PING_INTERVAL)
        .keep_alive_timeout(SERVER_PING_TIMEOUT)
        .serve_connection(FuturesIo::new(PacedStream::new(stream)), service)
        .await;
}
