//! Errors that keep the process from serving, and the exit status for each.

use std::io;
use std::process::ExitCode;

use thiserror::Error;

use crate::edge_config::FileError;

/// Exit status for an invalid command line or file.
pub const UNUSABLE: u8 = 2;

/// Why the process does not start to serve.
#[derive(Debug, Error)]
pub enum StartError {
    /// The environment does not name a configuration file.
    #[error("RELAY_CONFIG is not set: it must be the path of the configuration file")]
    NoConfig,
    /// The environment holds an invalid management address.
    #[error("{variable} is {text:?}: it must be an IP address and a port, such as 127.0.0.1:9800")]
    Management {
        /// Name of the variable.
        variable: &'static str,
        /// Value of the variable.
        text: String,
    },
    /// A file is invalid or cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The system refused a resource; the text names the listener or the part of the process that needs it.
    #[error("cannot set up {0}: {1}")]
    System(&'static str, #[source] io::Error),
    /// A termination notice arrived during the start. [`crate::serve::run`] treats it as an orderly end.
    #[error("terminated")]
    Terminated,
}

impl StartError {
    /// The exit status of a process that does not start because of this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            StartError::NoConfig | StartError::Management { .. } | StartError::File(_) => {
                ExitCode::from(UNUSABLE)
            }
            StartError::System(..) => ExitCode::FAILURE,
            StartError::Terminated => ExitCode::SUCCESS,
        }
    }
}
