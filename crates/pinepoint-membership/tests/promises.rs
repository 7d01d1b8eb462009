//! What the view promises in numbers, in simulated time: who is held lost when, who is accused wrongly, what it costs, and
//! what is judged.

mod sim;

use pinepoint_membership::diagnosis::VerdictKind;
use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase};
use pinepoint_membership::membership::{FailureDetector, MembershipSettings, Notification};
use pinepoint_membership::wire::{Packet, PacketBody, SenderState};
use sim::{Net, World, address};

fn rules(detector: FailureDetector) -> MembershipSettings {
    MembershipSettings { detector, ..MembershipSettings::default() }
}

/// Verdicts that came to hold anywhere, each once.
fn judged(world: &World) -> Vec<(VerdictKind, String)> {
    let mut all: Vec<(VerdictKind, String)> = Vec::new();
    for (_, told) in world.nodes.iter().flat_map(|node| &node.told) {
        if let Notification::VerdictChanged(change) = told
            && change.holds
        {
            let verdict = (change.verdict.kind, change.verdict.subject.clone());
            // All worlds here start at once, and their members say so.
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
            let mut world = World::settled(100, 3, rules(FailureDetector::Lifeguard), seed);
            let since = world.now;
            world.kill(31);
            world.run(20.0);
            let times = world.told_of(31, Liveness::Lost, since);
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
        let mut world = World::settled(60, 3, rules(FailureDetector::Lifeguard), seed);
        world.net.loss = 0.05;
        world.run(200.0);
        assert_eq!(world.wrongly(Liveness::Lost), 0, "seed {seed}");
    }
}

/// Members wrongly held lost by others while a tenth is paused in turns, each for three periods.
fn wrongly_lost_with_pauses(detector: FailureDetector, seed: u64) -> usize {
    let mut world = World::settled(60, 3, rules(detector), seed);
    let mut paused: Vec<usize> = Vec::new();
    let mut lost = 0;
    for round in 0..20 {
        let before = paused.clone();
        paused.iter().for_each(|at| world.go_on(*at));
        paused = (0..6).map(|n| (round * 6 + n * 10) % 60).collect();
        paused.iter().for_each(|at| world.stop(*at));
        world.run(3.0);
        // Accused by one that was paused itself: what own trouble is about.
        let names: Vec<String> = (0..60)
            .filter(|at| !paused.contains(at) && !before.contains(at))
            .map(|at| world.nodes[at].name.clone())
            .collect();
        let wrong = |told: &Notification| {
            matches!(told, Notification::MemberChanged { record, .. }
            if record.liveness != Liveness::Alive && names.contains(&record.identity.name))
        };
        lost += world.nodes.iter().flat_map(|node| &node.told).filter(|(_, told)| wrong(told)).count();
        world.clear();
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
        let mut world = World::settled(n, 3, rules(FailureDetector::Lifeguard), 1);
        world.run(10.0);
        world.clear();
        world.run(30.0);
        (world.datagrams as f64 / 30.0 / n as f64, world.bytes as f64 / 30.0 / n as f64)
    };
    let (small, large) = (cost(25), cost(150));
    println!("datagrams and bytes a member and period: {small:?} at 25, {large:?} at 150 members");
    assert!(large.0 <= 1.3 * small.0 && large.1 <= 1.3 * small.1);
}

#[test]
fn a_zone_that_is_killed_cut_off_or_does_not_hear_is_judged_so() {
    // Killed, and whether anybody listens there is not known.
    let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), 5);
    (0..30).filter(|at| at % 3 == 1).for_each(|at| world.kill(at));
    world.run(14.0);
    assert_eq!(judged(&world), [(VerdictKind::ZoneUnreachable, "z1".to_owned())]);

    // Killed, and the system of others says that nobody listens.
    let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), 6);
    (0..30).filter(|at| at % 3 == 1).for_each(|at| world.kill(at));
    for at in (0..30).filter(|at| at % 3 != 1) {
        for zone in (0..30).filter(|at| at % 3 == 1) {
            world.tell(at, pinepoint_membership::membership::Event::ConnectionRefused(address(zone)));
        }
    }
    world.run(14.0);
    assert_eq!(judged(&world), [(VerdictKind::ZoneLost, "z1".to_owned())]);

    // Cut off: those within know that it is they, those outside that the zone is gone.
    let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), 7);
    world.net.parts = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
    world.run(25.0);
    for (at, membership) in world.running() {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        let kinds: Vec<VerdictKind> =
            kinds.into_iter().filter(|kind| *kind != VerdictKind::FleetStart).collect();
        let wanted = if at % 3 == 1 { VerdictKind::SelfCutOff } else { VerdictKind::ZoneUnreachable };
        assert_eq!(kinds, [wanted], "n{at}");
    }

    // Its messages still come out, and nothing goes in.
    let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), 8);
    world.net.cut = (0..30)
        .flat_map(|from| (0..30).map(move |to| (from, to)))
        .filter(|(from, to)| from % 3 != 1 && to % 3 == 1)
        .collect();
    world.run(20.0);
    assert!(judged(&world).contains(&(VerdictKind::ZoneCutOff, "z1".to_owned())), "{:?}", judged(&world));
}

#[test]
fn one_that_loses_most_at_once_knows_that_it_is_cut_off_itself() {
    for seed in 0..5 {
        let mut world = World::settled(20, 3, rules(FailureDetector::Lifeguard), seed);
        world.net.parts = (0..20).map(|at| usize::from(at == 7)).collect();
        world.run(40.0);
        let own = world.nodes[7].membership.as_ref().expect("it runs");
        assert!(own.verdicts().any(|verdict| verdict.kind == VerdictKind::SelfCutOff), "seed {seed}");
        let others = world.running().filter(|(at, _)| *at != 7);
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
    let mut world = World::settled(8, 2, rules(FailureDetector::Lifeguard), 3);
    world.net.cut = vec![(2, 5)];
    world.run(60.0);
    assert_eq!(world.wrongly(Liveness::Lost), 0, "others can ask");
    assert!(judged(&world).contains(&(VerdictKind::OneWay, "n5".to_owned())), "{:?}", judged(&world));
}

#[test]
fn crashes_drains_slow_members_and_loss_make_no_verdict() {
    for seed in 0..6 {
        let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), seed);
        world.run(100.0);
        world.clear();
        world.net = Net { loss: 0.05, delay: 60.0, ..Net::default() };
        for at in [4, 9, 14] {
            world.leave(at);
            world.run(4.0);
            world.start(at);
            world.run(4.0);
        }
        world.kill(20);
        world.stop(21);
        world.run(10.0);
        world.go_on(21);
        world.run(20.0);
        let wrong: Vec<_> =
            judged(&world).into_iter().filter(|(kind, _)| *kind != VerdictKind::OneWay).collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn a_zone_that_flaps_is_held_gone_and_its_verdict_changes_rarely() {
    for seed in 0..3 {
        let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), seed);
        let rounds = 30;
        for _ in 0..rounds {
            world.net.parts = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
            world.run(14.0);
            world.net.parts.clear();
            world.run(14.0);
        }
        let of_zone = |told: &Notification| matches!(told, Notification::VerdictChanged(change) if change.verdict.subject == "z1");
        for at in (0..30).filter(|at| at % 3 != 1) {
            let told: Vec<f64> =
                world.nodes[at].told.iter().filter(|(_, t)| of_zone(t)).map(|(when, _)| *when).collect();
            assert!(!told.is_empty(), "seed {seed}: n{at} judged nothing");
            // Twice a round, were it not held.
            assert!(
                told.len() <= 12,
                "seed {seed}: n{at} changed its mind {} times in {rounds} rounds",
                told.len()
            );
        }
        // And it is over in the end.
        world.run(100.0);
        let holds = world
            .running()
            .filter(|(_, membership)| membership.verdicts().any(|v| v.subject == "z1"))
            .count();
        assert_eq!(holds, 0, "seed {seed}");
    }
}

/// What the larger side judges wrongly of itself and of its own zones when a zone that was cut off comes back and tells what
/// it held meanwhile: that all others are gone.
fn wrongly_judged_after_a_cut(members: usize, periods: f64, seed: u64) -> Vec<(VerdictKind, String)> {
    let mut world = World::settled(members, 3, rules(FailureDetector::Lifeguard), seed);
    world.net.parts = (0..members).map(|at| usize::from(at % 3 == 1)).collect();
    world.run(periods);
    world.net.parts.clear();
    world.run(20.0);
    let mut wrong = Vec::new();
    for (_, node) in world.nodes.iter().enumerate().filter(|(at, _)| at % 3 != 1) {
        for (_, told) in &node.told {
            if let Notification::VerdictChanged(change) = told
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
    let mut world = World::settled(30, 3, rules(FailureDetector::Lifeguard), 3);
    world.kill(4);
    world.run(20.0);
    world.start(4);
    world.run(60.0);
    world.clear();
    world.net.parts = (0..30).map(|at| usize::from(at % 3 == 1)).collect();
    world.run(25.0);
    let outside = world.running().filter(|(at, _)| at % 3 != 1);
    for (at, membership) in outside {
        let kinds: Vec<VerdictKind> = membership.verdicts().map(|verdict| verdict.kind).collect();
        assert_eq!(kinds, [VerdictKind::ZoneUnreachable], "n{at}");
    }
}

#[test]
fn a_start_of_the_whole_fleet_is_told_from_a_rolling_deploy() {
    let mut world = World::settled(12, 3, rules(FailureDetector::Lifeguard), 2);
    world.run(120.0);
    assert!(
        world.running().all(|(_, f)| f.verdicts().all(|v| v.kind != VerdictKind::FleetStart)),
        "long over"
    );
    (0..12).for_each(|at| world.kill(at));
    (0..12).for_each(|at| world.start(at));
    world.run(40.0);
    let judge = |world: &World| {
        world.running().filter(|(_, f)| f.verdicts().any(|v| v.kind == VerdictKind::FleetStart)).count()
    };
    assert_eq!(judge(&world), 12);
    world.run(200.0);
    world.clear();
    for at in 0..12 {
        world.leave(at);
        world.start(at);
        world.run(6.0);
    }
    assert_eq!(judge(&world), 0, "a rolling deploy is no start of the fleet");
}

#[test]
fn two_processes_of_one_name_are_found_and_both_say_so() {
    let mut world = World::settled(10, 2, rules(FailureDetector::Lifeguard), 4);
    world.nodes[8].name = "n3".into();
    world.kill(8);
    world.start(8);
    world.run(20.0);
    for at in [3, 8] {
        let membership = world.nodes[at].membership.as_ref().expect("it runs");
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
    let mut world = World::settled(10, 2, rules(FailureDetector::Lifeguard), 4);
    let now = world.now as u64;
    let sender =
        |record| SenderState { record, load: Load::default(), digest: 0, known_members: 1, now_ms: 0.0 };
    let mut stranger = forged(0, now, Liveness::Alive, 0);
    stranger.identity = Identity { name: "stranger".into(), ..(*stranger.identity).clone() }.into();
    let own = world.nodes[6].membership.as_ref().expect("it runs").local_record().clone();
    let updates = vec![
        forged(3, u64::MAX, Liveness::Alive, 0),
        forged(4, now + 5000, Liveness::Lost, 0),
        MemberRecord { liveness: Liveness::Lost, incarnation: u32::MAX, ..own },
    ];
    world.forge(1, Packet { sender: sender(stranger), body: PacketBody::Gossip, updates });
    world.run(1.0);
    let told = |told: &Notification| matches!(told, Notification::RecordRejected { .. });
    assert!(world.nodes[1].told.iter().any(|(_, t)| told(t)), "nothing is told of the forged start");
    // The stranger never answers and is lost in the end; those it spoke of are themselves again.
    let took = world.await_truth(40.0);
    assert!(took.is_some(), "{}", world.untrue());
}

#[test]
fn at_the_bound_of_members_the_gone_give_way_and_no_one_else_is_taken() {
    let mut world =
        World::new(20, 2, MembershipSettings { max_members: 12, ..MembershipSettings::default() }, 1);
    (0..20).for_each(|at| world.start(at));
    world.run(40.0);
    assert!(world.running().all(|(_, membership)| membership.table().len() <= 11));
    assert!(world.running().any(|(_, membership)| membership.table().len() == 11));
    let full = |told: &Notification| matches!(told, Notification::RecordRejected { reason: why, .. } if pinepoint_events::ReasonCode::code(*why) == "full");
    assert!(world.nodes.iter().flat_map(|node| &node.told).any(|(_, t)| full(t)), "nothing is told of it");
}
