//! The controller's timers, each of which fires with fresh gauges of the engine, or with the last known ones
//! if the engine does not answer in time.

use std::collections::VecDeque;

use crate::admission::Event;
use crate::server::core::Core;
use crate::server::observability::counters::count;

/// How long a due timer waits for the gauges, ms. Deadlines depend on timers, so an engine that does not
/// answer must not delay them. The value is several round trips of a loaded loopback, and well under the
/// answer slack.
const GAUGE_TIMEOUT_MS: f64 = 25.0;

#[derive(Clone, Copy, Debug)]
struct Timer {
    due_ms: f64,
    /// Identifies the timer to the controller.
    token: u32,
}

/// A due timer that waits for gauges.
#[derive(Clone, Copy, Debug)]
struct GaugePoll {
    /// Tag of the gauge request.
    tag: u64,
    token: u32,
    /// When the timer fires with the last known gauges, Unix ms.
    deadline_ms: f64,
}

/// The timers, and the last known gauges.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pending: Vec<Timer>,
    polls: VecDeque<GaugePoll>,
    gauges: Vec<f64>,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due_ms: f64, token: u32) {
        self.pending.push(Timer { due_ms, token });
    }

    /// When the next timer is due or stops waiting for gauges, Unix ms.
    pub(super) fn next_due(&self) -> Option<f64> {
        let timers = self.pending.iter().map(|timer| timer.due_ms);
        let polls = self.polls.iter().map(|poll| poll.deadline_ms);
        timers.chain(polls).min_by(f64::total_cmp)
    }

    fn take_due(&mut self, now_ms: f64) -> Vec<Timer> {
        let due = self.pending.iter().copied().filter(|timer| timer.due_ms <= now_ms).collect();
        self.pending.retain(|timer| timer.due_ms > now_ms);
        due
    }

    /// The oldest poll, if its deadline has passed.
    fn take_expired_poll(&mut self, now_ms: f64) -> Option<GaugePoll> {
        self.polls.front().filter(|poll| poll.deadline_ms <= now_ms)?;
        self.polls.pop_front()
    }

    fn take_poll(&mut self, tag: u64) -> Option<GaugePoll> {
        let index = self.polls.iter().position(|poll| poll.tag == tag)?;
        self.polls.remove(index)
    }
}

impl Core {
    /// Requests gauges for each timer that is due, and fires those whose gauges did not come in time.
    pub(super) fn fire_due_timers(&mut self) {
        for timer in self.timers.take_due(self.now_ms) {
            self.poll_gauges(timer.token);
        }
        while let Some(poll) = self.timers.take_expired_poll(self.now_ms) {
            count(&self.dependencies.counters.stale_gauges);
            self.fire_timer(poll.token);
        }
    }

    fn poll_gauges(&mut self, token: u32) {
        let tag = self.engine.next_tag();
        let mut deadline_ms = self.now_ms;
        // Without a connection there is no answer: the last known gauges are used at once.
        if self.engine.is_attached() {
            self.dependencies.engine.request_gauges(tag);
            deadline_ms += GAUGE_TIMEOUT_MS;
        }
        self.timers.polls.push_back(GaugePoll { tag, token, deadline_ms });
    }

    pub(super) fn handle_gauges(&mut self, tag: u64, gauges: Vec<f64>) {
        self.timers.gauges = gauges;
        if self.engine.ends_resync(tag) {
            // Before the tag is acknowledged: the answer came over the new connection and proves nothing
            // about commands that were written to the old one.
            self.resend_commands();
        }
        self.engine.acknowledge(tag);
        if let Some(poll) = self.timers.take_poll(tag) {
            self.fire_timer(poll.token);
        }
    }

    fn fire_timer(&mut self, token: u32) {
        let gauges = self.timers.gauges.clone();
        self.dispatch(Event::TimerFired { token, gauges });
    }
}
