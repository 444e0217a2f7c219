//! Daemon that sits beside a backend server.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use async_global_executor::GlobalExecutorConfig;
use async_std::stream::StreamExt;
use gumdrop::Options;
use miette::Report;
use shallottackd::{Daemon, Running, Settings, telemetry};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Forwards calls to backend servers and keeps the mesh's configuration in force.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "settings file", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "settings file of a daemon in a fleet on the platform", meta = "FILE")]
    fleet: Option<PathBuf>,
    #[options(help = "check the settings and exit", no_short)]
    check: bool,
}

/// Exit code for wrong usage.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("shallottackd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match (&arguments.settings, &arguments.fleet) {
        (Some(path), None) => run_mesh(path, arguments.check),
        (None, Some(path)) => run_fleet(path, arguments.check),
        _ => {
            eprintln!(
                "shallottackd: one of --settings FILE and --fleet FILE is required\n\
                 Try `shallottackd --help`."
            );
            ExitCode::from(USAGE)
        }
    }
}

/// Runs a daemon in a fleet on the platform, on one thread.
fn run_fleet(path: &Path, check: bool) -> ExitCode {
    if check {
        return match shallottack_sidecar::Settings::load(path) {
            Ok(_) => valid(path),
            Err(error) => fail(&error.into()),
        };
    }
    start_threads(1);
    telemetry::install_logs(log::LevelFilter::Info);
    let path = path.to_owned();
    run_to_end(async move {
        shallottack_sidecar::run(&path).await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn valid(path: &Path) -> ExitCode {
    println!("{}: valid", path.display());
    ExitCode::SUCCESS
}

/// Sets the number of threads; has to come before anything else uses the runtime, which is started
/// with its own defaults otherwise.
fn start_threads(count: usize) {
    let threads = GlobalExecutorConfig::default().with_min_threads(count).with_max_threads(count);
    async_global_executor::init_with_config(threads);
}

/// Runs a daemon that answers callers itself or through others.
fn run_mesh(path: &Path, check: bool) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.into()),
    };
    if check {
        return valid(path);
    }
    start_threads(settings.threads);
    telemetry::install_logs(settings.log);
    telemetry::install_metrics();
    run_to_end(run(settings))
}

/// Runs a daemon to its end.
fn run_to_end(daemon: impl Future<Output = Result<ExitCode, Report>> + Send + 'static) -> ExitCode {
    // A task rather than a future of the main thread: a stop once waited for ever for a timer while
    // the main thread ran the future itself.
    let (ended, end) = std::sync::mpsc::channel();
    async_std::task::spawn(async move {
        // The receiver waits until the value comes.
        let _ = ended.send(daemon.await);
    });
    match end.recv() {
        Ok(Ok(code)) => code,
        Ok(Err(report)) => fail(&report),
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(report: &Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::FAILURE
}

async fn run(settings: Settings) -> Result<ExitCode, Report> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| miette::miette!("can't handle signals: {error}"))?;
    let daemon = Daemon::bind(settings).await?.start().await?;
    let addresses = daemon.addresses();
    println!(
        "listening: callers {}, relay {}, peers {}, operators {}, announce {}",
        addresses.callers,
        addresses.relay,
        addresses.peers,
        addresses.operators,
        addresses.announce
    );
    wait_for_stop(&daemon, &mut signals).await;
    let stop = async { Some(daemon.stop().await) };
    let again = async {
        signals.next().await;
        None
    };
    match futures_lite::future::or(stop, again).await {
        Some(stopped) if stopped.aborted == 0 => Ok(ExitCode::SUCCESS),
        // A second signal or the limit ended the stop early.
        _ => Ok(ExitCode::FAILURE),
    }
}

async fn wait_for_stop(daemon: &Daemon<Running>, signals: &mut Signals) {
    let signal = async {
        signals.next().await;
    };
    futures_lite::future::or(signal, daemon.drain_requested()).await;
}
