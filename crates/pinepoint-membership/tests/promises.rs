//! Guarantees in numbers, in simulated time: how soon a crash is detected, false positives, cost, and verdicts.

mod sim;

use pinepoint_events::ReasonCode;
use pinepoint_membership::diagnosis::VerdictKind;
use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase};
use pinepoint_membership::membership::{FailureDetector, MembershipSettings, Notification};
use pinepoint_membership::wire::{Packet, PacketBody, SenderState};
use sim::{Network, Simulation, address};

fn settings(detector: FailureDetector) -> MembershipSettings {
    MembershipSettings { detector, ..MembershipSettings::default() }
}

/// Verdicts that came to hold anywhere, each once.
fn verdicts_made(simulation: &Simulation) -> Vec<(VerdictKind, String)> {
    let mut all: Vec<(VerdictKind, String)> = Vec::new();
    for notification in simulation.notifications() {
        if let Notification::VerdictChanged(change) = notification
            && change.holds
        {
            let verdict = (change.verdict.kind, change.verdict.subject.clone());
            // All members of a simulation start at once, and say so.
            if !all.contains(&verdict) && verdict.0 != VerdictKind::FleetStart {
                all.push(verdict);
            }
        }
    }
    all.sort();
    all
}

#[test]
fn a_crash_is_held_lost_by_all_within_eight_periods_at_a_hundred_members() {
    let mut last: Vec<f64> = (0..10)
        .map(|seed| {
            let mut simulation = Simulation::settled(100, 3, settings(FailureDetector::Lifeguard), seed);
            let since = simulation.now;
            simulation.kill(31);
            simulation.run(20.0);
            let times = simulation.notification_times(31, Liveness::Lost, since);
            assert_eq!(times.len(), 99, "seed {seed}: all hold it lost");
            times[98] / sim::PERIOD
        })
        .collect();
    last.sort_by(f64::total_cmp);
    println!("periods till all: {last:?}");
    assert!(last[9] <= 8.0, "{last:?}");
}

#[test]
fn members_that_live_are_not_held_lost_at_a_twentieth_lost() {
    for seed in 0..3 {
        let mut simulation = Simulation::settled(60, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.net.loss = 0.05;
        simulation.run(200.0);
        assert_eq!(simulation.false_positives(Liveness::Lost), 0, "seed {seed}");
    }
}

/// Members wrongly held lost by others while a tenth is paused in turns, each for three periods.
fn wrongly_lost_with_pauses(detector: FailureDetector, seed: u64) -> usize {
    let mut simulation = Simulation::settled(60, 3, settings(detector), seed);
    let mut paused: Vec<usize> = Vec::new();
    let mut lost = 0;
    for round in 0..20 {
        let before = paused.clone();
        paused.iter().for_each(|at| simulation.resume(*at));
        paused = (0..6).map(|n| (round * 6 + n * 10) % 60).collect();
        paused.iter().for_each(|at| simulation.pause(*at));
        simulation.run(3.0);
        // Accused by one that was paused itself: what own trouble is about.
        let names: Vec<String> = (0..60)
            .filter(|at| !paused.contains(at) && !before.contains(at))
            .map(|at| simulation.nodes[at].name.clone())
            .collect();
        let wrong = |notification: &Notification| {
            matches!(notification, Notification::MemberChanged { record, .. }
            if record.liveness != Liveness::Alive && names.contains(&record.identity.name))
        };
        lost += simulation.notifications().filter(|notification| wrong(notification)).count();
        simulation.clear_records();
    }
    lost
}

#[test]
fn one_that_was_paused_accuses_hardly_anyone_where_plain_swim_does() {
    let sum = |detector| (0..3).map(|seed| wrongly_lost_with_pauses(detector, seed)).sum::<usize>();
    let (own, plain) = (sum(FailureDetector::Lifeguard), sum(FailureDetector::Swim));
    println!("accusations of members that were not paused: {own} against {plain} of plain SWIM");
    assert!(plain >= 5 * own.max(1), "{own} against {plain}");
}

#[test]
fn what_it_costs_a_member_does_not_grow_with_the_fleet() {
    let cost = |n: usize| {
        let mut simulation = Simulation::settled(n, 3, settings(FailureDetector::Lifeguard), 1);
        simulation.run(10.0);
        simulation.clear_records();
        simulation.run(30.0);
        (simulation.datagrams as f64 / 30.0 / n as f64, simulation.bytes as f64 / 30.0 / n as f64)
    };
    let (small, large) = (cost(25), cost(150));
    println!("datagrams and bytes a member and period: {small:?} at 25, {large:?} at 150 members");
    assert!(large.0 <= 1.3 * small.0 && large.1 <= 1.3 * small.1);
}

#[test]
fn a_zone_that_is_killed_cut_off_or_does_not_hear_is_judged_so() {
    // Killed, and whether anybody listens there is not known.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 5);
    (0..30).filter(|at| at % 3 == 1).for_each(|at| simulation.kill(at));
    simulation.run(14.0);
    assert_eq!(verdicts_made(&simulation), [(VerdictKind::ZoneUnreachable, "z1".to_owned())]);

    // Killed, and the system of others says that nobody listens.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 6);
    (0..30).filter(|at| at % 3 == 1).for_each(|at| simulation.kill(at));
    for at in (0..30).filter(|at| at % 3 != 1) {
        for zone in (0..30).filter(|at| at % 3 == 1) {
            simulation.handle(at, pinepoint_membership::membership::Event::ConnectionRefused(address(zone)));
        }
    }
    simulation.run(14.0);
    assert_eq!(verdicts_made(&simulation), [(VerdictKind::ZoneLost, "z1".to_owned())]);

    // Cut off: those within know that it is they, those outside that the zone is gone.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 7);
    simulation.net.partitions = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
    simulation.run(25.0);
    for (at, membership) in simulation.running() {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        let kinds: Vec<VerdictKind> =
            kinds.into_iter().filter(|kind| *kind != VerdictKind::FleetStart).collect();
        let wanted = if at % 3 == 1 { VerdictKind::SelfCutOff } else { VerdictKind::ZoneUnreachable };
        assert_eq!(kinds, [wanted], "n{at}");
    }

    // Its messages still come out, and nothing goes in.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 8);
    simulation.net.cut_links = (0..30)
        .flat_map(|from| (0..30).map(move |to| (from, to)))
        .filter(|(from, to)| from % 3 != 1 && to % 3 == 1)
        .collect();
    simulation.run(20.0);
    assert!(
        verdicts_made(&simulation).contains(&(VerdictKind::ZoneCutOff, "z1".to_owned())),
        "{:?}",
        verdicts_made(&simulation)
    );
}

#[test]
fn one_that_loses_most_at_once_knows_that_it_is_cut_off_itself() {
    for seed in 0..5 {
        let mut simulation = Simulation::settled(20, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.net.partitions = (0..20).map(|at| usize::from(at == 7)).collect();
        simulation.run(40.0);
        let own = simulation.nodes[7].membership.as_ref().expect("it runs");
        assert!(own.verdicts().any(|verdict| verdict.kind == VerdictKind::SelfCutOff), "seed {seed}");
        let others = simulation.running().filter(|(at, _)| *at != 7);
        assert!(
            others
                .flat_map(|(_, membership)| membership.verdicts())
                .all(|v| v.kind != VerdictKind::SelfCutOff),
            "seed {seed}"
        );
    }
}

#[test]
fn one_dead_direction_of_a_link_is_seen_by_the_one_who_is_not_heard() {
    let mut simulation = Simulation::settled(8, 2, settings(FailureDetector::Lifeguard), 3);
    simulation.net.cut_links = vec![(2, 5)];
    simulation.run(60.0);
    assert_eq!(simulation.false_positives(Liveness::Lost), 0, "others can ask");
    assert!(
        verdicts_made(&simulation).contains(&(VerdictKind::OneWay, "n5".to_owned())),
        "{:?}",
        verdicts_made(&simulation)
    );
}

#[test]
fn crashes_drains_slow_members_and_loss_make_no_verdict() {
    for seed in 0..6 {
        let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.run(100.0);
        simulation.clear_records();
        simulation.net = Network { loss: 0.05, max_delay_ms: 60.0, ..Network::default() };
        for at in [4, 9, 14] {
            simulation.leave(at);
            simulation.run(4.0);
            simulation.start(at);
            simulation.run(4.0);
        }
        simulation.kill(20);
        simulation.pause(21);
        simulation.run(10.0);
        simulation.resume(21);
        simulation.run(20.0);
        let wrong: Vec<_> =
            verdicts_made(&simulation).into_iter().filter(|(kind, _)| *kind != VerdictKind::OneWay).collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn a_zone_that_flaps_is_held_gone_and_its_verdict_changes_rarely() {
    for seed in 0..3 {
        let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), seed);
        let rounds = 30;
        for _ in 0..rounds {
            simulation.net.partitions = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
            simulation.run(14.0);
            simulation.net.partitions.clear();
            simulation.run(14.0);
        }
        let of_zone = |notification: &Notification| matches!(notification, Notification::VerdictChanged(change) if change.verdict.subject == "z1");
        for at in (0..30).filter(|at| at % 3 != 1) {
            let changes: Vec<f64> = simulation.nodes[at]
                .notifications
                .iter()
                .filter(|(_, t)| of_zone(t))
                .map(|(when, _)| *when)
                .collect();
            assert!(!changes.is_empty(), "seed {seed}: n{at} judged nothing");
            // Twice a round, were it not held.
            assert!(
                changes.len() <= 12,
                "seed {seed}: n{at} changed its mind {} times in {rounds} rounds",
                changes.len()
            );
        }
        // And it is over in the end.
        simulation.run(100.0);
        let holds = simulation
            .running()
            .filter(|(_, membership)| membership.verdicts().any(|v| v.subject == "z1"))
            .count();
        assert_eq!(holds, 0, "seed {seed}");
    }
}

/// What the larger side judges wrongly of itself and of its own zones when a zone that was cut off comes back and tells what
/// it held meanwhile: that all others are gone.
fn wrongly_judged_after_a_cut(members: usize, periods: f64, seed: u64) -> Vec<(VerdictKind, String)> {
    let mut simulation = Simulation::settled(members, 3, settings(FailureDetector::Lifeguard), seed);
    simulation.net.partitions = (0..members).map(|at| usize::from(at % 3 == 1)).collect();
    simulation.run(periods);
    simulation.net.partitions.clear();
    simulation.run(20.0);
    let mut wrong = Vec::new();
    for (_, node) in simulation.nodes.iter().enumerate().filter(|(at, _)| at % 3 != 1) {
        for (_, notification) in &node.notifications {
            if let Notification::VerdictChanged(change) = notification
                && change.holds
                && change.verdict.subject != "z1"
                && !matches!(change.verdict.kind, VerdictKind::OneWay | VerdictKind::FleetStart)
            {
                wrong.push((change.verdict.kind, change.verdict.subject.clone()));
            }
        }
    }
    wrong
}

#[test]
fn a_zone_that_comes_back_does_not_make_the_others_judge_themselves_cut_off() {
    let mut wrong = Vec::new();
    for seed in 0..4 {
        for periods in [3.0, 5.0, 8.0, 14.0, 40.0] {
            let found = wrongly_judged_after_a_cut(30, periods, seed);
            wrong.extend((!found.is_empty()).then(|| (seed, periods, found.len(), found[0].clone())));
        }
    }
    assert!(wrong.is_empty(), "{} of 20 courses: {wrong:?}", wrong.len());
}

#[test]
fn a_restart_long_ago_says_nothing_of_a_zone_that_goes_now() {
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 3);
    simulation.kill(4);
    simulation.run(20.0);
    simulation.start(4);
    simulation.run(60.0);
    simulation.clear_records();
    simulation.net.partitions = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
    simulation.run(25.0);
    let outside = simulation.running().filter(|(at, _)| at % 3 != 1);
    for (at, membership) in outside {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        assert_eq!(kinds, [VerdictKind::ZoneUnreachable], "n{at}");
    }
}

#[test]
fn a_start_of_the_whole_fleet_is_told_from_a_rolling_deploy() {
    let mut simulation = Simulation::settled(12, 3, settings(FailureDetector::Lifeguard), 2);
    simulation.run(120.0);
    assert!(
        simulation.running().all(|(_, f)| f.verdicts().all(|v| v.kind != VerdictKind::FleetStart)),
        "long over"
    );
    (0..12).for_each(|at| simulation.kill(at));
    (0..12).for_each(|at| simulation.start(at));
    simulation.run(40.0);
    let count_fleet_starts = |simulation: &Simulation| {
        simulation.running().filter(|(_, f)| f.verdicts().any(|v| v.kind == VerdictKind::FleetStart)).count()
    };
    assert_eq!(count_fleet_starts(&simulation), 12);
    simulation.run(200.0);
    simulation.clear_records();
    for at in 0..12 {
        simulation.leave(at);
        simulation.start(at);
        simulation.run(6.0);
    }
    assert_eq!(count_fleet_starts(&simulation), 0, "a rolling deploy is no start of the fleet");
}

#[test]
fn two_processes_of_one_name_are_found_and_both_say_so() {
    let mut simulation = Simulation::settled(10, 2, settings(FailureDetector::Lifeguard), 4);
    simulation.nodes[8].name = "n3".into();
    simulation.kill(8);
    simulation.start(8);
    simulation.run(20.0);
    for at in [3, 8] {
        let membership = simulation.nodes[at].membership.as_ref().expect("it runs");
        assert!(membership.verdicts().any(|v| v.kind == VerdictKind::NameClash), "n{at} says nothing");
    }
}

fn forged(of: usize, generation: u64, liveness: Liveness, incarnation: u32) -> MemberRecord {
    let identity = Identity {
        name: format!("n{of}"),
        zone: "z0".into(),
        address: ([10, 9, 9, 9], 7000).into(),
        cores: 4,
        instance: 77,
    };
    MemberRecord {
        identity: identity.into(),
        generation,
        incarnation,
        phase: Phase::Serving,
        liveness,
        accuser: 0,
    }
}

#[test]
fn forged_starts_and_incarnations_do_bounded_harm_and_are_told() {
    let mut simulation = Simulation::settled(10, 2, settings(FailureDetector::Lifeguard), 4);
    let now = simulation.now as u64;
    let sender =
        |record| SenderState { record, load: Load::default(), digest: 0, known_members: 1, now_ms: 0.0 };
    let mut stranger = forged(0, now, Liveness::Alive, 0);
    stranger.identity = Identity { name: "stranger".into(), ..(*stranger.identity).clone() }.into();
    let own = simulation.nodes[6].membership.as_ref().expect("it runs").local_record().clone();
    let updates = vec![
        forged(3, u64::MAX, Liveness::Alive, 0),
        forged(4, now + 5000, Liveness::Lost, 0),
        MemberRecord { liveness: Liveness::Lost, incarnation: u32::MAX, ..own },
    ];
    simulation.inject_packet(1, Packet { sender: sender(stranger), body: PacketBody::Gossip, updates });
    simulation.run(1.0);
    let is_rejection =
        |notification: &Notification| matches!(notification, Notification::RecordRejected { .. });
    assert!(simulation.notifications_of(1).any(is_rejection), "nothing is told of the forged start");
    // The stranger never answers and is lost in the end; those it spoke of are themselves again.
    let took = simulation.run_until_converged(40.0);
    assert!(took.is_some(), "{}", simulation.view_errors());
}

#[test]
fn at_the_bound_of_members_the_gone_give_way_and_no_one_else_is_taken() {
    let mut simulation =
        Simulation::new(20, 2, MembershipSettings { max_members: 12, ..MembershipSettings::default() }, 1);
    (0..20).for_each(|at| simulation.start(at));
    simulation.run(40.0);
    assert!(simulation.running().all(|(_, membership)| membership.table().len() <= 11));
    assert!(simulation.running().any(|(_, membership)| membership.table().len() == 11));
    let is_full = |notification: &Notification| matches!(notification, Notification::RecordRejected { reason, .. } if reason.code() == "full");
    assert!(simulation.notifications().any(is_full), "nothing is told of it");
}
