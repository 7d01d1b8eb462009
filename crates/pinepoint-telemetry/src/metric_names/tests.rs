use proptest::prelude::*;

use super::*;

#[test]
fn a_good_name_stays_and_a_bad_one_is_made_harmless_and_stays_distinct() {
    assert_eq!(sanitize("thesis-submit"), "thesis-submit");
    for bad in ["a.b", "a b", "a;b=c", "a\nb 1 2", "", "ž", &"x".repeat(65), "a/b", "~"] {
        let cleaned = sanitize(bad);
        assert!(cleaned.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-'), "{cleaned}");
        assert!((1..=MAX_COMPONENT_BYTES).contains(&cleaned.len()));
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
fn paths_tell_where_a_series_belongs() {
    let plain = paths("n1", &["look", "write"], false);
    for wanted in [
        "pinepoint.n1.class.look.served_in_aim",
        "pinepoint.n1.class.write.refused.too-late",
        "pinepoint.n1.class.write.total.p99_ms",
        "pinepoint.n1.node.pings",
        "pinepoint.n1.module.hung",
        "pinepoint.n1.telemetry.law_off",
    ] {
        assert!(plain.iter().any(|path| path == wanted), "{wanted}");
    }
    let tagged = paths("n1", &["look", "write"], true);
    assert!(tagged.iter().any(|path| path == "pinepoint.class.run.p50_ms;class=write;host=n1"));
    assert!(tagged.iter().any(|path| path == "pinepoint.node.pings;host=n1"));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a class or a comparer is called, no path breaks a line, and none is another's.
    #[test]
    fn no_name_breaks_a_line(host in any::<String>(), a in any::<String>(), b in any::<String>(), tags: bool) {
        prop_assume!(a != b);
        let paths = paths(&host, &[&a, &b], tags);
        let good = |c: char| c.is_ascii_alphanumeric() || "-_.;=".contains(c);
        prop_assert!(paths.iter().all(|path| path.chars().all(good) && !path.contains("..")));
        let distinct: std::collections::BTreeSet<_> = paths.iter().collect();
        prop_assert_eq!(distinct.len(), paths.len());
    }
}
