//! Membership protocol: tracks which endpoints exist and what state they are in.
//!
//! [`Membership`] holds one record per endpoint. Records are disseminated by gossip and
//! anti-entropy, and failures are detected by probes between daemons, as in SWIM. The crate does
//! no I/O.

mod anti_entropy;
mod core;
mod counters;
mod gossip;
mod input;
mod join;
mod local;
mod member;
mod message;
mod probe;
mod query;
mod reachability;
mod settings;
mod suspicion;
mod table;

pub use crate::{
    core::Membership,
    counters::Counters,
    input::{Action, Actions, Announcement, Identity, Input},
    member::{Addresses, Member, State},
    message::{Body, Message, ShortDigest, Summary},
    settings::Settings,
};
