//! Admission: the checks that a request passes before it reaches the controller. Each check has its own
//! answer.

use pinepoint_events::{FailureReason, RejectReason};
use pinepoint_handover::ownership::UnknownKey;

use crate::admission::{Event, Idempotency, Request};
use crate::config::site::Site;
use crate::server::control::lifecycle::Phase as LifecyclePhase;
use crate::server::core::Core;
use crate::server::core::api::{Arrival, Reply};
use crate::server::core::events::received_event;
use crate::server::core::keys::IdempotencyKey;
use crate::server::core::requests::{OpenRequest, RequestIdentity};
use crate::server::observability::counters::count;

/// How far ahead of the clock the arrival time of a request may be, ms.
///
/// A request with a later arrival time, or with one longer ago than [`max_read_delay_ms`], did not come from
/// a router. It would extend deadlines and deduplication windows without bound, or be treated as a backlog
/// that nobody could have read.
const MAX_CLOCK_AHEAD_MS: f64 = 1000.0;
/// How long a request may lie unread: this many times the timeout of its class, plus
/// [`READ_DELAY_MARGIN_MS`].
const MAX_READ_DELAY_FACTOR: f64 = 2.0;
const READ_DELAY_MARGIN_MS: f64 = 1000.0;

/// How long a request with this timeout may have lain unread, ms.
pub(super) fn max_read_delay_ms(timeout_ms: f64) -> f64 {
    timeout_ms * MAX_READ_DELAY_FACTOR + READ_DELAY_MARGIN_MS
}

/// When the caller of a request stops waiting, Unix ms.
pub(super) fn deadline_ms(site: &Site, arrival: &Arrival) -> f64 {
    arrival.arrived_ms + site.settings.classes[arrival.class].caller_timeout_ms(arrival.timeout_ms)
}

/// Whether the other process of this server has granted the key of a request to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyClaim {
    /// The other process was not asked.
    NotClaimed,
    /// The other process has granted the key.
    Granted,
}

impl Core {
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        self.dependencies.counters.count_class(arrival.class, |class| &class.requests);
        self.admit(arrival, KeyClaim::NotClaimed);
    }

    /// Queues a request and passes it to the controller, unless a check answers it or it has to wait for a
    /// claim first.
    pub(super) fn admit(&mut self, arrival: Arrival, claim: KeyClaim) {
        if let Err(reply) = self.check_arrival(&arrival) {
            self.answer_unadmitted(&arrival, &reply);
            return;
        }
        let key = self.key_of_arrival(&arrival);
        if let Some(key) = &key {
            self.flush_batch_with_key(key);
        }
        let identity = match self.identify(&arrival, key) {
            Ok(identity) => identity,
            Err(reply) => return self.answer_unadmitted(&arrival, &reply),
        };
        if claim == KeyClaim::NotClaimed
            && let Some(key) = self.new_idempotency_key(&arrival, &identity)
        {
            match self.unknown_key_policy() {
                UnknownKey::Run => {}
                UnknownKey::Fail => {
                    let reply = Reply::Failed { late: false, reason: FailureReason::KeyStateUnknown };
                    return self.answer_unadmitted(&arrival, &reply);
                }
                UnknownKey::Claim => return self.claim_key(key, identity.digest, arrival),
            }
        }
        self.queue_request(arrival, identity);
    }

    /// The checks that need no key.
    fn check_arrival(&self, arrival: &Arrival) -> Result<(), Reply> {
        self.check_lifecycle()?;
        self.check_attempt_id(arrival)?;
        self.check_arrival_time(arrival)
    }

    fn check_lifecycle(&self) -> Result<(), Reply> {
        // All earlier requests are answered, and the process is about to end.
        if self.lifecycle.phase() >= LifecyclePhase::Finishing {
            return Err(Reply::Failed { late: true, reason: FailureReason::Shutdown });
        }
        if self.controller.is_none() {
            return Err(rejected(RejectReason::NotReady));
        }
        Ok(())
    }

    /// Refuses an attempt id that is in use, because two runs could not be told apart. This attempt has not
    /// run, but the other attempt may have an effect.
    fn check_attempt_id(&self, arrival: &Arrival) -> Result<(), Reply> {
        if self.requests.by_attempt_id(&arrival.attempt_id).is_none() {
            return Ok(());
        }
        Err(match self.class(arrival.class).idempotency {
            Idempotency::ReadOnly => rejected(RejectReason::AttemptIdInUse),
            Idempotency::Keyed | Idempotency::NonIdempotent => {
                Reply::Failed { late: false, reason: FailureReason::AttemptIdInUse }
            }
        })
    }

    fn check_arrival_time(&self, arrival: &Arrival) -> Result<(), Reply> {
        let max_delay_ms = max_read_delay_ms(self.class(arrival.class).timeout_ms);
        if (-MAX_CLOCK_AHEAD_MS..=max_delay_ms).contains(&(self.now_ms - arrival.arrived_ms)) {
            return Ok(());
        }
        count(&self.dependencies.counters.bad_times);
        Err(Reply::Failed { late: false, reason: FailureReason::InvalidArrivalTime })
    }

    /// The key that identifies duplicates of a request, if it has one. Reads have a key only where they share
    /// results.
    fn key_of_arrival(&self, arrival: &Arrival) -> Option<IdempotencyKey> {
        let reads_share_results = self.dependencies.site.settings.read_result_ttl_ms > 0.0;
        match self.class(arrival.class).idempotency {
            Idempotency::Keyed => arrival.idempotency_key.clone().map(IdempotencyKey::of_keyed_classes),
            Idempotency::ReadOnly if reads_share_results => {
                arrival.subject.clone().map(|subject| IdempotencyKey::of_class(arrival.class, subject))
            }
            Idempotency::ReadOnly | Idempotency::NonIdempotent => None,
        }
    }

    /// Processes the batch if it already contains an attempt of this key. The first attempt is decided on
    /// before the second is handled, so that the second can name it as its original.
    fn flush_batch_with_key(&mut self, key: &IdempotencyKey) {
        if self.batch.keys.contains(key) {
            self.process_batch(self.now_ms);
        }
        self.batch.keys.push(key.clone());
    }

    /// Compares a request with the known attempt of its key. A different body under a known key is a
    /// different request: its sender must neither receive the result of the first request nor have the second
    /// one run.
    fn identify(&self, arrival: &Arrival, key: Option<IdempotencyKey>) -> Result<RequestIdentity, Reply> {
        let digest = self.keys.digest(&arrival.body);
        let Some(key) = key else { return Ok(RequestIdentity { key: None, digest, duplicate_of: None }) };
        if self.keys.has_other_body(&key, arrival.arrived_ms, digest) {
            count(&self.dependencies.counters.refused_bodies);
            return Err(Reply::Failed { late: false, reason: FailureReason::BodyMismatch });
        }
        let duplicate_of = self.keys.original_of(&key, arrival.arrived_ms);
        Ok(RequestIdentity { key: Some(key), digest, duplicate_of })
    }

    /// The key of a request that has an effect and duplicates no attempt known to this process.
    fn new_idempotency_key(&self, arrival: &Arrival, identity: &RequestIdentity) -> Option<IdempotencyKey> {
        let is_keyed = self.class(arrival.class).idempotency == Idempotency::Keyed;
        if is_keyed && identity.duplicate_of.is_none() { identity.key.clone() } else { None }
    }

    fn queue_request(&mut self, arrival: Arrival, identity: RequestIdentity) {
        if identity.duplicate_of.is_some() {
            count(&self.dependencies.counters.repeats);
        }
        let class = arrival.class;
        let deadline_ms = deadline_ms(&self.dependencies.site, &arrival);
        let received = received_event(self.now_ms, &arrival);
        let request = Request {
            id: 0,
            class,
            tenant: arrival.tenant,
            deadline_ms: arrival.timeout_ms.map(|_| deadline_ms),
            work_hint_ms: arrival.work_hint_ms,
            mem_kb: arrival.mem_kb,
            retry: arrival.retry,
            read_delay_ms: (self.now_ms - arrival.arrived_ms).max(0.0),
            duplicate_of: identity.duplicate_of,
            has_subject: arrival.subject.is_some(),
        };
        let id = self.requests.insert(OpenRequest::new(arrival, identity, deadline_ms, self.now_ms));
        self.emit(id, class, received);
        self.dispatch(Event::RequestArrived(Request { id, ..request }));
    }
}

/// A rejection without advice on when or where to retry.
fn rejected(reason: RejectReason) -> Reply {
    Reply::Rejected { retry_after_ms: 0.0, no_retry: false, reason }
}
