//! Moves the traffic of a service from one version to another in steps.
//!
//! A [`MoveController`] compares the old and the new group on the same routes in the same time
//! windows and decides the next step of the [`MoveRow`]. A [`CircuitBreaker`] lets one daemon stop
//! sending to the new group without waiting for that decision. The crate does no I/O.

mod breaker;
mod controller;
mod evidence;
mod route_tests;
mod row;
mod settings;
mod split;

pub use breaker::{CircuitBreaker, StopSending};
pub use controller::{Decision, MoveController};
pub use evidence::{Counts, ENDPOINT_BUCKETS, Evidence, Outcome, RouteEvidence, Side};
pub use route_tests::{Measure, RouteTests, TargetMiss};
pub use row::{MoveRequest, MoveRow, Phase, Reason, Refusal, Transition, move_key};
pub use settings::{RouteClass, Settings};
pub use split::{choose_side, steered_share};
