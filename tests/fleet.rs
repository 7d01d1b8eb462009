//! Membership of real processes under faults: the state that each process assigns to the others. Each
//! scenario is a script for the test cluster in `pinepoint_lab::cluster`, and waits only for events, each
//! with a deadline.

use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use pinepoint_lab::cluster::{Cluster, Options};
use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase};
use pinepoint_membership::wire::{Codec, Message, Packet, PacketBody, SenderState};

/// Maximum number of scenarios that run at once. A process without CPU time looks dead to the others, and
/// only scripts are to pause processes.
const MAX_CONCURRENT_SCENARIOS: usize = 3;
static FREE_PERMITS: (Mutex<usize>, Condvar) = (Mutex::new(MAX_CONCURRENT_SCENARIOS), Condvar::new());

/// A cluster of processes, with the permit to run it.
struct Scenario {
    cluster: Cluster,
    _permit: Permit,
}

/// A permit to run one scenario, returned when dropped.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let mut free = FREE_PERMITS.0.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = FREE_PERMITS.1.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *FREE_PERMITS.0.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        FREE_PERMITS.1.notify_one();
    }
}

/// Prepares a cluster of processes in zones, with a protocol period short enough for a test.
fn scenario(name: &str, members: usize, zones: usize) -> Scenario {
    scenario_with_settings(name, members, zones, "")
}

/// Like [`scenario`], with further lines in the `[fleet]` section.
fn scenario_with_settings(name: &str, members: usize, zones: usize, fleet: &str) -> Scenario {
    let permit = Permit::acquire();
    let folder = std::env::temp_dir().join(format!("pinepoint-membership-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_pinepoint").into();
    let fleet = fleet.to_owned();
    let options =
        Options { program, folder, members, zones, period_ms: 150, seed: 5, fleet, ..Options::default() };
    Scenario { cluster: Cluster::prepare(options).expect("a cluster"), _permit: permit }
}

impl Scenario {
    fn start_all(&mut self) {
        self.run("all start\n all wait settled");
    }

    fn run(&mut self, script: &str) {
        if let Err(error) = self.cluster.run(script) {
            panic!("{error} (files in {})", self.cluster.folder().display());
        }
    }

    /// Membership view of process `n`, counted from 1.
    fn view(&self, n: usize) -> serde_json::Value {
        self.cluster.view(n - 1).expect("the process answers")
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        // The files of a failed scenario are kept for inspection.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(self.cluster.folder());
        }
    }
}

#[test]
fn all_members_learn_of_crash_restart_and_drain() {
    let mut scenario = scenario("crash", 5, 2);
    scenario.start_all();
    scenario.run(
        "n3 kill
         n1 wait n3 lost
         all wait settled
         n3 start
         all wait settled
         n2 kill
         n2 start
         all wait settled
         n4 term
         n1 wait n4 left
         n5 wait n4 left
         all wait settled",
    );
}

#[test]
fn paused_member_returns_without_accusing_others() {
    let mut scenario = scenario("stop", 5, 2);
    scenario.start_all();
    scenario.run(
        "n2 stop
         n1 wait n2 lost
         n2 continue
         all wait settled",
    );
    let log = std::fs::read_to_string(scenario.cluster.folder().join("n2.log")).expect("the log of n2");
    assert!(log.contains("reason=own-trouble"), "n2 did not detect its own pause: {log}");
    assert!(log.contains("reason=refuted"), "n2 did not refute being reported lost: {log}");
    let after = log.split_once("reason=own-trouble").map_or("", |(_, after)| after);
    assert!(!after.contains("reason=lost"), "n2 accused other members: {after}");
}

#[test]
fn partitioned_halves_and_zone_rejoin_after_healing() {
    let mut scenario = scenario("part", 6, 3);
    scenario.start_all();
    scenario.run(
        "net part zone z2
         n1 wait verdict zone-unreachable z2
         n1 wait n2 lost
         n2 wait n1 lost
         n2 wait verdict self-cut-off
         n1 never verdict self-cut-off
         net heal
         all wait settled
         net part n1 n2 n3
         n1 wait n4 lost
         n4 wait n1 lost
         n5 kill
         n4 wait n5 lost
         n5 start
         net heal
         all wait settled",
    );
}

#[test]
fn tolerates_loss_delay_duplicates_and_one_way_cut() {
    let mut scenario = scenario("loss", 5, 1);
    scenario.start_all();
    scenario.run(
        "net loss 0.1
         net twice 0.2
         net delay 20
         net cut n1 n2
         n3 kill
         n1 wait n3 lost
         n2 wait n3 lost
         n3 start
         net heal
         all wait settled",
    );
}

#[test]
fn fleet_settles_after_restart_in_other_order() {
    let mut scenario = scenario("all", 5, 2);
    scenario.start_all();
    scenario.run(
        "all kill
         n5 start
         n4 start
         n2 start
         n1 start
         n3 start
         all wait settled
         n3 wait verdict fleet-start",
    );
}

#[test]
fn killed_zone_is_reported_unreachable_until_it_returns() {
    let mut scenario = scenario("zone", 6, 3);
    scenario.start_all();
    scenario.run(
        "z2 kill
         z1,z3 wait verdict zone-unreachable z2
         n1 wait n2 lost
         z1,z3 never verdict self-cut-off
         z2 start
         all wait settled
         z1,z3 wait no verdict zone-unreachable",
    );
}

#[test]
fn ignores_garbage_datagrams() {
    let mut scenario = scenario("garbage", 3, 1);
    scenario.start_all();
    let to = scenario.cluster.listen(0);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    for n in 0..400_usize {
        let bytes: Vec<u8> = (0..n * 7 % 2000).map(|at| (at * 31 + n * 17) as u8 ^ (n % 3) as u8).collect();
        let _ = socket.send_to(&bytes, to);
    }
    assert!(socket.recv(&mut [0; 2000]).is_err(), "garbage must not be answered");
    scenario.run("all wait settled");
    let view = scenario.view(1);
    assert_eq!(view["members"].as_array().map(Vec::len), Some(3), "{view}");
}

#[test]
fn members_join_one_by_one() {
    let mut scenario = scenario("alone", 3, 1);
    scenario.run(
        "n1 start
         all wait settled
         n2 start
         all wait settled
         n3 start
         all wait settled
         n1 wait n2 serving
         n3 wait n1 serving",
    );
}

#[test]
fn members_join_once_a_seed_starts() {
    let mut scenario = scenario("seeds", 5, 2);
    // n1, n2 and n3 are the seeds.
    scenario.run("n4,n5 start\n n4,n5 wait log started *");
    assert_eq!(
        scenario.view(4)["members"].as_array().map(Vec::len),
        Some(1),
        "n4 must know only itself while all seeds are down"
    );
    scenario.run("n2 start\n all wait settled\n n4 wait n5 serving");
}

#[test]
fn quick_restart_with_cold_engine_gets_later_start() {
    let mut scenario = scenario("cold", 4, 2);
    scenario.start_all();
    let start = |scenario: &Scenario| {
        let view = scenario.view(1);
        let members = view["members"].as_array().expect("members").clone();
        members.iter().find(|member| member["name"] == "n2").expect("n2")["start"].as_u64()
    };
    let before = start(&scenario);
    scenario.run(
        "n2 engine chilly 20000
         n2 kill
         n2 start
         n1,n3,n4 wait n2 cold
         all wait settled",
    );
    assert!(start(&scenario) > before, "the start must be later after a restart");
}

#[test]
fn fleet_settles_after_slow_members_and_lossy_links() {
    let mut scenario = scenario("slow", 6, 3);
    scenario.start_all();
    scenario.run(
        "n2,n5 slow 0.4
         net deaf n4 0.3
         net loss 0.2
         n3 kill
         n1,n4,n6 wait n3 lost
         n2,n5 slow 1
         net heal
         n3 start
         all wait settled",
    );
}

#[test]
fn partitioned_thirds_and_single_member_rejoin_after_healing() {
    let mut scenario = scenario("thirds", 6, 3);
    scenario.start_all();
    scenario.run(
        "net part n1 n2
         net part n3 n4
         n1 wait n3 lost
         n1 wait n5 lost
         n3 wait n1 lost
         n3 wait n6 lost
         n6 wait n1 lost
         n6 wait n3 lost
         net heal
         all wait settled
         net part n6
         n6 wait verdict self-cut-off
         n1 wait n6 lost
         n1 never verdict self-cut-off
         net heal
         all wait settled",
    );
}

#[test]
fn both_sides_of_partition_track_leaves_crashes_and_joins() {
    let mut scenario = scenario("sides", 8, 2);
    scenario.run("n1,n2,n3,n4,n5,n6,n7 start\n all wait settled");
    scenario.run(
        "net part n1 n2 n3 n8
         n1 wait n4 lost
         n4 wait n1 lost
         n2 term
         n1 wait n2 left
         n5 kill
         n4 wait n5 lost
         n3 kill
         n1 wait n3 lost
         n3 start
         n1 wait n3 serving
         n8 start
         n1 wait n8 serving
         # The seeds of n5 are on the other side. Members that lost n5 find it again.
         n5 start
         n4 wait n5 serving
         net heal
         all wait settled",
    );
}

#[test]
fn zone_that_receives_nothing_is_reported_cut_off() {
    let mut scenario = scenario("deaf", 6, 3);
    scenario.start_all();
    for from in ["n1", "n3", "n4", "n6"] {
        scenario.run(&format!("net cut {from} n2\n net cut {from} n5"));
    }
    scenario.run(
        "z1,z3 wait verdict zone-cut-off z2
         z1,z3 never verdict self-cut-off
         z2 wait verdict self-cut-off
         net heal
         all wait settled
         z1,z3 wait no verdict zone-cut-off",
    );
}

#[test]
fn rolling_restart_under_load_without_service_registry() {
    let mut scenario = scenario("steps", 6, 3);
    scenario.run("list down");
    scenario.start_all();
    scenario.run(
        "routers send 60
         routers wait served 60",
    );
    for n in 1..=3 {
        scenario.run(&format!(
            "n{n} term
             n4,n5,n6 wait n{n} left
             n{n} start
             n4,n5,n6 wait n{n} serving
             routers wait served 20"
        ));
    }
    scenario.run(
        "routers send 0
         routers wait quiet
         all wait settled
         rules hold",
    );
    let all = scenario.cluster.routers.stats().all();
    assert_eq!(all.requests, all.served + all.rejected + all.failed + all.lost, "{all:?}");
}

#[test]
fn power_cut_under_load_with_cold_engines_violates_no_rule() {
    let mut scenario = scenario("power", 6, 3);
    scenario.start_all();
    scenario.run(
        "routers send 60
         routers wait served 60
         all engine chilly 2000
         all kill
         n6,n2 start
         n4,n1 start
         n5,n3 start
         all wait settled
         all wait verdict fleet-start
         routers wait served 60
         routers send 0
         routers wait quiet
         rules hold",
    );
}

#[test]
fn clock_changes_neither_duplicate_members_nor_lower_starts() {
    let mut scenario = scenario("clocks", 5, 2);
    scenario.run("n2 clock 10000");
    scenario.start_all();
    scenario.run(
        "n2 kill
         n2 clock -3600000
         n2 start
         n2 wait log fleet-self *reason=start-raised*
         all wait settled
         n1 wait n2 serving
         n3 clock 10000
         n3 wait log fleet-self *reason=own-trouble*
         all wait settled
         n3 clock -10000
         all wait settled",
    );
    assert_eq!(scenario.view(1)["members"].as_array().map(Vec::len), Some(5));
}

#[test]
fn name_clash_is_reported_by_both_and_resolved() {
    let mut scenario = scenario("names", 4, 1);
    scenario.run(
        "n1,n2,n3 start
         all wait settled
         n4 named n1
         n4 start
         n1,n4 wait verdict name-clash
         n4 kill
         n1 wait log fleet-self *reason=start-raised*
         all wait settled",
    );
}

#[test]
fn rejects_and_logs_members_above_limit() {
    let mut scenario = scenario_with_settings("bound", 6, 1, "members = 4");
    scenario.run(
        "all start
         n1 wait log fleet-disbelieved *reason=full*",
    );
    for n in 1..=6 {
        let known = scenario.view(n)["members"].as_array().map_or(0, Vec::len);
        assert!((1..=4).contains(&known), "n{n} knows {known} members instead of 1 to 4");
    }
}

#[test]
fn twelve_members_settle_after_zone_loss_and_partition() {
    let mut scenario = scenario("twelve", 12, 3);
    scenario.start_all();
    scenario.run(
        "z3 kill
         z1,z2 wait verdict zone-unreachable z3
         n1 wait n12 lost
         net part zone z1
         n1 wait n2 lost
         n2 wait n1 lost
         z3 start
         net heal
         all wait settled",
    );
}

/// A ping from a process with this name and generation.
fn message(
    name: &str,
    generation: u64,
    liveness: Liveness,
    from: &UdpSocket,
    updates: Vec<MemberRecord>,
) -> Message {
    let address = from.local_addr().expect("bound");
    let identity = Identity { name: name.to_owned(), zone: "z1".into(), address, cores: 2, instance: 77 };
    let phase = Phase::Serving;
    let record =
        MemberRecord { identity: Rc::new(identity), generation, incarnation: 0, phase, liveness, accuser: 0 };
    let sender =
        SenderState { record, load: Load::default(), digest: 0, known_members: 9, now_ms: generation as f64 };
    Message::Peer(Packet { sender, body: PacketBody::Ping { sequence: 7 }, updates })
}

#[test]
fn rejects_foreign_malformed_and_forged_messages() {
    let mut scenario = scenario("forged", 4, 1);
    scenario.start_all();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let now = scenario.view(1)["members"][0]["start"].as_u64().expect("a start");
    let (own, other) = (Codec::new("pinepoint"), Codec::new("another"));
    let valid = message("stranger", now, Liveness::Alive, &socket, Vec::new());
    let bytes = own.encode(&valid).expect("encoded");
    let mut version = bytes.clone();
    version[0] += 1;
    let foreign = other.encode(&valid).expect("encoded");
    let to = scenario.cluster.listen(0);
    for invalid in [&version[..], &foreign[..], &bytes[..bytes.len() - 3], &[]] {
        socket.send_to(invalid, to).expect("sent");
    }
    assert!(socket.recv(&mut [0; 2000]).is_err(), "invalid messages must not be answered");
    assert_eq!(
        scenario.view(1)["members"].as_array().map(Vec::len),
        Some(4),
        "invalid messages must not add members"
    );
    // Well-formed forgeries: a start in another century is rejected, a reported loss is refuted, and a member
    // that never answers becomes lost.
    let member = |n: usize| {
        let view = scenario.view(n);
        let own = view["members"].as_array().and_then(|all| all.iter().find(|m| m["name"] == view["self"]));
        own.cloned().expect("a record of the member itself")
    };
    let n3 = member(3);
    let address = n3["address"].as_str().and_then(|text| text.parse().ok()).expect("an address");
    let member_record = |name: &str, generation, liveness, incarnation| {
        let zone = "z1".into();
        let identity = Identity { name: name.to_owned(), zone, address, cores: 2, instance: 9 };
        let phase = Phase::Serving;
        MemberRecord { identity: Rc::new(identity), generation, incarnation, phase, liveness, accuser: 1 }
    };
    let updates = vec![
        member_record("n2", u64::MAX, Liveness::Alive, 0),
        member_record("n3", n3["start"].as_u64().expect("a start") + 1, Liveness::Lost, 3),
    ];
    let forged = message("stranger", now, Liveness::Alive, &socket, updates);
    socket.send_to(&own.encode(&forged).expect("encoded"), to).expect("sent");
    scenario.run(
        "n1 wait log fleet-disbelieved *reason=forged-start*
         n3 wait log fleet-self *reason=start-raised*
         n1 wait log fleet-member name=stranger *reason=lost*
         n1,n2,n4 wait n3 serving
         all wait settled",
    );
}
