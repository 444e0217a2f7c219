//! `apply`: applies a configuration file to the mesh.

use std::time::{Duration, Instant};

use gumdrop::Options;
use shallottack_api::{Accepted, CHANGES_PATH, CONFIG_PATH, STATUS_PATH, Status};
use shallottack_config::{Catalog, Change, Version, WriteId};

use super::diff::print_change;
use crate::{
    client::{Client, ClientOptions, new_write_id},
    file::read_configuration,
    output::{Error, Exit, print_json},
};

/// Interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Default maximum wait of `--wait`, in seconds.
const DEFAULT_WAIT_S: u64 = 60;
/// Maximum number of requests for one change; all have the same write id.
const ATTEMPTS: u32 = 3;

/// Options of `apply`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file in YAML")]
    file: String,
    #[options(help = "wait until the version is in force everywhere", no_short)]
    wait: bool,
    #[options(help = "maximum wait in seconds", meta = "SECONDS", no_short)]
    wait_seconds: Option<u64>,
    #[options(help = "let the daemon check the change without applying it", no_short)]
    dry_run: bool,
    #[options(
        help = "write id of an earlier apply whose outcome is unknown",
        meta = "ID",
        no_short
    )]
    repeat: Option<String>,
}

pub(crate) async fn run(arguments: Arguments, options: &ClientOptions) -> Result<Exit, Error> {
    let wanted = read_configuration(&arguments.file)?;
    let client = Client::new(options)?;
    let current: Catalog = client.get(CONFIG_PATH).await?;
    let repeated = arguments.repeat.is_some();
    let id = arguments.repeat.map_or_else(new_write_id, |it| WriteId(it.into()));
    let change = Change::between(&current, &wanted, id);
    // Also the case when `--repeat` is given and the earlier change took effect.
    if change.touched().is_empty() {
        return Ok(unchanged(current.version, options.json));
    }
    if !options.json {
        print_change(&change);
    }
    let accepted = submit(&client, &change, arguments.dry_run, repeated).await?;
    if arguments.dry_run {
        report(options.json, &accepted, "valid; would become version");
        return Ok(Exit::Done);
    }
    report(options.json, &accepted, "accepted as version");
    if !arguments.wait {
        return Ok(Exit::Done);
    }
    let limit = Duration::from_secs(arguments.wait_seconds.unwrap_or(DEFAULT_WAIT_S));
    wait_in_force(&client, accepted.version, limit, options.json).await
}

fn unchanged(version: Version, json: bool) -> Exit {
    if json {
        print_json(&Accepted { version, merged: false });
    } else {
        println!("nothing to change at version {version}");
    }
    Exit::Done
}

fn report(json: bool, accepted: &Accepted, what: &str) {
    if json {
        print_json(accepted);
    } else {
        let merged = if accepted.merged { " (merged with other changes)" } else { "" };
        println!("{what} {}{merged}", accepted.version);
    }
}

/// Submits the change, and repeats it with the same write id if there is no usable answer.
async fn submit(
    client: &Client,
    change: &Change,
    dry_run: bool,
    mut repeat: bool,
) -> Result<Accepted, Error> {
    let mut attempt = 1;
    loop {
        let path = format!("{CHANGES_PATH}?dry_run={dry_run}&repeat={repeat}");
        match client.post(&path, change).await {
            Err(Error::NoAnswer { .. }) if attempt < ATTEMPTS => {
                attempt += 1;
                repeat = true;
            }
            Err(error) => {
                if error.outcome_unknown() {
                    eprintln!("outcome unknown; run again with --repeat {}", change.id);
                }
                return Err(error);
            }
            Ok(accepted) => return Ok(accepted),
        }
    }
}

/// Waits until every known daemon has `version` or a newer one in force.
async fn wait_in_force(
    client: &Client,
    version: Version,
    limit: Duration,
    json: bool,
) -> Result<Exit, Error> {
    let started = Instant::now();
    let mut last = String::new();
    loop {
        let status: Status = client.get(STATUS_PATH).await?;
        let missing = missing(&status, version);
        if missing.is_empty() {
            let elapsed = started.elapsed().as_millis();
            if json {
                print_json(&serde_json::json!({ "in_force": version, "waited_ms": elapsed }));
            } else {
                println!("in force everywhere after {elapsed} ms");
            }
            return Ok(Exit::Done);
        }
        let progress = missing.join("; ");
        if !json && progress != last {
            println!("waiting: {progress}");
            last.clone_from(&progress);
        }
        if started.elapsed() >= limit {
            eprintln!("not in force everywhere after {} s: {progress}", limit.as_secs());
            return Ok(Exit::NotInForce);
        }
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the reason for each data centre in which `version` is not yet in force everywhere.
fn missing(status: &Status, version: Version) -> Vec<String> {
    let behind = status.data_centres.iter().filter_map(|it| {
        let name = &it.data_centre;
        if let Some(problem) = &it.problem {
            return Some(format!("{name}: no report ({problem})"));
        }
        if it.lowest < version {
            let lagging: Vec<_> = it.lagging.iter().map(|it| it.as_str()).collect();
            return Some(format!("{name}: {} at {}", lagging.join(", "), it.lowest));
        }
        (it.reported < it.members)
            .then(|| format!("{name}: {} of {} daemons reported", it.reported, it.members))
    });
    behind.collect()
}
