//! Generated settings: valid settings start and serve, invalid settings are rejected with an error that names
//! the field.

mod core_harness;

use core_harness::{CoreHarness, Step};
use pinepoint::config::site::Site;
use pinepoint::server::control::lifecycle::Phase;
use pinepoint::server::core::api::CoreInput;
use pinepoint_events::ProcessEvent;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// A valid number of any size: values that switch a feature off, values at the bounds, ordinary values, and
/// null.
fn number() -> BoxedStrategy<Value> {
    prop_oneof![
        3 => Just(json!(0)),
        1 => Just(json!(1e-9)),
        1 => Just(json!(1e12)),
        1 => Just(json!(null)),
        8 => (0.0..20_000.0f64).prop_map(|n| json!(n)),
        8 => (0.0..4.0f64).prop_map(|n| json!(n)),
    ]
    .boxed()
}

/// A valid number above 0, as deadlines require.
fn positive_number() -> BoxedStrategy<Value> {
    prop_oneof![
        1 => Just(json!(1e-9)),
        1 => Just(json!(1e12)),
        8 => (1.0..20_000.0f64).prop_map(|n| json!(n)),
        4 => (0.01..4.0f64).prop_map(|n| json!(n)),
    ]
    .boxed()
}

/// A value that is invalid in every numeric field.
fn invalid_number() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(-1)),
        Just(json!(-1e-300)),
        Just(json!(1.1e12)),
        Just(json!(1e308)),
        Just(json!("4"))
    ]
}

fn class(index: usize) -> BoxedStrategy<Value> {
    let idempotency =
        prop_oneof![Just("read_like"), Just("idempotency_key"), Just("non_idempotent"), Just("")];
    let numbers = (number(), positive_number(), number(), number(), number(), number());
    (idempotency, numbers)
        .prop_map(move |(idempotency, (objective, timeout, weight, late_weight, per_work, window))| {
            json!({"name": format!("c{index}"), "effect": idempotency, "promiseMs": objective,
                "deadlineMs": timeout, "worth": weight, "lateWorth": late_weight, "aimStretch": per_work,
                "keyTtlMs": window})
        })
        .boxed()
}

prop_compose! {
    fn specifics()(
        cores in prop_oneof![Just(1.0), 1.0..64.0f64, Just(1e12)],
        heap in number(), factor in number(), key in number(), callers in number(), result_ttl in number(),
        signal in prop_oneof![Just("level"), Just("credit"), Just("weight"), Just("silent")],
        preemption in prop_oneof![Just("drop"), Just("pause"), Just("silent")],
        idle in number(), quota in number(), quota_window in number(), linger in number(),
        flags in (any::<bool>(), any::<bool>(), any::<bool>()),
        weights_without_call in proptest::collection::vec(number(), 0..5),
        gauges in prop_oneof![Just(vec![]), Just(vec!["cpu_busy", "runnable"]), Just(vec!["mem_used"])],
    ) -> Value {
        json!({"cores": cores, "heapKb": heap, "runFactor": factor, "keyKb": key, "clientsTotal": callers,
            "freshForMs": result_ttl, "signal": signal, "preemption": preemption, "callerIdleMs": idle,
            "callsOut": quota, "callsOverMs": quota_window, "lingerMs": linger, "cold": flags.0, "registryFollows": flags.1,
            "classCalls": [flags.2, !flags.2, true], "worthWithout": weights_without_call, "gauges": gauges})
    }
}

prop_compose! {
    fn settings()(
        classes in (1..5usize).prop_flat_map(|n| (0..n).map(class).collect::<Vec<_>>()),
        specifics in specifics().boxed(),
        numbers in (number(), number(), number(), number(), number(), number(), number(), number()),
        quotas in proptest::collection::vec(number(), 0..4),
        flags in (any::<bool>(), any::<bool>()),
    ) -> Value {
        let (slack, grace, max_running, initial_speed, warm_up, retry_after, servers, tick) = numbers;
        let tenants: Vec<Value> = quotas
            .into_iter()
            .enumerate()
            .map(|(n, quota)| json!({"name": format!("t{n}"), "allowancePerS": quota}))
            .collect();
        json!({"services": classes, "specifics": specifics, "projects": tenants, "servers": servers, "tickMs": tick,
            "worthBy": if flags.0 { "work" } else { "request" },
            "ceilings": {"retryAfter": flags.1, "maxRetryAfterMs": retry_after},
            "contract": {"answerSlackMs": slack, "drainGraceMs": grace, "fallMultiple": max_running,
                "startCapacity": initial_speed, "coldMs": warm_up}})
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4usize, 0..6u8, 0..2u8, prop_oneof![6 => 0..50u16, 1 => Just(9000u16)])
            .prop_map(|(class, key, body, age)| Step::Arrive { class, key, body, age }),
        6 => (1..900u16, 0..=100u8).prop_map(|(ms, busy)| Step::Advance { ms, busy }),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(run, how)| Step::EndRun { run, how }),
        4 => any::<u8>().prop_map(|run| Step::NeedCall { run }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::EndCall { call, how }),
        2 => any::<u8>().prop_map(|correlation_id| Step::CallerGone { correlation_id }),
        1 => Just(Step::DetachEngine),
        1 => Just(Step::AttachEngine),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// With any settings that pass the check, the core starts, answers each request once, and ends after the
    /// termination notice.
    #[test]
    fn valid_settings_start_serve_and_drain(
        settings in settings().boxed(),
        steps in proptest::collection::vec(step(), 1..60),
        stop_ms in prop_oneof![Just(1.0), 1.0..5000.0f64],
    ) {
        let site = Site::from_json(&settings).expect("valid settings");
        let checked = site.settings.check();
        prop_assert!(checked.is_ok(), "{checked:?} for {settings}");
        let classes = site.settings.classes.len();
        let mut harness = CoreHarness::with_site(site, 0.01, stop_ms);
        harness.apply(&Step::AttachEngine);
        prop_assert!(harness.recorded.process_events.borrow().iter().any(|event| matches!(event, ProcessEvent::Started { .. })), "the core did not start");
        for step in &steps {
            match step {
                Step::Arrive { class, key, body, age } => {
                    harness.apply(&Step::Arrive { class: class % classes, key: *key, body: *body, age: *age });
                }
                step => harness.apply(step),
            }
            harness.handle(CoreInput::ReportState);
            let open = harness.recorded.state.borrow().open.clone();
            for (class, [read, answered, gone]) in harness.totals_by_class().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
            }
        }
        harness.apply(&Step::StartDrain);
        harness.advance(stop_ms + 200.0, 0.5);
        prop_assert_eq!(harness.core.phase(), Phase::Terminated);
        let unanswered = harness.totals_by_class().into_iter().map(|[read, answered, gone]| read - answered - gone).sum::<u64>();
        prop_assert_eq!(unanswered, 0, "requests that were unanswered at the end");
        prop_assert!(harness.recorded.answers.borrow().values().all(|replies| replies.len() == 1));
    }

    /// One invalid number in any section: the settings are rejected, and the error names the field, by its
    /// key in the file or by the name that the admission controller gives it.
    #[test]
    fn rejects_invalid_number_and_names_field(
        settings in settings().boxed(),
        invalid in invalid_number(),
        (section, field, controller_name) in prop_oneof![
            Just(("/specifics", "cores", "cores")),
            Just(("/specifics", "heapKb", "memory_kb")),
            Just(("/specifics", "keyKb", "key_kb")),
            Just(("/specifics", "callerIdleMs", "idle_ms")),
            Just(("/specifics", "callsOut", "calls_share")),
            Just(("/contract", "drainGraceMs", "drain_grace_ms")),
            Just(("/contract", "answerSlackMs", "answer_slack_ms")),
            Just(("/services/0", "deadlineMs", "deadline_ms")),
            Just(("/services/0", "keyTtlMs", "key_window_ms")),
            Just(("", "tickMs", "tick_ms")),
        ],
    ) {
        let mut settings = settings;
        settings.pointer_mut(section).and_then(Value::as_object_mut).expect("there").insert(field.into(), invalid);
        let error = match Site::from_json(&settings) {
            Err(error) => error.to_string(),
            Ok(site) => site.settings.check().expect_err("rejected").to_string(),
        };
        prop_assert!(error.contains(field) || error.contains(controller_name), "{error}: {field}");
    }
}

/// The engine receives a class name as one word of a line, and callers name a class by it: a name must be one
/// word and unique.
#[test]
fn rejects_invalid_class_names() {
    let parse = |names: &[&str]| {
        let classes: Vec<Value> = names.iter().map(|name| json!({"name": name})).collect();
        Site::from_json(&json!({"services": classes, "specifics": {"cores": 2}}))
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    assert_eq!(parse(&["look", "write", "kn\u{ed}ha"]), Ok(()));
    for invalid in [&["look", ""][..], &["look", "two words"], &["look", "a\r\nb"], &["look"; 2]] {
        let error = parse(invalid).expect_err("rejected");
        assert!(error.contains("name"), "{invalid:?}: {error}");
    }
}

#[test]
fn rejects_deadline_that_is_not_a_number_above_0() {
    let timeout_of = |class: Value| {
        let settings = json!({"services": [{"name": "look"}, class], "specifics": {"cores": 2}});
        Site::from_json(&settings).map(|site| site.settings.classes[1].timeout_ms).map_err(|e| e.to_string())
    };
    assert_eq!(timeout_of(json!({"name": "write"})), Ok(pinepoint::admission::Class::default().timeout_ms));
    assert_eq!(timeout_of(json!({"name": "write", "deadlineMs": 0.5})), Ok(0.5));
    for invalid in [json!(null), json!("900"), json!(0), json!(-5), json!(-0.0), json!([900]), json!(true)] {
        let error =
            timeout_of(json!({"name": "write", "deadlineMs": invalid.clone()})).expect_err("rejected");
        let expected = "field services[1].deadlineMs is missing or not a number above 0";
        assert_eq!(error, expected, "for {invalid}");
    }
}
