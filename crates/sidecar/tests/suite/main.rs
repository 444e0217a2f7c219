//! Log, settings and configurations of the daemon in a fleet.

mod config_history;
mod events;
mod settings;
