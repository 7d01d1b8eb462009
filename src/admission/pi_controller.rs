//! A proportional-integral controller with anti-windup.

#[cfg(test)]
mod tests;

/// A PI controller whose output and integral are both clamped to the range of the actuator.
///
/// The output is `Kp * e + Ki * ∫ e dt`. Clamping the integral prevents windup: even after a long time at
/// the limit the output follows the error at once.
#[derive(Clone, Debug)]
pub(super) struct PiController {
    proportional_gain: f64,
    integral_gain: f64,
    integral: f64,
}

impl PiController {
    /// A controller whose integral is 0; the integral gain is per second.
    pub(super) fn new(proportional_gain: f64, integral_gain: f64) -> Self {
        PiController { proportional_gain, integral_gain, integral: 0.0 }
    }

    /// Takes the error of one sample period of `dt_s` seconds and returns the output, `min` to `max`.
    pub(super) fn update(&mut self, error: f64, dt_s: f64, min: f64, max: f64) -> f64 {
        self.integral = (self.integral + self.integral_gain * error * dt_s).clamp(min, max);
        (self.proportional_gain * error + self.integral).clamp(min, max)
    }
}
