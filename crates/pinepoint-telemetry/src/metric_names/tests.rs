use proptest::prelude::*;

use super::*;

#[test]
fn sanitize_keeps_valid_names_and_makes_others_valid_and_distinct() {
    assert_eq!(sanitize("thesis-submit"), "thesis-submit");
    for invalid in ["a.b", "a b", "a;b=c", "a\nb 1 2", "", "ž", &"x".repeat(65), "a/b", "~"] {
        let sanitized = sanitize(invalid);
        assert!(
            sanitized.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-'),
            "{sanitized}"
        );
        assert!((1..=MAX_COMPONENT_BYTES).contains(&sanitized.len()));
    }
    assert_ne!(sanitize("a.b"), sanitize("a b"));
    assert_ne!(sanitize("a.b"), "a_b");
    assert_eq!(sanitize_dotted("stats.sko.."), "stats.sko");
}

fn paths(host: &str, classes: &[&str], tags: bool) -> Vec<String> {
    let classes: Vec<String> = classes.iter().map(|class| (*class).to_owned()).collect();
    let schema = Schema::new(&classes, &["pings"], &["hung"]);
    MetricNaming { prefix: "pinepoint".into(), host: host.into(), tags }.paths(&schema)
}

#[test]
fn paths_contain_scope_class_and_host() {
    let untagged = paths("n1", &["look", "write"], false);
    for expected in [
        "pinepoint.n1.class.look.served_in_aim",
        "pinepoint.n1.class.write.refused.too-late",
        "pinepoint.n1.class.write.total.p99_ms",
        "pinepoint.n1.node.pings",
        "pinepoint.n1.module.hung",
        "pinepoint.n1.telemetry.law_off",
    ] {
        assert!(untagged.iter().any(|path| path == expected), "{expected}");
    }
    let tagged = paths("n1", &["look", "write"], true);
    assert!(tagged.iter().any(|path| path == "pinepoint.class.run.p50_ms;class=write;host=n1"));
    assert!(tagged.iter().any(|path| path == "pinepoint.node.pings;host=n1"));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the names of classes and hosts, no path breaks the protocol's syntax and no two are equal.
    #[test]
    fn paths_are_valid_and_distinct_for_all_names(
        host in any::<String>(),
        a in any::<String>(),
        b in any::<String>(),
        tags: bool,
    ) {
        prop_assume!(a != b);
        let paths = paths(&host, &[&a, &b], tags);
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.;=".contains(c);
        prop_assert!(paths.iter().all(|path| path.chars().all(is_valid) && !path.contains("..")));
        let distinct: std::collections::BTreeSet<_> = paths.iter().collect();
        prop_assert_eq!(distinct.len(), paths.len());
    }
}
