//! Measurements of the system.

pub mod cluster;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod process;
pub mod report;
