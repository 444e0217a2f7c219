//! HTTP/1.1 server connection that runs pipelined requests side by side.
//!
//! Answers go out in the order of the requests. A request that may not run beside others waits
//! for those before it, and those behind wait for it. Dropping the connection's future cancels all
//! requests on it.

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
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use futures_util::{StreamExt, stream::FuturesOrdered};
use http::{Method, Request, Response, request};

pub use parse::{ParseError, ParseProgress, ParsedRequest, Parser, SizeLimits};

/// Requests of one connection that run at once; more wait in the socket.
const MAX_AHEAD: usize = 16;
/// Bytes that are read at once while a head is expected; most heads have some 400.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// Bytes that are read at once while a body arrives.
const BODY_READ_BYTES: usize = 32 * 1024;
/// Bytes that are read ahead while `MAX_AHEAD` requests run, so that the end of the stream is seen.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time for which bytes that cross a close are read, so that they do not reset the last response.
const LINGER: Duration = Duration::from_secs(1);
/// Time between looks at a connection that is not read, to notice that its caller has gone.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Size limits of one request.
    pub sizes: SizeLimits,
    /// Longest time from the first byte of a head to its end, and between two parts of a body.
    pub head: Duration,
    /// Longest time without a request.
    pub idle: Duration,
}

/// Requests of a connection, as the application serves them.
pub trait Application: Send + Sync {
    /// Returns the limits in force.
    fn limits(&self) -> ConnectionLimits;

    /// Returns whether the last response in progress ends the connection.
    fn is_closing(&self) -> bool;

    /// Returns whether a request may run beside others of its connection.
    fn allows_parallel(&self, head: &request::Parts) -> bool;

    /// Answers a request.
    fn call(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;

    /// Answers bytes that are no request.
    fn malformed(&self, error: ParseError) -> Response<Bytes>;
}

/// How the connection goes on.
enum Step {
    /// There may be something to do.
    Again,
    /// The last response was written.
    Done,
    /// The caller has gone, or has nothing in progress.
    Gone,
}

/// A response with what its request asked for.
struct Answer {
    response: Response<Bytes>,
    head_only: bool,
    close: bool,
}

type Running<'a> = FuturesOrdered<Pin<Box<dyn Future<Output = Answer> + Send + 'a>>>;

struct Connection<'a, A> {
    application: &'a A,
    stream: &'a TcpStream,
    bytes: BytesMut,
    parser: Parser,
    running: Running<'a>,
    /// Responses in order whose turn to be written has come.
    ready: VecDeque<Answer>,
    /// A whole request that may not run beside those that run.
    held: Option<(Request<Bytes>, bool)>,
    /// Whether the requests that run may run beside others.
    parallel: bool,
    /// No further request is taken.
    last: bool,
    /// Start of the wait for the present part of a request, or for the next one.
    since: Instant,
}

/// Serves the requests of one connection until either side ends it, or `stop` is ready and no
/// request is left.
///
/// # Errors
///
/// Returns the error of the socket.
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
        running: FuturesOrdered::new(),
        ready: VecDeque::new(),
        held: None,
        parallel: true,
        last: false,
        since: Instant::now(),
    };
    let mut stop = std::pin::pin!(stop);
    loop {
        match connection.step(stop.as_mut()).await? {
            Step::Again => {}
            Step::Done => return linger(&stream).await,
            Step::Gone => return Ok(()),
        }
    }
}

impl<'a, A: Application> Connection<'a, A> {
    /// Does what can be done, or waits for something to happen.
    async fn step(&mut self, stop: Pin<&mut impl Future<Output = ()>>) -> io::Result<Step> {
        while self.start() {}
        if !self.ready.is_empty() {
            return self.write().await;
        }
        if self.last && self.is_idle() {
            return Ok(Step::Gone);
        }
        self.wait(stop).await
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.ready.is_empty() && self.held.is_none()
    }

    /// Starts the next request when it is whole and may run; returns whether it did.
    fn start(&mut self) -> bool {
        if self.running.len() + self.ready.len() >= MAX_AHEAD {
            return false;
        }
        let (request, close) = match self.held.take() {
            Some(held) => held,
            None if self.last => return false,
            None => match self.parser.next(&mut self.bytes, self.application.limits().sizes) {
                Ok(ParseProgress::Complete(parsed)) => {
                    self.since = Instant::now();
                    (parsed.request, parsed.close)
                }
                Ok(ParseProgress::Partial) => return false,
                Ok(ParseProgress::Continue) => {
                    self.running.push_back(Box::pin(async { write::go_on() }));
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
        let beside = self.running.is_empty() || (parallel && self.parallel);
        if !beside {
            self.held = Some((request, close));
            return false;
        }
        self.parallel = parallel;
        self.last |= close;
        let head_only = *request.method() == Method::HEAD;
        let application = self.application;
        self.running.push_back(Box::pin(async move {
            let response = application.call(request).await;
            Answer { response, head_only, close }
        }));
        true
    }

    /// Answers what is no request behind the requests in progress.
    fn reject(&mut self, error: ParseError) {
        self.last = true;
        let response = self.application.malformed(error);
        let answer = Answer { response, head_only: false, close: true };
        self.running.push_back(Box::pin(async move { answer }));
    }

    /// Writes the response whose turn it is, while the other requests go on.
    async fn write(&mut self) -> io::Result<Step> {
        let Some(answer) = self.ready.pop_front() else { return Ok(Step::Again) };
        // A response that closes the connection would take those behind it along.
        self.last |= self.application.is_closing();
        let tail = self.is_idle();
        let interim = answer.response.status().is_informational();
        let close = !interim && (answer.close || (self.last && tail));
        let bytes = write::encode(&answer.response, answer.head_only, close);
        let running = &mut self.running;
        let ready = &mut self.ready;
        let mut stream = self.stream;
        let write = async {
            stream.write_all(&bytes.head).await?;
            stream.write_all(&bytes.body).await
        };
        let progress = async {
            while let Some(next) = running.next().await {
                ready.push_back(next);
            }
            future::pending().await
        };
        future::or(write, progress).await?;
        if !self.is_partial() {
            self.since = Instant::now();
        }
        Ok(if close { Step::Done } else { Step::Again })
    }

    /// Returns whether a part of a request has come.
    fn is_partial(&self) -> bool {
        self.parser.in_body() || !self.bytes.is_empty()
    }

    /// Waits for a response, for bytes, for a stop or for the end of the time that the caller has.
    async fn wait(&mut self, stop: Pin<&mut impl Future<Output = ()>>) -> io::Result<Step> {
        enum Event {
            Answered(Answer),
            Read(usize),
            Expired,
            Stopped,
        }
        let limits = self.application.limits();
        let busy = !self.running.is_empty();
        let partial = self.is_partial();
        let limit = if partial { limits.head } else { limits.idle };
        let left = limit.saturating_sub(self.since.elapsed());
        let full = self.bytes.len() >= READ_AHEAD_BYTES && busy;
        let before = self.bytes.len();
        let most = if self.parser.in_body() { BODY_READ_BYTES } else { HEAD_READ_BYTES };
        let last = self.last;
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
            bytes.resize(before + most, 0);
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
            if last {
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
            Event::Read(0) => return Ok(Step::Gone),
            Event::Read(_) => {
                if !partial || self.parser.in_body() {
                    self.since = Instant::now();
                }
            }
            Event::Stopped => self.last = true,
            Event::Expired => return Ok(Step::Gone),
        }
        Ok(Step::Again)
    }
}

/// Waits until the other side has closed `stream`, which holds unread bytes.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(LOOK_EVERY).await,
        }
    }
}

/// Ends the outgoing direction and reads what still comes for a moment.
async fn linger(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    let mut reader = stream;
    let mut bytes = [0; 1_024];
    let rest = async { while reader.read(&mut bytes).await.is_ok_and(|it| it > 0) {} };
    // The caller keeps its side open; what it sends now was announced to be in vain.
    timeout(LINGER, rest).await.ok();
    Ok(())
}
