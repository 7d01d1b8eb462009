//! Definitions shared by both state machines: limits, timeouts, reasons, and the handling of unknown keys.

use pinepoint_events::reason_codes;

/// Limits and timeouts of a handover.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The longest deduplication window of all classes, ms.
    pub longest_window_ms: f64,
    /// How long an unreachable peer may continue to run requests, ms.
    pub peer_exit_ms: f64,
    /// Timeout for the answer to a claim, ms.
    pub claim_ms: f64,
    /// Maximum number of pending claims.
    pub claims: usize,
    /// Maximum total size of the results in a snapshot, bytes.
    pub snapshot_result_bytes: usize,
    /// Timeout for the transfer of a snapshot, ms.
    pub snapshot_ms: f64,
    /// Timeout for the predecessor's answer to `TakeOver`, ms.
    pub yield_ms: f64,
    /// Maximum number of attempts to connect to an existing predecessor.
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

/// A fault that tests inject to verify that they detect it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The predecessor runs unknown keys without a claim after it has yielded.
    RunUnclaimed,
    /// The predecessor stops accepting connections when it sends its `Hello`.
    StopAtHello,
}

/// How to handle a request whose key this process does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKey {
    /// The key is certainly new: run the request.
    Run,
    /// The successor owns the keys: claim the key first.
    Claim,
    /// The key may have run in an unreachable process: fail the request.
    Fail,
}

reason_codes! {
    /// Why a claim is denied.
    Denial {
        /// The successor knows the key.
        Known = "claim-denied",
        /// The successor did not answer within [`Rules::claim_ms`].
        NoAnswer = "claim-no-answer",
        /// The maximum of [`Rules::claims`] claims are already pending.
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
        /// This process is exiting.
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
        /// The path cannot be used: it is too long, access is denied, or its parent is not a directory.
        BadPath = "socket-path-unusable",
        /// The peer closed the connection before its `Hello`.
        Closed = "closed-before-hello",
        /// The peer did not send its `Hello` in time.
        TimedOut = "no-hello-in-time",
        /// The peer does not speak the handover protocol.
        ProtocolMismatch = "not-a-handover",
        /// The peer speaks another protocol version.
        OtherVersion = "other-version",
        /// The peer runs as another user.
        OtherUser = "other-user",
        /// The passed sockets do not match the names in the `Hello`.
        BadListeners = "bad-listeners",
        /// A system error.
        System = "handover-system-error",
    }
}

impl NoPredecessor {
    /// Whether this reason proves that no predecessor is alive.
    pub fn is_absent(self) -> bool {
        matches!(self, NoPredecessor::NoSocket | NoPredecessor::Refused | NoPredecessor::BadPath)
    }

    /// Whether another attempt to connect may succeed.
    pub fn is_transient(self) -> bool {
        matches!(self, NoPredecessor::Closed | NoPredecessor::System)
    }
}
