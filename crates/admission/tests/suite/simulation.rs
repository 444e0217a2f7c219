//! Simulation of a backend server and of callers at a constant mean rate, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use shallottack_admission::{
    AdmissionController, AdmissionDecision, Arrival, CallId, Completion, Dequeued, Outcome,
    Settings,
};
use shallottack_config::{Catalog, Class, LatencyTarget};
use shallottack_kernel::{ClassName, Time};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn name(text: &str) -> ClassName {
    ClassName::new(text).unwrap()
}

/// Returns a catalog of classes whose latency target is a 99th percentile of at most `within`.
pub fn catalog(names: &[&str], within: Duration) -> Catalog {
    let mut catalog = Catalog::default();
    for text in names {
        let class = Class {
            name: name(text),
            latency: LatencyTarget { quantile: 0.99, within },
            failures: 0.01,
            deadline: Duration::from_secs(2),
            idempotent: false,
        };
        catalog.classes.insert(name(text), class.into());
    }
    catalog
}

pub fn admission(slots: u32, names: &[&str], within: Duration) -> AdmissionController {
    let mut admission = AdmissionController::new(Settings::default(), slots);
    admission.set_classes(&catalog(names, within));
    admission
}

pub fn arrival(call: u64, class: &str, deadline: Time) -> Arrival {
    Arrival { call: CallId(call), class: name(class), deadline, cost: None }
}

pub fn answered(latency: Duration) -> Completion {
    Completion { latency, outcome: Outcome::Answered }
}

/// Runs `count` calls one at a time, so that the class has a measured service time and, from 32
/// calls on, a latency baseline.
pub fn warm_up(
    admission: &mut AdmissionController,
    now: Time,
    class: &str,
    latency: Duration,
    count: u64,
) {
    for call in 0..count {
        let call = u64::MAX - call;
        let decision = admission.arrive(now, &arrival(call, class, now + ms(60_000)));
        assert_eq!(decision, AdmissionDecision::Run);
        admission.complete(now + latency, CallId(call), answered(latency));
    }
}

/// Load offered by the callers of a class.
#[derive(Clone, Copy)]
pub struct OfferedLoad {
    pub class: &'static str,
    pub per_second: u64,
    pub service: Duration,
    pub deadline: Duration,
}

/// Results of the calls of a class.
#[derive(Default)]
pub struct ClassStats {
    pub arrived: u64,
    pub answered: u64,
    pub late: u64,
    pub shed: u64,
    pub refused: u64,
    pub busy: Duration,
    pub latencies: Vec<Duration>,
    /// Largest share of the time to its deadline that a refused call spent in the queue.
    pub max_wait_share: f64,
}

impl ClassStats {
    pub fn p99(&self) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted[sorted.len() * 99 / 100]
    }
}

struct Call {
    load: usize,
    arrived: Time,
    started: Time,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(u64),
    Tick,
    Arrived(usize),
}

/// Admission controller with callers and a backend server.
pub struct Simulation {
    pub admission: AdmissionController,
    pub loads: Vec<OfferedLoad>,
    /// Number of concurrent calls up to which the backend server runs at full speed.
    pub capacity: u32,
    /// Number of concurrent calls above which the backend server sheds calls, after 1 ms.
    pub sheds_above: u32,
    /// Factor by which service times are multiplied.
    pub slowdown: f64,
    pub stats: BTreeMap<&'static str, ClassStats>,
    /// Number of events after which a slot was idle although calls were queued.
    pub idle_slots: u64,
    now: Time,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    calls: BTreeMap<u64, Call>,
    next_id: u64,
}

impl Simulation {
    pub fn new(admission: AdmissionController, loads: &[OfferedLoad], seed: u64) -> Simulation {
        let mut simulation = Simulation {
            capacity: admission.load().limit,
            admission,
            loads: loads.to_vec(),
            sheds_above: u32::MAX,
            slowdown: 1.0,
            stats: loads.iter().map(|it| (it.class, ClassStats::default())).collect(),
            idle_slots: 0,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            calls: BTreeMap::new(),
            next_id: 0,
        };
        (0..loads.len()).for_each(|it| simulation.schedule(it));
        simulation
    }

    /// Advances the simulation by `time`.
    pub fn run_for(&mut self, time: Duration) -> &mut Simulation {
        let end = self.now + time;
        loop {
            let wake = self.admission.wake_at().max(self.now);
            let next = self.events.peek().map(|it| it.0.0).unwrap_or(end);
            if wake.min(next) >= end {
                self.now = end;
                return self;
            }
            let event = if wake < next {
                self.now = wake;
                Event::Tick
            } else {
                let Reverse((now, event)) = self.events.pop().unwrap();
                self.now = now;
                event
            };
            self.handle(event);
            let load = self.admission.load();
            self.idle_slots += u64::from(load.queued > 0 && load.in_flight < load.limit);
        }
    }

    /// Resets the statistics.
    pub fn reset(&mut self) -> &mut Simulation {
        self.stats.values_mut().for_each(|it| *it = ClassStats::default());
        self
    }

    /// Returns a random number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.rng.next_u32() as f64 / u32::MAX as f64
    }

    /// Schedules the next arrival of a load.
    fn schedule(&mut self, load: usize) {
        let mean = 1e6 / self.loads[load].per_second as f64;
        let gap = Duration::from_micros((mean * 2.0 * self.uniform()) as u64 + 1);
        self.events.push(Reverse((self.now + gap, Event::Arrived(load))));
    }

    fn handle(&mut self, event: Event) {
        let dequeued = match event {
            Event::Arrived(load) => return self.arrive(load),
            Event::Tick => self.admission.tick(self.now),
            Event::Ended(id) => {
                let call = self.calls.remove(&id).unwrap();
                let load = self.loads[call.load];
                let stats = self.stats.get_mut(load.class).unwrap();
                let latency = self.now.since(call.started);
                let outcome = if latency == ms(1) && self.sheds_above != u32::MAX {
                    stats.shed += 1;
                    Outcome::Shed
                } else {
                    let total = self.now.since(call.arrived);
                    stats.answered += 1;
                    stats.late += u64::from(total > load.deadline);
                    stats.busy += latency;
                    stats.latencies.push(total);
                    Outcome::Answered
                };
                self.admission.complete(self.now, CallId(id), Completion { latency, outcome })
            }
        };
        self.apply(&dequeued);
    }

    fn arrive(&mut self, load: usize) {
        self.schedule(load);
        let OfferedLoad { class, deadline, .. } = self.loads[load];
        self.next_id += 1;
        let id = self.next_id;
        self.stats.get_mut(class).unwrap().arrived += 1;
        self.calls.insert(id, Call { load, arrived: self.now, started: self.now });
        match self.admission.arrive(self.now, &arrival(id, class, self.now + deadline)) {
            AdmissionDecision::Run => self.start(id),
            AdmissionDecision::Queue => {}
            AdmissionDecision::Refuse(_) => self.refuse(id),
        }
    }

    fn apply(&mut self, dequeued: &Dequeued) {
        dequeued.start.iter().for_each(|it| self.start(it.0));
        dequeued.refuse.iter().for_each(|it| self.refuse(it.0.0));
    }

    fn start(&mut self, id: u64) {
        let running = self.admission.load().in_flight;
        let jitter = 0.5 + self.uniform();
        let contention = (f64::from(running) / f64::from(self.capacity)).max(1.0);
        let call = self.calls.get_mut(&id).unwrap();
        call.started = self.now;
        let service = self.loads[call.load].service.mul_f64(jitter * contention * self.slowdown);
        let time = if running > self.sheds_above { ms(1) } else { service.max(ms(2)) };
        self.events.push(Reverse((self.now + time, Event::Ended(id))));
    }

    fn refuse(&mut self, id: u64) {
        let call = self.calls.remove(&id).unwrap();
        let load = self.loads[call.load];
        let stats = self.stats.get_mut(load.class).unwrap();
        stats.refused += 1;
        let wait_share = self.now.since(call.arrived).as_secs_f64() / load.deadline.as_secs_f64();
        stats.max_wait_share = stats.max_wait_share.max(wait_share);
    }
}
