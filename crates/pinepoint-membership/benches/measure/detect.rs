//! Periods from a crash to the first and to all members that declare it lost.

use pinepoint_membership::member::Liveness;
use pinepoint_membership::membership::FailureDetector;

use crate::report::{percentiles, run_seeds};
use crate::sim::PERIOD_MS;
use crate::simulation;

const MAX_PERIODS: f64 = 60.0;

struct Detection {
    first: Option<f64>,
    /// None if not all members declared it lost within `MAX_PERIODS`.
    all: Option<f64>,
}

pub fn print_header() {
    println!("| detector | members | first, periods: p50 / p99 / max | all | detected by all |");
}

pub fn measure(size: usize, detector: FailureDetector, seeds: u64) {
    let detections = run_seeds(seeds, |seed| detect_crash(size, detector, seed));
    let first = detections.iter().filter_map(|detection| detection.first).collect();
    let all: Vec<f64> = detections.iter().filter_map(|detection| detection.all).collect();
    let complete = all.len();
    let (first, all) = (percentiles(first), percentiles(all));
    println!("| {detector:?} | {size} | {first} | {all} | {complete} of {seeds} |");
}

fn detect_crash(size: usize, detector: FailureDetector, seed: u64) -> Detection {
    let mut simulation = simulation(size, detector, seed);
    let since = simulation.now;
    let crashed = (seed as usize * 7 + 5) % size;
    simulation.kill(crashed);
    let others = size - 1;
    let mut times = Vec::new();
    while times.len() < others && simulation.now - since < MAX_PERIODS * PERIOD_MS {
        simulation.run(1.0);
        times = simulation.notification_times(crashed, Liveness::Lost, since);
    }
    let is_complete = times.len() == others;
    Detection {
        first: times.first().map(|ms| ms / PERIOD_MS),
        all: is_complete.then(|| times[others - 1] / PERIOD_MS),
    }
}
