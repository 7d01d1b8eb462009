//! Discovery of members that do not know each other: through the seeds, and by pinging lost members again.

use super::dissemination::Recipient;
use super::{Action, Membership};

/// Seeds pinged per period while no other member is up.
const SEEDS_PER_PERIOD: usize = 3;
/// Average number of periods between pings of a seed while other members are up.
const SEED_INTERVAL: usize = 10;
/// Average number of periods between pings of a lost member, if at most half as many members are lost as are
/// up.
const LOST_INTERVAL: usize = 2;

impl Membership {
    pub(super) fn discover(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.ping_seeds(now, actions);
        self.ping_lost_member(now, actions);
    }

    /// Pings seeds while no other member is up, and otherwise now and then a seed at whose address no member
    /// is known. This joins fleets that were never connected, or were partitioned for longer than lost
    /// members are retained.
    fn ping_seeds(&mut self, now: f64, actions: &mut Vec<Action>) {
        let is_alone = self.table.up_count() == 0;
        let count =
            if is_alone { SEEDS_PER_PERIOD } else { usize::from(self.random_index(SEED_INTERVAL) == 0) };
        let first = self.random_index(self.seeds.len());
        for offset in 0..count.min(self.seeds.len()) {
            let seed = self.seeds[(first + offset) % self.seeds.len()];
            let is_known = self.table.members_at(seed).any(|key| self.table.up().contains(&key));
            if seed != self.local.record.identity.address && !is_known {
                self.ping(now, Recipient::unknown(seed), actions);
            }
        }
    }

    /// Pings a lost member and sends it the record about itself, so that it can refute it. This reconnects
    /// the sides of a partition after it has healed.
    fn ping_lost_member(&mut self, now: f64, actions: &mut Vec<Action>) {
        let lost = self.table.lost().len();
        if lost == 0 {
            return;
        }
        // All members that are up share the work. If they are few, each pings a lost member every period.
        let few_are_up = self.table.up_count() < 2 * lost;
        if !few_are_up && self.random_index(LOST_INTERVAL) != 0 {
            return;
        }
        let position = self.random_index(lost);
        let Some(key) = self.table.lost().iter().nth(position) else { return };
        let Some(identity) = self.table.identity(*key).cloned() else { return };
        self.ping(now, Recipient::member(&identity), actions);
    }
}
