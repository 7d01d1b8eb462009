//! Hosts one admission controller per simulated server and speaks the simulator's line protocol on standard
//! input and output.
//!
//! Each line is one JSON object. The simulator sends a batch of messages, from `Round` to `YourTurn`; the
//! adapter answers with the actions of all servers, ended by `Yield`. The adapter only translates and decides
//! nothing. The protocol fixes the spelling of message names and fields.

mod error;
mod fields;
mod input;
mod output;
mod session;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use session::Session;

/// Size of the input buffer and of the output buffer, bytes.
const BUFFER_BYTES: usize = 1 << 18;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match Session::new(input, output).run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinepoint-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
