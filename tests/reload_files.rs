//! Configuration files that a reload reads: which files are accepted, and which indexes classes and tenants
//! have after that.

mod reload_support;

use std::path::Path;

use pinepoint::admission::{Idempotency, Tenant};
use pinepoint::config::site::{MAX_CLASSES, MAX_TENANTS, RETIRED_GRACE_MS, Site, SiteError};
use pinepoint::config::{Config, FileError};
use reload_support::{KEYED, READ, service, site};
use serde_json::{Value, json};

/// A configuration with all sections of the platform's file.
fn document() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "members": "127.0.0.1:3",
        "store": "127.0.0.1:4", "seed": "8c1f", "stop_ms": 3000, "management": "127.0.0.1:5",
        "limits": {"cores": 1, "memory_mb": 32, "sockets": 256},
        "settings": {
            "services": [
                service("quick-match", "read_like"),
                service("thesis-submit", "idempotency_key"),
                {"name": "report-view", "effect": "read_like", "promiseMs": 900, "deadlineMs": 3000, "worth": 2,
                    "lateWorth": 0.2, "keyTtlMs": 5000, "aimStretch": 2},
            ],
            "projects": [{"name": "a", "allowancePerS": 10}, {"name": "b", "allowancePerS": 20}],
            "tickMs": 5, "servers": 4, "clientsTotal": 40, "worthBy": "request", "overShareWorth": 0.3,
            "contract": {"answerSlackMs": 100, "drainGraceMs": 1000, "fallMultiple": 8},
            "ceilings": {"retryAfter": true, "maxRetryAfterMs": 1000},
            "goal": {"kept": 0.9}, "prices": {"fleet": 1, "double": 5}, "clients": {"kinds": {"new": 1}},
            "report": {"every": {"ms": 100}},
            "specifics": {"cores": 4, "heapKb": 30000, "runFactor": 4, "keyKb": 5, "signal": "weight",
                "classCalls": [false, true, true], "worthWithout": [0, 0.3, 0], "callsOut": 8, "callsOverMs": 5000,
                "gauges": ["cpu_busy", "runnable"]}
        }
    })
}

fn parse(document: &Value) -> Config {
    Config::parse(Path::new("c.json"), &document.to_string()).expect("a valid first configuration")
}

fn next(config: &Config, document: &Value) -> Result<Config, FileError> {
    config.next(Path::new("c.json"), &document.to_string(), 1000.0)
}

fn services(document: &mut Value) -> &mut Vec<Value> {
    document.pointer_mut("/settings/services").and_then(Value::as_array_mut).expect("there")
}

// ---- accepted and rejected files ----

#[test]
fn accepts_unchanged_file() {
    let first = parse(&document());
    let again = next(&first, &document()).expect("accepted");
    assert_eq!(again.site.settings, first.site.settings);
    assert!(first.restart_only_differences(&again).is_empty());
}

#[test]
fn rejects_file_truncated_at_any_byte() {
    let first = parse(&document());
    for text in [document().to_string(), serde_json::to_string_pretty(&document()).expect("text")] {
        for cut in 0..text.len() {
            let error = first.next(Path::new("c.json"), &text[..cut], 0.0).expect_err("rejected");
            assert!(error.position.is_some(), "cut at {cut}: {error}");
        }
        assert!(first.next(Path::new("c.json"), &text, 0.0).is_ok());
    }
}

/// Collects a JSON pointer to each key of the document.
fn collect_pointers(value: &Value, parent: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, value)| (n.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let pointer = format!("{parent}/{key}");
        if value.is_object() {
            found.push(pointer.clone());
        }
        collect_pointers(child, &pointer, found);
    }
}

fn without(document: &Value, pointer: &str) -> Value {
    let mut document = document.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    document.pointer_mut(parent).and_then(Value::as_object_mut).expect("there").remove(key).expect("there");
    document
}

#[test]
fn rejects_file_without_any_required_key() {
    let first = parse(&document());
    let mut all = Vec::new();
    collect_pointers(&document(), "", &mut all);
    assert!(all.len() > 70, "{all:?}");
    let optional = ["/management", "/settings/prices/fleet", "/settings/services/2/aimStretch"];
    for pointer in &all {
        let result = next(&first, &without(&document(), pointer));
        match result {
            Ok(_) => assert!(optional.contains(&pointer.as_str()), "accepted without {pointer}"),
            Err(error) => {
                assert!(!optional.contains(&pointer.as_str()), "{error}");
                let key = pointer.rsplit('/').next().expect("a key");
                assert!(error.to_string().contains(key), "without {pointer}: {error}");
                assert!(error.position.is_some(), "without {pointer}: {error}");
            }
        }
    }
}

#[test]
fn missing_key_error_gives_position_of_its_entry() {
    let first = parse(&document());
    let incomplete = without(&document(), "/settings/services/1/worth");
    let text = serde_json::to_string_pretty(&incomplete).expect("text");
    let error = first.next(Path::new("c.json"), &text, 0.0).expect_err("rejected");
    assert_eq!(error.field, "settings.services[1].worth");
    let number = error.position.expect("a position").line;
    let line = text.lines().nth(number - 1).expect("a line");
    assert!(line.contains('{'), "line {number} should begin the entry that lacks the key: {line}");
    assert!(error.problem.contains("is missing"), "{error}");
}

#[test]
fn rejects_section_replaced_by_other_value() {
    let first = parse(&document());
    for pointer in
        ["/settings/contract", "/settings/goal", "/limits", "/settings/report/every", "/settings/prices"]
    {
        for wrong in [json!(null), json!(1), json!([]), json!({})] {
            let mut document = document();
            *document.pointer_mut(pointer).expect("there") = wrong.clone();
            assert!(next(&first, &document).is_err(), "{wrong} for {pointer}");
        }
    }
}

#[test]
fn requires_keys_of_latest_accepted_file() {
    let first = parse(&document());
    let mut more = document();
    more["settings"]["contract"]["waitMs"] = json!(5);
    let second = next(&first, &more).expect("accepts additional keys");
    assert!(next(&second, &document()).is_err(), "the added key is required from then on");
    assert!(next(&second, &more).is_ok());
}

#[test]
fn rejects_whole_file_for_invalid_deadline() {
    let first = parse(&document());
    for class in 0..3 {
        for wrong in [json!(-5), json!(0), json!(null), json!("x"), json!("900"), json!([])] {
            let mut invalid = document();
            invalid["engine"] = json!("127.0.0.1:999");
            services(&mut invalid)[class]["deadlineMs"] = wrong.clone();
            let error = next(&first, &invalid).expect_err("rejected");
            assert_eq!(error.field, format!("settings.services[{class}].deadlineMs"), "{wrong}");
            assert!(error.position.is_some());
        }
    }
    assert_eq!(first.engine, "127.0.0.1:2".parse().expect("an address"), "the configuration is unchanged");
}

#[test]
fn names_changed_fields_that_need_restart() {
    let first = parse(&document());
    let mut changed = document();
    changed["name"] = json!("n2");
    changed["limits"]["sockets"] = json!(128);
    changed["limits"]["memory_mb"] = json!(16);
    let second = next(&first, &changed).expect("accepted");
    assert_eq!(first.restart_only_differences(&second), ["name", "limits.sockets"]);
    assert_eq!(second.memory_mb, 16.0);
}

// ---- indexes ----

#[test]
fn dropping_class_keeps_indexes_of_other_classes() {
    let first = parse(&document());
    let mut changed = document();
    services(&mut changed).remove(1);
    services(&mut changed).push(service("report-view_new", READ));
    changed["settings"]["specifics"]["classCalls"] = json!([false, true, false]);
    let site = next(&first, &changed).expect("accepted").site;
    let index = |name: &str| site.class_of(name, 1000.0);
    assert_eq!(index("quick-match"), Some(0));
    assert_eq!(index("thesis-submit"), Some(1), "the dropped name is accepted for the grace period");
    assert_eq!(index("report-view"), Some(2));
    assert_eq!(index("report-view_new"), Some(3));
    assert_eq!(site.class_of("thesis-submit", 1000.0 + RETIRED_GRACE_MS - 1.0), Some(1));
    assert_eq!(site.class_of("thesis-submit", 1000.0 + RETIRED_GRACE_MS), None);
    assert_eq!((0..4).map(|class| site.is_retired(class)).collect::<Vec<_>>(), [false, true, false, false]);
    assert_eq!(site.class_name(1), "thesis-submit");
    let calls: Vec<bool> = site.settings.classes.iter().map(|class| class.calls).collect();
    assert_eq!(calls, [false, true, true, false], "classCalls follows the order of the classes in the file");
    assert_eq!(
        site.settings.classes[1], first.site.settings.classes[1],
        "a dropped class keeps its settings"
    );
}

#[test]
fn returning_class_keeps_index_only_with_same_idempotency() {
    let first = site(&[("look", READ), ("write", KEYED)]);
    let dropped = first.merged_with(site(&[("look", READ)]), 1000.0).expect("accepted");
    let restored = dropped.merged_with(site(&[("write", KEYED), ("look", READ)]), 9000.0).expect("accepted");
    assert_eq!((restored.class_of("write", 1e9), restored.class_of("look", 1e9)), (Some(1), Some(0)));
    assert!(!restored.is_retired(1));

    let other =
        dropped.merged_with(site(&[("look", READ), ("write", "non_idempotent")]), 9000.0).expect("accepted");
    assert_eq!(other.class_of("write", 1e9), Some(2), "keys of the old class stay under the old index");
    assert_eq!(other.settings.classes[1].idempotency, Idempotency::Keyed);
    assert!(other.is_retired(1) && !other.is_retired(2));

    let again = other.merged_with(first.clone(), 10_000.0).expect("accepted");
    assert_eq!(again.class_of("write", 1e9), Some(1));
    assert!(again.is_retired(2));
}

#[test]
fn changed_idempotency_gives_class_new_index() {
    let first = site(&[("look", READ), ("write", KEYED)]);
    let changed = first.merged_with(site(&[("look", READ), ("write", READ)]), 1000.0).expect("accepted");
    assert_eq!(changed.class_of("write", 1000.0), Some(2));
    assert_eq!(changed.settings.classes[1].idempotency, Idempotency::Keyed);
    assert_eq!((changed.class_name(1), changed.class_name(2)), ("write", "write"));
}

#[test]
fn grace_period_starts_when_class_is_dropped() {
    let (both, one) = (site(&[("look", READ), ("write", KEYED)]), site(&[("look", READ)]));
    let dropped = both.merged_with(one.clone(), 1000.0).expect("accepted");
    let still = dropped.merged_with(one.clone(), 3000.0).expect("accepted");
    assert_eq!(still.class_of("write", 4000.0), None, "a further reload does not extend the grace period");
    let again =
        still.merged_with(both, 5000.0).expect("accepted").merged_with(one, 6000.0).expect("accepted");
    assert_eq!(again.class_of("write", 8999.0), Some(1));
}

#[test]
fn dropping_tenant_keeps_indexes_of_other_tenants() {
    let first = parse(&document());
    let mut changed = document();
    changed["settings"]["projects"] =
        json!([{"name": "b", "allowancePerS": 25}, {"name": "c", "allowancePerS": 5}]);
    let site = next(&first, &changed).expect("accepted").site;
    let index = |name: &str| site.tenant_of(name, 1000.0);
    assert_eq!((index("a"), index("b"), index("c"), index("d")), (Some(0), Some(1), Some(2), None));
    assert_eq!(site.tenant_of("a", 1000.0 + RETIRED_GRACE_MS), None);
    let expected = [(10.0, true), (25.0, false), (5.0, false)];
    assert_eq!(site.settings.tenants, expected.map(|(quota_per_s, retired)| Tenant { quota_per_s, retired }));
}

#[test]
fn rejects_names_above_limit_and_suggests_restart() {
    let named = |from: usize, n: usize| {
        let names: Vec<String> = (from..from + n).map(|n| format!("c{n}")).collect();
        site(&names.iter().map(|name| (name.as_str(), READ)).collect::<Vec<_>>())
    };
    let full = named(0, 100).merged_with(named(100, 100), 0.0).expect("accepted");
    let full = full.merged_with(named(200, MAX_CLASSES - 200), 0.0).expect("accepts names up to the limit");
    let error = full.merged_with(named(MAX_CLASSES, 1), 0.0).expect_err("rejects a name above the limit");
    assert_eq!(error, SiteError::TooManyNames { field: "services", max: MAX_CLASSES });
    assert!(error.to_string().contains("restart"), "{error}");
    assert!(full.merged_with(named(0, MAX_CLASSES), 0.0).is_ok(), "known names need no new indexes");

    let tenants = |from: usize, n: usize| {
        let tenants: Vec<Value> = (from..from + n).map(|n| json!({"name": format!("t{n}")})).collect();
        Site::from_json(&json!({"services": [service("look", READ)], "projects": tenants}))
            .expect("valid settings")
    };
    let full = tenants(0, MAX_TENANTS);
    assert!(full.merged_with(tenants(MAX_TENANTS, 1), 0.0).is_err());
    assert!(full.merged_with(tenants(0, 10), 0.0).is_ok());
}
