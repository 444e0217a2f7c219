//! Tests of the moves crate.

mod breaker;
mod controller;
mod model;
mod properties;
mod route_tests;
mod rows;
#[path = "../../../config/tests/suite/search.rs"]
mod search;
mod support;
