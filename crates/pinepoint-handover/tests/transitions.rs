//! Scenarios of a handover: either process is killed or terminated at each step, and attempts with a key
//! reach either process. The two state machines run against each other, and the test delivers their messages
//! one by one.

use pinepoint_handover::message::{Claim, Hello, Key, KeyRecord, KeyState, MAX_RESULT_BYTES, Message};
use pinepoint_handover::ownership::{Denial, DropReason, NoPredecessor, Rules, UnknownKey};
use pinepoint_handover::predecessor::{self, Action as PredecessorAction, Predecessor};
use pinepoint_handover::successor::{self, Action as SuccessorAction, Successor};

const NOW_MS: f64 = 1e12;

fn rules() -> Rules {
    Rules { longest_window_ms: 60_000.0, ..Rules::default() }
}

fn key(token: &str) -> Key {
    Key { class: "pay".into(), token: token.into() }
}

fn record(token: &str, state: KeyState) -> KeyRecord {
    KeyRecord { key: key(token), digest: 9, until_ms: NOW_MS + 60_000.0, state }
}

fn claim(id: u64, token: &str) -> Claim {
    Claim { id, key: key(token), digest: 9, until_ms: NOW_MS + 60_000.0 }
}

/// Both state machines, the messages in transit between them, and their other actions.
struct Pair {
    now_ms: f64,
    predecessor: Predecessor,
    successor: Successor,
    to_predecessor: Vec<Message>,
    to_successor: Vec<Message>,
    predecessor_actions: Vec<PredecessorAction>,
    successor_actions: Vec<SuccessorAction>,
}

impl Pair {
    fn start() -> Pair {
        Pair {
            now_ms: NOW_MS,
            predecessor: Predecessor::new(rules(), vec!["rpc".into()], [1; 16]),
            successor: Successor::new(rules()),
            to_predecessor: Vec::new(),
            to_successor: Vec::new(),
            predecessor_actions: Vec::new(),
            successor_actions: Vec::new(),
        }
    }

    /// Runs a handover until the snapshot with `records` is imported.
    fn imported(records: &[KeyRecord]) -> Pair {
        let mut pair = Pair::start();
        pair.notify_predecessor(predecessor::Event::PeerConnected);
        pair.notify_predecessor(predecessor::Event::Snapshot(records.to_vec()));
        pair.deliver();
        pair
    }

    /// Runs a handover until the successor serves, and clears the recorded actions.
    fn taken_over(records: &[KeyRecord]) -> Pair {
        let mut pair = Pair::imported(records);
        pair.notify_successor(successor::Event::EngineUp);
        pair.deliver();
        pair.predecessor_actions.clear();
        pair.successor_actions.clear();
        pair
    }

    fn notify_predecessor(&mut self, event: predecessor::Event) {
        let mut actions = Vec::new();
        self.predecessor.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                PredecessorAction::Send(message) => self.to_successor.push(message),
                other => self.predecessor_actions.push(other),
            }
        }
    }

    fn notify_successor(&mut self, event: successor::Event) {
        let mut actions = Vec::new();
        self.successor.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                SuccessorAction::Send(message) => self.to_predecessor.push(message),
                other => self.successor_actions.push(other),
            }
        }
    }

    fn deliver_to_successor(&mut self) {
        for message in std::mem::take(&mut self.to_successor) {
            match message {
                Message::Hello(hello) => self.notify_successor(successor::Event::PeerConnected(hello)),
                message => self.notify_successor(successor::Event::Message(message)),
            }
        }
    }

    fn deliver_to_predecessor(&mut self) {
        for message in std::mem::take(&mut self.to_predecessor) {
            self.notify_predecessor(predecessor::Event::Message(message));
        }
    }

    fn deliver(&mut self) {
        while !self.to_successor.is_empty() || !self.to_predecessor.is_empty() {
            self.deliver_to_successor();
            self.deliver_to_predecessor();
        }
    }

    fn lose_predecessor(&mut self) {
        self.to_successor.clear();
        self.notify_successor(successor::Event::PeerLost);
    }

    fn lose_successor(&mut self) {
        self.to_predecessor.clear();
        self.notify_predecessor(predecessor::Event::PeerLost);
    }

    fn successor_unknown_until(&self) -> Option<f64> {
        self.successor_actions.iter().find_map(|action| match action {
            SuccessorAction::KeysUnknownUntil(until_ms) => Some(*until_ms),
            _ => None,
        })
    }
}

fn unknown_window_end(rules: &Rules) -> f64 {
    NOW_MS + rules.longest_window_ms + rules.peer_exit_ms
}

// ---- ordinary handover ----

#[test]
fn transfers_keys_and_stops_accepting_before_successor_serves() {
    let records = [record("a", KeyState::Held), record("b", KeyState::Done(vec![1, 2]))];
    let mut pair = Pair::imported(&records);
    for record in records {
        assert!(pair.successor_actions.contains(&SuccessorAction::Import(record)));
    }
    assert!(
        !pair.successor.is_serving() && !pair.predecessor_actions.contains(&PredecessorAction::StopAccepting)
    );
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver_to_predecessor();
    assert!(
        pair.predecessor_actions.contains(&PredecessorAction::StopAccepting) && !pair.successor.is_serving()
    );
    pair.deliver_to_successor();
    assert_eq!(pair.successor_actions.last(), Some(&SuccessorAction::BeginServing));
    pair.notify_predecessor(predecessor::Event::Terminate);
    assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::Leave { handed_over: true }));
    pair.lose_predecessor();
    assert_eq!((pair.successor.phase(), pair.successor_unknown_until()), (successor::Phase::Alone, None));
    assert!(pair.successor_actions.contains(&SuccessorAction::FailPeerKeys));
}

#[test]
fn serves_alone_and_knows_all_keys_without_predecessor() {
    for reason in [NoPredecessor::NoSocket, NoPredecessor::Refused, NoPredecessor::BadPath] {
        let mut pair = Pair::start();
        pair.notify_successor(successor::Event::NoPredecessor(reason));
        assert!(!pair.successor.is_serving());
        pair.notify_successor(successor::Event::EngineUp);
        assert_eq!(pair.successor_actions, [SuccessorAction::BeginServing], "{reason}");
        assert_eq!(pair.successor.unknown_key(NOW_MS), UnknownKey::Run);
    }
}

#[test]
fn second_upgrade_passes_on_keys_and_unknown_window() {
    let mut first = Pair::taken_over(&[record("a", KeyState::Done(vec![1]))]);
    first.lose_predecessor();
    let mut second = Pair::start();
    second.notify_predecessor(predecessor::Event::KeysUnknownUntil(NOW_MS + 5.0));
    second.notify_predecessor(predecessor::Event::PeerConnected);
    second.notify_predecessor(predecessor::Event::Snapshot(vec![record("a", KeyState::Done(vec![1]))]));
    second.notify_successor(successor::Event::EngineUp);
    second.deliver();
    assert!(
        second.successor_actions.contains(&SuccessorAction::Import(record("a", KeyState::Done(vec![1]))))
    );
    assert_eq!(second.successor_unknown_until(), Some(NOW_MS + 5.0));
    assert_eq!(second.successor.unknown_key(NOW_MS), UnknownKey::Fail);
    assert_eq!(second.successor.unknown_key(NOW_MS + 5.0), UnknownKey::Run);
    assert!(second.successor.is_serving());
}

// ---- keys ----

#[test]
fn imports_key_changes_after_take_over() {
    let mut pair = Pair::taken_over(&[record("a", KeyState::Held)]);
    for state in [KeyState::Ran, KeyState::Done(vec![4])] {
        pair.notify_predecessor(predecessor::Event::KeyChanged(record("a", state.clone())));
        pair.deliver();
        assert_eq!(pair.successor_actions.pop(), Some(SuccessorAction::Import(record("a", state))));
    }
}

#[test]
fn denies_claim_of_key_known_to_successor() {
    let mut pair = Pair::taken_over(&[]);
    assert_eq!(pair.predecessor.unknown_key(NOW_MS), UnknownKey::Claim);
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(1, "a")));
    pair.deliver_to_successor();
    assert_eq!(pair.successor_actions, [SuccessorAction::DecideClaim(claim(1, "a"))]);
    pair.notify_successor(successor::Event::ClaimDecided { id: 1, granted: false });
    pair.deliver();
    assert_eq!(pair.predecessor_actions, [PredecessorAction::Deny(1, Denial::Known)]);
}

#[test]
fn successor_decides_concurrent_claims() {
    let mut pair = Pair::taken_over(&[]);
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(1, "a")));
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(2, "b")));
    pair.deliver_to_successor();
    // Key "a" reached the successor first, key "b" the predecessor.
    pair.notify_successor(successor::Event::ClaimDecided { id: 1, granted: false });
    pair.notify_successor(successor::Event::ClaimDecided { id: 2, granted: true });
    pair.deliver();
    assert_eq!(
        pair.predecessor_actions,
        [PredecessorAction::Deny(1, Denial::Known), PredecessorAction::Grant(2)]
    );
}

#[test]
fn grants_claims_locally_before_take_over() {
    let mut pair = Pair::imported(&[]);
    pair.predecessor_actions.clear();
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(1, "a")));
    assert_eq!(
        (pair.predecessor_actions.as_slice(), pair.to_successor.as_slice()),
        (&[PredecessorAction::Grant(1)][..], &[][..])
    );
}

#[test]
fn denies_unanswered_claim_and_releases_late_grant() {
    let mut pair = Pair::taken_over(&[]);
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(1, "a")));
    let due = pair.predecessor.next_due().expect("a claim is pending");
    assert_eq!(due, NOW_MS + rules().claim_ms);
    pair.now_ms = due;
    pair.notify_predecessor(predecessor::Event::Tick);
    assert_eq!(
        (pair.predecessor_actions.as_slice(), pair.predecessor.next_due()),
        (&[PredecessorAction::Deny(1, Denial::NoAnswer)][..], None)
    );
    pair.to_successor.clear();
    pair.notify_predecessor(predecessor::Event::Message(Message::ClaimAnswer { id: 1, granted: true }));
    assert_eq!(pair.to_successor, [Message::Keys(vec![record("a", KeyState::Released)])]);
    assert_eq!(pair.predecessor_actions.len(), 1);
}

#[test]
fn denies_claims_over_limit_and_on_successor_loss() {
    let mut pair = Pair::taken_over(&[]);
    let max_claims = rules().claims as u64;
    for id in 0..=max_claims {
        pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(id, &id.to_string())));
    }
    assert_eq!(pair.predecessor_actions, [PredecessorAction::Deny(max_claims, Denial::TooMany)]);
    pair.lose_successor();
    let lost = pair
        .predecessor_actions
        .iter()
        .filter(|action| matches!(action, PredecessorAction::Deny(_, Denial::PeerLost)))
        .count();
    assert_eq!(lost as u64, max_claims);
}

#[test]
fn sends_oversized_results_as_failed() {
    let count = rules().snapshot_result_bytes / MAX_RESULT_BYTES + 3;
    let mut records: Vec<_> =
        (0..count).map(|n| record(&n.to_string(), KeyState::Done(vec![1; MAX_RESULT_BYTES]))).collect();
    records.insert(0, record("long", KeyState::Done(vec![1; MAX_RESULT_BYTES + 1])));
    let pair = Pair::imported(&records);
    let imported = pair.successor_actions.iter().filter_map(|action| match action {
        SuccessorAction::Import(record) => Some(&record.state),
        _ => None,
    });
    let (failed, done): (Vec<_>, Vec<_>) = imported.partition(|state| **state == KeyState::Failed);
    assert_eq!((failed.len(), done.len()), (4, count - 3));
}

// ---- loss of the predecessor ----

#[test]
fn reconnects_and_fails_unknown_keys_if_predecessor_dies_before_hello() {
    let mut pair = Pair::start();
    pair.notify_successor(successor::Event::EngineUp);
    pair.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Closed));
    assert_eq!(pair.successor_actions, [SuccessorAction::Reconnect]);
    pair.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Refused));
    assert_eq!(pair.successor_unknown_until(), Some(NOW_MS + rules().longest_window_ms));
    assert_eq!(pair.successor_actions.last(), Some(&SuccessorAction::BeginServing));
}

#[test]
fn fails_unknown_keys_if_predecessor_dies_before_yield() {
    let mut in_snapshot = Pair::start();
    in_snapshot.notify_predecessor(predecessor::Event::PeerConnected);
    in_snapshot.deliver_to_successor();
    let after_snapshot = Pair::imported(&[record("a", KeyState::Ran)]);
    let mut before_yield = Pair::imported(&[record("a", KeyState::Ran)]);
    before_yield.notify_successor(successor::Event::EngineUp);
    for mut pair in [in_snapshot, after_snapshot, before_yield] {
        pair.lose_predecessor();
        assert_eq!(pair.successor_actions.last(), Some(&SuccessorAction::Reconnect));
        pair.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Refused));
        assert_eq!(pair.successor_unknown_until(), Some(NOW_MS + rules().longest_window_ms));
        assert!(pair.successor_actions.contains(&SuccessorAction::FailPeerKeys));
        pair.notify_successor(successor::Event::EngineUp);
        assert!(pair.successor.is_serving());
    }
}

#[test]
fn predecessor_resends_keys_after_link_loss() {
    let mut pair = Pair::imported(&[record("a", KeyState::Held)]);
    pair.lose_successor();
    pair.lose_predecessor();
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    pair.notify_predecessor(predecessor::Event::Snapshot(Vec::new()));
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.successor_actions.contains(&SuccessorAction::DiscardImports) && pair.successor.is_serving());
    assert_eq!(pair.successor_unknown_until(), None);
}

#[test]
fn drops_unresponsive_predecessor_and_fails_unknown_keys() {
    let mut pair = Pair::start();
    pair.notify_successor(successor::Event::EngineUp);
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    pair.deliver_to_successor();
    let in_snapshot = (pair, DropReason::SnapshotLate, rules().snapshot_ms);
    let mut pair = Pair::imported(&[]);
    pair.notify_successor(successor::Event::EngineUp);
    let in_yield = (pair, DropReason::YieldLate, rules().yield_ms);
    for (mut pair, reason, wait_ms) in [in_snapshot, in_yield] {
        assert_eq!(pair.successor.next_due(), Some(NOW_MS + wait_ms));
        pair.now_ms = NOW_MS + wait_ms;
        pair.notify_successor(successor::Event::Tick);
        assert!(
            pair.successor_actions.contains(&SuccessorAction::DropPeer(reason))
                && pair.successor.is_serving()
        );
        assert_eq!(pair.successor_unknown_until(), Some(unknown_window_end(&rules()) + wait_ms));
    }
}

// ---- loss of the successor ----

#[test]
fn predecessor_keeps_ownership_if_successor_dies_before_take_over() {
    let mut greeted = Pair::start();
    greeted.notify_predecessor(predecessor::Event::PeerConnected);
    for mut pair in [greeted, Pair::imported(&[])] {
        pair.predecessor_actions.clear();
        pair.lose_successor();
        assert_eq!(pair.predecessor_actions, []);
        assert_eq!(pair.predecessor.unknown_key(NOW_MS), UnknownKey::Run);
        pair.notify_predecessor(predecessor::Event::PeerConnected);
        assert_eq!(pair.predecessor.phase(), predecessor::Phase::Greeted);
    }
}

#[test]
fn predecessor_resumes_and_fails_unknown_keys_if_successor_dies() {
    let mut pair = Pair::taken_over(&[]);
    pair.lose_successor();
    let until = unknown_window_end(&rules());
    assert_eq!(
        pair.predecessor_actions,
        [
            PredecessorAction::KeysUnknownUntil(until),
            PredecessorAction::ResumeAccepting,
            PredecessorAction::BindAcceptor
        ]
    );
    pair.predecessor_actions.clear();
    pair.notify_predecessor(predecessor::Event::ClaimWanted(claim(1, "a")));
    assert_eq!(pair.predecessor_actions, [PredecessorAction::Deny(1, Denial::UnknownWindow)]);
    assert_eq!(pair.predecessor.unknown_key(until), UnknownKey::Run);
    // The next successor is notified.
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    let Some(Message::Hello(Hello { keys_unknown_until_ms, .. })) = pair.to_successor.first() else {
        panic!("no Hello in {:?}", pair.to_successor);
    };
    assert_eq!(*keys_unknown_until_ms, until);
}

#[test]
fn drains_normally_if_successor_dies_while_predecessor_leaves() {
    let mut pair = Pair::taken_over(&[]);
    pair.notify_predecessor(predecessor::Event::Terminate);
    pair.predecessor_actions.clear();
    pair.lose_successor();
    assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::Leave { handed_over: false }));
    assert!(!pair.predecessor_actions.contains(&PredecessorAction::ResumeAccepting));
}

/// While the successor serves, it accepts the connections in the backlog, and the predecessor only evicts
/// connections for them.
#[test]
fn successor_serves_from_take_over_until_lost() {
    let mut pair = Pair::imported(&[]);
    assert!(!pair.predecessor.successor_serves());
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.predecessor.successor_serves());
    pair.lose_successor();
    assert!(!pair.predecessor.successor_serves());
}

// ---- SIGTERM ----

#[test]
fn sigterm_before_successor_is_ready_yields_keys_and_drains() {
    let mut pair = Pair::imported(&[]);
    pair.predecessor_actions.clear();
    pair.notify_predecessor(predecessor::Event::Terminate);
    assert_eq!(
        pair.predecessor_actions,
        [PredecessorAction::Leave { handed_over: false }, PredecessorAction::StopAccepting]
    );
    pair.deliver();
    assert_eq!((pair.successor.phase(), pair.successor.is_serving()), (successor::Phase::Owning, false));
    pair.lose_predecessor();
    pair.notify_successor(successor::Event::EngineUp);
    assert_eq!(
        (pair.successor_actions.last(), pair.successor_unknown_until()),
        (Some(&SuccessorAction::BeginServing), None)
    );
}

#[test]
fn sigterm_before_successor_is_ready_hands_over_once_it_is_ready() {
    let mut pair = Pair::imported(&[]);
    pair.notify_predecessor(predecessor::Event::Terminate);
    pair.deliver();
    assert!(
        !pair.predecessor.successor_serves(),
        "the successor owns the keys, but does not accept connections yet"
    );
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.predecessor.successor_serves());
    assert!(pair.successor.is_serving());
    assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::Leave { handed_over: true }));
}

#[test]
fn sigterm_during_take_over_hands_over_in_either_order() {
    for sigterm_first in [true, false] {
        let mut pair = Pair::imported(&[]);
        pair.notify_successor(successor::Event::EngineUp);
        if sigterm_first {
            pair.notify_predecessor(predecessor::Event::Terminate);
        }
        pair.deliver();
        pair.notify_predecessor(predecessor::Event::Terminate);
        assert!(pair.successor.is_serving());
        assert_eq!(
            pair.predecessor_actions.last(),
            Some(&PredecessorAction::Leave { handed_over: true }),
            "{sigterm_first}"
        );
    }
}

#[test]
fn sigterm_without_successor_drains_and_yields_to_late_successor() {
    let mut pair = Pair::start();
    pair.notify_predecessor(predecessor::Event::Terminate);
    assert_eq!(pair.predecessor_actions, [PredecessorAction::Leave { handed_over: false }]);
    // A successor that connects now is given ownership of the keys at once.
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    pair.notify_predecessor(predecessor::Event::Snapshot(vec![record("a", KeyState::Ran)]));
    assert_eq!(pair.to_successor.last(), Some(&Message::Yielded));
}

#[test]
fn sigterm_to_starting_successor_drops_link_and_leaves() {
    let mut pair = Pair::imported(&[]);
    pair.successor_actions.clear();
    pair.notify_successor(successor::Event::Terminate);
    assert_eq!(
        pair.successor_actions,
        [SuccessorAction::DropPeer(DropReason::Leaving), SuccessorAction::Leave]
    );
    pair.notify_successor(successor::Event::EngineUp);
    assert!(!pair.successor.is_serving());
}

// ---- drain by an operator ----

#[test]
fn drain_reaches_both_processes_in_every_phase() {
    let mut before = Pair::start();
    before.notify_predecessor(predecessor::Event::DrainChanged(true));
    before.notify_predecessor(predecessor::Event::PeerConnected);
    before.deliver_to_successor();
    assert_eq!(before.successor_actions, [SuccessorAction::SetDrained(true)]);
    for mut pair in [Pair::imported(&[]), Pair::taken_over(&[])] {
        pair.notify_predecessor(predecessor::Event::DrainChanged(true));
        pair.deliver();
        assert_eq!(pair.successor_actions.last(), Some(&SuccessorAction::SetDrained(true)));
        pair.notify_successor(successor::Event::DrainChanged(false));
        pair.deliver();
        assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::SetDrained(false)));
    }
}

#[test]
fn crossing_drains_settle_on_predecessors_value() {
    let mut pair = Pair::taken_over(&[]);
    pair.notify_predecessor(predecessor::Event::DrainChanged(true));
    pair.deliver();
    pair.notify_predecessor(predecessor::Event::DrainChanged(false));
    pair.notify_successor(successor::Event::DrainChanged(false));
    pair.notify_successor(successor::Event::DrainChanged(true));
    pair.deliver();
    let predecessor_drained = pair.predecessor_actions.iter().rev().find_map(|action| match action {
        PredecessorAction::SetDrained(drained) => Some(*drained),
        _ => None,
    });
    let successor_drained = pair.successor_actions.iter().rev().find_map(|action| match action {
        SuccessorAction::SetDrained(drained) => Some(*drained),
        _ => None,
    });
    assert_eq!((predecessor_drained, successor_drained), (Some(false), Some(false)));
}

// ---- connections and rejected peers ----

#[test]
fn reports_predecessor_connections_until_it_is_lost() {
    let mut pair = Pair::start();
    pair.notify_predecessor(predecessor::Event::Connections(7));
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    pair.notify_predecessor(predecessor::Event::Snapshot(Vec::new()));
    pair.notify_predecessor(predecessor::Event::Connections(6));
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver();
    pair.lose_predecessor();
    let reported: Vec<_> =
        pair.successor_actions.iter().filter(|a| matches!(a, SuccessorAction::PeerConnections(_))).collect();
    assert_eq!(
        reported,
        [
            &SuccessorAction::PeerConnections(7),
            &SuccessorAction::PeerConnections(6),
            &SuccessorAction::PeerConnections(0)
        ]
    );
}

#[test]
fn refuses_second_successor() {
    let mut pair = Pair::imported(&[]);
    pair.predecessor_actions.clear();
    pair.notify_predecessor(predecessor::Event::PeerConnected);
    assert_eq!(pair.predecessor_actions, [PredecessorAction::RefusePeer]);
    pair.notify_successor(successor::Event::EngineUp);
    pair.deliver();
    assert!(pair.successor.is_serving());
}

#[test]
fn fails_unknown_keys_if_peer_is_unusable() {
    let reasons = [
        NoPredecessor::OtherVersion,
        NoPredecessor::TimedOut,
        NoPredecessor::ProtocolMismatch,
        NoPredecessor::OtherUser,
        NoPredecessor::BadListeners,
    ];
    for reason in reasons {
        let mut pair = Pair::start();
        pair.notify_successor(successor::Event::EngineUp);
        pair.notify_successor(successor::Event::NoPredecessor(reason));
        assert_eq!(pair.successor_unknown_until(), Some(unknown_window_end(&rules())), "{reason}");
        assert_eq!(pair.successor_actions.last(), Some(&SuccessorAction::BeginServing));
    }
}

#[test]
fn drops_peer_on_unexpected_message_and_ignores_late_ones() {
    let mut pair = Pair::imported(&[]);
    pair.notify_predecessor(predecessor::Event::Message(Message::ClaimAnswer { id: 1, granted: true }));
    assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::DropPeer(DropReason::Protocol)));
    pair.notify_predecessor(predecessor::Event::Message(Message::TakeOver));
    assert_eq!(pair.predecessor_actions.last(), Some(&PredecessorAction::DropPeer(DropReason::Protocol)));
    pair.notify_successor(successor::Event::Message(Message::TakeOver));
    assert!(pair.successor_actions.contains(&SuccessorAction::DropPeer(DropReason::Protocol)));
    let action_count = pair.successor_actions.len();
    pair.notify_successor(successor::Event::Message(Message::Yielded));
    assert_eq!(pair.successor_actions.len(), action_count);
}
