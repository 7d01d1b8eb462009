//! Unit tests of the PI controller: formula, clamps, anti-windup.

use super::PiController;

#[test]
fn sums_proportional_and_integral_parts() {
    let mut controller = PiController::new(2.0, 4.0);
    assert_eq!(controller.update(0.25, 0.5, -10.0, 10.0), 2.0 * 0.25 + 4.0 * 0.25 * 0.5);
    assert_eq!(
        controller.update(0.0, 0.5, -10.0, 10.0),
        4.0 * 0.25 * 0.5,
        "the integral does not change while the error is 0"
    );
}

#[test]
fn clamps_output_to_range() {
    let mut controller = PiController::new(100.0, 0.0);
    assert_eq!(controller.update(1.0, 0.02, 0.0, 1.0), 1.0);
    assert_eq!(controller.update(-1.0, 0.02, 0.0, 1.0), 0.0);
}

#[test]
fn integral_does_not_wind_up_at_limit() {
    let mut controller = PiController::new(0.0, 1.0);
    for _ in 0..1000 {
        controller.update(1.0, 1.0, 0.0, 1.0);
    }
    assert_eq!(controller.update(-0.5, 1.0, 0.0, 1.0), 0.5, "the output leaves the limit at once");
}
