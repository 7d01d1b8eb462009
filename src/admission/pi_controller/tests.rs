//! The PI controller by itself: formula, clamps, anti-windup.

use super::PiController;

#[test]
fn the_output_is_the_proportional_part_and_the_integral() {
    let mut controller = PiController::new(2.0, 4.0);
    assert_eq!(controller.update(0.25, 0.5, -10.0, 10.0), 2.0 * 0.25 + 4.0 * 0.25 * 0.5);
    assert_eq!(
        controller.update(0.0, 0.5, -10.0, 10.0),
        4.0 * 0.25 * 0.5,
        "the integral stays without an error"
    );
}

#[test]
fn the_output_stays_within_the_range_of_the_actuator() {
    let mut controller = PiController::new(100.0, 0.0);
    assert_eq!(controller.update(1.0, 0.02, 0.0, 1.0), 1.0);
    assert_eq!(controller.update(-1.0, 0.02, 0.0, 1.0), 0.0);
}

#[test]
fn a_long_time_at_the_limit_does_not_wind_up_the_integral() {
    let mut controller = PiController::new(0.0, 1.0);
    for _ in 0..1000 {
        controller.update(1.0, 1.0, 0.0, 1.0);
    }
    assert_eq!(controller.update(-0.5, 1.0, 0.0, 1.0), 0.5, "the output leaves the limit at once");
}
