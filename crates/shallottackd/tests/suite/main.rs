//! Tests of the daemon as a whole.

mod local;
mod settings;
mod support;
