//! Convergence: after the last fault of any scenario all views become equal and correct. `FLEET_SEED` replays
//! one seed.

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

/// Runs a scenario for each seed. After the scenario the fleet has to converge within these periods.
fn check_convergence(members: usize, n: u64, within: f64, scenario: impl Fn(&mut Simulation)) {
    let mut worst: f64 = 0.0;
    for seed in seeds(n) {
        let mut simulation = Simulation::settled(members, 3, MembershipSettings::default(), seed);
        scenario(&mut simulation);
        let converged_after = simulation.run_until_converged(within);
        assert!(
            converged_after.is_some(),
            "FLEET_SEED={seed}: not converged after {within} periods: {}",
            simulation.view_errors()
        );
        worst = worst.max(converged_after.unwrap_or_default());
    }
    println!("{members} members, {n} seeds: converged within {worst} periods, at most {within} allowed");
}

#[test]
fn converges_after_crash() {
    check_convergence(30, 10, 15.0, |simulation| simulation.kill(7));
}

#[test]
fn converges_after_restart_within_a_period() {
    check_convergence(30, 10, 15.0, |simulation| {
        simulation.kill(7);
        simulation.run(0.5);
        simulation.start(7);
    });
}

#[test]
fn resumed_member_accuses_no_other() {
    for seed in seeds(10) {
        let mut simulation = Simulation::settled(30, 3, MembershipSettings::default(), seed);
        simulation.pause(7);
        simulation.run(8.0);
        simulation.clear_records();
        simulation.resume(7);
        let converged_after = simulation.run_until_converged(15.0);
        assert!(converged_after.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
        // A resumed member detects its own stall and accuses no other member.
        let accused = simulation.notifications_of(7).filter(|notification| {
            matches!(notification, Notification::MemberChanged { record, .. } if record.liveness != Liveness::Alive)
        });
        assert_eq!(accused.count(), 0, "FLEET_SEED={seed}: the resumed member accused others");
        let is_stall = |notification: &Notification| matches!(notification, Notification::Stalled { .. });
        assert!(
            simulation.notifications_of(7).any(is_stall),
            "FLEET_SEED={seed}: the resumed member detected no stall"
        );
    }
}

#[test]
fn converges_after_partitions() {
    for (parts, periods) in [(2, 5.0), (2, 60.0), (3, 60.0), (2, 3600.0)] {
        check_convergence(24, 4, 15.0, |simulation| {
            simulation.network.partitions = (0..24).map(|index| index % parts).collect();
            simulation.run(periods);
            simulation.network.partitions.clear();
        });
    }
    check_convergence(24, 6, 15.0, |simulation| {
        simulation.network.partitions = (0..24).map(|index| usize::from(index == 5)).collect();
        simulation.run(60.0);
        simulation.network.partitions.clear();
    });
}

#[test]
fn converges_after_changes_on_both_sides_of_partition() {
    check_convergence(24, 8, 20.0, |simulation| {
        simulation.network.partitions = (0..24).map(|index| index / 12).collect();
        simulation.run(10.0);
        simulation.leave(3);
        simulation.kill(4);
        simulation.kill(15);
        simulation.leave(16);
        simulation.run(5.0);
        simulation.start(4);
        simulation.start(15);
        simulation.run(30.0);
        simulation.network.partitions.clear();
    });
}

#[test]
fn converges_after_rolling_restart_with_drains() {
    check_convergence(24, 5, 15.0, |simulation| {
        for index in 0..12 {
            simulation.leave(index);
            simulation.run(1.0);
            simulation.start(index);
        }
    });
}

#[test]
fn converges_after_restart_of_sixty_percent_in_seven_periods() {
    check_convergence(60, 4, 20.0, |simulation| {
        for index in 0..36 {
            simulation.kill(index);
            simulation.run(7.0 / 36.0);
            simulation.start(index);
        }
    });
}

#[test]
fn converges_after_restart_of_zone() {
    check_convergence(30, 6, 15.0, |simulation| {
        (0..30).filter(|index| index % 3 == 1).for_each(|index| simulation.kill(index));
        simulation.run(20.0);
        (0..30).filter(|index| index % 3 == 1).for_each(|index| simulation.start(index));
    });
}

#[test]
fn converges_after_lossy_network() {
    check_convergence(30, 6, 20.0, |simulation| {
        simulation.network =
            Network { loss: 0.2, duplication: 0.1, max_delay_ms: 80.0, ..Network::default() };
        simulation.network.receive_loss = (0..10).map(|index| (index, 0.3)).collect();
        simulation.network.cut_links = vec![(1, 2), (5, 9), (9, 6)];
        simulation.run(60.0);
        simulation.network = Network { max_delay_ms: 5.0, ..Network::default() };
    });
}

#[test]
fn converges_once_first_seed_starts() {
    for seed in seeds(6) {
        let mut simulation = Simulation::new(20, 2, MembershipSettings::default(), seed);
        (3..20).for_each(|index| simulation.start(index));
        simulation.run(30.0);
        assert!(
            simulation.running().all(|(_, membership)| membership.table().is_empty()),
            "a member knows others though no seed was up"
        );
        simulation.start(1);
        let converged_after = simulation.run_until_converged(20.0);
        assert!(converged_after.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
    }
}

#[test]
fn converges_after_restarts_with_wrong_clocks() {
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
fn converges_after_random_faults() {
    for seed in seeds(12) {
        let n = 24;
        let mut simulation = Simulation::settled(n, 3, MembershipSettings::default(), seed);
        for _ in 0..12 {
            let index = simulation.random_index(n);
            match simulation.random_index(8) {
                0 => simulation.kill(index),
                1 if simulation.nodes[index].membership.is_some() => simulation.leave(index),
                2 => simulation.pause(index),
                3 => simulation.network.partitions = (0..n).map(|other| usize::from(other < index)).collect(),
                4 => simulation.network.loss = 0.2,
                5 => simulation.network = Network { max_delay_ms: 5.0, ..Network::default() },
                6 => {
                    let to = simulation.random_index(n);
                    simulation.network.cut_links.push((index, to));
                }
                _ if simulation.nodes[index].membership.is_none() => simulation.start(index),
                _ => {}
            }
            let periods = simulation.random_index(12) as f64;
            simulation.run(periods);
        }
        simulation.network = Network { max_delay_ms: 5.0, ..Network::default() };
        (0..n)
            .filter(|index| simulation.nodes[*index].is_paused)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|index| simulation.resume(index));
        let converged_after = simulation.run_until_converged(20.0);
        assert!(converged_after.is_some(), "FLEET_SEED={seed}: {}", simulation.view_errors());
    }
}
