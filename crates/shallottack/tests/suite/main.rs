//! Tests that run the client binary.

mod explain;
