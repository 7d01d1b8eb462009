//! Priorities in a flood: first attempts, high weights and tenants within their quota get the cores.

use pinepoint::admission::*;

use crate::common::*;

/// Sends an arrival every 25 ms to two cores whose runs take half a second. `make` returns the class and the
/// retry mark of an arrival by its number. Returns all actions, each with the number of the last arrival.
fn flood(make: impl Fn(u32) -> (usize, bool)) -> Vec<(u32, Action)> {
    let mut server = TestServer::new(settings());
    let (mut running, mut seen) = (Vec::new(), Vec::new());
    for id in 1..=600 {
        let (class, retry) = make(id);
        let mut actions = server.arrive(Request { retry, read_delay_ms: 10.0, ..request(id, class) });
        actions.extend(server.advance(25.0, 1.0, 4.0));
        if id % 10 == 0 && !running.is_empty() {
            actions.extend(server.handle(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        running.extend(started_ids(&actions));
        seen.extend(actions.into_iter().map(|a| (id, a)));
    }
    seen
}

#[test]
fn retry_flood_leaves_cores_to_first_attempts() {
    let seen = flood(|id| (0, id % 5 != 0));
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 5 == 0);
    let firsts = seen.iter().filter(|a| ran(a)).count();
    assert!(firsts >= 28, "40 runs end, and first attempts should get the idle cores: {firsts} did");
}

#[test]
fn high_weight_arrival_displaces_queued_request() {
    let seen = flood(|id| (usize::from(id % 10 == 0), false));
    let displaced =
        |a: &(u32, Action)| matches!(a, (at, Action::Reject { id, .. }) if at % 10 == 0 && id < at);
    assert!(seen.iter().any(displaced), "no request with three times the weight displaced a queued one");
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 10 == 0);
    let best = seen.iter().filter(|a| ran(a)).count();
    assert!(best >= 30, "only {best} of the 40 requests with the highest weight ran");
}

#[test]
fn slow_server_limits_flooding_tenant() {
    let mut config = settings();
    let tenant = Tenant { quota_per_s: 40.0, ..Tenant::default() };
    config.tenants = vec![tenant; 2];
    (config.servers, config.over_quota_weight) = (10.0, 0.05);
    config.classes[0] = Class { latency_objective_ms: 4000.0, timeout_ms: 12_000.0, ..Class::default() };
    let mut server = TestServer::new(config);
    let (mut running, mut ran, mut arrived) = (Vec::new(), [0, 0], [0, 0]);
    // Two runs a second, far below the quota of each tenant, which is four a second on each server.
    for id in 1..=1200u32 {
        let tenant = usize::from(id % 10 == 0);
        arrived[tenant] += 1;
        let mut actions =
            server.arrive(Request { tenant: Some(tenant), read_delay_ms: 10.0, ..request(id, 0) });
        actions.extend(server.advance(25.0, 1.0, 4.0));
        if id % 20 == 0 && !running.is_empty() {
            actions.extend(server.handle(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        for started in started_ids(&actions) {
            running.push(started);
            ran[usize::from(started % 10 == 0)] += 1;
        }
    }
    assert!(
        ran[1] * 2 >= ran[0],
        "the second tenant sends a tenth of the arrivals and has half of the quotas: {ran:?} of {arrived:?} ran"
    );
}
