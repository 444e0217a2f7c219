//! Failures of an exchange.

/// Why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was written: the connection could not be opened, or a kept
    /// connection refused the first write.
    #[error("server unreachable: {0}")]
    Unreachable(String),
    /// A kept connection turned out closed before any byte of the response came. Bytes of the
    /// request were handed to the operating system, so that the server may have read them.
    #[error("kept connection closed before the response: {0}")]
    StaleConnection(String),
    /// The response was malformed, shorter than announced, without a length or followed by
    /// further bytes, or a new connection ended without a response.
    #[error("response broken: {0}")]
    InvalidResponse(String),
    /// The time for the exchange passed.
    #[error("no complete response in time")]
    TimedOut {
        /// Whether any byte of the request was written.
        sent: bool,
    },
    /// The response body is over the limit.
    #[error("response body over {limit} bytes")]
    TooLarge {
        /// Longest accepted body in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request can have reached the server; when `false`, it certainly was
    /// not run.
    pub fn may_have_reached(&self) -> bool {
        match self {
            Error::Unreachable(_) => false,
            Error::TimedOut { sent } => *sent,
            Error::StaleConnection(_) | Error::InvalidResponse(_) | Error::TooLarge { .. } => true,
        }
    }
}
