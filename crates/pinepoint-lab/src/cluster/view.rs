//! Queries the membership view of a member, and reads its JSON form.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// States in which a member does not take part in the fleet.
const ABSENT_STATES: [&str; 3] = ["left", "lost", "suspected"];

/// Queries the view of the member at this address with the program's own command line. Returns `None` if the
/// member does not answer.
pub(super) fn query(program: &Path, listen: SocketAddr) -> Option<Value> {
    let address = listen.to_string();
    let output = Command::new(program).args(["fleet", "view", "--json", "--at", &address]).output().ok()?;
    serde_json::from_slice(&output.stdout).ok()
}

/// The state of a member in a view.
pub(super) fn member_state<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array()?;
    members.iter().find(|member| member["name"] == name)?["state"].as_str()
}

/// Whether a member in this state takes part in the fleet; a member that the view lacks does not.
pub(super) fn is_present(state: Option<&str>) -> bool {
    state.is_some_and(|state| !ABSENT_STATES.contains(&state))
}

/// Whether a view has a verdict of this kind; if `about` is given, about this member or zone.
pub(super) fn has_verdict(view: &Value, kind: &str, about: Option<&str>) -> bool {
    let verdicts = view["verdicts"].as_array().into_iter().flatten();
    verdicts
        .into_iter()
        .any(|verdict| verdict["kind"] == kind && about.is_none_or(|name| verdict["of"] == name))
}
