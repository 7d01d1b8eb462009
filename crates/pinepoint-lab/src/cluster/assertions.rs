//! What a script expects of the cluster: waits for views, logs and routers, and the rules that no run may violate. It
//! observes only; it changes nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::view::{has_verdict, is_present, member_state};
use super::{Cluster, ScriptError};
use crate::routers::RouterStats;

/// How long a condition is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// End of the bodies of requests that carry an idempotency key.
const KEYED_SUFFIX: &str = " keyed";

impl Cluster {
    /// The rules that were violated so far, in words: a second answer to one attempt, no answer by its time on a connection
    /// that lives, `Busy` told of a key that has run, a key that was run twice, a crash of the store, a process that ended by
    /// itself.
    pub fn violations(&mut self) -> Vec<String> {
        let mut violations = self.routers.stats().violations.clone();
        violations.extend(self.repeated_runs());
        let crashes = self.store.state().crashes;
        if crashes > 0 {
            violations.push(format!("the store fell {crashes} times"));
        }
        for member in &mut self.members {
            if let Some(status) = member.unexpected_exit() {
                violations.push(format!("{} ended by itself: {status}", member.name));
            }
        }
        violations
    }

    /// Bodies with an idempotency key that the engines began more than once.
    fn repeated_runs(&self) -> Vec<String> {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for member in &self.members {
            for (body, count) in &member.engine.state().started {
                *runs.entry(body.clone()).or_default() += count;
            }
        }
        // The body of a request is the same in all its attempts, and no other request has it.
        let repeated = runs.iter().filter(|(body, count)| **count > 1 && body.ends_with(KEYED_SUFFIX));
        repeated.map(|(body, count)| format!("{body} was run {count} times")).collect()
    }

    /// Polls until there is no problem any more; fails with the last one if that does not come in time.
    pub(super) fn wait_until_resolved(
        &self,
        problem: impl Fn() -> Option<String>,
    ) -> Result<(), ScriptError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let Some(why) = problem() else { return Ok(()) };
            if Instant::now() >= deadline {
                return Err(ScriptError::TimedOut(why));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the statistics of the routers fulfil a condition.
    pub(super) fn await_routers(&self, condition: impl Fn(&RouterStats) -> bool) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| {
            let stats = self.routers.stats();
            (!condition(&stats)).then(|| format!("{:?}", stats.all()))
        })
    }

    /// Waits until the view of a member fulfils a condition.
    pub(super) fn await_view(
        &self,
        member: usize,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| match self.view(member) {
            Some(view) if condition(&view) => None,
            view => Some(format!("it holds {}", view.unwrap_or(Value::Null))),
        })
    }

    /// Waits until every running member has a settled view, the same, and true.
    pub(super) fn await_settled(&self) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| self.unsettled_reason())
    }

    /// Waits until the log of a member has a line that matches the pattern.
    pub(super) fn await_log(&self, member: usize, pattern: &str) -> Result<(), ScriptError> {
        self.wait_until_resolved(|| {
            let found = self.members[member].find_in_log(pattern);
            found.is_none().then(|| "its log never said so".to_owned())
        })
    }

    /// Fails if a member has such a verdict now.
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

    /// What is not settled, not the same or not true in the views, if anything.
    fn unsettled_reason(&self) -> Option<String> {
        let mut digest: Option<Value> = None;
        for (at, member) in self.members.iter().enumerate().filter(|(_, member)| member.is_running()) {
            let name = &member.name;
            let Some(view) = self.view(at) else { return Some(format!("{name} does not answer")) };
            if view["settled"] != true {
                return Some(format!("{name} is not settled: {view}"));
            }
            if digest.get_or_insert_with(|| view["digest"].clone()) != &view["digest"] {
                return Some(format!("{name} holds another view: {view}"));
            }
            if let Some(mistake) = self.mistaken_state(&view) {
                return Some(format!("{name} holds {mistake}"));
            }
        }
        None
    }

    /// A member whose state in the view is not its real one, with that state.
    fn mistaken_state(&self, view: &Value) -> Option<String> {
        self.members.iter().find_map(|member| {
            let state = member_state(view, &member.name);
            (is_present(state) != member.is_running()).then(|| format!("{} {state:?}", member.name))
        })
    }
}
