//! Errors of the client.

/// Why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was written: the connection could not be opened, or the first write
    /// on a pooled connection failed.
    #[error("server unreachable: {0}")]
    Unreachable(String),
    /// A pooled connection was closed before any byte of the response arrived. Bytes of the request
    /// were handed to the operating system, so the server may have read them.
    #[error("pooled connection closed before the response: {0}")]
    StaleConnection(String),
    /// The response was malformed, shorter than announced, without a length or followed by
    /// further bytes, or a new connection was closed without a response.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    /// No complete response arrived within the time limit.
    #[error("timed out before the response was complete")]
    TimedOut {
        /// Whether any byte of the request was written.
        sent: bool,
    },
    /// The response body exceeds the limit.
    #[error("response body exceeds {limit} bytes")]
    TooLarge {
        /// Longest accepted body in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request may have reached the server. If `false`, it was certainly not
    /// run.
    pub fn may_have_reached(&self) -> bool {
        match self {
            Error::Unreachable(_) => false,
            Error::TimedOut { sent } => *sent,
            Error::StaleConnection(_) | Error::InvalidResponse(_) | Error::TooLarge { .. } => true,
        }
    }
}
