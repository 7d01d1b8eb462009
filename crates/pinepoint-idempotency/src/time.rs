//! How much time went by between two lives of a process. It owns that judgement; it must never read a clock.
//!
//! The Unix clock may have been set over a power cut, in either direction. Within one boot of the machine the time since boot
//! tells how far; over a boot nothing does, and then no window is believed to be over sooner than the worst case allows.

use serde::{Deserialize, Serialize};

/// A mark of the time, kept lazily.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Unix ms.
    pub unix_ms: f64,
    /// Since the machine's boot, suspended time included, ms.
    pub boot_ms: f64,
    /// Names that boot.
    pub boot: u128,
}

/// What is known of the time between a mark and now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gap {
    /// So long, ms, and the clock was not set.
    Known(f64),
    /// So long, ms, and the clock was set by that much besides, ms; less than nothing: back.
    Set(f64, f64),
    /// The clock was set back over a boot: it shows less than the mark.
    Back,
    /// Not known, over a boot: what the clock shows may be true.
    Unknown,
}

/// Clocks drift and are steered by less than this, ms.
const STEERED_MS: f64 = 1000.0;

impl Gap {
    /// Between a mark that was read back and now.
    pub fn between(mark: &Mark, now: &Mark) -> Gap {
        let shown = now.unix_ms - mark.unix_ms;
        if mark.boot == now.boot && now.boot_ms >= mark.boot_ms {
            let gone = now.boot_ms - mark.boot_ms;
            return if (shown - gone).abs() <= STEERED_MS {
                Gap::Known(gone)
            } else {
                Gap::Set(gone, shown - gone)
            };
        }
        if shown < -STEERED_MS { Gap::Back } else { Gap::Unknown }
    }

    /// What a time of the earlier life is on the clock of this one, if that is known.
    pub fn on_this_clock(self, earlier_ms: f64) -> Option<f64> {
        match self {
            Gap::Known(_) => Some(earlier_ms),
            Gap::Set(_, by) => Some(earlier_ms + by),
            Gap::Back | Gap::Unknown => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEFORE: Mark = Mark { unix_ms: 1e12, boot_ms: 5000.0, boot: 7 };

    fn now(unix_ms: f64, boot_ms: f64, boot: u128) -> Mark {
        Mark { unix_ms, boot_ms, boot }
    }

    #[test]
    fn within_a_boot_a_clock_that_was_set_is_seen_and_over_one_only_if_it_went_back() {
        let cases = [
            (now(1e12 + 3000.0, 8000.0, 7), Gap::Known(3000.0)),
            (now(1e12 + 3_603_000.0, 8000.0, 7), Gap::Set(3000.0, 3_600_000.0)),
            (now(1e12 - 7000.0, 8000.0, 7), Gap::Set(3000.0, -10_000.0)),
            (now(1e12 - 7000.0, 800.0, 8), Gap::Back),
            (now(1e12 + 3_603_000.0, 800.0, 8), Gap::Unknown),
        ];
        for (now, gap) in cases {
            assert_eq!(Gap::between(&BEFORE, &now), gap);
        }
        assert_eq!(Gap::Set(3000.0, -10_000.0).on_this_clock(50_000.0), Some(40_000.0));
        assert_eq!(Gap::Unknown.on_this_clock(50_000.0), None);
    }
}
