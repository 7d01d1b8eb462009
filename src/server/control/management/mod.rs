//! The management port: operators ask whether the process can serve, read its metrics, and control lame duck
//! mode. A connection carries one line and one answer, and is then closed. The port never waits for the core
//! and never touches a request.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_clock::Clock;

use crate::config::active::ActiveSettings;
use crate::server::control::lifecycle::Phase;
use crate::server::control::status::Status;
use crate::server::frontend::connection::discard;
use crate::server::observability::counters::{ClassCounters, Counters};

use command::{Command, CommandError};
use connections::Connections;

pub mod command;
mod connections;

/// Share of all descriptors that concurrent connections may use, as a divisor; the result is kept between the
/// two bounds. A new connection beyond this limit evicts the oldest one, so that silent clients cannot block
/// others.
const CONNECTIONS_DIVISOR: usize = 16;
const MIN_CONNECTIONS: usize = 4;
const MAX_CONNECTIONS: usize = 16;
/// Maximum length of a line, bytes, including its line ending.
const MAX_LINE_BYTES: usize = 256;
/// Time within which a connection has to send its line, ms.
const LINE_TIMEOUT_MS: f64 = 5000.0;
/// Time for writing the answer and for discarding the data after the line, ms: closing a socket with unread
/// bytes resets the connection, which would destroy the answer.
const LINGER_MS: f64 = 500.0;
/// Maximum number of bytes that are discarded.
const MAX_LINGER_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, ms.
const ACCEPT_RETRY_MS: f64 = 50.0;
/// The first line of a positive answer.
const OK: &str = "+OK\n";
/// The last line of a multi-line answer.
const END: &str = ".\n";

/// Maximum number of concurrent management connections in a process that may open `descriptors` descriptors.
pub fn max_connections(descriptors: usize) -> usize {
    (descriptors / CONNECTIONS_DIVISOR).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// The state that the port reads and sets.
pub struct Management {
    /// The settings, for the names of the classes.
    pub active_settings: Rc<ActiveSettings>,
    /// The phase of the process; lame duck mode is requested here.
    pub status: Rc<Status>,
    /// The metrics.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
}

impl Management {
    /// Carries out a command; returns its whole answer.
    pub fn answer(&self, line: Result<&[u8], CommandError>) -> String {
        match line.and_then(|line| self.accept(line)) {
            Ok(Command::Ping) => OK.to_owned(),
            Ok(Command::Info) => self.metrics(),
            Ok(Command::LameDuck) => self.request_lame_duck(true),
            Ok(Command::Rejoin) => self.request_lame_duck(false),
            Err(error) => format!("-ERR {error}\n"),
        }
    }

    /// Parses a line into a command, and checks that the command is accepted in the current phase.
    fn accept(&self, line: &[u8]) -> Result<Command, CommandError> {
        let command = Command::parse(line)?;
        command.check(self.phase())?;
        Ok(command)
    }

    /// The phase of the process, taking into account a termination notice that the core has not processed
    /// yet.
    fn phase(&self) -> Phase {
        let phase = self.status.phase.get();
        let is_notified = self.status.termination_notice_ms.get().is_some();
        if is_notified { phase.max(Phase::Draining) } else { phase }
    }

    fn request_lame_duck(&self, enabled: bool) -> String {
        self.status.lame_duck_request.set(Some(enabled));
        if enabled {
            // Takes effect before the answer: a health check may be read before the core runs.
            self.status.healthy.set(false);
        }
        self.status.core_wakeup.wake();
        OK.to_owned()
    }

    fn metrics(&self) -> String {
        let mut text = OK.to_owned();
        for (name, class) in self.counters_by_name() {
            write_metric(&mut text, &format!("calls.{name}.success"), class.served.get(), Kind::Counter);
            write_metric(&mut text, &format!("calls.{name}.busy"), class.refused.get(), Kind::Counter);
            write_metric(&mut text, &format!("calls.{name}.failure"), class.failed.get(), Kind::Counter);
            write_metric(&mut text, &format!("calls.{name}.backend_calls"), class.runs.get(), Kind::Counter);
        }
        write_metric(&mut text, "inflight", self.counters.all_classes().open(), Kind::Gauge);
        write_metric(&mut text, "reconfig_ok", self.counters.reloads.get(), Kind::Counter);
        write_metric(&mut text, "reconfig_failed", self.counters.reloads_failed.get(), Kind::Counter);
        text.push_str(END);
        text
    }

    /// The counters of all classes since the start. A name has several class indexes if its idempotency has
    /// changed.
    fn counters_by_name(&self) -> BTreeMap<String, ClassCounters> {
        let site = self.active_settings.site();
        let mut by_name: BTreeMap<String, ClassCounters> = BTreeMap::new();
        for index in 0..site.settings.classes.len() {
            let counters = by_name.entry(site.class_name(index).to_owned()).or_default();
            counters.add(&self.counters.class(index));
        }
        by_name
    }
}

/// The kind of a metric.
#[derive(Clone, Copy)]
enum Kind {
    /// Counts up from the start of the process.
    Counter,
    /// The current value.
    Gauge,
}

fn write_metric(text: &mut String, name: &str, value: u64, kind: Kind) {
    let kind = match kind {
        Kind::Counter => 'c',
        Kind::Gauge => 'g',
    };
    // Writing to a string does not fail.
    let _ = writeln!(text, "relay.{name}:{value}|{kind}");
}

/// Accepts up to `max` concurrent connections until the process ends.
pub async fn listen(
    listener: Async<TcpListener>,
    max: usize,
    management: Rc<Management>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let connections = Rc::new(Connections::new(max));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (connection, management) = (connections.open(), management.clone());
                let serve =
                    async move { future::or(serve(&stream, &management), connection.evicted()).await };
                executor.spawn(serve).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "management-accept-failed");
                management.clock.pause(ACCEPT_RETRY_MS).await;
            }
        }
    }
}

/// Reads a line, answers it and ends the connection. A socket error also ends the connection.
async fn serve(mut stream: &Async<TcpStream>, management: &Management) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut line = [0; MAX_LINE_BYTES];
    let read = async { Some(read_line(stream, &mut line).await) };
    let timeout = async {
        management.clock.pause(LINE_TIMEOUT_MS).await;
        None
    };
    let Some(read) = future::or(read, timeout).await else { return };
    let answer = management.answer(read.map(|length| &line[..length]));
    let write = async {
        if stream.write_all(answer.as_bytes()).await.is_ok() {
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            discard(stream, MAX_LINGER_BYTES).await;
        }
    };
    future::or(write, management.clock.pause(LINGER_MS)).await;
}

/// Reads up to the end of the first line; returns the length of the line without its line ending.
async fn read_line(
    mut stream: &Async<TcpStream>,
    line: &mut [u8; MAX_LINE_BYTES],
) -> Result<usize, CommandError> {
    let mut filled = 0;
    loop {
        match stream.read(&mut line[filled..]).await {
            Ok(0) | Err(_) => return Err(CommandError::Incomplete),
            Ok(length) => filled += length,
        }
        if let Some(end) = line[..filled].iter().position(|byte| *byte == b'\n') {
            return Ok(end);
        }
        if filled == MAX_LINE_BYTES {
            return Err(CommandError::TooLong);
        }
    }
}
