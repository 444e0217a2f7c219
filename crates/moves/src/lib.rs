//! Decisions that move traffic between versions of a service.
//!
//! A [`Move`] compares the old and the new group on the same routes in the same time windows and
//! decides the next step of the [`MoveRow`]. A [`Guard`] lets one daemon stop sending to the new
//! group by itself. Nothing here does I/O.

mod decide;
mod evidence;
mod guard;
mod judge;
mod row;
mod settings;
mod split;

pub use decide::{Decision, Move};
pub use evidence::{Counts, Evidence, Outcome, PARTS, RouteEvidence, Side};
pub use guard::{Guard, StopSending};
pub use judge::{Burst, Judge, Measure};
pub use row::{MoveRequest, MoveRow, Phase, Reason, Refusal, Transition, move_key};
pub use settings::{RouteClass, Settings};
pub use split::{split, steered_share};
