//! The table of keys: which try of a key is kept, which one ran and until when no other may, its result, and the
//! repeats that wait for it. It owns the rule that no key runs twice within its window; it must never do I/O,
//! read a clock, or decide what the decision module decides.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

use siphasher::sip::SipHasher13;

/// Entries outlive their time by this much, ms, for tries that came in time and were read late: longer than any
/// caller waits.
const AFTERLIFE_MS: f64 = 15_000.0;

/// The table may be so many times larger than what it holds, and a few entries more, before it gives room back.
const SPARE_MOST: usize = 4;
const ROOM_LEAST: usize = 64;

/// A name by which requests are known, and the class in which it counts: the subject of a read counts in its class, the token of
/// a keyed request in all keyed classes, which stand under [`ANY_KEYED_CLASS`].
pub type Key = (usize, String);

/// Stands for all keyed classes. Tries of one request may come under different ones: a reload that adds a class moves callers to
/// it between two tries.
pub const ANY_KEYED_CLASS: usize = usize::MAX;

/// What is known of the try of a key that ran.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// Nothing yet.
    Pending,
    /// It went well, with this result.
    Done(Rc<[u8]>),
    /// It failed, or its result is no longer kept.
    Failed,
}

/// A try that others of its key are held against.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: u32,
    /// Digest of its body: all tries of one request carry the same.
    digest: u64,
    /// Those that reached the machine before this time are its repeats.
    until: f64,
}

/// What is kept of one key.
#[derive(Debug)]
struct Entry {
    /// The try that the decision module wants kept.
    holder: Option<Attempt>,
    /// The try that was started, in keyed classes; no other may be before its window ends.
    ran: Option<Attempt>,
    /// The one that had run before, past its window: tries that came within it may still be read, and count again if the
    /// later one proves not to have run.
    ran_before: Option<Attempt>,
    /// The try whose result is kept here, and that result.
    of: u32,
    result: AttemptResult,
    /// Repeats that wait, each with the try whose result it waits for.
    waiters: Vec<(u32, u32)>,
    /// The try that is under way in another process of this server: it counts as one that ran.
    remote: Option<u32>,
}

impl Entry {
    fn new(of: u32) -> Self {
        let result = AttemptResult::Pending;
        Entry { holder: None, ran: None, ran_before: None, of, result, waiters: Vec::new(), remote: None }
    }

    /// The try that one which came at this time repeats.
    fn known(&self, arrived_ms: f64) -> Option<Attempt> {
        let covers = |known: &Attempt| arrived_ms < known.until;
        self.ran.filter(covers).or(self.holder.filter(covers))
    }

    /// Nothing is known of the key any more, and nobody waits.
    fn is_empty(&self) -> bool {
        self.holder.is_none() && self.ran.is_none() && self.waiters.is_empty()
    }

    fn bytes(&self) -> usize {
        if let AttemptResult::Done(bytes) = &self.result { bytes.len() } else { 0 }
    }
}

/// A try that is to be started.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The try.
    pub id: u32,
    /// Digest of its body.
    pub digest: u64,
    /// When it reached the machine, ms.
    pub arrived_ms: f64,
    /// No other try may be started until this time, ms.
    pub until: f64,
}

/// Another try of the key has run within its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyRan;

/// What becomes of a repeat.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinOutcome {
    /// It waits for the try that is under way.
    Waits,
    /// That try is over, with this result.
    Over(AttemptResult),
}

/// The table. Its kept results are bounded in bytes; its entries by the decision module, which books memory for
/// each.
#[derive(Debug)]
pub struct KeyTable {
    entries: HashMap<Key, Entry>,
    /// Bytes of all results; what takes one out of an entry, or the entry out of the table, takes its bytes off.
    results: usize,
    results_most: f64,
    /// Drawn anew by each server, so that nobody can make two bodies alike; its processes share it.
    digest_key: [u8; 16],
}

/// What another process of this server is told of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The try that is known.
    pub id: u32,
    /// Digest of its body.
    pub digest: u64,
    /// Those that reached the machine before this time are its repeats.
    pub until: f64,
    /// Whether the try was started. One that was not may yet be refused.
    pub ran: bool,
    /// Its result.
    pub result: AttemptResult,
}

/// A key for digests that nobody can guess.
fn random_key() -> [u8; 16] {
    let mut key = [0; 16];
    let random = RandomState::new();
    for (half, bytes) in key.chunks_mut(8).enumerate() {
        bytes.copy_from_slice(&random.hash_one(half).to_ne_bytes());
    }
    key
}

impl KeyTable {
    /// An empty table that keeps results up to so many bytes.
    pub fn new(results_most: f64) -> Self {
        KeyTable { entries: HashMap::new(), results: 0, results_most, digest_key: random_key() }
    }

    /// Keeps results up to so many bytes from now on; those that are kept stay for their time.
    pub fn set_results_most(&mut self, bytes: f64) {
        self.results_most = bytes;
    }

    /// Number of entries, and bytes of results.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.results)
    }

    /// A digest by which the bodies of two tries are compared.
    pub fn digest(&self, body: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.digest_key);
        hasher.write(body);
        hasher.finish()
    }

    /// The key of digests.
    pub fn digest_key(&self) -> [u8; 16] {
        self.digest_key
    }

    /// Takes over the key of digests of another process of this server. Digests that were made before mean nothing then.
    pub fn set_digest_key(&mut self, digest_key: [u8; 16]) {
        self.digest_key = digest_key;
    }

    /// All keys.
    pub fn all(&self) -> impl Iterator<Item = &Key> {
        self.entries.keys()
    }

    /// What another process has to know of this key; nothing if nothing is known of it.
    pub fn record(&self, key: &Key) -> Option<Record> {
        let entry = self.entries.get(key)?;
        let Attempt { id, digest, until } = entry.ran.or(entry.holder)?;
        let result = if entry.of == id { entry.result.clone() } else { AttemptResult::Failed };
        Some(Record { id, digest, until, ran: entry.ran.is_some(), result })
    }

    /// Whether anything known of the key covers tries that reach the machine at this time.
    pub fn is_known(&self, key: &Key, arrived_ms: f64) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.known(arrived_ms).is_some())
    }

    /// The try of this key that is under way in another process.
    pub fn remote_attempt(&self, key: &Key) -> Option<u32> {
        self.entries.get(key)?.remote
    }

    /// All keys with a try that is under way in another process.
    pub fn remote_attempts(&self) -> Vec<(Key, u32)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key.clone(), entry.remote?))).collect()
    }

    /// Enters a try that is under way in another process, or what is told anew of it. None of this process may start
    /// until then.
    pub fn enter_remote(&mut self, key: &Key, id: u32, digest: u64, until: f64) {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(id));
        if entry.remote == Some(id) {
            // Told anew. Past its window a try of this process may have taken the entry: that is left alone.
            if let Some(ran) = entry.ran.as_mut().filter(|ran| ran.id == id) {
                ran.until = ran.until.max(until);
            }
            return;
        }
        if entry.of != id {
            self.results -= entry.bytes();
            (entry.of, entry.result) = (id, AttemptResult::Pending);
        }
        entry.holder = None;
        entry.ran_before = entry.ran.replace(Attempt { id, digest, until });
        entry.remote = Some(id);
    }

    /// The try that a request with this key repeats, if it reached the machine while the entry lived.
    pub fn retained_attempt(&self, key: &Key, arrived_ms: f64) -> Option<u32> {
        Some(self.entries.get(key)?.known(arrived_ms)?.id)
    }

    /// Whether the key is known and stands for another request than one with this body.
    pub fn has_other_body(&self, key: &Key, arrived_ms: f64, digest: u64) -> bool {
        self.entries
            .get(key)
            .and_then(|entry| entry.known(arrived_ms))
            .is_some_and(|known| known.digest != digest)
    }

    /// Enters a try that is about to be started. Guards the rule on duplicates against every cause, a decision
    /// module that forgot included.
    pub fn start(&mut self, key: &Key, start: Start) -> Result<(), AlreadyRan> {
        let Start { id, digest, arrived_ms, until } = start;
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(id));
        if entry.ran.is_some_and(|ran| arrived_ms < ran.until) {
            return Err(AlreadyRan);
        }
        entry.ran_before = entry.ran.replace(Attempt { id, digest, until });
        self.results -= entry.bytes();
        (entry.of, entry.result) = (id, AttemptResult::Pending);
        Ok(())
    }

    /// Keeps this try as the one that repeats of its key name, until that time. A result of an earlier holder is not
    /// its own: kept on, it would be told to repeats long after its time.
    pub fn remember(&mut self, key: Key, id: u32, digest: u64, until: f64) {
        let entry = self.entries.entry(key).or_insert_with(|| Entry::new(id));
        entry.holder = Some(Attempt { id, digest, until });
        if entry.ran.is_none() && entry.of != id {
            self.results -= entry.bytes();
            (entry.of, entry.result) = (id, AttemptResult::Pending);
        }
    }

    /// Forgets that this try holds the entry. That one ran outlives every wish: it is what keeps the effect single.
    pub fn forget(&mut self, key: &Key, id: u32) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.holder = entry.holder.filter(|holder| holder.id != id);
        self.drop_if_empty(key);
    }

    /// Lets a repeat wait for the try it names, if that is under way, or tells how it ended.
    pub fn join(&mut self, key: Option<&Key>, id: u32, first: Option<u32>, under_way: bool) -> JoinOutcome {
        let entry = key.and_then(|key| self.entries.get_mut(key));
        let (Some(entry), Some(first)) = (entry, first) else {
            return JoinOutcome::Over(AttemptResult::Failed);
        };
        if entry.of == first && entry.result != AttemptResult::Pending {
            return JoinOutcome::Over(entry.result.clone());
        }
        if under_way {
            entry.waiters.push((id, first));
            return JoinOutcome::Waits;
        }
        JoinOutcome::Over(AttemptResult::Failed)
    }

    /// A try of the key is over. Returns the repeats that wait for it, and whether its result was dropped for want of
    /// room: the entry stays then, so that no repeat runs. `never_ran` if that is proved: the next try is a first one.
    pub fn ended(&mut self, key: &Key, id: u32, result: AttemptResult, never_ran: bool) -> (Vec<u32>, bool) {
        let Some(entry) = self.entries.get_mut(key) else { return (Vec::new(), false) };
        entry.remote = entry.remote.filter(|remote| *remote != id);
        let (waited, others) = entry.waiters.drain(..).partition(|(_, first)| *first == id);
        entry.waiters = others;
        let waited: Vec<(u32, u32)> = waited;
        let mut dropped = false;
        if never_ran {
            if entry.ran.is_some_and(|ran| ran.id == id) {
                entry.ran = entry.ran_before.take();
            }
            entry.holder = entry.holder.filter(|holder| holder.id != id);
        } else if entry.of == id {
            let held = self.results - entry.bytes();
            entry.result = result;
            if (held + entry.bytes()) as f64 > self.results_most {
                dropped = entry.bytes() > 0;
                entry.result = AttemptResult::Failed;
            }
            self.results = held + entry.bytes();
        }
        self.drop_if_empty(key);
        (waited.into_iter().map(|(waiter, _)| waiter).collect(), dropped)
    }

    /// A request with this key is over and no longer waits; `held` if it never left the hold: a try that ends so
    /// leaves nothing to repeat.
    pub fn left(&mut self, key: &Key, id: u32, held: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.waiters.retain(|(waiter, _)| *waiter != id);
        entry.holder = entry.holder.filter(|holder| !held || holder.id != id);
        self.drop_if_empty(key);
    }

    fn drop_if_empty(&mut self, key: &Key) {
        if self.entries.get(key).is_some_and(Entry::is_empty)
            && let Some(entry) = self.entries.remove(key)
        {
            self.results -= entry.bytes();
        }
    }

    /// Drops what no try that comes in time can name any more.
    pub fn sweep(&mut self, now: f64) {
        let mut freed = 0;
        self.entries.retain(|_, entry| {
            let lives = |known: Option<Attempt>| known.is_some_and(|known| known.until + AFTERLIFE_MS > now);
            let live = lives(entry.ran) || lives(entry.holder) || !entry.waiters.is_empty();
            freed += if live { 0 } else { entry.bytes() };
            live
        });
        self.results -= freed;
        self.give_back_room();
    }

    /// Gives back what a peak has left: a table that keeps its largest size is memory for as long as the process lives.
    fn give_back_room(&mut self) {
        let used = self.entries.len();
        if self.entries.capacity() > SPARE_MOST * used + ROOM_LEAST {
            self.entries.shrink_to(2 * used);
        }
    }
}
