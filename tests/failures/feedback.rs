//! What callers and the load balancer hear: load report, health, Retry-After, idle connections.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn one_that_leaves_asks_for_work_while_others_still_send_it() {
    let mut server = TestServer::new(settings());
    server.advance(1000.0, 0.2, 0.0);
    server.handle(Event::DrainStarted { kill_ms: server.now + 3000.0 });
    let none = |actions: &[Action]| actions.contains(&Action::ReportLoad { value: 0.0 });
    assert!(
        !none(&server.advance(300.0, 0.2, 0.0)),
        "all traffic would move to the others while this server is idle in its grace"
    );
    assert!(none(&server.advance(100.0, 0.2, 0.0)), "what arrives after the grace must not run");
}

#[test]
fn what_bad_clients_send_does_not_feign_a_jam() {
    let mut server = TestServer::new(settings());
    for id in 0..400 {
        server.arrive(Request { queued_ms: 80.0, ..request(10 * id + 1, 0) });
        let id = 10 * id + 2;
        server.batch(vec![Event::RequestArrived(request(id, 0)), Event::CallerGone { id }]);
        server.advance(10.0, 1.0, 2.0);
        let nth_start = started_ids(&server.log).nth(id as usize / 20);
        if let Some(id) = nth_start {
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
    }
    let rejected = |last: bool| {
        let meant = |a: &&Action| matches!(a, Action::Reject { no_retry: l, .. } if *l == last);
        server.log.iter().filter(meant).count()
    };
    assert!(rejected(false) > 50, "the cores are full");
    assert_eq!(rejected(true), 0, "all had waited alike, and others may well have capacity");
}

#[test]
fn jammed_reading_asks_callers_not_to_go_on() {
    let mut server = TestServer::new(settings());
    for id in 1..=3 {
        server.arrive(Request { queued_ms: 20.0, ..request(id, 0) });
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    server.advance(3000.0, 1.0, 6.0);
    let mut last = false;
    for id in 10..40 {
        let actions = server.arrive(Request { queued_ms: 900.0, ..request(id, 0) });
        last |= actions.iter().any(
            |a| matches!(a, Action::Reject { no_retry: true, retry_after_ms, .. } if *retry_after_ms > 0.0),
        );
    }
    assert!(last, "retries from server to server would jam the reading of all of them");
}

#[test]
fn advice_falls_with_delay_and_returns_with_it() {
    let mut server = TestServer::new(settings());
    let said = |server: &TestServer| {
        server.log.iter().rev().find_map(|a| match a {
            Action::ReportLoad { value } => Some(*value),
            _ => None,
        })
    };
    server.advance(200.0, 0.1, 0.0);
    assert_eq!(said(&server), Some(1.0));
    server.arrive(request(99, 0));
    server.handle(Event::RunEnded { id: 99, outcome: Outcome::Done });
    for id in 1..30 {
        server.arrive(Request { queued_ms: 900.0, ..request(id, 0) });
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    server.advance(100.0, 1.0, 6.0);
    assert!(said(&server) < Some(0.2), "{:?}", said(&server));
    server.advance(20_000.0, 0.1, 0.0);
    assert!(said(&server) > Some(0.9), "{:?}", said(&server));
}

#[test]
fn health_fails_while_all_that_is_read_is_dead_on_arrival() {
    let health = |actions: &[Action]| {
        actions.iter().rev().find_map(|a| match a {
            Action::SetHealth { healthy, .. } => Some(*healthy),
            _ => None,
        })
    };
    for slow in [false, true] {
        let mut server = TestServer::new(settings());
        for id in 1..=40 {
            server.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
            server.advance(40.0, 0.5, 2.0);
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        let mut actions = Vec::new();
        for id in 41..60 {
            server.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
            actions.extend(server.advance(if slow { 400.0 } else { 40.0 }, 0.5, 2.0));
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
        for id in 60..90 {
            server.arrive(Request { queued_ms: 2990.0, ..request(id, 0) });
            actions.extend(server.advance(40.0, 1.0, 2.0));
        }
        let wanted = if slow { Some(false) } else { None };
        assert_eq!(
            health(&actions),
            wanted,
            "slowed: {slow}; a jam of the whole fleet must not empty the endpoint list"
        );
        let back = health(&server.advance(5000.0, 0.0, 0.0));
        assert_eq!(back, if slow { Some(true) } else { None }, "nothing is unread any more");
    }
}

#[test]
fn a_hung_server_does_not_swallow_traffic() {
    let mut server = TestServer::new(settings());
    server.arrive(request(1, 0));
    server.advance(900.0, 1.0, 1.0);
    let actions = server.arrive(request(2, 0));
    let pauses = |a: &Action| matches!(a, Action::Reject { retry_after_ms, no_retry: false, .. } if *retry_after_ms == 1000.0);
    assert!(actions.iter().any(pauses), "its quick rejections would make it look idle: {actions:?}");
    assert!(server.log.contains(&Action::ReportLoad { value: 0.0 }));
    assert!(server.log.contains(&Action::SetHealth { healthy: false, from_store: true }));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(server.advance(100.0, 0.1, 0.0).contains(&Action::SetHealth { healthy: true, from_store: true }));
    assert!(started(&server.arrive(request(3, 0)), 3));
}

#[test]
fn two_long_runs_are_not_a_hang() {
    let mut config = settings();
    config.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.arrive(request(2, 0));
    server.arrive(request(3, 0));
    let actions = server.advance(700.0, 1.0, 2.0);
    assert!(
        !actions.contains(&Action::SetHealth { healthy: false, from_store: true }),
        "runs of 210 ms vary by as much"
    );
    assert!(!rejected(&actions, 3), "queued requests would be rejected by chance");
    let actions = server.advance(1000.0, 1.0, 2.0);
    assert!(
        actions.contains(&Action::SetHealth { healthy: false, from_store: true }),
        "eight times the expected duration is a stall"
    );
}

#[test]
fn connections_of_many_callers_are_not_kept_until_they_forget_them() {
    let closes = |callers| {
        let server = TestServer::new(Settings { callers, caller_idle_timeout_ms: 30_000.0, ..settings() });
        server
            .log
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections { after_ms } if *after_ms < 10_000.0))
    };
    assert!(closes(1000.0), "each comes back after minutes: the table fills with idle connections");
    assert!(!closes(3.0), "with few callers, a handshake after each idle time gains nothing");
}

#[test]
fn short_first_runs_do_not_make_a_server_look_slowed() {
    let mut server = TestServer::new(settings());
    for id in 1..=8 {
        server.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
        server.advance(if id <= 1 { 5.0 } else { 100.0 }, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    for id in 30..60 {
        server.arrive(Request { queued_ms: 2990.0, ..request(id, 0) });
        server.advance(40.0, 1.0, 2.0);
    }
    let failed = Action::SetHealth { healthy: false, from_store: true };
    assert!(
        !server.log.contains(&failed),
        "in a jam of the fleet such servers would leave the endpoint list by chance"
    );
}

#[test]
fn reasons_of_refusals_are_logged_once_in_many() {
    let mut server = TestServer::new(settings());
    for id in 1..=120 {
        server.arrive(Request { queued_ms: 2995.0, ..request(id, 0) });
    }
    let rejections = server.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    let is_reason = |a: &&Action| matches!(a, Action::Log { text } if text.contains("too-late"));
    assert!(rejections >= 100, "dead on arrival, nearly all: {rejections}");
    assert_eq!(server.log.iter().filter(is_reason).count(), rejections / 50);
}

#[test]
fn a_server_that_turns_most_away_makes_no_room_for_more_connections() {
    let mut server =
        TestServer::new(Settings { callers: 1000.0, caller_idle_timeout_ms: 30_000.0, ..settings() });
    let kept = |server: &TestServer| {
        server.log.iter().rev().find_map(|a| match a {
            Action::CloseIdleConnections { after_ms } => Some(*after_ms),
            _ => None,
        })
    };
    assert!(kept(&server) < Some(10_000.0), "newcomers get a connection while they can be served");
    for id in 1..=60 {
        server.arrive(Request { queued_ms: 2995.0, ..request(id, 0) });
        server.advance(20.0, 1.0, 4.0);
    }
    assert!(kept(&server) > Some(25_000.0), "each new connection would cost a handshake to be rejected");
    for id in 100..200 {
        server.arrive(request(id, 0));
        server.advance(50.0, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
    }
    assert!(kept(&server) < Some(10_000.0), "and it forgets as fast");
}

#[test]
fn a_server_buried_in_new_connections_leaves_the_list() {
    let mut server = TestServer::new(settings());
    let told =
        |actions: &[Action], healthy| actions.contains(&Action::SetHealth { healthy, from_store: true });
    assert!(!told(&server.advance(3000.0, 1.0, 8.0), false), "runs, reading and a few connections");
    assert!(told(&server.advance(2000.0, 1.0, 40.0), false), "it reads no request and answers none");
    assert!(told(&server.advance(3000.0, 1.0, 3.0), true));
}
