//! The two files that the program is told by: the platform's JSON and the operators' TOML. It owns their fields and
//! what each may hold; it must never act on them. A file is taken whole or not at all, and what is wrong with one
//! is told by line and field.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use pinepoint::settings::Site;
use serde::Deserialize;
use serde::de::DeserializeOwned;

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
    fn new(file: &Path, wrong: impl fmt::Display) -> Self {
        FileError { file: file.to_owned(), at: None, field: String::new(), wrong: wrong.to_string() }
    }
}

/// Line and column of a byte of the text, from 1.
fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    (line, column)
}

fn read(file: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(file)
        .map_err(|error| FileError::new(file, format_args!("cannot be read: {error}")))
}

// ---- the platform's configuration ----

/// What a comparer is told by the platform.
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
    /// The membership service.
    pub members: SocketAddr,
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
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    management: Option<SocketAddr>,
    engine: SocketAddr,
    members: SocketAddr,
    store: SocketAddr,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Config {
    /// Reads and checks the file.
    pub fn read(file: &Path) -> Result<Config, FileError> {
        Config::parse(file, &read(file)?)
    }

    fn parse(file: &Path, text: &str) -> Result<Config, FileError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: Raw = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let (field, inner) = (error.path().to_string(), error.into_inner());
            let at = (inner.line() > 0).then(|| (inner.line(), inner.column()));
            FileError { at, field: field.replace('?', ""), ..FileError::new(file, bare(&inner.to_string())) }
        })?;
        json.end().map_err(|error| FileError::new(file, format_args!("goes on after its end: {error}")))?;
        // What is wrong within the settings is told by its name alone: the line is that of the name.
        let wrong = |field: &str, wrong: &str| {
            // Each name is looked for behind that of its parent.
            let at = field.split('.').try_fold(0, |from, name| {
                text[from..].find(&format!("\"{name}\"")).map(|offset| from + offset)
            });
            let at = at.map(|offset| place(text, offset));
            FileError { at, field: field.to_owned(), ..FileError::new(file, wrong) }
        };
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| wrong("seed", "is not up to 16 hexadecimal digits"))?;
        for (field, value) in [("stop_ms", raw.stop_ms), ("limits.memory_mb", raw.limits.memory_mb)] {
            if !(value.is_finite() && value > 0.0) {
                return Err(wrong(field, "is not a number above 0"));
            }
        }
        let site = Site::read(&raw.settings)
            .map_err(|error| wrong(&format!("settings.{}", error.field()), &error.to_string()))?;
        site.settings.check().map_err(|error| wrong("settings", &error.to_string()))?;
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            management: raw.management,
            engine: raw.engine,
            members: raw.members,
            store: raw.store,
            seed,
            stop_ms: raw.stop_ms,
            memory_mb: raw.limits.memory_mb,
            sockets: raw.limits.sockets,
            site: Rc::new(site),
        })
    }
}

/// A message of the JSON library without the place that stands at its end.
fn bare(message: &str) -> &str {
    message.split(" at line ").next().unwrap_or(message)
}

// ---- the operators' edge file ----

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
    pub fleet: Option<pinepoint_fleet::config::Config>,
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
        let most = pinepoint::node::rpc::MEM_BELOW_KB;
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

    /// Reads and checks the file.
    pub fn read(file: &Path) -> Result<Edge, FileError> {
        parse_toml(file, &read(file)?)
    }
}

fn parse_toml<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
    let told = |field: String, error: &toml::de::Error| FileError {
        at: error.span().map(|span| place(text, span.start)),
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

    fn config(text: &str) -> String {
        Config::parse(Path::new("c.json"), text).map_or_else(|e| e.to_string(), |_| "taken".into())
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

    const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:0","engine":"127.0.0.1:1",
 "members":"127.0.0.1:2","store":"127.0.0.1:3","seed":"8c1f","stop_ms":3000,
 "limits":{"cores":1,"memory_mb":32,"sockets":256},
 "settings":{"services":[{"name":"look"}],
  "specifics":{"cores":4}}}"#;

    #[test]
    fn a_configuration_is_refused_with_its_line_and_field() {
        assert_eq!(config(GOOD), "taken");
        let cases = [
            ("\"stop_ms\":3000", "\"stop_ms\":-1", "c.json:2:62: stop_ms: is not a number above 0"),
            ("8c1f", "wxyz", "c.json:2:48: seed: is not up to 16 hexadecimal digits"),
            (
                "\"cores\":4",
                "\"cores\":\"4\"",
                "c.json:5:16: settings.cores: field cores is missing or not a number",
            ),
            ("\"cores\":4", "\"cores\":0", "c.json:4:2: settings: a server needs at least one core"),
            ("127.0.0.1:1", "nowhere", "c.json:1:54: engine: invalid socket address syntax"),
            ("256", "\"many\"", "c.json:3:52: limits.sockets: invalid type: string \"many\", expected usize"),
        ];
        for (old, new, wanted) in cases {
            assert_eq!(config(&GOOD.replace(old, new)), wanted);
        }
        assert!(config(&GOOD[..50]).starts_with("c.json:1:50: "), "{}", config(&GOOD[..50]));
    }
}
