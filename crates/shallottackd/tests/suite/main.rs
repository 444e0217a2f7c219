//! Tests of the daemon as a whole.

mod fleet;
mod local;
mod mesh;
mod settings;
mod support;
