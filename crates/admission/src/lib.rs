//! Admission control with fair queueing for the calls to one backend server.
//!
//! The crate does no I/O and reads no clock: the daemon passes in the time with every arrival,
//! completion, cancellation and tick, and acts on the returned decisions.

mod admission;
mod call;
mod class;
mod fair;
mod limit;
mod report;
mod settings;

pub use admission::AdmissionController;
pub use call::{AdmissionDecision, Arrival, CallId, Completion, Dequeued, Load, Outcome, Refusal};
pub use report::{Cause, ClassReport};
pub use settings::Settings;
