//! Compares the sums at the receivers with the counts of the load generator.

use crate::collectd::Received;
use crate::graphite::Points;
use crate::load::{LoadSummary, OutcomeCounts};

/// Describes each difference between the receivers and the load generator.
pub(super) fn find(summary: &LoadSummary, points: &Points, received: Option<&Received>) -> Vec<String> {
    let mut mismatches = compare(summary, |class, stats| sum_of_points(points, class, stats));
    if let Some(received) = received {
        let collectd_mismatches = compare(summary, |class, stats| sum_of_received(received, class, stats));
        mismatches.extend(collectd_mismatches.into_iter().map(|text| format!("collectd {text}")));
    }
    if points.malformed + points.conflicting > 0 {
        let Points { malformed, conflicting, .. } = points;
        mismatches.push(format!("{malformed} malformed lines, {conflicting} conflicting points"));
    }
    mismatches
}

/// Number of requests that the program received, over all classes, according to the Graphite receiver.
pub(super) fn requests_reported(summary: &LoadSummary, points: &Points) -> f64 {
    summary.outcomes.keys().map(|class| sum_of_points(points, class, &["read"])).sum()
}

/// Sum over series of a class at the Graphite receiver. A name in `stats` that ends with a dot selects the
/// series of all its reasons.
fn sum_of_points(points: &Points, class: &str, stats: &[&str]) -> f64 {
    let prefix = format!("pinepoint.n1.class.{class}.");
    let is_wanted = |path: &&String| {
        path.strip_prefix(&prefix)
            .is_some_and(|stat| stats.iter().any(|wanted| matches_series(stat, wanted, '.')))
    };
    points.values.keys().filter(is_wanted).map(|path| points.sum(path)).sum()
}

/// Sum over series of a class at the collectd receiver, with `stats` as in [`sum_of_points`].
fn sum_of_received(received: &Received, class: &str, stats: &[&str]) -> f64 {
    let name = |stat: &&str| format!("n1/pinepoint-{class}/derive-{}", stat.replace('.', "-"));
    let wanted: Vec<String> = stats.iter().map(name).collect();
    let is_wanted = |series: &&String| wanted.iter().any(|wanted| matches_series(series, wanted, '-'));
    let series = received.values.keys().filter(is_wanted);
    series.filter_map(|series| received.last(series)).sum()
}

/// Whether a series is the wanted one or, if `wanted` ends with the separator, the series of one of its
/// reasons.
fn matches_series(series: &str, wanted: &str, separator: char) -> bool {
    series == wanted || wanted.ends_with(separator) && series.starts_with(wanted)
}

/// Compares the counts of the load generator with the reported sums, for each class.
fn compare(summary: &LoadSummary, reported: impl Fn(&str, &[&str]) -> f64) -> Vec<String> {
    let mut mismatches = Vec::new();
    for (class, outcomes) in &summary.outcomes {
        let OutcomeCounts { sent, served, rejected, failed, .. } = *outcomes;
        let rows: [(&str, u64, &[&str]); 4] = [
            ("read", sent, &["read"]),
            ("served", served, &["served_in_aim", "served_late"]),
            ("refused", rejected, &["refused."]),
            ("failed", failed, &["failed.", "expired"]),
        ];
        for (outcome, counted, stats) in rows {
            let reported = reported(class, stats);
            if reported != counted as f64 {
                mismatches.push(format!("{class} {outcome}: {reported} reported, {counted} counted"));
            }
        }
    }
    mismatches
}
