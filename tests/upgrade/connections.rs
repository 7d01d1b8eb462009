//! Client connections of the old process during and after a take-over.

use std::time::Duration;

use crate::operation::*;
use crate::{SETTLE, take_over};

/// Pause in the middle of a message; a draining process waits longer for the rest of one.
const REST_OF_MESSAGE: Duration = Duration::from_millis(30);

#[test]
fn a_resting_connection_is_told_to_go() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let resting = connect(&deployment);
    assert_served(&resting, &Request::read("before"));
    let _new = take_over(&deployment);
    // Until the SIGTERM, the connections of the old process are served as before.
    assert_served(&resting, &Request::read("between"));
    send_signal(&old, Signal::TERM);
    assert!(resting.wait_for_goaway(deployment.stop_timeout()), "no goaway");
    await_exit(&deployment, &mut old);
    assert_eq!(resting.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
}

#[test]
fn the_rest_of_a_request_may_cross_the_notice_to_leave() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_served(&client, &Request::read("before"));
    let new = take_over(&deployment);
    let (id, bytes) = client.encode(&Request::keyed("in two parts")).expect("encoded");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.write(first).expect("written");
    std::thread::sleep(SETTLE);
    send_signal(&old, Signal::TERM);
    std::thread::sleep(REST_OF_MESSAGE);
    let written = client.write(rest);
    let reply = written.map_or(Reply::Lost, |()| client.wait(id));
    // A client that was told to go repeats elsewhere what was not answered.
    let told = client.has_goaway() && reply == Reply::Lost;
    assert!(matches!(reply, Reply::Served(_)) || told, "{reply:?}, goaway {}", client.has_goaway());
    await_exit(&deployment, &mut old);
    assert_served(&connect(&deployment), &Request::keyed("in two parts"));
    assert_eq!(runs_of("in two parts", &[&old.engine, &new.engine]), 1);
}

#[test]
fn what_is_under_way_at_the_notice_is_answered() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let id = start_run(&old, &client, &Request::read("paper"));
    let _new = take_over(&deployment);
    send_signal(&old, Signal::TERM);
    std::thread::sleep(Duration::from_millis(500));
    finish_run(&old, &client, id, "paper");
    await_exit(&deployment, &mut old);
}
