//! The program among stand-ins, over sockets. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use scenario::{Options, World, idle_gauges};

const UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

#[rstest]
#[case::served(
    "
    rpc send 1 look rid=a1 est=10 mem=20|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::checked(
    "
    rpc send 1 ping
    rpc expect [1 1 nil [true *"
)]
#[case::a_call_is_made_and_its_reply_fed(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that
    engine send DONE 2 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::a_call_that_never_ran_is_made_again(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 BUSY
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that"
)]
#[case::a_call_cut_off_may_have_run_and_fails_a_write(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store close
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1"
)]
#[case::a_repeat_waits_and_gets_the_same_bytes(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a2 token=k again=1|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc2 expect [1 1 nil [receipt *
    rpc2 send 2 write rid=a3 token=k again=1|paper
    rpc2 expect [1 2 nil [receipt *
    rpc2 send 3 look rid=a4|other
    engine expect RUN 00000000000000a4 look|other"
)]
#[case::a_repeat_whose_caller_left_is_still_not_run_twice(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send 1 abort
    rpc2 send 1 write rid=a2 token=k again=1|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::an_abort_stops_a_read(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send 1 abort
    engine expect HALT 00000000000000a1
    engine send DONE 1 00000000000000a1 cancelled 5|
    rpc send 2 ping
    rpc expect [1 2 nil [true *"
)]
#[case::due_while_it_runs(
    "
    rpc send 1 brief rid=a1|paper
    engine expect RUN 00000000000000a1 brief|paper
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1"
)]
#[case::due_counts_from_t0(
    "
    rpc send 1 look rid=a1 t0=-8900|paper
    rpc expect [1 1 [Busy *] nil]"
)]
#[case::unknown_class(
    "
    rpc send 1 sing rid=a1|x
    rpc expect [1 1 [NoMethod *] nil]
    rpc send 2 ping
    rpc expect [1 2 nil [true *"
)]
#[case::a_keyed_request_without_its_key(
    "
    rpc send 1 write rid=a1|x
    rpc expect [1 1 [BadField *] nil]"
)]
#[case::an_id_that_does_not_count_up(
    "
    rpc send 2 ping
    rpc expect [1 2 nil *
    rpc send 2 ping
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-message-id *"
)]
#[case::not_messagepack(
    "
    rpc send hex=c1
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-type *"
)]
#[case::nested_without_end(
    "
    rpc send hex=919191919191919191
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-deep *"
)]
#[case::a_length_beyond_any_message(
    "
    rpc send hex=9400c6ffffffff
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-long *"
)]
#[case::a_broken_engine_link_loses_and_doubles_nothing(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    engine close
    engine expect closed
    engine expect ATTACH 1
    rpc send 2 look rid=a2|paper
    rpc send 3 ping
    rpc expect [1 3 nil *
    engine send HELLO hot 6000
    engine send DONE 1 00000000000000a1 complete 12|one
    engine wait RUN 00000000000000a2 look|paper
    engine send DONE 2 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *"
)]
#[case::a_reply_that_came_without_an_engine_link_is_fed_later(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    engine close
    engine expect closed
    engine expect ATTACH 1
    store send 00000000000000a1 OK|that
    engine send HELLO hot 6000
    engine expect FEED 00000000000000a1|that
    engine send DONE 2 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *"
)]
#[case::one_that_says_nothing_is_not_kept(
    "
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=silent *
    ajp expect closed
    node wait conn-ended conn=2 front=ajp reason=silent *
    rpc2 send hex=940001
    rpc2 expect closed
    node wait conn-ended conn=3 front=rpc reason=s* read=0 *"
)]
#[case::one_that_stops_within_a_message_is_not_kept(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send hex=940002
    ajp2 send ping
    ajp2 expect cpong
    ajp2 send hex=1234
    ajp2 expect closed
    node wait conn-ended conn=2 front=ajp reason=sender-stalled *
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=sender-stalled *
    ajp send /look secret=s3 body=later content-length=10
    ajp expect closed
    node wait conn-ended conn=3 front=ajp reason=sender-stalled *"
)]
#[case::one_that_was_told_to_go_and_stays_is_closed(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send TERM
    rpc expect [2 goaway []]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=told-to-go *"
)]
#[case::a_call_that_must_not_be_made_twice_gets_a_new_connection(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that
    rpc send 2 write rid=a2 token=k|paper
    engine expect RUN 00000000000000a2 write|paper
    engine send NEED 2 00000000000000a2|what
    store wait CALL 00000000000000a2 *|what
    node send USR1
    node wait counters * store_links=2 *"
)]
#[case::a_connection_to_the_store_left_idle_is_not_used_again(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that
    engine send DONE 2 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *
    # It says nothing, and its end is as much time as the other needs to grow old.
    rpc2 expect closed
    rpc send 2 look rid=a3|paper
    engine expect RUN 00000000000000a3 look|paper
    engine send NEED 3 00000000000000a3|what
    store wait CALL 00000000000000a3 *|what
    node send USR1
    node wait counters * store_links=2 *"
)]
#[case::a_reload_moves_all_three_links(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send 2 look rid=a2|paper
    engine expect RUN 00000000000000a2 look|paper
    engine send NEED 1 00000000000000a2|which
    store expect CALL 00000000000000a2 *|which
    node send config=moved
    node send HUP
    engine expect closed
    engine2 expect ATTACH 1
    engine2 send HELLO hot 6000
    members2 wait HB n1 UP
    engine2 send NEED 2 00000000000000a1|what
    store2 expect CALL 00000000000000a1 *|what
    store2 send 00000000000000a1 OK|this
    engine2 wait FEED 00000000000000a1|this
    # A call that was open may still end where it was made.
    store send 00000000000000a2 OK|that
    engine2 wait FEED 00000000000000a2|that
    engine2 send DONE 3 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *"
)]
#[case::a_configuration_that_is_cut_off_changes_nothing(
    "
    node send config=cut-off
    node send HUP
    node wait reload-failed addresses=kept *
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::a_known_key_with_another_body_is_neither_served_nor_run(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a2 token=k again=1|other
    rpc2 expect [1 1 [Failed *] nil]
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc2 send 2 write rid=a3 token=k|other
    rpc2 expect [1 2 [Failed *] nil]
    ajp send /write token=k secret=s3|other
    ajp expect status 500 *
    ajp expect end 1
    rpc2 send 3 write rid=a4 token=k again=1|paper
    rpc2 expect [1 3 nil [receipt *"
)]
#[case::times_and_figures_that_cannot_be(
    "
    rpc send 1 look rid=a1 t0=-9999999|x
    rpc expect [1 1 [Failed *] nil]
    rpc send 2 write rid=a2 token=k t0=9999999|x
    rpc expect [1 2 [Failed *] nil]
    rpc send 3 look rid=a3 mem=2000|x
    rpc expect [1 3 [BadField *] nil]
    rpc send 4 look rid=a4 est=1e300|x
    rpc expect [1 4 [BadField *] nil]
    rpc send 5 look rid=a5 prio=1|x
    rpc expect [1 5 [BadField *] nil]
    rpc send 6 look rid=a6 mem=NaN|x
    rpc expect [1 6 [BadField *] nil]
    ajp send /look mem=2000 secret=s3
    ajp expect status 400 *
    ajp expect end 1
    rpc send 7 write rid=a7 token=k|paper
    engine expect RUN 00000000000000a7 write|paper"
)]
#[case::a_spoilt_reply_takes_no_other_call_along(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send 2 write rid=a2 token=k|paper
    engine expect RUN 00000000000000a2 write|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    engine send NEED 2 00000000000000a2|what
    store expect CALL 00000000000000a2 *|what
    store send 00000000000000a1 OK 3000000000
    store expect closed
    store send 00000000000000a2 OK|this
    engine expect FEED 00000000000000a2|this
    store wait CALL 00000000000000a1 *|which"
)]
#[case::a_call_without_a_reply_is_made_again_on_another_connection(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    node wait link-ended link=store reason=no-reply attempt_id=00000000000000a1 *
    store wait CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that"
)]
#[case::replies_that_belong_to_no_call_harm_nobody(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000ff OK|noise
    store send 00000000000000a1 OK|that
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that
    engine send NEED 2 00000000000000a1|what
    store wait CALL 00000000000000a1 *|what
    store send 00000000000000a1 OK|this
    engine expect FEED 00000000000000a1|this"
)]
#[case::a_remark_in_any_words_does_not_end_the_link(
    "
    engine send NOTE 1 pozn\u{e1}mka
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 2 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::ajp_leaving(
    "
    ajp send /look secret=s3|paper
    engine expect RUN $a look|paper
    node send TERM
    members wait HB n1 OUT
    engine send DONE 1 $a complete 12|report
    ajp expect status 200 *
    ajp expect data report
    ajp expect end 1
    ajp expect closed
    node wait ended *
    node wait exit 0"
)]
#[case::leaving(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    ajp send ping
    ajp expect cpong
    node send TERM
    members wait HB n1 OUT
    rpc2 send 1 ping
    rpc2 expect [1 1 nil [false *
    # Callers hear of it late, and what they still send is served.
    rpc send 2 look rid=a2|paper
    engine expect RUN 00000000000000a2 look|paper
    engine send DONE 1 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *
    rpc expect [2 goaway []]
    ajp expect closed
    rpc2 expect [2 goaway []]
    rpc expect [1 1 [Failed *] nil]
    rpc close
    rpc2 close
    node wait ended *
    node wait exit 0"
)]
#[case::counters_on_request(
    "
    rpc send 1 ping
    rpc expect [1 1 *
    node send USR1
    node wait counters all=\"connections=1 * pings=1 *"
)]
#[case::ajp_served_and_kept_open(
    "
    ajp send ping
    ajp expect cpong
    ajp send /look est=12.5 secret=s3|paper
    engine expect RUN $a look|paper
    engine send DONE 1 $a complete 12|report
    ajp expect status 200 Content-Length=6 Content-Type=application/octet-stream*
    ajp expect data report
    ajp expect end 1
    ajp send /look method=2 secret=s3
    engine expect RUN $b look|
    engine send DONE 2 $b error 12|
    ajp expect status 500 Content-Length=0*
    ajp expect end 1"
)]
#[case::ajp_a_caller_that_leaves_stops_its_read(
    "
    ajp send /look secret=s3|paper
    engine expect RUN $a look|paper
    ajp close
    engine expect HALT $a"
)]
#[case::ajp_late(
    "
    ajp send /brief secret=s3|paper
    engine expect RUN $a brief|paper
    ajp expect status 504 Content-Length=0 *
    ajp expect end 1
    engine expect HALT $a"
)]
#[case::ajp_refused_while_runs_hang(
    "
    rpc send 1 brief rid=a1|paper
    engine expect RUN 00000000000000a1 brief|paper
    rpc expect [1 1 [Failed *
    ajp send /look secret=s3|paper
    ajp expect status 503 Content-Length=0 Retry-After=1*
    ajp expect end 1"
)]
#[case::ajp_chunked_body(
    "
    ajp send /look secret=s3 mem=1999 transfer-encoding=chunked
    ajp expect get 2049
    ajp send data|pa
    ajp expect get 2049
    ajp send data|per
    ajp expect get 2049
    ajp send data|
    engine expect RUN * look|paper"
)]
#[case::ajp_bad_input(
    "
    ajp send /sing secret=s3
    ajp expect status 404*
    ajp expect end 1
    ajp send /write secret=s3
    ajp expect status 400*
    ajp expect end 1
    ajp send /look secret=s3 body=later content-length=2049
    ajp expect status 413*
    ajp expect end 0
    ajp expect closed"
)]
#[case::ajp_secret(
    "
    ajp send /look|paper
    ajp expect status 403*
    ajp expect end 0
    ajp expect closed"
)]
#[case::ajp_shutdown_is_ignored(
    "
    ajp send shutdown
    ajp send ping
    ajp expect cpong"
)]
#[case::ajp_framing(
    "
    ajp send hex=41420000
    ajp expect closed
    node wait conn-ended conn=1 front=ajp reason=bad-mark *
    ajp2 send hex=1234ffff
    ajp2 expect closed
    node wait conn-ended conn=2 front=ajp reason=packet-too-long *
    ajp3 send hex=123400020204
    ajp3 expect closed
    node wait conn-ended conn=3 front=ajp reason=bad-length *"
)]
#[case::ajp_body_that_breaks_off_is_never_run(
    "
    ajp send /write token=k secret=s3 body=later content-length=10
    ajp send data|half
    ajp expect get 6
    ajp close
    node wait conn-ended conn=1 front=ajp *
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    ajp2 send /write token=k again=1 secret=s3|paper
    ajp2 expect status 200 Content-Length=7*
    ajp2 expect data receipt
    ajp2 expect end 1"
)]
fn over_sockets(#[case] scenario: &str) {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    world.run(scenario);
}

#[test]
fn before_the_engine_is_up_nothing_is_reported_or_run() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(
        "rpc send 1 ping
         rpc expect [1 1 nil [false ]]
         ajp send /look secret=s3|x
         ajp expect status 503 Content-Length=0 Retry-After=1
         ajp expect end 1
         engine expect ATTACH 0
         engine send HELLO chilly 0
         members expect HB n1 UP",
    );
}

/// Where reads may share an answer: while it runs and for a moment after, and no longer; a failure is not shared.
#[test]
fn the_answer_to_a_read_serves_others_only_while_it_is_fresh() {
    let settings = vec![("\"keyKb\":5", "\"keyKb\":5,\"freshForMs\":150")];
    let store = scenario::service(Box::new(|_| Vec::new()));
    let options = Options { settings, ..Options::default() };
    let mut world = World::start_with(Box::new(idle_gauges), store, options);
    world.run(UP);
    world.run(
        "rpc send 1 look rid=a1 obj=s|paper
         engine expect RUN 00000000000000a1 look|paper
         rpc send 2 look rid=a2 obj=s|paper
         rpc send 3 ping
         rpc expect [1 3 nil *
         engine send DONE 1 00000000000000a1 complete 12|one
         rpc wait [1 1 nil [one *
         # It came when that answer was no longer fresh.
         rpc2 send 1 look rid=a3 obj=s t0=900|paper
         engine expect RUN 00000000000000a3 look|paper
         engine send DONE 2 00000000000000a3 error 12|
         rpc2 expect [1 1 [Failed *] nil]
         rpc2 send 2 look rid=a4 obj=s t0=900|paper
         engine expect RUN 00000000000000a4 look|paper
         engine send DONE 3 00000000000000a4 complete 12|two
         rpc2 expect [1 2 nil [two *",
    );
}

/// Both fronts past what the engine does, with AJP connections that break halfway through the body of a
/// write while the same key comes by MessagePack-RPC, and comes again by both.
#[test]
fn at_full_load_over_both_fronts_nothing_runs_twice_and_nothing_stays_unanswered() {
    const KEYS: usize = 150;
    let writes: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let seen = writes.clone();
    let (mut running, mut notice) = (Vec::<String>::new(), 0);
    // Eight runs end with each look at the gauges, and every third write stands at a call first.
    let engine = move |text: &str| -> Vec<String> {
        let mut next = |kind: &str, rest: String| {
            notice += 1;
            format!("{kind} {notice} {rest}")
        };
        let words: Vec<&str> = text.split([' ', '|']).collect();
        match words.as_slice() {
            ["ATTACH", _] => vec!["HELLO hot 9000".into()],
            ["RUN", rid, class, body] => {
                if *class == "write" {
                    *seen.lock().unwrap().entry((*body).to_owned()).or_default() += 1;
                }
                running.push((*rid).to_owned());
                if *class == "write" && body.len() % 3 == 0 {
                    return vec![next("NEED", format!("{rid}|{body}"))];
                }
                vec!["NOTE 0 begun".into()]
            }
            ["HALT", rid] => {
                running.retain(|r| r != rid);
                vec![next("DONE", format!("{rid} cancelled 1|"))]
            }
            ["STAT", tag] => {
                let ended = running.drain(..running.len().min(8)).collect::<Vec<_>>();
                let mut lines: Vec<String> =
                    ended.iter().map(|rid| next("DONE", format!("{rid} complete 20|done"))).collect();
                lines.push(format!("STATS {tag} 1 {} 0.1 3", running.len()));
                lines
            }
            _ => vec!["NOTE 0 read".into()],
        }
    };
    let store = |text: &str| {
        let words: Vec<&str> = text.split([' ', '|']).collect();
        if words[0] == "CALL" { vec![format!("{} OK|reply", words[1])] } else { Vec::new() }
    };
    let mut world = World::start(Box::new(engine), Box::new(store));
    world.run("members wait HB n1 UP");
    let (mut sent, mut rid) = (HashMap::<String, usize>::new(), 0);
    let mut script = String::new();
    for key in 0..KEYS {
        let body = "x".repeat(1 + key % 3) + &format!("-{key}");
        let router = format!("rpc{}", key % 12);
        let mut request = |router: &str, words: String| {
            let id = sent.entry(router.to_owned()).or_default();
            *id += 1;
            rid += 1;
            script.push_str(&format!(
                "{router} send {id} {}\n",
                words.replace("rid=", &format!("rid={rid:x}"))
            ));
        };
        let again = format!("rpc{}", (key + 5) % 12);
        request(&router, format!("look rid=|read{key}"));
        request(&router, format!("write rid= token=key{key}|{body}"));
        request(&again, format!("write rid= token=key{key} again=1|{body}"));
        let length = body.len() + 5;
        script.push_str(&format!(
            "ajp-cut{key} send /write token=key{key} secret=s3 body=later content-length={length}\n\
             ajp-cut{key} send data|{body}\n\
             ajp{0} send /write token=key{key} again=1 secret=s3|{body}\n\
             ajp-cut{key} close\n\
             ajp{0} expect status *\n\
             ajp{0} wait end 1\n",
            key % 8
        ));
    }
    world.run(&script);
    for (router, count) in &sent {
        let mut answered: Vec<u64> = (0..*count)
            .map(|_| {
                let text = world.wait(router, "[1 *");
                text.split(' ').nth(1).and_then(|id| id.parse().ok()).expect("a message id")
            })
            .collect();
        answered.sort_unstable();
        assert_eq!(answered, (1..=*count as u64).collect::<Vec<_>>(), "{router}: each once");
    }
    let writes = writes.lock().unwrap();
    assert!(writes.len() > KEYS / 2, "the test is of no worth if hardly anything ran: {}", writes.len());
    let doubles: Vec<_> = writes.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(doubles.is_empty(), "run more than once: {doubles:?}");
}

/// Sends checks and reads no answer, until nothing more is taken. What the system keeps for it is little and does
/// not grow: the first write that finds no room never ends.
fn deafen(world: &World) -> TcpStream {
    let mut deaf = TcpStream::connect(world.listen).expect("the program listens");
    rustix::net::sockopt::set_socket_recv_buffer_size(&deaf, 4096).expect("a small buffer");
    deaf.set_write_timeout(Some(Duration::from_secs(1))).expect("a time-out");
    let mut ids = 1..=4_000_000_u32;
    let blocked = loop {
        let pings: Vec<u8> =
            ids.by_ref().take(2000).flat_map(|id| scenario::rpc_request(&format!("{id} ping"))).collect();
        if pings.is_empty() || deaf.write_all(&pings).is_err() {
            break !pings.is_empty();
        }
    };
    assert!(blocked, "the program went on reading for a caller that reads nothing");
    deaf
}

/// A router that sends and never reads is not read either once its answers pile up, and holds up no one else.
#[test]
fn one_that_never_reads_stalls_nobody() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    let deaf = deafen(&world);
    world.run(
        "rpc send 1 look rid=a1|paper
         engine expect RUN 00000000000000a1 look|paper
         engine send DONE 1 00000000000000a1 complete 12|report
         rpc expect [1 1 nil [report *",
    );
    drop(deaf);
    world.run("node wait conn-ended conn=1 front=rpc *");
}

/// What all those that read nothing leave unread stays within a part of the memory, however small that is: here
/// less than what stops a connection from being read, and more than the answers to one read.
#[test]
fn what_is_not_read_does_not_fill_the_memory() {
    let store = scenario::service(Box::new(|_| Vec::new()));
    let mut world =
        World::start_with(Box::new(idle_gauges), store, Options { memory_mb: 0.48, ..Options::default() });
    world.run(UP);
    let _deaf = deafen(&world);
    world.run("node wait conn-ended conn=1 front=rpc reason=reader-too-slow *");
}

/// One that waited on full cores until no time was left is refused at once, and told when to come back.
#[test]
fn given_up_after_a_wait_it_is_told_when_to_come_back() {
    let full = |text: &str| -> Vec<String> {
        text.strip_prefix("STAT ").map(|tag| format!("STATS {tag} 1 4 0.1 3")).into_iter().collect()
    };
    let mut world = World::start(Box::new(full), Box::new(|_| Vec::new()));
    world.run(UP);
    world.run(
        "rpc send 1 look rid=a1|paper
         rpc send 2 look rid=a2|paper
         rpc send 3 look rid=a3|paper
         rpc send 4 look rid=a4|paper
         engine wait RUN 00000000000000a4 look|paper
         rpc send 5 brief rid=a5|paper
         rpc expect [1 5 [Busy * backoff=*] nil]",
    );
}

/// Due times hang on timers, and timers on gauges: an engine that tells none must not hold up an answer.
#[test]
fn a_silent_engine_holds_up_no_due_time() {
    let mut world = World::start(Box::new(|_| Vec::new()), Box::new(|_| Vec::new()));
    world.run(UP);
    world.run(
        "rpc send 1 brief rid=a1|paper
         engine wait RUN 00000000000000a1 brief|paper
         rpc expect [1 1 [Failed *] nil]
         node send USR1
         node wait counters * overdue=0 *",
    );
}

/// Of 256 descriptors 64 are kept back. Beyond 192 connections those that never spoke give way first, and the one
/// that was idle longest where all did; the links stay.
#[test]
fn connections_stay_below_the_limit_on_descriptors_and_give_way() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    let silent: Vec<TcpStream> = (0..300).flat_map(|_| TcpStream::connect(world.listen)).collect();
    assert_eq!(silent.len(), 300, "none is kept from connecting");
    world.run(
        "rpc1 send 1 ping
         rpc1 expect [1 1 nil *
         node wait conn-ended conn=* front=rpc reason=gave-way read=0 *",
    );
    drop(silent);
    let script: String =
        (2..=192).map(|n| format!("rpc{n} send 1 ping\nrpc{n} expect [1 1 nil *\n")).collect();
    world.run(&script);
    world.run(
        "rpc193 send 1 ping
         rpc193 expect [1 1 nil *
         rpc1 expect closed
         node wait conn-ended conn=* front=rpc reason=gave-way read=1 *
         rpc192 send 2 ping
         rpc192 expect [1 2 nil *",
    );
}

/// What routers would have closed themselves belongs to none that lives.
#[test]
fn one_that_asked_once_and_stays_is_closed() {
    let store = scenario::service(Box::new(|_| Vec::new()));
    let mut world =
        World::start_with(Box::new(idle_gauges), store, Options { idle_ms: 300, ..Options::default() });
    world.run(UP);
    world.run(
        "rpc send 1 ping
         rpc expect [1 1 nil *
         rpc expect closed
         node wait conn-ended conn=1 front=rpc reason=idle *",
    );
}

/// Reports get lost and an entry lapses 3 s after its last: half of that time has to hold several.
#[test]
fn reports_are_repeated_often_enough_for_some_to_be_lost() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    let reports = |world: &mut World| -> u32 {
        world.run("node send USR1");
        let counters = world.wait("node", "counters *");
        let (_, rest) = counters.split_once(" reports=").expect("counted");
        rest.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
    };
    let before = reports(&mut world);
    // The program's own clock ends this after 1.5 s.
    world.run(
        "rpc send 1 brief rid=a1|paper
         rpc expect [1 1 [Failed *] nil]",
    );
    let during = reports(&mut world) - before;
    assert!(during >= 4, "{during} reports in half the life of an entry");
}

/// An engine that answers no gauges on its first link proves nothing there; on the second it does, and with
/// `proves` it does so on the first too, once it has a reply.
fn forgetful_engine(proves: bool) -> scenario::Answer {
    let (mut links, mut fed) = (0, 0);
    Box::new(move |text| {
        links += i32::from(text.starts_with("ATTACH"));
        fed += i32::from(fed > 0 && text.starts_with("STAT") || text.starts_with("FEED"));
        match text.starts_with("STAT") {
            true if links > 1 || (proves && fed == 2) => idle_gauges(text),
            true if proves && fed == 3 => Vec::new(),
            true => vec!["NOTE 0 silent".into()],
            false => Vec::new(),
        }
    })
}

const FED: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP
rpc send 1 write rid=a1 token=k|paper
engine expect RUN 00000000000000a1 write|paper
engine send NEED 1 00000000000000a1|which
store expect CALL 00000000000000a1 *|which
store send 00000000000000a1 OK|that
engine expect FEED 00000000000000a1|that";

/// A command written just before the link broke may be lost; the run would wait until its due time.
#[test]
fn a_reply_that_may_be_lost_with_the_engine_link_is_fed_again() {
    let mut world = World::start(forgetful_engine(false), Box::new(|_| Vec::new()));
    world.run(FED);
    world.run(
        "engine close
         engine expect closed
         engine expect ATTACH 1
         engine send HELLO hot 6000
         engine expect FEED 00000000000000a1|that
         engine send DONE 2 00000000000000a1 complete 12|receipt
         rpc expect [1 1 nil [receipt *",
    );
}

/// Gauges that were asked for behind it prove that a reply was read: it is not fed again.
#[test]
fn a_reply_that_was_read_is_not_fed_again() {
    let mut world = World::start(forgetful_engine(true), Box::new(|_| Vec::new()));
    world.run(FED);
    world.run(
        "engine expect STAT *
         engine close
         engine expect closed
         engine expect ATTACH 1
         engine send HELLO hot 6000
         rpc send 2 look rid=a2|paper
         engine expect RUN 00000000000000a2 look|paper",
    );
}

/// A refused connection proves that no call ran: a write is not failed for it, and its call is made later.
#[test]
fn while_the_store_is_down_no_call_ran() {
    let (store, address) = scenario::down();
    let mut world = World::start_with(Box::new(idle_gauges), (store, address), Options::default());
    world.run(UP);
    world.run(
        "rpc send 1 write rid=a1 token=k|paper
         engine expect RUN 00000000000000a1 write|paper
         engine send NEED 1 00000000000000a1|which",
    );
    let refused = |world: &mut World| {
        world.run("node send USR1");
        !world.wait("node", "counters *").contains(" calls_failed=0 ")
    };
    while !refused(&mut world) {}
    let listener = TcpListener::bind(address).expect("still free");
    let mut call = String::new();
    let (stream, _) = listener.accept().expect("the program comes back");
    BufReader::new(stream).read_line(&mut call).expect("a line");
    assert!(call.starts_with("CALL 00000000000000a1 "), "{call}");
}

/// A run goes on without the call that cannot be made; the word for it may be lost with the link, and names its
/// notice, so that it can be sent again.
#[test]
fn a_call_left_out_is_told_again_over_a_new_engine_link() {
    let down = scenario::down();
    let mut world = World::start_with(forgetful_engine(false), down, Options::default());
    world.run(UP);
    world.run(
        "rpc send 1 brief rid=a1|paper
         engine wait RUN 00000000000000a1 brief|paper
         engine send NEED 1 00000000000000a1|which
         engine wait SKIP 00000000000000a1 1
         engine close
         engine wait ATTACH 1
         engine send HELLO hot 6000
         engine wait SKIP 00000000000000a1 1
         engine send DONE 2 00000000000000a1 complete 12|report
         rpc expect [1 1 nil [report *",
    );
}

/// A log that nobody reads fills its pipe after some hundred lines; the program goes on without it.
#[test]
fn a_log_that_is_not_read_stalls_nobody() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(UP);
    let gate = world.log_gate.clone();
    let unread = gate.lock().expect("not poisoned");
    for _ in 0..2000 {
        let mut stream = TcpStream::connect(world.listen).expect("the program listens");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        stream.write_all(&[0xc1]).expect("sent");
        // To the end, as a plain read may be interrupted by a signal to the test process.
        let end = stream.read_to_end(&mut Vec::new());
        assert!(matches!(end, Ok(0)), "closed for a byte that begins no message: {end:?}");
    }
    drop(unread);
    world.run("rpc send 1 ping\nrpc expect [1 1 nil [true *");
}
