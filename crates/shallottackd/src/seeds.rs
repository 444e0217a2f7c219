//! Finds the first peers, and keeps the seed rows of the data centre up to date.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallottack_membership::{self as membership, State};

use crate::{mesh::Mesh, sweeper::Sweeper};

/// Time between two looks at the seed rows by a source.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two attempts to find peers while none is known.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// What the daemon does about seeds now.
enum Duty {
    /// No peer is known: read the seed rows.
    Search,
    /// This daemon is the source: keep the rows up to date.
    Refresh,
    /// Nothing.
    Rest,
}

/// Runs until the task is cancelled. `configured` are the addresses in the settings.
pub async fn run(mesh: Arc<Mesh>, configured: Vec<SocketAddr>) {
    if !configured.is_empty() {
        mesh.membership(membership::Input::Seeds { addresses: configured.clone() });
    }
    let mut sweeper = Sweeper::default();
    loop {
        let wait = match duty(&mesh) {
            Duty::Search => {
                search(&mesh, &configured).await;
                SEARCH_INTERVAL
            }
            Duty::Refresh => {
                refresh(&mesh).await;
                sweeper.sweep_if_due(&mesh).await;
                REFRESH_INTERVAL
            }
            Duty::Rest => SEARCH_INTERVAL,
        };
        async_std::task::sleep(wait).await;
    }
}

fn duty(mesh: &Mesh) -> Duty {
    if mesh.report().is_some() {
        return Duty::Refresh;
    }
    let me = &mesh.me().endpoint;
    let alone = mesh.members().iter().all(|member| member.endpoint == *me);
    if alone { Duty::Search } else { Duty::Rest }
}

async fn search(mesh: &Arc<Mesh>, configured: &[SocketAddr]) {
    // The next round tries again.
    let Ok(rows) = mesh.store().read_seeds(None).await else { return };
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
    // A failed round is made up for by the next.
    let _ = mesh.store().refresh_seeds(here, &live).await;
}
