//! Starts a deployment again and again and measures the time until its configuration is in force.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, Instant},
};

use gumdrop::Options;
use shallottack_bench::cluster::{Cluster, Description};

/// Time that the processes get to stop after each start; far more than they take.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Measures the time until the configuration of a new deployment is in force.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "description of the deployment", default = "examples/bench/four.yaml")]
    deployment: PathBuf,
    #[options(help = "starts", default = "30")]
    count: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match async_std::task::block_on(starts(&arguments.deployment, arguments.count)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} of {} starts failed", arguments.count);
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("starts: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the number of starts that failed; their logs stay.
async fn starts(deployment: &Path, count: usize) -> Result<usize, String> {
    let mut failed = 0;
    for number in 1..=count {
        let description = Description::load(deployment)?;
        let configuration = description.configuration.display().to_string();
        let name = format!("shallottack-starts-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        let mut cluster =
            Cluster::start(description, dir.clone()).await.map_err(|error| error.to_string())?;
        let began = Instant::now();
        let applied = cluster.operate(0, &["apply", &configuration, "--wait"]);
        let seconds = began.elapsed().as_secs_f64();
        cluster.stop(STOP_LIMIT).await;
        match applied {
            Ok(_) => {
                println!("start {number}: {seconds:.1} s");
                // The directory is only of use after a failure.
                let _ = std::fs::remove_dir_all(&dir);
            }
            Err(error) => {
                failed += 1;
                println!(
                    "start {number}: failed after {seconds:.1} s, logs in {}\n{error}",
                    dir.display()
                );
            }
        }
    }
    Ok(failed)
}
