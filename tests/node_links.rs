//! One program whose links to its upstream services (engine, store and service registry) break or stay
//! silent. The scenarios are in the language of `scenario/mod.rs`.

mod scenario;

use std::io::{BufRead, BufReader};
use std::net::TcpListener;

use scenario::{ENGINE_UP, Options, World, idle_gauges};

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
    let reports = |world: &mut World| -> u32 {
        world.run("node send USR1");
        let counters = world.wait("node", "counters *");
        let (_, rest) = counters.split_once(" reports=").expect("counted");
        rest.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
    };
    let before = reports(&mut world);
    // The deadline of the class fails this request after 1.5 s.
    world.run(
        "rpc send 1 brief rid=a1|paper
         rpc expect [1 1 [Failed *] nil]",
    );
    let during = reports(&mut world) - before;
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

/// The steps until a run has received the reply to its call.
const REPLY_DELIVERED: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP
rpc send 1 write rid=a1 token=k|paper
engine expect RUN 00000000000000a1 write|paper
engine send NEED 1 00000000000000a1|which
store expect CALL 00000000000000a1 *|which
store send 00000000000000a1 OK|that
engine expect FEED 00000000000000a1|that";

/// A command that was written just before the link broke may be lost. Without a retry the run would wait
/// until its deadline.
#[test]
fn redelivers_unacknowledged_reply_after_engine_reconnect() {
    let mut world = World::start(unresponsive_engine(false), Box::new(|_| Vec::new()));
    world.run(REPLY_DELIVERED);
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

/// An answer to a later gauge request acknowledges a reply, so the reply is not delivered again.
#[test]
fn does_not_redeliver_acknowledged_reply() {
    let mut world = World::start(unresponsive_engine(true), Box::new(|_| Vec::new()));
    world.run(REPLY_DELIVERED);
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
