//! Measurements of `docs/measurements/fleet.md`: the protocol in simulated time, over sizes and seeds,
//! compared with the baselines of SWIM alone and of the all-to-all heartbeat.
//!
//! `cargo bench -p pinepoint-membership --bench measure -- detect --sizes 12,100 --seeds 20`

mod convergence;
mod cost;
mod cpu;
mod detect;
mod diagnosis;
mod false_positives;
mod report;
#[path = "../../tests/sim/mod.rs"]
mod sim;

use std::sync::atomic::Ordering;
use std::time::Instant;

use clap::{Parser, ValueEnum};
use pinepoint_membership::membership::{FailureDetector, MembershipSettings};
use sim::Simulation;

const ZONES: usize = 3;
/// Maximum fleet size at which the heartbeat, which sends n² datagrams per period, is simulated unless it is
/// selected by name.
const MAX_HEARTBEAT_MEMBERS: usize = 300;

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Measurement {
    /// Periods from a crash to the first and to all members that declare it lost
    Detect,
    /// Suspicions and losses of running members, under datagram loss and with pauses
    FalsePositives,
    /// Periods from the last fault of a random sequence until all views are equal and correct
    Convergence,
    /// Datagrams, bytes and processing time per member and period
    Cost,
    /// Processing time of one member's state machine alone per period, among peers that answer it
    Cpu,
    /// Verdicts over random faults with and without the loss of a zone
    Diagnosis,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Detector {
    Lifeguard,
    Swim,
    Heartbeat,
}

impl From<Detector> for FailureDetector {
    fn from(detector: Detector) -> Self {
        match detector {
            Detector::Lifeguard => FailureDetector::Lifeguard,
            Detector::Swim => FailureDetector::Swim,
            Detector::Heartbeat => FailureDetector::Heartbeat,
        }
    }
}

#[derive(Parser)]
struct Cli {
    measurement: Measurement,
    #[arg(long, value_delimiter = ',', default_value = "12,100,300")]
    sizes: Vec<usize>,
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Only these detectors, separated by commas
    #[arg(long, value_delimiter = ',')]
    detectors: Vec<Detector>,
    /// Number of concurrent simulations; default: the number of cores
    #[arg(long)]
    jobs: Option<usize>,
    /// Passed by `cargo bench`.
    #[arg(long, hide = true)]
    bench: bool,
}

impl Cli {
    fn detectors(&self, size: usize) -> Vec<FailureDetector> {
        let is_selected = |detector: &Detector| {
            if self.detectors.is_empty() {
                size <= MAX_HEARTBEAT_MEMBERS || *detector != Detector::Heartbeat
            } else {
                self.detectors.contains(detector)
            }
        };
        Detector::value_variants().iter().copied().filter(is_selected).map(FailureDetector::from).collect()
    }
}

/// A settled fleet of so many members, whose messages are not encoded.
fn simulation(size: usize, detector: FailureDetector, seed: u64) -> Simulation {
    let settings = MembershipSettings { detector, ..MembershipSettings::default() };
    let mut simulation = Simulation::preloaded(size, ZONES, settings, seed);
    simulation.encode_every = 0;
    simulation
}

fn main() {
    let cli = Cli::parse();
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    report::JOBS.store(cli.jobs.unwrap_or(cores) as u64, Ordering::Relaxed);
    let began = Instant::now();
    print_header(cli.measurement);
    if let Measurement::Cpu = cli.measurement {
        cpu::measure(&cli.sizes, cli.seeds);
        return;
    }
    for size in &cli.sizes {
        measure(&cli, *size);
    }
    eprintln!("{:.0} s", began.elapsed().as_secs_f64());
}

fn print_header(measurement: Measurement) {
    match measurement {
        Measurement::Detect => detect::print_header(),
        Measurement::FalsePositives => false_positives::print_header(),
        Measurement::Convergence => convergence::print_header(),
        Measurement::Cost => cost::print_header(),
        // The columns of this measurement are the sizes, so it prints its own header.
        Measurement::Cpu => {}
        Measurement::Diagnosis => diagnosis::print_header(),
    }
}

fn measure(cli: &Cli, size: usize) {
    let seeds = cli.seeds;
    match cli.measurement {
        Measurement::Detect => {
            cli.detectors(size).into_iter().for_each(|detector| detect::measure(size, detector, seeds));
        }
        Measurement::FalsePositives => {
            let detectors = [FailureDetector::Lifeguard, FailureDetector::Swim];
            detectors.into_iter().for_each(|detector| false_positives::measure(size, detector, seeds));
        }
        Measurement::Convergence => convergence::measure(size, seeds),
        Measurement::Cost => {
            cli.detectors(size).into_iter().for_each(|detector| cost::measure(size, detector, seeds));
        }
        Measurement::Cpu => {}
        Measurement::Diagnosis => diagnosis::measure(size, seeds),
    }
}
