//! Decisions that spread accepted configuration versions to every daemon.
//!
//! [`Distribution`] does no I/O: the daemon feeds it [`Input`]s and carries out its [`Action`]s.

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
