//! Which connection the limiter evicts when all are in use, at given times.

use std::rc::Rc;

use pinepoint::server::frontend::connection_state::ConnectionState;
use pinepoint::server::frontend::limiter::{ConnectionLimiter, Eviction, EvictionScope};
use pinepoint_events::Protocol;

const MEMORY_MB: f64 = 64.0;
/// Idle time after which any connection may be evicted, ms.
const LONG_IDLE_MS: f64 = 10_000.0;
/// Time that a caller may take from connecting to its first message, ms: a slow round trip, or a scheduling
/// delay on a busy machine.
const FIRST_MESSAGE_MS: f64 = 25.0;

/// A connection that delivered a message at `at_ms` and has been idle since.
fn idle(limiter: &ConnectionLimiter, at_ms: f64) -> Rc<ConnectionState> {
    let state = limiter.register(Protocol::Rpc, at_ms);
    limiter.message_received(&state, at_ms);
    state
}

/// Guards against this failure: with all connections in use, a connection that had just been accepted was
/// asked to close for the next in the backlog 1 ms later (`conn-ended reason=gave-way read=0 after_ms=1`), as
/// it had not sent anything yet. Its first request then met a connection that was shut down, and was not
/// answered.
#[test]
fn defers_eviction_of_new_connection() {
    let limiter = ConnectionLimiter::new(1, MEMORY_MB);
    let new = limiter.register(Protocol::Rpc, 0.0);
    assert_eq!(limiter.evict_one(EvictionScope::Process, 1.0), Eviction::Deferred);
    assert_eq!(limiter.evict_one(EvictionScope::Process, FIRST_MESSAGE_MS), Eviction::Deferred);
    assert!(!new.is_eviction_requested());
}

#[test]
fn evicts_silent_connection_before_used_one() {
    let limiter = ConnectionLimiter::new(2, MEMORY_MB);
    let used = idle(&limiter, 0.0);
    let silent = limiter.register(Protocol::Rpc, LONG_IDLE_MS);
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS + 1000.0), Eviction::Requested);
    assert!(silent.is_eviction_requested());
    assert!(!used.is_eviction_requested());
}

/// Hundreds of silent connections that are opened at once evict a few connections in use, and then only each
/// other.
#[test]
fn silent_burst_evicts_few_used_connections() {
    let limiter = ConnectionLimiter::new(200, MEMORY_MB);
    let used: Vec<_> = (0..100).map(|_| idle(&limiter, 0.0)).collect();
    let silent: Vec<_> = (0..100).map(|_| limiter.register(Protocol::Rpc, LONG_IDLE_MS)).collect();
    for _ in 0..100 {
        assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::Requested);
    }
    let evicted =
        |states: &[Rc<ConnectionState>]| states.iter().filter(|s| s.is_eviction_requested()).count();
    assert_eq!(evicted(&used) + evicted(&silent), 100);
    assert!(
        evicted(&used) <= 10,
        "{} of 100 used connections were evicted, at most 10 may be",
        evicted(&used)
    );
}

/// A burst of reconnecting callers is accepted as fast as each of them sends its first message.
#[test]
fn first_message_of_new_connection_allows_eviction_of_idle_one() {
    let limiter = ConnectionLimiter::new(2, MEMORY_MB);
    let used = idle(&limiter, 0.0);
    let new = limiter.register(Protocol::Rpc, LONG_IDLE_MS);
    limiter.message_received(&new, LONG_IDLE_MS);
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::Requested);
    assert!(used.is_eviction_requested());
    assert!(!new.is_eviction_requested());
}

#[test]
fn does_not_evict_connection_with_request_in_flight() {
    let limiter = ConnectionLimiter::new(1, MEMORY_MB);
    let used = idle(&limiter, 0.0);
    used.request_in_flight.set(true);
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::NoCandidate);
}

/// Guards against a message that is cut off for a new connection although other connections are idle: the
/// connection with a half-written request was evicted, as its last complete message was longest ago.
#[test]
fn evicts_idle_connection_before_one_within_message() {
    let limiter = ConnectionLimiter::new(2, MEMORY_MB);
    let writing = idle(&limiter, 0.0);
    writing.set_partial_message(true, LONG_IDLE_MS);
    let used_later = idle(&limiter, 1.0);
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::Requested);
    assert!(used_later.is_eviction_requested());
    assert!(!writing.is_eviction_requested());
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::Requested);
    assert!(writing.is_eviction_requested(), "a half-written message does not lock other callers out");
}

/// A process that hands over asks all callers to disconnect and then needs descriptors for its successor at
/// once.
#[test]
fn go_away_does_not_protect_idle_connection() {
    let limiter = ConnectionLimiter::new(1, MEMORY_MB);
    let idle = idle(&limiter, 0.0);
    assert!(idle.mark_go_away_sent(LONG_IDLE_MS));
    assert!(!idle.is_idle_since(LONG_IDLE_MS), "the idle timeout counts from the notification");
    assert_eq!(limiter.evict_one(EvictionScope::Process, LONG_IDLE_MS), Eviction::Requested);
    assert!(idle.is_eviction_requested());
}

/// Each protocol has its own limit. When it is reached, evicting a connection of another protocol does not
/// help.
#[test]
fn evicts_only_within_protocol_scope() {
    let limiter = ConnectionLimiter::new(3, MEMORY_MB);
    let rpc = idle(&limiter, 0.0);
    let ajp = limiter.register(Protocol::Ajp, 1.0);
    limiter.message_received(&ajp, 1.0);
    let scope = EvictionScope::Protocol(Protocol::Ajp);
    assert_eq!(limiter.evict_one(scope, LONG_IDLE_MS), Eviction::Requested);
    assert!(ajp.is_eviction_requested());
    assert_eq!(limiter.evict_one(scope, LONG_IDLE_MS), Eviction::NoCandidate);
    assert!(!rpc.is_eviction_requested());
}
