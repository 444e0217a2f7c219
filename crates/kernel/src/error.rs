//! The closed list of error kinds and the answer that goes with each.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether the request that failed was run by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request was certainly not run.
    No,
    /// The request may have been run.
    Unknown,
}

/// What a caller is told for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was run.
    pub run: Run,
    /// Whether a `Retry-After` header goes with the answer.
    pub retry_after: bool,
    /// Whether the caller may send the same request again without the risk of running it twice.
    pub repeat_safe: bool,
}

/// Kinds of error that any part of the system answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or wrong.
    Unauthorized,
    /// No route matches the request.
    NoRoute,
    /// The named object does not exist.
    NotFound,
    /// Another change touched the same resources.
    Conflict,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// A request with the same idempotency key is running.
    KeyInProgress,
    /// The body is over the limit.
    TooLarge,
    /// The headers are over the limit.
    HeaderTooLarge,
    /// The configuration change is invalid.
    Rejected,
    /// The class has used its share.
    Overloaded,
    /// The request could not be served before its deadline.
    DeadlineUnmet,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// The daemon or backend server is stopping.
    Stopping,
    /// The platform can't be reached.
    PlatformDown,
    /// The daemon holds no configuration yet.
    NotReady,
    /// The backend server's answer was incomplete or malformed.
    AnswerBroken,
    /// The connection ended or the deadline passed after the request was sent.
    OutcomeUnknown,
    /// A fault of the daemon itself.
    Internal,
}

impl ErrorKind {
    /// All kinds, in the order of the table.
    pub const ALL: [ErrorKind; 19] = [
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
        ErrorKind::Stopping,
        ErrorKind::PlatformDown,
        ErrorKind::NotReady,
        ErrorKind::AnswerBroken,
        ErrorKind::OutcomeUnknown,
        ErrorKind::Internal,
    ];

    /// Returns what a caller is told for this kind.
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
            // Repeating a keyed request is safe: its claim row stops a second run.
            ErrorKind::KeyInProgress => {
                Answer { status: 409, run: Run::Unknown, retry_after: true, repeat_safe: true }
            }
            ErrorKind::KeyReused | ErrorKind::Rejected => not_run(422),
            ErrorKind::TooLarge => not_run(413),
            ErrorKind::HeaderTooLarge => not_run(431),
            ErrorKind::Overloaded => later(429),
            ErrorKind::DeadlineUnmet
            | ErrorKind::NoEndpoint
            | ErrorKind::Stopping
            | ErrorKind::PlatformDown
            | ErrorKind::NotReady => later(503),
            ErrorKind::AnswerBroken => unknown(502),
            ErrorKind::OutcomeUnknown => unknown(504),
            ErrorKind::Internal => unknown(500),
        }
    }

    /// Returns the kind's name as it stands in answers, logs and metric labels.
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
            ErrorKind::Stopping => "stopping",
            ErrorKind::PlatformDown => "platform-down",
            ErrorKind::NotReady => "not-ready",
            ErrorKind::AnswerBroken => "answer-broken",
            ErrorKind::OutcomeUnknown => "outcome-unknown",
            ErrorKind::Internal => "internal",
        }
    }

    /// Returns the kind named `text`.
    pub fn from_name(text: &str) -> Option<ErrorKind> {
        ErrorKind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error kind with its detail, ready to be answered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Failure {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// What went wrong, for a person.
    pub detail: String,
    /// When to come back, for kinds whose answer carries `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a time to come back.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Failure {
        Failure { kind, detail: detail.into(), retry_after: None }
    }

    /// Adds the time after which the caller may come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Failure {
        self.retry_after = Some(after);
        self
    }
}
