//! Reads the configuration again and applies it to all parts in an order that keeps them consistent. It owns
//! the configuration in force. It never applies a file partially, touches no request, and waits only for the
//! core's queue.

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

/// Reads the configuration again at each call of [`Reloader::reload`].
pub struct Reloader {
    /// The configuration file.
    pub file: PathBuf,
    /// The configuration in force.
    pub config: Config,
    /// The settings that the frontends read.
    pub active_settings: Rc<ActiveSettings>,
    /// The addresses that the upstream connections use.
    pub addresses: Rc<UpstreamAddresses>,
    /// The limiter of connections, whose limits depend on the memory.
    pub limiter: Rc<ConnectionLimiter>,
    /// Telemetry, which counts by class; `None` if it is off.
    pub telemetry: Option<Rc<Telemetry>>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
    /// The core's queue.
    pub queue: Sender<CoreInput>,
}

impl Reloader {
    /// Reads the file and applies it. An invalid file changes nothing, not even the addresses: it may be half
    /// written or meant for another process, and then its addresses are as unreliable as its settings.
    pub async fn reload(&mut self) {
        match self.config.read_next(&self.file, self.clock.now()) {
            Ok(config) => {
                self.apply(config).await;
                count(&self.counters.reloads);
            }
            Err(error) => {
                count(&self.counters.reloads_failed);
                tracing::error!(addresses = "kept", settings = "kept", %error, "reload-failed");
            }
        }
    }

    /// Applies a configuration to all parts.
    async fn apply(&mut self, new: Config) {
        for field in self.config.restart_only_differences(&new) {
            tracing::warn!(field, "needs-a-new-start");
        }
        let config = self.without_settings_of_another_process(new);
        let Config { engine, store, registry, memory_mb, stop_ms, .. } = config;
        let settings = Reconfiguration { site: config.site.clone(), stop_ms, memory_mb };
        // Telemetry comes first, before any event of a new class. The core comes before the frontends: they
        // accept requests of a new class once they know it, and those requests then queue behind this input.
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

    /// Keeps the engine and the management address if the latter differs: such a file was written for a
    /// process that is started beside this one and uses another engine.
    fn without_settings_of_another_process(&self, mut config: Config) -> Config {
        if config.management != self.config.management {
            config.engine = self.config.engine;
            config.management = self.config.management;
            tracing::warn!(engine = %config.engine, "engine-kept-as-the-file-is-for-another-process");
        }
        config
    }
}
