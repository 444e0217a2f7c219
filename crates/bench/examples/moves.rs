//! Measures the decisions that move traffic between versions, with generated outcomes of calls in
//! virtual time, beside two simple policies.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use gumdrop::Options;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use shallottack_bench::report::{quantile, rounded};
use shallottack_kernel::Time;
use shallottack_moves::{CircuitBreaker, Evidence, Outcome, Reason, Settings, Side, choose_side};

#[path = "moves/compare.rs"]
mod compare;
#[path = "moves/policy.rs"]
mod policy;
#[path = "moves/world.rs"]
mod world;

use policy::{Act, Policy};
use world::{KINDS, World, between, exponential, world};

/// Measures moves between versions.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of moves", default = "1000")]
    runs: u64,
    #[options(help = "seed of all randomness", default = "1")]
    seed: u64,
    #[options(help = "print each missed move to standard error")]
    verbose: bool,
    #[options(help = "compare sequential tests instead of running moves")]
    compare: bool,
}

const POLICIES: [&str; 3] = ["decisions", "fixed_steps", "all_at_once"];
const REPORT_US: u64 = 200_000;
const TICK_US: u64 = 100_000;
const LOST_SHARE: f64 = 0.02;
/// Time without decisions when the holder is replaced: the ttl of its lease.
const FAILOVER_US: u64 = 3_000_000;
/// Time for which a finished good move is watched, and a bad one after its fault shows.
const WATCH_US: u64 = 120_000_000;

struct Daemon {
    report: Evidence,
    next: u64,
    shares: Vec<f64>,
    guards: Vec<CircuitBreaker>,
    stopped: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Outcome {
        daemon: usize,
        route: usize,
        endpoint: usize,
        new: bool,
        start: u64,
        failed: bool,
        cold: bool,
        latency: u64,
        hit: bool,
    },
    Report {
        number: usize,
    },
    Shares {
        daemon: usize,
        order: u64,
        number: usize,
    },
}

#[derive(Debug, Clone, Default)]
struct Outcomes {
    kind: usize,
    bad: bool,
    finished: Option<u64>,
    taken: bool,
    hurt_share: f64,
    hurt_share_until: f64,
    zero_ms: Option<f64>,
    in_time: bool,
    reason: Option<Reason>,
}

/// Runs one move under one policy.
fn simulate(world: &World, which: usize, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let settings = Settings::default();
    let classes = world.classes();
    let count = classes.len();
    let mut policy = Policy::new(which, world);
    let mut daemons: Vec<Daemon> = (0..world.site.0)
        .map(|at| Daemon {
            report: Evidence::report(Time(0)),
            next: REPORT_US * (at as u64 + 1) / world.site.0 as u64,
            shares: vec![0.0; count],
            guards: classes.iter().map(CircuitBreaker::new).collect(),
            stopped: 0,
        })
        .collect();
    let mut orders = vec![0u64; daemons.len()];
    let (mut order, mut share, mut tick) = (0u64, 0.0, TICK_US);
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    let (mut reports, mut sent): (Vec<Option<Evidence>>, Vec<Vec<f64>>) = Default::default();
    let mut arrived = Evidence::default();
    let mut out = Outcomes { kind: world.kind, bad: world.bad, ..Outcomes::default() };
    let (mut calls, mut hurt, mut first_hit) = (0u64, 0u64, None);
    let (mut new_calls, mut load) = (0u64, 0.0);
    let (mut now, mut zero_at, mut done, mut paused) = (0u64, None, false, false);
    let mut failover = world.failover;
    let mut resume = 0;
    loop {
        now += (exponential(&mut rng) * 1e6 / world.rate) as u64 + 1;
        while tick <= now || events.peek().is_some_and(|it| it.0.0 <= now) {
            if events.peek().is_some_and(|it| it.0.0 <= tick) {
                let Some(Reverse((at, event))) = events.pop() else { break };
                match event {
                    Event::Outcome {
                        daemon,
                        route,
                        endpoint,
                        new,
                        start,
                        failed,
                        cold,
                        latency,
                        hit,
                    } => {
                        if hit {
                            first_hit.get_or_insert(at);
                        }
                        let it = &mut daemons[daemon];
                        let side = if new { Side::New } else { Side::Old };
                        let outcome =
                            Outcome { failed, cold, latency: Duration::from_micros(latency) };
                        let class = &classes[route];
                        it.report.from = it.report.from.min(Time(start));
                        it.report.routes.entry(class.route.clone()).or_default().add(
                            side,
                            endpoint,
                            outcome,
                            class.within,
                        );
                        if which == 0
                            && let Some(stop) =
                                it.guards[route].observe(&settings, Time(at), side, outcome)
                        {
                            it.stopped = stop.until.0;
                        }
                    }
                    Event::Report { number } => {
                        if let Some(report) = reports[number].take() {
                            arrived.merge(&report);
                        }
                    }
                    Event::Shares { daemon, order, number } => {
                        if order > orders[daemon] {
                            orders[daemon] = order;
                            daemons[daemon].shares.clone_from(&sent[number]);
                        }
                        let all = orders.iter().all(|it| *it == order);
                        if all {
                            let zero = sent[number].iter().all(|it| *it == 0.0);
                            zero_at = zero.then(|| zero_at.unwrap_or(at));
                            done = out.taken && zero;
                        }
                    }
                }
                continue;
            }
            let at = tick;
            tick += TICK_US;
            load = load * 0.8 + 0.2 * new_calls as f64 * 1e6 / TICK_US as f64;
            new_calls = 0;
            for it in &mut daemons {
                if it.next > at {
                    continue;
                }
                it.next += REPORT_US;
                it.report.stopped = u32::from(it.stopped > at);
                let report = std::mem::replace(&mut it.report, Evidence::report(Time(at)));
                if rng.random::<f64>() >= LOST_SHARE {
                    let slow = rng.random::<f64>() < 0.01;
                    let delay = if slow {
                        between(&mut rng, 2e5, 1e6)
                    } else {
                        between(&mut rng, 5e3, 1.5e5)
                    };
                    events.push(Reverse((
                        at + delay as u64,
                        Event::Report { number: reports.len() },
                    )));
                    reports.push(Some(report));
                }
            }
            if failover.is_some_and(|it| it <= at) {
                failover = None;
                resume = at + FAILOVER_US;
                policy.replace_holder(world);
            }
            if out.taken || at < resume {
                arrived = Evidence::default();
                continue;
            }
            let act = policy.decide(at, &std::mem::take(&mut arrived), world);
            let table = between(&mut rng, 2e4, 1e5);
            let wait = match act {
                Act::Nothing => None,
                Act::Share(next) => {
                    share = next;
                    Some(table)
                }
                Act::Back => {
                    share = 0.0;
                    out.taken = true;
                    Some(0.0)
                }
                Act::Finish => {
                    out.finished = Some(at);
                    None
                }
            };
            // Shares by steering follow the measured rates every 2 s.
            let changed = policy.paused() != paused;
            paused = policy.paused();
            let refresh =
                (which == 0 && share > 0.0 && (changed || at % 2_000_000 == 0)).then_some(0.0);
            if let Some(wait) = wait.or(refresh) {
                order += 1;
                sent.push(if out.taken {
                    vec![0.0; count]
                } else {
                    policy.shares(at, share, count)
                });
                for daemon in 0..daemons.len() {
                    let lost = rng.random::<f64>() < LOST_SHARE;
                    // A lost message is sent again after 500 ms.
                    let delay = wait + between(&mut rng, 5e3, 1.5e5) + if lost { 5e5 } else { 0.0 };
                    let number = sent.len() - 1;
                    events.push(Reverse((
                        at + delay as u64,
                        Event::Shares { daemon, order, number },
                    )));
                }
            }
        }
        let over = match (out.taken, out.finished, first_hit) {
            (true, _, _) => done,
            (_, Some(at), _) if !world.bad => now > at + WATCH_US,
            (_, Some(at), Some(hit)) => now > at.max(hit) + WATCH_US,
            // The old group's ready time bounds when a late fault can be taken back.
            (_, Some(at), None) => now > at + settings.ready_time.as_micros() as u64,
            (_, None, _) => now > world.deadline + WATCH_US,
        };
        if over {
            break;
        }
        calls += 1;
        let daemon = rng.random_range(0..daemons.len());
        let mut pick = rng.random::<f64>();
        let mut route = 0;
        while route + 1 < count && pick >= world.site.3[route].1 {
            pick -= world.site.3[route].1;
            route += 1;
        }
        let it = &daemons[daemon];
        let wanted = if it.stopped > now { 0.0 } else { it.shares[route] };
        let side = choose_side(wanted, &mut rng);
        new_calls += u64::from(side == Side::New);
        let (outcome, hit, endpoint) = world.call(&mut rng, now, route, side, load);
        hurt += u64::from(hit);
        // A call over its target is known to be slow as soon as the target has passed.
        let latency = outcome.latency.as_micros() as u64;
        let visible =
            if outcome.failed { latency } else { latency.min(world.site.3[route].2 * 1_000 + 1) };
        let event = Event::Outcome {
            daemon,
            route,
            endpoint,
            new: side == Side::New,
            start: now,
            failed: outcome.failed,
            cold: outcome.cold,
            latency,
            hit,
        };
        events.push(Reverse((now + visible, event)));
    }
    if let Policy::Core { row, .. } = &policy {
        out.reason = row.reason.clone();
    }
    out.in_time = !out.taken && out.finished.is_some_and(|at| at <= world.deadline);
    out.hurt_share = hurt as f64 / (world.rate * world.deadline.max(now) as f64 / 1e6);
    out.hurt_share_until = hurt as f64 / calls.max(1) as f64;
    out.zero_ms = match (first_hit, zero_at) {
        (Some(hit), Some(back)) if out.taken => Some(back.saturating_sub(hit) as f64 / 1e3),
        _ => None,
    };
    out
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0u64), |it, value| (it.0 + value, it.1 + 1));
    if count == 0 { 0.0 } else { sum / count as f64 }
}

fn summary(all: &[&Outcomes]) -> Value {
    let part = |bad: bool, test: fn(&Outcomes) -> bool| {
        mean(all.iter().filter(|it| it.bad == bad).map(|it| f64::from(u8::from(test(it)))))
    };
    let fine = |value: f64| (value * 1e6).round() / 1e6;
    let mut zero: Vec<f64> = all.iter().filter(|it| it.bad).filter_map(|it| it.zero_ms).collect();
    let bad = || all.iter().filter(|it| it.bad);
    json!({
        "good": all.iter().filter(|it| !it.bad).count(),
        "bad": bad().count(),
        "good_finished_in_time": rounded(part(false, |it| it.in_time)),
        "good_taken_back": rounded(part(false, |it| it.taken)),
        "bad_taken_back": rounded(part(true, |it| it.taken)),
        "bad_finished": rounded(part(true, |it| it.finished.is_some() && !it.taken)),
        "bad_request_share_mean": fine(mean(bad().map(|it| it.hurt_share))),
        "bad_request_share_max": fine(bad().map(|it| it.hurt_share).fold(0.0, f64::max)),
        "bad_request_share_until_end_mean": fine(mean(bad().map(|it| it.hurt_share_until))),
        "fault_to_zero_share_ms_p50": rounded(quantile(&mut zero, 0.5)),
        "fault_to_zero_share_ms_p99": rounded(quantile(&mut zero, 0.99)),
    })
}

fn report(all: &[Outcomes]) -> Value {
    let mut value = summary(&all.iter().collect::<Vec<_>>());
    let kinds = KINDS.iter().enumerate().map(|(kind, name)| {
        let these: Vec<_> = all.iter().filter(|it| it.kind == kind).collect();
        ((*name).to_owned(), summary(&these))
    });
    value["kinds"] = Value::Object(kinds.collect());
    value
}

fn seed_of(seed: u64, run: u64) -> u64 {
    seed.wrapping_mul(1_000_003).wrapping_add(run)
}

fn run(arguments: &Arguments, run: u64) -> Vec<Outcomes> {
    let seed = seed_of(arguments.seed, run);
    let world = world(&mut StdRng::seed_from_u64(seed), run);
    let outcomes: Vec<_> = (0..POLICIES.len()).map(|it| simulate(&world, it, seed)).collect();
    let it = &outcomes[0];
    if arguments.verbose
        && (it.bad != it.taken || !it.bad && !it.in_time || it.zero_ms.is_some_and(|it| it > 2e3))
    {
        eprintln!(
            "run {run} {} rate {:.0} deadline {} s routes {} strength {:.2} errors {} onset {} s load {:.0} route {:?} part {}: {it:?}",
            KINDS[world.kind],
            world.rate,
            world.deadline / 1_000_000,
            world.site.3[0].0,
            world.strength,
            world.errors,
            world.onset / 1_000_000,
            world.load,
            world.route,
            world.part,
        );
    }
    outcomes
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.compare {
        println!("{}", compare::compare(arguments.seed, arguments.runs));
        return;
    }
    let threads = std::thread::available_parallelism().map_or(1, |it| it.get() as u64).min(8);
    let mut all: Vec<Vec<Outcomes>> = std::thread::scope(|scope| {
        let arguments = &arguments;
        let part = |at: u64| (at..arguments.runs).step_by(threads as usize);
        let workers: Vec<_> = (0..threads)
            .map(|at| {
                scope.spawn(move || part(at).map(|it| run(arguments, it)).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|it| it.join().expect("a worker ends")).collect()
    });
    let mut columns = (0..POLICIES.len())
        .map(|at| all.iter_mut().map(|it| std::mem::take(&mut it[at])).collect::<Vec<_>>())
        .collect::<Vec<_>>()
        .into_iter();
    let mut value = report(&columns.next().unwrap_or_default());
    for (name, column) in POLICIES.iter().skip(1).zip(columns) {
        value[format!("baseline_{name}")] = report(&column);
    }
    println!("{value}");
}
