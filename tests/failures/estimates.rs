//! Estimates of work, speed and waits: nothing that could be answered in time is rejected as too late.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn large_hint_is_not_rejected_on_idle_cores() {
    let mut server = TestServer::new(settings());
    for id in 1..=20 {
        server
            .arrive(Request { work_hint_ms: Some(if id % 2 == 0 { 20.0 } else { 600.0 }), ..request(id, 0) });
        server.advance(200.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let actions = server.arrive(Request { work_hint_ms: Some(2000.0), ..request(50, 0) });
    assert!(
        started(&actions, 50),
        "hints are rough: with the mean of their ratios, large hints were rejected as too late"
    );
}

#[test]
fn cold_server_learns_its_speed_without_rejections() {
    let mut config = Settings { cold: true, ..settings() };
    (config.rules.warm_up_initial_speed, config.rules.warm_up_ms) = (0.25, 10_000.0);
    let mut server = TestServer::new(config);
    for id in 1..=12 {
        // Work of 150 ms takes 600 ms on the cold server: at two requests a second both cores are never in
        // use.
        let actions = server.arrive(Request { deadline_ms: Some(server.now + 1000.0), ..request(id, 0) });
        assert!(
            started(&actions, id),
            "request {id} was rejected as too late, as if the slowdown were learned twice"
        );
        server.advance(600.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
}

#[test]
fn rejects_arrivals_that_the_queue_makes_late() {
    let mut config = settings();
    config.classes[0].late_weight = 0.2;
    let mut server = TestServer::new(config);
    let mut rejections = Vec::new();
    for id in 1..=20 {
        if rejected(&server.arrive(Request { deadline_ms: Some(20_000.0), ..request(id, 0) }), id) {
            rejections.push(id);
        }
    }
    let first = rejections.first().copied().unwrap_or(99);
    assert!(
        (8..=18).contains(&first),
        "with 150 ms of work each, 8 to 18 requests fill two cores for the objective of 1 s: {rejections:?}"
    );
}

#[test]
fn admits_retry_with_full_attempt_timeout() {
    let mut config = settings();
    config.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut server = TestServer::new(config);
    for id in 1..=40 {
        server.arrive(Request { deadline_ms: Some(server.now + 2250.0), ..request(id, 0) });
        server.advance(200.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let retry = |id, deadline_ms| Request { retry: true, deadline_ms: Some(deadline_ms), ..request(id, 0) };
    let now = server.now;
    assert!(started(&server.arrive(retry(50, now + 2250.0)), 50), "each attempt gets half of the timeout");
    assert!(
        rejected(&server.arrive(retry(51, now + 300.0)), 51),
        "the short rest of the timeout shows that the request is old"
    );
}

#[test]
fn learns_how_well_hints_predict_work() {
    // Hints vary from 60 to 500 ms; work equals the hint or is independent of it.
    let rejects_large_hint = |work_follows_hint: bool| {
        let mut server = TestServer::new(settings());
        for id in 1..=60 {
            let hint = [60.0, 120.0, 300.0, 500.0][id as usize % 4];
            server.arrive(Request { work_hint_ms: Some(hint), ..request(id, 0) });
            server.advance(if work_follows_hint { hint } else { 245.0 }, 0.5, 1.0);
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        rejected(&server.arrive(Request { work_hint_ms: Some(2500.0), ..request(99, 0) }), 99)
    };
    assert!(
        rejects_large_hint(true),
        "work of 2.5 s misses the objective of 1 s here, but another server may be fast enough"
    );
    assert!(!rejects_large_hint(false), "hints that do not predict work cause no rejection");
}
