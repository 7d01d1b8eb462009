//! Limits on memory, runs and settings.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn memory_is_kept_free_for_what_is_taken() {
    let mut bench = Bench::new(Settings { memory_kb: 500.0, ..settings() });
    for id in 1..=40 {
        bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, (id % 2) as usize) });
    }
    let starts = bench.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    let keys = bench.log.iter().filter(|a| matches!(a, Action::RetainKey { .. })).count() as f64;
    let refusals = bench.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count() as f64;
    let held = 40.0 - starts - refusals;
    assert!(starts * 80.0 + held * 20.0 + keys * 10.0 <= 500.0);
    assert!(starts >= 1.0);
}

#[test]
fn a_burst_of_starts_stays_far_under_the_crowd_that_a_cold_server_survives() {
    let mut set = Settings { cold: true, ..settings() };
    set.rules.warm_up_initial_speed = 0.2;
    set.rules.warm_up_ms = 10_000.0;
    let mut bench = Bench::new(set);
    for id in 1..=40 {
        bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
        bench.pass(20.0, 0.0, 0.0);
    }
    let starts = bench.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    assert!(starts <= 2.0 * (1.0 + 3.0 * 0.28), "{starts} runs on two cold cores");
}

#[test]
fn settings_without_sense_are_a_typed_error() {
    let refused = |set: Settings| AdmissionController::new(set, 1).expect_err("makes no sense");
    assert_eq!(refused(Settings { cores: 0.0, ..settings() }), SettingsError::NoCores);
    assert_eq!(refused(Settings { classes: vec![], ..settings() }), SettingsError::NoClasses);
    assert_eq!(refused(Settings { key_kb: -1.0, ..settings() }), SettingsError::OutOfRange("key_kb"));
    assert_eq!(refused(Settings { cores: f64::NAN, ..settings() }), SettingsError::OutOfRange("cores"));
    assert!(AdmissionController::new(Settings { memory_kb: f64::INFINITY, ..settings() }, 1).is_ok());
}
