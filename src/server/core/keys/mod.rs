//! The table of idempotency keys: which attempt of a key is retained, which attempt was started and until
//! when no other may be started, its result, and the duplicates that wait for that result.
//!
//! The table enforces the rule that no key runs twice within its deduplication window. It does no I/O, reads
//! no clock, and takes no decision of the admission controller. All times are Unix ms.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

use siphasher::sip::SipHasher13;

mod entry;
mod types;

use self::entry::Entry;
pub use self::types::{
    AlreadyRan, Attempt, AttemptEnd, AttemptRecord, AttemptResult, FinishedAttempt, IdempotencyKey,
    JoinOutcome, KeyScope, OriginalState, Waiter,
};

/// The table shrinks when its capacity is more than this many times its length plus [`MIN_CAPACITY`].
const MAX_CAPACITY_RATIO: usize = 4;
/// Capacity that is never released.
const MIN_CAPACITY: usize = 64;

/// The table of idempotency keys. Its results are bounded in bytes. Its entries are bounded by the admission
/// controller, which reserves memory for each entry.
#[derive(Debug)]
pub struct KeyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Bytes of all results. Code that removes a result from an entry, or an entry from the table, subtracts
    /// the bytes of the result.
    result_bytes: usize,
    max_result_bytes: f64,
    /// Drawn at random by each server, so that nobody can construct two bodies with one digest. All processes
    /// of a server share it.
    digest_key: [u8; 16],
}

/// An unpredictable key for digests.
fn random_digest_key() -> [u8; 16] {
    let mut key = [0; 16];
    let random = RandomState::new();
    for (half, bytes) in key.chunks_mut(8).enumerate() {
        bytes.copy_from_slice(&random.hash_one(half).to_ne_bytes());
    }
    key
}

impl KeyTable {
    /// An empty table that retains up to this many bytes of results.
    pub fn new(max_result_bytes: f64) -> Self {
        KeyTable {
            entries: HashMap::new(),
            result_bytes: 0,
            max_result_bytes,
            digest_key: random_digest_key(),
        }
    }

    /// Changes the bound on the bytes of results. Results that are already retained stay until they expire.
    pub fn set_max_result_bytes(&mut self, max_result_bytes: f64) {
        self.max_result_bytes = max_result_bytes;
    }

    /// Number of entries, and bytes of results.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.result_bytes)
    }

    /// A digest by which the bodies of two attempts are compared.
    pub fn digest(&self, body: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.digest_key);
        hasher.write(body);
        hasher.finish()
    }

    /// The key with which digests are computed.
    pub fn digest_key(&self) -> [u8; 16] {
        self.digest_key
    }

    /// Takes over the digest key of another process of this server. Earlier digests no longer match any body.
    pub fn set_digest_key(&mut self, digest_key: [u8; 16]) {
        self.digest_key = digest_key;
    }

    /// All keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &IdempotencyKey> {
        self.entries.keys()
    }

    /// The state of this key that another process has to know; `None` if the key is unknown.
    pub fn record(&self, key: &IdempotencyKey) -> Option<AttemptRecord> {
        let entry = self.entries.get(key)?;
        let attempt = entry.started.or(entry.retained)?;
        let result = if entry.result_of == attempt.id { entry.result.clone() } else { AttemptResult::Failed };
        Some(AttemptRecord { attempt, started: entry.started.is_some(), result })
    }

    /// Whether a request of the key that arrives at this time is a duplicate.
    pub fn is_known(&self, key: &IdempotencyKey, arrived_ms: f64) -> bool {
        self.covering(key, arrived_ms).is_some()
    }

    /// The attempt that a request of this key duplicates, if it arrived within the window.
    pub fn original_of(&self, key: &IdempotencyKey, arrived_ms: f64) -> Option<u32> {
        Some(self.covering(key, arrived_ms)?.id)
    }

    /// Whether the key is known for a request with another body than this one.
    pub fn has_other_body(&self, key: &IdempotencyKey, arrived_ms: f64, digest: u64) -> bool {
        self.covering(key, arrived_ms).is_some_and(|known| known.digest != digest)
    }

    fn covering(&self, key: &IdempotencyKey, arrived_ms: f64) -> Option<Attempt> {
        self.entries.get(key)?.covering(arrived_ms)
    }

    /// The attempt of this key that is in flight in another process.
    pub fn remote_attempt(&self, key: &IdempotencyKey) -> Option<u32> {
        self.entries.get(key)?.remote
    }

    /// All keys with an attempt in flight in another process, each with that attempt.
    pub fn remote_attempts(&self) -> Vec<(IdempotencyKey, u32)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key.clone(), entry.remote?))).collect()
    }

    /// Enters an attempt that is in flight in another process, or extends its window. No attempt of this
    /// process may be started before the window ends.
    pub fn insert_remote(&mut self, key: &IdempotencyKey, attempt: Attempt) {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(attempt.id));
        if entry.remote == Some(attempt.id) {
            // After the end of that window an attempt of this process may have taken over the entry; it is
            // left unchanged.
            if let Some(started) = entry.started.as_mut().filter(|started| started.id == attempt.id) {
                started.window_end_ms = started.window_end_ms.max(attempt.window_end_ms);
            }
            return;
        }
        if entry.result_of != attempt.id {
            self.result_bytes -= entry.result_bytes();
            (entry.result_of, entry.result) = (attempt.id, AttemptResult::Pending);
        }
        entry.retained = None;
        entry.previous_started = entry.started.replace(attempt);
        entry.remote = Some(attempt.id);
    }

    /// Enters an attempt that is about to be started and reached the machine at `arrived_ms`.
    ///
    /// This check enforces the rule on duplicates whatever the cause, including an admission controller that
    /// forgot the key.
    ///
    /// # Errors
    ///
    /// [`AlreadyRan`] if another attempt was started and its window covers `arrived_ms`; nothing changes
    /// then.
    pub fn start(
        &mut self,
        key: &IdempotencyKey,
        attempt: Attempt,
        arrived_ms: f64,
    ) -> Result<(), AlreadyRan> {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(attempt.id));
        if entry.started.is_some_and(|started| arrived_ms < started.window_end_ms) {
            return Err(AlreadyRan);
        }
        entry.previous_started = entry.started.replace(attempt);
        self.result_bytes -= entry.result_bytes();
        (entry.result_of, entry.result) = (attempt.id, AttemptResult::Pending);
        Ok(())
    }

    /// Retains this attempt as the original of later duplicates of its key. The result of an attempt retained
    /// earlier is dropped; otherwise duplicates would receive it long after it expired.
    pub fn retain(&mut self, key: IdempotencyKey, attempt: Attempt) {
        let entry = self.entries.entry(key).or_insert_with(|| Entry::new(attempt.id));
        entry.retained = Some(attempt);
        if entry.started.is_none() && entry.result_of != attempt.id {
            self.result_bytes -= entry.result_bytes();
            (entry.result_of, entry.result) = (attempt.id, AttemptResult::Pending);
        }
    }

    /// Stops retaining this attempt. A started attempt stays known until its window ends, whatever is
    /// released; this makes the effect happen only once.
    pub fn release(&mut self, key: &IdempotencyKey, id: u32) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.release(id);
        self.remove_if_empty(key);
    }

    /// Lets a duplicate wait for the attempt that it names if that attempt is in flight, or returns how that
    /// attempt ended.
    pub fn join(&mut self, key: &IdempotencyKey, waiter: Waiter, original: OriginalState) -> JoinOutcome {
        let Some(entry) = self.entries.get_mut(key) else {
            return JoinOutcome::Finished(AttemptResult::Failed);
        };
        if entry.result_of == waiter.original && entry.result != AttemptResult::Pending {
            return JoinOutcome::Finished(entry.result.clone());
        }
        match original {
            OriginalState::InFlight => {
                entry.waiters.push(waiter);
                JoinOutcome::Waits
            }
            OriginalState::Ended => JoinOutcome::Finished(AttemptResult::Failed),
        }
    }

    /// Ends an attempt of the key, and removes the duplicates that waited for it.
    pub fn finish(&mut self, key: &IdempotencyKey, id: u32, end: AttemptEnd) -> FinishedAttempt {
        let Some(entry) = self.entries.get_mut(key) else { return FinishedAttempt::default() };
        entry.remote = entry.remote.filter(|remote| *remote != id);
        let (waiters, others): (Vec<Waiter>, _) =
            entry.waiters.drain(..).partition(|waiter| waiter.original == id);
        entry.waiters = others;
        let mut result_dropped = false;
        match end {
            AttemptEnd::NeverRan => {
                if entry.started.is_some_and(|started| started.id == id) {
                    entry.started = entry.previous_started.take();
                }
                entry.release(id);
            }
            AttemptEnd::Ran(result) if entry.result_of == id => {
                let others_bytes = self.result_bytes - entry.result_bytes();
                entry.result = result;
                if (others_bytes + entry.result_bytes()) as f64 > self.max_result_bytes {
                    result_dropped = entry.result_bytes() > 0;
                    entry.result = AttemptResult::Failed;
                }
                self.result_bytes = others_bytes + entry.result_bytes();
            }
            AttemptEnd::Ran(_) => {}
        }
        self.remove_if_empty(key);
        FinishedAttempt { waiters: waiters.into_iter().map(|waiter| waiter.id).collect(), result_dropped }
    }

    /// Removes an ended request of this key from the waiting duplicates.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, id: u32) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.waiters.retain(|waiter| waiter.id != id);
        self.remove_if_empty(key);
    }

    /// Removes an ended request of this key that never left the queue: such an attempt leaves nothing to
    /// duplicate.
    pub fn remove_queued(&mut self, key: &IdempotencyKey, id: u32) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.waiters.retain(|waiter| waiter.id != id);
        entry.release(id);
        self.remove_if_empty(key);
    }

    fn remove_if_empty(&mut self, key: &IdempotencyKey) {
        if self.entries.get(key).is_some_and(Entry::is_empty)
            && let Some(entry) = self.entries.remove(key)
        {
            self.result_bytes -= entry.result_bytes();
        }
    }

    /// Removes the entries to which no request that arrived within the window can refer any more.
    pub fn remove_expired(&mut self, now_ms: f64) {
        let mut freed_bytes = 0;
        self.entries.retain(|_, entry| {
            let alive = entry.is_alive(now_ms);
            freed_bytes += if alive { 0 } else { entry.result_bytes() };
            alive
        });
        self.result_bytes -= freed_bytes;
        self.shrink();
    }

    /// Releases the capacity that remains after a peak: otherwise the table would keep its largest size for
    /// the lifetime of the process.
    fn shrink(&mut self) {
        let length = self.entries.len();
        if self.entries.capacity() > MAX_CAPACITY_RATIO * length + MIN_CAPACITY {
            self.entries.shrink_to(2 * length);
        }
    }
}
