//! `pinepoint ask`: one call to the management port of a running process. It owns the form of that; it must never be
//! needed by the process that serves.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::ValueEnum;

/// Wait for the connection, and for each part of the answer.
const WAIT: Duration = Duration::from_secs(2);

/// The calls of the management port.
#[derive(Clone, Copy, Debug, ValueEnum)]
#[value(rename_all = "UPPER")]
pub enum Call {
    /// Whether the process can serve
    Ping,
    /// The figures
    Info,
    /// Drain: health checks fail, and what still comes is served
    Lameduck,
    /// End a drain
    Rejoin,
}

/// Makes the call and prints the answer: exit status 0 for yes, 1 for no or no answer.
pub fn run(call: Call, at: SocketAddr) -> ExitCode {
    match ask(call, at) {
        Ok(answer) => {
            print!("{answer}");
            if answer.starts_with("+OK") { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("pinepoint: no answer from {at}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn ask(call: Call, at: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, WAIT)?;
    stream.set_read_timeout(Some(WAIT))?;
    let name = call.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned());
    stream.write_all(format!("{name}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
