use super::*;

const BOUNDS: Bounds = Bounds { bytes: 100_000, age_ms: 1e9, window: 4 };

fn snapshot(n: u64) -> Snapshot {
    Snapshot {
        slot_s: n * 10,
        slots: 1,
        span_ms: (n as f64 * 10_000.0, (n + 1) as f64 * 10_000.0),
        totals: vec![(n + 1) as f64 * 7.0, (n * n) as f64].into(),
        gauges: vec![n as f64].into(),
        distributions: Vec::new().into(),
    }
}

/// For each interval its slot and the increase of the first counter.
fn increases(spool: &Spool) -> Vec<(u64, f64)> {
    let numbers: Vec<u64> = spool.intervals.iter().map(|interval| interval.number).collect();
    let interval = |number| spool.interval(number).expect("in the spool");
    numbers
        .into_iter()
        .map(interval)
        .map(|i| (i.snapshot.slot_s, i.snapshot.totals[0] - i.previous_totals[0]))
        .collect()
}

fn filled(bounds: Bounds, n: u64) -> Spool {
    let mut spool = Spool::new(bounds, vec![0.0, 0.0].into());
    for n in 0..n {
        spool.push((n + 1) as f64 * 10_000.0, snapshot(n));
    }
    spool
}

#[test]
fn past_its_bytes_it_loses_resolution_evenly_and_no_count() {
    let one = snapshot(0).bytes();
    for room in 3..12 {
        let spool = filled(Bounds { bytes: one * room, ..BOUNDS }, 100);
        let increases = increases(&spool);
        assert!(spool.size().1 <= one * room);
        assert_eq!(increases.iter().map(|(_, increase)| increase).sum::<f64>(), 700.0);
        let slots: Vec<u32> = spool.intervals.iter().map(|interval| interval.snapshot.slots).collect();
        assert_eq!(slots.iter().sum::<u32>(), 100);
        let most = 100_u32.div_ceil(room as u32).next_power_of_two() * 2;
        assert!(slots.iter().all(|n| *n <= most), "room for {room}: {slots:?}");
        assert_eq!(spool.losses(), Losses { merged: 100 - increases.len() as u64, dropped: 0 });
    }
}

#[test]
fn what_was_sent_is_not_merged() {
    let one = snapshot(0).bytes();
    let mut spool = Spool::new(Bounds { bytes: one * 6, ..BOUNDS }, vec![0.0, 0.0].into());
    for n in 0..3 {
        spool.push(n as f64, snapshot(n));
    }
    spool.ack_state_mut(0, 2).expect("there").in_flight[1] = 1;
    spool.ack_state_mut(1, 2).expect("there");
    for n in 3..50 {
        spool.push(n as f64, snapshot(n));
    }
    let increases = increases(&spool);
    assert_eq!(increases[..2], [(0, 7.0), (10, 7.0)]);
    assert_eq!(increases.iter().map(|(_, increase)| increase).sum::<f64>(), 350.0);
}

#[test]
fn old_intervals_go_into_their_successors_and_old_doubts_are_dropped_and_counted() {
    let mut spool = filled(Bounds { age_ms: 35_000.0, ..BOUNDS }, 10);
    let before = increases(&spool);
    assert_eq!(before.iter().map(|(_, increase)| increase).sum::<f64>(), 70.0);
    assert_eq!(before[0], (60, 49.0), "{before:?}");
    let front = spool.intervals[0].number;
    spool.ack_state_mut(front, 2).expect("there");
    for n in 10..20 {
        spool.push((n + 1) as f64 * 10_000.0, snapshot(n));
    }
    assert_eq!(spool.losses().dropped, 1);
    assert_eq!(increases(&spool).iter().map(|(_, increase)| increase).sum::<f64>(), 140.0 - 49.0);
}

#[test]
fn the_settled_leave_from_the_old_end_and_the_next_counts_from_them() {
    let mut spool = filled(BOUNDS, 4);
    for number in [0, 2] {
        spool.ack_state_mut(number, 2).expect("there").acknowledged = vec![1, 1].into();
    }
    spool.remove_delivered(|state| state.acknowledged.iter().all(|acknowledged| *acknowledged != 0));
    assert_eq!(increases(&spool), [(10, 7.0), (20, 7.0), (30, 7.0)], "the third waits for the second");
    spool.ack_state_mut(1, 2).expect("there").acknowledged = vec![1, 1].into();
    spool.remove_delivered(|state| state.acknowledged.iter().all(|acknowledged| *acknowledged != 0));
    assert_eq!(increases(&spool), [(30, 7.0)]);
    assert_eq!(spool.size().1, snapshot(3).bytes());
}

#[test]
fn only_the_oldest_may_be_sent() {
    let spool = filled(BOUNDS, 10);
    assert_eq!(spool.window().map(|interval| interval.number).collect::<Vec<_>>(), [0, 1, 2, 3]);
}
