//! What has to hold of the simulated processes.

use pinepoint::server::control::lifecycle::Phase as LifecyclePhase;
use pinepoint::server::core::api::RunResult;

use super::process::Run;
use super::site::WINDOW_MS;
use super::{RequestName, Simulation};

/// How long the answer to a request may come after its deadline or, if that is later, its reading, ms: the slack of the
/// rules and two intervals of the core's watchdog.
const ANSWER_SLACK_MS: f64 = 200.0;
/// Added to the deduplication window of a key, as by the core.
const WINDOW_MARGIN_MS: f64 = 1.0;

impl Simulation {
    /// Records the runs that were started: no key runs twice within its window, on whichever engine.
    pub(super) fn record_runs(&mut self, index: usize) {
        let begun: Vec<String> = {
            let process = &mut self.processes[index];
            let runs = process.recorded.runs.borrow();
            let begun = runs[process.runs_seen..].to_vec();
            process.runs_seen = runs.len();
            begun
        };
        for attempt_id in begun {
            // Whatever the class of its attempts: the idempotency key identifies the request.
            let RequestName { key, arrived_ms } = &self.names[&attempt_id];
            let (key, arrived_ms) = (key.clone(), *arrived_ms);
            if key.is_some() {
                let same = self.runs.iter().filter(|run| run.key == key && !run.never_ran);
                for earlier in same {
                    assert!(
                        arrived_ms >= earlier.until_ms,
                        "key {key:?} runs as {attempt_id} in process {index} at {}, arrived {arrived_ms}, and ran as {earlier:?}, \
                         arrived {}",
                        self.now,
                        earlier.arrived_ms
                    );
                }
            }
            let until_ms = arrived_ms + WINDOW_MS + WINDOW_MARGIN_MS;
            self.runs.push(Run {
                process: index,
                attempt_id,
                over: false,
                key,
                arrived_ms,
                until_ms,
                never_ran: false,
            });
        }
    }

    /// What has to hold of a process after each batch.
    pub(super) fn check(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let (state, handover) = (process.core.state(), process.core.handover_state(now));
        for class in 0..process.site.settings.classes.len() {
            let counted = process.counters.class(class).open();
            let open = state.open[class] + handover.waiting[class];
            assert_eq!(counted, open, "open requests of class {class} of process {index} at {now}");
        }
        for request in &process.received {
            let answers = process.answers(request).len();
            assert!(answers <= 1, "{} answered {answers} times by process {index}", request.correlation_id);
            let late = now > request.deadline_ms.max(request.read_ms) + ANSWER_SLACK_MS;
            assert!(
                answers == 1 || request.cancelled || !late,
                "{} of process {index}, due at {}, read at {}, is not answered at {now}",
                request.correlation_id,
                request.deadline_ms,
                request.read_ms
            );
        }
    }

    /// Ends all runs, and checks what has to hold once nothing is in flight.
    pub fn finish_and_check(&mut self) {
        self.delay_ms = 1.0;
        for _ in 0..400 {
            if !self.runs.iter().any(|run| !run.over && self.processes[run.process].alive) {
                break;
            }
            self.end_run(0, RunResult::Complete([1].as_slice().into()));
        }
        self.pass(3000.0);
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if !process.alive {
                continue;
            }
            let state = process.core.handover_state(self.now);
            assert_eq!(state.remote_attempts, 0, "remote tries of process {index} once all runs are over");
            assert_eq!(state.waiting.iter().sum::<u64>(), 0, "claims of process {index} once all is quiet");
        }
        self.check_lists();
        self.check_drains();
    }

    /// If a server was handed over without a fault, the new process alone reports to the membership service.
    fn check_lists(&self) {
        let [old, new] = &self.processes[..] else { return };
        let handed_over = old.had_successor_at_notice && self.crashes == 0 && self.cuts == 0;
        if !handed_over || !self.serves(1) {
            return;
        }
        assert_eq!(old.status.registered.get(), None, "the old process says nothing any more");
        let drained = self.life(1) == LifecyclePhase::LameDuck;
        assert_eq!(new.status.registered.get(), Some(!drained));
    }

    fn check_drains(&self) {
        if self.processes.len() == 2 && self.serves(0) && self.serves(1) && self.is_linked(0, 1) {
            assert_eq!(self.life(0), self.life(1), "both are drained or neither is");
        }
    }
}
