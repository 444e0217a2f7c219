//! HTTP/1.1 listener and client with kept connections, over async-h1, and a connection for
//! pipelined requests over httparse.
//!
//! All handle whole bodies only and compare their length with `Content-Length`.

mod connection;
mod error;
mod exchange;
mod guard;
mod pipeline;
mod pool;
mod serve;
mod stream;

pub use connection::RawConnection;
pub use error::Error;
pub use exchange::Answer;
pub use guard::{ConnectionGuard, spawn_connection};
pub use pipeline::{
    Application, ConnectionLimits, ParseError, ParseProgress, ParsedRequest, Parser, SizeLimits,
    serve_pipelined,
};
pub use pool::{Pool, PoolCounts, PoolSettings};
pub use serve::{Limits, Serving, Stopped, Traffic, serve};

/// Response header that names the error kind of a refusal.
pub const ERROR_HEADER: &str = "shallottack-error";
/// Response header that states whether the request was run: `no` or `unknown`.
pub const RUN_HEADER: &str = "shallottack-run";
