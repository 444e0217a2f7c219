//! Tests of the configuration crate.

mod commit;
mod snapshot;
mod world;
