//! One daemon of a fleet: its mesh and commit services without the HTTP ports.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use async_std::{net::TcpListener, task::JoinHandle};
use shallottack_config::{Catalog, Change, Version};
use shallottack_distribution as distribution;
use shallottack_kernel::{Failure, ServiceName, SystemClock};
use shallottack_membership::{self as membership, Addresses, Announcement, Identity, Member};
use shallottack_platform::MemoryPlatform;
use shallottack_rpc::{Peers, PeersSettings, Traffic};
use shallottackd::{
    commits::Commits,
    mesh::{Mesh, MeshHandler, MeshParts, Observer},
    seeds,
};

use super::{CutPlatform, FleetSettings, SharedLog, gate::Gate};

/// Token of the daemons in a fleet.
const TOKEN: &str = "token-of-the-fleet";

struct Recorder {
    index: usize,
    log: SharedLog,
}

impl Observer for Recorder {
    fn catalog_applied(&self, catalog: Arc<Catalog>) {
        self.log.record(self.index, &catalog);
    }

    fn endpoints_changed(&self, _: &ServiceName, _: Vec<Arc<Member>>) {}
}

/// One daemon of a fleet.
pub struct Node {
    index: usize,
    mesh: Arc<Mesh>,
    commits: Commits,
    traffic: Arc<Traffic>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    pub(super) async fn start(
        settings: &FleetSettings,
        index: usize,
        life: u64,
        platform: &MemoryPlatform,
        cuts: &[Arc<AtomicBool>],
        log: &SharedLog,
    ) -> Node {
        let data_centre = index % settings.data_centres;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback port");
        let address = listener.local_addr().expect("bound");
        let traffic = Arc::new(Traffic::default());
        let mesh = Mesh::new(MeshParts {
            identity: Identity {
                endpoint: format!("endpoint-{index}").parse().expect("valid name"),
                data_centre: format!("dc-{data_centre}").parse().expect("valid name"),
                addresses: Addresses { relay: address, peers: address, operators: address },
                incarnation: life,
            },
            distribution: distribution::Settings {
                mode: settings.mode,
                ..distribution::Settings::default()
            },
            membership: membership::Settings::default(),
            peers: Peers::new(PeersSettings::default(), TOKEN, Arc::clone(&traffic)),
            traffic: Arc::clone(&traffic),
            platform: Arc::new(CutPlatform::new(platform.clone(), Arc::clone(&cuts[data_centre]))),
            observer: Arc::new(Recorder { index, log: log.clone() }),
            clock: SystemClock::new(),
            seed: settings.seed.wrapping_mul(1_000_003).wrapping_add(life),
        });
        let gate = Gate { inner: MeshHandler(Arc::clone(&mesh)), data_centre, cuts: cuts.to_vec() };
        let tasks = vec![
            shallottack_rpc::serve(listener, TOKEN, Arc::new(gate), Arc::clone(&traffic)),
            async_std::task::spawn(Arc::clone(&mesh).run()),
            async_std::task::spawn(seeds::run(Arc::clone(&mesh), Vec::new())),
        ];
        mesh.membership(membership::Input::Announce(Announcement {
            service: format!("service-{}", index % settings.services).parse().expect("valid name"),
            group: "v1".parse().expect("valid name"),
            slots: 12,
            cold_start: Duration::ZERO,
        }));
        mesh.membership(membership::Input::BackendResponded);
        let commits = Commits::new(Arc::clone(&mesh));
        Node { index, mesh, commits, traffic, tasks }
    }

    /// Returns the number of the daemon in the fleet.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> Version {
        self.mesh.in_force()
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.mesh.catalog()
    }

    /// Returns the number of members known that are not gone.
    pub fn known(&self) -> usize {
        self.mesh.members().len()
    }

    /// Returns the number of records that the daemon still gossips.
    pub fn pending_gossip(&self) -> usize {
        self.mesh.pending_gossip()
    }

    /// Returns whether the daemon reads the platform for its data centre.
    pub fn is_source(&self) -> bool {
        self.mesh.report().is_some()
    }

    /// Returns the bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.traffic.sent_bytes() + self.traffic.received_bytes()
    }

    /// Returns the exchanges begun and the connections opened.
    pub fn exchanges(&self) -> (u64, u64) {
        (self.traffic.exchanges(), self.traffic.connections())
    }

    /// Submits a change and returns the version that holds it.
    ///
    /// # Errors
    ///
    /// Returns the [`Failure`] of the commit decisions.
    pub async fn submit(&self, change: Change) -> Result<Version, Failure> {
        self.commits.submit(change, "bench", false, false).await.map(|it| it.version)
    }

    /// Reads the newest catalog from the platform.
    pub async fn load(&self) -> Option<Catalog> {
        self.mesh.store().load_catalog(None).await.ok()
    }

    /// Rebuilds every version that the platform's deltas still cover, oldest first.
    pub async fn history(&self) -> Option<Vec<Catalog>> {
        self.mesh.store().history().await.ok()
    }

    /// Stops the daemon at once, without notice to anybody.
    pub(super) async fn kill(&mut self) {
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
        self.mesh.halt();
    }
}
