//! A minimal table of idempotency keys: attempts wait for a run or a claim, and each attempt is answered
//! once.

use pinepoint_handover::message::{Claim, Key, KeyRecord, KeyState};
use pinepoint_handover::ownership::UnknownKey;
use pinepoint_handover::predecessor;

use crate::world::{Attempt, PREDECESSOR, SUCCESSOR, WINDOW_MS, World};

#[derive(Clone, Debug)]
pub struct Entry {
    pub is_own: bool,
    pub state: KeyState,
    pub until_ms: f64,
    /// The attempt that is run, if this process owns the entry.
    pub running_attempt: usize,
    /// All attempts that wait for the result, the running one included.
    pub waiting: Vec<usize>,
}

pub fn key() -> Key {
    Key { class: "c".into(), token: "k".into() }
}

pub fn record(state: KeyState, until_ms: f64) -> KeyRecord {
    KeyRecord { key: key(), digest: 1, until_ms, state }
}

impl World {
    /// Whether the request of `entry` has ended and its window is over, so that an attempt that arrives now
    /// is a new request.
    fn is_window_over(&self, entry: &Entry) -> bool {
        !entry.state.is_open() && self.now_ms >= entry.until_ms
    }

    pub fn knows_key(&self, side: usize) -> bool {
        self.processes[side].entry.as_ref().is_some_and(|entry| !self.is_window_over(entry))
    }

    pub fn attempt_at(&mut self, side: usize) {
        let number = self.attempts.len();
        self.attempts.push(Attempt { at: side, arrival_ms: self.now_ms, is_answered: false });
        if self.knows_key(side) {
            let Some(entry) = self.processes[side].entry.as_mut() else { return };
            if entry.state.is_open() {
                entry.waiting.push(number);
            } else {
                self.answer(number);
            }
        } else if let Some((_, waiting)) = self.processes[side].claim.as_mut() {
            waiting.push(number);
        } else if side == PREDECESSOR {
            self.claim(number);
        } else {
            match self.successor.unknown_key(self.now_ms) {
                UnknownKey::Run => self.admit(SUCCESSOR, vec![number]),
                UnknownKey::Claim | UnknownKey::Fail => self.answer(number),
            }
        }
    }

    fn claim(&mut self, number: usize) {
        self.occurred.claims += 1;
        let id = self.occurred.claims;
        self.processes[PREDECESSOR].claim = Some((id, vec![number]));
        let claim = Claim { id, key: key(), digest: 1, until_ms: self.now_ms + WINDOW_MS };
        self.notify_predecessor(predecessor::Event::ClaimWanted(claim));
    }

    pub fn claim_decided(&mut self, id: u64, granted: bool) {
        let Some((_, waiting)) = self.processes[PREDECESSOR].claim.take_if(|(c, _)| *c == id) else { return };
        if granted {
            self.admit(PREDECESSOR, waiting);
        } else {
            waiting.into_iter().for_each(|number| self.answer(number));
        }
    }

    fn admit(&mut self, side: usize, attempts: Vec<usize>) {
        let until_ms = self.attempts[attempts[0]].arrival_ms + WINDOW_MS;
        let running_attempt = attempts[0];
        self.processes[side].entry =
            Some(Entry { is_own: true, state: KeyState::Held, until_ms, running_attempt, waiting: attempts });
        self.notify_key_changed(side, KeyState::Held, until_ms);
    }

    fn notify_key_changed(&mut self, side: usize, state: KeyState, until_ms: f64) {
        if side == PREDECESSOR {
            self.notify_predecessor(predecessor::Event::KeyChanged(record(state, until_ms)));
        }
    }

    pub fn start_run(&mut self, side: usize) {
        if let Some(entry) = &self.processes[side].entry {
            let arrival_ms = self.attempts[entry.running_attempt].arrival_ms;
            if self.has_effect(arrival_ms) {
                self.violation = Some(format!("a second effect, at process {side}"));
            }
            self.effects.push(arrival_ms);
        }
        self.set_own_state(side, KeyState::Ran);
    }

    pub fn set_own_state(&mut self, side: usize, state: KeyState) {
        let Some(entry) = self.processes[side].entry.as_ref() else { return };
        let until_ms = entry.until_ms;
        self.set_state(side, state.clone());
        self.notify_key_changed(side, state, until_ms);
    }

    /// Sets the state of a known key, and answers the waiting attempts if that state is final.
    fn set_state(&mut self, side: usize, state: KeyState) {
        let Some(entry) = self.processes[side].entry.as_mut() else { return };
        entry.state = state.clone();
        if state.is_open() {
            return;
        }
        let waiting = std::mem::take(&mut entry.waiting);
        if state == KeyState::Released {
            self.processes[side].entry = None;
            self.check_never_ran(&waiting);
        }
        waiting.into_iter().for_each(|number| self.answer(number));
    }

    /// Whether an attempt that arrived at `arrival_ms` shares a window with an attempt that had an effect.
    fn has_effect(&self, arrival_ms: f64) -> bool {
        self.effects.iter().any(|effect| (arrival_ms - effect).abs() < WINDOW_MS)
    }

    fn check_never_ran(&mut self, rejected: &[usize]) {
        for number in rejected {
            let arrival_ms = self.attempts[*number].arrival_ms;
            if self.has_effect(arrival_ms) {
                self.violation = Some(format!("attempt {number} was answered that its key never ran"));
            }
        }
    }

    pub fn import(&mut self, record: KeyRecord) {
        let entry = &mut self.processes[SUCCESSOR].entry;
        if entry.as_ref().is_some_and(|entry| entry.is_own) {
            return;
        }
        let waiting = entry.take().map(|entry| entry.waiting).unwrap_or_default();
        let (until_ms, state) = (record.until_ms, KeyState::Held);
        *entry = Some(Entry { is_own: false, state, until_ms, running_attempt: 0, waiting });
        self.set_state(SUCCESSOR, record.state);
    }

    pub fn fail_peer_keys(&mut self) {
        let is_open = self.processes[SUCCESSOR]
            .entry
            .as_ref()
            .is_some_and(|entry| !entry.is_own && entry.state.is_open());
        if is_open {
            self.set_state(SUCCESSOR, KeyState::Failed);
        }
    }

    pub fn decide_claim(&mut self, claim: &Claim) -> bool {
        let granted =
            !self.knows_key(SUCCESSOR) && self.successor.unknown_key(self.now_ms) == UnknownKey::Run;
        if granted {
            self.processes[SUCCESSOR].entry = None;
            self.import(record(KeyState::Held, claim.until_ms));
        }
        granted
    }

    fn answer(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        if attempt.is_answered {
            self.violation = Some(format!("a second answer to attempt {number}"));
        }
        attempt.is_answered = true;
    }
}
