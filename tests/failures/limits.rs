//! Limits on memory, runs and settings.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn reserved_memory_stays_within_limit() {
    let mut server = TestServer::new(Settings { memory_kb: 500.0, ..settings() });
    for id in 1..=40 {
        server.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, (id % 2) as usize) });
    }
    let starts = server.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    let keys = server.log.iter().filter(|a| matches!(a, Action::RetainKey { .. })).count() as f64;
    let rejections = server.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count() as f64;
    let queued = 40.0 - starts - rejections;
    assert!(starts * 80.0 + queued * 20.0 + keys * 10.0 <= 500.0);
    assert!(starts >= 1.0);
}

#[test]
fn cold_server_limits_concurrent_runs() {
    let mut config = Settings { cold: true, ..settings() };
    config.rules.warm_up_initial_speed = 0.2;
    config.rules.warm_up_ms = 10_000.0;
    let mut server = TestServer::new(config);
    for id in 1..=40 {
        server.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
        server.advance(20.0, 0.0, 0.0);
    }
    let starts = server.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    assert!(starts <= 2.0 * (1.0 + 3.0 * 0.28), "{starts} runs on two cold cores");
}

#[test]
fn unusable_settings_are_typed_errors() {
    let rejected =
        |config: Settings| AdmissionController::new(config, 1).expect_err("unusable settings were accepted");
    assert_eq!(rejected(Settings { cores: 0.0, ..settings() }), SettingsError::NoCores);
    assert_eq!(rejected(Settings { classes: vec![], ..settings() }), SettingsError::NoClasses);
    assert_eq!(rejected(Settings { key_kb: -1.0, ..settings() }), SettingsError::OutOfRange("key_kb"));
    assert_eq!(rejected(Settings { cores: f64::NAN, ..settings() }), SettingsError::OutOfRange("cores"));
    assert!(AdmissionController::new(Settings { memory_kb: f64::INFINITY, ..settings() }, 1).is_ok());
}
