//! HTTP/1.1 server connection that runs pipelined requests concurrently.
//!
//! Responses are sent in the order of the requests. A request that may not run in parallel waits
//! for the requests before it, and later requests wait for it. Dropping the connection's future
//! cancels all requests on it.

mod parse;
mod write;

use std::{
    collections::VecDeque,
    future::Future,
    io,
    net::Shutdown,
    pin::Pin,
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, task};
use bytes::BytesMut;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use futures_util::{StreamExt, stream::FuturesOrdered};
use http::{Method, Request, Response, StatusCode, request};

use crate::{
    body::Body,
    memory::{Kind, MemoryBudget, Reservation},
    pace::Pace,
};

pub use parse::{ParseError, ParseProgress, ParsedRequest, Parser, SizeLimits};

/// Most requests of one connection in progress at once. Further ones wait in the socket.
const MAX_IN_PROGRESS: usize = 16;
/// Largest read while a head is expected; most heads have about 400 bytes.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// Largest read while a body is arriving.
const BODY_READ_BYTES: usize = 32 * 1024;
/// Most bytes that are read ahead while requests run. Reading ahead detects the end of the stream.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time for which bytes that cross the close are still read. Unread, they would reset the
/// connection, and the client could lose the last response.
const LINGER: Duration = Duration::from_secs(1);
/// Interval at which a connection that is not being read is checked for a close by the client.
const CLOSE_POLL: Duration = Duration::from_millis(100);

/// Longest wait of a request for memory, after which it is refused as not run.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Size limits of one request.
    pub sizes: SizeLimits,
    /// Time limit from the first byte of a head to its end, and between two reads of a body.
    pub head: Duration,
    /// Time after which a connection without a request is closed.
    pub idle: Duration,
}

/// Application that serves the requests of a connection.
pub trait Application: Send + Sync {
    /// Returns the current limits.
    fn limits(&self) -> ConnectionLimits;

    /// Returns whether the connection closes after the last response in progress.
    fn is_closing(&self) -> bool;

    /// Returns whether a request may run in parallel with others of its connection.
    fn allows_parallel(&self, head: &request::Parts) -> bool;

    /// Answers a request.
    fn call(&self, request: Request<Body>) -> impl Future<Output = Response<Body>> + Send;

    /// Returns the response to bytes that can't be parsed as a request.
    fn malformed(&self, error: ParseError) -> Response<Body>;

    /// Returns the budget of the memory for requests.
    fn memory(&self) -> &MemoryBudget;
}

/// Outcome of one step of a connection.
enum Step {
    /// Further steps may follow.
    Continue,
    /// The last response was written.
    Finished,
    /// The client closed the connection, a time limit expired, or no request is left.
    Closed,
}

/// A response and what its request requires of the encoding.
struct Answer {
    response: Response<Body>,
    head_only: bool,
    close: bool,
}

type Running<'a> = FuturesOrdered<Pin<Box<dyn Future<Output = Answer> + Send + 'a>>>;

struct Connection<'a, A> {
    application: &'a A,
    stream: &'a TcpStream,
    bytes: BytesMut,
    parser: Parser,
    /// Memory of the request that is arriving, and of what was read ahead.
    reservation: Reservation,
    running: Running<'a>,
    /// Completed responses that are due to be written, in order.
    ready: VecDeque<Answer>,
    /// Complete request that may not run in parallel with those in progress, and whether it closes
    /// the connection.
    waiting: Option<(Request<Body>, bool)>,
    /// Whether the requests in progress may run in parallel with others.
    parallel: bool,
    /// Whether no further request is accepted.
    draining: bool,
    /// Start of the wait for the current part of a request, or for the next request.
    wait_start: Instant,
}

/// Serves the requests of one connection until either side closes it, or until `stop` completes and
/// no request is left.
///
/// # Errors
///
/// Returns the I/O error of the socket.
pub async fn serve_pipelined<A: Application>(
    stream: TcpStream,
    application: &A,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut connection = Connection {
        application,
        stream: &stream,
        bytes: BytesMut::new(),
        parser: Parser::default(),
        reservation: application.memory().open(Kind::Request),
        running: FuturesOrdered::new(),
        ready: VecDeque::new(),
        waiting: None,
        parallel: true,
        draining: false,
        wait_start: Instant::now(),
    };
    let mut stop = std::pin::pin!(stop);
    let mut pace = Pace::default();
    loop {
        match connection.step(stop.as_mut()).await? {
            Step::Continue => pace.step(connection.parser.body_length().min(BODY_READ_BYTES)).await,
            Step::Finished => return linger(&stream).await,
            Step::Closed => return Ok(()),
        }
    }
}

impl<'a, A: Application> Connection<'a, A> {
    /// Starts the requests that may run, then writes a response or waits for an event.
    async fn step(&mut self, stop: Pin<&mut impl Future<Output = ()>>) -> io::Result<Step> {
        while self.start() {}
        if !self.ready.is_empty() {
            return self.write().await;
        }
        if self.draining && self.is_idle() {
            return Ok(Step::Closed);
        }
        self.wait(stop).await
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.ready.is_empty() && self.waiting.is_none()
    }

    /// Starts the next request if it is complete and may run. Returns whether it was started.
    fn start(&mut self) -> bool {
        if self.running.len() + self.ready.len() >= MAX_IN_PROGRESS {
            return false;
        }
        let sizes = self.sizes();
        let (request, close) = match self.waiting.take() {
            Some(waiting) => waiting,
            None if self.draining => return false,
            None => match self.parser.next(&mut self.bytes, sizes) {
                Ok(ParseProgress::Complete(parsed)) => {
                    self.wait_start = Instant::now();
                    (self.attach_memory(parsed.request), parsed.close)
                }
                Ok(ParseProgress::Partial) => return false,
                Ok(ParseProgress::Continue) => {
                    self.running.push_back(Box::pin(async { write::continue_response() }));
                    return false;
                }
                Err(error) => {
                    self.reject(error);
                    return false;
                }
            },
        };
        let (head, body) = request.into_parts();
        let parallel = self.application.allows_parallel(&head);
        let request = Request::from_parts(head, body);
        let may_start = self.running.is_empty() || (parallel && self.parallel);
        if !may_start {
            self.waiting = Some((request, close));
            return false;
        }
        self.parallel = parallel;
        self.draining |= close;
        let head_only = *request.method() == Method::HEAD;
        let application = self.application;
        self.running.push_back(Box::pin(async move {
            let mut response = application.call(request).await;
            // The client would go on waiting for the response.
            if response.status().is_informational() {
                response = Response::new(Body::default());
                *response.status_mut() = StatusCode::BAD_GATEWAY;
            }
            Answer { response, head_only, close }
        }));
        true
    }

    /// Returns the size limits, as far as the memory of the process allows them.
    fn sizes(&self) -> SizeLimits {
        let sizes = self.application.limits().sizes;
        SizeLimits { body: sizes.body.min(self.application.memory().longest_request()), ..sizes }
    }

    /// Hands the memory of a complete request over to its body.
    fn attach_memory(&mut self, request: Request<Body>) -> Request<Body> {
        if request.body().is_empty() {
            return request;
        }
        let mut next = self.application.memory().open(Kind::Request);
        self.reservation.shrink(request.body().len());
        // There is room for what was read ahead as a rule, since it was part of the memory of the
        // request; otherwise the next read waits for room.
        next.try_grow(self.bytes.len());
        let reservation = std::mem::replace(&mut self.reservation, next);
        request.map(|it| it.holding(reservation))
    }

    /// Queues the response to malformed bytes behind the requests in progress.
    fn reject(&mut self, error: ParseError) {
        self.draining = true;
        let response = self.application.malformed(error);
        let answer = Answer { response, head_only: false, close: true };
        self.running.push_back(Box::pin(async move { answer }));
    }

    /// Writes the next response while the other requests continue to run.
    async fn write(&mut self) -> io::Result<Step> {
        let Some(answer) = self.ready.pop_front() else { return Ok(Step::Continue) };
        // Only the last response may close the connection, or those behind it would be lost.
        self.draining |= self.application.is_closing();
        let is_last = self.is_idle();
        let interim = answer.response.status().is_informational();
        let close = !interim && (answer.close || (self.draining && is_last));
        let mut encoded = write::encode(answer.response, answer.head_only, close);
        let running = &mut self.running;
        let ready = &mut self.ready;
        let mut stream = self.stream;
        let write = async {
            stream.write_all(&encoded.head).await?;
            while let Some(piece) = encoded.body.next_piece() {
                stream.write_all(&piece).await?;
            }
            Ok::<_, io::Error>(())
        };
        let progress = async {
            while let Some(next) = running.next().await {
                ready.push_back(next);
            }
            future::pending().await
        };
        future::or(write, progress).await?;
        if !self.is_partial() {
            self.wait_start = Instant::now();
        }
        Ok(if close { Step::Finished } else { Step::Continue })
    }

    /// Returns whether a request has arrived in part.
    fn is_partial(&self) -> bool {
        self.parser.in_body() || !self.bytes.is_empty()
    }

    /// Waits for a response, for bytes, for a stop or for the client's time limit.
    async fn wait(&mut self, stop: Pin<&mut impl Future<Output = ()>>) -> io::Result<Step> {
        enum Event {
            Answered(Answer),
            Read(usize),
            NoMemory,
            Expired,
            Stopped,
        }
        let limits = self.application.limits();
        let busy = !self.running.is_empty();
        let partial = self.is_partial();
        let limit = if partial { limits.head } else { limits.idle };
        let left = limit.saturating_sub(self.wait_start.elapsed());
        let full = self.bytes.len() >= READ_AHEAD_BYTES && busy;
        let before = self.bytes.len();
        let read_size = if self.parser.in_body() { BODY_READ_BYTES } else { HEAD_READ_BYTES };
        let needed = before + read_size + self.parser.body_length();
        let reservation = &mut self.reservation;
        let draining = self.draining;
        let running = &mut self.running;
        let bytes = &mut self.bytes;
        let mut stream = self.stream;
        let answered = async {
            match running.next().await {
                Some(answer) => Ok(Event::Answered(answer)),
                None => future::pending().await,
            }
        };
        let read = async {
            if full {
                closed(stream).await;
                return Ok(Event::Read(0));
            }
            if !matches!(timeout(MEMORY_TIMEOUT, reservation.grow(needed)).await, Ok(Ok(()))) {
                return Ok(Event::NoMemory);
            }
            bytes.resize(before + read_size, 0);
            stream.read(&mut bytes[before..]).await.map(Event::Read)
        };
        let expired = async {
            // Requests in progress have their own time limits.
            if busy {
                future::pending::<()>().await;
            }
            task::sleep(left).await;
            Ok(Event::Expired)
        };
        let stopped = async {
            if draining {
                future::pending::<()>().await;
            }
            stop.await;
            Ok(Event::Stopped)
        };
        let event = future::or(answered, future::or(read, future::or(expired, stopped))).await;
        let count = if let Ok(Event::Read(count)) = event { count } else { 0 };
        self.bytes.truncate(before + count);
        match event? {
            Event::Answered(answer) => self.ready.push_back(answer),
            Event::Read(0) => return Ok(Step::Closed),
            Event::Read(_) => {
                if !partial || self.parser.in_body() {
                    self.wait_start = Instant::now();
                }
            }
            Event::NoMemory if partial => self.reject(ParseError::NoMemory),
            // Nobody waits for an answer; the next request stays in the socket.
            Event::NoMemory => {}
            Event::Stopped => self.draining = true,
            Event::Expired => return Ok(Step::Closed),
        }
        Ok(Step::Continue)
    }
}

/// Waits until the peer has closed `stream`, which has unread bytes.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(CLOSE_POLL).await,
        }
    }
}

/// Shuts down the sending side and discards what still arrives within `LINGER`.
async fn linger(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    let mut reader = stream;
    let mut bytes = [0; 1_024];
    let mut pace = Pace::default();
    let rest = async {
        while let Ok(count @ 1..) = reader.read(&mut bytes).await {
            pace.step(count).await;
        }
    };
    // The client may keep its side open. The last response told it that the connection closes, so
    // further requests are ignored.
    timeout(LINGER, rest).await.ok();
    Ok(())
}
