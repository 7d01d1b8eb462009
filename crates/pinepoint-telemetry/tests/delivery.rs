//! Checks that the sums of the delivered counts are right whatever the receivers do, with simulated
//! receivers: for each kind of failure, and for random sequences of failures by seed.

mod sim;

use pinepoint_telemetry::delivery::{AckMode, ConnectionId, DeliveryConfig, DisconnectReason, Event, Notice};
use pinepoint_telemetry::spool::Bounds;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sim::{EVERY_MS, Read, Receiver, ReceiverState, Simulation, config};

const MINUTE: f64 = 60_000.0;

/// Ends the last interval, repairs all receivers, and runs until everything is acknowledged.
fn settle(simulation: &mut Simulation) {
    simulation.last_interval_ms = simulation.now;
    for receiver in 0..simulation.receivers.len() {
        simulation.fault(simulation.now + 1.0, receiver, ReceiverState::Up);
    }
    let until = simulation.now + 30.0 * MINUTE;
    while simulation.now < until && !simulation.nodes.iter().all(|node| node.delivery.is_done()) {
        simulation.run(simulation.now + 1000.0);
    }
}

/// Checks that each count was delivered, and no count twice.
fn check_sums(simulation: &Simulation) {
    for (at, node) in simulation.nodes.iter().enumerate() {
        assert!(node.delivery.is_done(), "node {at} still has {:?}", node.delivery.stats());
        assert_eq!(simulation.sums(at), node.totals, "node {at}");
    }
}

/// How often a node took a receiver out of service.
fn times_down(simulation: &Simulation, node: usize) -> usize {
    simulation.nodes[node]
        .notices
        .iter()
        .filter(|(_, notice)| matches!(notice, Notice::ReceiverDown { .. }))
        .count()
}

/// How often a connection of a node ended for this reason.
fn disconnects(simulation: &Simulation, node: usize, reason: DisconnectReason) -> usize {
    let ended =
        |notice: &Notice| matches!(notice, Notice::Disconnected { reason: why, .. } if *why == reason);
    simulation.nodes[node].notices.iter().filter(|(_, notice)| ended(notice)).count()
}

#[test]
fn healthy_receiver_gets_all_counts_over_few_connections() {
    let mut simulation = Simulation::new(1, 1, config(), 1);
    simulation.run(60.0 * MINUTE);
    let connects = simulation.receivers[0].connects.len();
    assert!((50..=70).contains(&connects), "one a minute: {connects}");
    assert!(simulation.nodes[0].delivery.stats().backlog_intervals <= 8);
    settle(&mut simulation);
    check_sums(&simulation);
    assert_eq!(simulation.nodes[0].delivery.stats().points_resent, 0);
}

#[test]
fn stalled_receiver_fills_spool_within_bounds() {
    let mut simulation = Simulation::new(1, 1, config(), 2);
    simulation.fault(0.0, 0, ReceiverState::Stalled);
    simulation.run(60.0 * MINUTE);
    let stats = simulation.nodes[0].delivery.stats();
    assert_eq!((stats.acks, stats.receivers_down), (0, 1));
    assert!(stats.merged > 100, "{stats:?}");
    assert!(simulation.nodes[0].max_backlog_bytes <= config().spool.bytes);
    assert!(simulation.receivers[0].connects.len() < 150, "{}", simulation.receivers[0].connects.len());
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn receiver_down_from_start_gets_all_counts_once_up() {
    let mut simulation = Simulation::new(1, 1, config(), 3);
    simulation.fault(0.0, 0, ReceiverState::Down);
    simulation.run(10.0 * MINUTE);
    assert_eq!(times_down(&simulation, 0), 1);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn repeated_restarts_lose_no_counts() {
    let mut simulation = Simulation::new(1, 1, config(), 4);
    for n in 1..40 {
        simulation.restart(f64::from(n) * 31_000.0, 0, f64::from(n % 7) * 400.0);
    }
    simulation.run(25.0 * MINUTE);
    assert!(simulation.nodes[0].delivery.stats().points_resent > 0, "nothing was ever in doubt");
    settle(&mut simulation);
    check_sums(&simulation);
}

/// An hour of simulated time without any receiver, with a spool that has space for a few minutes at full
/// resolution.
#[test]
fn outage_of_all_receivers_stays_within_bounds_and_loses_no_counts() {
    let bounds = Bounds { bytes: 20_000, ..config().spool };
    let mut simulation = Simulation::new(3, 3, DeliveryConfig { spool: bounds, ..config() }, 5);
    for receiver in 0..3 {
        simulation.fault(95_000.0, receiver, ReceiverState::Down);
    }
    simulation.run(65.0 * MINUTE);
    for node in &simulation.nodes {
        assert!(
            node.max_backlog_bytes <= bounds.bytes,
            "{} bytes of {}",
            node.max_backlog_bytes,
            bounds.bytes
        );
        assert!(node.delivery.stats().merged > 200);
        assert_eq!(node.delivery.stats().dropped, 0);
    }
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn alternating_outages_are_covered_by_other_receiver() {
    let mut simulation = Simulation::new(2, 2, config(), 6);
    for n in 0..20 {
        let (at, receiver) = (f64::from(n) * 3.0 * MINUTE + MINUTE, n as usize % 2);
        simulation.fault(at, receiver, ReceiverState::Down);
        simulation.fault(at + 2.5 * MINUTE, receiver, ReceiverState::Up);
    }
    simulation.run(61.0 * MINUTE);
    assert!(times_down(&simulation, 0) >= 15, "{}", times_down(&simulation, 0));
    let stats = simulation.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals <= 10, "the other receiver takes over: {stats:?}");
    assert_eq!(stats.merged, 0);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn failover_moves_paths_and_recovery_returns_them_gradually() {
    let mut simulation = Simulation::new(20, 3, config(), 7);
    simulation.fault(5.0 * MINUTE, 1, ReceiverState::Down);
    simulation.fault(15.0 * MINUTE, 1, ReceiverState::Up);
    simulation.run(15.0 * MINUTE);
    for node in &simulation.nodes {
        let stats = node.delivery.stats();
        assert!(stats.backlog_intervals <= 8, "{stats:?}");
    }
    simulation.run(25.0 * MINUTE);
    // Points of a node that receiver 1 read between two times, per interval.
    let read = |node: usize, from: f64, to: f64| -> f64 {
        let reads = simulation.receivers[1].reads.iter();
        let reads = reads.filter(|read: &&Read| read.node == node && (from..to).contains(&read.at_ms));
        reads.map(|read| read.points as f64).sum::<f64>() / (to - from) * EVERY_MS
    };
    let (mut first, mut before, mut after) = (0.0, 0.0, 0.0);
    for (at, node) in simulation.nodes.iter().enumerate() {
        let recovered = node.notices.iter().find(|(_, notice)| matches!(notice, Notice::ReceiverUp { .. }));
        let (recovered_ms, _) = recovered.expect("the receiver recovered");
        first += read(at, *recovered_ms, recovered_ms + 10_000.0);
        before += read(at, 2.0 * MINUTE, 5.0 * MINUTE);
        after += read(at, recovered_ms + MINUTE, recovered_ms + 6.0 * MINUTE);
    }
    assert!(
        first < before * 0.4,
        "points per interval: {first} right after the recovery, {before} before the outage"
    );
    assert!(
        (after / before - 1.0).abs() < 0.1,
        "points per interval: {after} after the slow start, {before} before the outage"
    );
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn each_point_reaches_as_many_receivers_as_configured() {
    let mut simulation = Simulation::new(2, 4, DeliveryConfig { replication: 2, ..config() }, 8);
    simulation.restart(2.0 * MINUTE, 2, 20_000.0);
    simulation.run(10.0 * MINUTE);
    settle(&mut simulation);
    check_sums(&simulation);
    for node in 0..2 {
        for point in 0..sim::POINTS as u16 {
            let slots: Vec<u64> = (1..50).map(|n| n * 10).collect();
            for slot in slots {
                let has = |receiver: &&Receiver| {
                    receiver.store.get(&(node, point)).is_some_and(|s| s.contains_key(&slot))
                };
                assert!(
                    simulation.receivers.iter().filter(has).count() >= 2,
                    "node {node} point {point} slot {slot}"
                );
            }
        }
    }
}

#[test]
fn slow_receiver_does_not_delay_others() {
    let mut simulation = Simulation::new(1, 3, config(), 9);
    simulation.fault(MINUTE, 0, ReceiverState::Slow(12_000.0));
    simulation.run(30.0 * MINUTE);
    let stats = simulation.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals < 12, "{stats:?}");
    settle(&mut simulation);
    check_sums(&simulation);
}

/// All acknowledgements of the receiver arrive in time, but it reads less than is produced: it falls behind,
/// and keeps the receivers that share the window with it waiting.
#[test]
fn lagging_receiver_goes_out_of_service() {
    let mut simulation =
        Simulation::new(1, 3, DeliveryConfig { ack_timeout_ms: 15.0 * MINUTE, ..config() }, 14);
    simulation.fault(MINUTE, 0, ReceiverState::Slow(14_000.0));
    simulation.run(60.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::Lagging) > 0);
    assert_eq!(disconnects(&simulation, 0, DisconnectReason::AckTimeout), 0);
    let stats = simulation.nodes[0].delivery.stats();
    assert_eq!(stats.merged, 0, "{stats:?}");
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn unreachable_receiver_times_out() {
    let mut simulation = Simulation::new(1, 1, config(), 15);
    simulation.fault(0.0, 0, ReceiverState::Unreachable);
    simulation.run(5.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::ConnectTimeout) > 3);
    assert_eq!(times_down(&simulation, 0), 1);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn disconnects_receiver_without_minimum_progress() {
    let mut simulation = Simulation::new(1, 1, config(), 16);
    simulation.run(2.0 * MINUTE + 1000.0);
    simulation.fault(simulation.now, 0, ReceiverState::BufferFull);
    simulation.run(3.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::Stalled) > 0, "{:?}", simulation.nodes[0].notices);
    assert_eq!(disconnects(&simulation, 0, DisconnectReason::AckTimeout), 0);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// A receiver that answers each message keeps its connection. Once it stops answering, it is disconnected in
/// time.
#[test]
fn inline_acknowledgements_keep_connection_open() {
    let mut simulation = Simulation::new(2, 1, DeliveryConfig { ack_mode: AckMode::Inline, ..config() }, 17);
    simulation.run(10.0 * MINUTE);
    assert_eq!(simulation.receivers[0].connects.len(), 2, "one connection per node");
    simulation.fault(simulation.now, 0, ReceiverState::Stalled);
    simulation.run(15.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::AckTimeout) > 0);
    assert_eq!(times_down(&simulation, 0), 1);
    simulation.restart(simulation.now, 0, 10_000.0);
    simulation.run(20.0 * MINUTE);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// An orderly close before all messages were read does not acknowledge the unread messages.
#[test]
fn resends_messages_unread_at_orderly_close() {
    let mut simulation = Simulation::new(1, 1, config(), 18);
    simulation.fault(0.0, 0, ReceiverState::Stalled);
    simulation.last_interval_ms = 0.0;
    simulation.end_interval(0);
    simulation.end_interval(0);
    simulation.run(5000.0);
    let connection = ConnectionId { receiver: 0, number: 1 };
    let early = Event::Acknowledged { connection, up_to: 1, closed: true };
    simulation.handle(0, early);
    assert_eq!(disconnects(&simulation, 0, DisconnectReason::Closed), 1);
    simulation.fault(simulation.now, 0, ReceiverState::Up);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn added_and_removed_receivers_move_only_affected_paths() {
    let mut simulation = Simulation::new(1, 4, config(), 10);
    simulation.run(5.0 * MINUTE);
    let stored_points = |simulation: &Simulation, receiver: usize, from: u64| -> Vec<u16> {
        let store = &simulation.receivers[receiver].store;
        let newer = |slots: &std::collections::BTreeMap<u64, f64>| slots.range(from..).next().is_some();
        let mut points: Vec<u16> =
            store.iter().filter(|(_, slots)| newer(slots)).map(|((_, p), _)| *p).collect();
        points.sort_unstable();
        points
    };
    let before: Vec<Vec<u16>> = (0..4).map(|receiver| stored_points(&simulation, receiver, 0)).collect();
    let names: Vec<String> = [0, 2, 3].into_iter().map(sim::name).collect();
    simulation.handle(0, Event::ReceiversChanged(names));
    let from = (simulation.now / 1000.0) as u64 + 10;
    simulation.run(10.0 * MINUTE);
    assert!(stored_points(&simulation, 1, from).is_empty());
    for receiver in [0, 2, 3] {
        let after = stored_points(&simulation, receiver, from);
        assert!(
            before[receiver].iter().all(|point| after.contains(point)),
            "receiver {receiver} lost a path"
        );
    }
    simulation.handle(0, Event::ReceiversChanged((0..4).map(sim::name).collect()));
    let from = (simulation.now / 1000.0) as u64 + 70;
    simulation.run(15.0 * MINUTE);
    let after: Vec<Vec<u16>> = (0..4).map(|receiver| stored_points(&simulation, receiver, from)).collect();
    assert_eq!(after, before);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// At shutdown all remaining intervals are sent at once, over connections that are closed in order.
#[test]
fn shutdown_sends_last_interval_at_once() {
    let mut simulation = Simulation::new(1, 2, config(), 11);
    simulation.run(3.0 * MINUTE + 4000.0);
    simulation.last_interval_ms = simulation.now;
    simulation.end_interval(0);
    simulation.handle(0, Event::Shutdown);
    let shutdown_ms = simulation.now;
    while !simulation.nodes[0].delivery.is_done() && simulation.now < shutdown_ms + 1000.0 {
        simulation.run(simulation.now + 1.0);
    }
    assert!(simulation.now - shutdown_ms < 50.0, "the delivery took {} ms", simulation.now - shutdown_ms);
    check_sums(&simulation);
}

/// With a stalled receiver the delivery never completes; the process that shuts down is not delayed by that.
#[test]
fn shutdown_does_not_wait_for_stalled_receiver() {
    let mut simulation = Simulation::new(1, 2, config(), 12);
    simulation.run(3.0 * MINUTE);
    simulation.fault(simulation.now, 0, ReceiverState::Stalled);
    simulation.run(simulation.now + 1.0);
    simulation.last_interval_ms = simulation.now;
    simulation.end_interval(0);
    simulation.handle(0, Event::Shutdown);
    simulation.run(simulation.now + 200.0);
    assert!(!simulation.nodes[0].delivery.is_done());
    assert_eq!(
        disconnects(&simulation, 0, DisconnectReason::AckTimeout),
        0,
        "shutdown does not wait for the timeout"
    );
}

/// 500 processes lose the same receiver at once. Their reconnections are spread over time, and each sends
/// little at first.
#[test]
fn reconnections_of_500_nodes_are_spread() {
    let mut simulation = Simulation::new(500, 1, config(), 13);
    simulation.run(2.0 * MINUTE);
    simulation.restart(2.0 * MINUTE + 1.0, 0, 5.0 * MINUTE);
    simulation.run(7.0 * MINUTE);
    let recovered_ms = simulation.now;
    simulation.run(recovered_ms + MINUTE);
    let connects = &simulation.receivers[0].connects;
    let in_second = |from: f64| connects.iter().filter(|at| (from..from + 1000.0).contains(*at)).count();
    let busiest = (0..60).map(|second| in_second(recovered_ms + f64::from(second) * 1000.0)).max();
    // Each node makes a health check and a few connections with growing loads, beginning within the longest
    // backoff of 30 s.
    assert!(busiest < Some(300), "{busiest:?} connections of 500 in one second");
    settle(&mut simulation);
    check_sums(&simulation);
}

#[derive(Clone, Debug)]
struct Fault {
    at: f64,
    receiver: usize,
    kind: u8,
    duration_ms: f64,
}

fn fault() -> impl Strategy<Value = Fault> {
    (0.0..1200.0_f64, 0..3_usize, 0..5_u8, 0.0..400.0_f64).prop_map(|(at, receiver, kind, long)| Fault {
        at: at * 1000.0,
        receiver,
        kind,
        duration_ms: long * 1000.0,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn sums_are_right_after_random_failures(
        faults in proptest::collection::vec(fault(), 0..14),
        receivers in 1..=3_usize,
        replication in 1..=2_u32,
        changes in proptest::collection::vec((0.0..1200.0_f64, 1..8_u8), 0..3),
        seed in any::<u64>(),
    ) {
        let bounds = Bounds { bytes: 16_000, window: 4, ..config().spool };
        let mut simulation = Simulation::new(2, receivers, DeliveryConfig { replication, spool: bounds, ..config() }, seed);
        for Fault { at, receiver, kind, duration_ms } in faults {
            let receiver = receiver % receivers;
            match kind {
                0 => simulation.restart(at, receiver, duration_ms),
                kind => {
                    let state = [ReceiverState::Stalled, ReceiverState::Down, ReceiverState::Slow(700.0), ReceiverState::Slow(9000.0)];
                    simulation.fault(at, receiver, state[usize::from(kind) - 1]);
                    simulation.fault(at + duration_ms, receiver, ReceiverState::Up);
                }
            }
        }
        let mut changes = changes;
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, set) in changes {
            simulation.run(at * 1000.0);
            let names = (0..receivers).filter(|n| set & (1 << n) != 0).map(sim::name).collect::<Vec<_>>();
            if !names.is_empty() {
                simulation.handle(0, Event::ReceiversChanged(names));
            }
        }
        simulation.run(20.0 * MINUTE);
        prop_assert!(simulation.nodes.iter().all(|node| node.max_backlog_bytes <= bounds.bytes));
        simulation.handle(0, Event::ReceiversChanged((0..receivers).map(sim::name).collect()));
        settle(&mut simulation);
        check_sums(&simulation);
    }
}
