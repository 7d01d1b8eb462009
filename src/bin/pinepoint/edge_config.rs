//! The operators' TOML file, which switches on the features that the platform's protocol does not need. This
//! module owns the fields of the file and their ranges, and applies no setting. A file is accepted or
//! rejected as a whole, and an error names line and field.

use std::net::SocketAddr;
use std::path::Path;

pub use pinepoint::config::{Config, FileError};
use pinepoint::config::{Position, read_text};
use pinepoint::server::frontend::request_limits::REQUEST_MEMORY_LIMIT_KB;
use serde::Deserialize;
use serde::de::DeserializeOwned;

#[cfg(test)]
mod tests;

/// The features that `--edge FILE` switches on. Without the option all of them are off.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Edge {
    /// The log.
    pub log: pinepoint_log::Options,
    /// The AJP listener.
    pub ajp: Option<Ajp>,
    /// Settings for all destinations of metrics.
    pub telemetry: pinepoint_telemetry::config::Telemetry,
    /// The membership in the fleet.
    pub fleet: Option<pinepoint_membership::config::Config>,
    /// Metrics to Graphite.
    pub graphite: Option<pinepoint_telemetry::config::Graphite>,
    /// Metrics to collectd.
    pub collectd: Option<pinepoint_telemetry::config::Collectd>,
}

/// The AJP listener.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ajp {
    /// Address on which web servers connect.
    pub listen: SocketAddr,
    /// Secret that web servers must send, if one is required.
    pub secret: Option<String>,
    /// Memory that is reserved for a request that declares none, kB.
    pub mem_kb: MemKb,
}

/// Memory of one request, kB: above 0 and below [`REQUEST_MEMORY_LIMIT_KB`], as in the platform's protocol.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub struct MemKb(pub f64);

/// The memory of a request is out of range.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{kb} is not above 0 and below {REQUEST_MEMORY_LIMIT_KB}")]
pub struct MemOutOfRange {
    kb: f64,
}

impl TryFrom<f64> for MemKb {
    type Error = MemOutOfRange;

    fn try_from(kb: f64) -> Result<Self, MemOutOfRange> {
        let is_in_range = kb > 0.0 && kb < REQUEST_MEMORY_LIMIT_KB;
        is_in_range.then_some(MemKb(kb)).ok_or(MemOutOfRange { kb })
    }
}

impl Edge {
    /// The telemetry settings of the file.
    pub fn telemetry_setup(&self) -> pinepoint_telemetry::Setup {
        pinepoint_telemetry::Setup {
            telemetry: self.telemetry.clone(),
            graphite: self.graphite.clone(),
            collectd: self.collectd.clone(),
        }
    }

    /// Reads and checks the file if one was named. Without a file all features are off.
    pub fn read_if_named(file: Option<&Path>) -> Result<Edge, FileError> {
        file.map_or_else(|| Ok(Edge::default()), Edge::read)
    }

    /// Reads and checks the file.
    pub fn read(file: &Path) -> Result<Edge, FileError> {
        parse_toml(file, &read_text(file)?)
    }
}

fn parse_toml<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
    let file_error = |field: String, error: &toml::de::Error| FileError {
        position: error.span().map(|span| Position::of_offset(text, span.start)),
        field,
        ..FileError::new(file, error.message())
    };
    let toml = toml::Deserializer::parse(text).map_err(|error| file_error(String::new(), &error))?;
    serde_path_to_error::deserialize(toml).map_err(|error| {
        let path = error.path().to_string();
        // The path of the whole document is a dot.
        let field = if path == "." { String::new() } else { path };
        file_error(field, error.inner())
    })
}
