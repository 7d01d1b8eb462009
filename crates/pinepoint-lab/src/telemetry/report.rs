//! The report of the experiment, as JSON and as a table.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{Condition, Trial};
use crate::load::OutcomeCounts;
use crate::statistics::median;

/// The results of each condition. Quantiles are computed over all trials of the condition together. Ratios
/// compare with telemetry off; the ratios of the single rounds are given as minimum, median and maximum.
pub fn report(trials: &BTreeMap<Condition, Vec<Trial>>) -> Value {
    let baseline = trials.get(&Condition::Off).filter(|trials| !trials.is_empty());
    let measured = trials.iter().filter(|(_, trials)| !trials.is_empty());
    let rows = measured.map(|(condition, trials)| row(*condition, trials, baseline.map(Vec::as_slice)));
    Value::Array(rows.collect())
}

fn row(condition: Condition, trials: &[Trial], baseline: Option<&[Trial]>) -> Value {
    let latency = merged_latency(trials);
    let baseline_latency = baseline.map(merged_latency);
    let ratio = |quantile: f64| {
        let baseline_latency = baseline_latency.as_ref()?;
        Some(quantile_ms(&latency, quantile) / quantile_ms(baseline_latency, quantile))
    };
    let ratios =
        |figure: &dyn Fn(&Trial) -> f64| ratios_of_rounds(trials, baseline.unwrap_or_default(), figure);
    let latency_ratios = |quantile: f64| ratios(&|trial| quantile_ms(&trial.summary.latency, quantile));
    let median_of = |figure: &dyn Fn(&Trial) -> f64| median(trials.iter().map(figure).collect());
    let sum_of = |figure: &dyn Fn(&Trial) -> u64| trials.iter().map(figure).sum::<u64>();
    let OutcomeCounts { sent, served, rejected, failed, unanswered } =
        trials.iter().map(|trial| trial.summary.all()).sum();
    json!({
        "way": condition.name(),
        "p50": ratio(0.5), "p99": ratio(0.99), "p999": ratio(0.999),
        "p50_of_turns": latency_ratios(0.5),
        "p99_of_turns": latency_ratios(0.99),
        "p999_of_turns": latency_ratios(0.999),
        "cpu_of_turns": ratios(&|trial| trial.cpu_ms),
        "p50_ms": quantile_ms(&latency, 0.5),
        "p99_ms": quantile_ms(&latency, 0.99),
        "p999_ms": quantile_ms(&latency, 0.999),
        "cpu_ms": median_of(&|trial| trial.cpu_ms),
        "memory_kb": trials.iter().map(|trial| trial.memory_kb).max(),
        "leave_ms": median_of(&|trial| trial.shutdown.as_secs_f64() * 1000.0),
        "sent": sent, "served": served, "refused": rejected, "failed": failed, "unanswered": unanswered,
        "no_room": sum_of(&|trial| trial.summary.no_capacity),
        "doubles": sum_of(&|trial| trial.summary.duplicate_answers),
        "law_off": trials.iter().map(|trial| trial.max_law_off).fold(0.0, f64::max),
        "slots": median_of(&|trial| trial.interval_count as f64),
        "off": trials.iter().flat_map(|trial| trial.mismatches.clone()).collect::<Vec<_>>(),
    })
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1000.0
}

/// The merged latencies of several trials. There must be at least one trial.
fn merged_latency(trials: &[Trial]) -> Histogram<u64> {
    let mut merged = trials[0].summary.latency.clone();
    for trial in &trials[1..] {
        // All histograms have the same bounds, so adding cannot fail.
        let _ = merged.add(&trial.summary.latency);
    }
    merged
}

/// Minimum, median and maximum of the ratios of a figure to the baseline's figure in the same round.
fn ratios_of_rounds(trials: &[Trial], baseline: &[Trial], figure: &dyn Fn(&Trial) -> f64) -> Value {
    let ratios: Vec<f64> =
        trials.iter().zip(baseline).map(|(trial, baseline)| figure(trial) / figure(baseline)).collect();
    let least = ratios.iter().copied().reduce(f64::min);
    let largest = ratios.iter().copied().reduce(f64::max);
    json!([least, median(ratios), largest])
}

/// The report as a table.
pub fn table(report: &Value) -> String {
    let mut text = String::from(
        "way         p50    p99    p99.9  (p99 of turns)      cpu (of turns)       leave ms sent    refused failed \
         unanswered slots sums off\n",
    );
    for row in report.as_array().into_iter().flatten() {
        let number = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
        let range = |name: &str| {
            let ratio = |index: usize| number(&row[name][index]);
            format!("{:.2} {:.2} {:.2}", ratio(0), ratio(1), ratio(2))
        };
        text += &format!(
            "{:<11} {:<6.3} {:<6.3} {:<6.3} ({:<16}) ({:<16}) {:<8.0} {:<7} {:<7} {:<6} {:<10} {:<5} {}\n",
            row["way"].as_str().unwrap_or_default(),
            number(&row["p50"]),
            number(&row["p99"]),
            number(&row["p999"]),
            range("p99_of_turns"),
            range("cpu_of_turns"),
            number(&row["leave_ms"]),
            row["sent"],
            row["refused"],
            row["failed"],
            row["unanswered"],
            row["slots"],
            row["off"].as_array().map_or(0, Vec::len),
        );
    }
    text
}
