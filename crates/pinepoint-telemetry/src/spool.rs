//! The intervals that a destination has not acknowledged yet, oldest first.
//!
//! The spool is bounded in bytes and age. At a bound it gives up time resolution, by merging neighbouring
//! intervals, and never a count. Only an interval that was sent in part cannot be merged, and is dropped when
//! it gets too old.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::snapshot::{Interval, Snapshot};

/// Bounds of a spool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Memory, bytes.
    pub bytes: usize,
    /// Age past which an interval is merged into the next one, ms.
    pub age_ms: f64,
    /// How many of the oldest intervals may be in flight at once.
    pub window: usize,
}

/// For each point of an interval that was sent at least in part, two sets of receivers (a bit for each
/// receiver slot).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AckState {
    /// The receivers that acknowledged the point.
    pub acknowledged: Box<[u32]>,
    /// The receivers to which it is in flight.
    pub in_flight: Box<[u32]>,
}

impl AckState {
    fn new(points: usize) -> Self {
        let nobody = vec![0_u32; points].into_boxed_slice();
        AckState { acknowledged: nobody.clone(), in_flight: nobody }
    }

    fn bytes(points: usize) -> usize {
        points * 2 * size_of::<u32>()
    }

    /// The receivers that have the point or are about to get it.
    pub fn receivers(&self, point: usize) -> u32 {
        self.acknowledged[point] | self.in_flight[point]
    }

    /// All receivers that any point knows.
    pub fn all_receivers(&self) -> u32 {
        self.acknowledged.iter().chain(&self.in_flight).fold(0, |all, receivers| all | receivers)
    }

    /// Forgets a receiver, given as its bit.
    pub fn forget(&mut self, receiver: u32) {
        for receivers in self.acknowledged.iter_mut().chain(&mut self.in_flight) {
            *receivers &= !receiver;
        }
    }
}

/// One interval of the spool.
#[derive(Clone, Debug)]
pub struct SpooledInterval {
    /// Its number, counting up.
    pub number: u64,
    snapshot: Snapshot,
    /// `None` until a first point of it is sent; until then it may be merged.
    pub ack_state: Option<AckState>,
}

impl SpooledInterval {
    fn bytes(&self) -> usize {
        let ack_state = self.ack_state.as_ref().map_or(0, |state| AckState::bytes(state.acknowledged.len()));
        self.snapshot.bytes() + ack_state
    }
}

/// Intervals lost to the bounds, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Intervals that were merged into another.
    pub merged: u64,
    /// Intervals that were dropped.
    pub dropped: u64,
}

/// The spool of one destination.
#[derive(Clone, Debug)]
pub struct Spool {
    bounds: Bounds,
    /// Totals at the end of the interval that was removed last.
    base_totals: Rc<[f64]>,
    intervals: VecDeque<SpooledInterval>,
    bytes: usize,
    next_number: u64,
    losses: Losses,
}

impl Spool {
    /// An empty spool. The first interval counts from `base_totals`.
    pub fn new(bounds: Bounds, base_totals: Rc<[f64]>) -> Self {
        Spool {
            bounds,
            base_totals,
            intervals: VecDeque::new(),
            bytes: 0,
            next_number: 0,
            losses: Losses::default(),
        }
    }

    /// Number of intervals, and their memory in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.intervals.len(), self.bytes)
    }

    /// Intervals lost to the bounds, since the start.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// Whether nothing is left to deliver.
    pub fn is_empty(&self) -> bool {
        self.intervals.is_empty()
    }

    /// Adds an interval and enforces the bounds. Returns its number.
    pub fn push(&mut self, now: f64, snapshot: Snapshot) -> u64 {
        let number = self.next_number;
        let interval = SpooledInterval { number, snapshot, ack_state: None };
        self.next_number += 1;
        self.bytes += interval.bytes();
        self.intervals.push_back(interval);
        self.enforce_max_age(now);
        while self.bytes > self.bounds.bytes && self.merge_one_pair() {}
        number
    }

    /// Merges old intervals into their successors. One that was sent in part is dropped: a receiver may know
    /// some of it under its own timestamp.
    fn enforce_max_age(&mut self, now: f64) {
        let max_age_ms = self.bounds.age_ms;
        let is_old = |interval: &SpooledInterval| now - interval.snapshot.span_ms.1 > max_age_ms;
        while self.intervals.front().is_some_and(|first| first.ack_state.is_some() && is_old(first)) {
            self.losses.dropped += 1;
            self.pop_oldest();
        }
        while let Some(at) = self.first_unsent().filter(|at| at + 1 < self.intervals.len()) {
            if !is_old(&self.intervals[at]) {
                return;
            }
            self.merge_with_next(at);
        }
    }

    /// Merges two neighbours: of the pairs that cover the fewest slots the oldest one, so that the resolution
    /// is halved evenly from the old end. Returns whether there was a pair.
    fn merge_one_pair(&mut self) -> bool {
        let Some(first) = self.first_unsent() else { return false };
        let slots = |at: usize| {
            let (earlier, later) = (&self.intervals[at].snapshot, &self.intervals[at + 1].snapshot);
            earlier.slots.saturating_add(later.slots)
        };
        let pairs = first..self.intervals.len().saturating_sub(1);
        let Some(at) = pairs.min_by_key(|at| slots(*at)) else { return false };
        self.merge_with_next(at);
        true
    }

    /// The oldest interval of which nothing was sent. Only the oldest intervals are sent, so all behind it
    /// are unsent too.
    fn first_unsent(&self) -> Option<usize> {
        let last_sent = self.intervals.iter().rposition(|interval| interval.ack_state.is_some());
        let after = last_sent.map_or(0, |at| at + 1);
        (after < self.intervals.len()).then_some(after)
    }

    fn merge_with_next(&mut self, at: usize) {
        let (earlier, later) = (&self.intervals[at], &self.intervals[at + 1]);
        let snapshot = earlier.snapshot.merged(&later.snapshot);
        let bytes_before = earlier.bytes() + later.bytes();
        self.intervals.remove(at);
        self.intervals[at].snapshot = snapshot;
        self.bytes = self.bytes - bytes_before + self.intervals[at].bytes();
        self.losses.merged += 1;
    }

    /// The intervals of which points may be sent now, oldest first.
    pub fn window(&self) -> impl Iterator<Item = &SpooledInterval> {
        self.intervals.iter().take(self.bounds.window)
    }

    /// The data of an interval; `None` if the spool no longer has it.
    pub fn interval(&self, number: u64) -> Option<Interval> {
        let at = self.position(number)?;
        let previous = at.checked_sub(1).map(|at| &self.intervals[at].snapshot.totals);
        let previous_totals = previous.unwrap_or(&self.base_totals).clone();
        Some(Interval { snapshot: self.intervals[at].snapshot.clone(), previous_totals })
    }

    /// The acknowledgements of an interval with this number of points, created if it has none; `None` if the
    /// spool no longer has the interval.
    pub fn ack_state_mut(&mut self, number: u64, points: usize) -> Option<&mut AckState> {
        let at = self.position(number)?;
        let interval = &mut self.intervals[at];
        if interval.ack_state.is_none() {
            self.bytes += AckState::bytes(points);
        }
        Some(interval.ack_state.get_or_insert_with(|| AckState::new(points)))
    }

    /// The acknowledgements of all intervals that have any.
    pub fn ack_states_mut(&mut self) -> impl Iterator<Item = &mut AckState> {
        self.intervals.iter_mut().filter_map(|interval| interval.ack_state.as_mut())
    }

    /// Removes the oldest intervals as long as they are delivered.
    pub fn remove_delivered(&mut self, is_delivered: impl Fn(&AckState) -> bool) {
        while self.intervals.front().is_some_and(|first| first.ack_state.as_ref().is_some_and(&is_delivered))
        {
            self.pop_oldest();
        }
    }

    fn pop_oldest(&mut self) {
        if let Some(interval) = self.intervals.pop_front() {
            self.bytes -= interval.bytes();
            self.base_totals = interval.snapshot.totals;
        }
    }

    fn position(&self, number: u64) -> Option<usize> {
        self.intervals.binary_search_by_key(&number, |interval| interval.number).ok()
    }
}

#[cfg(test)]
mod tests;
