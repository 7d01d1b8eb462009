//! Compaction: the oldest segment is removed once none of its entries is live. Its live entries are rewritten
//! to the active segment, one batch at a time, while no other write is due.
//!
//! Segments are removed strictly in order of age, and each only after the records that replaced its entries
//! are synced. No removal can therefore bring back an older version of an entry.

use super::write_group::PendingWrite;
use super::{Action, AfterSync, Durability, PendingRequest, Store};
use crate::disk::DiskRequest;

/// Maximum size of the keys and values that one batch rewrites, bytes; its last entry may exceed the maximum.
const MAX_COMPACTION_BATCH_BYTES: usize = 64 * 1024;
/// A segment with a smaller live fraction is rewritten even if at most half of the disk limit is used.
const MIN_LIVE_FRACTION: f64 = 0.5;

impl Store {
    /// Starts the next step of compaction, if one is needed.
    pub(super) fn compact(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        let Some((oldest, segment)) = self.tables.oldest_segment() else { return };
        if oldest == self.active.number {
            return;
        }
        if segment.is_dead() {
            return self.sync(Vec::new(), AfterSync::DropOldestSegment, out);
        }
        let is_over_half_full = self.disk_bytes() > self.options.disk_bytes / 2;
        if !is_over_half_full && segment.live_fraction() >= MIN_LIVE_FRACTION {
            return;
        }
        let changes = self.tables.live_changes(oldest, MAX_COMPACTION_BATCH_BYTES);
        let rewrite =
            PendingWrite { ticket: None, changes, durability: Durability::Lazy, queued_at_ms: now_ms };
        self.append(vec![rewrite], out);
    }

    /// Removes the oldest segment, unless it is the active one.
    pub(super) fn drop_oldest_segment(&mut self, out: &mut Vec<Action>) {
        let oldest = self.tables.oldest_segment().map(|(number, _)| number);
        if let Some(oldest) = oldest.filter(|oldest| *oldest != self.active.number) {
            self.submit(DiskRequest::Remove(oldest), PendingRequest::Remove(oldest), out);
        }
    }
}
