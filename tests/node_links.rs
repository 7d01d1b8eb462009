//! One program whose links to its upstream services (engine, store and service registry) break or stay
//! silent. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use scenario::{ENGINE_UP, Options, World, idle_gauges};

/// The value of a counter in the program's log.
fn counter(world: &mut World, name: &str) -> u32 {
    world.run("node send USR1");
    let counters = world.wait("node", "counters *");
    let (_, rest) = counters.split_once(&format!(" {name}=")).expect("counted");
    rest.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// Deadlines depend on timers, and timers depend on gauges: an engine that reports no gauges must not delay
/// an answer.
#[test]
fn silent_engine_does_not_delay_deadlines() {
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

/// Reports to the service registry get lost, and an entry expires 3 s after the last received report. The
/// program must send several reports in half of that time.
#[test]
fn repeats_registry_reports_often_enough_to_tolerate_losses() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    let before = counter(&mut world, "reports");
    // The deadline of the class fails this request after 1.5 s.
    world.run(
        "rpc send 1 brief rid=a1|paper
         rpc expect [1 1 [Failed *] nil]",
    );
    let during = counter(&mut world, "reports") - before;
    assert!(during >= 4, "{during} reports in half the time to live of an entry");
}

/// An engine that answers no gauge request on its first link, and so acknowledges no command there. On the
/// second link it answers all gauge requests. With `acknowledges` it also answers the first gauge request
/// after a FEED on the first link.
fn unresponsive_engine(acknowledges: bool) -> scenario::Answer {
    // `since_feed` counts the FEED commands, and the gauge requests after the first of them.
    let (mut links, mut since_feed) = (0, 0);
    Box::new(move |text| {
        links += i32::from(text.starts_with("ATTACH"));
        since_feed += i32::from(since_feed > 0 && text.starts_with("STAT") || text.starts_with("FEED"));
        match text.starts_with("STAT") {
            true if links > 1 || (acknowledges && since_feed == 2) => idle_gauges(text),
            true if acknowledges && since_feed == 3 => Vec::new(),
            true => vec!["NOTE 0 silent".into()],
            false => Vec::new(),
        }
    })
}

/// The steps until the reply to the call of a run of this class is written.
fn deliver_reply(world: &mut World, class: &str) {
    world.run(ENGINE_UP);
    world.run(&format!(
        "rpc send 1 {class} rid=a1 token=k|paper
         engine expect RUN 00000000000000a1 {class}|paper
         engine send NEED 1 00000000000000a1|which
         store expect CALL 00000000000000a1 *|which
         store send 00000000000000a1 OK|that
         engine expect FEED 00000000000000a1|that"
    ));
}

/// The steps that break the link to the engine, and until the engine accepts the next one.
const RECONNECT: &str = "
engine close
engine expect closed
engine expect ATTACH 1
engine send HELLO hot 6000";

/// Guards against a reply that is written again after a reconnect: the engine read the first one, and took
/// the second one for the reply to the next call of the run. Where an answer without the call is worth
/// something, the run is told to go on without it, which names the call.
#[test]
fn skips_call_instead_of_delivering_reply_again_after_engine_reconnect() {
    let mut world = World::start(unresponsive_engine(false), Box::new(|_| Vec::new()));
    deliver_reply(&mut world, "brief");
    world.run(RECONNECT);
    world.run(
        "engine expect SKIP 00000000000000a1 1
         engine send NEED 2 00000000000000a1|next
         store wait CALL 00000000000000a1 *|next
         store send 00000000000000a1 OK|other
         engine expect FEED 00000000000000a1|other
         engine send DONE 3 00000000000000a1 complete 12|report
         rpc expect [1 1 nil [report *",
    );
}

/// Guards against a reply that is written again after a reconnect, where the call cannot be skipped: a run
/// that received the reply goes on undisturbed.
#[test]
fn run_that_received_its_reply_goes_on_after_engine_reconnect() {
    let mut world = World::start(unresponsive_engine(false), Box::new(|_| Vec::new()));
    deliver_reply(&mut world, "write");
    world.run(RECONNECT);
    world.run(
        "rpc send 2 look rid=a2|paper
         engine expect RUN 00000000000000a2 look|paper
         engine send NEED 2 00000000000000a1|next
         store wait CALL 00000000000000a1 *|next
         store send 00000000000000a1 OK|other
         engine expect FEED 00000000000000a1|other
         engine send DONE 3 00000000000000a1 complete 12|receipt
         rpc expect [1 1 nil [receipt *",
    );
}

/// A reply that was written just before the link broke may be lost, and must not be written again. Guards
/// against a run that waits for it until its deadline: it is failed and cancelled (at the deadline it would
/// not be cancelled, as it has an effect).
#[test]
fn fails_silent_run_whose_reply_may_be_lost_before_its_deadline() {
    let mut world = World::start(unresponsive_engine(false), Box::new(|_| Vec::new()));
    deliver_reply(&mut world, "write");
    world.run(RECONNECT);
    world.run(
        "rpc expect [1 1 [Failed *] nil]
         engine expect HALT 00000000000000a1",
    );
}

/// Guards against doubt about a reply that the engine has read: when a reload moves the link, the answer to
/// the gauge request that is written last proves it.
#[test]
fn reply_on_moved_engine_link_is_known_to_be_read() {
    let answers_last_gauges = |text: &str| match text {
        "STAT 0" => idle_gauges(text),
        _ if text.starts_with("STAT ") => vec!["NOTE 0 silent".into()],
        _ => Vec::new(),
    };
    let mut world = World::start(Box::new(answers_last_gauges), Box::new(|_| Vec::new()));
    deliver_reply(&mut world, "brief");
    world.run(
        "node send config=moved
         node send HUP
         engine expect closed
         engine2 expect ATTACH 1
         engine2 send HELLO hot 6000
         rpc send 2 look rid=a2|paper
         engine2 expect RUN 00000000000000a2 look|paper",
    );
}

/// An answer to a later gauge request acknowledges a reply, so the reply is not delivered again.
#[test]
fn does_not_redeliver_acknowledged_reply() {
    let mut world = World::start(unresponsive_engine(true), Box::new(|_| Vec::new()));
    deliver_reply(&mut world, "write");
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

/// Guards against a request that stays open for good: where the commands to start and to cancel its run were
/// both lost, the engine reports no end of a run that it never started.
#[test]
fn resends_start_before_cancellation_after_engine_reconnect() {
    let mut world = World::start(unresponsive_engine(false), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    world.run(
        "rpc send 1 look rid=a1|paper
         engine expect RUN 00000000000000a1 look|paper
         rpc send 1 abort
         engine expect HALT 00000000000000a1
         engine close
         engine expect closed
         engine expect ATTACH 0
         engine send HELLO hot 6000
         engine expect RUN 00000000000000a1 look|paper
         engine expect HALT 00000000000000a1
         engine send DONE 1 00000000000000a1 unknown 0|",
    );
}

/// Guards against a late copy of the reply to a run's first call that is taken for the reply to its second:
/// replies name the attempt alone, so its calls go over different connections, also when another attempt used
/// the first one in between.
#[test]
fn calls_of_one_attempt_use_different_connections() {
    let mut world = World::start(Box::new(idle_gauges), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    world.run(
        "rpc send 1 look rid=a1|paper
         rpc send 2 look rid=a2|paper
         engine expect RUN 00000000000000a1 look|paper
         engine expect RUN 00000000000000a2 look|paper
         engine send NEED 1 00000000000000a1|first
         store expect CALL 00000000000000a1 *|first
         store send 00000000000000a1 OK|one
         engine expect FEED 00000000000000a1|one
         engine send NEED 2 00000000000000a2|other
         store expect CALL 00000000000000a2 *|other
         store send 00000000000000a2 OK|two
         engine expect FEED 00000000000000a2|two
         engine send NEED 3 00000000000000a1|second
         store wait CALL 00000000000000a1 *|second",
    );
    let connections = counter(&mut world, "store_links");
    assert!(connections >= 2, "{connections} connection for two calls of one attempt");
}

/// A refused connection proves that the call never ran, so a write request does not fail and the call is
/// retried.
#[test]
fn retries_call_after_store_refused_connection() {
    let (store, address) = scenario::down();
    let mut world = World::start_with(Box::new(idle_gauges), (store, address), Options::default());
    world.run(ENGINE_UP);
    world.run(
        "rpc send 1 write rid=a1 token=k|paper
         engine expect RUN 00000000000000a1 write|paper
         engine send NEED 1 00000000000000a1|which",
    );
    let has_failed_call = |world: &mut World| {
        world.run("node send USR1");
        !world.wait("node", "counters *").contains(" calls_failed=0 ")
    };
    while !has_failed_call(&mut world) {}
    let listener = TcpListener::bind(address).expect("the port is still free");
    let mut call = String::new();
    let (stream, _) = listener.accept().expect("the program connects again");
    BufReader::new(stream).read_line(&mut call).expect("a line");
    assert!(call.starts_with("CALL 00000000000000a1 "), "{call}");
}

/// A run continues without a call that cannot be made. The SKIP command for that may be lost with the link.
/// It names the notice that it answers, so it can be sent again.
#[test]
fn resends_skip_after_engine_reconnect() {
    let down = scenario::down();
    let mut world = World::start_with(unresponsive_engine(false), down, Options::default());
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
