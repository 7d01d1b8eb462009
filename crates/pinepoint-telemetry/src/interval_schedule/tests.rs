use super::*;

#[test]
fn slots_are_consecutive_and_not_shared_with_predecessor() {
    let mut schedule = IntervalSchedule::new(103_000.0, 10);
    assert_eq!(schedule.due_ms(), 120_000.0);
    assert_eq!(schedule.end_if_due(119_999.0), None);
    assert_eq!(
        schedule.end_if_due(120_002.0),
        Some(EndedInterval { slot_s: 110, span_ms: (103_000.0, 120_002.0) })
    );
    assert_eq!(
        schedule.end_if_due(130_000.0),
        Some(EndedInterval { slot_s: 120, span_ms: (120_002.0, 130_000.0) })
    );
    assert_eq!(schedule.end_final(133_000.0), EndedInterval { slot_s: 130, span_ms: (130_000.0, 133_000.0) });
    // The successor starts within the last slot of this process.
    let mut successor = IntervalSchedule::new(134_000.0, 10);
    assert_eq!(successor.end_if_due(150_000.0).map(|ended| ended.slot_s), Some(140));
}

#[test]
fn clock_jumps_skip_slots_and_repeat_none() {
    let mut schedule = IntervalSchedule::new(100_000.0, 10);
    assert_eq!(schedule.end_if_due(120_000.0).map(|e| e.slot_s), Some(110));
    assert_eq!(
        schedule.end_if_due(500_000.0),
        Some(EndedInterval { slot_s: 490, span_ms: (120_000.0, 500_000.0) })
    );
    assert_eq!(schedule.end_if_due(130_000.0), None);
    let last = schedule.end_final(130_000.0);
    assert_eq!(last, EndedInterval { slot_s: 500, span_ms: (500_000.0, 500_000.0) });
}

#[test]
fn final_interval_has_its_own_slot() {
    let mut schedule = IntervalSchedule::new(100_000.0, 10);
    let first = schedule.end_if_due(120_000.0).expect("due");
    assert!(schedule.end_final(120_000.0).slot_s > first.slot_s);
}
