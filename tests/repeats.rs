//! Repeats of keyed requests round the end of a short window, and whatever became of the try that ran. Times are forced
//! by `t0`, not waited for. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use rstest::rstest;
use scenario::{Options, World, idle_gauges};

const UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

/// A site whose window of 900 ms is far shorter than its deadline of 9 s.
fn up(memory_mb: f64) -> World {
    let settings = vec![("\"keyTtlMs\":20000", "\"keyTtlMs\":900")];
    let store = scenario::service(Box::new(|_| Vec::new()));
    let options = Options { settings, memory_mb, ..Options::default() };
    let mut world = World::start_with(Box::new(idle_gauges), store, options);
    world.run(UP);
    world
}

#[rstest]
#[case::at_the_first_and_the_last_millisecond_of_the_window(
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
#[case::past_the_window_it_is_a_new_request(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *
    rpc send 2 write rid=a2 token=k again=1 t0=b902|paper
    engine expect RUN 00000000000000a2 write|paper
    engine send DONE 2 00000000000000a2 complete 12|another
    rpc expect [1 2 nil [another *
    # From here on the window is that of the second.
    rpc send 3 write rid=a3 token=k again=1 t0=b950|paper
    rpc expect [1 3 nil [another *"
)]
#[case::one_that_came_before_the_try_that_ran(
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
#[case::past_the_window_while_the_first_still_runs(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a2 token=k again=1 t0=b10|paper
    rpc2 send 2 ping
    rpc2 expect [1 2 nil *
    rpc3 send 1 write rid=a3 token=k again=1 t0=b902|paper
    engine expect RUN 00000000000000a3 write|paper
    # Each gets the result of the run that it repeats.
    engine send DONE 1 00000000000000a1 complete 12|first
    rpc expect [1 1 nil [first *
    rpc2 expect [1 1 nil [first *
    engine send DONE 2 00000000000000a3 complete 12|second
    rpc3 expect [1 1 nil [second *"
)]
#[case::the_first_failed(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 error 12|
    rpc expect [1 1 [Failed *] nil]
    # It may have had its effect: neither run nor told that it never ran.
    rpc send 2 write rid=a2 token=k again=1 t0=b900|paper
    rpc expect [1 2 [Failed *] nil]"
)]
#[case::the_first_was_never_started(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    engine send DONE 1 00000000000000a1 unknown 0|
    rpc expect [1 1 [Failed *] nil]
    rpc send 2 write rid=a2 token=k again=1 t0=b10|paper
    engine expect RUN 00000000000000a2 write|paper"
)]
#[case::the_caller_of_the_first_left(
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
#[case::the_link_of_the_first_was_lost(
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
#[case::in_a_drain(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    node send TERM
    node wait leaving *
    rpc2 send 1 write rid=a2 token=k again=1 t0=b10|paper
    node send clock=2100
    # After the grace as well: it is not run, and not told that it never ran.
    rpc2 send 2 write rid=a3 token=k again=1 t0=b20|paper
    rpc2 expect [2 goaway []]
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc wait [1 1 nil [receipt *
    rpc2 expect [1 1 nil [receipt *
    rpc2 expect [1 2 nil [receipt *"
)]
#[case::as_the_process_is_about_to_end(
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
#[case::under_the_name_of_a_try_that_runs(
    "
    rpc send 1 write rid=a1 token=k t0=b0|paper
    engine expect RUN 00000000000000a1 write|paper
    rpc2 send 1 write rid=a1 token=k again=1 t0=b10|paper
    rpc2 expect [1 1 [Failed *] nil]
    engine send DONE 1 00000000000000a1 complete 12|receipt
    rpc expect [1 1 nil [receipt *"
)]
fn round_a_short_window(#[case] scenario: &str) {
    let mut world = up(192.0);
    world.run(scenario);
    // One run for each that was expected, and no other.
    world.run("engine never RUN *");
}

/// There is no room to keep the result: its repeat is failed, still neither run nor told that nothing ran.
#[test]
fn the_result_of_the_first_was_dropped() {
    let mut world = up(0.001);
    let report = "x".repeat(400);
    world.run(&format!(
        "rpc send 1 write rid=a1 token=k t0=b0|paper
         engine expect RUN 00000000000000a1 write|paper
         engine send DONE 1 00000000000000a1 complete 12|{report}
         rpc expect [1 1 nil [{report} *
         rpc send 2 write rid=a2 token=k again=1 t0=b10|paper
         rpc expect [1 2 [Failed *] nil]
         engine never RUN *"
    ));
}
