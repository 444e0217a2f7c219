//! Answers to callers and to other daemons.

use std::{str::FromStr, time::Duration};

use shallottack_admission::Load;
use shallottack_api::{ERROR_HEADER, ErrorBody, RUN_HEADER};
use shallottack_kernel::{ErrorKind, Failure, Run};
use shallottack_routing::LoadReport;
use tide::http::{Response, StatusCode, mime};

/// Header with the load of the backend server: calls at it, calls queued, limit.
pub(crate) const LOAD_HEADER: &str = "shallottack-load";
/// Header that states that the endpoint is leaving.
pub(crate) const LEAVING_HEADER: &str = "shallottack-leaving";
/// Standard header with the time after which to come back, in seconds.
const RETRY_AFTER: &str = "retry-after";
/// The same in milliseconds, since the standard one only has seconds.
pub(crate) const RETRY_AFTER_MS: &str = "shallottack-retry-after-ms";

/// Headers that are about one connection, so that they are never passed on (RFC 9110, 7.6.1).
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns whether a header is passed on from one connection to the next.
pub(crate) fn passes(name: &str) -> bool {
    !HOP_HEADERS.contains(&name) && !name.starts_with("shallottack-")
}

/// Returns the body that describes a failure.
pub(crate) fn error_body(failure: &Failure) -> ErrorBody {
    let answer = failure.kind.answer();
    ErrorBody {
        error: failure.kind,
        detail: failure.detail.clone(),
        run: answer.run,
        repeat_safe: answer.repeat_safe,
        retry_after: failure.retry_after.filter(|_| answer.retry_after),
    }
}

/// Returns the response that describes a failure.
pub(crate) fn failure_response(failure: &Failure) -> Response {
    let answer = failure.kind.answer();
    let mut response = Response::new(status(answer.status));
    let body = error_body(failure);
    if let Some(after) = body.retry_after {
        // Rounded up: a caller that comes back too early is refused again.
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        response.insert_header(RETRY_AFTER, seconds.to_string());
        response.insert_header(RETRY_AFTER_MS, after.as_millis().max(1).to_string());
    }
    response.insert_header(ERROR_HEADER, failure.kind.as_str());
    response.insert_header(RUN_HEADER, run_value(answer.run));
    response.set_body(serde_json::to_vec(&body).expect("plain data encodes"));
    response.set_content_type(mime::JSON);
    response
}

fn run_value(run: Run) -> &'static str {
    match run {
        Run::No => "no",
        Run::Unknown => "unknown",
    }
}

pub(crate) fn status(code: u16) -> StatusCode {
    StatusCode::try_from(code).unwrap_or(StatusCode::InternalServerError)
}

/// Returns the value of [`LOAD_HEADER`].
pub(crate) fn load_value(load: Load) -> String {
    format!("{},{},{}", load.in_flight, load.queued, load.limit)
}

/// Returns the load in the value of [`LOAD_HEADER`].
pub(crate) fn parse_load(value: &str) -> Option<LoadReport> {
    let mut numbers = value.split(',').map(u32::from_str);
    let mut next = || numbers.next()?.ok();
    Some(LoadReport { in_flight: next()?, queued: next()?, limit: next()? })
}

/// Error that another daemon or a backend server stated in its answer's headers.
pub(crate) struct StatedError {
    pub(crate) kind: ErrorKind,
    pub(crate) not_run: bool,
    pub(crate) retry_after: Option<Duration>,
}

/// Returns the error stated in an answer's headers, if any.
pub(crate) fn stated_error(answer: &shallottack_http::Answer) -> Option<StatedError> {
    let kind = ErrorKind::from_name(answer.header(ERROR_HEADER)?)?;
    Some(StatedError {
        kind,
        not_run: answer.header(RUN_HEADER) == Some("no"),
        retry_after: retry_after(answer),
    })
}

/// Returns the time after which an answer asks to come back.
pub(crate) fn retry_after(answer: &shallottack_http::Answer) -> Option<Duration> {
    let millis = answer.header(RETRY_AFTER_MS).and_then(|it| it.parse().ok());
    let seconds = || answer.header(RETRY_AFTER)?.parse().ok().map(Duration::from_secs);
    millis.map(Duration::from_millis).or_else(seconds)
}
