//! Reloads of the program among stub services: a rejected file changes nothing, and an accepted file applies
//! to the requests that arrive after it.

mod scenario;

use scenario::{ENGINE_UP, World};

fn world() -> World {
    let mut world = World::start(Box::new(scenario::idle_gauges), Box::new(|_| Vec::new()));
    world.run(ENGINE_UP);
    world
}

/// A request that is served.
const SERVE_ONE: &str = "
rpc send 1 look rid=a1|paper
engine wait RUN 00000000000000a1 look|paper
engine send DONE 1 00000000000000a1 complete 12|report
rpc expect [1 1 nil [report *";

#[test]
fn empty_file_changes_nothing_and_counts_as_failed_reload() {
    let mut world = world();
    world.write_config("");
    world.run(
        "node send HUP\nnode wait reload-failed *c.json:1:0: EOF*".replace("c.json", "config.json").as_str(),
    );
    world.run(SERVE_ONE);
    world.run("node send USR1\nnode wait counters * reloads=0 reloads_failed=1*");
}

#[test]
fn invalid_file_does_not_change_engine_address() {
    let mut world = world();
    let invalid = world.config("moved").replacen("\"deadlineMs\":9000", "\"deadlineMs\":-5", 1);
    world.write_config(&invalid);
    world.run("node send HUP\nnode wait reload-failed *services[0].deadlineMs*");
    world.run(SERVE_ONE);
    world.run(
        "node send USR1
        node wait counters * reloads=0 reloads_failed=1*
        engine2 never *",
    );
}

#[test]
fn adds_and_drops_classes_while_requests_are_open() {
    let mut world = world();
    let brief = r#" {"name":"brief","effect":"read_like","promiseMs":900,"deadlineMs":1500,"worth":1},"#;
    let new = r#",{"name":"write_new","effect":"idempotency_key","keyTtlMs":20000,"promiseMs":3000,"deadlineMs":9000,"worth":3}],"#;
    let first = world.config("first").to_owned();
    assert!(first.contains(brief) && first.contains("\"worth\":3}],"), "{first}");
    let changed = first
        .replace(brief, "")
        .replace("\"worth\":3}],", &format!("\"worth\":3}}{new}"))
        .replace("[true,false,true]", "[true,true,true]");
    world.run(
        "rpc send 1 write rid=a1 token=k|paper
        engine wait RUN 00000000000000a1 write|paper
        rpc send 2 write_new rid=a2 token=k|paper
        rpc expect [1 2 [NoMethod *",
    );
    world.write_config(&changed);
    world.run(
        "node send HUP
        node wait reloaded *
        rpc send 3 write_new rid=a3 token=m|paper
        engine wait RUN 00000000000000a3 write_new|paper
        rpc send 4 brief rid=a4|paper
        engine wait RUN 00000000000000a4 brief|paper
        engine send DONE 1 00000000000000a4 complete 12|short
        rpc expect [1 4 nil [short *
        ajp send /write_new secret=s3 token=j|paper
        engine expect RUN $b write_new|paper
        # A duplicate of a request that was open during the reload does not run again, whichever class it names.
        rpc2 send 1 write rid=a5 token=k again=1|paper
        rpc2 send 2 write_new rid=a7 token=k again=1|paper
        engine send DONE 2 00000000000000a1 complete 12|receipt
        rpc expect [1 1 nil [receipt *
        rpc2 wait [1 1 nil [receipt *
        rpc2 wait [1 2 nil [receipt *
        engine send DONE 3 00000000000000a3 complete 12|other
        rpc expect [1 3 nil [other *
        node send clock=3500
        rpc send 5 brief rid=a6 t0=3500|paper
        rpc expect [1 5 [NoMethod *
        node send USR1
        node wait counters * reloads=1 reloads_failed=0*",
    );
}
