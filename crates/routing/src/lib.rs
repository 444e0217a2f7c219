//! Endpoint selection, outlier ejection and retries.
//!
//! The crate does no I/O and has no timers or random numbers of its own: the daemon passes in the
//! time, randomness, the members of each service and the outcome of each attempt, and acts on the
//! returned decisions.

mod budget;
mod call;
mod candidate;
mod endpoint;
mod outcome;
mod pool;
mod router;
mod select;
mod settings;

pub use call::{CallId, CallInfo, Choice, Hint, LoadReport, NextStep, Outcome};
pub use candidate::{Candidate, CandidateState};
pub use router::Router;
pub use settings::Settings;
