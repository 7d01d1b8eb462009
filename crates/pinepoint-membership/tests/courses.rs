//! Convergence: whatever happens, after the last fault all views are equal and true. `FLEET_SEED` replays one course.

mod sim;

use pinepoint_membership::member::Liveness;
use pinepoint_membership::membership::{MembershipSettings, Notification};
use sim::{Network, Simulation};

fn seeds(n: u64) -> Vec<u64> {
    match std::env::var("FLEET_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..n).collect(),
    }
}

/// Runs a course over seeds; after it all has to be true within these periods.
fn check_convergence(members: usize, n: u64, within: f64, course: impl Fn(&mut Simulation)) {
    let mut worst: f64 = 0.0;
    for seed in seeds(n) {
        let mut simulation = Simulation::settled(members, 3, MembershipSettings::default(), seed);
        course(&mut simulation);
        let took = simulation.run_until_converged(within);
        assert!(
            took.is_some(),
            "FLEET_SEED={seed}: not true after {within} periods: {}",
            simulation.view_errors()
        );
        worst = worst.max(took.unwrap_or_default());
    }
    println!("{members} members, {n} seeds: at most {worst} periods of {within}");
}

#[test]
fn a_member_killed() {
    check_convergence(30, 10, 15.0, |simulation| simulation.kill(7));
}

#[test]
fn killed_and_back_within_a_period() {
    check_convergence(30, 10, 15.0, |simulation| {
        simulation.kill(7);
        simulation.run(0.5);
        simulation.start(7);
    });
}

#[test]
fn stopped_for_eight_periods_and_continued() {
    for seed in seeds(10) {
        let mut simulation = Simulation::settled(30, 3, MembershipSettings::default(), seed);
        simulation.pause(7);
        simulation.run(8.0);
        simulation.clear_records();
        simulation.resume(7);
        let took = simulation.run_until_converged(15.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
        // It distrusts itself before it accuses others.
        let accused = simulation.notifications_of(7).filter(|notification| {
            matches!(notification, Notification::MemberChanged { record, .. } if record.liveness != Liveness::Alive)
        });
        assert_eq!(accused.count(), 0, "FLEET_SEED={seed}: it accused others");
        let is_stall = |notification: &Notification| matches!(notification, Notification::Stalled { .. });
        assert!(simulation.notifications_of(7).any(is_stall), "FLEET_SEED={seed}: it noticed no stall");
    }
}

#[test]
fn halves_thirds_and_one_alone_heal_after_a_while_and_after_an_hour() {
    for (parts, periods) in [(2, 5.0), (2, 60.0), (3, 60.0), (2, 3600.0)] {
        check_convergence(24, 4, 15.0, |simulation| {
            simulation.net.partitions = (0..24).map(|at| at % parts).collect();
            simulation.run(periods);
            simulation.net.partitions.clear();
        });
    }
    check_convergence(24, 6, 15.0, |simulation| {
        simulation.net.partitions = (0..24).map(|at| usize::from(at == 5)).collect();
        simulation.run(60.0);
        simulation.net.partitions.clear();
    });
}

#[test]
fn members_leave_crash_and_join_on_both_sides_of_a_partition() {
    check_convergence(24, 8, 20.0, |simulation| {
        simulation.net.partitions = (0..24).map(|at| at / 12).collect();
        simulation.run(10.0);
        simulation.leave(3);
        simulation.kill(4);
        simulation.kill(15);
        simulation.leave(16);
        simulation.run(5.0);
        simulation.start(4);
        simulation.start(15);
        simulation.run(30.0);
        simulation.net.partitions.clear();
    });
}

#[test]
fn half_the_fleet_replaced_in_steps_with_drains() {
    check_convergence(24, 5, 15.0, |simulation| {
        for at in 0..12 {
            simulation.leave(at);
            simulation.run(1.0);
            simulation.start(at);
        }
    });
}

#[test]
fn six_in_ten_replaced_within_seven_periods() {
    check_convergence(60, 4, 20.0, |simulation| {
        for at in 0..36 {
            simulation.kill(at);
            simulation.run(7.0 / 36.0);
            simulation.start(at);
        }
    });
}

#[test]
fn a_zone_killed_and_started_again() {
    check_convergence(30, 6, 15.0, |simulation| {
        (0..30).filter(|at| at % 3 == 1).for_each(|at| simulation.kill(at));
        simulation.run(20.0);
        (0..30).filter(|at| at % 3 == 1).for_each(|at| simulation.start(at));
    });
}

#[test]
fn loss_one_way_cuts_doubles_and_a_third_of_the_members_slow() {
    check_convergence(30, 6, 20.0, |simulation| {
        simulation.net = Network { loss: 0.2, duplication: 0.1, max_delay_ms: 80.0, ..Network::default() };
        simulation.net.receive_loss = (0..10).map(|at| (at, 0.3)).collect();
        simulation.net.cut_links = vec![(1, 2), (5, 9), (9, 6)];
        simulation.run(60.0);
        simulation.net = Network { max_delay_ms: 5.0, ..Network::default() };
    });
}

#[test]
fn all_seeds_down_at_the_start_then_one_appears() {
    for seed in seeds(6) {
        let mut simulation = Simulation::new(20, 2, MembershipSettings::default(), seed);
        (3..20).for_each(|at| simulation.start(at));
        simulation.run(30.0);
        assert!(
            simulation.running().all(|(_, membership)| membership.table().is_empty()),
            "there was nobody to ask"
        );
        simulation.start(1);
        let took = simulation.run_until_converged(20.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
    }
}

#[test]
fn clocks_ten_seconds_off_and_set_back_over_a_restart() {
    check_convergence(20, 6, 20.0, |simulation| {
        simulation.kill(4);
        simulation.nodes[4].clock_offset_ms = 10_000.0;
        simulation.run(10.0);
        simulation.start(4);
        simulation.run(10.0);
        simulation.kill(4);
        simulation.nodes[4].clock_offset_ms = -3_600_000.0;
        simulation.run(0.5);
        simulation.start(4);
    });
}

#[test]
fn any_course_of_faults() {
    for seed in seeds(12) {
        let n = 24;
        let mut simulation = Simulation::settled(n, 3, MembershipSettings::default(), seed);
        for _ in 0..12 {
            let at = simulation.random_index(n);
            match simulation.random_index(8) {
                0 => simulation.kill(at),
                1 if simulation.nodes[at].membership.is_some() => simulation.leave(at),
                2 => simulation.pause(at),
                3 => simulation.net.partitions = (0..n).map(|other| usize::from(other < at)).collect(),
                4 => simulation.net.loss = 0.2,
                5 => simulation.net = Network { max_delay_ms: 5.0, ..Network::default() },
                6 => {
                    let to = simulation.random_index(n);
                    simulation.net.cut_links.push((at, to));
                }
                _ if simulation.nodes[at].membership.is_none() => simulation.start(at),
                _ => {}
            }
            let periods = simulation.random_index(12) as f64;
            simulation.run(periods);
        }
        simulation.net = Network { max_delay_ms: 5.0, ..Network::default() };
        (0..n)
            .filter(|at| simulation.nodes[*at].is_paused)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| simulation.resume(at));
        let took = simulation.run_until_converged(20.0);
        assert!(took.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
    }
}
