//! Why a script of the cluster did not go as written. It owns the texts that a failed test prints.

use std::io;
use std::num::ParseFloatError;
use std::process::ExitStatus;

use serde_json::Value;

/// Why a script did not go as written; its text names the line and, if there is one, the member.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The line of the script in which the error occurred.
    #[error("{line}: {source}")]
    Line {
        /// The line as written.
        line: String,
        /// What went wrong in it.
        source: Box<ScriptError>,
    },
    /// The member for which a check failed.
    #[error("{name}: {source}")]
    Member {
        /// Name of the member in scripts.
        name: String,
        /// What went wrong with it.
        source: Box<ScriptError>,
    },
    /// No member has this name.
    #[error("no member {0}")]
    UnknownMember(String),
    /// The language has no such line.
    #[error("no such line")]
    UnknownStep,
    /// The network has no such fault.
    #[error("no such fault")]
    UnknownFault,
    /// A word that has to be a number is none.
    #[error("{word}: {source}")]
    InvalidNumber {
        /// The word as written.
        word: String,
        /// Why it is none.
        source: ParseFloatError,
    },
    /// The process was not started, or has ended.
    #[error("it does not run")]
    NotRunning,
    /// The process does not answer a query of its view.
    #[error("it does not answer")]
    NoAnswer,
    /// The process ended with a failure when it was told to shut down.
    #[error("it ended with {0}")]
    FailedExit(ExitStatus),
    /// The verdicts of a member, one of which must not be there.
    #[error("{0}")]
    UnexpectedVerdict(Value),
    /// A line of a log that must not be there.
    #[error("{0}")]
    UnexpectedLogLine(String),
    /// The rules that were violated, in words.
    #[error("{}", .0.join("; "))]
    RulesViolated(Vec<String>),
    /// A wait passed its deadline; what was observed last.
    #[error("not so in time: {0}")]
    TimedOut(String),
    /// The operating system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
}
