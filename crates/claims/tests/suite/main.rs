//! Tests of the claims crate.

mod batches;
mod claims;
mod model;
mod rows;
#[path = "../../../config/tests/suite/search.rs"]
mod search;
mod support;
