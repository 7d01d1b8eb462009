//! Errors of the steps of a cluster script. This module owns the texts that a failed test prints.

use std::io;
use std::num::ParseFloatError;
use std::process::ExitStatus;

use serde_json::Value;

/// A failed step of a script; its text names the line and, if the step checks members, the member.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// A step failed; the error with the line of the script.
    #[error("{line}: {source}")]
    Line {
        /// The line as written.
        line: String,
        /// Why the step failed.
        source: Box<ScriptError>,
    },
    /// A check of one member failed; the error with the name of the member.
    #[error("{name}: {source}")]
    Member {
        /// Name of the member in scripts.
        name: String,
        /// Why the check failed.
        source: Box<ScriptError>,
    },
    /// No member has this name.
    #[error("no member is named {0:?}: members are n1, n2 and so on")]
    UnknownMember(String),
    /// The language has no such step.
    #[error("unknown step: the table of pinepoint_lab::cluster lists all steps")]
    UnknownStep,
    /// The network has no such fault.
    #[error(
        "unknown network fault: a step of net is one of heal, loss SHARE, twice SHARE, delay MS, deaf NAME SHARE, \
         cut FROM TO, part NAMES, part zone ZONE"
    )]
    UnknownFault,
    /// A word that has to be a number cannot be parsed.
    #[error("{word:?} is not a number: {source}")]
    InvalidNumber {
        /// The word as written.
        word: String,
        /// Why it cannot be parsed.
        source: ParseFloatError,
    },
    /// The process was not started, or has ended.
    #[error("the process does not run: it was not started, or it has ended")]
    NotRunning,
    /// The process does not answer a query of its view.
    #[error("the process does not answer a query of its view")]
    NoAnswer,
    /// The process ended with a failure after SIGTERM.
    #[error("the process has to exit with status 0 after SIGTERM; it ended with {0}")]
    FailedExit(ExitStatus),
    /// The verdicts of a member, one of which is not allowed.
    #[error("the process has a verdict that must not be there; its verdicts are {0}")]
    UnexpectedVerdict(Value),
    /// A line of a log that is not allowed.
    #[error("the log has a line that must not be there: {0}")]
    UnexpectedLogLine(String),
    /// Descriptions of the violations of the rules.
    #[error("rules were violated: {}", .0.join("; "))]
    RulesViolated(Vec<String>),
    /// The deadline of a wait passed; the last observation.
    #[error("the awaited state was not reached in time; observed last: {0}")]
    TimedOut(String),
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}
