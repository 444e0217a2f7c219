//! Exchange of one request and its response on a connection.

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
    stream::{HeadScanner, Observer, Stream},
};

/// Largest single read of a response body in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    head: Response,
    /// The whole body.
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

    /// Returns an iterator over the headers and their values.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &HeaderValues)> {
        self.head.iter().map(|(name, values)| (name.as_str(), values))
    }

    /// Converts the answer into a response with its body, for example to forward it.
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

/// Progress of one exchange, as observed on the socket.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    sent: AtomicU64,
    response: HeadScanner,
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

/// How the end of a response body is determined.
enum Framing {
    Empty,
    Length(usize),
    Chunked,
}

/// Sends `request` over `tcp` and reads the whole response.
///
/// Returns the response and whether the connection can be reused. `kept` indicates whether
/// the connection was idle in the pool before.
pub(crate) async fn exchange(
    tcp: &TcpStream,
    mut request: Request,
    kept: bool,
    limit: usize,
    progress: &Arc<Progress>,
) -> Result<(Answer, bool), Error> {
    // The body is sent at once, so an interim response serves no purpose.
    request.remove_header(EXPECT);
    let method = request.method();
    let stream = Stream::new(tcp.clone(), Arc::clone(progress));
    // Boxed because this future alone holds several kilobytes of header slots.
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
    let reusable = !close && is_open(tcp).await?;
    Ok((Answer { head, body }, reusable))
}

/// Maps a failed exchange to an error, depending on how far it got.
fn classify(kept: bool, progress: &Progress, detail: String) -> Error {
    if progress.sent() == 0 {
        Error::Unreachable(detail)
    } else if kept && progress.received() == 0 {
        Error::StaleConnection(detail)
    } else {
        Error::InvalidResponse(detail)
    }
}

/// Returns how the body of the response to a `method` request is framed.
fn framing(method: Method, head: &Response) -> Result<Framing, Error> {
    let status = head.status();
    if status.is_informational() {
        return Err(Error::InvalidResponse(format!("interim response {status}")));
    }
    if method == Method::Head || matches!(status as u16, 204 | 304) {
        return Ok(Framing::Empty);
    }
    // async-h1 treats exactly this value as chunked and any other as no body.
    if head.header(TRANSFER_ENCODING).is_some_and(|v| v.last().as_str() == "chunked") {
        return Ok(Framing::Chunked);
    }
    let lengths = head.header(CONTENT_LENGTH);
    let lengths = lengths
        .ok_or_else(|| Error::InvalidResponse("neither Content-Length nor chunked".to_owned()))?;
    let mut parsed = lengths.iter().map(|value| value.as_str().parse::<usize>().ok());
    match parsed.next().flatten() {
        Some(first) if parsed.all(|other| other == Some(first)) => Ok(Framing::Length(first)),
        _ => Err(Error::InvalidResponse("invalid or conflicting Content-Length".to_owned())),
    }
}

/// Reads the whole body, up to `limit` bytes.
async fn read_body(mut body: Body, limit: usize, progress: &Progress) -> Result<Vec<u8>, Error> {
    let mut all = Vec::with_capacity(body.len().unwrap_or(0).min(limit));
    let mut buffer = vec![0; body.len().unwrap_or(READ_BUFFER_BYTES).clamp(1, READ_BUFFER_BYTES)];
    loop {
        let count = poll_fn(|cx| {
            let before = progress.received();
            let polled = Pin::new(&mut body).poll_read(cx, &mut buffer);
            // async-h1 2.3 returns `Pending` without registering a wake-up after it has read a
            // part of the trailers of a chunked body.
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

/// Checks that the received bytes match the framing. async-h1 reports neither a body shorter than
/// its `Content-Length` nor bytes after it.
fn check_complete(framing: &Framing, body: &[u8], progress: &Progress) -> Result<(), Error> {
    if progress.ended.load(Relaxed) {
        return Err(Error::InvalidResponse(format!(
            "connection closed after {} bytes of body",
            body.len()
        )));
    }
    let expected = match framing {
        Framing::Empty => 0,
        Framing::Length(length) => *length,
        // The chunked decoder itself rejects bytes after the trailers.
        Framing::Chunked => return Ok(()),
    };
    let received = progress.response.after_head();
    if body.len() != expected || received != expected as u64 {
        let detail = format!("received {received} bytes of body, expected {expected}");
        return Err(Error::InvalidResponse(detail));
    }
    Ok(())
}

/// Returns whether the server has kept the connection open.
///
/// # Errors
///
/// Returns [`Error::InvalidResponse`] if there are bytes after the response.
async fn is_open(tcp: &TcpStream) -> Result<bool, Error> {
    match peek_now(tcp).await {
        Peek::Empty => Ok(true),
        Peek::Closed => Ok(false),
        Peek::Bytes => {
            Err(Error::InvalidResponse("unexpected bytes after the response".to_owned()))
        }
    }
}

/// State of the socket's receive buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peek {
    /// Open with nothing to read.
    Empty,
    /// There are unread bytes.
    Bytes,
    /// Closed by the peer or failed.
    Closed,
}

/// Checks the socket's receive buffer without waiting.
pub(crate) async fn peek_now(tcp: &TcpStream) -> Peek {
    let mut byte = [0];
    let mut peek = std::pin::pin!(tcp.peek(&mut byte));
    match future::poll_fn(|cx| Poll::Ready(future::Future::poll(peek.as_mut(), cx))).await {
        Poll::Pending => Peek::Empty,
        Poll::Ready(Ok(count)) if count > 0 => Peek::Bytes,
        Poll::Ready(_) => Peek::Closed,
    }
}
