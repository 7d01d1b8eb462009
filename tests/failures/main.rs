//! One small test for each failure found, and for each rule that a single decision could break, by theme.

#[path = "../common/mod.rs"]
mod common;

mod call_budget;
mod deadlines;
mod duplicates;
mod estimates;
mod feedback;
mod limits;
mod priority;
mod stalled;
