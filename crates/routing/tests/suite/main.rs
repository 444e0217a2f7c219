//! Tests of the router.

mod cold;
mod deep;
mod eject;
mod fixture;
mod invariants;
mod leaving;
mod retry;
mod select;
mod spill;
