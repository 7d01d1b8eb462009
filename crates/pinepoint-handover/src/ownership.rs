//! What both state machines share: limits and timeouts, reasons, and the rule for keys that a process does not know.

use pinepoint_events::reason_codes;

/// Limits and timeouts of a handover.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The longest deduplication window of all classes, ms.
    pub longest_window_ms: f64,
    /// How long an unreachable peer may go on running requests, ms.
    pub peer_exit_ms: f64,
    /// How long a claim may take to be answered, ms.
    pub claim_ms: f64,
    /// Maximum number of pending claims.
    pub claims: usize,
    /// Maximum size of all results in a snapshot, bytes.
    pub snapshot_result_bytes: usize,
    /// How long the transfer of a snapshot may take, ms.
    pub snapshot_ms: f64,
    /// How long the predecessor may take to answer `TakeOver`, ms.
    pub yield_ms: f64,
    /// Maximum number of attempts to connect to a predecessor that exists.
    pub attempts: u32,
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            longest_window_ms: 60_000.0,
            peer_exit_ms: 5_000.0,
            claim_ms: 500.0,
            claims: 1024,
            snapshot_result_bytes: 2 << 20,
            snapshot_ms: 5_000.0,
            yield_ms: 2_000.0,
            attempts: 3,
            fault: None,
        }
    }
}

/// A fault that tests inject and have to find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The predecessor runs unknown keys without a claim, although it has yielded.
    RunUnclaimed,
    /// The predecessor stops accepting connections at its `Hello`.
    StopAtHello,
}

/// How to handle a request whose key this process does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKey {
    /// The key is certainly new: run it.
    Run,
    /// The successor owns the keys: claim it first.
    Claim,
    /// It may have run in a process that is unreachable: fail it.
    Fail,
}

reason_codes! {
    /// Why a claim is denied.
    Denial {
        /// The successor knows the key.
        Known = "claim-denied",
        /// The successor did not answer within [`Rules::claim_ms`].
        NoAnswer = "claim-no-answer",
        /// [`Rules::claims`] are pending already.
        TooMany = "claims-full",
        /// The link to the successor was lost while the claim was pending.
        PeerLost = "claim-peer-lost",
        /// This process cannot know all keys yet.
        UnknownWindow = "unknown-window",
    }
}

reason_codes! {
    /// Why a state machine drops its peer.
    DropReason {
        /// The peer sent a message that the protocol does not allow in this phase.
        Protocol = "peer-out-of-turn",
        /// The snapshot was not complete within [`Rules::snapshot_ms`].
        SnapshotLate = "snapshot-late",
        /// The predecessor did not answer `TakeOver` within [`Rules::yield_ms`].
        YieldLate = "yield-late",
        /// This process exits.
        Leaving = "self-leaving",
    }
}

reason_codes! {
    /// Why no predecessor is connected.
    NoPredecessor {
        /// The socket does not exist.
        NoSocket = "no-socket",
        /// No process listens on the socket.
        Refused = "socket-refused",
        /// The path cannot be used: too long, no permission, or not a directory.
        BadPath = "socket-path-unusable",
        /// It closed the connection before its `Hello`.
        Closed = "closed-before-hello",
        /// It did not send its `Hello` in time.
        TimedOut = "no-hello-in-time",
        /// What it sent is not the handover protocol.
        ProtocolMismatch = "not-a-handover",
        /// It speaks another version.
        OtherVersion = "other-version",
        /// It runs as another user.
        OtherUser = "other-user",
        /// The passed sockets do not match the names in the `Hello`.
        BadListeners = "bad-listeners",
        /// An error of the system.
        System = "handover-system-error",
    }
}

impl NoPredecessor {
    /// Whether it proves that no predecessor is alive.
    pub fn is_absent(self) -> bool {
        matches!(self, NoPredecessor::NoSocket | NoPredecessor::Refused | NoPredecessor::BadPath)
    }

    /// Whether another attempt to connect may succeed.
    pub fn is_transient(self) -> bool {
        matches!(self, NoPredecessor::Closed | NoPredecessor::System)
    }
}
