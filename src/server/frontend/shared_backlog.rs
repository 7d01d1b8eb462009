//! Frees capacity for the successor of this process. Both processes count their connections against one
//! limit, and only the successor accepts. When it is full, it cannot close connections of this process for a
//! connection in the backlog. The backlog is visible on the listening socket, which both processes have open.
//! Independent of protocols and requests.

use std::net::TcpListener;

use async_io::Async;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::server::frontend::connection::LINGER_MS;
use crate::server::frontend::connection_state::GO_AWAY_TIMEOUT_MS;
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::limiter::{Eviction, EvictionScope};

/// Time in which a successor with capacity accepts the connections in the backlog, ms.
const ACCEPT_TIME_MS: f64 = 20.0;
/// Time between two rounds of evictions, ms. In this time the evicted connections close, and the successor is
/// notified of the free capacity and accepts.
const ROUND_MS: f64 = 20.0;

/// How long a terminating process watches the backlog, ms. By then its idle connections are closed, lingering
/// included. The process must not keep the listening socket until its end: if the successor terminates as
/// well and has closed its socket, new connections have to be refused, not left waiting in a backlog that no
/// process accepts from.
pub const MAX_WATCH_WHILE_LEAVING_MS: f64 = GO_AWAY_TIMEOUT_MS + LINGER_MS;

/// Maximum number of connections that are evicted in one round. The first round evicts one, as one is often
/// enough; the number then doubles up to this maximum, as a caller waits during the rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPace {
    /// Callers use this process. A successor that hangs looks like a full successor and must not attract all
    /// callers.
    Serving = 1,
    /// Callers are asked to disconnect: the evicted connections would close shortly anyway.
    Leaving = 64,
}

/// Evicts connections of this process, as for its own listener, whenever a connection waits in the backlog of
/// `listener` and the successor does not accept it. Does not complete while the successor serves.
pub async fn yield_capacity(listener: &Async<TcpListener>, context: &FrontendContext, pace: EvictionPace) {
    let watch = async {
        while listener.readable().await.is_ok() {
            context.clock.pause(ACCEPT_TIME_MS).await;
            evict_until_accepted(listener, context, pace).await;
        }
        future::pending().await
    };
    future::or(context.status.successor_serves.wait_for(false), watch).await;
}

/// Evicts connections in rounds until the backlog is empty.
async fn evict_until_accepted(listener: &Async<TcpListener>, context: &FrontendContext, pace: EvictionPace) {
    let (mut evicted, mut round_size) = (0, 1);
    while has_waiting_connection(listener) {
        let now_ms = context.clock.now();
        let evict =
            |_: &usize| context.limiter.evict_one(EvictionScope::Process, now_ms) == Eviction::Requested;
        evicted += (0..round_size).filter(evict).count();
        round_size = (round_size * 2).min(pace as usize);
        context.clock.pause(ROUND_MS).await;
    }
    if evicted > 0 {
        tracing::info!(evicted, left = context.limiter.usage().own, "evicted-for-successor");
    }
}

/// Whether a connection waits in the backlog of a listening socket.
fn has_waiting_connection(listener: &Async<TcpListener>) -> bool {
    let mut polled = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}
