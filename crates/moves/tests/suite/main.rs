//! Tests of the decisions on moves.

mod decide;
mod guard;
mod judge;
mod model;
mod properties;
mod rows;
#[path = "../../../config/tests/suite/search.rs"]
mod search;
mod world;
