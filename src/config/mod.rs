//! The configuration file that the platform writes, as JSON. It owns the file's fields, what each may hold and which
//! successor may follow a configuration that is in force; it must never act on them. A file is taken whole or not at
//! all, and what is wrong with one is told by line and field.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde_json::Value;

use crate::config::site::Site;

pub mod active;
mod position;
mod required;
pub mod site;

pub use position::line_and_column;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file.
    pub file: PathBuf,
    /// Line and column, from 1, where they are known.
    pub at: Option<(usize, usize)>,
    /// The field, with its parents, where one is at fault.
    pub field: String,
    /// What is wrong, and what would be right.
    pub wrong: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, column)) = self.at {
            write!(f, ":{line}:{column}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.wrong)
    }
}

impl std::error::Error for FileError {}

impl FileError {
    /// An error about the whole file.
    pub fn new(file: &Path, wrong: impl fmt::Display) -> Self {
        FileError { file: file.to_owned(), at: None, field: String::new(), wrong: wrong.to_string() }
    }

    /// An error about one field of a JSON text.
    fn of_field(file: &Path, text: &str, field: &str, wrong: impl fmt::Display) -> Self {
        let at = line_and_column(text, position::of_field(text, field));
        FileError { at: Some(at), field: field.to_owned(), ..FileError::new(file, wrong) }
    }
}

/// Reads a file as text.
pub fn read_text(file: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(file)
        .map_err(|error| FileError::new(file, format_args!("cannot be read: {error}")))
}

/// What the process is told by the platform.
#[derive(Debug)]
pub struct Config {
    /// The name, the same after a restart.
    pub name: String,
    /// Where routers connect.
    pub listen: SocketAddr,
    /// Where operators connect, if anywhere.
    pub management: Option<SocketAddr>,
    /// The engine.
    pub engine: SocketAddr,
    /// The platform's service registry.
    pub registry: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the kill, ms.
    pub stop_ms: f64,
    /// Memory of the process, MB.
    pub memory_mb: f64,
    /// Descriptors of the process.
    pub sockets: usize,
    /// Settings and names.
    pub site: Rc<Site>,
    /// The whole file, whose keys its successors must have.
    document: Value,
}

#[derive(Deserialize)]
struct Raw {
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
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Config, FileError> {
        Config::parse(file, &read_text(file)?)
    }

    /// Checks the text of a file.
    pub fn parse(file: &Path, text: &str) -> Result<Config, FileError> {
        let raw: Raw = from_json(file, text)?;
        let document: Value = from_json(file, text)?;
        let wrong = |field: &str, wrong: &dyn fmt::Display| FileError::of_field(file, text, field, wrong);
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| wrong("seed", &"is not up to 16 hexadecimal digits"))?;
        for (field, value) in [("stop_ms", raw.stop_ms), ("limits.memory_mb", raw.limits.memory_mb)] {
            if !(value.is_finite() && value > 0.0) {
                return Err(wrong(field, &"is not a number above 0"));
            }
        }
        let site = Site::read(&raw.settings)
            .map_err(|error| wrong(&format!("settings.{}", error.field()), &error))?;
        site.settings.check().map_err(|error| wrong("settings", &error))?;
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
            site: Rc::new(site),
            document,
        })
    }

    /// Reads a file again; see [`Config::next`].
    pub fn read_next(&self, file: &Path, now_ms: f64) -> Result<Config, FileError> {
        self.next(file, &read_text(file)?, now_ms)
    }

    /// The configuration that follows on this one by the text of a file that was read at this time, Unix ms. Stricter
    /// than [`Config::parse`]: a key that this one has must not be missing, as the file may not be what was meant.
    pub fn next(&self, file: &Path, text: &str, now_ms: f64) -> Result<Config, FileError> {
        let document: Value = from_json(file, text)?;
        let wrong = |field: &str, wrong: &dyn fmt::Display| FileError::of_field(file, text, field, wrong);
        if let Some(field) = required::first_missing(&self.document, &document) {
            return Err(wrong(&field, &"is missing, and the configuration in force has it"));
        }
        let new = Config::parse(file, text)?;
        let site = self
            .site
            .merged_with(Site::clone(&new.site), now_ms)
            .map_err(|error| wrong(&format!("settings.{}", error.field()), &error))?;
        site.settings.check().map_err(|error| wrong("settings", &error))?;
        Ok(Config { site: Rc::new(site), ..new })
    }

    /// What differs from this one in `new` and cannot change without a restart.
    pub fn fixed_differences(&self, new: &Config) -> Vec<&'static str> {
        let differences = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
            ("limits.sockets", self.sockets != new.sockets),
        ];
        differences.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

fn from_json<'a, T: Deserialize<'a>>(file: &Path, text: &'a str) -> Result<T, FileError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let (field, inner) = (error.path().to_string(), error.into_inner());
        let at = (inner.line() > 0).then(|| (inner.line(), inner.column()));
        let field = if field == "." { String::new() } else { field.replace('?', "") };
        FileError { at, field, ..FileError::new(file, without_place(&inner.to_string())) }
    })?;
    json.end().map_err(|error| FileError::new(file, format_args!("goes on after its end: {error}")))?;
    Ok(value)
}

/// A message of the JSON library without the place that stands at its end.
fn without_place(message: &str) -> &str {
    message.split(" at line ").next().unwrap_or(message)
}
