//! One program whose links to its services break or stay silent: engine, store and list service. The scenarios are in
//! the language of `scenario/mod.rs`.

mod scenario;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use scenario::{ENGINE_UP, Options, World, idle_gauges};

/// Deadlines depend on timers, and timers on gauges: an engine that reports none must not delay an answer.
#[test]
fn a_silent_engine_holds_up_no_due_time() {
    let mut world = World::start(Box::new(|_| Vec::new()), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    world.run(
        "rpc send 1 brief rid=a1|paper
         engine wait RUN 00000000000000a1 brief|paper
         rpc expect [1 1 [Failed *] nil]
         node send USR1
         node wait counters * overdue=0 *",
    );
}

/// Load reports get lost, and an entry expires 3 s after its last one: there have to be several in half of that time.
#[test]
fn reports_are_repeated_often_enough_for_some_to_be_lost() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
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

/// An engine that answers no query of its gauges on its first link, and so acknowledges nothing there; on the second link
/// it does, and with `proves` on the first too, once it has a reply.
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

/// A command that was written just before the link broke may be lost; without a retry the run would wait until its deadline.
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

/// An answer to a later query of the gauges acknowledges a reply: it is not fed again.
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

/// A refused connection proves that no call was made: a write does not fail for it, and the call is retried.
#[test]
fn while_the_store_is_down_no_call_ran() {
    let (store, address) = scenario::down();
    let mut world = World::start_with(Box::new(idle_gauges), (store, address), Options::default());
    world.run(ENGINE_UP);
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

/// A run goes on without a call that cannot be made. The command for that may be lost with the link; it names the notice
/// that it answers, so that it can be sent again.
#[test]
fn a_call_left_out_is_told_again_over_a_new_engine_link() {
    let down = scenario::down();
    let mut world = World::start_with(forgetful_engine(false), down, Options::default());
    world.run(ENGINE_UP);
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
