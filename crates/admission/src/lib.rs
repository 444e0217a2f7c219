//! Fair admission of calls at the daemon beside a backend server.
//!
//! A decision core without I/O: the daemon passes in the time with every arrival, completion,
//! cancellation and tick, and acts on the returned verdicts.

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
