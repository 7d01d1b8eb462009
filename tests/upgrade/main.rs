//! Upgrades: a new process takes over from the one that serves, under load and under failures of either, and no request
//! is lost, cut off or run twice. Each test runs the program as processes of one name on one address.

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

/// Pause between two steps, in which load goes on.
const SETTLE: Duration = Duration::from_millis(300);

/// Starts a second process beside the one that serves; returns when it has taken over.
fn take_over(deployment: &Deployment) -> Process {
    start_ready(deployment, quick_engine())
}

/// A retry of the request by its client.
fn retry(request: &Request) -> Request {
    Request::keyed(&request.body)
}
