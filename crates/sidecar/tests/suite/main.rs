//! Log and settings of the daemon in a fleet.

mod events;
mod settings;
