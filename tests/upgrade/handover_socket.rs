//! The socket on which a successor connects: leftovers, unusable directories, strangers and faulty peers.

use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::Duration;

use rstest::rstest;

use crate::operation::*;
use crate::{SETTLE, take_over};

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
    assert_served(&client, &Request::keyed("before"));
    if leftover == Leftover::Socket {
        // Each killed process leaves one: the next upgrade must work all the same.
        let load = light_load(&deployment);
        let new = take_over(&deployment);
        terminate(&deployment, &mut old);
        std::thread::sleep(SETTLE);
        assert_all_served(load);
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
        Temporary::Missing => own.temp_dir().join("missing"),
        Temporary::File => {
            let file = own.temp_dir().join("file");
            std::fs::write(&file, "").expect("written");
            file
        }
        Temporary::Long => {
            let long = own.temp_dir().join("x".repeat(200));
            std::fs::create_dir(&long).expect("made");
            long
        }
    };
    let deployment = deployment_of(Setup { temp_dir: Some(path), ..setup() });
    let mut old = start_ready(&deployment, quick_engine());
    assert_served(&connect(&deployment), &Request::keyed("key"));
    // A new process cannot take over, but has to come up once the old one has gone.
    let new = start(&deployment, quick_engine());
    std::thread::sleep(SETTLE);
    terminate(&deployment, &mut old);
    new.await_ready(DEFAULT_TIMEOUT).expect("it serves after the other has gone");
    assert_served(&connect(&deployment), &Request::read("paper"));
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
    terminate(&deployment, &mut old);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_no_double_runs(&[&old.engine, &new.engine]);
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
    assert_served(&client, &Request::read("paper"));
    // The peer may have run any key.
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(process.engine.runs_of("too early"), 0);
    let mut number = 0;
    eventually_within(window + DEFAULT_TIMEOUT, "served after the window", || {
        number += 1;
        std::thread::sleep(Duration::from_millis(50));
        client.call(&Request::keyed(&format!("key-{number}"))).result().is_some()
    });
}
