//! Choice of backend server, ejection and retries.
//!
//! A decision core without I/O: the daemon passes in time, randomness, the members of each
//! service and the outcome of each attempt, and acts on the returned choice. It has no timers:
//! every decision compares the time that is passed in.

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
