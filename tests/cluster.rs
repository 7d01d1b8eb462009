//! The test cluster itself, with processes of the program: its counts add up, and violations of its rules are
//! detected.

use pinepoint_lab::cluster::{Cluster, Options};

fn cluster(name: &str) -> Cluster {
    let folder = std::env::temp_dir().join(format!("pinepoint-cluster-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_pinepoint").into();
    let options =
        Options { program, folder, members: 3, zones: 1, period_ms: 200, seed: 9, ..Options::default() };
    Cluster::prepare(options).expect("a cluster")
}

#[test]
fn store_crash_under_overload_violates_rules() {
    let mut cluster = cluster("store");
    let result = cluster.run(
        "store slots 1
         store call 1500
         store away 1000
         all start
         all wait settled
         rules hold
         routers send 150",
    );
    result.expect("the cluster settles under load");
    let until = std::time::Instant::now() + std::time::Duration::from_secs(40);
    while cluster.store.state().crashes == 0 {
        assert!(std::time::Instant::now() < until, "the store did not crash: {:?}", cluster.store.state());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(cluster.store.state().peak_in_flight > 5);
    let violation = cluster.run("rules hold").expect_err("a crash of the store violates a rule").to_string();
    assert!(violation.contains("the store crashed"), "{violation}");
    cluster
        .run("store slots 64\n store call 5\n routers wait served 100\n routers send 0\n routers wait quiet")
        .expect("the store recovers and requests are served again");
}

#[test]
fn unexpected_exit_and_duplicate_run_violate_rules() {
    let mut cluster = cluster("ends");
    cluster
        .run("all start\n all wait settled\n routers send 60\n routers wait served 30\n routers send 0")
        .expect("requests are served");
    cluster.run("routers wait quiet\n rules hold").expect("no rule is violated yet");
    // SIGTERM sent without the cluster's knowledge counts as an unexpected exit.
    let pid = cluster.pid_of("n2").expect("n2 is running").to_string();
    assert!(std::process::Command::new("kill").arg(&pid).status().is_ok_and(|status| status.success()));
    let until = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while cluster.violations().is_empty() {
        assert!(std::time::Instant::now() < until, "the exit of n2 is not detected");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(cluster.violations()[0].contains("n2 exited unexpectedly"), "{:?}", cluster.violations());
    // Records two runs of one key at an engine.
    cluster.engine("n1").expect("n1 has an engine").state().started.insert("5.0 0 n1 keyed".into(), 2);
    assert!(
        cluster.violations().iter().any(|text| text.contains("was run 2 times")),
        "{:?}",
        cluster.violations()
    );
}
