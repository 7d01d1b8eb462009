//! Who gets the cores in a flood: first attempts, the highest weight, tenants within their quota.

use pinepoint::admission::*;

use crate::common::*;

/// Two cores whose runs take half a second, an arrival every 25 ms; `make` gives class and retry mark by number.
fn flood(make: impl Fn(u32) -> (usize, bool)) -> Vec<(u32, Action)> {
    let mut server = TestServer::new(settings());
    let (mut running, mut seen) = (Vec::new(), Vec::new());
    for id in 1..=600 {
        let (class, retry) = make(id);
        let mut actions = server.arrive(Request { retry, queued_ms: 10.0, ..request(id, class) });
        actions.extend(server.advance(25.0, 1.0, 4.0));
        if id % 10 == 0 && !running.is_empty() {
            actions.extend(server.handle(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        running.extend(
            actions.iter().filter_map(|a| if let Action::StartRun { id } = a { Some(*id) } else { None }),
        );
        seen.extend(actions.into_iter().map(|a| (id, a)));
    }
    seen
}

#[test]
fn in_a_flood_of_retries_the_cores_go_to_first_tries() {
    let seen = flood(|id| (0, id % 5 != 0));
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 5 == 0);
    let firsts = seen.iter().filter(|a| ran(a)).count();
    assert!(firsts >= 28, "40 runs end; those that take their cores should still be in time: {firsts}");
}

#[test]
fn in_a_flood_the_best_displaces_the_least_worthy_that_waits() {
    let seen = flood(|id| (usize::from(id % 10 == 0), false));
    let displaced =
        |a: &(u32, Action)| matches!(a, (at, Action::Reject { id, .. }) if at % 10 == 0 && id < at);
    assert!(seen.iter().any(displaced), "worth three times as much, it is not left to chance");
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 10 == 0);
    let best = seen.iter().filter(|a| ran(a)).count();
    assert!(best >= 30, "{best} of the 40 that are worth most");
}

#[test]
fn on_a_slow_server_the_tenant_that_floods_gives_way() {
    let mut config = settings();
    let tenant = Tenant { quota_per_s: 40.0, ..Tenant::default() };
    config.tenants = vec![tenant; 2];
    (config.servers, config.over_quota_weight) = (10.0, 0.05);
    config.classes[0] = Class { latency_objective_ms: 4000.0, timeout_ms: 12_000.0, ..Class::default() };
    let mut server = TestServer::new(config);
    let (mut running, mut ran, mut came) = (Vec::new(), [0, 0], [0, 0]);
    // Two runs a second, far under an allowance of four a second and server for each.
    for id in 1..=1200u32 {
        let tenant = usize::from(id % 10 == 0);
        came[tenant] += 1;
        let mut actions = server.arrive(Request { tenant: Some(tenant), queued_ms: 10.0, ..request(id, 0) });
        actions.extend(server.advance(25.0, 1.0, 4.0));
        if id % 20 == 0 && !running.is_empty() {
            actions.extend(server.handle(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        for started in
            actions.iter().filter_map(|a| if let Action::StartRun { id } = a { Some(*id) } else { None })
        {
            running.push(started);
            ran[usize::from(started % 10 == 0)] += 1;
        }
    }
    assert!(ran[1] * 2 >= ran[0], "a tenth of what comes, half of the allowances: {ran:?} of {came:?}");
}
