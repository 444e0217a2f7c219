//! Protocol messages of the daemons and their transport over HTTP/2.

mod client;
mod fleet;
mod io;
mod server;
mod watch;

/// Code generated from `proto/mesh.proto`; regenerate it with
/// `cargo run -p shallottack-rpc --example generate`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
mod generated {
    include!("generated/shallottack.mesh.v1.rs");
}

pub use client::{DeliverError, Peers, PeersSettings};
pub use fleet::{
    BodyTurn, ExchangeWaits, FleetHandler, FleetPeers, GRANTED_BYTES, GrantedCall, Lane, PeerCall,
    PeerError, PeerResult, serve_fleet,
};
pub use generated::{Envelope, Frame};
pub use io::Traffic;
pub use server::{Handler, serve};
pub use watch::Watch;

/// Protocol number of this build; daemons reject messages with another number.
pub const PROTOCOL: u32 = 9;

/// Largest encoded envelope in bytes; a snapshot of the largest catalog fits.
pub const MAX_ENVELOPE_BYTES: usize = 16 * 1024 * 1024;
