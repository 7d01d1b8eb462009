//! Errors of the input. Each is shown as one line that names the message and the field.

use std::io;

use pinepoint::admission::SettingsError;
use pinepoint::config::site::SiteError;
use thiserror::Error;

/// An error that stops the adapter.
#[derive(Debug, Error)]
pub(crate) enum WireError {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("cannot write a reply: {0}")]
    Reply(serde_json::Error),
    #[error("malformed JSON: {0}")]
    MalformedJson(serde_json::Error),
    #[error("malformed line: not a JSON object")]
    NotAnObject,
    #[error("message without a name: field t is missing or not text")]
    Unnamed,
    #[error("unknown message {0}")]
    UnknownMessage(String),
    #[error("expected Round, found {0}")]
    ExpectedRound(String),
    #[error("batch {0} is cut off: input ended before YourTurn")]
    TruncatedBatch(u64),
    #[error("{message}: field {field} is missing or not {expected}")]
    InvalidField { message: String, field: &'static str, expected: &'static str },
    #[error("{message}: field server names unknown server {server}")]
    UnknownServer { message: String, server: u64 },
    #[error("{message}: field profile names unknown class {class}")]
    UnknownClass { message: String, class: String },
    #[error("{message}: field code has unknown value {code}")]
    UnknownOutcome { message: String, code: String },
    #[error("Enlist: {0}")]
    Site(SiteError),
    #[error("Enlist: field info is unusable: {0}")]
    Settings(#[from] SettingsError),
}
