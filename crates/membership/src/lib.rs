//! Decisions about which endpoints exist and what state they are in.
//!
//! [`Membership`] holds one record for each endpoint. Records spread by gossip and anti-entropy,
//! and failures are found by probes between daemons. The crate does no I/O.

mod core;
mod counters;
mod entropy;
mod gossip;
mod input;
mod join;
mod member;
mod message;
mod owner;
mod probe;
mod query;
mod reach;
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
