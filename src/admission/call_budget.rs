//! The quota of calls to the dependency: credit, backoff after failures, timeouts, and expected durations.
//!
//! The quota is a mean number of calls in flight over a window, and may be far below one call. The server
//! therefore earns call time at a part of the quota, and each call in flight spends it. If each server could
//! always make one call instead, a large fleet would make many times the calls that the dependency survives.

use super::filters::{FORGET_S, low_pass, moving_average};
use super::{Outcome, Settings};

/// Part of this server's quota that it may spend on average, abandoned calls included. The quota is the load
/// that the dependency survives; the dependency slows down long before, and other servers may use theirs in
/// full.
const SPENDABLE_QUOTA_PART: f64 = 0.35;
/// Call time that may be saved up while few calls are made, as a part of the window of the quota. It is small
/// because all servers spend their savings at the same moment, when the dependency slows down.
const SAVED_WINDOW_PART: f64 = 0.2;
/// Expected duration of a call before the first observation, ms.
const INITIAL_CALL_MS: f64 = 50.0;
/// Weight of a new observation in the expected duration of a call.
const CALL_WEIGHT: f64 = 0.2;
/// First backoff after failed calls, ms. It doubles with every further failure in a row, so that a dead
/// dependency is not flooded with calls.
const INITIAL_BACKOFF_MS: f64 = 50.0;
/// Longest backoff, ms.
const MAX_BACKOFF_MS: f64 = 800.0;
/// Failures in a row after which the backoff is no longer doubled.
const MAX_BACKOFF_DOUBLINGS: f64 = 10.0;
/// Call timeout as a multiple of the expected duration. A lost reply never comes: if the server waited for it
/// until the deadline, the call would use up the quota of others, and all requests that need calls would
/// queue behind it.
const TIMEOUT_DURATIONS: f64 = 20.0;
/// Shortest call timeout, ms.
const MIN_TIMEOUT_MS: f64 = 250.0;
/// Shortest call timeout where the call may be repeated, ms.
const MIN_REPEATABLE_TIMEOUT_MS: f64 = 100.0;
/// Multiple of the expected duration that hardly any call exceeds.
const MAX_USUAL_DURATIONS: f64 = 4.0;
/// Multiple of the expected duration after which a call in flight is no longer charged.
const OVERDUE_DURATIONS: f64 = 10.0;
/// Shortest time after which a call in flight is no longer charged, ms.
const MIN_OVERDUE_MS: f64 = 40.0;
/// Failures that a call counts for if it was reset or timed out; any other failed call counts as 1. A single
/// such call may be a lost reply, two in a row are not.
const LOST_REPLY_FAILURES: f64 = 0.5;
/// Largest multiple of the expected duration that is learned from a failed call.
const MAX_FAILED_DURATIONS: f64 = 2.0;

/// Whether a call may be made a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallRepeat {
    /// The call has no effect.
    Allowed,
    /// The call may have an effect.
    Forbidden,
}

/// The call budget of this server.
#[derive(Clone, Debug)]
pub(super) struct CallBudget {
    /// Expected duration of a call, ms.
    pub(super) duration_ms: f64,
    /// Calls that count against the quota, abandoned ones included.
    pub(super) in_flight: f64,
    /// Call time earned and not spent, ms; below 0 after slow calls.
    pub(super) credit_ms: f64,
    /// Calls in flight that spend credit: all that are not far overdue.
    charged: f64,
    /// Failures in a row; a lost reply counts as a part of a failure.
    failures: f64,
    backoff_until_ms: f64,
    updated_ms: f64,
    /// Until when each abandoned call may still be in flight at the dependency, ms.
    abandoned_until_ms: Vec<f64>,
}

impl CallBudget {
    pub(super) fn new() -> Self {
        CallBudget {
            duration_ms: INITIAL_CALL_MS,
            in_flight: 0.0,
            credit_ms: 0.0,
            charged: 0.0,
            failures: 0.0,
            backoff_until_ms: f64::NEG_INFINITY,
            updated_ms: 0.0,
            abandoned_until_ms: Vec::new(),
        }
    }

    /// Starts to earn credit, as the server is up.
    pub(super) fn start(&mut self, now_ms: f64) {
        self.updated_ms = now_ms;
    }

    /// Call time earned per unit of time: the mean number of calls that may be in flight.
    pub(super) fn earned_rate(settings: &Settings) -> f64 {
        // Without a quota, the limit on the number of calls in flight is the only limit.
        if settings.call_quota > 0.0 { settings.call_quota * SPENDABLE_QUOTA_PART } else { 1.0 }
    }

    /// Brings credit and calls in flight up to date. `started_ms` are the start times of the open calls.
    pub(super) fn update(&mut self, now_ms: f64, settings: &Settings, started_ms: &[f64]) {
        let elapsed_ms = now_ms - self.updated_ms;
        let rate = Self::earned_rate(settings);
        let earned_ms = (rate - self.charged) * elapsed_ms;
        let max_credit_ms = SAVED_WINDOW_PART * settings.call_quota_window_ms * rate;
        self.credit_ms = (self.credit_ms + earned_ms).min(max_credit_ms);
        self.updated_ms = now_ms;
        self.abandoned_until_ms.retain(|until_ms| *until_ms > now_ms);
        self.in_flight = started_ms.len() as f64 + self.abandoned_until_ms.len() as f64;
        self.charged = self.in_flight - self.overdue(now_ms, started_ms);
        if self.in_flight == 0.0 {
            // Otherwise a long expected duration that rejects all requests with calls would never be
            // corrected.
            self.duration_ms = low_pass(self.duration_ms, 0.0, elapsed_ms / 1000.0, FORGET_S);
        }
    }

    /// Number of open calls far beyond the expected duration: they have ended at the dependency, and their
    /// replies are lost. They count against the quota, which holds in any case, but spend no credit that good
    /// calls need. While calls fail in a row, nothing is known about open calls and none counts as overdue.
    fn overdue(&self, now_ms: f64, started_ms: &[f64]) -> f64 {
        if self.is_failing() {
            return 0.0;
        }
        let overdue_ms = (OVERDUE_DURATIONS * self.duration_ms).max(MIN_OVERDUE_MS);
        started_ms.iter().filter(|started_ms| now_ms - **started_ms > overdue_ms).count() as f64
    }

    /// Whether a call may be started now, while `reserved` calls are reserved for other requests.
    pub(super) fn allows_call(&self, now_ms: f64, settings: &Settings, reserved: f64) -> bool {
        let reserved_ms = (self.charged + reserved) * self.duration_ms;
        now_ms >= self.backoff_until_ms
            && self.in_flight + 1.0 <= self.max_in_flight(settings)
            && self.credit_ms >= reserved_ms
    }

    /// Calls that may be in flight. While calls fail, a single one probes whether the dependency has
    /// recovered.
    fn max_in_flight(&self, settings: &Settings) -> f64 {
        if self.is_failing() { 1.0 } else { settings.call_quota.max(1.0) }
    }

    fn is_failing(&self) -> bool {
        self.failures >= 1.0
    }

    /// Counts a started call.
    pub(super) fn record_start(&mut self) {
        self.in_flight += 1.0;
        self.charged += 1.0;
    }

    /// Time after which a call that is started now is abandoned, ms.
    pub(super) fn timeout_ms(&self, repeat: CallRepeat) -> f64 {
        let min_ms = match repeat {
            CallRepeat::Allowed => MIN_REPEATABLE_TIMEOUT_MS,
            CallRepeat::Forbidden => MIN_TIMEOUT_MS,
        };
        (self.duration_ms * TIMEOUT_DURATIONS).max(min_ms)
    }

    /// Counts the call of a run that no longer waits for it. The call may still be in flight at the
    /// dependency.
    pub(super) fn record_abandoned(&mut self, now_ms: f64, linger_ms: f64) {
        self.abandoned_until_ms.push(now_ms + linger_ms);
    }

    /// Records a call that ended after `took_ms`.
    pub(super) fn record_end(&mut self, now_ms: f64, outcome: Outcome, took_ms: f64, linger_ms: f64) {
        self.count_failure(now_ms, outcome);
        if outcome == Outcome::TimedOut {
            // A call that was awaited beyond the usual duration has usually ended at the dependency, and its
            // reply was lost.
            let unusual_ms = (took_ms - MAX_USUAL_DURATIONS * self.duration_ms).max(0.0);
            let ended_ms = if self.is_failing() { 0.0 } else { unusual_ms };
            self.record_abandoned(now_ms, (linger_ms - ended_ms).max(0.0));
        }
        self.learn_duration(outcome, took_ms);
    }

    fn count_failure(&mut self, now_ms: f64, outcome: Outcome) {
        if outcome == Outcome::Done {
            self.failures = 0.0;
            return;
        }
        let lost_reply = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        self.failures += if lost_reply { LOST_REPLY_FAILURES } else { 1.0 };
        if self.is_failing() {
            let doublings = (self.failures - 1.0).min(MAX_BACKOFF_DOUBLINGS);
            let backoff_ms = INITIAL_BACKOFF_MS * doublings.exp2();
            self.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        }
    }

    /// Learns the duration of calls. A single lost reply shows nothing about it: if every lost reply counted,
    /// the expected duration would rise and block good calls.
    fn learn_duration(&mut self, outcome: Outcome, took_ms: f64) {
        if outcome == Outcome::Done {
            self.duration_ms = moving_average(self.duration_ms, took_ms, CALL_WEIGHT);
        } else if took_ms > self.duration_ms && self.is_failing() {
            // This server chose how long it awaited a failed call, so that time is not the call's duration.
            let took_ms = took_ms.min(MAX_FAILED_DURATIONS * self.duration_ms);
            self.duration_ms = moving_average(self.duration_ms, took_ms, CALL_WEIGHT);
        }
    }
}
