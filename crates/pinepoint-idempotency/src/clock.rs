//! How much time went by between two lives of a process. It owns that judgement; it must never read a clock.
//!
//! The Unix clock may have been set over a power cut, in either direction. Within one boot of the machine the time since boot
//! tells how far; over a boot nothing does, and then no window is believed to be over sooner than the worst case allows.

use serde::{Deserialize, Serialize};

/// A mark of the time, kept lazily.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Unix ms.
    pub unix_ms: f64,
    /// Since the machine's boot, suspended time included, ms.
    pub boot_ms: f64,
    /// Names that boot.
    pub boot: u128,
}

/// What is known of the time between a mark and now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClockContinuity {
    /// So long, ms, and the clock was not set.
    Continuous(f64),
    /// So long, ms, and the clock was set by that much besides, ms; less than nothing: back.
    Stepped(f64, f64),
    /// The clock was set back over a boot: it shows less than the mark.
    SteppedBack,
    /// Not known, over a boot: what the clock shows may be true.
    Unknown,
}

/// Clocks drift and are steered by less than this, ms.
const MAX_SLEW_MS: f64 = 1000.0;

impl ClockContinuity {
    /// Between a mark that was read back and now.
    pub fn between(mark: &ClockReading, now: &ClockReading) -> ClockContinuity {
        let shown = now.unix_ms - mark.unix_ms;
        if mark.boot == now.boot && now.boot_ms >= mark.boot_ms {
            let gone = now.boot_ms - mark.boot_ms;
            return if (shown - gone).abs() <= MAX_SLEW_MS {
                ClockContinuity::Continuous(gone)
            } else {
                ClockContinuity::Stepped(gone, shown - gone)
            };
        }
        if shown < -MAX_SLEW_MS { ClockContinuity::SteppedBack } else { ClockContinuity::Unknown }
    }

    /// What a time of the earlier life is on the clock of this one, if that is known.
    pub fn to_current_clock(self, earlier_ms: f64) -> Option<f64> {
        match self {
            ClockContinuity::Continuous(_) => Some(earlier_ms),
            ClockContinuity::Stepped(_, by) => Some(earlier_ms + by),
            ClockContinuity::SteppedBack | ClockContinuity::Unknown => None,
        }
    }
}

#[cfg(test)]
mod tests;
