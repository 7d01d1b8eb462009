//! Lame duck mode passes from the predecessor to the successor.

use std::time::Duration;

use crate::operation::*;
use crate::take_over;

#[test]
fn successor_keeps_drain_of_predecessor() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    assert_accepted(&predecessor, "LAMEDUCK");
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    let since = await_report(&deployment, false);
    let successor = take_over(&deployment);
    let at_successor = connect(&deployment);
    assert_eq!(at_successor.ping(), Reply::Health(false));
    assert_served(&at_successor, &Request::read("paper"));
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SILENCE_PERIOD);
    assert_eq!(at_successor.ping(), Reply::Health(false));
    assert!(!deployment.registry.has_report_since(since, true), "reported UP during a drain");
    assert_accepted(&successor, "REJOIN");
    await_health(&at_successor, true, Duration::from_secs(2));
}

#[test]
fn successor_keeps_drain_requested_before_it_is_ready() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let successor = start(&deployment, engine_down());
    eventually("an answer", || successor.ask("INFO").is_ok());
    assert_accepted(&successor, "LAMEDUCK");
    successor.engine.set_up(true);
    await_ready(&successor);
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    terminate(&deployment, &mut predecessor);
    let since = await_report(&deployment, false);
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP during a drain");
    assert_eq!(client.ping(), Reply::Health(false));
    assert_served(&client, &Request::read("paper"));
}
