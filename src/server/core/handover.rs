//! The core's side of a handover between two processes of one server: it feeds the two state machines of
//! `pinepoint-handover` and carries out what they decide on the tables of keys and requests. It owns the requests that wait
//! for a claim; it must never do I/O.

use std::collections::BTreeMap;
use std::rc::Rc;

use pinepoint_events::{FailureReason, ProcessEvent, RequestEventKind};
use pinepoint_handover::message::{Claim, Key as SharedKey, KeyRecord, KeyState};
use pinepoint_handover::ownership::{Denial, Rules, UnknownKey};
use pinepoint_handover::predecessor::{self, Predecessor};
use pinepoint_handover::successor::{self, Successor};

use super::{Core, EngineStart, IdempotencyKey, LifecyclePhase, MAX_READ_DELAY_FACTOR, READ_DELAY_MARGIN_MS};
use crate::config::site::Site;
use crate::server::core::api::{Arrival, HandoverTransport, PeerEvent, PeerInbox, Reply};
use crate::server::core::keys::{Attempt, AttemptEnd, AttemptRecord, AttemptResult};
use crate::server::observability::counters::count;

/// Added to the longest window in which keys may be unknown, ms.
const WINDOW_MARGIN_MS: f64 = 1000.0;

/// The longest time for which a key of these classes may be kept, with a margin, ms.
pub fn longest_dedup_window_ms(site: &Site) -> f64 {
    let windows = site.settings.classes.iter().map(|class| class.dedup_window_ms.max(class.timeout_ms));
    windows.fold(0.0, f64::max) + WINDOW_MARGIN_MS
}

/// What a handover takes.
pub struct HandoverDependencies {
    /// The way to the other process.
    pub transport: Rc<dyn HandoverTransport>,
    /// What the other process tells.
    pub inbox: Rc<PeerInbox>,
    /// Bounds and waits.
    pub rules: Rules,
    /// Names of the listening sockets, in the order in which they are passed.
    pub listener_names: Vec<String>,
}

/// Requests of one key that wait until the other process says whether it may run.
struct WaitingClaim {
    key: IdempotencyKey,
    arrivals: Vec<Arrival>,
}

/// What a handover holds beside the tables of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// Requests that wait for a claim, by class index.
    pub waiting: Vec<u64>,
    /// Tries under way in another process that still keep their keys from running.
    pub remote_attempts: usize,
}

/// The state of the handover.
pub(super) struct Handover {
    dependencies: HandoverDependencies,
    successor: Successor,
    /// From the moment on at which this process serves.
    predecessor: Option<Predecessor>,
    keys_unknown_until_ms: f64,
    engine: Option<EngineStart>,
    notice_ms: f64,
    claims: BTreeMap<u64, WaitingClaim>,
    last_claim: u64,
    /// Keys that have changed in the instant in hand.
    changed_keys: Vec<IdempotencyKey>,
}

impl Handover {
    pub(super) fn new(dependencies: HandoverDependencies) -> Self {
        Handover {
            successor: Successor::new(dependencies.rules.clone()),
            dependencies,
            predecessor: None,
            keys_unknown_until_ms: 0.0,
            engine: None,
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
    /// What the handover holds now.
    pub fn handover_state(&self, now: f64) -> HandoverState {
        let mut state = HandoverState {
            waiting: vec![0; self.dependencies.site.settings.classes.len()],
            remote_attempts: self
                .keys
                .remote_attempts()
                .iter()
                .filter(|(key, _)| self.keys.is_known(key, now))
                .count(),
        };
        let claims = self.handover.iter().flat_map(|handover| handover.claims.values());
        for arrival in claims.flat_map(|claim| &claim.arrivals) {
            state.waiting[arrival.class] += 1;
        }
        state
    }

    // ---- events in ----

    /// Takes what the other process has told.
    pub fn handle_peer_events(&mut self, now: f64) {
        self.now_ms = now;
        while let Some(input) = self.handover.as_ref().and_then(|handover| handover.dependencies.inbox.pop())
        {
            match input {
                PeerEvent::PredecessorFound(hello) => {
                    tracing::info!(drained = hello.drained, "predecessor-found");
                    self.keys.set_digest_key(hello.digest_key);
                    self.successor_event(now, successor::Event::PeerConnected(hello));
                }
                PeerEvent::NoPredecessor(why) => {
                    tracing::info!(reason = %why, "no-predecessor");
                    self.successor_event(now, successor::Event::NoPredecessor(why));
                }
                PeerEvent::FromPredecessor(message) => {
                    self.successor_event(now, successor::Event::Message(message));
                }
                PeerEvent::PredecessorLost => self.successor_event(now, successor::Event::PeerLost),
                PeerEvent::SuccessorFound => self.predecessor_event(now, predecessor::Event::PeerConnected),
                PeerEvent::FromSuccessor(message) => {
                    self.predecessor_event(now, predecessor::Event::Message(message));
                }
                PeerEvent::SuccessorLost => self.predecessor_event(now, predecessor::Event::PeerLost),
            }
        }
    }

    /// The engine of a process that may have to take over first.
    pub(super) fn handle_engine_attached_in_handover(&mut self, now: f64, start: EngineStart) {
        let Some(handover) = &mut self.handover else { return };
        handover.engine = Some(start);
        self.successor_event(now, successor::Event::EngineUp);
    }

    /// The notice to leave, in a process that another one may follow.
    pub(super) fn start_drain_in_handover(&mut self, now: f64, at_ms: f64) {
        let Some(handover) = &mut self.handover else { return };
        handover.notice_ms = at_ms;
        if handover.predecessor.is_some() {
            self.predecessor_event(now, predecessor::Event::Terminate);
        } else {
            self.successor_event(now, successor::Event::Terminate);
        }
    }

    /// An operator drained this process or took it back.
    pub(super) fn send_drained_to_peers(&mut self, now: f64, drained: bool) {
        self.successor_event(now, successor::Event::DrainChanged(drained));
        self.predecessor_event(now, predecessor::Event::DrainChanged(drained));
    }

    /// How many connections this process holds, which count against the limit of both.
    pub(super) fn send_connection_count(&mut self, now: f64) {
        if self.handover.as_ref().is_some_and(Handover::has_successor) {
            let open = u32::try_from(self.dependencies.open_sockets.connections()).unwrap_or(u32::MAX);
            self.predecessor_event(now, predecessor::Event::Connections(open));
        }
    }

    /// When a wait of the handover is over.
    pub(super) fn handover_due(&self) -> Option<f64> {
        let handover = self.handover.as_ref()?;
        let predecessor = handover.predecessor.as_ref().and_then(Predecessor::next_due);
        let waiting = handover.claims.values().flat_map(|claim| &claim.arrivals);
        let overdue = waiting.map(|arrival| self.overdue_ms(arrival));
        handover.successor.next_due().into_iter().chain(predecessor).chain(overdue).min_by(f64::total_cmp)
    }

    /// When a request that waits for a claim is answered in any case, ms.
    fn overdue_ms(&self, arrival: &Arrival) -> f64 {
        let class = &self.dependencies.site.settings.classes[arrival.class];
        arrival.arrived_ms + class.timeout_ms + self.overdue_slack_ms()
    }

    /// Ends the waits that are over.
    pub(super) fn handover_tick(&mut self, now: f64) {
        if self.handover_due().is_some_and(|at| now >= at) {
            self.successor_event(now, successor::Event::Tick);
            self.predecessor_event(now, predecessor::Event::Tick);
            self.fail_overdue_claimants(now);
        }
    }

    /// Other settings are in force: no window may be longer than is counted with.
    pub(super) fn reconfigure_handover(&mut self) {
        let longest_ms = longest_dedup_window_ms(&self.dependencies.site);
        let Some(handover) = &mut self.handover else { return };
        // Keys that ran under a longer window keep it.
        handover.dependencies.rules.longest_window_ms =
            handover.dependencies.rules.longest_window_ms.max(longest_ms);
        handover.successor.set_longest_window(longest_ms);
        if let Some(machine) = &mut handover.predecessor {
            machine.set_longest_window(longest_ms);
        }
    }

    /// Requests of unknown keys fail until then.
    fn keys_unknown_until(&mut self, now: f64, until_ms: f64) {
        let Some(handover) = &mut self.handover else { return };
        tracing::warn!(for_ms = (until_ms - now).round(), "keys-unknown");
        handover.keys_unknown_until_ms = handover.keys_unknown_until_ms.max(until_ms);
        self.predecessor_event(now, predecessor::Event::KeysUnknownUntil(until_ms));
    }

    fn successor_event(&mut self, now: f64, event: successor::Event) {
        let Some(handover) = &mut self.handover else { return };
        let mut actions = Vec::new();
        let before = handover.successor.phase();
        handover.successor.handle(now, event, &mut actions);
        let phase = handover.successor.phase();
        if std::mem::discriminant(&before) != std::mem::discriminant(&phase) {
            tracing::info!(?phase, "taking-over");
        }
        actions.into_iter().for_each(|action| self.execute_as_successor(now, action));
    }

    fn predecessor_event(&mut self, now: f64, event: predecessor::Event) {
        let Some(machine) = self.handover.as_mut().and_then(|handover| handover.predecessor.as_mut()) else {
            return;
        };
        let mut actions = Vec::new();
        let before = machine.phase();
        machine.handle(now, event, &mut actions);
        let phase = machine.phase();
        if before != phase {
            tracing::info!(?phase, "handing-over");
        }
        actions.into_iter().for_each(|action| self.execute_as_predecessor(now, action));
    }

    // ---- actions out ----

    fn execute_as_successor(&mut self, now: f64, action: successor::Action) {
        use successor::Action;
        let Some(handover) = &mut self.handover else { return };
        let port = handover.dependencies.transport.clone();
        match action {
            Action::Send(message) => port.send_to_predecessor(&message),
            Action::Reconnect => port.find_predecessor(),
            Action::DropPeer(why) => {
                tracing::warn!(reason = %why, "predecessor-dropped");
                port.drop_predecessor();
            }
            Action::BeginServing => self.begin_serving(now),
            Action::Import(record) => self.import_record(now, record),
            Action::DiscardImports => self.finish_remote_attempts(&AttemptEnd::NeverRan),
            Action::FailPeerKeys => self.finish_remote_attempts(&AttemptEnd::Ran(AttemptResult::Failed)),
            Action::KeysUnknownUntil(until_ms) => self.keys_unknown_until(now, until_ms),
            Action::DecideClaim(claim) => self.decide_claim(now, claim),
            Action::SetDrained(drained) => {
                self.apply_drained(drained);
                self.predecessor_event(now, predecessor::Event::DrainChanged(drained));
            }
            Action::PeerConnections(open) => port.set_peer_connections(open as usize),
            Action::Leave => {
                let at_ms = handover.notice_ms;
                self.drain_without_successor(now, at_ms);
            }
        }
    }

    fn execute_as_predecessor(&mut self, now: f64, action: predecessor::Action) {
        use predecessor::Action;
        let Some(handover) = &self.handover else { return };
        let port = handover.dependencies.transport.clone();
        match action {
            Action::Send(message) => port.send_to_successor(&message),
            Action::SendSnapshot => {
                let records = self.key_records();
                self.predecessor_event(now, predecessor::Event::Snapshot(records));
            }
            Action::RefusePeer => {}
            Action::DropPeer(why) => {
                tracing::warn!(reason = %why, "successor-dropped");
                port.drop_successor();
            }
            Action::StopAccepting => self.dependencies.status.accepting.set(false),
            Action::ResumeAccepting => self.dependencies.status.accepting.set(true),
            Action::BindAcceptor => port.listen_for_successor(),
            Action::Grant(id) => self.claim_granted(now, id),
            Action::Deny(id, why) => self.claim_denied(now, id, why),
            Action::SetDrained(drained) => {
                self.apply_drained(drained);
                self.successor_event(now, successor::Event::DrainChanged(drained));
            }
            Action::KeysUnknownUntil(until_ms) => {
                tracing::warn!(for_ms = (until_ms - now).round(), "keys-unknown");
            }
            Action::Leave { handed_over } => {
                let at_ms = handover.notice_ms;
                if handed_over {
                    self.drain_after_handover(now, at_ms);
                } else {
                    self.drain_without_successor(now, at_ms);
                }
            }
        }
    }

    /// This process owns the keys and can serve: from here on it may be taken over from itself.
    fn begin_serving(&mut self, now: f64) {
        let drained = self.lifecycle.phase() == LifecyclePhase::StartingLameDuck;
        let digest_key = self.keys.digest_key();
        let Some(handover) = &mut self.handover else { return };
        let listeners = handover.dependencies.listener_names.clone();
        handover.predecessor =
            Some(Predecessor::new(handover.dependencies.rules.clone(), listeners, digest_key));
        let (start, unknown_until_ms) = (handover.engine, handover.keys_unknown_until_ms);
        let port = handover.dependencies.transport.clone();
        self.predecessor_event(now, predecessor::Event::KeysUnknownUntil(unknown_until_ms));
        self.predecessor_event(now, predecessor::Event::DrainChanged(drained));
        if let Some(start) = start {
            self.start_controller(start);
        }
        if self.lifecycle.phase() < LifecyclePhase::Draining {
            port.listen_for_successor();
            self.dependencies.status.accepting.set(true);
        }
    }

    /// Leaves a server that the other process serves on. Callers are told at once: that process is there for them.
    fn drain_after_handover(&mut self, now: f64, at_ms: f64) {
        if !self.lifecycle.mark_handed_over(at_ms) {
            return;
        }
        let late_ms = (now - at_ms).round();
        let (open, connections) = (self.requests.len(), self.callers.len());
        tracing::info!(open, connections, late_ms, "leaving-handed-over");
        self.publish();
        self.emit_process_event(ProcessEvent::Draining {
            kill_ms: self.lifecycle.kill_ms().unwrap_or(f64::INFINITY),
        });
        self.close_listeners();
    }

    /// The doors shut: nothing keeps their sockets open for a successor.
    pub(super) fn release_listeners(&self) {
        if let Some(handover) = &self.handover {
            handover.dependencies.transport.release_listeners();
        }
    }

    // ---- keys that the other process is told of ----

    /// Notes that a key has changed, for the other process.
    pub(super) fn mark_key_changed(&mut self, key: &IdempotencyKey) {
        if let Some(handover) = self.handover.as_mut().filter(|handover| handover.has_successor()) {
            handover.changed_keys.push(key.clone());
        }
    }

    /// The same for the key of a request. Nothing is copied where there is nobody to tell.
    pub(super) fn mark_request_key_changed(&mut self, id: u32) {
        if self.handover.as_ref().is_some_and(Handover::has_successor)
            && let Some((key, _)) = self.key_and_digest(id)
        {
            self.mark_key_changed(&key);
        }
    }

    /// Tells the successor of all keys that have changed in the instant in hand.
    pub(super) fn send_changed_keys(&mut self, now: f64) {
        let Some(handover) = &mut self.handover else { return };
        let mut changed_keys = std::mem::take(&mut handover.changed_keys);
        changed_keys.sort_unstable();
        changed_keys.dedup();
        for key in changed_keys {
            if !key.protects_effect() {
                continue;
            }
            let record = self.key_record(&key);
            self.predecessor_event(now, predecessor::Event::KeyChanged(record));
        }
    }

    /// All keys of this process.
    fn key_records(&self) -> Vec<KeyRecord> {
        let keys = self.keys.keys().filter(|key| key.protects_effect());
        keys.map(|key| self.key_record(key)).collect()
    }

    fn key_record(&self, key: &IdempotencyKey) -> KeyRecord {
        let key_name = shared_key(key);
        let Some(AttemptRecord { attempt, started, result }) = self.keys.record(key) else {
            return KeyRecord { key: key_name, digest: 0, until_ms: 0.0, state: KeyState::Released };
        };
        let state = match result {
            _ if !started => KeyState::Held,
            AttemptResult::Pending => KeyState::Ran,
            AttemptResult::Done(bytes) => KeyState::Done(bytes.to_vec()),
            AttemptResult::Failed => KeyState::Failed,
        };
        // A request that is held beyond the window of its key must not be overtaken by a run of the other process.
        let deadline_ms = self.requests.get(attempt.id).map_or(0.0, |open| open.deadline_ms);
        let until_ms = attempt.window_end_ms.max(deadline_ms);
        KeyRecord { key: key_name, digest: attempt.digest, until_ms, state }
    }

    // ---- keys that the other process tells of ----

    /// Enters what the other process tells of a key. What this process knows itself stays as it is.
    fn import_record(&mut self, now: f64, record: KeyRecord) {
        let key = local_key(record.key);
        let known = self.keys.remote_attempt(&key);
        if known.is_none() && (record.state == KeyState::Released || self.keys.is_known(&key, now)) {
            return;
        }
        let id = known.unwrap_or_else(|| self.requests.allocate_id());
        if record.state != KeyState::Released {
            let attempt = Attempt { id, digest: record.digest, window_end_ms: record.until_ms };
            self.keys.insert_remote(&key, attempt);
        }
        match record.state {
            KeyState::Held | KeyState::Ran => self.mark_key_changed(&key),
            KeyState::Done(bytes) => {
                let result = AttemptResult::Done(bytes.into());
                self.finish_attempt(&key, id, AttemptEnd::Ran(result));
            }
            KeyState::Failed => self.finish_attempt(&key, id, AttemptEnd::Ran(AttemptResult::Failed)),
            KeyState::Released => self.finish_attempt(&key, id, AttemptEnd::NeverRan),
        }
    }

    /// Ends all tries that were under way in the other process.
    fn finish_remote_attempts(&mut self, end: &AttemptEnd) {
        for (key, id) in self.keys.remote_attempts() {
            self.finish_attempt(&key, id, end.clone());
        }
    }

    // ---- claims ----

    /// What may be done with a request of a key that this process does not know.
    pub(super) fn unknown_key_policy(&self, now: f64) -> UnknownKey {
        let machine = self.handover.as_ref().and_then(|handover| handover.predecessor.as_ref());
        machine.map_or(UnknownKey::Run, |machine| machine.unknown_key(now))
    }

    /// Asks the other process whether this key may run here; the request waits for that.
    pub(super) fn claim(&mut self, now: f64, key: IdempotencyKey, digest: u64, arrival: Arrival) {
        let class = &self.dependencies.site.settings.classes[arrival.class];
        let until_ms = arrival.arrived_ms + class.dedup_window_ms.max(class.timeout_ms) + 1.0;
        let shared = shared_key(&key);
        let Some(handover) = &mut self.handover else { return };
        if let Some(claim) = handover.claims.values_mut().find(|claim| claim.key == key) {
            claim.arrivals.push(arrival);
            return;
        }
        handover.last_claim += 1;
        let id = handover.last_claim;
        handover.claims.insert(id, WaitingClaim { key, arrivals: vec![arrival] });
        let claim = Claim { id, key: shared, digest, until_ms };
        self.predecessor_event(now, predecessor::Event::ClaimWanted(claim));
    }

    /// Whether requests wait for a claim.
    pub(super) fn has_claims(&self) -> bool {
        self.handover.as_ref().is_some_and(|handover| !handover.claims.is_empty())
    }

    /// Takes requests out that wait for a claim. Whether their keys may run no longer matters: a grant is given back then.
    fn take_claimants(&mut self, is_meant: impl Fn(&Core, &Arrival) -> bool) -> Vec<Arrival> {
        let claims = self.handover.iter().flat_map(|handover| &handover.claims);
        let all = claims.flat_map(|(id, claim)| (0..claim.arrivals.len()).map(move |place| (*id, place)));
        let meant = |(id, place): &(u64, usize)| {
            let claim = self.handover.as_ref().and_then(|handover| handover.claims.get(id));
            claim.is_some_and(|claim| is_meant(self, &claim.arrivals[*place]))
        };
        let meant: Vec<(u64, usize)> = all.filter(meant).collect();
        let Some(handover) = &mut self.handover else { return Vec::new() };
        // From the back, as each that is taken out moves those behind it.
        let taken = meant
            .into_iter()
            .rev()
            .filter_map(|(id, place)| handover.claims.get_mut(&id).map(|claim| claim.arrivals.remove(place)));
        taken.collect()
    }

    /// The callers of these requests, if they wait for a claim, are gone: none of them is run.
    pub(super) fn remove_claimants(&mut self, now: f64, caller: u64, correlation_id: Option<u64>) {
        let is_meant = |_: &Core, arrival: &Arrival| {
            arrival.caller.id() == caller
                && correlation_id.is_none_or(|correlation_id| arrival.correlation_id == correlation_id)
        };
        for arrival in self.take_claimants(is_meant) {
            self.emit(0, arrival.class, super::received_event(now, &arrival));
            self.emit(0, arrival.class, RequestEventKind::CallerGone { took_ms: now - arrival.arrived_ms });
            self.dependencies.counters.count_class(arrival.class, |class| &class.gone);
        }
    }

    /// What came on a connection is no message of its wire: what waits for a claim on it fails.
    pub(super) fn fail_claimants(&mut self, now: f64, caller: u64) {
        let reply = Reply::Failed { late: false, reason: FailureReason::ProtocolError };
        for arrival in self.take_claimants(|_, arrival| arrival.caller.id() == caller) {
            self.reject_unadmitted(now, &arrival, &reply);
        }
    }

    fn fail_overdue_claimants(&mut self, now: f64) {
        let reply = Reply::Failed { late: true, reason: FailureReason::Overdue };
        for arrival in self.take_claimants(|core, arrival| now >= core.overdue_ms(arrival)) {
            count(&self.dependencies.counters.overdue);
            self.reject_unadmitted(now, &arrival, &reply);
        }
    }

    fn remove_claim(&mut self, id: u64) -> Option<WaitingClaim> {
        self.handover.as_mut()?.claims.remove(&id)
    }

    /// The first request of the claim is admitted as one of a new key, those behind it as its repeats.
    fn claim_granted(&mut self, now: f64, id: u64) {
        let Some(WaitingClaim { key, arrivals }) = self.remove_claim(id) else { return };
        // Refused without having been kept, the key is to be given back.
        self.mark_key_changed(&key);
        for (place, arrival) in arrivals.into_iter().enumerate() {
            self.admit(now, arrival, place == 0);
        }
    }

    fn claim_denied(&mut self, now: f64, id: u64, why: Denial) {
        let Some(WaitingClaim { arrivals, .. }) = self.remove_claim(id) else { return };
        tracing::info!(reason = %why, requests = arrivals.len(), "claim-denied");
        for arrival in arrivals {
            let reply = Reply::Failed { late: false, reason: FailureReason::ClaimDenied };
            self.reject_unadmitted(now, &arrival, &reply);
        }
    }

    /// Nothing is waited for any more: the process is about to end.
    pub(super) fn deny_all_claims(&mut self, now: f64) {
        let ids: Vec<u64> =
            self.handover.iter().flat_map(|handover| handover.claims.keys().copied()).collect();
        ids.into_iter().for_each(|id| self.claim_denied(now, id, Denial::NoAnswer));
    }

    /// Whether the predecessor may run this key: nothing of it is known here, and nothing can be unknown.
    fn decide_claim(&mut self, now: f64, claim: Claim) {
        let key = local_key(claim.key);
        let granted = self.may_grant(now, &key);
        if granted {
            let id = self.requests.allocate_id();
            let attempt = Attempt { id, digest: claim.digest, window_end_ms: claim.until_ms };
            self.keys.insert_remote(&key, attempt);
            self.mark_key_changed(&key);
        }
        self.successor_event(now, successor::Event::ClaimDecided { id: claim.id, granted });
    }

    fn may_grant(&mut self, now: f64, key: &IdempotencyKey) -> bool {
        if self.batch_keys.contains(key) {
            self.process_batch(now);
        }
        // The claim does not say when its request reached the machine: it may have lain unread for so long.
        let unread_most_ms = self.dependencies.site.settings.longest_timeout_ms() * MAX_READ_DELAY_FACTOR
            + READ_DELAY_MARGIN_MS;
        let waits = self.handover.iter().flat_map(|h| h.claims.values()).any(|claim| claim.key == *key);
        !waits
            && !self.keys.is_known(key, now - unread_most_ms)
            && self.unknown_key_policy(now) == UnknownKey::Run
    }
}

/// The key as the other process knows it. Tokens count in all keyed classes, so none is named.
fn shared_key(key: &IdempotencyKey) -> SharedKey {
    SharedKey { class: String::new(), token: key.value.clone() }
}

fn local_key(key: SharedKey) -> IdempotencyKey {
    IdempotencyKey::of_keyed_classes(key.token)
}
