//! Takeovers without failures: no request is lost, and both processes report correct health and counters.

use std::time::{Duration, Instant};

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[test]
fn takeover_serves_every_request_under_load() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    await_health(&connect(&deployment), true, DEFAULT_TIMEOUT);
    let since = Instant::now();
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let successor = take_over(&deployment);
    std::thread::sleep(SETTLE);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    assert_no_double_runs(&[&predecessor.engine, &successor.engine]);
    assert!(!successor.engine.runs().is_empty(), "the successor served nothing");
}

/// Each round of requests opens a new connection, also while the listening socket passes from one process to
/// the other.
#[test]
fn takeover_serves_every_new_connection() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let load = Load::start(Plan {
        address: deployment.listen,
        clients: 8,
        depth: 1,
        pause: Duration::from_millis(2),
        reconnect: true,
    });
    std::thread::sleep(SETTLE);
    let successor = take_over(&deployment);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_no_double_runs(&[&predecessor.engine, &successor.engine]);
}

/// The predecessor is stopped during the takeover. Connections that wait in the backlog meanwhile are served.
#[test]
fn takeover_serves_connections_in_backlog() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let successor = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    send_signal(&predecessor, Signal::STOP);
    let waiting: Vec<(Client, u64)> = (0..16)
        .map(|n| {
            let client = connect(&deployment);
            let id = client.send(&Request::read(&format!("waiting-{n}"))).expect("sent");
            (client, id)
        })
        .collect();
    successor.engine.set_up(true);
    std::thread::sleep(Duration::from_millis(50));
    send_signal(&predecessor, Signal::CONT);
    await_ready(&successor);
    terminate(&deployment, &mut predecessor);
    for (client, id) in &waiting {
        assert!(matches!(client.wait(*id), Reply::Served(_)));
    }
}

#[test]
fn predecessor_reports_healthy_until_exit() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, commanded_engine());
    let (client, since) = (connect(&deployment), Instant::now());
    let id = start_run(&predecessor, &client, &Request::read("paper"));
    let _successor = take_over(&deployment);
    assert_eq!(client.ping(), Reply::Health(true), "before SIGTERM");
    send_signal(&predecessor, Signal::TERM);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.ping(), Reply::Health(true), "after SIGTERM");
    finish_run(&predecessor, &client, id, "paper");
    await_exit(&deployment, &mut predecessor);
    std::thread::sleep(SILENCE_PERIOD);
    assert_always_registered(&deployment, since);
}

#[test]
fn successor_counts_from_zero() {
    let deployment = deployment();
    let predecessor = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    for n in 0..5 {
        assert_served(&client, &Request::read(&format!("old-{n}")));
    }
    assert_eq!(sum_of_classes(&predecessor, "success"), 5);
    let successor = take_over(&deployment);
    assert_eq!(sum_of_classes(&successor, "success"), 0);
    assert_served(&connect(&deployment), &Request::read("new"));
    assert_eq!(sum_of_classes(&successor, "success"), 1);
    assert_eq!(sum_of_classes(&predecessor, "success"), 5);
}

#[test]
fn consecutive_upgrades_serve_every_request() {
    let deployment = deployment();
    let mut first = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let key = Request::keyed("known to the first");
    let result = assert_served(&connect(&deployment), &key);
    let load = light_load(&deployment);
    let mut second = take_over(&deployment);
    terminate(&deployment, &mut first);
    let third = take_over(&deployment);
    terminate(&deployment, &mut second);
    assert_eq!(assert_served(&connect(&deployment), &retry(&key)), result);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    assert_no_double_runs(&[&first.engine, &second.engine, &third.engine]);
}
