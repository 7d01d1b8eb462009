//! Reads both files again at SIGHUP and applies them.

use std::path::PathBuf;
use std::rc::Rc;

use pinepoint::server::control::reload::Reloader;
use pinepoint_telemetry::Telemetry;

use crate::edge_config::Edge;

/// The parts of the process that a reload needs.
pub struct Reload {
    /// Applies the platform's configuration.
    pub reloader: Reloader,
    /// Telemetry, if it is on.
    pub telemetry: Option<Rc<Telemetry>>,
    /// Path of the operators' file, if one was named.
    pub edge_file: Option<PathBuf>,
}

impl Reload {
    /// Applies the current configuration file, and moves telemetry to the receivers in the edge file. An
    /// invalid file changes nothing: the file may be half written, and a process that ends or closes its
    /// connections at a SIGHUP loses all its open requests.
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
