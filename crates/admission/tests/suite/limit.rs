//! The limit must follow overload and recover from it.

use crate::simulation::{OfferedLoad, Simulation, admission, ms};

const LOAD: OfferedLoad = OfferedLoad {
    class: "a",
    per_second: 3_000,
    service: std::time::Duration::from_millis(20),
    deadline: std::time::Duration::from_millis(1000),
};

/// Guards against sending calls to a backend server that sheds them, and against a limit that
/// stays low afterwards.
#[test]
fn shedding_lowers_the_limit_and_it_recovers() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[LOAD], 6);
    simulation.run_for(ms(5_000));
    assert!(simulation.admission.load().limit >= 12);
    simulation.sheds_above = 5;
    simulation.run_for(ms(2_000)).reset().run_for(ms(20_000));
    let stats = &simulation.stats["a"];
    let limit = simulation.admission.load().limit;
    assert!((3..=6).contains(&limit), "limit {limit}");
    assert!(stats.shed * 5 < stats.answered, "{} shed, {} answered", stats.shed, stats.answered);
    simulation.sheds_above = u32::MAX;
    simulation.run_for(ms(10_000));
    assert!(simulation.admission.load().limit >= 12);
}

/// Guards against an unchanged limit when the backend server becomes slow, and against a limit that
/// stays low afterwards.
#[test]
fn slow_backend_server_lowers_the_limit_and_it_recovers() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(200)), &[LOAD], 7);
    simulation.run_for(ms(10_000));
    simulation.slowdown = 20.0;
    simulation.run_for(ms(20_000));
    let limit = simulation.admission.load().limit;
    assert!((3..=6).contains(&limit), "limit {limit}");
    simulation.slowdown = 1.0;
    simulation.run_for(ms(20_000));
    assert!(simulation.admission.load().limit >= 12);
}

/// Guards against lost capacity when a backend server becomes slower but every class still meets
/// its target. The limit must stay at the announced slots.
#[test]
fn slowdown_within_the_targets_keeps_the_limit() {
    let mut simulation = Simulation::new(admission(12, &["a"], ms(500)), &[LOAD], 8);
    simulation.run_for(ms(10_000));
    simulation.slowdown = 4.0;
    simulation.run_for(ms(20_000));
    assert_eq!(simulation.admission.load().limit, 12);
}

/// Guards against leaving capacity unused when a backend server can run more calls than it
/// announced, and against a limit above 4 times the slots.
#[test]
fn limit_rises_above_the_slots_while_latency_stays_low() {
    let mut simulation = Simulation::new(admission(9, &["a"], ms(500)), &[LOAD], 9);
    simulation.capacity = u32::MAX;
    simulation.run_for(ms(60_000));
    assert_eq!(simulation.admission.load().limit, 36);
}

/// Guards against a limit that stays at 1 when few calls arrive after the backend server shed all
/// calls.
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
