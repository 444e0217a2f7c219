//! Log, settings and configurations of the daemon in a fleet.

mod document;
mod events;
mod settings;
