//! Backend server stand-in as a process of its own. See `docs/standins.md`.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{stream::StreamExt, task};
use futures_lite::future;
use gumdrop::Options;
use shallottack_kernel::{GroupName, ServiceName};
use shallottack_standins::{
    Backend, BackendSettings,
    backend::{End, Faults, ServiceTime},
};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Exit status after `POST /control/crash`, as after SIGKILL.
const CRASH_STATUS: i32 = 137;

#[derive(Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default = "127.0.0.1:0", meta = "ADDRESS")]
    listen: String,
    /// service that it belongs to
    #[options(required, meta = "NAME")]
    service: String,
    /// version of the service
    #[options(default = "v1", meta = "NAME")]
    group: String,
    /// announce port of the daemon beside it
    #[options(meta = "ADDRESS")]
    announce: Option<SocketAddr>,
    /// interval between repeated announcements, 0 for one only
    #[options(no_short, default = "0", meta = "MS")]
    reannounce_ms: u64,
    /// calls that run at the same time
    #[options(no_short, default = "12", meta = "N")]
    slots: usize,
    /// calls that wait for a slot
    #[options(no_short, default = "24", meta = "N")]
    queue: usize,
    /// mean service time
    #[options(no_short, default = "5", meta = "MS")]
    service_ms: f64,
    /// fixed, exponential or log-normal service times
    #[options(no_short, default = "fixed", meta = "NAME")]
    distribution: ServiceTime,
    /// most open connections
    #[options(no_short, default = "130", meta = "N")]
    connections: usize,
    /// time after the start during which calls are slower
    #[options(no_short, default = "0", meta = "MS")]
    cold_start_ms: u64,
    /// factor of the service time at the start
    #[options(no_short, default = "5", meta = "FACTOR")]
    cold_factor: f64,
    /// time that it goes on serving after POST /leave
    #[options(no_short, default = "2000", meta = "MS")]
    drain_ms: u64,
    /// longest time from the start of a drain to the end of the process
    #[options(no_short, default = "10000", meta = "MS")]
    drain_limit_ms: u64,
    /// go on with a call whose client closed the connection
    #[options(no_short)]
    ignore_cancel: bool,
    /// seed of service times and fault shares
    #[options(no_short, default = "0", meta = "N")]
    seed: u64,
    /// faults from the start, as for /control/faults
    #[options(no_short, default = "{}", meta = "JSON")]
    faults: String,
}

impl Arguments {
    fn settings(&self) -> io::Result<BackendSettings> {
        let service = ServiceName::new(&self.service).map_err(io::Error::other)?;
        let group = GroupName::new(&self.group).map_err(io::Error::other)?;
        let reannounce = Duration::from_millis(self.reannounce_ms);
        Ok(BackendSettings {
            listen: self.listen.parse().map_err(io::Error::other)?,
            announce: self.announce,
            reannounce: Some(reannounce).filter(|interval| !interval.is_zero()),
            slots: self.slots,
            queue: self.queue,
            service_time: Duration::try_from_secs_f64(self.service_ms / 1e3)
                .map_err(io::Error::other)?,
            distribution: self.distribution,
            connections: self.connections,
            cold_start: Duration::from_millis(self.cold_start_ms),
            cold_factor: self.cold_factor,
            drain: Duration::from_millis(self.drain_ms),
            cancel: !self.ignore_cancel,
            seed: self.seed,
            faults: serde_json::from_str::<Faults>(&self.faults)?,
            ..BackendSettings::new(service, group)
        })
    }
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = arguments.settings()?;
    task::block_on(async {
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let backend = Backend::start(settings).await?;
        println!("listening on {}", backend.address());
        let signal = async {
            signals.next().await;
            End::Drain
        };
        match future::or(signal, backend.ended()).await {
            End::Drain => {
                let limit = Duration::from_millis(arguments.drain_limit_ms);
                backend.drain(limit).await;
                Ok(())
            }
            End::Crash => std::process::exit(CRASH_STATUS),
        }
    })
}
