//! Calls that can't be answered in time must be refused early.

use shallottack_admission::{AdmissionDecision, CallId, Refusal};
use shallottack_kernel::ErrorKind;

use crate::simulation::{OfferedLoad, Simulation, admission, answered, arrival, at, ms, warm_up};

fn refusal(decision: AdmissionDecision) -> Refusal {
    match decision {
        AdmissionDecision::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against queueing a call although the backlog ahead of it takes more than half of its
/// remaining time.
#[test]
fn call_behind_a_long_backlog_is_refused_on_arrival() {
    let mut admission = admission(2, &["a"], ms(2000));
    warm_up(&mut admission, at(0), "a", ms(100), 40);
    for call in 0..6 {
        let _ = admission.arrive(at(200), &arrival(call, "a", at(5000)));
    }
    // Two run and four wait: 200 ms of work, and a slot is free after 50 ms.
    let decision = admission.arrive(at(200), &arrival(10, "a", at(200 + 490)));
    assert_eq!(refusal(decision).kind, ErrorKind::DeadlineUnmet);
    assert_eq!(
        admission.arrive(at(200), &arrival(11, "a", at(200 + 510))),
        AdmissionDecision::Queue
    );
}

/// Guards against queueing a call although its own service time would exceed its deadline.
#[test]
fn call_with_a_long_service_time_is_refused_on_arrival() {
    let mut admission = admission(1, &["a"], ms(4000));
    warm_up(&mut admission, at(0), "a", ms(1000), 40);
    assert_eq!(admission.arrive(at(2000), &arrival(1, "a", at(9000))), AdmissionDecision::Run);
    let decision = admission.arrive(at(2000), &arrival(2, "a", at(2000 + 1900)));
    assert_eq!(refusal(decision).kind, ErrorKind::DeadlineUnmet);
    assert_eq!(
        admission.arrive(at(2000), &arrival(3, "a", at(2000 + 2100))),
        AdmissionDecision::Queue
    );
}

/// Guards against running a call that even an idle backend server can't answer in time.
#[test]
fn deadline_below_the_shortest_service_time_is_refused_on_arrival() {
    let mut admission = admission(2, &["a"], ms(2000));
    warm_up(&mut admission, at(0), "a", ms(100), 40);
    let decision = admission.arrive(at(200), &arrival(1, "a", at(290)));
    assert_eq!(refusal(decision).kind, ErrorKind::DeadlineUnmet);
}

/// Guards against queued calls that wait until shortly before their deadline when the backend
/// server stops answering. They must be refused with at least half of their time left.
#[test]
fn queued_calls_of_a_stalled_backend_server_are_refused_early() {
    let mut admission = admission(2, &["a"], ms(2000));
    warm_up(&mut admission, at(0), "a", ms(100), 40);
    let now = at(200);
    for call in 0..3 {
        let decision = admission.arrive(now, &arrival(call, "a", at(2200)));
        assert_eq!(
            decision,
            if call < 2 { AdmissionDecision::Run } else { AdmissionDecision::Queue }
        );
    }
    let refused = loop {
        let now = admission.wake_at();
        assert!(now <= at(2200), "still queued at its deadline");
        let dequeued = admission.tick(now);
        if let Some(&(call, refusal)) = dequeued.refuse.first() {
            assert_eq!((call, refusal.kind), (CallId(2), ErrorKind::DeadlineUnmet));
            break now;
        }
    };
    assert!(refused <= at(1200), "refused at {refused:?}, deadline at 2.2 s");
}

/// Guards against keeping a queued call that can't meet its deadline any more because the backend
/// server has become slower.
#[test]
fn slowdown_refuses_queued_calls_at_the_next_check() {
    let mut admission = admission(1, &["a"], ms(3000));
    warm_up(&mut admission, at(0), "a", ms(10), 40);
    for call in 0..20 {
        let _ = admission.arrive(at(100), &arrival(call, "a", at(550)));
    }
    assert_eq!(admission.load().queued, 19);
    assert!(admission.complete(at(200), CallId(0), answered(ms(100))).refuse.is_empty());
    let _ = admission.tick(at(205));
    let _ = admission.complete(at(300), CallId(1), answered(ms(100)));
    // The mean is now above 15 ms, so at most 14 of the 17 queued calls can be served by 550 ms.
    let dequeued = admission.tick(at(305));
    assert!(admission.load().queued <= 14, "{:?}", admission.load());
    assert!(!dequeued.refuse.is_empty());
    assert!(dequeued.refuse.iter().all(|it| it.1.kind == ErrorKind::DeadlineUnmet));
}

/// Guards against a queued call that waits longer than half of its time because its expected end
/// stays just before its deadline while the backend server gets slower.
#[test]
fn queued_call_waits_at_most_half_of_its_time() {
    let mut admission = admission(1, &["a"], ms(3000));
    warm_up(&mut admission, at(0), "a", ms(100), 40);
    for call in 0..5 {
        let _ = admission.arrive(at(1000), &arrival(call, "a", at(2000)));
    }
    for call in 0..3 {
        let end = at(1000 + (call + 1) * 150);
        let dequeued = admission.complete(end, CallId(call), answered(ms(150)));
        assert_eq!(dequeued.start.as_slice(), [CallId(call + 1)]);
    }
    assert!(admission.tick(at(1495)).is_empty());
    assert_eq!(admission.tick(at(1505)).refuse[0].0, CallId(4));
}

/// Guards against late answers instead of early refusals under overload. At most 1 % of the answers
/// may be late, and calls must be refused within half of their time plus one check interval.
#[test]
fn overload_refuses_early_and_answers_in_time() {
    let load = OfferedLoad { class: "a", per_second: 3_000, service: ms(20), deadline: ms(400) };
    let mut simulation = Simulation::new(admission(12, &["a"], ms(1000)), &[load], 4);
    simulation.run_for(ms(30_000));
    let stats = &simulation.stats["a"];
    assert!(stats.refused > stats.answered);
    assert!(stats.late * 100 <= stats.answered, "{} of {} late", stats.late, stats.answered);
    assert!(stats.max_wait_share <= 0.52, "waited {} of its time", stats.max_wait_share);
}

/// Guards against a queue so long that every answer misses the latency target of its class.
#[test]
fn latency_target_bounds_the_queue() {
    let load = OfferedLoad { class: "a", per_second: 3_000, service: ms(20), deadline: ms(5_000) };
    let mut simulation = Simulation::new(admission(12, &["a"], ms(200)), &[load], 5);
    simulation.run_for(ms(5_000)).reset().run_for(ms(20_000));
    assert!(simulation.stats["a"].p99() < ms(240), "{:?}", simulation.stats["a"].p99());
    assert_eq!(simulation.idle_slots, 0);
}

/// Guards against refused callers that all retry at the same time. The retry-after time must grow
/// with each refusal, and calls must be admitted again once the backlog is gone.
#[test]
fn retry_after_spreads_refused_callers() {
    let mut admission = admission(1, &["a"], ms(100));
    warm_up(&mut admission, at(0), "a", ms(20), 40);
    for call in 0..5 {
        let _ = admission.arrive(at(100), &arrival(call, "a", at(60_000)));
    }
    let mut times = Vec::new();
    for call in 10..20 {
        let refusal = refusal(admission.arrive(at(100), &arrival(call, "a", at(60_000))));
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        times.push(refusal.retry_after);
    }
    assert!(times.is_sorted());
    assert!(times[9] >= times[0] + ms(100), "{times:?}");
    let mut now = at(100);
    for call in 0..5 {
        now = now + ms(20);
        admission.complete(now, CallId(call), answered(ms(20)));
    }
    assert_eq!(admission.arrive(now, &arrival(30, "a", at(60_000))), AdmissionDecision::Run);
}
