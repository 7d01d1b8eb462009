//! Races between two events: input or signals that arrive while the program starts, drains, closes a
//! connection or ends. Each race is forced deterministically: the process is stopped, its clock is set ahead,
//! or input is delayed. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use std::net::TcpListener;

use rstest::rstest;
use scenario::{ENGINE_UP, Options, World, idle_gauges, rpc_request, up, up_with_instant_runs};

fn start(options: Options) -> World {
    World::start_with(Box::new(idle_gauges), scenario::service(Box::new(|_| Vec::new())), options)
}

// ---- connections ----

#[rstest]
#[case::malformed_bytes_after_request(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send hex=c1c1c1c1
    # Requests that were read before fail at once: a router that sends malformed input gets no result.
    rpc expect [1 1 [Failed *] nil]
    rpc expect closed
    engine wait HALT 00000000000000a1
    node wait conn-ended conn=1 front=rpc reason=bad-type read=1 answered=1 *"
)]
#[case::malformed_bytes_in_same_write_as_requests(
    "
    rpc queue 1 write rid=a1 token=k|paper
    rpc queue 2 ping
    rpc send hex=9191919191
    rpc expect [1 2 nil *
    rpc expect [1 1 [Failed *] nil]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-deep read=2 answered=1 *"
)]
#[case::non_increasing_message_id_after_open_request(
    "
    rpc send 3 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc queue 3 look rid=a2|paper
    rpc send 4 look rid=a3|paper
    rpc expect [1 3 [Failed *] nil]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-message-id *"
)]
#[case::retry_gets_result_of_write_on_malformed_connection(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send hex=c1
    rpc expect [1 1 [Failed *] nil]
    rpc2 send 1 write rid=a2 token=k again=1|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::partial_request_on_idle_connection(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    rpc send cut=30 2 look rid=a1|paper
    # The second connection is closed once the first has been idle for longer than routers keep a connection.
    rpc2 send 1 ping
    rpc2 expect [1 1 nil *
    rpc2 expect closed
    rpc send rest
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 2 nil [report *"
)]
#[case::unread_request_at_idle_timeout(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send STOP
    rpc send 2 look rid=a1|paper
    node send clock=800
    node send CONT
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 2 nil [report *"
)]
#[case::unread_first_request_at_message_timeout(
    "
    node send STOP
    rpc send 1 look rid=a1|paper
    node send clock=1600
    node send CONT
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::request_after_shutdown_is_dropped(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    rpc expect closed
    # The read half is still open: this request crossed the close, and its sender has to use another server.
    rpc send 2 look rid=a1|paper
    rpc2 send 1 look rid=a2|other
    engine expect RUN 00000000000000a2 look|other
    rpc shut
    node wait conn-ended conn=1 front=rpc reason=idle read=1 *"
)]
#[case::client_shutdown_after_requests(
    "
    rpc queue 1 look rid=a1|paper
    rpc send 2 look rid=a2|other
    rpc shut
    engine expect RUN 00000000000000a1 look|paper
    engine expect RUN 00000000000000a2 look|other
    engine send DONE 1 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *
    engine send DONE 2 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=peer-closed read=2 answered=2 *"
)]
#[case::client_shutdown_within_message(
    "
    rpc queue 1 look rid=a1|paper
    rpc send cut=99 2 look rid=a2|other
    rpc shut
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=cut-off read=1 answered=1 *"
)]
#[case::ajp_unread_request_at_go_away(
    "
    ajp send ping
    ajp expect cpong
    node send TERM
    node wait leaving *
    node send STOP
    ajp send /look secret=s3|paper
    # The time at which idle callers are asked to disconnect.
    node send clock=1700
    node send CONT
    engine expect RUN $a look|paper
    engine send DONE 1 $a complete 12|report
    ajp expect status 200 *
    ajp expect data report
    ajp expect end *
    ajp expect closed"
)]
fn handles_events_that_cross_on_one_connection(#[case] scenario: &str) {
    up(Options { idle_ms: 400, ..Options::default() }).run(scenario);
}

/// More requests than may be in flight: every request that was read is answered, and the connection ends in
/// order.
#[test]
fn answers_all_read_requests_beyond_in_flight_limit() {
    let mut world = up(Options::default());
    let queued: String = (1..40).map(|id| format!("rpc queue {id} look rid={id}|paper\n")).collect();
    world.run(&format!("{queued}rpc send 40 look rid=40|paper"));
    let mut answered: Vec<u32> = Vec::new();
    for _ in 0..32 {
        let text = world.wait("rpc", "[1 *");
        assert!(!text.contains("nil ["), "a request was served after a protocol violation: {text}");
        answered.push(text.split(' ').nth(1).and_then(|id| id.parse().ok()).expect("an id"));
    }
    answered.sort_unstable();
    assert_eq!(answered, (1..=32).collect::<Vec<_>>());
    world.run(
        "rpc expect closed
         node wait conn-ended conn=1 front=rpc reason=too-many-open *",
    );
}

/// The connection is idle for longer than the timeout after any part of a request, and the rest of the
/// request arrives then.
#[test]
fn answers_request_paused_at_any_byte() {
    let mut world = up_with_instant_runs(Options { idle_ms: 300, ..Options::default() });
    let length = rpc_request("2 look rid=1|paper").len();
    let mut script = String::new();
    for at in 1..length {
        script += &format!(
            "rpc{at} send 1 ping\nrpc{at} expect [1 1 nil *\nrpc{at} send cut={at} 2 look rid={at:x}|paper\n"
        );
    }
    // This connection has no partial message. It is closed after all the others were idle for as long.
    script += "rpc send 1 ping\nrpc expect [1 1 nil *\nrpc expect closed\n";
    for at in 1..length {
        script += &format!("rpc{at} send rest\n");
    }
    for at in 1..length {
        script += &format!("rpc{at} expect [1 2 *\n");
    }
    world.run(&script);
}

// ---- the termination notice ----

/// The engine comes up after the termination notice: the process is never registered as up, runs nothing, and
/// ends.
#[test]
fn notice_before_engine_up_never_serves() {
    let mut world = start(Options::default());
    world.run(
        "engine expect ATTACH 0
         rpc send 1 ping
         rpc expect [1 1 nil [false *
         node send TERM
         node wait leaving *
         members wait HB n1 OUT
         rpc expect [2 goaway []]
         engine send HELLO hot 5000
         rpc send 2 look rid=a1|paper
         rpc expect [1 2 [Busy *] nil]
         rpc close
         node wait exit 0
         members never HB n1 UP
         engine never RUN *",
    );
}

/// No client connected and the process was never registered: it does not wait for the end of the grace
/// period.
#[test]
fn notice_before_engine_up_without_clients_ends_at_once() {
    let mut world = start(Options::default());
    world.run(
        "engine expect ATTACH 0
         node send TERM
         node wait exit 0
         members never HB n1 UP",
    );
}

/// The listener closes while a request is written on a connection that is not accepted yet, or that is
/// accepted while the request is unread in the system's buffer.
#[rstest]
#[case::in_rpc_backlog(
    "
    node send STOP
    rpc send 1 look rid=a1 t0=2100|paper
    node send clock=2100
    node send CONT
    rpc expect [2 goaway []]
    rpc expect [1 1 [Busy *] nil]"
)]
#[case::in_ajp_backlog(
    "
    node send STOP
    ajp send /look secret=s3|paper
    node send clock=2100
    node send CONT
    ajp expect status 503 *
    ajp expect end *"
)]
#[case::unread_on_connection(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send STOP
    rpc send 2 look rid=a1 t0=2100|paper
    node send clock=2100
    node send CONT
    rpc wait [1 2 [Busy *] nil]"
)]
#[case::several_in_one_write_after_go_away(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send clock=1700
    rpc expect [2 goaway []]
    node send STOP
    rpc queue 2 look rid=a1 t0=2100|paper
    rpc queue 3 write rid=a2 token=k t0=2100|paper
    rpc send 4 ping
    node send clock=2100
    node send CONT
    rpc wait [1 4 nil [false *
    rpc wait [1 2 [Busy *] nil]
    rpc wait [1 3 [Busy *] nil]"
)]
fn answers_late_requests_while_closing(#[case] scenario: &str) {
    let mut world = up(Options::default());
    world.run("node send TERM\nnode wait leaving *");
    world.run(scenario);
    let client = scenario.split_whitespace().find(|word| word.starts_with("rpc") || word.starts_with("ajp"));
    let client = client.expect("a client");
    world.run(&format!("{client} shut\n{client} wait closed\nnode wait exit 0\nengine never RUN *"));
}

/// A request that reached the machine in the grace period is served even if it is read later; a request that
/// reached the machine after the grace period is not.
#[test]
fn grace_period_counts_from_notice_for_late_reads() {
    let mut world = up(Options::default());
    world.run(
        "rpc send 1 ping
         rpc expect [1 1 nil *
         node send TERM
         node wait leaving *
         node send clock=2100
         # By its own clock the program is past its grace period of 2000 ms; this request arrived shortly before its end.
         rpc send 2 look rid=a1 t0=1900|paper
         rpc send 3 look rid=a2 t0=2100|paper
         engine expect RUN 00000000000000a1 look|paper
         rpc wait [1 3 [Busy *] nil]
         engine send DONE 1 00000000000000a1 complete 12|report
         rpc wait [1 2 nil [report *
         rpc shut
         rpc wait closed
         node wait exit 0",
    );
}

/// Guards against a run of a request that reached the machine after the grace period: the time of the head
/// counted as the arrival of an AJP request, however late its body was complete.
#[test]
fn ajp_request_completed_after_grace_period_is_rejected() {
    up(Options::default()).run(
        "node send TERM
         node wait leaving *
         node send clock=1000
         ajp send /look secret=s3 transfer-encoding=chunked
         ajp expect get *
         node send clock=2100
         ajp send data|paper
         ajp expect get *
         ajp send data
         ajp expect status 503 *
         ajp expect end *
         ajp expect closed
         node wait exit 0
         engine never RUN *",
    );
}

/// The kill is near and runs are unfinished: each caller gets one complete answer, which no reset destroys,
/// whatever else the caller sends.
#[rstest]
#[case::no_more_input("rpc send 2 ping\nrpc expect [1 2 nil *")]
#[case::partial_message("rpc send cut=40 2 look rid=a2|paper")]
#[case::request_and_partial_message("rpc queue 2 ping\nrpc send cut=60 3 look rid=a3|paper")]
fn completes_answers_before_kill(#[case] more: &str) {
    let mut world = up(Options::default());
    world.run(&format!(
        "rpc send 1 look rid=a1|paper
         engine expect RUN 00000000000000a1 look|paper
         rpc2 send 1 write rid=a4 token=k|paper
         engine expect RUN 00000000000000a4 write|paper
         node send TERM
         node wait leaving *
         {more}
         node send clock=2790
         rpc wait [1 1 [Failed *] nil]
         rpc wait closed
         rpc2 wait [1 1 [Failed *] nil]
         rpc2 wait closed
         # The wait for the rest of a partial message may also have timed out by now.
         node wait conn-ended conn=1 front=rpc reason=s* read=*
         node wait ended *
         node wait exit 0",
    ));
}

/// Requests that arrive between the last answers and the end are either answered or not read at all.
#[test]
fn flood_during_drain_gets_complete_answers() {
    let mut world = up(Options::default());
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper\nnode send TERM");
    let script: String = (2..400).map(|id| format!("rpc send {id} ping\n")).collect();
    world.run(&script);
    world.run("node send clock=2790\nrpc wait [1 1 [Failed *] nil]\nrpc wait closed\nnode wait exit 0");
}

#[rstest]
#[case::twice("node send TERM\nnode send TERM")]
#[case::before_reload("node send TERM\nnode send HUP")]
#[case::after_reload("node send config=moved\nnode send HUP\nnode send TERM")]
#[case::with_truncated_configuration(
    "node send config=cut-off\nnode send HUP\nnode send TERM\nnode send HUP"
)]
#[case::with_counters("node send USR1\nnode send TERM\nnode send USR1")]
#[case::after_interrupt("node send INT\nnode send TERM")]
fn concurrent_signals_lose_nothing(#[case] signals: &str) {
    let mut world = up(Options::default());
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper\nnode send STOP");
    // All signals are delivered at the same instant.
    world.run(signals);
    world.run("node send CONT\nnode wait leaving *");
    let moved = signals.contains("moved");
    if moved {
        world.run("engine2 wait ATTACH 0\nengine2 send HELLO hot 6000\nmembers2 wait HB n1 OUT");
    } else {
        world.run("members wait HB n1 OUT");
    }
    let engine = if moved { "engine2" } else { "engine" };
    world.run(&format!(
        "{engine} send DONE 1 00000000000000a1 complete 12|report
         rpc expect [1 1 nil [report *
         rpc shut
         rpc wait closed
         node wait exit 0"
    ));
}

// ---- the start ----

fn start_with_early_signals(signals: &'static [&'static str], then: &'static str) -> World {
    start(Options { startup_signals: Some((signals, then)), ..Options::default() })
}

/// A reload signal that arrives while the program reads its configuration is handled afterwards, as the
/// program may have read the previous file.
#[test]
fn reload_during_start_is_applied_after_it() {
    let mut world = start_with_early_signals(&["HUP"], "moved");
    world.run(
        "node wait reloaded *
         engine2 wait ATTACH 0
         engine2 send HELLO hot 5000
         members2 wait HB n1 UP
         rpc send 1 look rid=a1|paper
         engine2 expect RUN 00000000000000a1 look|paper
         engine2 send DONE 1 00000000000000a1 complete 12|report
         rpc expect [1 1 nil [report *",
    );
}

#[test]
fn invalid_reload_during_start_changes_nothing() {
    let mut world = start_with_early_signals(&["HUP", "USR1", "HUP"], "cut-off");
    world.run("node wait reload-failed addresses=kept *");
    world.run(ENGINE_UP);
}

#[rstest]
#[case::alone(&["TERM"])]
#[case::with_reload(&["HUP", "TERM"])]
#[case::with_all_signals(&["USR1", "TERM", "HUP", "INT", "TERM"])]
fn notice_during_start_ends_in_order(#[case] signals: &'static [&'static str]) {
    let mut world = start_with_early_signals(signals, "first");
    world.run("node wait leaving *\nnode wait ended *\nnode wait exit 0\nmembers never HB n1 UP");
}

/// The predecessor at the address is about to end: the successor waits for the address.
#[test]
fn waits_for_address_in_use() {
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut world = up(Options { occupying_listener: Some(other), ..Options::default() });
    world.run("rpc send 1 ping\nrpc expect [1 1 nil [true *");
}

/// A process is killed with open connections. Its successor starts at the same address while these
/// connections still linger in the system.
#[test]
fn successor_starts_while_connections_of_predecessor_linger() {
    let mut world = up(Options::default());
    let listen = world.listen;
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper");
    world.run("node send KILL\nnode wait exit killed\nrpc wait closed");
    let mut successor = up(Options { listen, ..Options::default() });
    successor.run("rpc send 1 ping\nrpc expect [1 1 nil [true *");
}
