//! Quantiles of measured values.

/// Returns the value at `quantile` of `values`, or 0 when there are none.
pub fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Rounds to three decimals, for output.
pub fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
