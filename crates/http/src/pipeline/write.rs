//! Response encoder.

use std::{fmt::Write, time::SystemTime};

use http::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING},
};

use super::Answer;
use crate::body::Body;

/// Longest body in bytes that is appended to its head, so that both are sent in one segment.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// Encoded response. `body` is empty if it was appended to `head`.
pub(super) struct Encoded {
    pub(super) head: Vec<u8>,
    pub(super) body: Body,
}

/// Returns the interim response that asks the client to send the body.
pub(super) fn continue_response() -> Answer {
    let mut response = Response::new(Body::default());
    *response.status_mut() = StatusCode::CONTINUE;
    Answer { response, head_only: false, close: false }
}

/// Encodes a response, with a `Content-Length` where the status allows a body. `head_only` leaves
/// the body out, and `close` tells the client that the connection closes.
pub(super) fn encode(response: Response<Body>, head_only: bool, close: bool) -> Encoded {
    let (parts, body) = response.into_parts();
    let status = parts.status;
    let mut text = String::with_capacity(256);
    let reason = status.canonical_reason().unwrap_or("");
    // Writing to a string can't fail.
    let _ = write!(text, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    let without_body = status.is_informational() || status == StatusCode::NO_CONTENT;
    if !without_body && status != StatusCode::NOT_MODIFIED && !(head_only && body.is_empty()) {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    if !status.is_informational() && !parts.headers.contains_key(DATE) {
        let _ = write!(text, "date: {}\r\n", httpdate::fmt_http_date(SystemTime::now()));
    }
    if close {
        text.push_str("connection: close\r\n");
    }
    let mut head = text.into_bytes();
    for (name, value) in &parts.headers {
        if [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name) {
            continue;
        }
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    let body = if without_body || head_only || status == StatusCode::NOT_MODIFIED {
        Body::default()
    } else {
        body
    };
    if body.len() > MAX_JOINED_BYTES {
        return Encoded { head, body };
    }
    body.pieces().iter().for_each(|it| head.extend_from_slice(it));
    Encoded { head, body: Body::default() }
}
