//! Daemon that sits beside a backend server.

use std::{path::PathBuf, process::ExitCode};

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
    let Some(path) = &arguments.settings else {
        eprintln!("shallottackd: --settings FILE is required\nTry `shallottackd --help`.");
        return ExitCode::from(USAGE);
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.into()),
    };
    if arguments.check {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    let threads = GlobalExecutorConfig::default()
        .with_min_threads(settings.threads)
        .with_max_threads(settings.threads);
    // Before anything else uses the runtime, which is started with its own defaults otherwise.
    async_global_executor::init_with_config(threads);
    telemetry::install_logs(settings.log);
    telemetry::install_metrics();
    // A task rather than a future of the main thread: a stop once waited for ever for a timer while
    // the main thread ran the future itself.
    let (ended, end) = std::sync::mpsc::channel();
    async_std::task::spawn(async move {
        // The receiver waits until the value comes.
        let _ = ended.send(run(settings).await);
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
