//! The life of the process from its start to its end, as one type with its legal transitions: when it serves, when its
//! callers are told to go, when its doors shut, and when it may end. It owns what is published of that; it must never
//! do I/O, read a clock, or decide about a request.

/// Part of the grace, and of the time to the kill at most, in which one that leaves goes on taking work. Callers hear of
/// the next comparer seconds late: sent away at once, they would crowd the others while this one stands idle.
const WORK_PART: f64 = 0.8;
const WORK_STOP_PART: f64 = 0.6;
/// Part of the time to the kill after which the doors shut, however long the grace.
const CLOSE_STOP_PART: f64 = 0.8;
/// Before the kill, ms: all that is left is answered, and the process ends. Between the two answers are written, and what
/// callers still send is read and thrown away, so that no reset takes an answer along.
const LAST_ANSWERS_MS: f64 = 200.0;
const EXIT_MS: f64 = 60.0;
/// Least time between the two, ms: a process that stood still until the kill was near, or past it, still writes what it
/// has answered. It lives on only until the kill comes.
const WRITE_LEAST_MS: f64 = 100.0;

/// Where the process stands. The order is that of its life; none comes back, but for a drain that operators end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The engine is not up yet: nothing runs, and nobody is told that it would.
    #[default]
    Starting,
    /// The same, and an operator asked for a drain.
    StartingLameDuck,
    /// Work is taken.
    Serving,
    /// An operator asked for a drain: health checks fail, and what still comes is served.
    LameDuck,
    /// The notice to leave has come. What still comes is served.
    Draining,
    /// Callers are told to go.
    GoAwaySent,
    /// Another process of this server has taken over, and the notice has come: callers are told to go, what still comes
    /// is served, and the list is that process's business.
    HandedOver,
    /// The doors shut behind those who stand before them. What comes now is turned away.
    Closing,
    /// All that is left was answered, as the kill is near: nothing more is taken in.
    Finishing,
    /// The process may end.
    Terminated,
}

impl Phase {
    /// Whether the one may follow on the other.
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

/// What the settings and the platform say of a drain, ms.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// What reached the machine later than this after the notice is not run.
    pub grace_ms: f64,
    /// From the notice to the kill.
    pub stop_ms: f64,
    /// The same where another process has taken over.
    pub handover_stop_ms: f64,
}

/// What is left of the work of a process that leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Listening sockets that are open, or that someone stands before.
    pub listeners: usize,
    /// Connections of callers that are not closed, whether the core has heard of them or not.
    pub connections: usize,
    /// Answers that are owed.
    pub owed: bool,
}

/// What is told outside of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Published {
    /// The answer to health checks.
    pub healthy: bool,
    /// The report to the membership service: none, or whether work is taken.
    pub listed: Option<bool>,
}

/// The life of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Phase,
    times: DrainTimes,
    /// The list of comparers follows the health answer.
    registry_follows_health: bool,
    /// What the decision module says of its health.
    healthy: bool,
    /// It was drained when it was handed over.
    drained: bool,
    handed_over: bool,
    notice_ms: Option<f64>,
    /// When the last answers were given, ms.
    finishing_ms: f64,
}

impl Lifecycle {
    /// A process that has just started.
    pub fn new(times: DrainTimes, registry_follows_health: bool) -> Self {
        Lifecycle {
            phase: Phase::Starting,
            times,
            registry_follows_health,
            healthy: false,
            drained: false,
            handed_over: false,
            notice_ms: None,
            finishing_ms: 0.0,
        }
    }

    /// Takes other times, and whether the list follows the health answer. A drain that has begun keeps its own.
    pub fn reconfigure(&mut self, times: DrainTimes, registry_follows_health: bool) {
        if self.notice_ms.is_none() {
            self.times = times;
            self.registry_follows_health = registry_follows_health;
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn transition_to(&mut self, next: Phase) -> bool {
        let may = self.phase.may_become(next);
        if may {
            self.phase = next;
        }
        may
    }

    /// The engine is up. Tells whether the process begins to serve by that: not if it serves already, nor if it was told
    /// to leave before, as all that it would take would have to go in a moment.
    pub fn engine_up(&mut self) -> bool {
        match self.phase {
            Phase::Starting => self.transition_to(Phase::Serving),
            Phase::StartingLameDuck => self.transition_to(Phase::LameDuck),
            _ => false,
        }
    }

    /// An operator's wish for a drain, or for its end. Tells whether the process is in that state now: a wish for the
    /// state that it is in changes nothing, and one that leaves can't be taken into service again.
    pub fn set_drained(&mut self, drained: bool) -> bool {
        match (self.phase, drained) {
            (Phase::Starting, true) => self.transition_to(Phase::StartingLameDuck),
            (Phase::Serving, true) => self.transition_to(Phase::LameDuck),
            (Phase::StartingLameDuck, false) => self.transition_to(Phase::Starting),
            (Phase::LameDuck, false) => self.transition_to(Phase::Serving),
            (phase, true) => phase != Phase::Terminated,
            (phase, false) => phase < Phase::Draining,
        }
    }

    /// The notice to leave, with the time at which it came: the grace and the kill count from there, however late it is
    /// taken. Tells whether it is the first. One that never served has nobody to wait for.
    pub fn notice(&mut self, at_ms: f64) -> bool {
        let first = match self.phase {
            Phase::Starting | Phase::StartingLameDuck => self.transition_to(Phase::Closing),
            Phase::Serving | Phase::LameDuck => self.transition_to(Phase::Draining),
            _ => false,
        };
        if first {
            self.notice_ms = Some(at_ms);
        }
        first
    }

    /// The notice to leave, which came at this time, where another process has taken over: also when that turns out after
    /// the notice. Tells whether anything follows from it.
    pub fn hand_over(&mut self, at_ms: f64) -> bool {
        let drained = self.phase == Phase::LameDuck;
        let first = self.transition_to(Phase::HandedOver);
        if first {
            self.notice_ms = self.notice_ms.or(Some(at_ms));
            (self.drained, self.handed_over) = (drained, true);
        }
        first
    }

    /// What the decision module says of its health.
    pub fn set_healthy(&mut self, good: bool) {
        self.healthy = good;
    }

    /// What follows from where the process stands; no event sets it past that.
    pub fn published(&self) -> Published {
        match self.phase {
            Phase::Starting | Phase::StartingLameDuck => Published { healthy: false, listed: None },
            Phase::Serving => Published {
                healthy: self.healthy,
                listed: Some(self.healthy || !self.registry_follows_health),
            },
            Phase::HandedOver => Published { healthy: self.healthy && !self.drained, listed: None },
            Phase::Finishing | Phase::Terminated if self.handed_over => {
                Published { healthy: false, listed: None }
            }
            _ => Published { healthy: false, listed: Some(false) },
        }
    }

    /// When the kill comes, if the notice has; ms.
    pub fn kill_ms(&self) -> Option<f64> {
        self.notice_ms.map(|since| since + self.stop_ms())
    }

    fn stop_ms(&self) -> f64 {
        if self.handed_over { self.times.handover_stop_ms } else { self.times.stop_ms }
    }

    /// When the phase ends by time alone, ms.
    pub fn next_due(&self) -> Option<f64> {
        let since = self.notice_ms?;
        let (grace_ms, stop_ms) = (self.times.grace_ms, self.stop_ms());
        match self.phase {
            Phase::Draining => Some(since + (grace_ms * WORK_PART).min(stop_ms * WORK_STOP_PART)),
            Phase::GoAwaySent => Some(since + grace_ms.min(stop_ms * CLOSE_STOP_PART)),
            Phase::Closing | Phase::HandedOver => {
                Some(since + (stop_ms - LAST_ANSWERS_MS).max(stop_ms * CLOSE_STOP_PART))
            }
            Phase::Finishing => Some((since + stop_ms - EXIT_MS).max(self.finishing_ms + WRITE_LEAST_MS)),
            Phase::Starting
            | Phase::StartingLameDuck
            | Phase::Serving
            | Phase::LameDuck
            | Phase::Terminated => None,
        }
    }

    /// Moves on by one phase, if the time has come for it or nothing is left; tells the new one.
    pub fn advance(&mut self, now_ms: f64, left: Outstanding) -> Option<Phase> {
        let due = self.next_due().is_some_and(|at| now_ms >= at);
        let done = left == Outstanding::default();
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
