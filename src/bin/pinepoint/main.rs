//! The `pinepoint` program: the command line and the exit statuses of the server process and of its tools.

#![forbid(unsafe_code)]

mod ask;
mod bind;
mod check;
mod edge_config;
mod environment;
mod limits;
mod process;
mod reload;
mod serve;
mod signals;
mod start_error;
mod upgrade;
mod view;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use edge_config::Edge;
use environment::{MANAGEMENT, read_config};
use signals::SignalStream;
use start_error::StartError;

/// One comparer: takes requests from routers, runs them on the engine of its machine, and rejects the
/// requests that it cannot serve in time.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' TOML file, which switches on features; without it only the platform's protocol is
    /// served
    #[arg(long, value_name = "FILE")]
    edge: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM; the same as no command
    Serve {
        /// The operators' TOML file, which switches on features
        #[arg(long, value_name = "FILE")]
        edge: Option<PathBuf>,
    },
    /// Check the files and report their errors: exit status 0 if there are none, 2 if there are
    Check {
        /// The operators' TOML file
        #[arg(long, value_name = "FILE")]
        edge: Option<PathBuf>,
        /// The platform's configuration file; if omitted, the file that RELAY_CONFIG names, if it is set
        config: Option<PathBuf>,
        /// Print one JSON object for each file
        #[arg(long)]
        json: bool,
    },
    /// Send a command to the management port of a running comparer
    Ask {
        /// The command to send
        #[arg(ignore_case = true)]
        call: ask::ManagementCommand,
        /// The management address of the comparer
        #[arg(long, value_name = "ADDRESS", env = MANAGEMENT)]
        at: std::net::SocketAddr,
    },
    /// Ask a running comparer for its view of the fleet
    Fleet {
        #[command(subcommand)]
        command: view::FleetCommand,
    },
}

fn main() -> ExitCode {
    match Cli::parse() {
        Cli { command: Some(Command::Check { edge, config, json }), .. } => check::run(edge, config, json),
        Cli { command: Some(Command::Ask { call, at }), .. } => ask::run(call, at),
        Cli { command: Some(Command::Fleet { command }), .. } => view::run(&command),
        Cli { command: Some(Command::Serve { edge }), .. } | Cli { command: None, edge } => serve(edge),
    }
}

/// Serves until the end of a drain; returns the exit status.
fn serve(edge_file: Option<PathBuf>) -> ExitCode {
    // This comes first: until the handlers are installed, a signal ends the process at once.
    let signals = SignalStream::new().map_err(|error| StartError::System("signals", error));
    let edge = Edge::read_if_named(edge_file.as_deref()).map_err(StartError::from);
    // An error in the file is logged in the default format, because the format that the file chooses is
    // unknown.
    let log = edge.as_ref().map_or_else(|_| pinepoint_log::Options::default(), |edge| edge.log.clone());
    if let Err(error) = pinepoint_log::init(&log) {
        eprintln!("pinepoint: {error}");
        return ExitCode::FAILURE;
    }
    match edge.and_then(|edge| serve::run(read_config()?, edge, edge_file, signals?)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "not-started");
            error.exit_code()
        }
    }
}
