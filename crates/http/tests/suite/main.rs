//! Tests of the HTTP server and client against raw TCP peers.

mod client;
mod memory;
mod peer;
mod pipeline;
mod server;
