//! Lame duck mode passes from one process to the other.

use std::time::Duration;

use crate::operation::*;
use crate::take_over;

#[test]
fn a_drain_of_the_old_process_goes_on_at_the_new() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    assert_accepted(&old, "LAMEDUCK");
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    let since = await_report(&deployment, false);
    let new = take_over(&deployment);
    let at_new = connect(&deployment);
    assert_eq!(at_new.ping(), Reply::Health(false));
    assert_served(&at_new, &Request::read("paper"));
    terminate(&deployment, &mut old);
    std::thread::sleep(SILENCE_PERIOD);
    assert_eq!(at_new.ping(), Reply::Health(false));
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
    assert_accepted(&new, "REJOIN");
    await_health(&at_new, true, Duration::from_secs(2));
}

#[test]
fn a_drain_asked_of_the_new_process_before_it_is_ready_holds_after_it() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    eventually("an answer", || new.ask("INFO").is_ok());
    assert_accepted(&new, "LAMEDUCK");
    new.engine.set_up(true);
    await_ready(&new);
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    terminate(&deployment, &mut old);
    let since = await_report(&deployment, false);
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
    assert_eq!(client.ping(), Reply::Health(false));
    assert_served(&client, &Request::read("paper"));
}
