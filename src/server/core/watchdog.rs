//! The watchdog: whatever the controller does, it fails requests that stay unanswered past their deadline,
//! and it cleans up the tables.

use pinepoint_events::FailureReason;

use crate::server::core::Core;
use crate::server::core::api::Reply;
use crate::server::core::requests::OpenRequest;
use crate::server::observability::counters::count;

/// Time between two checks, ms.
pub(super) const WATCHDOG_INTERVAL_MS: f64 = 50.0;
/// Share of the answer slack after which an unanswered request is failed in place of the controller.
const OVERDUE_SLACK_SHARE: f64 = 0.8;
/// Time between two removals of expired keys, ms.
const KEY_EXPIRY_INTERVAL_MS: f64 = 1000.0;

/// When the watchdog last acted, Unix ms.
#[derive(Debug, Default)]
pub(super) struct Watchdog {
    last_check_ms: f64,
    last_key_expiry_ms: f64,
}

impl Watchdog {
    /// When the next check is due, Unix ms.
    pub(super) fn next_due(&self) -> f64 {
        self.last_check_ms + WATCHDOG_INTERVAL_MS
    }
}

impl Core {
    /// Fails overdue requests, closes idle connections and removes expired keys, if a check is due.
    pub(super) fn check_watchdog(&mut self) {
        if self.now_ms < self.watchdog.next_due() {
            return;
        }
        self.watchdog.last_check_ms = self.now_ms;
        self.fail_overdue_requests();
        self.close_idle_connections();
        if self.now_ms >= self.watchdog.last_key_expiry_ms + KEY_EXPIRY_INTERVAL_MS {
            self.watchdog.last_key_expiry_ms = self.now_ms;
            self.keys.remove_expired(self.now_ms);
        }
    }

    fn fail_overdue_requests(&mut self) {
        let slack_ms = self.overdue_slack_ms();
        let is_overdue = |open: &OpenRequest| self.now_ms >= open.deadline_ms + slack_ms;
        let overdue = self.requests.unanswered().filter(|(_, open)| is_overdue(open));
        for id in overdue.map(|(id, _)| id).collect::<Vec<_>>() {
            count(&self.dependencies.counters.overdue);
            self.fail_request(id, &Reply::Failed { late: true, reason: FailureReason::Overdue });
        }
    }

    /// How long after its deadline an unanswered request fails, ms.
    pub(super) fn overdue_slack_ms(&self) -> f64 {
        self.dependencies.site.settings.rules.answer_slack_ms * OVERDUE_SLACK_SHARE
    }
}
