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

pub use admission::Admission;
pub use call::{Arrival, CallId, Completion, Load, Outcome, Refusal, Starts, Verdict};
pub use report::{Cause, ClassReport};
pub use settings::Settings;
