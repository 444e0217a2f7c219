//! Tests of the configuration crate.

mod commit;
mod file;
mod model;
mod properties;
mod search;
mod snapshot;
mod world;
