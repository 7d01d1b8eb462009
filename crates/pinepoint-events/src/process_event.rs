//! Events of the process.

use crate::ResourceLimit;

/// An event of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The engine is up and the admission controller was created.
    Started {
        /// Whether the machine was started cold, so that the engine has to warm up.
        cold: bool,
    },
    /// A graceful shutdown was requested.
    Draining {
        /// When the process will be killed, Unix ms.
        kill_ms: f64,
    },
    /// Every request is answered, and the process is about to exit.
    Stopped,
    /// A resource limit was reached.
    LimitReached(ResourceLimit),
    /// The membership view changed.
    MembershipChanged(MembershipSummary),
}

/// The membership view in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipSummary {
    /// Members that are up, including this member and suspected members.
    pub up: u32,
    /// Suspected members, which also count as up.
    pub suspected: u32,
    /// Lost members, which are still pinged now and then.
    pub lost: u32,
    /// Active verdicts.
    pub verdicts: u32,
    /// Whether the view has converged: it is stable on this member and equal on all members from which a
    /// message was received recently.
    pub settled: bool,
}
