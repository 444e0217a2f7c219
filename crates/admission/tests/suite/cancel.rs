//! Cancelled calls must give up their slots and their places in the queue.

use shallottack_admission::{AdmissionDecision, CallId, Dequeued};

use crate::simulation::{admission, answered, arrival, at, ms, warm_up};

/// Guards against starting a cancelled queued call or counting it in the queue.
#[test]
fn cancelled_queued_call_is_never_started() {
    let mut admission = admission(1, &["a"], ms(500));
    for call in 0..3 {
        let _ = admission.arrive(at(0), &arrival(call, "a", at(1000)));
    }
    assert_eq!(admission.cancel(at(1), CallId(1)), Dequeued::default());
    assert_eq!(admission.load().queued, 1);
    let dequeued = admission.complete(at(10), CallId(0), answered(ms(10)));
    assert_eq!(dequeued.start.as_slice(), [CallId(2)]);
    assert!(admission.complete(at(20), CallId(2), answered(ms(10))).is_empty());
}

/// Guards against a cancelled running call that keeps its slot, and against its late completion
/// freeing a second slot.
#[test]
fn cancelled_running_call_frees_its_slot_once() {
    let mut admission = admission(1, &["a"], ms(500));
    for call in 0..3 {
        let _ = admission.arrive(at(0), &arrival(call, "a", at(1000)));
    }
    assert_eq!(admission.cancel(at(1), CallId(0)).start.as_slice(), [CallId(1)]);
    assert!(admission.complete(at(2), CallId(0), answered(ms(2))).is_empty());
    assert_eq!((admission.load().in_flight, admission.load().queued), (1, 1));
}

/// Guards against a stalled backend server going unnoticed because its calls end only by
/// cancellation, so that there are no answers to measure.
#[test]
fn cancellations_of_slow_calls_lower_the_limit() {
    let mut admission = admission(12, &["a"], ms(100));
    warm_up(&mut admission, at(0), "a", ms(20), 40);
    let mut now = at(100);
    for round in 0..40_u64 {
        let calls = (0..12).map(|it| round * 12 + it);
        let run: Vec<u64> = calls
            .filter(|&it| {
                admission.arrive(now, &arrival(it, "a", now + ms(500))) == AdmissionDecision::Run
            })
            .collect();
        now = now + ms(500);
        run.iter().for_each(|&it| drop(admission.cancel(now, CallId(it))));
    }
    assert!(admission.load().limit <= 6, "{:?}", admission.load());
}
