//! The test cluster itself, with processes of the program: its counts add up, and each of its rules can be violated.

use pinepoint_lab::cluster::{Cluster, Options};

fn cluster(name: &str) -> Cluster {
    let folder = std::env::temp_dir().join(format!("pinepoint-cluster-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_pinepoint").into();
    let options =
        Options { program, folder, members: 3, zones: 1, period_ms: 200, seed: 9, ..Options::default() };
    Cluster::prepare(options).expect("a cluster")
}

#[test]
fn a_store_that_is_crowded_too_long_falls_comes_back_and_breaks_the_rules() {
    let mut cluster = cluster("store");
    let played = cluster.run(
        "store slots 1
         store call 1500
         store away 1000
         all start
         all wait settled
         rules hold
         routers send 150",
    );
    played.expect("it goes as it says");
    let until = std::time::Instant::now() + std::time::Duration::from_secs(40);
    while cluster.store.state().crashes == 0 {
        assert!(std::time::Instant::now() < until, "it never fell: {:?}", cluster.store.state());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(cluster.store.state().peak_in_flight > 5);
    let broken = cluster.run("rules hold").expect_err("a fall is a broken rule").to_string();
    assert!(broken.contains("the store crashed"), "{broken}");
    cluster
        .run("store slots 64\n store call 5\n routers wait served 100\n routers send 0\n routers wait quiet")
        .expect("it is back, and so is service");
}

#[test]
fn a_process_that_ends_by_itself_and_a_key_that_runs_twice_break_the_rules() {
    let mut cluster = cluster("ends");
    cluster
        .run("all start\n all wait settled\n routers send 60\n routers wait served 30\n routers send 0")
        .expect("so far");
    cluster.run("routers wait quiet\n rules hold").expect("nothing is wrong yet");
    // One that is told to leave behind the back of the cluster ends as if by itself.
    let pid = cluster.pid_of("n2").expect("it runs").to_string();
    assert!(std::process::Command::new("kill").arg(&pid).status().is_ok_and(|status| status.success()));
    let until = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while cluster.violations().is_empty() {
        assert!(std::time::Instant::now() < until, "its end is not seen");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(cluster.violations()[0].contains("n2 exited unexpectedly"), "{:?}", cluster.violations());
    // And a key that an engine counted twice.
    cluster.engine("n1").expect("it is there").state().started.insert("5.0 0 n1 keyed".into(), 2);
    assert!(
        cluster.violations().iter().any(|rule| rule.contains("was run 2 times")),
        "{:?}",
        cluster.violations()
    );
}
