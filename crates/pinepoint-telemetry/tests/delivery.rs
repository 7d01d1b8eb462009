//! The sums of the delivered counts are right whatever the receivers do: simulated receivers, each kind of
//! failure, and random sequences of failures by seed.

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

/// Checks that each count was delivered, and none twice.
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
fn a_good_receiver_takes_everything_over_few_connections() {
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
fn one_that_accepts_and_reads_nothing_for_the_whole_run() {
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
fn one_that_is_down_from_the_start() {
    let mut simulation = Simulation::new(1, 1, config(), 3);
    simulation.fault(0.0, 0, ReceiverState::Down);
    simulation.run(10.0 * MINUTE);
    assert_eq!(times_down(&simulation, 0), 1);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn one_that_restarts_in_the_middle_again_and_again() {
    let mut simulation = Simulation::new(1, 1, config(), 4);
    for n in 1..40 {
        simulation.restart(f64::from(n) * 31_000.0, 0, f64::from(n % 7) * 400.0);
    }
    simulation.run(25.0 * MINUTE);
    assert!(simulation.nodes[0].delivery.stats().points_resent > 0, "nothing was ever in doubt");
    settle(&mut simulation);
    check_sums(&simulation);
}

/// On the settable clock: an hour without any receiver, in a spool that holds a few minutes of full
/// resolution.
#[test]
fn the_whole_group_down_for_an_hour_stays_within_the_bound_and_loses_no_count() {
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
fn two_that_leave_and_come_back_in_turn() {
    let mut simulation = Simulation::new(2, 2, config(), 6);
    for n in 0..20 {
        let (at, receiver) = (f64::from(n) * 3.0 * MINUTE + MINUTE, n as usize % 2);
        simulation.fault(at, receiver, ReceiverState::Down);
        simulation.fault(at + 2.5 * MINUTE, receiver, ReceiverState::Up);
    }
    simulation.run(61.0 * MINUTE);
    assert!(times_down(&simulation, 0) >= 15, "{}", times_down(&simulation, 0));
    let stats = simulation.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals <= 10, "the other one takes over: {stats:?}");
    assert_eq!(stats.merged, 0);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn while_one_of_three_is_down_its_paths_go_to_the_others_and_then_come_back_in_steps() {
    let mut simulation = Simulation::new(20, 3, config(), 7);
    simulation.fault(5.0 * MINUTE, 1, ReceiverState::Down);
    simulation.fault(15.0 * MINUTE, 1, ReceiverState::Up);
    simulation.run(15.0 * MINUTE);
    for node in &simulation.nodes {
        let stats = node.delivery.stats();
        assert!(stats.backlog_intervals <= 8, "{stats:?}");
    }
    simulation.run(25.0 * MINUTE);
    // Points of one node in a time, for each interval of it.
    let read = |node: usize, from: f64, to: f64| -> f64 {
        let reads = simulation.receivers[1].reads.iter();
        let reads = reads.filter(|read: &&Read| read.node == node && (from..to).contains(&read.at_ms));
        reads.map(|read| read.points as f64).sum::<f64>() / (to - from) * EVERY_MS
    };
    let (mut first, mut before, mut after) = (0.0, 0.0, 0.0);
    for (at, node) in simulation.nodes.iter().enumerate() {
        let back = node.notices.iter().find(|(_, notice)| matches!(notice, Notice::ReceiverUp { .. }));
        let (back, _) = back.expect("it came back");
        first += read(at, *back, back + 10_000.0);
        before += read(at, 2.0 * MINUTE, 5.0 * MINUTE);
        after += read(at, back + MINUTE, back + 6.0 * MINUTE);
    }
    assert!(first < before * 0.4, "points an interval: {first} at its return, {before} before");
    assert!((after / before - 1.0).abs() < 0.1, "{after} after, {before} before");
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn each_point_is_taken_by_as_many_as_was_asked_for() {
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
fn a_receiver_that_is_too_slow_for_its_share_does_not_hold_up_the_others() {
    let mut simulation = Simulation::new(1, 3, config(), 9);
    simulation.fault(MINUTE, 0, ReceiverState::Slow(12_000.0));
    simulation.run(30.0 * MINUTE);
    let stats = simulation.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals < 12, "{stats:?}");
    settle(&mut simulation);
    check_sums(&simulation);
}

/// Its receipts all come in time, and yet it takes less than is made: it falls behind, and holds up those
/// that share the window with it.
#[test]
fn a_receiver_that_never_fails_and_never_keeps_up_goes_out_of_service() {
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
fn one_that_does_not_even_refuse_is_left_in_time() {
    let mut simulation = Simulation::new(1, 1, config(), 15);
    simulation.fault(0.0, 0, ReceiverState::Unreachable);
    simulation.run(5.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::ConnectTimeout) > 3);
    assert_eq!(times_down(&simulation, 0), 1);
    settle(&mut simulation);
    check_sums(&simulation);
}

#[test]
fn one_that_takes_a_byte_now_and_then_is_left() {
    let mut simulation = Simulation::new(1, 1, config(), 16);
    simulation.run(2.0 * MINUTE + 1000.0);
    simulation.fault(simulation.now, 0, ReceiverState::BufferFull);
    simulation.run(3.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::Stalled) > 0, "{:?}", simulation.nodes[0].notices);
    assert_eq!(disconnects(&simulation, 0, DisconnectReason::AckTimeout), 0);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// Receivers that answer each send keep their connection; one that stops answering is left in time.
#[test]
fn receipts_that_come_by_themselves() {
    let mut simulation = Simulation::new(2, 1, DeliveryConfig { ack_mode: AckMode::Inline, ..config() }, 17);
    simulation.run(10.0 * MINUTE);
    assert_eq!(simulation.receivers[0].connects.len(), 2, "one each");
    simulation.fault(simulation.now, 0, ReceiverState::Stalled);
    simulation.run(15.0 * MINUTE);
    assert!(disconnects(&simulation, 0, DisconnectReason::AckTimeout) > 0);
    assert_eq!(times_down(&simulation, 0), 1);
    simulation.restart(simulation.now, 0, 10_000.0);
    simulation.run(20.0 * MINUTE);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// An end in order before everything was read is no receipt for the rest.
#[test]
fn a_receiver_that_closes_before_it_has_read_all_gets_the_rest_again() {
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
fn receivers_that_are_added_and_removed_move_only_the_paths_that_must() {
    let mut simulation = Simulation::new(1, 4, config(), 10);
    simulation.run(5.0 * MINUTE);
    let holds = |simulation: &Simulation, receiver: usize, from: u64| -> Vec<u16> {
        let store = &simulation.receivers[receiver].store;
        let newer = |slots: &std::collections::BTreeMap<u64, f64>| slots.range(from..).next().is_some();
        let mut points: Vec<u16> =
            store.iter().filter(|(_, slots)| newer(slots)).map(|((_, p), _)| *p).collect();
        points.sort_unstable();
        points
    };
    let before: Vec<Vec<u16>> = (0..4).map(|receiver| holds(&simulation, receiver, 0)).collect();
    let names: Vec<String> = [0, 2, 3].into_iter().map(sim::name).collect();
    simulation.handle(0, Event::ReceiversChanged(names));
    let from = (simulation.now / 1000.0) as u64 + 10;
    simulation.run(10.0 * MINUTE);
    assert!(holds(&simulation, 1, from).is_empty());
    for receiver in [0, 2, 3] {
        let after = holds(&simulation, receiver, from);
        assert!(before[receiver].iter().all(|point| after.contains(point)), "{receiver} lost a path");
    }
    simulation.handle(0, Event::ReceiversChanged((0..4).map(sim::name).collect()));
    let from = (simulation.now / 1000.0) as u64 + 70;
    simulation.run(15.0 * MINUTE);
    let after: Vec<Vec<u16>> = (0..4).map(|receiver| holds(&simulation, receiver, from)).collect();
    assert_eq!(after, before);
    settle(&mut simulation);
    check_sums(&simulation);
}

/// At the end everything that is left goes out at once, over connections that are closed in order.
#[test]
fn the_last_interval_goes_out_at_once() {
    let mut simulation = Simulation::new(1, 2, config(), 11);
    simulation.run(3.0 * MINUTE + 4000.0);
    simulation.last_interval_ms = simulation.now;
    simulation.end_interval(0);
    simulation.handle(0, Event::Shutdown);
    let left = simulation.now;
    while !simulation.nodes[0].delivery.is_done() && simulation.now < left + 1000.0 {
        simulation.run(simulation.now + 1.0);
    }
    assert!(simulation.now - left < 50.0, "{} ms", simulation.now - left);
    check_sums(&simulation);
}

/// With a receiver that stalls there is no end; the process that asks is not held up by that.
#[test]
fn a_stalled_receiver_at_the_end_leaves_what_it_owes_and_nothing_else() {
    let mut simulation = Simulation::new(1, 2, config(), 12);
    simulation.run(3.0 * MINUTE);
    simulation.fault(simulation.now, 0, ReceiverState::Stalled);
    simulation.run(simulation.now + 1.0);
    simulation.last_interval_ms = simulation.now;
    simulation.end_interval(0);
    simulation.handle(0, Event::Shutdown);
    simulation.run(simulation.now + 200.0);
    assert!(!simulation.nodes[0].delivery.is_done());
    assert_eq!(disconnects(&simulation, 0, DisconnectReason::AckTimeout), 0, "it is not waited for");
}

/// 500 processes lose one receiver together. They come back spread, and with little each.
#[test]
fn five_hundred_that_lost_a_receiver_together_do_not_come_back_together() {
    let mut simulation = Simulation::new(500, 1, config(), 13);
    simulation.run(2.0 * MINUTE);
    simulation.restart(2.0 * MINUTE + 1.0, 0, 5.0 * MINUTE);
    simulation.run(7.0 * MINUTE);
    let back = simulation.now;
    simulation.run(back + MINUTE);
    let connects = &simulation.receivers[0].connects;
    let in_second = |from: f64| connects.iter().filter(|at| (from..from + 1000.0).contains(*at)).count();
    let busiest = (0..60).map(|second| in_second(back + f64::from(second) * 1000.0)).max();
    // Each makes a probe and a few connections with growing loads, begun within the longest wait of 30 s.
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
    fn whatever_fails_the_sums_are_right_in_the_end(
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
