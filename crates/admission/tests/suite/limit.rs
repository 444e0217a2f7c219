//! Guards against a limit that ignores overload or does not recover from it.

use crate::simulation::{Load, Simulation, admission, ms};

const LOAD: Load = Load {
    class: "a",
    per_second: 3_000,
    service: std::time::Duration::from_millis(20),
    deadline: std::time::Duration::from_millis(1000),
};

/// Guards against calls being sent to a backend server that sheds them, and against a limit that
/// stays low after that.
#[test]
fn shedding_lowers_the_limit_and_it_recovers() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[LOAD], 6);
    simulation.run_for(ms(5_000));
    assert!(simulation.admission.load().limit >= 12);
    simulation.sheds_above = 5;
    simulation.run_for(ms(2_000)).reset().run_for(ms(20_000));
    let fate = &simulation.fates["a"];
    let limit = simulation.admission.load().limit;
    assert!((3..=6).contains(&limit), "limit {limit}");
    assert!(fate.shed * 5 < fate.answered, "{} shed, {} answered", fate.shed, fate.answered);
    simulation.sheds_above = u32::MAX;
    simulation.run_for(ms(10_000));
    assert!(simulation.admission.load().limit >= 12);
}

/// Guards against the full number of calls at a backend server that has become slow, and against
/// a limit that stays low after that.
#[test]
fn slow_backend_server_lowers_the_limit_and_it_recovers() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(200)), &[LOAD], 7);
    simulation.run_for(ms(10_000));
    simulation.slowness = 20.0;
    simulation.run_for(ms(20_000));
    let limit = simulation.admission.load().limit;
    assert!((3..=6).contains(&limit), "limit {limit}");
    simulation.slowness = 1.0;
    simulation.run_for(ms(20_000));
    assert!(simulation.admission.load().limit >= 12);
}

/// Guards against lost capacity when a backend server has become slower in a way that costs no
/// class its target: the announced slots stay in use.
#[test]
fn slowness_within_the_targets_keeps_the_slots() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[LOAD], 8);
    simulation.run_for(ms(10_000));
    simulation.slowness = 4.0;
    simulation.run_for(ms(20_000));
    assert_eq!(simulation.admission.load().limit, 12);
}

/// Guards against a backend server with more capacity than it announced standing idle, and
/// against a limit above 4 times the slots.
#[test]
fn limit_grows_above_the_slots_while_latency_stays_low() {
    let mut simulation = Simulation::new(admission(9, &["a"], ms(500)), &[LOAD], 9);
    simulation.capacity = u32::MAX;
    simulation.run_for(ms(60_000));
    assert_eq!(simulation.admission.load().limit, 36);
}

/// Guards against a limit of 1 that stays when there are few calls after a burst of shedding.
#[test]
fn limit_recovers_without_load() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[LOAD], 10);
    simulation.sheds_above = 0;
    simulation.run_for(ms(5_000));
    assert_eq!(simulation.admission.load().limit, 1);
    simulation.sheds_above = u32::MAX;
    simulation.loads[0].per_second = 1;
    simulation.run_for(ms(20_000));
    assert_eq!(simulation.admission.load().limit, 12);
}
