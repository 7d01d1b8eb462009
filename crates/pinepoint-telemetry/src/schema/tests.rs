use super::*;

fn schema() -> Schema {
    Schema::new(&["look".into(), "write".into()], &["connections", "pings"], &["busy_share", "hung"])
}

#[test]
fn every_series_has_a_name_of_its_own() {
    let schema = schema();
    let names: std::collections::BTreeSet<String> =
        (0..schema.points()).map(|at| format!("{:?} {}", schema.point(at).0, schema.point(at).1)).collect();
    assert_eq!(names.len(), schema.points());
}

#[test]
fn places_are_those_of_the_names() {
    let schema = schema();
    let told = |at: usize| {
        let (scope, stat, _) = schema.point(at);
        format!("{scope:?} {stat}")
    };
    assert_eq!(told(schema.plain(1, Plain::Expired)), "Class(1) expired");
    assert_eq!(told(schema.refused(1, RejectReason::TooLate)), "Class(1) refused.too-late");
    assert_eq!(told(schema.failed(0, FailureReason::Shutdown)), "Class(0) failed.stop");
    assert_eq!(told(schema.call(1, CallOutcome::Reset)), "Class(1) call.reset");
    assert_eq!(told(schema.run(1, RunOutcome::NotStarted)), "Class(1) run_end.unknown");
    assert_eq!(told(schema.node().start + 1), "Node pings");
    assert_eq!(told(schema.delivery(1).0), "Telemetry collectd.intervals_merged");
    assert_eq!(told(schema.log_lines()), "Telemetry log_lines_left_out");
    let gauge = |at: usize| told(schema.counts() + at);
    let (state, module, law) = schema.state();
    assert_eq!(gauge(state), "State held");
    assert_eq!(gauge(module.start), "Module busy_share");
    assert_eq!(gauge(schema.delivery(1).1), "Telemetry collectd.backlog_intervals");
    assert_eq!((gauge(law), gauge(law + 1)), ("Telemetry law_off".into(), "Telemetry span_s".into()));
    let dist = schema.counts() + schema.gauges() + schema.dist(1, 2) * PARTS.len();
    assert_eq!(told(dist + 4), "Class(1) total.p99_ms");
    assert_eq!(schema.row(dist + 4), Row::Dist(schema.dist(1, 2), Part::Quantile(990)));
}
