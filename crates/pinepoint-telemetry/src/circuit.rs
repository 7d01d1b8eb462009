//! Whether a receiver is in service, and when it is tried again. It owns the backoff (exponential, with full jitter:
//! Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015) and the circuit (Nygard, "Release It!",
//! 2007); it must never do I/O or read a clock.

use rand_core::Rng;

/// Waits and thresholds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The longest wait after a first failure, ms; doubled with each further one.
    pub base_ms: f64,
    /// The longest wait of all, ms.
    pub most_ms: f64,
    /// Failures in a row that take a receiver out of service.
    pub trip: u32,
    /// Time in which one that is back takes its paths back, ms.
    pub slow_start_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { base_ms: 500.0, most_ms: 30_000.0, trip: 2, slow_start_ms: 30_000.0 }
    }
}

/// The least wait between two tries, ms: full jitter may draw nothing at all.
const LEAST_MS: f64 = 50.0;

/// One receiver's circuit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Circuit {
    rules: Rules,
    /// Failures in a row.
    failures: u32,
    /// No try before this time, ms.
    retry_ms: f64,
    /// When it came back into service, ms.
    back_ms: f64,
}

/// Whether a receiver is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// What is meant for it waits for it.
    In,
    /// What is meant for it goes elsewhere, and it is only probed.
    Out,
}

impl Circuit {
    /// In service, from the start.
    pub fn new(rules: Rules) -> Self {
        Circuit { rules, failures: 0, retry_ms: f64::NEG_INFINITY, back_ms: f64::NEG_INFINITY }
    }

    /// Whether it is in service.
    pub fn service(&self) -> Service {
        if self.failures >= self.rules.trip { Service::Out } else { Service::In }
    }

    /// The next try may begin at this time, ms.
    pub fn retry_ms(&self) -> f64 {
        self.retry_ms
    }

    /// A try failed; tells whether that took it out of service.
    pub fn failed(&mut self, now: f64, random: &mut impl Rng) -> bool {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(30);
        let most = (self.rules.base_ms * f64::from(1_u32 << doublings)).min(self.rules.most_ms);
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.retry_ms = now + (most * share).max(LEAST_MS);
        self.failures == self.rules.trip
    }

    /// The next failure takes it out of service, whatever came before.
    pub fn tire(&mut self) {
        self.failures = self.failures.max(self.rules.trip.saturating_sub(1));
    }

    /// A try went well to its end; tells whether that brought it back into service.
    pub fn succeeded(&mut self, now: f64) -> bool {
        let back = self.service() == Service::Out;
        if back {
            self.back_ms = now;
        }
        self.failures = 0;
        self.retry_ms = f64::NEG_INFINITY;
        back
    }

    /// The share of its paths that it has taken back, 0 to 1; 0 while it is out of service.
    pub fn share(&self, now: f64) -> f64 {
        match self.service() {
            Service::Out => 0.0,
            Service::In => ((now - self.back_ms) / self.rules.slow_start_ms.max(1.0)).clamp(0.0, 1.0),
        }
    }

    /// When it will have taken all of them back, if it has not yet, ms.
    pub fn whole_ms(&self, now: f64) -> Option<f64> {
        let at = self.back_ms + self.rules.slow_start_ms;
        (self.service() == Service::In && at > now).then_some(at)
    }
}

#[cfg(test)]
mod tests;
