//! The intervals that a destination has not taken, oldest first. It owns their bounds in bytes and age, and what is given
//! up at a bound: resolution, never a count. It must never know where points go.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::snapshot::{Interval, Snapshot};

/// Bounds of a spool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Most memory, bytes.
    pub bytes: usize,
    /// Age past which an interval is merged into the one behind it, ms.
    pub age_ms: f64,
    /// Intervals of which points may be under way at once, the oldest ones.
    pub window: usize,
}

/// What is known of an interval of which a point was ever sent: for each point a set of receivers, a bit each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Marks {
    /// Those that took it.
    pub taken: Box<[u32]>,
    /// Those on whose connection it is under way.
    pub flying: Box<[u32]>,
}

/// One interval of the spool.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its number, counting up.
    pub number: u64,
    snapshot: Snapshot,
    /// Nothing until a first point of it is sent: till then it may be merged.
    pub marks: Option<Marks>,
}

/// The spool of one destination.
#[derive(Clone, Debug)]
pub struct Spool {
    bounds: Bounds,
    /// Totals at the end of what was last removed.
    base: Rc<[f64]>,
    entries: VecDeque<Entry>,
    bytes: usize,
    next: u64,
    merged: u64,
    dropped: u64,
}

impl Spool {
    /// An empty spool; `base` are the totals that its first interval counts from.
    pub fn new(bounds: Bounds, base: Rc<[f64]>) -> Self {
        Spool { bounds, base, entries: VecDeque::new(), bytes: 0, next: 0, merged: 0, dropped: 0 }
    }

    /// Intervals and bytes in it.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// Intervals that were merged into another, and that were dropped, since the start.
    pub fn lost(&self) -> (u64, u64) {
        (self.merged, self.dropped)
    }

    /// Whether nothing is left to deliver.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an interval, and gives up what is past the bounds for it. Returns its number.
    pub fn push(&mut self, now: f64, snapshot: Snapshot) -> u64 {
        let number = self.next;
        let entry = Entry { number: self.next, snapshot, marks: None };
        self.next += 1;
        self.bytes += bytes_of(&entry);
        self.entries.push_back(entry);
        self.keep_age(now);
        while self.bytes > self.bounds.bytes && self.merge_one() {}
        number
    }

    /// What is old goes into its successor. An interval in doubt can't: a receiver may know it under its own time.
    fn keep_age(&mut self, now: f64) {
        let age_ms = self.bounds.age_ms;
        let old = |entry: &Entry| now - entry.snapshot.span_ms.1 > age_ms;
        while self.entries.front().is_some_and(|entry| entry.marks.is_some() && old(entry)) {
            self.dropped += 1;
            self.pop();
        }
        while let Some(at) = self.first_unmarked().filter(|at| at + 1 < self.entries.len()) {
            if !old(&self.entries[at]) {
                return;
            }
            self.merge(at);
        }
    }

    /// Merges two neighbours: of those pairs that stand for the fewest slots the oldest, so that resolution is halved
    /// evenly from the old end. Tells whether there was a pair.
    fn merge_one(&mut self) -> bool {
        let Some(first) = self.first_unmarked() else { return false };
        let slots =
            |at: usize| self.entries[at].snapshot.slots.saturating_add(self.entries[at + 1].snapshot.slots);
        let pairs = first..self.entries.len().saturating_sub(1);
        let Some(at) = pairs.min_by_key(|at| slots(*at)) else { return false };
        self.merge(at);
        true
    }

    /// Only the oldest are ever sent, so those that were not stand together behind them.
    fn first_unmarked(&self) -> Option<usize> {
        let after = self.entries.iter().rposition(|entry| entry.marks.is_some()).map_or(0, |at| at + 1);
        (after < self.entries.len()).then_some(after)
    }

    fn merge(&mut self, at: usize) {
        let (earlier, later) = (&self.entries[at], &self.entries[at + 1]);
        let snapshot = earlier.snapshot.merged(&later.snapshot);
        let before = bytes_of(earlier) + bytes_of(later);
        self.entries.remove(at);
        self.entries[at].snapshot = snapshot;
        self.bytes = self.bytes - before + bytes_of(&self.entries[at]);
        self.merged += 1;
    }

    /// The intervals of which points may be sent now, oldest first.
    pub fn window(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().take(self.bounds.window)
    }

    /// What the points of an interval are made of.
    pub fn interval(&self, number: u64) -> Option<Interval> {
        let at = self.place(number)?;
        let before = at.checked_sub(1).map_or(&self.base, |at| &self.entries[at].snapshot.totals).clone();
        Some(Interval { snapshot: self.entries[at].snapshot.clone(), before })
    }

    /// What is known of an interval's points, all unknown at first.
    pub fn marks(&mut self, number: u64, points: usize) -> Option<&mut Marks> {
        let at = self.place(number)?;
        let entry = &mut self.entries[at];
        if entry.marks.is_none() {
            let none = vec![0_u32; points].into_boxed_slice();
            entry.marks = Some(Marks { taken: none.clone(), flying: none });
            self.bytes += points * 8;
        }
        entry.marks.as_mut()
    }

    /// All that is known of any interval.
    pub fn all_marks(&mut self) -> impl Iterator<Item = &mut Marks> {
        self.entries.iter_mut().filter_map(|entry| entry.marks.as_mut())
    }

    /// Removes the oldest intervals as long as this holds for what is known of them.
    pub fn settle(&mut self, is_settled: impl Fn(&Marks) -> bool) {
        while self.entries.front().is_some_and(|entry| entry.marks.as_ref().is_some_and(&is_settled)) {
            self.pop();
        }
    }

    fn pop(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= bytes_of(&entry);
            self.base = entry.snapshot.totals;
        }
    }

    fn place(&self, number: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&number, |entry| entry.number).ok()
    }
}

fn bytes_of(entry: &Entry) -> usize {
    entry.snapshot.bytes() + entry.marks.as_ref().map_or(0, |marks| marks.taken.len() * 8)
}

#[cfg(test)]
mod tests;
