//! Requests through a deployment while processes are killed and frozen, the platform goes down and
//! backend servers misbehave; what callers were told is compared with the backend servers' ledgers.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task::sleep;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

use crate::cluster::{
    CallResult, CallSpec, Caller, Cluster, Description, ProcessError, RequestKind,
};

/// What is sent and brought about.
#[derive(Debug, Clone)]
pub struct FaultSettings {
    /// Description of the deployment.
    pub deployment: PathBuf,
    /// Requests under faults.
    pub requests: usize,
    /// Seed of faults and keys.
    pub seed: u64,
    /// Callers at a time.
    pub callers: usize,
    /// Planned stops after the faults.
    pub stops: usize,
}

/// Time that a fault lasts before the next one.
const FAULT_MS: std::ops::Range<u64> = 300..1_500;
/// Times that a caller sends a keyed request before it gives up.
const ATTEMPTS: usize = 5;
/// Pause of a caller before it sends a request again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Time that a daemon gets for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Faults of a backend server that runs calls but answers badly.
const BAD_ANSWERS: &str = r#"{"half_share":0.1,"lost_share":0.1,"late_share":0.1,"late_ms":800,"error_share":0.1,"shed_share":0.1}"#;

/// What a caller was told about one request, over all its attempts.
#[derive(Debug, Clone)]
struct Told {
    key: String,
    idempotent: bool,
    results: Vec<CallResult>,
}

/// Faults that are brought about, in turn.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillDaemon,
    FreezeDaemon,
    KillBackend,
    FreezeBackend,
    BadAnswers,
    PlatformDown,
    PlatformLosesAnswers,
}

const FAULTS: [Fault; 7] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::KillBackend,
    Fault::FreezeBackend,
    Fault::BadAnswers,
    Fault::PlatformDown,
    Fault::PlatformLosesAnswers,
];

/// Sends requests through a deployment under faults and then under planned stops.
///
/// # Errors
///
/// Returns what went wrong when the deployment does not start or a process can't be replaced.
pub async fn run(settings: &FaultSettings) -> Result<FaultReport, String> {
    let description = Description::load(&settings.deployment)?;
    let dir = std::env::temp_dir().join(format!("shallottack-{}", std::process::id()));
    let configuration = description.configuration.display().to_string();
    let kinds = description.requests.clone();
    let text = |error: ProcessError| error.to_string();
    let mut cluster = Cluster::start(description, dir.clone()).await.map_err(text)?;
    cluster.operate(0, &["apply", &configuration, "--wait"]).map_err(text)?;

    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut runs = BTreeMap::new();
    let load = Load::start(&cluster, &kinds, settings, settings.requests, 0);
    let mut counts = BTreeMap::new();
    let mut turn = 0;
    while !load.done() {
        let fault = FAULTS[turn % FAULTS.len()];
        turn += 1;
        *counts.entry(format!("{fault:?}")).or_insert(0) += 1;
        bring_about(&mut cluster, &load, fault, &mut rng, &mut runs).await?;
        sleep(Duration::from_millis(rng.random_range(FAULT_MS))).await;
    }
    let told = load.finish().await;
    let (mut after_stop, mut failed_stops) = (0, 0);
    let stops = Load::start(&cluster, &kinds, settings, usize::MAX, settings.requests);
    let mut cut = 0;
    for number in 0..settings.stops {
        let endpoint = number % cluster.endpoints.len();
        let stop = planned_stop(&mut cluster, &stops, endpoint).await?;
        after_stop = after_stop.max(stop.new_work_ms);
        failed_stops += u64::from(!stop.graceful);
    }
    stops.stop();
    let told_in_stops = stops.finish().await;
    for told in &told_in_stops {
        cut += usize::from(told.results.iter().any(is_cut));
    }
    for endpoint in 0..cluster.endpoints.len() {
        collect(&cluster, endpoint, &mut runs).await;
    }
    cluster.stop(STOP_LIMIT).await;
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
    let all: Vec<Told> = told.into_iter().chain(told_in_stops.iter().cloned()).collect();
    let mut report = FaultReport {
        seed: settings.seed,
        requests: all.len(),
        requests_during_planned_stops: told_in_stops.len(),
        cut_by_planned_stop: cut,
        new_work_after_leave_ms: after_stop as u64,
        failed_stops,
        faults: counts,
        ..FaultReport::default()
    };
    for told in &all {
        report.count(told, runs.get(&told.key).copied().unwrap_or(0));
    }
    Ok(report)
}

/// What callers were told, compared with the ledgers.
#[derive(Debug, Default, Serialize)]
pub struct FaultReport {
    /// Seed of faults and keys.
    pub seed: u64,
    /// Requests of callers, each sent up to five times.
    pub requests: usize,
    /// Requests whose caller got the whole answer.
    pub answered: u64,
    /// Requests whose caller was told at last that they were not run.
    pub refused_not_run: u64,
    /// Requests whose caller was told at last that their outcome is unknown.
    pub outcome_unknown: u64,
    /// Requests that the backend server answered with an error.
    pub failed_at_backend: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
    /// Requests that ran although every attempt was told that it was not run.
    pub false_not_run: u64,
    /// Requests with an answer that no ledger explains.
    pub answered_without_run: u64,
    /// Answers of other requests, or answers that are not whole.
    pub wrong_or_partial_answers: u64,
    /// Requests sent during the planned stops.
    pub requests_during_planned_stops: usize,
    /// Of these, requests that were lost.
    pub cut_by_planned_stop: usize,
    /// Longest time after the begin of a planned stop at which the backend server got new work.
    pub new_work_after_leave_ms: u64,
    /// Planned stops that did not end by themselves with exit code 0.
    pub failed_stops: u64,
    /// Faults brought about, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Last words of refusals and unknown outcomes, by kind.
    pub kinds: BTreeMap<String, u64>,
}

impl FaultReport {
    fn count(&mut self, told: &Told, runs: u64) {
        match told.results.last() {
            Some(CallResult::Answered { .. }) => self.answered += 1,
            Some(CallResult::Failed(_)) => self.failed_at_backend += 1,
            Some(CallResult::NotRun(kind)) => {
                self.refused_not_run += 1;
                *self.kinds.entry(format!("not run: {kind}")).or_insert(0) += 1;
            }
            Some(CallResult::Unknown(kind)) => {
                self.outcome_unknown += 1;
                *self.kinds.entry(format!("unknown: {kind}")).or_insert(0) += 1;
            }
            Some(CallResult::Wrong(detail)) => {
                self.wrong_or_partial_answers += 1;
                eprintln!("wrong answer for {}: {detail}", told.key);
            }
            None => {}
        }
        let all_not_run = told.results.iter().all(|it| matches!(it, CallResult::NotRun(_)));
        if all_not_run && runs > 0 {
            self.false_not_run += 1;
            eprintln!("{} ran {runs} times, but its caller was told that it did not", told.key);
        }
        if !told.idempotent && runs > 1 {
            self.ran_twice += 1;
            eprintln!("{} ran {runs} times: {:?}", told.key, told.results);
        }
        let answered = told.results.iter().any(|it| matches!(it, CallResult::Answered { .. }));
        self.answered_without_run += u64::from(answered && runs == 0);
    }
}

/// Returns whether a request was lost, rather than refused, answered or failed by the backend
/// server.
fn is_cut(result: &CallResult) -> bool {
    matches!(result, CallResult::Unknown(_) | CallResult::Wrong(_))
}

/// Callers that send requests through all daemons in turn.
struct Load {
    addresses: Arc<std::sync::Mutex<Vec<std::net::SocketAddr>>>,
    left: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    tasks: Vec<async_std::task::JoinHandle<Vec<Told>>>,
}

impl Load {
    fn start(
        cluster: &Cluster,
        kinds: &[RequestKind],
        settings: &FaultSettings,
        requests: usize,
        first: usize,
    ) -> Load {
        let addresses = cluster.endpoints.iter().map(|it| it.addresses.callers).collect();
        let load = Load {
            addresses: Arc::new(std::sync::Mutex::new(addresses)),
            left: Arc::new(AtomicUsize::new(requests)),
            stopped: Arc::new(AtomicBool::new(false)),
            tasks: Vec::new(),
        };
        let tasks = (0..settings.callers)
            .map(|number| {
                let (addresses, left) = (Arc::clone(&load.addresses), Arc::clone(&load.left));
                let stopped = Arc::clone(&load.stopped);
                let (kinds, seed) = (kinds.to_vec(), settings.seed);
                async_std::task::spawn(async move {
                    let caller = Caller::default();
                    let mut told = Vec::new();
                    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
                    while !stopped.load(Ordering::SeqCst) && take(&left) {
                        let kind = &kinds[told.len() % kinds.len()];
                        let id = first + number * 10_000_000 + told.len();
                        let mut spec = CallSpec::new(kind, id, seed);
                        // Idempotent requests carry a key too, for the ledger's sake only.
                        spec.key = Some(spec.echo.clone());
                        told.push(send(&caller, &addresses, &spec, kind, &mut rng).await);
                    }
                    told
                })
            })
            .collect();
        Load { tasks, ..load }
    }

    fn done(&self) -> bool {
        self.left.load(Ordering::SeqCst) == 0
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    async fn finish(self) -> Vec<Told> {
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await);
        }
        all
    }

    fn set_address(&self, endpoint: usize, address: std::net::SocketAddr) {
        self.addresses.lock().expect("address lock")[endpoint] = address;
    }
}

fn take(left: &AtomicUsize) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1)).is_ok()
}

/// Sends a request through random daemons until it is answered, as a careful caller would.
async fn send(
    caller: &Caller,
    addresses: &std::sync::Mutex<Vec<std::net::SocketAddr>>,
    spec: &CallSpec,
    kind: &RequestKind,
    rng: &mut StdRng,
) -> Told {
    let mut results = Vec::new();
    for _ in 0..ATTEMPTS {
        let to = {
            let addresses = addresses.lock().expect("address lock");
            addresses[rng.random_range(0..addresses.len())]
        };
        let (result, _) = caller.call(to, spec).await;
        let again = matches!(result, CallResult::NotRun(_) | CallResult::Unknown(_));
        results.push(result);
        if !again {
            break;
        }
        sleep(REPEAT_PAUSE).await;
    }
    Told { key: spec.echo.clone(), idempotent: !kind.keyed, results }
}

async fn bring_about(
    cluster: &mut Cluster,
    load: &Load,
    fault: Fault,
    rng: &mut StdRng,
    runs: &mut BTreeMap<String, u64>,
) -> Result<(), String> {
    let endpoint = rng.random_range(0..cluster.endpoints.len());
    let time = Duration::from_millis(rng.random_range(FAULT_MS));
    let text = |error: ProcessError| error.to_string();
    match fault {
        Fault::KillDaemon => {
            cluster.endpoints[endpoint].daemon.kill();
            sleep(time).await;
            cluster.restart_daemon(endpoint).map_err(text)?;
            load.set_address(endpoint, cluster.endpoints[endpoint].addresses.callers);
        }
        Fault::FreezeDaemon => {
            cluster.endpoints[endpoint].daemon.freeze();
            sleep(time).await;
            cluster.endpoints[endpoint].daemon.thaw();
        }
        Fault::KillBackend => {
            // Its ledger would die with it: no run begins while it stands still, so that the
            // ledger read then is its last.
            let _ = cluster.backend_faults(endpoint, r#"{"freeze":true}"#).await;
            sleep(Duration::from_millis(50)).await;
            collect(cluster, endpoint, runs).await;
            cluster.endpoints[endpoint].backend.kill();
            sleep(time).await;
            cluster.restart_backend(endpoint).map_err(text)?;
        }
        Fault::FreezeBackend => {
            cluster.endpoints[endpoint].backend.freeze();
            sleep(time).await;
            cluster.endpoints[endpoint].backend.thaw();
        }
        Fault::BadAnswers => {
            let _ = cluster.backend_faults(endpoint, BAD_ANSWERS).await;
            sleep(time).await;
            let _ = cluster.backend_faults(endpoint, "{}").await;
        }
        Fault::PlatformDown => {
            let _ = cluster.platform_faults(r#"{"down":true}"#).await;
            sleep(time).await;
            let _ = cluster.platform_faults("{}").await;
        }
        Fault::PlatformLosesAnswers => {
            let _ = cluster.platform_faults(r#"{"lost_answers":20}"#).await;
            sleep(time).await;
            let _ = cluster.platform_faults("{}").await;
        }
    }
    Ok(())
}

/// Adds a backend server's ledger to the runs by key.
async fn collect(cluster: &Cluster, endpoint: usize, runs: &mut BTreeMap<String, u64>) {
    match cluster.ledger(endpoint).await {
        Ok(ledger) => {
            for (key, count) in ledger.keys {
                *runs.entry(key).or_insert(0) += count.runs;
            }
        }
        Err(error) => eprintln!("ledger of {endpoint} lost: {error}"),
    }
}

/// How a planned stop went.
struct PlannedStop {
    /// Time after its begin at which the backend server last got new work, in milliseconds.
    new_work_ms: u128,
    /// Whether the daemon ended by itself with exit code 0.
    graceful: bool,
}

/// Stops a daemon gracefully under load and starts another in its place.
async fn planned_stop(
    cluster: &mut Cluster,
    load: &Load,
    endpoint: usize,
) -> Result<PlannedStop, String> {
    cluster.endpoints[endpoint].daemon.terminate();
    let stopped = Instant::now();
    let (mut last_runs, mut last_change) = (None, 0);
    while stopped.elapsed() < Duration::from_secs(4) {
        if let Ok(ledger) = cluster.ledger(endpoint).await {
            if last_runs.is_some_and(|it| it != ledger.runs) {
                last_change = stopped.elapsed().as_millis();
            }
            last_runs = Some(ledger.runs);
        }
        sleep(Duration::from_millis(20)).await;
    }
    let code = cluster.endpoints[endpoint].daemon.wait(STOP_LIMIT).await;
    cluster.restart_daemon(endpoint).map_err(|error| error.to_string())?;
    load.set_address(endpoint, cluster.endpoints[endpoint].addresses.callers);
    // The new daemon's backend server has to announce itself again before the next stop.
    sleep(Duration::from_secs(3)).await;
    Ok(PlannedStop { new_work_ms: last_change, graceful: code == Some(0) })
}
