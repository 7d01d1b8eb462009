//! The table of members: who is known, which saying about each is the latest, and the digests of all that. It owns the
//! bound on members and the horizon of starts; it must never do I/O, read a clock or decide whom to ask.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::member::{Identity, Load, Phase, Record, Standing};
use crate::wire::BUCKETS;

/// A start further ahead of the clock than this is forged or of a broken clock, ms.
pub const START_AHEAD_MS: f64 = 86_400_000.0;

/// A member as it is known here.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest saying.
    pub record: Record,
    /// When its standing or phase changed here, ms.
    pub since_ms: f64,
    /// When a message came from itself, ms; minus infinity if none did.
    pub heard_ms: f64,
    /// Its load as it told it itself then.
    pub load: Load,
    /// Direct questions of ours in a row that it did not answer.
    pub unanswered: u32,
    /// Its system said that nobody listens there.
    pub refused: bool,
    /// Where it stood in its life before this one, if that was known: a new start came after a loss.
    pub returned: Returned,
}

/// How a member came back after it was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Returned {
    /// It was not lost.
    #[default]
    Never,
    /// It was there all the while: the same start.
    SameStart,
    /// It was started anew.
    NewStart,
}

/// What became of a saying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is news.
    News,
    /// It is what is known.
    Known,
    /// It is older than what is known.
    Old,
    /// Its start lies in the future.
    Forged,
    /// There is no room for another member.
    Full,
}

/// The table, without this member itself.
#[derive(Clone, Debug)]
pub struct Table {
    members: BTreeMap<u64, Member>,
    most: usize,
    buckets: [u64; BUCKETS],
    /// Of all buckets.
    digest: u64,
    /// Kept as sayings come, so that a fleet in which nothing happens costs nothing that grows with it.
    up: usize,
    lost: BTreeSet<u64>,
}

/// The bucket of a key.
pub fn bucket(key: u64) -> usize {
    (key >> 57) as usize
}

impl Table {
    /// An empty table for at most so many members.
    pub fn new(most: usize) -> Self {
        Table {
            members: BTreeMap::new(),
            most,
            buckets: [0; BUCKETS],
            digest: 0,
            up: 0,
            lost: BTreeSet::new(),
        }
    }

    /// The member of this key.
    pub fn get(&self, key: u64) -> Option<&Member> {
        self.members.get(&key)
    }

    /// The same; its record is changed by [`Table::take`] only.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut Member> {
        self.members.get_mut(&key)
    }

    /// All of them, by key.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// All in one bucket.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (u64, &Member)> {
        let first = (bucket as u64) << 57;
        self.members.range(first..=first | (u64::MAX >> 7)).map(|(key, member)| (*key, member))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// How many are there, as far as is believed.
    pub fn up(&self) -> usize {
        self.up
    }

    /// Those that are lost and did not leave.
    pub fn lost(&self) -> &BTreeSet<u64> {
        &self.lost
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Digests of the buckets with this member's own saying about itself in them.
    pub fn digests(&self, own: &Record) -> [u64; BUCKETS] {
        let mut buckets = self.buckets;
        buckets[bucket(own.identity.key())] ^= own.hash();
        buckets
    }

    /// Digest of all, with this member's own saying about itself in it.
    pub fn digest(&self, own: &Record) -> u64 {
        self.digest ^ own.hash()
    }

    /// Keeps the digests where the saying about a member changes by this.
    fn mix(&mut self, key: u64, change: u64) {
        self.buckets[bucket(key)] ^= change;
        self.digest ^= change;
    }

    /// Takes a saying, if it is later than what is known.
    pub fn take(&mut self, now: f64, horizon_ms: f64, record: &Record) -> Taken {
        if record.start as f64 > horizon_ms + START_AHEAD_MS {
            return Taken::Forged;
        }
        let key = record.identity.key();
        if let Some(member) = self.members.get_mut(&key) {
            if record.rank() <= member.record.rank() {
                return if record.rank() == member.record.rank() { Taken::Known } else { Taken::Old };
            }
            let was = &member.record;
            let new_life = was.life() != record.life();
            if was.standing == Standing::Lost && record.is_up() {
                member.returned = if new_life { Returned::NewStart } else { Returned::SameStart };
            }
            if new_life {
                (member.heard_ms, member.load, member.refused) = (f64::NEG_INFINITY, Load::default(), false);
            }
            if new_life || was.standing != record.standing || was.phase != record.phase {
                (member.since_ms, member.unanswered) = (now, 0);
            }
            let change = was.hash() ^ record.hash();
            let identity =
                if was.identity == record.identity { was.identity.clone() } else { record.identity.clone() };
            let was_up = member.record.is_up();
            member.record = Record { identity, ..record.clone() };
            self.mix(key, change);
            self.count(key, was_up, Some(record));
            return Taken::News;
        }
        if self.members.len() >= self.most && !self.make_room() {
            return Taken::Full;
        }
        self.mix(key, record.hash());
        let member = Member {
            record: record.clone(),
            since_ms: now,
            heard_ms: f64::NEG_INFINITY,
            load: Load::default(),
            unanswered: 0,
            refused: false,
            returned: Returned::Never,
        };
        self.members.insert(key, member);
        self.count(key, false, Some(record));
        Taken::News
    }

    /// Keeps the counts, where one that was up or not is now what this says, or forgotten.
    fn count(&mut self, key: u64, was_up: bool, now: Option<&Record>) {
        self.up -= usize::from(was_up);
        self.up += usize::from(now.is_some_and(Record::is_up));
        if now.is_some_and(|record| record.standing == Standing::Lost && record.phase != Phase::Left) {
            self.lost.insert(key);
        } else {
            self.lost.remove(&key);
        }
    }

    /// Gives up the member that is gone for longest; tells whether there was one.
    fn make_room(&mut self) -> bool {
        let gone = self.members.iter().filter(|(_, member)| !member.record.is_up());
        let oldest = gone.min_by(|a, b| a.1.since_ms.total_cmp(&b.1.since_ms)).map(|(key, _)| *key);
        oldest.is_some_and(|key| self.remove(key))
    }

    fn remove(&mut self, key: u64) -> bool {
        let Some(member) = self.members.remove(&key) else { return false };
        self.mix(key, member.record.hash());
        self.count(key, member.record.is_up(), None);
        true
    }

    /// Forgets who left or was lost before these times, ms.
    pub fn forget(&mut self, left_before: f64, lost_before: f64) -> usize {
        if self.up == self.members.len() {
            return 0;
        }
        let over = |member: &Member| match (member.record.phase, member.record.standing) {
            (Phase::Left, _) => member.since_ms < left_before,
            (_, Standing::Lost) => member.since_ms < lost_before,
            _ => false,
        };
        let keys: Vec<u64> =
            self.members.iter().filter(|(_, member)| over(member)).map(|(key, _)| *key).collect();
        keys.iter().filter(|key| self.remove(**key)).count()
    }

    /// Who listens at this address.
    pub fn at(&self, address: std::net::SocketAddr) -> Option<u64> {
        self.iter().find(|(_, member)| member.record.identity.address == address).map(|(key, _)| key)
    }

    /// Who a member is.
    pub fn identity(&self, key: u64) -> Option<&Rc<Identity>> {
        self.members.get(&key).map(|member| &member.record.identity)
    }
}
