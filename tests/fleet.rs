//! Several processes of the program, and faults between them: what each comes to hold of the others.

use pinepoint_lab::rig::{Options, Rig};

struct Course(Rig);

/// Processes in zones, with a period short enough for a test.
fn course(name: &str, members: usize, zones: usize) -> Course {
    let folder = std::env::temp_dir().join(format!("pinepoint-fleet-{}-{name}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_pinepoint").into();
    let options = Options { program, folder, members, zones, period_ms: 150, seed: 5 };
    Course(Rig::prepare(options).expect("a rig"))
}

impl Course {
    fn all_start(&mut self, members: usize) {
        (1..=members).for_each(|n| self.run(&format!("n{n} start")));
        self.run("all wait settled");
    }

    fn run(&mut self, script: &str) {
        if let Err(broken) = self.0.run(script) {
            panic!("{broken}");
        }
    }
}

impl Drop for Course {
    fn drop(&mut self) {
        // What a failed course leaves is worth a look.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(self.0.folder());
        }
    }
}

#[test]
fn a_crash_a_restart_and_a_drain_come_to_be_held_by_all() {
    let mut course = course("crash", 5, 2);
    course.all_start(5);
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
    course.all_start(5);
    course.run(
        "n2 stop
         n1 wait n2 lost
         n2 continue
         all wait settled",
    );
    let log = std::fs::read_to_string(course.0.folder().join("n2.log")).expect("its log");
    assert!(log.contains("reason=own-trouble"), "it did not see that it was stopped: {log}");
    assert!(log.contains("reason=refuted"), "it was not told that it was held lost: {log}");
    let after = log.split_once("reason=own-trouble").map_or("", |(_, after)| after);
    assert!(!after.contains("reason=lost"), "it accused others: {after}");
}

#[test]
fn halves_that_part_heal_and_a_zone_that_is_cut_off_is_judged() {
    let mut course = course("part", 6, 3);
    course.all_start(6);
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
    course.all_start(5);
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
    course.all_start(5);
    course.run(
        "n1 kill
         n2 kill
         n3 kill
         n4 kill
         n5 kill
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
    course.all_start(6);
    course.run(
        "n2 kill
         n5 kill
         n1 wait verdict zone-unreachable z2
         n4 wait verdict zone-unreachable z2
         n1 wait n2 lost
         n1 never verdict self-cut-off
         n2 start
         n5 start
         all wait settled",
    );
}

#[test]
fn garbage_is_not_answered_and_does_no_harm() {
    let mut course = course("garbage", 3, 1);
    course.all_start(3);
    let to = course.0.listen(0);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(std::time::Duration::from_millis(300))).expect("set");
    for n in 0..400_usize {
        let bytes: Vec<u8> = (0..n * 7 % 2000).map(|at| (at * 31 + n * 17) as u8 ^ (n % 3) as u8).collect();
        let _ = socket.send_to(&bytes, to);
    }
    assert!(socket.recv(&mut [0; 2000]).is_err(), "what is not understood is not answered");
    course.run("all wait settled");
    let view = course.0.view(0).expect("it answers");
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
