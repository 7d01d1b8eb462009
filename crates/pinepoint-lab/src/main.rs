//! The command line of the test tool: parses arguments, runs an experiment of the library and prints its
//! results.
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

/// Exit status for invalid arguments, the same as clap's.
const USAGE_ERROR: u8 = 2;

/// Experiments on pinepoint with stub services that fail on command; uses loopback addresses only
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure latency, CPU time and the sums at the receivers, with telemetry off and with failing
    /// receivers, in turns
    Telemetry(TelemetryArgs),
    /// Measure latency and CPU time with fleet membership off, and on among peers, in turns; prints JSON
    Fleet(FleetArgs),
    /// Upgrade the program under load, and measure the answer times of the management port; prints JSON lines
    Operation(OperationArgs),
    /// Compare the CPU time per request with an earlier build, in turns under the same load; prints JSON
    /// lines
    OperationCpu(OperationCpuArgs),
    /// Serve as the engine, the store and the service registry at the addresses in a configuration file; with
    /// --request, send one request to the program as soon as it is healthy, and print the answer
    StandIns(StandInsArgs),
}

#[derive(Args)]
struct TelemetryArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// The program is of commit 23ce34e or earlier and reads the edge file format of that time
    #[arg(long)]
    earlier: bool,
    /// Duration of the load in each trial, s
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of rounds; each runs every condition once
    #[arg(long, default_value_t = 3)]
    turns: u64,
    /// Request rate as a fraction of the engine's capacity
    #[arg(long, default_value_t = 0.9)]
    part: f64,
    /// CPU core reserved for the program
    #[arg(long)]
    cpu: Option<usize>,
    /// Conditions to run, separated by commas: off, good, stalled, dripping, down, restarting; default: all
    #[arg(long, value_delimiter = ',')]
    ways: Vec<String>,
    /// Length of a telemetry interval, s
    #[arg(long, default_value_t = 1)]
    every: u64,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct FleetArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Duration of the load in each trial, s
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of rounds; each runs every condition once
    #[arg(long, default_value_t = 4)]
    turns: u64,
    /// Number of peer processes beside the loaded one
    #[arg(long, default_value_t = 12)]
    peers: usize,
    /// Request rate as a fraction of the engine's capacity
    #[arg(long, default_value_t = 0.9)]
    part: f64,
    /// CPU core reserved for the program
    #[arg(long)]
    cpu: Option<usize>,
}

#[derive(Args)]
struct OperationArgs {
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Number of consecutive upgrades
    #[arg(long, default_value_t = 20)]
    upgrades: usize,
    /// Number of clients that send requests continuously
    #[arg(long, default_value_t = 8)]
    clients: usize,
}

#[derive(Args)]
struct OperationCpuArgs {
    /// The earlier build, the baseline
    #[arg(long)]
    before: PathBuf,
    /// The program
    #[arg(long, default_value = "target/release/pinepoint")]
    program: PathBuf,
    /// Duration of the load in each trial, s
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Number of rounds; each runs every variant once
    #[arg(long, default_value_t = 7)]
    turns: u64,
    /// Requests per second
    #[arg(long, default_value_t = 1200.0)]
    rate: f64,
}

#[derive(Args)]
struct StandInsArgs {
    /// The program's configuration file
    #[arg(long, default_value = "deploy/example/config.json")]
    config: PathBuf,
    /// Send one read-only request with this body, print the answer and exit
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
    avoid_program_cpu(args.cpu)?;
    let trials = telemetry::measure(&options)?;
    print_telemetry(&telemetry::report(&trials), args.json);
    Ok(())
}

/// The conditions with these names; all conditions if the list is empty.
fn parse_conditions(names: &[String]) -> Result<Vec<Condition>, UnknownCondition> {
    if names.is_empty() {
        return Ok(CONDITIONS.to_vec());
    }
    names.iter().map(|name| name.parse()).collect()
}

/// Prints the report of the telemetry experiment to standard output, and its mismatched sums to standard
/// error.
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
    avoid_program_cpu(args.cpu)?;
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

/// Serves as the engine, the store and the service registry of the program: until interrupted, or for one
/// request.
fn run_stubs(config: &Path, request: Option<&str>) -> Result<(), CommandError> {
    let addresses = Addresses::read(config)?;
    let _stubs = Stubs::start(&addresses)?;
    eprintln!(
        "pinepoint-lab: engine at {}, store at {}, service registry at {}",
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

/// Keeps this process off the core that is reserved for the program, if there is one.
fn avoid_program_cpu(cpu: Option<usize>) -> io::Result<()> {
    cpu.map_or(Ok(()), process::avoid_cpu)
}
