//! Accepting connections, the same for every front. It must never know a wire or touch a request.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use pinepoint_events::{ProcessEvent, ResourceLimit};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};

use crate::server::core::api::CoreInput;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::limiter::{ConnectionLimiter, ListenerGuard};
use crate::server::observability::counters::count;

/// Wait before another look for a free descriptor, ms.
const FULL_RETRY_MS: f64 = 20.0;
/// Connections that may wait to be accepted: hundreds come at once, and one that finds no place there comes
/// again only after a second.
const ACCEPT_BACKLOG: i32 = 1024;

/// A listening socket. While it is there, someone may stand before it.
pub struct Listener {
    listener: Async<TcpListener>,
    limiter: ListenerGuard,
}

impl Listener {
    /// Opens the door to that room.
    pub fn new(listener: Async<TcpListener>, limiter: &Rc<ConnectionLimiter>) -> Self {
        Listener { listener, limiter: ListenerGuard::new(limiter) }
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
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
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

/// Accepts connections until the core shuts the doors and nobody stands before this one; `serve` has each, of `max_connections` at
/// a time. What it returns is the reason code of the end.
pub async fn listen<F: Future<Output = &'static str> + 'static>(
    name: &'static str,
    Listener { listener, limiter: _open }: Listener,
    max_connections: usize,
    context: Rc<FrontendContext>,
    executor: Rc<LocalExecutor<'static>>,
    serve: impl Fn(Rc<Async<TcpStream>>, Rc<ConnectionState>) -> F,
) {
    let open_connections = Rc::new(Cell::new(0));
    if let Err(error) = rustix::net::listen(&listener, ACCEPT_BACKLOG) {
        tracing::warn!(%error, "backlog-not-set");
    }
    loop {
        let shut = async {
            context.status.stop_accepting.passed().await;
            Next::Shut
        };
        if !context.status.accepting.is_on() {
            let resumed = async {
                context.status.accepting.until(true).await;
                Next::Changed
            };
            match future::or(resumed, shut).await {
                Next::Shut => break,
                _ => continue,
            }
        }
        if context.limiter.is_full() || open_connections.get() >= max_connections {
            // Descriptors are kept for the links; those that knock wait in the backlog until one gives way.
            // Nobody is asked to go before one knocks, or all are to go anyhow.
            let knocks = async { listener.readable().await.is_ok() };
            let capacity_change = async {
                context.limiter.capacity_change().await;
                false
            };
            // Whoever waits in the backlog then still has a turn, a moment later.
            let shut = async {
                shut.await;
                true
            };
            if future::or(knocks, future::or(capacity_change, shut)).await {
                if context.limiter.is_full() {
                    context.limiter.evict_one(context.clock.now());
                    context.observer.process_event(
                        context.clock.now(),
                        ProcessEvent::LimitReached(ResourceLimit::Connections),
                    );
                }
                future::or(context.limiter.capacity_change(), context.clock.pause(FULL_RETRY_MS)).await;
            }
            continue;
        }
        // Those in the backlog come before the end: dropped with the listener, they would be lost.
        let accepted = async { Next::Accepted(listener.accept().await.map(|(stream, _)| stream)) };
        let paused = async {
            context.status.accepting.until(false).await;
            Next::Changed
        };
        match future::or(paused, future::or(accepted, shut)).await {
            Next::Changed => {}
            Next::Accepted(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                count(&context.counters.connections);
                let began = context.clock.now();
                let state = context.limiter.register(began);
                open_connections.set(open_connections.get() + 1);
                let served = serve(Rc::new(stream), state.clone());
                let (context, open_connections) = (context.clone(), open_connections.clone());
                let connection = async move {
                    // With it the socket is closed.
                    let reason = served.await;
                    context.limiter.unregister(state.id);
                    open_connections.set(open_connections.get() - 1);
                    count(&context.counters.connections_ended);
                    tracing::info!(
                        conn = state.id,
                        front = name,
                        reason,
                        read = state.read.get(),
                        answered = state.answered.get(),
                        after_ms = (context.clock.now() - began).round(),
                        "conn-ended"
                    );
                    let _ = context.queue.send(CoreInput::ConnectionClosed { caller: state.id }).await;
                };
                executor.spawn(connection).detach();
                // Each gets to read before another is asked to make way.
                future::yield_now().await;
            }
            Next::Accepted(Err(error)) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Next::Accepted(Err(error)) => {
                tracing::warn!(%error, "accept-failed");
                context.clock.pause(FULL_RETRY_MS).await;
            }
            Next::Shut => break,
        }
    }
    // The socket goes before the door counts as shut.
    drop(listener);
}
