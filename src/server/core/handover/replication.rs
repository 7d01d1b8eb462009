//! Replication of keys between the processes of a server, so that no key runs in both.

use pinepoint_handover::message::{Key as SharedKey, KeyRecord, KeyState};
use pinepoint_handover::predecessor;

use super::Handover;
use crate::server::core::Core;
use crate::server::core::keys::{Attempt, AttemptEnd, AttemptRecord, AttemptResult, IdempotencyKey};

impl Core {
    /// Records that a key has changed, for the successor. Without a successor nothing is copied.
    pub(in crate::server::core) fn mark_key_changed(&mut self, key: &IdempotencyKey) {
        if let Some(handover) = self.handover.as_mut().filter(|handover| handover.has_successor()) {
            handover.changed_keys.push(key.clone());
        }
    }

    /// Records that the key of a request has changed, for the successor.
    pub(in crate::server::core) fn mark_request_key_changed(&mut self, id: u32) {
        if self.handover.as_ref().is_some_and(Handover::has_successor)
            && let Some(request) = self.keyed_request(id)
        {
            self.mark_key_changed(&request.key);
        }
    }

    /// Sends the successor the keys that protect an effect and have changed in the current batch.
    pub(in crate::server::core) fn send_changed_keys(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let mut changed = std::mem::take(&mut handover.changed_keys);
        changed.sort_unstable();
        changed.dedup();
        for key in changed.iter().filter(|key| key.protects_effect()) {
            let record = self.key_record(key);
            self.predecessor_event(predecessor::Event::KeyChanged(record));
        }
    }

    /// The records of all keys of this process that protect an effect.
    pub(super) fn key_records(&self) -> Vec<KeyRecord> {
        let keys = self.keys.keys().filter(|key| key.protects_effect());
        keys.map(|key| self.key_record(key)).collect()
    }

    fn key_record(&self, key: &IdempotencyKey) -> KeyRecord {
        let shared_name = shared_key(key);
        let Some(AttemptRecord { attempt, started, result }) = self.keys.record(key) else {
            return KeyRecord { key: shared_name, digest: 0, until_ms: 0.0, state: KeyState::Released };
        };
        let state = match result {
            _ if !started => KeyState::Held,
            AttemptResult::Pending => KeyState::Ran,
            AttemptResult::Done(bytes) => KeyState::Done(bytes.to_vec()),
            AttemptResult::Failed => KeyState::Failed,
        };
        // A request that is queued beyond the window of its key must not be overtaken by a run of the other
        // process.
        let deadline_ms = self.requests.get(attempt.id).map_or(0.0, |open| open.deadline_ms);
        let until_ms = attempt.window_end_ms.max(deadline_ms);
        KeyRecord { key: shared_name, digest: attempt.digest, until_ms, state }
    }

    /// Enters the predecessor's record of a key. A key that this process already knows itself is left
    /// unchanged.
    pub(super) fn import_record(&mut self, record: KeyRecord) {
        let key = local_key(record.key);
        let imported = self.keys.remote_attempt(&key);
        if imported.is_none() && (record.state == KeyState::Released || self.keys.is_known(&key, self.now_ms))
        {
            return;
        }
        let id = imported.unwrap_or_else(|| self.requests.allocate_id());
        if record.state != KeyState::Released {
            let attempt = Attempt { id, digest: record.digest, window_end_ms: record.until_ms };
            self.keys.insert_remote(&key, attempt);
        }
        match record.state {
            KeyState::Held | KeyState::Ran => self.mark_key_changed(&key),
            KeyState::Done(bytes) => {
                let result = AttemptResult::Done(bytes.into());
                self.finish_attempt(&key, id, AttemptEnd::Ran(result));
            }
            KeyState::Failed => self.finish_attempt(&key, id, AttemptEnd::Ran(AttemptResult::Failed)),
            KeyState::Released => self.finish_attempt(&key, id, AttemptEnd::NeverRan),
        }
    }

    /// Ends all attempts that were in flight in the other process.
    pub(super) fn finish_remote_attempts(&mut self, end: &AttemptEnd) {
        for (key, id) in self.keys.remote_attempts() {
            self.finish_attempt(&key, id, end.clone());
        }
    }
}

/// The key in the form that processes exchange. Idempotency keys apply to all keyed classes, so no class is
/// named.
pub(super) fn shared_key(key: &IdempotencyKey) -> SharedKey {
    SharedKey { class: String::new(), token: key.value.clone() }
}

pub(super) fn local_key(key: SharedKey) -> IdempotencyKey {
    IdempotencyKey::of_keyed_classes(key.token)
}
