//! Tests of the sidecar's log, settings and configuration compression.

mod config_history;
mod events;
mod settings;
