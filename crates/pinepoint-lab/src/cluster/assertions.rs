//! Expectations of a script: waits for views, logs and routers, and the rules that no run may violate. This
//! module observes the cluster and changes nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::view::{has_verdict, is_present, member_state};
use super::{Cluster, ScriptError};
use crate::routers::RouterStats;

/// Deadline of a wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// End of the bodies of requests that carry an idempotency key.
const KEYED_SUFFIX: &str = " keyed";

impl Cluster {
    /// Descriptions of all violations so far. Violations are: a second answer to one attempt; no answer by
    /// the deadline on an open connection; `Busy` sent for an idempotency key that has run; an idempotency
    /// key that was run twice; a crash of the store; a process that exited although no script ended it.
    pub fn violations(&mut self) -> Vec<String> {
        let mut violations = self.routers.stats().violations.clone();
        violations.extend(self.repeated_runs());
        let crashes = self.store.state().crashes;
        if crashes > 0 {
            violations.push(format!("the store crashed {crashes} times"));
        }
        for member in &mut self.members {
            if let Some(status) = member.unexpected_exit() {
                violations.push(format!("{} exited unexpectedly: {status}", member.name));
            }
        }
        violations
    }

    /// Requests with an idempotency key that the engines started more than once.
    fn repeated_runs(&self) -> Vec<String> {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for member in &self.members {
            for (body, count) in &member.engine.state().started {
                *runs.entry(body.clone()).or_default() += count;
            }
        }
        // All attempts of a request have the same body, and no other request has it.
        let repeated = runs.iter().filter(|(body, count)| **count > 1 && body.ends_with(KEYED_SUFFIX));
        repeated.map(|(body, count)| format!("{body} was run {count} times")).collect()
    }

    /// Polls until `problem` returns `None`; fails with the last problem if the deadline passes first.
    pub(super) fn wait_until_resolved(
        &self,
        problem: impl Fn() -> Option<String>,
    ) -> Result<(), ScriptError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let Some(last_problem) = problem() else { return Ok(()) };
            if Instant::now() >= deadline {
                return Err(ScriptError::TimedOut(last_problem));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the statistics of the routers meet a condition.
    pub(super) fn await_routers(&self, condition: impl Fn(&RouterStats) -> bool) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| {
            let stats = self.routers.stats();
            (!condition(&stats)).then(|| format!("the routers counted {:?}", stats.all()))
        })
    }

    /// Waits until the view of a member meets a condition.
    pub(super) fn await_view(
        &self,
        member: usize,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| match self.view(member) {
            Some(view) if condition(&view) => None,
            view => Some(format!("its view is {}", view.unwrap_or(Value::Null))),
        })
    }

    /// Waits until every running member has a settled view, and the views are equal and match the real
    /// states.
    pub(super) fn await_settled(&self) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| self.unsettled_reason())
    }

    /// Waits until the log of a member has a line that matches the pattern.
    pub(super) fn await_log(&self, member: usize, pattern: &str) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| {
            let found = self.members[member].find_in_log(pattern);
            found.is_none().then(|| "no line of its log matches the pattern".to_owned())
        })
    }

    /// Fails if the view of a member has a verdict of this kind now.
    pub(super) fn check_no_verdict(&self, member: usize, kind: &str) -> Result<(), ScriptError> {
        let view = self.view(member).ok_or(ScriptError::NoAnswer)?;
        if has_verdict(&view, kind, None) {
            return Err(ScriptError::UnexpectedVerdict(view["verdicts"].clone()));
        }
        Ok(())
    }

    /// Fails if the log of a member has a line that matches the pattern.
    pub(super) fn check_not_logged(&self, member: usize, pattern: &str) -> Result<(), ScriptError> {
        match self.members[member].find_in_log(pattern) {
            Some(line) => Err(ScriptError::UnexpectedLogLine(line)),
            None => Ok(()),
        }
    }

    /// The first view that is missing, not settled, different from the others or contrary to the real states,
    /// if any.
    fn unsettled_reason(&self) -> Option<String> {
        let mut digest: Option<Value> = None;
        for (index, member) in self.members.iter().enumerate().filter(|(_, member)| member.is_running()) {
            let name = &member.name;
            let Some(view) = self.view(index) else { return Some(format!("{name} returns no view")) };
            if view["settled"] != true {
                return Some(format!("the view of {name} is not settled: {view}"));
            }
            if digest.get_or_insert_with(|| view["digest"].clone()) != &view["digest"] {
                return Some(format!(
                    "the view of {name} differs from that of the first running member: {view}"
                ));
            }
            if let Some(contradiction) = self.contradicted_state(&view) {
                return Some(format!(
                    "the view of {name} contradicts the real states: it has {contradiction}"
                ));
            }
        }
        None
    }

    /// A member whose state in the view contradicts whether it runs, with that state.
    fn contradicted_state(&self, view: &Value) -> Option<String> {
        self.members.iter().find_map(|member| {
            let state = member_state(view, &member.name);
            (is_present(state) != member.is_running()).then(|| format!("{} in state {state:?}", member.name))
        })
    }
}
