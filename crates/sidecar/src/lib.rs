//! Sidecar daemon of a backend server in a fleet without a control plane.
//!
//! A caller's request enters at the daemon of its own VM, which chooses a backend server. The
//! daemon beside that backend server assigns a slot and runs the request. Daemons read the
//! configuration and the members from the platform's store and also exchange them with each other,
//! so that a daemon that can't reach the store learns them as well.

mod backend;
mod backoff;
mod callers;
pub mod config_history;
mod crashes;
mod daemon;
mod evacuations;
mod events;
mod follow;
mod heartbeats;
mod identify;
mod in_progress;
mod intake;
mod listener;
pub mod message;
mod node;
mod publish;
mod quotas;
mod rejection;
mod relay;
mod repeats;
mod revoke;
mod rollouts;
mod sender;
mod server;
mod settings;
mod sync;
mod telemetry;
mod warmup;

pub use daemon::{RunError, run};
pub use events::{Event, EventLog};
pub use settings::Settings;
