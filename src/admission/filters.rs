//! First-order filters for noisy observations.

/// First-order low-pass filter of a signal sampled at uneven intervals.
///
/// Returns `old` moved towards `new` by `dt / (T + dt)`, where `T` is the time constant (backward Euler).
/// All times are seconds.
pub(super) fn low_pass(old: f64, new: f64, dt_s: f64, time_constant_s: f64) -> f64 {
    old + (new - old) * (dt_s / (time_constant_s + dt_s))
}

/// Exponentially weighted moving average: `old` moved towards `new` by `weight`, 0 to 1.
pub(super) fn moving_average(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}

/// Returns 1 for true and 0 for false, as an observation for the average of a share.
pub(super) fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// Weight of one new observation in the averages of values that change within seconds: the speed of this
/// server, the duration of runs, the waits of callers.
pub(super) const OBSERVATION_WEIGHT: f64 = 0.1;
/// Time constant with which waits, rejections and call durations decay without new observations, s.
pub(super) const FORGET_S: f64 = 2.0;
/// Time constant of the low-pass filters on the load that is reported to callers, s.
pub(super) const LOAD_FILTER_S: f64 = 0.5;
