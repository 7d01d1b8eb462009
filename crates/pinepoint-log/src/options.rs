//! Settings of the log: the format of lines, and which lines are written.

use std::str::FromStr;

use serde::Deserialize;
use thiserror::Error;
use tracing_subscriber::filter::Targets;

/// Settings of the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The format of a line; in settings files: `form`.
    #[serde(rename = "form")]
    pub format: LineFormat,
    /// Which lines are written.
    pub level: LevelFilter,
}

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LineFormat {
    /// `name=value` pairs (logfmt), quoted where necessary.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// A default level, and levels for single modules: `info,pinepoint::server::upstream=debug`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(try_from = "String")]
pub struct LevelFilter(Targets);

impl LevelFilter {
    pub(crate) fn into_targets(self) -> Targets {
        self.0
    }
}

impl Default for LevelFilter {
    fn default() -> Self {
        LevelFilter(Targets::new().with_default(tracing::Level::INFO))
    }
}

/// The text is not a [`LevelFilter`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "{0} is not a log level: expected error, warn, info, debug, trace, off or MODULE=LEVEL, comma-separated"
)]
pub struct ParseLevelError(String);

impl FromStr for LevelFilter {
    type Err = ParseLevelError;

    fn from_str(text: &str) -> Result<Self, ParseLevelError> {
        // `Targets` treats a single word as the name of a module: a misspelt level would be accepted without
        // effect.
        let is_valid =
            |word: &str| word.contains('=') || word.parse::<tracing::Level>().is_ok() || word == "off";
        match text.parse::<Targets>() {
            Ok(targets) if !text.is_empty() && text.split(',').all(|word| is_valid(word.trim())) => {
                Ok(LevelFilter(targets))
            }
            _ => Err(ParseLevelError(format!("{text:?}"))),
        }
    }
}

impl TryFrom<String> for LevelFilter {
    type Error = ParseLevelError;

    fn try_from(text: String) -> Result<Self, ParseLevelError> {
        text.parse()
    }
}

#[cfg(test)]
mod tests;
