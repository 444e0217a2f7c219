//! Announcement to the daemon beside the backend server.

use std::{net::SocketAddr, time::Duration};

use async_std::task;
use serde::{Deserialize, Serialize};
use shallottack_http::{Pool, PoolSettings};
use shallottack_kernel::{GroupName, ServiceName};

use super::state::State;
use crate::call::call_path;

/// First and longest delay between two attempts; each attempt doubles it.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Body of `POST /announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Version of the service.
    pub group: GroupName,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Calls that run at the same time.
    pub slots: usize,
    /// Remaining cold start in milliseconds.
    pub cold_start_ms: u64,
}

/// Body of `POST /leave`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
}

/// Announces the backend server until its daemon accepts, and again at the interval of the
/// settings.
pub(super) async fn announce(state: State, daemon: SocketAddr, address: SocketAddr) {
    loop {
        let settings = &state.settings;
        let announcement = || Announcement {
            service: settings.service.clone(),
            group: settings.group.clone(),
            address,
            slots: settings.slots,
            cold_start_ms: state.cold_left().as_millis() as u64,
        };
        post(&state, daemon, "/announce", announcement).await;
        match settings.reannounce {
            Some(interval) => task::sleep(interval).await,
            None => return,
        }
    }
}

/// Tells the daemon that the backend server leaves, until it accepts.
pub(super) async fn leave(state: &State, daemon: SocketAddr, address: SocketAddr) {
    let departure = || Departure { service: state.settings.service.clone(), address };
    post(state, daemon, "/leave", departure).await;
}

async fn post<B: Serialize>(state: &State, daemon: SocketAddr, path: &str, body: impl Fn() -> B) {
    let pool = Pool::new(PoolSettings { connections: 1, ..PoolSettings::default() });
    let mut delay = RETRY_DELAYS.0;
    loop {
        state.thawed().await;
        if call_path(&pool, daemon, path, Some(&body())).await.is_ok() {
            return;
        }
        task::sleep(delay / 2 + state.jitter(delay / 2)).await;
        delay = (delay * 2).min(RETRY_DELAYS.1);
    }
}
