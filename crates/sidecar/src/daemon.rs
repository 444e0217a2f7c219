//! Life cycle of the daemon: start, reload and graceful stop.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use async_std::{
    net::TcpListener,
    stream::StreamExt,
    task::{self, JoinHandle},
};
use miette::Diagnostic;
use shallottack_rpc::serve_fleet;
use shallottack_settings::SettingsError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    callers::CallerService,
    events::{Event, EventLog},
    follow::{Table, follow},
    heartbeats,
    listener::{FnApplication, StopSignal, StopTrigger, serve},
    node::Node,
    publish::publish,
    quotas,
    relay::PeerService,
    rollouts,
    settings::Settings,
    telemetry,
};

/// How long callers are still accepted after the signal. The platform stops sending callers after
/// two failed readiness checks, which are one second apart.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_400);
/// How long requests for the backend server are still refused before the process may exit. By then
/// the other daemons have stopped sending any, so that none is cut.
const RELAY_DRAIN_TIME: Duration = Duration::from_millis(300);
/// How long before the end of the grace period the process exits, even with requests in progress.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// Interval between checks of the requests in progress, and of those that wait for a slot.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Errors that prevent the daemon from starting.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum RunError {
    /// The settings can't be read or are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A listening socket can't be opened.
    #[error("can't listen on {address} ({port}): {source}")]
    Listen {
        /// Key of the address in the settings.
        port: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("can't handle signals: {0}")]
    Signals(io::Error),
}

/// State in which all ports are open, but not served yet.
struct Bound {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    heartbeats: TcpListener,
    metrics: TcpListener,
}

/// State in which requests are served.
struct Serving {
    /// Closes the callers' connections on drop.
    callers: StopTrigger,
    /// Number of open connections of callers.
    connections: Arc<AtomicUsize>,
    background: Vec<JoinHandle<()>>,
}

/// The daemon in one state of its life cycle: [`Bound`], then [`Serving`].
struct Daemon<S> {
    node: Arc<Node>,
    state: S,
}

/// Runs the daemon with the settings at `path` until SIGTERM or SIGINT.
///
/// SIGHUP checks the settings at `path` again.
///
/// # Errors
///
/// Returns [`RunError`] if the daemon can't start.
pub async fn run(path: &Path) -> Result<(), RunError> {
    let settings = Settings::load(path)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(RunError::Signals)?;
    let daemon = Daemon::bind(settings, EventLog::start()).await?.serve();
    loop {
        match signals.next().await {
            Some(SIGHUP) => daemon.reload(path),
            Some(SIGINT) => break daemon.stop("SIGINT").await,
            _ => break daemon.stop("SIGTERM").await,
        }
    }
    Ok(())
}

impl Daemon<Bound> {
    async fn bind(settings: Settings, events: EventLog) -> Result<Daemon<Bound>, RunError> {
        let listen = settings.listen.clone();
        let state = Bound {
            callers: bind_port("callers", listen.callers).await?,
            peers: bind_port("peers", listen.peers).await?,
            ready: bind_port("ready", listen.ready).await?,
            heartbeats: bind_port("heartbeats", listen.heartbeats).await?,
            metrics: bind_port("metrics", listen.metrics).await?,
        };
        Ok(Daemon { node: Node::new(settings, events), state })
    }

    fn serve(self) -> Daemon<Serving> {
        let Daemon { node, state } = self;
        let (callers, stop) = StopSignal::new();
        let connections = Arc::new(AtomicUsize::new(0));
        let background = vec![
            serve_callers(&node, state.callers, stop, Arc::clone(&connections)),
            serve_platform(&node, state.ready, heartbeats::ready),
            serve_platform(&node, state.heartbeats, heartbeats::handle),
            serve_metrics(&node, state.metrics),
            serve_fleet(state.peers, Arc::new(PeerService(Arc::clone(&node)))),
            task::spawn(publish(Arc::clone(&node))),
            task::spawn(follow(Arc::clone(&node), Table::Operators)),
            task::spawn(follow(Arc::clone(&node), Table::Members)),
            task::spawn(follow(Arc::clone(&node), Table::Status)),
            task::spawn(rollouts::report(Arc::clone(&node))),
            task::spawn(Arc::clone(&node).probe()),
            task::spawn(dispatch(Arc::clone(&node))),
            task::spawn(quotas::exchange(Arc::clone(&node))),
        ];
        node.events.write(&Event::Started {
            vm: node.settings.vm.as_str(),
            data_centre: node.settings.data_centre.as_str(),
            service: node.settings.service.as_str(),
            incarnation: node.shared().own.incarnation,
        });
        // Announces the daemon to the others.
        node.update_own(|_| {});
        Daemon { node, state: Serving { callers, connections, background } }
    }
}

impl Daemon<Serving> {
    /// Checks the settings file; changes take effect at the next start.
    fn reload(&self, path: &Path) {
        let outcome = match Settings::load(path) {
            Ok(_) => "valid; takes effect at the next start".to_owned(),
            Err(error) => error.to_string(),
        };
        self.node.events.write(&Event::Reloaded { outcome: &outcome });
    }

    /// Stops gracefully: stops accepting callers, then requests for the backend server, and waits
    /// for those in progress.
    async fn stop(self, signal: &str) {
        let Daemon { node, state } = self;
        let began = node.now();
        node.events.write(&Event::Stopping { signal });
        let limit = node.settings.stop.grace.saturating_sub(GRACE_MARGIN);
        node.begin_stop(began + limit);
        task::sleep(CALLER_DRAIN_TIME).await;
        drop(state.callers);
        node.end_relay();
        task::sleep(RELAY_DRAIN_TIME).await;
        let busy = || state.connections.load(SeqCst) + node.in_progress.load(SeqCst);
        while busy() > 0 && node.now().since(began) < limit {
            task::sleep(CHECK_INTERVAL).await;
        }
        let waited_ms = node.now().since(began).as_millis() as u64;
        node.events.write(&Event::Stopped { unfinished: busy(), waited_ms });
        for task in state.background {
            task.cancel().await;
        }
        // Lets the log writer thread write the last lines.
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn bind_port(port: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let opened = TcpListener::bind(address).await;
    opened.map_err(|source| RunError::Listen { port, address, source })
}

fn serve_callers(
    node: &Arc<Node>,
    listener: TcpListener,
    stop: StopSignal,
    connections: Arc<AtomicUsize>,
) -> JoinHandle<()> {
    let node = Arc::clone(node);
    task::spawn(serve(listener, stop, connections, CallerService(node)))
}

/// Serves a port that stays open until the process exits.
fn serve_platform<F, R>(node: &Arc<Node>, listener: TcpListener, handler: F) -> JoinHandle<()>
where
    F: Fn(Arc<Node>, http::Request<bytes::Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = http::Response<bytes::Bytes>> + Send + 'static,
{
    let node = Arc::clone(node);
    let (trigger, stop) = StopSignal::new();
    task::spawn(async move {
        let _trigger = trigger;
        let open = Arc::new(AtomicUsize::new(0));
        let memory = node.memory.clone();
        let handler = move |request| handler(Arc::clone(&node), request);
        serve(listener, stop, open, FnApplication { handler, memory }).await;
    })
}

fn serve_metrics(node: &Arc<Node>, listener: TcpListener) -> JoinHandle<()> {
    let recorder = telemetry::install();
    serve_platform(node, listener, move |node, request| {
        telemetry::handle(node, recorder.clone(), request)
    })
}

/// Starts, in an endless loop, queued requests when the rate limit allows it, and rejects those that
/// can no longer be served in time. Does the same for bodies that wait for their turn on the link.
async fn dispatch(node: Arc<Node>) {
    loop {
        let next = node.shared().slots.next_start(node.now());
        task::sleep(next.unwrap_or(CHECK_INTERVAL).min(CHECK_INTERVAL)).await;
        {
            let mut shared = node.shared();
            let wakes = shared.slots.dispatch(node.now());
            shared.wake(&wakes);
            let wakes = shared.intake.advance(node.now());
            shared.wake_bodies(&wakes);
        }
        node.check_warmup();
    }
}
