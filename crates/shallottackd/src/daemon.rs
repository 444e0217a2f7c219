//! Life cycle of the daemon: binding, serving, draining.

use std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use async_std::{
    channel::{Receiver, bounded},
    net::TcpListener,
    task::JoinHandle,
};
use shallottack_config::{Catalog, Change, Version, WriteId};
use shallottack_http::{Limits as HttpLimits, Serving, serve};
use shallottack_kernel::{EndpointId, Registry};
use shallottack_membership as membership;
use shallottack_platform::{HttpPlatform, HttpSettings, MemoryPlatform, Platform};

use crate::{
    apps,
    calls::{Backend, Calls},
    commits::Commits,
    embedded,
    mesh::Mesh,
    services::Services,
    settings::{PlatformSettings, Settings},
};

/// Time for which a stopping daemon still takes calls that daemons which have not yet heard of
/// the stop send to it; they are refused as not run, which is not the same as a refused
/// connection for a call that was under way.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// Most open connections of operators.
const OPERATOR_CONNECTIONS: usize = 64;
/// Most open connections of the backend server to the announce port.
const ANNOUNCE_CONNECTIONS: usize = 16;

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
        let (drain_sender, drain) = bounded(1);
        let services = Services::new(&settings, addresses, platform, drain_sender);
        let registry = Registry::new();
        services.register(&registry);
        let tasks = services.spawn(&settings, bound.peers);
        let calls = &services.calls;
        let limits = |connections| http_limits(&settings, connections);
        let state = Running {
            callers: listen(
                "callers",
                bound.callers,
                apps::callers(Arc::clone(calls)),
                limits(settings.limits.caller_connections),
            )?,
            relay: listen(
                "relay",
                bound.relay,
                apps::relay(Arc::clone(calls)),
                limits(settings.limits.relay_connections),
            )?,
            operators: listen(
                "operators",
                bound.operators,
                services.operators.app(),
                limits(OPERATOR_CONNECTIONS),
            )?,
            announce: listen(
                "announce",
                bound.announce,
                apps::announce(Arc::clone(calls)),
                limits(ANNOUNCE_CONNECTIONS),
            )?,
            embedded: None,
            registry,
            addresses,
            tasks,
            drain,
        };
        let mut daemon = Daemon { settings, state };
        daemon.prepare(&services).await?;
        log::info!(
            endpoint = daemon.settings.endpoint.as_str(),
            callers = addresses.callers.to_string();
            "daemon serves"
        );
        Ok(daemon)
    }
}

impl Daemon<Running> {
    /// Applies the bootstrap configuration and starts the embedded backend server, when the
    /// settings ask for them.
    async fn prepare(&mut self, services: &Services) -> Result<(), StartError> {
        if let Some(path) = &self.settings.bootstrap {
            bootstrap(path, &services.commits).await?;
        }
        if let Some(embedded) = &self.settings.embedded {
            let started = embedded::start(embedded, self.state.addresses.announce).await;
            self.state.embedded = Some(started.map_err(StartError::Embedded)?);
        }
        Ok(())
    }

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
            mesh.membership(membership::Input::Leave { notify: Vec::new() });
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

/// Serves an application on a listener.
fn listen<S>(
    port: &'static str,
    listener: TcpListener,
    app: tide::Server<S>,
    limits: HttpLimits,
) -> Result<Serving, StartError>
where
    S: Clone + Send + Sync + 'static,
{
    let address = listener.local_addr();
    serve(listener, app, limits).map_err(|source| StartError::Listen {
        port,
        address: address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0))),
        source,
    })
}

fn http_limits(settings: &Settings, connections: usize) -> HttpLimits {
    HttpLimits {
        connections,
        body_bytes: settings.limits.body_bytes,
        head: settings.limits.header_timeout,
        ..HttpLimits::default()
    }
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
