//! The core's side of a handover between two processes of one server. It passes events to the two state
//! machines of `pinepoint-handover`, as successor of an older process and as predecessor of a newer one, and
//! executes their actions on the tables of keys and requests.
//!
//! The requests that wait for a claim are owned here. There is no I/O: messages go out through
//! [`HandoverTransport`] and come in through [`PeerInbox`].

use std::collections::BTreeMap;
use std::rc::Rc;

use pinepoint_handover::ownership::{Rules, UnknownKey};
use pinepoint_handover::predecessor::{self, Predecessor};
use pinepoint_handover::successor::{self, Successor};

mod actions;
mod claims;
mod replication;

use self::claims::WaitingClaim;
use crate::config::site::Site;
use crate::server::core::Core;
use crate::server::core::api::{HandoverTransport, PeerEvent, PeerInbox};
use crate::server::core::engine::EngineStart;
use crate::server::core::keys::IdempotencyKey;

/// Added to the longest deduplication window, ms.
const WINDOW_MARGIN_MS: f64 = 1000.0;

/// The longest time for which a key of these classes may be retained, with a margin, ms.
pub fn longest_dedup_window_ms(site: &Site) -> f64 {
    let windows = site.settings.classes.iter().map(|class| class.dedup_window_ms.max(class.timeout_ms));
    windows.fold(0.0, f64::max) + WINDOW_MARGIN_MS
}

/// Dependencies of a handover on the rest of the process.
pub struct HandoverDependencies {
    /// The connections to the other processes.
    pub transport: Rc<dyn HandoverTransport>,
    /// Events from the other processes.
    pub inbox: Rc<PeerInbox>,
    /// Limits and timeouts.
    pub rules: Rules,
    /// Names of the listening sockets, in the order in which they are passed on.
    pub listener_names: Vec<String>,
}

/// State of a handover that is not in the tables of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// Requests that wait for a claim, by class index.
    pub waiting: Vec<u64>,
    /// Attempts in flight in another process that still prevent their keys from running.
    pub remote_attempts: usize,
}

/// The state of the handover.
pub(super) struct Handover {
    dependencies: HandoverDependencies,
    /// The state machine of this process as a successor.
    successor: Successor,
    /// The state machine of this process as a predecessor; present once this process serves.
    predecessor: Option<Predecessor>,
    /// Requests of keys that this process does not know fail until this time, Unix ms.
    keys_unknown_until_ms: f64,
    engine_start: Option<EngineStart>,
    /// When the termination notice came, Unix ms.
    notice_ms: f64,
    /// Unanswered claims by number, in the order in which they were made.
    claims: BTreeMap<u64, WaitingClaim>,
    last_claim: u64,
    /// Keys that have changed in the current batch.
    changed_keys: Vec<IdempotencyKey>,
}

impl Handover {
    pub(super) fn new(dependencies: HandoverDependencies) -> Self {
        Handover {
            successor: Successor::new(dependencies.rules.clone()),
            dependencies,
            predecessor: None,
            keys_unknown_until_ms: 0.0,
            engine_start: None,
            notice_ms: 0.0,
            claims: BTreeMap::new(),
            last_claim: 0,
            changed_keys: Vec::new(),
        }
    }

    fn has_successor(&self) -> bool {
        self.predecessor.as_ref().is_some_and(|machine| machine.phase() != predecessor::Phase::NoSuccessor)
    }
}

impl Core {
    /// The state of the handover at this time, Unix ms.
    pub fn handover_state(&self, now_ms: f64) -> HandoverState {
        let remote = self.keys.remote_attempts();
        let mut state = HandoverState {
            waiting: vec![0; self.dependencies.site.settings.classes.len()],
            remote_attempts: remote.iter().filter(|(key, _)| self.keys.is_known(key, now_ms)).count(),
        };
        for arrival in self.claimants() {
            state.waiting[arrival.class] += 1;
        }
        state
    }

    /// Handles the events from the other processes.
    pub fn handle_peer_events(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        // A successor that connects or takes over now is sent the current count before it accepts. With an
        // outdated count it would use descriptors that this process occupies, and the platform kills both
        // processes at the limit that they share.
        self.update_connection_count();
        while let Some(event) = self.handover.as_ref().and_then(|handover| handover.dependencies.inbox.pop())
        {
            self.handle_peer_event(event);
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::PredecessorFound(hello) => {
                tracing::info!(drained = hello.drained, "predecessor-found");
                self.keys.set_digest_key(hello.digest_key);
                self.successor_event(successor::Event::PeerConnected(hello));
            }
            PeerEvent::NoPredecessor(reason) => {
                tracing::info!(%reason, "no-predecessor");
                self.successor_event(successor::Event::NoPredecessor(reason));
            }
            PeerEvent::FromPredecessor(message) => {
                self.successor_event(successor::Event::Message(message));
            }
            PeerEvent::PredecessorLost => self.successor_event(successor::Event::PeerLost),
            PeerEvent::SuccessorFound => self.predecessor_event(predecessor::Event::PeerConnected),
            PeerEvent::FromSuccessor(message) => {
                self.predecessor_event(predecessor::Event::Message(message));
            }
            PeerEvent::SuccessorLost => self.predecessor_event(predecessor::Event::PeerLost),
        }
    }

    /// Handles the start of the engine in a process that may have to take over first.
    pub(super) fn engine_started_in_handover(&mut self, start: EngineStart) {
        let Some(handover) = &mut self.handover else { return };
        handover.engine_start = Some(start);
        self.successor_event(successor::Event::EngineUp);
    }

    /// Handles the termination notice in a process that may have a successor.
    pub(super) fn start_drain_in_handover(&mut self, notice_ms: f64) {
        let Some(handover) = &mut self.handover else { return };
        handover.notice_ms = notice_ms;
        if handover.predecessor.is_some() {
            self.predecessor_event(predecessor::Event::Terminate);
        } else {
            self.successor_event(successor::Event::Terminate);
        }
    }

    /// Notifies the other processes that an operator drained this process or took it back into service.
    pub(super) fn send_lame_duck_to_peers(&mut self, drained: bool) {
        self.successor_event(successor::Event::DrainChanged(drained));
        self.predecessor_event(predecessor::Event::DrainChanged(drained));
    }

    /// Records the number of open connections of this process, which count against the limit of both
    /// processes. A connected successor is sent each change, and a later successor the latest count.
    pub(super) fn update_connection_count(&mut self) {
        if self.handover.is_some() {
            let open = u32::try_from(self.dependencies.open_sockets.connections()).unwrap_or(u32::MAX);
            self.predecessor_event(predecessor::Event::Connections(open));
        }
    }

    /// When the next timeout of the handover ends, Unix ms.
    pub(super) fn handover_due(&self) -> Option<f64> {
        let handover = self.handover.as_ref()?;
        let predecessor = handover.predecessor.as_ref().and_then(Predecessor::next_due);
        let overdue = self.claimants().map(|arrival| self.claim_overdue_ms(arrival));
        handover.successor.next_due().into_iter().chain(predecessor).chain(overdue).min_by(f64::total_cmp)
    }

    /// Handles the timeouts of the handover that have ended.
    pub(super) fn handover_tick(&mut self) {
        if self.handover_due().is_some_and(|due_ms| self.now_ms >= due_ms) {
            self.successor_event(successor::Event::Tick);
            self.predecessor_event(predecessor::Event::Tick);
            self.fail_overdue_claims();
        }
    }

    /// Applies new settings: no deduplication window may be longer than the handover assumes.
    pub(super) fn reconfigure_handover(&mut self) {
        let longest_ms = longest_dedup_window_ms(&self.dependencies.site);
        let Some(handover) = &mut self.handover else { return };
        // Keys that ran under a longer window keep it.
        let rules = &mut handover.dependencies.rules;
        rules.longest_window_ms = rules.longest_window_ms.max(longest_ms);
        handover.successor.set_longest_window(longest_ms);
        if let Some(machine) = &mut handover.predecessor {
            machine.set_longest_window(longest_ms);
        }
    }

    /// Closes the copies of the listening sockets that were kept for a successor.
    pub(super) fn release_listeners(&self) {
        if let Some(handover) = &self.handover {
            handover.dependencies.transport.release_listeners();
        }
    }

    /// The policy for a request whose key this process does not know.
    pub(super) fn unknown_key_policy(&self) -> UnknownKey {
        let machine = self.handover.as_ref().and_then(|handover| handover.predecessor.as_ref());
        machine.map_or(UnknownKey::Run, |machine| machine.unknown_key(self.now_ms))
    }

    /// Passes an event to the state machine of this process as a successor.
    fn successor_event(&mut self, event: successor::Event) {
        let Some(handover) = &mut self.handover else { return };
        let mut actions = Vec::new();
        let before = handover.successor.phase();
        handover.successor.handle(self.now_ms, event, &mut actions);
        let phase = handover.successor.phase();
        if std::mem::discriminant(&before) != std::mem::discriminant(&phase) {
            tracing::info!(?phase, "taking-over");
        }
        actions.into_iter().for_each(|action| self.execute_as_successor(action));
    }

    /// Passes an event to the state machine of this process as a predecessor, once the process serves.
    fn predecessor_event(&mut self, event: predecessor::Event) {
        let Some(machine) = self.handover.as_mut().and_then(|handover| handover.predecessor.as_mut()) else {
            return;
        };
        let mut actions = Vec::new();
        let before = machine.phase();
        machine.handle(self.now_ms, event, &mut actions);
        let phase = machine.phase();
        self.dependencies.status.successor_serves.set(machine.successor_serves());
        if before != phase {
            tracing::info!(?phase, "handing-over");
        }
        actions.into_iter().for_each(|action| self.execute_as_predecessor(action));
    }
}
