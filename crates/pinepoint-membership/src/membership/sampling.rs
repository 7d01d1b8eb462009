//! Random choices of a member. The same seed gives the same choices.

use std::rc::Rc;

use rand_core::Rng;

use super::Membership;
use crate::member::Identity;

/// Resolution of a random event of a given probability.
const PROBABILITY_STEPS: usize = 1 << 20;

impl Membership {
    /// A random number below `n`; 0 if `n` is 0.
    pub(super) fn random_index(&mut self, n: usize) -> usize {
        (self.random.next_u64() % n.max(1) as u64) as usize
    }

    /// Whether a random event of this probability happens.
    pub(super) fn random_event(&mut self, probability: f64) -> bool {
        (self.random_index(PROBABILITY_STEPS) as f64) < probability * PROBABILITY_STEPS as f64
    }

    /// Up to `count` different members that are up, without the excluded one. The expected number of draws
    /// does not grow with the size of the fleet.
    pub(super) fn random_members(&mut self, count: usize, excluded: Option<u64>) -> Vec<Rc<Identity>> {
        let up = self.table.up_count();
        let is_excluded = |key: u64| excluded == Some(key);
        let excluded_up = excluded.is_some_and(|key| self.table.up().contains(&key));
        let candidates = up - usize::from(excluded_up);
        let mut keys: Vec<u64> = Vec::new();
        if candidates <= 4 * count {
            keys.extend(self.table.up().iter().filter(|key| !is_excluded(**key)));
            while keys.len() > count {
                let position = self.random_index(keys.len());
                keys.swap_remove(position);
            }
        }
        while keys.len() < count.min(candidates) {
            let position = self.random_index(up);
            let key = self.table.up()[position];
            if !is_excluded(key) && !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys.into_iter().filter_map(|key| self.table.identity(key).cloned()).collect()
    }
}
