//! Starts a whole deployment as separate processes, sends requests of each class through its
//! daemons and sums up what came of them.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use async_std::task::block_on;
use gumdrop::Options;
use serde_json::{Value, json};
use shallottack_bench::{
    cluster::{CallResult, CallSpec, Caller, Cluster, Description, RequestKind},
    report::{quantile, rounded},
};

/// Runs a deployment on loopback.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "description of the deployment", default = "examples/tunis/deployment.yaml")]
    deployment: PathBuf,
    #[options(help = "requests of each class", default = "300")]
    requests: usize,
    #[options(help = "seed of keys", default = "1")]
    seed: u64,
}

/// Time that a daemon gets for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(40);

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Err(problem) = block_on(run(&arguments)) {
        eprintln!("deployment: {problem}");
        std::process::exit(1);
    }
}

async fn run(arguments: &Arguments) -> Result<(), String> {
    let description = Description::load(&arguments.deployment)?;
    let dir = std::env::temp_dir().join(format!("shallottack-{}", std::process::id()));
    let started = Instant::now();
    let result = measure(arguments, description, &dir, started).await;
    let _ = std::fs::remove_dir_all(&dir);
    println!("{}", result?);
    Ok(())
}

async fn measure(
    arguments: &Arguments,
    description: Description,
    dir: &Path,
    started: Instant,
) -> Result<Value, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let mut cluster =
        Cluster::start(description, dir.to_owned()).await.map_err(|error| text(&error))?;
    eprintln!("{} endpoints started after {:?}", cluster.endpoints.len(), started.elapsed());
    let configuration = cluster.description().configuration.display().to_string();
    let applied =
        cluster.operate(0, &["apply", &configuration, "--wait"]).map_err(|error| text(&error))?;
    eprintln!("applied after {:?}:\n{applied}", started.elapsed());
    wait_ready(&cluster).await?;
    eprintln!("all endpoints ready after {:?}", started.elapsed());

    let mut classes = BTreeMap::new();
    let mut wrong = 0;
    for kind in cluster.description().requests.clone() {
        let summary = send_class(&cluster, &kind, arguments).await;
        wrong += summary["wrong_or_partial_answers"].as_u64().unwrap_or(0);
        classes.insert(kind.class.clone(), summary);
    }
    let status = cluster.operate(1, &["--json", "status"]).map_err(|error| text(&error))?;
    let status: Value = serde_json::from_str(&status).map_err(|error| text(&error))?;
    let mut memory: Vec<f64> = cluster
        .endpoints
        .iter()
        .map(|it| it.daemon.resident_bytes() as f64 / f64::from(1 << 20))
        .collect();
    let ran_twice = runs_per_key(&cluster).await.values().filter(|runs| **runs > 1).count();
    let codes = cluster.stop(STOP_LIMIT).await;
    Ok(json!({
        "deployment": cluster.description().name,
        "endpoints": cluster.endpoints.len(),
        "seed": arguments.seed,
        "classes": classes,
        "data_centres": status["data_centres"],
        "ran_twice": ran_twice,
        "wrong_or_partial_answers": wrong,
        "daemon_rss_mib_p50": rounded(quantile(&mut memory, 0.5)),
        "daemon_rss_mib_max": rounded(quantile(&mut memory, 1.0)),
        "graceful_stops": codes.iter().filter(|it| **it == Some(0)).count(),
    }))
}

/// Waits until every daemon routes to all endpoints.
async fn wait_ready(cluster: &Cluster) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(30) {
        let mut all = true;
        for index in 0..cluster.endpoints.len() {
            let status = cluster.operate(index, &["--json", "status"]).unwrap_or_default();
            let status: Value = serde_json::from_str(&status).unwrap_or_default();
            let services = status["services"].as_array().cloned().unwrap_or_default();
            let ready: u64 = services.iter().filter_map(|it| it["ready"].as_u64()).sum();
            let in_force = status["in_force"]["seq"].as_u64().unwrap_or(0);
            all &= ready as usize == cluster.endpoints.len() && in_force > 0;
        }
        if all {
            return Ok(());
        }
        async_std::task::sleep(Duration::from_millis(100)).await;
    }
    Err("not all endpoints are ready after 30 s".to_owned())
}

/// Sends the requests of a class in turn through all daemons; every keyed request is repeated
/// through the next daemon.
async fn send_class(cluster: &Cluster, kind: &RequestKind, arguments: &Arguments) -> Value {
    let caller = Caller::default();
    let mut latencies = Vec::new();
    let mut direct = Vec::new();
    let (mut answered, mut refused, mut unknown, mut wrong, mut differing) = (0, 0, 0, 0, 0);
    for number in 0..arguments.requests {
        let spec = CallSpec::new(kind, number, arguments.seed);
        let endpoint = &cluster.endpoints[number % cluster.endpoints.len()];
        let (result, time) = caller.call(endpoint.addresses.callers, &spec).await;
        latencies.push(time.as_secs_f64() * 1_000.0);
        match &result {
            CallResult::Answered { .. } => answered += 1,
            CallResult::NotRun(kind) => {
                refused += 1;
                eprintln!("{} through {}: {kind}", spec.echo, endpoint.name);
            }
            CallResult::Failed(_) | CallResult::Unknown(_) => unknown += 1,
            CallResult::Wrong(_) => wrong += 1,
        }
        if spec.key.is_some() {
            let other = &cluster.endpoints[(number + 1) % cluster.endpoints.len()];
            let (repeat, _) = caller.call(other.addresses.callers, &spec).await;
            differing += u64::from(repeat != result);
        } else {
            let (_, time) = caller.call(endpoint.backend_address, &spec).await;
            direct.push(time.as_secs_f64() * 1_000.0);
        }
    }
    json!({
        "requests": arguments.requests,
        "answered": answered,
        "refused_not_run": refused,
        "outcome_unknown": unknown,
        "wrong_or_partial_answers": wrong,
        "repeats_with_another_answer": differing,
        "latency_ms_p50": rounded(quantile(&mut latencies, 0.5)),
        "latency_ms_p99": rounded(quantile(&mut latencies, 0.99)),
        "direct_ms_p50": rounded(quantile(&mut direct, 0.5)),
        "direct_ms_p99": rounded(quantile(&mut direct, 0.99)),
    })
}

async fn runs_per_key(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for index in 0..cluster.endpoints.len() {
        let Ok(ledger) = cluster.ledger(index).await else { continue };
        for (key, count) in ledger.keys {
            *runs.entry(key).or_insert(0) += count.runs;
        }
    }
    runs
}
