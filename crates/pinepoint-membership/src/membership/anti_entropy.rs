//! Anti-entropy: every packet carries a digest of its sender's table. Two members whose digests differ
//! exchange the digests of their buckets, and then the records of the buckets that differ.

use std::net::SocketAddr;

use super::dissemination::Recipient;
use super::{Action, Membership};
use crate::member::MemberRecord;
use crate::table::bucket_of;
use crate::wire::{BUCKET_COUNT, FRAME_BYTES, MAX_DATAGRAM_BYTES, Packet, PacketBody, SenderState};

/// Maximum number of datagrams in which one side sends its records.
const MAX_SYNC_DATAGRAMS: usize = 4;
/// Maximum time between exchanges while the table changes constantly, periods.
const MAX_SYNC_INTERVAL: f64 = 5.0;
/// Time after which a detected difference is ignored, periods.
const DIVERGENCE_LIFETIME: f64 = 2.0;
/// A peer knows many more members if it knows over this many times the local number, plus one.
const MANY_MORE_FACTOR: f64 = 1.1;

/// The peer whose table was last found to differ from the local one.
#[derive(Clone, Copy)]
struct Divergence {
    seen_ms: f64,
    peer: SocketAddr,
    known_members: u32,
}

/// Results of comparing the digests in packets with the local one.
pub(super) struct AntiEntropy {
    last_agreement_ms: f64,
    divergence: Option<Divergence>,
    last_sync_ms: f64,
}

impl AntiEntropy {
    pub(super) fn new(now: f64) -> Self {
        AntiEntropy { last_agreement_ms: f64::NEG_INFINITY, divergence: None, last_sync_ms: now }
    }

    /// Whether, within this time, the digest of some peer equalled the local one and no peer was found to
    /// differ.
    pub(super) fn agrees_with_peers(&self, now: f64, within_ms: f64) -> bool {
        let differs = self.divergence.is_some_and(|divergence| now - divergence.seen_ms < within_ms);
        now - self.last_agreement_ms < within_ms && !differs
    }

    /// Records that the digest in a packet of this peer differs from the local one.
    fn record_divergence(&mut self, now: f64, peer: SocketAddr, known_members: u32) {
        self.divergence = Some(Divergence { seen_ms: now, peer, known_members });
    }

    /// Records that the digest in a packet of this peer equals the local one.
    fn record_agreement(&mut self, now: f64, peer: SocketAddr) {
        self.last_agreement_ms = now;
        if self.divergence.is_some_and(|divergence| divergence.peer == peer) {
            self.divergence = None;
        }
    }
}

/// Whether the receiver of records is asked to send its own.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pull {
    Requested,
    NotRequested,
}

/// Records grouped into datagrams, as many as fit.
struct RecordBatches {
    batches: Vec<Vec<MemberRecord>>,
    remaining_bytes: usize,
}

impl RecordBatches {
    const CAPACITY: usize = MAX_DATAGRAM_BYTES - FRAME_BYTES;

    fn new() -> Self {
        RecordBatches { batches: vec![Vec::new()], remaining_bytes: Self::CAPACITY }
    }

    /// Adds a record. Returns false if no space is left for it.
    fn push(&mut self, record: MemberRecord) -> bool {
        let bytes = record.max_encoded_bytes();
        if bytes > self.remaining_bytes {
            if self.batches.len() == MAX_SYNC_DATAGRAMS {
                return false;
            }
            self.batches.push(Vec::new());
            self.remaining_bytes = Self::CAPACITY;
        }
        self.remaining_bytes -= bytes;
        if let Some(batch) = self.batches.last_mut() {
            batch.push(record);
        }
        true
    }
}

impl Membership {
    /// Compares the digest in a packet with the local one.
    pub(super) fn compare_digest(&mut self, now: f64, sender: &SenderState) {
        let peer = sender.record.identity.address;
        if sender.digest == self.digest() {
            self.anti_entropy.record_agreement(now, peer);
        } else {
            self.anti_entropy.record_divergence(now, peer, sender.known_members);
        }
    }

    /// Starts an exchange with a peer whose table differs: at once if the peer knows many more members,
    /// otherwise once this member's own updates have had time to spread.
    pub(super) fn sync_with_divergent_peer(&mut self, now: f64, actions: &mut Vec<Action>) {
        let Some(divergence) = self.anti_entropy.divergence else { return };
        let period_ms = self.settings.period_ms;
        let many_more_threshold = MANY_MORE_FACTOR * self.table.len() as f64 + 1.0;
        let peer_knows_many_more = f64::from(divergence.known_members) > many_more_threshold;
        let since_sync_ms = now - self.anti_entropy.last_sync_ms;
        let is_stable = now - self.last_change_ms >= period_ms;
        let is_overdue = since_sync_ms >= MAX_SYNC_INTERVAL * period_ms;
        let is_expired = now - divergence.seen_ms > DIVERGENCE_LIFETIME * period_ms;
        let is_due = if peer_knows_many_more {
            since_sync_ms >= 0.0
        } else {
            since_sync_ms >= period_ms && (is_stable || is_overdue)
        };
        if is_expired || !is_due {
            return;
        }
        self.anti_entropy.last_sync_ms = now;
        self.anti_entropy.divergence = None;
        self.start_sync(now, divergence.peer, actions);
    }

    /// Sends the digests of this table's buckets.
    pub(super) fn start_sync(&mut self, now: f64, peer: SocketAddr, actions: &mut Vec<Action>) {
        let digests = self.table.bucket_digests(&self.local.record);
        let bucket_digests = digests.iter().map(|digest| *digest as u32).collect();
        self.send(now, Recipient::unknown(peer), PacketBody::SyncDigests { bucket_digests }, actions);
    }

    /// Answers the digests of a peer with the local records of the buckets that differ, and requests the
    /// peer's records.
    pub(super) fn answer_sync(
        &mut self,
        now: f64,
        peer: SocketAddr,
        peer_digests: &[u32],
        actions: &mut Vec<Action>,
    ) {
        let digests = self.table.bucket_digests(&self.local.record);
        let differs =
            |bucket: &usize| digests[*bucket] as u32 != peer_digests.get(*bucket).copied().unwrap_or(0);
        let mut differing: Vec<usize> = (0..BUCKET_COUNT).filter(differs).collect();
        if differing.is_empty() {
            return;
        }
        // Starts at a random bucket, so that exchanges with several peers cover all buckets if one exchange
        // cannot carry them all.
        let first = self.random_index(differing.len());
        differing.rotate_left(first);
        self.send_buckets(now, peer, &differing, Pull::Requested, actions);
    }

    /// Answers a pull with the local records of the requested buckets.
    pub(super) fn answer_pull(
        &mut self,
        now: f64,
        peer: SocketAddr,
        buckets: u128,
        actions: &mut Vec<Action>,
    ) {
        let requested: Vec<usize> = (0..BUCKET_COUNT).filter(|bucket| buckets >> bucket & 1 == 1).collect();
        self.send_buckets(now, peer, &requested, Pull::NotRequested, actions);
    }

    /// Sends the records of these buckets, as far as they fit into `MAX_SYNC_DATAGRAMS`.
    fn send_buckets(
        &self,
        now: f64,
        peer: SocketAddr,
        buckets: &[usize],
        pull: Pull,
        actions: &mut Vec<Action>,
    ) {
        let mut batches = RecordBatches::new();
        let mut complete_buckets = 0_u128;
        for bucket in buckets {
            if !self.records_in(*bucket).into_iter().all(|record| batches.push(record)) {
                break;
            }
            complete_buckets |= 1 << bucket;
        }
        for (index, updates) in batches.batches.into_iter().enumerate() {
            let body = if pull == Pull::Requested && index == 0 {
                PacketBody::SyncPull { buckets: complete_buckets }
            } else {
                PacketBody::Gossip
            };
            let packet = Packet { sender: self.sender_state(now), body, updates };
            actions.push(Action::Send(peer, packet));
        }
    }

    /// The records in a bucket, the local one included.
    fn records_in(&self, bucket: usize) -> Vec<MemberRecord> {
        let members = self.table.in_bucket(bucket);
        let mut records: Vec<MemberRecord> = members.map(|(_, member)| member.record.clone()).collect();
        if bucket == bucket_of(self.local.key()) {
            records.push(self.local.record.clone());
        }
        records
    }
}
