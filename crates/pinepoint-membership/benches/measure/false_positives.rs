//! Suspicions and losses of running members, under datagram loss and while other members are paused.

use pinepoint_membership::member::{Liveness, MemberRecord, member_key};
use pinepoint_membership::membership::{FailureDetector, Notification};

use crate::report::run_seeds;
use crate::sim::Simulation;
use crate::simulation;

const ROUNDS: usize = 20;
/// Periods for which the same members are paused.
const ROUND_PERIODS: f64 = 3.0;

struct Scenario {
    name: &'static str,
    loss: f64,
    /// Number of members paused at the same time.
    paused: usize,
}

/// Counts of notifications over all views.
#[derive(Default)]
struct Counts {
    suspected: usize,
    lost: usize,
    /// Losses that the observing member declared itself, not received by gossip.
    lost_first_hand: usize,
}

impl Counts {
    fn count(&mut self, observer: &str, record: &MemberRecord) {
        let is_lost = record.liveness == Liveness::Lost;
        let accuser_key = member_key(observer) as u32 | 1;
        self.suspected += usize::from(record.liveness == Liveness::Suspected);
        self.lost += usize::from(is_lost);
        self.lost_first_hand += usize::from(is_lost && record.accuser == accuser_key);
    }

    fn sum(all: &[Counts]) -> Counts {
        let mut sum = Counts::default();
        for counts in all {
            sum.suspected += counts.suspected;
            sum.lost += counts.lost;
            sum.lost_first_hand += counts.lost_first_hand;
        }
        sum
    }
}

pub fn print_header() {
    println!(
        "| detector | members | scenario | suspected (per view and member-hour) | lost | of these first hand |"
    );
}

pub fn measure(size: usize, detector: FailureDetector, seeds: u64) {
    let scenarios = [
        Scenario { name: "loss 0", loss: 0.0, paused: 0 },
        Scenario { name: "loss 5 %", loss: 0.05, paused: 0 },
        Scenario { name: "loss 20 %", loss: 0.2, paused: 0 },
        Scenario { name: "paused", loss: 0.0, paused: size / 10 },
    ];
    for scenario in scenarios {
        let counts = run_seeds(seeds, |seed| run_scenario(size, detector, &scenario, seed));
        let Counts { suspected, lost, lost_first_hand } = Counts::sum(&counts);
        // Each view in which a running member is suspected or lost counts. A period is a second.
        let hours = seeds as f64 * size as f64 * ROUNDS as f64 * ROUND_PERIODS / 3600.0;
        let rate = |count: usize| count as f64 / hours / size as f64;
        println!(
            "| {detector:?} | {size} | {} | {suspected} ({:.3}) | {lost} ({:.3}) | {lost_first_hand} |",
            scenario.name,
            rate(suspected),
            rate(lost)
        );
    }
}

fn run_scenario(size: usize, detector: FailureDetector, scenario: &Scenario, seed: u64) -> Counts {
    let mut simulation = simulation(size, detector, seed);
    simulation.network.loss = scenario.loss;
    let mut counts = Counts::default();
    let mut paused: Vec<usize> = Vec::new();
    for round in 0..ROUNDS {
        let resumed = std::mem::take(&mut paused);
        resumed.iter().for_each(|index| simulation.resume(*index));
        paused = (0..scenario.paused).map(|n| (round * scenario.paused + n) % size).collect();
        paused.iter().for_each(|index| simulation.pause(*index));
        simulation.run(ROUND_PERIODS);
        // A suspicion of a member that is paused, or was until this round, is correct.
        let excluded: Vec<usize> = paused.iter().chain(&resumed).copied().collect();
        count_notifications(&simulation, &excluded, &mut counts);
        simulation.clear_records();
    }
    counts
}

fn count_notifications(simulation: &Simulation, excluded: &[usize], counts: &mut Counts) {
    let is_excluded = |name: &str| excluded.iter().any(|index| simulation.nodes[*index].name == name);
    for node in &simulation.nodes {
        for (_, notification) in &node.notifications {
            let Notification::MemberChanged { record, .. } = notification else { continue };
            if !is_excluded(&record.identity.name) {
                counts.count(&node.name, record);
            }
        }
    }
}
