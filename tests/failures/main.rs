//! Small tests by topic: one for each failure found, and one for each rule that a single decision could
//! break.

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
