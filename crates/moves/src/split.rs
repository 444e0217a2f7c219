//! Traffic split: the share of the new group on each route, and the group of each call.

use rand::{Rng, RngExt};

use crate::{Settings, Side};

/// Chooses the group of one call at random, the new one with probability `share`. The call is sent
/// to the chosen group only.
pub fn choose_side(share: f64, rng: &mut dyn Rng) -> Side {
    if rng.random::<f64>() < share { Side::New } else { Side::Old }
}

/// Returns the share of the new group on a route that has `rate` of the service's `total` calls/s,
/// when the share of the move is `share`.
///
/// Idempotent routes with few calls get more than the share of the move, so that evidence about
/// them is collected early. Some calls always stay with the old group for comparison. A share of
/// zero stays zero.
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
    let steered =
        if idempotent && rate > 0.0 { (calls / rate).min(settings.steered_share) } else { 0.0 };
    share.max(steered).min(1.0 - settings.control_share.max(steered)).clamp(0.0, 1.0)
}
