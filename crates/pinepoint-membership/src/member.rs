//! The record about one member, and which of two records about it takes precedence. This module depends on no
//! clock, wire format or peer.

use std::net::SocketAddr;
use std::rc::Rc;

use pinepoint_events::{ReasonCode, reason_codes};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of the name of a member, zone or fleet, bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identity of a process, constant for its lifetime.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the member, the same after a restart: 1 to 64 bytes.
    pub name: String,
    /// Its zone. Empty if the fleet has no zones.
    pub zone: String,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Cores of its engine.
    pub cores: u16,
    /// Chosen at random by each process, to distinguish two processes of one name.
    pub instance: u32,
}

impl Identity {
    /// The key of this member in tables and digests.
    pub fn key(&self) -> u64 {
        member_key(&self.name)
    }
}

#[cfg(test)]
impl Identity {
    /// An identity of the maximum encoded size.
    pub(crate) fn largest() -> Self {
        Identity {
            name: "n".repeat(MAX_NAME_BYTES),
            zone: "z".repeat(MAX_NAME_BYTES),
            address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("an address"),
            cores: u16::MAX,
            instance: u32::MAX,
        }
    }
}

/// The key of the member of this name in tables and digests: XXH3 of the name.
pub fn member_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

reason_codes! {
    /// The lifecycle phase that a member announces for itself. Other members never infer it.
    #[derive(Serialize, Deserialize)]
    Phase {
        /// The member has started and is learning the other members.
        Joining = "joining",
        /// The member's engine is warming up, or not up yet.
        Cold = "cold",
        /// The member accepts requests.
        Serving = "serving",
        /// The member is shutting down gracefully.
        Draining = "draining",
        /// The member has left gracefully.
        Left = "left",
    }
}

reason_codes! {
    /// A member's state as other members see it (SWIM's alive, suspect and faulty), in ascending order of
    /// precedence.
    #[derive(Serialize, Deserialize)]
    Liveness {
        /// The member answers probes.
        Alive = "alive",
        /// The member failed a probe of another member and may still refute the suspicion.
        Suspected = "suspected",
        /// The member did not refute the suspicion in time.
        Lost = "lost",
    }
}

/// One update about one member, as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process that the record is about.
    pub identity: Rc<Identity>,
    /// Generation of the process: Unix ms of its start, raised above every earlier generation of the same
    /// name.
    pub generation: u64,
    /// SWIM's incarnation number: the member raises it to announce a phase or to refute a suspicion.
    pub incarnation: u32,
    /// The phase that the member announces for itself.
    pub phase: Phase,
    /// The member's state as other members see it.
    pub liveness: Liveness,
    /// Short key of the member that raised or confirmed the suspicion. 0 for none.
    pub accuser: u32,
}

/// Precedence of a record over others about the same member: the larger overrides the smaller. Compared field
/// by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    generation: u64,
    instance: u32,
    has_left: bool,
    incarnation: u32,
    liveness: Liveness,
}

/// Identifies one process of a member. A restart has another generation, another process of the same name
/// another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    generation: u64,
    instance: u32,
}

impl MemberRecord {
    /// A later generation overrides an earlier one. Of two processes of one generation, every member prefers
    /// the same one. Within one process, [`Phase::Left`] is final; otherwise a later incarnation overrides,
    /// and within one incarnation the more severe liveness.
    pub fn precedence(&self) -> Precedence {
        Precedence {
            generation: self.generation,
            instance: self.identity.instance,
            has_left: self.phase == Phase::Left,
            incarnation: self.incarnation,
            liveness: self.liveness,
        }
    }

    /// The process of the member that this record is about.
    pub fn process_id(&self) -> ProcessId {
        ProcessId { generation: self.generation, instance: self.identity.instance }
    }

    /// The state shown to operators: the phase while the member is alive, otherwise its liveness.
    pub fn state_code(&self) -> &'static str {
        match self.liveness {
            Liveness::Alive => self.phase.code(),
            liveness => liveness.code(),
        }
    }

    /// Whether the member is up: neither left nor lost.
    pub fn is_up(&self) -> bool {
        self.phase != Phase::Left && self.liveness != Liveness::Lost
    }

    /// Hash of the record without the accuser. The digest of a table is the XOR of these hashes.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(64);
        bytes.extend_from_slice(&self.identity.key().to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.identity.instance.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&[self.phase as u8, self.liveness as u8]);
        xxh3_64(&bytes)
    }

    /// Upper bound of the record's encoded size, bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        // Varints take up to 3, 5 and 10 bytes for 16, 32 and 64 bits; enum variants take 1.
        const CORES: usize = 3;
        const INSTANCE: usize = 5;
        const GENERATION: usize = 10;
        const INCARNATION: usize = 5;
        const PHASE_AND_LIVENESS: usize = 2;
        const ACCUSER: usize = 5;
        const TEXT_LENGTHS: usize = 2;
        let identity = &self.identity;
        let address = if identity.address.is_ipv4() { 8 } else { 20 };
        let texts = identity.name.len() + identity.zone.len() + TEXT_LENGTHS;
        texts + address + CORES + INSTANCE + GENERATION + INCARNATION + PHASE_AND_LIVENESS + ACCUSER
    }
}

/// The load that a member reports. Fractions are in units of 1/255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Fraction of requests that are rejected on arrival.
    pub refusal: u8,
    /// Fraction of time for which its cores are busy, filtered.
    pub busy: u8,
    /// Waiting time in the queue, ms.
    pub hold_ms: u16,
    /// Fraction of the capacity for idempotency keys that is free.
    pub keys_room: u8,
    /// Whether the member accepts requests, as its health checks report.
    pub healthy: bool,
    /// Uptime, seconds.
    pub up_s: u32,
}

#[cfg(test)]
mod tests;
