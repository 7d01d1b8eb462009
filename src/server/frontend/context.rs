//! What the connections of all frontends share. It knows nothing of protocols and requests.

use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_events::Observer;

use crate::config::active::ActiveSettings;
use crate::server::control::status::Status;
use crate::server::core::api::CoreInput;
use crate::server::frontend::limiter::ConnectionLimiter;
use crate::server::observability::counters::Counters;

/// What every connection of every frontend needs.
pub struct FrontendContext {
    /// Settings, and the names of classes and tenants.
    pub active_settings: Rc<ActiveSettings>,
    /// What the core publishes.
    pub status: Rc<Status>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Notified of limits that are reached.
    pub observer: Rc<dyn Observer>,
    /// The clock.
    pub clock: Clock,
    /// The queue to the core.
    pub queue: Sender<CoreInput>,
    /// The limits on connections.
    pub limiter: Rc<ConnectionLimiter>,
}

impl FrontendContext {
    /// Idle time after which callers close connections, ms. It is infinite where the settings have none: callers close them,
    /// or they are evicted for others.
    pub fn caller_idle_timeout_ms(&self) -> f64 {
        let timeout_ms = self.active_settings.site().settings.caller_idle_timeout_ms;
        if timeout_ms > 0.0 { timeout_ms } else { f64::INFINITY }
    }
}
