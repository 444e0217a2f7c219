//! At-most-once execution of requests with an idempotency key.
//!
//! [`Claims`] is the state machine of one daemon; it does no I/O. A keyed request runs only after
//! its claim row is known to hold the attempt id of this request, and each attempt is started at
//! most once. A request that is refused as not run is never started, and its row is released as
//! soon as the table responds.

mod batch;
mod claims;
mod entry;
mod message;
mod row;
mod sweep;

pub use batch::{BatchId, BatchOutcome};
pub use claims::{Claims, Settings};
pub use message::{Action, Actions, Arrival, Input, ReadOutcome, RequestId, RunResult};
pub use row::{
    Answer, AttemptId, ClaimRow, MAX_KEY_BYTES, RequestDigest, State, StoredAnswer, answer_object,
    check_key, claim_key, request_digest,
};
pub use sweep::{Sweep, sweep};
