//! Daemon beside a backend server in a fleet without control machines.
//!
//! Callers' requests enter at the daemon of their VM, which places them; the daemon beside the
//! chosen backend server gives them a slot and runs them. Configuration and members are followed
//! in the platform's store and exchanged between daemons, so that a daemon without the store
//! learns them as well.

mod backend;
mod backoff;
mod callers;
pub mod config_history;
mod daemon;
mod events;
mod follow;
mod heartbeats;
mod listener;
mod message;
mod node;
mod publish;
mod relay;
mod rollouts;
mod settings;
mod sync;
mod tasks;
mod telemetry;

pub use daemon::{RunError, run};
pub use events::{Event, EventLog};
pub use settings::Settings;
