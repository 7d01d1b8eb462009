//! Accepts the connections of one listening socket, within the limits of the process and of its frontend, and
//! spawns a task for each. Independent of protocols and requests.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use pinepoint_events::{ProcessEvent, Protocol, ReasonCode, ResourceLimit};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};

use crate::server::core::api::CoreInput;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::limiter::{
    ConnectionLimiter, ConnectionUsage, Eviction, EvictionScope, ListenerGuard,
};
use crate::server::frontend::shared_backlog::{EvictionPace, MAX_WATCH_WHILE_LEAVING_MS, yield_capacity};
use crate::server::observability::counters::count;

/// Wait before the next attempt if there is no capacity or no free descriptor, ms.
const FULL_RETRY_MS: f64 = 20.0;
/// Minimum duration of a wait for capacity that is logged when it ends, ms. A caller waits in the backlog
/// meanwhile.
const LOGGED_WAIT_MS: f64 = 100.0;
/// Maximum number of connections that wait to be accepted: hundreds arrive at once, and a caller that finds
/// the queue full tries again only after a second.
const ACCEPT_BACKLOG: i32 = 1024;

/// A listening socket. It counts as open until it is dropped, which closes it.
pub struct Listener {
    // Fields are dropped in this order: the socket counts as open until it is closed.
    socket: Async<TcpListener>,
    _open: ListenerGuard,
}

impl Listener {
    /// Counts `socket` as open in `limiter`.
    pub fn new(socket: Async<TcpListener>, limiter: &Rc<ConnectionLimiter>) -> Self {
        Listener { socket, _open: ListenerGuard::new(limiter) }
    }
}

/// Listens at an address that other processes of this user may share: a successor that cannot connect to this
/// process for a handover listens at it, too.
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections until the core stops accepting and none waits to be accepted. `serve` handles each
/// connection, at most `max_connections` at a time, and returns the reason code of its end.
pub async fn listen<F: Future<Output = &'static str> + 'static>(
    protocol: Protocol,
    listener: Listener,
    max_connections: usize,
    context: Rc<FrontendContext>,
    executor: Rc<LocalExecutor<'static>>,
    serve: impl Fn(Rc<Async<TcpStream>>, Rc<ConnectionState>) -> F,
) {
    if let Err(error) = rustix::net::listen(&listener.socket, ACCEPT_BACKLOG) {
        tracing::warn!(%error, "backlog-not-set");
    }
    let open_connections = Rc::new(Cell::new(0));
    let full_since_ms = Cell::new(None);
    let acceptor =
        Acceptor { protocol, listener, max_connections, open_connections, full_since_ms, context, executor };
    while acceptor.step(&serve).await.is_continue() {}
    acceptor.close().await;
}

/// Accepts the connections of one listening socket.
struct Acceptor {
    /// The protocol of the accepted connections.
    protocol: Protocol,
    listener: Listener,
    max_connections: usize,
    /// Number of connections that were accepted on this socket and are not closed.
    open_connections: Rc<Cell<usize>>,
    /// Since when a connection waits for capacity, Unix ms.
    full_since_ms: Cell<Option<f64>>,
    context: Rc<FrontendContext>,
    executor: Rc<LocalExecutor<'static>>,
}

/// The event that ends the wait for capacity.
enum CapacityEvent {
    /// A connection waits to be accepted, or the core has stopped accepting and the rest of the backlog is
    /// accepted now.
    Needed,
    /// The capacity has changed, or waiting for a connection failed.
    Changed,
}

impl Acceptor {
    /// Performs one step; breaks when the core has stopped accepting and no connection waits.
    async fn step<F: Future<Output = &'static str> + 'static>(
        &self,
        serve: &impl Fn(Rc<Async<TcpStream>>, Rc<ConnectionState>) -> F,
    ) -> ControlFlow<()> {
        if !self.context.status.accepting.is_on() {
            return self.resumed().await;
        }
        if self.is_full() {
            self.make_capacity().await;
            return ControlFlow::Continue(());
        }
        self.log_wait_for_capacity();
        match self.accept_waiting() {
            Ok(stream) => {
                self.spawn(stream, serve);
                // The new connection can read before the next one causes an eviction.
                future::yield_now().await;
            }
            // Does not accept at once: when a connection arrives, other connections may have taken the
            // capacity.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return self.next_connection().await,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                tracing::warn!(%error, "accept-failed");
                self.context.clock.pause(FULL_RETRY_MS).await;
            }
        }
        ControlFlow::Continue(())
    }

    /// Accepts a connection that waits in the backlog.
    fn accept_waiting(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.listener.socket.get_ref().accept()?;
        Async::new(stream)
    }

    /// Completes when accepting is switched on, or breaks when the core has stopped it permanently. Meanwhile
    /// a successor may accept on the same socket and lack capacity that connections of this process occupy.
    async fn resumed(&self) -> ControlFlow<()> {
        let resumed = async {
            self.context.status.accepting.wait_for(true).await;
            ControlFlow::Continue(())
        };
        let stopped = async {
            self.context.status.stop_accepting.wait().await;
            ControlFlow::Break(())
        };
        let yielding = async {
            loop {
                self.context.status.successor_serves.wait_for(true).await;
                yield_capacity(&self.listener.socket, &self.context, EvictionPace::Serving).await;
            }
        };
        future::or(resumed, future::or(stopped, yielding)).await
    }

    /// Closes the listening socket. If a successor accepts on it, the socket stays open for a while but no
    /// longer counts as open: it belongs to the successor, and it shows whether connections wait for capacity
    /// that connections of this process occupy.
    async fn close(self) {
        let Listener { socket, _open: open } = self.listener;
        if self.context.status.successor_serves.is_on() {
            drop(open);
            let watch = yield_capacity(&socket, &self.context, EvictionPace::Leaving);
            future::or(watch, self.context.clock.pause(MAX_WATCH_WHILE_LEAVING_MS)).await;
        } else {
            drop(socket);
            drop(open);
        }
    }

    fn is_full(&self) -> bool {
        self.context.limiter.is_full() || self.open_connections.get() >= self.max_connections
    }

    /// Waits for capacity, and asks a connection to close for another that waits to be accepted. Descriptors
    /// are kept free for the links, so connections wait in the backlog until another is closed. No connection
    /// is evicted before one waits, unless the core has stopped accepting and all connections are about to
    /// close.
    async fn make_capacity(&self) {
        let FrontendContext { limiter, clock, observer, .. } = &*self.context;
        if let CapacityEvent::Changed = self.capacity_event().await {
            return;
        }
        self.full_since_ms.set(self.full_since_ms.get().or(Some(clock.now())));
        let eviction = if limiter.is_full() {
            observer.process_event(clock.now(), ProcessEvent::LimitReached(ResourceLimit::Connections));
            limiter.evict_one(EvictionScope::Process, clock.now())
        } else if self.is_full() {
            limiter.evict_one(EvictionScope::Protocol(self.protocol), clock.now())
        } else {
            return;
        };
        let changed = future::or(limiter.capacity_change(), clock.pause(FULL_RETRY_MS));
        match eviction {
            Eviction::Deferred => future::or(limiter.first_message(), changed).await,
            Eviction::Requested | Eviction::NoCandidate => changed.await,
        }
    }

    /// Logs how long a connection waited for capacity if the wait was long. Nothing else shows this wait, as
    /// a connection in the backlog is not registered anywhere.
    fn log_wait_for_capacity(&self) {
        let Some(since_ms) = self.full_since_ms.take() else { return };
        let waited_ms = (self.context.clock.now() - since_ms).round();
        if waited_ms >= LOGGED_WAIT_MS {
            let ConnectionUsage { own, peer, limit } = self.context.limiter.usage();
            tracing::info!(front = self.protocol.code(), waited_ms, own, peer, limit, "accept-delayed");
        }
    }

    async fn capacity_event(&self) -> CapacityEvent {
        let waiting = async {
            match self.listener.socket.readable().await {
                Ok(()) => CapacityEvent::Needed,
                Err(_) => CapacityEvent::Changed,
            }
        };
        let changed = async {
            self.context.limiter.capacity_change().await;
            CapacityEvent::Changed
        };
        let stopped = async {
            self.context.status.stop_accepting.wait().await;
            CapacityEvent::Needed
        };
        future::or(waiting, future::or(changed, stopped)).await
    }

    /// Completes when a connection waits in the backlog or accepting is paused; breaks when the core has
    /// stopped accepting permanently and none waits. The backlog is accepted first: its connections would be
    /// lost with the listener.
    async fn next_connection(&self) -> ControlFlow<()> {
        let paused = async {
            self.context.status.accepting.wait_for(false).await;
            ControlFlow::Continue(())
        };
        let waiting = async {
            if let Err(error) = self.listener.socket.readable().await {
                tracing::warn!(%error, "accept-failed");
                self.context.clock.pause(FULL_RETRY_MS).await;
            }
            ControlFlow::Continue(())
        };
        let stopped = async {
            self.context.status.stop_accepting.wait().await;
            ControlFlow::Break(())
        };
        future::or(paused, future::or(waiting, stopped)).await
    }

    /// Registers a connection and spawns a task that serves it.
    fn spawn<F: Future<Output = &'static str> + 'static>(
        &self,
        stream: Async<TcpStream>,
        serve: &impl Fn(Rc<Async<TcpStream>>, Rc<ConnectionState>) -> F,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        count(&self.context.counters.connections);
        let accepted_ms = self.context.clock.now();
        let state = self.context.limiter.register(self.protocol, accepted_ms);
        self.open_connections.set(self.open_connections.get() + 1);
        let connection = AcceptedConnection {
            accepted_ms,
            served: serve(Rc::new(stream), state.clone()),
            state,
            open_connections: self.open_connections.clone(),
            context: self.context.clone(),
        };
        self.executor.spawn(connection.run()).detach();
    }
}

/// A registered connection until its end is reported to the core.
struct AcceptedConnection<F> {
    /// When the connection was accepted, Unix ms.
    accepted_ms: f64,
    /// The future that serves the connection and owns its socket.
    served: F,
    state: Rc<ConnectionState>,
    open_connections: Rc<Cell<usize>>,
    context: Rc<FrontendContext>,
}

impl<F: Future<Output = &'static str>> AcceptedConnection<F> {
    async fn run(self) {
        let AcceptedConnection { accepted_ms, served, state, open_connections, context } = self;
        // The socket is closed when this future has completed.
        let reason = served.await;
        context.limiter.unregister(state.id);
        open_connections.set(open_connections.get() - 1);
        count(&context.counters.connections_ended);
        tracing::info!(
            conn = state.id,
            front = state.protocol.code(),
            reason,
            read = state.requests_read.get(),
            answered = state.requests_answered.get(),
            after_ms = (context.clock.now() - accepted_ms).round(),
            "conn-ended"
        );
        let _ = context.queue.send(CoreInput::ConnectionClosed { caller: state.id }).await;
    }
}
