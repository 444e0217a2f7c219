//! Judgement and schedule of rollouts.

use std::sync::Arc;

use proptest::prelude::*;
use rand::RngExt;
use shallottack_fleet::{
    Evidence, Judgement, OrderRelation, Rollout, RolloutOrder, RolloutSettings, RolloutState,
    RowVersion, Side, Step, VersionFilter,
};

use crate::fixture::{at, group, id, ms, rng, service};

fn order() -> RolloutOrder {
    RolloutOrder {
        row_version: RowVersion::new(0, 3),
        service: service("stock"),
        to: group("v2"),
        within: ms(16_000),
    }
}

fn rollout() -> Rollout {
    Rollout::new(RolloutSettings::default(), at(0), order())
}

/// Fault of the new version: from when, in which share of the responses, and by which factor on
/// their run time. A factor of 1 or less makes them fail.
#[derive(Clone, Copy)]
struct Fault {
    from_ms: u64,
    share: f64,
    slow: f64,
}

/// Simulates 100 requests a second with varying run times until the rollout ends. Returns the
/// state, the time in milliseconds and the number of requests that the new version got.
fn simulate(seed: u64, fault: Option<Fault>, shared: f64) -> (RolloutState, u64, u32) {
    let mut rollout = rollout();
    let mut rng = rng(seed);
    let mut exposed = 0;
    for step in 0..1_700 {
        let now = at(step * 10);
        let route: Arc<str> = Arc::from(if rng.random_bool(0.7) { "view" } else { "pay" });
        let side = match rollout.draw_versions(now, &mut rng) {
            VersionFilter::Canary { .. } | VersionFilter::Only(_) => Side::New,
            _ => Side::Old,
        };
        exposed += u32::from(side == Side::New);
        let mut seconds: f64 = 0.2 * f64::exp(rng.random_range(-0.9..0.9));
        let mut failed = rng.random_bool(0.004 + shared);
        if let Some(fault) = fault
            && side == Side::New
            && &*route == "view"
            && step * 10 >= fault.from_ms
            && rng.random_bool(fault.share)
        {
            seconds *= fault.slow;
            failed |= fault.slow <= 1.0;
        }
        rollout.record_answer(&route, side, failed, ms((seconds * 1_000.0) as u64), false);
        if let Step::Report(state) = rollout.step(now) {
            return (state, step * 10, exposed);
        }
    }
    (RolloutState::Running, 17_000, exposed)
}

/// Guards against a good version that is rolled back or not completed in time.
#[test]
fn good_version_is_completed_in_time() {
    for seed in 0..40 {
        let (state, end, _) = simulate(seed, None, 0.0);
        assert_eq!(state, RolloutState::Completed, "seed {seed}");
        assert!(end < 16_000, "seed {seed}: {end} ms");
    }
}

/// Guards against a rollback because of a fault that both versions have.
#[test]
fn shared_fault_does_not_roll_back() {
    for seed in 0..40 {
        assert_eq!(simulate(seed, None, 0.2).0, RolloutState::Completed, "seed {seed}");
    }
}

/// Guards against a bad version that stays in use, or gets more than a tenth of the requests plus
/// 50.
#[test]
fn bad_version_is_rolled_back() {
    let faults = [
        ("errors", Fault { from_ms: 0, share: 0.33, slow: 1.0 }),
        ("late errors", Fault { from_ms: 3_000, share: 0.5, slow: 1.0 }),
        ("slow", Fault { from_ms: 0, share: 0.5, slow: 8.0 }),
    ];
    for (name, fault) in faults {
        for seed in 0..40 {
            let (state, end, exposed) = simulate(seed, Some(fault), 0.0);
            assert_eq!(state, RolloutState::RolledBack, "{name}, seed {seed}");
            let most = 0.1 * 1_600.0 + 50.0;
            assert!(f64::from(exposed) < most, "{name}, seed {seed}: {exposed} in {end} ms");
        }
    }
}

/// Guards against a daemon that considers only its own evidence.
#[test]
fn evidence_of_other_daemons_counts() {
    let mut rollout = rollout();
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let mut other = super::rollout::rollout();
        for _ in 0..20 {
            other.record_answer(&Arc::from("view"), Side::Old, false, ms(100), false);
        }
        for _ in 0..5 {
            other.record_answer(&Arc::from("view"), Side::New, false, ms(100), false);
        }
        other.record_answer(&Arc::from("view"), Side::New, true, ms(100), false);
        assert_eq!(other.judgement(), Judgement::Undecided);
        rollout.merge_evidence(&id(vm), 1, other.evidence());
    }
    assert_eq!(rollout.judgement(), Judgement::Bad);
    assert!(matches!(
        rollout.draw_versions(at(1), &mut rng(1)),
        VersionFilter::Except { strict: true, .. }
    ));
}

/// Guards against a daemon that keeps using a bad version because it started after the counts were
/// passed on and can't read the report in the store.
#[test]
fn daemon_that_starts_late_learns_of_a_bad_version() {
    let mut finder = rollout();
    (0..90)
        .for_each(|_| finder.record_answer(&Arc::from("view"), Side::Old, false, ms(100), false));
    (0..9).for_each(|_| finder.record_answer(&Arc::from("view"), Side::New, true, ms(100), false));
    assert_eq!(finder.judgement(), Judgement::Bad);
    let mut reader = rollout();
    reader.set_state(RolloutState::RolledBack);
    for found in [finder.verdict(), reader.verdict()] {
        let found = found.expect("the version is bad");
        let mut late = rollout();
        late.merge_evidence(&id("vm-1"), 1, &found);
        assert_eq!(late.judgement(), Judgement::Bad);
        assert_eq!(late.verdict(), Some(found));
    }
    assert_eq!(rollout().verdict(), None);
}

/// Guards against counts of an earlier rollout in the judgement of the current one.
#[test]
fn evidence_of_another_order_is_ignored() {
    let mut rollout = rollout();
    let mut other = super::rollout::rollout();
    (0..50).for_each(|_| other.record_answer(&Arc::from("view"), Side::New, true, ms(9), false));
    let earlier = Evidence { row_version: RowVersion::new(0, 2), ..other.evidence().clone() };
    rollout.merge_evidence(&id("vm-1"), 1, &earlier);
    assert_eq!(rollout.judgement(), Judgement::Undecided);
}

proptest! {
    /// Guards against a final state that changes, and a scheduled share that falls.
    #[test]
    fn share_only_rises_and_the_end_is_final(times in proptest::collection::vec(0u64..20_000, 2..20)) {
        let mut rollout = rollout();
        let mut times = times;
        times.sort_unstable();
        for pair in times.windows(2) {
            prop_assert!(rollout.share(at(pair[0])) <= rollout.share(at(pair[1])));
        }
        rollout.set_state(RolloutState::RolledBack);
        rollout.set_state(RolloutState::Completed);
        prop_assert_eq!(rollout.state(), RolloutState::RolledBack);
        prop_assert_eq!(rollout.step(at(15_900)), Step::Wait);
    }
}

/// Guards against counts of one daemon that are added twice because several daemons pass them on,
/// or that are replaced by older ones.
#[test]
fn counts_passed_on_by_several_daemons_are_added_once() {
    let counted = |bad: u32| {
        let mut other = rollout();
        (0..bad).for_each(|_| other.record_answer(&"r".into(), Side::New, true, ms(100), false));
        other.evidence().clone()
    };
    let mut rollout = rollout();
    for evidence in [counted(1), counted(2), counted(1), counted(2), counted(2)] {
        rollout.merge_evidence(&id("vm-1"), 1, &evidence);
    }
    let known: Vec<_> = rollout.recent_evidence(8).collect();
    assert_eq!(known, [(&id("vm-1"), 1, &counted(2))]);
    assert_eq!(rollout.judgement(), Judgement::Undecided);
    for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
        rollout.merge_evidence(&id(vm), 1, &counted(4));
    }
    assert_eq!(rollout.judgement(), Judgement::Bad);
    assert_eq!(
        rollout.recent_evidence(2).map(|it| it.0.as_str()).collect::<Vec<_>>(),
        ["vm-5", "vm-4"]
    );
}

/// Guards against a rollout that begins again, or goes back to an earlier order, after the store was
/// restored from an older copy, and against a final state that stays unreported.
#[test]
fn order_read_from_a_restored_store_starts_again() {
    let first = RolloutOrder { to: group("v1"), ..order() };
    let second = RolloutOrder { row_version: RowVersion::new(1, 9), ..order() };
    let mut rollout = Rollout::new(RolloutSettings::default(), at(0), first.clone());
    assert_eq!(rollout.relation(&second), OrderRelation::New);
    rollout = rollout.replace(at(0), second.clone());
    rollout.set_state(RolloutState::RolledBack);
    let in_era = |order: &RolloutOrder, era, number| RolloutOrder {
        row_version: RowVersion::new(era, number),
        ..order.clone()
    };
    // The copy has the first order; then the operators write the second one again.
    assert_eq!(rollout.relation(&in_era(&first, 2, 3)), OrderRelation::Known);
    let again = in_era(&second, 2, 4);
    assert_eq!(rollout.relation(&again), OrderRelation::Same);
    assert_eq!(rollout.step(at(0)), Step::Wait);
    rollout.set_row_version(again.row_version);
    assert_eq!(rollout.step(at(0)), Step::Report(RolloutState::RolledBack));
    // Reports about an earlier order, and those of the era before, say nothing about this one.
    for version in [RowVersion::new(2, 2), RowVersion::new(1, 20)] {
        assert!(!rollout.is_current_report(&group("v2"), version));
    }
    assert!(!rollout.apply_report(&group("v2"), RolloutState::RolledBack, RowVersion::new(2, 5)));
    assert_eq!(rollout.step(at(0)), Step::Wait);
    let third = RolloutOrder { to: group("v3"), ..in_era(&second, 2, 6) };
    assert_eq!(rollout.relation(&third), OrderRelation::New);
    assert_eq!(rollout.relation(&in_era(&third, 1, 30)), OrderRelation::Known);
}

/// Guards against counts of other daemons that are lost when the order is read in a later era.
#[test]
fn evidence_is_kept_in_a_later_era() {
    let mut rollout = Rollout::new(RolloutSettings::default(), at(0), order());
    let mut other = Rollout::new(RolloutSettings::default(), at(0), order());
    for _ in 0..20 {
        other.record_answer(&Arc::from("count"), Side::Old, false, ms(50), false);
    }
    rollout.merge_evidence(&id("vm-1"), 1, other.evidence());
    let later = RowVersion::new(2, 1);
    rollout.set_row_version(later);
    other.set_row_version(later);
    assert_eq!(rollout.totals()[0].all, 20);
    other.record_answer(&Arc::from("count"), Side::Old, false, ms(50), false);
    rollout.merge_evidence(&id("vm-1"), 1, other.evidence());
    assert_eq!(rollout.totals()[0].all, 21);
    let forwarded = rollout.recent_evidence(1).next().map(|it| it.2.row_version);
    assert_eq!(forwarded, Some(later));
}
