//! What both machines share: bounds, reasons, and what may be done with a key that a process does not know.

use pinepoint_events::reason_codes;

/// Bounds and waits of a handover.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The longest deduplication window of all classes, ms.
    pub longest_window_ms: f64,
    /// How long a peer that cannot be talked to may go on running requests, ms.
    pub peer_exit_ms: f64,
    /// How long a claim waits for its answer, ms.
    pub claim_ms: f64,
    /// Claims without an answer at most.
    pub claims: usize,
    /// Bytes of results in a snapshot at most.
    pub snapshot_result_bytes: usize,
    /// How long a snapshot may take, ms.
    pub snapshot_ms: f64,
    /// How long the answer to a take-over may take, ms.
    pub yield_ms: f64,
    /// Attempts to connect to a predecessor that is there.
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

/// A fault that is built in for tests that have to find it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The predecessor runs keys that it does not know also after it has yielded.
    RunUnclaimed,
    /// The predecessor stops accepting when a successor appears.
    StopAtHello,
}

/// What may be done with a request whose key this process does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKey {
    /// The key is new: run it.
    Run,
    /// The successor has to be asked first.
    Claim,
    /// It may have run in a process that cannot be asked: fail it.
    Fail,
}

reason_codes! {
    /// Why a claim is denied.
    Denial {
        /// The successor knows the key.
        Known = "claim-denied",
        /// No answer came in time.
        NoAnswer = "claim-no-answer",
        /// Too many claims wait for an answer.
        TooMany = "claims-full",
        /// The successor was lost while the claim waited.
        PeerLost = "claim-peer-lost",
        /// Not all keys are known to this process for a while.
        UnknownWindow = "unknown-window",
    }
}

reason_codes! {
    /// Why a peer is dropped by a decision.
    DropReason {
        /// It sent a message that has no place in this phase.
        Protocol = "peer-out-of-turn",
        /// Its snapshot did not end in time.
        SnapshotLate = "snapshot-late",
        /// It did not answer a take-over in time.
        YieldLate = "yield-late",
        /// This process leaves.
        Leaving = "self-leaving",
    }
}

reason_codes! {
    /// Why there is no predecessor to talk to.
    NoPredecessor {
        /// There is no socket.
        NoSocket = "no-socket",
        /// Nobody listens on the socket.
        Refused = "socket-refused",
        /// The path cannot be used: too long, not allowed, no directory.
        BadPath = "socket-path-unusable",
        /// It closed the connection before its hello.
        Closed = "closed-before-hello",
        /// It said nothing in time.
        TimedOut = "no-hello-in-time",
        /// What it said is no handover.
        ProtocolMismatch = "not-a-handover",
        /// It speaks another version.
        OtherVersion = "other-version",
        /// It runs as another user.
        OtherUser = "other-user",
        /// It passed other sockets than it named.
        BadListeners = "bad-listeners",
        /// The system failed.
        System = "handover-system-error",
    }
}

impl NoPredecessor {
    /// Whether it proves that no predecessor lives.
    pub fn is_absent(self) -> bool {
        matches!(self, NoPredecessor::NoSocket | NoPredecessor::Refused | NoPredecessor::BadPath)
    }

    /// Whether another attempt may end differently.
    pub fn is_transient(self) -> bool {
        matches!(self, NoPredecessor::Closed | NoPredecessor::System)
    }
}
