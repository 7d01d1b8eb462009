//! The messages that the two processes of a server exchange.

use serde::{Deserialize, Serialize};

/// Bytes of a result in one message at most; a longer one is sent as [`KeyState::Failed`].
pub const MAX_RESULT_BYTES: usize = 32 << 10;
/// Bytes of records in one message beyond which the next record goes into the next message.
const MAX_BATCH_BYTES: usize = 24 << 10;
/// Bytes of a record beside its key and result, at most.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// An idempotency key: unique within its class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Name of the class.
    pub class: String,
    /// What the client sent.
    pub token: String,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyState {
    /// Admitted; it may still be refused without having run.
    Held,
    /// Started; there is no result yet.
    Ran,
    /// It ran, with this result.
    Done(Vec<u8>),
    /// It ran or may have run, and no result is kept. It is not run again in its window.
    Failed,
    /// It is proved that it never ran. The key is forgotten.
    Released,
}

impl KeyState {
    /// Whether only the process that admitted the key can still change its state.
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
    /// No other try that arrived before this may run, Unix ms. Not earlier than the request is due: it is not held beyond.
    pub until_ms: f64,
    /// Its state.
    pub state: KeyState,
}

impl KeyRecord {
    /// The same record, with a result that is too large to be sent left out.
    pub(crate) fn sendable(mut self, max_result_bytes: usize) -> KeyRecord {
        if self.result_bytes() > max_result_bytes.min(MAX_RESULT_BYTES) {
            self.state = KeyState::Failed;
        }
        self
    }

    /// Bytes of its result.
    pub(crate) fn result_bytes(&self) -> usize {
        if let KeyState::Done(result) = &self.state { result.len() } else { 0 }
    }

    fn size(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.key.class.len() + self.key.token.len() + self.result_bytes()
    }
}

/// What the predecessor tells first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Names of the listening sockets, in the order in which they were passed.
    pub listeners: Vec<String>,
    /// Key of the digests of bodies.
    pub digest_key: [u8; 16],
    /// Whether an operator has drained the server.
    pub drained: bool,
    /// Until when the predecessor itself does not know all keys, Unix ms; 0: it knows all.
    pub keys_unknown_until_ms: f64,
}

/// A request to run a key that the predecessor does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Names the claim in its answer.
    pub id: u64,
    /// The key.
    pub key: Key,
    /// Digest of the request's body.
    pub digest: u64,
    /// Until when no other try may run, Unix ms.
    pub until_ms: f64,
}

/// A message. Each has one direction, except [`Message::Drained`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Predecessor: the first message.
    Hello(Hello),
    /// Predecessor: a part of the snapshot, or changes since.
    Keys(Vec<KeyRecord>),
    /// Predecessor: the snapshot is whole.
    SnapshotEnd,
    /// Successor: it can serve and wants to.
    TakeOver,
    /// Predecessor: it accepts no connections any more, and the successor owns all keys.
    Yielded,
    /// Predecessor: may it run this key?
    Claim(Claim),
    /// Successor: the answer to a claim.
    ClaimAnswer {
        /// Of the claim.
        id: u64,
        /// Whether the predecessor may run it.
        granted: bool,
    },
    /// Both: an operator drained the server, or took it back into service.
    Drained(bool),
    /// Predecessor: its open client connections.
    Connections(u32),
}

/// Packs records into messages that fit into a frame.
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
