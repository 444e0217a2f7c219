//! One request and its response on one connection.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    task::Poll,
};

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, future};
use tide::http::{
    Body, Method, Request, Response, StatusCode,
    headers::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, EXPECT, HeaderValues, TRANSFER_ENCODING,
    },
};

use crate::{
    Error,
    stream::{HeadScan, Observer, Stream},
};

/// Size of one read of a response body in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    head: Response,
    /// Body in full.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the last value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Returns all headers with their values.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &HeaderValues)> {
        self.head.iter().map(|(name, values)| (name.as_str(), values))
    }

    /// Returns the response with its body, for example to pass it on.
    pub fn into_response(self) -> Response {
        let Answer { mut head, body } = self;
        let content_type = head.content_type();
        head.set_body(body);
        match content_type {
            Some(mime) => drop(head.insert_header(CONTENT_TYPE, mime)),
            None => drop(head.remove_header(CONTENT_TYPE)),
        }
        head
    }
}

/// Progress of one exchange, as seen on the socket.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    sent: AtomicU64,
    response: HeadScan,
    ended: AtomicBool,
}

impl Progress {
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Relaxed)
    }

    pub(crate) fn received(&self) -> u64 {
        self.response.received()
    }
}

impl Observer for Progress {
    fn read(&self, bytes: &[u8]) {
        self.response.feed(bytes);
    }

    fn written(&self, count: usize) {
        self.sent.fetch_add(count as u64, Relaxed);
    }

    fn ended(&self) {
        self.ended.store(true, Relaxed);
    }
}

/// How a response announces the end of its body.
enum Framing {
    Empty,
    Length(usize),
    Chunked,
}

/// Sends `request` over `tcp` and reads the whole response.
///
/// Returns the response and whether the connection can be used again.
pub(crate) async fn exchange(
    tcp: &TcpStream,
    mut request: Request,
    kept: bool,
    limit: usize,
    progress: &Arc<Progress>,
) -> Result<(Answer, bool), Error> {
    // The body follows at once, so that an interim response is of no use.
    request.remove_header(EXPECT);
    let method = request.method();
    let stream = Stream::new(tcp.clone(), Arc::clone(progress));
    // On the heap, since this future alone has several kilobytes of header slots.
    let connected = Box::pin(async_h1::connect(stream, request)).await;
    let mut head = connected.map_err(|e| classify(kept, progress, e.to_string()))?;
    // async-h1 2.3 adds a malformed `Date` with a line break when the response has none.
    if head.header(DATE).is_some_and(|date| date.as_str().contains('\n')) {
        head.remove_header(DATE);
    }
    let framing = framing(method, &head)?;
    let body = head.take_body();
    let body = match framing {
        Framing::Empty => Vec::new(),
        Framing::Length(length) if length > limit => return Err(Error::TooLarge { limit }),
        Framing::Length(_) | Framing::Chunked => read_body(body, limit, progress).await?,
    };
    check_complete(&framing, &body, progress)?;
    let close = head.header(CONNECTION).is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let reusable = !close && still_open(tcp).await?;
    Ok((Answer { head, body }, reusable))
}

fn classify(kept: bool, progress: &Progress, detail: String) -> Error {
    if progress.sent() == 0 {
        Error::Unreachable(detail)
    } else if kept && progress.received() == 0 {
        Error::StaleConnection(detail)
    } else {
        Error::InvalidResponse(detail)
    }
}

fn framing(method: Method, head: &Response) -> Result<Framing, Error> {
    let status = head.status();
    if status.is_informational() {
        return Err(Error::InvalidResponse(format!("interim response {status}")));
    }
    if method == Method::Head || matches!(status as u16, 204 | 304) {
        return Ok(Framing::Empty);
    }
    // async-h1 takes exactly this value as chunked and any other as no body.
    if head.header(TRANSFER_ENCODING).is_some_and(|v| v.last().as_str() == "chunked") {
        return Ok(Framing::Chunked);
    }
    let lengths = head.header(CONTENT_LENGTH);
    let lengths =
        lengths.ok_or_else(|| Error::InvalidResponse("no length and not chunked".to_owned()))?;
    let mut parsed = lengths.iter().map(|value| value.as_str().parse::<usize>().ok());
    match parsed.next().flatten() {
        Some(first) if parsed.all(|other| other == Some(first)) => Ok(Framing::Length(first)),
        _ => Err(Error::InvalidResponse("contradictory Content-Length".to_owned())),
    }
}

async fn read_body(mut body: Body, limit: usize, progress: &Progress) -> Result<Vec<u8>, Error> {
    let mut all = Vec::with_capacity(body.len().unwrap_or(0).min(limit));
    let mut buffer = vec![0; body.len().unwrap_or(READ_BYTES).clamp(1, READ_BYTES)];
    loop {
        let count = poll_fn(|cx| {
            let before = progress.received();
            let polled = Pin::new(&mut body).poll_read(cx, &mut buffer);
            // async-h1 2.3 returns `Pending` without a wake-up after it read a part of the
            // trailers of a chunked body.
            if polled.is_pending() && progress.received() != before {
                cx.waker().wake_by_ref();
            }
            polled
        });
        match count.await {
            Ok(0) => return Ok(all),
            Ok(count) if all.len() + count > limit => return Err(Error::TooLarge { limit }),
            Ok(count) => all.extend_from_slice(&buffer[..count]),
            Err(e) => return Err(Error::InvalidResponse(e.to_string())),
        }
    }
}

/// Compares what was received with what the head announced. async-h1's reader reports neither an
/// early end of a body with `Content-Length` nor bytes beyond it.
fn check_complete(framing: &Framing, body: &[u8], progress: &Progress) -> Result<(), Error> {
    if progress.ended.load(Relaxed) {
        return Err(Error::InvalidResponse(format!(
            "connection ended after {} bytes of body",
            body.len()
        )));
    }
    let expected = match framing {
        Framing::Empty => 0,
        Framing::Length(length) => *length,
        // The decoder of chunked bodies refuses bytes after the trailers itself.
        Framing::Chunked => return Ok(()),
    };
    let received = progress.response.after_head();
    if body.len() != expected || received != expected as u64 {
        let detail = format!("{received} bytes after a head that announces {expected}");
        return Err(Error::InvalidResponse(detail));
    }
    Ok(())
}

/// Returns whether the server keeps the connection open.
async fn still_open(tcp: &TcpStream) -> Result<bool, Error> {
    match peek_now(tcp).await {
        Peek::Quiet => Ok(true),
        Peek::Closed => Ok(false),
        Peek::Bytes => Err(Error::InvalidResponse("bytes after the response".to_owned())),
    }
}

/// What the socket holds without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peek {
    /// Open, nothing to read.
    Quiet,
    /// Unread bytes.
    Bytes,
    /// Ended or failed.
    Closed,
}

/// Looks at the socket's receive buffer without waiting.
pub(crate) async fn peek_now(tcp: &TcpStream) -> Peek {
    let mut byte = [0];
    let mut peek = std::pin::pin!(tcp.peek(&mut byte));
    match future::poll_fn(|cx| Poll::Ready(future::Future::poll(peek.as_mut(), cx))).await {
        Poll::Pending => Peek::Quiet,
        Poll::Ready(Ok(count)) if count > 0 => Peek::Bytes,
        Poll::Ready(_) => Peek::Closed,
    }
}
