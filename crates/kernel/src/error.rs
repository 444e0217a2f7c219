//! Error kinds and the HTTP answer for each.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a backend server ran the request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request was not run.
    No,
    /// The request may have been run.
    Unknown,
}

/// Answer that a caller receives for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was run.
    pub run: Run,
    /// Whether the answer has a `Retry-After` header.
    pub retry_after: bool,
    /// Whether the caller can repeat the request without the risk of running it twice.
    pub repeat_safe: bool,
}

/// Kinds of error that any part of the system answers with; the list is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or invalid.
    Unauthorized,
    /// No route matches the request.
    NoRoute,
    /// The named object does not exist.
    NotFound,
    /// Another configuration change modified the same resources.
    Conflict,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// A request with the same idempotency key is still running.
    KeyInProgress,
    /// The body exceeds the size limit.
    TooLarge,
    /// The headers exceed the size limit.
    HeaderTooLarge,
    /// The configuration change is invalid.
    Rejected,
    /// The class has used up its share of the capacity.
    Overloaded,
    /// The request can't be served before its deadline.
    DeadlineUnmet,
    /// No endpoint of the service is usable.
    NoEndpoint,
    /// Backend servers crash when they run the request.
    Blocked,
    /// The daemon or backend server is shutting down.
    Stopping,
    /// The platform is unreachable.
    PlatformDown,
    /// The daemon has no configuration yet.
    NotReady,
    /// The backend server's answer was incomplete or malformed.
    AnswerBroken,
    /// The connection ended or the deadline passed after the request was sent.
    OutcomeUnknown,
    /// The daemon hit an internal error.
    Internal,
}

impl ErrorKind {
    /// All kinds, in order of declaration.
    pub const ALL: [ErrorKind; 20] = [
        ErrorKind::BadRequest,
        ErrorKind::Unauthorized,
        ErrorKind::NoRoute,
        ErrorKind::NotFound,
        ErrorKind::Conflict,
        ErrorKind::KeyReused,
        ErrorKind::KeyInProgress,
        ErrorKind::TooLarge,
        ErrorKind::HeaderTooLarge,
        ErrorKind::Rejected,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineUnmet,
        ErrorKind::NoEndpoint,
        ErrorKind::Blocked,
        ErrorKind::Stopping,
        ErrorKind::PlatformDown,
        ErrorKind::NotReady,
        ErrorKind::AnswerBroken,
        ErrorKind::OutcomeUnknown,
        ErrorKind::Internal,
    ];

    /// Returns the answer that a caller receives for this kind.
    pub const fn answer(self) -> Answer {
        const fn not_run(status: u16) -> Answer {
            Answer { status, run: Run::No, retry_after: false, repeat_safe: true }
        }
        const fn later(status: u16) -> Answer {
            Answer { status, run: Run::No, retry_after: true, repeat_safe: true }
        }
        const fn unknown(status: u16) -> Answer {
            Answer { status, run: Run::Unknown, retry_after: false, repeat_safe: false }
        }
        match self {
            ErrorKind::BadRequest => not_run(400),
            ErrorKind::Unauthorized => not_run(401),
            ErrorKind::NoRoute | ErrorKind::NotFound => not_run(404),
            ErrorKind::Conflict => not_run(409),
            // A request with an idempotency key is safe to repeat: its claim row prevents a second
            // run.
            ErrorKind::KeyInProgress => {
                Answer { status: 409, run: Run::Unknown, retry_after: true, repeat_safe: true }
            }
            ErrorKind::KeyReused | ErrorKind::Rejected => not_run(422),
            ErrorKind::TooLarge => not_run(413),
            ErrorKind::HeaderTooLarge => not_run(431),
            ErrorKind::Overloaded => later(429),
            ErrorKind::DeadlineUnmet
            | ErrorKind::NoEndpoint
            | ErrorKind::Blocked
            | ErrorKind::Stopping
            | ErrorKind::PlatformDown
            | ErrorKind::NotReady => later(503),
            ErrorKind::AnswerBroken => unknown(502),
            ErrorKind::OutcomeUnknown => unknown(504),
            ErrorKind::Internal => unknown(500),
        }
    }

    /// Returns the name used in answers, logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            ErrorKind::BadRequest => "bad-request",
            ErrorKind::Unauthorized => "unauthorized",
            ErrorKind::NoRoute => "no-route",
            ErrorKind::NotFound => "not-found",
            ErrorKind::Conflict => "conflict",
            ErrorKind::KeyReused => "key-reused",
            ErrorKind::KeyInProgress => "key-in-progress",
            ErrorKind::TooLarge => "too-large",
            ErrorKind::HeaderTooLarge => "header-too-large",
            ErrorKind::Rejected => "rejected",
            ErrorKind::Overloaded => "overloaded",
            ErrorKind::DeadlineUnmet => "deadline-unmet",
            ErrorKind::NoEndpoint => "no-endpoint",
            ErrorKind::Blocked => "blocked",
            ErrorKind::Stopping => "stopping",
            ErrorKind::PlatformDown => "platform-down",
            ErrorKind::NotReady => "not-ready",
            ErrorKind::AnswerBroken => "answer-broken",
            ErrorKind::OutcomeUnknown => "outcome-unknown",
            ErrorKind::Internal => "internal",
        }
    }

    /// Returns the kind named `text`, or `None` if there is no such kind.
    pub fn from_name(text: &str) -> Option<ErrorKind> {
        ErrorKind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error that can be sent to a caller: a kind, a description and a retry delay.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Failure {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable description of the error.
    pub detail: String,
    /// Delay before a retry, for kinds whose answer has a `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a retry delay.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Failure {
        Failure { kind, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Failure {
        self.retry_after = Some(after);
        self
    }
}
