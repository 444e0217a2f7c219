//! Life cycle of the daemon: binding, serving, draining.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_std::{
    channel::{Receiver, bounded},
    net::TcpListener,
    task::JoinHandle,
};
use shallottack_config::{Catalog, Change, Version, WriteId};
use shallottack_distribution as distribution;
use shallottack_http::{Limits as HttpLimits, PoolSettings, Serving, serve};
use shallottack_kernel::{EndpointId, Registry, SystemClock};
use shallottack_membership::{self as membership, Addresses, Identity};
use shallottack_platform::{HttpPlatform, HttpSettings, MemoryPlatform, Platform};
use shallottack_rpc::{Peers, PeersSettings, Traffic};
use tide::Request;

use crate::{
    calls::{Backend, Calls, CallsView, KeyedCalls, relay_pool},
    commits::Commits,
    embedded,
    mesh::{Mesh, MeshHandler, MeshParts},
    operators::Operators,
    seeds,
    settings::{PlatformSettings, Settings},
};

/// Time for which a stopping daemon still takes calls that daemons which have not yet heard of
/// the stop send to it; they are refused as not run, which is not the same as a refused
/// connection for a call that was under way.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// Why the daemon did not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// A port can't be opened.
    #[error("can't listen on {address} ({port}): {source}")]
    Listen {
        /// Key of the port in the settings.
        port: &'static str,
        /// Address that was asked for.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The embedded backend server can't be started.
    #[error("can't start the embedded backend server: {0}")]
    Embedded(io::Error),
    /// The bootstrap configuration can't be applied.
    #[error("can't apply the bootstrap configuration: {0}")]
    Bootstrap(String),
}

/// Ports that are open but not served yet.
pub struct Bound {
    callers: TcpListener,
    relay: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    announce: TcpListener,
}

/// The daemon serves calls.
pub struct Running {
    registry: Registry,
    callers: Serving,
    relay: Serving,
    operators: Serving,
    announce: Serving,
    embedded: Option<Serving>,
    addresses: BoundAddresses,
    tasks: Vec<JoinHandle<()>>,
    drain: Receiver<()>,
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct BoundAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Calls forwarded by other daemons.
    pub relay: SocketAddr,
    /// Messages of other daemons.
    pub peers: SocketAddr,
    /// Operators' API.
    pub operators: SocketAddr,
    /// Announcements of the backend server.
    pub announce: SocketAddr,
}

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Connections that were still busy at the limit and were closed.
    pub aborted: usize,
}

/// A daemon in one state of its life cycle: [`Bound`], then [`Running`].
pub struct Daemon<S> {
    settings: Settings,
    state: S,
}

impl Daemon<Bound> {
    /// Opens all ports.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] for the first port that can't be opened.
    pub async fn bind(settings: Settings) -> Result<Daemon<Bound>, StartError> {
        let listen = &settings.listen;
        let state = Bound {
            callers: open("callers", listen.callers).await?,
            relay: open("relay", listen.relay).await?,
            peers: open("peers", listen.peers).await?,
            operators: open("operators", listen.operators).await?,
            announce: open("announce", listen.announce).await?,
        };
        Ok(Daemon { settings, state })
    }

    /// Starts to serve, on the platform that the settings name.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the embedded backend server or the bootstrap configuration
    /// can't be brought up.
    pub async fn start(self) -> Result<Daemon<Running>, StartError> {
        let platform: Arc<dyn Platform> = match &self.settings.platform {
            PlatformSettings::Memory {} => Arc::new(MemoryPlatform::new()),
            PlatformSettings::Http { addresses, token } => {
                Arc::new(HttpPlatform::new(HttpSettings::new(addresses.clone(), token.as_str())))
            }
        };
        self.start_on(platform).await
    }

    /// Starts to serve on `platform`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the embedded backend server or the bootstrap configuration
    /// can't be brought up.
    pub async fn start_on(
        self,
        platform: Arc<dyn Platform>,
    ) -> Result<Daemon<Running>, StartError> {
        let Daemon { settings, state: bound } = self;
        let addresses = bound.addresses().map_err(|source| StartError::Listen {
            port: "any",
            address: settings.listen.callers,
            source,
        })?;
        let clock = SystemClock::new();
        let view = CallsView::new(settings.data_centre.clone(), clock);
        let traffic = Arc::new(Traffic::default());
        let mesh = Mesh::new(MeshParts {
            identity: identity(&settings, addresses),
            distribution: distribution_settings(&settings),
            membership: membership::Settings::default(),
            peers: Peers::new(
                PeersSettings::default(),
                &settings.tokens.mesh,
                Arc::clone(&traffic),
            ),
            traffic: Arc::clone(&traffic),
            platform: Arc::clone(&platform),
            observer: Arc::clone(&view) as _,
            clock,
            seed: rand::random(),
        });
        let pool = PoolSettings {
            connections: settings.limits.backend_connections,
            body_bytes: settings.limits.body_bytes,
            ..PoolSettings::default()
        };
        let backend = Backend::new(Arc::clone(&mesh), clock, pool);
        view.attach(Arc::clone(&backend));
        let keyed =
            KeyedCalls::new(settings.endpoint.clone(), platform, Arc::clone(&backend), clock);
        let calls = Calls::new(
            settings.endpoint.clone(),
            &settings.tokens.mesh,
            &view,
            Arc::clone(&mesh),
            Arc::clone(&backend),
            Arc::clone(&keyed),
            relay_pool(settings.limits.body_bytes),
        );
        let commits = Arc::new(Commits::new(Arc::clone(&mesh)));
        let (drain_sender, drain) = bounded(1);
        let operators = Operators::new(
            &settings.tokens.operators,
            Arc::clone(&mesh),
            Arc::clone(&commits),
            Arc::clone(&backend),
            drain_sender,
        );
        let registry = Registry::new();
        register(&registry, &mesh, &calls, &backend, &commits, &operators);

        let peers = shallottack_rpc::serve(
            bound.peers,
            &settings.tokens.mesh,
            Arc::new(MeshHandler(Arc::clone(&mesh))),
            traffic,
        );
        let tasks = vec![
            peers,
            async_std::task::spawn(Arc::clone(&mesh).run()),
            async_std::task::spawn(Arc::clone(&backend).run_timers()),
            async_std::task::spawn(keyed.run_timers()),
            async_std::task::spawn(seeds::run(Arc::clone(&mesh), settings.seeds.clone())),
        ];
        let listen_failed = |port: &'static str, address: SocketAddr| {
            move |source| StartError::Listen { port, address, source }
        };
        let callers = serve(
            bound.callers,
            caller_app(Arc::clone(&calls)),
            limits(&settings, settings.limits.caller_connections),
        )
        .map_err(listen_failed("callers", addresses.callers))?;
        let relay = serve(
            bound.relay,
            relay_app(Arc::clone(&calls)),
            limits(&settings, settings.limits.relay_connections),
        )
        .map_err(listen_failed("relay", addresses.relay))?;
        let operators = serve(bound.operators, operators.app(), limits(&settings, 64))
            .map_err(listen_failed("operators", addresses.operators))?;
        let announce = serve(bound.announce, announce_app(calls), limits(&settings, 16))
            .map_err(listen_failed("announce", addresses.announce))?;
        if let Some(path) = &settings.bootstrap {
            bootstrap(path, &commits).await?;
        }
        let embedded = match &settings.embedded {
            Some(embedded) => Some(
                embedded::start(embedded, addresses.announce)
                    .await
                    .map_err(StartError::Embedded)?,
            ),
            None => None,
        };
        log::info!(
            endpoint = settings.endpoint.as_str(),
            callers = addresses.callers.to_string();
            "daemon serves"
        );
        let state = Running {
            registry,
            callers,
            relay,
            operators,
            announce,
            embedded,
            addresses,
            tasks,
            drain,
        };
        Ok(Daemon { settings, state })
    }
}

impl Daemon<Running> {
    /// Returns the addresses on which the daemon listens.
    pub fn addresses(&self) -> BoundAddresses {
        self.state.addresses
    }

    /// Returns the daemon's services, which are found by name.
    pub fn registry(&self) -> &Registry {
        &self.state.registry
    }

    /// Returns the name of the endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.settings.endpoint
    }

    /// Waits until an operator asks for a planned stop.
    pub async fn drain_requested(&self) {
        // The sender lives as long as the operators' listener.
        let _ = self.state.drain.recv().await;
    }

    /// Stops gracefully: announces the leave, refuses new work as not run, finishes the requests
    /// in flight and ends. Connections that are still busy after the limit are closed.
    pub async fn stop(self) -> Stopped {
        let Daemon { settings, state } = self;
        log::info!(endpoint = settings.endpoint.as_str(); "daemon drains");
        let mesh = state.registry.lookup::<Mesh>(Mesh::NAME);
        if let Some(mesh) = &mesh {
            mesh.membership(membership::Input::Leave { callers: Vec::new() });
        }
        if let Some(calls) = state.registry.lookup::<Calls>(Calls::NAME) {
            calls.stop();
        }
        let backend = state.registry.lookup::<Backend>(Backend::NAME);
        if let Some(backend) = &backend {
            backend.leave();
        }
        // Calls that others are sending at this moment still run; after the notice they are
        // refused as not run.
        async_std::task::sleep(LEAVE_NOTICE).await;
        if let Some(backend) = &backend {
            backend.stop();
        }
        let limit = settings.drain;
        let callers = state.callers.stop(limit).await;
        let relay = state.relay.stop(limit).await;
        if let Some(mesh) = &mesh {
            mesh.membership(membership::Input::Stop);
        }
        drop((state.operators, state.announce, state.embedded));
        for task in state.tasks {
            task.cancel().await;
        }
        let aborted = callers.aborted + relay.aborted;
        log::info!(endpoint = settings.endpoint.as_str(), aborted; "daemon stopped");
        Stopped { aborted }
    }
}

impl Bound {
    fn addresses(&self) -> io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            relay: self.relay.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
            announce: self.announce.local_addr()?,
        })
    }
}

async fn open(port: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let opened = TcpListener::bind(address).await;
    opened.map_err(|source| StartError::Listen { port, address, source })
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

fn limits(settings: &Settings, connections: usize) -> HttpLimits {
    HttpLimits {
        connections,
        body_bytes: settings.limits.body_bytes,
        head: settings.limits.header_timeout,
        ..HttpLimits::default()
    }
}

fn register(
    registry: &Registry,
    mesh: &Arc<Mesh>,
    calls: &Arc<Calls>,
    backend: &Arc<Backend>,
    commits: &Arc<Commits>,
    operators: &Arc<Operators>,
) {
    let results = [
        registry.register(Mesh::NAME, Arc::clone(mesh)),
        registry.register(Calls::NAME, Arc::clone(calls)),
        registry.register(Backend::NAME, Arc::clone(backend)),
        registry.register(Commits::NAME, Arc::clone(commits)),
        registry.register(Operators::NAME, Arc::clone(operators)),
    ];
    debug_assert!(results.iter().all(Result::is_ok), "names of services are distinct");
}

fn caller_app(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    async fn answer(request: Request<Arc<Calls>>) -> tide::Result {
        let calls = Arc::clone(request.state());
        Ok(calls.caller(request.into()).await.into())
    }
    let mut app = tide::with_state(calls);
    app.at("/").all(answer);
    app.at("/*").all(answer);
    app
}

fn relay_app(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    async fn answer(request: Request<Arc<Calls>>) -> tide::Result {
        let calls = Arc::clone(request.state());
        Ok(calls.relay(request.into()).await.into())
    }
    let mut app = tide::with_state(calls);
    app.at("/").all(answer);
    app.at("/*").all(answer);
    app
}

fn announce_app(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    let mut app = tide::with_state(calls);
    app.at("/announce").post(|request: Request<Arc<Calls>>| async move {
        let calls = Arc::clone(request.state());
        Ok(tide::Response::from(calls.announce(request.into()).await))
    });
    app.at("/leave").post(|request: Request<Arc<Calls>>| async move {
        Ok(tide::Response::from(Arc::clone(request.state()).leave().await))
    });
    app
}

/// Applies the configuration file at `path` when the platform holds no configuration.
async fn bootstrap(path: &Path, commits: &Commits) -> Result<(), StartError> {
    let failed = |detail: String| StartError::Bootstrap(format!("{}: {detail}", path.display()));
    let text = std::fs::read(path).map_err(|error| failed(error.to_string()))?;
    let catalog =
        shallottack_config::parse_file(&text).map_err(|error| failed(error.to_string()))?;
    if commits.head_version().await.map_err(failed)? > Version::ZERO {
        return Ok(());
    }
    let change = Change::between(&Catalog::default(), &catalog, WriteId("bootstrap".into()));
    match commits.submit(change, "bootstrap", false, true).await {
        Ok(_) => Ok(()),
        Err(failure) => Err(failed(failure.to_string())),
    }
}
