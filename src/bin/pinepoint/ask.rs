//! `pinepoint ask`: sends one command to the management port of a running process. The serving process does
//! not use this module.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::ValueEnum;

/// Timeout for connecting, and for each read of the answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// First bytes of a positive answer.
const POSITIVE: &str = "+OK";

/// The commands of the management port. Variant names and doc comments are the arguments and help of the
/// command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
#[value(rename_all = "UPPER")]
pub enum ManagementCommand {
    /// Report whether the process can serve
    Ping,
    /// Report counters and state
    Info,
    /// Drain: health checks fail, and requests that still arrive are served
    Lameduck,
    /// End a drain
    Rejoin,
}

/// Sends the command and prints the answer. The exit status is 0 for a positive answer, 1 for a negative one
/// or none.
pub fn run(command: ManagementCommand, address: SocketAddr) -> ExitCode {
    match ask(command, address) {
        Ok(answer) => {
            print!("{answer}");
            if answer.starts_with(POSITIVE) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("pinepoint: no answer from {address}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn ask(command: ManagementCommand, address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let name = command.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned());
    stream.write_all(format!("{name}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
