//! Backend servers that state how many requests per second they take.

use shallottack_fleet::{
    Admission, Load, Pace, Placement, PlacementSettings, RateLimit, RetryBudget,
    RetryBudgetSettings, Slots, SlotsSettings, Wake,
};
use shallottack_kernel::{DataCentre, Time};

use crate::fixture::{arrival, at, id, member, ms};

const SLOTS: u32 = 12;
const RATE: f64 = 10.0;

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).unwrap()
}

fn slots() -> Slots {
    let mut slots = Slots::new(SlotsSettings::default());
    slots.set_limit(at(0), SLOTS);
    slots
}

/// Sends a request every 4 ms from `from` to `to`, all in milliseconds. Every request runs for
/// 40 ms. Returns the times of the starts.
fn press(slots: &mut Slots, from: u64, to: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    let mut ends = Vec::new();
    for now in from..to {
        let mut wakes = slots.dispatch(at(now)).to_vec();
        while let Some(index) = ends.iter().position(|it: &(u64, _)| it.0 <= now) {
            let (_, task) = ends.remove(index);
            wakes.extend(slots.finish(at(now), task, true));
        }
        if now % 4 == 0 {
            let arrival = arrival(now, 0, at(now), 400, 1_000);
            let task = arrival.task;
            if slots.arrive(at(now), arrival) == Admission::Run {
                wakes.push(Wake::Start(task));
            }
        }
        for wake in wakes {
            if let Wake::Start(task) = wake {
                starts.push(now);
                ends.push((now + 40, task));
            }
        }
    }
    starts
}

/// Guards against a burst in a window of four seconds after a limit is stated, changed or stated
/// again, with idle time before it.
#[test]
fn no_window_exceeds_the_stated_rate() {
    let mut slots = slots();
    press(&mut slots, 0, 1_000);
    slots.set_rate_limit(at(1_000), Some(limit(RATE)));
    let mut starts = press(&mut slots, 1_000, 6_000);
    starts.extend(press(&mut slots, 9_000, 14_000));
    for window in starts.iter().map(|it| *it..it + 4_000) {
        let count = starts.iter().filter(|it| window.contains(it)).count();
        assert!(count as f64 <= RATE * 4.0 + 6.0, "{count} from {} ms", window.start);
    }
    let steady = starts.iter().filter(|it| (2_000..6_000).contains(*it)).count();
    assert!(steady as f64 >= RATE * 4.0 - 1.0, "{steady} in 4 s");
}

/// Guards against waiting requests that stay limited after the limit has ended, and against a
/// server of which nothing is heard again since it takes no requests.
#[test]
fn limit_ends_with_the_statement() {
    let mut slots = slots();
    slots.set_rate_limit(at(0), Some(limit(0.0)));
    let starts = press(&mut slots, 0, 4_000);
    assert!((1..=3).contains(&starts.len()), "{starts:?}");
    slots.set_rate_limit(at(4_000), None);
    assert!(press(&mut slots, 4_000, 5_000).len() > 200);
    assert!(RateLimit::per_second(-1.0).is_none() && RateLimit::per_second(f64::NAN).is_none());
}

/// Guards against a limit that is forgotten by a daemon that starts again: the others know it from
/// the loads before, also when its first loads state nothing.
#[test]
fn restarted_daemon_takes_the_limit_from_others() {
    let mut placement = Placement::new(
        PlacementSettings::default(),
        id("own"),
        DataCentre::new("a").unwrap(),
        RetryBudget::new(
            RetryBudgetSettings { ratio: 0.2, extra: 60.0, window: ms(10_000), usable_share: 1.0 },
            at(0),
        ),
    );
    placement.set_member(at(0), &member("vm-1", "a", 1));
    let known = |placement: &mut Placement, now: Time| {
        let reports = placement.recent_reports(now, ms(100), 1);
        reports[0].load.pace.limit()
    };
    let pace = Pace::Limited { limit: limit(RATE), wait_ms: 0 };
    placement.record_load(at(1), &id("vm-1"), Load { limit: SLOTS, pace, ..Load::default() });
    placement.record_load(at(2), &id("vm-1"), Load { limit: SLOTS, ..Load::default() });
    assert_eq!(known(&mut placement, at(2)), Some(limit(RATE)));
    let mut restarted = slots();
    assert_eq!(restarted.load(at(0)).pace, Pace::Unknown);
    restarted.assume_rate_limit(at(0), limit(RATE));
    restarted.assume_rate_limit(at(0), limit(RATE * 2.0));
    assert_eq!(restarted.load(at(0)).pace.limit(), Some(limit(RATE)));
    assert!(press(&mut restarted, 0, 2_000).len() as f64 <= RATE * 2.0 + 2.0);
    restarted.set_rate_limit(at(2_000), None);
    restarted.assume_rate_limit(at(2_000), limit(RATE));
    assert_eq!(restarted.load(at(2_000)).pace, Pace::Unlimited);
    let pace = Pace::Unlimited;
    placement.record_load(at(3), &id("vm-1"), Load { limit: SLOTS, pace, ..Load::default() });
    assert_eq!(known(&mut placement, at(3)), None);
}
