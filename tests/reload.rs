//! A configuration that is read again: which successors are taken, what stays as it was under a new one, and that a file
//! which is turned down changes nothing.

mod core_harness;
mod scenario;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;

use core_harness::CoreHarness;
use pinepoint::admission::{
    Action, AdmissionController, Class, Event, FailureReason, Gauge, Idempotency, Request, Settings,
    SettingsError, Tenant,
};
use pinepoint::config::site::{MAX_CLASSES, MAX_TENANTS, RETIRED_GRACE_MS, Site, SiteError};
use pinepoint::config::{Config, FileError};
use pinepoint::server::core::api::{CoreInput, Reply, RunResult};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scenario::World;
use serde_json::{Value, json};

fn service(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "effect": idempotency, "promiseMs": 900, "deadlineMs": 3000, "worth": 1, "lateWorth": 0.2,
        "keyTtlMs": 5000})
}

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

fn site(classes: &[(&str, &str)]) -> Site {
    let classes: Vec<Value> = classes.iter().map(|(name, idempotency)| service(name, idempotency)).collect();
    let settings = json!({"services": classes,
        "contract": {"answerSlackMs": 100, "drainGraceMs": 1000, "fallMultiple": 8},
        "specifics": {"cores": 2, "heapKb": 30000, "runFactor": 4, "keyKb": 5, "gauges": ["cpu_busy", "runnable"]}});
    Site::from_json(&settings).expect("well formed")
}

const READ: &str = "read_like";
const ANY_KEYED_CLASS: &str = "idempotency_key";

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
    let first = site(&[("look", READ), ("write", ANY_KEYED_CLASS)]);
    let dropped = first.merged_with(site(&[("look", READ)]), 1000.0).expect("taken");
    let back =
        dropped.merged_with(site(&[("write", ANY_KEYED_CLASS), ("look", READ)]), 9000.0).expect("taken");
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
    let first = site(&[("look", READ), ("write", ANY_KEYED_CLASS)]);
    let changed = first.merged_with(site(&[("look", READ), ("write", READ)]), 1000.0).expect("taken");
    assert_eq!(changed.class_of("write", 1000.0), Some(2));
    assert_eq!(changed.settings.classes[1].idempotency, Idempotency::Keyed);
    assert_eq!((changed.class_name(1), changed.class_name(2)), ("write", "write"));
}

#[test]
fn a_class_that_is_dropped_twice_is_accepted_from_its_last_drop_on() {
    let (both, one) = (site(&[("look", READ), ("write", ANY_KEYED_CLASS)]), site(&[("look", READ)]));
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

// ---- the decision module ----

fn settings(classes: &[f64]) -> Settings {
    let class = |timeout_ms: &f64| Class { timeout_ms: *timeout_ms, ..Class::default() };
    Settings {
        classes: classes.iter().map(class).collect(),
        gauges: vec![Gauge::BusyShare, Gauge::Runnable],
        ..Settings::default()
    }
}

#[test]
fn the_module_refuses_settings_that_take_an_index_away() {
    let mut controller = AdmissionController::new(settings(&[3000.0, 3000.0]), 1).expect("sound");
    assert_eq!(controller.reconfigure(settings(&[3000.0])), Err(SettingsError::IndexRemoved));
    let bad = Settings { cores: 0.0, ..settings(&[3000.0; 2]) };
    assert_eq!(controller.reconfigure(bad), Err(SettingsError::NoCores));
    assert_eq!(controller.reconfigure(settings(&[3000.0; 3])), Ok(()));
}

#[test]
fn the_module_keeps_the_due_time_of_what_is_open() {
    let mut controller = AdmissionController::new(settings(&[3000.0]), 1).expect("sound");
    let (mut out, mut now) = (Vec::new(), 0.0);
    controller.handle(now, Event::Started, &mut out);
    // The first runs on the one core, the second is held.
    for id in [1, 2] {
        controller.handle(
            now,
            Event::RequestArrived(Request { id, mem_kb: 1.0, ..Request::default() }),
            &mut out,
        );
    }
    controller.handle(now, Event::BatchEnded, &mut out);
    controller.reconfigure(settings(&[400.0])).expect("sound");
    out.clear();
    while now < 2500.0 {
        now += 20.0;
        controller.handle(now, Event::TimerFired { token: 0, gauges: vec![1.0, 1.0] }, &mut out);
        controller.handle(now, Event::BatchEnded, &mut out);
        // A core that gets something done is not taken for one that hangs.
        controller.handle(
            now,
            Event::RunEnded { id: 99, outcome: pinepoint::admission::Outcome::Done },
            &mut out,
        );
    }
    let ended = |action: &Action| matches!(action, Action::Fail { .. });
    assert!(!out.iter().any(ended), "failed before the due time it came with: {out:?}");
    controller.handle(3200.0, Event::TimerFired { token: 0, gauges: vec![1.0, 1.0] }, &mut out);
    assert!(out.contains(&Action::Fail { id: 1, reason: FailureReason::DeadlineExceeded }), "{out:?}");
}

#[test]
fn unchanged_settings_change_no_decision() {
    let run = |reload: bool| {
        let mut controller = AdmissionController::new(settings(&[900.0, 3000.0]), 3).expect("sound");
        let (mut log, mut out, mut running) = (Vec::new(), Vec::new(), Vec::new());
        controller.handle(0.0, Event::Started, &mut out);
        for step in 0..4000_u32 {
            let now = f64::from(step) * 5.0;
            if step % 3 != 0 {
                let class = (step % 2) as usize;
                let request = Request { id: step + 1, class, mem_kb: 1.0, ..Request::default() };
                controller.handle(now, Event::RequestArrived(request), &mut out);
            }
            if step % 4 == 0 {
                controller.handle(now, Event::TimerFired { token: 0, gauges: vec![1.0, 2.0] }, &mut out);
            }
            if step % 11 == 0 && !running.is_empty() {
                let id = running.remove(0);
                controller.handle(
                    now,
                    Event::RunEnded { id, outcome: pinepoint::admission::Outcome::Done },
                    &mut out,
                );
            }
            if reload && step % 50 == 0 {
                controller.reconfigure(settings(&[900.0, 3000.0])).expect("sound");
            }
            controller.handle(now, Event::BatchEnded, &mut out);
            let started =
                |action: &Action| if let Action::StartRun { id } = action { Some(*id) } else { None };
            running.extend(out.iter().filter_map(started));
            log.append(&mut out);
        }
        log
    };
    let (with, without) = (run(true), run(false));
    assert!(without.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() > 100);
    assert_eq!(with, without);
}

// ---- the core ----

/// A core that serves, with the settings it started with.
fn serving(site: &Site) -> CoreHarness {
    let mut harness = CoreHarness::with_site(site.clone(), 1.0, 2000.0);
    harness.recorded.records_classes.set(true);
    harness.handle(CoreInput::EngineAttached { cold: false, ms: 9000.0 });
    harness
}

fn answers(harness: &CoreHarness) -> Vec<Reply> {
    harness.recorded.answers.borrow().values().flatten().cloned().collect()
}

fn complete(harness: &mut CoreHarness, attempt_id: &str, body: &[u8]) {
    harness.handle(CoreInput::RunEnded {
        attempt_id: attempt_id.into(),
        result: RunResult::Complete(body.into()),
    });
}

#[test]
fn a_keyed_request_that_is_open_over_a_reload_keeps_its_key_and_its_window() {
    let first = site(&[("look", READ), ("brief", READ), ("write", ANY_KEYED_CLASS)]);
    let mut harness = serving(&first);
    let arrived_ms = harness.now;
    harness.arrive_as(1, 2, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.run_classes.borrow()["r1"], "write");
    // One before it is dropped, and its window shrinks to nothing.
    let mut changed = site(&[("look", READ), ("write", ANY_KEYED_CLASS), ("more", ANY_KEYED_CLASS)]);
    changed.settings.classes[1].dedup_window_ms = 1.0;
    let changed = Rc::new(first.merged_with(changed, harness.now).expect("taken"));
    harness.reload(changed.clone(), 1.0, 2000.0);
    let write = changed.class_of("write", harness.now).expect("known");
    harness.advance(300.0, 0.5);
    harness.arrive_as(2, write, Some("k".into()), 7, 0.0);
    // Callers that a reload moves to a new class send the next try of a request under its name: it is no other request.
    let more = changed.class_of("more", harness.now).expect("known");
    harness.arrive_as(2, more, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1"]);
    complete(&mut harness, "r1", b"receipt");
    let served = |body: &[u8]| Reply::Served(body.into());
    assert_eq!(answers(&harness), [served(b"receipt"), served(b"receipt"), served(b"receipt")]);
    // With another body it is another request, which must not get the result of the first.
    harness.arrive_as(1, more, Some("k".into()), 8, 0.0);
    assert_eq!(
        harness.recorded.answers.borrow()[&(1, 4)],
        [Reply::Failed { late: false, reason: pinepoint::admission::FailureReason::BodyMismatch }]
    );
    // Within the window that the run was begun with.
    harness.advance(arrived_ms + 4900.0 - harness.now, 0.5);
    harness.arrive_as(0, write, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1"], "the repeat is not run again");
    assert_eq!(harness.recorded.answers.borrow()[&(0, 5)], [served(b"receipt")]);
    harness.advance(arrived_ms + 5100.0 - harness.now, 0.5);
    harness.arrive_as(0, write, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1", "r6"], "after it the key is free");
}

#[test]
fn a_dropped_class_that_returns_with_its_effect_still_knows_its_keys() {
    let both = site(&[("look", READ), ("write", ANY_KEYED_CLASS)]);
    let mut harness = serving(&both);
    harness.arrive_as(1, 1, Some("k".into()), 7, 0.0);
    complete(&mut harness, "r1", b"receipt");
    let dropped = both.merged_with(site(&[("look", READ)]), harness.now).expect("taken");
    harness.reload(Rc::new(dropped.clone()), 1.0, 2000.0);
    harness.advance(500.0, 0.1);
    let back = Rc::new(dropped.merged_with(both, harness.now).expect("taken"));
    harness.reload(back.clone(), 1.0, 2000.0);
    harness.arrive_as(1, back.class_of("write", harness.now).expect("known"), Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().len(), 1);
    assert_eq!(answers(&harness), [Reply::Served((*b"receipt").into()), Reply::Served((*b"receipt").into())]);
}

#[test]
fn what_is_held_while_its_class_is_dropped_runs_under_the_name_it_came_with() {
    let first = site(&[("look", READ), ("brief", READ)]);
    let mut harness = serving(&first);
    for _ in 0..3 {
        harness.arrive_as(1, 1, None, 7, 0.0);
    }
    assert_eq!(harness.recorded.runs.borrow().len(), 2, "two cores");
    let dropped = first.merged_with(site(&[("look", READ)]), harness.now).expect("taken");
    harness.reload(Rc::new(dropped), 1.0, 2000.0);
    complete(&mut harness, "r1", b"one");
    harness.advance(30.0, 0.5);
    assert_eq!(harness.recorded.run_classes.borrow().get("r3").map(String::as_str), Some("brief"));
}

#[test]
fn a_changed_deadline_holds_for_what_is_read_from_then_on() {
    let first = site(&[("look", READ)]);
    let mut harness = serving(&first);
    harness.arrive_as(1, 0, None, 7, 0.0);
    let mut shorter = first.clone();
    shorter.settings.classes[0].timeout_ms = 600.0;
    harness.reload(Rc::new(first.merged_with(shorter, harness.now).expect("taken")), 1.0, 2000.0);
    harness.arrive_as(1, 0, None, 8, 0.0);
    harness.advance(800.0, 0.5);
    let (of_first, of_second) = (
        harness.recorded.answers.borrow().get(&(1, 1)).cloned(),
        harness.recorded.answers.borrow().get(&(1, 2)).cloned(),
    );
    assert_eq!(of_first, None, "it waits for its own time");
    assert!(
        matches!(
            of_second.as_deref(),
            Some([Reply::Failed { late: true, reason: FailureReason::DeadlineExceeded }])
        ),
        "{of_second:?}"
    );
    harness.advance(2400.0, 0.5);
    assert!(matches!(answers(&harness).first(), Some(Reply::Failed { late: true, .. })));
}

#[test]
fn settings_that_come_before_the_engine_are_those_it_begins_with() {
    let first = site(&[("look", READ)]);
    let mut harness = CoreHarness::with_site(first.clone(), 1.0, 2000.0);
    harness.recorded.records_classes.set(true);
    let more = first.merged_with(site(&[("look", READ), ("more", READ)]), harness.now).expect("taken");
    harness.reload(Rc::new(more), 1.0, 2000.0);
    harness.handle(CoreInput::EngineAttached { cold: false, ms: 9000.0 });
    harness.arrive_as(1, 1, None, 7, 0.0);
    assert_eq!(harness.recorded.run_classes.borrow()["r1"], "more");
}

#[test]
fn less_memory_holds_for_results_that_come_after() {
    let first = site(&[("write", ANY_KEYED_CLASS)]);
    let mut harness = serving(&first);
    harness.reload(Rc::new(first.merged_with(first.clone(), harness.now).expect("taken")), 0.0001, 2000.0);
    harness.arrive_as(1, 0, Some("k".into()), 7, 0.0);
    complete(&mut harness, "r1", &[1; 2000]);
    harness.arrive_as(1, 0, Some("k".into()), 7, 0.0);
    let last = answers(&harness).pop();
    assert!(matches!(last, Some(Reply::Failed { .. })), "its result was too large to keep: {last:?}");
    assert_eq!(harness.recorded.runs.borrow().len(), 1);
}

// ---- any sequence of settings ----

#[derive(Clone, Debug)]
enum Step {
    /// Classes by name, each with its effect, deadline and window.
    Reload(Vec<(usize, usize, u16, u16)>),
    Arrive {
        name: usize,
        token: u8,
    },
    Pass(u16),
    End {
        run: u8,
        good: bool,
    },
    Gone(u8),
}

const NAMES: [&str; 5] = ["one", "two", "three", "four", "five"];
const EFFECTS: [&str; 3] = [READ, ANY_KEYED_CLASS, "non_idempotent"];

fn step() -> impl Strategy<Value = Step> {
    let class = (
        0..NAMES.len(),
        prop_oneof![4 => Just(1_usize), 1 => Just(0), 1 => Just(2)],
        300..4000_u16,
        1..6000_u16,
    );
    prop_oneof![
        2 => proptest::collection::vec(class, 1..6).prop_map(Step::Reload),
        12 => (0..NAMES.len(), 0..3_u8).prop_map(|(name, token)| Step::Arrive { name, token }),
        6 => (1..700_u16).prop_map(Step::Pass),
        8 => (any::<u8>(), any::<bool>()).prop_map(|(run, good)| Step::End { run, good }),
        1 => any::<u8>().prop_map(Step::Gone),
    ]
}

fn site_of(classes: &[(usize, usize, u16, u16)]) -> Site {
    let unique: BTreeMap<usize, _> = classes.iter().map(|class| (class.0, class)).collect();
    let mut classes: Vec<Value> = unique
        .into_values()
        .map(|(name, idempotency, deadline, window)| {
            let mut class = service(NAMES[*name], EFFECTS[*idempotency]);
            (class["deadlineMs"], class["keyTtlMs"]) = (json!(deadline), json!(window));
            class
        })
        .collect();
    classes.reverse();
    let settings = json!({"services": classes,
        "contract": {"answerSlackMs": 100, "drainGraceMs": 1000, "fallMultiple": 8},
        "specifics": {"cores": 3, "heapKb": 30000, "runFactor": 4, "keyKb": 5, "gauges": ["cpu_busy", "runnable"]}});
    Site::from_json(&settings).expect("well formed")
}

/// What a request came with.
#[derive(Clone, Debug)]
struct Came {
    class: usize,
    name: &'static str,
    key: Option<(usize, String)>,
    arrived_ms: f64,
    deadline_ms: f64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default()
    })]

    /// Whatever settings follow on each other: each request has one answer by the due time it came with, runs under
    /// the name it came with, no key runs twice within the window that its run was begun with, and the counts of each
    /// class add up.
    #[test]
    fn over_any_sequence_of_settings_answers_windows_and_counts_hold(
        first in proptest::collection::vec((0..NAMES.len(), 0..3_usize, 300..4000_u16, 1..6000_u16), 1..6),
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut site = Rc::new(site_of(&first));
        let mut harness = serving(&site);
        let mut came: Vec<Came> = Vec::new();
        let mut windows: BTreeMap<(usize, String), f64> = BTreeMap::new();
        let (mut runs_seen, mut gone) = (0, BTreeSet::new());
        for step in &steps {
            match step {
                Step::Reload(classes) => {
                    let before = site.clone();
                    site = Rc::new(site.merged_with(site_of(classes), harness.now).expect("few names"));
                    for class in 0..before.settings.classes.len() {
                        prop_assert_eq!(site.class_name(class), before.class_name(class));
                        prop_assert_eq!(
                            site.settings.classes[class].idempotency, before.settings.classes[class].idempotency
                        );
                    }
                    harness.reload(site.clone(), 1.0, 2000.0);
                }
                Step::Arrive { name, token } => {
                    if let Some(class) = site.class_of(NAMES[*name], harness.now) {
                        let settings = &site.settings.classes[class];
                        let token = (settings.idempotency == Idempotency::Keyed).then(|| format!("k{token}"));
                        came.push(Came {
                            class,
                            name: NAMES[*name],
                            key: token.clone().map(|token| (class, token)),
                            arrived_ms: harness.now,
                            deadline_ms: harness.now + settings.timeout_ms,
                        });
                        harness.arrive_as(1, class, token, 7, 0.0);
                    }
                }
                Step::Pass(ms) => harness.advance(f64::from(*ms), 0.6),
                Step::End { run, good } => {
                    let runs = harness.recorded.runs.borrow().clone();
                    if let Some(attempt_id) = runs.get(usize::from(*run) % runs.len().max(1)) {
                        let end = if *good { RunResult::Complete(attempt_id.as_bytes().into()) } else { RunResult::Error };
                        harness.handle(CoreInput::RunEnded { attempt_id: attempt_id.clone(), result: end });
                    }
                }
                Step::Gone(correlation_id) => {
                    let correlation_id = u64::from(*correlation_id) % (harness.last_correlation_id + 1);
                    gone.insert(correlation_id);
                    harness.handle(CoreInput::CallerGone { caller: 1, correlation_id });
                }
            }
            let runs = harness.recorded.runs.borrow().clone();
            for attempt_id in &runs[runs_seen..] {
                let number: usize = attempt_id[1..].parse().expect("a number");
                let request = &came[number - 1];
                prop_assert_eq!(&harness.recorded.run_classes.borrow()[attempt_id], request.name);
                if let Some(key) = &request.key {
                    let window_ms = site.settings.classes[request.class].dedup_window_ms;
                    let until = windows.insert(key.clone(), request.arrived_ms + window_ms);
                    prop_assert!(until.is_none_or(|until| request.arrived_ms >= until), "{:?} ran twice: {}", key, attempt_id);
                }
            }
            runs_seen = runs.len();
            harness.handle(CoreInput::ReportState);
            let open = harness.recorded.state.borrow().open.clone();
            prop_assert_eq!(open.len(), site.settings.classes.len());
            for (class, [read, answered, gone]) in harness.totals_by_class().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
                let sent = came.iter().filter(|request| request.class == class).count() as u64;
                prop_assert_eq!(read, sent, "class {}", class);
            }
            for (number, request) in came.iter().enumerate() {
                let correlation_id = number as u64 + 1;
                let answered = harness.recorded.answers.borrow().contains_key(&(1, correlation_id));
                prop_assert!(
                    answered || gone.contains(&correlation_id) || harness.now < request.deadline_ms + 200.0,
                    "{} of {:?} is open at {}", correlation_id, request, harness.now
                );
            }
        }
        harness.advance(5000.0, 0.2);
        harness.handle(CoreInput::ReportState);
        prop_assert_eq!(harness.recorded.state.borrow().open.iter().sum::<u64>(), 0);
        let answers = harness.recorded.answers.borrow();
        prop_assert!(answers.values().all(|replies| replies.len() == 1));
        // The module knows of each class: it gave the answers that were due, and the core none in its place.
        let is_overdue = |reply: &Reply| matches!(reply, Reply::Failed { reason: FailureReason::Overdue, .. });
        prop_assert!(!answers.values().flatten().any(is_overdue), "{:?}", answers);
    }
}

// ---- the program ----

const UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

fn world() -> World {
    let mut world = World::start(Box::new(scenario::idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    world
}

const SERVED: &str = "
rpc send 1 look rid=a1|paper
engine wait RUN 00000000000000a1 look|paper
engine send DONE 1 00000000000000a1 complete 12|report
rpc expect [1 1 nil [report *";

#[test]
fn at_a_signal_with_an_empty_file_it_goes_on_and_counts_the_failure() {
    let mut world = world();
    world.write_config("");
    world.run(
        "node send HUP\nnode wait reload-failed *c.json:1:0: EOF*".replace("c.json", "config.json").as_str(),
    );
    world.run(SERVED);
    world.run("node send USR1\nnode wait counters * reloads=0 reloads_failed=1*");
}

#[test]
fn a_bad_file_with_another_engine_in_it_moves_nothing() {
    let mut world = world();
    let bad = world.config("moved").replacen("\"deadlineMs\":9000", "\"deadlineMs\":-5", 1);
    world.write_config(&bad);
    world.run("node send HUP\nnode wait reload-failed *services[0].deadlineMs*");
    world.run(SERVED);
    world.run(
        "node send USR1
        node wait counters * reloads=0 reloads_failed=1*
        engine2 never *",
    );
}

#[test]
fn classes_come_and_go_while_requests_are_open() {
    let mut world = world();
    let brief = r#" {"name":"brief","effect":"read_like","promiseMs":900,"deadlineMs":1500,"worth":1},"#;
    let new = r#",{"name":"write_new","effect":"idempotency_key","keyTtlMs":20000,"promiseMs":3000,"deadlineMs":9000,"worth":3}],"#;
    let first = world.config("first").to_owned();
    assert!(first.contains(brief) && first.contains("\"worth\":3}],"), "{first}");
    let changed = first
        .replace(brief, "")
        .replace("\"worth\":3}],", &format!("\"worth\":3}}{new}"))
        .replace("[true,false,true]", "[true,true,true]");
    world.run(
        "rpc send 1 write rid=a1 token=k|paper
        engine wait RUN 00000000000000a1 write|paper
        rpc send 2 write_new rid=a2 token=k|paper
        rpc expect [1 2 [NoMethod *",
    );
    world.write_config(&changed);
    world.run(
        "node send HUP
        node wait reloaded *
        rpc send 3 write_new rid=a3 token=m|paper
        engine wait RUN 00000000000000a3 write_new|paper
        rpc send 4 brief rid=a4|paper
        engine wait RUN 00000000000000a4 brief|paper
        engine send DONE 1 00000000000000a4 complete 12|short
        rpc expect [1 4 nil [short *
        ajp send /write_new secret=s3 token=j|paper
        engine expect RUN $b write_new|paper
        # A repeat of what was open over the reload is not run again, under whatever class it comes.
        rpc2 send 1 write rid=a5 token=k again=1|paper
        rpc2 send 2 write_new rid=a7 token=k again=1|paper
        engine send DONE 2 00000000000000a1 complete 12|receipt
        rpc expect [1 1 nil [receipt *
        rpc2 wait [1 1 nil [receipt *
        rpc2 wait [1 2 nil [receipt *
        engine send DONE 3 00000000000000a3 complete 12|other
        rpc expect [1 3 nil [other *
        node send clock=3500
        rpc send 5 brief rid=a6 t0=3500|paper
        rpc expect [1 5 [NoMethod *
        node send USR1
        node wait counters * reloads=1 reloads_failed=0*",
    );
}
