//! HTTP/1.1 client for the backend server on the same VM, with connection reuse.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    ops::RangeInclusive,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use futures_lite::io::{AsyncRead, AsyncWrite};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use shallottack_fleet::RateLimit;
use shallottack_http::{
    Body, BodyBuffer, ConnectionGuard, Kind, MemoryBudget, PacedStream, Reservation,
    spawn_connection,
};
use shallottack_kernel::EndpointId;
use shallottack_site::headers;
use smallvec::SmallVec;
use smol_hyper::rt::FuturesIo;

/// Timeout for opening a connection on the same VM; a fully loaded backend server takes some
/// milliseconds to accept one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for an idle connection to become ready for another request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// How long an idle connection may be reused when the backend server states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the stated keep-alive timeout during which a connection is reused, so that the
/// backend server does not close it while a request is in flight.
const IDLE_FRACTION: f64 = 0.7;
/// Time after the deadline in which the backend server can still report that it was exceeded.
const RESPONSE_SLACK: Duration = Duration::from_millis(30);
/// Largest response body in bytes; bodies are buffered in memory.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Largest head of a response, and largest read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most interim responses before the response to a request.
const MAX_INTERIM: u32 = 16;
/// Status codes of responses that end a request.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Number of refusals after which a connection is not reused, so that the list of them stays short.
const MAX_REFUSED: usize = 64;
/// Number of connections that end together when the backend server starts again; a single one may
/// end for another reason.
const MIN_LOST: usize = 2;
/// How long connections are not reused for non-idempotent requests after the backend server sent
/// bytes that belong to no request.
const DESYNC_HOLDOFF: Duration = Duration::from_secs(3);

/// A request to the backend server.
pub struct BackendRequest {
    /// Request identifier, which the backend server echoes.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without those that this module sets.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Body,
    /// Time left until the deadline.
    pub left: Duration,
    /// The only backend server that may run the request.
    pub server: EndpointId,
    /// Service on whose VM the request originated.
    pub caller: String,
    /// Organisation that sent the request, if it has one.
    pub organisation: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// What a backend server states about itself in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Rate limit, `None` if it has none, or why the stated one is invalid.
    pub rate_limit: Result<Option<RateLimit>, String>,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Default for Notice {
    fn default() -> Self {
        Notice { rate_limit: Ok(None), leaving: false }
    }
}

/// A complete response of the backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Body,
    /// What the backend server states about itself.
    pub notice: Notice,
}

/// Outcome of a request to the backend server.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// A complete response arrived.
    Answered(BackendResponse),
    /// The backend server stated that it did not run the request.
    NotRun(StatusCode, Notice),
    /// The request was not sent.
    Unsent(String),
    /// The request was sent, but the response was lost, malformed or belongs to another request.
    Broken(String),
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The deadline passed before the request was sent.
    Expired,
}

/// Stream to the backend server, which fails after too many interim responses.
struct BackendStream {
    stream: PacedStream<TcpStream>,
    /// Number of interim responses to the current request.
    interim: Arc<AtomicU32>,
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.interim.load(Relaxed) > MAX_INTERIM {
            let reason = format!("more than {MAX_INTERIM} interim responses");
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, reason)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

struct Connection {
    sender: SendRequest<Body>,
    /// Number of interim responses to the current request.
    interim: Arc<AtomicU32>,
    /// Number of requests sent before the current one.
    served: u32,
    /// Identifiers of the requests that were refused on it.
    refused: SmallVec<[String; 2]>,
    /// Closes the connection on drop, which cancels a request in progress.
    _guard: ConnectionGuard,
}

/// Response to a request that no backend server runs.
pub struct ServerStatement {
    /// The response.
    pub response: BackendResponse,
    connection: Connection,
    /// How long the connection may stay idle.
    idle: Duration,
}

impl ServerStatement {
    /// Returns whether the backend server ends the connection after the response.
    pub fn closes(&self) -> bool {
        self.idle.is_zero()
    }
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    timeout: Duration,
}

/// Client of the backend server with a pool of idle connections.
pub struct BackendClient {
    address: SocketAddr,
    /// Budget of the memory for responses.
    memory: MemoryBudget,
    idle: Mutex<Vec<IdleConnection>>,
    /// When the backend server last sent bytes that belong to no request.
    desynced_at: Mutex<Option<Instant>>,
}

impl BackendClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, memory: MemoryBudget) -> BackendClient {
        let (idle, desynced_at) = (Mutex::default(), Mutex::default());
        BackendClient { address, memory, idle, desynced_at }
    }

    /// Sends a request and returns its outcome.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(&self, outgoing: BackendRequest) -> ExchangeOutcome {
        let allowed = outgoing.left;
        let within = allowed + RESPONSE_SLACK;
        let idempotent = outgoing.idempotent;
        let id = outgoing.id.clone();
        let mut request = match build_request(outgoing, self.address) {
            Ok(request) => request,
            Err(error) => return ExchangeOutcome::Unsent(error),
        };
        let started = Instant::now();
        loop {
            let pooled = self.checkout(&id, idempotent).await;
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(error) => return ExchangeOutcome::Unsent(error),
                },
            };
            if started.elapsed() >= allowed {
                return ExchangeOutcome::Expired;
            }
            let left = within.saturating_sub(started.elapsed());
            connection.interim.store(0, Relaxed);
            let interim = Arc::clone(&connection.interim);
            on_informational(&mut request, move |_| {
                interim.fetch_add(1, Relaxed);
            });
            let exchange = async {
                match connection.sender.try_send_request(request).await {
                    Ok(response) => {
                        let reservation = self.memory.open(Kind::Response);
                        Ok(read_response(response, reservation).await)
                    }
                    Err(mut error) => match error.take_message() {
                        // The connection was already closed, so nothing was sent.
                        Some(unsent) => Err(unsent),
                        None => Ok(Err(error.into_error().to_string())),
                    },
                }
            };
            match timeout(left, exchange).await {
                Err(_) => return ExchangeOutcome::TimedOut,
                Ok(Err(unsent)) => request = unsent,
                Ok(Ok(Err(error))) => return ExchangeOutcome::Broken(error),
                Ok(Ok(Ok((response, idle)))) => {
                    return self.classify(&id, response, connection, idle);
                }
            }
        }
    }

    /// Sends a request that no backend server runs, since its target is none of them, on a connection
    /// of its own.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response.
    pub async fn ask(&self, request: BackendRequest) -> Result<ServerStatement, String> {
        let left = request.left;
        let request = build_request(request, self.address)?;
        let asking = async {
            let mut connection = self.connect().await?;
            let response =
                connection.sender.send_request(request).await.map_err(|it| it.to_string())?;
            let reservation = self.memory.open(Kind::Response);
            let (response, idle) = read_response(response, reservation).await?;
            Ok(ServerStatement { response, connection, idle })
        };
        timeout(left, asking).await.unwrap_or_else(|_| Err("no response in time".to_owned()))
    }

    /// Keeps the connection of a response to [`BackendClient::ask`] for requests.
    pub fn keep_connection(&self, ServerStatement { connection, idle, .. }: ServerStatement) {
        self.release(connection, idle);
    }

    /// Returns whether no process accepts connections at the address of the backend server.
    pub async fn refuses_connections(&self) -> bool {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns whether the backend server has ended all connections that it would have kept open, as
    /// it does when it starts again; they are then forgotten.
    pub fn take_lost_connections(&self) -> bool {
        let mut idle = self.idle();
        let mut kept = 0;
        let is_closed = |it: &IdleConnection| it.connection.sender.is_closed();
        let mut unexpired = idle.iter().filter(|it| it.since.elapsed() < it.timeout);
        let lost = unexpired.all(|it| {
            kept += 1;
            is_closed(it)
        });
        let lost = lost && kept >= MIN_LOST;
        if lost {
            idle.clear();
        }
        lost
    }

    /// Closes all idle connections, for example after the backend server was replaced.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the backend server sent bytes that belong to no request.
    fn mark_desynced(&self) {
        *self.desynced_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.close_idle();
    }

    fn recently_desynced(&self) -> bool {
        let desynced_at = self.desynced_at.lock().unwrap_or_else(PoisonError::into_inner);
        desynced_at.is_some_and(|it| it.elapsed() < DESYNC_HOLDOFF)
    }

    /// Takes the most recently used idle connection that may still be reused.
    ///
    /// Non-idempotent requests only reuse connections in the first half of the idle timeout, and
    /// none after a recent desynchronisation.
    /// A request that was refused on a connection is not repeated on it: if the backend server writes
    /// the refusal once more, it could not be told from the response to the repeated request.
    async fn checkout(&self, id: &str, idempotent: bool) -> Option<Connection> {
        if !idempotent && self.recently_desynced() {
            return None;
        }
        loop {
            let pooled = self.idle().pop()?;
            let age = pooled.since.elapsed();
            let usable = if idempotent { age < pooled.timeout } else { age < pooled.timeout / 2 };
            let refused = pooled.connection.refused.iter().any(|it| it == id);
            if !usable || refused || pooled.connection.sender.is_closed() {
                continue;
            }
            let mut connection = pooled.connection;
            // A connection that does not become ready was closed or holds unsolicited bytes.
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Connection, String> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connecting.map_err(|it| it.to_string())?.map_err(|it| it.to_string())?;
        stream.set_nodelay(true).map_err(|it| it.to_string())?;
        let interim = Arc::<AtomicU32>::default();
        let stream =
            BackendStream { stream: PacedStream::new(stream), interim: Arc::clone(&interim) };
        let handshake = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .writev(true)
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|it| it.to_string())?;
        metrics::counter!("shallottack_backend_connections_total").increment(1);
        Ok(Connection {
            sender,
            interim,
            served: 0,
            refused: SmallVec::new(),
            _guard: spawn_connection(connection),
        })
    }

    /// Checks that a response belongs to the request, and returns the connection to the pool if so.
    fn classify(
        &self,
        id: &str,
        response: BackendResponse,
        mut connection: Connection,
        idle: Duration,
    ) -> ExchangeOutcome {
        let status = response.status;
        let echoed = headers::request_id(&response.headers);
        if echoed.is_some_and(|it| it != id) {
            self.mark_desynced();
            return ExchangeOutcome::Broken("response to another request".to_owned());
        }
        // Callers would take it for an interim response, or for none.
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            self.mark_desynced();
            return ExchangeOutcome::Broken(format!("status {status} is not that of a response"));
        }
        if headers::not_run(status.as_u16(), &response.headers) {
            // Without an identifier it may refuse an earlier request of the connection.
            if echoed.is_none() && connection.served > 0 {
                self.mark_desynced();
                return ExchangeOutcome::Broken("refusal of an unknown request".to_owned());
            }
            connection.refused.push(id.to_owned());
            self.release(connection, idle);
            return ExchangeOutcome::NotRun(status, response.notice);
        }
        // Callers take these statuses for a statement that the request did not run.
        if matches!(status.as_u16(), 408 | 429 | 503) {
            return ExchangeOutcome::Broken(format!("status {status} after the request was sent"));
        }
        if status.is_success() && !response.headers.contains_key(headers::SIGNATURE) {
            self.mark_desynced();
            return ExchangeOutcome::Broken("response without a signature".to_owned());
        }
        self.release(connection, idle);
        ExchangeOutcome::Answered(response)
    }

    /// Returns a connection to the pool for reuse within `idle`.
    fn release(&self, mut connection: Connection, idle: Duration) {
        connection.served += 1;
        let many_refused = connection.refused.len() >= MAX_REFUSED;
        if !idle.is_zero() && !many_refused && !connection.sender.is_closed() {
            self.idle().push(IdleConnection { connection, since: Instant::now(), timeout: idle });
        }
    }
}

fn build_request(outgoing: BackendRequest, address: SocketAddr) -> Result<Request<Body>, String> {
    let length = outgoing.body.len();
    let sends_body = length > 0 || outgoing.method == Method::POST;
    let mut request = Request::new(outgoing.body);
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.target.parse().map_err(|it| format!("{it}"))?;
    let request_headers = request.headers_mut();
    *request_headers = outgoing.headers;
    if !request_headers.contains_key(header::HOST) {
        let host = address.to_string();
        request_headers.insert(header::HOST, host.parse().map_err(|it| format!("{it}"))?);
    }
    if sends_body {
        request_headers.insert(header::CONTENT_LENGTH, length.into());
    }
    request_headers.insert(headers::DEADLINE, (outgoing.left.as_millis() as u64).into());
    let text = |it: &str| it.parse().map_err(|it| format!("{it}"));
    request_headers.insert(headers::TARGET, text(outgoing.server.as_str())?);
    request_headers.insert(headers::CALLER, text(&outgoing.caller)?);
    headers::remove_identity(request_headers);
    if let Some(name) = &outgoing.organisation {
        let name = HeaderValue::from_bytes(name.as_bytes()).map_err(|it| it.to_string())?;
        request_headers.insert(headers::ORGANISATION, name);
    }
    Ok(request)
}

/// Reads a complete response.
///
/// Also returns how long its connection may stay idle, zero if it must not be reused.
async fn read_response(
    response: http::Response<hyper::body::Incoming>,
    reservation: Reservation,
) -> Result<(BackendResponse, Duration), String> {
    let (mut head, body) = response.into_parts();
    let closes = head.headers.get_all(header::CONNECTION).iter().any(|it| {
        it.to_str().is_ok_and(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")))
    });
    let idle = match headers::keep_alive(&head.headers) {
        _ if closes => Duration::ZERO,
        Some(stated) => stated.mul_f64(IDLE_FRACTION),
        None => DEFAULT_IDLE_TIMEOUT,
    };
    let body = read_body(body, reservation).await?;
    let notice = Notice {
        rate_limit: headers::rate_limit(&head.headers),
        leaving: headers::leaving(&head.headers),
    };
    headers::strip_connection_headers(&mut head.headers);
    Ok((BackendResponse { status: head.status, headers: head.headers, body, notice }, idle))
}

/// Reads a complete body, as far as there is memory for it.
///
/// The memory for a body of known length is reserved before any of it is read, so that it does not
/// have to be given up halfway.
async fn read_body(
    mut body: hyper::body::Incoming,
    mut reservation: Reservation,
) -> Result<Body, String> {
    let mut bytes = BodyBuffer::default();
    let stated = body.size_hint().exact().unwrap_or(0);
    if stated > MAX_BODY_BYTES as u64 {
        return Err(format!("response body of {stated} bytes exceeds {MAX_BODY_BYTES} bytes"));
    }
    reservation.grow(stated as usize).await.map_err(|it| it.to_string())?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|it| it.to_string())?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(format!("response body exceeds {MAX_BODY_BYTES} bytes"));
        }
        if length > stated as usize {
            reservation.grow(length).await.map_err(|it| it.to_string())?;
        }
        bytes.extend(&data);
    }
    Ok(bytes.finish().holding(reservation))
}
