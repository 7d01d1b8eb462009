use super::*;

fn schema() -> Schema {
    Schema::new(&["look".into(), "write".into()], &["connections", "pings"], &["busy_share", "hung"])
}

/// Scope and stat of a point.
fn described(schema: &Schema, point: usize) -> String {
    let MetricDescriptor { scope, stat, .. } = schema.describe(point);
    format!("{scope:?} {stat}")
}

#[test]
fn metric_names_are_unique() {
    let schema = schema();
    let names: std::collections::BTreeSet<String> =
        (0..schema.points()).map(|point| described(&schema, point)).collect();
    assert_eq!(names.len(), schema.points());
}

#[test]
fn indices_match_metric_names() {
    let schema = schema();
    let name = |point: usize| described(&schema, point);
    assert_eq!(name(schema.class_counter(1, ClassCounter::DeadlineExceeded)), "Class(1) expired");
    assert_eq!(name(schema.rejected(1, RejectReason::TooLate)), "Class(1) refused.too-late");
    assert_eq!(name(schema.failed(0, FailureReason::Shutdown)), "Class(0) failed.stop");
    assert_eq!(name(schema.call(1, CallOutcome::Reset)), "Class(1) call.reset");
    assert_eq!(name(schema.run(1, RunOutcome::NotStarted)), "Class(1) run_end.unknown");
    assert_eq!(name(schema.node().start + 1), "Node pings");
    assert_eq!(name(schema.delivery(Destination::Collectd).counters), "Telemetry collectd.intervals_merged");
    assert_eq!(name(schema.log_lines_left_out()), "Telemetry log_lines_left_out");
    let gauge = |index: usize| name(schema.counts() + index);
    let offsets = schema.gauge_offsets();
    let error = offsets.accounting_error;
    assert_eq!(gauge(offsets.core_state), "State held");
    assert_eq!(gauge(offsets.module.start), "Module busy_share");
    assert_eq!(gauge(schema.delivery(Destination::Collectd).gauges), "Telemetry collectd.backlog_intervals");
    assert_eq!((gauge(error), gauge(error + 1)), ("Telemetry law_off".into(), "Telemetry span_s".into()));
    let index = schema.distribution(1, ClassDistribution::Total);
    let point = schema.counts() + schema.gauges() + index * STATISTICS.len() + 4;
    assert_eq!(name(point), "Class(1) total.p99_ms");
    assert_eq!(schema.location(point), ValueLocation::Distribution(index, Statistic::Quantile(990)));
}
