//! Stand-ins for the users' platform: its store, and a backend server that sends heartbeats.

mod http;
mod server;
mod store;

pub use http::{Connection, Received, Reply, exchange};
pub use server::{Answering, HEALTH_PATH, SiteServer};
pub use store::{SiteStore, StoreCopy, StoreView};
