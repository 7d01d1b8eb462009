//! Reload: applies new settings.

use crate::server::core::api::Reconfiguration;
use crate::server::core::drain::drain_times;
use crate::server::core::{Core, max_result_bytes};

impl Core {
    /// Applies new settings. Open requests keep their class and their deadline.
    pub(super) fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let Reconfiguration { site, stop_ms, memory_mb } = reconfiguration;
        if let Some(controller) = &mut self.controller
            && let Err(error) = controller.reconfigure(site.settings.clone())
        {
            // The tables use the new indexes even so: requests with these indexes are already on their way.
            tracing::error!(%error, "settings-unusable");
        }
        let (old, new) = (&self.dependencies.site.settings, &site.settings);
        // Values that the controller reported under the old settings had another meaning; it reports new
        // values.
        if old.load_report != new.load_report {
            self.dependencies.status.load_report.set(None);
        }
        if old.caller_idle_timeout_ms != new.caller_idle_timeout_ms {
            self.caller_idle_timeout_ms = None;
        }
        self.lifecycle.reconfigure(drain_times(&site, stop_ms), site.registry_follows_health);
        self.keys.set_max_result_bytes(max_result_bytes(memory_mb));
        self.dependencies.site = site;
        self.dependencies.stop_ms = stop_ms;
        self.dependencies.memory_mb = memory_mb;
        self.reconfigure_handover();
        self.publish();
    }
}
