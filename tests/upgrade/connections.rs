//! Client connections of the predecessor during and after a takeover.

use std::time::Duration;

use crate::operation::*;
use crate::{SETTLE, take_over};

/// Pause in the middle of a message. A draining process waits longer than this for the rest of a message.
const REST_OF_MESSAGE: Duration = Duration::from_millis(30);
/// Pause in the middle of a message for which a connection without an open request would be closed.
const LONG_PAUSE: Duration = Duration::from_millis(5300);
/// A deadline that is longer than this pause: the request beside the slow one stays open.
const LONG_DEADLINE: Duration = Duration::from_secs(9);

#[test]
fn idle_connection_receives_goaway() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let idle = connect(&deployment);
    assert_served(&idle, &Request::read("before"));
    let _successor = take_over(&deployment);
    // Until SIGTERM, the predecessor serves its connections as before.
    assert_served(&idle, &Request::read("between"));
    send_signal(&predecessor, Signal::TERM);
    assert!(idle.wait_for_goaway(deployment.stop_timeout()), "no goaway received");
    await_exit(&deployment, &mut predecessor);
    assert_eq!(idle.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
}

#[test]
fn request_completed_after_sigterm_is_served_or_retried() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_served(&client, &Request::read("before"));
    let successor = take_over(&deployment);
    let (id, bytes) = client.encode(&Request::keyed("in two parts")).expect("encoded");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.write(first).expect("written");
    std::thread::sleep(SETTLE);
    send_signal(&predecessor, Signal::TERM);
    std::thread::sleep(REST_OF_MESSAGE);
    let written = client.write(rest);
    let reply = written.map_or(Reply::Lost, |()| client.wait(id));
    // A client that received goaway retries unanswered requests on another connection.
    let has_to_retry = client.has_goaway() && reply == Reply::Lost;
    assert!(matches!(reply, Reply::Served(_)) || has_to_retry, "{reply:?}, goaway {}", client.has_goaway());
    await_exit(&deployment, &mut predecessor);
    assert_served(&connect(&deployment), &Request::keyed("in two parts"));
    assert_eq!(runs_of("in two parts", &[&predecessor.engine, &successor.engine]), 1);
}

/// Guards against a request that is never read: a message that took long, beside an open request, ended the
/// reading in a predecessor, too.
#[test]
fn request_written_slowly_beside_running_request_is_answered_by_predecessor() {
    let deployment = deployment_of(Setup { deadline: LONG_DEADLINE, ..setup() });
    let mut predecessor = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let running = start_run(&predecessor, &client, &Request::read("paper"));
    let _successor = take_over(&deployment);
    let (id, bytes) = client.encode(&Request::read("in two parts")).expect("encoded");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.write(first).expect("written");
    std::thread::sleep(LONG_PAUSE);
    client.write(rest).expect("written");
    // A run that takes as long as the one beside it looks stalled, so this request may be rejected.
    assert_ne!(client.wait(id), Reply::Lost);
    predecessor.engine.finish("paper");
    assert_ne!(client.wait(running), Reply::Lost);
    terminate(&deployment, &mut predecessor);
}

#[test]
fn running_request_is_answered_after_sigterm() {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let id = start_run(&predecessor, &client, &Request::read("paper"));
    let _successor = take_over(&deployment);
    send_signal(&predecessor, Signal::TERM);
    std::thread::sleep(Duration::from_millis(500));
    finish_run(&predecessor, &client, id, "paper");
    await_exit(&deployment, &mut predecessor);
}
