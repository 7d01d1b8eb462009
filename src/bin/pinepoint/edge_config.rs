//! The operators' TOML file. It owns its fields and what each may hold; it must never act on them. A file is taken whole
//! or not at all, and what is wrong with one is told by line and field.

use std::net::SocketAddr;
use std::path::Path;

pub use pinepoint::config::{Config, FileError};
use pinepoint::config::{line_and_column, read_text};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// What `--edge FILE` switches on; without it all of this is off.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Edge {
    /// The log.
    pub log: pinepoint_log::Options,
    /// The AJP front.
    pub ajp: Option<Ajp>,
    /// What holds for all destinations of counts.
    pub telemetry: pinepoint_telemetry::config::Telemetry,
    /// The view of the fleet.
    pub fleet: Option<pinepoint_membership::config::Config>,
    /// Counts to Graphite.
    pub graphite: Option<pinepoint_telemetry::config::Graphite>,
    /// Counts to collectd.
    pub collectd: Option<pinepoint_telemetry::config::Collectd>,
}

/// The AJP front.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ajp {
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// What they have to know, if anything.
    pub secret: Option<String>,
    /// Memory booked for a request that does not tell its own, kB.
    pub mem_kb: MemKb,
}

/// Memory of one request, kB: above 0 and below 2,000, as on the other front.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub struct MemKb(pub f64);

impl TryFrom<f64> for MemKb {
    type Error = String;

    fn try_from(kb: f64) -> Result<Self, String> {
        let most = pinepoint::server::frontend::rpc::REQUEST_MEMORY_LIMIT_KB;
        if kb > 0.0 && kb < most {
            Ok(MemKb(kb))
        } else {
            Err(format!("{kb} is not above 0 and below {most}"))
        }
    }
}

impl Edge {
    /// What it says of telemetry.
    pub fn setup(&self) -> pinepoint_telemetry::Setup {
        pinepoint_telemetry::Setup {
            telemetry: self.telemetry.clone(),
            graphite: self.graphite.clone(),
            collectd: self.collectd.clone(),
        }
    }

    /// Reads and checks the file, if one was named; without it all is off.
    pub fn read_if_named(file: Option<&Path>) -> Result<Edge, FileError> {
        file.map_or_else(|| Ok(Edge::default()), Edge::read)
    }

    /// Reads and checks the file.
    pub fn read(file: &Path) -> Result<Edge, FileError> {
        parse_toml(file, &read_text(file)?)
    }
}

fn parse_toml<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
    let told = |field: String, error: &toml::de::Error| FileError {
        at: error.span().map(|span| line_and_column(text, span.start)),
        field,
        ..FileError::new(file, error.message())
    };
    let toml = toml::Deserializer::parse(text).map_err(|error| told(String::new(), &error))?;
    serde_path_to_error::deserialize(toml).map_err(|error| {
        let field = error.path().to_string();
        told(if field == "." { String::new() } else { field }, error.inner())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn edge(text: &str) -> String {
        parse_toml::<Edge>(Path::new("edge.toml"), text).map_or_else(|e| e.to_string(), |_| "taken".into())
    }

    #[test]
    fn an_edge_file_is_refused_with_its_line_and_field() {
        assert_eq!(edge(""), "taken");
        assert_eq!(
            edge("[ajp]\nlisten = \"127.0.0.1:8009\"\nmem_kb = 4e3\n"),
            "edge.toml:3:10: ajp.mem_kb: 4000 is not above 0 and below 2000"
        );
        let unknown = edge("\n[log]\nlevels = \"info\"\n");
        assert!(unknown.starts_with("edge.toml:3:1: log.levels: unknown field `levels`"), "{unknown}");
        let level = edge("[log]\nlevel = \"loud\"");
        assert!(level.starts_with("edge.toml:2:9: log.level: \"loud\" is no level: write error,"), "{level}");
        let cut = edge("[ajp\n");
        assert!(cut.starts_with("edge.toml:1:5: "), "{cut}");
    }
}
