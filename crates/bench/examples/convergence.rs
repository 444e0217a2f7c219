//! Measures how fast changes are in force on many daemons, and what that costs.

use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep};
use gumdrop::Options;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use shallottack_bench::{
    fleet::{Fleet, FleetSettings},
    process,
    report::{quantile, rounded},
};
use shallottack_config::Version;
use shallottack_distribution::Mode;

/// Measures convergence of configuration changes.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of daemons", default = "50")]
    daemons: usize,
    #[options(help = "number of changes", default = "40")]
    changes: usize,
    #[options(
        help = "none, source-loss, mass-restart, partition or platform-outage",
        default = "none"
    )]
    fault: String,
    #[options(help = "tree, epidemic or poll", default = "tree")]
    mode: String,
    #[options(help = "seed of all randomness", default = "1")]
    seed: u64,
    #[options(help = "number of data centres", default = "4", no_short)]
    data_centres: usize,
    #[options(help = "number of services in the configuration", default = "60", no_short)]
    services: usize,
    #[options(help = "time between two changes in milliseconds", default = "250", no_short)]
    interval_ms: u64,
}

/// Time for which a partition or an outage lasts.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Share of the daemons that a mass restart kills.
const RESTART_SHARE: f64 = 0.8;
/// Quiet time over which the standing cost is measured.
const QUIET_TIME: Duration = Duration::from_secs(10);

struct Submitted {
    number: usize,
    version: Version,
    at: Instant,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let mode = match arguments.mode.as_str() {
        "tree" => Mode::Tree,
        "epidemic" => Mode::Epidemic,
        "poll" => Mode::Poll,
        other => return usage(&format!("unknown mode `{other}`")),
    };
    let faults = ["none", "source-loss", "mass-restart", "partition", "platform-outage"];
    if !faults.contains(&arguments.fault.as_str()) {
        return usage(&format!("unknown fault `{}`", arguments.fault));
    }
    block_on(run(&arguments, mode));
}

fn usage(problem: &str) {
    eprintln!("convergence: {problem}");
    std::process::exit(2);
}

async fn run(arguments: &Arguments, mode: Mode) {
    let mut rng = StdRng::seed_from_u64(arguments.seed);
    let settings = FleetSettings {
        daemons: arguments.daemons,
        data_centres: arguments.data_centres,
        services: arguments.services,
        mode,
        seed: arguments.seed,
    };
    let started = Instant::now();
    let mut fleet = Fleet::start(settings).await;
    fleet.apply_base().await;
    let joined = fleet.wait_joined().await;
    eprintln!("all in force and joined ({joined}) after {:?}", started.elapsed());

    let settled = fleet.wait_quiet().await;
    eprintln!("gossip of the join ended ({settled}) after {:?}", started.elapsed());
    let quiet = Cost::begin(&fleet);
    sleep(QUIET_TIME).await;
    let quiet = quiet.end(&fleet);

    let busy = Cost::begin(&fleet);
    let fault_at = arguments.changes / 3;
    let mut submitted = Vec::new();
    let (mut fault, mut refused, mut unknown) = (Fault::default(), 0, 0);
    for number in 0..arguments.changes {
        if number == fault_at {
            fault.begin = Some(Instant::now());
            fault.end = begin_fault(&mut fleet, &arguments.fault, &mut rng).await;
        }
        if fault.is_over() && end_fault(&fleet, &arguments.fault) {
            fault.end = Some(Instant::now());
        }
        let change = fleet.change(number, &mut rng);
        let node = rng.random_range(0..arguments.daemons);
        match fleet.nodes()[node].submit(change).await {
            Ok(version) => {
                submitted.push(Submitted { number, version, at: Instant::now() });
            }
            Err(failure) if failure.kind.answer().run == shallottack_kernel::Run::No => {
                refused += 1;
            }
            Err(_) => unknown += 1,
        }
        sleep(Duration::from_millis(arguments.interval_ms)).await;
    }
    while arguments.fault != "none" && fault.begin.is_some() && fault.end.is_none() {
        sleep(Duration::from_millis(arguments.interval_ms)).await;
        if fault.is_over() && end_fault(&fleet, &arguments.fault) {
            fault.end = Some(Instant::now());
        }
    }
    let last = submitted.iter().map(|it| it.version).max().unwrap_or_default();
    let behind = fleet.wait_in_force(last).await;
    let busy = busy.end(&fleet);

    let truth = reference(&fleet).await;
    let mut times = in_force_times(&fleet, &submitted, &fault);
    let wrong_writes = truth.map_or(1, |it| wrong_writes(&submitted, refused, unknown, &it));
    let output = json!({
        "daemons": arguments.daemons,
        "data_centres": arguments.data_centres,
        "changes": submitted.len(),
        "changes_refused": refused,
        "changes_unknown": unknown,
        "fault": arguments.fault,
        "mode": arguments.mode,
        "seed": arguments.seed,
        "in_force_ms_p50": rounded(quantile(&mut times, 0.5)),
        "in_force_ms_p99": rounded(quantile(&mut times, 0.99)),
        "in_force_ms_max": rounded(quantile(&mut times, 1.0)),
        "never_in_force": behind.len(),
        "bytes_per_daemon_per_s": rounded(busy.bytes),
        "quiet_bytes_per_daemon_per_s": rounded(quiet.bytes),
        "quiet_exchanges_per_daemon_per_s": rounded(quiet.exchanges),
        "quiet_connections_per_daemon_per_s": rounded(quiet.connections),
        "cpu_core_percent_per_daemon": rounded(busy.cpu_percent),
        "quiet_cpu_core_percent_per_daemon": rounded(quiet.cpu_percent),
        "rss_mib_per_daemon": rounded(busy.rss_mib),
        "table_reads_per_s": rounded(busy.reads),
        "table_writes_per_s": rounded(busy.writes),
        "quiet_table_reads_per_s": rounded(quiet.reads),
        "quiet_table_writes_per_s": rounded(quiet.writes),
        "version_regressions": fleet.log().regressions(),
        "dangling_routes": fleet.log().dangling(),
        "partial_applies": fleet.log().partial(),
        "applies_compared": fleet.log().compared(),
        "lost_or_doubled_writes": wrong_writes,
    });
    println!("{output}");
}

/// Times of the fault. It lasts longer than stated when a change is submitted to a daemon that is
/// cut off, which takes seconds to give up.
#[derive(Default)]
struct Fault {
    begin: Option<Instant>,
    end: Option<Instant>,
}

impl Fault {
    fn is_over(&self) -> bool {
        self.end.is_none() && self.begin.is_some_and(|it| it.elapsed() >= FAULT_TIME)
    }
}

/// Begins a fault; returns its end when it ends at once.
async fn begin_fault(fleet: &mut Fleet, fault: &str, rng: &mut StdRng) -> Option<Instant> {
    match fault {
        "source-loss" => {
            let killed = fleet.kill_sources().await;
            eprintln!("killed and restarted {killed} sources");
            return Some(Instant::now());
        }
        "mass-restart" => {
            let killed = fleet.mass_restart(RESTART_SHARE, rng).await;
            eprintln!("killed and restarted {killed} daemons");
            return Some(Instant::now());
        }
        "partition" => fleet.cut(0, true),
        "platform-outage" => fleet.outage(true),
        _ => {}
    }
    None
}

/// Ends a fault that lasts; returns whether there was one.
fn end_fault(fleet: &Fleet, fault: &str) -> bool {
    match fault {
        "partition" => fleet.cut(0, false),
        "platform-outage" => fleet.outage(false),
        _ => return false,
    }
    true
}

/// Standing cost per daemon and second.
struct Cost {
    at: Instant,
    bytes: u64,
    cpu: Duration,
    exchanges: (u64, u64),
    counts: (u64, u64),
}

struct Rates {
    bytes: f64,
    cpu_percent: f64,
    rss_mib: f64,
    reads: f64,
    writes: f64,
    exchanges: f64,
    connections: f64,
}

impl Cost {
    fn begin(fleet: &Fleet) -> Cost {
        Cost {
            at: Instant::now(),
            bytes: bytes(fleet),
            cpu: process::cpu_time(),
            exchanges: exchanges(fleet),
            counts: fleet.platform().counts(),
        }
    }

    fn end(self, fleet: &Fleet) -> Rates {
        let seconds = self.at.elapsed().as_secs_f64();
        let daemons = fleet.nodes().len() as f64;
        let cpu = (process::cpu_time() - self.cpu).as_secs_f64();
        let (reads, writes) = fleet.platform().counts();
        Rates {
            // A restart sets a daemon's counter back, so that a fault can lower the sum.
            bytes: bytes(fleet).saturating_sub(self.bytes) as f64 / seconds / daemons,
            cpu_percent: cpu / seconds / daemons * 100.0,
            rss_mib: process::resident_bytes() as f64 / daemons / f64::from(1 << 20),
            exchanges: exchanges(fleet).0.saturating_sub(self.exchanges.0) as f64
                / seconds
                / daemons,
            connections: exchanges(fleet).1.saturating_sub(self.exchanges.1) as f64
                / seconds
                / daemons,
            reads: (reads - self.counts.0) as f64 / seconds,
            writes: (writes - self.counts.1) as f64 / seconds,
        }
    }
}

fn exchanges(fleet: &Fleet) -> (u64, u64) {
    fleet.nodes().iter().fold((0, 0), |sum, node| {
        let (exchanges, connections) = node.exchanges();
        (sum.0 + exchanges, sum.1 + connections)
    })
}

fn bytes(fleet: &Fleet) -> u64 {
    fleet.nodes().iter().map(shallottack_bench::fleet::Node::bytes).sum()
}

/// Rebuilds every version from the platform, for comparison with what the daemons had in force.
async fn reference(fleet: &Fleet) -> Option<shallottack_config::Catalog> {
    let newest = fleet.nodes()[0].load().await?;
    for catalog in fleet.nodes()[0].history().await? {
        fleet.log().reference(&catalog);
    }
    fleet.log().reference(&newest);
    Some(newest)
}

/// Returns the times in milliseconds from acceptance, or from the end of the fault when that came
/// later, until each change was in force on each daemon.
fn in_force_times(fleet: &Fleet, submitted: &[Submitted], fault: &Fault) -> Vec<f64> {
    let mut times = Vec::new();
    for change in submitted {
        let from = match (fault.begin, fault.end) {
            // A change that was accepted just before the fault was still on its way.
            (Some(begin), Some(end)) if change.at + Duration::from_secs(1) > begin => {
                change.at.max(end)
            }
            _ => change.at,
        };
        // A daemon may put the change in force before its submitter hears of the acceptance.
        let since = change.at - Duration::from_secs(1);
        for at in fleet.log().in_force_at(change.version, since).values() {
            times.push(at.saturating_duration_since(from).as_secs_f64() * 1_000.0);
        }
    }
    times
}

/// Counts accepted changes that the newest catalog lacks, and versions that no change explains.
fn wrong_writes(
    submitted: &[Submitted],
    refused: usize,
    unknown: usize,
    newest: &shallottack_config::Catalog,
) -> u64 {
    let mut versions: Vec<_> = submitted.iter().map(|it| it.version).collect();
    versions.sort();
    versions.dedup();
    let doubled = submitted.len() - versions.len();
    let deadlines: std::collections::BTreeSet<u64> =
        newest.classes.values().map(|it| it.deadline.as_millis() as u64).collect();
    // The last change of each class is visible; an earlier one was replaced by a later one.
    let newest_change = submitted.iter().max_by_key(|it| it.version);
    let lost = newest_change.is_some_and(|it| !deadlines.contains(&(2_000 + it.number as u64)));
    // The base change is version 1; each accepted change adds one version.
    let expected = 1 + submitted.len() as u64;
    let extra = newest.version.seq.saturating_sub(expected + unknown as u64);
    let missing = expected.saturating_sub(newest.version.seq);
    let _ = refused;
    doubled as u64 + u64::from(lost) + extra + missing
}
