//! The services of a daemon and how they are made.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_std::{
    channel::Sender,
    net::TcpListener,
    task::{JoinHandle, spawn},
};
use shallottack_distribution as distribution;
use shallottack_http::PoolSettings;
use shallottack_kernel::{Registry, SystemClock};
use shallottack_membership::{self as membership, Addresses, Identity};
use shallottack_platform::Platform;
use shallottack_rpc::{Peers, PeersSettings, Traffic};

use crate::{
    calls::{Backend, Calls, CallsView, KeyedCalls, relay_pool},
    commits::Commits,
    daemon::BoundAddresses,
    mesh::{Mesh, MeshHandler, MeshParts},
    operators::Operators,
    seeds,
    settings::{PlatformSettings, Settings},
};

/// The services of a daemon.
pub(crate) struct Services {
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) calls: Arc<Calls>,
    pub(crate) backend: Arc<Backend>,
    pub(crate) commits: Arc<Commits>,
    pub(crate) operators: Arc<Operators>,
    keyed: Arc<KeyedCalls>,
    traffic: Arc<Traffic>,
}

impl Services {
    /// Creates the services; a message on `drain` asks for a planned stop.
    pub(crate) fn new(
        settings: &Settings,
        addresses: BoundAddresses,
        platform: Arc<dyn Platform>,
        drain: Sender<()>,
    ) -> Services {
        let clock = SystemClock::new();
        let view = CallsView::new(settings.data_centre.clone(), clock);
        let traffic = Arc::new(Traffic::default());
        let token = settings.tokens.mesh.as_str();
        let mesh = Mesh::new(MeshParts {
            identity: identity(settings, addresses),
            distribution: distribution_settings(settings),
            membership: membership::Settings::default(),
            peers: Peers::new(PeersSettings::default(), token, Arc::clone(&traffic)),
            traffic: Arc::clone(&traffic),
            platform: Arc::clone(&platform),
            observer: Arc::clone(&view) as _,
            clock,
            seed: rand::random(),
        });
        let backend = Backend::new(Arc::clone(&mesh), clock, backend_pool(settings));
        view.attach(Arc::clone(&backend));
        let endpoint = settings.endpoint.clone();
        let keyed = KeyedCalls::new(endpoint.clone(), platform, Arc::clone(&backend), clock);
        let calls = Calls::new(
            endpoint,
            token,
            &view,
            Arc::clone(&mesh),
            Arc::clone(&backend),
            Arc::clone(&keyed),
            relay_pool(settings.limits.body_bytes),
        );
        let commits = Arc::new(Commits::new(Arc::clone(&mesh)));
        let operators = Operators::new(
            &settings.tokens.operators,
            Arc::clone(&mesh),
            Arc::clone(&commits),
            Arc::clone(&backend),
            drain,
        );
        Services { mesh, calls, backend, commits, operators, keyed, traffic }
    }

    /// Registers the services under their names.
    pub(crate) fn register(&self, registry: &Registry) {
        let results = [
            registry.register(Mesh::NAME, Arc::clone(&self.mesh)),
            registry.register(Calls::NAME, Arc::clone(&self.calls)),
            registry.register(Backend::NAME, Arc::clone(&self.backend)),
            registry.register(Commits::NAME, Arc::clone(&self.commits)),
            registry.register(Operators::NAME, Arc::clone(&self.operators)),
        ];
        debug_assert!(results.iter().all(Result::is_ok), "names of services are distinct");
    }

    /// Starts the tasks of the services, and serves other daemons on `peers`.
    pub(crate) fn spawn(&self, settings: &Settings, peers: TcpListener) -> Vec<JoinHandle<()>> {
        let handler = Arc::new(MeshHandler(Arc::clone(&self.mesh)));
        let traffic = Arc::clone(&self.traffic);
        vec![
            shallottack_rpc::serve(peers, &settings.tokens.mesh, handler, traffic),
            spawn(Arc::clone(&self.mesh).run()),
            spawn(Arc::clone(&self.backend).run_timers()),
            spawn(Arc::clone(&self.keyed).run_timers()),
            spawn(seeds::run(Arc::clone(&self.mesh), settings.seeds.clone())),
        ]
    }
}

fn backend_pool(settings: &Settings) -> PoolSettings {
    PoolSettings {
        connections: settings.limits.backend_connections,
        body_bytes: settings.limits.body_bytes,
        ..PoolSettings::default()
    }
}

fn identity(settings: &Settings, addresses: BoundAddresses) -> Identity {
    let reachable = |address: SocketAddr| match settings.advertise {
        Some(ip) => SocketAddr::new(ip, address.port()),
        None => address,
    };
    // A clock before 1970 gives 0; the membership core then takes the incarnation that others
    // still know plus one.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Identity {
        endpoint: settings.endpoint.clone(),
        data_centre: settings.data_centre.clone(),
        addresses: Addresses {
            relay: reachable(addresses.relay),
            peers: reachable(addresses.peers),
            operators: reachable(addresses.operators),
        },
        incarnation: since_epoch.as_millis() as u64,
    }
}

fn distribution_settings(settings: &Settings) -> distribution::Settings {
    let defaults = distribution::Settings::default();
    match settings.platform {
        // Nobody else reads this platform, so that there is no load to spread.
        PlatformSettings::Memory {} => {
            distribution::Settings { start_jitter: Duration::ZERO, ..defaults }
        }
        PlatformSettings::Http { .. } => defaults,
    }
}
