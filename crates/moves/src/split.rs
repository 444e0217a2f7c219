//! Share of calls by route and the group of each call.

use rand::{Rng, RngExt};

use crate::{Settings, Side};

/// Chooses the group of one call. The call goes to this group alone.
pub fn split(share: f64, rng: &mut dyn Rng) -> Side {
    if rng.random::<f64>() < share { Side::New } else { Side::Old }
}

/// Returns the share of the new group on a route with `rate` calls/s, given the share of the move.
///
/// Sparse idempotent routes get more than the share of the move, so that their evidence comes
/// early. A part of the calls stays with the old group for comparison. A share of zero is kept.
pub fn steered_share(settings: &Settings, share: f64, rate: f64, idempotent: bool) -> f64 {
    if share <= 0.0 {
        return 0.0;
    }
    let wanted = (settings.steered_rate / rate.max(f64::MIN_POSITIVE)).min(settings.steered_share);
    let share = if idempotent { share.max(wanted) } else { share };
    let control = if idempotent { settings.control.max(wanted) } else { settings.control };
    share.min(1.0 - control).clamp(0.0, 1.0)
}
