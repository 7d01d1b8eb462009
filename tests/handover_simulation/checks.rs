//! The invariants of the simulated processes.

use pinepoint::server::control::lifecycle::Phase as LifecyclePhase;
use pinepoint::server::core::api::RunResult;

use super::process::Run;
use super::site::WINDOW_MS;
use super::{RequestIdentity, Simulation};

/// Longest delay of an answer after the deadline of its request or, if that is later, after its reading, ms:
/// the answer slack of the rules and two intervals of the core's watchdog.
const ANSWER_SLACK_MS: f64 = 200.0;
/// Added to the deduplication window of a key, as the core does.
const WINDOW_MARGIN_MS: f64 = 1.0;

impl Simulation {
    /// Records the runs that were started, and checks that no key runs twice within its window on any engine.
    pub(super) fn record_runs(&mut self, index: usize) {
        let started: Vec<String> = {
            let process = &mut self.processes[index];
            let runs = process.recorded.runs.borrow();
            let started = runs[process.runs_seen..].to_vec();
            process.runs_seen = runs.len();
            started
        };
        for attempt_id in started {
            // The idempotency key identifies the request, whatever the class of its attempts.
            let RequestIdentity { key, arrived_ms } = &self.identities[&attempt_id];
            let (key, arrived_ms) = (key.clone(), *arrived_ms);
            if key.is_some() {
                let earlier_runs = self.runs.iter().filter(|run| run.key == key && !run.never_ran);
                for earlier in earlier_runs {
                    assert!(
                        arrived_ms >= earlier.until_ms,
                        "key {key:?} runs twice: as {attempt_id} in process {index} at {}, \
                         arrived {arrived_ms}, and before as {earlier:?}, arrived {}",
                        self.now,
                        earlier.arrived_ms
                    );
                }
            }
            let until_ms = arrived_ms + WINDOW_MS + WINDOW_MARGIN_MS;
            self.runs.push(Run {
                process: index,
                attempt_id,
                ended: false,
                key,
                arrived_ms,
                until_ms,
                never_ran: false,
            });
        }
    }

    /// Checks the invariants of a process after a batch.
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
            assert!(
                answers <= 1,
                "request {} answered {answers} times by process {index}",
                request.correlation_id
            );
            let late = now > request.deadline_ms.max(request.read_ms) + ANSWER_SLACK_MS;
            assert!(
                answers == 1 || request.cancelled || !late,
                "request {} of process {index}, with deadline {}, read at {}, is not answered at {now}",
                request.correlation_id,
                request.deadline_ms,
                request.read_ms
            );
        }
    }

    /// Ends all runs, and checks the invariants that hold once nothing is in flight.
    pub fn finish_and_check(&mut self) {
        self.delay_ms = 1.0;
        for _ in 0..400 {
            if !self.runs.iter().any(|run| !run.ended && self.processes[run.process].alive) {
                break;
            }
            self.end_run(0, RunResult::Complete([1].as_slice().into()));
        }
        self.advance(3000.0);
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if !process.alive {
                continue;
            }
            let state = process.core.handover_state(self.now);
            assert_eq!(state.remote_attempts, 0, "remote attempts of process {index} after all runs ended");
            assert_eq!(
                state.waiting.iter().sum::<u64>(),
                0,
                "waiting claims of process {index} after all runs ended"
            );
        }
        self.check_registration();
        self.check_lame_duck();
    }

    /// Checks that after a handover without a fault only the successor reports to the service registry.
    fn check_registration(&self) {
        let [predecessor, successor] = &self.processes[..] else { return };
        let handed_over = predecessor.had_successor_at_notice && self.crashes == 0 && self.cuts == 0;
        if !handed_over || !self.serves(1) {
            return;
        }
        assert_eq!(
            predecessor.status.registered.get(),
            None,
            "the predecessor no longer reports to the registry"
        );
        let drained = self.phase(1) == LifecyclePhase::LameDuck;
        assert_eq!(successor.status.registered.get(), Some(!drained));
    }

    fn check_lame_duck(&self) {
        if self.processes.len() == 2 && self.serves(0) && self.serves(1) && self.is_linked(0, 1) {
            assert_eq!(self.phase(0), self.phase(1), "linked processes have to be in the same phase");
        }
    }
}
