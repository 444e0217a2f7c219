//! A backend server in virtual time and callers with a constant rate.

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

/// Returns a catalog of classes with a target of 99 % within `within`.
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

/// Lets `count` calls run one after the other, so that service times are known.
pub fn teach(
    admission: &mut AdmissionController,
    now: Time,
    class: &str,
    latency: Duration,
    count: u64,
) {
    for call in 0..count {
        let call = u64::MAX - call;
        let verdict = admission.arrive(now, &arrival(call, class, now + ms(60_000)));
        assert_eq!(verdict, AdmissionDecision::Run);
        admission.complete(now + latency, CallId(call), answered(latency));
    }
}

/// Calls that a class offers.
#[derive(Clone, Copy)]
pub struct Load {
    pub class: &'static str,
    pub per_second: u64,
    pub service: Duration,
    pub deadline: Duration,
}

/// What became of the calls of a class.
#[derive(Default)]
pub struct Fate {
    pub arrived: u64,
    pub answered: u64,
    pub late: u64,
    pub shed: u64,
    pub refused: u64,
    pub busy: Duration,
    pub latencies: Vec<Duration>,
    /// Longest share of its time to the deadline that a refused call was held.
    pub held: f64,
}

impl Fate {
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

/// The backend server behind the admission core.
pub struct Simulation {
    pub admission: AdmissionController,
    pub loads: Vec<Load>,
    /// Calls that the backend server runs at full speed; more calls slow each other down.
    pub capacity: u32,
    /// Calls above this number at the backend server are shed after 1 ms.
    pub sheds_above: u32,
    /// Service times are multiplied by this.
    pub slowness: f64,
    pub fates: BTreeMap<&'static str, Fate>,
    /// Number of events after which a slot was idle although calls were queued.
    pub idle_slots: u64,
    now: Time,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    calls: BTreeMap<u64, Call>,
    next: u64,
}

impl Simulation {
    pub fn new(admission: AdmissionController, loads: &[Load], seed: u64) -> Simulation {
        let mut simulation = Simulation {
            capacity: admission.load().limit,
            admission,
            loads: loads.to_vec(),
            sheds_above: u32::MAX,
            slowness: 1.0,
            fates: loads.iter().map(|it| (it.class, Fate::default())).collect(),
            idle_slots: 0,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            calls: BTreeMap::new(),
            next: 0,
        };
        (0..loads.len()).for_each(|it| simulation.schedule(it));
        simulation
    }

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

    /// Forgets what was counted so far.
    pub fn reset(&mut self) -> &mut Simulation {
        self.fates.values_mut().for_each(|it| *it = Fate::default());
        self
    }

    fn uniform(&mut self) -> f64 {
        self.rng.next_u32() as f64 / u32::MAX as f64
    }

    fn schedule(&mut self, load: usize) {
        let mean = 1e6 / self.loads[load].per_second as f64;
        let gap = Duration::from_micros((mean * 2.0 * self.uniform()) as u64 + 1);
        self.events.push(Reverse((self.now + gap, Event::Arrived(load))));
    }

    fn handle(&mut self, event: Event) {
        let starts = match event {
            Event::Arrived(load) => return self.arrive(load),
            Event::Tick => self.admission.tick(self.now),
            Event::Ended(id) => {
                let call = self.calls.remove(&id).unwrap();
                let load = self.loads[call.load];
                let fate = self.fates.get_mut(load.class).unwrap();
                let latency = self.now.since(call.started);
                let outcome = if latency == ms(1) && self.sheds_above != u32::MAX {
                    fate.shed += 1;
                    Outcome::Shed
                } else {
                    let total = self.now.since(call.arrived);
                    fate.answered += 1;
                    fate.late += u64::from(total > load.deadline);
                    fate.busy += latency;
                    fate.latencies.push(total);
                    Outcome::Answered
                };
                self.admission.complete(self.now, CallId(id), Completion { latency, outcome })
            }
        };
        self.act(&starts);
    }

    fn arrive(&mut self, load: usize) {
        self.schedule(load);
        let Load { class, deadline, .. } = self.loads[load];
        self.next += 1;
        let id = self.next;
        self.fates.get_mut(class).unwrap().arrived += 1;
        self.calls.insert(id, Call { load, arrived: self.now, started: self.now });
        match self.admission.arrive(self.now, &arrival(id, class, self.now + deadline)) {
            AdmissionDecision::Run => self.start(id),
            AdmissionDecision::Queue => {}
            AdmissionDecision::Refuse(_) => self.refuse(id),
        }
    }

    fn act(&mut self, starts: &Dequeued) {
        starts.start.iter().for_each(|it| self.start(it.0));
        starts.refuse.iter().for_each(|it| self.refuse(it.0.0));
    }

    fn start(&mut self, id: u64) {
        let running = self.admission.load().in_flight;
        let jitter = 0.5 + self.uniform();
        let crowd = (f64::from(running) / f64::from(self.capacity)).max(1.0);
        let call = self.calls.get_mut(&id).unwrap();
        call.started = self.now;
        let service = self.loads[call.load].service.mul_f64(jitter * crowd * self.slowness);
        let time = if running > self.sheds_above { ms(1) } else { service.max(ms(2)) };
        self.events.push(Reverse((self.now + time, Event::Ended(id))));
    }

    fn refuse(&mut self, id: u64) {
        let call = self.calls.remove(&id).unwrap();
        let load = self.loads[call.load];
        let fate = self.fates.get_mut(load.class).unwrap();
        fate.refused += 1;
        let held = self.now.since(call.arrived).as_secs_f64() / load.deadline.as_secs_f64();
        fate.held = fate.held.max(held);
    }
}
