//! What goes into a member and what comes out of it.

use std::net::SocketAddr;

use pinepoint_events::reason_codes;

use crate::diagnosis::VerdictChange;
use crate::member::{Liveness, Load, MemberRecord, Phase};
use crate::wire::Packet;

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time given by [`super::Membership::next_due`] has come.
    Tick,
    /// A packet was received.
    PacketReceived(Packet),
    /// The system reports that nobody listens at this address.
    ConnectionRefused(SocketAddr),
    /// The load of this member.
    LoadChanged(Load),
    /// The phase that this member is to announce from now on.
    PhaseChanged(Phase),
}

/// An output of a member, to be carried out by its caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send this packet to this address.
    Send(SocketAddr, Packet),
    /// Report this to operators.
    Notify(Notification),
}

reason_codes! {
    /// Why a record was rejected.
    RecordRejectReason {
        /// Its generation lies too far in the future.
        ForgedGeneration = "forged-start",
        /// The table of members is full.
        TableFull = "full",
    }
}

/// A change that operators may want to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A member is new, or its phase, liveness or process has changed.
    MemberChanged {
        /// Its record now.
        record: MemberRecord,
        /// The member was not known, or it is another process than before.
        is_new_process: bool,
    },
    /// A verdict holds from now on, or no longer.
    VerdictChanged(VerdictChange),
    /// This process was stopped or starved.
    Stalled {
        /// For how long, ms.
        late_ms: f64,
    },
    /// Others believed this member suspected or lost, and it refutes that.
    Refuted(Liveness),
    /// Others knew a later generation of this member, which goes on with this one.
    GenerationRaised(u64),
    /// A record was rejected.
    RecordRejected {
        /// Why.
        reason: RecordRejectReason,
        /// Whom it was about.
        member: String,
    },
    /// The view is settled, or no longer.
    SettledChanged(bool),
}
