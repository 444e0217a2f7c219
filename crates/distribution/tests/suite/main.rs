//! Tests of the distribution state machine with a simulated network and platform.

mod contact;
mod explore;
mod floor;
mod lease;
mod platform;
mod repair;
mod sim;
mod transfer;
mod tree;
