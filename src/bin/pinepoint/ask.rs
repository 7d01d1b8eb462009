//! `pinepoint ask`: one command to the management port of a running process. The serving process never needs it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::ValueEnum;

/// Timeout of the connection, and of each part of the answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// A positive answer begins so.
const POSITIVE: &str = "+OK";

/// The commands of the management port. Names and texts are the command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
#[value(rename_all = "UPPER")]
pub enum ManagementCommand {
    /// Whether the process can serve
    Ping,
    /// The figures
    Info,
    /// Drain: health checks fail, and what still comes is served
    Lameduck,
    /// End a drain
    Rejoin,
}

/// Sends the command and prints the answer: exit status 0 for a positive one, 1 for a negative one or none.
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
