//! Tests of the claim decisions.

mod batches;
mod claims;
mod model;
mod rows;
#[path = "../../../config/tests/suite/search.rs"]
mod search;
mod world;
