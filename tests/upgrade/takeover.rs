//! Take-overs while everything works: nothing is lost, and both processes report what they should.

use std::time::{Duration, Instant};

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[test]
fn under_steady_load_every_request_is_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    await_health(&connect(&deployment), true, DEFAULT_TIMEOUT);
    let since = Instant::now();
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let new = take_over(&deployment);
    std::thread::sleep(SETTLE);
    terminate(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    assert_no_double_runs(&[&old.engine, &new.engine]);
    assert!(!new.engine.runs().is_empty(), "the new process served nothing");
}

/// Each round comes on a connection of its own, also while the listening socket passes from one process to the other.
#[test]
fn connections_made_all_the_time_are_all_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let load = Load::start(Plan {
        address: deployment.listen,
        clients: 8,
        depth: 1,
        pause: Duration::from_millis(2),
        reconnect: true,
    });
    std::thread::sleep(SETTLE);
    let new = take_over(&deployment);
    terminate(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_no_double_runs(&[&old.engine, &new.engine]);
}

/// The old process stands still while the other takes over: what waits in the backlog meanwhile is served.
#[test]
fn connections_in_the_backlog_are_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    send_signal(&old, Signal::STOP);
    let waiting: Vec<(Client, u64)> = (0..16)
        .map(|n| {
            let client = connect(&deployment);
            let id = client.send(&Request::read(&format!("waiting-{n}"))).expect("sent");
            (client, id)
        })
        .collect();
    new.engine.set_up(true);
    std::thread::sleep(Duration::from_millis(50));
    send_signal(&old, Signal::CONT);
    await_ready(&new);
    terminate(&deployment, &mut old);
    for (client, id) in &waiting {
        assert!(matches!(client.wait(*id), Reply::Served(_)));
    }
}

#[test]
fn the_old_process_stays_healthy_until_its_end() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let (client, since) = (connect(&deployment), Instant::now());
    let id = start_run(&old, &client, &Request::read("paper"));
    let _new = take_over(&deployment);
    assert_eq!(client.ping(), Reply::Health(true), "before the notice");
    send_signal(&old, Signal::TERM);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.ping(), Reply::Health(true), "after the notice");
    finish_run(&old, &client, id, "paper");
    await_exit(&deployment, &mut old);
    std::thread::sleep(SILENCE_PERIOD);
    assert_always_registered(&deployment, since);
}

#[test]
fn each_process_counts_from_zero() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    for n in 0..5 {
        assert_served(&client, &Request::read(&format!("old-{n}")));
    }
    assert_eq!(sum_of_classes(&old, "success"), 5);
    let new = take_over(&deployment);
    assert_eq!(sum_of_classes(&new, "success"), 0);
    assert_served(&connect(&deployment), &Request::read("new"));
    assert_eq!(sum_of_classes(&new, "success"), 1);
    assert_eq!(sum_of_classes(&old, "success"), 5);
}

#[test]
fn two_upgrades_in_a_row() {
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
