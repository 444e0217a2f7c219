//! Stand-ins for backend servers, the platform and links, for tests and measurements.
//!
//! The first two run inside a process or as a process of their own (`examples/`). `docs/standins.md` lists
//! their options, paths and headers.

pub mod backend;
mod call;
pub mod link;
pub mod platform;
pub mod site;

pub use backend::{Backend, BackendSettings};
pub use call::fetch_json;
pub use platform::{PlatformServer, PlatformSettings};
