//! One program among stub services, over sockets: requests, calls and connections by MessagePack-RPC and AJP. The
//! scenarios are in the language of `scenario/mod.rs`; load and broken links are in `node_load.rs` and `node_links.rs`.

mod scenario;

use rstest::rstest;
use scenario::{ENGINE_UP, Options, World, idle_gauges};

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
    node wait link-ended link=store reason=bad-length attempt_id=00000000000000a1 *
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
    world.run(ENGINE_UP);
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

/// With `freshForMs`, reads share an answer while it is computed and for that time after; a failure is not
/// shared.
#[test]
fn the_answer_to_a_read_serves_others_only_while_it_is_fresh() {
    let settings = vec![("\"keyKb\":5", "\"keyKb\":5,\"freshForMs\":150")];
    let store = scenario::service(Box::new(|_| Vec::new()));
    let options = Options { settings, ..Options::default() };
    let mut world = World::start_with(Box::new(idle_gauges), store, options);
    world.run(ENGINE_UP);
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
