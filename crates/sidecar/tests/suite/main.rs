//! Tests of the sidecar's log, settings and configuration compression, of requests
//! that other daemons revoke, and of slow links.

mod config_history;
mod daemon;
mod events;
mod revoke;
mod settings;
mod slow_link;
