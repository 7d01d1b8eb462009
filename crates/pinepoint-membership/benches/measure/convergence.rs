//! Periods from the last fault of a random sequence until all views are equal and correct.

use pinepoint_membership::membership::FailureDetector;

use crate::report::{percentiles, run_seeds};
use crate::sim::{Network, Simulation};
use crate::simulation;

const FAULTS: usize = 6;
const MAX_PERIODS: f64 = 60.0;
const TARGET_PERIODS: f64 = 15.0;

pub fn print_header() {
    println!("| members | periods until converged: p50 / p99 / max | converged | within 15 |");
}

pub fn measure(size: usize, seeds: u64) {
    let periods = run_seeds(seeds, |seed| converge(size, seed));
    let converged: Vec<f64> = periods.into_iter().flatten().collect();
    let in_time = converged.iter().filter(|periods| **periods <= TARGET_PERIODS).count();
    let count = converged.len();
    println!("| {size} | {} | {count} of {seeds} | {in_time} of {seeds} |", percentiles(converged));
}

fn converge(size: usize, seed: u64) -> Option<f64> {
    let mut simulation = simulation(size, FailureDetector::Lifeguard, seed);
    for _ in 0..FAULTS {
        inject_random_fault(&mut simulation, size, seed);
        let periods = 1.0 + simulation.random_index(15) as f64;
        simulation.run(periods);
    }
    end_faults(&mut simulation, size);
    let periods = simulation.run_until_converged(MAX_PERIODS);
    if periods.is_none() {
        println!("seed {seed}: not converged within {MAX_PERIODS} periods: {}", simulation.view_errors());
    }
    periods
}

fn inject_random_fault(simulation: &mut Simulation, size: usize, seed: u64) {
    let kind = simulation.random_index(9);
    let count = 1 + simulation.random_index(size / 10 + 1);
    let picked: Vec<usize> = (0..count).map(|_| simulation.random_index(size)).collect();
    match kind {
        0 => picked.iter().for_each(|index| simulation.kill(*index)),
        1 => picked.iter().for_each(|index| simulation.pause(*index)),
        2 => simulation.network.partitions = (0..size).map(|index| index % (2 + seed as usize % 2)).collect(),
        3 => simulation.network.loss = 0.2,
        4 => simulation.network.receive_loss = picked.iter().map(|index| (*index, 0.3)).collect(),
        5 => simulation.network.cut_links.extend(picked.iter().map(|index| (*index, (index + 1) % size))),
        6 => simulation.network = Network { max_delay_ms: 5.0, ..Network::default() },
        7 => (0..size).filter(|index| index % 3 == 1).for_each(|index| simulation.kill(index)),
        _ => picked.iter().for_each(|index| {
            simulation.kill(*index);
            simulation.start(*index);
        }),
    }
}

/// Removes all network faults, resumes paused members, and starts half of the members that do not run.
fn end_faults(simulation: &mut Simulation, size: usize) {
    simulation.network = Network { max_delay_ms: 5.0, ..Network::default() };
    let paused: Vec<usize> = (0..size).filter(|index| simulation.nodes[*index].is_paused).collect();
    paused.into_iter().for_each(|index| simulation.resume(index));
    let stopped: Vec<usize> =
        (0..size).filter(|index| simulation.nodes[*index].membership.is_none()).collect();
    stopped.into_iter().filter(|index| index % 2 == 0).for_each(|index| simulation.start(index));
}
