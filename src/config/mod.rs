//! The configuration file that the platform writes, as JSON.
//!
//! This module owns the fields of the file, their ranges, and the rules for replacing the active
//! configuration at a reload. It applies no setting. A file is accepted or rejected as a whole, and an error
//! names line and field.
//!
//! - [`site`] reads the settings object in the file, and assigns the indexes of classes and tenants.
//! - [`active`] shares the active settings.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde_json::Value;

use crate::config::site::{Site, SiteError};

pub mod active;
mod position;
mod required;
pub mod site;

pub use position::Position;

/// Why a file is rejected, and the position of the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file.
    pub file: PathBuf,
    /// Position in the file, if it is known.
    pub position: Option<Position>,
    /// Path of the field, as in `settings.services[1].deadlineMs`; empty if the error is about no single
    /// field.
    pub field: String,
    /// What is wrong, and which value would be accepted.
    pub problem: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(Position { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for FileError {}

impl FileError {
    /// An error about the whole file.
    pub fn new(file: &Path, problem: impl fmt::Display) -> Self {
        FileError {
            file: file.to_owned(),
            position: None,
            field: String::new(),
            problem: problem.to_string(),
        }
    }
}

/// The text of a file, for errors that name one of its fields.
#[derive(Clone, Copy)]
struct Source<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    /// An error about one field.
    fn field_error(self, field: &str, problem: impl fmt::Display) -> FileError {
        let position = Position::of_offset(self.text, position::field_offset(self.text, field));
        let error = FileError::new(self.file, problem);
        FileError { position: Some(position), field: field.to_owned(), ..error }
    }

    /// An error about the settings object.
    fn site_error(self, error: &SiteError) -> FileError {
        self.field_error(&format!("settings.{}", error.field()), error)
    }

    /// Returns the settings if the admission controller accepts them.
    fn checked(self, site: Site) -> Result<Rc<Site>, FileError> {
        site.settings.check().map_err(|error| self.field_error("settings", error))?;
        Ok(Rc::new(site))
    }
}

/// Reads a file as text.
pub fn read_text(file: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(file)
        .map_err(|error| FileError::new(file, format_args!("cannot be read: {error}")))
}

/// The configuration of one process.
#[derive(Debug)]
pub struct Config {
    /// Name of the server, the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the management port, on which operators connect; `None` for no port.
    pub management: Option<SocketAddr>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the platform's service registry; the file calls it `members`.
    pub registry: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time from the termination notice to the kill, ms; above 0.
    pub stop_ms: f64,
    /// Memory limit of the process, MB; above 0.
    pub memory_mb: f64,
    /// Limit of file descriptors of the process.
    pub sockets: usize,
    /// Settings of the admission controller, and the names of classes and tenants.
    pub site: Rc<Site>,
    /// The whole file as JSON. A later configuration must have its keys.
    document: Value,
}

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: SocketAddr,
    management: Option<SocketAddr>,
    engine: SocketAddr,
    #[serde(rename = "members")]
    registry: SocketAddr,
    store: SocketAddr,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Config {
    /// Reads a file and checks its text; see [`Config::parse`].
    pub fn read(file: &Path) -> Result<Config, FileError> {
        Config::parse(file, &read_text(file)?)
    }

    /// Parses the text of a file and checks its values.
    pub fn parse(file: &Path, text: &str) -> Result<Config, FileError> {
        let raw: RawConfig = from_json(file, text)?;
        let document: Value = from_json(file, text)?;
        let source = Source { file, text };
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| {
            source.field_error("seed", format_args!("{:?} is not 1 to 16 hexadecimal digits", raw.seed))
        })?;
        for (field, value) in [("stop_ms", raw.stop_ms), ("limits.memory_mb", raw.limits.memory_mb)] {
            if !(value.is_finite() && value > 0.0) {
                return Err(source.field_error(field, format_args!("{value} is not a number above 0")));
            }
        }
        let site = Site::from_json(&raw.settings).map_err(|error| source.site_error(&error))?;
        let site = source.checked(site)?;
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            management: raw.management,
            engine: raw.engine,
            registry: raw.registry,
            store: raw.store,
            seed,
            stop_ms: raw.stop_ms,
            memory_mb: raw.limits.memory_mb,
            sockets: raw.limits.sockets,
            site,
            document,
        })
    }

    /// Reads a file at a reload; see [`Config::next`].
    pub fn read_next(&self, file: &Path, now_ms: f64) -> Result<Config, FileError> {
        self.next(file, &read_text(file)?, now_ms)
    }

    /// Returns the configuration that replaces this one, from the text of a file that was read at `now_ms`
    /// (Unix ms). This is stricter than [`Config::parse`]: a key of this configuration must not be missing,
    /// because the file may be written only in part.
    pub fn next(&self, file: &Path, text: &str, now_ms: f64) -> Result<Config, FileError> {
        let document: Value = from_json(file, text)?;
        let source = Source { file, text };
        if let Some(field) = required::first_missing(&self.document, &document) {
            return Err(source
                .field_error(&field, "is missing; a reload must keep each key of the active configuration"));
        }
        let new = Config::parse(file, text)?;
        let merged = self.site.merged_with(Site::clone(&new.site), now_ms);
        let site = merged.map_err(|error| source.site_error(&error))?;
        Ok(Config { site: source.checked(site)?, ..new })
    }

    /// Names the fields that differ in `new` and cannot change without a restart.
    pub fn restart_only_differences(&self, new: &Config) -> Vec<&'static str> {
        let differences = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
            ("limits.sockets", self.sockets != new.sockets),
        ];
        differences.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

/// Parses a JSON text that holds one value and nothing else.
fn from_json<'a, T: Deserialize<'a>>(file: &Path, text: &'a str) -> Result<T, FileError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let (path, inner) = (error.path().to_string(), error.into_inner());
        let position = (inner.line() > 0).then(|| Position { line: inner.line(), column: inner.column() });
        // The path of the whole document is a dot; an unknown part of a path is a question mark.
        let field = if path == "." { String::new() } else { path.replace('?', "") };
        FileError { position, field, ..FileError::new(file, without_position(&inner.to_string())) }
    })?;
    json.end()
        .map_err(|error| FileError::new(file, format_args!("has text after its JSON value: {error}")))?;
    Ok(value)
}

/// Removes the position from the end of a message of the JSON library.
fn without_position(message: &str) -> &str {
    message.split(" at line ").next().unwrap_or(message)
}
