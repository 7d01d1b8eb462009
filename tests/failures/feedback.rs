//! Feedback to callers and the load balancer: load report, health, Retry-After, idle connections.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn load_report_drops_to_zero_late_in_drain_grace() {
    let mut server = TestServer::new(settings());
    server.advance(1000.0, 0.2, 0.0);
    server.handle(Event::DrainStarted { kill_ms: server.now + 3000.0 });
    let reports_zero = |actions: &[Action]| actions.contains(&Action::ReportLoad { value: 0.0 });
    assert!(
        !reports_zero(&server.advance(300.0, 0.2, 0.0)),
        "all traffic would move to the others while this server is idle in its grace"
    );
    assert!(reports_zero(&server.advance(100.0, 0.2, 0.0)), "an arrival after the grace is not run");
}

#[test]
fn abandoned_requests_cause_no_read_congestion() {
    let mut server = TestServer::new(settings());
    for id in 0..400 {
        server.arrive(Request { read_delay_ms: 80.0, ..request(10 * id + 1, 0) });
        let id = 10 * id + 2;
        server.batch(vec![Event::RequestArrived(request(id, 0)), Event::CallerGone { id }]);
        server.advance(10.0, 1.0, 2.0);
        let nth_start = started_ids(&server.log).nth(id as usize / 20);
        if let Some(id) = nth_start {
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
    }
    let rejections = |last: bool| {
        let matching = |a: &&Action| matches!(a, Action::Reject { no_retry, .. } if *no_retry == last);
        server.log.iter().filter(matching).count()
    };
    assert!(rejections(false) > 50, "the cores are busy");
    assert_eq!(
        rejections(true),
        0,
        "all requests waited equally long, and other servers may well have capacity"
    );
}

#[test]
fn read_congestion_tells_callers_not_to_retry() {
    let mut server = TestServer::new(settings());
    for id in 1..=3 {
        server.arrive(Request { read_delay_ms: 20.0, ..request(id, 0) });
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    server.advance(3000.0, 1.0, 6.0);
    let mut told_not_to_retry = false;
    for id in 10..40 {
        let actions = server.arrive(Request { read_delay_ms: 900.0, ..request(id, 0) });
        told_not_to_retry |= actions.iter().any(
            |a| matches!(a, Action::Reject { no_retry: true, retry_after_ms, .. } if *retry_after_ms > 0.0),
        );
    }
    assert!(told_not_to_retry, "retries at one server after another would delay reading on all servers");
}

#[test]
fn load_report_follows_read_delay() {
    let mut server = TestServer::new(settings());
    let last_report = |server: &TestServer| {
        server.log.iter().rev().find_map(|a| match a {
            Action::ReportLoad { value } => Some(*value),
            _ => None,
        })
    };
    server.advance(200.0, 0.1, 0.0);
    assert_eq!(last_report(&server), Some(1.0));
    server.arrive(request(99, 0));
    server.handle(Event::RunEnded { id: 99, outcome: Outcome::Done });
    for id in 1..30 {
        server.arrive(Request { read_delay_ms: 900.0, ..request(id, 0) });
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    server.advance(100.0, 1.0, 6.0);
    assert!(last_report(&server) < Some(0.2), "{:?}", last_report(&server));
    server.advance(20_000.0, 0.1, 0.0);
    assert!(last_report(&server) > Some(0.9), "{:?}", last_report(&server));
}

#[test]
fn health_fails_on_slow_server_with_unservable_arrivals() {
    let health = |actions: &[Action]| {
        actions.iter().rev().find_map(|a| match a {
            Action::SetHealth { healthy, .. } => Some(*healthy),
            _ => None,
        })
    };
    for slow in [false, true] {
        let mut server = TestServer::new(settings());
        for id in 1..=40 {
            server.arrive(Request { read_delay_ms: 10.0, ..request(id, 0) });
            server.advance(40.0, 0.5, 2.0);
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        let mut actions = Vec::new();
        for id in 41..60 {
            server.arrive(Request { read_delay_ms: 10.0, ..request(id, 0) });
            actions.extend(server.advance(if slow { 400.0 } else { 40.0 }, 0.5, 2.0));
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        for id in 60..90 {
            server.arrive(Request { read_delay_ms: 2990.0, ..request(id, 0) });
            actions.extend(server.advance(40.0, 1.0, 2.0));
        }
        let expected = if slow { Some(false) } else { None };
        assert_eq!(
            health(&actions),
            expected,
            "slow: {slow}; overload of the whole fleet must not empty the endpoint list"
        );
        let recovered = health(&server.advance(5000.0, 0.0, 0.0));
        assert_eq!(recovered, if slow { Some(true) } else { None }, "no request is unread any more");
    }
}

#[test]
fn stalled_server_attracts_no_traffic() {
    let mut server = TestServer::new(settings());
    server.arrive(request(1, 0));
    server.advance(900.0, 1.0, 1.0);
    let actions = server.arrive(request(2, 0));
    let gives_retry_after = |a: &Action| matches!(a, Action::Reject { retry_after_ms, no_retry: false, .. } if *retry_after_ms == 1000.0);
    assert!(
        actions.iter().any(gives_retry_after),
        "quick rejections without advice would make the server seem idle: {actions:?}"
    );
    assert!(server.log.contains(&Action::ReportLoad { value: 0.0 }));
    assert!(server.log.contains(&Action::SetHealth { healthy: false, from_store: true }));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(server.advance(100.0, 0.1, 0.0).contains(&Action::SetHealth { healthy: true, from_store: true }));
    assert!(started(&server.arrive(request(3, 0)), 3));
}

#[test]
fn two_long_runs_are_not_a_stall() {
    let mut config = settings();
    config.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.arrive(request(2, 0));
    server.arrive(request(3, 0));
    let actions = server.advance(700.0, 1.0, 2.0);
    assert!(
        !actions.contains(&Action::SetHealth { healthy: false, from_store: true }),
        "the durations of runs of 210 ms vary by that much"
    );
    assert!(!rejected(&actions, 3), "a queued request was rejected because of runs that are long by chance");
    let actions = server.advance(1000.0, 1.0, 2.0);
    assert!(
        actions.contains(&Action::SetHealth { healthy: false, from_store: true }),
        "eight times the expected duration is a stall"
    );
}

#[test]
fn shortens_idle_timeout_with_many_callers() {
    let closes_early = |callers| {
        let server = TestServer::new(Settings { callers, caller_idle_timeout_ms: 30_000.0, ..settings() });
        server
            .log
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections { after_ms } if *after_ms < 10_000.0))
    };
    assert!(closes_early(1000.0), "each caller returns only after minutes: idle connections fill the table");
    assert!(!closes_early(3.0), "with few callers, closing idle connections only adds handshakes");
}

#[test]
fn short_first_runs_do_not_fail_health() {
    let mut server = TestServer::new(settings());
    for id in 1..=8 {
        server.arrive(Request { read_delay_ms: 10.0, ..request(id, 0) });
        server.advance(if id <= 1 { 5.0 } else { 100.0 }, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    for id in 30..60 {
        server.arrive(Request { read_delay_ms: 2990.0, ..request(id, 0) });
        server.advance(40.0, 1.0, 2.0);
    }
    let unhealthy = Action::SetHealth { healthy: false, from_store: true };
    assert!(
        !server.log.contains(&unhealthy),
        "with an overloaded fleet, such servers would leave the endpoint list by chance"
    );
}

#[test]
fn logs_rejection_reasons_once_in_fifty() {
    let mut server = TestServer::new(settings());
    for id in 1..=120 {
        server.arrive(Request { read_delay_ms: 2995.0, ..request(id, 0) });
    }
    let rejections = server.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    let is_reason = |a: &&Action| matches!(a, Action::Log { text } if text.contains("too-late"));
    assert!(rejections >= 100, "nearly all arrivals are read too late: {rejections} rejections");
    assert_eq!(server.log.iter().filter(is_reason).count(), rejections / 50);
}

#[test]
fn keeps_idle_connections_while_rejecting_most_arrivals() {
    let mut server =
        TestServer::new(Settings { callers: 1000.0, caller_idle_timeout_ms: 30_000.0, ..settings() });
    let idle_timeout_ms = |server: &TestServer| {
        server.log.iter().rev().find_map(|a| match a {
            Action::CloseIdleConnections { after_ms } => Some(*after_ms),
            _ => None,
        })
    };
    assert!(
        idle_timeout_ms(&server) < Some(10_000.0),
        "new callers get connections while they can be served"
    );
    for id in 1..=60 {
        server.arrive(Request { read_delay_ms: 2995.0, ..request(id, 0) });
        server.advance(20.0, 1.0, 4.0);
    }
    assert!(
        idle_timeout_ms(&server) > Some(25_000.0),
        "each new connection would cost a handshake only to be rejected"
    );
    for id in 100..200 {
        server.arrive(request(id, 0));
        server.advance(50.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    assert!(idle_timeout_ms(&server) < Some(10_000.0), "the timeout falls as fast once arrivals are served");
}

#[test]
fn health_fails_under_new_connection_flood() {
    let mut server = TestServer::new(settings());
    let health_set_to =
        |actions: &[Action], healthy| actions.contains(&Action::SetHealth { healthy, from_store: true });
    assert!(
        !health_set_to(&server.advance(3000.0, 1.0, 8.0), false),
        "runs, reading and a few new connections are no flood"
    );
    assert!(
        health_set_to(&server.advance(2000.0, 1.0, 40.0), false),
        "the server reads and answers no request"
    );
    assert!(health_set_to(&server.advance(3000.0, 1.0, 3.0), true));
}
