//! Invariants of the accounting under arbitrary sequences of inputs.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use shallottack_admission::{
    AdmissionController, AdmissionDecision, CallId, Completion, Dequeued, Outcome,
};
use shallottack_kernel::Time;

use crate::simulation::{admission, arrival, ms};

#[derive(Debug, Clone)]
enum Step {
    Arrive { class: usize, deadline_ms: u64 },
    Complete { nth: usize, outcome: Outcome },
    Cancel { nth: usize },
    Tick,
    Slots(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Shed)
    ];
    prop_oneof![
        8 => (0..4_usize, 1..300_u64).prop_map(|(class, deadline_ms)| Step::Arrive { class, deadline_ms }),
        6 => (any::<usize>(), outcome).prop_map(|(nth, outcome)| Step::Complete { nth, outcome }),
        1 => any::<usize>().prop_map(|nth| Step::Cancel { nth }),
        2 => Just(Step::Tick),
        1 => (1..6_u32).prop_map(Step::Slots),
    ]
}

/// Calls as the daemon sees them.
#[derive(Default)]
struct Model {
    running: BTreeMap<u64, Time>,
    queued: BTreeSet<u64>,
    /// Calls that were refused, were cancelled or have ended.
    ended: BTreeSet<u64>,
}

impl Model {
    fn apply(&mut self, now: Time, dequeued: &Dequeued) {
        for CallId(call) in &dequeued.start {
            assert!(self.queued.remove(call), "{call} was started without being queued");
            self.running.insert(*call, now);
        }
        for (CallId(call), _) in &dequeued.refuse {
            assert!(self.queued.remove(call), "{call} was refused without being queued");
            assert!(self.ended.insert(*call));
        }
    }

    fn pick(&self, nth: usize) -> Option<u64> {
        let calls: Vec<u64> = self.running.keys().chain(&self.queued).copied().collect();
        (!calls.is_empty()).then(|| calls[nth % calls.len()])
    }

    /// Asserts the invariants after an input. `before` is the number of calls that were running
    /// before it.
    fn check(&self, admission: &AdmissionController, before: usize) {
        let load = admission.load();
        assert_eq!(load.in_flight as usize, self.running.len());
        assert_eq!(load.queued as usize, self.queued.len());
        // A lower limit does not stop running calls, but no call is started above it.
        assert!(self.running.len() <= (load.limit as usize).max(before), "{load:?}");
        assert!(self.queued.is_empty() || load.in_flight >= load.limit, "idle slot: {load:?}");
    }
}

proptest! {
    /// Guards against more calls in flight than the limit, calls that end never or twice, starts
    /// of refused or cancelled calls, and idle slots while calls wait.
    #[test]
    fn accounting_holds(steps in prop::collection::vec((step(), 0..30_u64), 1..400)) {
        let classes = ["a", "b", "c", "unknown"];
        let mut admission = admission(3, &classes[..3], ms(100));
        let mut model = Model::default();
        let mut now = Time(0);
        for (call, (step, gap)) in steps.into_iter().enumerate() {
            let call = call as u64;
            now = now + ms(gap);
            let before = model.running.len();
            match step {
                Step::Arrive { class, deadline_ms } => {
                    let arrival = arrival(call, classes[class], now + ms(deadline_ms));
                    match admission.arrive(now, &arrival) {
                        AdmissionDecision::Run => drop(model.running.insert(call, now)),
                        AdmissionDecision::Queue => drop(model.queued.insert(call)),
                        AdmissionDecision::Refuse(_) => drop(model.ended.insert(call)),
                    }
                }
                Step::Complete { nth, outcome } => {
                    let keys: Vec<u64> = model.running.keys().copied().collect();
                    if let Some(&call) = keys.get(nth % keys.len().max(1)) {
                        let started = model.running.remove(&call).unwrap();
                        prop_assert!(model.ended.insert(call));
                        let completion = Completion { latency: now.since(started), outcome };
                        let dequeued = admission.complete(now, CallId(call), completion);
                        model.apply(now, &dequeued);
                    }
                }
                Step::Cancel { nth } => {
                    if let Some(call) = model.pick(nth) {
                        model.running.remove(&call);
                        model.queued.remove(&call);
                        prop_assert!(model.ended.insert(call));
                        let dequeued = admission.cancel(now, CallId(call));
                        model.apply(now, &dequeued);
                    }
                }
                Step::Tick => {
                    let dequeued = admission.tick(now);
                    model.apply(now, &dequeued);
                }
                Step::Slots(slots) => {
                    let dequeued = admission.set_slots(now, slots);
                    model.apply(now, &dequeued);
                }
            }
            model.check(&admission, before);
        }
        // Every queued call must end while the backend server answers.
        while let Some((&call, &started)) = model.running.iter().next() {
            now = now + ms(5);
            model.running.remove(&call);
            model.ended.insert(call);
            let latency = now.since(started);
            let completion = Completion { latency, outcome: Outcome::Answered };
            let dequeued = admission.complete(now, CallId(call), completion);
            model.apply(now, &dequeued);
        }
        prop_assert!(model.queued.is_empty(), "{:?} are never dequeued", model.queued);
    }
}
