//! Takeovers while the service registry is down, during a reload, and with few descriptors.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::operation::*;
use crate::{SETTLE, take_over};

#[test]
fn takeover_succeeds_without_service_registry() {
    let deployment = deployment_of(Setup { members: free_address().ok(), ..setup() });
    let mut predecessor = start_ready(&deployment, quick_engine());
    let load = light_load(&deployment);
    let _successor = take_over(&deployment);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
}

#[rstest]
#[case::before_successor_is_ready(true)]
#[case::after_successor_is_ready(false)]
fn predecessor_reloads_during_takeover(#[case] before_ready: bool) {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let load = light_load(&deployment);
    let successor = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    if before_ready {
        send_signal(&predecessor, Signal::HUP);
    }
    successor.engine.set_up(true);
    await_ready(&successor);
    if !before_ready {
        send_signal(&predecessor, Signal::HUP);
    }
    eventually("the reload", || figure(&predecessor, "relay.reconfig_ok") == 1);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_always_registered(&deployment, since);
    assert_no_double_runs(&[&predecessor.engine, &successor.engine]);
}

/// Limit of descriptors, for one process and for all processes of a server together.
const DESCRIPTOR_LIMIT: u32 = 96;

/// Longer than the time for which a connection has to be idle before it may be evicted.
const IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(600);

/// Neither process has the capacity for all connections.
///
/// Guards against this failure: a client reconnected after goaway, waited about 2 s in the backlog, and its
/// requests were rejected as too late. Both processes count their connections against one limit, only the
/// successor accepts, and the predecessor kept 20 idle connections: 1 s until they counted as idle, 1 s of
/// lingering close. The successor logged `accept-delayed waited_ms=1999 peer=0 limit=27`, the predecessor
/// `conn-ended reason=told-to-go` 2 s after `leaving-handed-over`.
#[test]
fn reconnecting_clients_are_served_at_connection_limit() {
    let deployment = deployment_of(Setup { sockets: 48, ..setup() });
    let mut predecessor = start_ready(&deployment, quick_engine());
    let idle: Vec<Client> = (0..20).map(|_| connect(&deployment)).collect();
    for client in &idle {
        assert_served(client, &Request::read("resting"));
    }
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let _successor = take_over(&deployment);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    for client in &idle {
        assert_eq!(client.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
    }
}

/// Guards against this failure: a client reconnected after goaway, waited about 2 s in the backlog, and its
/// requests were rejected as too late. Unlike [`reconnecting_clients_are_served_at_connection_limit`], this
/// test pauses before SIGTERM: without a pause the successor had not always received the number of the
/// predecessor's connections, and accepted beyond the limit of both.
#[test]
fn reconnecting_client_is_served_after_delayed_sigterm() {
    let deployment = deployment_of(Setup { sockets: 48, ..setup() });
    let mut predecessor = start_ready(&deployment, quick_engine());
    let idle = open_idle_connections(&deployment, 20);
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let _successor = take_over(&deployment);
    std::thread::sleep(SETTLE);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    for client in &idle {
        assert_eq!(client.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
    }
}

/// Callers that connect between the takeover and SIGTERM need capacity that idle connections of the
/// predecessor occupy. The predecessor closes some of these, and the successor serves the new caller.
#[test]
fn new_client_is_served_before_sigterm() {
    let deployment = deployment_of(Setup { sockets: DESCRIPTOR_LIMIT, ..setup() });
    let predecessor = start_ready(&deployment, quick_engine());
    let idle = open_idle_connections(&deployment, 50);
    let successor = take_over(&deployment);
    std::thread::sleep(IDLE_BEFORE_EVICTION);
    assert_served(&connect(&deployment), &Request::read("new"));
    assert_eq!(runs_of("new", &[&successor.engine]), 1);
    eventually("an idle connection to be closed", || idle.iter().any(|client| client.ending().is_some()));
    assert_eq!(figure(&predecessor, "relay.inflight"), 0);
}

/// After the successor is lost, the predecessor accepts connections again, and no longer evicts its own in
/// favour of the backlog.
#[test]
fn predecessor_accepts_again_after_successor_is_lost() {
    let deployment = deployment_of(Setup { sockets: 48, ..setup() });
    let _predecessor = start_ready(&deployment, quick_engine());
    let in_use = open_idle_connections(&deployment, 20);
    let mut successor = take_over(&deployment);
    successor.kill().expect("a child process");
    eventually("the predecessor to accept", || {
        let client = connect(&deployment);
        matches!(client.call(&Request::read("after")), Reply::Served(_))
    });
    std::thread::sleep(IDLE_BEFORE_EVICTION);
    for client in &in_use {
        assert_served(client, &Request::read("still there"));
    }
}

/// Guards against this failure: descriptors of both processes count together, but until the next report the
/// successor assumed that the predecessor had no connections, and accepted a full share itself: 119
/// descriptors with a limit of 96.
#[test]
fn descriptors_of_both_processes_stay_within_the_limit() {
    let deployment = deployment_of(Setup { sockets: DESCRIPTOR_LIMIT, ..setup() });
    let predecessor = start_ready(&deployment, quick_engine());
    let _idle = open_idle_connections(&deployment, 40);
    std::thread::sleep(SETTLE);
    let successor = take_over(&deployment);
    let _arriving: Vec<Client> = (0..40).map(|_| connect(&deployment)).collect();
    let until = Instant::now() + SILENCE_PERIOD;
    while Instant::now() < until {
        let (of_predecessor, of_successor) = (open_descriptors(&predecessor), open_descriptors(&successor));
        assert!(
            of_predecessor + of_successor <= DESCRIPTOR_LIMIT as usize,
            "{of_predecessor} and {of_successor} descriptors exceed {DESCRIPTOR_LIMIT}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Number of open descriptors of a process.
fn open_descriptors(process: &Process) -> usize {
    let id = i32::try_from(process.id()).expect("a process id");
    procfs::process::Process::new(id).and_then(|process| process.fd_count()).expect("the process is running")
}

/// Opens connections, sends one request on each and leaves them idle.
fn open_idle_connections(deployment: &Deployment, connections: usize) -> Vec<Client> {
    let clients: Vec<Client> = (0..connections).map(|_| connect(deployment)).collect();
    for client in &clients {
        assert_served(client, &Request::read("before a rest"));
    }
    clients
}
