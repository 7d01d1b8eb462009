//! Messages that are written slowly or never completed, in both frontends: what was sent is read and answered,
//! and a sender that never goes on keeps its connection no longer than the time limits allow. The scenarios are
//! in the language of `scenario/mod.rs`.

mod scenario;

use rstest::rstest;
use scenario::{Options, up, up_with_instant_runs};

/// Replaces the latency objective and the deadline of reads by longer ones, so that a request is still worth an
/// answer after the time limits of partial messages.
const AMPLE_OBJECTIVE: (&str, &str) = (
    r#"{"name":"look","effect":"read_like","promiseMs":3000,"deadlineMs":9000,"#,
    r#"{"name":"look","effect":"read_like","promiseMs":60000,"deadlineMs":90000,"#,
);

/// Guards against requests that are never read: after the time limit of a partial message the program stopped
/// reading, untold, although a request was open, and closed once that was answered. The clock is set ahead by more
/// than any of these limits; `clock=0` waits until the part before it is read.
#[rstest]
#[case::while_serving(
    "
    rpc send 1 look rid=a1 est=1500|long
    engine expect RUN 00000000000000a1 look|long
    rpc send cut=40 2 look rid=a2 t0=6000|slow
    node send clock=0
    node send clock=6000
    rpc send cut=20 hex=
    node send clock=6000
    rpc send rest
    engine expect RUN 00000000000000a2 look|slow
    rpc send 3 write rid=a3 token=k t0=6000|paper
    engine expect RUN 00000000000000a3 write|paper
    engine send DONE 1 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    engine send DONE 2 00000000000000a3 complete 12|receipt
    rpc expect [1 3 nil [receipt *
    engine send DONE 3 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *"
)]
#[case::answered_before_message_is_complete(
    "
    rpc send 1 look rid=a1 est=1500|long
    engine expect RUN 00000000000000a1 look|long
    rpc send cut=40 2 look rid=a2 t0=6000|slow
    node send clock=0
    node send clock=6000
    rpc send cut=20 hex=
    node send clock=6000
    engine send DONE 1 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    rpc send rest
    engine expect RUN 00000000000000a2 look|slow
    engine send DONE 2 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *"
)]
#[case::abort_of_open_request(
    "
    rpc send 1 look rid=a1 est=1500|long
    engine expect RUN 00000000000000a1 look|long
    rpc send cut=5 1 abort
    node send clock=0
    node send clock=6000
    rpc send cut=1 hex=
    node send clock=6000
    rpc send rest
    rpc send 2 look rid=a2 t0=6000|later
    engine wait RUN 00000000000000a2 look|later
    engine send DONE 1 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *"
)]
#[case::after_goaway(
    "
    rpc send 1 look rid=a1 est=1500|long
    engine expect RUN 00000000000000a1 look|long
    rpc send cut=40 2 look rid=a2 t0=7000|slow
    node send clock=0
    node send clock=5300
    node send TERM
    node wait leaving *
    node send clock=7000
    rpc expect [2 goaway []]
    rpc send cut=20 hex=
    node send clock=7000
    rpc send rest
    engine expect RUN 00000000000000a2 look|slow
    engine send DONE 1 00000000000000a2 complete 12|two
    rpc expect [1 2 nil [two *
    engine send DONE 2 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    rpc shut
    rpc expect closed
    node wait exit 0"
)]
// The time from the notice to the kill is shorter than the present limit of a later message.
#[case::while_closing(
    "
    rpc send 1 look rid=a1|long
    engine expect RUN 00000000000000a1 look|long
    node send TERM
    node wait leaving *
    rpc send cut=40 2 look rid=a2 t0=2100|slow
    node send clock=2100
    rpc expect [2 goaway []]
    rpc send cut=20 hex=
    node send clock=2100
    rpc send rest
    rpc expect [1 2 [Busy *] nil]
    engine send DONE 1 00000000000000a1 complete 12|one
    rpc expect [1 1 nil [one *
    rpc shut
    rpc expect closed
    node wait exit 0"
)]
fn reads_on_behind_slow_message_beside_open_request(#[case] scenario: &str) {
    up(Options { settings: vec![AMPLE_OBJECTIVE], ..Options::default() }).run(scenario);
}

/// Guards against requests that are cut off by a time limit: some routers take over 2 s to write a request, and
/// the connection was closed after 1.5 s. `rpc2` and `rpc3` send nothing, and are closed 1.5 s after they connect.
#[rstest]
#[case::first_message(
    "
    rpc send cut=40 1 look rid=a1 t0=1500|paper
    rpc2 expect closed
    rpc send rest
    rpc expect [1 1 nil [report *"
)]
#[case::at_rest(
    "
    rpc send 1 ping
    rpc expect [1 1 nil *
    rpc send cut=40 2 look rid=a1 t0=3000|paper
    rpc2 expect closed
    rpc3 expect closed
    rpc send rest
    rpc expect [1 2 nil [report *"
)]
#[case::ajp_first_message(
    "
    ajp send cut=40 /look secret=s3|paper
    rpc2 expect closed
    ajp send rest
    ajp expect status 200 *"
)]
#[case::ajp_at_rest(
    "
    ajp send ping
    ajp expect cpong
    ajp send cut=40 /look secret=s3|paper
    rpc2 expect closed
    rpc3 expect closed
    ajp send rest
    ajp expect status 200 *"
)]
fn answers_request_that_is_written_slowly(#[case] scenario: &str) {
    up_with_instant_runs(Options::default()).run(scenario);
}

/// A sender that never goes on: its connection is closed once the request beside the partial message is
/// answered and the time limit of that message is over, in a drain, too.
#[rstest]
#[case::while_serving("", "sender-stalled")]
#[case::after_goaway(
    "node send TERM\nnode wait leaving *\nnode send clock=1700\nrpc expect [2 goaway []]",
    "s*"
)]
fn closes_stalled_connection_after_last_answer(#[case] drain: &str, #[case] reason: &str) {
    up(Options::default()).run(&format!(
        "rpc send 1 look rid=a1|long
         engine expect RUN 00000000000000a1 look|long
         rpc send cut=40 2 look rid=a2|slow
         {drain}
         engine send DONE 1 00000000000000a1 complete 12|one
         rpc expect [1 1 nil [one *
         rpc expect closed
         node wait conn-ended conn=1 front=rpc reason={reason} read=1 answered=1 *"
    ));
}

/// Guards against an AJP request without an answer: the connection was closed without one when the rest of a
/// body, which the web server had been told to send, did not come in time.
#[rstest]
#[case::stalled_body(
    "
    ajp send /look secret=s3 transfer-encoding=chunked
    ajp expect get *
    ajp expect status 400 Content-Length=0 *
    ajp expect end 0
    ajp expect closed
    node wait conn-ended conn=1 front=ajp reason=sender-stalled read=1 answered=1 *
    node send TERM"
)]
#[case::deadline(
    "
    ajp send /look budget=300 secret=s3 body=later content-length=5
    ajp expect status 504 Content-Length=0 *
    ajp expect end 0
    ajp expect closed
    node send TERM"
)]
#[case::end_of_process(
    "
    node send TERM
    node wait leaving *
    node send clock=1700
    ajp send /write token=k secret=s3 transfer-encoding=chunked
    ajp expect get *
    node send clock=2790
    ajp expect status 503 Content-Length=0 Retry-After=1 *
    ajp expect end 0
    ajp expect closed"
)]
fn ajp_request_with_incomplete_body_is_answered(#[case] scenario: &str) {
    let mut world = up(Options::default());
    world.run(scenario);
    world.run("node wait exit 0\nengine never RUN *");
}
