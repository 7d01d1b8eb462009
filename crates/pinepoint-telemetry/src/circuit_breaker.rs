//! Decides whether a receiver is in service, and when the next connection to it may be attempted.
//!
//! A circuit breaker (Nygard, "Release It!", 2007) with exponential backoff and full jitter (Brooker,
//! "Exponential Backoff and Jitter", AWS Architecture Blog, 2015). After it closes again, traffic returns
//! gradually (slow start). The caller passes the time and the random numbers; nothing here does I/O or reads
//! a clock.

use rand_core::Rng;

/// Backoff, failure threshold and slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Upper bound of the backoff after a first failure, ms; doubled with each further failure in a row.
    pub base_backoff_ms: f64,
    /// Upper bound of any backoff, ms.
    pub max_backoff_ms: f64,
    /// Consecutive failures that open the circuit breaker.
    pub failure_threshold: u32,
    /// Time over which the traffic of a recovered receiver returns, ms.
    pub slow_start_ms: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            base_backoff_ms: 500.0,
            max_backoff_ms: 30_000.0,
            failure_threshold: 2,
            slow_start_ms: 30_000.0,
        }
    }
}

/// Lower bound of a backoff, ms: full jitter alone may draw zero.
const MIN_BACKOFF_MS: f64 = 50.0;
/// Bound of the exponent of the backoff, so that the power of two does not overflow.
const MAX_DOUBLINGS: u32 = 30;

/// Whether a receiver is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// In service: the traffic of the receiver waits for it and is not sent to other receivers.
    Closed,
    /// Out of service: the traffic goes to other receivers, and the receiver gets only health checks.
    Open,
}

/// The circuit breaker of one receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreaker {
    config: Config,
    consecutive_failures: u32,
    /// No attempt before this time, ms.
    next_attempt_ms: f64,
    /// When the circuit breaker last changed from open to closed, ms.
    closed_at_ms: f64,
}

impl CircuitBreaker {
    /// A closed circuit breaker, without a slow start.
    pub fn new(config: Config) -> Self {
        CircuitBreaker {
            config,
            consecutive_failures: 0,
            next_attempt_ms: f64::NEG_INFINITY,
            closed_at_ms: f64::NEG_INFINITY,
        }
    }

    /// The current state.
    pub fn state(&self) -> BreakerState {
        if self.consecutive_failures >= self.config.failure_threshold {
            BreakerState::Open
        } else {
            BreakerState::Closed
        }
    }

    /// Whether the receiver is in service.
    pub fn is_closed(&self) -> bool {
        self.state() == BreakerState::Closed
    }

    /// The earliest time of the next attempt, ms; negative infinity if there is no backoff.
    pub fn next_attempt_ms(&self) -> f64 {
        self.next_attempt_ms
    }

    /// Records a failed attempt and starts a backoff. Returns whether this failure opened the circuit
    /// breaker.
    pub fn record_failure(&mut self, now: f64, random: &mut impl Rng) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let exponential_ms = self.config.base_backoff_ms * f64::from(1_u32 << doublings);
        let max_ms = exponential_ms.min(self.config.max_backoff_ms);
        let jitter = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.next_attempt_ms = now + (max_ms * jitter).max(MIN_BACKOFF_MS);
        self.consecutive_failures == self.config.failure_threshold
    }

    /// Makes the next failure open the circuit breaker, however few failures came before.
    pub fn open_on_next_failure(&mut self) {
        let failures_before_opening = self.config.failure_threshold.saturating_sub(1);
        self.consecutive_failures = self.consecutive_failures.max(failures_before_opening);
    }

    /// Records a successful attempt. Returns whether it closed the circuit breaker.
    pub fn record_success(&mut self, now: f64) -> bool {
        let recovered = !self.is_closed();
        if recovered {
            self.closed_at_ms = now;
        }
        self.consecutive_failures = 0;
        self.next_attempt_ms = f64::NEG_INFINITY;
        recovered
    }

    /// The fraction of its traffic that has returned to the receiver, 0 to 1; 0 while the circuit breaker is
    /// open.
    pub fn slow_start_fraction(&self, now: f64) -> f64 {
        match self.state() {
            BreakerState::Open => 0.0,
            BreakerState::Closed => {
                ((now - self.closed_at_ms) / self.config.slow_start_ms.max(1.0)).clamp(0.0, 1.0)
            }
        }
    }

    /// When the slow start in progress will end, ms; `None` if no slow start is in progress.
    pub fn slow_start_end_ms(&self, now: f64) -> Option<f64> {
        let end_ms = self.closed_at_ms + self.config.slow_start_ms;
        (self.is_closed() && end_ms > now).then_some(end_ms)
    }
}

#[cfg(test)]
mod tests;
