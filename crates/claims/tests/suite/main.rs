//! Tests of the claim decisions.

mod batches;
mod claims;
mod rows;
mod world;
