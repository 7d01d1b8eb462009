//! The phases of the process from start to end, with their legal transitions: when it serves, when it asks
//! clients to disconnect, when its listeners close, and when it may end. It owns the published health and
//! registration. It does no I/O, reads no clock, and decides nothing about requests.

/// Part of the drain grace period after which clients are asked to disconnect. Clients learn of a draining
/// server seconds late. If they were disconnected immediately, they would overload the other servers while
/// this one is idle.
const GO_AWAY_GRACE_FRACTION: f64 = 0.8;
/// Part of the time to the kill after which clients are asked to disconnect at the latest.
const GO_AWAY_STOP_FRACTION: f64 = 0.6;
/// Part of the time to the kill after which the listeners close at the latest, however long the grace period
/// is.
const CLOSING_STOP_FRACTION: f64 = 0.8;
/// How long before the kill all outstanding requests are answered, ms.
const FINAL_ANSWERS_BEFORE_KILL_MS: f64 = 200.0;
/// How long before the kill the process ends, ms. Between the final answers and the end, answers are written
/// and data that clients still send is read and discarded: a reset would destroy answers that are in transit.
const EXIT_BEFORE_KILL_MS: f64 = 60.0;
/// Minimum time between the final answers and the end, ms. A process that was stopped until the kill was
/// near, or past it, still writes its answers if the kill does not come first.
const MIN_FINAL_WRITE_MS: f64 = 100.0;

/// The phases in the order of the process lifetime. The process never returns to an earlier phase, except
/// that operators may end lame duck mode.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The engine is not up yet: nothing runs, and the process is not registered.
    #[default]
    Starting,
    /// As [`Phase::Starting`], in lame duck mode.
    StartingLameDuck,
    /// Requests are served.
    Serving,
    /// An operator asked for lame duck mode: health checks fail, and arriving requests are still served.
    LameDuck,
    /// The termination notice has arrived. Arriving requests are still served.
    Draining,
    /// Clients were asked to disconnect.
    GoAwaySent,
    /// Another process of this server has taken over and the termination notice has arrived. Clients are
    /// asked to disconnect, arriving requests are served, and the other process controls the registration.
    HandedOver,
    /// The listeners close once their backlog is accepted. Arriving requests are rejected.
    Closing,
    /// The kill is near: all outstanding requests were answered, and nothing more is read.
    Finishing,
    /// The process may end.
    Terminated,
}

impl Phase {
    /// Whether `next` may follow directly on this phase.
    pub fn may_become(self, next: Phase) -> bool {
        use Phase::{
            Closing, Draining, Finishing, GoAwaySent, HandedOver, LameDuck, Serving, Starting,
            StartingLameDuck, Terminated,
        };
        match self {
            Starting => matches!(next, StartingLameDuck | Serving | Closing),
            StartingLameDuck => matches!(next, Starting | LameDuck | Closing),
            Serving => matches!(next, LameDuck | Draining | HandedOver),
            LameDuck => matches!(next, Serving | Draining | HandedOver),
            Draining => matches!(next, GoAwaySent | HandedOver),
            GoAwaySent => matches!(next, Closing | HandedOver),
            HandedOver => matches!(next, Finishing | Terminated),
            Closing => matches!(next, Finishing | Terminated),
            Finishing => next == Terminated,
            Terminated => false,
        }
    }
}

/// Durations of a drain, ms, from the settings and the platform.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// Grace period: requests that arrive later than this after the termination notice are rejected.
    pub grace_ms: f64,
    /// Time from the termination notice to the kill.
    pub stop_ms: f64,
    /// Time from the termination notice to the kill if another process has taken over.
    pub handover_stop_ms: f64,
}

/// The work that a draining process still has to finish.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Listening sockets that are open or have a backlog.
    pub listeners: usize,
    /// Client connections that are not closed, including those not yet reported to the core.
    pub connections: usize,
    /// Whether requests are unanswered.
    pub answers_pending: bool,
}

/// The state that the phase publishes outside of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Published {
    /// The answer to health checks.
    pub healthy: bool,
    /// The report to the service registry: none, or whether requests are accepted.
    pub registered: Option<bool>,
}

/// The state machine of one process lifetime.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Phase,
    times: DrainTimes,
    /// Whether the registration follows the health answer.
    registry_follows_health: bool,
    /// The health that the admission controller reports.
    healthy: bool,
    /// Whether the process was in lame duck mode when it was handed over.
    handed_over_as_lame_duck: bool,
    handed_over: bool,
    termination_notice_ms: Option<f64>,
    /// When the final answers were given, Unix ms.
    finishing_ms: f64,
}

impl Lifecycle {
    /// The lifecycle of a process that has just started.
    pub fn new(times: DrainTimes, registry_follows_health: bool) -> Self {
        Lifecycle {
            phase: Phase::Starting,
            times,
            registry_follows_health,
            healthy: false,
            handed_over_as_lame_duck: false,
            handed_over: false,
            termination_notice_ms: None,
            finishing_ms: 0.0,
        }
    }

    /// Replaces the settings. A drain that has begun keeps its initial settings.
    pub fn reconfigure(&mut self, times: DrainTimes, registry_follows_health: bool) {
        if self.termination_notice_ms.is_none() {
            self.times = times;
            self.registry_follows_health = registry_follows_health;
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Moves to `next` if that is legal; returns whether it was.
    fn transition_to(&mut self, next: Phase) -> bool {
        let legal = self.phase.may_become(next);
        if legal {
            self.phase = next;
        }
        legal
    }

    /// Notes that the engine is up. Returns whether the process begins to serve as a result. It does not if
    /// it serves already or if the termination notice came first: all clients that it accepted would have to
    /// disconnect shortly after.
    pub fn engine_up(&mut self) -> bool {
        match self.phase {
            Phase::Starting => self.transition_to(Phase::Serving),
            Phase::StartingLameDuck => self.transition_to(Phase::LameDuck),
            _ => false,
        }
    }

    /// Enters or leaves lame duck mode at an operator's request. Returns whether the request is fulfilled. A
    /// request for the current state succeeds and changes nothing. A draining process cannot return to
    /// service.
    pub fn set_lame_duck(&mut self, enabled: bool) -> bool {
        match (self.phase, enabled) {
            (Phase::Starting, true) => self.transition_to(Phase::StartingLameDuck),
            (Phase::Serving, true) => self.transition_to(Phase::LameDuck),
            (Phase::StartingLameDuck, false) => self.transition_to(Phase::Starting),
            (Phase::LameDuck, false) => self.transition_to(Phase::Serving),
            (phase, true) => phase != Phase::Terminated,
            (phase, false) => phase < Phase::Draining,
        }
    }

    /// Begins the drain at a termination notice that arrived at `notice_ms` (Unix ms). The grace period and
    /// the time to the kill count from then, however late the notice is handled. Returns whether this is the
    /// first notice. A process that never served goes straight to closing, as it has no clients.
    pub fn begin_drain(&mut self, notice_ms: f64) -> bool {
        let first = match self.phase {
            Phase::Starting | Phase::StartingLameDuck => self.transition_to(Phase::Closing),
            Phase::Serving | Phase::LameDuck => self.transition_to(Phase::Draining),
            _ => false,
        };
        if first {
            self.termination_notice_ms = Some(notice_ms);
        }
        first
    }

    /// Notes that another process has taken over and that the termination notice has arrived, at `notice_ms`
    /// (Unix ms). Also legal after [`Lifecycle::begin_drain`]; the time of that notice then counts. Returns
    /// whether the phase changed.
    pub fn mark_handed_over(&mut self, notice_ms: f64) -> bool {
        let was_lame_duck = self.phase == Phase::LameDuck;
        let changed = self.transition_to(Phase::HandedOver);
        if changed {
            self.termination_notice_ms = self.termination_notice_ms.or(Some(notice_ms));
            self.handed_over_as_lame_duck = was_lame_duck;
            self.handed_over = true;
        }
        changed
    }

    /// Sets the health that the admission controller reports.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// The state to publish. It is derived from the phase in one place, so that no event can publish anything
    /// else.
    pub fn published(&self) -> Published {
        match self.phase {
            Phase::Starting | Phase::StartingLameDuck => Published { healthy: false, registered: None },
            Phase::Serving => Published {
                healthy: self.healthy,
                registered: Some(self.healthy || !self.registry_follows_health),
            },
            Phase::HandedOver => {
                Published { healthy: self.healthy && !self.handed_over_as_lame_duck, registered: None }
            }
            Phase::Finishing | Phase::Terminated if self.handed_over => {
                Published { healthy: false, registered: None }
            }
            _ => Published { healthy: false, registered: Some(false) },
        }
    }

    /// When the platform kills the process, Unix ms; `None` before the termination notice.
    pub fn kill_ms(&self) -> Option<f64> {
        self.termination_notice_ms.map(|notice_ms| notice_ms + self.stop_ms())
    }

    fn stop_ms(&self) -> f64 {
        if self.handed_over { self.times.handover_stop_ms } else { self.times.stop_ms }
    }

    /// When the current phase ends by time alone, Unix ms; `None` if it has no time limit.
    pub fn next_deadline_ms(&self) -> Option<f64> {
        let notice_ms = self.termination_notice_ms?;
        let (grace_ms, stop_ms) = (self.times.grace_ms, self.stop_ms());
        match self.phase {
            Phase::Draining => {
                Some(notice_ms + (grace_ms * GO_AWAY_GRACE_FRACTION).min(stop_ms * GO_AWAY_STOP_FRACTION))
            }
            Phase::GoAwaySent => Some(notice_ms + grace_ms.min(stop_ms * CLOSING_STOP_FRACTION)),
            Phase::Closing | Phase::HandedOver => {
                let final_answers_ms = stop_ms - FINAL_ANSWERS_BEFORE_KILL_MS;
                Some(notice_ms + final_answers_ms.max(stop_ms * CLOSING_STOP_FRACTION))
            }
            Phase::Finishing => {
                let exit_ms = notice_ms + stop_ms - EXIT_BEFORE_KILL_MS;
                Some(exit_ms.max(self.finishing_ms + MIN_FINAL_WRITE_MS))
            }
            Phase::Starting
            | Phase::StartingLameDuck
            | Phase::Serving
            | Phase::LameDuck
            | Phase::Terminated => None,
        }
    }

    /// Advances by one phase if its deadline has passed or nothing is outstanding; returns the new phase, if
    /// any.
    pub fn advance(&mut self, now_ms: f64, outstanding: Outstanding) -> Option<Phase> {
        let due = self.next_deadline_ms().is_some_and(|deadline_ms| now_ms >= deadline_ms);
        let done = outstanding == Outstanding::default();
        let next = match self.phase {
            Phase::Draining if due => Phase::GoAwaySent,
            Phase::GoAwaySent if due => Phase::Closing,
            Phase::Closing | Phase::HandedOver | Phase::Finishing if done => Phase::Terminated,
            Phase::Closing | Phase::HandedOver if due => Phase::Finishing,
            Phase::Finishing if due => Phase::Terminated,
            _ => return None,
        };
        if next == Phase::Finishing {
            self.finishing_ms = now_ms;
        }
        self.transition_to(next).then_some(next)
    }
}
