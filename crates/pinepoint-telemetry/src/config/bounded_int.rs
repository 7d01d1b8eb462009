//! An integer that is known to be within a range.

use serde::Deserialize;

/// An integer from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "i64")]
pub struct BoundedInt<const MIN: i64, const MAX: i64>(i64);

/// The error for an integer outside its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{value} is out of range, expected {min} to {max}")]
pub struct OutOfRange {
    /// The integer.
    pub value: i64,
    /// The smallest valid integer.
    pub min: i64,
    /// The largest valid integer.
    pub max: i64,
}

impl<const MIN: i64, const MAX: i64> BoundedInt<MIN, MAX> {
    /// The integer.
    pub const fn get(self) -> i64 {
        self.0
    }

    /// A default value. Panics if the value is out of range.
    pub(super) const fn new(value: i64) -> Self {
        assert!(value >= MIN && value <= MAX);
        BoundedInt(value)
    }
}

impl<const MIN: i64, const MAX: i64> TryFrom<i64> for BoundedInt<MIN, MAX> {
    type Error = OutOfRange;

    fn try_from(value: i64) -> Result<Self, OutOfRange> {
        if (MIN..=MAX).contains(&value) {
            Ok(BoundedInt(value))
        } else {
            Err(OutOfRange { value, min: MIN, max: MAX })
        }
    }
}
