//! A client of the management port. Each connection carries one command line and one answer; then the server
//! closes it.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout for connecting, for each write and for each read of the answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two readiness checks of a process.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The last line of an answer with several lines.
const LAST_LINE: &str = ".";

/// Everything the server sent until it closed the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// All lines, without line terminators.
    pub lines: Vec<String>,
    /// Time from connecting until the server closed the connection.
    pub took: Duration,
}

/// One figure in an answer to `INFO`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// The value.
    pub value: u64,
    /// `c` for a counter, `g` for a gauge.
    pub kind: char,
}

impl Answer {
    /// The first line; empty if the answer has no lines.
    pub fn head(&self) -> &str {
        self.lines.first().map_or("", String::as_str)
    }

    /// Whether the first line is `+OK`: the command was executed.
    pub fn is_ok(&self) -> bool {
        is_head(self.head(), "+OK")
    }

    /// Whether the first line is `-ERR`: the command failed.
    pub fn is_error(&self) -> bool {
        is_head(self.head(), "-ERR")
    }

    /// The figures of an answer to `INFO`, by name.
    ///
    /// # Errors
    /// If the answer does not have the form of an answer to `INFO`.
    pub fn figures(&self) -> io::Result<BTreeMap<String, Figure>> {
        let invalid =
            |line: &str| io::Error::new(io::ErrorKind::InvalidData, format!("malformed INFO line: {line:?}"));
        let [head, figures @ .., last] = self.lines.as_slice() else { return Err(invalid(self.head())) };
        if !self.is_ok() || last != LAST_LINE {
            return Err(invalid(if self.is_ok() { last } else { head }));
        }
        figures.iter().map(|line| figure(line).ok_or_else(|| invalid(line))).collect()
    }
}

/// Whether the line is `word`, alone or followed by a space and text.
fn is_head(line: &str, word: &str) -> bool {
    line.strip_prefix(word).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
}

/// Parses `name:value|kind`.
fn figure(line: &str) -> Option<(String, Figure)> {
    let (name, rest) = line.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    let kind = match kind {
        "c" => 'c',
        "g" => 'g',
        _ => return None,
    };
    Some((name.to_owned(), Figure { value: value.parse().ok()?, kind }))
}

/// Sends one command on a new connection and reads the whole answer.
///
/// # Errors
/// If there is no answer in time.
pub fn ask(address: SocketAddr, command: &str) -> io::Result<Answer> {
    ask_bytes(address, format!("{command}\r\n").as_bytes())
}

/// Sends arbitrary bytes instead of a command line on a new connection and reads the whole answer.
///
/// # Errors
/// If there is no answer in time.
pub fn ask_bytes(address: SocketAddr, bytes: &[u8]) -> io::Result<Answer> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_LIMIT)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    stream.set_write_timeout(Some(ANSWER_LIMIT))?;
    // The server may close the connection before all bytes are written; its answer is read nevertheless.
    let _ = stream.write_all(bytes);
    read_answer(&mut stream, began)
}

/// Reads the answer on a connection that was opened at `began`.
///
/// # Errors
/// If the connection breaks or a read times out before the answer is complete.
pub fn read_answer(stream: &mut TcpStream, began: Instant) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        // A server that closes without reading all input resets the connection; the lines received before
        // count.
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset && bytes.ends_with(b"\n") => {}
        Err(error) => return Err(error),
    }
    let text = String::from_utf8(bytes).map_err(io::Error::other)?;
    Ok(Answer { lines: text.lines().map(str::to_owned).collect(), took: began.elapsed() })
}

/// Sends `PING` until it is answered `+OK`; returns the time that took.
///
/// # Errors
/// If no `PING` is answered `+OK` within `limit`.
pub fn await_ready(address: SocketAddr, limit: Duration) -> io::Result<Duration> {
    let began = Instant::now();
    loop {
        let answer = ask(address, "PING");
        if answer.as_ref().is_ok_and(Answer::is_ok) {
            return Ok(began.elapsed());
        }
        if began.elapsed() > limit {
            let last = answer.map_or_else(|error| error.to_string(), |answer| answer.head().to_owned());
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                format!("no +OK to PING at {address} within {limit:?}; last answer: {last}"),
            ));
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
}
