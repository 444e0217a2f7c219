//! Responses of the daemon itself to requests of callers.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use shallottack_http::{Body, ERROR_HEADER, RUN_HEADER};
use shallottack_kernel::{ErrorKind, Run, Time};
use shallottack_site::headers;

use crate::{events::Event, node::Node};

/// `Retry-After` of a request for which no memory was free; most of those that hold it have ended by
/// then.
pub const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Rejects a request before placement.
pub fn reject(
    node: &Node,
    id: &str,
    began: Time,
    kind: ErrorKind,
    retry_after: Duration,
    reason: &str,
) -> Response<Body> {
    metrics::counter!("shallottack_refused_total", "kind" => kind.as_str()).increment(1);
    node.events.write(&Event::Rejected {
        id,
        route: "",
        organisation: None,
        kind: kind.as_str(),
        status: kind.answer().status,
        ran: false,
        reason,
        retry_after_ms: retry_after.as_millis() as u64,
        sends: 0,
        arrivals: 0,
        ms: node.now().since(began).as_millis() as u64,
        config: node.config_version(),
    });
    error_response(id, kind, retry_after)
}

/// Builds the response of the daemon to a request that no backend server answered.
pub fn error_response(id: &str, kind: ErrorKind, retry_after: Duration) -> Response<Body> {
    let answer = kind.answer();
    let mut response = Response::new(Body::default());
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let response_headers = response.headers_mut();
    let run = if answer.run == Run::No { "no" } else { "unknown" };
    response_headers.insert(ERROR_HEADER, HeaderValue::from_static(kind.as_str()));
    response_headers.insert(RUN_HEADER, HeaderValue::from_static(run));
    if answer.retry_after {
        response_headers.insert(header::RETRY_AFTER, headers::retry_after(retry_after));
    }
    // The identifier was read from a header, so it is a valid header value.
    if let Ok(id) = HeaderValue::from_str(id) {
        response_headers.insert(headers::REQUEST_ID, id);
    }
    response
}
