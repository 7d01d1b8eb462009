//! Scenarios of one program among stub services: requests, calls and connections over MessagePack-RPC and
//! AJP, in the language of `scenario/mod.rs`. `node_load.rs` covers load, `node_links.rs` broken links.

mod scenario;

use rstest::rstest;
use scenario::{ENGINE_UP, Options, World, idle_gauges};

#[rstest]
#[case::serves_request(
    "
    rpc send 1 look rid=a1 est=10 mem=20|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::answers_health_check(
    "
    rpc send 1 ping
    rpc expect [1 1 nil [true *"
)]
#[case::feeds_store_reply_to_engine(
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
#[case::repeats_call_that_did_not_run(
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
#[case::fails_write_whose_call_may_have_run(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store close
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1"
)]
#[case::repeat_gets_result_of_running_write(
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
#[case::repeat_joins_run_of_disconnected_caller(
    "
    rpc send 1 write rid=a1 token=k|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send 1 abort
    rpc2 send 1 write rid=a2 token=k again=1|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::abort_stops_read(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send 1 abort
    engine expect HALT 00000000000000a1
    engine send DONE 1 00000000000000a1 cancelled 5|
    rpc send 2 ping
    rpc expect [1 2 nil [true *"
)]
#[case::fails_request_at_deadline(
    "
    rpc send 1 brief rid=a1|paper
    engine expect RUN 00000000000000a1 brief|paper
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1"
)]
// Guards against a request that is answered only at the deadline of its class although its caller waits for a
// shorter time: the first is due in 700 ms, the second in 1,500 ms.
#[case::fails_request_when_its_caller_stops_waiting(
    "
    rpc send 1 look rid=a1 budget=700|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send 2 brief rid=a2|paper
    engine expect RUN 00000000000000a2 brief|paper
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1
    rpc expect [1 2 [Failed *] nil]"
)]
// The time that the caller waits does not extend the deadline of the class.
#[case::class_deadline_holds_for_patient_caller(
    "
    rpc send 1 brief rid=a1 budget=9000|paper
    engine expect RUN 00000000000000a1 brief|paper
    rpc send 2 look rid=a2 budget=4000|paper
    engine expect RUN 00000000000000a2 look|paper
    rpc expect [1 1 [Failed *] nil]
    engine expect HALT 00000000000000a1
    rpc expect [1 2 [Failed *] nil]"
)]
// Guards against a call that is waited for longer than the caller of its request waits: a store that hangs
// ends it in 1,050 ms, and the second request is due in 1,500 ms.
#[case::call_ends_when_its_caller_stops_waiting(
    "
    rpc send 1 look rid=a1 budget=700|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send 2 brief rid=a2|paper
    engine expect RUN 00000000000000a2 brief|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    rpc expect [1 1 [Failed *] nil]
    store expect closed
    engine expect HALT 00000000000000a1
    rpc expect [1 2 [Failed *] nil]"
)]
// Guards against an attempt that is started although its caller has stopped waiting by the time it is read.
#[case::rejects_request_whose_caller_has_stopped_waiting(
    "
    rpc send 1 look rid=a1 t0=-500 budget=400|paper
    rpc expect [1 1 [Busy *] nil]
    rpc send 2 look rid=a2 budget=4000|paper
    engine expect RUN 00000000000000a2 look|paper"
)]
#[case::deadline_counts_from_t0(
    "
    rpc send 1 look rid=a1 t0=-8900|paper
    rpc expect [1 1 [Busy *] nil]"
)]
#[case::rejects_unknown_class(
    "
    rpc send 1 sing rid=a1|x
    rpc expect [1 1 [NoMethod *] nil]
    rpc send 2 ping
    rpc expect [1 2 nil [true *"
)]
#[case::rejects_keyed_request_without_key(
    "
    rpc send 1 write rid=a1|x
    rpc expect [1 1 [BadField *] nil]"
)]
#[case::closes_on_repeated_message_id(
    "
    rpc send 2 ping
    rpc expect [1 2 nil *
    rpc send 2 ping
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-message-id *"
)]
// Guards against a connection that was closed, its requests unanswered, for an id in a signed form.
#[case::takes_message_ids_in_signed_forms(
    "
    rpc send hex=9400d005a470696e679180
    rpc expect [1 5 nil *
    rpc send hex=9400d10100a470696e679180
    rpc expect [1 256 nil *
    rpc send hex=9400d200010000a470696e679180
    rpc expect [1 65536 nil *
    rpc send hex=9400d30000000001000000a470696e679180
    rpc expect [1 16777216 nil *
    rpc send 16777217 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    rpc send hex=9302a561626f727491d30000000001000001
    engine expect HALT 00000000000000a1
    rpc send hex=9400d3ffffffffffffffffa470696e679180
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-type *"
)]
#[case::closes_on_invalid_messagepack(
    "
    rpc send hex=c1
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=bad-type *"
)]
#[case::closes_on_excessive_nesting(
    "
    rpc send hex=919191919191919191
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-deep *"
)]
#[case::closes_on_excessive_length(
    "
    rpc send hex=9400c6ffffffff
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=message-too-long *"
)]
#[case::engine_link_break_loses_and_duplicates_nothing(
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
#[case::feeds_store_reply_after_engine_reconnects(
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
#[case::closes_silent_connections(
    "
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=silent *
    ajp expect closed
    node wait conn-ended conn=2 front=ajp reason=silent *
    rpc2 send hex=940001
    rpc2 expect closed
    node wait conn-ended conn=3 front=rpc reason=s* read=0 *"
)]
#[case::closes_connections_stalled_within_message(
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
    ajp expect status 400 Content-Length=0 *
    ajp expect end 0
    ajp expect closed
    node wait conn-ended conn=3 front=ajp reason=sender-stalled read=1 answered=1 *"
)]
#[case::closes_connection_that_ignores_goaway(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    node send TERM
    rpc expect [2 goaway []]
    rpc expect closed
    node wait conn-ended conn=1 front=rpc reason=told-to-go *"
)]
#[case::unrepeatable_call_gets_new_connection(
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
#[case::does_not_reuse_idle_store_connection(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send NEED 1 00000000000000a1|which
    store expect CALL 00000000000000a1 *|which
    store send 00000000000000a1 OK|that
    engine expect FEED 00000000000000a1|that
    engine send DONE 2 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *
    # rpc2 sends nothing. When it is closed, the store connection has been idle for too long to be reused.
    rpc2 expect closed
    rpc send 2 look rid=a3|paper
    engine expect RUN 00000000000000a3 look|paper
    engine send NEED 3 00000000000000a3|what
    store wait CALL 00000000000000a3 *|what
    node send USR1
    node wait counters * store_links=2 *"
)]
#[case::reload_moves_service_links(
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
    # The first store may still answer a call that was open before the reload.
    store send 00000000000000a2 OK|that
    engine2 wait FEED 00000000000000a2|that
    engine2 send DONE 3 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *"
)]
#[case::keeps_settings_on_truncated_configuration(
    "
    node send config=cut-off
    node send HUP
    node wait reload-failed addresses=kept *
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 1 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::rejects_known_key_with_other_body(
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
#[case::rejects_impossible_field_values(
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
    rpc send 7 look rid=a7 budget=-1|x
    rpc expect [1 7 [BadField *] nil]
    rpc send 8 look rid=a8 budget=1e300|x
    rpc expect [1 8 [BadField *] nil]
    ajp send /look mem=2000 secret=s3
    ajp expect status 400 *
    ajp expect end 1
    ajp send /look budget=soon secret=s3
    ajp expect status 400 *
    ajp expect end 1
    rpc send 9 write rid=a9 token=k|paper
    engine expect RUN 00000000000000a9 write|paper"
)]
#[case::malformed_store_reply_affects_only_its_call(
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
#[case::repeats_unanswered_call_on_other_connection(
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
#[case::ignores_unmatched_store_replies(
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
#[case::non_ascii_engine_note_keeps_link(
    "
    engine send NOTE 1 pozn\u{e1}mka
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    engine send DONE 2 00000000000000a1 complete 12|report
    rpc expect [1 1 nil [report *"
)]
#[case::ajp_drain_completes_request(
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
#[case::rpc_drain_serves_requests_until_goaway(
    "
    rpc send 1 look rid=a1|paper
    engine expect RUN 00000000000000a1 look|paper
    ajp send ping
    ajp expect cpong
    node send TERM
    members wait HB n1 OUT
    rpc2 send 1 ping
    rpc2 expect [1 1 nil [false *
    # Callers are notified late, and requests that they send until then are served.
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
#[case::logs_counters_on_sigusr1(
    "
    rpc send 1 ping
    rpc expect [1 1 *
    node send USR1
    node wait counters all=\"connections=1 * pings=1 *"
)]
#[case::ajp_connection_serves_several_requests(
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
#[case::ajp_disconnect_stops_read(
    "
    ajp send /look secret=s3|paper
    engine expect RUN $a look|paper
    ajp close
    engine expect HALT $a"
)]
#[case::ajp_answers_504_at_deadline(
    "
    ajp send /brief secret=s3|paper
    engine expect RUN $a brief|paper
    ajp expect status 504 Content-Length=0 *
    ajp expect end 1
    engine expect HALT $a"
)]
// Guards against an AJP request that is answered only at the deadline of its class: the other is due later.
#[case::ajp_answers_504_when_its_caller_stops_waiting(
    "
    rpc send 1 brief rid=a1|paper
    engine expect RUN 00000000000000a1 brief|paper
    ajp send /look budget=700 secret=s3|paper
    engine expect RUN $a look|paper
    ajp expect status 504 Content-Length=0 *
    ajp expect end 1
    rpc send 2 ping
    rpc expect [1 2 nil *
    rpc expect [1 1 [Failed *] nil]"
)]
#[case::ajp_answers_503_while_run_hangs(
    "
    rpc send 1 brief rid=a1|paper
    engine expect RUN 00000000000000a1 brief|paper
    rpc expect [1 1 [Failed *
    ajp send /look secret=s3|paper
    ajp expect status 503 Content-Length=0 Retry-After=1*
    ajp expect end 1"
)]
#[case::ajp_reads_chunked_body(
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
#[case::ajp_rejects_invalid_requests(
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
#[case::ajp_rejects_missing_secret(
    "
    ajp send /look|paper
    ajp expect status 403*
    ajp expect end 0
    ajp expect closed"
)]
#[case::ajp_ignores_shutdown(
    "
    ajp send shutdown
    ajp send ping
    ajp expect cpong"
)]
#[case::ajp_closes_on_malformed_packets(
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
#[case::ajp_does_not_run_truncated_body(
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
fn passes_scenario(#[case] scenario: &str) {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    world.run(scenario);
}

#[test]
fn reports_and_runs_nothing_before_engine_is_up() {
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

/// With `freshForMs`, reads share a result while it is computed and for that time afterwards. Failures are
/// not shared.
#[test]
fn shares_read_result_only_while_fresh() {
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
         # t0 lies 900 ms ahead, when the shared result is no longer fresh.
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
