//! Where two events cross: what comes while the program starts, leaves, closes a connection or ends. Each crossing is
//! forced by events: by the stopped process, by its clock set ahead, by what is kept back. The scenarios are in the
//! language of `scenario/mod.rs`.

mod scenario;

use std::net::TcpListener;

use rstest::rstest;
use scenario::{Options, World, idle_gauges, rpc_request};

const UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

fn start(options: Options) -> World {
    World::start_with(Box::new(idle_gauges), scenario::service(Box::new(|_| Vec::new())), options)
}

/// A world whose engine ends every run at once.
fn up_and_swift(options: Options) -> World {
    let mut notice = 0;
    let engine = move |text: &str| {
        let words: Vec<&str> = text.split([' ', '|']).collect();
        match words.as_slice() {
            ["ATTACH", _] => vec!["HELLO hot 9000".into()],
            ["RUN", rid, ..] => {
                notice += 1;
                vec![format!("DONE {notice} {rid} complete 1|report")]
            }
            ["STAT", tag] => vec![format!("STATS {tag} 0.1 0 0.1 3")],
            _ => vec!["NOTE 0 read".into()],
        }
    };
    let store = scenario::service(Box::new(|_| Vec::new()));
    let mut world = World::start_with(Box::new(engine), store, options);
    world.run("members wait HB n1 UP");
    world
}

fn up(options: Options) -> World {
    let mut world = start(options);
    world.run(UP);
    world
}

// ---- connections ----

#[rstest]
#[case::bad_bytes_behind_good_requests(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send hex=c1c1c1c1
    # What was read before is answered, at once and as a failure: nothing is served to one that sends no messages.
    rpc expect [1 1 [Failed *] nil]
    rpc expect closed
    engine wait HALT 00000000000000a1
    node wait conn-ended conn=1 front=rpc reason=bad-type read=1 answered=1 *"
)]
#[case::bad_bytes_in_one_piece_with_good_requests(
    "
    rpc queue 1 write rid=a1 token=k|paper
    rpc queue 2 ping
    rpc send hex=9191919191
    rpc expect [1 2 nil *
    rpc expect [1 1 [Failed *] nil]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-deep read=2 answered=1 *"
)]
#[case::an_id_that_does_not_count_up_behind_an_open_request(
    "
    rpc send 3 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc queue 3 look rid=a2|paper
    rpc send 4 look rid=a3|paper
    rpc expect [1 3 [Failed *] nil]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-message-id *"
)]
#[case::the_write_of_a_spoilt_connection_runs_on_and_its_repeat_gets_the_result(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send hex=c1
    rpc expect [1 1 [Failed *] nil]
    rpc2 send 1 write rid=a2 token=k again=1|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::half_a_request_on_a_resting_connection(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    rpc send cut=30 2 look rid=a1|paper
    # The second tells when the first has rested for longer than routers keep a connection.
    rpc2 send 1 ping
    rpc2 expect [1 1 nil *
    rpc2 expect closed
    rpc send rest
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 2 nil [report *"
)]
#[case::a_request_that_lay_unread_while_its_connection_grew_old(
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
#[case::a_first_request_that_lay_unread_until_its_connection_had_said_nothing_for_too_long(
    "
    node send STOP
    rpc send 1 look rid=a1|paper
    node send clock=1600
    node send CONT
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::what_comes_behind_the_shutdown_is_not_passed_on(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    rpc expect closed
    # Half of the connection is still open: this crossed the close, and its sender has to go elsewhere.
    rpc send 2 look rid=a1|paper
    rpc2 send 1 look rid=a2|other
    engine expect RUN 00000000000000a2 look|other
    rpc shut
    node wait conn-ended conn=1 front=rpc reason=idle read=1 *"
)]
#[case::the_writing_half_is_ended_behind_requests(
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
#[case::the_writing_half_is_ended_within_a_message(
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
#[case::ajp_a_request_that_lay_unread_as_callers_are_told_to_go(
    "
    ajp send ping
    ajp expect cpong
    node send TERM
    node wait leaving *
    node send STOP
    ajp send /look secret=s3|paper
    # The time at which idle front ends are let go.
    node send clock=1700
    node send CONT
    engine expect RUN $a look|paper
    engine send DONE 1 $a complete 12|report
    ajp expect status 200 *
    ajp expect data report
    ajp expect end *
    ajp expect closed"
)]
fn on_one_connection(#[case] scenario: &str) {
    up(Options { idle_ms: 400, ..Options::default() }).run(scenario);
}

/// Requests behind the most that may be open: each that was read has its answer, and the connection ends in order.
#[test]
fn too_many_open_requests_are_all_answered() {
    let mut world = up(Options::default());
    let queued: String = (1..40).map(|id| format!("rpc queue {id} look rid={id}|paper\n")).collect();
    world.run(&format!("{queued}rpc send 40 look rid=40|paper"));
    let mut answered: Vec<u32> = Vec::new();
    for _ in 0..32 {
        let text = world.wait("rpc", "[1 *");
        assert!(!text.contains("nil ["), "served to one that breaks the protocol: {text}");
        answered.push(text.split(' ').nth(1).and_then(|id| id.parse().ok()).expect("an id"));
    }
    answered.sort_unstable();
    assert_eq!(answered, (1..=32).collect::<Vec<_>>());
    world.run(
        "rpc expect closed
         node wait conn-ended conn=1 front=rpc reason=too-many-open *",
    );
}

/// Any part of a request may be all that has come when the connection has rested for long, and the rest comes then.
#[test]
fn a_request_cut_at_any_byte_by_a_rest_is_answered() {
    let mut world = up_and_swift(Options { idle_ms: 300, ..Options::default() });
    let length = rpc_request("2 look rid=1|paper").len();
    let mut script = String::new();
    for at in 1..length {
        script += &format!(
            "rpc{at} send 1 ping\nrpc{at} expect [1 1 nil *\nrpc{at} send cut={at} 2 look rid={at:x}|paper\n"
        );
    }
    // One that rests without half a message is closed after all that have one had rested as long.
    script += "rpc send 1 ping\nrpc expect [1 1 nil *\nrpc expect closed\n";
    for at in 1..length {
        script += &format!("rpc{at} send rest\n");
    }
    for at in 1..length {
        script += &format!("rpc{at} expect [1 2 *\n");
    }
    world.run(&script);
}

// ---- the notice to leave ----

/// The engine comes up when the process has been told to leave: it is never listed as taking work, runs nothing, and ends.
#[test]
fn the_notice_before_the_engine_is_up() {
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

/// Nobody came, and nobody was told of it: there is no reason to stay until the grace is over.
#[test]
fn the_notice_before_the_engine_is_up_and_nobody_there() {
    let mut world = start(Options::default());
    world.run(
        "engine expect ATTACH 0
         node send TERM
         node wait exit 0
         members never HB n1 UP",
    );
}

/// Each stands before a door as it shuts: connected, its request written, not accepted. Or it was accepted, and its
/// request lies in the system's buffer.
#[rstest]
#[case::in_the_backlog(
    "
    node send STOP
    rpc send 1 look rid=a1 t0=2100|paper
    node send clock=2100
    node send CONT
    rpc expect [2 goaway []]
    rpc expect [1 1 [Busy *] nil]"
)]
#[case::in_the_backlog_of_the_other_front(
    "
    node send STOP
    ajp send /look secret=s3|paper
    node send clock=2100
    node send CONT
    ajp expect status 503 *
    ajp expect end *"
)]
#[case::unread_on_a_connection(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send STOP
    rpc send 2 look rid=a1 t0=2100|paper
    node send clock=2100
    node send CONT
    rpc wait [1 2 [Busy *] nil]"
)]
#[case::several_in_one_piece_behind_the_goaway(
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
fn whoever_stands_before_the_door_as_it_shuts_is_answered(#[case] scenario: &str) {
    let mut world = up(Options::default());
    world.run("node send TERM\nnode wait leaving *");
    world.run(scenario);
    let who = scenario.split_whitespace().find(|word| word.starts_with("rpc") || word.starts_with("ajp"));
    let who = who.expect("a client");
    world.run(&format!("{who} shut\n{who} wait closed\nnode wait exit 0\nengine never RUN *"));
}

/// What was read in the grace is served, whenever it is read; what reached the machine after it is not.
#[test]
fn the_grace_counts_from_the_notice_however_late_a_request_is_read() {
    let mut world = up(Options::default());
    world.run(
        "rpc send 1 ping
         rpc expect [1 1 nil *
         node send TERM
         node wait leaving *
         node send clock=2100
         # By its own clock the program is past its grace of 2000 ms; this one came a moment before the end of it.
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

/// The kill is near and a run goes on: its caller is answered, whole and once, and no reset takes that along, whatever
/// else the caller sends.
#[rstest]
#[case::nothing_more("rpc send 2 ping\nrpc expect [1 2 nil *")]
#[case::half_a_line("rpc send cut=40 2 look rid=a2|paper")]
#[case::more_than_is_read("rpc queue 2 ping\nrpc send cut=60 3 look rid=a3|paper")]
fn at_the_kill_each_answer_is_whole(#[case] more: &str) {
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
         # Half a message may also have been waited for too long by now.
         node wait conn-ended conn=1 front=rpc reason=s* read=*
         node wait ended *
         node wait exit 0",
    ));
}

/// Requests that come between the last answers and the end are answered, or nothing of them was read.
#[test]
fn a_flood_through_the_whole_drain_gets_whole_answers_and_no_reset() {
    let mut world = up(Options::default());
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper\nnode send TERM");
    let script: String = (2..400).map(|id| format!("rpc send {id} ping\n")).collect();
    world.run(&script);
    world.run("node send clock=2790\nrpc wait [1 1 [Failed *] nil]\nrpc wait closed\nnode wait exit 0");
}

#[rstest]
#[case::twice("node send TERM\nnode send TERM")]
#[case::and_a_reload("node send TERM\nnode send HUP")]
#[case::behind_a_reload("node send config=moved\nnode send HUP\nnode send TERM")]
#[case::with_a_configuration_that_is_cut_off(
    "node send config=cut-off\nnode send HUP\nnode send TERM\nnode send HUP"
)]
#[case::and_the_counters("node send USR1\nnode send TERM\nnode send USR1")]
#[case::of_another_name("node send INT\nnode send TERM")]
fn signals_that_cross_lose_nothing(#[case] signals: &str) {
    let mut world = up(Options::default());
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper\nnode send STOP");
    // All are delivered in one instant.
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

fn early(signals: &'static [&'static str], then: &'static str) -> World {
    start(Options { startup_signals: Some((signals, then)), ..Options::default() })
}

/// A reload that comes while the program reads its configuration is taken when it has: it may have read the old one.
#[test]
fn a_reload_during_the_start_is_taken_after_it() {
    let mut world = early(&["HUP"], "moved");
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
fn a_reload_during_the_start_of_a_file_that_cannot_be_used_changes_nothing() {
    let mut world = early(&["HUP", "USR1", "HUP"], "cut-off");
    world.run("node wait reload-failed addresses=kept *");
    world.run(UP);
}

#[rstest]
#[case::alone(&["TERM"])]
#[case::with_a_reload(&["HUP", "TERM"])]
#[case::twice_and_with_all(&["USR1", "TERM", "HUP", "INT", "TERM"])]
fn the_notice_during_the_start_ends_the_process_in_order(#[case] signals: &'static [&'static str]) {
    let mut world = early(signals, "first");
    world.run("node wait leaving *\nnode wait ended *\nnode wait exit 0\nmembers never HB n1 UP");
}

/// The process that had the address a moment ago is about to end: its successor waits for it.
#[test]
fn an_address_that_is_in_use_is_waited_for() {
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut world = up(Options { occupying_listener: Some(other), ..Options::default() });
    world.run("rpc send 1 ping\nrpc expect [1 1 nil [true *");
}

/// Killed with connections open, it comes back at its address while the old ones still linger in the system.
#[test]
fn a_successor_starts_at_the_same_address_while_old_connections_linger() {
    let mut world = up(Options::default());
    let listen = world.listen;
    world.run("rpc send 1 look rid=a1|paper\nengine expect RUN 00000000000000a1 look|paper");
    world.run("node send KILL\nnode wait exit killed\nrpc wait closed");
    let mut next = up(Options { listen, ..Options::default() });
    next.run("rpc send 1 ping\nrpc expect [1 1 nil [true *");
}
