//! A disk that keeps apart what was synced and what was only written, and fails on command; and a store over it, driven one
//! request at a time. Everything follows from a seed.

use std::collections::BTreeMap;

use pinepoint_store::disk::{DiskError, DiskRequest, DiskResponse};
use pinepoint_store::format::Change;
use pinepoint_store::store::{Action, CloseReason, Durability, Event, Options, Store, WriteError};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What a disk keeps or loses as one.
const SECTOR: usize = 64;

#[derive(Clone, Debug, Default)]
pub struct File {
    pub bytes: Vec<u8>,
    pub synced: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub files: BTreeMap<u64, File>,
    /// Requests so far.
    pub steps: u64,
    /// Bytes that it holds at most.
    pub capacity: Option<usize>,
    /// The request of this number fails.
    pub fails_at: Option<u64>,
    pub syncs: u64,
}

impl Disk {
    fn used(&self) -> usize {
        self.files.values().map(|file| file.bytes.len()).sum()
    }

    pub fn ask(&mut self, request: &DiskRequest) -> Result<DiskResponse, DiskError> {
        self.steps += 1;
        let fails = self.fails_at == Some(self.steps);
        match request {
            DiskRequest::List => Ok(DiskResponse::Segments(self.files.keys().copied().collect())),
            DiskRequest::Read(number) => self
                .files
                .get(number)
                .map(|f| DiskResponse::Contents(f.bytes.clone()))
                .ok_or(DiskError::Failed),
            _ if fails && !matches!(request, DiskRequest::Append { .. }) => Err(DiskError::Failed),
            DiskRequest::Create { segment: number, bytes } => {
                if self.capacity.is_some_and(|room| self.used() + bytes.len() > room) {
                    return Err(DiskError::Full);
                }
                self.files.insert(*number, File { bytes: bytes.clone(), synced: bytes.len() });
                Ok(DiskResponse::Done)
            }
            DiskRequest::Append { segment: number, offset, bytes } => {
                let left = self.capacity.map_or(usize::MAX, |room| room.saturating_sub(self.used()));
                let file = self.files.get_mut(number).ok_or(DiskError::Failed)?;
                assert!(*offset as usize <= file.bytes.len(), "a hole in segment {number}");
                file.bytes.truncate(*offset as usize);
                // A short write, and then the error.
                let n = if fails { bytes.len() / 2 } else { bytes.len().min(left) };
                file.bytes.extend_from_slice(&bytes[..n]);
                match n == bytes.len() {
                    true => Ok(DiskResponse::Done),
                    false if fails => Err(DiskError::Failed),
                    false => Err(DiskError::Full),
                }
            }
            DiskRequest::Sync(number) => {
                self.syncs += 1;
                let file = self.files.get_mut(number).ok_or(DiskError::Failed)?;
                file.synced = file.bytes.len();
                Ok(DiskResponse::Done)
            }
            DiskRequest::Remove(number) => {
                self.files.remove(number);
                Ok(DiskResponse::Done)
            }
        }
    }

    /// The power goes while this request is under way, if any: of what was not synced any part may be there, in any order.
    pub fn crash(&mut self, under_way: Option<&DiskRequest>, random: &mut Pcg64Mcg) {
        let mut chance = |of: u64| random.next_u64().is_multiple_of(of);
        match under_way {
            Some(request @ DiskRequest::Append { .. }) => {
                let _ = self.ask(request);
            }
            // It came to its end, or nowhere near it.
            Some(request @ DiskRequest::Sync(_)) if chance(2) => {
                let _ = self.ask(request);
            }
            Some(DiskRequest::Create { segment: number, bytes }) if chance(2) => {
                // Made, and its head not synced.
                self.files.insert(*number, File { bytes: bytes.clone(), synced: 0 });
            }
            Some(DiskRequest::Remove(number)) if chance(2) => {
                self.files.remove(number);
            }
            _ => {}
        }
        for file in self.files.values_mut() {
            let mut at = file.synced;
            while at < file.bytes.len() {
                let end = (at + SECTOR).min(file.bytes.len());
                match random.next_u64() % 4 {
                    0 => file.bytes[at..end].fill(0),
                    1 => file.bytes[at..end].iter_mut().for_each(|byte| *byte = random.next_u64() as u8),
                    _ => {}
                }
                at = end;
            }
            let over = file.bytes.len() - file.synced;
            if random.next_u64().is_multiple_of(2) {
                file.bytes.truncate(file.synced + random.next_u64() as usize % (over + 1));
            }
            file.synced = file.bytes.len();
        }
    }
}

/// Tables as a plain map: what the store has to be after each batch.
pub type Tables = BTreeMap<(String, Vec<u8>), Vec<u8>>;

/// A store over a disk, and what it was asked for.
pub struct World {
    pub store: Store,
    pub disk: Disk,
    pub now: f64,
    pub random: Pcg64Mcg,
    waiting: Option<DiskRequest>,
    pub answers: BTreeMap<u64, Result<(), WriteError>>,
    pub opened: bool,
    pub close_reason: Option<CloseReason>,
    tickets: u64,
}

pub const NOW: f64 = 1.7e12;

impl World {
    pub fn open(options: Options, disk: Disk, seed: u64) -> World {
        let mut out = Vec::new();
        let store = Store::open(options, NOW - 1e9, &mut out);
        let mut world = World {
            store,
            disk,
            now: NOW,
            random: Pcg64Mcg::seed_from_u64(seed),
            waiting: None,
            answers: BTreeMap::new(),
            opened: false,
            close_reason: None,
            tickets: 0,
        };
        world.execute(out);
        world
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Disk(request) => {
                    assert!(self.waiting.is_none(), "two requests at once");
                    self.waiting = Some(request);
                }
                Action::Complete { ticket, result: answer } => {
                    assert!(self.answers.insert(ticket, answer).is_none(), "two answers to {ticket}");
                }
                Action::Opened => self.opened = true,
                Action::Closed(reason) => self.close_reason = Some(reason),
            }
        }
    }

    pub fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.store.handle(self.now, event, &mut out);
        self.execute(out);
    }

    /// One request of the disk; tells whether there was one.
    pub fn step(&mut self) -> bool {
        let Some(request) = self.waiting.take() else { return false };
        let answer = self.disk.ask(&request);
        self.handle(Event::DiskCompleted(answer));
        true
    }

    pub fn run(&mut self) {
        while self.step() {}
    }

    pub fn write(&mut self, changes: Vec<Change>, durability: Durability) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        self.handle(Event::Write { ticket, changes, durability });
        ticket
    }

    /// What the store holds now.
    pub fn holds(&self) -> Tables {
        let mut all = Tables::new();
        for table in ["a", "b"] {
            for (key, value) in self.store.entries(self.now, table) {
                all.insert((table.to_owned(), key.to_vec()), value.to_vec());
            }
        }
        all
    }

    /// The power goes; what is left is opened anew.
    pub fn crash(mut self, options: Options, seed: u64) -> World {
        let request = self.waiting.take();
        self.disk.crash(request.as_ref(), &mut self.random);
        let mut disk = std::mem::take(&mut self.disk);
        (disk.fails_at, disk.capacity) = (None, None);
        let mut next = World::open(options, disk, seed);
        next.run();
        next
    }
}

/// What the tables are after so many of these batches.
pub fn after(batches: &[Vec<Change>], n: usize) -> Tables {
    let mut all = Tables::new();
    for change in batches[..n].iter().flatten() {
        let key = (change.table.clone(), change.key.clone());
        match &change.value {
            Some(value) => all.insert(key, value.clone()),
            None => all.remove(&key),
        };
    }
    all
}

/// A batch of some changes of a dozen keys, so that most of what is written is over soon.
pub fn batch(random: &mut Pcg64Mcg) -> Vec<Change> {
    batch_of(random, 12)
}

/// A batch of some changes of so many keys.
pub fn batch_of(random: &mut Pcg64Mcg, keys: u64) -> Vec<Change> {
    let n = 1 + random.next_u64() % 4;
    let one = |_| {
        let table = if random.next_u64().is_multiple_of(3) { "b" } else { "a" };
        let key = vec![b'k', (random.next_u64() % keys) as u8];
        let length = random.next_u64() as usize % 90;
        let value = (!random.next_u64().is_multiple_of(5)).then(|| vec![random.next_u64() as u8; length]);
        Change { table: table.into(), key, value, expires_at_ms: NOW + 1e9 }
    };
    (0..n).map(one).collect()
}

pub fn small() -> Options {
    Options { segment_bytes: 2048, disk_bytes: 16 * 1024, memory_bytes: 64 * 1024, max_lazy_delay_ms: 5.0 }
}
