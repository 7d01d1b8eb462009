//! What the fleet's view needs of the node. It owns the translation between the two: facts in, phase and load out. It must
//! never decide about a request or hold up what it passes on.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use pinepoint_clock::Clock;
use pinepoint_events::{CoreState, Observer, ProcessEvent, RequestEvent};
use pinepoint_membership::io::StatusSource;
use pinepoint_membership::member::{Load, Phase};

use crate::server::control::status::Status;
use crate::server::core::api::CoreInput;

/// A machine that started cold is told as such for so long, ms: nobody tells when it is warm.
const COLD_MS: f64 = 30_000.0;
/// Between two questions for the core's state, ms.
const LOOK_MS: f64 = 1000.0;

/// Passes on what the core tells, and keeps what others are to know of it.
pub struct MembershipObserver {
    inner: Rc<dyn Observer>,
    status: Rc<Status>,
    clock: Clock,
    queue: Sender<CoreInput>,
    phase: Cell<Phase>,
    cold_until_ms: Cell<f64>,
    looked_ms: Cell<f64>,
    load: Cell<Load>,
    /// The room for keys that the operators' settings give: 0 for none.
    keys_most: f64,
}

impl MembershipObserver {
    /// Watches for this observer too.
    pub fn new(
        inner: Rc<dyn Observer>,
        status: Rc<Status>,
        clock: Clock,
        queue: Sender<CoreInput>,
        keys_most: f64,
    ) -> Self {
        MembershipObserver {
            inner,
            status,
            clock,
            queue,
            phase: Cell::new(Phase::Joining),
            cold_until_ms: Cell::new(f64::NEG_INFINITY),
            looked_ms: Cell::new(f64::NEG_INFINITY),
            load: Cell::default(),
            keys_most,
        }
    }
}

/// A part of one as a part of 255.
fn part(of_one: f64) -> u8 {
    (of_one.clamp(0.0, 1.0) * 255.0).round() as u8
}

impl Observer for MembershipObserver {
    fn request_event(&self, now_ms: f64, fact: RequestEvent) {
        self.inner.request_event(now_ms, fact);
    }

    fn process_event(&self, now_ms: f64, turn: ProcessEvent) {
        match turn {
            ProcessEvent::Started { cold } => {
                self.phase.set(if cold { Phase::Cold } else { Phase::Serving });
                self.cold_until_ms.set(now_ms + COLD_MS);
            }
            ProcessEvent::Draining { .. } => self.phase.set(Phase::Draining),
            ProcessEvent::Stopped | ProcessEvent::LimitReached(_) | ProcessEvent::MembershipChanged(_) => {}
        }
        self.inner.process_event(now_ms, turn);
    }

    fn core_state(&self, now_ms: f64, state: &CoreState) {
        let figure =
            |name: &str| state.module.iter().find(|(n, _)| *n == name).map_or(0.0, |(_, value)| *value);
        self.load.set(Load {
            refusal: part(figure("refusal_share")),
            busy: part(figure("busy_share")),
            hold_ms: figure("hold_ms").clamp(0.0, f64::from(u16::MAX)) as u16,
            keys_room: if self.keys_most > 0.0 { part(1.0 - state.keys as f64 / self.keys_most) } else { 0 },
            healthy: self.status.healthy.get(),
            up_s: 0,
        });
        self.inner.core_state(now_ms, state);
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
        let now = self.clock.now();
        if now - self.looked_ms.get() >= LOOK_MS {
            self.looked_ms.set(now);
            // A full queue is one that the core works on: it is asked again.
            let _ = self.queue.try_send(CoreInput::ReportState);
        }
        Load { healthy: self.status.healthy.get(), ..self.load.get() }
    }
}
