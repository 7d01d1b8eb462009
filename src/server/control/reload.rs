//! Puts a configuration that was read again in force, in the order that keeps all parts in step. It owns which
//! configuration that is; it must never take a part of a file, touch a request, or wait for anything but the core's queue.

use std::path::PathBuf;
use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_telemetry::Telemetry;

use crate::config::Config;
use crate::config::active::ActiveSettings;
use crate::server::core::api::{CoreInput, Reconfiguration};
use crate::server::frontend::limiter::ConnectionLimiter;
use crate::server::observability::counters::{Counters, count};
use crate::server::observability::telemetry;
use crate::server::upstream::UpstreamAddresses;

/// Reads the configuration again when it is told to.
pub struct Reloader {
    /// The file.
    pub file: PathBuf,
    /// What is in force.
    pub config: Config,
    /// What the fronts go by.
    pub active_settings: Rc<ActiveSettings>,
    /// Where the links go.
    pub addresses: Rc<UpstreamAddresses>,
    /// Room for connections.
    pub limiter: Rc<ConnectionLimiter>,
    /// What counts by class, if it is on.
    pub telemetry: Option<Rc<Telemetry>>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
    /// The way to the core.
    pub queue: Sender<CoreInput>,
}

impl Reloader {
    /// Reads the file and puts it in force. One that cannot be used changes nothing: it may be half written, or meant
    /// for another process, and then its addresses are no better than its settings.
    pub async fn reload(&mut self) {
        match self.config.read_next(&self.file, self.clock.now()) {
            Ok(config) => {
                self.put_in_force(config).await;
                count(&self.counters.reloads);
            }
            Err(error) => {
                count(&self.counters.reloads_failed);
                tracing::error!(addresses = "kept", settings = "kept", %error, "reload-failed");
            }
        }
    }

    async fn put_in_force(&mut self, config: Config) {
        for field in self.config.restart_only_differences(&config) {
            tracing::warn!(field, "needs-a-new-start");
        }
        let mut config = config;
        if config.management != self.config.management {
            // Written for a process that is started beside this one: its engine is not this one's.
            (config.engine, config.management) = (self.config.engine, self.config.management);
            tracing::warn!(engine = %config.engine, "engine-kept-as-the-file-is-for-another-process");
        }
        let Config { engine, store, registry, memory_mb, stop_ms, .. } = config;
        let settings = Reconfiguration { site: config.site.clone(), stop_ms, memory_mb };
        // Telemetry before any fact about a new class, and the core before the fronts: a request of a new class, read once the fronts know it, comes behind this in the queue.
        if let Some(telemetry) = &self.telemetry {
            telemetry::set_classes(telemetry, &config.site);
        }
        let _ = self.queue.send(CoreInput::Reconfigure(settings)).await;
        self.active_settings.replace(config.site.clone());
        self.limiter.set_memory_limit(memory_mb);
        self.addresses.set(engine, store, registry);
        let classes = config.site.class_names.len();
        tracing::info!(%engine, %store, members = %registry, classes, "reloaded");
        self.config = config;
    }
}
