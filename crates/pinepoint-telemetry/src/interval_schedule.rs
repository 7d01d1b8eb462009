//! Decides when a reporting interval ends, and which time slot its points carry.
//!
//! Slots are aligned to multiples of the interval's length. No slot is reported twice, neither by this
//! process alone nor by this process and its predecessor of the same name. The caller passes the time.

/// The reporting intervals of a process. The clock may stand still, jump ahead or go back; slots only ever go
/// up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntervalSchedule {
    every_s: u64,
    /// The slot of the current interval, Unix s.
    slot_s: u64,
    /// When the current interval began, ms.
    began_ms: f64,
}

/// An interval that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedInterval {
    /// The start of the interval's slot, Unix s.
    pub slot_s: u64,
    /// When the interval began and ended, ms.
    pub span_ms: (f64, f64),
}

impl IntervalSchedule {
    /// Creates the schedule of a process that starts now, with intervals of `every_s` seconds. Its first
    /// interval carries the first slot that begins after the start: the last points of the predecessor may
    /// carry the current slot.
    pub fn new(now: f64, every_s: u64) -> Self {
        let every_s = every_s.max(1);
        IntervalSchedule { every_s, slot_s: slot_at(now, every_s) + every_s, began_ms: now }
    }

    /// When the current interval ends, ms.
    pub fn due_ms(&self) -> f64 {
        (self.slot_s + self.every_s) as f64 * 1000.0
    }

    /// Ends the current interval if it is due.
    pub fn end_if_due(&mut self, now: f64) -> Option<EndedInterval> {
        if now < self.due_ms() {
            return None;
        }
        // If the clock jumped ahead, the interval carries the last complete slot.
        let slot_s = self.slot_s.max(slot_at(now, self.every_s) - self.every_s);
        Some(self.end(now, slot_s))
    }

    /// Ends the current interval as the last one of the process, due or not.
    pub fn end_final(&mut self, now: f64) -> EndedInterval {
        self.end(now, self.slot_s.max(slot_at(now, self.every_s)))
    }

    fn end(&mut self, now: f64, slot_s: u64) -> EndedInterval {
        let ended = EndedInterval { slot_s, span_ms: (self.began_ms, now.max(self.began_ms)) };
        self.slot_s = slot_s + self.every_s;
        self.began_ms = ended.span_ms.1;
        ended
    }
}

/// The start of the slot that contains this time, Unix s.
fn slot_at(now: f64, every_s: u64) -> u64 {
    let seconds = (now / 1000.0).max(0.0) as u64;
    seconds - seconds % every_s
}

#[cfg(test)]
mod tests;
