//! What a member answers to a query of its view, read as JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// States of a member that do not take part.
const ABSENT_STATES: [&str; 3] = ["left", "lost", "suspected"];

/// Queries the view of the member that listens there, by the program's own command line; nothing if it does not answer.
pub(super) fn query(program: &Path, listen: SocketAddr) -> Option<Value> {
    let at = listen.to_string();
    let output = Command::new(program).args(["fleet", "view", "--json", "--at", &at]).output().ok()?;
    serde_json::from_slice(&output.stdout).ok()
}

/// The state of a member in a view.
pub(super) fn member_state<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array()?;
    members.iter().find(|member| member["name"] == name)?["state"].as_str()
}

/// Whether a member's state in a view is that of one that takes part.
pub(super) fn is_present(state: Option<&str>) -> bool {
    state.is_some_and(|state| !ABSENT_STATES.contains(&state))
}

/// Whether a view has a verdict of this kind, about anybody or about this member.
pub(super) fn has_verdict(view: &Value, kind: &str, about: Option<&str>) -> bool {
    let verdicts = view["verdicts"].as_array().into_iter().flatten();
    verdicts
        .into_iter()
        .any(|verdict| verdict["kind"] == kind && about.is_none_or(|name| verdict["of"] == name))
}
