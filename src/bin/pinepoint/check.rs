//! `pinepoint check`: reads the files and reports for each whether a start would accept it. The command
//! applies nothing.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::edge_config::{Config, Edge, FileError};
use crate::environment::config_path;
use crate::start_error::UNUSABLE;

/// The result for one file: the error with which a start would reject the file, if there is one.
struct CheckResult {
    file: PathBuf,
    error: Option<FileError>,
}

/// Checks both files and prints the result of each.
pub fn run(edge: Option<PathBuf>, config: Option<PathBuf>, json: bool) -> ExitCode {
    let edge = edge.map(|file| CheckResult { error: Edge::read(&file).err(), file });
    let config = config.or_else(config_path);
    let config = config.map(|file| CheckResult { error: Config::read(&file).err(), file });
    let results: Vec<CheckResult> = edge.into_iter().chain(config).collect();
    if results.is_empty() {
        eprintln!("pinepoint: nothing to check: name a file with --edge, as CONFIG or in RELAY_CONFIG");
        return ExitCode::from(UNUSABLE);
    }
    for result in &results {
        println!("{}", if json { result.to_json().to_string() } else { result.to_text() });
    }
    if results.iter().any(|result| result.error.is_some()) {
        ExitCode::from(UNUSABLE)
    } else {
        ExitCode::SUCCESS
    }
}

impl CheckResult {
    fn to_text(&self) -> String {
        match &self.error {
            None => format!("{}: good", self.file.display()),
            Some(error) => error.to_string(),
        }
    }

    fn to_json(&self) -> serde_json::Value {
        let error = self.error.as_ref();
        let position = error.and_then(|error| error.position);
        serde_json::json!({
            "file": self.file.display().to_string(),
            "good": error.is_none(),
            "line": position.map(|position| position.line),
            "column": position.map(|position| position.column),
            "field": error.map(|error| error.field.as_str()),
            "wrong": error.map(|error| error.problem.as_str()),
        })
    }
}
