//! The commands of the management port and its error answers, as they are written on the wire.

use crate::server::control::lifecycle::Phase;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether the process can serve.
    Ping,
    /// Asks for the metrics.
    Info,
    /// Enters lame duck mode.
    LameDuck,
    /// Leaves lame duck mode.
    Rejoin,
}

/// Why a command is answered with `-ERR`. The text follows that word in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is not a command.
    #[error("unknown call: PING, INFO, LAMEDUCK or REJOIN")]
    Unknown,
    /// The line is longer than any command.
    #[error("line too long")]
    TooLong,
    /// The connection ended before the end of the line.
    #[error("line without an end")]
    Incomplete,
    /// The process does not serve yet.
    #[error("starting")]
    Starting,
    /// The process is terminating.
    #[error("leaving")]
    Terminating,
}

impl Command {
    /// Parses a line without its line ending; spaces around the command are ignored.
    pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
        match line.trim_ascii() {
            b"PING" => Ok(Command::Ping),
            b"INFO" => Ok(Command::Info),
            b"LAMEDUCK" => Ok(Command::LameDuck),
            b"REJOIN" => Ok(Command::Rejoin),
            _ => Err(CommandError::Unknown),
        }
    }

    /// Whether the command is accepted in this phase.
    pub fn check(self, phase: Phase) -> Result<(), CommandError> {
        match self {
            Command::Info => Ok(()),
            Command::Ping if phase < Phase::Serving => Err(CommandError::Starting),
            Command::Ping if phase >= Phase::Closing => Err(CommandError::Terminating),
            Command::Rejoin if phase >= Phase::Draining => Err(CommandError::Terminating),
            Command::Ping | Command::LameDuck | Command::Rejoin => Ok(()),
        }
    }
}
