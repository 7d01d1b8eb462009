//! The handover socket, to which a successor connects: leftovers, unusable directories, unknown and faulty
//! peers.

use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::Duration;

use rstest::rstest;

use crate::operation::*;
use crate::{SETTLE, take_over};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leftover {
    /// A socket whose process has ended.
    Socket,
    /// An ordinary file.
    File,
}

#[rstest]
#[case::socket(Leftover::Socket)]
#[case::file(Leftover::File)]
fn starts_despite_leftover_at_socket_path(#[case] leftover: Leftover) {
    let deployment = deployment();
    match leftover {
        Leftover::Socket => drop(UnixListener::bind(deployment.handover_socket()).expect("bound")),
        Leftover::File => std::fs::write(deployment.handover_socket(), "left").expect("written"),
    }
    let mut predecessor = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_served(&client, &Request::keyed("before"));
    if leftover == Leftover::Socket {
        // Each killed process leaves a socket. The next upgrade must work nevertheless.
        let load = light_load(&deployment);
        let successor = take_over(&deployment);
        terminate(&deployment, &mut predecessor);
        std::thread::sleep(SETTLE);
        assert_all_served(load);
        assert_eq!(runs_of("before", &[&predecessor.engine, &successor.engine]), 1);
    }
}

#[derive(Clone, Copy, Debug)]
enum TemporaryPath {
    Missing,
    /// An ordinary file: no user can create a file below it.
    File,
    /// A path longer than the address of a Unix socket may be.
    Long,
}

#[rstest]
#[case::missing(TemporaryPath::Missing)]
#[case::not_writable(TemporaryPath::File)]
#[case::too_long(TemporaryPath::Long)]
fn serves_without_usable_temporary_directory(#[case] temporary: TemporaryPath) {
    let own = deployment();
    let path = match temporary {
        TemporaryPath::Missing => own.temp_dir().join("missing"),
        TemporaryPath::File => {
            let file = own.temp_dir().join("file");
            std::fs::write(&file, "").expect("written");
            file
        }
        TemporaryPath::Long => {
            let long = own.temp_dir().join("x".repeat(200));
            std::fs::create_dir(&long).expect("made");
            long
        }
    };
    let deployment = deployment_of(Setup { temp_dir: Some(path), ..setup() });
    let mut predecessor = start_ready(&deployment, quick_engine());
    assert_served(&connect(&deployment), &Request::keyed("key"));
    // The successor cannot take over, but has to become ready once the predecessor has ended.
    let successor = start(&deployment, quick_engine());
    std::thread::sleep(SETTLE);
    terminate(&deployment, &mut predecessor);
    successor.await_ready(DEFAULT_TIMEOUT).expect("the successor is ready after the predecessor has ended");
    assert_served(&connect(&deployment), &Request::read("paper"));
}

#[rstest]
#[case::nothing(b"")]
#[case::garbage(b"\xff\x00\x94GET / HTTP/1.1\r\n\r\n")]
#[case::long_line(&[b'x'; 100_000])]
fn upgrade_succeeds_despite_unknown_peers(#[case] bytes: &'static [u8]) {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let load = light_load(&deployment);
    let unknown_peers: Vec<UnixStream> = (0..32)
        .map(|_| {
            let mut peer = UnixStream::connect(deployment.handover_socket()).expect("the process listens");
            peer.set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
            // The process may reject the peer at once, or not read from it.
            let _ = peer.write_all(bytes);
            peer
        })
        .collect();
    let successor = take_over(&deployment);
    terminate(&deployment, &mut predecessor);
    std::thread::sleep(SETTLE);
    assert_all_served(load);
    assert_no_double_runs(&[&predecessor.engine, &successor.engine]);
    drop(unknown_peers);
}

#[rstest]
#[case::silent(None)]
#[case::other_version(Some(b"pinepoint-handover 999999\r\n".as_slice()))]
#[case::garbage(Some(b"\xff\xfe\x00\x01garbage\n".as_slice()))]
fn starts_without_faulty_handover_peer(#[case] greeting: Option<&'static [u8]>) {
    let window = Duration::from_secs(3);
    let deployment = deployment_of(Setup { key_window: window, ..setup() });
    let peer = UnixListener::bind(deployment.handover_socket()).expect("bound");
    std::thread::spawn(move || {
        let mut accepted = Vec::new();
        for mut stream in peer.incoming().flatten() {
            let _ = greeting.map(|bytes| stream.write_all(bytes));
            // Keeps the connection open, as closing it would reveal more to the program than silence.
            accepted.push(stream);
        }
    });
    let process = start_ready(&deployment, quick_engine());
    let client = connect(&deployment);
    assert_served(&client, &Request::read("paper"));
    // The peer may have run any idempotency key.
    let reply = client.call(&Request::keyed("too early"));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(process.engine.runs_of("too early"), 0);
    let mut number = 0;
    eventually_within(window + DEFAULT_TIMEOUT, "a keyed request to be served after the window", || {
        number += 1;
        std::thread::sleep(Duration::from_millis(50));
        client.call(&Request::keyed(&format!("key-{number}"))).result().is_some()
    });
}
