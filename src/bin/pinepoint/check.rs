//! The sub-command that reads the files and tells of each whether it would be taken. It must never act on them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::edge_config::{Config, Edge, FileError};
use crate::environment::named_config;
use crate::start_error::UNUSABLE;

/// Reads both files and tells of each whether it would be taken.
pub fn run(edge: Option<PathBuf>, config: Option<PathBuf>, json: bool) -> ExitCode {
    let config = config.or_else(named_config);
    let edge = edge.map(|file| (Edge::read(&file).err(), file));
    let config = config.map(|file| (Config::read(&file).err(), file));
    let checked: Vec<(Option<FileError>, PathBuf)> = edge.into_iter().chain(config).collect();
    if checked.is_empty() {
        eprintln!("pinepoint: nothing to check: name a file with --edge, as CONFIG or in RELAY_CONFIG");
        return ExitCode::from(UNUSABLE);
    }
    for (error, file) in &checked {
        match (error, json) {
            (None, false) => println!("{}: good", file.display()),
            (Some(error), false) => println!("{error}"),
            (error, true) => println!("{}", verdict(file, error.as_ref())),
        }
    }
    if checked.iter().any(|(error, _)| error.is_some()) {
        ExitCode::from(UNUSABLE)
    } else {
        ExitCode::SUCCESS
    }
}

/// The verdict on a file, for a script.
fn verdict(file: &Path, error: Option<&FileError>) -> serde_json::Value {
    let at = error.and_then(|error| error.at);
    serde_json::json!({
        "file": file.display().to_string(),
        "good": error.is_none(),
        "line": at.map(|(line, _)| line),
        "column": at.map(|(_, column)| column),
        "field": error.map(|error| error.field.as_str()),
        "wrong": error.map(|error| error.wrong.as_str()),
    })
}
