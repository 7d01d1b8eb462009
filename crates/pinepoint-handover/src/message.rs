//! The messages of the handover protocol. The order of variants and fields is part of the encoding.

use serde::{Deserialize, Serialize};

/// Maximum size of a result in a message, bytes; a key with a larger result is sent as [`KeyState::Failed`].
pub const MAX_RESULT_BYTES: usize = 32 << 10;
/// Maximum total size of the records in one message, bytes; only a single record may exceed it.
const MAX_BATCH_BYTES: usize = 24 << 10;
/// Upper bound of a record's size without its key and result, bytes.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// An idempotency key; tokens are unique within their class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Name of the request class.
    pub class: String,
    /// The token that the client sent.
    pub token: String,
}

/// The state of the request that a key stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyState {
    /// The request is admitted and queued; it may still be rejected without having run.
    Held,
    /// The request was started and has no result yet.
    Ran,
    /// The request ran, with this result.
    Done(Vec<u8>),
    /// The request ran or may have run, and no result is retained. It is not run again within its window.
    Failed,
    /// The request certainly never ran; the key is deleted.
    Released,
}

impl KeyState {
    /// Whether the request is unfinished; only the process that admitted it can change this state.
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
    /// Time until which no other attempt with the key may run, Unix ms. It is no earlier than the request's
    /// deadline, after which the request is no longer queued.
    pub until_ms: f64,
    /// The state of the request.
    pub state: KeyState,
}

impl KeyRecord {
    /// Prepares the record for sending: the state becomes [`KeyState::Failed`] if the result exceeds
    /// `max_result_bytes` or [`MAX_RESULT_BYTES`].
    pub(crate) fn sendable(mut self, max_result_bytes: usize) -> KeyRecord {
        if self.result_bytes() > max_result_bytes.min(MAX_RESULT_BYTES) {
            self.state = KeyState::Failed;
        }
        self
    }

    /// Size of the retained result, bytes; 0 without a result.
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
    /// Time until which the predecessor itself does not know all keys, Unix ms; 0 if it knows all keys.
    pub keys_unknown_until_ms: f64,
}

/// The predecessor's request for permission to run a key that it does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the claim in [`Message::ClaimAnswer`].
    pub id: u64,
    /// The key.
    pub key: Key,
    /// Digest of the request's body.
    pub digest: u64,
    /// Time until which no other attempt with the key may run, Unix ms.
    pub until_ms: f64,
}

/// A protocol message. Each message has one sender, except [`Message::Drained`], which both processes send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Predecessor: the first message.
    Hello(Hello),
    /// Predecessor: a part of the snapshot, or changes after it.
    Keys(Vec<KeyRecord>),
    /// Predecessor: the snapshot is complete.
    SnapshotEnd,
    /// Successor: it is ready to serve, and requests ownership of the keys.
    TakeOver,
    /// Predecessor: it has stopped accepting connections, and the successor owns all keys.
    Yielded,
    /// Predecessor: requests permission to run a key.
    Claim(Claim),
    /// Successor: the answer to a claim.
    ClaimAnswer {
        /// Identifies the claim.
        id: u64,
        /// Whether the predecessor may run the key.
        granted: bool,
    },
    /// Both: an operator drained the server, or ended the drain.
    Drained(bool),
    /// Predecessor: the number of its open client connections.
    Connections(u32),
}

/// Packs records into [`Message::Keys`] messages, each of which fits into a frame.
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
