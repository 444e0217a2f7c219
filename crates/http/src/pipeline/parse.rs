//! Request parser: heads are parsed by httparse, bodies by length or in chunks.

use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
};

use crate::body::{Body, BodyBuffer};

/// Most headers of one request, and most trailers.
const MAX_HEADERS: usize = 100;
/// Longest chunk-size line, including extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// Reason why the bytes of a connection can't be parsed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The bytes are not a request, or its framing is ambiguous.
    #[error("malformed request")]
    Syntax,
    /// The head exceeds the limit.
    #[error("request head exceeds the limit")]
    HeadTooLarge,
    /// The body exceeds the limit.
    #[error("request body exceeds the limit")]
    BodyTooLarge,
    /// No memory is left for the request.
    #[error("no memory is left for the request")]
    NoMemory,
}

/// Size limits of one request in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeLimits {
    /// Longest head.
    pub head: usize,
    /// Longest body.
    pub body: usize,
}

/// A complete request.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request.
    pub request: Request<Body>,
    /// Whether the connection closes after its response.
    pub close: bool,
}

/// Result of parsing the bytes received so far.
#[derive(Debug)]
pub enum ParseProgress {
    /// More bytes are needed.
    Partial,
    /// The head is complete, and the client waits for `100 Continue` before it sends the body.
    Continue,
    /// A request is complete.
    Complete(Box<ParsedRequest>),
}

/// Expected next part of a body.
#[derive(Debug)]
enum BodyState {
    /// Remaining bytes of a body of known length.
    Sized(usize),
    /// The next chunk-size line.
    ChunkSize,
    /// Remaining bytes of a chunk, then its line end.
    Chunk(usize),
    /// The trailers after the last chunk.
    Trailers,
}

/// A request whose head is complete and whose body is still arriving.
#[derive(Debug)]
struct PartialRequest {
    head: Request<()>,
    close: bool,
    body: BodyState,
    content: BodyBuffer,
}

/// Incremental parser of the requests of one connection.
#[derive(Debug, Default)]
pub struct Parser {
    partial: Option<PartialRequest>,
    /// Number of bytes that were already searched for the end of a head without success.
    searched: usize,
}

impl Parser {
    /// Returns whether a head is complete and its body is still arriving.
    pub fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the length in bytes that the arriving body is known to have, at least.
    pub fn body_length(&self) -> usize {
        self.partial.as_ref().map_or(0, |it| match it.body {
            BodyState::Sized(left) | BodyState::Chunk(left) => it.content.len() + left,
            BodyState::ChunkSize | BodyState::Trailers => it.content.len(),
        })
    }

    /// Removes the next request from `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError`], after which the bytes of the connection can't be parsed any further.
    pub fn next(
        &mut self,
        bytes: &mut BytesMut,
        sizes: SizeLimits,
    ) -> Result<ParseProgress, ParseError> {
        let mut partial = match self.partial.take() {
            Some(partial) => partial,
            None => {
                let Some(partial) = self.parse_head(bytes, sizes)? else {
                    return Ok(ParseProgress::Partial);
                };
                let expects_continue = partial.head.headers().get(EXPECT).is_some();
                if expects_continue
                    && bytes.is_empty()
                    && !matches!(partial.body, BodyState::Sized(0))
                {
                    self.partial = Some(partial);
                    return Ok(ParseProgress::Continue);
                }
                partial
            }
        };
        if !partial.take_body(bytes, sizes)? {
            self.partial = Some(partial);
            return Ok(ParseProgress::Partial);
        }
        let PartialRequest { head, close, content, .. } = partial;
        let request = head.map(|()| content.finish());
        Ok(ParseProgress::Complete(Box::new(ParsedRequest { request, close })))
    }

    fn parse_head(
        &mut self,
        bytes: &mut BytesMut,
        sizes: SizeLimits,
    ) -> Result<Option<PartialRequest>, ParseError> {
        // A head that arrives byte by byte is parsed only once its end may have arrived.
        let from = self.searched.saturating_sub(3).min(bytes.len());
        if !has_head_end(&bytes[from..]) {
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
        let partial = PartialRequest::new(&parsed, sizes)?;
        bytes.advance(length);
        Ok(Some(partial))
    }
}

/// Returns whether `bytes` contain the blank line that ends a head.
fn has_head_end(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|it| it == b"\n\n") || bytes.windows(3).any(|it| it == b"\n\r\n")
}

impl PartialRequest {
    fn new(
        parsed: &httparse::Request<'_, '_>,
        sizes: SizeLimits,
    ) -> Result<PartialRequest, ParseError> {
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
        if matches!(body, BodyState::Sized(length) if length > sizes.body) {
            return Err(ParseError::BodyTooLarge);
        }
        let http_10 = version == Version::HTTP_10;
        let close =
            lists_option(&headers, "close") || (http_10 && !lists_option(&headers, "keep-alive"));
        *head.headers_mut() = headers;
        Ok(PartialRequest { head, close, body, content: BodyBuffer::default() })
    }

    /// Removes the body from `bytes` as far as it has arrived. Returns whether it is complete.
    fn take_body(&mut self, bytes: &mut BytesMut, sizes: SizeLimits) -> Result<bool, ParseError> {
        loop {
            match self.body {
                BodyState::Sized(left) => {
                    let part = left.min(bytes.len());
                    self.content.extend(&bytes.split_to(part));
                    self.body = BodyState::Sized(left - part);
                    return Ok(left == part);
                }
                BodyState::ChunkSize => {
                    let Some(size) = take_chunk_size(bytes)? else { return Ok(false) };
                    if self.content.len().saturating_add(size) > sizes.body {
                        return Err(ParseError::BodyTooLarge);
                    }
                    self.body =
                        if size == 0 { BodyState::Trailers } else { BodyState::Chunk(size) };
                }
                BodyState::Chunk(0) => {
                    if bytes.len() < 2 {
                        return Ok(false);
                    }
                    if bytes[..2] != *b"\r\n" {
                        return Err(ParseError::Syntax);
                    }
                    bytes.advance(2);
                    self.body = BodyState::ChunkSize;
                }
                BodyState::Chunk(left) => {
                    let part = left.min(bytes.len());
                    if part == 0 {
                        return Ok(false);
                    }
                    self.content.extend(&bytes.split_to(part));
                    self.body = BodyState::Chunk(left - part);
                }
                BodyState::Trailers => return take_trailers(bytes, sizes),
            }
        }
    }
}

fn syntax() -> ParseError {
    ParseError::Syntax
}

/// Returns whether the `Connection` header lists `option`.
fn lists_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case(option))
}

/// Returns how the body is framed. Framing that two parsers could interpret differently is
/// rejected, as it would allow request smuggling.
fn framing(headers: &HeaderMap, version: Version) -> Result<BodyState, ParseError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(ParseError::Syntax),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            let unambiguous = codings.next().is_none() && version == Version::HTTP_11;
            if chunked && unambiguous { Ok(BodyState::ChunkSize) } else { Err(ParseError::Syntax) }
        }
        (None, Some(length)) => {
            let digits = length.to_str().map_err(|_| syntax())?;
            let plain = !digits.is_empty() && digits.bytes().all(|it| it.is_ascii_digit());
            if !plain || lengths.next().is_some() {
                return Err(ParseError::Syntax);
            }
            digits.parse().map(BodyState::Sized).map_err(|_| ParseError::BodyTooLarge)
        }
        (None, None) => Ok(BodyState::Sized(0)),
    }
}

/// Removes a chunk-size line and returns the size, or `None` if the line is incomplete.
fn take_chunk_size(bytes: &mut BytesMut) -> Result<Option<usize>, ParseError> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((length, _))) if length > MAX_CHUNK_LINE_BYTES => {
            Err(ParseError::Syntax)
        }
        Ok(httparse::Status::Complete((length, size))) => {
            let size = usize::try_from(size).map_err(|_| ParseError::BodyTooLarge)?;
            bytes.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if bytes.len() > MAX_CHUNK_LINE_BYTES => {
            Err(ParseError::Syntax)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ParseError::Syntax),
    }
}

/// Removes and discards the trailers. Returns whether they are complete.
fn take_trailers(bytes: &mut BytesMut, sizes: SizeLimits) -> Result<bool, ParseError> {
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
