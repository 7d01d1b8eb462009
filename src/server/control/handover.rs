//! The transport of a handover: the links to the other process of this server, and the socket that accepts a
//! successor. It owns the tasks of both. The core decides which process serves and which process owns a key.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::{Rc, Weak};

use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_handover::io::{Accepted, Acceptor, Connected, Link, LinkTask, connect};
use pinepoint_handover::message::Message;
use pinepoint_handover::successor::RECONNECT_MS;

use crate::server::control::status::Status;
use crate::server::core::api::{HandoverTransport, PeerEvent, PeerInbox};
use crate::server::frontend::limiter::ConnectionLimiter;
use crate::server::sync::Notify;

/// Descriptors that the other process uses in addition to its client connections.
const PEER_RESERVED_DESCRIPTORS: usize = 20;
/// Maximum number of connected successors that wait to be processed.
const MAX_PENDING_SUCCESSORS: usize = 4;

/// The parts of the process that the links use.
pub struct HandoverContext {
    /// The path of the socket on which a process accepts its successor.
    pub path: PathBuf,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The clock.
    pub clock: Clock,
    /// The published state, through which the core is woken.
    pub status: Rc<Status>,
    /// The limit of connections, which both processes share.
    pub limiter: Rc<ConnectionLimiter>,
    /// Queue through which the core receives the events of the links.
    pub inbox: Rc<PeerInbox>,
}

/// The process at the other end of a link. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Predecessor,
    Successor,
}

impl Peer {
    fn message_received(self, message: Message) -> PeerEvent {
        match self {
            Peer::Predecessor => PeerEvent::FromPredecessor(message),
            Peer::Successor => PeerEvent::FromSuccessor(message),
        }
    }

    fn link_lost(self) -> PeerEvent {
        match self {
            Peer::Predecessor => PeerEvent::PredecessorLost,
            Peer::Successor => PeerEvent::SuccessorLost,
        }
    }
}

/// The links to the other process, at most one to a predecessor and one to a successor.
pub struct HandoverLinks {
    context: HandoverContext,
    /// This value. The tasks of the links hold upgraded references, which keep the value alive.
    this: Weak<HandoverLinks>,
    predecessor: RefCell<Option<Link>>,
    successor: RefCell<Option<Link>>,
    /// The listening sockets that are passed to a successor.
    listeners: RefCell<Vec<TcpListener>>,
    /// The socket on which a successor is accepted, with its task.
    acceptor: RefCell<Option<(Rc<Acceptor>, Task<()>)>>,
    /// The number of the next link.
    next_number: Cell<u64>,
    /// Number of links whose tasks are running.
    running: Cell<usize>,
    /// Woken when the task of a link has ended.
    link_ended: Notify,
}

impl HandoverLinks {
    /// Starts with the link to the predecessor that was found at startup, if any. `listeners` are passed to a
    /// successor in this order.
    pub fn new(
        context: HandoverContext,
        listeners: Vec<TcpListener>,
        predecessor: Option<(Link, LinkTask)>,
    ) -> Rc<HandoverLinks> {
        let links = Rc::new_cyclic(|this| HandoverLinks {
            context,
            this: this.clone(),
            predecessor: RefCell::default(),
            successor: RefCell::default(),
            listeners: RefCell::new(listeners),
            acceptor: RefCell::default(),
            next_number: Cell::new(1),
            running: Cell::new(0),
            link_ended: Notify::default(),
        });
        if let Some((link, task)) = predecessor {
            links.attach(Peer::Predecessor, link, task);
        }
        links
    }

    /// Sends the queued messages and ends the links, within `timeout_ms`.
    pub async fn finish(&self, timeout_ms: f64) {
        for peer in [Peer::Predecessor, Peer::Successor] {
            if let Some(link) = &*self.current(peer).borrow() {
                link.finish();
            }
        }
        let all_ended = async {
            while self.running.get() > 0 {
                self.link_ended.wait().await;
            }
        };
        future::or(all_ended, self.context.clock.pause(timeout_ms)).await;
    }

    fn current(&self, peer: Peer) -> &RefCell<Option<Link>> {
        match peer {
            Peer::Predecessor => &self.predecessor,
            Peer::Successor => &self.successor,
        }
    }

    fn is_current(&self, peer: Peer, number: u64) -> bool {
        self.current(peer).borrow().as_ref().is_some_and(|link| link.number() == number)
    }

    /// Passes an event on to the core.
    fn notify_core(&self, event: PeerEvent) {
        self.context.inbox.push(event);
        self.context.status.core_wakeup.wake();
    }

    fn take_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Makes `link` the current link to `peer` and runs it.
    fn attach(&self, peer: Peer, link: Link, task: LinkTask) {
        let Some(this) = self.this.upgrade() else { return };
        let number = link.number();
        *self.current(peer).borrow_mut() = Some(link);
        self.running.set(self.running.get() + 1);
        self.context.executor.spawn(this.run_link(peer, number, task)).detach();
    }

    /// Runs a link to its end. A link that was dropped or replaced meanwhile reports nothing to the core.
    async fn run_link(self: Rc<Self>, peer: Peer, number: u64, task: LinkTask) {
        let deliver = |message| {
            if self.is_current(peer, number) {
                self.notify_core(peer.message_received(message));
            }
        };
        let end = task.run(deliver).await;
        tracing::info!(side = ?peer, reason = %end, "handover-link-ended");
        if self.is_current(peer, number) {
            *self.current(peer).borrow_mut() = None;
            self.notify_core(peer.link_lost());
        }
        self.running.set(self.running.get() - 1);
        self.link_ended.wake();
    }

    fn drop_link(&self, peer: Peer) {
        if let Some(link) = self.current(peer).borrow_mut().take() {
            link.close();
        }
    }

    fn send(&self, peer: Peer, message: &Message) {
        if let Some(link) = &*self.current(peer).borrow() {
            link.send(message);
        }
    }

    /// Accepts successors, one at a time.
    async fn accept(self: Rc<Self>, acceptor: Rc<Acceptor>) {
        let (accepted, successors) = async_channel::bounded(MAX_PENDING_SUCCESSORS);
        // Link numbers are unique: the acceptor numbers its links upwards from here.
        let first_number = self.take_number() << 32;
        let accept = acceptor.run(first_number, self.context.executor.clone(), accepted);
        let take = async {
            while let Ok(Accepted { link, task }) = successors.recv().await {
                if self.successor.borrow().is_some() {
                    tracing::warn!("second-successor-refused");
                    link.close();
                    continue;
                }
                self.attach(Peer::Successor, link, task);
                self.notify_core(PeerEvent::SuccessorFound);
            }
        };
        future::or(accept, take).await;
    }
}

impl HandoverTransport for HandoverLinks {
    fn send_to_predecessor(&self, message: &Message) {
        self.send(Peer::Predecessor, message);
    }

    fn send_to_successor(&self, message: &Message) {
        self.send(Peer::Successor, message);
    }

    fn drop_predecessor(&self) {
        self.drop_link(Peer::Predecessor);
    }

    fn drop_successor(&self) {
        self.drop_link(Peer::Successor);
    }

    fn find_predecessor(&self) {
        let Some(this) = self.this.upgrade() else { return };
        let find = async move {
            this.context.clock.pause(RECONNECT_MS).await;
            match connect(&this.context.path, this.take_number()).await {
                // This process already has the listening sockets of its predecessor.
                Ok(Connected { hello, listeners: _, link, task }) => {
                    this.attach(Peer::Predecessor, link, task);
                    this.notify_core(PeerEvent::PredecessorFound(hello));
                }
                Err(reason) => this.notify_core(PeerEvent::NoPredecessor(reason)),
            }
        };
        self.context.executor.spawn(find).detach();
    }

    fn listen_for_successor(&self) {
        let Some(this) = self.this.upgrade() else { return };
        let listeners = self.listeners.borrow();
        let listeners: Vec<&TcpListener> = listeners.iter().collect();
        match Acceptor::bind(&self.context.path, &listeners) {
            Ok(acceptor) => {
                let acceptor = Rc::new(acceptor);
                let task = self.context.executor.spawn(this.accept(acceptor.clone()));
                *self.acceptor.borrow_mut() = Some((acceptor, task));
            }
            // Without this socket the next upgrade has no handover; nothing else depends on it.
            Err(error) => {
                tracing::warn!(path = %self.context.path.display(), %error, "handover-off");
            }
        }
    }

    fn release_listeners(&self) {
        self.listeners.borrow_mut().clear();
        if let Some((acceptor, _)) = &*self.acceptor.borrow() {
            acceptor.release();
        }
    }

    fn set_peer_connections(&self, connections: usize) {
        let reserved = if self.predecessor.borrow().is_some() { PEER_RESERVED_DESCRIPTORS } else { 0 };
        self.context.limiter.set_peer_connections(connections + reserved);
    }
}
