//! Either process fails or is terminated at a bad time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[test]
fn the_old_process_dies_before_the_new_one_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    old.kill().expect("killed");
    new.engine.set_up(true);
    await_ready(&new);
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    let reply = client.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
}

#[test]
fn the_old_process_dies_after_the_take_over() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let new = take_over(&deployment);
    let client = connect(&deployment);
    assert_served(&client, &Request::read("before"));
    old.kill().expect("killed");
    assert_served(&client, &Request::read("after"));
    assert_served(&connect(&deployment), &Request::read("on a new connection"));
    let reply = client.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

#[test]
fn the_new_process_dies_before_it_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let load = light_load(&deployment);
    let mut new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    new.kill().expect("killed");
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    // The next attempt goes as if that one had not been.
    let next = take_over(&deployment);
    terminate(&deployment, &mut old);
    assert_served(&connect(&deployment), &Request::keyed("at the next"));
    assert_no_double_runs(&[&old.engine, &next.engine]);
}

#[test]
fn the_new_process_dies_after_the_take_over() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let known = Request::keyed("known to the old process");
    let result = assert_served(&connect(&deployment), &known);
    let mut new = take_over(&deployment);
    let at_new = Request::keyed("known to the new process");
    assert_served(&connect(&deployment), &at_new);
    new.kill().expect("killed");
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    assert_eq!(assert_served(&client, &retry(&known)), result);
    let reply = client.call(&retry(&at_new));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of(&at_new.body, &[&old.engine, &new.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

/// After the window nothing that the dead process may have run can be repeated: keys are served again.
#[test]
fn keys_are_served_again_after_the_window_of_the_dead_process() {
    let window = Duration::from_secs(3);
    let deployment = deployment_of(Setup { key_window: window, ..setup() });
    let _old = start_ready(&deployment, quick_engine());
    let mut new = take_over(&deployment);
    new.kill().expect("killed");
    let client = connect(&deployment);
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    let mut number = 0;
    eventually_within(window + DEFAULT_TIMEOUT, "served", || {
        number += 1;
        let reply = client.call(&Request::keyed(&format!("key-{number}")));
        assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
        std::thread::sleep(Duration::from_millis(50));
        reply.result().is_some()
    });
}

#[test]
fn the_old_process_is_told_to_leave_before_the_new_one_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    let told = Instant::now();
    send_signal(&old, Signal::TERM);
    // Somebody accepts all the time.
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let connecting = scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                deployment.connect().expect("somebody accepts");
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        std::thread::sleep(Duration::from_millis(200));
        new.engine.set_up(true);
        let ready = new.await_ready(READY_TIMEOUT);
        over.store(true, Ordering::Relaxed);
        connecting.join().expect("every connection was accepted");
        ready.expect("the new process serves in time");
    });
    let status =
        old.wait_exit(deployment.stop_timeout().saturating_sub(told.elapsed())).expect("a process of ours");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    await_health(&client, true, DEFAULT_TIMEOUT);
}
