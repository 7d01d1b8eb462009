//! Datagrams, bytes and processing time per member and period, while no member changes.

use std::time::Instant;

use pinepoint_membership::membership::FailureDetector;

use crate::simulation;

const PERIODS: f64 = 20.0;
const MAX_SEEDS: u64 = 5;
/// In the first minutes each member diagnoses whether the whole fleet has started. The measurement begins
/// afterwards.
const WARM_UP_PERIODS: f64 = 130.0;

/// Cost per member and period.
struct Cost {
    datagrams: f64,
    bytes: f64,
    processing_us: f64,
}

pub fn print_header() {
    println!(
        "| detector | members | datagrams per member and period | bytes | processing time, us, simulation included |"
    );
}

pub fn measure(size: usize, detector: FailureDetector, seeds: u64) {
    let costs: Vec<Cost> = (0..seeds.min(MAX_SEEDS)).map(|seed| run(size, detector, seed)).collect();
    let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / costs.len() as f64;
    let datagrams = mean(|cost| cost.datagrams);
    let bytes = mean(|cost| cost.bytes);
    let processing_us = mean(|cost| cost.processing_us);
    println!("| {detector:?} | {size} | {datagrams:.2} | {bytes:.0} | {processing_us:.1} |");
}

fn run(size: usize, detector: FailureDetector, seed: u64) -> Cost {
    let mut simulation = simulation(size, detector, seed);
    simulation.encode_every = 101;
    if detector != FailureDetector::Heartbeat {
        simulation.run(WARM_UP_PERIODS);
        simulation.clear_records();
    }
    let began = Instant::now();
    simulation.run(PERIODS);
    let member_periods = size as f64 * PERIODS;
    Cost {
        datagrams: simulation.datagrams as f64 / member_periods,
        bytes: simulation.bytes as f64 / member_periods,
        processing_us: began.elapsed().as_secs_f64() * 1e6 / member_periods,
    }
}
