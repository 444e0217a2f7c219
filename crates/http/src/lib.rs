//! HTTP/1.1 server and pooling client on top of async-h1, and a server connection for pipelined
//! requests on top of httparse.
//!
//! Bodies are read and written whole, and their length is checked against `Content-Length`.

mod body;
mod connection;
mod error;
mod exchange;
mod guard;
mod memory;
mod pace;
mod pipeline;
mod pool;
mod serve;
mod stream;

pub use body::{Body, BodyBuffer, PIECE_BYTES};
pub use connection::RawConnection;
pub use error::Error;
pub use exchange::Answer;
pub use guard::{ConnectionGuard, spawn_connection};
pub use memory::{
    BudgetSettings, Growth, Kind, Ledger, MemoryBudget, NoMemory, Reservation, SHORT_BYTES, Ticket,
};
pub use pace::{Pace, PacedStream};
pub use pipeline::{
    Application, ConnectionLimits, ParseError, ParseProgress, ParsedRequest, Parser, SizeLimits,
    serve_pipelined,
};
pub use pool::{Pool, PoolCounts, PoolSettings};
pub use serve::{Limits, Serving, Stopped, Traffic, serve};

/// Response header with the error kind of a refused request.
pub const ERROR_HEADER: &str = "shallottack-error";
/// Response header that indicates whether the request was run: `no` or `unknown`.
pub const RUN_HEADER: &str = "shallottack-run";
