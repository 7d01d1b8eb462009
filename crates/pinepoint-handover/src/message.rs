//! The messages of the handover protocol. The order of variants and fields is part of the encoding.

use serde::{Deserialize, Serialize};

/// Maximum size of a result in a message, bytes; a key with a longer one is sent as [`KeyState::Failed`].
pub const MAX_RESULT_BYTES: usize = 32 << 10;
/// Size of the records in one message, bytes; a message exceeds it only with a single record.
const MAX_BATCH_BYTES: usize = 24 << 10;
/// Upper bound of a record's size beside its key and result, bytes.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// An idempotency key; tokens are unique within their class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Name of the request class.
    pub class: String,
    /// The token that the client sent.
    pub token: String,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyState {
    /// The request is admitted and queued; it may still be rejected without having run.
    Held,
    /// The request runs; there is no result yet.
    Ran,
    /// The request ran, with this result.
    Done(Vec<u8>),
    /// The request ran or may have run, and no result is retained. It is not run again in its window.
    Failed,
    /// The request certainly never ran; the key is forgotten.
    Released,
}

impl KeyState {
    /// Whether the request is not finished: only the process that admitted it can change the state.
    pub fn is_open(&self) -> bool {
        matches!(self, KeyState::Held | KeyState::Ran)
    }
}

/// A key with its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: Key,
    /// Digest of the request's body, under the digest key of [`Hello`].
    pub digest: u64,
    /// Until when no other attempt of the key may run, Unix ms. Not before the request's deadline, beyond which it is not queued.
    pub until_ms: f64,
    /// The state of the request.
    pub state: KeyState,
}

impl KeyRecord {
    /// The record as it can be sent: one with a larger result than this, or than a message may hold, becomes failed.
    pub(crate) fn sendable(mut self, max_result_bytes: usize) -> KeyRecord {
        if self.result_bytes() > max_result_bytes.min(MAX_RESULT_BYTES) {
            self.state = KeyState::Failed;
        }
        self
    }

    /// Size of its result, bytes.
    pub(crate) fn result_bytes(&self) -> usize {
        if let KeyState::Done(result) = &self.state { result.len() } else { 0 }
    }

    fn size(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.key.class.len() + self.key.token.len() + self.result_bytes()
    }
}

/// The first message of the predecessor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Names of the listening sockets, in the order in which they are passed.
    pub listeners: Vec<String>,
    /// Secret key of the body digests.
    pub digest_key: [u8; 16],
    /// Whether an operator has drained the server.
    pub drained: bool,
    /// Until when the predecessor does not know all keys itself, Unix ms; 0 if it does.
    pub keys_unknown_until_ms: f64,
}

/// The predecessor's request for permission to run a key that it does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the claim in its answer.
    pub id: u64,
    /// The key.
    pub key: Key,
    /// Digest of the request's body.
    pub digest: u64,
    /// Until when no other attempt of the key may run, Unix ms.
    pub until_ms: f64,
}

/// A message. Each is sent in one direction only, except [`Message::Drained`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Predecessor: the first message.
    Hello(Hello),
    /// Predecessor: a part of the snapshot, or changes after it.
    Keys(Vec<KeyRecord>),
    /// Predecessor: the snapshot is complete.
    SnapshotEnd,
    /// Successor: it is ready to serve, and asks for ownership.
    TakeOver,
    /// Predecessor: it has stopped accepting connections, and the successor owns all keys.
    Yielded,
    /// Predecessor: asks to run a key.
    Claim(Claim),
    /// Successor: the answer to a claim.
    ClaimAnswer {
        /// Identifies the claim.
        id: u64,
        /// Whether the predecessor may run it.
        granted: bool,
    },
    /// Both: an operator drained the server, or ended the drain.
    Drained(bool),
    /// Predecessor: the number of its open client connections.
    Connections(u32),
}

/// Distributes records over messages, each of which fits into a frame.
pub(crate) fn key_messages(records: impl IntoIterator<Item = KeyRecord>) -> Vec<Message> {
    let mut messages = Vec::new();
    let (mut batch, mut bytes) = (Vec::new(), 0);
    for record in records {
        let size = record.size();
        if bytes + size > MAX_BATCH_BYTES && !batch.is_empty() {
            messages.push(Message::Keys(std::mem::take(&mut batch)));
            bytes = 0;
        }
        bytes += size;
        batch.push(record);
    }
    if !batch.is_empty() {
        messages.push(Message::Keys(batch));
    }
    messages
}
