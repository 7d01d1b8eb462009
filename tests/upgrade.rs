//! Upgrades: a new process takes over from the one that serves, under load and under failures of either, and no request
//! is lost, closed on or run twice. Each test runs the program as processes of one name on one address.

mod operation;

use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::Barrier;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use operation::*;
use rstest::rstest;

/// Time for load between two steps.
const SETTLE: Duration = Duration::from_millis(300);
/// A message that has begun is waited for so long by a process that leaves.
const REST_OF_MESSAGE: Duration = Duration::from_millis(30);

/// A second process beside the one that serves; returns when it has taken over.
fn take_over(deployment: &Deployment) -> Process {
    start_ready(deployment, quick_engine())
}

/// The request again, as its client repeats it from now.
fn repeat(request: &Request) -> Request {
    Request::keyed(&request.body)
}

// ---- the plain case ----

#[test]
fn under_steady_load_every_request_is_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    await_health(&connect(&deployment), true, PATIENCE);
    let since = Instant::now();
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let new = take_over(&deployment);
    std::thread::sleep(SETTLE);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
    never_out(&deployment, since);
    no_double_runs(&[&old.engine, &new.engine]);
    assert!(!new.engine.runs().is_empty(), "the new process served nothing");
}

/// Each round comes on a connection of its own, also while the listening socket passes from one process to the other.
#[test]
fn connections_made_all_the_time_are_all_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let load = Load::start(Plan {
        address: deployment.listen,
        clients: 8,
        depth: 1,
        pause: Duration::from_millis(2),
        reconnect: true,
    });
    std::thread::sleep(SETTLE);
    let new = take_over(&deployment);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
    no_double_runs(&[&old.engine, &new.engine]);
}

/// The old process stands still while the other takes over: what waits in the backlog meanwhile is served.
#[test]
fn connections_in_the_backlog_are_served() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    tell(&old, Signal::STOP);
    let waiting: Vec<(Client, u64)> = (0..16)
        .map(|n| {
            let client = connect(&deployment);
            let id = client.send(&Request::read(&format!("waiting-{n}"))).expect("sent");
            (client, id)
        })
        .collect();
    new.engine.set_up(true);
    std::thread::sleep(Duration::from_millis(50));
    tell(&old, Signal::CONT);
    ready(&new);
    leave(&deployment, &mut old);
    for (client, id) in &waiting {
        assert!(matches!(client.wait(*id), Reply::Served(_)));
    }
}

#[test]
fn the_old_process_stays_healthy_until_its_end() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let (client, since) = (connect(&deployment), Instant::now());
    let id = client.send(&Request::read("paper")).expect("sent");
    eventually("the run", || old.engine.runs_of("paper") == 1);
    let _new = take_over(&deployment);
    assert_eq!(client.ping(), Reply::Health(true), "before the notice");
    tell(&old, Signal::TERM);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.ping(), Reply::Health(true), "after the notice");
    old.engine.finish("paper");
    assert!(matches!(client.wait(id), Reply::Served(_)));
    ends(&deployment, &mut old);
    std::thread::sleep(QUIET);
    never_out(&deployment, since);
}

#[test]
fn each_process_counts_from_zero() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    for n in 0..5 {
        served(&client, &Request::read(&format!("old-{n}")));
    }
    assert_eq!(sum_of_classes(&old, "success"), 5);
    let new = take_over(&deployment);
    assert_eq!(sum_of_classes(&new, "success"), 0);
    served(&connect(&deployment), &Request::read("new"));
    assert_eq!(sum_of_classes(&new, "success"), 1);
    assert_eq!(sum_of_classes(&old, "success"), 5);
}

#[test]
fn two_upgrades_in_a_row() {
    let deployment = deployment();
    let mut first = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let key = Request::keyed("known to the first");
    let result = served(&connect(&deployment), &key);
    let load = light_load(&deployment);
    let mut second = take_over(&deployment);
    leave(&deployment, &mut first);
    let third = take_over(&deployment);
    leave(&deployment, &mut second);
    assert_eq!(served(&connect(&deployment), &repeat(&key)), result);
    std::thread::sleep(SETTLE);
    all_served(load);
    never_out(&deployment, since);
    no_double_runs(&[&first.engine, &second.engine, &third.engine]);
}

// ---- connections of the old process ----

#[test]
fn a_resting_connection_is_told_to_go() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let resting = connect(&deployment);
    served(&resting, &Request::read("before"));
    let _new = take_over(&deployment);
    // Until the old process is told to leave, its connections are served as ever.
    served(&resting, &Request::read("between"));
    tell(&old, Signal::TERM);
    assert!(resting.wait_for_notice(deployment.stop()), "no goaway");
    ends(&deployment, &mut old);
    assert_eq!(resting.wait_for_ending(PATIENCE), Some(Ending::Closed));
}

#[test]
fn the_rest_of_a_request_may_cross_the_notice_to_leave() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    served(&client, &Request::read("before"));
    let new = take_over(&deployment);
    let (id, bytes) = client.encode(&Request::keyed("in two parts")).expect("encoded");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.write(first).expect("written");
    std::thread::sleep(SETTLE);
    tell(&old, Signal::TERM);
    std::thread::sleep(REST_OF_MESSAGE);
    let written = client.write(rest);
    let reply = written.map_or(Reply::Lost, |()| client.wait(id));
    // A client that was told to go repeats elsewhere what was not answered.
    let told = client.is_told_to_go() && reply == Reply::Lost;
    assert!(matches!(reply, Reply::Served(_)) || told, "{reply:?}, goaway {}", client.is_told_to_go());
    ends(&deployment, &mut old);
    served(&connect(&deployment), &Request::keyed("in two parts"));
    assert_eq!(runs_of("in two parts", &[&old.engine, &new.engine]), 1);
}

#[test]
fn what_is_under_way_at_the_notice_is_answered() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let client = connect(&deployment);
    let id = client.send(&Request::read("paper")).expect("sent");
    eventually("the run", || old.engine.runs_of("paper") == 1);
    let _new = take_over(&deployment);
    tell(&old, Signal::TERM);
    std::thread::sleep(Duration::from_millis(500));
    old.engine.finish("paper");
    assert!(matches!(client.wait(id), Reply::Served(_)));
    ends(&deployment, &mut old);
}

// ---- keys ----

#[rstest]
#[case::while_the_old_process_is_there(false)]
#[case::after_its_end(true)]
fn a_repeat_at_the_new_process_gets_the_result_of_the_old(#[case] after_its_end: bool) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    let result = served(&connect(&deployment), &key);
    let new = take_over(&deployment);
    if after_its_end {
        leave(&deployment, &mut old);
    }
    assert_eq!(served(&connect(&deployment), &repeat(&key)), result);
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    // What neither of them knows is run.
    served(&connect(&deployment), &Request::keyed("fresh"));
}

#[rstest]
#[case::before_the_notice(false)]
#[case::after_the_notice(true)]
fn a_repeat_waits_for_the_run_that_is_under_way_at_the_old_process(#[case] after_the_notice: bool) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let (first, key) = (connect(&deployment), Request::keyed("key"));
    let first_id = first.send(&key).expect("sent");
    eventually("the run", || old.engine.runs_of("key") == 1);
    let new = take_over(&deployment);
    if after_the_notice {
        tell(&old, Signal::TERM);
    }
    let second = connect(&deployment);
    let second_id = second.send(&repeat(&key)).expect("sent");
    std::thread::sleep(SETTLE);
    assert_eq!(new.engine.runs_of("key"), 0, "run a second time");
    assert_eq!(old.engine.finish("key"), 1);
    let result = first.wait(first_id);
    assert!(matches!(result, Reply::Served(_)), "{result:?}");
    assert_eq!(second.wait(second_id), result);
    if !after_the_notice {
        tell(&old, Signal::TERM);
    }
    ends(&deployment, &mut old);
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
}

/// The old process is not told to leave yet, and its connections are still there.
#[test]
fn a_repeat_at_the_old_process_of_what_ran_at_the_new_is_not_run() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let resting = connect(&deployment);
    served(&resting, &Request::read("before"));
    let new = take_over(&deployment);
    let key = Request::keyed("key");
    served(&connect(&deployment), &key);
    let reply = resting.call(&repeat(&key));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    served(&resting, &Request::read("after"));
}

/// Whichever process has a key first, and however close the other try, there is one effect at most, and one result.
#[test]
fn tries_at_both_processes_in_one_instant_run_once() {
    const KEYS: usize = 50;
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let at_old = connect(&deployment);
    served(&at_old, &Request::read("before"));
    let new = take_over(&deployment);
    let at_new = connect(&deployment);
    let together = Barrier::new(2);
    let send_all = |client: &Client| -> Vec<Reply> {
        let try_key = |n| {
            together.wait();
            client.call(&Request::keyed(&format!("key-{n}")))
        };
        (0..KEYS).map(try_key).collect()
    };
    let (of_old, of_new) = std::thread::scope(|scope| {
        let other = scope.spawn(|| send_all(&at_old));
        let of_new = send_all(&at_new);
        (other.join().expect("no panic"), of_new)
    });
    no_double_runs(&[&old.engine, &new.engine]);
    for (n, replies) in of_old.iter().zip(&of_new).enumerate() {
        let (one, other) = replies;
        assert!(
            ![one, other].iter().any(|reply| matches!(reply, Reply::Lost | Reply::Late)),
            "{n}: {replies:?}"
        );
        if let (Some(one), Some(other)) = (one.result(), other.result()) {
            assert_eq!(one, other, "key {n}");
        }
        // What ran is told as refused to nobody.
        let ran = runs_of(&format!("key-{n}"), &[&old.engine, &new.engine]) == 1;
        assert!(!ran || ![one, other].contains(&&Reply::Busy), "{n}: {replies:?}");
    }
}

// ---- the death of either process ----

#[test]
fn the_old_process_dies_before_the_new_one_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    served(&connect(&deployment), &key);
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    old.kill().expect("killed");
    new.engine.set_up(true);
    ready(&new);
    let client = connect(&deployment);
    served(&client, &Request::read("paper"));
    let reply = client.call(&repeat(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
}

#[test]
fn the_old_process_dies_after_the_take_over() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    served(&connect(&deployment), &key);
    let new = take_over(&deployment);
    let client = connect(&deployment);
    served(&client, &Request::read("before"));
    old.kill().expect("killed");
    served(&client, &Request::read("after"));
    served(&connect(&deployment), &Request::read("on a new connection"));
    let reply = client.call(&repeat(&key));
    assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

#[test]
fn the_new_process_dies_before_it_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let load = light_load(&deployment);
    let mut new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    new.kill().expect("killed");
    std::thread::sleep(SETTLE);
    all_served(load);
    never_out(&deployment, since);
    // The next attempt goes as if that one had not been.
    let next = take_over(&deployment);
    leave(&deployment, &mut old);
    served(&connect(&deployment), &Request::keyed("at the next"));
    no_double_runs(&[&old.engine, &next.engine]);
}

#[test]
fn the_new_process_dies_after_the_take_over() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let known = Request::keyed("known to the old process");
    let result = served(&connect(&deployment), &known);
    let mut new = take_over(&deployment);
    let at_new = Request::keyed("known to the new process");
    served(&connect(&deployment), &at_new);
    new.kill().expect("killed");
    let client = connect(&deployment);
    served(&client, &Request::read("paper"));
    assert_eq!(served(&client, &repeat(&known)), result);
    let reply = client.call(&repeat(&at_new));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of(&at_new.body, &[&old.engine, &new.engine]), 1);
    assert_eq!(client.ping(), Reply::Health(true));
}

/// After the window nothing that the dead process may have run can be repeated: keys are served again.
#[test]
fn keys_are_served_again_after_the_window_of_the_dead_process() {
    let window = Duration::from_secs(3);
    let deployment = deployment_of(Setup { key_window: window, ..setup() });
    let _old = start_ready(&deployment, quick_engine());
    let mut new = take_over(&deployment);
    new.kill().expect("killed");
    let client = connect(&deployment);
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    let mut number = 0;
    eventually_within(window + PATIENCE, "served", || {
        number += 1;
        let reply = client.call(&Request::keyed(&format!("key-{number}")));
        assert!(matches!(reply, Reply::Failed(_) | Reply::Served(_)), "{reply:?}");
        std::thread::sleep(Duration::from_millis(50));
        reply.result().is_some()
    });
}

#[test]
fn the_old_process_is_told_to_leave_before_the_new_one_is_ready() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    let told = Instant::now();
    tell(&old, Signal::TERM);
    // Somebody accepts all the time.
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let connecting = scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                deployment.connect().expect("somebody accepts");
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        std::thread::sleep(Duration::from_millis(200));
        new.engine.set_up(true);
        let ready = new.await_ready(READY_LIMIT);
        over.store(true, Ordering::Relaxed);
        connecting.join().expect("every connection was accepted");
        ready.expect("the new process serves in time");
    });
    let status = old.wait_exit(deployment.stop().saturating_sub(told.elapsed())).expect("a process of ours");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let client = connect(&deployment);
    served(&client, &Request::read("paper"));
    await_health(&client, true, PATIENCE);
}

// ---- drains ----

#[test]
fn a_drain_of_the_old_process_goes_on_at_the_new() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    command_ok(&old, "LAMEDUCK");
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    let since = await_report(&deployment, false);
    let new = take_over(&deployment);
    let at_new = connect(&deployment);
    assert_eq!(at_new.ping(), Reply::Health(false));
    served(&at_new, &Request::read("paper"));
    leave(&deployment, &mut old);
    std::thread::sleep(QUIET);
    assert_eq!(at_new.ping(), Reply::Health(false));
    assert!(!deployment.list.heard_since(since, true), "reported UP in a drain");
    command_ok(&new, "REJOIN");
    await_health(&at_new, true, Duration::from_secs(2));
}

#[test]
fn a_drain_asked_of_the_new_process_before_it_is_ready_holds_after_it() {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let new = start(&deployment, engine_down());
    eventually("an answer", || new.ask("INFO").is_ok());
    command_ok(&new, "LAMEDUCK");
    new.engine.set_up(true);
    ready(&new);
    let client = connect(&deployment);
    assert_eq!(client.ping(), Reply::Health(false));
    leave(&deployment, &mut old);
    let since = await_report(&deployment, false);
    std::thread::sleep(QUIET);
    assert!(!deployment.list.heard_since(since, true), "reported UP in a drain");
    assert_eq!(client.ping(), Reply::Health(false));
    served(&client, &Request::read("paper"));
}

// ---- surroundings ----

#[test]
fn the_list_service_may_be_down() {
    let deployment = deployment_of(Setup { members: free_address().ok(), ..setup() });
    let mut old = start_ready(&deployment, quick_engine());
    let load = light_load(&deployment);
    let _new = take_over(&deployment);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
}

#[rstest]
#[case::before_the_new_process_is_ready(true)]
#[case::after_it(false)]
fn the_old_process_may_be_reloaded_meanwhile(#[case] before_ready: bool) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let since = Instant::now();
    let load = light_load(&deployment);
    let new = start(&deployment, engine_down());
    std::thread::sleep(SETTLE);
    if before_ready {
        tell(&old, Signal::HUP);
    }
    new.engine.set_up(true);
    ready(&new);
    if !before_ready {
        tell(&old, Signal::HUP);
    }
    eventually("the reload", || figure(&old, "relay.reconfig_ok") == 1);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
    never_out(&deployment, since);
    no_double_runs(&[&old.engine, &new.engine]);
}

/// Neither process has room for all connections alone.
#[test]
fn both_processes_fit_only_together() {
    let deployment = deployment_of(Setup { sockets: 48, ..setup() });
    let mut old = start_ready(&deployment, quick_engine());
    let resting: Vec<Client> = (0..20).map(|_| connect(&deployment)).collect();
    for client in &resting {
        served(client, &Request::read("resting"));
    }
    let load = light_load(&deployment);
    std::thread::sleep(SETTLE);
    let _new = take_over(&deployment);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
    for client in &resting {
        assert_eq!(client.wait_for_ending(PATIENCE), Some(Ending::Closed));
    }
}

// ---- the socket for the hand-over ----

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leftover {
    /// A socket whose owner is gone.
    Socket,
    /// An ordinary file.
    File,
}

#[rstest]
#[case::a_socket(Leftover::Socket)]
#[case::a_file(Leftover::File)]
fn what_is_left_at_the_path_of_the_socket_stops_no_start(#[case] leftover: Leftover) {
    let deployment = deployment();
    match leftover {
        Leftover::Socket => drop(UnixListener::bind(deployment.handover_socket()).expect("bound")),
        Leftover::File => std::fs::write(deployment.handover_socket(), "left").expect("written"),
    }
    let mut old = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    served(&client, &Request::keyed("before"));
    if leftover == Leftover::Socket {
        // Each killed process leaves one: the next upgrade must work all the same.
        let load = light_load(&deployment);
        let new = take_over(&deployment);
        leave(&deployment, &mut old);
        std::thread::sleep(SETTLE);
        all_served(load);
        assert_eq!(runs_of("before", &[&old.engine, &new.engine]), 1);
    }
}

#[derive(Clone, Copy, Debug)]
enum Temporary {
    Missing,
    /// Nobody can make a file below a file, whoever asks.
    File,
    /// Longer than the address of a Unix socket may be.
    Long,
}

#[rstest]
#[case::missing(Temporary::Missing)]
#[case::not_writable(Temporary::File)]
#[case::too_long(Temporary::Long)]
fn without_a_usable_directory_the_program_serves_as_before(#[case] temporary: Temporary) {
    let own = deployment();
    let path = match temporary {
        Temporary::Missing => own.temporary().join("missing"),
        Temporary::File => {
            let file = own.temporary().join("file");
            std::fs::write(&file, "").expect("written");
            file
        }
        Temporary::Long => {
            let long = own.temporary().join("x".repeat(200));
            std::fs::create_dir(&long).expect("made");
            long
        }
    };
    let deployment = deployment_of(Setup { temporary: Some(path), ..setup() });
    let mut old = start_ready(&deployment, quick_engine());
    served(&connect(&deployment), &Request::keyed("key"));
    // A new process cannot take over, but has to come up once the old one has gone.
    let new = start(&deployment, quick_engine());
    std::thread::sleep(SETTLE);
    leave(&deployment, &mut old);
    new.await_ready(PATIENCE).expect("it serves after the other has gone");
    served(&connect(&deployment), &Request::read("paper"));
}

#[rstest]
#[case::nothing(b"")]
#[case::garbage(b"\xff\x00\x94GET / HTTP/1.1\r\n\r\n")]
#[case::a_long_line(&[b'x'; 100_000])]
fn strangers_at_the_socket_stop_no_upgrade(#[case] said: &'static [u8]) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let load = light_load(&deployment);
    let strangers: Vec<UnixStream> = (0..32)
        .map(|_| {
            let mut stranger =
                UnixStream::connect(deployment.handover_socket()).expect("the process listens");
            stranger.set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
            // It may be turned away, or left unread, at once.
            let _ = stranger.write_all(said);
            stranger
        })
        .collect();
    let new = take_over(&deployment);
    leave(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    all_served(load);
    no_double_runs(&[&old.engine, &new.engine]);
    drop(strangers);
}

#[rstest]
#[case::silent(None)]
#[case::of_another_version(Some(b"pinepoint-handover 999999\r\n".as_slice()))]
#[case::speaking_garbage(Some(b"\xff\xfe\x00\x01garbage\n".as_slice()))]
fn a_peer_that_cannot_hand_over_is_not_waited_for(#[case] says: Option<&'static [u8]>) {
    let window = Duration::from_secs(3);
    let deployment = deployment_of(Setup { key_window: window, ..setup() });
    let peer = UnixListener::bind(deployment.handover_socket()).expect("bound");
    std::thread::spawn(move || {
        let mut accepted = Vec::new();
        for mut stream in peer.incoming().flatten() {
            let _ = says.map(|bytes| stream.write_all(bytes));
            // Kept open: the end of the connection would tell more than silence.
            accepted.push(stream);
        }
    });
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    served(&client, &Request::read("paper"));
    // The peer may have run any key.
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(process.engine.runs_of("too early"), 0);
    let mut number = 0;
    eventually_within(window + PATIENCE, "served after the window", || {
        number += 1;
        std::thread::sleep(Duration::from_millis(50));
        client.call(&Request::keyed(&format!("key-{number}"))).result().is_some()
    });
}
