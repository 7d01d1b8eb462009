use super::*;

const EARLIER: ClockReading = ClockReading { unix_ms: 1e12, boot_ms: 5000.0, boot_id: 7 };

fn reading(unix_ms: f64, boot_ms: f64, boot_id: u128) -> ClockReading {
    ClockReading { unix_ms, boot_ms, boot_id }
}

#[test]
fn detects_steps_within_a_boot_and_only_backward_steps_across_boots() {
    let cases = [
        (reading(1e12 + 3000.0, 8000.0, 7), ClockContinuity::Continuous { elapsed_ms: 3000.0 }),
        (
            reading(1e12 + 3_603_000.0, 8000.0, 7),
            ClockContinuity::Stepped { elapsed_ms: 3000.0, step_ms: 3_600_000.0 },
        ),
        (
            reading(1e12 - 7000.0, 8000.0, 7),
            ClockContinuity::Stepped { elapsed_ms: 3000.0, step_ms: -10_000.0 },
        ),
        (reading(1e12 - 7000.0, 800.0, 8), ClockContinuity::SteppedBack),
        (reading(1e12 + 3_603_000.0, 800.0, 8), ClockContinuity::Unknown),
    ];
    for (reading, continuity) in cases {
        assert_eq!(ClockContinuity::between(&EARLIER, &reading), continuity);
    }
    assert_eq!(
        ClockContinuity::Stepped { elapsed_ms: 3000.0, step_ms: -10_000.0 }.to_current_clock(50_000.0),
        Some(40_000.0)
    );
    assert_eq!(ClockContinuity::Unknown.to_current_clock(50_000.0), None);
}
