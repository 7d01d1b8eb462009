//! Estimates of work, speed and waits: nothing that could be answered in time is rejected as too late.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn a_rough_hint_does_not_turn_work_away_from_idle_cores() {
    let mut server = TestServer::new(settings());
    for id in 1..=20 {
        server
            .arrive(Request { work_hint_ms: Some(if id % 2 == 0 { 20.0 } else { 600.0 }), ..request(id, 0) });
        server.advance(200.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let actions = server.arrive(Request { work_hint_ms: Some(2000.0), ..request(50, 0) });
    assert!(started(&actions, 50), "hints are rough: the mean of ratios made large ones look hopeless");
}

#[test]
fn a_cold_server_learns_its_speed_without_turning_work_away() {
    let mut config = Settings { cold: true, ..settings() };
    (config.rules.warm_up_initial_speed, config.rules.warm_up_ms) = (0.25, 10_000.0);
    let mut server = TestServer::new(config);
    for id in 1..=12 {
        // Work of 150 ms that takes 600 ms cold: at two requests a second both cores are never in use.
        let actions = server.arrive(Request { deadline_ms: Some(server.now + 1000.0), ..request(id, 0) });
        assert!(started(&actions, id), "slowness learned twice over makes request {id} look hopeless");
        server.advance(600.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
}

#[test]
fn what_the_wait_in_the_hold_makes_late_is_refused_at_read() {
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
    assert!((8..=18).contains(&first), "work of 150 ms on two cores and an aim of 1 s: {rejections:?}");
}

#[test]
fn a_retry_whose_caller_waits_as_long_as_ever_is_not_hopeless() {
    let mut config = settings();
    config.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut server = TestServer::new(config);
    for id in 1..=40 {
        server.arrive(Request { deadline_ms: Some(server.now + 2250.0), ..request(id, 0) });
        server.advance(200.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let again = |id, wait| Request { retry: true, deadline_ms: Some(wait), ..request(id, 0) };
    let now = server.now;
    assert!(started(&server.arrive(again(50, now + 2250.0)), 50), "half the deadline is what each try gets");
    assert!(
        rejected(&server.arrive(again(51, now + 300.0)), 51),
        "what is left of the deadline tells its age"
    );
}

#[test]
fn the_weight_of_a_hint_follows_what_runs_show() {
    // Hints of a fifth to five times the mean; work follows them fully, or not at all.
    let turns_away_long = |follows: bool| {
        let mut server = TestServer::new(settings());
        for id in 1..=60 {
            let hint = [60.0, 120.0, 300.0, 500.0][id as usize % 4];
            server.arrive(Request { work_hint_ms: Some(hint), ..request(id, 0) });
            server.advance(if follows { hint } else { 245.0 }, 0.5, 1.0);
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        rejected(&server.arrive(Request { work_hint_ms: Some(2500.0), ..request(99, 0) }), 99)
    };
    assert!(turns_away_long(true), "2.5 s of work for an aim of 1 s: another server may be fast enough");
    assert!(!turns_away_long(false), "hints that say nothing turn nobody away");
}
