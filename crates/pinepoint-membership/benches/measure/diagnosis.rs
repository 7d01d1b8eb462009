//! Verdicts over random faults without the loss of a zone, of which there must be none, and after a zone was
//! killed.

use pinepoint_membership::diagnosis::VerdictKind;
use pinepoint_membership::membership::{FailureDetector, Notification};

use crate::report::{percentiles, run_seeds};
use crate::sim::{Network, PERIOD_MS, Simulation};
use crate::simulation;

const ZONES: usize = 3;
const FAULTS: usize = 8;

struct ZoneVerdict {
    made_ms: f64,
    kind: VerdictKind,
    subject: String,
}

/// Verdicts about a killed zone.
struct Diagnosis {
    first: Option<f64>,
    last: Option<f64>,
    made_by_all: bool,
    has_other_verdicts: bool,
}

pub fn print_header() {
    println!(
        "| members | false verdicts without loss of a zone | first, periods: p50 / p99 / max | last | made by all | other verdicts |"
    );
}

pub fn measure(size: usize, seeds: u64) {
    let with_false_verdicts = run_seeds(seeds, |seed| false_verdicts(size, seed));
    let with_false_verdicts = with_false_verdicts.iter().filter(|count| **count > 0).count();
    let diagnoses = run_seeds(seeds, |seed| diagnose_killed_zone(size, seed));
    let first = percentiles(diagnoses.iter().filter_map(|diagnosis| diagnosis.first).collect());
    let last = percentiles(diagnoses.iter().filter_map(|diagnosis| diagnosis.last).collect());
    let by_all = diagnoses.iter().filter(|diagnosis| diagnosis.made_by_all).count();
    let other = diagnoses.iter().filter(|diagnosis| diagnosis.has_other_verdicts).count();
    println!(
        "| {size} | {with_false_verdicts} of {seeds} | {first} | {last} | {by_all} of {seeds} | {other} of {seeds} |"
    );
}

/// Number of false verdicts over random faults. Verdicts about zones that were left without a running member
/// do not count.
fn false_verdicts(size: usize, seed: u64) -> usize {
    let mut simulation = simulation(size, FailureDetector::Lifeguard, seed);
    let mut emptied: Vec<String> = Vec::new();
    for _ in 0..FAULTS {
        inject_random_fault(&mut simulation, size);
        emptied.extend(empty_zones(&simulation));
        simulation.run(4.0);
    }
    let verdicts = zone_verdicts(&simulation);
    verdicts.iter().filter(|verdict| !emptied.contains(&verdict.subject)).count()
}

fn inject_random_fault(simulation: &mut Simulation, size: usize) {
    let index = simulation.random_index(size);
    match simulation.random_index(5) {
        0 => simulation.kill(index),
        1 => simulation.leave(index),
        2 => simulation.pause(index),
        3 => simulation.network = Network { loss: 0.1, max_delay_ms: 60.0, ..Network::default() },
        _ => {
            simulation.kill(index);
            simulation.start(index);
        }
    }
}

fn empty_zones(simulation: &Simulation) -> impl Iterator<Item = String> {
    let is_empty = |zone: &usize| {
        let mut members = simulation.nodes.iter().filter(|node| node.zone == *zone);
        !members.any(|node| node.membership.is_some() && !node.is_paused)
    };
    (0..ZONES).filter(is_empty).map(|zone| format!("z{zone}"))
}

fn diagnose_killed_zone(size: usize, seed: u64) -> Diagnosis {
    let mut simulation = simulation(size, FailureDetector::Lifeguard, seed);
    let since = simulation.now;
    (0..size).filter(|index| index % ZONES == 1).for_each(|index| simulation.kill(index));
    simulation.run(25.0);
    let verdicts = zone_verdicts(&simulation);
    let is_correct =
        |verdict: &&ZoneVerdict| verdict.kind == VerdictKind::ZoneUnreachable && verdict.subject == "z1";
    let correct = verdicts.iter().filter(is_correct);
    let mut periods: Vec<f64> = correct.map(|verdict| (verdict.made_ms - since) / PERIOD_MS).collect();
    periods.sort_by(f64::total_cmp);
    Diagnosis {
        first: periods.first().copied(),
        last: periods.last().copied(),
        made_by_all: periods.len() >= size - size.div_ceil(ZONES),
        has_other_verdicts: periods.len() < verdicts.len(),
    }
}

/// Verdicts of all members about zones and about their own isolation.
fn zone_verdicts(simulation: &Simulation) -> Vec<ZoneVerdict> {
    let notifications = simulation.nodes.iter().flat_map(|node| &node.notifications);
    let verdicts = notifications.filter_map(|(made_ms, notification)| match notification {
        Notification::VerdictChanged(change) if change.holds => Some(ZoneVerdict {
            made_ms: *made_ms,
            kind: change.verdict.kind,
            subject: change.verdict.subject.clone(),
        }),
        _ => None,
    });
    let is_about_zones = |kind| !matches!(kind, VerdictKind::FleetStart | VerdictKind::OneWay);
    verdicts.filter(|verdict| is_about_zones(verdict.kind)).collect()
}
