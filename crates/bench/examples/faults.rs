//! Measures what callers are told under failures, against the backend servers' ledgers.

use std::path::PathBuf;

use gumdrop::Options;
use shallottack_bench::faults::{FaultSettings, run};

/// Measures what callers are told under failures.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "description of the deployment", default = "examples/tunis/deployment.yaml")]
    deployment: PathBuf,
    #[options(help = "requests", default = "100000")]
    requests: usize,
    #[options(help = "seed of faults and keys", default = "1")]
    seed: u64,
    #[options(help = "callers at a time", default = "24", no_short)]
    callers: usize,
    #[options(help = "planned stops after the faults", default = "5", no_short)]
    stops: usize,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = FaultSettings {
        deployment: arguments.deployment,
        requests: arguments.requests,
        seed: arguments.seed,
        callers: arguments.callers,
        stops: arguments.stops,
    };
    match async_std::task::block_on(run(&settings)) {
        Ok(report) => println!("{}", serde_json::to_string(&report).expect("plain data encodes")),
        Err(problem) => {
            eprintln!("faults: {problem}");
            std::process::exit(1);
        }
    }
}
