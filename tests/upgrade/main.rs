//! Upgrades: a successor takes over from the serving process, under load and under failures of either
//! process. No request is lost, cut off or run twice. Each test runs several processes with one name on one
//! address.

#[path = "../operation/mod.rs"]
mod operation;

mod connections;
mod environment;
mod handover_socket;
mod idempotency_keys;
mod lame_duck;
mod process_failures;
mod takeover;

use std::time::Duration;

use operation::*;

/// Pause between two steps, during which the load continues.
const SETTLE: Duration = Duration::from_millis(300);

/// Starts a successor of the serving process; returns it when it has taken over.
fn take_over(deployment: &Deployment) -> Process {
    start_ready(deployment, quick_engine())
}

/// A retry of the request, with the same idempotency key.
fn retry(request: &Request) -> Request {
    Request::keyed(&request.body)
}
