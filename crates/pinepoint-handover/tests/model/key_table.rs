//! The least that a server does with its keys: attempts wait for a run or a claim, and each is answered once.

use pinepoint_handover::message::{Claim, Key, KeyRecord, KeyState};
use pinepoint_handover::ownership::UnknownKey;
use pinepoint_handover::predecessor;

use crate::world::{Attempt, NEW, OLD, WINDOW_MS, World};

#[derive(Clone, Debug)]
pub struct Entry {
    pub is_own: bool,
    pub state: KeyState,
    pub until_ms: f64,
    /// The try that runs, where it is this process's, and all that wait, it included.
    pub runner: usize,
    pub waiting: Vec<usize>,
}

pub fn key() -> Key {
    Key { class: "c".into(), token: "k".into() }
}

pub fn record(state: KeyState, until_ms: f64) -> KeyRecord {
    KeyRecord { key: key(), digest: 1, until_ms, state }
}

impl World {
    /// Whether a try that comes now is another request than the one that the key stood for.
    fn is_over(&self, entry: &Entry) -> bool {
        !entry.state.is_open() && self.now_ms >= entry.until_ms
    }

    pub fn knows_key(&self, side: usize) -> bool {
        self.processes[side].entry.as_ref().is_some_and(|entry| !self.is_over(entry))
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
        } else if side == OLD {
            self.claim(number);
        } else {
            match self.new.unknown_key(self.now_ms) {
                UnknownKey::Run => self.admit(NEW, vec![number]),
                UnknownKey::Claim | UnknownKey::Fail => self.answer(number),
            }
        }
    }

    fn claim(&mut self, number: usize) {
        self.spent.claims += 1;
        let id = self.spent.claims;
        self.processes[OLD].claim = Some((id, vec![number]));
        let claim = Claim { id, key: key(), digest: 1, until_ms: self.now_ms + WINDOW_MS };
        self.notify_old(predecessor::Event::ClaimWanted(claim));
    }

    pub fn claim_decided(&mut self, id: u64, granted: bool) {
        let Some((_, attempts)) = self.processes[OLD].claim.take_if(|(of, _)| *of == id) else { return };
        if granted {
            self.admit(OLD, attempts);
        } else {
            attempts.into_iter().for_each(|number| self.answer(number));
        }
    }

    fn admit(&mut self, side: usize, attempts: Vec<usize>) {
        let until_ms = self.attempts[attempts[0]].arrival_ms + WINDOW_MS;
        let runner = attempts[0];
        self.processes[side].entry =
            Some(Entry { is_own: true, state: KeyState::Held, until_ms, runner, waiting: attempts });
        self.key_changed(side, KeyState::Held, until_ms);
    }

    fn key_changed(&mut self, side: usize, state: KeyState, until_ms: f64) {
        if side == OLD {
            self.notify_old(predecessor::Event::KeyChanged(record(state, until_ms)));
        }
    }

    pub fn start(&mut self, side: usize) {
        if let Some(entry) = &self.processes[side].entry {
            let arrival_ms = self.attempts[entry.runner].arrival_ms;
            if self.has_effect(arrival_ms) {
                self.wrong = Some(format!("a second effect, at process {side}"));
            }
            self.effects.push(arrival_ms);
        }
        self.set_own(side, KeyState::Ran);
    }

    pub fn set_own(&mut self, side: usize, state: KeyState) {
        let Some(entry) = self.processes[side].entry.as_ref() else { return };
        let until_ms = entry.until_ms;
        self.enter(side, state.clone());
        self.key_changed(side, state, until_ms);
    }

    /// The state of a key that is known; who waits is answered when it is over.
    fn enter(&mut self, side: usize, state: KeyState) {
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

    /// Whether a try that arrived then is of the same window as one that had an effect.
    fn has_effect(&self, arrival_ms: f64) -> bool {
        self.effects.iter().any(|effect| (arrival_ms - effect).abs() < WINDOW_MS)
    }

    fn check_never_ran(&mut self, refused: &[usize]) {
        for number in refused {
            let arrival_ms = self.attempts[*number].arrival_ms;
            if self.has_effect(arrival_ms) {
                self.wrong = Some(format!("try {number} is told that its key never ran"));
            }
        }
    }

    pub fn import(&mut self, record: KeyRecord) {
        let entry = &mut self.processes[NEW].entry;
        if entry.as_ref().is_some_and(|entry| entry.is_own) {
            return;
        }
        let waiting = entry.take().map(|entry| entry.waiting).unwrap_or_default();
        let (until_ms, state) = (record.until_ms, KeyState::Held);
        *entry = Some(Entry { is_own: false, state, until_ms, runner: 0, waiting });
        self.enter(NEW, record.state);
    }

    pub fn fail_peer_keys(&mut self) {
        let is_open =
            self.processes[NEW].entry.as_ref().is_some_and(|entry| !entry.is_own && entry.state.is_open());
        if is_open {
            self.enter(NEW, KeyState::Failed);
        }
    }

    pub fn decide(&mut self, claim: &Claim) -> bool {
        let granted = !self.knows_key(NEW) && self.new.unknown_key(self.now_ms) == UnknownKey::Run;
        if granted {
            self.processes[NEW].entry = None;
            self.import(record(KeyState::Held, claim.until_ms));
        }
        granted
    }

    fn answer(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        if attempt.is_answered {
            self.wrong = Some(format!("a second answer to try {number}"));
        }
        attempt.is_answered = true;
    }
}
