//! Tests of the configuration crate.

mod commit;
mod file;
mod model;
mod platform;
mod properties;
mod search;
mod snapshot;
