//! Carries out what the core decides in a handover: the links to the other process of this server, and the socket on which a
//! successor is awaited. It owns their tasks; it must never decide which process serves or owns a key.

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

/// Descriptors that the other process holds beside the connections of its callers.
const OTHER_DESCRIPTORS: usize = 20;
/// Successors that have connected and wait to be looked at.
const ACCEPTED_MOST: usize = 4;

/// What the links need of the process.
pub struct HandoverContext {
    /// The socket that both processes know.
    pub path: PathBuf,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The clock.
    pub clock: Clock,
    /// Wakes the core.
    pub status: Rc<Status>,
    /// Room for connections, which both processes share.
    pub limiter: Rc<ConnectionLimiter>,
    /// What the core is told.
    pub inbox: Rc<PeerInbox>,
}

/// Which of the two other processes a link leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Predecessor,
    Successor,
}

impl Side {
    fn message(self, message: Message) -> PeerEvent {
        match self {
            Side::Predecessor => PeerEvent::FromPredecessor(message),
            Side::Successor => PeerEvent::FromSuccessor(message),
        }
    }

    fn lost(self) -> PeerEvent {
        match self {
            Side::Predecessor => PeerEvent::PredecessorLost,
            Side::Successor => PeerEvent::SuccessorLost,
        }
    }
}

/// The links.
pub struct HandoverLinks {
    host: HandoverContext,
    this: Weak<HandoverLinks>,
    predecessor: RefCell<Option<Link>>,
    successor: RefCell<Option<Link>>,
    listeners: RefCell<Vec<TcpListener>>,
    acceptor: RefCell<Option<(Rc<Acceptor>, Task<()>)>>,
    /// Names the next link.
    next_number: Cell<u64>,
    /// Links whose tasks run.
    running: Cell<usize>,
    ended: Notify,
}

impl HandoverLinks {
    /// Without any link but that to the predecessor which was `found` at the start. `listeners` are the listening sockets, passed
    /// to a successor in this order.
    pub fn new(
        host: HandoverContext,
        listeners: Vec<TcpListener>,
        found: Option<(Link, LinkTask)>,
    ) -> Rc<HandoverLinks> {
        let links = Rc::new_cyclic(|this| HandoverLinks {
            host,
            this: this.clone(),
            predecessor: RefCell::default(),
            successor: RefCell::default(),
            listeners: RefCell::new(listeners),
            acceptor: RefCell::default(),
            next_number: Cell::new(1),
            running: Cell::new(0),
            ended: Notify::default(),
        });
        if let Some((link, task)) = found {
            links.attach(Side::Predecessor, link, task);
        }
        links
    }

    /// Sends what waits and ends the links, within this time.
    pub async fn finish(&self, within_ms: f64) {
        for side in [Side::Predecessor, Side::Successor] {
            if let Some(link) = &*self.current(side).borrow() {
                link.finish();
            }
        }
        let ended = async {
            while self.running.get() > 0 {
                self.ended.wait().await;
            }
        };
        future::or(ended, self.host.clock.pause(within_ms)).await;
    }

    fn current(&self, side: Side) -> &RefCell<Option<Link>> {
        match side {
            Side::Predecessor => &self.predecessor,
            Side::Successor => &self.successor,
        }
    }

    fn is_current(&self, side: Side, number: u64) -> bool {
        self.current(side).borrow().as_ref().is_some_and(|link| link.number() == number)
    }

    fn tell(&self, input: PeerEvent) {
        self.host.inbox.push(input);
        self.host.status.core_wakeup.wake();
    }

    fn number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Makes this the link to that side, and runs it.
    fn attach(&self, side: Side, link: Link, task: LinkTask) {
        let Some(this) = self.this.upgrade() else { return };
        let number = link.number();
        *self.current(side).borrow_mut() = Some(link);
        self.running.set(self.running.get() + 1);
        let run = async move {
            let deliver = |message| {
                if this.is_current(side, number) {
                    this.tell(side.message(message));
                }
            };
            let end = task.run(deliver).await;
            tracing::info!(?side, reason = %end, "handover-link-ended");
            if this.is_current(side, number) {
                *this.current(side).borrow_mut() = None;
                this.tell(side.lost());
            }
            this.running.set(this.running.get() - 1);
            this.ended.wake();
        };
        self.host.executor.spawn(run).detach();
    }

    fn drop_link(&self, side: Side) {
        if let Some(link) = self.current(side).borrow_mut().take() {
            link.close();
        }
    }

    fn send(&self, side: Side, message: &Message) {
        if let Some(link) = &*self.current(side).borrow() {
            link.send(message);
        }
    }

    /// Hands on those who connect, one at a time.
    async fn accept(self: Rc<Self>, acceptor: Rc<Acceptor>) {
        let (accepted, peers) = async_channel::bounded(ACCEPTED_MOST);
        // Links are told apart by their numbers: those of an acceptor are its own.
        let first_number = self.number() << 32;
        let acceptor = acceptor.run(first_number, self.host.executor.clone(), accepted);
        let take = async {
            while let Ok(Accepted { link, task }) = peers.recv().await {
                if self.successor.borrow().is_some() {
                    tracing::warn!("second-successor-refused");
                    link.close();
                    continue;
                }
                self.attach(Side::Successor, link, task);
                self.tell(PeerEvent::SuccessorFound);
            }
        };
        future::or(acceptor, take).await;
    }
}

impl HandoverTransport for HandoverLinks {
    fn send_to_predecessor(&self, message: &Message) {
        self.send(Side::Predecessor, message);
    }

    fn send_to_successor(&self, message: &Message) {
        self.send(Side::Successor, message);
    }

    fn drop_predecessor(&self) {
        self.drop_link(Side::Predecessor);
    }

    fn drop_successor(&self) {
        self.drop_link(Side::Successor);
    }

    fn find_predecessor(&self) {
        let Some(this) = self.this.upgrade() else { return };
        let find = async move {
            this.host.clock.pause(RECONNECT_MS).await;
            match connect(&this.host.path, this.number()).await {
                // Its listening sockets are those that this process has already.
                Ok(Connected { hello, listeners: _, link, task }) => {
                    this.attach(Side::Predecessor, link, task);
                    this.tell(PeerEvent::PredecessorFound(hello));
                }
                Err(why) => this.tell(PeerEvent::NoPredecessor(why)),
            }
        };
        self.host.executor.spawn(find).detach();
    }

    fn listen_for_successor(&self) {
        let Some(this) = self.this.upgrade() else { return };
        let listeners = self.listeners.borrow();
        let listeners: Vec<&TcpListener> = listeners.iter().collect();
        match Acceptor::bind(&self.host.path, &listeners) {
            Ok(acceptor) => {
                let acceptor = Rc::new(acceptor);
                let task = self.host.executor.spawn(this.accept(acceptor.clone()));
                *self.acceptor.borrow_mut() = Some((acceptor, task));
            }
            // An upgrade will not be handed over; nothing else depends on it.
            Err(error) => {
                tracing::warn!(path = %self.host.path.display(), %error, "handover-off");
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
        let own = if self.predecessor.borrow().is_some() { OTHER_DESCRIPTORS } else { 0 };
        self.host.limiter.set_peer_connections(connections + own);
    }
}
