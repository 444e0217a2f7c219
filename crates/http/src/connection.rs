//! One accepted connection.

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
    stream::{HeadScan, Observer, Stream},
};

/// Longest request head that async-h1 accepts, in bytes.
const HEAD_BYTES: u64 = 8 * 1024;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// No byte of the next request has come.
    Idle,
    /// The head is arriving.
    Head,
    /// The body is arriving.
    Body,
    /// The application works.
    Running,
    /// The response is being written.
    Writing,
}

/// Direct access of a handler to its connection, for stand-ins that answer wrongly on purpose.
#[derive(Debug, Clone)]
pub struct RawConnection(TcpStream);

impl RawConnection {
    /// Writes bytes to the client ahead of the handler's response.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.0).write_all(bytes).await
    }

    /// Closes the connection, so that the client gets no further byte.
    pub fn close(&self) {
        self.0.shutdown(Shutdown::Both).ok();
    }
}

/// State of one connection.
pub(crate) struct Connection {
    shared: Arc<Shared>,
    tcp: TcpStream,
    peer: SocketAddr,
    /// Whether the connection is over the limit and only gets a refusal.
    refuse: bool,
    phase: AtomicU8,
    /// Start of the phase in microseconds after the origin of the listener.
    since: AtomicU64,
    /// Bytes of the current request.
    received: HeadScan,
}

impl Connection {
    pub(crate) fn new(
        shared: Arc<Shared>,
        tcp: TcpStream,
        peer: SocketAddr,
        refuse: bool,
    ) -> Connection {
        let since = AtomicU64::new(micros_since(shared.origin));
        let phase = AtomicU8::new(Phase::Idle as u8);
        Connection { shared, tcp, peer, refuse, phase, since, received: HeadScan::default() }
    }

    /// Returns whether the connection is over the limit and only gets a refusal.
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
        self.since.store(micros_since(self.shared.origin), Relaxed);
        self.phase.store(phase as u8, Relaxed);
    }

    fn stopping(&self) -> bool {
        self.shared.stopping.load(Relaxed)
    }

    /// Closes the socket in both directions; its task then ends unless a handler is running.
    pub(crate) fn shut_down(&self) {
        self.tcp.shutdown(Shutdown::Both).ok();
    }

    /// Closes the connection when its phase has lasted too long. During a stop, that is the
    /// linger time for an idle connection.
    pub(crate) async fn close_if_expired(&self, stopping: Option<Instant>) {
        let limits = &self.shared.limits;
        let age = Duration::from_micros(
            micros_since(self.shared.origin).saturating_sub(self.since.load(Relaxed)),
        );
        let expired = match self.phase() {
            Phase::Idle if self.refuse && stopping.is_none() => age > limits.head,
            Phase::Idle => match stopping {
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
            self.received.reset();
            self.enter(Phase::Head);
        }
        self.received.feed(bytes);
    }

    fn written(&self, count: usize) {
        self.shared.counters.bytes_out.fetch_add(count as u64, Relaxed);
    }
}

/// Serves the requests of one connection until it ends.
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

/// Answers a request whose head can't be parsed or is too long.
async fn reject_head(connection: &Arc<Connection>) {
    connection.shared.counters.rejected.fetch_add(1, Relaxed);
    connection.enter(Phase::Writing);
    let too_long = connection.received.received() >= HEAD_BYTES;
    let status =
        if too_long { StatusCode::RequestHeaderFieldsTooLarge } else { StatusCode::BadRequest };
    let mut encoder = Encoder::new(refusal(status), Method::Get);
    let mut stream = Stream::new(connection.tcp.clone(), Arc::clone(connection));
    if io::copy(&mut encoder, &mut stream).await.is_ok() {
        connection.tcp.shutdown(Shutdown::Write).ok();
        // Closing with unread bytes would reset the connection and lose the response.
        io::copy(&mut stream, &mut io::sink()).await.ok();
    }
}

/// Returns the kind from the closed list that a refusal by the listener belongs to.
fn error_kind(status: StatusCode) -> ErrorKind {
    match status {
        StatusCode::PayloadTooLarge => ErrorKind::TooLarge,
        StatusCode::RequestHeaderFieldsTooLarge => ErrorKind::HeaderTooLarge,
        StatusCode::ServiceUnavailable => ErrorKind::Overloaded,
        _ => ErrorKind::BadRequest,
    }
}

/// Returns a response to a request that was not run, after which the connection is closed.
fn refusal(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(RUN_HEADER, "no");
    response.insert_header(ERROR_HEADER, error_kind(status).as_str());
    response.insert_header(CONNECTION, "close");
    response
}

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
    // async-h1 drops what it read beyond the request. The close tells a client that pipelines that
    // its further requests were not run.
    let declared = request.len();
    let pipelined =
        move || declared.is_some_and(|len| connection.received.after_head() > len as u64);
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
    let gone = async {
        client_gone(&connection.tcp).await;
        connection.shared.counters.cancelled.fetch_add(1, Relaxed);
        Err(Error::from_str(StatusCode::BadRequest, "client closed the connection"))
    };
    future::or(app.respond(request), gone).await
}

/// Waits until the client closes the connection.
async fn client_gone(tcp: &TcpStream) {
    let mut byte = [0];
    // Bytes of a further request hide the end of the stream; the current request goes on.
    if matches!(tcp.peek(&mut byte).await, Ok(count) if count > 0) {
        future::pending::<()>().await;
    }
}

/// Replaces the body by its full content. Returns `false` when it is over the limit.
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
    // async-h1 ends a body early without an error when the client closes.
    if declared.is_some_and(|length| length != bytes.len()) {
        return Err(Error::from_str(StatusCode::BadRequest, "body shorter than Content-Length"));
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
