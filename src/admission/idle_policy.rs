//! Chooses how long idle connections are kept.
//!
//! A connection whose requests are rejected is wasted work. While most arrivals are rejected, the connections
//! therefore stay as they are, and new callers connect about as slowly as the cores can serve them. This
//! applies to any overload by many callers, and first to slow servers.

use super::Settings;
use super::filters::{FORGET_S, low_pass};

/// Idle timeout while few arrivals are rejected, ms. With hundreds of callers, each returns only after
/// minutes: the connections that they leave open fill the connection table, cost core time and keep other
/// callers out. A caller that returns within this time saves a handshake.
const IDLE_TIMEOUT_MS: f64 = 6000.0;
/// Share of rejected arrivals from which idle connections are kept longer, 0 to 1.
const KEEP_LONGER_FROM: f64 = 0.3;
/// Share of rejected arrivals from which connections stay open until their callers close them, 0 to 1.
const KEEP_ALL_FROM: f64 = 0.63;
/// Arrivals over which the share of rejections is averaged: a small server receives them in a few seconds.
const REJECTED_OVER_ARRIVALS: f64 = 30.0;
/// Smallest change of the timeout that is sent to the host, as a difference of logarithms.
const MIN_LOG_CHANGE: f64 = 0.1;
/// Callers per core up to which no connection table fills: connections stay open until their callers close
/// them.
const FEW_CALLERS_PER_CORE: f64 = 8.0;

/// The idle timeout and the share of rejected arrivals that it depends on.
#[derive(Clone, Debug)]
pub(super) struct IdlePolicy {
    timeout_ms: f64,
    rejected_share: f64,
}

impl IdlePolicy {
    /// A policy that starts with the idle timeout of the callers, ms.
    pub(super) fn new(caller_idle_timeout_ms: f64) -> Self {
        IdlePolicy { timeout_ms: caller_idle_timeout_ms, rejected_share: 0.0 }
    }

    /// Takes a new idle timeout of the callers, ms.
    pub(super) fn reset_timeout(&mut self, caller_idle_timeout_ms: f64) {
        self.timeout_ms = caller_idle_timeout_ms;
    }

    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self) {
        self.rejected_share -= self.rejected_share / REJECTED_OVER_ARRIVALS;
    }

    /// Counts the rejection of an arrival.
    pub(super) fn record_rejection(&mut self) {
        self.rejected_share += 1.0 / REJECTED_OVER_ARRIVALS;
    }

    /// Takes a sample `dt_s` seconds after the previous one; returns the new timeout in ms if it changed.
    pub(super) fn update(&mut self, settings: &Settings, has_idle_cores: bool, dt_s: f64) -> Option<f64> {
        if settings.callers <= FEW_CALLERS_PER_CORE * settings.cores {
            return None;
        }
        if has_idle_cores {
            // Callers that cannot connect send no arrivals that would show that there is capacity again.
            self.rejected_share = low_pass(self.rejected_share, 0.0, dt_s, FORGET_S);
        }
        let timeout_ms = self.target_timeout_ms(settings.caller_idle_timeout_ms);
        if (timeout_ms / self.timeout_ms).ln().abs() > MIN_LOG_CHANGE {
            self.timeout_ms = timeout_ms;
            return Some(timeout_ms);
        }
        None
    }

    /// Geometric interpolation between the short timeout and that of the callers, ms.
    fn target_timeout_ms(&self, caller_idle_timeout_ms: f64) -> f64 {
        let fraction = (self.rejected_share - KEEP_LONGER_FROM) / (KEEP_ALL_FROM - KEEP_LONGER_FROM);
        let fraction = fraction.clamp(0.0, 1.0);
        caller_idle_timeout_ms.min(IDLE_TIMEOUT_MS).powf(1.0 - fraction)
            * caller_idle_timeout_ms.powf(fraction)
    }
}
