//! Measures how much each tenant uses this server and lowers the weight of tenants beyond their quota.

use super::Settings;
use super::filters::low_pass;

/// Time constant of the filter on the rate of a tenant, s. A few requests a second of all tenants together
/// have to show the share of each tenant.
const TENANT_FILTER_S: f64 = 10.0;
/// Smallest rate that is used as a divisor, 1/s.
const MIN_RATE_PER_S: f64 = 1e-9;

/// Use of one tenant.
#[derive(Clone, Debug, Default)]
struct TenantRate {
    starts_per_s: f64,
    started_since_sample: f64,
}

/// Use of all tenants, by their index.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantUsage {
    tenants: Vec<TenantRate>,
}

impl TenantUsage {
    /// Sets the number of tenants; new ones have used nothing yet.
    pub(super) fn resize(&mut self, tenants: usize) {
        self.tenants.resize(tenants, TenantRate::default());
    }

    /// Counts a start.
    pub(super) fn record_start(&mut self, tenant: Option<usize>) {
        if let Some(tenant) = tenant {
            self.tenants[tenant].started_since_sample += 1.0;
        }
    }

    /// Takes a sample `dt_s` seconds after the previous one.
    pub(super) fn update(&mut self, dt_s: f64) {
        for tenant in &mut self.tenants {
            let starts_per_s = tenant.started_since_sample / dt_s;
            tenant.starts_per_s = low_pass(tenant.starts_per_s, starts_per_s, dt_s, TENANT_FILTER_S);
            tenant.started_since_sample = 0.0;
        }
    }

    /// Factor on the weight of the next request of a tenant, 0 to 1; 1 within its quota.
    ///
    /// The quota on this server is the tenant's part of all requests served here, and at most its part of the
    /// fleet's quota. A slow server cannot serve the full quota of any tenant: without the first limit it
    /// would serve only the tenant that floods the fleet.
    pub(super) fn weight_factor(&self, tenant: Option<usize>, settings: &Settings) -> f64 {
        let Some(tenant) = tenant else { return 1.0 };
        let active = settings.tenants.iter().filter(|tenant| !tenant.retired);
        let total_quota_per_s: f64 = active.map(|tenant| tenant.quota_per_s).sum();
        let total_starts_per_s = self.tenants.iter().map(|tenant| tenant.starts_per_s).sum::<f64>();
        let served_part = total_starts_per_s / total_quota_per_s.max(MIN_RATE_PER_S);
        let local_quota_per_s =
            settings.tenants[tenant].quota_per_s * served_part.min(1.0 / settings.servers);
        let starts_per_s = self.tenants[tenant].starts_per_s;
        let full_weight_part = (local_quota_per_s / starts_per_s.max(MIN_RATE_PER_S)).min(1.0).powi(2);
        full_weight_part + (1.0 - full_weight_part) * settings.over_quota_weight
    }
}
