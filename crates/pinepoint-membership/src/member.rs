//! What is said of one member, and which of two sayings is the later. It owns that order and nothing else; it must never
//! know a time, a wire or a peer.

use std::net::SocketAddr;
use std::rc::Rc;

use pinepoint_events::{ReasonCode, reason_codes};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Longest name of a member or zone, bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Who a process is, for the whole of its life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The comparer's name, the same after a restart.
    pub name: String,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Cores of its engine.
    pub cores: u16,
    /// Drawn at random by each process: tells two of one name apart.
    pub instance: u32,
}

impl Identity {
    /// A short form of the name, by which members are kept.
    pub fn key(&self) -> u64 {
        key(&self.name)
    }
}

#[cfg(test)]
impl Identity {
    /// One that takes as many bytes as any can.
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

/// A short form of a name.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

reason_codes! {
    /// What a member tells of itself. Never guessed by another.
    #[derive(Serialize, Deserialize)]
    Phase {
        /// It has started and learns who is there.
        Joining = "joining",
        /// Its engine is up and cold, or not up yet.
        Cold = "cold",
        /// It takes work.
        Serving = "serving",
        /// It was told to leave.
        Draining = "draining",
        /// It has left in order.
        Left = "left",
    }
}

reason_codes! {
    /// What others believe of its life, in the order in which one overrides the other.
    #[derive(Serialize, Deserialize)]
    Liveness {
        /// It answers.
        Alive = "alive",
        /// It did not answer somebody, and may still refute that.
        Suspected = "suspected",
        /// It did not refute the suspicion.
        Lost = "lost",
    }
}

/// One saying about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who.
    pub identity: Rc<Identity>,
    /// Which of its lives: only grows.
    pub start: u64,
    /// Counts what it said anew in this life: a change of phase, or that it is alive after all.
    pub incarnation: u32,
    /// What it tells of itself.
    pub phase: Phase,
    /// What is believed of it.
    pub liveness: Liveness,
    /// Who accused it, in short, while it is suspected.
    pub by: u32,
}

/// The order of sayings about one member: the larger is the later.
pub type Precedence = (u64, u32, bool, u32, Liveness);

impl MemberRecord {
    /// A later start overrides an earlier one; of two processes that chose one start, one overrides the other the same way
    /// everywhere. In one life, having left is the last word; else a later incarnation overrides, and in one incarnation
    /// the graver standing.
    pub fn precedence(&self) -> Precedence {
        let left = self.phase == Phase::Left;
        (self.start, self.identity.instance, left, self.incarnation, self.liveness)
    }

    /// Which process it speaks of: a start, and the instance that tells two of one start apart.
    pub fn life(&self) -> (u64, u32) {
        (self.start, self.identity.instance)
    }

    /// The word for its state: what it tells of itself while it answers, else what is believed.
    pub fn state(&self) -> &'static str {
        match self.liveness {
            Liveness::Alive => self.phase.code(),
            liveness => liveness.code(),
        }
    }

    /// Whether it is there, as far as is believed: not left and not lost.
    pub fn is_up(&self) -> bool {
        self.phase != Phase::Left && self.liveness != Liveness::Lost
    }

    /// Its part of a digest.
    pub fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(64);
        bytes.extend_from_slice(&self.identity.key().to_le_bytes());
        bytes.extend_from_slice(&self.start.to_le_bytes());
        bytes.extend_from_slice(&self.identity.instance.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&[self.phase as u8, self.liveness as u8]);
        xxh3_64(&bytes)
    }

    /// About how many bytes it takes in a message, never less than it does.
    pub fn size(&self) -> usize {
        let identity = &self.identity;
        identity.name.len()
            + identity.zone.len()
            + 2
            + if identity.address.is_ipv4() { 8 } else { 20 }
            + 3
            + 5
            + 10
            + 5
            + 2
            + 5
    }
}

/// How a member is loaded, as it tells itself. Parts are of 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Part of arrivals refused at read.
    pub refusal: u8,
    /// Filtered busy share.
    pub busy: u8,
    /// Wait in the hold, ms.
    pub hold_ms: u16,
    /// Part of the room for keys that is free.
    pub keys_room: u8,
    /// It takes work, as its health checks are answered.
    pub healthy: bool,
    /// Seconds since its start.
    pub up_s: u32,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(start: u64, incarnation: u32, phase: Phase, liveness: Liveness) -> MemberRecord {
        let address = ([10, 0, 0, 1], 7000).into();
        let identity = Identity { name: "n1".into(), zone: "a".into(), address, cores: 4, instance: 9 };
        MemberRecord { identity: Rc::new(identity), start, incarnation, phase, liveness, by: 0 }
    }

    #[test]
    fn later_lives_leaving_incarnations_and_graver_standings_override_in_that_order() {
        use Liveness::{Alive, Lost, Suspected};
        use Phase::{Left, Serving};
        let order = [
            record(1, 0, Serving, Alive),
            record(1, 0, Serving, Suspected),
            record(1, 0, Serving, Lost),
            record(1, 1, Serving, Alive),
            record(1, 0, Left, Alive),
            record(2, 0, Serving, Alive),
        ];
        assert!(order.is_sorted_by(|a, b| a.precedence() < b.precedence()));
    }

    #[test]
    fn a_record_never_takes_more_than_it_says() {
        let mut largest = record(u64::MAX, u32::MAX, Phase::Left, Liveness::Lost);
        largest.identity = Rc::new(Identity::largest());
        largest.by = u32::MAX;
        let bytes = postcard::to_allocvec(&largest).expect("encoded");
        assert!(bytes.len() <= largest.size(), "{} over {}", bytes.len(), largest.size());
    }
}
