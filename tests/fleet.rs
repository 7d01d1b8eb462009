//! Membership of real processes under faults: what each comes to believe of the others. Each course is a script in the
//! language of the laboratory's cluster; it waits for events only, each with a deadline.

use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use pinepoint_lab::cluster::{Cluster, Options};
use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase};
use pinepoint_membership::wire::{Codec, Message, Packet, PacketBody, SenderState};

/// Courses that run at once: a process that gets no time on a core looks dead, and only scripts are to pause processes.
const MAX_CONCURRENT_COURSES: usize = 3;
static FREE_PERMITS: (Mutex<usize>, Condvar) = (Mutex::new(MAX_CONCURRENT_COURSES), Condvar::new());

/// A cluster of processes, which holds a permit to run.
struct Course {
    cluster: Cluster,
    _permit: Permit,
}

/// The permit for one of the concurrent courses; it is returned when dropped.
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

/// Processes in zones, with a period short enough for a test.
fn course(name: &str, members: usize, zones: usize) -> Course {
    course_with_settings(name, members, zones, "")
}

/// The same with further lines in the `[fleet]` section.
fn course_with_settings(name: &str, members: usize, zones: usize, fleet: &str) -> Course {
    let permit = Permit::acquire();
    let folder = std::env::temp_dir().join(format!("pinepoint-membership-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_pinepoint").into();
    let fleet = fleet.to_owned();
    let options =
        Options { program, folder, members, zones, period_ms: 150, seed: 5, fleet, ..Options::default() };
    Course { cluster: Cluster::prepare(options).expect("a cluster"), _permit: permit }
}

impl Course {
    fn all_start(&mut self) {
        self.run("all start\n all wait settled");
    }

    fn run(&mut self, script: &str) {
        if let Err(broken) = self.cluster.run(script) {
            panic!("{broken} (files in {})", self.cluster.folder().display());
        }
    }

    /// The view of the process of this number, from 1.
    fn view(&self, n: usize) -> serde_json::Value {
        self.cluster.view(n - 1).expect("it answers")
    }
}

impl Drop for Course {
    fn drop(&mut self) {
        // The files of a failed course are kept for inspection.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(self.cluster.folder());
        }
    }
}

#[test]
fn a_crash_a_restart_and_a_drain_come_to_be_held_by_all() {
    let mut course = course("crash", 5, 2);
    course.all_start();
    course.run(
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
fn one_that_was_stopped_comes_back_to_all_and_accuses_nobody() {
    let mut course = course("stop", 5, 2);
    course.all_start();
    course.run(
        "n2 stop
         n1 wait n2 lost
         n2 continue
         all wait settled",
    );
    let log = std::fs::read_to_string(course.cluster.folder().join("n2.log")).expect("its log");
    assert!(log.contains("reason=own-trouble"), "it did not see that it was stopped: {log}");
    assert!(log.contains("reason=refuted"), "it was not told that it was held lost: {log}");
    let after = log.split_once("reason=own-trouble").map_or("", |(_, after)| after);
    assert!(!after.contains("reason=lost"), "it accused others: {after}");
}

#[test]
fn halves_that_part_heal_and_a_zone_that_is_cut_off_is_judged() {
    let mut course = course("part", 6, 3);
    course.all_start();
    course.run(
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
fn loss_delay_doubles_and_a_one_way_cut_make_nobody_lost() {
    let mut course = course("loss", 5, 1);
    course.all_start();
    course.run(
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
fn all_killed_at_once_come_back_in_another_order_and_hold_the_same() {
    let mut course = course("all", 5, 2);
    course.all_start();
    course.run(
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
fn a_zone_that_is_killed_is_judged_gone_and_comes_back() {
    let mut course = course("zone", 6, 3);
    course.all_start();
    course.run(
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
fn garbage_is_not_answered_and_does_no_harm() {
    let mut course = course("garbage", 3, 1);
    course.all_start();
    let to = course.cluster.listen(0);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    for n in 0..400_usize {
        let bytes: Vec<u8> = (0..n * 7 % 2000).map(|at| (at * 31 + n * 17) as u8 ^ (n % 3) as u8).collect();
        let _ = socket.send_to(&bytes, to);
    }
    assert!(socket.recv(&mut [0; 2000]).is_err(), "what is not understood is not answered");
    course.run("all wait settled");
    let view = course.view(1);
    assert_eq!(view["members"].as_array().map(Vec::len), Some(3), "{view}");
}

#[test]
fn one_alone_settles_and_others_find_it_one_by_one() {
    let mut course = course("alone", 3, 1);
    course.run(
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
fn all_seeds_are_down_at_the_start_and_one_appears() {
    let mut course = course("seeds", 5, 2);
    // The seeds are the first three.
    course.run("n4,n5 start\n n4,n5 wait log started *");
    assert_eq!(course.view(4)["members"].as_array().map(Vec::len), Some(1), "there was nobody to ask");
    course.run("n2 start\n all wait settled\n n4 wait n5 serving");
}

#[test]
fn killed_and_back_within_a_period_with_a_cold_engine_is_another_life() {
    let mut course = course("cold", 4, 2);
    course.all_start();
    let start = |course: &Course| {
        let view = course.view(1);
        let members = view["members"].as_array().expect("members").clone();
        members.iter().find(|member| member["name"] == "n2").expect("n2")["start"].as_u64()
    };
    let before = start(&course);
    course.run(
        "n2 engine chilly 20000
         n2 kill
         n2 start
         n1,n3,n4 wait n2 cold
         all wait settled",
    );
    assert!(start(&course) > before, "the start grows over lives");
}

#[test]
fn a_third_that_is_slow_and_a_direction_that_loses_come_to_hold_the_same() {
    let mut course = course("slow", 6, 3);
    course.all_start();
    course.run(
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
fn thirds_and_one_alone_heal() {
    let mut course = course("thirds", 6, 3);
    course.all_start();
    course.run(
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
fn members_leave_crash_and_join_on_both_sides_of_a_partition() {
    let mut course = course("sides", 8, 2);
    course.run("n1,n2,n3,n4,n5,n6,n7 start\n all wait settled");
    course.run(
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
         # Its seeds are on the other side: it is found by those that lost it.
         n5 start
         n4 wait n5 serving
         net heal
         all wait settled",
    );
}

#[test]
fn a_zone_that_is_heard_and_does_not_hear_is_judged_cut_off() {
    let mut course = course("deaf", 6, 3);
    course.all_start();
    for from in ["n1", "n3", "n4", "n6"] {
        course.run(&format!("net cut {from} n2\n net cut {from} n5"));
    }
    course.run(
        "z1,z3 wait verdict zone-cut-off z2
         z1,z3 never verdict self-cut-off
         z2 wait verdict self-cut-off
         net heal
         all wait settled
         z1,z3 wait no verdict zone-cut-off",
    );
}

#[test]
fn with_the_list_service_down_half_is_replaced_in_steps_under_load() {
    let mut course = course("steps", 6, 3);
    course.run("list down");
    course.all_start();
    course.run(
        "routers send 60
         routers wait served 60",
    );
    for n in 1..=3 {
        course.run(&format!(
            "n{n} term
             n4,n5,n6 wait n{n} left
             n{n} start
             n4,n5,n6 wait n{n} serving
             routers wait served 20"
        ));
    }
    course.run(
        "routers send 0
         routers wait quiet
         all wait settled
         rules hold",
    );
    let all = course.cluster.routers.stats().all();
    assert_eq!(all.requests, all.served + all.rejected + all.failed + all.lost, "{all:?}");
}

#[test]
fn a_power_cut_under_load_with_cold_engines_leaves_one_fleet_and_no_rule_broken() {
    let mut course = course("power", 6, 3);
    course.all_start();
    course.run(
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
fn clocks_that_are_off_and_set_back_make_no_second_member_and_no_earlier_life() {
    let mut course = course("clocks", 5, 2);
    course.run("n2 clock 10000");
    course.all_start();
    course.run(
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
    assert_eq!(course.view(1)["members"].as_array().map(Vec::len), Some(5));
}

#[test]
fn two_of_one_name_both_say_so_and_the_fleet_goes_on() {
    let mut course = course("names", 4, 1);
    course.run(
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
fn more_members_than_may_be_known_are_not_taken_and_that_is_told() {
    let mut course = course_with_settings("bound", 6, 1, "members = 4");
    course.run(
        "all start
         n1 wait log fleet-disbelieved *reason=full*",
    );
    for n in 1..=6 {
        let known = course.view(n)["members"].as_array().map_or(0, Vec::len);
        assert!((1..=4).contains(&known), "n{n} holds {known}");
    }
}

#[test]
fn a_fleet_of_twelve_that_starts_in_one_instant_loses_a_zone_parts_and_heals() {
    let mut course = course("twelve", 12, 3);
    course.all_start();
    course.run(
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

/// A ping from a process of this name and generation.
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
fn other_versions_other_fleets_cut_and_forged_messages_do_bounded_harm_that_is_told() {
    let mut course = course("forged", 4, 1);
    course.all_start();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
    let now = course.view(1)["members"][0]["start"].as_u64().expect("a start");
    let (own, other) = (Codec::new("pinepoint"), Codec::new("another"));
    let sound = message("stranger", now, Liveness::Alive, &socket, Vec::new());
    let bytes = own.encode(&sound).expect("encoded");
    let mut version = bytes.clone();
    version[0] += 1;
    let foreign = other.encode(&sound).expect("encoded");
    let to = course.cluster.listen(0);
    for wrong in [&version[..], &foreign[..], &bytes[..bytes.len() - 3], &[]] {
        socket.send_to(wrong, to).expect("sent");
    }
    assert!(socket.recv(&mut [0; 2000]).is_err(), "none of these is answered");
    assert_eq!(course.view(1)["members"].as_array().map(Vec::len), Some(4), "none of these is a member");
    // Sound, and false: a start of another century is not believed, a loss is refuted, one that never answers is lost.
    let member = |n: usize| {
        let view = course.view(n);
        let own = view["members"].as_array().and_then(|all| all.iter().find(|m| m["name"] == view["self"]));
        own.cloned().expect("itself")
    };
    let n3 = member(3);
    let address = n3["address"].as_str().and_then(|text| text.parse().ok()).expect("an address");
    let of = |name: &str, generation, liveness, incarnation| {
        let zone = "z1".into();
        let identity = Identity { name: name.to_owned(), zone, address, cores: 2, instance: 9 };
        let phase = Phase::Serving;
        MemberRecord { identity: Rc::new(identity), generation, incarnation, phase, liveness, accuser: 1 }
    };
    let updates = vec![
        of("n2", u64::MAX, Liveness::Alive, 0),
        of("n3", n3["start"].as_u64().expect("a start") + 1, Liveness::Lost, 3),
    ];
    let forged = message("stranger", now, Liveness::Alive, &socket, updates);
    socket.send_to(&own.encode(&forged).expect("encoded"), to).expect("sent");
    course.run(
        "n1 wait log fleet-disbelieved *reason=forged-start*
         n3 wait log fleet-self *reason=start-raised*
         n1 wait log fleet-member name=stranger *reason=lost*
         n1,n2,n4 wait n3 serving
         all wait settled",
    );
}
