//! The intervals that a destination has not acknowledged yet, oldest first.
//!
//! The spool is bounded in bytes and age. At a bound it merges neighbouring intervals, which loses time
//! resolution but no counts. Only an interval that was sent in part cannot be merged; it is dropped when it
//! gets too old.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::snapshot::{Interval, Snapshot};

/// Bounds of a spool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum memory, bytes.
    pub bytes: usize,
    /// Age past which an interval is merged into the next one, ms.
    pub age_ms: f64,
    /// How many of the oldest intervals may be in flight at once.
    pub window: usize,
}

/// The acknowledgements of an interval that was sent at least in part: for each point, two sets of receivers
/// (a bit for each receiver slot).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AckState {
    /// The receivers that acknowledged the point.
    pub acknowledged: Box<[u32]>,
    /// The receivers to which the point is in flight.
    pub in_flight: Box<[u32]>,
}

impl AckState {
    fn new(points: usize) -> Self {
        let no_receivers = vec![0_u32; points].into_boxed_slice();
        AckState { acknowledged: no_receivers.clone(), in_flight: no_receivers }
    }

    fn bytes(points: usize) -> usize {
        points * 2 * size_of::<u32>()
    }

    /// The receivers that acknowledged the point or to which it is in flight.
    pub fn receivers(&self, point: usize) -> u32 {
        self.acknowledged[point] | self.in_flight[point]
    }

    /// All receivers that acknowledged any point or to which any point is in flight.
    pub fn all_receivers(&self) -> u32 {
        self.acknowledged.iter().chain(&self.in_flight).fold(0, |all, receivers| all | receivers)
    }

    /// Removes a receiver, given as its bit, from the sets of all points.
    pub fn remove_receiver(&mut self, receiver_bit: u32) {
        for receivers in self.acknowledged.iter_mut().chain(&mut self.in_flight) {
            *receivers &= !receiver_bit;
        }
    }
}

/// One interval of the spool.
#[derive(Clone, Debug)]
pub struct SpooledInterval {
    /// The number of the interval; later intervals have higher numbers.
    pub number: u64,
    snapshot: Snapshot,
    /// `None` until the first point of the interval is sent; until then the interval may be merged.
    pub ack_state: Option<AckState>,
}

impl SpooledInterval {
    fn bytes(&self) -> usize {
        let ack_state = self.ack_state.as_ref().map_or(0, |state| AckState::bytes(state.acknowledged.len()));
        self.snapshot.bytes() + ack_state
    }
}

/// Intervals merged or dropped because of the bounds, since the start.
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
    /// Totals at the end of the last interval that was removed.
    base_totals: Rc<[f64]>,
    intervals: VecDeque<SpooledInterval>,
    bytes: usize,
    next_number: u64,
    losses: Losses,
}

impl Spool {
    /// Creates an empty spool. The increases of the first interval are relative to `base_totals`.
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

    /// Intervals merged or dropped because of the bounds, since the start.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// Whether no interval is left to deliver.
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

    /// Merges old intervals into their successors. An old interval that was sent in part is dropped: a
    /// receiver may have stored some of its points under its own timestamp.
    fn enforce_max_age(&mut self, now: f64) {
        let max_age_ms = self.bounds.age_ms;
        let is_old = |interval: &SpooledInterval| now - interval.snapshot.span_ms.1 > max_age_ms;
        while self.intervals.front().is_some_and(|first| first.ack_state.is_some() && is_old(first)) {
            self.losses.dropped += 1;
            self.pop_oldest();
        }
        while let Some(index) = self.first_unsent().filter(|index| index + 1 < self.intervals.len()) {
            if !is_old(&self.intervals[index]) {
                return;
            }
            self.merge_with_next(index);
        }
    }

    /// Merges two neighbouring intervals: the oldest of the pairs that cover the fewest slots, so that the
    /// resolution is halved evenly, beginning with the oldest intervals. Returns whether there was a pair.
    fn merge_one_pair(&mut self) -> bool {
        let Some(first) = self.first_unsent() else { return false };
        let slots = |index: usize| {
            let (earlier, later) = (&self.intervals[index].snapshot, &self.intervals[index + 1].snapshot);
            earlier.slots.saturating_add(later.slots)
        };
        let pairs = first..self.intervals.len().saturating_sub(1);
        let Some(index) = pairs.min_by_key(|index| slots(*index)) else { return false };
        self.merge_with_next(index);
        true
    }

    /// The index of the oldest interval of which no point was sent. Only the oldest intervals are sent, so
    /// all later ones are unsent too.
    fn first_unsent(&self) -> Option<usize> {
        let last_sent = self.intervals.iter().rposition(|interval| interval.ack_state.is_some());
        let after = last_sent.map_or(0, |index| index + 1);
        (after < self.intervals.len()).then_some(after)
    }

    fn merge_with_next(&mut self, index: usize) {
        let (earlier, later) = (&self.intervals[index], &self.intervals[index + 1]);
        let snapshot = earlier.snapshot.merged(&later.snapshot);
        let bytes_before = earlier.bytes() + later.bytes();
        self.intervals.remove(index);
        self.intervals[index].snapshot = snapshot;
        self.bytes = self.bytes - bytes_before + self.intervals[index].bytes();
        self.losses.merged += 1;
    }

    /// The intervals of which points may be sent now, oldest first.
    pub fn window(&self) -> impl Iterator<Item = &SpooledInterval> {
        self.intervals.iter().take(self.bounds.window)
    }

    /// The data of an interval; `None` if the spool no longer has it.
    pub fn interval(&self, number: u64) -> Option<Interval> {
        let index = self.position(number)?;
        let previous = index.checked_sub(1).map(|index| &self.intervals[index].snapshot.totals);
        let previous_totals = previous.unwrap_or(&self.base_totals).clone();
        Some(Interval { snapshot: self.intervals[index].snapshot.clone(), previous_totals })
    }

    /// The acknowledgements of an interval with this number of points, created if it has none; `None` if the
    /// spool no longer has the interval.
    pub fn ack_state_mut(&mut self, number: u64, points: usize) -> Option<&mut AckState> {
        let index = self.position(number)?;
        let interval = &mut self.intervals[index];
        if interval.ack_state.is_none() {
            self.bytes += AckState::bytes(points);
        }
        Some(interval.ack_state.get_or_insert_with(|| AckState::new(points)))
    }

    /// The acknowledgements of all intervals that have any.
    pub fn ack_states_mut(&mut self) -> impl Iterator<Item = &mut AckState> {
        self.intervals.iter_mut().filter_map(|interval| interval.ack_state.as_mut())
    }

    /// Removes intervals, beginning with the oldest, up to the first that is not delivered.
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
