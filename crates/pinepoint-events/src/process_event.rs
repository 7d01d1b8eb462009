//! Events in the life of the process.

use crate::ResourceLimit;

/// What happened to the process.
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
    /// Members that are up, this one and suspected ones included.
    pub up: u32,
    /// Of these, the suspected ones.
    pub suspected: u32,
    /// Members that failed and are still probed.
    pub lost: u32,
    /// Verdicts in force.
    pub verdicts: u32,
    /// Whether the view has converged: it is stable here and equal on all members heard from recently.
    pub settled: bool,
}
