//! Starts a deployment again and again and measures the time until its configuration is in force.

use std::{path::PathBuf, process::ExitCode, time::Instant};

use shallottack_bench::cluster::{Cluster, Description};

/// Time that the processes get to stop after each start.
const STOP_LIMIT: std::time::Duration = std::time::Duration::from_secs(10);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(deployment), Some(count)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: starts DEPLOYMENT COUNT");
        return ExitCode::from(2);
    };
    let Ok(count) = count.parse::<usize>() else {
        eprintln!("starts: the count is not a number");
        return ExitCode::from(2);
    };
    match async_std::task::block_on(starts(PathBuf::from(deployment), count)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} of {count} starts failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("starts: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the number of starts that failed; their logs stay.
async fn starts(deployment: PathBuf, count: usize) -> Result<usize, String> {
    let mut failed = 0;
    for number in 1..=count {
        let description = Description::load(&deployment)?;
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
