//! The parts of the process that the connections of all frontends share. Independent of protocols and
//! requests.

use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_events::Observer;

use crate::config::active::ActiveSettings;
use crate::server::control::status::Status;
use crate::server::core::api::CoreInput;
use crate::server::frontend::limiter::ConnectionLimiter;
use crate::server::observability::counters::Counters;

/// The parts of the process that every connection of every frontend uses.
pub struct FrontendContext {
    /// The settings, and the names of classes and tenants.
    pub active_settings: Rc<ActiveSettings>,
    /// The state that the core publishes.
    pub status: Rc<Status>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
    /// Notified when a limit is reached.
    pub observer: Rc<dyn Observer>,
    /// The clock.
    pub clock: Clock,
    /// The queue to the core.
    pub queue: Sender<CoreInput>,
    /// The limits on connections.
    pub limiter: Rc<ConnectionLimiter>,
}

impl FrontendContext {
    /// Idle time after which callers close connections, ms. Infinite if the settings have none: connections
    /// then stay open until callers close them or they are evicted for others.
    pub fn caller_idle_timeout_ms(&self) -> f64 {
        let timeout_ms = self.active_settings.site().settings.caller_idle_timeout_ms;
        if timeout_ms > 0.0 { timeout_ms } else { f64::INFINITY }
    }
}
