//! The link to the engine: queues the core's commands, parses the engine's messages for the core, and
//! reconnects. The link never repeats a command. A message with a notice number reaches the core once, even
//! if the engine repeats it.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use pinepoint_clock::Clock;

use crate::server::core::api::{self, CoreInput, RunResult};
use crate::server::upstream::UpstreamAddresses;
use crate::server::upstream::connect::{Backoff, connect};
use crate::server::upstream::line::{
    Line, LineError, parse_digits, parse_finite, take_line, write_line, write_line_with_body,
};
use crate::server::write_buffer::WriteBuffer;

/// Size of the read buffer, bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Tag of the gauges that are requested last on a link that moves to another address. Their arrival proves
/// that the engine has read every command before the request.
const LAST_GAUGES_TAG: u64 = 0;
/// Time to wait for the last gauges, ms. If the engine stays silent, the commands that it may have missed are
/// treated as after a lost link.
const LAST_GAUGES_TIMEOUT_MS: f64 = 250.0;

/// The link to the engine as the core uses it. Commands are queued while the link is up, and dropped while it
/// is down.
#[derive(Debug, Default)]
pub struct EngineLink {
    outbox: WriteBuffer,
    attached: Cell<bool>,
}

impl EngineLink {
    /// Queues a command if the link is up; returns whether it is.
    fn queue_command(&self, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        if self.attached.get() {
            self.outbox.push(write);
        }
        self.attached.get()
    }
}

impl api::Engine for EngineLink {
    fn start_run(&self, attempt_id: &str, class: &str, body: &[u8]) -> bool {
        self.queue_command(|out| write_line_with_body(out, &format!("RUN {attempt_id} {class}"), body))
    }

    fn cancel_run(&self, attempt_id: &str) -> bool {
        self.queue_command(|out| write_line(out, &format!("HALT {attempt_id}")))
    }

    fn deliver_reply(&self, attempt_id: &str, reply: &[u8]) -> bool {
        self.queue_command(|out| write_line_with_body(out, &format!("FEED {attempt_id}"), reply))
    }

    fn skip_call(&self, attempt_id: &str, notice: u64) -> bool {
        self.queue_command(|out| write_line(out, &format!("SKIP {attempt_id} {notice}")))
    }

    fn request_gauges(&self, tag: u64) {
        self.queue_command(|out| write_line(out, &format!("STAT {tag}")));
    }
}

/// Why a connection to the engine ended. The text is the reason code in the log.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    /// The engine closed the connection.
    #[error("closed")]
    Closed,
    /// A reload changed the engine's address.
    #[error("moved")]
    Moved,
    /// The core has ended.
    #[error("no-core")]
    CoreGone,
    /// Connecting, reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The engine broke the protocol.
    #[error("{0}")]
    Protocol(#[from] LineError),
}

/// Keeps the link to the engine up, and moves it when the engine's address changes. Never completes.
pub async fn maintain_link(
    addresses: Rc<UpstreamAddresses>,
    link: Rc<EngineLink>,
    queue: Sender<CoreInput>,
    clock: Clock,
) {
    let connector = Connector { addresses, link, queue, clock, last_notice: Cell::new(0) };
    connector.run().await;
}

/// The task that connects to the engine, reads from it and writes to it.
struct Connector {
    addresses: Rc<UpstreamAddresses>,
    link: Rc<EngineLink>,
    queue: Sender<CoreInput>,
    clock: Clock,
    /// Number of the last notice that reached the core. The engine repeats the later notices on a new
    /// connection.
    last_notice: Cell<u64>,
}

impl Connector {
    async fn run(&self) {
        let mut backoff = Backoff::default();
        loop {
            let began_ms = self.clock.now();
            let address = self.addresses.engine();
            let end = self.connect_and_serve(address).await;
            if self.detach().await {
                backoff.reset();
            }
            let after_ms = (self.clock.now() - began_ms).round();
            tracing::info!(link = "engine", reason = end.to_string(), after_ms, "link-ended");
            if self.addresses.engine() == address {
                let pause = self.clock.pause(backoff.next_pause_ms());
                future::or(pause, self.addresses.engine_changed(address)).await;
            } else {
                backoff.reset();
            }
        }
    }

    /// Connects and serves the connection until it ends.
    async fn connect_and_serve(&self, address: SocketAddr) -> ConnectionEnd {
        let stream = match connect(address, &self.clock).await {
            Ok(stream) => stream,
            Err(error) => return error.into(),
        };
        self.link.outbox.clear();
        self.link.outbox.push(|out| write_line(out, &format!("ATTACH {}", self.last_notice.get())));
        let transfer = future::or(self.read(&stream), self.write(&stream));
        future::or(self.leave_changed_address(address), transfer).await
    }

    /// Marks the link as down, and notifies the core if the link was up. Returns whether the link was up.
    async fn detach(&self) -> bool {
        let was_attached = self.link.attached.replace(false);
        if was_attached {
            let _ = self.queue.send(CoreInput::EngineDetached).await;
        }
        was_attached
    }

    /// Waits for a new address of the engine, and gives the engine time to read the commands on the old
    /// connection. The core keeps its further commands for the new link.
    async fn leave_changed_address(&self, address: SocketAddr) -> ConnectionEnd {
        self.addresses.engine_changed(address).await;
        if self.detach().await {
            self.link.outbox.push(|out| write_line(out, &format!("STAT {LAST_GAUGES_TAG}")));
            self.clock.pause(LAST_GAUGES_TIMEOUT_MS).await;
        }
        ConnectionEnd::Moved
    }

    async fn write(&self, stream: &Async<TcpStream>) -> ConnectionEnd {
        loop {
            if let Err(error) = self.link.outbox.flush(stream).await {
                return error.into();
            }
        }
    }

    async fn read(&self, stream: &Async<TcpStream>) -> ConnectionEnd {
        let mut input = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            if let Err(end) = self.read_chunk(stream, &mut chunk, &mut input).await {
                return end;
            }
        }
    }

    /// Reads once, and handles each message that is complete after the read.
    async fn read_chunk(
        &self,
        mut stream: &Async<TcpStream>,
        chunk: &mut [u8],
        input: &mut Vec<u8>,
    ) -> Result<(), ConnectionEnd> {
        let length = stream.read(chunk).await?;
        if length == 0 {
            return Err(ConnectionEnd::Closed);
        }
        input.extend_from_slice(&chunk[..length]);
        while let Some(line) = take_line(input, has_body)? {
            self.handle(Message::parse(line)?).await?;
        }
        Ok(())
    }

    async fn handle(&self, message: Message) -> Result<(), ConnectionEnd> {
        // The engine sends some notices twice, and the core must receive each once.
        if message.notice.is_some_and(|notice| notice <= self.last_notice.get()) {
            return Ok(());
        }
        match message.input {
            Some(CoreInput::EngineAttached { .. }) => self.link.attached.set(true),
            Some(CoreInput::Gauges { tag: LAST_GAUGES_TAG, values: _ }) => {
                self.send_to_core(CoreInput::EngineCommandsRead).await?;
                return Err(ConnectionEnd::Moved);
            }
            _ => {}
        }
        if let Some(input) = message.input {
            self.send_to_core(input).await?;
        }
        // The notice counts as received only now: if the connection broke while the core's queue was full,
        // the engine has to repeat the notice, or it would be lost.
        if let Some(notice) = message.notice {
            self.last_notice.set(notice);
        }
        Ok(())
    }

    async fn send_to_core(&self, input: CoreInput) -> Result<(), ConnectionEnd> {
        self.queue.send(input).await.map_err(|_| ConnectionEnd::CoreGone)
    }
}

/// Whether a message of the engine has a body.
fn has_body(words: &[String]) -> bool {
    matches!(words[0].as_str(), "DONE" | "NEED")
}

/// A message of the engine.
struct Message {
    /// Number of the notice, which counts up; `None` for a message that is not a notice.
    notice: Option<u64>,
    /// Input for the core; `None` for a remark.
    input: Option<CoreInput>,
}

impl Message {
    fn parse(line: Line) -> Result<Message, LineError> {
        let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["HELLO", state @ ("chilly" | "hot"), since_start_ms] => {
                let cold = *state == "chilly";
                Ok(Message::response(CoreInput::EngineAttached {
                    cold,
                    since_start_ms: parse_finite(since_start_ms)?,
                }))
            }
            ["DONE", notice, id, result, _ms, _length] => {
                let (attempt_id, result) = ((*id).to_owned(), parse_result(result, &line.body)?);
                Message::notice(notice, CoreInput::RunEnded { attempt_id, result })
            }
            ["NEED", notice, id, _length] => {
                let (attempt_id, notice_number) = ((*id).to_owned(), parse_number(notice)?);
                let input = CoreInput::CallNeeded { attempt_id, notice: notice_number, body: line.body };
                Message::notice(notice, input)
            }
            ["STATS", tag, gauges @ ..] => {
                let values = gauges.iter().map(|gauge| parse_finite(gauge)).collect::<Result<_, _>>()?;
                Ok(Message::response(CoreInput::Gauges { tag: parse_number(tag)?, values }))
            }
            ["NO", command, id, ..] => {
                let (command, attempt_id) = ((*command).to_owned(), (*id).to_owned());
                Ok(Message::response(CoreInput::CommandRejected { command, attempt_id }))
            }
            ["NOTE", notice, ..] => Ok(Message { notice: Some(parse_number(notice)?), input: None }),
            _ => Err(LineError::Malformed),
        }
    }

    fn response(input: CoreInput) -> Message {
        Message { notice: None, input: Some(input) }
    }

    fn notice(number: &str, input: CoreInput) -> Result<Message, LineError> {
        Ok(Message { notice: Some(parse_number(number)?), input: Some(input) })
    }
}

fn parse_number(word: &str) -> Result<u64, LineError> {
    parse_digits(word).ok_or(LineError::Malformed)
}

fn parse_result(word: &str, body: &[u8]) -> Result<RunResult, LineError> {
    match word {
        "complete" => Ok(RunResult::Complete(body.into())),
        "error" => Ok(RunResult::Error),
        "cancelled" => Ok(RunResult::Cancelled),
        "unknown" => Ok(RunResult::Unknown),
        _ => Err(LineError::Malformed),
    }
}
