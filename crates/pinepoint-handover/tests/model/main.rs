//! Every course of two processes, one key, tries at either, one crash at any step, one cut of the link, SIGTERM at any step, and
//! time that passes: at most one effect of the key in its window, one answer for each try that a living process has read, and
//! somebody accepts whenever somebody can. The program's own machines are run; the key tables around them are the least that a
//! core has to do. Two faults that are built in have to be found. `HANDOVER_TRIES` sets the number of tries.

mod key_table;
mod world;

use std::collections::HashSet;

use pinepoint_handover::ownership::{Fault, Rules};
use world::{Choice, EXIT_MS, WINDOW_MS, World};

/// Tries, where `HANDOVER_TRIES` says nothing else.
const ATTEMPTS: usize = 2;

struct Search {
    seen: HashSet<u64>,
    wrong: Option<(Vec<Choice>, String)>,
    attempts: usize,
}

impl Search {
    fn go(&mut self, world: &World, path: &mut Vec<Choice>) {
        for choice in world.choices(self.attempts) {
            let mut next = world.clone();
            next.step(choice);
            next.check();
            path.push(choice);
            if let Some(wrong) = next.wrong.take() {
                self.wrong = Some((path.clone(), wrong));
            }
            if self.wrong.is_none() && self.seen.insert(next.fingerprint()) {
                self.go(&next, path);
            }
            path.pop();
            if self.wrong.is_some() {
                return;
            }
        }
    }
}

fn search(fault: Option<Fault>, attempts: usize) -> Search {
    let rules =
        Rules { longest_window_ms: WINDOW_MS, peer_exit_ms: EXIT_MS, attempts: 2, fault, ..Rules::default() };
    let mut search = Search { seen: HashSet::new(), wrong: None, attempts };
    search.go(&World::new(&rules), &mut Vec::new());
    search
}

fn attempts() -> usize {
    std::env::var("HANDOVER_TRIES").ok().and_then(|text| text.parse().ok()).unwrap_or(ATTEMPTS)
}

#[test]
fn no_course_runs_a_key_twice_leaves_a_try_unanswered_or_leaves_nobody_accepting() {
    let search = search(None, attempts());
    println!("{} states", search.seen.len());
    assert!(search.wrong.is_none(), "after {} states: {:#?}", search.seen.len(), search.wrong);
}

#[test]
fn runs_without_a_claim_and_a_stop_at_hello_are_found() {
    for (fault, expected) in
        [(Fault::RunUnclaimed, "a second effect"), (Fault::StopAtHello, "nobody accepts")]
    {
        let search = search(Some(fault), attempts());
        println!("{fault:?} after {} states: {:?}", search.seen.len(), search.wrong);
        let wrong = search.wrong.map(|(_, wrong)| wrong).unwrap_or_default();
        assert!(wrong.contains(expected), "{fault:?} in {} states: {wrong}", search.seen.len());
    }
}
