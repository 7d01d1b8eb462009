//! What the fronts share at the door: accepting, and the room for connections. It must never know a wire or touch a
//! request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_facts::{Limit, Observer, Turn};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};

use super::connection::Guest;
use super::counters::{Counters, count};
use super::port::{Doors, Input};
use super::status::Status;
use super::sync::Signal;
use crate::deployment::Deployment;

/// Bytes that may be queued over all connections, as a part of the process memory: hundreds that read nothing must
/// not fill it. Past it each may still queue an even share, so that those who read don't pay for those who don't.
const QUEUES_PART: f64 = 0.125;
/// Wait before another look for a free descriptor, ms.
const FULL_MS: f64 = 20.0;
/// Idle time in which a connection that spoke is not asked to give way, ms: its router may be about to use it.
const SPARED_MS: f64 = 500.0;
/// Connections that may wait to be accepted: hundreds come at once, and one that finds no place there comes
/// again only after a second.
const BACKLOG: i32 = 1024;

/// Keeps the connections of all fronts below the limit on descriptors, and sums what they queue.
#[derive(Debug)]
pub struct Room {
    most: usize,
    /// Connections of the other process of this server, which count against the same limit.
    others: Cell<usize>,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
    last: Cell<u64>,
    freed: Signal,
    /// Listening sockets that are open.
    doors: Cell<usize>,
    queued: Cell<usize>,
    queued_most: Cell<usize>,
}

impl Room {
    /// Room for that many connections, in a process that may take so much memory.
    pub fn new(most: usize, memory_mb: f64) -> Self {
        Room {
            most,
            others: Cell::new(0),
            guests: RefCell::default(),
            last: Cell::new(0),
            freed: Signal::default(),
            doors: Cell::new(0),
            queued: Cell::new(0),
            queued_most: Cell::new(queued_most(memory_mb)),
        }
    }

    /// The process may take so much memory from now on.
    pub fn set_memory(&self, memory_mb: f64) {
        self.queued_most.set(queued_most(memory_mb));
    }

    /// Takes a connection in.
    pub fn enter(&self, now: f64) -> Rc<Guest> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let guest = Rc::new(Guest::new(id, now));
        self.guests.borrow_mut().insert(id, guest.clone());
        guest
    }

    /// The other process of this server holds so many connections.
    pub fn set_others(&self, others: usize) {
        self.others.set(others);
        self.freed.wake();
    }

    fn left(&self, id: u64) {
        self.guests.borrow_mut().remove(&id);
        self.freed.wake();
    }

    /// Books what a connection has queued, in bytes, in place of what it had.
    pub fn account(&self, before: usize, now: usize) {
        self.queued.set(self.queued.get() + now - before);
    }

    /// Whether a connection that has so many bytes queued takes more than is left for it.
    pub fn is_queued_full(&self, backlog: usize) -> bool {
        let most = self.queued_most.get();
        self.queued.get() > most && backlog * self.guests.borrow().len() > most
    }

    fn is_full(&self) -> bool {
        self.guests.borrow().len() + self.others.get() >= self.most
    }

    /// Asks one connection to make way that was not asked yet: one that only waits for its other side to close, the
    /// oldest that never spoke, or else the one that was idle longest. Without it hundreds that say nothing, or that ask
    /// once and stay, would shut all routers out.
    fn make_way(&self, now: f64) {
        let guests = self.guests.borrow();
        let unasked = || guests.values().filter(|guest| !guest.is_wanted());
        let lingering = unasked().find(|guest| guest.lingers());
        let silent = || unasked().find(|guest| !guest.spoke.get());
        let idle = || {
            let spare = |g: &&Rc<Guest>| !g.busy.get() && now >= g.used_ms.get() + SPARED_MS;
            unasked().filter(spare).min_by(|a, b| a.used_ms.get().total_cmp(&b.used_ms.get()))
        };
        if let Some(guest) = lingering.or_else(silent).or_else(idle) {
            guest.want();
        }
    }
}

/// Bytes that may be queued over all connections.
fn queued_most(memory_mb: f64) -> usize {
    (memory_mb * 1_048_576.0 * QUEUES_PART) as usize
}

/// A listening socket. While it is there, someone may stand before it.
pub struct Door {
    listener: Async<TcpListener>,
    room: OpenDoor,
}

/// Counts a door as open.
struct OpenDoor(Rc<Room>);

impl Door {
    /// Opens the door to that room.
    pub fn new(listener: Async<TcpListener>, room: &Rc<Room>) -> Self {
        room.doors.set(room.doors.get() + 1);
        Door { listener, room: OpenDoor(room.clone()) }
    }
}

impl Drop for OpenDoor {
    fn drop(&mut self) {
        self.0.doors.set(self.0.doors.get() - 1);
    }
}

impl Doors for Room {
    fn open(&self) -> usize {
        self.doors.get()
    }

    fn connections(&self) -> usize {
        self.guests.borrow().len()
    }
}

/// What every connection of every front needs.
pub struct Front {
    /// Settings and names.
    pub deployment: Rc<Deployment>,
    /// What the core publishes.
    pub status: Rc<Status>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Who is told of limits that are reached.
    pub observer: Rc<dyn Observer>,
    /// The clock.
    pub clock: Clock,
    /// The way to the core.
    pub queue: Sender<Input>,
    /// Room for connections.
    pub room: Rc<Room>,
}

impl Front {
    /// Time after which callers close idle connections, ms. Not told, it is left to them and to the want of room.
    pub fn idle_ms(&self) -> f64 {
        Some(self.deployment.site().settings.idle_ms).filter(|ms| *ms > 0.0).unwrap_or(f64::INFINITY)
    }
}

/// Listens at an address at which other processes of this user may listen too: one that is started beside this one, and
/// cannot reach it.
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(socket.into())
}

/// What a listener turns to.
enum Next {
    /// A connection, or why there is none.
    Accepted(io::Result<Async<TcpStream>>),
    /// Accepting was switched off or on.
    Changed,
    /// The end.
    Shut,
}

/// Accepts connections until the core shuts the doors and nobody stands before this one; `serve` has each, of `most` at
/// a time. What it returns is the reason code of the end.
pub async fn listen<F: Future<Output = &'static str> + 'static>(
    name: &'static str,
    Door { listener, room: _open }: Door,
    most: usize,
    front: Rc<Front>,
    executor: Rc<LocalExecutor<'static>>,
    serve: impl Fn(Rc<Async<TcpStream>>, Rc<Guest>) -> F,
) {
    let mine = Rc::new(Cell::new(0));
    if let Err(error) = rustix::net::listen(&listener, BACKLOG) {
        tracing::warn!(%error, "backlog-not-set");
    }
    loop {
        let shut = async {
            front.status.shut.passed().await;
            Next::Shut
        };
        if !front.status.accepting.is_on() {
            let resumed = async {
                front.status.accepting.until(true).await;
                Next::Changed
            };
            match future::or(resumed, shut).await {
                Next::Shut => break,
                _ => continue,
            }
        }
        if front.room.is_full() || mine.get() >= most {
            // Descriptors are kept for the links; those that knock wait in the backlog until one gives way.
            // Nobody is asked to go before one knocks, or all are to go anyhow.
            let knocks = async { listener.readable().await.is_ok() };
            let freed = async {
                front.room.freed.wait().await;
                false
            };
            let shut = async {
                shut.await;
                false
            };
            if future::or(knocks, future::or(freed, shut)).await {
                if front.room.is_full() {
                    front.room.make_way(front.clock.now());
                    front.observer.turn(front.clock.now(), Turn::Reached(Limit::Connections));
                }
                future::or(front.room.freed.wait(), front.clock.pause(FULL_MS)).await;
            }
            continue;
        }
        // Those in the backlog come before the end: dropped with the listener, they would be lost.
        let accepted = async { Next::Accepted(listener.accept().await.map(|(stream, _)| stream)) };
        let paused = async {
            front.status.accepting.until(false).await;
            Next::Changed
        };
        match future::or(paused, future::or(accepted, shut)).await {
            Next::Changed => {}
            Next::Accepted(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                count(&front.counters.connections);
                let began = front.clock.now();
                let guest = front.room.enter(began);
                mine.set(mine.get() + 1);
                let served = serve(Rc::new(stream), guest.clone());
                let (front, mine) = (front.clone(), mine.clone());
                let connection = async move {
                    // With it the socket is closed.
                    let reason = served.await;
                    front.room.left(guest.id);
                    mine.set(mine.get() - 1);
                    count(&front.counters.connections_ended);
                    tracing::info!(
                        conn = guest.id,
                        front = name,
                        reason,
                        read = guest.read.get(),
                        answered = guest.answered.get(),
                        after_ms = (front.clock.now() - began).round(),
                        "conn-ended"
                    );
                    let _ = front.queue.send(Input::Closed(guest.id)).await;
                };
                executor.spawn(connection).detach();
                // Each gets to read before another is asked to make way.
                future::yield_now().await;
            }
            Next::Accepted(Err(error)) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Next::Accepted(Err(error)) => {
                tracing::warn!(%error, "accept-failed");
                front.clock.pause(FULL_MS).await;
            }
            Next::Shut => break,
        }
    }
    // The socket goes before the door counts as shut.
    drop(listener);
}
