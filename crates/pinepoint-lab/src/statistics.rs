//! Statistics over the measurements of an experiment.

/// The upper median; NaN if there are no values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The bounds of the middle 95 percent of these values. Panics if there are no values.
pub(crate) fn interval_95(mut values: Vec<f64>) -> [f64; 2] {
    values.sort_by(f64::total_cmp);
    [0.025, 0.975].map(|quantile| values[((values.len() - 1) as f64 * quantile) as usize])
}
