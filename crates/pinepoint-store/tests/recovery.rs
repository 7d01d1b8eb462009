//! Whatever happens to the disk, what is read back is the tables as they were after some batch, none that was answered as
//! durable is missing, or the store says that it is not believed. `STORE_SEED` replays one course.

mod sim;

use pinepoint_store::disk::DiskError;
use pinepoint_store::format::{Change, SEGMENT_HEADER_BYTES};
use pinepoint_store::store::{CloseReason, Durability, Event, Options, RejectReason, WriteError};
use sim::{Disk, NOW, Tables, World, after, batch, batch_of, small};

fn seeds(n: u64) -> Vec<u64> {
    match std::env::var("STORE_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (0..n).collect(),
    }
}

/// Small segments on a disk that is never crowded, so that several stay.
fn large() -> Options {
    Options { disk_bytes: 1 << 20, ..small() }
}

/// A store with so many batches, each durable, and how the tables were after each.
fn filled(options: Options, batches: usize, seed: u64) -> (World, Vec<Vec<Change>>) {
    let mut world = World::open(options, Disk::default(), seed);
    world.run();
    assert!(world.opened);
    let mut all = Vec::new();
    for _ in 0..batches {
        let changes = batch_of(&mut world.random, 250);
        all.push(changes.clone());
        let ticket = world.write(changes, Durability::Durable);
        world.run();
        assert_eq!(world.answers[&ticket], Ok(()), "seed {seed}");
    }
    assert_eq!(world.holds(), after(&all, batches), "seed {seed}");
    (world, all)
}

/// After how many batches the tables were so, the latest; nothing if never.
fn matching(holds: &Tables, batches: &[Vec<Change>]) -> Option<usize> {
    (0..=batches.len()).rev().find(|n| *holds == after(batches, *n))
}

fn reopened(disk: Disk, options: Options) -> World {
    let mut world = World::open(options, disk, 1);
    world.run();
    world
}

#[test]
fn a_file_cut_at_any_byte_gives_back_an_earlier_state_or_says_that_it_is_damaged() {
    let options = large();
    let (world, batches) = filled(options, 48, 3);
    let last = *world.disk.files.keys().last().expect("a segment");
    let (mut earlier, mut damaged) = (0, 0);
    for (number, file) in &world.disk.files {
        for cut in 0..file.bytes.len() {
            let mut disk = world.disk.clone();
            disk.files.get_mut(number).expect("it is there").bytes.truncate(cut);
            let world = reopened(disk, options);
            match world.close_reason {
                Some(_) => damaged += 1,
                None => {
                    assert!(matching(&world.holds(), &batches).is_some(), "segment {number} cut at {cut}");
                    // What stands in an earlier segment had been synced: it is never just passed over.
                    assert_eq!(*number, last, "cut at {cut} of segment {number} is not seen");
                    earlier += 1;
                }
            }
        }
    }
    println!("{earlier} cuts gave an earlier state, {damaged} were told as damage");
    assert!(earlier > 0 && damaged > 0);
}

#[test]
fn any_flipped_byte_is_told_or_gives_back_an_earlier_state_and_never_a_mixture() {
    let options = large();
    let (world, batches) = filled(options, 48, 4);
    let last = *world.disk.files.keys().last().expect("a segment");
    let (mut same, mut lost, mut told) = (0, 0, 0);
    for (number, file) in &world.disk.files {
        for at in 0..file.bytes.len() {
            let mut disk = world.disk.clone();
            disk.files.get_mut(number).expect("it is there").bytes[at] ^= 0x40;
            let world = reopened(disk, options);
            if world.close_reason.is_some() {
                told += 1;
                continue;
            }
            let n = matching(&world.holds(), &batches);
            let n = n.unwrap_or_else(|| panic!("byte {at} of segment {number} gives a mixture"));
            if n == batches.len() {
                same += 1;
            } else {
                // Only the last batch of the last segment can't be told from one that was being written.
                assert_eq!((*number, n), (last, batches.len() - 1), "byte {at} of segment {number}");
                lost += 1;
            }
        }
    }
    println!("{told} flips told, {lost} lost the last batch, {same} changed nothing");
    assert!(told > lost);
}

/// Plays batches of all durabilities, with the power going before the request of this number is answered; tells whether it came
/// so far.
fn power_cut(seed: u64, step: u64, again: u64) -> bool {
    let options = small();
    let mut world = World::open(options, Disk::default(), seed);
    let mut batches: Vec<Vec<Change>> = Vec::new();
    let mut durable = 0;
    let mut went = false;
    'all: for _ in 0..60 {
        // Several at once, so that they go together.
        let mut tickets = Vec::new();
        for n in 0..3 {
            let changes = batch(&mut world.random);
            let how = [Durability::Durable, Durability::Written, Durability::Lazy][(seed as usize + n) % 3];
            let before = world.answers.len();
            let ticket = world.write(changes.clone(), how);
            let refused = matches!(world.answers.get(&ticket), Some(Err(WriteError::Rejected(_))));
            if !refused {
                batches.push(changes);
                tickets.push((ticket, how, batches.len()));
            }
            assert!(world.answers.len() >= before);
        }
        world.now += 10.0;
        world.handle(Event::Tick);
        loop {
            for (ticket, how, n) in &tickets {
                if *how == Durability::Durable && world.answers.get(ticket) == Some(&Ok(())) {
                    durable = durable.max(*n);
                }
            }
            if world.disk.steps + 1 >= step {
                went = true;
                break 'all;
            }
            if !world.step() {
                break;
            }
        }
    }
    let mut world = world.crash(options, seed ^ 77);
    // And goes again while what is left is read.
    for n in 0..again {
        let disk = std::mem::take(&mut world.disk);
        let mut next = World::open(options, disk, seed + n);
        for _ in 0..=n * 2 {
            next.step();
        }
        world = next.crash(options, seed + 100 + n);
    }
    assert_eq!(world.close_reason, None, "STORE_SEED={seed} step {step}");
    let n = matching(&world.holds(), &batches);
    let n = n.unwrap_or_else(|| panic!("STORE_SEED={seed} step {step}: a state that never was"));
    assert!(n >= durable, "STORE_SEED={seed} step {step}: {n} batches are there, {durable} were durable");
    // What is left can be written again, and is kept.
    let changes = batch(&mut world.random);
    batches.truncate(n);
    batches.push(changes.clone());
    let ticket = world.write(changes, Durability::Durable);
    world.run();
    assert_eq!(world.answers[&ticket], Ok(()), "STORE_SEED={seed} step {step}");
    let world = world.crash(options, seed);
    assert_eq!(world.holds(), after(&batches, batches.len()), "STORE_SEED={seed} step {step}");
    went
}

#[test]
fn the_power_may_go_at_any_request_of_writes_rolls_moves_and_openings() {
    let (mut cuts, mut furthest) = (0, 0);
    for seed in seeds(12) {
        let mut step = 1;
        while power_cut(seed, step, seed % 4) {
            furthest = furthest.max(step);
            cuts += 1;
            step += 1;
        }
    }
    println!("{cuts} cuts of power, up to request {furthest}");
    assert!(cuts > 500);
}

#[test]
fn after_a_failed_sync_nothing_unsynced_is_believed_and_nothing_is_written() {
    let (mut world, batches) = filled(small(), 5, 8);
    let before = world.holds();
    let written = world.write(batch(&mut world.random.clone()), Durability::Written);
    world.run();
    assert_eq!(world.answers[&written], Ok(()));
    let next = vec![Change {
        table: "a".into(),
        key: b"new".to_vec(),
        value: Some(vec![1]),
        expires_at_ms: NOW + 1e9,
    }];
    world.disk.fails_at = Some(world.disk.steps + 2);
    let ticket = world.write(next.clone(), Durability::Durable);
    world.run();
    assert_eq!(world.answers[&ticket], Err(WriteError::OutcomeUnknown(CloseReason::SyncFailed)));
    assert_eq!(world.close_reason, Some(CloseReason::SyncFailed));
    assert_eq!(world.holds(), before, "what was written and not synced is taken back too");
    let refused = world.write(next, Durability::Durable);
    assert_eq!(
        world.answers[&refused],
        Err(WriteError::Rejected(RejectReason::Closed(CloseReason::SyncFailed)))
    );
    let world = world.crash(small(), 1);
    assert!(matching(&world.holds(), &batches).is_some() || world.holds().len() >= before.len());
}

#[test]
fn a_short_write_is_taken_back_and_what_follows_is_kept() {
    for seed in seeds(20) {
        let (mut world, mut batches) = filled(small(), 6, seed);
        world.disk.fails_at = Some(world.disk.steps + 1);
        let ticket = world.write(batch(&mut world.random.clone()), Durability::Durable);
        world.run();
        assert_eq!(
            world.answers[&ticket],
            Err(WriteError::OutcomeUnknown(CloseReason::Disk(DiskError::Failed)))
        );
        assert_eq!(world.close_reason, None, "one failed write is no reason to stop");
        let changes = batch(&mut world.random);
        batches.push(changes.clone());
        let ticket = world.write(changes, Durability::Durable);
        world.run();
        assert_eq!(world.answers[&ticket], Ok(()));
        let world = world.crash(small(), seed);
        assert_eq!(world.holds(), after(&batches, batches.len()), "STORE_SEED={seed}");
    }
}

#[test]
fn a_full_disk_shuts_the_store_and_what_was_durable_is_there() {
    for room in (1500..4000).step_by(97) {
        let mut world = World::open(small(), Disk { capacity: Some(room), ..Disk::default() }, 5);
        world.run();
        let (mut batches, mut durable) = (Vec::new(), 0);
        while world.close_reason.is_none() && batches.len() < 200 {
            let changes = batch(&mut world.random);
            batches.push(changes.clone());
            let ticket = world.write(changes, Durability::Durable);
            world.run();
            if world.answers[&ticket] == Ok(()) {
                durable = batches.len();
            }
        }
        assert!(
            matches!(world.close_reason, Some(CloseReason::Disk(DiskError::Full))),
            "{room}: {:?}",
            world.close_reason
        );
        let mut world = world.crash(small(), 6);
        assert_eq!(world.holds(), after(&batches, durable), "{room} bytes of room");
        let ticket = world.write(batch(&mut world.random.clone()), Durability::Durable);
        world.run();
        assert_eq!(world.answers[&ticket], Ok(()), "with room again it goes on");
    }
}

#[test]
fn beyond_the_bounds_batches_are_refused_before_anything_of_them_happened() {
    let options = Options { memory_bytes: 6000, ..small() };
    let mut world = World::open(options, Disk::default(), 2);
    world.run();
    let entry = |n: u16, length: usize| {
        let (key, value) = (n.to_be_bytes().to_vec(), Some(vec![7; length]));
        vec![Change { table: "a".into(), key, value, expires_at_ms: NOW + 1000.0 }]
    };
    let ticket = world.write(entry(0, 5000), Durability::Durable);
    assert_eq!(world.answers[&ticket], Err(WriteError::Rejected(RejectReason::TooLarge)));
    let mut n = 0;
    let refused = loop {
        n += 1;
        let ticket = world.write(entry(n, 100), Durability::Durable);
        world.run();
        if let Some(Err(error)) = world.answers.get(&ticket) {
            break *error;
        }
    };
    assert_eq!(refused, WriteError::Rejected(RejectReason::MemoryFull));
    assert!(world.store.memory_bytes() <= options.memory_bytes);
    assert_eq!(world.holds().len(), usize::from(n) - 1, "no entry gave way");
    // Once they are over there is room, and their segments go unread.
    world.now += 2000.0;
    world.handle(Event::Tick);
    world.run();
    let ticket = world.write(entry(n, 100), Durability::Durable);
    world.run();
    assert_eq!(world.answers[&ticket], Ok(()));
    assert_eq!(world.holds().len(), 0, "this one is over too");
}

#[test]
fn what_lives_long_is_moved_on_and_the_disk_stays_within_its_bound() {
    let options = small();
    let mut world = World::open(options, Disk::default(), 2);
    world.run();
    let put = |key: &str, expires_at_ms| {
        let (key, value) = (key.as_bytes().to_vec(), Some(vec![9; 60]));
        vec![Change { table: "a".into(), key, value, expires_at_ms }]
    };
    world.write(put("long", NOW + 1e9), Durability::Durable);
    for n in 0..1000 {
        let ticket = world.write(put(&format!("{}", n % 5), NOW + 1e9), Durability::Durable);
        world.run();
        world.handle(Event::Tick);
        world.run();
        assert_eq!(world.answers[&ticket], Ok(()), "batch {n}");
        let used: usize = world.disk.files.values().map(|file| file.bytes.len()).sum();
        assert!(used as u64 <= options.disk_bytes, "{used} bytes");
    }
    assert!(world.disk.files.len() < 8, "{} segments", world.disk.files.len());
    let world = world.crash(options, 3);
    assert_eq!(world.holds().len(), 6);
}

#[test]
fn a_segment_that_is_missing_or_of_a_later_form_is_told() {
    let options = large();
    let (world, _) = filled(options, 48, 4);
    let numbers: Vec<u64> = world.disk.files.keys().copied().collect();
    assert!(numbers.len() >= 3, "{numbers:?}");
    let mut disk = world.disk.clone();
    disk.files.remove(&numbers[1]);
    assert_eq!(reopened(disk, options).close_reason, Some(CloseReason::MissingSegment(numbers[1])));
    // Of a later form: the version, and the checksum that goes with it.
    let mut disk = world.disk.clone();
    let bytes = &mut disk.files.get_mut(&numbers[0]).expect("it is there").bytes;
    bytes[6] = 9;
    let sum = xxhash_rust::xxh3::xxh3_64(&bytes[..SEGMENT_HEADER_BYTES - 8]);
    bytes[SEGMENT_HEADER_BYTES - 8..SEGMENT_HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(reopened(disk, options).close_reason, Some(CloseReason::NewerFormat(9)));
}

#[test]
fn many_that_wait_share_one_sync() {
    let mut world = World::open(Options::default(), Disk::default(), 1);
    world.run();
    let before = world.disk.syncs;
    // The first is with the disk while the others come.
    for n in 0..100_u8 {
        let change =
            Change { table: "a".into(), key: vec![n], value: Some(vec![n]), expires_at_ms: NOW + 1e9 };
        world.write(vec![change], Durability::Durable);
    }
    world.run();
    assert_eq!(world.holds().len(), 100);
    assert_eq!(world.disk.syncs - before, 2);
}
