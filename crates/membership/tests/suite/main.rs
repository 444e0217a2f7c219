//! Tests of the membership state machine.

mod detection;
mod dissemination;
mod driver;
mod encoding;
mod local;
mod partition;
mod random;
mod traffic;
