//! Tests over real Unix sockets, each in its own directory: passing of listening sockets with their backlogs,
//! stale and unusable paths, unknown and silent peers, and full queues.

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

/// A temporary directory that is removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name = format!("pph{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("create a directory");
        TempDirectory(path)
    }

    fn socket(&self) -> PathBuf {
        io::socket_path(&self.0)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bind a free port")
}

fn hello(listeners: &[&str]) -> Hello {
    let listeners = listeners.iter().map(|name| (*name).to_owned()).collect();
    Hello { listeners, digest_key: [3; 16], drained: false, keys_unknown_until_ms: 0.0 }
}

/// A predecessor that passes one listening socket, in its own directory.
struct Fixture {
    directory: TempDirectory,
    executor: Rc<LocalExecutor<'static>>,
    accepted: Receiver<Accepted>,
}

/// One end of a link whose task is running.
struct LinkEnd {
    link: Link,
    messages: Receiver<Message>,
    task: Task<LinkCloseReason>,
}

impl Fixture {
    fn new(socket: &TcpListener) -> Fixture {
        let directory = TempDirectory::new();
        let acceptor = Rc::new(Acceptor::bind(&directory.socket(), &[socket]).expect("bind the acceptor"));
        let executor = Rc::new(LocalExecutor::new());
        let (send, accepted) = async_channel::bounded(1);
        executor.spawn(acceptor.run(10, executor.clone(), send)).detach();
        Fixture { directory, executor, accepted }
    }

    fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(work))
    }

    async fn connect(&self) -> Result<Connected, NoPredecessor> {
        io::connect(&self.directory.socket(), 1).await
    }

    fn run(&self, link: Link, task: LinkTask) -> LinkEnd {
        let (send, messages) = async_channel::unbounded();
        let task = self.executor.spawn(task.run(move |message| {
            let _ = send.try_send(message);
        }));
        LinkEnd { link, messages, task }
    }

    async fn accept(&self, hello: Hello) -> LinkEnd {
        let Accepted { link, task } = self.accepted.recv().await.expect("the acceptor is running");
        link.send(&Message::Hello(hello));
        self.run(link, task)
    }

    async fn linked(&self) -> (LinkEnd, LinkEnd, Vec<(String, TcpListener)>) {
        let (predecessor, connected) = future::zip(self.accept(hello(&["rpc"])), self.connect()).await;
        let Connected { hello: received_hello, listeners, link, task } =
            connected.expect("connect to the predecessor");
        assert_eq!(received_hello, hello(&["rpc"]));
        (predecessor, self.run(link, task), listeners)
    }
}

// ---- passed sockets and links ----

#[test]
fn successor_accepts_backlog_after_predecessor_closes_socket() {
    let socket = listener();
    let address = socket.local_addr().expect("read the address");
    let fixture = Fixture::new(&socket);
    let mut client = TcpStream::connect(address).expect("connect through the backlog");
    client.write_all(b"request").expect("send the request");
    let (predecessor, successor, listeners) = fixture.block_on(fixture.linked());
    drop(socket);
    drop((predecessor, fixture));
    let [(name, passed)] = &listeners[..] else { panic!("{listeners:?}") };
    assert_eq!((name.as_str(), passed.local_addr().ok()), ("rpc", Some(address)));
    let (mut served, _) = passed.accept().expect("accept from the backlog");
    let mut request = [0; 7];
    served.read_exact(&mut request).expect("read the request");
    assert_eq!(&request, b"request");
    drop(successor);
}

#[test]
fn delivers_messages_both_ways_in_order_until_closed() {
    let fixture = Fixture::new(&listener());
    fixture.block_on(async {
        let (predecessor, successor, _) = fixture.linked().await;
        assert_eq!((predecessor.link.number(), successor.link.number()), (10, 1));
        successor.link.send(&Message::TakeOver);
        assert_eq!(predecessor.messages.recv().await, Ok(Message::TakeOver));
        for open in 0..500 {
            predecessor.link.send(&Message::Connections(open));
        }
        predecessor.link.finish();
        assert_eq!(
            (predecessor.task.await, successor.task.await),
            (LinkCloseReason::ClosedLocally, LinkCloseReason::PeerClosed)
        );
        for open in 0..500 {
            assert_eq!(successor.messages.recv().await, Ok(Message::Connections(open)));
        }
    });
}

#[test]
fn closes_link_when_queue_is_full() {
    let fixture = Fixture::new(&listener());
    fixture.block_on(async {
        let (predecessor, connected) = future::zip(fixture.accept(hello(&["rpc"])), fixture.connect()).await;
        let connected = connected.expect("connect to the predecessor");
        let key = Key { class: "c".into(), token: "t".into() };
        let state = KeyState::Done(vec![0; 30_000]);
        let record = KeyRecord { key, digest: 1, until_ms: 1.0, state };
        for _ in 0..400 {
            predecessor.link.send(&Message::Keys(vec![record.clone()]));
        }
        assert_eq!(predecessor.task.await, LinkCloseReason::QueueFull);
        drop(connected);
    });
}

#[test]
fn closes_link_on_oversized_message_and_on_close() {
    let fixture = Fixture::new(&listener());
    fixture.block_on(async {
        let (predecessor, successor, _) = fixture.linked().await;
        let hello = hello(&[&"n".repeat(wire::MAX_FRAME_BYTES)]);
        predecessor.link.send(&Message::Hello(hello));
        assert_eq!(
            (predecessor.task.await, successor.task.await),
            (LinkCloseReason::MessageTooLong, LinkCloseReason::PeerClosed)
        );
        let (predecessor, successor, _) = fixture.linked().await;
        successor.link.close();
        assert_eq!(
            (predecessor.task.await, successor.task.await),
            (LinkCloseReason::PeerClosed, LinkCloseReason::ClosedLocally)
        );
    });
}

// ---- paths ----

fn connect_to(path: &Path) -> Option<NoPredecessor> {
    async_io::block_on(io::connect(path, 1)).err()
}

#[test]
fn replaces_stale_socket_and_reports_absent_predecessor() {
    let directory = TempDirectory::new();
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::NoSocket));
    drop(Acceptor::bind(&directory.socket(), &[]).expect("bind the first acceptor"));
    assert!(directory.socket().exists());
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::Refused));
    let _acceptor = Acceptor::bind(&directory.socket(), &[]).expect("replace the stale socket");
    let mode = std::fs::metadata(directory.socket()).expect("read the metadata").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let file_count = std::fs::read_dir(&directory.0).expect("list the directory").count();
    assert_eq!(file_count, 1, "only the socket remains");
    // The acceptor is not running, so it never answers.
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::TimedOut));
}

#[test]
fn successors_acceptor_replaces_predecessors() {
    let directory = TempDirectory::new();
    let predecessor = Acceptor::bind(&directory.socket(), &[]).expect("bind the predecessor's acceptor");
    let _successor = Acceptor::bind(&directory.socket(), &[]).expect("replace the predecessor's acceptor");
    drop(predecessor);
    assert_eq!(connect_to(&directory.socket()), Some(NoPredecessor::TimedOut));
}

#[test]
fn rejects_unusable_socket_paths() {
    let directory = TempDirectory::new();
    let long = directory.0.join("d".repeat(100));
    // The socket path is too long by one byte, while the temporary name would fit.
    let by_one = directory.0.join("d".repeat(84 - directory.0.as_os_str().len() - 1));
    for path in [&long, &by_one] {
        std::fs::create_dir(path).expect("create a directory");
    }
    let file = directory.0.join("file");
    std::fs::write(&file, "").expect("create a file");
    for parent in [long, by_one, file] {
        let path = io::socket_path(&parent);
        assert!(Acceptor::bind(&path, &[]).is_err(), "{}", path.display());
        assert_eq!(connect_to(&path), Some(NoPredecessor::BadPath), "{}", path.display());
    }
    let missing = io::socket_path(&directory.0.join("missing"));
    assert!(Acceptor::bind(&missing, &[]).is_err());
    assert_eq!(connect_to(&missing), Some(NoPredecessor::NoSocket));
}

#[test]
fn bind_fails_in_unwritable_directory() {
    let directory = TempDirectory::new();
    let set_mode = |mode| std::fs::set_permissions(&directory.0, std::fs::Permissions::from_mode(mode));
    set_mode(0o500).expect("make the directory read-only");
    // The superuser can write in spite of the mode.
    let may_write = std::fs::write(directory.0.join("file"), "").is_ok();
    let bound = Acceptor::bind(&directory.socket(), &[]);
    set_mode(0o700).expect("make the directory writable");
    assert_eq!(bound.is_ok(), may_write);
    assert_eq!(directory.socket().exists(), may_write);
}

#[test]
fn bind_rejects_too_many_listening_sockets() {
    let directory = TempDirectory::new();
    let sockets: Vec<_> = (0..=io::MAX_LISTENERS).map(|_| listener()).collect();
    assert!(Acceptor::bind(&directory.socket(), &sockets.iter().collect::<Vec<_>>()).is_err());
}

// ---- unknown and malformed peers ----

/// Connects a successor to a peer that answers its preamble with `answer`, and returns the error. The peer
/// then closes the connection if `closes` is set, and otherwise stays silent.
fn connect_answered_with(answer: &[u8], closes: bool) -> Option<NoPredecessor> {
    let directory = TempDirectory::new();
    let listener = UnixListener::bind(directory.socket()).expect("bind the socket");
    std::thread::scope(|scope| {
        let peer = scope.spawn(|| {
            let (mut stream, _) = listener.accept().expect("accept the successor");
            stream.read_exact(&mut [0; wire::PREAMBLE_LENGTH]).expect("read its preamble");
            stream.write_all(answer).expect("send the answer");
            if !closes {
                // Waits until the successor closes the connection.
                let _ = stream.read(&mut [0; 1]);
            }
        });
        let error = connect_to(&directory.socket());
        peer.join().expect("the peer did not panic");
        error
    })
}

#[test]
fn connect_distinguishes_unusable_peers() {
    let own = wire::preamble();
    let mut older = own;
    older[5] ^= 1;
    let with_preamble =
        |message: Message| [&own[..], &wire::encode(&message).expect("encode the message")].concat();
    let no_sockets = with_preamble(Message::Hello(hello(&["rpc"])));
    let cases: [(&[u8], bool, NoPredecessor); 9] = [
        (b"HTTP/1.1 400 Bad Request", false, NoPredecessor::ProtocolMismatch),
        (&older, false, NoPredecessor::OtherVersion),
        (b"", false, NoPredecessor::TimedOut),
        (&own, false, NoPredecessor::TimedOut),
        (b"", true, NoPredecessor::Closed),
        (&own, true, NoPredecessor::Closed),
        (&[&own[..], &[0xff; 8]].concat(), false, NoPredecessor::ProtocolMismatch),
        (&with_preamble(Message::Yielded), false, NoPredecessor::ProtocolMismatch),
        (&no_sockets, false, NoPredecessor::BadListeners),
    ];
    for (answer, closes, expected) in cases {
        assert_eq!(connect_answered_with(answer, closes), Some(expected), "{answer:?}");
    }
}

#[test]
fn acceptor_closes_invalid_peers_without_delaying_successor() {
    let fixture = Fixture::new(&listener());
    let open = || UnixStream::connect(fixture.directory.socket()).expect("connect to the acceptor");
    let silent = open();
    let mut http_client = open();
    http_client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("send an HTTP request");
    let mut newer = open();
    let mut preamble = wire::preamble();
    preamble[5] += 1;
    newer.write_all(&preamble).expect("send a newer preamble");
    fixture.block_on(async {
        let (_predecessor, _successor, listeners) = fixture.linked().await;
        assert_eq!(listeners.len(), 1);
        for stream in [silent, http_client] {
            let mut stream = async_io::Async::new(stream).expect("register the socket");
            // The connection is reset if it is closed with unread bytes.
            let read = stream.read(&mut [0; 8]).await;
            assert!(read.as_ref().is_ok_and(|n| *n == 0) || read.is_err(), "{read:?}");
        }
        let mut newer = async_io::Async::new(newer).expect("register the socket");
        let mut answer = Vec::new();
        newer.read_to_end(&mut answer).await.expect("read until the acceptor closes the connection");
        assert_eq!(answer, wire::preamble());
    });
}

#[test]
fn closes_link_on_malformed_bytes() {
    let fixture = Fixture::new(&listener());
    fixture.block_on(async {
        let mut peer = async_io::Async::<UnixStream>::connect(fixture.directory.socket())
            .await
            .expect("connect to the acceptor");
        futures_lite::AsyncWriteExt::write_all(&mut peer, &wire::preamble())
            .await
            .expect("send the preamble");
        let predecessor = fixture.accept(hello(&["rpc"])).await;
        futures_lite::AsyncWriteExt::write_all(&mut peer, &[0xff; 64]).await.expect("send malformed bytes");
        assert_eq!(predecessor.task.await, LinkCloseReason::Malformed);
    });
}
