//! Reads both files again at SIGHUP and applies them.

use std::path::PathBuf;
use std::rc::Rc;

use pinepoint::server::control::reload::Reloader;
use pinepoint_telemetry::Telemetry;

use crate::edge_config::Edge;

/// What a reload needs.
pub struct Reload {
    /// Applies the platform's configuration.
    pub reloader: Reloader,
    /// Telemetry, if it is on.
    pub telemetry: Option<Rc<Telemetry>>,
    /// The operators' file, if one was named.
    pub edge_file: Option<PathBuf>,
}

impl Reload {
    /// Applies the configuration as it is now, and moves telemetry to the receivers of the edge file. A file that cannot
    /// be used changes nothing: it may be half written, and a process that ends or loses its connections at a SIGHUP loses
    /// every request that it holds.
    pub async fn run(&mut self) {
        self.reloader.reload().await;
        if let Some(telemetry) = &self.telemetry {
            self.reload_telemetry(telemetry);
        }
    }

    fn reload_telemetry(&self, telemetry: &Telemetry) {
        match Edge::read_if_named(self.edge_file.as_deref()) {
            Ok(edge) => {
                let unchanged = telemetry.reload(&edge.telemetry_setup());
                tracing::info!("edge-reloaded");
                for what in unchanged {
                    tracing::warn!(what, "needs-a-new-start");
                }
            }
            Err(error) => tracing::error!(receivers = "kept", %error, "edge-reload-failed"),
        }
    }
}
