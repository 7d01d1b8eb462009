//! Indexes of the table of members: keys by state, zone and address. Each change of a record updates them.
//! They contain nothing that could not be computed from the members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

use crate::member::{Liveness, MemberRecord, Phase};

/// Keys of members by state, zone and address, as in their records.
#[derive(Clone, Debug, Default)]
pub(super) struct Indexes {
    /// Neither left nor lost. Accessible by position, so that a member can be drawn at random.
    pub(super) up: IndexSet<u64, FxBuildHasher>,
    /// Left or lost.
    pub(super) down: BTreeSet<u64>,
    /// Suspected or lost, but not left.
    pub(super) unresponsive: BTreeSet<u64>,
    /// Lost, but not left.
    pub(super) lost: BTreeSet<u64>,
    /// Not left, by zone.
    pub(super) zones: BTreeMap<String, BTreeSet<u64>>,
    /// All members, by the address that each announces.
    pub(super) addresses: BTreeSet<(SocketAddr, u64)>,
}

impl Indexes {
    /// The members that announce this address.
    pub(super) fn members_at(&self, address: SocketAddr) -> impl Iterator<Item = u64> {
        self.addresses.range((address, 0)..=(address, u64::MAX)).map(|(_, key)| *key)
    }

    /// Updates the indexes after a change of a member's record. `previous` is `None` for a new member,
    /// `current` for a removed one.
    pub(super) fn update(
        &mut self,
        key: u64,
        previous: Option<&MemberRecord>,
        current: Option<&MemberRecord>,
    ) {
        self.update_states(key, current);
        self.update_address(key, previous, current);
        self.update_zone(key, previous, current);
    }

    fn update_states(&mut self, key: u64, current: Option<&MemberRecord>) {
        if current.is_some_and(MemberRecord::is_up) {
            self.up.insert(key);
        } else {
            self.up.swap_remove(&key);
        }
        let is_down = current.is_some_and(|record| !record.is_up());
        set_membership(&mut self.down, key, is_down);
        let present = current.filter(|record| record.phase != Phase::Left);
        let is_unresponsive = present.is_some_and(|record| record.liveness != Liveness::Alive);
        set_membership(&mut self.unresponsive, key, is_unresponsive);
        let is_lost = present.is_some_and(|record| record.liveness == Liveness::Lost);
        set_membership(&mut self.lost, key, is_lost);
    }

    fn update_address(&mut self, key: u64, previous: Option<&MemberRecord>, current: Option<&MemberRecord>) {
        let previous = previous.map(|record| record.identity.address);
        let current = current.map(|record| record.identity.address);
        if previous == current {
            return;
        }
        if let Some(address) = previous {
            self.addresses.remove(&(address, key));
        }
        if let Some(address) = current {
            self.addresses.insert((address, key));
        }
    }

    fn update_zone(&mut self, key: u64, previous: Option<&MemberRecord>, current: Option<&MemberRecord>) {
        // Zone names are compared only if they may differ. Both records nearly always share one identity.
        if let (Some(previous), Some(current)) = (previous, current)
            && Rc::ptr_eq(&previous.identity, &current.identity)
            && (previous.phase == Phase::Left) == (current.phase == Phase::Left)
        {
            return;
        }
        let previous = previous.and_then(indexed_zone);
        let current = current.and_then(indexed_zone);
        if previous == current {
            return;
        }
        if let Some(zone) = previous
            && let Some(members) = self.zones.get_mut(zone)
        {
            members.remove(&key);
            if members.is_empty() {
                self.zones.remove(zone);
            }
        }
        if let Some(zone) = current {
            self.zones.entry(zone.to_owned()).or_default().insert(key);
        }
    }
}

/// The zone under which a member is indexed. None once the member has left.
fn indexed_zone(record: &MemberRecord) -> Option<&str> {
    (record.phase != Phase::Left).then_some(record.identity.zone.as_str())
}

fn set_membership(set: &mut BTreeSet<u64>, key: u64, is_member: bool) {
    if is_member {
        set.insert(key);
    } else {
        set.remove(&key);
    }
}
