//! Configuration distribution: delivers accepted configuration versions to every daemon.
//!
//! [`Distribution`] is a state machine without I/O: the daemon passes [`Input`]s to it and executes
//! the [`Action`]s that it returns.

mod distribution;
mod floor;
mod input;
mod lease;
mod message;
mod peers;
mod platform;
mod pull;
mod reader;
mod report;
mod settings;
mod store;
mod view;

pub use distribution::{Counters, Distribution};
pub use input::{
    Action, Actions, FetchError, Input, LeaseOutcome, LeaseRow, ObservedHead, ObservedLease, Peer,
    Unavailable,
};
pub use message::{EncodedDelta, KnownSource, Message, SenderState};
pub use report::{Lagging, MAX_LAGGING, Report};
pub use settings::{Mode, Settings};
