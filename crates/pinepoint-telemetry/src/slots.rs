//! When an interval ends, and which slot its points carry. It owns the rule that no slot is told twice, by this process
//! or by the one before it under the same name; it must never read a clock.

/// The slots of a process. Time may stand still or jump ahead; where it goes back, the slots do not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slots {
    every_s: u64,
    /// The slot that the interval in hand will carry, Unix s.
    slot_s: u64,
    began_ms: f64,
}

/// An interval that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// The start of its slot, Unix s.
    pub slot_s: u64,
    /// When it began and ended, ms.
    pub span_ms: (f64, f64),
}

impl Slots {
    /// Slots of so many seconds, of a process that starts now. Its first interval carries the first slot that begins
    /// after that: the one under way may hold the last points of its predecessor.
    pub fn new(now: f64, every_s: u64) -> Self {
        let every_s = every_s.max(1);
        Slots { every_s, slot_s: slot(now, every_s) + every_s, began_ms: now }
    }

    /// When the interval in hand ends, ms.
    pub fn due_ms(&self) -> f64 {
        (self.slot_s + self.every_s) as f64 * 1000.0
    }

    /// Ends the interval in hand if it is due.
    pub fn end(&mut self, now: f64) -> Option<Ended> {
        (now >= self.due_ms()).then(|| {
            // Where time jumped ahead, the interval carries the last slot that is over.
            let slot_s = self.slot_s.max(slot(now, self.every_s) - self.every_s);
            self.close(now, slot_s)
        })
    }

    /// Ends the interval in hand as the last one, whenever that is.
    pub fn end_last(&mut self, now: f64) -> Ended {
        self.close(now, self.slot_s.max(slot(now, self.every_s)))
    }

    fn close(&mut self, now: f64, slot_s: u64) -> Ended {
        let ended = Ended { slot_s, span_ms: (self.began_ms, now.max(self.began_ms)) };
        self.slot_s = slot_s + self.every_s;
        self.began_ms = ended.span_ms.1;
        ended
    }
}

fn slot(now: f64, every_s: u64) -> u64 {
    let seconds = (now / 1000.0).max(0.0) as u64;
    seconds - seconds % every_s
}

#[cfg(test)]
mod tests;
