//! Real Unix sockets in a directory of each test's own: the listening sockets pass with their backlogs, stale and unusable paths,
//! strangers, silent peers and full queues.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use futures_lite::{AsyncReadExt, future};
use pinepoint_handover::io::{self, Accepted, Acceptor, Connected, Link, LinkCloseReason, LinkTask};
use pinepoint_handover::message::{Hello, Key, KeyRecord, KeyState, Message};
use pinepoint_handover::ownership::NoPredecessor;
use pinepoint_handover::wire;

/// A directory that is removed at the end.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Directory {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name = format!("pph{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("a new directory");
        Directory(path)
    }

    fn socket(&self) -> PathBuf {
        io::socket_path(&self.0)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn hello(listeners: &[&str]) -> Hello {
    let listeners = listeners.iter().map(|name| (*name).to_owned()).collect();
    Hello { listeners, digest_key: [3; 16], drained: false, keys_unknown_until_ms: 0.0 }
}

/// A predecessor that passes one socket, in a directory of its own.
struct World {
    directory: Directory,
    executor: Rc<LocalExecutor<'static>>,
    accepted: Receiver<Accepted>,
}

/// One end of a link that runs.
struct End {
    link: Link,
    messages: Receiver<Message>,
    task: Task<LinkCloseReason>,
}

impl World {
    fn new(socket: &TcpListener) -> World {
        let directory = Directory::new();
        let acceptor = Rc::new(Acceptor::bind(&directory.socket(), &[socket]).expect("it can be used"));
        let executor = Rc::new(LocalExecutor::new());
        let (send, accepted) = async_channel::bounded(1);
        executor.spawn(acceptor.run(10, executor.clone(), send)).detach();
        World { directory, executor, accepted }
    }

    fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(work))
    }

    async fn connect(&self) -> Result<Connected, NoPredecessor> {
        io::connect(&self.directory.socket(), 1).await
    }

    fn run(&self, link: Link, task: LinkTask) -> End {
        let (send, messages) = async_channel::unbounded();
        let task = self.executor.spawn(task.run(move |message| {
            let _ = send.try_send(message);
        }));
        End { link, messages, task }
    }

    async fn accept(&self, hello: Hello) -> End {
        let Accepted { link, task } = self.accepted.recv().await.expect("the acceptor runs");
        link.send(&Message::Hello(hello));
        self.run(link, task)
    }

    async fn linked(&self) -> (End, End, Vec<(String, TcpListener)>) {
        let (old, connected) = future::zip(self.accept(hello(&["rpc"])), self.connect()).await;
        let Connected { hello: told, listeners, link, task } = connected.expect("a predecessor");
        assert_eq!(told, hello(&["rpc"]));
        (old, self.run(link, task), listeners)
    }
}

// ---- sockets pass ----

#[test]
fn a_connection_in_the_backlog_is_accepted_by_the_successor_after_the_predecessor_closed_its_socket() {
    let socket = listener();
    let address = socket.local_addr().expect("it listens");
    let world = World::new(&socket);
    let mut client = TcpStream::connect(address).expect("the backlog has room");
    client.write_all(b"request").expect("it is connected");
    let (old, new, listeners) = world.block_on(world.linked());
    drop(socket);
    drop((old, world));
    let [(name, passed)] = &listeners[..] else { panic!("{listeners:?}") };
    assert_eq!((name.as_str(), passed.local_addr().ok()), ("rpc", Some(address)));
    let (mut served, _) = passed.accept().expect("it waits in the backlog");
    let mut request = [0; 7];
    served.read_exact(&mut request).expect("nothing is lost");
    assert_eq!(&request, b"request");
    drop(new);
}

#[test]
fn messages_go_both_ways_in_order_and_what_was_sent_before_the_end_is_read() {
    let world = World::new(&listener());
    world.block_on(async {
        let (old, new, _) = world.linked().await;
        assert_eq!((old.link.number(), new.link.number()), (10, 1));
        new.link.send(&Message::TakeOver);
        assert_eq!(old.messages.recv().await, Ok(Message::TakeOver));
        for open in 0..500 {
            old.link.send(&Message::Connections(open));
        }
        old.link.finish();
        assert_eq!(
            (old.task.await, new.task.await),
            (LinkCloseReason::ClosedLocally, LinkCloseReason::PeerClosed)
        );
        for open in 0..500 {
            assert_eq!(new.messages.recv().await, Ok(Message::Connections(open)));
        }
    });
}

#[test]
fn a_peer_that_reads_nothing_is_dropped_when_the_queue_is_full_and_nobody_waits_for_it() {
    let world = World::new(&listener());
    world.block_on(async {
        let (old, connected) = future::zip(world.accept(hello(&["rpc"])), world.connect()).await;
        let connected = connected.expect("a predecessor");
        let key = Key { class: "c".into(), token: "t".into() };
        let state = KeyState::Done(vec![0; 30_000]);
        let record = KeyRecord { key, digest: 1, until_ms: 1.0, state };
        for _ in 0..400 {
            old.link.send(&Message::Keys(vec![record.clone()]));
        }
        assert_eq!(old.task.await, LinkCloseReason::QueueFull);
        drop(connected);
    });
}

#[test]
fn a_message_that_is_too_long_and_a_close_end_the_link() {
    let world = World::new(&listener());
    world.block_on(async {
        let (old, new, _) = world.linked().await;
        let hello = hello(&[&"n".repeat(wire::MAX_FRAME_BYTES)]);
        old.link.send(&Message::Hello(hello));
        assert_eq!(
            (old.task.await, new.task.await),
            (LinkCloseReason::MessageTooLong, LinkCloseReason::PeerClosed)
        );
        let (old, new, _) = world.linked().await;
        new.link.close();
        assert_eq!(
            (old.task.await, new.task.await),
            (LinkCloseReason::PeerClosed, LinkCloseReason::ClosedLocally)
        );
    });
}

// ---- paths ----

fn connect_to(path: &Path) -> Option<NoPredecessor> {
    async_io::block_on(io::connect(path, 1)).err()
}

#[test]
fn no_socket_and_a_stale_one_mean_that_nobody_is_there_and_a_stale_one_is_replaced() {
    let directory = Directory::new();
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::NoSocket));
    drop(Acceptor::bind(&directory.socket(), &[]).expect("it can be used"));
    assert!(directory.socket().exists());
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::Refused));
    let _acceptor = Acceptor::bind(&directory.socket(), &[]).expect("the stale one is replaced");
    let mode = std::fs::metadata(directory.socket()).expect("it is there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let left = std::fs::read_dir(&directory.0).expect("it is there").count();
    assert_eq!(left, 1, "only the socket is there");
    // Nobody runs the acceptor: it is silent.
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::TimedOut));
}

#[test]
fn a_successors_acceptor_replaces_the_predecessors() {
    let directory = Directory::new();
    let old = Acceptor::bind(&directory.socket(), &[]).expect("it can be used");
    let _new = Acceptor::bind(&directory.socket(), &[]).expect("it replaces the other");
    drop(old);
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::TimedOut));
}

#[test]
fn a_path_that_is_too_long_or_no_directory_can_neither_be_bound_nor_connected_to() {
    let directory = Directory::new();
    let long = directory.0.join("d".repeat(100));
    // Too long by one byte, where the temporary name would do.
    let by_one = directory.0.join("d".repeat(84 - directory.0.as_os_str().len() - 1));
    for path in [&long, &by_one] {
        std::fs::create_dir(path).expect("a new directory");
    }
    let file = directory.0.join("file");
    std::fs::write(&file, "").expect("a new file");
    for bad in [long, by_one, file] {
        let path = io::socket_path(&bad);
        assert!(Acceptor::bind(&path, &[]).is_err(), "{}", path.display());
        assert_eq!(connect_to(&path), Some(NoPredecessor::BadPath), "{}", path.display());
    }
    let missing = io::socket_path(&directory.0.join("missing"));
    assert!(Acceptor::bind(&missing, &[]).is_err());
    assert_eq!(connect_to(&missing), Some(NoPredecessor::NoSocket));
}

#[test]
fn a_directory_that_is_not_writable_is_an_error_and_leaves_nothing_behind() {
    let directory = Directory::new();
    let set = |mode| std::fs::set_permissions(&directory.0, std::fs::Permissions::from_mode(mode));
    set(0o500).expect("it is ours");
    // The superuser may write everywhere.
    let may_write = std::fs::write(directory.0.join("file"), "").is_ok();
    let bound = Acceptor::bind(&directory.socket(), &[]);
    set(0o700).expect("it is ours");
    assert_eq!(bound.is_ok(), may_write);
    assert_eq!(directory.socket().exists(), may_write);
}

#[test]
fn more_listening_sockets_than_can_be_passed_are_an_error() {
    let directory = Directory::new();
    let sockets: Vec<_> = (0..=io::MAX_LISTENERS).map(|_| listener()).collect();
    assert!(Acceptor::bind(&directory.socket(), &sockets.iter().collect::<Vec<_>>()).is_err());
}

// ---- strangers ----

/// What a successor finds where somebody else answers its preamble with this.
fn answered_with(answer: &[u8], closes: bool) -> Option<NoPredecessor> {
    let directory = Directory::new();
    let stranger = UnixListener::bind(directory.socket()).expect("a new path");
    std::thread::scope(|scope| {
        let held = scope.spawn(|| {
            let (mut stream, _) = stranger.accept().expect("a successor");
            stream.read_exact(&mut [0; wire::PREAMBLE_LENGTH]).expect("its preamble");
            stream.write_all(answer).expect("it reads");
            if !closes {
                // Until it gives up.
                let _ = stream.read(&mut [0; 1]);
            }
        });
        let found = connect_to(&directory.socket());
        held.join().expect("no panic");
        found
    })
}

#[test]
fn a_stranger_an_older_a_silent_and_a_dying_predecessor_are_told_apart() {
    let own = wire::preamble();
    let mut older = own;
    older[5] ^= 1;
    let with_hello = |message: Message| [&own[..], &wire::encode(&message).expect("fits")].concat();
    let no_sockets = with_hello(Message::Hello(hello(&["rpc"])));
    let cases: [(&[u8], bool, NoPredecessor); 9] = [
        (b"HTTP/1.1 400 Bad Request", false, NoPredecessor::ProtocolMismatch),
        (&older, false, NoPredecessor::OtherVersion),
        (b"", false, NoPredecessor::TimedOut),
        (&own, false, NoPredecessor::TimedOut),
        (b"", true, NoPredecessor::Closed),
        (&own, true, NoPredecessor::Closed),
        (&[&own[..], &[0xff; 8]].concat(), false, NoPredecessor::ProtocolMismatch),
        (&with_hello(Message::Yielded), false, NoPredecessor::ProtocolMismatch),
        (&no_sockets, false, NoPredecessor::BadListeners),
    ];
    for (answer, closes, expected) in cases {
        assert_eq!(answered_with(answer, closes), Some(expected), "{answer:?}");
    }
}

#[test]
fn strangers_and_silent_ones_are_closed_and_hold_no_successor_up() {
    let world = World::new(&listener());
    let open = || UnixStream::connect(world.directory.socket()).expect("it listens");
    let silent = open();
    let mut stranger = open();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("it is connected");
    let mut newer = open();
    let mut preamble = wire::preamble();
    preamble[5] += 1;
    newer.write_all(&preamble).expect("it is connected");
    world.block_on(async {
        let (_old, _new, listeners) = world.linked().await;
        assert_eq!(listeners.len(), 1);
        for stream in [silent, stranger] {
            let mut stream = async_io::Async::new(stream).expect("a socket");
            // Closed over what was not read it is reset.
            let read = stream.read(&mut [0; 8]).await;
            assert!(read.as_ref().is_ok_and(|n| *n == 0) || read.is_err(), "{read:?}");
        }
        let mut newer = async_io::Async::new(newer).expect("a socket");
        let mut answer = Vec::new();
        newer.read_to_end(&mut answer).await.expect("it is closed");
        assert_eq!(answer, wire::preamble());
    });
}

#[test]
fn a_peer_that_turns_to_garbage_ends_the_link() {
    let world = World::new(&listener());
    world.block_on(async {
        let mut peer =
            async_io::Async::<UnixStream>::connect(world.directory.socket()).await.expect("it listens");
        futures_lite::AsyncWriteExt::write_all(&mut peer, &wire::preamble()).await.expect("it is connected");
        let old = world.accept(hello(&["rpc"])).await;
        futures_lite::AsyncWriteExt::write_all(&mut peer, &[0xff; 64]).await.expect("it is connected");
        assert_eq!(old.task.await, LinkCloseReason::Malformed);
    });
}
