//! The management port: its commands, invalid lines, silent connections, lame duck mode, and the invariant of
//! its metrics. Each test runs the program as a process among stub services.

mod operation;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use operation::*;
use rstest::rstest;

/// Health checks succeed again within this time after the end of lame duck mode.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(2);
const CLASSES: [&str; 3] = ["look", "lookup", "write"];
const CLASS_COUNTERS: [&str; 4] = ["success", "busy", "failure", "backend_calls"];

// ---- the stub services ----

/// Tests the harness itself: the features that the other tests rely on work for a process without a
/// management port.
#[test]
fn serves_and_registers_without_management_port() {
    let deployment = deployment();
    let began = Instant::now();
    let mut process =
        deployment.start_with(quick_engine(), ManagementSource::default()).expect("the program starts");
    eventually("registered", || deployment.registry.has_report_since(began, true));
    let client = connect(&deployment);
    await_health(&client, true, DEFAULT_TIMEOUT);
    let result = assert_served(&client, &Request::read("paper"));
    assert!(result.starts_with("paper/"), "{result}");
    assert_served(&client, &Request::calling("paper"));
    assert_eq!(deployment.store.calls(), 1);
    let keyed = Request::keyed("key");
    assert_eq!(
        assert_served(&client, &keyed),
        assert_served(&client, &keyed),
        "a duplicate gets the retained result"
    );
    assert_eq!(process.engine.runs_of("key"), 1);
    assert_all_served({
        let load = light_load(&deployment);
        std::thread::sleep(Duration::from_millis(500));
        load
    });
    assert_no_double_runs(&[&process.engine]);
    assert_always_registered(&deployment, began);
    terminate(&deployment, &mut process);
    assert!(client.wait_for_goaway(DEFAULT_TIMEOUT), "an idle connection gets a go-away notification");
    assert_eq!(client.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
    assert!(deployment.registry.has_report_since(began, false));
}

/// Checks that no process listens at `address`.
fn assert_not_listening(address: SocketAddr) {
    let connected = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT);
    assert!(connected.is_err(), "a process listens at {address}, but none should");
}

// ---- where it listens ----

#[test]
fn listens_at_address_from_configuration() {
    let deployment = deployment();
    let source = ManagementSource { environment: None, configuration: free_address().ok() };
    let process = deployment.start_with(quick_engine(), source).expect("the program starts");
    await_ready(&process);
}

#[test]
fn environment_overrides_configuration() {
    let deployment = deployment();
    let in_configuration = free_address().expect("a free port");
    let source = ManagementSource { environment: free_address().ok(), configuration: Some(in_configuration) };
    let process = deployment.start_with(quick_engine(), source).expect("the program starts");
    await_ready(&process);
    assert_not_listening(in_configuration);
}

// ---- the commands ----

#[test]
fn rejects_ping_until_engine_is_up() {
    let deployment = deployment();
    let process = start(&deployment, engine_down());
    eventually("an answer", || process.ask("PING").is_ok());
    assert_rejected(&process, "PING");
    process.engine.set_up(true);
    await_ready(&process);
}

#[test]
fn info_lists_every_metric_from_zero() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let figures = ask(&process, "INFO").figures().expect("an answer to INFO");
    let class_counters = CLASSES.iter().flat_map(|class| {
        CLASS_COUNTERS.iter().map(move |counter| (format!("relay.calls.{class}.{counter}"), 'c'))
    });
    let others = [("inflight", 'g'), ("reconfig_ok", 'c'), ("reconfig_failed", 'c')];
    let others = others.into_iter().map(|(name, kind)| (format!("relay.{name}"), kind));
    for (name, kind) in class_counters.chain(others) {
        let figure = figures.get(&name).unwrap_or_else(|| panic!("INFO does not list {name}: {figures:?}"));
        assert_eq!((figure.value, figure.kind), (0, kind), "{name}");
    }
}

#[rstest]
#[case::cr_lf(b"PING\r\n")]
#[case::lf(b"PING\n")]
fn accepts_both_line_endings(#[case] bytes: &[u8]) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let answer = ask_bytes(process.management, bytes).expect("an answer");
    assert!(answer.is_ok(), "{}", answer.head());
    assert_eq!(answer.lines.len(), 1, "the answer is not one line: {:?}", answer.lines);
}

#[test]
fn accepts_line_in_pieces() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let began = Instant::now();
    let mut stream = TcpStream::connect(process.management).expect("the management port listens");
    for piece in ["P", "IN", "G\r", "\n"] {
        stream.write_all(piece.as_bytes()).expect("written");
        std::thread::sleep(Duration::from_millis(20));
    }
    let answer = read_answer(&mut stream, began).expect("an answer");
    assert!(answer.is_ok(), "{}", answer.head());
}

/// Only the first line of a connection is answered; the following lines are not carried out.
#[test]
fn answers_only_first_line_of_connection() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let answer = ask_bytes(process.management, b"PING\r\nLAMEDUCK\r\n").expect("an answer");
    assert!(answer.is_ok() && answer.lines.len() == 1, "{:?}", answer.lines);
    let client = connect(&deployment);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(client.ping(), Reply::Health(true));
}

#[rstest]
#[case::unknown(b"RESTART\r\n".to_vec())]
#[case::longer_than_command(b"PINGER\r\n".to_vec())]
#[case::empty(b"\r\n".to_vec())]
#[case::only_line_feed(b"\n".to_vec())]
#[case::blank(b"   \r\n".to_vec())]
#[case::binary(vec![0x94, 0x00, 0xff, 0xfe, 0x00, b'\n'])]
#[case::not_utf8(b"PING\xc3\x28\r\n".to_vec())]
#[case::too_long([vec![b'x'; 5000], b"\r\n".to_vec()].concat())]
#[case::too_long_after_command([b"PING ".to_vec(), vec![b'x'; 5000], b"\r\n".to_vec()].concat())]
fn rejects_unknown_commands(#[case] bytes: Vec<u8>) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let answer = ask_bytes(process.management, &bytes).expect("an answer");
    assert!(answer.is_error(), "{:?}", answer.lines);
    assert!(answer.head().len() > "-ERR ".len(), "the error has no reason: {}", answer.head());
    assert_eq!(answer.lines.len(), 1, "the answer is not one line: {:?}", answer.lines);
    assert!(answer.took <= ANSWER_TIMEOUT, "{:?}", answer.took);
    assert_accepted(&process, "PING");
}

/// An endless line must neither be buffered without a bound nor block other connections.
#[test]
fn closes_connection_that_sends_endless_line() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let mut stream = TcpStream::connect(process.management).expect("the management port listens");
    stream.set_write_timeout(Some(ANSWER_TIMEOUT)).expect("a socket");
    let until = Instant::now() + DEFAULT_TIMEOUT;
    let mut written = 0;
    while stream.write_all(&[b'x'; 4096]).is_ok() && Instant::now() < until {
        written += 4096;
        assert!(written < 64 << 20, "the port still reads a line after {written} bytes");
    }
    assert_accepted(&process, "PING");
}

// ---- silent connections ----

#[rstest]
#[case::nothing(b"")]
#[case::partial_line(b"PIN")]
fn silent_connections_do_not_block_others(#[case] sent: &[u8]) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let silent: Vec<TcpStream> = (0..64)
        .map(|_| {
            let mut stream = TcpStream::connect(process.management).expect("the management port listens");
            // The connection may have been evicted already.
            let _ = stream.write_all(sent);
            stream
        })
        .collect();
    assert_accepted(&process, "PING");
    assert_accepted(&process, "INFO");
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    drop(silent);
}

#[test]
fn answers_while_clients_use_all_descriptors() {
    let deployment = deployment_of(Setup { sockets: 64, ..setup() });
    let process = start_ready(&deployment, quick_engine());
    let clients: Vec<Client> = (0..100).map(|_| connect(&deployment)).collect();
    // Each client sends a request, so that none is evicted as silent. Connections in the backlog get no
    // answer.
    clients.iter().for_each(|client| drop(client.send(&Request::read("paper"))));
    std::thread::sleep(Duration::from_millis(200));
    for command in ["PING", "INFO", "LAMEDUCK", "REJOIN"] {
        assert_accepted(&process, command);
    }
}

#[test]
fn answers_at_full_load() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let load = Load::start(Plan {
        address: deployment.listen,
        clients: 16,
        depth: 16,
        pause: Duration::ZERO,
        reconnect: false,
    });
    for _ in 0..30 {
        assert_accepted(&process, "PING");
        assert_accepted(&process, "INFO");
        std::thread::sleep(Duration::from_millis(20));
    }
    let tally = load.stop().expect("the clients end");
    assert_eq!(tally.ended_without_answer(), 0, "{tally:?}");
}

// ---- lame duck mode ----

#[test]
fn lame_duck_fails_health_checks_and_keeps_serving() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    await_health(&client, true, DEFAULT_TIMEOUT);
    for _ in 0..2 {
        assert_accepted(&process, "LAMEDUCK");
        assert_eq!(client.ping(), Reply::Health(false), "health must fail at once");
    }
    let since = await_report(&deployment, false);
    assert_served(&client, &Request::read("on an old connection"));
    assert_served(&connect(&deployment), &Request::keyed("on a new connection"));
    assert_accepted(&process, "PING");
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in lame duck mode");
    assert!(!client.has_goaway(), "lame duck mode must not close connections");
}

#[test]
fn rejoin_ends_lame_duck() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_accepted(&process, "LAMEDUCK");
    assert_eq!(client.ping(), Reply::Health(false));
    for _ in 0..2 {
        assert_accepted(&process, "REJOIN");
    }
    await_health(&client, true, REJOIN_TIMEOUT);
    let since = await_report(&deployment, true);
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, false), "reported OUT after lame duck mode");
    assert_served(&client, &Request::read("paper"));
}

#[test]
fn rejoin_without_lame_duck_changes_nothing() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let (client, since) = (connect(&deployment), Instant::now());
    assert_accepted(&process, "REJOIN");
    assert_eq!(client.ping(), Reply::Health(true));
    std::thread::sleep(SILENCE_PERIOD);
    assert_always_registered(&deployment, since);
}

#[test]
fn lame_duck_before_engine_up_stays_in_force() {
    let deployment = deployment();
    let process = start(&deployment, engine_down());
    eventually("an answer", || process.ask("INFO").is_ok());
    let since = Instant::now();
    assert_accepted(&process, "LAMEDUCK");
    process.engine.set_up(true);
    await_ready(&process);
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in lame duck mode");
    assert_served(&client, &Request::read("paper"));
    assert_accepted(&process, "REJOIN");
    await_health(&client, true, REJOIN_TIMEOUT);
}

#[rstest]
#[case::lame_duck_first(true)]
#[case::notice_first(false)]
fn lame_duck_and_termination_notice_end_in_order(#[case] lame_duck_first: bool) {
    let deployment = deployment();
    let mut process = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let id = start_run(&process, &client, &Request::read("paper"));
    if lame_duck_first {
        assert_accepted(&process, "LAMEDUCK");
        send_signal(&process, Signal::TERM);
    } else {
        send_signal(&process, Signal::TERM);
        // Either answer is valid, as the process may already be closing, but an answer has to come.
        let answer = ask(&process, "LAMEDUCK");
        assert!(answer.is_ok() || answer.is_error(), "{:?}", answer.lines);
    }
    assert_eq!(client.ping(), Reply::Health(false));
    finish_run(&process, &client, id, "paper");
    await_exit(&deployment, &mut process);
}

#[rstest]
#[case::alone(false)]
#[case::in_lame_duck(true)]
fn rejects_rejoin_after_termination_notice(#[case] in_lame_duck: bool) {
    let deployment = deployment();
    let mut process = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    // An unfinished run keeps the process from ending.
    let id = start_run(&process, &client, &Request::read("paper"));
    if in_lame_duck {
        assert_accepted(&process, "LAMEDUCK");
    }
    send_signal(&process, Signal::TERM);
    eventually_within(ANSWER_TIMEOUT, "rejected", || process.ask("REJOIN").is_ok_and(|a| a.is_error()));
    assert_eq!(client.ping(), Reply::Health(false));
    finish_run(&process, &client, id, "paper");
    await_exit(&deployment, &mut process);
}

#[test]
fn reload_is_counted_and_keeps_lame_duck() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_accepted(&process, "LAMEDUCK");
    let since = await_report(&deployment, false);
    send_signal(&process, Signal::HUP);
    eventually("the reload", || figure(&process, "relay.reconfig_ok") == 1);
    std::fs::write(&process.config, "{").expect("written");
    send_signal(&process, Signal::HUP);
    eventually("the failed reload", || figure(&process, "relay.reconfig_failed") == 1);
    assert_eq!(figure(&process, "relay.reconfig_ok"), 1);
    assert_eq!(client.ping(), Reply::Health(false));
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in lame duck mode");
}

#[test]
fn engine_reconnect_keeps_lame_duck() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_accepted(&process, "LAMEDUCK");
    let since = await_report(&deployment, false);
    process.engine.set_up(false);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(client.ping(), Reply::Health(false));
    process.engine.set_up(true);
    eventually("a served request", || matches!(client.call(&Request::read("paper")), Reply::Served(_)));
    assert_eq!(client.ping(), Reply::Health(false));
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in lame duck mode");
    assert_accepted(&process, "REJOIN");
    await_health(&client, true, REJOIN_TIMEOUT);
}

// ---- the invariant of the metrics ----

/// The number of answered requests in `INFO`.
fn answered(process: &Process) -> u64 {
    CLASS_COUNTERS[..3].iter().map(|counter| sum_of_classes(process, counter)).sum()
}

/// Requests read = served + refused + failed + gone + in flight, both while requests are in flight and
/// afterwards.
#[test]
fn counts_every_request_once() {
    let deployment = deployment();
    let process = start_ready(&deployment, commanded_engine());
    let engine = &process.engine;
    let client = connect(&deployment);
    let send = |request: &Request| client.send(request).expect("sent");

    // Three requests: one without a call, one with a call, and one that its caller cancels.
    let plain = send(&Request::read("plain"));
    let calling = send(&Request::calling("calling"));
    let cancelled = send(&Request::read("given up"));
    // Two concurrent attempts with the same idempotency key.
    let attempts = [send(&Request::keyed("twice")), send(&Request::keyed("twice"))];
    eventually("the runs", || engine.open_runs() == 4);
    assert_eq!(figure(&process, "relay.inflight"), 5);
    assert_eq!(answered(&process), 0);

    client.abort(cancelled).expect("sent");
    eventually("one request fewer in flight", || figure(&process, "relay.inflight") == 4);
    eventually("all runs ended", || engine.finish_all() == 0 && figure(&process, "relay.inflight") == 0);
    for id in [plain, calling, attempts[0], attempts[1]] {
        assert!(matches!(client.wait(id), Reply::Served(_)));
    }
    assert_eq!(engine.runs_of("twice"), 1);

    // A duplicate that is answered with the retained result, and a different body under the same key.
    assert!(matches!(client.call(&Request::keyed("twice")), Reply::Served(_)));
    let other = Request { body: "other".into(), ..Request::keyed("twice") };
    assert!(matches!(client.call(&other), Reply::Failed(_)));
    // A caller that closes its connection while its write runs. A caller that has stopped sending may still
    // read: the answer is still pending, written, and counted.
    let leaving = connect(&deployment);
    leaving.send(&Request::keyed("left")).expect("sent");
    eventually("the run", || engine.runs_of("left") == 1);
    drop(leaving);
    std::thread::sleep(Duration::from_millis(100));
    engine.finish("left");
    eventually("nothing in flight", || figure(&process, "relay.inflight") == 0);
    // Cancelled requests have no outcome in the metrics, and health checks do not count as requests.
    client.ping();

    let (read, gone) = (8, 1);
    assert_eq!(answered(&process), read - gone);
    assert_eq!(figure(&process, "relay.calls.look.success"), 1);
    assert_eq!(figure(&process, "relay.calls.lookup.success"), 1);
    assert_eq!(figure(&process, "relay.calls.write.success"), 4);
    assert_eq!(figure(&process, "relay.calls.write.failure"), 1);
    assert_eq!(sum_of_classes(&process, "busy"), 0);
    // Runs started on the engine: duplicates start none, and calls of a run do not count as runs.
    let runs: usize = engine.runs().values().sum();
    assert_eq!(runs, 5);
    assert_eq!(sum_of_classes(&process, "backend_calls"), runs as u64);
    assert_eq!(figure(&process, "relay.calls.lookup.backend_calls"), 1);
    assert_eq!(figure(&process, "relay.calls.write.backend_calls"), 2);
}

/// Under more load than the engine can handle, the metrics match the answers that the clients received.
#[test]
fn overload_metrics_match_clients() {
    let deployment = deployment();
    let engine = Engine::start(Finish::After(Duration::from_millis(150))).expect("a free port");
    let process = start_ready(&deployment, engine);
    let load = Load::start(Plan {
        address: deployment.listen,
        clients: 16,
        depth: 16,
        pause: Duration::ZERO,
        reconnect: false,
    });
    std::thread::sleep(Duration::from_secs(3));
    let tally = load.stop().expect("the clients end");
    assert_eq!(tally.ended_without_answer(), 0, "{tally:?}");
    assert_eq!(figure(&process, "relay.inflight"), 0);
    assert_eq!(sum_of_classes(&process, "success"), tally.served, "{tally:?}");
    assert_eq!(sum_of_classes(&process, "busy"), tally.busy, "{tally:?}");
    assert_eq!(sum_of_classes(&process, "failure"), tally.failed, "{tally:?}");
}

/// Silent connections fill the process again and again while it drains. The process must neither loop nor
/// fail to end.
#[test]
fn full_process_ends_in_order_while_listener_closes() {
    let deployment = deployment_of(Setup { sockets: 64, ..setup() });
    let mut process = start_ready(&deployment, quick_engine());
    let listen = deployment.listen;
    let flood = std::thread::spawn(move || {
        let mut open = Vec::new();
        let until = Instant::now() + DEFAULT_TIMEOUT;
        while Instant::now() < until {
            // The listener is closed and refuses the connection: the flood is over.
            let Ok(stream) = TcpStream::connect(listen) else { return };
            open.push(stream);
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    std::thread::sleep(Duration::from_millis(300));
    terminate(&deployment, &mut process);
    flood.join().expect("the flood ends");
}
