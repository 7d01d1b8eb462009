//! Each hard case of a handover by its name: who is killed or told to go at which step, which key is tried where, and what the two
//! machines do about it. Both are run against each other; messages are handed over one by one.

use pinepoint_handover::message::{Claim, Hello, Key, KeyRecord, KeyState, MAX_RESULT_BYTES, Message};
use pinepoint_handover::ownership::{Denial, DropReason, NoPredecessor, Rules, UnknownKey};
use pinepoint_handover::predecessor::{self, Action as Old, Predecessor};
use pinepoint_handover::successor::{self, Action as New, Successor};

const NOW: f64 = 1e12;

fn rules() -> Rules {
    Rules { longest_window_ms: 60_000.0, ..Rules::default() }
}

fn key(token: &str) -> Key {
    Key { class: "pay".into(), token: token.into() }
}

fn record(token: &str, state: KeyState) -> KeyRecord {
    KeyRecord { key: key(token), digest: 9, until_ms: NOW + 60_000.0, state }
}

fn claim(id: u64, token: &str) -> Claim {
    Claim { id, key: key(token), digest: 9, until_ms: NOW + 60_000.0 }
}

/// Both machines, what is under way between them, and what else they said.
struct Pair {
    now: f64,
    old: Predecessor,
    new: Successor,
    to_old: Vec<Message>,
    to_new: Vec<Message>,
    old_said: Vec<Old>,
    new_said: Vec<New>,
}

impl Pair {
    fn start() -> Pair {
        Pair {
            now: NOW,
            old: Predecessor::new(rules(), vec!["rpc".into()], [1; 16]),
            new: Successor::new(rules()),
            to_old: Vec::new(),
            to_new: Vec::new(),
            old_said: Vec::new(),
            new_said: Vec::new(),
        }
    }

    /// Up to the end of the snapshot of these keys.
    fn imported(records: &[KeyRecord]) -> Pair {
        let mut pair = Pair::start();
        pair.tell_old(predecessor::Event::PeerConnected);
        pair.tell_old(predecessor::Event::Snapshot(records.to_vec()));
        pair.deliver();
        pair
    }

    /// Up to the beginning of the new one's service.
    fn taken_over(records: &[KeyRecord]) -> Pair {
        let mut pair = Pair::imported(records);
        pair.tell_new(successor::Event::EngineUp);
        pair.deliver();
        pair.old_said.clear();
        pair.new_said.clear();
        pair
    }

    fn tell_old(&mut self, event: predecessor::Event) {
        let mut actions = Vec::new();
        self.old.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Old::Send(message) => self.to_new.push(message),
                other => self.old_said.push(other),
            }
        }
    }

    fn tell_new(&mut self, event: successor::Event) {
        let mut actions = Vec::new();
        self.new.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                New::Send(message) => self.to_old.push(message),
                other => self.new_said.push(other),
            }
        }
    }

    fn deliver_to_new(&mut self) {
        for message in std::mem::take(&mut self.to_new) {
            match message {
                Message::Hello(hello) => self.tell_new(successor::Event::PeerConnected(hello)),
                message => self.tell_new(successor::Event::Message(message)),
            }
        }
    }

    fn deliver_to_old(&mut self) {
        for message in std::mem::take(&mut self.to_old) {
            self.tell_old(predecessor::Event::Message(message));
        }
    }

    fn deliver(&mut self) {
        while !self.to_new.is_empty() || !self.to_old.is_empty() {
            self.deliver_to_new();
            self.deliver_to_old();
        }
    }

    fn lose_old(&mut self) {
        self.to_new.clear();
        self.tell_new(successor::Event::PeerLost);
    }

    fn lose_new(&mut self) {
        self.to_old.clear();
        self.tell_old(predecessor::Event::PeerLost);
    }

    fn unknown_until_new(&self) -> Option<f64> {
        self.new_said.iter().find_map(|action| match action {
            New::KeysUnknownUntil(until_ms) => Some(*until_ms),
            _ => None,
        })
    }
}

fn unknown_for(rules: &Rules) -> f64 {
    NOW + rules.longest_window_ms + rules.peer_exit_ms
}

// ---- the ordinary course ----

#[test]
fn keys_come_whole_and_the_old_stops_accepting_before_the_new_begins() {
    let records = [record("a", KeyState::Held), record("b", KeyState::Done(vec![1, 2]))];
    let mut pair = Pair::imported(&records);
    for record in records {
        assert!(pair.new_said.contains(&New::Import(record)));
    }
    assert!(!pair.new.is_serving() && !pair.old_said.contains(&Old::StopAccepting));
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver_to_old();
    assert!(pair.old_said.contains(&Old::StopAccepting) && !pair.new.is_serving());
    pair.deliver_to_new();
    assert_eq!(pair.new_said.last(), Some(&New::BeginServing));
    pair.tell_old(predecessor::Event::Terminate);
    assert_eq!(pair.old_said.last(), Some(&Old::Leave { handed_over: true }));
    pair.lose_old();
    assert_eq!((pair.new.phase(), pair.unknown_until_new()), (successor::Phase::Alone, None));
    assert!(pair.new_said.contains(&New::FailPeerKeys));
}

#[test]
fn the_first_process_serves_alone_and_knows_all_keys() {
    for why in [NoPredecessor::NoSocket, NoPredecessor::Refused, NoPredecessor::BadPath] {
        let mut pair = Pair::start();
        pair.tell_new(successor::Event::NoPredecessor(why));
        assert!(!pair.new.is_serving());
        pair.tell_new(successor::Event::EngineUp);
        assert_eq!(pair.new_said, [New::BeginServing], "{why}");
        assert_eq!(pair.new.unknown_key(NOW), UnknownKey::Run);
    }
}

#[test]
fn two_upgrades_in_a_row_hand_the_keys_and_what_is_unknown_on() {
    let mut first = Pair::taken_over(&[record("a", KeyState::Done(vec![1]))]);
    first.lose_old();
    let mut second = Pair::start();
    second.tell_old(predecessor::Event::KeysUnknownUntil(NOW + 5.0));
    second.tell_old(predecessor::Event::PeerConnected);
    second.tell_old(predecessor::Event::Snapshot(vec![record("a", KeyState::Done(vec![1]))]));
    second.tell_new(successor::Event::EngineUp);
    second.deliver();
    assert!(second.new_said.contains(&New::Import(record("a", KeyState::Done(vec![1])))));
    assert_eq!(second.unknown_until_new(), Some(NOW + 5.0));
    assert_eq!(second.new.unknown_key(NOW), UnknownKey::Fail);
    assert_eq!(second.new.unknown_key(NOW + 5.0), UnknownKey::Run);
    assert!(second.new.is_serving());
}

// ---- keys ----

#[test]
fn a_try_first_at_the_old_and_repeated_at_the_new_gets_the_result_that_comes_after_the_take_over() {
    let mut pair = Pair::taken_over(&[record("a", KeyState::Held)]);
    for state in [KeyState::Ran, KeyState::Done(vec![4])] {
        pair.tell_old(predecessor::Event::KeyChanged(record("a", state.clone())));
        pair.deliver();
        assert_eq!(pair.new_said.pop(), Some(New::Import(record("a", state))));
    }
}

#[test]
fn a_try_first_at_the_new_and_repeated_at_the_old_is_claimed_and_denied() {
    let mut pair = Pair::taken_over(&[]);
    assert_eq!(pair.old.unknown_key(NOW), UnknownKey::Claim);
    pair.tell_old(predecessor::Event::ClaimWanted(claim(1, "a")));
    pair.deliver_to_new();
    assert_eq!(pair.new_said, [New::DecideClaim(claim(1, "a"))]);
    pair.tell_new(successor::Event::ClaimDecided { id: 1, granted: false });
    pair.deliver();
    assert_eq!(pair.old_said, [Old::Deny(1, Denial::Known)]);
}

#[test]
fn of_tries_at_both_in_one_instant_the_new_ones_order_decides() {
    let mut pair = Pair::taken_over(&[]);
    pair.tell_old(predecessor::Event::ClaimWanted(claim(1, "a")));
    pair.tell_old(predecessor::Event::ClaimWanted(claim(2, "b")));
    pair.deliver_to_new();
    // "a" was first at the new one, "b" at the old one.
    pair.tell_new(successor::Event::ClaimDecided { id: 1, granted: false });
    pair.tell_new(successor::Event::ClaimDecided { id: 2, granted: true });
    pair.deliver();
    assert_eq!(pair.old_said, [Old::Deny(1, Denial::Known), Old::Grant(2)]);
}

#[test]
fn before_the_take_over_the_old_runs_unknown_keys_without_asking() {
    let mut pair = Pair::imported(&[]);
    pair.old_said.clear();
    pair.tell_old(predecessor::Event::ClaimWanted(claim(1, "a")));
    assert_eq!((pair.old_said.as_slice(), pair.to_new.as_slice()), (&[Old::Grant(1)][..], &[][..]));
}

#[test]
fn a_claim_without_an_answer_is_denied_in_time_and_a_late_grant_is_given_back() {
    let mut pair = Pair::taken_over(&[]);
    pair.tell_old(predecessor::Event::ClaimWanted(claim(1, "a")));
    let due = pair.old.next_due().expect("a claim waits");
    assert_eq!(due, NOW + rules().claim_ms);
    pair.now = due;
    pair.tell_old(predecessor::Event::Tick);
    assert_eq!(
        (pair.old_said.as_slice(), pair.old.next_due()),
        (&[Old::Deny(1, Denial::NoAnswer)][..], None)
    );
    pair.to_new.clear();
    pair.tell_old(predecessor::Event::Message(Message::ClaimAnswer { id: 1, granted: true }));
    assert_eq!(pair.to_new, [Message::Keys(vec![record("a", KeyState::Released)])]);
    assert_eq!(pair.old_said.len(), 1);
}

#[test]
fn beyond_the_bound_claims_are_denied_at_once_and_all_are_when_the_new_is_lost() {
    let mut pair = Pair::taken_over(&[]);
    let most = rules().claims as u64;
    for id in 0..=most {
        pair.tell_old(predecessor::Event::ClaimWanted(claim(id, &id.to_string())));
    }
    assert_eq!(pair.old_said, [Old::Deny(most, Denial::TooMany)]);
    pair.lose_new();
    let lost = pair.old_said.iter().filter(|action| matches!(action, Old::Deny(_, Denial::PeerLost))).count();
    assert_eq!(lost as u64, most);
}

#[test]
fn results_beyond_the_bounds_are_sent_as_failed() {
    let count = rules().snapshot_result_bytes / MAX_RESULT_BYTES + 3;
    let mut records: Vec<_> =
        (0..count).map(|n| record(&n.to_string(), KeyState::Done(vec![1; MAX_RESULT_BYTES]))).collect();
    records.insert(0, record("long", KeyState::Done(vec![1; MAX_RESULT_BYTES + 1])));
    let pair = Pair::imported(&records);
    let imported = pair.new_said.iter().filter_map(|action| match action {
        New::Import(record) => Some(&record.state),
        _ => None,
    });
    let (failed, done): (Vec<_>, Vec<_>) = imported.partition(|state| **state == KeyState::Failed);
    assert_eq!((failed.len(), done.len()), (4, count - 3));
}

// ---- the old one is killed ----

#[test]
fn the_old_killed_before_its_hello_is_looked_for_again_and_then_its_keys_are_unknown() {
    let mut pair = Pair::start();
    pair.tell_new(successor::Event::EngineUp);
    pair.tell_new(successor::Event::NoPredecessor(NoPredecessor::Closed));
    assert_eq!(pair.new_said, [New::Reconnect]);
    pair.tell_new(successor::Event::NoPredecessor(NoPredecessor::Refused));
    assert_eq!(pair.unknown_until_new(), Some(NOW + rules().longest_window_ms));
    assert_eq!(pair.new_said.last(), Some(&New::BeginServing));
}

#[test]
fn the_old_killed_in_its_snapshot_after_it_or_before_it_yields_leaves_unknown_keys() {
    let mut in_snapshot = Pair::start();
    in_snapshot.tell_old(predecessor::Event::PeerConnected);
    in_snapshot.deliver_to_new();
    let after_snapshot = Pair::imported(&[record("a", KeyState::Ran)]);
    let mut before_yield = Pair::imported(&[record("a", KeyState::Ran)]);
    before_yield.tell_new(successor::Event::EngineUp);
    for mut pair in [in_snapshot, after_snapshot, before_yield] {
        pair.lose_old();
        assert_eq!(pair.new_said.last(), Some(&New::Reconnect));
        pair.tell_new(successor::Event::NoPredecessor(NoPredecessor::Refused));
        assert_eq!(pair.unknown_until_new(), Some(NOW + rules().longest_window_ms));
        assert!(pair.new_said.contains(&New::FailPeerKeys));
        pair.tell_new(successor::Event::EngineUp);
        assert!(pair.new.is_serving());
    }
}

#[test]
fn an_old_one_that_lives_after_the_link_is_lost_sends_all_keys_anew() {
    let mut pair = Pair::imported(&[record("a", KeyState::Held)]);
    pair.lose_new();
    pair.lose_old();
    pair.tell_old(predecessor::Event::PeerConnected);
    pair.tell_old(predecessor::Event::Snapshot(Vec::new()));
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.new_said.contains(&New::DiscardImports) && pair.new.is_serving());
    assert_eq!(pair.unknown_until_new(), None);
}

#[test]
fn an_old_one_that_stops_answering_is_dropped_and_unknown_keys_fail_until_it_must_be_gone() {
    let mut pair = Pair::start();
    pair.tell_new(successor::Event::EngineUp);
    pair.tell_old(predecessor::Event::PeerConnected);
    pair.deliver_to_new();
    let in_snapshot = (pair, DropReason::SnapshotLate, rules().snapshot_ms);
    let mut pair = Pair::imported(&[]);
    pair.tell_new(successor::Event::EngineUp);
    let in_yield = (pair, DropReason::YieldLate, rules().yield_ms);
    for (mut pair, why, wait_ms) in [in_snapshot, in_yield] {
        assert_eq!(pair.new.next_due(), Some(NOW + wait_ms));
        pair.now = NOW + wait_ms;
        pair.tell_new(successor::Event::Tick);
        assert!(pair.new_said.contains(&New::DropPeer(why)) && pair.new.is_serving());
        assert_eq!(pair.unknown_until_new(), Some(unknown_for(&rules()) + wait_ms));
    }
}

// ---- the new one is killed ----

#[test]
fn the_new_killed_before_it_takes_over_changes_nothing() {
    let mut greeted = Pair::start();
    greeted.tell_old(predecessor::Event::PeerConnected);
    for mut pair in [greeted, Pair::imported(&[])] {
        pair.old_said.clear();
        pair.lose_new();
        assert_eq!(pair.old_said, []);
        assert_eq!(pair.old.unknown_key(NOW), UnknownKey::Run);
        pair.tell_old(predecessor::Event::PeerConnected);
        assert_eq!(pair.old.phase(), predecessor::Phase::Greeted);
    }
}

#[test]
fn the_new_killed_after_it_took_over_is_replaced_and_unknown_keys_fail_for_a_window() {
    let mut pair = Pair::taken_over(&[]);
    pair.lose_new();
    let until = unknown_for(&rules());
    assert_eq!(pair.old_said, [Old::KeysUnknownUntil(until), Old::ResumeAccepting, Old::BindAcceptor]);
    pair.old_said.clear();
    pair.tell_old(predecessor::Event::ClaimWanted(claim(1, "a")));
    assert_eq!(pair.old_said, [Old::Deny(1, Denial::UnknownWindow)]);
    assert_eq!(pair.old.unknown_key(until), UnknownKey::Run);
    // The next one is told.
    pair.tell_old(predecessor::Event::PeerConnected);
    let Some(Message::Hello(Hello { keys_unknown_until_ms, .. })) = pair.to_new.first() else {
        panic!("no hello in {:?}", pair.to_new);
    };
    assert_eq!(*keys_unknown_until_ms, until);
}

#[test]
fn the_new_killed_while_the_old_leaves_makes_it_an_ordinary_drain() {
    let mut pair = Pair::taken_over(&[]);
    pair.tell_old(predecessor::Event::Terminate);
    pair.old_said.clear();
    pair.lose_new();
    assert_eq!(pair.old_said.last(), Some(&Old::Leave { handed_over: false }));
    assert!(!pair.old_said.contains(&Old::ResumeAccepting));
}

/// While it serves, connections that wait in the backlog are its business, and the old one only makes room for them.
#[test]
fn the_new_serves_from_its_take_over_until_it_is_lost() {
    let mut pair = Pair::imported(&[]);
    assert!(!pair.old.successor_serves());
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.old.successor_serves());
    pair.lose_new();
    assert!(!pair.old.successor_serves());
}

// ---- SIGTERM ----

#[test]
fn sigterm_before_the_new_is_ready_gives_it_the_keys_and_drains_as_ever() {
    let mut pair = Pair::imported(&[]);
    pair.old_said.clear();
    pair.tell_old(predecessor::Event::Terminate);
    assert_eq!(pair.old_said, [Old::Leave { handed_over: false }, Old::StopAccepting]);
    pair.deliver();
    assert_eq!((pair.new.phase(), pair.new.is_serving()), (successor::Phase::Owning, false));
    pair.lose_old();
    pair.tell_new(successor::Event::EngineUp);
    assert_eq!((pair.new_said.last(), pair.unknown_until_new()), (Some(&New::BeginServing), None));
}

#[test]
fn sigterm_before_the_new_is_ready_is_handed_over_once_it_is() {
    let mut pair = Pair::imported(&[]);
    pair.tell_old(predecessor::Event::Terminate);
    pair.deliver();
    assert!(!pair.old.successor_serves(), "it owns the keys, and accepts nothing yet");
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.old.successor_serves());
    assert!(pair.new.is_serving());
    assert_eq!(pair.old_said.last(), Some(&Old::Leave { handed_over: true }));
}

#[test]
fn sigterm_in_the_instant_of_the_take_over_is_handed_over_in_either_order() {
    for sigterm_first in [true, false] {
        let mut pair = Pair::imported(&[]);
        pair.tell_new(successor::Event::EngineUp);
        if sigterm_first {
            pair.tell_old(predecessor::Event::Terminate);
        }
        pair.deliver();
        pair.tell_old(predecessor::Event::Terminate);
        assert!(pair.new.is_serving());
        assert_eq!(pair.old_said.last(), Some(&Old::Leave { handed_over: true }), "{sigterm_first}");
    }
}

#[test]
fn sigterm_without_a_successor_or_in_its_greeting_is_an_ordinary_drain() {
    let mut pair = Pair::start();
    pair.tell_old(predecessor::Event::Terminate);
    assert_eq!(pair.old_said, [Old::Leave { handed_over: false }]);
    // One that comes now gets the keys at once.
    pair.tell_old(predecessor::Event::PeerConnected);
    pair.tell_old(predecessor::Event::Snapshot(vec![record("a", KeyState::Ran)]));
    assert_eq!(pair.to_new.last(), Some(&Message::Yielded));
}

#[test]
fn sigterm_to_the_new_before_it_serves_lets_the_old_go_on() {
    let mut pair = Pair::imported(&[]);
    pair.new_said.clear();
    pair.tell_new(successor::Event::Terminate);
    assert_eq!(pair.new_said, [New::DropPeer(DropReason::Leaving), New::Leave]);
    pair.tell_new(successor::Event::EngineUp);
    assert!(!pair.new.is_serving());
}

// ---- an operator's drain ----

#[test]
fn a_drain_before_during_and_after_the_take_over_reaches_both() {
    let mut before = Pair::start();
    before.tell_old(predecessor::Event::DrainChanged(true));
    before.tell_old(predecessor::Event::PeerConnected);
    before.deliver_to_new();
    assert_eq!(before.new_said, [New::SetDrained(true)]);
    for mut pair in [Pair::imported(&[]), Pair::taken_over(&[])] {
        pair.tell_old(predecessor::Event::DrainChanged(true));
        pair.deliver();
        assert_eq!(pair.new_said.last(), Some(&New::SetDrained(true)));
        pair.tell_new(successor::Event::DrainChanged(false));
        pair.deliver();
        assert_eq!(pair.old_said.last(), Some(&Old::SetDrained(false)));
    }
}

#[test]
fn drains_that_cross_settle_on_the_old_ones_word_at_both() {
    let mut pair = Pair::taken_over(&[]);
    pair.tell_old(predecessor::Event::DrainChanged(true));
    pair.deliver();
    pair.tell_old(predecessor::Event::DrainChanged(false));
    pair.tell_new(successor::Event::DrainChanged(false));
    pair.tell_new(successor::Event::DrainChanged(true));
    pair.deliver();
    let old = pair.old_said.iter().rev().find_map(|action| match action {
        Old::SetDrained(drained) => Some(*drained),
        _ => None,
    });
    let new = pair.new_said.iter().rev().find_map(|action| match action {
        New::SetDrained(drained) => Some(*drained),
        _ => None,
    });
    assert_eq!((old, new), (Some(false), Some(false)));
}

// ---- connections, and peers that are none ----

#[test]
fn the_connections_of_the_old_are_told_until_it_is_gone() {
    let mut pair = Pair::start();
    pair.tell_old(predecessor::Event::Connections(7));
    pair.tell_old(predecessor::Event::PeerConnected);
    pair.tell_old(predecessor::Event::Snapshot(Vec::new()));
    pair.tell_old(predecessor::Event::Connections(6));
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver();
    pair.lose_old();
    let told: Vec<_> = pair.new_said.iter().filter(|a| matches!(a, New::PeerConnections(_))).collect();
    assert_eq!(told, [&New::PeerConnections(7), &New::PeerConnections(6), &New::PeerConnections(0)]);
}

#[test]
fn a_second_successor_is_refused_and_the_first_goes_on() {
    let mut pair = Pair::imported(&[]);
    pair.old_said.clear();
    pair.tell_old(predecessor::Event::PeerConnected);
    assert_eq!(pair.old_said, [Old::RefusePeer]);
    pair.tell_new(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.new.is_serving());
}

#[test]
fn an_older_a_newer_or_a_silent_one_and_a_stranger_make_unknown_keys_fail() {
    let reasons = [
        NoPredecessor::OtherVersion,
        NoPredecessor::TimedOut,
        NoPredecessor::ProtocolMismatch,
        NoPredecessor::OtherUser,
        NoPredecessor::BadListeners,
    ];
    for why in reasons {
        let mut pair = Pair::start();
        pair.tell_new(successor::Event::EngineUp);
        pair.tell_new(successor::Event::NoPredecessor(why));
        assert_eq!(pair.unknown_until_new(), Some(unknown_for(&rules())), "{why}");
        assert_eq!(pair.new_said.last(), Some(&New::BeginServing));
    }
}

#[test]
fn messages_out_of_turn_drop_the_peer_and_late_ones_do_nothing() {
    let mut pair = Pair::imported(&[]);
    pair.tell_old(predecessor::Event::Message(Message::ClaimAnswer { id: 1, granted: true }));
    assert_eq!(pair.old_said.last(), Some(&Old::DropPeer(DropReason::Protocol)));
    pair.tell_old(predecessor::Event::Message(Message::TakeOver));
    assert_eq!(pair.old_said.last(), Some(&Old::DropPeer(DropReason::Protocol)));
    pair.tell_new(successor::Event::Message(Message::TakeOver));
    assert!(pair.new_said.contains(&New::DropPeer(DropReason::Protocol)));
    let said = pair.new_said.len();
    pair.tell_new(successor::Event::Message(Message::Yielded));
    assert_eq!(pair.new_said.len(), said);
}
