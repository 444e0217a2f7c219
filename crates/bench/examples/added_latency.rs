//! Measures the latency that one and two daemons add to a call, against the backend server stand-in
//! called directly in the same run.

use std::{net::SocketAddr, path::Path, time::Duration};

use async_std::task::block_on;
use gumdrop::Options;
use serde_json::{Value, json};
use shallottack_bench::{
    cluster::{CallSpec, Cluster, Description},
    load::{Latencies, closed_loop, in_sequence, open_loop},
    report::rounded,
};

/// Measures added latency.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "calls in sequence on each path", default = "10000")]
    calls: usize,
    #[options(help = "seconds for each rate", default = "4")]
    seconds: u64,
    #[options(help = "seed of keys", default = "1")]
    seed: u64,
}

/// Calls sent before the measurement, so that connections are open and code is warm.
const WARM_UP_CALLS: usize = 500;
/// Calls under way in the closed loop.
const CLOSED_CALLERS: usize = 32;
/// Shares of the sustained rate at which the open loop runs.
const SHARES: [f64; 3] = [0.1, 0.25, 0.5];

struct Paths {
    direct: SocketAddr,
    one: SocketAddr,
    two: SocketAddr,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Err(problem) = block_on(run(&arguments)) {
        eprintln!("added_latency: {problem}");
        std::process::exit(1);
    }
}

async fn run(arguments: &Arguments) -> Result<(), String> {
    let description = Description::load(Path::new("examples/bench/pair.yaml"))?;
    let dir = std::env::temp_dir().join(format!("shallottack-{}", std::process::id()));
    let kind = description.requests[0].clone();
    let configuration = description.configuration.display().to_string();
    let cluster =
        Cluster::start(description, dir.clone()).await.map_err(|error| error.to_string())?;
    cluster.operate(0, &["apply", &configuration, "--wait"]).map_err(|error| error.to_string())?;
    let spec = CallSpec::new(&kind, 0, arguments.seed);
    let paths = Paths {
        direct: cluster.endpoints[1].backend_address,
        one: cluster.endpoints[1].addresses.callers,
        two: cluster.endpoints[0].addresses.callers,
    };
    let output = measure(arguments, &paths, &spec).await;
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
    println!("{output}");
    Ok(())
}

async fn measure(arguments: &Arguments, paths: &Paths, spec: &CallSpec) -> Value {
    for to in [paths.direct, paths.one, paths.two] {
        in_sequence(to, spec, WARM_UP_CALLS).await;
    }
    let mut direct = in_sequence(paths.direct, spec, arguments.calls).await;
    let mut one = in_sequence(paths.one, spec, arguments.calls).await;
    let mut two = in_sequence(paths.two, spec, arguments.calls).await;
    let time = Duration::from_secs(arguments.seconds);
    let sustained = closed_loop(paths.two, spec, CLOSED_CALLERS, time).await;
    let mut rates = Vec::new();
    for share in SHARES {
        let per_s = sustained * share;
        let mut direct = open_loop(paths.direct, spec, per_s, time).await;
        let mut two = open_loop(paths.two, spec, per_s, time).await;
        rates.push(json!({
            "share_of_sustained": share,
            "calls_per_s": rounded(per_s),
            "answered": two.answered(),
            "failed": two.failed,
            "added_ms_p50": added(&mut two, &mut direct, 0.5),
            "added_ms_p99": added(&mut two, &mut direct, 0.99),
            "path_ms_p99": rounded(two.at(0.99)),
            "direct_ms_p99": rounded(direct.at(0.99)),
        }));
    }
    json!({
        "seed": arguments.seed,
        "calls": arguments.calls,
        "direct_ms_p50": rounded(direct.at(0.5)),
        "direct_ms_p99": rounded(direct.at(0.99)),
        "one_daemon_added_ms_p50": added(&mut one, &mut direct, 0.5),
        "one_daemon_added_ms_p99": added(&mut one, &mut direct, 0.99),
        "added_ms_p50": added(&mut two, &mut direct, 0.5),
        "added_ms_p99": added(&mut two, &mut direct, 0.99),
        "failed": direct.failed + one.failed + two.failed,
        "sustained_calls_per_s": rounded(sustained),
        "calls_per_s_per_core": rounded(sustained / cores()),
        "open_loop": rates,
    })
}

fn added(path: &mut Latencies, direct: &mut Latencies, share: f64) -> f64 {
    rounded(path.at(share) - direct.at(share))
}

/// Returns the number of cores, all of which the processes and the load share.
fn cores() -> f64 {
    std::thread::available_parallelism().map_or(1.0, |it| it.get() as f64)
}
