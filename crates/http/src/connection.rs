//! Server side of one connection.

use std::{
    net::{Shutdown, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future, io};
use shallottack_kernel::ErrorKind;
use tide::http::{
    Body, Error, Method, Request, Response, StatusCode,
    headers::{CONNECTION, CONTENT_TYPE, TRANSFER_ENCODING},
};

use crate::{
    ERROR_HEADER, RUN_HEADER,
    exchange::{Peek, peek_now},
    serve::Shared,
    stream::{HeadScanner, Observer, Stream},
};

/// Longest request head in bytes; async-h1 accepts no more.
const MAX_HEAD_BYTES: u64 = 8 * 1024;

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// Waiting for the first byte of the next request.
    Idle,
    /// The request head is arriving.
    Head,
    /// The request body is arriving.
    Body,
    /// The application is handling the request.
    Running,
    /// The response is being written.
    Writing,
}

/// Gives a handler direct access to its connection, for stand-ins that send faulty responses.
#[derive(Debug, Clone)]
pub struct RawConnection(TcpStream);

impl RawConnection {
    /// Writes `bytes` to the client ahead of the handler's response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the write.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.0).write_all(bytes).await
    }

    /// Closes the connection. The client receives nothing further.
    pub fn close(&self) {
        self.0.shutdown(Shutdown::Both).ok();
    }
}

/// An accepted connection and the progress of its current request.
pub(crate) struct Connection {
    shared: Arc<Shared>,
    tcp: TcpStream,
    peer: SocketAddr,
    /// Whether the connection is over the limit and is only sent a refusal.
    refuse: bool,
    phase: AtomicU8,
    /// Start of the phase in microseconds since `Shared::origin`.
    phase_start: AtomicU64,
    /// Scanner of the current request's bytes.
    scanner: HeadScanner,
}

impl Connection {
    pub(crate) fn new(
        shared: Arc<Shared>,
        tcp: TcpStream,
        peer: SocketAddr,
        refuse: bool,
    ) -> Connection {
        let phase_start = AtomicU64::new(micros_since(shared.origin));
        let phase = AtomicU8::new(Phase::Idle as u8);
        Connection {
            shared,
            tcp,
            peer,
            refuse,
            phase,
            phase_start,
            scanner: HeadScanner::default(),
        }
    }

    /// Returns whether the connection is over the limit and is only sent a refusal.
    pub(crate) fn refused(&self) -> bool {
        self.refuse
    }

    fn phase(&self) -> Phase {
        match self.phase.load(Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Body,
            3 => Phase::Running,
            _ => Phase::Writing,
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase_start.store(micros_since(self.shared.origin), Relaxed);
        self.phase.store(phase as u8, Relaxed);
    }

    fn stopping(&self) -> bool {
        self.shared.stopping.load(Relaxed)
    }

    /// Shuts the socket down in both directions. Its task then ends unless a handler is running.
    pub(crate) fn shut_down(&self) {
        self.tcp.shutdown(Shutdown::Both).ok();
    }

    /// Closes the connection if it has exceeded the time limit of its phase. During a stop, an
    /// idle connection is closed after the linger time.
    pub(crate) async fn close_if_expired(&self, stop_began: Option<Instant>) {
        let limits = &self.shared.limits;
        let age = Duration::from_micros(
            micros_since(self.shared.origin).saturating_sub(self.phase_start.load(Relaxed)),
        );
        let expired = match self.phase() {
            Phase::Idle if self.refuse && stop_began.is_none() => age > limits.head,
            Phase::Idle => match stop_began {
                Some(began) => age.min(began.elapsed()) >= limits.linger,
                None => age > limits.idle,
            },
            Phase::Head => age > limits.head,
            Phase::Body | Phase::Writing => age > limits.transfer,
            Phase::Running => false,
        };
        if !expired || self.phase() == Phase::Idle && peek_now(&self.tcp).await == Peek::Bytes {
            return;
        }
        if self.phase() != Phase::Idle {
            self.shared.counters.rejected.fetch_add(1, Relaxed);
        }
        self.shut_down();
    }
}

impl Observer for Connection {
    fn read(&self, bytes: &[u8]) {
        self.shared.counters.bytes_in.fetch_add(bytes.len() as u64, Relaxed);
        if self.phase() == Phase::Idle {
            self.scanner.reset();
            self.enter(Phase::Head);
        }
        self.scanner.feed(bytes);
    }

    fn written(&self, count: usize) {
        self.shared.counters.bytes_out.fetch_add(count as u64, Relaxed);
    }
}

/// Serves the requests of one connection until it closes.
pub(crate) async fn run<S>(connection: Arc<Connection>, app: tide::Server<S>)
where
    S: Clone + Send + Sync + 'static,
{
    let stream = Stream::new(connection.tcp.clone(), Arc::clone(&connection));
    let endpoint = |request| answer(&connection, &app, request);
    let mut server = Server::new(stream, endpoint);
    loop {
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => connection.enter(Phase::Idle),
            Ok(ConnectionStatus::Close) => return,
            Err(_) if connection.phase() == Phase::Head => return reject_head(&connection).await,
            Err(_) => return,
        }
    }
}

/// Rejects a request whose head is malformed or too long.
async fn reject_head(connection: &Arc<Connection>) {
    connection.shared.counters.rejected.fetch_add(1, Relaxed);
    connection.enter(Phase::Writing);
    let too_long = connection.scanner.received() >= MAX_HEAD_BYTES;
    let status =
        if too_long { StatusCode::RequestHeaderFieldsTooLarge } else { StatusCode::BadRequest };
    let mut encoder = Encoder::new(refusal(status), Method::Get);
    let mut stream = Stream::new(connection.tcp.clone(), Arc::clone(connection));
    if io::copy(&mut encoder, &mut stream).await.is_ok() {
        connection.tcp.shutdown(Shutdown::Write).ok();
        // Closing a socket with unread bytes resets the connection, and the response would be lost.
        io::copy(&mut stream, &mut io::sink()).await.ok();
    }
}

/// Returns the error kind of a refusal by the listener.
fn error_kind(status: StatusCode) -> ErrorKind {
    match status {
        StatusCode::PayloadTooLarge => ErrorKind::TooLarge,
        StatusCode::RequestHeaderFieldsTooLarge => ErrorKind::HeaderTooLarge,
        StatusCode::ServiceUnavailable => ErrorKind::Overloaded,
        _ => ErrorKind::BadRequest,
    }
}

/// Returns the response to a request that was not run; the connection closes after it.
fn refusal(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(RUN_HEADER, "no");
    response.insert_header(ERROR_HEADER, error_kind(status).as_str());
    response.insert_header(CONNECTION, "close");
    response
}

/// Receives the body of `request` and returns the response to it.
async fn answer<S>(
    connection: &Connection,
    app: &tide::Server<S>,
    mut request: Request,
) -> tide::http::Result<Response>
where
    S: Clone + Send + Sync + 'static,
{
    connection.enter(Phase::Body);
    if connection.refuse {
        connection.enter(Phase::Writing);
        let mut response = refusal(StatusCode::ServiceUnavailable);
        response.insert_header("retry-after", "1");
        return Ok(response);
    }
    // async-h1 discards what it read past the end of the request. Closing the connection signals
    // to a pipelining client that its further requests were not run.
    let declared = request.len();
    let pipelined =
        move || declared.is_some_and(|len| connection.scanner.after_head() > len as u64);
    if !receive_body(&mut request, connection.shared.limits.body_bytes).await? {
        connection.shared.counters.rejected.fetch_add(1, Relaxed);
        connection.enter(Phase::Writing);
        return Ok(refusal(StatusCode::PayloadTooLarge));
    }
    request.set_peer_addr(Some(connection.peer));
    if connection.shared.limits.raw_connection {
        request.ext_mut().insert(RawConnection(connection.tcp.clone()));
    }
    connection.enter(Phase::Running);
    connection.shared.counters.requests.fetch_add(1, Relaxed);
    let mut response: Response = respond(connection, app, request).await?;
    connection.enter(Phase::Writing);
    if connection.stopping() || pipelined() {
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

/// Runs the application, cancelled if the client closes the connection and the limits say so.
async fn respond<S>(
    connection: &Connection,
    app: &tide::Server<S>,
    request: Request,
) -> tide::http::Result<Response>
where
    S: Clone + Send + Sync + 'static,
{
    if !connection.shared.limits.cancel_on_close {
        return app.respond(request).await;
    }
    let closed = async {
        client_closed(&connection.tcp).await;
        connection.shared.counters.cancelled.fetch_add(1, Relaxed);
        Err(Error::from_str(StatusCode::BadRequest, "client closed the connection"))
    };
    future::or(app.respond(request), closed).await
}

/// Waits until the client closes the connection.
async fn client_closed(tcp: &TcpStream) {
    let mut byte = [0];
    // Unread bytes of a further request hide the end of the stream; the current request continues.
    if matches!(tcp.peek(&mut byte).await, Ok(count) if count > 0) {
        future::pending::<()>().await;
    }
}

/// Reads the whole body into memory. Returns `false` if it exceeds `limit` bytes.
async fn receive_body(request: &mut Request, limit: usize) -> tide::http::Result<bool> {
    let declared = request.len();
    let chunked = request.header(TRANSFER_ENCODING).is_some();
    if !chunked && declared.is_none_or(|length| length == 0) {
        return Ok(true);
    }
    if declared.is_some_and(|length| length > limit) {
        return Ok(false);
    }
    let content_type = request.content_type();
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let body = request.take_body();
    body.take(limit as u64 + 1).read_to_end(&mut bytes).await?;
    if bytes.len() > limit {
        return Ok(false);
    }
    // If the client closes early, async-h1 ends the body without an error.
    if declared.is_some_and(|length| length != bytes.len()) {
        return Err(Error::from_str(
            StatusCode::BadRequest,
            "request body is shorter than its Content-Length",
        ));
    }
    request.set_body(Body::from_bytes(bytes));
    if let Some(mime) = content_type {
        request.insert_header(CONTENT_TYPE, mime);
    }
    Ok(true)
}

fn micros_since(origin: Instant) -> u64 {
    origin.elapsed().as_micros() as u64
}
