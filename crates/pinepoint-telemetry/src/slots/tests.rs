use super::*;

#[test]
fn slots_follow_each_other_and_the_first_is_no_one_elses() {
    let mut slots = Slots::new(103_000.0, 10);
    assert_eq!(slots.due_ms(), 120_000.0);
    assert_eq!(slots.end(119_999.0), None);
    assert_eq!(slots.end(120_002.0), Some(Ended { slot_s: 110, span_ms: (103_000.0, 120_002.0) }));
    assert_eq!(slots.end(130_000.0), Some(Ended { slot_s: 120, span_ms: (120_002.0, 130_000.0) }));
    assert_eq!(slots.end_last(133_000.0), Ended { slot_s: 130, span_ms: (130_000.0, 133_000.0) });
    // Its successor starts within the same slot.
    let mut next = Slots::new(134_000.0, 10);
    assert_eq!(next.end(150_000.0).map(|ended| ended.slot_s), Some(140));
}

#[test]
fn a_jump_ahead_leaves_slots_out_and_a_step_back_tells_none_twice() {
    let mut slots = Slots::new(100_000.0, 10);
    assert_eq!(slots.end(120_000.0).map(|e| e.slot_s), Some(110));
    assert_eq!(slots.end(500_000.0), Some(Ended { slot_s: 490, span_ms: (120_000.0, 500_000.0) }));
    assert_eq!(slots.end(130_000.0), None);
    let last = slots.end_last(130_000.0);
    assert_eq!(last, Ended { slot_s: 500, span_ms: (500_000.0, 500_000.0) });
}

#[test]
fn a_last_interval_right_behind_another_has_a_slot_of_its_own() {
    let mut slots = Slots::new(100_000.0, 10);
    let first = slots.end(120_000.0).expect("due");
    assert!(slots.end_last(120_000.0).slot_s > first.slot_s);
}
