//! Typed configuration resources, validation, versions, deltas and merging.

mod catalog;
mod change;
pub mod commit;
mod diff;
mod file;
mod resource;
mod validate;
mod version;

pub use catalog::Catalog;
pub use change::{ApplyError, Change, Delta, WriteId};
pub use diff::{Difference, difference};
pub use file::{FileError, FileProblem, parse_file, print_file};
pub use resource::{Class, Kind, LatencyTarget, Resource, ResourceKey, Route, Service};
pub use validate::{
    MAX_CHANGE_BYTES, MAX_CLASSES, MAX_ROUTES, MAX_SERVICES, Problem, Rejection, validate,
};
pub use version::Version;
