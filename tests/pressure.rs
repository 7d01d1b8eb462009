//! Load from callers: floods on one connection and over hundreds of them beside a steady caller, and
//! answers read byte by byte. Also links that break within a line. The scenarios are in the language of
//! `scenario/mod.rs`.

mod scenario;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use scenario::{Answer, ENGINE_UP, Options, World, idle_gauges, instant_engine, rpc_request};
use socket2::{Domain, Socket, Type};

fn start_with(engine: Answer, options: Options) -> World {
    let mut world = World::start_with(engine, scenario::service(Box::new(|_| Vec::new())), options);
    world.run("members wait HB n1 UP");
    world
}

/// Maximum number of open connections of the program in a scenario: 256 descriptors less a quarter.
const MAX_CONNECTIONS: usize = 192;

/// Replaces the latency objective of 3 s by one that even a starved machine meets within the timeouts of a
/// scenario. A request that waits in the backlog past its objective is rightly rejected, so with 3 s the test
/// would measure the machine.
const AMPLE_OBJECTIVE: (&str, &str) = (
    r#"{"name":"look","effect":"read_like","promiseMs":3000,"deadlineMs":9000,"#,
    r#"{"name":"look","effect":"read_like","promiseMs":60000,"deadlineMs":90000,"#,
);

/// One connection sends pings without end and reads the answers; hundreds of connections send nothing, noise
/// or half a message. A caller that sends one request at a time has each served at its first attempt:
/// none is rejected, failed or lost.
#[test]
fn serves_steady_caller_during_flood() {
    let options = Options { settings: vec![AMPLE_OBJECTIVE], ..Options::default() };
    let mut world = start_with(instant_engine("report".into()), options);
    let (listen, flood_ended) = (world.listen, AtomicBool::new(false));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut flood = TcpStream::connect(listen).expect("the program listens");
            let mut reader = flood.try_clone().expect("clone the stream");
            scope.spawn(move || {
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
            });
            for id in 1.. {
                if flood_ended.load(Ordering::Relaxed)
                    || flood.write_all(&rpc_request(&format!("{id} ping"))).is_err()
                {
                    break;
                }
            }
            let _ = flood.shutdown(Shutdown::Both);
        });
        for kind in 0..3 {
            let flood_ended = &flood_ended;
            scope.spawn(move || {
                let half_message = rpc_request("1 look rid=1|paper");
                let bytes: &[u8] = [&[][..], &[0xc1; 64], &half_message[..40]][kind];
                while !flood_ended.load(Ordering::Relaxed) {
                    let burst: Vec<TcpStream> =
                        (0..MAX_CONNECTIONS).flat_map(|_| TcpStream::connect(listen)).collect();
                    for mut stream in &burst {
                        let _ = stream.write_all(bytes);
                    }
                }
            });
        }
        // A missing answer panics; catching the panic lets the flood end before the test fails.
        let steady_caller = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for n in 1..=40 {
                // Every fourth request opens a new connection; the others share one.
                let connection = if n % 4 == 0 { format!("rpc{n}") } else { "rpc".into() };
                let id = if n % 4 == 0 { 1 } else { n };
                world.run(&format!(
                    "{connection} send {id} look rid={n:x}|paper\n{connection} expect [1 {id} nil [report *"
                ));
            }
        }));
        flood_ended.store(true, Ordering::Relaxed);
        steady_caller.expect("every request of the steady caller is served");
    });
    world.run("node send USR1\nnode wait counters * requests=40 served=40 refused=0 failed=0 gone=0 *");
}

/// A caller reads long answers to as many requests as may be open, byte by byte through a small buffer,
/// while the process is sent SIGTERM: each answer is complete, and the connection is not reset at its end.
#[test]
fn slow_reader_gets_complete_answers_in_drain() {
    const ANSWERS: usize = 32;
    let result = "r".repeat(4096);
    let mut world = start_with(instant_engine(result.clone()), Options::default());
    let mut slow = TcpStream::connect(world.listen).expect("the program listens");
    rustix::net::sockopt::set_socket_recv_buffer_size(&slow, 4096).expect("set a small receive buffer");
    slow.set_read_timeout(Some(Duration::from_secs(20))).expect("set a read timeout");
    let requests: Vec<u8> =
        (1..=ANSWERS).flat_map(|id| rpc_request(&format!("{id} look rid={id:x}|paper"))).collect();
    slow.write_all(&requests).expect("send the requests");
    let mut received = Vec::new();
    let mut byte = [0];
    let mut term_sent = false;
    loop {
        match slow.read(&mut byte) {
            Ok(0) => break,
            Ok(_) => received.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("{error} after {} bytes", received.len()),
        }
        if received.len() > 20_000 && !std::mem::replace(&mut term_sent, true) {
            world.run("node send TERM\nnode wait leaving *");
        }
    }
    let text = String::from_utf8_lossy(&received);
    let served = text.matches(&result).count();
    let refused = text.matches("Busy").count();
    assert_eq!(served + refused, ANSWERS, "{served} served, {refused} refused");
    assert!(served >= 8, "too few long answers: {served} requests served");
    world.run("node wait exit 0");
}

/// Guards against requests that lie unread until their caller has taken its answers, although it has no more
/// requests open than it may. The caller reads nothing for a while and then sends one more request.
///
/// - `while_due_to_close`: the connection was idle for too long, and closes when its answers are written.
/// - `behind_many_answers`: more was queued than the limit up to which the program read on.
#[rstest]
#[case::while_due_to_close(15)]
#[case::behind_many_answers(31)]
fn reads_requests_while_answers_wait_for_caller(#[case] answers: usize) {
    const SEGMENT_BYTES: u32 = 536;
    const RECEIVE_BUFFER_BYTES: usize = 2048;
    /// The connection is idle for longer than its timeout.
    const IDLE: Duration = Duration::from_millis(1000);
    let result = "r".repeat(4096);
    let mut world = start_with(Box::new(idle_or_up), Options { idle_ms: 300, ..Options::default() });
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // With small segments the system has small buffers.
    socket.set_tcp_mss(SEGMENT_BYTES).expect("set the segment size");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("set a small receive buffer");
    socket.connect(&world.listen.into()).expect("the program listens");
    let mut caller = TcpStream::from(socket);
    caller.set_read_timeout(Some(Duration::from_secs(20))).expect("set a read timeout");
    for id in 1..=answers {
        let request = rpc_request(&format!("{id} look rid={id:x}|paper"));
        caller.write_all(&request).expect("send a request");
        world.run(&format!(
            "engine expect RUN {id:0>16x} look|paper
             engine send DONE {id} {id:0>16x} complete 1|{result}"
        ));
    }
    std::thread::sleep(IDLE);
    let last = answers + 1;
    caller.write_all(&rpc_request(&format!("{last} look rid=ff|later"))).expect("send one more request");
    world.run(&format!(
        "engine expect RUN 00000000000000ff look|later
         engine send DONE {last} 00000000000000ff complete 1|{result}"
    ));
    caller.shutdown(Shutdown::Write).expect("shut the writing half down");
    let mut received = Vec::new();
    caller.read_to_end(&mut received).expect("all answers");
    assert_eq!(String::from_utf8_lossy(&received).matches(&result).count(), last);
}

/// An engine notice cut off at any byte counts as not received: the engine sends it again on the next link,
/// and the caller gets one answer.
#[test]
fn run_end_cut_at_any_byte_is_answered_once() {
    let whole = "DONE 1 0000000000000001 complete 12 6\r\nreport\r\n";
    let store = scenario::service(Box::new(|_| Vec::new()));
    let mut world = World::start_with(Box::new(idle_gauges), store, Options::default());
    world.run(ENGINE_UP);
    for at in 1..whole.len() {
        let (before, rid) = (at - 1, format!("{at:0>16}"));
        world.run(&format!(
            "rpc send {at} look rid={at}|paper
             engine wait RUN {rid} look|paper
             engine send cut={at} DONE {at} {rid} complete 12|report
             engine close
             engine wait closed
             engine wait ATTACH {before}
             engine queue
             engine send HELLO hot 5000
             engine send DONE {at} {rid} complete 12|report
             rpc expect [1 {at} nil [report *"
        ));
    }
}

/// A store reply cut off at any byte counts as not received: the call of a read is repeated, and its run
/// continues with the complete reply.
#[test]
fn repeats_call_after_truncated_reply() {
    let whole = "0000000000000001 OK 4\r\nthat\r\n";
    let store = scenario::service(Box::new(|_| Vec::new()));
    let mut world = World::start_with(Box::new(idle_gauges), store, Options::default());
    world.run(ENGINE_UP);
    for at in 1..whole.len() {
        let rid = format!("{at:0>16}");
        world.run(&format!(
            "rpc send {at} look rid={at}|paper
             engine wait RUN {rid} look|paper
             engine send NEED {} {rid}|which
             store wait CALL {rid} *|which
             store send cut={at} {rid} OK|that
             store close {rid}
             store wait CALL {rid} *|which
             store queue
             store send {rid} OK|that
             engine wait FEED {rid}|that
             engine send DONE {} {rid} complete 12|report
             rpc expect [1 {at} nil [report *",
            2 * at - 1,
            2 * at
        ));
    }
}

/// The site is configured with callers that close connections after a moment of idleness: idle guards still
/// wait between two checks.
#[test]
fn serves_with_tiny_caller_idle_timeout() {
    let settings = vec![("\"callerIdleMs\":0", "\"callerIdleMs\":0.0001")];
    let mut world = start_with(Box::new(idle_or_up), Options { settings, ..Options::default() });
    world.run(
        "rpc send 1 look rid=a1|paper
         engine expect RUN 00000000000000a1 look|paper
         rpc2 send 1 look rid=a2|paper
         engine expect RUN 00000000000000a2 look|paper
         engine send DONE 1 00000000000000a2 complete 12|two
         rpc2 expect [1 1 nil [two *
         rpc2 expect closed
         engine send DONE 2 00000000000000a1 complete 12|one
         rpc expect [1 1 nil [one *
         rpc expect closed",
    );
}

fn idle_or_up(text: &str) -> Vec<String> {
    if text.starts_with("ATTACH") { vec!["HELLO hot 9000".into()] } else { idle_gauges(text) }
}

/// The last state reported to the service registry is correct and is sent repeatedly, whatever was reported
/// before: reports get lost, and the registry may be down when they are sent.
#[test]
fn repeats_out_to_service_registry_until_exit() {
    let mut world = start_with(Box::new(idle_or_up), Options::default());
    world.run(
        "rpc send 1 look rid=a1|paper
         engine expect RUN 00000000000000a1 look|paper
         node send TERM
         members wait HB n1 OUT
         members expect HB n1 OUT
         members expect HB n1 OUT
         # Neither a new link nor a reload revokes OUT.
         engine close
         engine wait closed
         members expect HB n1 OUT
         node send config=moved
         node send HUP
         members2 wait HB n1 OUT
         members2 expect HB n1 OUT
         node wait exit 0
         members never HB n1 UP
         members2 never HB n1 UP",
    );
}
