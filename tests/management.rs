//! The management port: its commands, lines that are none, callers that say nothing, the drain that operators ask for,
//! and the law of its figures. Each test runs the program as a process among stand-ins.

mod operation;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use operation::*;
use rstest::rstest;

/// Health is good again within this time after the end of a drain.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(2);
const CLASSES: [&str; 3] = ["look", "lookup", "write"];
const CLASS_COUNTERS: [&str; 4] = ["success", "busy", "failure", "backend_calls"];

// ---- the stand-ins ----

/// The harness itself: what the other tests rest on works with a process that was not asked for a management port.
#[test]
fn a_process_without_a_management_port_serves_and_is_listed() {
    let deployment = deployment();
    let began = Instant::now();
    let mut process =
        deployment.start_with(quick_engine(), ManagementSource::default()).expect("the program starts");
    eventually("listed", || deployment.registry.has_report_since(began, true));
    let client = connect(&deployment);
    await_health(&client, true, DEFAULT_TIMEOUT);
    let result = assert_served(&client, &Request::read("paper"));
    assert!(result.starts_with("paper/"), "{result}");
    assert_served(&client, &Request::calling("paper"));
    assert_eq!(deployment.store.calls(), 1);
    let keyed = Request::keyed("key");
    assert_eq!(assert_served(&client, &keyed), assert_served(&client, &keyed), "the kept result");
    assert_eq!(process.engine.runs_of("key"), 1);
    assert_all_served({
        let load = light_load(&deployment);
        std::thread::sleep(Duration::from_millis(500));
        load
    });
    assert_no_double_runs(&[&process.engine]);
    assert_always_registered(&deployment, began);
    terminate(&deployment, &mut process);
    assert!(client.wait_for_goaway(DEFAULT_TIMEOUT), "a resting connection is told to go");
    assert_eq!(client.wait_for_ending(DEFAULT_TIMEOUT), Some(Ending::Closed));
    assert!(deployment.registry.has_report_since(began, false));
}

/// Nothing listens at an address that nobody named.
fn nobody_listens(address: SocketAddr) {
    let connected = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT);
    assert!(connected.is_err(), "somebody listens at {address}");
}

// ---- where it listens ----

#[test]
fn the_configuration_names_the_address() {
    let deployment = deployment();
    let source = ManagementSource { environment: None, configuration: free_address().ok() };
    let process = deployment.start_with(quick_engine(), source).expect("the program starts");
    await_ready(&process);
}

#[test]
fn the_environment_goes_before_the_configuration() {
    let deployment = deployment();
    let in_configuration = free_address().expect("a free port");
    let source = ManagementSource { environment: free_address().ok(), configuration: Some(in_configuration) };
    let process = deployment.start_with(quick_engine(), source).expect("the program starts");
    await_ready(&process);
    nobody_listens(in_configuration);
}

// ---- the commands ----

#[test]
fn ping_says_no_until_the_engine_is_up() {
    let deployment = deployment();
    let process = start(&deployment, engine_down());
    eventually("an answer", || process.ask("PING").is_ok());
    assert_rejected(&process, "PING");
    process.engine.set_up(true);
    await_ready(&process);
}

#[test]
fn info_tells_every_figure_from_zero() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let figures = ask(&process, "INFO").figures().expect("an answer to INFO");
    let of_classes = CLASSES.iter().flat_map(|class| {
        CLASS_COUNTERS.iter().map(move |counter| (format!("relay.calls.{class}.{counter}"), 'c'))
    });
    let others = [("inflight", 'g'), ("reconfig_ok", 'c'), ("reconfig_failed", 'c')];
    let others = others.into_iter().map(|(name, kind)| (format!("relay.{name}"), kind));
    for (name, kind) in of_classes.chain(others) {
        let figure = figures.get(&name).unwrap_or_else(|| panic!("no {name} in {figures:?}"));
        assert_eq!((figure.value, figure.kind), (0, kind), "{name}");
    }
}

#[rstest]
#[case::cr_lf(b"PING\r\n")]
#[case::lf(b"PING\n")]
fn both_line_ends_are_taken(#[case] bytes: &[u8]) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let answer = ask_bytes(process.management, bytes).expect("an answer");
    assert!(answer.is_ok(), "{}", answer.head());
    assert_eq!(answer.lines.len(), 1, "one line: {:?}", answer.lines);
}

#[test]
fn a_line_may_come_in_pieces() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let began = Instant::now();
    let mut stream = TcpStream::connect(process.management).expect("it listens");
    for piece in ["P", "IN", "G\r", "\n"] {
        stream.write_all(piece.as_bytes()).expect("written");
        std::thread::sleep(Duration::from_millis(20));
    }
    let answer = read_answer(&mut stream, began).expect("an answer");
    assert!(answer.is_ok(), "{}", answer.head());
}

/// One line is answered on a connection; what comes behind it is not carried out.
#[test]
fn only_the_first_line_of_a_connection_counts() {
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
#[case::longer_than_a_command(b"PINGER\r\n".to_vec())]
#[case::empty(b"\r\n".to_vec())]
#[case::only_a_line_feed(b"\n".to_vec())]
#[case::blank(b"   \r\n".to_vec())]
#[case::binary(vec![0x94, 0x00, 0xff, 0xfe, 0x00, b'\n'])]
#[case::not_utf8(b"PING\xc3\x28\r\n".to_vec())]
#[case::too_long([vec![b'x'; 5000], b"\r\n".to_vec()].concat())]
#[case::too_long_behind_a_command([b"PING ".to_vec(), vec![b'x'; 5000], b"\r\n".to_vec()].concat())]
fn a_line_that_is_no_command_is_an_error(#[case] bytes: Vec<u8>) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let answer = ask_bytes(process.management, &bytes).expect("an answer");
    assert!(answer.is_error(), "{:?}", answer.lines);
    assert!(answer.head().len() > "-ERR ".len(), "no reason: {}", answer.head());
    assert_eq!(answer.lines.len(), 1, "one line: {:?}", answer.lines);
    assert!(answer.took <= ANSWER_TIMEOUT, "{:?}", answer.took);
    assert_accepted(&process, "PING");
}

/// A line that never ends must neither be collected without a bound nor stop others.
#[test]
fn a_line_without_an_end_is_cut_off() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let mut stream = TcpStream::connect(process.management).expect("it listens");
    stream.set_write_timeout(Some(ANSWER_TIMEOUT)).expect("a socket");
    let until = Instant::now() + DEFAULT_TIMEOUT;
    let mut written = 0;
    while stream.write_all(&[b'x'; 4096]).is_ok() && Instant::now() < until {
        written += 4096;
        assert!(written < 64 << 20, "it reads a line of {written} bytes");
    }
    assert_accepted(&process, "PING");
}

// ---- callers that say nothing ----

#[rstest]
#[case::nothing(b"")]
#[case::half_a_line(b"PIN")]
fn silent_callers_stop_nobody(#[case] said: &[u8]) {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let silent: Vec<TcpStream> = (0..64)
        .map(|_| {
            let mut stream = TcpStream::connect(process.management).expect("it listens");
            // It may have given way already.
            let _ = stream.write_all(said);
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
fn it_answers_while_clients_hold_all_their_descriptors() {
    let deployment = deployment_of(Setup { sockets: 64, ..setup() });
    let process = start_ready(&deployment, quick_engine());
    let clients: Vec<Client> = (0..100).map(|_| connect(&deployment)).collect();
    // Each speaks, so that none gives way as one that never did; those in the backlog are not answered.
    clients.iter().for_each(|client| drop(client.send(&Request::read("paper"))));
    std::thread::sleep(Duration::from_millis(200));
    for command in ["PING", "INFO", "LAMEDUCK", "REJOIN"] {
        assert_accepted(&process, command);
    }
}

#[test]
fn it_answers_at_full_load() {
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

// ---- the drain that operators ask for ----

#[test]
fn lameduck_turns_health_bad_and_serves_on() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    await_health(&client, true, DEFAULT_TIMEOUT);
    for _ in 0..2 {
        assert_accepted(&process, "LAMEDUCK");
        assert_eq!(client.ping(), Reply::Health(false), "at once");
    }
    let since = await_report(&deployment, false);
    assert_served(&client, &Request::read("on an old connection"));
    assert_served(&connect(&deployment), &Request::keyed("on a new connection"));
    assert_accepted(&process, "PING");
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
    assert!(!client.has_goaway(), "a drain closes no connection");
}

#[test]
fn rejoin_ends_a_drain() {
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
    assert!(!deployment.registry.has_report_since(since, false), "reported OUT after the drain");
    assert_served(&client, &Request::read("paper"));
}

#[test]
fn rejoin_without_a_drain_changes_nothing() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let (client, since) = (connect(&deployment), Instant::now());
    assert_accepted(&process, "REJOIN");
    assert_eq!(client.ping(), Reply::Health(true));
    std::thread::sleep(SILENCE_PERIOD);
    assert_always_registered(&deployment, since);
}

#[test]
fn a_drain_asked_for_before_the_engine_is_up_holds_after_it() {
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
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
    assert_served(&client, &Request::read("paper"));
    assert_accepted(&process, "REJOIN");
    await_health(&client, true, REJOIN_TIMEOUT);
}

#[rstest]
#[case::drain_first(true)]
#[case::notice_first(false)]
fn a_drain_and_the_notice_to_leave_end_in_order(#[case] drain_first: bool) {
    let deployment = deployment();
    let mut process = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let id = start_run(&process, &client, &Request::read("paper"));
    if drain_first {
        assert_accepted(&process, "LAMEDUCK");
        send_signal(&process, Signal::TERM);
    } else {
        send_signal(&process, Signal::TERM);
        // Whether there is anything left to drain is the program's to say; it has to say something.
        let told = ask(&process, "LAMEDUCK");
        assert!(told.is_ok() || told.is_error(), "{:?}", told.lines);
    }
    assert_eq!(client.ping(), Reply::Health(false));
    finish_run(&process, &client, id, "paper");
    await_exit(&deployment, &mut process);
}

#[rstest]
#[case::alone(false)]
#[case::in_a_drain(true)]
fn rejoin_after_the_notice_to_leave_is_an_error(#[case] in_a_drain: bool) {
    let deployment = deployment();
    let mut process = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    // A run that is under way keeps the process.
    let id = start_run(&process, &client, &Request::read("paper"));
    if in_a_drain {
        assert_accepted(&process, "LAMEDUCK");
    }
    send_signal(&process, Signal::TERM);
    eventually_within(ANSWER_TIMEOUT, "an error", || process.ask("REJOIN").is_ok_and(|told| told.is_error()));
    assert_eq!(client.ping(), Reply::Health(false));
    finish_run(&process, &client, id, "paper");
    await_exit(&deployment, &mut process);
}

#[test]
fn a_reload_in_a_drain_is_counted_and_ends_no_drain() {
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
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
}

#[test]
fn an_engine_that_is_lost_and_comes_back_ends_no_drain() {
    let deployment = deployment();
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_accepted(&process, "LAMEDUCK");
    let since = await_report(&deployment, false);
    process.engine.set_up(false);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(client.ping(), Reply::Health(false));
    process.engine.set_up(true);
    eventually("served", || matches!(client.call(&Request::read("paper")), Reply::Served(_)));
    assert_eq!(client.ping(), Reply::Health(false));
    std::thread::sleep(SILENCE_PERIOD);
    assert!(!deployment.registry.has_report_since(since, true), "reported UP in a drain");
    assert_accepted(&process, "REJOIN");
    await_health(&client, true, REJOIN_TIMEOUT);
}

// ---- the law of the figures ----

/// What became of the requests whose callers stayed, as `INFO` tells it.
fn answered(process: &Process) -> u64 {
    CLASS_COUNTERS[..3].iter().map(|counter| sum_of_classes(process, counter)).sum()
}

/// Read = served + refused + failed + gone + in flight, while requests are under way and after them.
#[test]
fn every_request_read_is_accounted_for_once() {
    let deployment = deployment();
    let process = start_ready(&deployment, commanded_engine());
    let engine = &process.engine;
    let client = connect(&deployment);
    let send = |request: &Request| client.send(request).expect("sent");

    // Served, one of them with a call, and one whose caller gives it up.
    let plain = send(&Request::read("plain"));
    let calling = send(&Request::calling("calling"));
    let given_up = send(&Request::read("given up"));
    // A key that is tried twice at once.
    let tries = [send(&Request::keyed("twice")), send(&Request::keyed("twice"))];
    eventually("the runs", || engine.open_runs() == 4);
    assert_eq!(figure(&process, "relay.inflight"), 5);
    assert_eq!(answered(&process), 0);

    client.abort(given_up).expect("sent");
    eventually("one less", || figure(&process, "relay.inflight") == 4);
    eventually("ended", || engine.finish_all() == 0 && figure(&process, "relay.inflight") == 0);
    for id in [plain, calling, tries[0], tries[1]] {
        assert!(matches!(client.wait(id), Reply::Served(_)));
    }
    assert_eq!(engine.runs_of("twice"), 1);

    // A repeat that is answered from the kept result, and a body that is another under the same key.
    assert!(matches!(client.call(&Request::keyed("twice")), Reply::Served(_)));
    let other = Request { body: "other".into(), ..Request::keyed("twice") };
    assert!(matches!(client.call(&other), Reply::Failed(_)));
    // A caller that closes its connection while its effect is under way. The end of what it sends is no end of what it
    // reads: the answer is still owed, written, and counted.
    let leaving = connect(&deployment);
    leaving.send(&Request::keyed("left")).expect("sent");
    eventually("the run", || engine.runs_of("left") == 1);
    drop(leaving);
    std::thread::sleep(Duration::from_millis(100));
    engine.finish("left");
    eventually("nothing in flight", || figure(&process, "relay.inflight") == 0);
    // What is given up has no end in the figures; health checks are no requests.
    client.ping();

    let (read, gone) = (8, 1);
    assert_eq!(answered(&process), read - gone);
    assert_eq!(figure(&process, "relay.calls.look.success"), 1);
    assert_eq!(figure(&process, "relay.calls.lookup.success"), 1);
    assert_eq!(figure(&process, "relay.calls.write.success"), 4);
    assert_eq!(figure(&process, "relay.calls.write.failure"), 1);
    assert_eq!(sum_of_classes(&process, "busy"), 0);
    // Runs handed to the engine: repeats have none, whatever calls a run makes.
    let runs: usize = engine.runs().values().sum();
    assert_eq!(runs, 5);
    assert_eq!(sum_of_classes(&process, "backend_calls"), runs as u64);
    assert_eq!(figure(&process, "relay.calls.lookup.backend_calls"), 1);
    assert_eq!(figure(&process, "relay.calls.write.backend_calls"), 2);
}

/// At more load than the engine can take, the figures are those that the clients saw.
#[test]
fn the_figures_of_an_overload_are_those_of_its_clients() {
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

/// Connections that say nothing fill the process again and again while it drains: it must neither turn in circles nor stay.
#[test]
fn a_process_that_is_full_while_its_listener_closes_ends_in_order() {
    let deployment = deployment_of(Setup { sockets: 64, ..setup() });
    let mut process = start_ready(&deployment, quick_engine());
    let listen = deployment.listen;
    let flood = std::thread::spawn(move || {
        let mut open = Vec::new();
        let until = Instant::now() + DEFAULT_TIMEOUT;
        while Instant::now() < until {
            // Refused: the listener is closed, and the flood is over.
            let Ok(stream) = TcpStream::connect(listen) else { return };
            open.push(stream);
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    std::thread::sleep(Duration::from_millis(300));
    terminate(&deployment, &mut process);
    flood.join().expect("the flood ends");
}
