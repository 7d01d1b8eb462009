//! Dissemination of updates: records are piggybacked on all packets, and sent in separate gossip packets
//! while any are pending. Each record is sent a number of times that grows with the logarithm of the fleet's
//! size.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Action, Membership};
use crate::member::{Identity, Liveness, Load, MemberRecord};
use crate::wire::{FRAME_BYTES, MAX_DATAGRAM_BYTES, Packet, PacketBody, SenderState};

/// Members to which updates are gossiped in each tick.
const GOSSIP_FANOUT: usize = 3;
/// Transmissions of an update per power of ten of the fleet's size: log10 of the size is rounded up.
const TRANSMISSIONS_PER_DECADE: u32 = 4;

/// The destination of a packet.
#[derive(Clone, Copy)]
pub(super) struct Recipient {
    address: SocketAddr,
    /// Key of the member at this address, if it is known.
    key: Option<u64>,
}

impl Recipient {
    pub(super) fn member(identity: &Identity) -> Self {
        Recipient { address: identity.address, key: Some(identity.key()) }
    }

    /// The member of this key, at the address from which it has just sent a packet.
    pub(super) fn known(address: SocketAddr, key: u64) -> Self {
        Recipient { address, key: Some(key) }
    }

    /// Whichever member listens at this address.
    pub(super) fn unknown(address: SocketAddr) -> Self {
        Recipient { address, key: None }
    }
}

/// Members whose records are to be gossiped, and how often each record was sent.
pub(super) struct GossipQueue {
    transmissions: BTreeMap<u64, u32>,
}

impl GossipQueue {
    /// A queue with the record of this member, not sent yet.
    pub(super) fn with(key: u64) -> Self {
        GossipQueue { transmissions: BTreeMap::from([(key, 0)]) }
    }

    /// Queues the record of this member, and counts its transmissions from 0.
    pub(super) fn enqueue(&mut self, key: u64) {
        self.transmissions.insert(key, 0);
    }

    pub(super) fn clear(&mut self) {
        self.transmissions.clear();
    }

    fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Transmissions so far and keys, in ascending order of transmissions.
    fn by_transmissions(&self) -> Vec<(u32, u64)> {
        let mut queue: Vec<(u32, u64)> = self.transmissions.iter().map(|(key, sent)| (*sent, *key)).collect();
        queue.sort_unstable();
        queue
    }

    fn remove(&mut self, key: u64) {
        self.transmissions.remove(&key);
    }

    /// Counts one more transmission, and removes the record after `limit` of them.
    fn record_transmission(&mut self, key: u64, sent: u32, limit: u32) {
        if sent + 1 >= limit {
            self.remove(key);
        } else {
            self.transmissions.insert(key, sent + 1);
        }
    }
}

impl Membership {
    /// This member as it describes itself in packets.
    pub(super) fn sender_state(&self, now: f64) -> SenderState {
        let uptime_ms = (now - self.local.started_ms).max(0.0);
        SenderState {
            record: self.local.record.clone(),
            load: Load { up_s: (uptime_ms / 1000.0) as u32, ..self.local.load },
            digest: self.digest(),
            known_members: self.table.len() as u32,
            now_ms: now,
        }
    }

    /// Sends a packet with as many updates as fit into it.
    pub(super) fn send(&mut self, now: f64, to: Recipient, body: PacketBody, actions: &mut Vec<Action>) {
        let reserved = match body {
            PacketBody::SyncDigests { .. } => MAX_DATAGRAM_BYTES,
            PacketBody::PingReq { .. } => 2 * FRAME_BYTES,
            _ => FRAME_BYTES,
        };
        let updates = self.pick_updates(to.key, MAX_DATAGRAM_BYTES - reserved);
        let packet = Packet { sender: self.sender_state(now), body, updates };
        actions.push(Action::Send(to.address, packet));
    }

    /// Sends pending updates to a few random members.
    pub(super) fn gossip_to_random_members(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.gossip.is_empty() {
            return;
        }
        for identity in self.random_members(GOSSIP_FANOUT, None) {
            if self.gossip.is_empty() {
                break;
            }
            self.send(now, Recipient::member(&identity), PacketBody::Gossip, actions);
        }
    }

    /// Number of times that an update is sent.
    pub(super) fn transmission_limit(&self) -> u32 {
        let members = (self.table.len() + 2) as f64;
        TRANSMISSIONS_PER_DECADE * members.log10().ceil() as u32
    }

    /// The record that is gossiped about a member. The record of a suspected member names its accusers in
    /// turn, so that every accuser is counted.
    pub(super) fn record_to_gossip(&self, key: u64, transmission: u32) -> Option<MemberRecord> {
        if key == self.local.key() {
            return Some(self.local.record.clone());
        }
        let mut record = self.table.get(key)?.record.clone();
        if let Some(suspicion) = self.suspicions.get(&key)
            && !suspicion.accusers.is_empty()
        {
            record.accuser = suspicion.accusers[transmission as usize % suspicion.accusers.len()];
        }
        Some(record)
    }

    /// Picks records of `capacity` bytes at most: first the one about the recipient if the recipient has to
    /// refute it, then the least sent ones.
    fn pick_updates(&mut self, recipient: Option<u64>, capacity: usize) -> Vec<MemberRecord> {
        let mut picked = Vec::new();
        let mut remaining = capacity;
        let about_recipient = recipient.and_then(|key| self.record_to_gossip(key, 0));
        if let Some(record) = about_recipient.filter(|record| record.liveness != Liveness::Alive) {
            remaining = remaining.saturating_sub(record.max_encoded_bytes());
            picked.push(record);
        }
        let limit = self.transmission_limit();
        for (sent, key) in self.gossip.by_transmissions() {
            let Some(record) = self.record_to_gossip(key, sent) else {
                self.gossip.remove(key);
                continue;
            };
            if record.max_encoded_bytes() > remaining {
                break;
            }
            remaining -= record.max_encoded_bytes();
            picked.push(record);
            self.gossip.record_transmission(key, sent, limit);
        }
        picked
    }
}
