//! Tests of the configuration crate.

mod commit;
mod file;
mod properties;
mod snapshot;
mod world;
