//! Decisions of a daemon in a fleet without control machines: which route a request takes, which
//! backend server runs it, when it waits or is rejected, who is a member and how a service moves
//! to another version.
//!
//! All cores are without I/O: time, randomness and messages are passed in, and small enums that
//! state what to do come out.

mod attempt;
mod budget;
mod candidate;
mod configuration;
mod directory;
mod eligible;
mod fetch;
mod neighbours;
mod placement;
mod returns;
mod rollout;
mod server;
mod slots;

pub use attempt::{Ask, Attempt, Choice, Next, Outcome};
pub use budget::{Budget, BudgetSettings};
pub use candidate::Report;
pub use configuration::{Configuration, Limits, Match, Route, Target};
pub use directory::{Digest, Directory, Member, Merge};
pub use fetch::{Fetch, FetchSettings, Fetches};
pub use neighbours::{NeighbourSettings, Neighbours, is_reader};
pub use placement::{Placement, PlacementSettings};
pub use returns::{CallerKey, Returns, ReturnsSettings};
pub use rollout::{
    Counts, Evidence, Judgement, Order, Rollout, RolloutSettings, RolloutState, Side, Split, Step,
};
pub use server::{Accepted, Heartbeat, LocalServer, Server, ServerState};
pub use slots::{Arrival, Load, Slots, SlotsSettings, TaskId, Verdict, Wake};
