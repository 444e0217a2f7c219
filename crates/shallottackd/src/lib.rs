//! Daemon that sits beside a backend server.

pub mod calls;
pub mod commits;
pub mod daemon;
pub mod mesh;
pub mod seeds;
pub mod settings;
pub mod telemetry;

mod apps;
mod embedded;
mod operators;
mod services;
mod sweeper;

pub use daemon::{Daemon, Running, StartError};
pub use settings::Settings;
