//! Why the program does not start to serve, and with which exit status it ends then.

use std::fmt;
use std::io;
use std::process::ExitCode;

use crate::edge_config::FileError;

/// Exit status for a command line or a file that cannot be used.
pub const UNUSABLE: u8 = 2;

/// Why the program does not serve.
#[derive(Debug)]
pub enum StartError {
    /// The environment does not name a configuration.
    NoConfig,
    /// The environment names a management address that is none.
    Management {
        /// The variable.
        variable: &'static str,
        /// What it holds.
        text: String,
    },
    /// A file cannot be used.
    File(FileError),
    /// The system does not give what is needed.
    System(&'static str, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoConfig => f.write_str("RELAY_CONFIG is not set: it has to name the configuration"),
            StartError::Management { variable, text } => {
                write!(f, "{variable} is {text:?}: it has to be an address and a port, as 127.0.0.1:9800")
            }
            StartError::File(error) => error.fmt(f),
            StartError::System(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<FileError> for StartError {
    fn from(error: FileError) -> Self {
        StartError::File(error)
    }
}

impl StartError {
    /// The exit status of a program that did not start for it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            StartError::NoConfig | StartError::Management { .. } | StartError::File(_) => {
                ExitCode::from(UNUSABLE)
            }
            StartError::System(..) => ExitCode::FAILURE,
        }
    }
}
