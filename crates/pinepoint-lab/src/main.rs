//! The command line of the test tool: its arguments, and where results go. It measures nothing by itself.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use pinepoint_lab::operation::stubs::{Addresses, Stubs, request_once};
use pinepoint_lab::telemetry::{CONDITIONS, Condition, UnknownCondition};
use pinepoint_lab::{fleet, operation, process, telemetry};
use serde_json::Value;

/// Exit code for arguments that are not understood, as clap's own.
const USAGE_ERROR: u8 = 2;

/// Experiments on pinepoint with stand-ins that fail on command; loopback addresses only
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Latency, cost and sums with telemetry off and with receivers that fail, in turns
    Telemetry(TelemetryArgs),
    /// Latency and cost with the view of the fleet off, and on among peers, in turns; prints JSON
    Fleet(FleetArgs),
    /// Upgrades under load, and the answer times of the management port; prints JSON, one line each
    Operation(OperationArgs),
    /// CPU time for each request against an earlier build, in turns under the same load; prints JSON, one line each
    OperationCpu(OperationCpuArgs),
    /// Stand-ins for the engine, the store and the list service at the addresses of a configuration file; with
    /// --request, one request to the program once it accepts, and its answer
    StandIns(StandInsArgs),
}

#[derive(Args)]
struct TelemetryArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// It is the program of commit 23ce34e or before, whose edge file was another
    #[arg(long)]
    earlier: bool,
    /// Length of the load of one run, s
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Turns
    #[arg(long, default_value_t = 3)]
    turns: u64,
    /// Requests a second as a part of what the engine can do
    #[arg(long, default_value_t = 0.9)]
    part: f64,
    /// The core that the program has for itself
    #[arg(long)]
    cpu: Option<usize>,
    /// Only these, with commas: off, good, stalled, dripping, down, restarting
    #[arg(long, value_delimiter = ',')]
    ways: Vec<String>,
    /// Length of an interval of telemetry, s
    #[arg(long, default_value_t = 1)]
    every: u64,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct FleetArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Length of the load of one run, s
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Turns
    #[arg(long, default_value_t = 4)]
    turns: u64,
    /// Peers: processes beside the one that is loaded
    #[arg(long, default_value_t = 12)]
    peers: usize,
    /// Requests a second as a part of what the engine can do
    #[arg(long, default_value_t = 0.9)]
    part: f64,
    /// The core that the program has for itself
    #[arg(long)]
    cpu: Option<usize>,
}

#[derive(Args)]
struct OperationArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Upgrades, one after the other
    #[arg(long, default_value_t = 20)]
    upgrades: usize,
    /// Clients that send all the time
    #[arg(long, default_value_t = 8)]
    clients: usize,
}

#[derive(Args)]
struct OperationCpuArgs {
    /// The earlier program
    #[arg(long)]
    before: PathBuf,
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Length of the load of one turn, s
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Turns
    #[arg(long, default_value_t = 7)]
    turns: u64,
    /// Requests a second
    #[arg(long, default_value_t = 1200.0)]
    rate: f64,
}

#[derive(Args)]
struct StandInsArgs {
    /// The program's configuration file
    #[arg(long, default_value = "deploy/example/config.json")]
    config: PathBuf,
    /// Send one request that only reads, with this body, print the answer and end
    #[arg(long)]
    request: Option<String>,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Usage(#[from] UnknownCondition),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Usage(_) => ExitCode::from(USAGE_ERROR),
            CommandError::Io(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Telemetry(args) => run_telemetry(args),
        Command::Fleet(args) => run_fleet(args),
        Command::Operation(args) => run_operation(args),
        Command::OperationCpu(args) => run_operation_cpu(args),
        Command::StandIns(args) => run_stubs(&args.config, args.request.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinepoint-lab: {error}");
            error.exit_code()
        }
    }
}

fn run_telemetry(args: TelemetryArgs) -> Result<(), CommandError> {
    let options = telemetry::Options {
        program: args.program,
        legacy_config: args.earlier,
        duration: Duration::from_secs(args.seconds),
        rounds: args.turns,
        load_factor: args.part,
        cpu: args.cpu,
        conditions: parse_conditions(&args.ways)?,
        interval_s: args.every,
    };
    leave_cpu(args.cpu)?;
    let trials = telemetry::measure(&options)?;
    print_telemetry(&telemetry::report(&trials), args.json);
    Ok(())
}

/// The conditions of these names; all of them if none is named.
fn parse_conditions(names: &[String]) -> Result<Vec<Condition>, UnknownCondition> {
    if names.is_empty() {
        return Ok(CONDITIONS.to_vec());
    }
    names.iter().map(|name| name.parse()).collect()
}

/// Prints a report of telemetry, and on standard error the sums that did not match.
fn print_telemetry(report: &Value, json: bool) {
    let text = if json { format!("{report:#}\n") } else { telemetry::table(report) };
    let _ = io::stdout().write_all(text.as_bytes());
    let has_mismatches = |row: &&Value| row["off"].as_array().is_some_and(|off| !off.is_empty());
    let rows = report.as_array().into_iter().flatten();
    for row in rows.filter(has_mismatches) {
        eprintln!("{}: {}", row["way"], row["off"]);
    }
}

fn run_fleet(args: FleetArgs) -> Result<(), CommandError> {
    let options = fleet::Options {
        program: args.program,
        duration: Duration::from_secs(args.seconds),
        rounds: args.turns,
        peers: args.peers,
        load_factor: args.part,
        cpu: args.cpu,
    };
    leave_cpu(args.cpu)?;
    let report = fleet::measure(&options)?;
    println!("{report:#}");
    Ok(())
}

fn run_operation(args: OperationArgs) -> Result<(), CommandError> {
    let OperationArgs { program, upgrades, clients } = args;
    let options = operation::Options { program, upgrades, clients };
    let summary = operation::measure(&options, &mut print_line)?;
    print_line(&summary);
    Ok(())
}

fn run_operation_cpu(args: OperationCpuArgs) -> Result<(), CommandError> {
    let options = operation::cost::Options {
        before: args.before,
        program: args.program,
        duration: Duration::from_secs(args.seconds),
        rounds: args.turns,
        rate: args.rate,
    };
    let summary = operation::cost::measure(&options, &mut print_line)?;
    print_line(&summary);
    Ok(())
}

fn print_line(value: &Value) {
    println!("{value}");
}

/// Serves as the engine, the store and the list service of the program; until interrupted, or for one request.
fn run_stubs(config: &Path, request: Option<&str>) -> Result<(), CommandError> {
    let addresses = Addresses::read(config)?;
    let _stubs = Stubs::start(&addresses)?;
    eprintln!(
        "pinepoint-lab: engine at {}, store at {}, list service at {}",
        addresses.engine, addresses.store, addresses.members
    );
    match request {
        Some(body) => {
            println!("{:?}", request_once(addresses.listen, body)?);
            Ok(())
        }
        None => loop {
            std::thread::park();
        },
    }
}

/// Keeps this process off the core that the program has for itself, if it has one.
fn leave_cpu(cpu: Option<usize>) -> io::Result<()> {
    cpu.map_or(Ok(()), process::avoid_cpu)
}
