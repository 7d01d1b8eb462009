//! A simulated disk that separates synced from unsynced data and injects failures, and a store on it that is
//! driven one request at a time. All random choices follow from a seed.

use std::collections::BTreeMap;

use pinepoint_store::disk::{DiskError, DiskRequest, DiskResponse};
use pinepoint_store::format::Change;
use pinepoint_store::store::{Action, CloseReason, Durability, Event, Options, Store, WriteError};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Size of the blocks in which a power loss keeps or corrupts unsynced data, bytes.
const SECTOR_BYTES: usize = 64;

#[derive(Clone, Debug, Default)]
pub struct File {
    pub bytes: Vec<u8>,
    /// Length that survives a power loss, bytes.
    pub synced_bytes: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub files: BTreeMap<u64, File>,
    /// Number of requests so far.
    pub request_count: u64,
    /// Maximum size of all files, bytes.
    pub capacity: Option<usize>,
    /// Number of the request that fails, counted from 1. `List` and `Read` never fail.
    pub failing_request: Option<u64>,
    pub sync_count: u64,
}

impl Disk {
    fn used_bytes(&self) -> usize {
        self.files.values().map(|file| file.bytes.len()).sum()
    }

    pub fn serve(&mut self, request: &DiskRequest) -> Result<DiskResponse, DiskError> {
        self.request_count += 1;
        let fails = self.failing_request == Some(self.request_count);
        match request {
            DiskRequest::List => Ok(DiskResponse::Segments(self.files.keys().copied().collect())),
            DiskRequest::Read(number) => self
                .files
                .get(number)
                .map(|f| DiskResponse::Contents(f.bytes.clone()))
                .ok_or(DiskError::Failed),
            _ if fails && !matches!(request, DiskRequest::Append { .. }) => Err(DiskError::Failed),
            DiskRequest::Create { segment: number, bytes } => {
                if self.capacity.is_some_and(|limit| self.used_bytes() + bytes.len() > limit) {
                    return Err(DiskError::Full);
                }
                self.files.insert(*number, File { bytes: bytes.clone(), synced_bytes: bytes.len() });
                Ok(DiskResponse::Done)
            }
            DiskRequest::Append { segment: number, offset, bytes } => {
                let free_bytes =
                    self.capacity.map_or(usize::MAX, |limit| limit.saturating_sub(self.used_bytes()));
                let file = self.files.get_mut(number).ok_or(DiskError::Failed)?;
                assert!(
                    *offset as usize <= file.bytes.len(),
                    "append at offset {offset} leaves a gap in segment {number}"
                );
                file.bytes.truncate(*offset as usize);
                // A failing append writes only a part of its bytes.
                let n = if fails { bytes.len() / 2 } else { bytes.len().min(free_bytes) };
                file.bytes.extend_from_slice(&bytes[..n]);
                match n == bytes.len() {
                    true => Ok(DiskResponse::Done),
                    false if fails => Err(DiskError::Failed),
                    false => Err(DiskError::Full),
                }
            }
            DiskRequest::Sync(number) => {
                self.sync_count += 1;
                let file = self.files.get_mut(number).ok_or(DiskError::Failed)?;
                file.synced_bytes = file.bytes.len();
                Ok(DiskResponse::Done)
            }
            DiskRequest::Remove(number) => {
                self.files.remove(number);
                Ok(DiskResponse::Done)
            }
        }
    }

    /// Simulates a power loss while this request, if any, is in progress. Of the unsynced data any part may
    /// be kept, in any order.
    pub fn crash(&mut self, request_in_progress: Option<&DiskRequest>, random: &mut Pcg64Mcg) {
        let mut one_in = |of: u64| random.next_u64().is_multiple_of(of);
        match request_in_progress {
            Some(request @ DiskRequest::Append { .. }) => {
                let _ = self.serve(request);
            }
            // The sync completes or has no effect.
            Some(request @ DiskRequest::Sync(_)) if one_in(2) => {
                let _ = self.serve(request);
            }
            Some(DiskRequest::Create { segment: number, bytes }) if one_in(2) => {
                // The file exists, but its header is not synced.
                self.files.insert(*number, File { bytes: bytes.clone(), synced_bytes: 0 });
            }
            Some(DiskRequest::Remove(number)) if one_in(2) => {
                self.files.remove(number);
            }
            _ => {}
        }
        for file in self.files.values_mut() {
            let mut block_start = file.synced_bytes;
            while block_start < file.bytes.len() {
                let block_end = (block_start + SECTOR_BYTES).min(file.bytes.len());
                match random.next_u64() % 4 {
                    0 => file.bytes[block_start..block_end].fill(0),
                    1 => file.bytes[block_start..block_end]
                        .iter_mut()
                        .for_each(|byte| *byte = random.next_u64() as u8),
                    _ => {}
                }
                block_start = block_end;
            }
            let unsynced_bytes = file.bytes.len() - file.synced_bytes;
            if random.next_u64().is_multiple_of(2) {
                file.bytes.truncate(file.synced_bytes + random.next_u64() as usize % (unsynced_bytes + 1));
            }
            file.synced_bytes = file.bytes.len();
        }
    }
}

/// Tables as a plain map from table and key to value, to compare the store with.
pub type Tables = BTreeMap<(String, Vec<u8>), Vec<u8>>;

/// A store on a simulated disk, with the results that it reported.
pub struct Simulation {
    pub store: Store,
    pub disk: Disk,
    pub now: f64,
    pub random: Pcg64Mcg,
    pending_request: Option<DiskRequest>,
    pub results: BTreeMap<u64, Result<(), WriteError>>,
    pub was_opened: bool,
    pub close_reason: Option<CloseReason>,
    last_ticket: u64,
}

pub const NOW: f64 = 1.7e12;

impl Simulation {
    pub fn open(options: Options, disk: Disk, seed: u64) -> Simulation {
        let mut out = Vec::new();
        let store = Store::open(options, NOW - 1e9, &mut out);
        let mut simulation = Simulation {
            store,
            disk,
            now: NOW,
            random: Pcg64Mcg::seed_from_u64(seed),
            pending_request: None,
            results: BTreeMap::new(),
            was_opened: false,
            close_reason: None,
            last_ticket: 0,
        };
        simulation.execute(out);
        simulation
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Disk(request) => {
                    assert!(
                        self.pending_request.is_none(),
                        "a disk request was submitted while another was pending"
                    );
                    self.pending_request = Some(request);
                }
                Action::Complete { ticket, result: outcome } => {
                    assert!(
                        self.results.insert(ticket, outcome).is_none(),
                        "write {ticket} was completed twice"
                    );
                }
                Action::Opened => self.was_opened = true,
                Action::Closed(reason) => self.close_reason = Some(reason),
            }
        }
    }

    pub fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.store.handle(self.now, event, &mut out);
        self.execute(out);
    }

    /// Serves the pending disk request. Returns whether there was one.
    pub fn step(&mut self) -> bool {
        let Some(request) = self.pending_request.take() else { return false };
        let outcome = self.disk.serve(&request);
        self.handle(Event::DiskCompleted(outcome));
        true
    }

    pub fn run_until_idle(&mut self) {
        while self.step() {}
    }

    pub fn write(&mut self, changes: Vec<Change>, durability: Durability) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.handle(Event::Write { ticket, changes, durability });
        ticket
    }

    /// All entries of the store that have not expired.
    pub fn contents(&self) -> Tables {
        let mut tables = Tables::new();
        for table in ["a", "b"] {
            for (key, value) in self.store.entries(self.now, table) {
                tables.insert((table.to_owned(), key.to_vec()), value.to_vec());
            }
        }
        tables
    }

    /// Simulates a power loss, and opens a store on the remaining data. Injected failures are
    /// cleared.
    pub fn crash(mut self, options: Options, seed: u64) -> Simulation {
        let request = self.pending_request.take();
        self.disk.crash(request.as_ref(), &mut self.random);
        let mut disk = std::mem::take(&mut self.disk);
        (disk.failing_request, disk.capacity) = (None, None);
        let mut reopened = Simulation::open(options, disk, seed);
        reopened.run_until_idle();
        reopened
    }
}

/// The expected tables after the first `n` of these batches.
pub fn tables_after(batches: &[Vec<Change>], n: usize) -> Tables {
    let mut tables = Tables::new();
    for change in batches[..n].iter().flatten() {
        let key = (change.table.clone(), change.key.clone());
        match &change.value {
            Some(value) => tables.insert(key, value.clone()),
            None => tables.remove(&key),
        };
    }
    tables
}

/// A random batch with few distinct keys (12 per table), so that most entries are soon overwritten or
/// removed.
pub fn random_batch(random: &mut Pcg64Mcg) -> Vec<Change> {
    random_batch_of(random, 12)
}

/// A random batch of 1 to 4 changes, with this number of distinct keys per table.
pub fn random_batch_of(random: &mut Pcg64Mcg, keys: u64) -> Vec<Change> {
    let n = 1 + random.next_u64() % 4;
    let random_change = |_| {
        let table = if random.next_u64().is_multiple_of(3) { "b" } else { "a" };
        let key = vec![b'k', (random.next_u64() % keys) as u8];
        let length = random.next_u64() as usize % 90;
        let value = (!random.next_u64().is_multiple_of(5)).then(|| vec![random.next_u64() as u8; length]);
        Change { table: table.into(), key, value, expires_at_ms: NOW + 1e9 }
    };
    (0..n).map(random_change).collect()
}

/// Small limits, so that segments are soon full and compaction is needed.
pub fn small_options() -> Options {
    Options { segment_bytes: 2048, disk_bytes: 16 * 1024, memory_bytes: 64 * 1024, max_lazy_delay_ms: 5.0 }
}
