//! What the connections of all fronts share. It must never know a wire or touch a request.

use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_events::Observer;

use crate::config::active::ActiveSettings;
use crate::server::control::status::Status;
use crate::server::core::api::CoreInput;
use crate::server::frontend::limiter::ConnectionLimiter;
use crate::server::observability::counters::Counters;

/// What every connection of every front needs.
pub struct FrontendContext {
    /// Settings and names.
    pub active_settings: Rc<ActiveSettings>,
    /// What the core publishes.
    pub status: Rc<Status>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Who is told of limits that are reached.
    pub observer: Rc<dyn Observer>,
    /// The clock.
    pub clock: Clock,
    /// The way to the core.
    pub queue: Sender<CoreInput>,
    /// Room for connections.
    pub limiter: Rc<ConnectionLimiter>,
}

impl FrontendContext {
    /// Time after which callers close idle connections, ms. Not told, it is left to them and to the want of room.
    pub fn caller_idle_timeout_ms(&self) -> f64 {
        Some(self.active_settings.site().settings.caller_idle_timeout_ms)
            .filter(|ms| *ms > 0.0)
            .unwrap_or(f64::INFINITY)
    }
}
