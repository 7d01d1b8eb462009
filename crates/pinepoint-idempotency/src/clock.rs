//! Relates the clock of an earlier process to the current one. No clock is read here.
//!
//! The Unix clock may have been set across a restart, in either direction. Within one boot of the machine the
//! time since boot shows by how much. Across a boot nothing shows whether the clock was set, and all windows
//! are assumed to start again.

use serde::{Deserialize, Serialize};

/// Both clocks of the machine at one moment. The order of the fields is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClockReading {
    /// The Unix clock, ms.
    pub unix_ms: f64,
    /// Time since the machine's boot, including suspended time, ms.
    pub boot_ms: f64,
    /// Identifies the boot that `boot_ms` counts from.
    pub boot_id: u128,
}

/// Whether and how the Unix clock was set between an earlier reading and the current one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClockContinuity {
    /// The clock was not set.
    Continuous {
        /// Time between the readings, ms.
        elapsed_ms: f64,
    },
    /// The clock was set, by a known step.
    Stepped {
        /// Time between the readings, ms.
        elapsed_ms: f64,
        /// The step, ms; negative if the clock was set back.
        step_ms: f64,
    },
    /// The machine was booted between the readings, and the clock shows an earlier time than before.
    SteppedBack,
    /// The machine was booted between the readings: whether the clock was set is not known.
    Unknown,
}

/// Maximum difference between the two clocks due to drift and slewing, ms; a larger difference is a step.
const MAX_SLEW_MS: f64 = 1000.0;

impl ClockContinuity {
    /// Compares an earlier reading with the current one.
    pub fn between(earlier: &ClockReading, now: &ClockReading) -> ClockContinuity {
        let unix_elapsed_ms = now.unix_ms - earlier.unix_ms;
        let is_same_boot = earlier.boot_id == now.boot_id && now.boot_ms >= earlier.boot_ms;
        if is_same_boot {
            let elapsed_ms = now.boot_ms - earlier.boot_ms;
            let step_ms = unix_elapsed_ms - elapsed_ms;
            if step_ms.abs() <= MAX_SLEW_MS {
                ClockContinuity::Continuous { elapsed_ms }
            } else {
                ClockContinuity::Stepped { elapsed_ms, step_ms }
            }
        } else if unix_elapsed_ms < -MAX_SLEW_MS {
            ClockContinuity::SteppedBack
        } else {
            ClockContinuity::Unknown
        }
    }

    /// Converts a time of the earlier clock to the current one, both Unix ms; `None` if their relation is not
    /// known.
    pub fn to_current_clock(self, earlier_ms: f64) -> Option<f64> {
        match self {
            ClockContinuity::Continuous { .. } => Some(earlier_ms),
            ClockContinuity::Stepped { step_ms, .. } => Some(earlier_ms + step_ms),
            ClockContinuity::SteppedBack | ClockContinuity::Unknown => None,
        }
    }
}

#[cfg(test)]
mod tests;
