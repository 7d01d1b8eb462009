//! The laboratory's command line. It owns how experiments are asked for and told; it must never measure by itself.
#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use pinepoint_lab::telemetry::{CONDITIONS, Condition, UnknownCondition};
use pinepoint_lab::{fleet, operation, process, telemetry};

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
    Telemetry {
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
    },
    /// Latency and cost with the view of the fleet off, and on among peers, in turns; prints JSON
    Fleet {
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
    },
    /// Upgrades under load, and the answer times of the management port; prints JSON, one line each
    Operation {
        /// The program
        #[arg(long, default_value = "target/release/pinepoint")]
        program: PathBuf,
        /// Upgrades, one after the other
        #[arg(long, default_value_t = 20)]
        upgrades: usize,
        /// Clients that send all the time
        #[arg(long, default_value_t = 8)]
        clients: usize,
    },
    /// CPU time for each request against an earlier build, in turns under the same load; prints JSON, one line each
    OperationCpu {
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
    },
    /// Stand-ins for the engine, the store and the list service at the addresses of a configuration file; with
    /// --request, one request to the program once it accepts, and its answer
    StandIns {
        /// The program's configuration file
        #[arg(long, default_value = "deploy/example/config.json")]
        config: PathBuf,
        /// Send one request that only reads, with this body, print the answer and end
        #[arg(long)]
        request: Option<String>,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Telemetry { program, earlier, seconds, turns, part, cpu, ways, every, json } => {
            let conditions = match parse_conditions(&ways) {
                Ok(conditions) => conditions,
                Err(error) => {
                    eprintln!("pinepoint-lab: {error}");
                    return ExitCode::from(2);
                }
            };
            let options = telemetry::Options {
                program,
                legacy_config: earlier,
                duration: Duration::from_secs(seconds),
                rounds: turns,
                load_factor: part,
                cpu,
                conditions,
                interval_s: every,
            };
            ended(
                on(cpu, || telemetry::measure(&options))
                    .map(|outcomes| tell(&telemetry::report(&outcomes), json)),
            )
        }
        Command::Fleet { program, seconds, turns, peers, part, cpu } => {
            let options = fleet::Options {
                program,
                duration: Duration::from_secs(seconds),
                rounds: turns,
                peers,
                load_factor: part,
                cpu,
            };
            ended(on(cpu, || fleet::measure(&options)).map(|report| println!("{report:#}")))
        }
        Command::Operation { program, upgrades, clients } => {
            let options = operation::Options { program, upgrades, clients };
            let mut tell = |line: &serde_json::Value| println!("{line}");
            ended(operation::measure(&options, &mut tell).map(|summary| println!("{summary}")))
        }
        Command::OperationCpu { before, program, seconds, turns, rate } => {
            let duration = Duration::from_secs(seconds);
            let options = operation::cost::Options { before, program, duration, trials: turns, rate };
            let mut tell = |line: &serde_json::Value| println!("{line}");
            ended(operation::cost::measure(&options, &mut tell).map(|summary| println!("{summary}")))
        }
        Command::StandIns { config, request } => ended(stand_ins(&config, request.as_deref())),
    }
}

/// Serves as the engine, the store and the list service of the program; until interrupted, or for one request.
fn stand_ins(config: &std::path::Path, request: Option<&str>) -> io::Result<()> {
    use operation::stand_ins::{Addresses, StandIns, request_once};
    let addresses = Addresses::read(config)?;
    let _stand_ins = StandIns::start(&addresses)?;
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

/// Measures while this process keeps off the core that the program has for itself.
fn on<T>(cpu: Option<usize>, measure: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    cpu.map_or(Ok(()), process::avoid_cpu)?;
    measure()
}

fn ended(measured: io::Result<()>) -> ExitCode {
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinepoint-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The conditions of these names; all of them if none is named.
fn parse_conditions(names: &[String]) -> Result<Vec<Condition>, UnknownCondition> {
    if names.is_empty() {
        return Ok(CONDITIONS.to_vec());
    }
    names.iter().map(|name| name.parse()).collect()
}

/// Prints a report of telemetry, and what did not add up on standard error.
fn tell(report: &serde_json::Value, json: bool) {
    let text = if json { format!("{report:#}\n") } else { telemetry::table(report) };
    let _ = io::stdout().write_all(text.as_bytes());
    let off = |row: &serde_json::Value| row["off"].as_array().is_some_and(|off| !off.is_empty());
    let rows = report.as_array().into_iter().flatten();
    for row in rows.filter(|row| off(row)) {
        eprintln!("{}: {}", row["way"], row["off"]);
    }
}
