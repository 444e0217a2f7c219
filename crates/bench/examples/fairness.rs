//! Measures the fairness of admission with one class at 100 times its rate.
//!
//! Drives the real admission core against a simulated backend server in virtual time: `slots`
//! calls run at a time with exponential service times, further calls wait in its own queue. The
//! same arrivals go through a first-come-first-served queue as the baseline. The last line of the
//! output is a JSON object.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use gumdrop::Options;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use shallottack_admission::{
    AdmissionController, AdmissionDecision, Arrival, CallId, Completion, Dequeued, Outcome,
    Settings,
};
use shallottack_config::{Catalog, Class, LatencyTarget};
use shallottack_kernel::{ClassName, Time};

const WARM_UP: Duration = Duration::from_secs(10);
const MEASURED: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(1);
/// Wait that the queue of the baseline is bounded to. A longer queue would have it answer
/// everything late.
const BASELINE_WAIT: Duration = Duration::from_millis(500);
/// Mean service time that the baseline's bound is worked out with.
const BASELINE_SERVICE: Duration = Duration::from_millis(20);

/// Measures the fairness of admission.
#[derive(Options)]
struct Args {
    /// print this help
    help: bool,
    /// seed of arrivals and service times
    #[options(default = "101")]
    seed: u64,
    /// slots of the backend server
    #[options(default = "12")]
    slots: u32,
}

/// Load that a class offers.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// Offered load as a share of the capacity.
    share: f64,
    /// Mean service time.
    service: Duration,
    /// Whether the class offers more than its fair share.
    backlogged: bool,
}

/// `loud` offers 100 times its rate of 0.3 of the capacity. Three further classes offer more than
/// the fair share of 0.2375 that the four have when `quiet` uses 0.05.
const LOADS: [Load; 5] = [
    Load { name: "loud", share: 30.0, service: Duration::from_millis(20), backlogged: true },
    Load { name: "batch", share: 0.4, service: Duration::from_millis(40), backlogged: true },
    Load { name: "orders", share: 0.4, service: Duration::from_millis(20), backlogged: true },
    Load { name: "lookup", share: 0.4, service: Duration::from_millis(10), backlogged: true },
    Load { name: "quiet", share: 0.05, service: Duration::from_millis(20), backlogged: false },
];
const QUIET: usize = 4;

#[derive(Clone, Copy)]
struct Call {
    class: usize,
    arrived: Time,
    service: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(u64),
    Tick,
    Arrived(usize),
}

/// The decisions under measurement.
trait Policy {
    fn arrive(&mut self, now: Time, id: u64, class: usize) -> Decision;
    fn complete(&mut self, now: Time, id: u64, latency: Duration) -> Decision;
    fn tick(&mut self, now: Time) -> Decision;
    fn wake_at(&self) -> Time;
}

#[derive(Default)]
struct Decision {
    start: Vec<u64>,
    refuse: Vec<u64>,
}

struct Core {
    admission: AdmissionController,
    names: Vec<ClassName>,
    nanos: Histogram<u64>,
}

impl Core {
    fn new(slots: u32) -> Core {
        let mut catalog = Catalog::default();
        let mut names = Vec::new();
        for load in LOADS {
            let name = ClassName::new(load.name).expect("constant name is valid");
            let class = Class {
                name: name.clone(),
                latency: LatencyTarget { quantile: 0.99, within: DEADLINE / 2 },
                failures: 0.01,
                deadline: DEADLINE,
                idempotent: false,
            };
            catalog.classes.insert(name.clone(), class.into());
            names.push(name);
        }
        let mut admission = AdmissionController::new(Settings::default(), slots);
        admission.set_classes(&catalog);
        let nanos = Histogram::new_with_bounds(1, 1_000_000_000, 2).expect("bounds are valid");
        Core { admission, names, nanos }
    }

    fn timed<T>(&mut self, decide: impl FnOnce(&mut AdmissionController) -> T) -> T {
        let start = Instant::now();
        let result = decide(&mut self.admission);
        self.nanos.saturating_record(start.elapsed().as_nanos() as u64);
        result
    }
}

impl From<Dequeued> for Decision {
    fn from(starts: Dequeued) -> Decision {
        Decision {
            start: starts.start.iter().map(|it| it.0).collect(),
            refuse: starts.refuse.iter().map(|it| it.0.0).collect(),
        }
    }
}

impl Policy for Core {
    fn arrive(&mut self, now: Time, id: u64, class: usize) -> Decision {
        let class = self.names[class].clone();
        let arrival = Arrival { call: CallId(id), class, deadline: now + DEADLINE, cost: None };
        match self.timed(|it| it.arrive(now, &arrival)) {
            AdmissionDecision::Run => Decision { start: vec![id], refuse: vec![] },
            AdmissionDecision::Queue => Decision::default(),
            AdmissionDecision::Refuse(_) => Decision { start: vec![], refuse: vec![id] },
        }
    }

    fn complete(&mut self, now: Time, id: u64, latency: Duration) -> Decision {
        let completion = Completion { latency, outcome: Outcome::Answered };
        self.timed(|it| it.complete(now, CallId(id), completion)).into()
    }

    fn tick(&mut self, now: Time) -> Decision {
        self.timed(|it| it.tick(now)).into()
    }

    fn wake_at(&self) -> Time {
        self.admission.wake_at()
    }
}

/// First come, first served, with one bounded queue and a limit of the slots.
struct Baseline {
    slots: u32,
    in_flight: u32,
    queue: VecDeque<u64>,
}

impl Policy for Baseline {
    fn arrive(&mut self, _now: Time, id: u64, _class: usize) -> Decision {
        if self.in_flight < self.slots {
            self.in_flight += 1;
            return Decision { start: vec![id], refuse: vec![] };
        }
        let calls = BASELINE_WAIT.as_millis() / BASELINE_SERVICE.as_millis();
        if self.queue.len() >= calls as usize * self.slots as usize {
            return Decision { start: vec![], refuse: vec![id] };
        }
        self.queue.push_back(id);
        Decision::default()
    }

    fn complete(&mut self, _now: Time, _id: u64, _latency: Duration) -> Decision {
        let next = self.queue.pop_front();
        self.in_flight -= u32::from(next.is_none());
        Decision { start: next.into_iter().collect(), refuse: vec![] }
    }

    fn tick(&mut self, _now: Time) -> Decision {
        Decision::default()
    }

    fn wake_at(&self) -> Time {
        Time(u64::MAX)
    }
}

/// Result of one simulation.
struct Outturn {
    /// Slot time in seconds of useful answers by class.
    useful: [f64; LOADS.len()],
    /// Calls by class that were not answered before their deadline.
    lost: [u64; LOADS.len()],
    /// Latency of the answers of the quiet class in microseconds, late ones included.
    quiet: Histogram<u64>,
}

struct Simulation<'a, P: Policy> {
    policy: &'a mut P,
    slots: usize,
    rngs: Vec<ChaCha8Rng>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    calls: HashMap<u64, Call>,
    started: HashMap<u64, Time>,
    /// Calls that the backend server runs; the rest of `started` waits in `waiting`.
    running: usize,
    waiting: VecDeque<u64>,
    outturn: Outturn,
}

impl<'a, P: Policy> Simulation<'a, P> {
    fn new(policy: &'a mut P, slots: u32, seed: u64) -> Self {
        // One stream for each class keeps the quiet class the same in all runs of a seed.
        let stream = |it: usize| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(it as u64);
            rng
        };
        Simulation {
            policy,
            slots: slots as usize,
            rngs: (0..LOADS.len()).map(stream).collect(),
            events: BinaryHeap::new(),
            calls: HashMap::new(),
            started: HashMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            outturn: Outturn {
                useful: [0.0; LOADS.len()],
                lost: [0; LOADS.len()],
                quiet: Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("bounds are valid"),
            },
        }
    }

    fn run(mut self, classes: &[usize]) -> Outturn {
        for &class in classes {
            self.next_arrival(Time(0), class);
        }
        let end = Time(0) + WARM_UP + MEASURED;
        let mut ids = 0..;
        let mut tick = Time(u64::MAX);
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > end {
                break;
            }
            let decision = match event {
                Event::Arrived(class) => {
                    let id = ids.next().expect("the range has no end");
                    self.next_arrival(now, class);
                    let service = self.exponential(class, LOADS[class].service.as_secs_f64());
                    self.calls.insert(id, Call { class, arrived: now, service });
                    self.policy.arrive(now, id, class)
                }
                Event::Ended(id) => self.end(now, id),
                Event::Tick => {
                    tick = Time(u64::MAX);
                    self.policy.tick(now)
                }
            };
            self.act(now, decision);
            let wake = self.policy.wake_at().max(now);
            if wake < tick && wake <= end {
                tick = wake;
                self.events.push(Reverse((wake, Event::Tick)));
            }
        }
        self.outturn
    }

    fn exponential(&mut self, class: usize, mean: f64) -> Duration {
        let uniform: f64 = self.rngs[class].random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() * mean).max(Duration::from_micros(1))
    }

    fn next_arrival(&mut self, now: Time, class: usize) {
        let load = LOADS[class];
        let mean = load.service.as_secs_f64() / (self.slots as f64 * load.share);
        let gap = self.exponential(class, mean);
        self.events.push(Reverse((now + gap, Event::Arrived(class))));
    }

    fn act(&mut self, now: Time, decision: Decision) {
        for id in decision.refuse {
            let call = self.calls.remove(&id).expect("refused call is known");
            self.outturn.lost[call.class] += u64::from(now > Time(0) + WARM_UP);
        }
        for id in decision.start {
            self.started.insert(id, now);
            self.waiting.push_back(id);
        }
        self.serve(now);
    }

    fn serve(&mut self, now: Time) {
        while self.running < self.slots
            && let Some(id) = self.waiting.pop_front()
        {
            self.running += 1;
            self.events.push(Reverse((now + self.calls[&id].service, Event::Ended(id))));
        }
    }

    fn end(&mut self, now: Time, id: u64) -> Decision {
        self.running -= 1;
        let call = self.calls.remove(&id).expect("ended call is known");
        let started = self.started.remove(&id).expect("ended call was started");
        if now > Time(0) + WARM_UP {
            let latency = now.since(call.arrived);
            if latency <= DEADLINE {
                self.outturn.useful[call.class] += call.service.as_secs_f64();
            } else {
                self.outturn.lost[call.class] += 1;
            }
            if call.class == QUIET {
                self.outturn.quiet.saturating_record(latency.as_micros() as u64);
            }
        }
        self.policy.complete(now, id, now.since(started))
    }
}

impl Outturn {
    fn jain_index(&self) -> f64 {
        let shares: Vec<f64> =
            LOADS.iter().zip(self.useful).filter(|it| it.0.backlogged).map(|it| it.1).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|it| it * it).sum();
        sum * sum / (shares.len() as f64 * squares)
    }

    fn goodput_ratio(&self, slots: u32) -> f64 {
        self.useful.iter().sum::<f64>() / (f64::from(slots) * MEASURED.as_secs_f64())
    }

    fn quiet_p99(&self) -> f64 {
        self.quiet.value_at_quantile(0.99) as f64
    }
}

#[derive(Serialize)]
struct Report {
    seed: u64,
    slots: u32,
    jain_index: f64,
    quiet_p99_ratio: f64,
    goodput_ratio: f64,
    quiet_lost: u64,
    baseline_jain_index: f64,
    baseline_quiet_p99_ratio: f64,
    baseline_goodput_ratio: f64,
    baseline_quiet_lost: u64,
    limit: u32,
    decision_ns_p50: u64,
    decision_ns_p99: u64,
}

fn main() {
    let Args { seed, slots, .. } = Args::parse_args_default_or_exit();
    let all: Vec<usize> = (0..LOADS.len()).collect();
    let alone = Simulation::new(&mut Core::new(slots), slots, seed).run(&[QUIET]);
    let mut core = Core::new(slots);
    let fair = Simulation::new(&mut core, slots, seed).run(&all);
    let mut baseline = Baseline { slots, in_flight: 0, queue: VecDeque::new() };
    let fcfs = Simulation::new(&mut baseline, slots, seed).run(&all);
    for (index, load) in LOADS.iter().enumerate() {
        println!(
            "{:>8}: useful slot time {:7.2} s, lost {:8}; first come: {:7.2} s, lost {:8}",
            load.name, fair.useful[index], fair.lost[index], fcfs.useful[index], fcfs.lost[index]
        );
    }
    let report = Report {
        seed,
        slots,
        jain_index: fair.jain_index(),
        quiet_p99_ratio: fair.quiet_p99() / alone.quiet_p99(),
        goodput_ratio: fair.goodput_ratio(slots),
        quiet_lost: fair.lost[QUIET],
        baseline_jain_index: fcfs.jain_index(),
        baseline_quiet_p99_ratio: fcfs.quiet_p99() / alone.quiet_p99(),
        baseline_goodput_ratio: fcfs.goodput_ratio(slots),
        baseline_quiet_lost: fcfs.lost[QUIET],
        limit: core.admission.load().limit,
        decision_ns_p50: core.nanos.value_at_quantile(0.5),
        decision_ns_p99: core.nanos.value_at_quantile(0.99),
    };
    println!("{}", serde_json::to_string(&report).expect("the report has no maps"));
}
