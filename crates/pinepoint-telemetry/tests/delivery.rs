//! What becomes of the counts, whatever receivers do: simulated receivers, each failure of the issue, and random
//! courses of failures by seed.

mod sim;

use pinepoint_telemetry::delivery::{AckMode, ConnectionId, DeliveryConfig, DisconnectReason, Event, Notice};
use pinepoint_telemetry::spool::Bounds;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sim::{EVERY_MS, State, World, config};

const MINUTE: f64 = 60_000.0;

/// Stops the intervals, mends all receivers, and waits until everything was taken.
fn come_to_rest(world: &mut World) {
    world.last_interval_ms = world.now;
    for receiver in 0..world.receivers.len() {
        world.fault(world.now + 1.0, receiver, State::Up);
    }
    let until = world.now + 30.0 * MINUTE;
    while world.now < until && !world.nodes.iter().all(|node| node.delivery.is_done()) {
        world.run(world.now + 1000.0);
    }
}

fn check_sums(world: &World) {
    for (at, node) in world.nodes.iter().enumerate() {
        assert!(node.delivery.is_done(), "node {at} still has {:?}", node.delivery.stats());
        assert_eq!(world.sums(at), node.totals, "node {at}");
    }
}

fn lost(world: &World, node: usize) -> usize {
    world.nodes[node]
        .notices
        .iter()
        .filter(|(_, notice)| matches!(notice, Notice::ReceiverDown { .. }))
        .count()
}

/// How often a connection of a node ended for this reason.
fn ended(world: &World, node: usize, reason: DisconnectReason) -> usize {
    let ended =
        |notice: &Notice| matches!(notice, Notice::Disconnected { reason: why, .. } if *why == reason);
    world.nodes[node].notices.iter().filter(|(_, notice)| ended(notice)).count()
}

#[test]
fn a_good_receiver_takes_everything_over_few_connections() {
    let mut world = World::new(1, 1, config(), 1);
    world.run(60.0 * MINUTE);
    let connects = world.receivers[0].connects.len();
    assert!((50..=70).contains(&connects), "one a minute: {connects}");
    assert!(world.nodes[0].delivery.stats().backlog_intervals <= 8);
    come_to_rest(&mut world);
    check_sums(&world);
    assert_eq!(world.nodes[0].delivery.stats().points_resent, 0);
}

#[test]
fn one_that_accepts_and_reads_nothing_for_the_whole_run() {
    let mut world = World::new(1, 1, config(), 2);
    world.fault(0.0, 0, State::Stalled);
    world.run(60.0 * MINUTE);
    let stats = world.nodes[0].delivery.stats();
    assert_eq!((stats.acks, stats.receivers_down), (0, 1));
    assert!(stats.merged > 100, "{stats:?}");
    assert!(world.nodes[0].most_bytes <= config().spool.bytes);
    assert!(world.receivers[0].connects.len() < 150, "{}", world.receivers[0].connects.len());
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn one_that_is_down_from_the_start() {
    let mut world = World::new(1, 1, config(), 3);
    world.fault(0.0, 0, State::Down);
    world.run(10.0 * MINUTE);
    assert_eq!(lost(&world, 0), 1);
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn one_that_restarts_in_the_middle_again_and_again() {
    let mut world = World::new(1, 1, config(), 4);
    for n in 1..40 {
        world.restart(f64::from(n) * 31_000.0, 0, f64::from(n % 7) * 400.0);
    }
    world.run(25.0 * MINUTE);
    assert!(world.nodes[0].delivery.stats().points_resent > 0, "nothing was ever in doubt");
    come_to_rest(&mut world);
    check_sums(&world);
}

/// On the settable clock: an hour without any receiver, in a spool that holds a few minutes of full resolution.
#[test]
fn the_whole_group_down_for_an_hour_stays_within_the_bound_and_loses_no_count() {
    let bounds = Bounds { bytes: 20_000, ..config().spool };
    let mut world = World::new(3, 3, DeliveryConfig { spool: bounds, ..config() }, 5);
    for receiver in 0..3 {
        world.fault(95_000.0, receiver, State::Down);
    }
    world.run(65.0 * MINUTE);
    for node in &world.nodes {
        assert!(node.most_bytes <= bounds.bytes, "{} bytes of {}", node.most_bytes, bounds.bytes);
        assert!(node.delivery.stats().merged > 200);
        assert_eq!(node.delivery.stats().dropped, 0);
    }
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn two_that_leave_and_come_back_in_turn() {
    let mut world = World::new(2, 2, config(), 6);
    for n in 0..20 {
        let (at, receiver) = (f64::from(n) * 3.0 * MINUTE + MINUTE, n as usize % 2);
        world.fault(at, receiver, State::Down);
        world.fault(at + 2.5 * MINUTE, receiver, State::Up);
    }
    world.run(61.0 * MINUTE);
    assert!(lost(&world, 0) >= 15, "{}", lost(&world, 0));
    let stats = world.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals <= 10, "the other one takes over: {stats:?}");
    assert_eq!(stats.merged, 0);
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn while_one_of_three_is_down_its_paths_go_to_the_others_and_then_come_back_in_steps() {
    let mut world = World::new(20, 3, config(), 7);
    world.fault(5.0 * MINUTE, 1, State::Down);
    world.fault(15.0 * MINUTE, 1, State::Up);
    world.run(15.0 * MINUTE);
    for node in &world.nodes {
        let stats = node.delivery.stats();
        assert!(stats.backlog_intervals <= 8, "{stats:?}");
    }
    world.run(25.0 * MINUTE);
    // Points of one node in a time, for each interval of it.
    let read = |node: usize, from: f64, to: f64| -> f64 {
        let reads = world.receivers[1].reads.iter();
        let reads = reads.filter(|(at, of, _)| *of == node && (from..to).contains(at));
        reads.map(|(_, _, points)| *points as f64).sum::<f64>() / (to - from) * EVERY_MS
    };
    let (mut first, mut before, mut after) = (0.0, 0.0, 0.0);
    for (at, node) in world.nodes.iter().enumerate() {
        let back = node.notices.iter().find(|(_, notice)| matches!(notice, Notice::ReceiverUp { .. }));
        let (back, _) = back.expect("it came back");
        first += read(at, *back, back + 10_000.0);
        before += read(at, 2.0 * MINUTE, 5.0 * MINUTE);
        after += read(at, back + MINUTE, back + 6.0 * MINUTE);
    }
    assert!(first < before * 0.4, "points an interval: {first} at its return, {before} before");
    assert!((after / before - 1.0).abs() < 0.1, "{after} after, {before} before");
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn each_point_is_taken_by_as_many_as_was_asked_for() {
    let mut world = World::new(2, 4, DeliveryConfig { replication: 2, ..config() }, 8);
    world.restart(2.0 * MINUTE, 2, 20_000.0);
    world.run(10.0 * MINUTE);
    come_to_rest(&mut world);
    check_sums(&world);
    for node in 0..2 {
        for point in 0..sim::POINTS as u16 {
            let slots: Vec<u64> = (1..50).map(|n| n * 10).collect();
            for slot in slots {
                let has = |rx: &&sim::Rx| rx.store.get(&(node, point)).is_some_and(|s| s.contains_key(&slot));
                assert!(
                    world.receivers.iter().filter(has).count() >= 2,
                    "node {node} point {point} slot {slot}"
                );
            }
        }
    }
}

#[test]
fn a_receiver_that_is_too_slow_for_its_share_does_not_hold_up_the_others() {
    let mut world = World::new(1, 3, config(), 9);
    world.fault(MINUTE, 0, State::Dripping(12_000.0));
    world.run(30.0 * MINUTE);
    let stats = world.nodes[0].delivery.stats();
    assert!(stats.backlog_intervals < 12, "{stats:?}");
    come_to_rest(&mut world);
    check_sums(&world);
}

/// Its receipts all come in time, and yet it takes less than is made: it falls behind, and holds up those that share
/// the window with it.
#[test]
fn a_receiver_that_never_fails_and_never_keeps_up_goes_out_of_service() {
    let mut world = World::new(1, 3, DeliveryConfig { ack_timeout_ms: 15.0 * MINUTE, ..config() }, 14);
    world.fault(MINUTE, 0, State::Dripping(14_000.0));
    world.run(60.0 * MINUTE);
    assert!(ended(&world, 0, DisconnectReason::Lagging) > 0);
    assert_eq!(ended(&world, 0, DisconnectReason::AckTimeout), 0);
    let stats = world.nodes[0].delivery.stats();
    assert_eq!(stats.merged, 0, "{stats:?}");
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn one_that_does_not_even_refuse_is_left_in_time() {
    let mut world = World::new(1, 1, config(), 15);
    world.fault(0.0, 0, State::Silent);
    world.run(5.0 * MINUTE);
    assert!(ended(&world, 0, DisconnectReason::ConnectTimeout) > 3);
    assert_eq!(lost(&world, 0), 1);
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn one_that_takes_a_byte_now_and_then_is_left() {
    let mut world = World::new(1, 1, config(), 16);
    world.run(2.0 * MINUTE + 1000.0);
    world.fault(world.now, 0, State::Clogged);
    world.run(3.0 * MINUTE);
    assert!(ended(&world, 0, DisconnectReason::Stalled) > 0, "{:?}", world.nodes[0].notices);
    assert_eq!(ended(&world, 0, DisconnectReason::AckTimeout), 0);
    come_to_rest(&mut world);
    check_sums(&world);
}

/// Receivers that answer each send keep their connection; one that stops answering is left in time.
#[test]
fn receipts_that_come_by_themselves() {
    let mut world = World::new(2, 1, DeliveryConfig { ack_mode: AckMode::Inline, ..config() }, 17);
    world.run(10.0 * MINUTE);
    assert_eq!(world.receivers[0].connects.len(), 2, "one each");
    world.fault(world.now, 0, State::Stalled);
    world.run(15.0 * MINUTE);
    assert!(ended(&world, 0, DisconnectReason::AckTimeout) > 0);
    assert_eq!(lost(&world, 0), 1);
    world.restart(world.now, 0, 10_000.0);
    world.run(20.0 * MINUTE);
    come_to_rest(&mut world);
    check_sums(&world);
}

/// An end in order before everything was read is no receipt for the rest.
#[test]
fn a_receiver_that_closes_before_it_has_read_all_gets_the_rest_again() {
    let mut world = World::new(1, 1, config(), 18);
    world.fault(0.0, 0, State::Stalled);
    world.last_interval_ms = 0.0;
    world.interval(0);
    world.interval(0);
    world.run(5000.0);
    let connection = ConnectionId { receiver: 0, number: 1 };
    let early = Event::Acknowledged { connection, up_to: 1, closed: true };
    world.tell(0, early);
    assert_eq!(ended(&world, 0, DisconnectReason::Closed), 1);
    world.fault(world.now, 0, State::Up);
    come_to_rest(&mut world);
    check_sums(&world);
}

#[test]
fn receivers_that_are_added_and_removed_move_only_the_paths_that_must() {
    let mut world = World::new(1, 4, config(), 10);
    world.run(5.0 * MINUTE);
    let holds = |world: &World, receiver: usize, from: u64| -> Vec<u16> {
        let store = &world.receivers[receiver].store;
        let newer = |slots: &std::collections::BTreeMap<u64, f64>| slots.range(from..).next().is_some();
        let mut points: Vec<u16> =
            store.iter().filter(|(_, slots)| newer(slots)).map(|((_, p), _)| *p).collect();
        points.sort_unstable();
        points
    };
    let before: Vec<Vec<u16>> = (0..4).map(|receiver| holds(&world, receiver, 0)).collect();
    let names: Vec<String> = [0, 2, 3].into_iter().map(sim::name).collect();
    world.tell(0, Event::ReceiversChanged(names));
    let from = (world.now / 1000.0) as u64 + 10;
    world.run(10.0 * MINUTE);
    assert!(holds(&world, 1, from).is_empty());
    for receiver in [0, 2, 3] {
        let after = holds(&world, receiver, from);
        assert!(before[receiver].iter().all(|point| after.contains(point)), "{receiver} lost a path");
    }
    world.tell(0, Event::ReceiversChanged((0..4).map(sim::name).collect()));
    let from = (world.now / 1000.0) as u64 + 70;
    world.run(15.0 * MINUTE);
    let after: Vec<Vec<u16>> = (0..4).map(|receiver| holds(&world, receiver, from)).collect();
    assert_eq!(after, before);
    come_to_rest(&mut world);
    check_sums(&world);
}

/// At the end everything that is left goes out at once, over connections that are closed in order.
#[test]
fn the_last_interval_goes_out_at_once() {
    let mut world = World::new(1, 2, config(), 11);
    world.run(3.0 * MINUTE + 4000.0);
    world.last_interval_ms = world.now;
    world.interval(0);
    world.tell(0, Event::Shutdown);
    let left = world.now;
    while !world.nodes[0].delivery.is_done() && world.now < left + 1000.0 {
        world.run(world.now + 1.0);
    }
    assert!(world.now - left < 50.0, "{} ms", world.now - left);
    check_sums(&world);
}

/// With a receiver that stalls there is no end; the process that asks is not held up by that.
#[test]
fn a_stalled_receiver_at_the_end_leaves_what_it_owes_and_nothing_else() {
    let mut world = World::new(1, 2, config(), 12);
    world.run(3.0 * MINUTE);
    world.fault(world.now, 0, State::Stalled);
    world.run(world.now + 1.0);
    world.last_interval_ms = world.now;
    world.interval(0);
    world.tell(0, Event::Shutdown);
    world.run(world.now + 200.0);
    assert!(!world.nodes[0].delivery.is_done());
    assert_eq!(ended(&world, 0, DisconnectReason::AckTimeout), 0, "it is not waited for");
}

/// 500 processes lose one receiver together. They come back spread, and with little each.
#[test]
fn five_hundred_that_lost_a_receiver_together_do_not_come_back_together() {
    let mut world = World::new(500, 1, config(), 13);
    world.run(2.0 * MINUTE);
    world.restart(2.0 * MINUTE + 1.0, 0, 5.0 * MINUTE);
    world.run(7.0 * MINUTE);
    let back = world.now;
    world.run(back + MINUTE);
    let connects = &world.receivers[0].connects;
    let in_second = |from: f64| connects.iter().filter(|at| (from..from + 1000.0).contains(*at)).count();
    let busiest = (0..60).map(|second| in_second(back + f64::from(second) * 1000.0)).max();
    // Each makes a probe and a few connections with growing loads, begun within the longest wait of 30 s.
    assert!(busiest < Some(300), "{busiest:?} connections of 500 in one second");
    come_to_rest(&mut world);
    check_sums(&world);
}

#[derive(Clone, Debug)]
struct Fault {
    at: f64,
    receiver: usize,
    kind: u8,
    for_ms: f64,
}

fn fault() -> impl Strategy<Value = Fault> {
    (0.0..1200.0_f64, 0..3_usize, 0..5_u8, 0.0..400.0_f64).prop_map(|(at, receiver, kind, long)| Fault {
        at: at * 1000.0,
        receiver,
        kind,
        for_ms: long * 1000.0,
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
        copies in 1..=2_u32,
        changes in proptest::collection::vec((0.0..1200.0_f64, 1..8_u8), 0..3),
        seed in any::<u64>(),
    ) {
        let bounds = Bounds { bytes: 16_000, window: 4, ..config().spool };
        let mut world = World::new(2, receivers, DeliveryConfig { replication: copies, spool: bounds, ..config() }, seed);
        for Fault { at, receiver, kind, for_ms } in faults {
            let receiver = receiver % receivers;
            match kind {
                0 => world.restart(at, receiver, for_ms),
                kind => {
                    let state = [State::Stalled, State::Down, State::Dripping(700.0), State::Dripping(9000.0)];
                    world.fault(at, receiver, state[usize::from(kind) - 1]);
                    world.fault(at + for_ms, receiver, State::Up);
                }
            }
        }
        let mut changes = changes;
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, set) in changes {
            world.run(at * 1000.0);
            let names = (0..receivers).filter(|n| set & (1 << n) != 0).map(sim::name).collect::<Vec<_>>();
            if !names.is_empty() {
                world.tell(0, Event::ReceiversChanged(names));
            }
        }
        world.run(20.0 * MINUTE);
        prop_assert!(world.nodes.iter().all(|node| node.most_bytes <= bounds.bytes));
        world.tell(0, Event::ReceiversChanged((0..receivers).map(sim::name).collect()));
        come_to_rest(&mut world);
        check_sums(&world);
    }
}
