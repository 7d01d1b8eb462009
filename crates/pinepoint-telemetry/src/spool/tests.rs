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

/// The slot of each interval and the increase of its first counter.
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
fn merges_evenly_at_byte_bound_without_losing_counts() {
    let snapshot_bytes = snapshot(0).bytes();
    for capacity in 3..12 {
        let spool = filled(Bounds { bytes: snapshot_bytes * capacity, ..BOUNDS }, 100);
        let increases = increases(&spool);
        assert!(spool.size().1 <= snapshot_bytes * capacity);
        assert_eq!(increases.iter().map(|(_, increase)| increase).sum::<f64>(), 700.0);
        let slots: Vec<u32> = spool.intervals.iter().map(|interval| interval.snapshot.slots).collect();
        assert_eq!(slots.iter().sum::<u32>(), 100);
        let max_slots = 100_u32.div_ceil(capacity as u32).next_power_of_two() * 2;
        assert!(slots.iter().all(|n| *n <= max_slots), "capacity of {capacity} snapshots: {slots:?}");
        assert_eq!(spool.losses(), Losses { merged: 100 - increases.len() as u64, dropped: 0 });
    }
}

#[test]
fn never_merges_intervals_sent_in_part() {
    let snapshot_bytes = snapshot(0).bytes();
    let mut spool = Spool::new(Bounds { bytes: snapshot_bytes * 6, ..BOUNDS }, vec![0.0, 0.0].into());
    for n in 0..3 {
        spool.push(n as f64, snapshot(n));
    }
    spool.ack_state_mut(0, 2).expect("in the spool").in_flight[1] = 1;
    spool.ack_state_mut(1, 2).expect("in the spool");
    for n in 3..50 {
        spool.push(n as f64, snapshot(n));
    }
    let increases = increases(&spool);
    assert_eq!(increases[..2], [(0, 7.0), (10, 7.0)]);
    assert_eq!(increases.iter().map(|(_, increase)| increase).sum::<f64>(), 350.0);
}

#[test]
fn merges_old_unsent_intervals_and_drops_old_sent_ones() {
    let mut spool = filled(Bounds { age_ms: 35_000.0, ..BOUNDS }, 10);
    let before = increases(&spool);
    assert_eq!(before.iter().map(|(_, increase)| increase).sum::<f64>(), 70.0);
    assert_eq!(before[0], (60, 49.0), "{before:?}");
    let front = spool.intervals[0].number;
    spool.ack_state_mut(front, 2).expect("in the spool");
    for n in 10..20 {
        spool.push((n + 1) as f64 * 10_000.0, snapshot(n));
    }
    assert_eq!(spool.losses().dropped, 1);
    assert_eq!(increases(&spool).iter().map(|(_, increase)| increase).sum::<f64>(), 140.0 - 49.0);
}

#[test]
fn removes_delivered_intervals_oldest_first() {
    let mut spool = filled(BOUNDS, 4);
    for number in [0, 2] {
        spool.ack_state_mut(number, 2).expect("in the spool").acknowledged = vec![1, 1].into();
    }
    spool.remove_delivered(|state| state.acknowledged.iter().all(|acknowledged| *acknowledged != 0));
    assert_eq!(
        increases(&spool),
        [(10, 7.0), (20, 7.0), (30, 7.0)],
        "the third interval stays until the second is delivered"
    );
    spool.ack_state_mut(1, 2).expect("in the spool").acknowledged = vec![1, 1].into();
    spool.remove_delivered(|state| state.acknowledged.iter().all(|acknowledged| *acknowledged != 0));
    assert_eq!(increases(&spool), [(30, 7.0)]);
    assert_eq!(spool.size().1, snapshot(3).bytes());
}

#[test]
fn window_contains_oldest_intervals() {
    let spool = filled(BOUNDS, 10);
    assert_eq!(spool.window().map(|interval| interval.number).collect::<Vec<_>>(), [0, 1, 2, 3]);
}
