//! The socket between the two processes: the only file that does I/O. It decides nothing but whom it talks to.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_events::reason_codes;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};

use crate::message::{Hello, Message};
use crate::ownership::NoPredecessor;
use crate::wire::{self, Decoder, PREAMBLE_LENGTH, WireError};

/// Name of the socket in the directory that both processes share.
const SOCKET_NAME: &str = "pinepoint-handover.sock";
/// Before it is renamed, with the number of the process. Shorter than [`SOCKET_NAME`] for any number.
const TEMPORARY_PREFIX: &str = ".pphandover";
/// How long a peer may take for its preamble, and a predecessor for its hello too.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are being greeted at once.
const MAX_PENDING_HANDSHAKES: usize = 8;
/// Listening sockets that are passed at most.
pub const MAX_LISTENERS: usize = 8;
/// Bytes that wait to be sent at most.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Bytes of one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Where the predecessor listens.
pub fn socket_path(shared_directory: &Path) -> PathBuf {
    shared_directory.join(SOCKET_NAME)
}

// ---- the successor's side ----

/// A predecessor that said hello.
pub struct Connected {
    /// What it said: the first event of the successor's machine.
    pub hello: Hello,
    /// Its listening sockets by name, in the order of the hello.
    pub listeners: Vec<(String, TcpListener)>,
    /// For messages to it.
    pub link: Link,
    /// To be run.
    pub task: LinkTask,
}

/// Looks for a predecessor, for a second at most. The number names the link.
pub async fn connect(path: &Path, number: u64) -> Result<Connected, NoPredecessor> {
    with_handshake_timeout(handshake_with_predecessor(path, number), NoPredecessor::TimedOut).await
}

async fn with_handshake_timeout<T, E>(work: impl Future<Output = Result<T, E>>, late: E) -> Result<T, E> {
    let timer = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(late)
    };
    future::or(work, timer).await
}

async fn handshake_with_predecessor(path: &Path, number: u64) -> Result<Connected, NoPredecessor> {
    SocketAddr::from_pathname(path).map_err(|_| NoPredecessor::BadPath)?;
    let mut stream = Async::<UnixStream>::connect(path).await.map_err(|error| connect_error(&error))?;
    if !is_same_user(&stream) {
        return Err(NoPredecessor::OtherUser);
    }
    stream.write_all(&wire::preamble()).await.map_err(|error| handshake_io_error(&error))?;
    let passed = receive_preamble(&stream).await?;
    let mut decoder = Decoder::default();
    let hello = receive_hello(&mut stream, &mut decoder).await?;
    let listeners = named_listeners(&hello, passed)?;
    let (link, task) = Link::new(number, stream, decoder);
    Ok(Connected { hello, listeners, link, task })
}

fn connect_error(error: &io::Error) -> NoPredecessor {
    match error.kind() {
        io::ErrorKind::NotFound => NoPredecessor::NoSocket,
        io::ErrorKind::ConnectionRefused => NoPredecessor::Refused,
        io::ErrorKind::InvalidInput
        | io::ErrorKind::InvalidFilename
        | io::ErrorKind::PermissionDenied
        | io::ErrorKind::NotADirectory => NoPredecessor::BadPath,
        _ => NoPredecessor::System,
    }
}

fn handshake_io_error(error: &io::Error) -> NoPredecessor {
    match error.kind() {
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => {
            NoPredecessor::Closed
        }
        _ => NoPredecessor::System,
    }
}

impl From<WireError> for NoPredecessor {
    fn from(error: WireError) -> Self {
        if error == WireError::Version {
            NoPredecessor::OtherVersion
        } else {
            NoPredecessor::ProtocolMismatch
        }
    }
}

/// The predecessor's preamble, and the sockets attached to it.
async fn receive_preamble(stream: &Async<UnixStream>) -> Result<Vec<OwnedFd>, NoPredecessor> {
    let mut preamble = [0; PREAMBLE_LENGTH];
    let mut passed = Vec::new();
    let mut filled = 0;
    while filled < PREAMBLE_LENGTH {
        let buffer = &mut preamble[filled..];
        let n = stream
            .read_with(|stream| receive_with_fds(stream, buffer, &mut passed))
            .await
            .map_err(|error| handshake_io_error(&error))?;
        if n == 0 {
            return Err(NoPredecessor::Closed);
        }
        filled += n;
    }
    wire::check_preamble(&preamble)?;
    Ok(passed)
}

fn receive_with_fds(stream: &UnixStream, buffer: &mut [u8], passed: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(buffer)];
    let received = rustix::net::recvmsg(stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            passed.extend(sockets);
        }
    }
    Ok(received.bytes)
}

async fn receive_hello(
    stream: &mut Async<UnixStream>,
    decoder: &mut Decoder,
) -> Result<Hello, NoPredecessor> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        match decoder.next_message()? {
            Some(Message::Hello(hello)) => return Ok(hello),
            Some(_) => return Err(NoPredecessor::ProtocolMismatch),
            None => {}
        }
        let n = stream.read(&mut buffer).await.map_err(|error| handshake_io_error(&error))?;
        if n == 0 {
            return Err(NoPredecessor::Closed);
        }
        decoder.push(&buffer[..n]);
    }
}

fn named_listeners(hello: &Hello, passed: Vec<OwnedFd>) -> Result<Vec<(String, TcpListener)>, NoPredecessor> {
    let all_listen =
        passed.iter().all(|socket| rustix::net::sockopt::socket_acceptconn(socket).unwrap_or(false));
    if passed.len() != hello.listeners.len() || !all_listen {
        return Err(NoPredecessor::BadListeners);
    }
    let listeners = passed.into_iter().map(TcpListener::from);
    Ok(hello.listeners.iter().cloned().zip(listeners).collect())
}

fn is_same_user(stream: &Async<UnixStream>) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

// ---- the predecessor's side ----

reason_codes! {
    /// Why a connection to the handover socket is closed.
    HandshakeError {
        /// It comes from another user.
        OtherUser = "other-user",
        /// It said nothing in time.
        TimedOut = "no-preamble-in-time",
        /// What it said is no handover.
        ProtocolMismatch = "not-a-handover",
        /// It speaks another version.
        OtherVersion = "other-version",
        /// Its connection failed.
        ConnectionLost = "closed-in-preamble",
        /// Too many are being greeted, and it was the oldest of them.
        TooManyPending = "too-many-greeted",
    }
}

impl From<WireError> for HandshakeError {
    fn from(error: WireError) -> Self {
        if error == WireError::Version {
            HandshakeError::OtherVersion
        } else {
            HandshakeError::ProtocolMismatch
        }
    }
}

/// A successor that has the listening sockets and awaits the hello.
pub struct Accepted {
    /// For messages to it.
    pub link: Link,
    /// To be run.
    pub task: LinkTask,
}

/// The socket on which a predecessor awaits its successor. The file is never removed: a stale one refuses connections.
pub struct Acceptor {
    socket: Async<UnixListener>,
    listeners: RefCell<Vec<OwnedFd>>,
    /// Connections that are being greeted, the oldest first.
    handshakes: RefCell<BTreeMap<u64, Task<()>>>,
}

impl Acceptor {
    /// Listens, in place of whatever is at the path. The listening sockets are passed to each successor, in this order.
    pub fn bind(path: &Path, listeners: &[&TcpListener]) -> io::Result<Acceptor> {
        if listeners.len() > MAX_LISTENERS {
            let wrong =
                format!("{} listening sockets: {MAX_LISTENERS} can be passed at most", listeners.len());
            return Err(io::Error::new(io::ErrorKind::InvalidInput, wrong));
        }
        // The temporary name is shorter: what could be bound might not be connected to.
        SocketAddr::from_pathname(path)?;
        let listeners = listeners
            .iter()
            .map(|listener| listener.as_fd().try_clone_to_owned())
            .collect::<Result<_, _>>()?;
        let temporary = path.with_file_name(format!("{TEMPORARY_PREFIX}{}", std::process::id()));
        let socket = bind_and_rename(path, &temporary).inspect_err(|_| {
            let _ = std::fs::remove_file(&temporary);
        })?;
        Ok(Acceptor { socket, listeners: RefCell::new(listeners), handshakes: RefCell::default() })
    }

    /// Closes its copies of the listening sockets: none is passed from here on, and a successor finds none.
    pub fn release(&self) {
        self.listeners.borrow_mut().clear();
    }

    /// Greets all who connect, each in a task of its own, and hands on those who are successors. `first_number` names the first
    /// link, and those after it the next. It ends when the receiver is gone.
    pub async fn run(
        self: Rc<Self>,
        first_number: u64,
        executor: Rc<LocalExecutor<'_>>,
        peers: Sender<Accepted>,
    ) {
        let mut number = first_number;
        while !peers.is_closed() {
            let closed = async {
                peers.closed().await;
                None
            };
            let accepted = async { Some(self.socket.accept().await) };
            match future::or(accepted, closed).await {
                None => return,
                Some(Ok((stream, _))) => {
                    self.evict_oldest_handshake();
                    let task = executor.spawn(self.clone().handle_connection(number, stream, peers.clone()));
                    self.handshakes.borrow_mut().insert(number, task);
                    number += 1;
                }
                // No descriptors, or a peer that is gone again.
                Some(Err(error)) => {
                    tracing::warn!(%error, "handover-accept");
                    Timer::after(HANDSHAKE_TIMEOUT).await;
                }
            }
        }
    }

    /// Ends the oldest greeting where there are too many: a successor speaks at once, and must not wait for those who do not.
    fn evict_oldest_handshake(&self) {
        let mut handshakes = self.handshakes.borrow_mut();
        if handshakes.len() >= MAX_PENDING_HANDSHAKES {
            tracing::warn!(reason = %HandshakeError::TooManyPending, "handover-rejected");
            handshakes.pop_first();
        }
    }

    async fn handle_connection(
        self: Rc<Self>,
        number: u64,
        stream: Async<UnixStream>,
        peers: Sender<Accepted>,
    ) {
        let result =
            with_handshake_timeout(self.handshake_with_successor(number, stream), HandshakeError::TimedOut)
                .await;
        if let Some(task) = self.handshakes.borrow_mut().remove(&number) {
            task.detach();
        }
        match result {
            Ok(accepted) => {
                let _ = peers.send(accepted).await;
            }
            Err(reason) => tracing::warn!(%reason, "handover-rejected"),
        }
    }

    async fn handshake_with_successor(
        &self,
        number: u64,
        mut stream: Async<UnixStream>,
    ) -> Result<Accepted, HandshakeError> {
        if !is_same_user(&stream) {
            return Err(HandshakeError::OtherUser);
        }
        let mut preamble = [0; PREAMBLE_LENGTH];
        stream.read_exact(&mut preamble).await.map_err(|_| HandshakeError::ConnectionLost)?;
        if let Err(error) = wire::check_preamble(&preamble) {
            // To another version this version is told, and nothing is passed.
            if error == WireError::Version {
                let _ = stream.write_all(&wire::preamble()).await;
            }
            return Err(error.into());
        }
        self.send_preamble(&mut stream).await.map_err(|_| HandshakeError::ConnectionLost)?;
        let (link, task) = Link::new(number, stream, Decoder::default());
        Ok(Accepted { link, task })
    }

    async fn send_preamble(&self, stream: &mut Async<UnixStream>) -> io::Result<()> {
        let preamble = wire::preamble();
        let sent =
            stream.write_with(|stream| send_with_fds(stream, &preamble, &self.listeners.borrow())).await?;
        stream.write_all(&preamble[sent..]).await
    }
}

fn bind_and_rename(path: &Path, temporary: &Path) -> io::Result<Async<UnixListener>> {
    // Of an earlier process with this number.
    let _ = std::fs::remove_file(temporary);
    let socket = Async::<UnixListener>::bind(temporary)?;
    std::fs::set_permissions(temporary, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(temporary, path)?;
    Ok(socket)
}

fn send_with_fds(stream: &UnixStream, bytes: &[u8], sockets: &[OwnedFd]) -> io::Result<usize> {
    let borrowed: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(sent)
}

// ---- both sides ----

reason_codes! {
    /// Why a link is over.
    LinkCloseReason {
        /// The peer closed it, or has died.
        PeerClosed = "peer-closed",
        /// What came is no message.
        Malformed = "peer-malformed",
        /// More waits to be sent than may.
        QueueFull = "peer-queue-full",
        /// A message does not fit into a frame.
        MessageTooLong = "message-too-long",
        /// The system failed.
        System = "link-system-error",
        /// This side closed it.
        ClosedLocally = "self-closed",
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Open,
    /// What waits is still sent.
    Finishing,
    Closed(LinkCloseReason),
}

struct LinkInner {
    number: u64,
    state: Cell<LinkState>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    queued_bytes: Cell<usize>,
    wake: Sender<()>,
}

/// Messages to a peer. It never waits: what cannot be sent at once is queued under a bound.
#[derive(Clone)]
pub struct Link {
    inner: Rc<LinkInner>,
}

impl Link {
    fn new(number: u64, stream: Async<UnixStream>, decoder: Decoder) -> (Link, LinkTask) {
        let (wake, woken) = async_channel::bounded(1);
        let inner = Rc::new(LinkInner {
            number,
            state: Cell::new(LinkState::Open),
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            wake,
        });
        let link = Link { inner };
        (link.clone(), LinkTask { link, stream, decoder, woken })
    }

    /// Names this link: messages of an earlier one are told apart by it.
    pub fn number(&self) -> u64 {
        self.inner.number
    }

    /// Queues a message. One that does not fit ends the link, which [`LinkTask::run`] tells.
    pub fn send(&self, message: &Message) {
        if self.inner.state.get() != LinkState::Open {
            return;
        }
        match wire::encode(message) {
            Ok(frame) => self.enqueue(frame),
            Err(_) => self.end(LinkCloseReason::MessageTooLong),
        }
    }

    /// Sends what waits, and then ends.
    pub fn finish(&self) {
        if self.inner.state.get() == LinkState::Open {
            self.inner.state.set(LinkState::Finishing);
            self.wake();
        }
    }

    /// Ends at once.
    pub fn close(&self) {
        self.end(LinkCloseReason::ClosedLocally);
    }

    fn enqueue(&self, frame: Vec<u8>) {
        let queued = self.inner.queued_bytes.get() + frame.len();
        if queued > MAX_QUEUED_BYTES {
            self.end(LinkCloseReason::QueueFull);
            return;
        }
        self.inner.queued_bytes.set(queued);
        self.inner.queue.borrow_mut().push_back(frame);
        self.wake();
    }

    fn end(&self, why: LinkCloseReason) {
        if !matches!(self.inner.state.get(), LinkState::Closed(_)) {
            self.inner.state.set(LinkState::Closed(why));
            self.inner.queue.borrow_mut().clear();
            self.wake();
        }
    }

    fn wake(&self) {
        // It is full where a wake-up waits already.
        let _ = self.inner.wake.try_send(());
    }
}

/// The sending and receiving of a link.
pub struct LinkTask {
    link: Link,
    stream: Async<UnixStream>,
    decoder: Decoder,
    woken: Receiver<()>,
}

impl LinkTask {
    /// Hands on each message until the link is over, and says why it is.
    pub async fn run(self, mut deliver: impl FnMut(Message)) -> LinkCloseReason {
        let LinkTask { link, stream, mut decoder, woken } = self;
        let end = future::or(
            write_messages(&link, &stream, &woken),
            read_messages(&link, &stream, &mut decoder, &mut deliver),
        )
        .await;
        link.end(end);
        end
    }
}

/// Sends what is queued. A peer that is gone is the reader's to tell: what it sent before is still read.
async fn write_messages(link: &Link, stream: &Async<UnixStream>, woken: &Receiver<()>) -> LinkCloseReason {
    loop {
        if let LinkState::Closed(why) = link.inner.state.get() {
            return why;
        }
        let next = link.inner.queue.borrow_mut().pop_front();
        match next {
            Some(frame) => {
                let over = async { Err(wait_until_closed(link, woken).await) };
                let written = async { Ok(write_frame(stream, &frame).await) };
                match future::or(written, over).await {
                    Ok(true) => link.inner.queued_bytes.set(link.inner.queued_bytes.get() - frame.len()),
                    Ok(false) => return wait_until_closed(link, woken).await,
                    Err(why) => return why,
                }
            }
            None if link.inner.state.get() == LinkState::Finishing => return LinkCloseReason::ClosedLocally,
            None => {
                let _ = woken.recv().await;
            }
        }
    }
}

/// Whether it was written.
async fn write_frame(mut stream: &Async<UnixStream>, frame: &[u8]) -> bool {
    stream.write_all(frame).await.is_ok()
}

async fn wait_until_closed(link: &Link, woken: &Receiver<()>) -> LinkCloseReason {
    loop {
        if let LinkState::Closed(why) = link.inner.state.get() {
            return why;
        }
        let _ = woken.recv().await;
    }
}

async fn read_messages(
    link: &Link,
    stream: &Async<UnixStream>,
    decoder: &mut Decoder,
    deliver: &mut impl FnMut(Message),
) -> LinkCloseReason {
    let mut stream = stream;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        loop {
            if let LinkState::Closed(why) = link.inner.state.get() {
                return why;
            }
            match decoder.next_message() {
                Ok(Some(message)) => deliver(message),
                Ok(None) => break,
                Err(_) => return LinkCloseReason::Malformed,
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return LinkCloseReason::PeerClosed,
            Ok(n) => {
                decoder.push(&buffer[..n]);
                // However much comes, others have their turn.
                future::yield_now().await;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                return LinkCloseReason::PeerClosed;
            }
            Err(_) => return LinkCloseReason::System,
        }
    }
}
