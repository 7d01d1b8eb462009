//! Failures and termination of either process around a takeover.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[test]
fn successor_serves_after_predecessor_dies_before_takeover() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let successor = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    predecessor.kill().expect("killed");
    successor.engine.set_up(true);
    await_ready(&successor);
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    let reply = client.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&predecessor.engine, &successor.engine]), 1);
}

#[test]
fn successor_serves_after_predecessor_dies_after_takeover() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let successor = take_over(&deployment);
    let client = connect(&deployment);
    assert_served(&client, &Request::read("before"));
    predecessor.kill().expect("killed");
    assert_served(&client, &Request::read("after"));
    assert_served(&connect(&deployment), &Request::read("on a new connection"));
    let reply = client.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&predecessor.engine, &successor.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

#[test]
fn predecessor_serves_after_successor_dies_before_takeover() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let load = light_load(&deployment);
    let mut successor = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    successor.kill().expect("killed");
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    // The failed upgrade does not affect the next one.
    let next = take_over(&deployment);
    terminate(&deployment, &mut predecessor);
    assert_served(&connect(&deployment), &Request::keyed("at the next"));
    assert_no_double_runs(&[&predecessor.engine, &next.engine]);
}

#[test]
fn predecessor_serves_after_successor_dies_after_takeover() {
    let deployment = deployment();
    let predecessor = start_ready(&deployment, quick_engine());
    let known = Request::keyed("known to the predecessor");
    let result = assert_served(&connect(&deployment), &known);
    let mut successor = take_over(&deployment);
    let at_successor = Request::keyed("known to the successor");
    assert_served(&connect(&deployment), &at_successor);
    successor.kill().expect("killed");
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    assert_eq!(assert_served(&client, &retry(&known)), result);
    let reply = client.call(&retry(&at_successor));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of(&at_successor.body, &[&predecessor.engine, &successor.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

/// After the key window, no key that the dead process may have run can still be retried, so keys are served
/// again.
#[test]
fn keys_are_served_after_window_of_dead_process() {
    let window = Duration::from_secs(3);
    let deployment = deployment_of(Setup { key_window: window, ..setup() });
    let _predecessor = start_ready(&deployment, quick_engine());
    let mut successor = take_over(&deployment);
    successor.kill().expect("killed");
    let client = connect(&deployment);
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    let mut number = 0;
    eventually_within(window + DEFAULT_TIMEOUT, "a keyed request to be served", || {
        number += 1;
        let reply = client.call(&Request::keyed(&format!("key-{number}")));
        assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
        std::thread::sleep(Duration::from_millis(50));
        reply.result().is_some()
    });
}

#[test]
fn accepts_connections_when_sigterm_precedes_takeover() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let successor = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    let terminated_at = Instant::now();
    send_signal(&predecessor, Signal::TERM);
    // Either process accepts connections at all times.
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let connector = scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                deployment.connect().expect("a process accepts the connection");
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        std::thread::sleep(Duration::from_millis(200));
        successor.engine.set_up(true);
        let ready = successor.await_ready(READY_TIMEOUT);
        done.store(true, Ordering::Relaxed);
        connector.join().expect("every connection was accepted");
        ready.expect("the successor is ready in time");
    });
    let status = predecessor
        .wait_exit(deployment.stop_timeout().saturating_sub(terminated_at.elapsed()))
        .expect("a child process");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    await_health(&client, true, DEFAULT_TIMEOUT);
}
