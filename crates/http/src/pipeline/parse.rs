//! Framing of requests: heads by httparse, bodies by length or in chunks.

use bytes::{Buf, Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
};

/// Most headers of one request.
const MAX_HEADERS: usize = 100;
/// Longest line that states the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 1_024;

/// Why the bytes of a connection can't be read as requests any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// Not a request, or its framing is ambiguous.
    #[error("malformed request")]
    Syntax,
    /// The head is larger than the limit.
    #[error("head over the limit")]
    HeadTooLarge,
    /// The body is larger than the limit.
    #[error("body over the limit")]
    BodyTooLarge,
}

/// Limits of one request in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeLimits {
    /// Longest head.
    pub head: usize,
    /// Longest body.
    pub body: usize,
}

/// A whole request.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request.
    pub request: Request<Bytes>,
    /// Whether its response ends the connection.
    pub close: bool,
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub enum ParseProgress {
    /// More bytes are needed.
    Partial,
    /// The head is whole, and the caller waits for a sign before it sends the body.
    Continue,
    /// A request is whole.
    Complete(Box<ParsedRequest>),
}

#[derive(Debug)]
enum Body {
    /// Length that is still to come.
    Sized(usize),
    /// Before the line that states the size of a chunk.
    ChunkSize,
    /// Rest of a chunk, with the line end behind it.
    Chunk(usize),
    /// After the last chunk.
    Trailers,
}

#[derive(Debug)]
struct Reading {
    head: Request<()>,
    close: bool,
    body: Body,
    content: BytesMut,
}

/// Reader of the requests of one connection.
#[derive(Debug, Default)]
pub struct Parser {
    reading: Option<Reading>,
    /// Bytes that were searched for the end of a head without success.
    searched: usize,
}

impl Parser {
    /// Returns whether a head has been read whose body is still arriving.
    pub fn in_body(&self) -> bool {
        self.reading.is_some()
    }

    /// Takes the next request out of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError`], after which the connection can't be read any further.
    pub fn next(
        &mut self,
        bytes: &mut BytesMut,
        sizes: SizeLimits,
    ) -> Result<ParseProgress, ParseError> {
        let mut reading = match self.reading.take() {
            Some(reading) => reading,
            None => {
                let Some(reading) = self.head(bytes, sizes)? else {
                    return Ok(ParseProgress::Partial);
                };
                let waits = reading.head.headers().get(EXPECT).is_some();
                if waits && bytes.is_empty() && !matches!(reading.body, Body::Sized(0)) {
                    self.reading = Some(reading);
                    return Ok(ParseProgress::Continue);
                }
                reading
            }
        };
        if !reading.take_body(bytes, sizes)? {
            self.reading = Some(reading);
            return Ok(ParseProgress::Partial);
        }
        let Reading { head, close, content, .. } = reading;
        let request = head.map(|()| content.freeze());
        Ok(ParseProgress::Complete(Box::new(ParsedRequest { request, close })))
    }

    fn head(
        &mut self,
        bytes: &mut BytesMut,
        sizes: SizeLimits,
    ) -> Result<Option<Reading>, ParseError> {
        // A head that grows byte by byte is parsed only when its end may have come.
        let from = self.searched.saturating_sub(3).min(bytes.len());
        if !has_end(&bytes[from..]) {
            self.searched = bytes.len();
            return if bytes.len() > sizes.head { Err(ParseError::HeadTooLarge) } else { Ok(None) };
        }
        self.searched = 0;
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => {
                self.searched = bytes.len();
                return if bytes.len() > sizes.head {
                    Err(ParseError::HeadTooLarge)
                } else {
                    Ok(None)
                };
            }
            Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
            Err(_) => return Err(ParseError::Syntax),
        };
        if length > sizes.head {
            return Err(ParseError::HeadTooLarge);
        }
        let reading = Reading::new(&parsed, sizes)?;
        bytes.advance(length);
        Ok(Some(reading))
    }
}

/// Returns whether a blank line ends in `bytes`.
fn has_end(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|it| it == b"\n\n") || bytes.windows(3).any(|it| it == b"\n\r\n")
}

impl Reading {
    fn new(parsed: &httparse::Request<'_, '_>, sizes: SizeLimits) -> Result<Reading, ParseError> {
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| syntax())?;
            headers.append(name, HeaderValue::from_bytes(header.value).map_err(|_| syntax())?);
        }
        let version = if parsed.version == Some(1) { Version::HTTP_11 } else { Version::HTTP_10 };
        let mut head = Request::new(());
        let method = parsed.method.unwrap_or_default();
        *head.method_mut() = Method::from_bytes(method.as_bytes()).map_err(|_| syntax())?;
        *head.uri_mut() = parsed.path.unwrap_or_default().parse::<Uri>().map_err(|_| syntax())?;
        *head.version_mut() = version;
        let body = framing(&headers, version)?;
        if matches!(body, Body::Sized(length) if length > sizes.body) {
            return Err(ParseError::BodyTooLarge);
        }
        let old = version == Version::HTTP_10;
        let close = states(&headers, "close") || (old && !states(&headers, "keep-alive"));
        *head.headers_mut() = headers;
        Ok(Reading { head, close, body, content: BytesMut::new() })
    }

    /// Takes what has come of the body; returns whether it is whole.
    fn take_body(&mut self, bytes: &mut BytesMut, sizes: SizeLimits) -> Result<bool, ParseError> {
        loop {
            match self.body {
                Body::Sized(left) => {
                    let part = left.min(bytes.len());
                    self.content.unsplit(bytes.split_to(part));
                    self.body = Body::Sized(left - part);
                    return Ok(left == part);
                }
                Body::ChunkSize => {
                    let Some(size) = chunk_size(bytes)? else { return Ok(false) };
                    if self.content.len().saturating_add(size) > sizes.body {
                        return Err(ParseError::BodyTooLarge);
                    }
                    self.body = if size == 0 { Body::Trailers } else { Body::Chunk(size) };
                }
                Body::Chunk(0) => {
                    if bytes.len() < 2 {
                        return Ok(false);
                    }
                    if bytes[..2] != *b"\r\n" {
                        return Err(ParseError::Syntax);
                    }
                    bytes.advance(2);
                    self.body = Body::ChunkSize;
                }
                Body::Chunk(left) => {
                    let part = left.min(bytes.len());
                    if part == 0 {
                        return Ok(false);
                    }
                    self.content.extend_from_slice(&bytes.split_to(part));
                    self.body = Body::Chunk(left - part);
                }
                Body::Trailers => return trailers(bytes, sizes),
            }
        }
    }
}

fn syntax() -> ParseError {
    ParseError::Syntax
}

/// Returns whether `Connection` lists `option`.
fn states(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case(option))
}

/// Returns how the body is framed. Whatever two readers could take differently is malformed.
fn framing(headers: &HeaderMap, version: Version) -> Result<Body, ParseError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(ParseError::Syntax),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            let sole = codings.next().is_none() && version == Version::HTTP_11;
            if chunked && sole { Ok(Body::ChunkSize) } else { Err(ParseError::Syntax) }
        }
        (None, Some(length)) => {
            let digits = length.to_str().map_err(|_| syntax())?;
            let plain = !digits.is_empty() && digits.bytes().all(|it| it.is_ascii_digit());
            if !plain || lengths.next().is_some() {
                return Err(ParseError::Syntax);
            }
            digits.parse().map(Body::Sized).map_err(|_| ParseError::BodyTooLarge)
        }
        (None, None) => Ok(Body::Sized(0)),
    }
}

/// Takes the line that states the size of a chunk.
fn chunk_size(bytes: &mut BytesMut) -> Result<Option<usize>, ParseError> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((length, _))) if length > MAX_CHUNK_LINE => {
            Err(ParseError::Syntax)
        }
        Ok(httparse::Status::Complete((length, size))) => {
            let size = usize::try_from(size).map_err(|_| ParseError::BodyTooLarge)?;
            bytes.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if bytes.len() > MAX_CHUNK_LINE => Err(ParseError::Syntax),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ParseError::Syntax),
    }
}

/// Takes the trailers, which are dropped; returns whether they are whole.
fn trailers(bytes: &mut BytesMut, sizes: SizeLimits) -> Result<bool, ParseError> {
    if bytes.starts_with(b"\r\n") {
        bytes.advance(2);
        return Ok(true);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete((length, _))) => {
            bytes.advance(length);
            Ok(true)
        }
        Ok(httparse::Status::Partial) if bytes.len() > sizes.head => Err(ParseError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(false),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::Syntax),
    }
}
