//! Gives capacity to the successor of this process. Both count their connections against one limit, and only the successor
//! accepts: where it is full, it cannot close connections of this process for one that waits in the backlog. What waits
//! there shows on the listening socket, which both hold. It knows nothing of protocols and requests.

use std::net::TcpListener;

use async_io::Async;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::server::frontend::connection::LINGER_MS;
use crate::server::frontend::connection_state::GO_AWAY_TIMEOUT_MS;
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::limiter::{Eviction, EvictionScope};

/// Time in which a successor with capacity accepts what is in the backlog, ms.
const ACCEPT_TIME_MS: f64 = 20.0;
/// Between two rounds of evictions, ms: in it connections close, the successor hears of it and accepts.
const ROUND_MS: f64 = 20.0;

/// How long a process that was told to leave watches the backlog, ms: by then its idle connections are closed, lingering
/// included. It must not hold the listening socket for its whole life: where the successor is told to leave as well and has
/// closed its own, what connects then has to be refused, not left to wait for nobody.
pub const MAX_WATCH_WHILE_LEAVING_MS: f64 = GO_AWAY_TIMEOUT_MS + LINGER_MS;

/// How many connections are evicted in one round at most. Rounds begin with one, as one is often enough, and double up to
/// this, as a caller waits while they go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPace {
    /// Callers use this process: a successor that stands still looks like a full one, and must not draw them all to it.
    Serving = 1,
    /// Callers are told to go: what is evicted would leave in a moment.
    Leaving = 64,
}

/// Evicts connections of this process, as it would for its own listener, whenever one waits in the backlog of `listener`
/// and the successor does not accept it. Does not complete while the successor serves.
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
