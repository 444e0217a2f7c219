//! Share of calls by route and the group of each call.

use rand::{Rng, RngExt};

use crate::{Settings, Side};

/// Chooses the group of one call. The call goes to this group alone.
pub fn choose_side(share: f64, rng: &mut dyn Rng) -> Side {
    if rng.random::<f64>() < share { Side::New } else { Side::Old }
}

/// Returns the share of the new group on a route with `rate` of the service's `total` calls/s,
/// given the share of the move.
///
/// Sparse idempotent routes get more than the share of the move, so that their evidence comes
/// early. A part of the calls stays with the old group for comparison. A share of zero is kept.
pub fn steered_share(
    settings: &Settings,
    share: f64,
    (rate, total): (f64, f64),
    idempotent: bool,
) -> f64 {
    if share <= 0.0 {
        return 0.0;
    }
    let calls = settings.steered_rate.min(settings.steered_fraction * total);
    let wanted =
        if idempotent && rate > 0.0 { (calls / rate).min(settings.steered_share) } else { 0.0 };
    share.max(wanted).min(1.0 - settings.control_share.max(wanted)).clamp(0.0, 1.0)
}
