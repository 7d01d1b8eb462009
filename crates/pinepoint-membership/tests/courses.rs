//! Whatever happens, after the last fault all hold the same, and it is true. `FLEET_SEED` replays one course.

mod sim;

use pinepoint_membership::membership::MembershipSettings;
use sim::{Net, World};

fn seeds(n: u64) -> Vec<u64> {
    match std::env::var("FLEET_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..n).collect(),
    }
}

/// Runs a course over seeds; after it all has to be true within these periods.
fn hold(members: usize, n: u64, within: f64, course: impl Fn(&mut World)) {
    let mut worst: f64 = 0.0;
    for seed in seeds(n) {
        let mut world = World::settled(members, 3, MembershipSettings::default(), seed);
        course(&mut world);
        let took = world.await_truth(within);
        assert!(took.is_some(), "FLEET_SEED={seed}: not true after {within} periods: {}", world.untrue());
        worst = worst.max(took.unwrap_or_default());
    }
    println!("{members} members, {n} seeds: at most {worst} periods of {within}");
}

#[test]
fn a_member_killed() {
    hold(30, 10, 15.0, |world| world.kill(7));
}

#[test]
fn killed_and_back_within_a_period() {
    hold(30, 10, 15.0, |world| {
        world.kill(7);
        world.run(0.5);
        world.start(7);
    });
}

#[test]
fn stopped_for_eight_periods_and_continued() {
    for seed in seeds(10) {
        let mut world = World::settled(30, 3, MembershipSettings::default(), seed);
        world.stop(7);
        world.run(8.0);
        world.clear();
        world.go_on(7);
        let took = world.await_truth(15.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", world.untrue());
        // It suspects itself before it accuses others.
        use pinepoint_membership::member::Liveness;
        use pinepoint_membership::membership::Notification;
        let accused = world.nodes[7].told.iter().filter(
            |(_, told)| matches!(told, Notification::MemberChanged { record, .. } if record.liveness != Liveness::Alive),
        );
        assert_eq!(accused.count(), 0, "FLEET_SEED={seed}: it accused others");
        assert!(world.nodes[7].told.iter().any(|(_, told)| matches!(told, Notification::Stalled { .. })));
    }
}

#[test]
fn halves_thirds_and_one_alone_heal_after_a_while_and_after_an_hour() {
    for (parts, periods) in [(2, 5.0), (2, 60.0), (3, 60.0), (2, 3600.0)] {
        hold(24, 4, 15.0, |world| {
            world.net.parts = (0..24).map(|at| at % parts).collect();
            world.run(periods);
            world.net.parts.clear();
        });
    }
    hold(24, 6, 15.0, |world| {
        world.net.parts = (0..24).map(|at| usize::from(at == 5)).collect();
        world.run(60.0);
        world.net.parts.clear();
    });
}

#[test]
fn members_leave_crash_and_join_on_both_sides_of_a_partition() {
    hold(24, 8, 20.0, |world| {
        world.net.parts = (0..24).map(|at| at / 12).collect();
        world.run(10.0);
        world.leave(3);
        world.kill(4);
        world.kill(15);
        world.leave(16);
        world.run(5.0);
        world.start(4);
        world.start(15);
        world.run(30.0);
        world.net.parts.clear();
    });
}

#[test]
fn half_the_fleet_replaced_in_steps_with_drains() {
    hold(24, 5, 15.0, |world| {
        for at in 0..12 {
            world.leave(at);
            world.run(1.0);
            world.start(at);
        }
    });
}

#[test]
fn six_in_ten_replaced_within_seven_periods() {
    hold(60, 4, 20.0, |world| {
        for at in 0..36 {
            world.kill(at);
            world.run(7.0 / 36.0);
            world.start(at);
        }
    });
}

#[test]
fn a_zone_killed_and_started_again() {
    hold(30, 6, 15.0, |world| {
        (0..30).filter(|at| at % 3 == 1).for_each(|at| world.kill(at));
        world.run(20.0);
        (0..30).filter(|at| at % 3 == 1).for_each(|at| world.start(at));
    });
}

#[test]
fn loss_one_way_cuts_doubles_and_a_third_of_the_members_slow() {
    hold(30, 6, 20.0, |world| {
        world.net = Net { loss: 0.2, twice: 0.1, delay: 80.0, ..Net::default() };
        world.net.deaf = (0..10).map(|at| (at, 0.3)).collect();
        world.net.cut = vec![(1, 2), (5, 9), (9, 6)];
        world.run(60.0);
        world.net = Net { delay: 5.0, ..Net::default() };
    });
}

#[test]
fn all_seeds_down_at_the_start_then_one_appears() {
    for seed in seeds(6) {
        let mut world = World::new(20, 2, MembershipSettings::default(), seed);
        (3..20).for_each(|at| world.start(at));
        world.run(30.0);
        assert!(
            world.running().all(|(_, membership)| membership.table().is_empty()),
            "there was nobody to ask"
        );
        world.start(1);
        let took = world.await_truth(20.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", world.untrue());
    }
}

#[test]
fn clocks_ten_seconds_off_and_set_back_over_a_restart() {
    hold(20, 6, 20.0, |world| {
        world.kill(4);
        world.nodes[4].clock_off = 10_000.0;
        world.run(10.0);
        world.start(4);
        world.run(10.0);
        world.kill(4);
        world.nodes[4].clock_off = -3_600_000.0;
        world.run(0.5);
        world.start(4);
    });
}

#[test]
fn any_course_of_faults() {
    for seed in seeds(12) {
        let n = 24;
        let mut world = World::settled(n, 3, MembershipSettings::default(), seed);
        for _ in 0..12 {
            let at = world.below(n);
            match world.below(8) {
                0 => world.kill(at),
                1 if world.nodes[at].membership.is_some() => world.leave(at),
                2 => world.stop(at),
                3 => world.net.parts = (0..n).map(|other| usize::from(other < at)).collect(),
                4 => world.net.loss = 0.2,
                5 => world.net = Net { delay: 5.0, ..Net::default() },
                6 => {
                    let to = world.below(n);
                    world.net.cut.push((at, to));
                }
                _ if world.nodes[at].membership.is_none() => world.start(at),
                _ => {}
            }
            let periods = world.below(12) as f64;
            world.run(periods);
        }
        world.net = Net { delay: 5.0, ..Net::default() };
        (0..n)
            .filter(|at| world.nodes[*at].stopped)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| world.go_on(at));
        let took = world.await_truth(20.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", world.untrue());
    }
}
