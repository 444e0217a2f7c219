//! Quotas of organisations, divided among the daemons of the fleet.
//!
//! Each daemon owns an equal share of every quota and lends it to the broker of the organisation's
//! group, with an expiry. The broker returns and lends shares to the daemons that have demand.
//! Shares are only moved, so that their sum never exceeds the quota. Each side of a loan counts its
//! duration so that the borrower stops before the lender starts again, however long messages take:
//! a borrower counts from when it sent the request, and a broker counts what it was lent from a
//! time of its own that the lender returned.

mod account;
mod broker;
mod message;
mod quotas;

pub use message::{DemandEntry, Echo, ShareGrant, ShareReply, ShareRequest};
pub use quotas::{
    Due as QuotaDue, Peer as QuotaPeer, QuotaBounds, QuotaUse, Quotas, Restart as QuotaRestart,
    TokenDecision,
};
