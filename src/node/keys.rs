//! The table of keys: which try of a key is kept, which one ran and until when no other may, its result, and the
//! repeats that wait for it. It owns the rule that no key runs twice within its window; it must never do I/O,
//! read a clock, or decide what the decision module decides.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;

/// Entries outlive their time by this much, ms, for tries that came in time and were read late: longer than any
/// caller waits.
const AFTERLIFE_MS: f64 = 15_000.0;

/// A class and a name in it: the token of a keyed request, or the subject of a read.
pub type Key = (usize, String);

/// What is known of the try of a key that ran.
#[derive(Clone, Debug, PartialEq)]
pub enum TryResult {
    /// Nothing yet.
    Pending,
    /// It went well, with this result.
    Done(Rc<[u8]>),
    /// It failed, or its result is no longer kept.
    Failed,
}

#[derive(Debug)]
struct Kept {
    holder: u32,
    /// Digest of the holder's body: all tries of one request carry the same.
    digest: u64,
    until: f64,
    /// The try that was started, and the end of the window in which no other may be.
    ran: Option<(u32, f64)>,
    result: TryResult,
    waiters: Vec<u32>,
}

/// A try that is to be started.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The try.
    pub id: u32,
    /// Digest of its body.
    pub digest: u64,
    /// When it reached the machine, ms.
    pub t0: f64,
    /// No other try may be started until this time, ms.
    pub until: f64,
}

/// Another try of the key has run within its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyRan;

/// What becomes of a repeat.
#[derive(Clone, Debug, PartialEq)]
pub enum Joined {
    /// It waits for the try that is under way.
    Waits,
    /// That try is over, with this result.
    Over(TryResult),
}

/// The table. Its kept results are bounded in bytes; its entries by the decision module, which books memory for
/// each.
#[derive(Debug)]
pub struct Keys {
    entries: HashMap<Key, Kept>,
    results: usize,
    results_most: f64,
    /// Seeded anew in each process, so that nobody can make two bodies alike.
    digests: RandomState,
}

impl Keys {
    /// An empty table that keeps results up to so many bytes.
    pub fn new(results_most: f64) -> Self {
        Keys { entries: HashMap::new(), results: 0, results_most, digests: RandomState::new() }
    }

    /// Number of entries, and bytes of results.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.results)
    }

    /// A digest by which the bodies of two tries are compared.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.digests.hash_one(body)
    }

    /// The try that a request with this key repeats, if it reached the machine while the entry lived.
    pub fn kept_try(&self, key: &Key, t0: f64) -> Option<u32> {
        let kept = self.entries.get(key)?;
        match kept.ran {
            Some((ran, until)) if t0 < until => Some(ran),
            _ if t0 < kept.until => Some(kept.holder),
            _ => None,
        }
    }

    /// Whether the key is known and stands for another request than one with this body.
    pub fn is_other(&self, key: &Key, t0: f64, digest: u64) -> bool {
        self.kept_try(key, t0).is_some() && self.entries[key].digest != digest
    }

    /// Enters a try that is about to be started. Guards the rule on duplicates against every cause, a decision
    /// module that forgot included.
    pub fn start(&mut self, key: &Key, start: Start) -> Result<(), AlreadyRan> {
        let Start { id, digest, t0, until } = start;
        let kept = self.entries.entry(key.clone()).or_insert_with(|| Kept {
            holder: id,
            digest,
            until,
            ran: None,
            result: TryResult::Pending,
            waiters: Vec::new(),
        });
        if kept.ran.is_some_and(|(_, until)| t0 < until) {
            return Err(AlreadyRan);
        }
        if let TryResult::Done(bytes) = std::mem::replace(&mut kept.result, TryResult::Pending) {
            self.results -= bytes.len();
        }
        kept.ran = Some((id, until));
        kept.digest = digest;
        Ok(())
    }

    /// Keeps this try as the one that repeats of its key name, until that time.
    pub fn remember(&mut self, key: Key, id: u32, digest: u64, until: f64) {
        match self.entries.get_mut(&key) {
            Some(kept) => {
                kept.holder = id;
                kept.until = until;
                kept.digest = digest;
            }
            None => {
                let (result, waiters) = (TryResult::Pending, Vec::new());
                self.entries.insert(key, Kept { holder: id, digest, until, ran: None, result, waiters });
            }
        }
    }

    /// Forgets the entry that this try holds. One whose try ran outlives every wish: it is what keeps the effect
    /// single.
    pub fn forget(&mut self, key: &Key, id: u32) {
        if self.entries.get(key).is_some_and(|kept| kept.holder == id && kept.ran.is_none()) {
            self.entries.remove(key);
        }
    }

    /// Lets a repeat wait for the try it names, if that is under way, or tells how it ended.
    pub fn join(&mut self, key: Option<&Key>, id: u32, under_way: bool) -> Joined {
        match key.and_then(|key| self.entries.get_mut(key)) {
            Some(kept) if matches!(kept.result, TryResult::Pending) && under_way => {
                kept.waiters.push(id);
                Joined::Waits
            }
            Some(kept) => Joined::Over(kept.result.clone()),
            None => Joined::Over(TryResult::Failed),
        }
    }

    /// The repeats that wait for this try, which is over. Nothing is taken from an entry that another try has.
    pub fn waiters(&mut self, key: &Key, id: u32) -> Option<Vec<u32>> {
        let kept = self.entries.get_mut(key)?;
        if kept.ran.is_some_and(|(ran, _)| ran != id) || (kept.ran.is_none() && kept.holder != id) {
            return None;
        }
        Some(std::mem::take(&mut kept.waiters))
    }

    /// Keeps the result of a try that is over; `never_ran` if that is proved: the next try is a first one then.
    /// Tells whether the result was dropped for want of room: its entry stays, so that no repeat runs.
    pub fn keep(&mut self, key: &Key, result: TryResult, never_ran: bool) -> bool {
        let Some(kept) = self.entries.get_mut(key) else { return false };
        if never_ran {
            self.entries.remove(key);
            return false;
        }
        kept.result = result;
        let TryResult::Done(bytes) = &kept.result else { return false };
        if (self.results + bytes.len()) as f64 > self.results_most {
            kept.result = TryResult::Failed;
            return true;
        }
        self.results += bytes.len();
        false
    }

    /// A request with this key is over and no longer waits; `held` if it never left the hold: a try that ends so
    /// leaves nothing to repeat.
    pub fn left(&mut self, key: &Key, id: u32, held: bool) {
        if let Some(kept) = self.entries.get_mut(key) {
            kept.waiters.retain(|waiter| *waiter != id);
            if kept.ran.is_none() && kept.holder == id && held {
                self.entries.remove(key);
            }
        }
    }

    /// Drops what no try that comes in time can name any more.
    pub fn sweep(&mut self, now: f64) {
        let mut freed = 0;
        self.entries.retain(|_, kept| {
            let until = kept.ran.map_or(kept.until, |(_, until)| until.max(kept.until));
            let live = until + AFTERLIFE_MS > now;
            if let (false, TryResult::Done(bytes)) = (live, &kept.result) {
                freed += bytes.len();
            }
            live
        });
        self.results -= freed;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key() -> Key {
        (0, "k".into())
    }

    fn start(id: u32, t0: f64) -> Start {
        Start { id, digest: 7, t0, until: t0 + 100.0 }
    }

    #[test]
    fn a_key_that_ran_is_not_started_again_in_its_window_whatever_is_forgotten() {
        let mut keys = Keys::new(1000.0);
        keys.remember(key(), 1, 7, 100.0);
        assert_eq!(keys.start(&key(), start(1, 0.0)), Ok(()));
        keys.forget(&key(), 1);
        keys.left(&key(), 1, false);
        assert_eq!(keys.start(&key(), start(2, 99.0)), Err(AlreadyRan));
        assert_eq!(
            keys.start(&key(), start(2, 100.0)),
            Ok(()),
            "the window counts from t0 of the try that ran"
        );
    }

    #[test]
    fn results_are_bounded_and_their_entries_stay() {
        let mut keys = Keys::new(10.0);
        for (n, dropped) in [(1, false), (2, true)] {
            let key = (0, n.to_string());
            assert_eq!(keys.start(&key, start(n, 0.0)), Ok(()));
            assert_eq!(keys.keep(&key, TryResult::Done(vec![0; 6].as_slice().into()), false), dropped);
            assert_eq!(keys.start(&key, start(9, 50.0)), Err(AlreadyRan));
        }
        assert_eq!(keys.size(), (2, 6));
        keys.sweep(100.0 + AFTERLIFE_MS);
        assert_eq!(keys.size(), (0, 0));
    }
}
