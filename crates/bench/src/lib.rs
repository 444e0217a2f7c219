//! Measurements of the system.

pub mod fleet;
pub mod process;
pub mod report;
