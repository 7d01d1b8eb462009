//! Configuration files that are read again: which are accepted, and which index a class or tenant has after that.

mod reload_support;

use std::path::Path;

use pinepoint::admission::{Idempotency, Tenant};
use pinepoint::config::site::{MAX_CLASSES, MAX_TENANTS, RETIRED_GRACE_MS, Site, SiteError};
use pinepoint::config::{Config, FileError};
use reload_support::{KEYED, READ, service, site};
use serde_json::{Value, json};

/// A configuration with all sections that the platform writes.
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
    Config::parse(Path::new("c.json"), &document.to_string()).expect("a good first configuration")
}

fn next(config: &Config, document: &Value) -> Result<Config, FileError> {
    config.next(Path::new("c.json"), &document.to_string(), 1000.0)
}

fn services(document: &mut Value) -> &mut Vec<Value> {
    document.pointer_mut("/settings/services").and_then(Value::as_array_mut).expect("there")
}

// ---- which files are taken ----

#[test]
fn the_same_file_again_is_taken() {
    let first = parse(&document());
    let again = next(&first, &document()).expect("taken");
    assert_eq!(again.site.settings, first.site.settings);
    assert!(first.restart_only_differences(&again).is_empty());
}

#[test]
fn a_file_that_is_cut_short_anywhere_is_turned_down() {
    let first = parse(&document());
    for text in [document().to_string(), serde_json::to_string_pretty(&document()).expect("text")] {
        for cut in 0..text.len() {
            let error = first.next(Path::new("c.json"), &text[..cut], 0.0).expect_err("turned down");
            assert!(error.position.is_some(), "cut at {cut}: {error}");
        }
        assert!(first.next(Path::new("c.json"), &text, 0.0).is_ok());
    }
}

/// The path of each key of the document, as a pointer.
fn pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, value)| (n.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let pointer = format!("{at}/{key}");
        if value.is_object() {
            found.push(pointer.clone());
        }
        pointers(child, &pointer, found);
    }
}

fn without(document: &Value, pointer: &str) -> Value {
    let mut document = document.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    document.pointer_mut(parent).and_then(Value::as_object_mut).expect("there").remove(key).expect("there");
    document
}

#[test]
fn a_file_that_lacks_any_key_is_turned_down_but_for_the_optional_ones() {
    let first = parse(&document());
    let mut all = Vec::new();
    pointers(&document(), "", &mut all);
    assert!(all.len() > 70, "{all:?}");
    let optional = ["/management", "/settings/prices/fleet", "/settings/services/2/aimStretch"];
    for pointer in &all {
        let taken = next(&first, &without(&document(), pointer));
        match taken {
            Ok(_) => assert!(optional.contains(&pointer.as_str()), "taken without {pointer}"),
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
fn a_missing_key_is_told_with_its_place() {
    let first = parse(&document());
    let lacks = without(&document(), "/settings/services/1/worth");
    let text = serde_json::to_string_pretty(&lacks).expect("text");
    let error = first.next(Path::new("c.json"), &text, 0.0).expect_err("turned down");
    assert_eq!(error.field, "settings.services[1].worth");
    let line = error.position.expect("a place").line;
    let told = text.lines().nth(line - 1).expect("a line");
    assert!(told.contains('{'), "the entry that lacks it begins on line {line}: {told}");
    assert!(error.problem.contains("is missing"), "{error}");
}

#[test]
fn an_object_in_the_place_of_which_stands_something_else_lacks_its_keys() {
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
fn what_the_file_in_force_has_decides_which_keys_are_needed() {
    let first = parse(&document());
    let mut more = document();
    more["settings"]["contract"]["waitMs"] = json!(5);
    let second = next(&first, &more).expect("more keys than before");
    assert!(next(&second, &document()).is_err(), "the key that came is needed from then on");
    assert!(next(&second, &more).is_ok());
}

#[test]
fn a_deadline_that_is_no_number_above_0_turns_the_whole_file_down() {
    let first = parse(&document());
    for class in 0..3 {
        for wrong in [json!(-5), json!(0), json!(null), json!("x"), json!("900"), json!([])] {
            let mut bad = document();
            bad["engine"] = json!("127.0.0.1:999");
            services(&mut bad)[class]["deadlineMs"] = wrong.clone();
            let error = next(&first, &bad).expect_err("turned down");
            assert_eq!(error.field, format!("settings.services[{class}].deadlineMs"), "{wrong}");
            assert!(error.position.is_some());
        }
    }
    assert_eq!(first.engine, "127.0.0.1:2".parse().expect("an address"), "nothing of it was taken");
}

#[test]
fn what_cannot_change_without_a_restart_is_named() {
    let first = parse(&document());
    let mut other = document();
    other["name"] = json!("n2");
    other["limits"]["sockets"] = json!(128);
    other["limits"]["memory_mb"] = json!(16);
    let second = next(&first, &other).expect("taken");
    assert_eq!(first.restart_only_differences(&second), ["name", "limits.sockets"]);
    assert_eq!(second.memory_mb, 16.0);
}

// ---- indexes ----

#[test]
fn a_class_dropped_from_the_middle_leaves_the_others_where_they_are() {
    let first = parse(&document());
    let mut changed = document();
    services(&mut changed).remove(1);
    services(&mut changed).push(service("report-view_new", READ));
    changed["settings"]["specifics"]["classCalls"] = json!([false, true, false]);
    let site = next(&first, &changed).expect("taken").site;
    let index = |name: &str| site.class_of(name, 1000.0);
    assert_eq!(index("quick-match"), Some(0));
    assert_eq!(index("thesis-submit"), Some(1), "it is still accepted for a moment");
    assert_eq!(index("report-view"), Some(2));
    assert_eq!(index("report-view_new"), Some(3));
    assert_eq!(site.class_of("thesis-submit", 1000.0 + RETIRED_GRACE_MS - 1.0), Some(1));
    assert_eq!(site.class_of("thesis-submit", 1000.0 + RETIRED_GRACE_MS), None);
    assert_eq!((0..4).map(|class| site.is_retired(class)).collect::<Vec<_>>(), [false, true, false, false]);
    assert_eq!(site.class_name(1), "thesis-submit");
    let calls: Vec<bool> = site.settings.classes.iter().map(|class| class.calls).collect();
    assert_eq!(calls, [false, true, true, false], "lists beside the classes go by their place in the file");
    assert_eq!(site.settings.classes[1], first.site.settings.classes[1], "its settings stay");
}

#[test]
fn a_class_that_comes_back_takes_its_index_if_its_effect_is_the_same() {
    let first = site(&[("look", READ), ("write", KEYED)]);
    let dropped = first.merged_with(site(&[("look", READ)]), 1000.0).expect("taken");
    let back = dropped.merged_with(site(&[("write", KEYED), ("look", READ)]), 9000.0).expect("taken");
    assert_eq!((back.class_of("write", 1e9), back.class_of("look", 1e9)), (Some(1), Some(0)));
    assert!(!back.is_retired(1));

    let other =
        dropped.merged_with(site(&[("look", READ), ("write", "non_idempotent")]), 9000.0).expect("taken");
    assert_eq!(other.class_of("write", 1e9), Some(2), "keys of the old one stay under the old index");
    assert_eq!(other.settings.classes[1].idempotency, Idempotency::Keyed);
    assert!(other.is_retired(1) && !other.is_retired(2));

    let again = other.merged_with(first.clone(), 10_000.0).expect("taken");
    assert_eq!(again.class_of("write", 1e9), Some(1));
    assert!(again.is_retired(2));
}

#[test]
fn a_class_whose_effect_changes_while_it_lives_gets_a_new_index() {
    let first = site(&[("look", READ), ("write", KEYED)]);
    let changed = first.merged_with(site(&[("look", READ), ("write", READ)]), 1000.0).expect("taken");
    assert_eq!(changed.class_of("write", 1000.0), Some(2));
    assert_eq!(changed.settings.classes[1].idempotency, Idempotency::Keyed);
    assert_eq!((changed.class_name(1), changed.class_name(2)), ("write", "write"));
}

#[test]
fn a_class_that_is_dropped_twice_is_accepted_from_its_last_drop_on() {
    let (both, one) = (site(&[("look", READ), ("write", KEYED)]), site(&[("look", READ)]));
    let dropped = both.merged_with(one.clone(), 1000.0).expect("taken");
    let still = dropped.merged_with(one.clone(), 3000.0).expect("taken");
    assert_eq!(still.class_of("write", 4000.0), None, "a further reload without it does not renew its time");
    let again = still.merged_with(both, 5000.0).expect("taken").merged_with(one, 6000.0).expect("taken");
    assert_eq!(again.class_of("write", 8999.0), Some(1));
}

#[test]
fn tenants_keep_their_indexes_too() {
    let first = parse(&document());
    let mut changed = document();
    changed["settings"]["projects"] =
        json!([{"name": "b", "allowancePerS": 25}, {"name": "c", "allowancePerS": 5}]);
    let site = next(&first, &changed).expect("taken").site;
    let index = |name: &str| site.tenant_of(name, 1000.0);
    assert_eq!((index("a"), index("b"), index("c"), index("d")), (Some(0), Some(1), Some(2), None));
    assert_eq!(site.tenant_of("a", 1000.0 + RETIRED_GRACE_MS), None);
    let wanted = [(10.0, true), (25.0, false), (5.0, false)];
    assert_eq!(site.settings.tenants, wanted.map(|(quota_per_s, retired)| Tenant { quota_per_s, retired }));
}

#[test]
fn more_indexes_than_one_process_gives_out_are_refused_with_the_mend() {
    let named = |from: usize, n: usize| {
        let names: Vec<String> = (from..from + n).map(|n| format!("c{n}")).collect();
        site(&names.iter().map(|name| (name.as_str(), READ)).collect::<Vec<_>>())
    };
    let full = named(0, 100).merged_with(named(100, 100), 0.0).expect("taken");
    let full = full.merged_with(named(200, MAX_CLASSES - 200), 0.0).expect("as many as there may be");
    let error = full.merged_with(named(MAX_CLASSES, 1), 0.0).expect_err("one more");
    assert_eq!(error, SiteError::TooManyNames { field: "services", max: MAX_CLASSES });
    assert!(error.to_string().contains("restart"), "{error}");
    assert!(full.merged_with(named(0, MAX_CLASSES), 0.0).is_ok(), "those that are known fit for ever");

    let tenants = |from: usize, n: usize| {
        let tenants: Vec<Value> = (from..from + n).map(|n| json!({"name": format!("t{n}")})).collect();
        Site::from_json(&json!({"services": [service("look", READ)], "projects": tenants}))
            .expect("well formed")
    };
    let full = tenants(0, MAX_TENANTS);
    assert!(full.merged_with(tenants(MAX_TENANTS, 1), 0.0).is_err());
    assert!(full.merged_with(tenants(0, 10), 0.0).is_ok());
}
