//! Measurements of the system.
