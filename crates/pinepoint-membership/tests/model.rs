//! An exhaustive search: every course of three members with one crash, leave or pause, at most one restart, and at most one
//! datagram that is lost or late, in steps of a fifth of a period. No course may leave a view wrong, and two injected faults
//! have to be found.
//!
//! What is enumerated are the choices, and each course runs the protocol itself to its end. A model checker that enumerates
//! states would see a new state at each step, as states hold times and random numbers.

mod sim;

use pinepoint_membership::membership::{InjectedFault, MembershipSettings};
use sim::{DatagramFault, Simulation};

/// Moments of a disturbance, in fifths of a period.
const MOMENTS: u64 = 5;
/// Periods from a disturbance to a restart.
const RESTARTS: [f64; 4] = [0.0, 0.4, 3.0, 9.0];
/// Datagrams that may be lost or late, from the first after the start of the course.
const DATAGRAMS: u64 = 40;

#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Crash,
    Leave,
    /// Until the others declare it lost.
    Pause,
}

#[derive(Clone, Copy, Debug)]
struct Course {
    disturbance: Disturbance,
    moment: u64,
    restart: Option<f64>,
    datagram_fault: Option<(u64, DatagramFault)>,
    seed: u64,
}

fn restarts() -> impl Iterator<Item = Option<f64>> {
    std::iter::once(None).chain(RESTARTS.map(Some))
}

fn datagram_faults() -> impl Iterator<Item = Option<(u64, DatagramFault)>> {
    let faults_of = |number| [(number, DatagramFault::Dropped), (number, DatagramFault::Delayed(4.0))];
    let faults = (1..=DATAGRAMS).flat_map(faults_of).map(Some);
    std::iter::once(None).chain(faults)
}

fn courses() -> Vec<Course> {
    let mut all = Vec::new();
    for seed in 0..2 {
        for disturbance in [Disturbance::Crash, Disturbance::Leave, Disturbance::Pause] {
            for moment in 0..MOMENTS {
                for restart in restarts() {
                    all.extend(datagram_faults().map(|datagram_fault| Course {
                        disturbance,
                        moment,
                        restart,
                        datagram_fault,
                        seed,
                    }));
                }
            }
        }
    }
    all
}

/// Runs a course; returns what stays wrong, if anything does.
fn run(settings: MembershipSettings, course: Course) -> Option<String> {
    let mut simulation = Simulation::settled(3, 2, settings, course.seed);
    simulation.net.datagram_fault = course.datagram_fault;
    simulation.run(course.moment as f64 / 5.0);
    match course.disturbance {
        Disturbance::Crash => simulation.kill(1),
        Disturbance::Leave => simulation.leave(1),
        Disturbance::Pause => {
            simulation.pause(1);
            simulation.run(9.0);
            simulation.resume(1);
        }
    }
    if let Some(periods) = course.restart {
        simulation.run(periods);
        simulation.kill(1);
        simulation.start(1);
    }
    simulation.run_until_converged(25.0).is_none().then(|| simulation.view_errors())
}

/// The first course that ends wrongly, and how many were run.
fn search(fault: Option<InjectedFault>) -> (Option<(Course, String)>, usize) {
    let settings = MembershipSettings { injected_fault: fault, ..MembershipSettings::default() };
    let mut ran = 0;
    let wrong = courses().into_iter().find_map(|course| {
        ran += 1;
        Some((course, run(settings, course)?))
    });
    (wrong, ran)
}

#[test]
fn no_course_of_three_members_leaves_a_wrong_state() {
    let (wrong, all) = search(None);
    println!("{all} courses");
    assert!(wrong.is_none(), "after {all} courses: {wrong:?}");
}

#[test]
fn without_refutation_and_with_earlier_starts_taken_it_finds_wrong_states() {
    for fault in [InjectedFault::NoRefutation, InjectedFault::AcceptStaleGeneration] {
        let (wrong, all) = search(Some(fault));
        println!("{fault:?}: after {all} courses: {wrong:?}");
        assert!(wrong.is_some(), "{fault:?} is not found in {all} courses");
    }
}
