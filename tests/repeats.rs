//! Duplicates of keyed requests around the end of a short dedup window, for each outcome of the first
//! attempt. Times are set by `t0` instead of waiting. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use rstest::rstest;
use scenario::{ENGINE_UP, Options, World, idle_gauges};

/// Starts a site whose dedup window of 900 ms is far shorter than its deadline of 9 s.
fn start_site(memory_mb: f64) -> World {
    let settings = vec![("\"keyTtlMs\":20000", "\"keyTtlMs\":900")];
    let store = scenario::service(Box::new(|_| Vec::new()));
    let options = Options { settings, memory_mb, ..Options::default() };
    let mut world = World::start_with(Box::new(idle_gauges), store, options);
    world.run(ENGINE_UP);
    world
}

#[rstest]
#[case::first_and_last_millisecond_of_window(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc send 2 write rid=a2 token=k again=1 t0=b0|paper
    rpc expect [1 2 nil [receipt *
    rpc send 3 write rid=a3 token=k again=1 t0=b900|paper
    rpc expect [1 3 nil [receipt *"
)]
#[case::new_request_after_window(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc send 2 write rid=a2 token=k again=1 t0=b902|paper
    engine expect RUN 00000000000000a2 write|paper
    engine send DONE 2 00000000000000a2 complete 12|another
    rpc expect [1 2 nil [another *
    # From here on the window of the second request applies.
    rpc send 3 write rid=a3 token=k again=1 t0=b950|paper
    rpc expect [1 3 nil [another *"
)]
#[case::duplicate_older_than_attempt_that_ran(
    "
    rpc send 1 write rid=a1 token=k t0=b500|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send 2 write rid=a2 token=k t0=b100|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc wait [1 1 nil [receipt *
    rpc wait [1 2 nil [receipt *
    rpc send 3 write rid=a3 token=k t0=b100|paper
    rpc expect [1 3 nil [receipt *"
)]
#[case::new_request_after_window_while_first_runs(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a2 token=k again=1 t0=b10|paper
    rpc2 send 2 ping
    rpc2 expect [1 2 nil *
    rpc3 send 1 write rid=a3 token=k again=1 t0=b902|paper
    engine expect RUN 00000000000000a3 write|paper
    # Each duplicate gets the result of the run that it duplicates.
    engine send DONE 1 00000000000000a1 complete 12|first
    rpc expect [1 1 nil [first *
    rpc2 expect [1 1 nil [first *
    engine send DONE 2 00000000000000a3 complete 12|second
    rpc3 expect [1 1 nil [second *"
)]
#[case::first_failed(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 error 12|
    rpc expect [1 1 [Failed *] nil]
    # The first may have had its effect: the duplicate is neither run nor rejected as never run.
    rpc send 2 write rid=a2 token=k again=1 t0=b900|paper
    rpc expect [1 2 [Failed *] nil]"
)]
#[case::first_never_started(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 unknown 0|
    rpc expect [1 1 [Failed *] nil]
    rpc send 2 write rid=a2 token=k again=1 t0=b10|paper
    engine expect RUN 00000000000000a2 write|paper"
)]
#[case::caller_of_first_left(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc send 1 abort
    rpc send 2 ping
    rpc expect [1 2 nil *
    rpc2 send 1 write rid=a2 token=k again=1 t0=b899|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::engine_link_of_first_lost(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine close
    engine expect closed
    engine expect ATTACH 0
    rpc2 send 1 write rid=a2 token=k again=1 t0=b899|paper
    rpc2 send 2 ping
    rpc2 expect [1 2 nil *
    engine send HELLO hot 6000
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc2 expect [1 1 nil [receipt *"
)]
#[case::during_drain(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    node send TERM
    node wait leaving *
    rpc2 send 1 write rid=a2 token=k again=1 t0=b10|paper
    node send clock=2100
    # After the grace, too, a duplicate is neither run nor rejected as never run.
    rpc2 send 2 write rid=a3 token=k again=1 t0=b20|paper
    rpc2 expect [2 goaway []]
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc wait [1 1 nil [receipt *
    rpc2 expect [1 1 nil [receipt *
    rpc2 expect [1 2 nil [receipt *"
)]
#[case::shortly_before_process_exit(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a2 token=k again=1 t0=b10|paper
    node send TERM
    node wait leaving *
    node send clock=2790
    rpc wait [1 1 [Failed *] nil]
    rpc2 wait [1 1 [Failed *] nil]
    node wait exit 0"
)]
#[case::same_attempt_id_as_running_attempt(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a1 token=k again=1 t0=b10|paper
    rpc2 expect [1 1 [Failed *] nil]
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *"
)]
fn handles_keyed_duplicate_around_short_window(#[case] scenario: &str) {
    let mut world = start_site(192.0);
    world.run(scenario);
    // The engine gets no run beyond the expected ones.
    world.run("engine never RUN *");
}

/// There is no memory to retain the result: the duplicate fails, and is neither run nor rejected as never
/// run.
#[test]
fn fails_duplicate_whose_result_was_dropped() {
    let mut world = start_site(0.001);
    let result = "x".repeat(400);
    world.run(&format!(
        "rpc send 1 write rid=a1 token=k t0=b0|paper
         engine expect RUN 00000000000000a1 write|paper
         engine send DONE 1 00000000000000a1 complete 12|{result}
         rpc expect [1 1 nil [{result} *
         rpc send 2 write rid=a2 token=k again=1 t0=b10|paper
         rpc expect [1 2 [Failed *] nil]
         engine never RUN *"
    ));
}
