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
    callers::Callers,
    events::{Event, EventLog},
    follow::{Table, follow},
    heartbeats,
    listener::{Plain, Stop, StopSource, serve},
    node::Node,
    publish::publish,
    relay::Relay,
    rollouts,
    settings::Settings,
    telemetry,
};

/// Time after the signal for which callers are still taken; the platform sends no new ones after
/// it has found the daemon not ready twice, a second apart.
const CALLERS_AFTER_STOP: Duration = Duration::from_millis(2_400);
/// Time before the end of the grace at which the process ends although requests are in progress.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// Time between looks at the requests in progress, and at those that wait for a slot.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Why the daemon did not run.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum RunError {
    /// The settings can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
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
    /// Signals can't be handled.
    #[error("can't handle signals: {0}")]
    Signals(io::Error),
}

/// The ports are open.
struct Bound {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    heartbeats: TcpListener,
    metrics: TcpListener,
}

/// Requests are served.
struct Serving {
    /// Ends the callers' connections when it is dropped.
    callers: StopSource,
    connections: Arc<AtomicUsize>,
    background: Vec<JoinHandle<()>>,
}

/// Daemon in one state of its life cycle: [`Bound`], then [`Serving`].
struct Daemon<S> {
    node: Arc<Node>,
    state: S,
}

/// Runs the daemon with the settings at `path` until a signal ends it.
///
/// # Errors
///
/// Returns [`RunError`] when the daemon can't start.
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
            callers: open("callers", listen.callers).await?,
            peers: open("peers", listen.peers).await?,
            ready: open("ready", listen.ready).await?,
            heartbeats: open("heartbeats", listen.heartbeats).await?,
            metrics: open("metrics", listen.metrics).await?,
        };
        Ok(Daemon { node: Node::new(settings, events), state })
    }

    fn serve(self) -> Daemon<Serving> {
        let Daemon { node, state } = self;
        let (callers, stop) = Stop::new();
        let connections = Arc::new(AtomicUsize::new(0));
        let background = vec![
            serve_callers(&node, state.callers, stop, Arc::clone(&connections)),
            serve_platform(&node, state.ready, heartbeats::ready),
            serve_platform(&node, state.heartbeats, heartbeats::handle),
            serve_metrics(&node, state.metrics),
            serve_fleet(state.peers, Arc::new(Relay(Arc::clone(&node)))),
            task::spawn(publish(Arc::clone(&node))),
            task::spawn(follow(Arc::clone(&node), Table::Operators)),
            task::spawn(follow(Arc::clone(&node), Table::Members)),
            task::spawn(follow(Arc::clone(&node), Table::Status)),
            task::spawn(rollouts::report(Arc::clone(&node))),
            task::spawn(Arc::clone(&node).probe()),
            task::spawn(review(Arc::clone(&node))),
        ];
        node.events.write(&Event::Started {
            vm: node.settings.vm.as_str(),
            data_centre: node.settings.data_centre.as_str(),
            service: node.settings.service.as_str(),
            incarnation: node.cores().own.incarnation,
        });
        // Announces the daemon.
        node.redescribe(|_| {});
        Daemon { node, state: Serving { callers, connections, background } }
    }
}

impl Daemon<Serving> {
    /// Checks the changed settings; they take effect at the next start.
    fn reload(&self, path: &Path) {
        let outcome = match Settings::load(path) {
            Ok(_) => "valid; in effect after the next start".to_owned(),
            Err(error) => error.to_string(),
        };
        self.node.events.write(&Event::Reloaded { outcome: &outcome });
    }

    /// Stops gracefully: takes no new callers, finishes what is in progress and ends.
    async fn stop(self, signal: &str) {
        let Daemon { node, state } = self;
        let began = node.now();
        node.events.write(&Event::Stopping { signal });
        node.begin_stop();
        task::sleep(CALLERS_AFTER_STOP).await;
        drop(state.callers);
        let limit = node.settings.stop.grace.saturating_sub(GRACE_MARGIN);
        let busy = || state.connections.load(SeqCst) + node.in_progress.load(SeqCst);
        while busy() > 0 && node.now().since(began) < limit {
            task::sleep(LOOK_EVERY).await;
        }
        let waited_ms = node.now().since(began).as_millis() as u64;
        node.events.write(&Event::Stopped { unfinished: busy(), waited_ms });
        for task in state.background {
            task.cancel().await;
        }
        // Gives the log's writer time for the last lines.
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn open(port: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let opened = TcpListener::bind(address).await;
    opened.map_err(|source| RunError::Listen { port, address, source })
}

fn serve_callers(
    node: &Arc<Node>,
    listener: TcpListener,
    stop: Stop,
    connections: Arc<AtomicUsize>,
) -> JoinHandle<()> {
    let node = Arc::clone(node);
    task::spawn(serve(listener, stop, connections, Callers(node)))
}

/// Serves a port that stays open until the process ends.
fn serve_platform<F, R>(node: &Arc<Node>, listener: TcpListener, handler: F) -> JoinHandle<()>
where
    F: Fn(Arc<Node>, http::Request<bytes::Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = http::Response<bytes::Bytes>> + Send + 'static,
{
    let node = Arc::clone(node);
    let (source, stop) = Stop::new();
    task::spawn(async move {
        let _source = source;
        let open = Arc::new(AtomicUsize::new(0));
        let handler = move |request| handler(Arc::clone(&node), request);
        serve(listener, stop, open, Plain(handler)).await;
    })
}

fn serve_metrics(node: &Arc<Node>, listener: TcpListener) -> JoinHandle<()> {
    let recorder = telemetry::install();
    serve_platform(node, listener, move |node, request| {
        telemetry::handle(node, recorder.clone(), request)
    })
}

/// Rejects requests that wait for a slot and can no longer be served in time, for ever.
async fn review(node: Arc<Node>) {
    loop {
        task::sleep(LOOK_EVERY).await;
        let mut cores = node.cores();
        let wakes = cores.slots.expire(node.now());
        cores.wake(&wakes);
    }
}
