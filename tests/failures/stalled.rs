//! Stall detection: which runs count as stalled.

use pinepoint::admission::*;
use rstest::rstest;

use crate::common::*;

/// Time of the start, Unix ms, in the middle of a day.
const START_MS: f64 = 1_796_256_000_000.0;

/// Settings with six cores, long work and a class of writes without an idempotency key.
fn long_work() -> Settings {
    let write = Class {
        weight: 2.0,
        idempotency: Idempotency::NonIdempotent,
        latency_objective_ms: 800.0,
        timeout_ms: 2700.0,
        ..Class::default()
    };
    let read = Class { latency_objective_ms: 2700.0, timeout_ms: 6800.0, ..Class::default() };
    Settings { cores: 6.0, classes: vec![read, write], ..settings() }
}

/// Guards against this failure: a run that started before the first sample and was still open at it counted
/// as without progress since 1970. Until a run ended, all arrivals were rejected as `hung` and health checks
/// failed, for some 2 s on a cold machine.
#[rstest]
#[case::short_work(settings())]
#[case::long_work(long_work())]
fn run_started_before_first_sample_is_not_stalled(#[case] settings: Settings) {
    let mut server = TestServer::started_at(settings, START_MS);
    server.now += 1.0;
    assert!(started(&server.arrive(request(1, 0)), 1));
    let actions = server.advance(100.0, 0.5, 1.0);
    assert!(!actions.iter().any(|action| matches!(action, Action::SetHealth { healthy: false, .. })));
    assert!(started(&server.arrive(request(2, 0)), 2));
}

/// A stall is still detected if no run ever ends after the start.
#[rstest]
#[case::short_work(settings())]
#[case::long_work(long_work())]
fn run_that_never_ends_is_stalled(#[case] settings: Settings) {
    let mut server = TestServer::started_at(settings, START_MS);
    assert!(started(&server.arrive(request(1, 0)), 1));
    let actions = server.advance(60_000.0, 0.5, 1.0);
    assert!(actions.iter().any(|action| matches!(action, Action::SetHealth { healthy: false, .. })));
    assert!(rejected(&server.arrive(request(2, 0)), 2));
}
