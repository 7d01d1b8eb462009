//! A link: sends messages through a bounded queue, and receives messages, over a connected stream.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_events::reason_codes;

use super::READ_BUFFER_BYTES;
use crate::message::Message;
use crate::wire::{self, Decoder};

/// Maximum total length of the queued frames, bytes.
const MAX_QUEUED_BYTES: usize = 8 << 20;

reason_codes! {
    /// Why a link is closed.
    LinkCloseReason {
        /// The peer closed the link or died.
        PeerClosed = "peer-closed",
        /// The peer sent bytes that are not a message.
        Malformed = "peer-malformed",
        /// The peer reads too slowly: the queue is full.
        QueueFull = "peer-queue-full",
        /// A message to be sent does not fit into a frame.
        MessageTooLong = "message-too-long",
        /// A system error.
        System = "link-system-error",
        /// This side closed the link.
        ClosedLocally = "self-closed",
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Open,
    /// No more messages are accepted, but queued frames are still sent.
    Finishing,
    Closed(LinkCloseReason),
}

struct LinkInner {
    number: u64,
    state: Cell<LinkState>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    /// Total length of the queued frames and the frame that is being sent, bytes.
    queued_bytes: Cell<usize>,
    wake_sender: Sender<()>,
}

/// The sending end of a link; clones share it. Sending never waits: frames are queued up to a bound.
#[derive(Clone)]
pub struct Link {
    inner: Rc<LinkInner>,
}

impl Link {
    pub(super) fn new(number: u64, stream: Async<UnixStream>, decoder: Decoder) -> (Link, LinkTask) {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let inner = Rc::new(LinkInner {
            number,
            state: Cell::new(LinkState::Open),
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            wake_sender,
        });
        let link = Link { inner };
        (link.clone(), LinkTask { link, stream, decoder, wake_receiver })
    }

    /// Identifies this link among all links of the process.
    pub fn number(&self) -> u64 {
        self.inner.number
    }

    /// Queues a message. If the message exceeds a frame or the queue is full, the link is closed, and
    /// [`LinkTask::run`] returns the reason.
    pub fn send(&self, message: &Message) {
        if self.inner.state.get() != LinkState::Open {
            return;
        }
        match wire::encode(message) {
            Ok(frame) => self.enqueue(frame),
            Err(_) => self.close_with(LinkCloseReason::MessageTooLong),
        }
    }

    /// Closes the link once all queued messages are sent.
    pub fn finish(&self) {
        if self.inner.state.get() == LinkState::Open {
            self.inner.state.set(LinkState::Finishing);
            self.wake();
        }
    }

    /// Closes the link immediately.
    pub fn close(&self) {
        self.close_with(LinkCloseReason::ClosedLocally);
    }

    fn enqueue(&self, frame: Vec<u8>) {
        let queued_bytes = self.inner.queued_bytes.get() + frame.len();
        if queued_bytes > MAX_QUEUED_BYTES {
            self.close_with(LinkCloseReason::QueueFull);
            return;
        }
        self.inner.queued_bytes.set(queued_bytes);
        self.inner.queue.borrow_mut().push_back(frame);
        self.wake();
    }

    fn close_with(&self, reason: LinkCloseReason) {
        if self.close_reason().is_none() {
            self.inner.state.set(LinkState::Closed(reason));
            self.inner.queue.borrow_mut().clear();
            self.wake();
        }
    }

    fn close_reason(&self) -> Option<LinkCloseReason> {
        match self.inner.state.get() {
            LinkState::Closed(reason) => Some(reason),
            LinkState::Open | LinkState::Finishing => None,
        }
    }

    fn next_frame(&self) -> Option<Vec<u8>> {
        self.inner.queue.borrow_mut().pop_front()
    }

    fn frame_sent(&self, frame: &[u8]) {
        self.inner.queued_bytes.set(self.inner.queued_bytes.get() - frame.len());
    }

    fn wake(&self) {
        // If the channel is full, a wake-up is pending already.
        let _ = self.inner.wake_sender.try_send(());
    }
}

/// Sends and receives the messages of a link; dropping it closes the stream.
pub struct LinkTask {
    link: Link,
    stream: Async<UnixStream>,
    decoder: Decoder,
    wake_receiver: Receiver<()>,
}

impl LinkTask {
    /// Passes each received message to `deliver` until the link is closed; returns the reason.
    pub async fn run(self, mut deliver: impl FnMut(Message)) -> LinkCloseReason {
        let LinkTask { link, stream, mut decoder, wake_receiver } = self;
        let reason = future::or(
            write_messages(&link, &stream, &wake_receiver),
            read_messages(&link, &stream, &mut decoder, &mut deliver),
        )
        .await;
        link.close_with(reason);
        reason
    }
}

/// Sends queued frames. After a write error the reader closes the link, once it has read everything that the
/// peer sent before it disconnected.
async fn write_messages(
    link: &Link,
    mut stream: &Async<UnixStream>,
    wake_receiver: &Receiver<()>,
) -> LinkCloseReason {
    loop {
        if let Some(reason) = link.close_reason() {
            return reason;
        }
        let Some(frame) = link.next_frame() else {
            if link.inner.state.get() == LinkState::Finishing {
                return LinkCloseReason::ClosedLocally;
            }
            let _ = wake_receiver.recv().await;
            continue;
        };
        let closed = async { Err(wait_until_closed(link, wake_receiver).await) };
        let written = async { Ok(stream.write_all(&frame).await) };
        match future::or(written, closed).await {
            Ok(Ok(())) => link.frame_sent(&frame),
            Ok(Err(_)) => return wait_until_closed(link, wake_receiver).await,
            Err(reason) => return reason,
        }
    }
}

async fn wait_until_closed(link: &Link, wake_receiver: &Receiver<()>) -> LinkCloseReason {
    loop {
        if let Some(reason) = link.close_reason() {
            return reason;
        }
        let _ = wake_receiver.recv().await;
    }
}

async fn read_messages(
    link: &Link,
    mut stream: &Async<UnixStream>,
    decoder: &mut Decoder,
    deliver: &mut impl FnMut(Message),
) -> LinkCloseReason {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if let Err(reason) = deliver_complete_messages(link, decoder, deliver) {
            return reason;
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return LinkCloseReason::PeerClosed,
            Ok(received) => {
                decoder.push(&buffer[..received]);
                // Lets other tasks run, however much the peer sends.
                future::yield_now().await;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                return LinkCloseReason::PeerClosed;
            }
            Err(_) => return LinkCloseReason::System,
        }
    }
}

fn deliver_complete_messages(
    link: &Link,
    decoder: &mut Decoder,
    deliver: &mut impl FnMut(Message),
) -> Result<(), LinkCloseReason> {
    loop {
        // A delivered message may have closed the link.
        if let Some(reason) = link.close_reason() {
            return Err(reason);
        }
        match decoder.next_message() {
            Ok(Some(message)) => deliver(message),
            Ok(None) => return Ok(()),
            Err(_) => return Err(LinkCloseReason::Malformed),
        }
    }
}
