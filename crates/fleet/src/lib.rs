//! Routing, placement, queueing, membership and rollouts of a daemon in a fleet without a control
//! plane.
//!
//! No type in this crate does I/O. Callers pass in the time, a random number generator and the
//! messages received, and carry out the decision that is returned.

mod attempt;
mod blocklist;
mod budget;
mod candidate;
mod candidates;
mod cold;
mod cold_slots;
mod configuration;
mod delays;
mod directory;
mod eligible;
mod evacuation;
mod fan_out;
mod fetch;
mod inherited;
mod intake;
mod kept;
mod leaves;
mod leaving;
mod link;
mod local_server;
mod neighbours;
mod organisation;
mod organisation_labels;
mod parents;
mod placement;
mod quota;
mod rank;
mod rate;
mod reports;
mod request_key;
mod returns;
mod revocation;
mod rollout;
mod row_version;
mod runs;
mod server;
mod slots;
mod spread;
mod tickets;
mod usage;

pub use attempt::{Choice, Next, Outcome, PlacementRequest, SendHistory};
pub use blocklist::{Blocklist, Crash, Finding, MAX_REPORTED_CRASHES, Standing, Verdict};
pub use budget::{BudgetUse, RepeatCause, RepeatDecision, RetryBudget, RetryBudgetSettings};
pub use candidate::LoadReport;
pub use cold::{ColdRate, ColdSign};
pub use cold_slots::CheckStart;
pub use configuration::{ColdLimit, Configuration, Limits, Match, Route, Target};
pub use delays::Delays;
pub use directory::{Digest, Directory, Member, MergeResult};
pub use evacuation::{Evacuation, EvacuationUpdate, Evacuations};
pub use fan_out::{CallOrigin, Calls, FanOut, StartedRun};
pub use fetch::{FetchSettings, FetchStep, FetchTracker};
pub use intake::{BodyDecision, BodyOffer, BodyWake, Intake};
pub use kept::Kept;
pub use link::{LARGE_BYTES, Link};
pub use local_server::{LocalServer, ServerAnswer, ServerUpdate, Stay};
pub use neighbours::{NeighbourSettings, Neighbours, store_reader_rank};
pub use organisation::{Credential, KeyCheck, Organisation, Organisations, Quota};
pub use organisation_labels::OrganisationLabels;
pub use parents::{Parent, ParentLookup, Parents};
pub use placement::{Placement, PlacementSettings};
pub use quota::{
    DemandEntry, Echo, QuotaBounds, QuotaDue, QuotaPeer, QuotaRestart, QuotaUse, Quotas,
    ShareGrant, ShareReply, ShareRequest, TokenDecision,
};
pub use rank::Rank;
pub use rate::{Pace, RateLimit};
pub use request_key::RequestKey;
pub use returns::{RejectedCallers, RejectedCallersSettings};
pub use revocation::{PendingSend, REVOKE_TIMEOUT, Revocation, SendEvent, SendId, SendStep, Sends};
pub use rollout::{
    Counts, Evidence, Judgement, OrderRelation, Rollout, RolloutOrder, RolloutSettings,
    RolloutState, Side, Step, VersionFilter,
};
pub use row_version::RowVersion;
pub use runs::{CrashSign, CrashedRuns, RunEnd, Runs};
pub use server::{Heartbeat, LeaveNotice, Server, ServerState};
pub use slots::{Admission, Arrival, Load, Slots, SlotsSettings, TaskId, Wake};
pub use tickets::{Ticket, Tickets};
