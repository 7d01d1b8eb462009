//! Recovery after disk faults: the store restores the tables as they were after some batch, with every batch
//! that was acknowledged as durable, or it reports the corruption and does not open. `STORE_SEED` replays one
//! scenario.

mod sim;

use pinepoint_store::disk::DiskError;
use pinepoint_store::format::{Change, SEGMENT_HEADER_BYTES};
use pinepoint_store::store::{CloseReason, Durability, Event, Options, RejectReason, WriteError};
use sim::{Disk, NOW, Simulation, Tables, random_batch, random_batch_of, small_options, tables_after};

fn seeds(n: u64) -> Vec<u64> {
    match std::env::var("STORE_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..n).collect(),
    }
}

/// Small segments and a disk limit that is never reached, so that several segments are kept.
fn large_options() -> Options {
    Options { disk_bytes: 1 << 20, ..small_options() }
}

/// A store to which this number of durable batches was written, and the batches.
fn store_with_batches(options: Options, batches: usize, seed: u64) -> (Simulation, Vec<Vec<Change>>) {
    let mut simulation = Simulation::open(options, Disk::default(), seed);
    simulation.run_until_idle();
    assert!(simulation.was_opened);
    let mut written_batches = Vec::new();
    for _ in 0..batches {
        let changes = random_batch_of(&mut simulation.random, 250);
        written_batches.push(changes.clone());
        let ticket = simulation.write(changes, Durability::Durable);
        simulation.run_until_idle();
        assert_eq!(simulation.results[&ticket], Ok(()), "seed {seed}");
    }
    assert_eq!(simulation.contents(), tables_after(&written_batches, batches), "seed {seed}");
    (simulation, written_batches)
}

/// The largest number of batches whose effects equal these tables; `None` if there is none.
fn matching_batch_count(contents: &Tables, batches: &[Vec<Change>]) -> Option<usize> {
    (0..=batches.len()).rev().find(|n| *contents == tables_after(batches, *n))
}

fn reopen(disk: Disk, options: Options) -> Simulation {
    let mut simulation = Simulation::open(options, disk, 1);
    simulation.run_until_idle();
    simulation
}

#[test]
fn truncated_segment_recovers_to_earlier_state_or_is_reported() {
    let options = large_options();
    let (simulation, batches) = store_with_batches(options, 48, 3);
    let last = *simulation.disk.files.keys().last().expect("at least one segment");
    let (mut recovered, mut reported_corrupt) = (0, 0);
    for (number, file) in &simulation.disk.files {
        for kept_bytes in 0..file.bytes.len() {
            let mut disk = simulation.disk.clone();
            disk.files.get_mut(number).expect("the segment exists").bytes.truncate(kept_bytes);
            let simulation = reopen(disk, options);
            match simulation.close_reason {
                Some(_) => reported_corrupt += 1,
                None => {
                    assert!(
                        matching_batch_count(&simulation.contents(), &batches).is_some(),
                        "segment {number} truncated to {kept_bytes} bytes: the tables match no batch"
                    );
                    // The records of an earlier segment had been synced, so their loss is never ignored.
                    assert_eq!(
                        *number, last,
                        "segment {number} truncated to {kept_bytes} bytes: not reported"
                    );
                    recovered += 1;
                }
            }
        }
    }
    println!("{recovered} truncations recovered to an earlier state, {reported_corrupt} were reported");
    assert!(recovered > 0 && reported_corrupt > 0);
}

#[test]
fn flipped_byte_is_reported_or_loses_only_last_batch() {
    let options = large_options();
    let (simulation, batches) = store_with_batches(options, 48, 4);
    let last = *simulation.disk.files.keys().last().expect("at least one segment");
    let (mut unchanged, mut lost, mut reported) = (0, 0, 0);
    for (number, file) in &simulation.disk.files {
        for offset in 0..file.bytes.len() {
            let mut disk = simulation.disk.clone();
            disk.files.get_mut(number).expect("the segment exists").bytes[offset] ^= 0x40;
            let simulation = reopen(disk, options);
            if simulation.close_reason.is_some() {
                reported += 1;
                continue;
            }
            let n = matching_batch_count(&simulation.contents(), &batches);
            let n = n.unwrap_or_else(|| panic!("segment {number}, byte {offset}: tables match no batch"));
            if n == batches.len() {
                unchanged += 1;
            } else {
                // Only corruption of the last batch in the last segment cannot be distinguished from a crash
                // during its write.
                assert_eq!(
                    (*number, n),
                    (last, batches.len() - 1),
                    "segment {number}, byte {offset}: other batches than the last are lost"
                );
                lost += 1;
            }
        }
    }
    println!("{reported} flips were reported, {lost} lost the last batch, {unchanged} changed nothing");
    assert!(reported > lost);
}

/// Writes batches of all durabilities, and cuts the power before disk request number `step` is answered, then
/// `recovery_losses` times during recovery. Returns whether the scenario reached that request.
fn power_loss_at(seed: u64, step: u64, recovery_losses: u64) -> bool {
    let options = small_options();
    let mut simulation = Simulation::open(options, Disk::default(), seed);
    let mut batches: Vec<Vec<Change>> = Vec::new();
    let mut durable = 0;
    let mut was_reached = false;
    'scenario: for _ in 0..60 {
        // Several batches are queued at once, so that they are appended as one group.
        let mut tickets = Vec::new();
        for n in 0..3 {
            let changes = random_batch(&mut simulation.random);
            let durability =
                [Durability::Durable, Durability::Written, Durability::Lazy][(seed as usize + n) % 3];
            let before = simulation.results.len();
            let ticket = simulation.write(changes.clone(), durability);
            let rejected = matches!(simulation.results.get(&ticket), Some(Err(WriteError::Rejected(_))));
            if !rejected {
                batches.push(changes);
                tickets.push((ticket, durability, batches.len()));
            }
            assert!(simulation.results.len() >= before);
        }
        simulation.now += 10.0;
        simulation.handle(Event::Tick);
        loop {
            for (ticket, durability, n) in &tickets {
                if *durability == Durability::Durable && simulation.results.get(ticket) == Some(&Ok(())) {
                    durable = durable.max(*n);
                }
            }
            if simulation.disk.request_count + 1 >= step {
                was_reached = true;
                break 'scenario;
            }
            if !simulation.step() {
                break;
            }
        }
    }
    let mut simulation = simulation.crash(options, seed ^ 77);
    // Further power losses during recovery.
    for n in 0..recovery_losses {
        let disk = std::mem::take(&mut simulation.disk);
        let mut next = Simulation::open(options, disk, seed + n);
        for _ in 0..=n * 2 {
            next.step();
        }
        simulation = next.crash(options, seed + 100 + n);
    }
    assert_eq!(simulation.close_reason, None, "STORE_SEED={seed} step {step}");
    let n = matching_batch_count(&simulation.contents(), &batches);
    let n = n.unwrap_or_else(|| panic!("STORE_SEED={seed} step {step}: the tables match no batch"));
    assert!(n >= durable, "STORE_SEED={seed} step {step}: {n} batches recovered, {durable} were durable");
    // The recovered store accepts a durable batch, and retains it over another power loss.
    let changes = random_batch(&mut simulation.random);
    batches.truncate(n);
    batches.push(changes.clone());
    let ticket = simulation.write(changes, Durability::Durable);
    simulation.run_until_idle();
    assert_eq!(simulation.results[&ticket], Ok(()), "STORE_SEED={seed} step {step}");
    let simulation = simulation.crash(options, seed);
    assert_eq!(simulation.contents(), tables_after(&batches, batches.len()), "STORE_SEED={seed} step {step}");
    was_reached
}

#[test]
fn power_loss_at_any_request_keeps_durable_batches() {
    let (mut power_losses, mut last_step) = (0, 0);
    for seed in seeds(12) {
        let mut step = 1;
        while power_loss_at(seed, step, seed % 4) {
            last_step = last_step.max(step);
            power_losses += 1;
            step += 1;
        }
    }
    println!("{power_losses} power losses, up to request {last_step}");
    assert!(power_losses > 500);
}

#[test]
fn failed_sync_rolls_back_unsynced_batches_and_closes_store() {
    let (mut simulation, batches) = store_with_batches(small_options(), 5, 8);
    let before = simulation.contents();
    let written = simulation.write(random_batch(&mut simulation.random.clone()), Durability::Written);
    simulation.run_until_idle();
    assert_eq!(simulation.results[&written], Ok(()));
    let next = vec![Change {
        table: "a".into(),
        key: b"new".to_vec(),
        value: Some(vec![1]),
        expires_at_ms: NOW + 1e9,
    }];
    simulation.disk.failing_request = Some(simulation.disk.request_count + 2);
    let ticket = simulation.write(next.clone(), Durability::Durable);
    simulation.run_until_idle();
    assert_eq!(simulation.results[&ticket], Err(WriteError::OutcomeUnknown(CloseReason::SyncFailed)));
    assert_eq!(simulation.close_reason, Some(CloseReason::SyncFailed));
    assert_eq!(
        simulation.contents(),
        before,
        "batches that were written and not synced have to be rolled back"
    );
    let rejected = simulation.write(next, Durability::Durable);
    assert_eq!(
        simulation.results[&rejected],
        Err(WriteError::Rejected(RejectReason::Closed(CloseReason::SyncFailed)))
    );
    let simulation = simulation.crash(small_options(), 1);
    assert!(
        matching_batch_count(&simulation.contents(), &batches).is_some()
            || simulation.contents().len() >= before.len()
    );
}

#[test]
fn failed_append_is_rolled_back_and_later_batches_are_kept() {
    for seed in seeds(20) {
        let (mut simulation, mut batches) = store_with_batches(small_options(), 6, seed);
        simulation.disk.failing_request = Some(simulation.disk.request_count + 1);
        let ticket = simulation.write(random_batch(&mut simulation.random.clone()), Durability::Durable);
        simulation.run_until_idle();
        assert_eq!(
            simulation.results[&ticket],
            Err(WriteError::OutcomeUnknown(CloseReason::Disk(DiskError::Failed)))
        );
        assert_eq!(simulation.close_reason, None, "one failed append must not close the store");
        let changes = random_batch(&mut simulation.random);
        batches.push(changes.clone());
        let ticket = simulation.write(changes, Durability::Durable);
        simulation.run_until_idle();
        assert_eq!(simulation.results[&ticket], Ok(()));
        let simulation = simulation.crash(small_options(), seed);
        assert_eq!(simulation.contents(), tables_after(&batches, batches.len()), "STORE_SEED={seed}");
    }
}

#[test]
fn full_disk_closes_store_and_keeps_durable_batches() {
    for disk_capacity in (1500..4000).step_by(97) {
        let mut simulation =
            Simulation::open(small_options(), Disk { capacity: Some(disk_capacity), ..Disk::default() }, 5);
        simulation.run_until_idle();
        let (mut batches, mut durable) = (Vec::new(), 0);
        while simulation.close_reason.is_none() && batches.len() < 200 {
            let changes = random_batch(&mut simulation.random);
            batches.push(changes.clone());
            let ticket = simulation.write(changes, Durability::Durable);
            simulation.run_until_idle();
            if simulation.results[&ticket] == Ok(()) {
                durable = batches.len();
            }
        }
        assert!(
            matches!(simulation.close_reason, Some(CloseReason::Disk(DiskError::Full))),
            "disk of {disk_capacity} bytes: {:?}",
            simulation.close_reason
        );
        let mut simulation = simulation.crash(small_options(), 6);
        assert_eq!(simulation.contents(), tables_after(&batches, durable), "disk of {disk_capacity} bytes");
        let ticket = simulation.write(random_batch(&mut simulation.random.clone()), Durability::Durable);
        simulation.run_until_idle();
        assert_eq!(
            simulation.results[&ticket],
            Ok(()),
            "the store has to accept writes once the disk has space"
        );
    }
}

#[test]
fn rejects_batches_beyond_limits_without_effect() {
    let options = Options { memory_bytes: 6000, ..small_options() };
    let mut simulation = Simulation::open(options, Disk::default(), 2);
    simulation.run_until_idle();
    let entry = |n: u16, length: usize| {
        let (key, value) = (n.to_be_bytes().to_vec(), Some(vec![7; length]));
        vec![Change { table: "a".into(), key, value, expires_at_ms: NOW + 1000.0 }]
    };
    let ticket = simulation.write(entry(0, 5000), Durability::Durable);
    assert_eq!(simulation.results[&ticket], Err(WriteError::Rejected(RejectReason::TooLarge)));
    let mut n = 0;
    let rejected = loop {
        n += 1;
        let ticket = simulation.write(entry(n, 100), Durability::Durable);
        simulation.run_until_idle();
        if let Some(Err(error)) = simulation.results.get(&ticket) {
            break *error;
        }
    };
    assert_eq!(rejected, WriteError::Rejected(RejectReason::MemoryFull));
    assert!(simulation.store.memory_bytes() <= options.memory_bytes);
    assert_eq!(simulation.contents().len(), usize::from(n) - 1, "no entry may be evicted");
    // Once the entries have expired there is space again, and their segments are removed without being read.
    simulation.now += 2000.0;
    simulation.handle(Event::Tick);
    simulation.run_until_idle();
    let ticket = simulation.write(entry(n, 100), Durability::Durable);
    simulation.run_until_idle();
    assert_eq!(simulation.results[&ticket], Ok(()));
    assert_eq!(simulation.contents().len(), 0, "the new entry has expired as well");
}

#[test]
fn compaction_keeps_live_entries_within_disk_limit() {
    let options = small_options();
    let mut simulation = Simulation::open(options, Disk::default(), 2);
    simulation.run_until_idle();
    let put = |key: &str, expires_at_ms| {
        let (key, value) = (key.as_bytes().to_vec(), Some(vec![9; 60]));
        vec![Change { table: "a".into(), key, value, expires_at_ms }]
    };
    simulation.write(put("long", NOW + 1e9), Durability::Durable);
    for n in 0..1000 {
        let ticket = simulation.write(put(&format!("{}", n % 5), NOW + 1e9), Durability::Durable);
        simulation.run_until_idle();
        simulation.handle(Event::Tick);
        simulation.run_until_idle();
        assert_eq!(simulation.results[&ticket], Ok(()), "batch {n}");
        let used: usize = simulation.disk.files.values().map(|file| file.bytes.len()).sum();
        assert!(used as u64 <= options.disk_bytes, "the segments take {used} bytes after batch {n}");
    }
    assert!(simulation.disk.files.len() < 8, "{} segments are left", simulation.disk.files.len());
    let simulation = simulation.crash(options, 3);
    assert_eq!(simulation.contents().len(), 6);
}

#[test]
fn reports_missing_segment_and_newer_format() {
    let options = large_options();
    let (simulation, _) = store_with_batches(options, 48, 4);
    let numbers: Vec<u64> = simulation.disk.files.keys().copied().collect();
    assert!(numbers.len() >= 3, "{numbers:?}");
    let mut disk = simulation.disk.clone();
    disk.files.remove(&numbers[1]);
    assert_eq!(reopen(disk, options).close_reason, Some(CloseReason::MissingSegment(numbers[1])));
    // A later format version in the header, with a matching checksum.
    let mut disk = simulation.disk.clone();
    let bytes = &mut disk.files.get_mut(&numbers[0]).expect("the segment exists").bytes;
    bytes[6] = 9;
    let checksum = xxhash_rust::xxh3::xxh3_64(&bytes[..SEGMENT_HEADER_BYTES - 8]);
    bytes[SEGMENT_HEADER_BYTES - 8..SEGMENT_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(reopen(disk, options).close_reason, Some(CloseReason::NewerFormat(9)));
}

#[test]
fn queued_batches_share_one_sync() {
    let mut simulation = Simulation::open(Options::default(), Disk::default(), 1);
    simulation.run_until_idle();
    let before = simulation.disk.sync_count;
    // The first batch is being written while the others are queued.
    for n in 0..100_u8 {
        let change =
            Change { table: "a".into(), key: vec![n], value: Some(vec![n]), expires_at_ms: NOW + 1e9 };
        simulation.write(vec![change], Durability::Durable);
    }
    simulation.run_until_idle();
    assert_eq!(simulation.contents().len(), 100);
    assert_eq!(simulation.disk.sync_count - before, 2);
}
