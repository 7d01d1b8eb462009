//! Inputs and outputs of a member's state machine.

use std::net::SocketAddr;

use pinepoint_events::reason_codes;

use crate::diagnosis::VerdictChange;
use crate::member::{Liveness, Load, MemberRecord, Phase};
use crate::wire::Packet;

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time given by [`super::Membership::next_due`] is reached.
    Tick,
    /// A packet was received.
    PacketReceived(Packet),
    /// The system reports that no process listens at this address.
    ConnectionRefused(SocketAddr),
    /// The current load of this member.
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
        /// The record's generation is too far in the future.
        ForgedGeneration = "forged-start",
        /// The table of members is full.
        TableFull = "full",
    }
}

/// A change that is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A member is new, or its phase, liveness or process has changed.
    MemberChanged {
        /// The member's current record.
        record: MemberRecord,
        /// The member was not known before, or the record is of another process of it.
        is_new_process: bool,
    },
    /// A verdict was made or has ended.
    VerdictChanged(VerdictChange),
    /// This process was stopped or starved.
    Stalled {
        /// Duration of the stall, ms.
        late_ms: f64,
    },
    /// Other members had this member as suspected or lost, and it has refuted that.
    Refuted(Liveness),
    /// Other members knew the same or a later generation of this member, which has raised its own to this
    /// one.
    GenerationRaised(u64),
    /// A record was rejected.
    RecordRejected {
        /// Why the record was rejected.
        reason: RecordRejectReason,
        /// Name of the member that the record is about.
        member: String,
    },
    /// The view has become settled, or is no longer settled.
    SettledChanged(bool),
}
