//! Platform stand-in as a process of its own. See `docs/standins.md`.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{stream::StreamExt, task};
use gumdrop::Options;
use shallottack_standins::{PlatformServer, PlatformSettings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Time for a graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

#[derive(Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default = "127.0.0.1:0", meta = "ADDRESS")]
    listen: String,
    /// bearer token
    #[options(default = "platform", meta = "TOKEN")]
    token: String,
    /// most table reads in a second, 0 for no limit
    #[options(no_short, default = "0", meta = "N")]
    reads_per_s: u64,
    /// most table commits in a second, 0 for no limit
    #[options(no_short, default = "0", meta = "N")]
    writes_per_s: u64,
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = PlatformSettings {
        listen: arguments.listen.parse::<SocketAddr>().map_err(io::Error::other)?,
        token: arguments.token,
        reads_per_s: arguments.reads_per_s,
        writes_per_s: arguments.writes_per_s,
    };
    task::block_on(async {
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        let server = PlatformServer::start(settings).await?;
        println!("listening on {}", server.address());
        signals.next().await;
        server.stop(STOP_LIMIT).await;
        Ok(())
    })
}
