//! Reads both files again and puts them in force. A file that cannot be used changes nothing.

use std::path::PathBuf;
use std::rc::Rc;

use pinepoint::server::control::reload::Reloader;
use pinepoint_telemetry::Telemetry;

use crate::edge_config::Edge;

/// What a reload needs.
pub struct Reload {
    /// Puts the platform's file in force.
    pub reloader: Reloader,
    /// Telemetry, if it is on.
    pub telemetry: Option<Rc<Telemetry>>,
    /// The operators' file, if one was named.
    pub edge: Option<PathBuf>,
}

impl Reload {
    /// Puts the configuration in force as it is now, and moves telemetry to the receivers of the edge file. A file that
    /// cannot be used changes nothing: it may be half written, and a program that ends or loses its links on SIGHUP loses
    /// every request it holds.
    pub async fn run(&mut self) {
        self.reloader.reload().await;
        let Some(telemetry) = &self.telemetry else { return };
        match Edge::read_if_named(self.edge.as_deref()) {
            Ok(edge) => {
                let left_alone = telemetry.reload(&edge.setup());
                tracing::info!("edge-reloaded");
                for what in left_alone {
                    tracing::warn!(what, "needs-a-new-start");
                }
            }
            Err(error) => tracing::error!(receivers = "kept", %error, "edge-reload-failed"),
        }
    }
}
