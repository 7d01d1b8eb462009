//! The management port: operators ask whether the process serves, read its figures, and drain it. One line for each
//! connection, one answer, close. It owns the calls and their answers; it must never wait for the core or touch a request.

use std::cell::{Cell, RefCell};
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
use crate::server::sync::Notify;

/// Connections at a time, as a part of the descriptors and between two bounds. One that has not sent its line gives way to
/// the next, the oldest first.
const CONNECTIONS_PART: usize = 16;
const CONNECTIONS_LEAST: usize = 4;
const CONNECTIONS_MOST: usize = 16;
/// Longest line, bytes, its end included.
const LINE_MOST: usize = 256;
/// Time in which a connection has to bring its line, ms.
const LINE_MS: f64 = 5000.0;
/// How long what comes after the answer is read and thrown away, ms: a close over unread bytes is a reset, and would take
/// the answer along.
const LINGER_MS: f64 = 500.0;
const LINGER_BYTES: usize = 16 * 1024;
/// Wait after a connection that could not be accepted, ms.
const ACCEPT_AGAIN_MS: f64 = 50.0;

/// Connections at a time in a process that may hold so many descriptors.
pub fn max_connections(descriptors: usize) -> usize {
    (descriptors / CONNECTIONS_PART).clamp(CONNECTIONS_LEAST, CONNECTIONS_MOST)
}

/// What an operator may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the process can serve.
    Ping,
    /// The figures.
    Info,
    /// A drain.
    LameDuck,
    /// The end of a drain.
    Rejoin,
}

/// Why a call gets `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The line names no call.
    Unknown,
    /// The line is longer than any call.
    TooLong,
    /// The connection ended before its line did.
    CutOff,
    /// The process does not serve yet.
    Starting,
    /// The process was told to end.
    Leaving,
}

impl CallError {
    /// The word behind `-ERR`.
    pub fn word(self) -> &'static str {
        match self {
            CallError::Unknown => "unknown call: PING, INFO, LAMEDUCK or REJOIN",
            CallError::TooLong => "line too long",
            CallError::CutOff => "line without an end",
            CallError::Starting => "starting",
            CallError::Leaving => "leaving",
        }
    }
}

impl Call {
    /// Reads a line, without its end.
    pub fn parse(line: &[u8]) -> Result<Call, CallError> {
        match line.trim_ascii() {
            b"PING" => Ok(Call::Ping),
            b"INFO" => Ok(Call::Info),
            b"LAMEDUCK" => Ok(Call::LameDuck),
            b"REJOIN" => Ok(Call::Rejoin),
            _ => Err(CallError::Unknown),
        }
    }

    /// Whether the call is answered with yes where the process stands.
    pub fn allowed_in(self, phase: Phase) -> Result<(), CallError> {
        match self {
            Call::Info => Ok(()),
            Call::Ping if phase < Phase::Serving => Err(CallError::Starting),
            Call::Ping if phase >= Phase::Closing => Err(CallError::Leaving),
            Call::Rejoin if phase >= Phase::Draining => Err(CallError::Leaving),
            Call::Ping | Call::LameDuck | Call::Rejoin => Ok(()),
        }
    }
}

/// What the port reads and sets.
pub struct Management {
    /// The names of the classes.
    pub active_settings: Rc<ActiveSettings>,
    /// Where the process stands; a drain is asked for here.
    pub status: Rc<Status>,
    /// The figures.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
}

impl Management {
    /// Where the process stands, a notice to leave that the core has not looked at yet included.
    fn phase(&self) -> Phase {
        let phase = self.status.phase.get();
        if self.status.termination_notice_ms.get().is_some() { phase.max(Phase::Draining) } else { phase }
    }

    /// Carries out a call, and gives its whole answer.
    pub fn answer(&self, line: Result<&[u8], CallError>) -> String {
        let call = line.and_then(Call::parse).and_then(|call| call.allowed_in(self.phase()).map(|()| call));
        match call {
            Ok(Call::Ping) => "+OK\n".to_owned(),
            Ok(Call::Info) => self.figures(),
            Ok(Call::LameDuck) => self.ask_drain(true),
            Ok(Call::Rejoin) => self.ask_drain(false),
            Err(error) => format!("-ERR {}\n", error.word()),
        }
    }

    /// The counters of each class that there was since the start. A name has several indexes where its kind has changed.
    fn by_name(&self) -> BTreeMap<String, ClassCounters> {
        let site = self.active_settings.site();
        let mut by_name: BTreeMap<String, ClassCounters> = BTreeMap::new();
        for index in 0..site.settings.classes.len() {
            let counters = by_name.entry(site.class_name(index).to_owned()).or_default();
            counters.add(&self.counters.class(index));
        }
        by_name
    }

    fn ask_drain(&self, drained: bool) -> String {
        self.status.lame_duck_request.set(Some(drained));
        if drained {
            // In force with the answer: a health check may be read before the core has its turn.
            self.status.healthy.set(false);
        }
        self.status.core_wakeup.wake();
        "+OK\n".to_owned()
    }

    fn figures(&self) -> String {
        let mut text = "+OK\n".to_owned();
        let mut line = |name: &str, value: u64, kind: &str| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "relay.{name}:{value}|{kind}");
        };
        for (name, class) in self.by_name() {
            line(&format!("calls.{name}.success"), class.served.get(), "c");
            line(&format!("calls.{name}.busy"), class.refused.get(), "c");
            line(&format!("calls.{name}.failure"), class.failed.get(), "c");
            line(&format!("calls.{name}.backend_calls"), class.runs.get(), "c");
        }
        line("inflight", self.counters.all_classes().open(), "g");
        line("reconfig_ok", self.counters.reloads.get(), "c");
        line("reconfig_failed", self.counters.reloads_failed.get(), "c");
        text.push_str(".\n");
        text
    }
}

/// The connections that are open, each with the signal that asks it to give way.
struct Connections {
    most: usize,
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last: Cell<u64>,
}

impl Connections {
    /// Enters a connection; the oldest is asked to give way where there are too many.
    fn enter(&self) -> (u64, Rc<Notify>) {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.most
            && let Some((_, oldest)) = open.pop_first()
        {
            oldest.wake();
        }
        let id = self.last.get() + 1;
        self.last.set(id);
        let give_way = Rc::new(Notify::default());
        open.insert(id, give_way.clone());
        (id, give_way)
    }

    fn left(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }
}

/// Accepts connections, of which there are `most` at a time, for as long as the process lives.
pub async fn listen(
    listener: Async<TcpListener>,
    most: usize,
    management: Rc<Management>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let connections = Rc::new(Connections { most, open: RefCell::default(), last: Cell::new(0) });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (id, give_way) = connections.enter();
                let (management, connections) = (management.clone(), connections.clone());
                let task = async move {
                    future::or(serve(&stream, &management), give_way.wait()).await;
                    connections.left(id);
                };
                executor.spawn(task).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "management-accept-failed");
                management.clock.pause(ACCEPT_AGAIN_MS).await;
            }
        }
    }
}

/// Reads a line, answers it and ends the connection. What goes wrong with the socket ends it too.
async fn serve(mut stream: &Async<TcpStream>, management: &Management) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut line = [0; LINE_MOST];
    let read = async { Some(read_line(stream, &mut line).await) };
    let late = async {
        management.clock.pause(LINE_MS).await;
        None
    };
    let Some(read) = future::or(read, late).await else { return };
    let answer = management.answer(read.map(|length| &line[..length]));
    let write = async {
        if stream.write_all(answer.as_bytes()).await.is_ok() {
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            discard(stream, LINGER_BYTES).await;
        }
    };
    future::or(write, management.clock.pause(LINGER_MS)).await;
}

/// Reads up to the end of the first line; tells the length of the line without its end.
async fn read_line(mut stream: &Async<TcpStream>, line: &mut [u8; LINE_MOST]) -> Result<usize, CallError> {
    let mut filled = 0;
    loop {
        match stream.read(&mut line[filled..]).await {
            Ok(0) | Err(_) => return Err(CallError::CutOff),
            Ok(read) => filled += read,
        }
        if let Some(end) = line[..filled].iter().position(|byte| *byte == b'\n') {
            return Ok(end);
        }
        if filled == LINE_MOST {
            return Err(CallError::TooLong);
        }
    }
}
