use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

/// Checks indexes, counts and digests against values computed from the members alone.
fn check_indexes(table: &MemberTable) {
    let keys = |is: fn(&MemberState) -> bool| -> BTreeSet<u64> {
        table.iter().filter(|(_, member)| is(member)).map(|(key, _)| key).collect()
    };
    let has_not_left = |m: &MemberState| m.record.phase != Phase::Left;
    assert_eq!(table.indexes.up.iter().copied().collect::<BTreeSet<_>>(), keys(|m| m.record.is_up()));
    assert_eq!(table.indexes.down, keys(|m| !m.record.is_up()));
    let unresponsive =
        |m: &MemberState| m.record.phase != Phase::Left && m.record.liveness != Liveness::Alive;
    assert_eq!(table.indexes.unresponsive, keys(unresponsive));
    assert_eq!(
        table.indexes.lost,
        keys(|m| m.record.phase != Phase::Left && m.record.liveness == Liveness::Lost)
    );
    assert_eq!(table.senders.members, keys(|m| m.last_received_ms.is_finite()).len());
    let mut zones: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for (key, member) in table.iter().filter(|(_, m)| has_not_left(m)) {
        zones.entry(member.record.identity.zone.clone()).or_default().insert(key);
    }
    assert_eq!(table.indexes.zones, zones);
    let addresses = table.iter().map(|(key, member)| (member.record.identity.address, key));
    assert_eq!(table.indexes.addresses, addresses.collect());
    let digest = table.iter().fold(0, |sum, (_, member)| sum ^ member.record.digest());
    assert_eq!(table.digest, digest);
    assert!(table.len() <= table.capacity);
}

fn record() -> impl Strategy<Value = MemberRecord> {
    let phase = prop_oneof![Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Left)];
    let liveness = prop_oneof![Just(Liveness::Alive), Just(Liveness::Suspected), Just(Liveness::Lost)];
    (0..9_u8, 0..3_u8, 0..4_u8, 1..4_u64, 0..3_u32, phase, liveness).prop_map(
        |(name, zone, address, generation, incarnation, phase, liveness)| {
            let identity = Identity {
                name: format!("n{name}"),
                zone: format!("z{zone}"),
                address: ([10, 0, 0, address], 7000).into(),
                cores: 4,
                instance: u32::from(name) + generation as u32,
            };
            MemberRecord { identity: Rc::new(identity), generation, incarnation, phase, liveness, accuser: 0 }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn indexes_match_members(records in proptest::collection::vec((record(), any::<bool>()), 1..120)) {
        let mut table = MemberTable::new(6);
        for (step, (record, is_received)) in records.into_iter().enumerate() {
            let now = step as f64;
            table.merge(now, 1e6, &record);
            if is_received {
                table.record_message(now, record.identity.key(), Load::default());
            }
            if step % 7 == 6 {
                table.expire(now - 5.0, now - 20.0);
            }
            check_indexes(&table);
        }
    }
}
