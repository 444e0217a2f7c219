//! Property tests of the shares and the rows.

use proptest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallottack_kernel::Time;
use shallottack_moves::{
    Decision, MoveController, Refusal, Settings, Side, Transition, choose_side, steered_share,
};

use crate::support::{DEADLINE_S, class, evidence, row_at, secs};

proptest! {
    /// Guards against a share out of range, and against calls to the new group after a rollback.
    #[test]
    fn shares_stay_in_range(
        share in 0.0..=1.0f64,
        rate in 0.0..1e6f64,
        more in 0.0..1e6f64,
        idempotent: bool,
        seed: u64,
    ) {
        let settings = Settings::default();
        let steered = |share| steered_share(&settings, share, (rate, rate + more), idempotent);
        prop_assert!((0.0..=1.0).contains(&steered(share)));
        prop_assert_eq!(steered(0.0), 0.0);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        prop_assert_eq!(choose_side(0.0, &mut rng), Side::Old);
        prop_assert_eq!(choose_side(1.0, &mut rng), Side::New);
    }

    /// Guards against a raise by an earlier holder, and against a refused raise by a later one.
    #[test]
    fn only_older_epochs_are_refused(step in 1usize..6, row_epoch in 1u64..9, epoch in 0u64..12) {
        let settings = Settings::default();
        let mut row = row_at(step, secs(1));
        row.epoch = row_epoch;
        let decision = Decision::Raise { step: step + 1, share: settings.steps[step] };
        match decision.transition(&row, epoch, &settings, secs(9)) {
            Transition::Fenced(next) => {
                prop_assert!(epoch >= row_epoch && next.epoch == epoch && next.share > row.share);
            }
            other => {
                prop_assert!(epoch < row_epoch);
                prop_assert_eq!(other, Transition::Refused(Refusal::StaleEpoch));
            }
        }
    }

    /// Guards against raising the share because of calls made at a smaller share.
    #[test]
    fn old_evidence_raises_nothing(
        step in 1usize..7,
        changed in 1u64..300,
        windows in prop::collection::vec((0u64..300, 0usize..60, 0usize..60), 1..40),
        now in 0u64..DEADLINE_S,
    ) {
        let row = row_at(step, secs(changed));
        let mut controller = MoveController::new(Settings::default(), &[class()]);
        for (before, old, new) in windows {
            let from = Time(secs(changed).0.saturating_sub(before * 1_000_000 + 1));
            controller.observe(secs(changed), &row, &evidence(from, (old, 0), (new, 0)));
        }
        let decision = controller.decide(secs(changed + now), &row);
        prop_assert!(!matches!(decision, Decision::Raise { .. } | Decision::Finish), "{:?}", decision);
    }
}
