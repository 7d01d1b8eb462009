//! When runs count as stalled, and when not.

use pinepoint::admission::*;
use rstest::rstest;

use crate::common::*;

/// A start in the middle of a day, Unix ms.
const START_MS: f64 = 1_796_256_000_000.0;

/// Six cores, long work and a write that has no idempotency key.
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

/// What happened: a run that had started before the first sample and was not over by then counted as without progress since
/// 1970. Until a run ended everything was rejected as `hung`, and health checks failed: for some 2 s on a cold machine.
#[rstest]
#[case::short_work(settings())]
#[case::long_work(long_work())]
fn a_run_that_starts_before_the_first_sample_is_not_stalled(#[case] settings: Settings) {
    let mut server = TestServer::started_at(settings, START_MS);
    server.now += 1.0;
    assert!(started(&server.arrive(request(1, 0)), 1));
    let actions = server.advance(100.0, 0.5, 1.0);
    assert!(!actions.iter().any(|action| matches!(action, Action::SetHealth { healthy: false, .. })));
    assert!(started(&server.arrive(request(2, 0)), 2));
}

/// The other side: no run ever ends, from the start on.
#[rstest]
#[case::short_work(settings())]
#[case::long_work(long_work())]
fn runs_that_never_end_are_stalled_from_the_start_on(#[case] settings: Settings) {
    let mut server = TestServer::started_at(settings, START_MS);
    assert!(started(&server.arrive(request(1, 0)), 1));
    let actions = server.advance(60_000.0, 0.5, 1.0);
    assert!(actions.iter().any(|action| matches!(action, Action::SetHealth { healthy: false, .. })));
    assert!(rejected(&server.arrive(request(2, 0)), 2));
}
