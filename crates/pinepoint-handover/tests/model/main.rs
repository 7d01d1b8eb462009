//! Exhaustive model check of the handover. It explores every sequence of steps of two processes with one key:
//! attempts at either process, one crash at any step, one cut of the link, SIGTERM at any step, and passing
//! time.
//!
//! Invariants: the key has at most one effect within its window; each attempt that a living process has read
//! is answered once; and a process accepts connections whenever any process can. The search runs the state
//! machines of the program; the key tables around them are a minimal core. The search has to find each of two
//! injected faults. `HANDOVER_TRIES` sets the number of attempts.

mod key_table;
mod world;

use std::collections::HashSet;

use pinepoint_handover::ownership::{Fault, Rules};
use world::{EXIT_MS, Step, WINDOW_MS, World};

/// Number of attempts unless `HANDOVER_TRIES` sets another one.
const DEFAULT_ATTEMPTS: usize = 2;

struct Search {
    visited: HashSet<u64>,
    violation: Option<(Vec<Step>, String)>,
    max_attempts: usize,
}

impl Search {
    fn explore(&mut self, world: &World, path: &mut Vec<Step>) {
        for step in world.possible_steps(self.max_attempts) {
            let mut next = world.clone();
            next.apply(step);
            next.check_invariants();
            path.push(step);
            if let Some(violation) = next.violation.take() {
                self.violation = Some((path.clone(), violation));
            }
            if self.violation.is_none() && self.visited.insert(next.fingerprint()) {
                self.explore(&next, path);
            }
            path.pop();
            if self.violation.is_some() {
                return;
            }
        }
    }
}

fn search(fault: Option<Fault>, max_attempts: usize) -> Search {
    let rules =
        Rules { longest_window_ms: WINDOW_MS, peer_exit_ms: EXIT_MS, attempts: 2, fault, ..Rules::default() };
    let mut search = Search { visited: HashSet::new(), violation: None, max_attempts };
    search.explore(&World::new(&rules), &mut Vec::new());
    search
}

fn max_attempts() -> usize {
    std::env::var("HANDOVER_TRIES").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_ATTEMPTS)
}

#[test]
fn every_sequence_keeps_the_invariants() {
    let search = search(None, max_attempts());
    println!("{} states visited", search.visited.len());
    assert!(search.violation.is_none(), "after {} states: {:#?}", search.visited.len(), search.violation);
}

#[test]
fn search_finds_injected_faults() {
    for (fault, expected) in
        [(Fault::RunUnclaimed, "a second effect"), (Fault::StopAtHello, "no process accepts connections")]
    {
        let search = search(Some(fault), max_attempts());
        println!("{fault:?} after {} states: {:?}", search.visited.len(), search.violation);
        let violation = search.violation.map(|(_, violation)| violation).unwrap_or_default();
        assert!(violation.contains(expected), "{fault:?} in {} states: {violation}", search.visited.len());
    }
}
