//! Recovery: all segments are read in order and replayed into the tables, then a new segment is created for
//! writing.
//!
//! The header of a segment records the length of the previous one. A segment is therefore verified and
//! replayed only after the next segment's header is read, or when there is no next segment.

use std::collections::VecDeque;

use super::{Action, CloseReason, PendingRequest, Phase, Store};
use crate::disk::DiskRequest;
use crate::format::{self, Corruption, SegmentHeader, SegmentHeaderError};

/// Progress of recovery.
#[derive(Default)]
pub(super) struct Recovery {
    /// Numbers of the segments to be read, ascending.
    unread: VecDeque<u64>,
    /// The segment that was read last.
    unverified: Option<UnverifiedSegment>,
    /// The highest number of a listed segment, except a last segment whose creation a crash interrupted.
    highest_number: u64,
}

/// A segment whose header is valid and whose records are not verified yet.
struct UnverifiedSegment {
    header: SegmentHeader,
    bytes: Vec<u8>,
}

impl Store {
    /// Starts to read the listed segments in ascending order.
    pub(super) fn segments_listed(&mut self, mut numbers: Vec<u64>, out: &mut Vec<Action>) {
        numbers.sort_unstable();
        let highest_number = numbers.last().copied().unwrap_or(0);
        self.phase = Phase::Recovering(Recovery { unread: numbers.into(), unverified: None, highest_number });
        self.read_next_segment(out);
    }

    /// Checks the header of a segment that was read, and replays the segment before it.
    pub(super) fn segment_read(&mut self, number: u64, bytes: Vec<u8>, out: &mut Vec<Action>) {
        match self.check_header(number, bytes) {
            Ok(()) => self.read_next_segment(out),
            Err(reason) => self.close(reason, out),
        }
    }

    fn read_next_segment(&mut self, out: &mut Vec<Action>) {
        let Phase::Recovering(recovery) = &mut self.phase else { return };
        if let Some(number) = recovery.unread.pop_front() {
            self.submit(DiskRequest::Read(number), PendingRequest::Read(number), out);
            return;
        }
        let highest_number = recovery.highest_number;
        if let Some(last) = recovery.unverified.take()
            && let Err(reason) = self.replay_segment(&last, None)
        {
            return self.close(reason, out);
        }
        // Always a new segment, so that nothing is written after bytes that a crash may have left.
        let newest = self.tables.newest_segment_number().unwrap_or(highest_number);
        self.create_segment(newest + 1, out);
    }

    fn check_header(&mut self, number: u64, bytes: Vec<u8>) -> Result<(), CloseReason> {
        let Phase::Recovering(recovery) = &mut self.phase else { return Ok(()) };
        let is_last = recovery.unread.is_empty();
        match SegmentHeader::decode(&bytes, number) {
            Ok(header) => {
                let previous = recovery.unverified.replace(UnverifiedSegment { header, bytes });
                previous.map_or(Ok(()), |previous| self.replay_previous(&previous, &header))
            }
            Err(SegmentHeaderError::UnsupportedVersion(version)) => Err(CloseReason::NewerFormat(version)),
            // A header is synced before any record is written. Without a valid record, a crash must have
            // interrupted the creation of the segment, and the segment is created again.
            Err(SegmentHeaderError::Corrupt) if is_last && !format::contains_valid_record(&bytes, number) => {
                recovery.highest_number = number.saturating_sub(1);
                Ok(())
            }
            Err(SegmentHeaderError::Corrupt) => {
                Err(CloseReason::Corrupt(Corruption { segment: number, offset: 0 }))
            }
        }
    }

    fn replay_previous(
        &mut self,
        segment: &UnverifiedSegment,
        next: &SegmentHeader,
    ) -> Result<(), CloseReason> {
        let expected_number = segment.header.number + 1;
        if next.number != expected_number {
            return Err(CloseReason::MissingSegment(expected_number));
        }
        self.replay_segment(segment, Some(next))
    }

    /// Verifies a segment, against the header of the next one if there is one, and applies its batches to the
    /// tables.
    fn replay_segment(
        &mut self,
        segment: &UnverifiedSegment,
        next: Option<&SegmentHeader>,
    ) -> Result<(), CloseReason> {
        let number = segment.header.number;
        let expected_bytes = next.map(|next| next.previous_segment_bytes);
        let contents = format::read_segment(&segment.bytes, &segment.header, expected_bytes)
            .map_err(CloseReason::Corrupt)?;
        if next.is_some_and(|next| next.chain_hash != contents.chain_hash) {
            let corruption = Corruption { segment: number, offset: contents.valid_bytes };
            return Err(CloseReason::Corrupt(corruption));
        }
        self.tables.add_segment(number, contents.valid_bytes);
        for change in contents.batches.iter().flatten() {
            self.tables.replay(change, number, self.expired_before_ms);
        }
        self.active.bytes = contents.valid_bytes;
        self.active.chain_hash = contents.chain_hash;
        Ok(())
    }
}
