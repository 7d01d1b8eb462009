//! What is known of one member, and which of two records about it takes precedence. It knows no time, wire format or peer.

use std::net::SocketAddr;
use std::rc::Rc;

use pinepoint_events::{ReasonCode, reason_codes};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Longest name of a member, zone or fleet, bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Who a process is, for the whole of its life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the member, the same after a restart: 1 to 64 bytes.
    pub name: String,
    /// Its zone; empty where there are no zones.
    pub zone: String,
    /// Address at which others reach it.
    pub address: SocketAddr,
    /// Cores of its engine.
    pub cores: u16,
    /// Drawn at random by each process, to tell two processes of one name apart.
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
    /// An identity that takes as many bytes as any can.
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
    /// The phase of its life that a member announces for itself. Others never guess it.
    #[derive(Serialize, Deserialize)]
    Phase {
        /// It has started and learns who is there.
        Joining = "joining",
        /// Its engine is up and warming up, or not up yet.
        Cold = "cold",
        /// It takes work.
        Serving = "serving",
        /// It was told to shut down gracefully.
        Draining = "draining",
        /// It has left in order.
        Left = "left",
    }
}

reason_codes! {
    /// What others believe of a member's life (SWIM's alive, suspect and faulty), in ascending order of precedence.
    #[derive(Serialize, Deserialize)]
    Liveness {
        /// It answers.
        Alive = "alive",
        /// It failed somebody's probe and may still refute the suspicion.
        Suspected = "suspected",
        /// It did not refute the suspicion in time.
        Lost = "lost",
    }
}

/// One update about one member, as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who it is about.
    pub identity: Rc<Identity>,
    /// Generation of the process: Unix ms of its start, raised above every earlier generation of its name.
    pub generation: u64,
    /// SWIM's incarnation number: the member raises it to announce a phase or to refute a suspicion.
    pub incarnation: u32,
    /// What the member announces of itself.
    pub phase: Phase,
    /// What others believe of it.
    pub liveness: Liveness,
    /// Short key of the member that accused it while it is suspected; 0 for none.
    pub accuser: u32,
}

/// Precedence of a record over others about the same member: the larger overrides. Compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    generation: u64,
    instance: u32,
    has_left: bool,
    incarnation: u32,
    liveness: Liveness,
}

/// Identifies one process of a member: restarts have another generation, namesakes another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    generation: u64,
    instance: u32,
}

impl MemberRecord {
    /// A later generation overrides an earlier one; of two processes of one generation, one overrides the other the same
    /// way everywhere. Within one process, having left is final; otherwise a later incarnation overrides, and within one
    /// incarnation the graver liveness.
    pub fn precedence(&self) -> Precedence {
        Precedence {
            generation: self.generation,
            instance: self.identity.instance,
            has_left: self.phase == Phase::Left,
            incarnation: self.incarnation,
            liveness: self.liveness,
        }
    }

    /// Which process of the member this record is about.
    pub fn process_id(&self) -> ProcessId {
        ProcessId { generation: self.generation, instance: self.identity.instance }
    }

    /// The state shown to operators: its phase while it is believed alive, otherwise its liveness.
    pub fn state_code(&self) -> &'static str {
        match self.liveness {
            Liveness::Alive => self.phase.code(),
            liveness => liveness.code(),
        }
    }

    /// Whether it is believed to be there: neither left nor lost.
    pub fn is_up(&self) -> bool {
        self.phase != Phase::Left && self.liveness != Liveness::Lost
    }

    /// Hash of the record; digests of tables are the XOR of these. The accuser is not part of it.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(64);
        bytes.extend_from_slice(&self.identity.key().to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.identity.instance.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&[self.phase as u8, self.liveness as u8]);
        xxh3_64(&bytes)
    }

    /// Upper bound of its encoded size, bytes.
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

/// The load that a member reports of itself. Fractions are in 255ths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Fraction of arrivals that are rejected when they are read.
    pub refusal: u8,
    /// Fraction of time that its cores are busy, filtered.
    pub busy: u8,
    /// Wait in the queue, ms.
    pub hold_ms: u16,
    /// Fraction of the capacity for idempotency keys that is free.
    pub keys_room: u8,
    /// It takes work, as its health checks are answered.
    pub healthy: bool,
    /// Uptime, seconds.
    pub up_s: u32,
}

#[cfg(test)]
mod tests;
