//! Tests of the daemon as a whole.

mod local;
mod mesh;
mod settings;
mod support;
