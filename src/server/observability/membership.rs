//! The status of this server for the fleet: translates the events and the state of the core into the phase
//! and load that the membership protocol spreads. It passes every event on, and decides nothing.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_events::{CoreState, Observer, ProcessEvent, RequestEvent};
use pinepoint_membership::io::StatusSource;
use pinepoint_membership::member::{Load, Phase};

use crate::server::control::status::Status;
use crate::server::core::api::CoreInput;

/// How long a server that started cold is reported as cold, ms. The time is fixed, because no signal shows
/// when the server has warmed up.
const COLD_PERIOD_MS: f64 = 30_000.0;
/// Minimum time between two requests for the core's state, ms.
const STATE_REQUEST_INTERVAL_MS: f64 = 1000.0;

/// An observer of the core that passes everything on to the next observer and keeps the status reported to
/// the fleet.
pub struct MembershipObserver {
    next: Rc<dyn Observer>,
    status: Rc<Status>,
    clock: Clock,
    queue: Sender<CoreInput>,
    phase: Cell<Phase>,
    /// When the cold phase ends, Unix ms.
    cold_until_ms: Cell<f64>,
    /// When the core's state was last requested, Unix ms.
    state_requested_ms: Cell<f64>,
    load: Cell<Load>,
    /// Number of idempotency keys that fit into the configured memory; 0 if none do.
    key_capacity: f64,
}

impl MembershipObserver {
    /// Passes everything on to `next`. `key_capacity` is the number of idempotency keys that fit into memory;
    /// 0 if none do.
    pub fn new(
        next: Rc<dyn Observer>,
        status: Rc<Status>,
        clock: Clock,
        queue: Sender<CoreInput>,
        key_capacity: f64,
    ) -> Self {
        MembershipObserver {
            next,
            status,
            clock,
            queue,
            phase: Cell::new(Phase::Joining),
            cold_until_ms: Cell::new(f64::NEG_INFINITY),
            state_requested_ms: Cell::new(f64::NEG_INFINITY),
            load: Cell::default(),
            key_capacity,
        }
    }

    /// The free part of the capacity for idempotency keys, from 0 to 1.
    fn free_key_ratio(&self, keys: u64) -> f64 {
        if self.key_capacity > 0.0 { 1.0 - keys as f64 / self.key_capacity } else { 0.0 }
    }
}

/// Encodes a ratio from 0 to 1 as the membership protocol carries it, from 0 to 255.
fn ratio_to_byte(ratio: f64) -> u8 {
    (ratio.clamp(0.0, 1.0) * 255.0).round() as u8
}

impl Observer for MembershipObserver {
    fn request_event(&self, now_ms: f64, event: RequestEvent) {
        self.next.request_event(now_ms, event);
    }

    fn process_event(&self, now_ms: f64, event: ProcessEvent) {
        match event {
            ProcessEvent::Started { cold } => {
                self.phase.set(if cold { Phase::Cold } else { Phase::Serving });
                self.cold_until_ms.set(now_ms + COLD_PERIOD_MS);
            }
            ProcessEvent::Draining { .. } => self.phase.set(Phase::Draining),
            ProcessEvent::Stopped | ProcessEvent::LimitReached(_) | ProcessEvent::MembershipChanged(_) => {}
        }
        self.next.process_event(now_ms, event);
    }

    fn core_state(&self, now_ms: f64, state: &CoreState) {
        let gauge = |gauge_name: &str| {
            let found = state.admission.iter().find(|(name, _)| *name == gauge_name);
            found.map_or(0.0, |(_, value)| *value)
        };
        self.load.set(Load {
            refusal: ratio_to_byte(gauge("refusal_share")),
            busy: ratio_to_byte(gauge("busy_share")),
            hold_ms: gauge("hold_ms").clamp(0.0, f64::from(u16::MAX)) as u16,
            keys_room: ratio_to_byte(self.free_key_ratio(state.keys)),
            healthy: self.status.healthy.get(),
            up_s: 0,
        });
        self.next.core_state(now_ms, state);
    }
}

impl StatusSource for MembershipObserver {
    fn phase(&self) -> Phase {
        if self.phase.get() == Phase::Cold && self.clock.now() >= self.cold_until_ms.get() {
            self.phase.set(Phase::Serving);
        }
        self.phase.get()
    }

    fn load(&self) -> Load {
        let now_ms = self.clock.now();
        if now_ms - self.state_requested_ms.get() >= STATE_REQUEST_INTERVAL_MS {
            self.state_requested_ms.set(now_ms);
            // A full queue means that the core is busy; a later call requests the state again.
            let _ = self.queue.try_send(CoreInput::ReportState);
        }
        Load { healthy: self.status.healthy.get(), ..self.load.get() }
    }
}
