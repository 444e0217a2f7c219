//! Classes must get their fair shares of the backend server.

use std::time::Duration;

use shallottack_admission::{AdmissionDecision, CallId};

use crate::simulation::{OfferedLoad, Simulation, admission, answered, arrival, at, ms, warm_up};

const QUIET: OfferedLoad = OfferedLoad {
    class: "quiet",
    per_second: 20,
    service: Duration::from_millis(20),
    deadline: Duration::from_millis(1000),
};

/// Guards against a loud class at 100 times its rate that takes the slots of a quiet class, delays
/// its calls or causes them to be refused.
#[test]
fn loud_class_at_100_times_its_rate_does_not_affect_a_quiet_class() {
    for slots in [12, 9] {
        let mut alone = Simulation::new(admission(slots, &["quiet"], ms(500)), &[QUIET], 1);
        let alone = alone.run_for(ms(30_000)).stats["quiet"].p99();
        let loud = OfferedLoad { class: "loud", per_second: 100 * 150, ..QUIET };
        let admission = admission(slots, &["quiet", "loud"], ms(500));
        let mut both = Simulation::new(admission, &[QUIET, loud], 1);
        both.run_for(ms(30_000));
        let quiet = &both.stats["quiet"];
        assert_eq!((quiet.refused, quiet.late), (0, 0), "{slots} slots");
        // A call of the quiet class waits until a slot is free, 2 ms on average.
        assert!(quiet.p99() < alone + ms(10), "{:?} against {alone:?}", quiet.p99());
        assert_eq!(both.idle_slots, 0);
    }
}

/// Guards against sharing by the number of calls instead of by time. A class whose calls take 4
/// times as long would then get 4 times the slot time.
#[test]
fn backlogged_classes_get_equal_slot_time() {
    let long =
        OfferedLoad { class: "long", per_second: 2_000, service: ms(40), deadline: ms(1000) };
    let short =
        OfferedLoad { class: "short", per_second: 2_000, service: ms(10), deadline: ms(1000) };
    let mut simulation =
        Simulation::new(admission(12, &["long", "short"], ms(500)), &[long, short], 2);
    simulation.run_for(ms(5_000)).reset().run_for(ms(30_000));
    let busy = |it| simulation.stats[it].busy.as_secs_f64();
    let ratio = busy("long") / busy("short");
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

/// Runs `calls` calls of 10 ms each on one slot, with two backlogged classes. A call of the class
/// `sparse`, which has an odd identifier, arrives whenever `probe` returns true for the calls
/// served so far. Returns the served calls in order.
fn serve_with_sparse_class(calls: u64, probe: impl Fn(&[u64]) -> bool) -> Vec<u64> {
    let mut admission = admission(1, &["flood-a", "flood-b", "sparse"], ms(60_000));
    for class in ["flood-a", "flood-b", "sparse"] {
        warm_up(&mut admission, at(0), class, ms(10), 40);
    }
    let (mut now, far) = (at(1000), at(900_000));
    assert_eq!(admission.arrive(now, &arrival(0, "flood-a", far)), AdmissionDecision::Run);
    let mut served = vec![0];
    for round in 1..=calls {
        let _ = admission.arrive(now, &arrival(4 * round, "flood-a", far));
        let _ = admission.arrive(now, &arrival(4 * round + 2, "flood-b", far));
        if probe(&served) {
            let decision = admission.arrive(now, &arrival(4 * round + 1, "sparse", far));
            assert_eq!(decision, AdmissionDecision::Queue);
        }
        now = now + ms(10);
        let running = CallId(served[served.len() - 1]);
        served.push(admission.complete(now, running, answered(ms(10))).start[0].0);
    }
    served
}

/// Guards against a class below its share that waits for a whole round of the backlogged classes.
#[test]
fn newly_backlogged_class_is_served_next() {
    let served = serve_with_sparse_class(100, |served| served.len() % 10 == 0);
    let mut sparse = 0;
    for (index, call) in served.iter().enumerate() {
        sparse += usize::from(call % 2 == 1);
        assert_eq!(sparse, index / 10, "call {index} of {served:?}");
    }
}

/// Guards against a class that exceeds its share by sending one call at a time, so that each call
/// is served as the first one of a newly backlogged class.
#[test]
fn sending_one_call_at_a_time_gains_no_share() {
    // The next call arrives once the last one has ended and another class is being served.
    let served = serve_with_sparse_class(300, |served| {
        served.iter().rev().take_while(|it| **it % 2 == 0).count() == 1
            || served.iter().all(|it| it % 2 == 0) && served.len() == 1
    });
    let sparse = served.iter().filter(|it| **it % 2 == 1).count();
    assert!(sparse <= 101, "{sparse} of 300");
}

/// Guards against charging calls by the mean service time alone. A class whose calls have become
/// longer would get several times its share until the mean has adapted.
#[test]
fn longer_calls_are_charged_by_measured_time() {
    let mut admission = admission(1, &["grown", "steady"], ms(60_000));
    warm_up(&mut admission, at(0), "grown", ms(10), 400);
    warm_up(&mut admission, at(0), "steady", ms(10), 400);
    let (mut now, far) = (at(10_000), at(9_000_000));
    let mut running = CallId(0);
    assert_eq!(admission.arrive(now, &arrival(0, "steady", far)), AdmissionDecision::Run);
    let mut busy = [0, 0];
    for round in 1..=100 {
        let _ = admission.arrive(now, &arrival(2 * round, "steady", far));
        let _ = admission.arrive(now, &arrival(2 * round + 1, "grown", far));
        let grown = running.0 % 2 == 1;
        let time = if grown { 60 } else { 10 };
        busy[usize::from(grown)] += time;
        now = now + ms(time);
        running = admission.complete(now, running, answered(ms(time))).start[0];
    }
    assert!(busy[1] < busy[0] * 2, "{busy:?} ms");
}

/// Guards against dropping calls whose class is not in the catalog yet, and against giving them
/// more than one fair share, while a configuration version is being distributed.
#[test]
fn unlisted_classes_share_one_queue() {
    let loads = ["new-a", "new-b", "listed"].map(|class| OfferedLoad {
        class,
        per_second: 2_000,
        service: ms(20),
        deadline: ms(1000),
    });
    let mut simulation = Simulation::new(admission(12, &["listed"], ms(500)), &loads, 3);
    simulation.run_for(ms(5_000)).reset().run_for(ms(20_000));
    let busy = |it| simulation.stats[it].busy.as_secs_f64();
    let ratio = busy("listed") / (busy("new-a") + busy("new-b"));
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}
