//! Finds the first peers, and keeps the seed rows of the data centre up to date.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use shallottack_membership::{self as membership, State};

use crate::{mesh::Mesh, sweeper::Sweeper};

/// Time between two rounds over the seed rows by a source; ten times the search interval, since
/// rows change only with members.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two attempts to find peers while none is known; a daemon that starts with others
/// finds them a second after their rows are written.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the task is cancelled. `configured` are the addresses in the settings.
pub async fn run(mesh: Arc<Mesh>, configured: Vec<SocketAddr>) {
    if !configured.is_empty() {
        mesh.membership(membership::Input::Seeds { addresses: configured.clone() });
    }
    let mut sweeper = Sweeper::default();
    let mut refreshed: Option<Instant> = None;
    loop {
        let source = mesh.report().is_some();
        if source && refreshed.is_none_or(|at| at.elapsed() >= REFRESH_INTERVAL) {
            refreshed = Some(Instant::now());
            refresh(&mesh).await;
            // Sources may have started apart, each with members that know no other data centre.
            search(&mesh, &configured).await;
            sweeper.sweep_if_due(&mesh).await;
        } else if is_alone(&mesh) {
            search(&mesh, &configured).await;
        }
        async_std::task::sleep(SEARCH_INTERVAL).await;
    }
}

fn is_alone(mesh: &Mesh) -> bool {
    let me = &mesh.me().endpoint;
    mesh.members().iter().all(|member| member.endpoint == *me)
}

async fn search(mesh: &Arc<Mesh>, configured: &[SocketAddr]) {
    let rows = match mesh.store().read_seeds(None).await {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error = error.to_string(); "seeds not read, next attempt follows");
            return;
        }
    };
    let stored = rows.iter().filter_map(|row| row.address);
    let addresses: Vec<_> = configured.iter().copied().chain(stored).collect();
    if !addresses.is_empty() {
        mesh.membership(membership::Input::Seeds { addresses });
    }
}

async fn refresh(mesh: &Arc<Mesh>) {
    let here = &mesh.me().data_centre;
    let live: Vec<_> = mesh
        .members()
        .iter()
        .filter(|it| it.data_centre == *here && it.state < State::Suspect)
        .map(|it| it.addresses.peers)
        .collect();
    if let Err(error) = mesh.store().refresh_seeds(here, &live).await {
        log::warn!(error = error.to_string(); "seeds not written, next attempt follows");
    }
}
