//! Guards against a class that starves others.

use std::time::Duration;

use shallottack_admission::{AdmissionDecision, CallId};

use crate::simulation::{Load, Simulation, admission, answered, arrival, at, ms, teach};

const QUIET: Load = Load {
    class: "quiet",
    per_second: 20,
    service: Duration::from_millis(20),
    deadline: Duration::from_millis(1000),
};

/// Guards against a loud class at 100 times its rate that takes the slots of a quiet class, makes
/// it wait, or has its calls refused.
#[test]
fn loud_class_at_100_times_its_rate_leaves_the_quiet_class_alone() {
    for slots in [12, 9] {
        let mut alone = Simulation::new(admission(slots, &["quiet"], ms(500)), &[QUIET], 1);
        let alone = alone.run_for(ms(30_000)).fates["quiet"].p99();
        let loud = Load { class: "loud", per_second: 100 * 150, ..QUIET };
        let admission = admission(slots, &["quiet", "loud"], ms(500));
        let mut both = Simulation::new(admission, &[QUIET, loud], 1);
        both.run_for(ms(30_000));
        let quiet = &both.fates["quiet"];
        assert_eq!((quiet.refused, quiet.late), (0, 0), "{slots} slots");
        // It waits for one of the slots to come free, which takes 2 ms on average.
        assert!(quiet.p99() < alone + ms(10), "{:?} against {alone:?}", quiet.p99());
        assert_eq!(both.idle_slots, 0);
    }
}

/// Guards against equal numbers of calls taken for equal shares: a class with calls 4 times as
/// long would get 4 times the slots.
#[test]
fn backlogged_classes_get_equal_slot_time() {
    let long = Load { class: "long", per_second: 2_000, service: ms(40), deadline: ms(1000) };
    let short = Load { class: "short", per_second: 2_000, service: ms(10), deadline: ms(1000) };
    let mut simulation =
        Simulation::new(admission(12, &["long", "short"], ms(500)), &[long, short], 2);
    simulation.run_for(ms(5_000)).reset().run_for(ms(30_000));
    let busy = |it| simulation.fates[it].busy.as_secs_f64();
    let ratio = busy("long") / busy("short");
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

/// Runs two floods on one slot for `calls` calls of 10 ms. After every call that `probe` returns
/// true for, a call of the class `sparse` arrives; it has an odd identifier. Returns the calls
/// served in order.
fn floods_and_sparse(calls: u64, probe: impl Fn(&[u64]) -> bool) -> Vec<u64> {
    let mut admission = admission(1, &["flood-a", "flood-b", "sparse"], ms(60_000));
    for class in ["flood-a", "flood-b", "sparse"] {
        teach(&mut admission, at(0), class, ms(10), 40);
    }
    let (mut now, far) = (at(1000), at(900_000));
    assert_eq!(admission.arrive(now, &arrival(0, "flood-a", far)), AdmissionDecision::Run);
    let mut served = vec![0];
    for round in 1..=calls {
        let _ = admission.arrive(now, &arrival(4 * round, "flood-a", far));
        let _ = admission.arrive(now, &arrival(4 * round + 2, "flood-b", far));
        if probe(&served) {
            let verdict = admission.arrive(now, &arrival(4 * round + 1, "sparse", far));
            assert_eq!(verdict, AdmissionDecision::Queue);
        }
        now = now + ms(10);
        let running = CallId(served[served.len() - 1]);
        served.push(admission.complete(now, running, answered(ms(10))).start[0].0);
    }
    served
}

/// Guards against a class below its share waiting for a whole round of the backlogged classes.
#[test]
fn newly_backlogged_class_is_next() {
    let served = floods_and_sparse(100, |served| served.len() % 10 == 0);
    let mut sparse = 0;
    for (index, call) in served.iter().enumerate() {
        sparse += usize::from(call % 2 == 1);
        assert_eq!(sparse, index / 10, "call {index} of {served:?}");
    }
}

/// Guards against a class that gets more than its share by sending call by call, so that each of
/// them counts as the first one of a quiet class.
#[test]
fn sending_call_by_call_gains_no_share() {
    // The next call comes when the last one has ended and another class is being served.
    let served = floods_and_sparse(300, |served| {
        served.iter().rev().take_while(|it| **it % 2 == 0).count() == 1
            || served.iter().all(|it| it % 2 == 0) && served.len() == 1
    });
    let sparse = served.iter().filter(|it| **it % 2 == 1).count();
    assert!(sparse <= 101, "{sparse} of 300");
}

/// Guards against charging a class by its old mean when its calls have become longer: it would get
/// several times its share until the mean has followed.
#[test]
fn calls_that_became_longer_are_charged_by_measured_time() {
    let mut admission = admission(1, &["grown", "steady"], ms(60_000));
    teach(&mut admission, at(0), "grown", ms(10), 400);
    teach(&mut admission, at(0), "steady", ms(10), 400);
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

/// Guards against calls of a class that the catalog does not have yet being lost, or escaping the
/// fair shares, while a configuration version spreads.
#[test]
fn unlisted_classes_share_one_queue() {
    let loads = ["new-a", "new-b", "listed"].map(|class| Load {
        class,
        per_second: 2_000,
        service: ms(20),
        deadline: ms(1000),
    });
    let mut simulation = Simulation::new(admission(12, &["listed"], ms(500)), &loads, 3);
    simulation.run_for(ms(5_000)).reset().run_for(ms(20_000));
    let busy = |it| simulation.fates[it].busy.as_secs_f64();
    let ratio = busy("listed") / (busy("new-a") + busy("new-b"));
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}
