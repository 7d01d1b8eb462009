//! An exhaustive search over scenarios of three members with one crash, leave or pause, at most one restart,
//! and at most one lost or delayed datagram, in steps of a fifth of a period. After each scenario all views
//! have to be correct, and the search has to find two injected faults.
//!
//! The search enumerates choices, and runs the protocol itself to the end for each scenario. A model checker
//! that enumerates states would see a new state at each step, as states contain times and random numbers.

mod sim;

use pinepoint_membership::membership::{InjectedFault, MembershipSettings};
use sim::{DatagramFault, Simulation};

/// Number of possible times of a disturbance, in steps of a fifth of a period.
const STEPS: u64 = 5;
/// Possible times from a disturbance to a restart, periods.
const RESTARTS: [f64; 4] = [0.0, 0.4, 3.0, 9.0];
/// Number of datagrams, from the start of the scenario, of which one may be lost or delayed.
const DATAGRAMS: u64 = 40;

#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Crash,
    Leave,
    /// Long enough for the other members to declare the paused one lost.
    Pause,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    disturbance: Disturbance,
    step: u64,
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

fn scenarios() -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for seed in 0..2 {
        for disturbance in [Disturbance::Crash, Disturbance::Leave, Disturbance::Pause] {
            for step in 0..STEPS {
                for restart in restarts() {
                    scenarios.extend(datagram_faults().map(|datagram_fault| Scenario {
                        disturbance,
                        step,
                        restart,
                        datagram_fault,
                        seed,
                    }));
                }
            }
        }
    }
    scenarios
}

/// Runs a scenario. Returns the remaining errors in the views, if any.
fn run(settings: MembershipSettings, scenario: Scenario) -> Option<String> {
    let mut simulation = Simulation::settled(3, 2, settings, scenario.seed);
    simulation.network.datagram_fault = scenario.datagram_fault;
    simulation.run(scenario.step as f64 / 5.0);
    match scenario.disturbance {
        Disturbance::Crash => simulation.kill(1),
        Disturbance::Leave => simulation.leave(1),
        Disturbance::Pause => {
            simulation.pause(1);
            simulation.run(9.0);
            simulation.resume(1);
        }
    }
    if let Some(periods) = scenario.restart {
        simulation.run(periods);
        simulation.kill(1);
        simulation.start(1);
    }
    simulation.run_until_converged(25.0).is_none().then(|| simulation.view_errors())
}

/// The first scenario that leaves errors in a view, and the number of scenarios run.
fn search(fault: Option<InjectedFault>) -> (Option<(Scenario, String)>, usize) {
    let settings = MembershipSettings { injected_fault: fault, ..MembershipSettings::default() };
    let mut scenarios_run = 0;
    let failure = scenarios().into_iter().find_map(|scenario| {
        scenarios_run += 1;
        Some((scenario, run(settings, scenario)?))
    });
    (failure, scenarios_run)
}

#[test]
fn all_scenarios_converge() {
    let (failure, scenarios_run) = search(None);
    println!("{scenarios_run} scenarios");
    assert!(failure.is_none(), "after {scenarios_run} scenarios: {failure:?}");
}

#[test]
fn search_finds_injected_faults() {
    for fault in [InjectedFault::NoRefutation, InjectedFault::AcceptStaleGeneration] {
        let (failure, scenarios_run) = search(Some(fault));
        println!("{fault:?}: after {scenarios_run} scenarios: {failure:?}");
        assert!(failure.is_some(), "{fault:?} was not found in {scenarios_run} scenarios");
    }
}
