//! Quantitative guarantees, checked in simulated time: detection time of a crash, false positives, cost, and
//! verdicts.

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

/// Verdicts made by any member, each listed once.
fn verdicts_made(simulation: &Simulation) -> Vec<(VerdictKind, String)> {
    let mut all: Vec<(VerdictKind, String)> = Vec::new();
    for notification in simulation.notifications() {
        if let Notification::VerdictChanged(change) = notification
            && change.holds
        {
            let verdict = (change.verdict.kind, change.verdict.subject.clone());
            // All members of a simulation start at once, which makes a verdict of its own.
            if !all.contains(&verdict) && verdict.0 != VerdictKind::FleetStart {
                all.push(verdict);
            }
        }
    }
    all.sort();
    all
}

#[test]
fn hundred_members_detect_crash_within_eight_periods() {
    let mut last: Vec<f64> = (0..10)
        .map(|seed| {
            let mut simulation = Simulation::settled(100, 3, settings(FailureDetector::Lifeguard), seed);
            let since = simulation.now;
            simulation.kill(31);
            simulation.run(20.0);
            let times = simulation.notification_times(31, Liveness::Lost, since);
            assert_eq!(times.len(), 99, "seed {seed}: all other members must declare the crashed one lost");
            times[98] / sim::PERIOD_MS
        })
        .collect();
    last.sort_by(f64::total_cmp);
    println!("periods until all members detected the crash, per seed: {last:?}");
    assert!(last[9] <= 8.0, "expected at most 8 periods: {last:?}");
}

#[test]
fn no_false_losses_at_five_percent_datagram_loss() {
    for seed in 0..3 {
        let mut simulation = Simulation::settled(60, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.network.loss = 0.05;
        simulation.run(200.0);
        assert_eq!(simulation.false_positives(Liveness::Lost), 0, "seed {seed}");
    }
}

/// Number of false suspicions and losses while a tenth of the members is paused in turns, each for three
/// periods.
fn false_accusations_with_pauses(detector: FailureDetector, seed: u64) -> usize {
    let mut simulation = Simulation::settled(60, 3, settings(detector), seed);
    let mut paused: Vec<usize> = Vec::new();
    let mut accusations = 0;
    for round in 0..20 {
        let resumed = paused.clone();
        paused.iter().for_each(|index| simulation.resume(*index));
        paused = (0..6).map(|n| (round * 6 + n * 10) % 60).collect();
        paused.iter().for_each(|index| simulation.pause(*index));
        simulation.run(3.0);
        // Only members that were not paused lately count: a member that was paused itself may accuse them
        // falsely.
        let names: Vec<String> = (0..60)
            .filter(|index| !paused.contains(index) && !resumed.contains(index))
            .map(|index| simulation.nodes[index].name.clone())
            .collect();
        let is_false = |notification: &Notification| {
            matches!(notification, Notification::MemberChanged { record, .. }
            if record.liveness != Liveness::Alive && names.contains(&record.identity.name))
        };
        accusations += simulation.notifications().filter(|notification| is_false(notification)).count();
        simulation.clear_records();
    }
    accusations
}

#[test]
fn lifeguard_makes_fewer_false_accusations_after_pauses_than_swim() {
    let sum = |detector| (0..3).map(|seed| false_accusations_with_pauses(detector, seed)).sum::<usize>();
    let (lifeguard, swim) = (sum(FailureDetector::Lifeguard), sum(FailureDetector::Swim));
    println!("accusations of members that were not paused: Lifeguard {lifeguard}, plain SWIM {swim}");
    assert!(swim >= 5 * lifeguard.max(1), "false accusations: Lifeguard {lifeguard}, plain SWIM {swim}");
}

#[test]
fn cost_per_member_is_independent_of_fleet_size() {
    let cost = |n: usize| {
        let mut simulation = Simulation::settled(n, 3, settings(FailureDetector::Lifeguard), 1);
        simulation.run(10.0);
        simulation.clear_records();
        simulation.run(30.0);
        (simulation.datagrams as f64 / 30.0 / n as f64, simulation.bytes as f64 / 30.0 / n as f64)
    };
    let (small, large) = (cost(25), cost(150));
    println!("datagrams and bytes per member and period: {small:?} at 25, {large:?} at 150 members");
    assert!(large.0 <= 1.3 * small.0 && large.1 <= 1.3 * small.1);
}

#[test]
fn diagnoses_killed_and_cut_off_zones() {
    // The zone is killed, and it is unknown whether processes listen there.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 5);
    (0..30).filter(|index| index % 3 == 1).for_each(|index| simulation.kill(index));
    simulation.run(14.0);
    assert_eq!(verdicts_made(&simulation), [(VerdictKind::ZoneUnreachable, "z1".to_owned())]);

    // The zone is killed, and the system reports to the other members that no process listens there.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 6);
    (0..30).filter(|index| index % 3 == 1).for_each(|index| simulation.kill(index));
    for index in (0..30).filter(|index| index % 3 != 1) {
        for zone in (0..30).filter(|index| index % 3 == 1) {
            simulation
                .handle(index, pinepoint_membership::membership::Event::ConnectionRefused(address(zone)));
        }
    }
    simulation.run(14.0);
    assert_eq!(verdicts_made(&simulation), [(VerdictKind::ZoneLost, "z1".to_owned())]);

    // The zone is cut off. Members inside report their own isolation, members outside the unreachable zone.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 7);
    simulation.network.partitions = (0..30).map(|index| usize::from(index % 3 == 1)).collect();
    simulation.run(25.0);
    for (index, membership) in simulation.running() {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        let kinds: Vec<VerdictKind> =
            kinds.into_iter().filter(|kind| *kind != VerdictKind::FleetStart).collect();
        let expected = if index % 3 == 1 { VerdictKind::SelfCutOff } else { VerdictKind::ZoneUnreachable };
        assert_eq!(kinds, [expected], "n{index}");
    }

    // The zone still sends datagrams, but receives none.
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 8);
    simulation.network.cut_links = (0..30)
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
fn isolated_member_diagnoses_own_isolation() {
    for seed in 0..5 {
        let mut simulation = Simulation::settled(20, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.network.partitions = (0..20).map(|index| usize::from(index == 7)).collect();
        simulation.run(40.0);
        let isolated = simulation.nodes[7].membership.as_ref().expect("member 7 runs");
        assert!(isolated.verdicts().any(|verdict| verdict.kind == VerdictKind::SelfCutOff), "seed {seed}");
        let others = simulation.running().filter(|(index, _)| *index != 7);
        assert!(
            others
                .flat_map(|(_, membership)| membership.verdicts())
                .all(|verdict| verdict.kind != VerdictKind::SelfCutOff),
            "seed {seed}"
        );
    }
}

#[test]
fn diagnoses_one_way_link() {
    let mut simulation = Simulation::settled(8, 2, settings(FailureDetector::Lifeguard), 3);
    simulation.network.cut_links = vec![(2, 5)];
    simulation.run(60.0);
    assert_eq!(simulation.false_positives(Liveness::Lost), 0, "indirect probes must keep n5 alive");
    assert!(
        verdicts_made(&simulation).contains(&(VerdictKind::OneWay, "n5".to_owned())),
        "{:?}",
        verdicts_made(&simulation)
    );
}

#[test]
fn common_faults_make_no_zone_verdict() {
    for seed in 0..6 {
        let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), seed);
        simulation.run(100.0);
        simulation.clear_records();
        simulation.network = Network { loss: 0.05, max_delay_ms: 60.0, ..Network::default() };
        for index in [4, 9, 14] {
            simulation.leave(index);
            simulation.run(4.0);
            simulation.start(index);
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
fn hold_down_limits_verdict_changes_of_flapping_zone() {
    for seed in 0..3 {
        let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), seed);
        let rounds = 30;
        for _ in 0..rounds {
            simulation.network.partitions = (0..30).map(|index| usize::from(index % 3 == 1)).collect();
            simulation.run(14.0);
            simulation.network.partitions.clear();
            simulation.run(14.0);
        }
        let of_zone = |notification: &Notification| matches!(notification, Notification::VerdictChanged(change) if change.verdict.subject == "z1");
        for index in (0..30).filter(|index| index % 3 != 1) {
            let changes: Vec<f64> = simulation.nodes[index]
                .notifications
                .iter()
                .filter(|(_, notification)| of_zone(notification))
                .map(|(time, _)| *time)
                .collect();
            assert!(!changes.is_empty(), "seed {seed}: n{index} made no verdict about the zone");
            // Without hold-down the verdict would change twice per round.
            assert!(
                changes.len() <= 12,
                "seed {seed}: verdict of n{index} changed {} times in {rounds} rounds, expected at most 12",
                changes.len()
            );
        }
        // The verdict ends after the flapping.
        simulation.run(100.0);
        let active = simulation
            .running()
            .filter(|(_, membership)| membership.verdicts().any(|verdict| verdict.subject == "z1"))
            .count();
        assert_eq!(active, 0, "seed {seed}: members with a verdict about the zone");
    }
}

/// False verdicts of the larger side of a partition about itself and its own zones. They may come about when
/// the zone that was cut off is connected again and gossips its records, in which all other members are lost.
fn false_verdicts_after_partition(members: usize, periods: f64, seed: u64) -> Vec<(VerdictKind, String)> {
    let mut simulation = Simulation::settled(members, 3, settings(FailureDetector::Lifeguard), seed);
    simulation.network.partitions = (0..members).map(|index| usize::from(index % 3 == 1)).collect();
    simulation.run(periods);
    simulation.network.partitions.clear();
    simulation.run(20.0);
    let mut wrong = Vec::new();
    for (_, node) in simulation.nodes.iter().enumerate().filter(|(index, _)| index % 3 != 1) {
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
fn reconnected_zone_causes_no_false_verdicts() {
    let mut wrong = Vec::new();
    for seed in 0..4 {
        for periods in [3.0, 5.0, 8.0, 14.0, 40.0] {
            let found = false_verdicts_after_partition(30, periods, seed);
            wrong.extend((!found.is_empty()).then(|| (seed, periods, found.len(), found[0].clone())));
        }
    }
    assert!(wrong.is_empty(), "false verdicts in {} of 20 scenarios: {wrong:?}", wrong.len());
}

#[test]
fn earlier_restart_does_not_affect_zone_verdict() {
    let mut simulation = Simulation::settled(30, 3, settings(FailureDetector::Lifeguard), 3);
    simulation.kill(4);
    simulation.run(20.0);
    simulation.start(4);
    simulation.run(60.0);
    simulation.clear_records();
    simulation.network.partitions = (0..30).map(|index| usize::from(index % 3 == 1)).collect();
    simulation.run(25.0);
    let outside = simulation.running().filter(|(index, _)| index % 3 != 1);
    for (index, membership) in outside {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        assert_eq!(kinds, [VerdictKind::ZoneUnreachable], "n{index}");
    }
}

#[test]
fn distinguishes_fleet_start_from_rolling_deploy() {
    let mut simulation = Simulation::settled(12, 3, settings(FailureDetector::Lifeguard), 2);
    simulation.run(120.0);
    assert!(
        simulation.running().all(|(_, membership)| membership
            .verdicts()
            .all(|verdict| verdict.kind != VerdictKind::FleetStart)),
        "the verdict about the first start must have ended"
    );
    (0..12).for_each(|index| simulation.kill(index));
    (0..12).for_each(|index| simulation.start(index));
    simulation.run(40.0);
    let count_fleet_starts = |simulation: &Simulation| {
        simulation
            .running()
            .filter(|(_, node)| node.verdicts().any(|verdict| verdict.kind == VerdictKind::FleetStart))
            .count()
    };
    assert_eq!(count_fleet_starts(&simulation), 12);
    simulation.run(200.0);
    simulation.clear_records();
    for index in 0..12 {
        simulation.leave(index);
        simulation.start(index);
        simulation.run(6.0);
    }
    assert_eq!(count_fleet_starts(&simulation), 0, "a rolling deploy must not count as a start of the fleet");
}

#[test]
fn both_processes_report_name_conflict() {
    let mut simulation = Simulation::settled(10, 2, settings(FailureDetector::Lifeguard), 4);
    simulation.nodes[8].name = "n3".into();
    simulation.kill(8);
    simulation.start(8);
    simulation.run(20.0);
    for index in [3, 8] {
        let membership = simulation.nodes[index].membership.as_ref().expect("the member runs");
        assert!(
            membership.verdicts().any(|verdict| verdict.kind == VerdictKind::NameClash),
            "n{index} reports no name conflict"
        );
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
fn recovers_from_forged_generations_and_incarnations() {
    let mut simulation = Simulation::settled(10, 2, settings(FailureDetector::Lifeguard), 4);
    let now = simulation.now as u64;
    let sender =
        |record| SenderState { record, load: Load::default(), digest: 0, known_members: 1, now_ms: 0.0 };
    let mut unknown_member = forged(0, now, Liveness::Alive, 0);
    unknown_member.identity =
        Identity { name: "stranger".into(), ..(*unknown_member.identity).clone() }.into();
    let local = simulation.nodes[6].membership.as_ref().expect("member 6 runs").local_record().clone();
    let updates = vec![
        forged(3, u64::MAX, Liveness::Alive, 0),
        forged(4, now + 5000, Liveness::Lost, 0),
        MemberRecord { liveness: Liveness::Lost, incarnation: u32::MAX, ..local },
    ];
    simulation.inject_packet(1, Packet { sender: sender(unknown_member), body: PacketBody::Gossip, updates });
    simulation.run(1.0);
    let is_rejection =
        |notification: &Notification| matches!(notification, Notification::RecordRejected { .. });
    assert!(simulation.notifications_of(1).any(is_rejection), "the forged generation must be reported");
    // The unknown member never answers and becomes lost. The members that it sent forged records about
    // recover.
    let converged_after = simulation.run_until_converged(40.0);
    assert!(converged_after.is_some(), "{}", simulation.view_errors());
}

#[test]
fn full_table_rejects_further_members() {
    let mut simulation =
        Simulation::new(20, 2, MembershipSettings { max_members: 12, ..MembershipSettings::default() }, 1);
    (0..20).for_each(|index| simulation.start(index));
    simulation.run(40.0);
    assert!(simulation.running().all(|(_, membership)| membership.table().len() <= 11));
    assert!(simulation.running().any(|(_, membership)| membership.table().len() == 11));
    let is_full = |notification: &Notification| matches!(notification, Notification::RecordRejected { reason, .. } if reason.code() == "full");
    assert!(simulation.notifications().any(is_full), "the rejected records must be reported");
}
