//! Every course of three members with one crash, leaving or pause, one restart, and one datagram lost or late, in steps of
//! a fifth of a period: no view keeps a wrong state. The search is our own: the machine's state holds times and random numbers,
//! of which a checker that enumerates states would see a new one at each step; what is enumerated here are the choices, each
//! course running the deciding code itself to its end. Two faults that are built in have to be found by it.

mod sim;

use pinepoint_membership::membership::{InjectedFault, MembershipSettings};
use sim::{One, World};

/// Moments at which it happens, in fifths of a period, and datagrams that may be touched.
const MOMENTS: u64 = 5;
const RESTARTS: [f64; 4] = [0.0, 0.4, 3.0, 9.0];
const DATAGRAMS: u64 = 40;

#[derive(Clone, Copy, Debug)]
enum What {
    Crashes,
    Leaves,
    /// Till the others hold it lost.
    Pauses,
}

#[derive(Clone, Copy, Debug)]
struct Course {
    what: What,
    moment: u64,
    restart: Option<f64>,
    one: Option<(u64, One)>,
    seed: u64,
}

fn courses() -> Vec<Course> {
    let mut all = Vec::new();
    for seed in 0..2 {
        for what in [What::Crashes, What::Leaves, What::Pauses] {
            for moment in 0..MOMENTS {
                for restart in std::iter::once(None).chain(RESTARTS.map(Some)) {
                    let touched =
                        (1..=DATAGRAMS).flat_map(|n| [Some((n, One::Lost)), Some((n, One::Late(4.0)))]);
                    let ones = std::iter::once(None).chain(touched);
                    all.extend(ones.map(|one| Course { what, moment, restart, one, seed }));
                }
            }
        }
    }
    all
}

/// Runs one; tells what is wrong for ever, if anything.
fn run(rules: MembershipSettings, course: Course) -> Option<String> {
    let mut world = World::settled(3, 2, rules, course.seed);
    world.net.one = course.one;
    world.run(course.moment as f64 / 5.0);
    match course.what {
        What::Crashes => world.kill(1),
        What::Leaves => world.leave(1),
        What::Pauses => {
            world.stop(1);
            world.run(9.0);
            world.go_on(1);
        }
    }
    if let Some(periods) = course.restart {
        world.run(periods);
        world.kill(1);
        world.start(1);
    }
    world.await_truth(25.0).is_none().then(|| world.untrue())
}

/// The first course that ends wrongly, and how many were run.
fn search(fault: Option<InjectedFault>) -> (Option<(Course, String)>, usize) {
    let rules = MembershipSettings { injected_fault: fault, ..MembershipSettings::default() };
    let mut ran = 0;
    let wrong = courses().into_iter().find_map(|course| {
        ran += 1;
        Some((course, run(rules, course)?))
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
