//! The core: the one task that owns the admission controller, the tables of requests, attempts and keys, the
//! timers and the lifecycle of the process.
//!
//! Frontends and upstream links reach it through its queue only, as [`api::CoreInput`]. It answers through
//! the writer queue of each caller, and acts through the traits of [`api`]. It knows no wire format, waits
//! for no socket, and leaves every decision to the admission controller. The core itself makes sure that each
//! request that was read gets exactly one answer and that no idempotency key runs twice.
//!
//! Inputs are processed in batches: all inputs of one instant are handled one by one ([`Core::handle`]), then
//! the controller decides on all of them at once and its actions are executed ([`Core::process_batch`]).

use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{Observer, ProcessEvent};

mod actions;
mod answers;
pub mod api;
mod arrivals;
mod callers;
mod calls;
mod drain;
mod duplicates;
mod engine;
mod events;
mod handover;
mod inputs;
pub mod keys;
mod reconfigure;
pub mod requests;
mod runs;
mod timers;
mod watchdog;

use self::actions::Batch;
use self::engine::EngineConnection;
use self::handover::Handover;
pub use self::handover::{HandoverDependencies, HandoverState, longest_dedup_window_ms};
use self::timers::Timers;
use self::watchdog::Watchdog;
use crate::admission::{AdmissionController, Class};
use crate::config::site::Site;
use crate::server::control::lifecycle::{Lifecycle, Phase as LifecyclePhase};
use crate::server::control::status::Status;
use crate::server::core::api::{Caller, CoreInput, Engine, OpenSockets, Store};
use crate::server::core::keys::KeyTable;
use crate::server::core::requests::RequestTable;
use crate::server::observability::counters::Counters;

/// Share of the process memory that retained results may use. A result past this share is dropped: its
/// duplicates fail, and still never run.
const RESULT_MEMORY_SHARE: f64 = 0.25;

/// Everything that the core needs from the rest of the process.
pub struct CoreDependencies {
    /// Settings and names.
    pub site: Rc<Site>,
    /// Seed of the controller's random numbers.
    pub seed: u64,
    /// Time from the termination notice to the kill, ms.
    pub stop_ms: f64,
    /// Memory limit of the process, MB.
    pub memory_mb: f64,
    /// The clock.
    pub clock: Clock,
    /// State that the core publishes to the other parts of the process.
    pub status: Rc<Status>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Receives the events of requests and of the process.
    pub observer: Rc<dyn Observer>,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The open listening sockets and connections.
    pub open_sockets: Rc<dyn OpenSockets>,
    /// Dependencies of a handover between two processes of this server; without them there is no handover.
    pub handover: Option<HandoverDependencies>,
}

/// The core. [`Core::run`] is its task; the other methods are the steps of that task.
pub struct Core {
    dependencies: CoreDependencies,
    lifecycle: Lifecycle,
    /// Created when the engine first reports how the machine started; until then nothing runs.
    controller: Option<AdmissionController>,
    callers: BTreeMap<u64, Rc<dyn Caller>>,
    /// Connections of callers are closed after carrying nothing for this long, ms.
    caller_idle_timeout_ms: Option<f64>,
    requests: RequestTable,
    keys: KeyTable,
    /// Time of the current batch, Unix ms.
    now_ms: f64,
    batch: Batch,
    engine: EngineConnection,
    timers: Timers,
    watchdog: Watchdog,
    handover: Option<Handover>,
}

impl Core {
    /// A core without an admission controller, which is created when the engine is first attached.
    pub fn new(mut dependencies: CoreDependencies) -> Self {
        let times = drain::drain_times(&dependencies.site, dependencies.stop_ms);
        let handover = dependencies.handover.take().map(Handover::new);
        Core {
            lifecycle: Lifecycle::new(times, dependencies.site.registry_follows_health),
            controller: None,
            callers: BTreeMap::new(),
            caller_idle_timeout_ms: None,
            requests: RequestTable::default(),
            keys: KeyTable::new(max_result_bytes(dependencies.memory_mb)),
            now_ms: 0.0,
            batch: Batch::default(),
            engine: EngineConnection::default(),
            timers: Timers::default(),
            watchdog: Watchdog::default(),
            handover,
            dependencies,
        }
    }

    /// Serves until the process has drained. Each iteration handles all queued inputs, processes them as one
    /// batch, and sleeps. Returns the time at which the process will be killed, Unix ms.
    pub async fn run(mut self, queue: Receiver<CoreInput>) -> f64 {
        loop {
            let first = self.next_input(&queue).await;
            let now_ms = self.dependencies.clock.now();
            self.handle_notices(now_ms);
            self.handle_peer_events(now_ms);
            if let Some(input) = first {
                self.handle(now_ms, input);
            }
            while let Ok(input) = queue.try_recv() {
                self.handle(now_ms, input);
            }
            self.process_batch(now_ms);
            if self.lifecycle.phase() == LifecyclePhase::Terminated {
                self.dependencies.observer.core_state(now_ms, &self.state());
                self.emit_process_event(ProcessEvent::Stopped);
                return self.lifecycle.kill_ms().unwrap_or(f64::INFINITY);
            }
            // A timer that is due again at once must not starve the other tasks of the executor.
            future::yield_now().await;
        }
    }

    /// Waits for an input, a notice or the next due time, and returns the input if that came first.
    async fn next_input(&self, queue: &Receiver<CoreInput>) -> Option<CoreInput> {
        let input = async { queue.recv().await.ok() };
        let notice = async {
            self.dependencies.status.core_wakeup.wait().await;
            None
        };
        let due_ms = self.next_due();
        let timer = async {
            match due_ms {
                Some(due_ms) => self.dependencies.clock.until(due_ms).await,
                None => future::pending().await,
            }
            None
        };
        future::or(input, future::or(notice, timer)).await
    }

    /// Handles requests of an operator or the platform, which come through [`Status`] instead of the queue.
    fn handle_notices(&mut self, now_ms: f64) {
        let status = self.dependencies.status.clone();
        if let Some(notice_ms) = status.termination_notice_ms.take() {
            self.start_drain(now_ms, notice_ms);
        }
        if let Some(drained) = status.lame_duck_request.take() {
            self.set_lame_duck(now_ms, drained);
        }
    }

    /// The current phase of the process lifecycle.
    pub fn phase(&self) -> LifecyclePhase {
        self.lifecycle.phase()
    }

    /// When the core has to act next even if no input comes, Unix ms.
    pub fn next_due(&self) -> Option<f64> {
        let is_idle = self.requests.is_empty() && self.phase() < LifecyclePhase::Draining;
        let watchdog = (!is_idle).then(|| self.watchdog.next_due());
        self.timers
            .next_due()
            .into_iter()
            .chain(watchdog)
            .chain(self.lifecycle.next_deadline_ms())
            .chain(self.handover_due())
            .min_by(f64::total_cmp)
    }

    /// Settings of the class with this index.
    fn class(&self, class: usize) -> &Class {
        &self.dependencies.site.settings.classes[class]
    }
}

/// Bytes that retained results may take in a process with this much memory.
fn max_result_bytes(memory_mb: f64) -> f64 {
    RESULT_MEMORY_SHARE * memory_mb * 1_048_576.0
}
