//! Why the process does not start to serve, and the exit status that goes with it.

use std::io;
use std::process::ExitCode;

use thiserror::Error;

use crate::edge_config::FileError;

/// Exit status for a command line or a file that cannot be used.
pub const UNUSABLE: u8 = 2;

/// Why the process does not serve.
#[derive(Debug, Error)]
pub enum StartError {
    /// The environment does not name a configuration.
    #[error("RELAY_CONFIG is not set: it has to name the configuration")]
    NoConfig,
    /// The environment names a management address that is none.
    #[error("{variable} is {text:?}: it has to be an address and a port, as 127.0.0.1:9800")]
    Management {
        /// The variable.
        variable: &'static str,
        /// What it holds.
        text: String,
    },
    /// A file cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The system does not give what is needed, which the text names.
    #[error("{0}: {1}")]
    System(&'static str, #[source] io::Error),
    /// A termination notice arrived during the start. [`crate::serve::run`] treats it as an orderly end.
    #[error("terminated")]
    Terminated,
}

impl StartError {
    /// The exit status of a process that did not start because of this.
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
