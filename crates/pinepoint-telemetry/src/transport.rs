//! Connections to receivers. Each connection has a task, which receives commands and reports events.
//!
//! A task owns its socket. It does not decide when to connect, what to send or when to give up; dropping the
//! task closes the connection.

mod datagrams;
mod lines;
mod stream;

use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncWrite, AsyncWriteExt};
use pinepoint_clock::Clock;

use crate::config::{AckPolicy, CollectdAddress};
use crate::delivery::{ConnectionId, DisconnectReason, Event};

/// A command to a connection.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send a message; its sequence number is reported with its acknowledgement.
    Send { sequence: u64, message: EncodedMessage },
    /// Ask the receiver to acknowledge all messages sent on the connection.
    RequestAck,
}

/// A message encoded for a protocol.
#[derive(Debug)]
pub(crate) enum EncodedMessage {
    /// Bytes on a stream.
    Stream(Vec<u8>),
    /// Lines on a stream, each of which is answered.
    Lines { bytes: Vec<u8>, count: usize },
    /// Datagrams.
    Datagrams(Vec<Vec<u8>>),
}

/// The protocol and address of a receiver.
#[derive(Clone, Debug)]
pub(crate) enum Transport {
    /// A TCP stream that is acknowledged as a whole.
    Stream(SocketAddr, AckPolicy),
    /// A stream of lines that are answered one by one.
    AnsweredLines(CollectdAddress),
    /// Datagrams over UDP.
    Datagrams(SocketAddr),
}

/// The task of one connection.
pub(crate) struct ConnectionTask {
    pub(crate) id: ConnectionId,
    pub(crate) events: Sender<Event>,
    pub(crate) commands: Receiver<Command>,
    pub(crate) clock: Clock,
}

impl ConnectionTask {
    /// Connects, serves the connection until it ends, and reports its end as the last event.
    pub(crate) async fn run(self, transport: Transport) {
        let end = match transport {
            Transport::Stream(address, ack_policy) => self.serve_stream(address, ack_policy).await,
            Transport::AnsweredLines(CollectdAddress::Address(address)) => {
                match Async::<TcpStream>::connect(address).await {
                    Ok(stream) => self.serve_lines(&stream).await,
                    Err(_) => Err(DisconnectReason::Refused),
                }
            }
            Transport::AnsweredLines(CollectdAddress::Path(path)) => {
                match Async::<UnixStream>::connect(path).await {
                    Ok(stream) => self.serve_lines(&stream).await,
                    Err(_) => Err(DisconnectReason::Refused),
                }
            }
            Transport::Datagrams(address) => self.serve_datagrams(address).await,
        };
        match end {
            Ok(up_to) => self.report_acknowledged(up_to, true).await,
            Err(reason) => self.report(Event::Disconnected { connection: self.id, reason }).await,
        }
    }

    async fn report(&self, event: Event) {
        // Fails only if the delivery is gone, and then the event does not matter.
        let _ = self.events.send(event).await;
    }

    async fn report_connected(&self) {
        self.report(Event::Connected { connection: self.id }).await;
    }

    async fn report_written(&self, bytes: usize, pending: usize) {
        self.report(Event::Written { connection: self.id, bytes, pending }).await;
    }

    async fn report_acknowledged(&self, up_to: u64, closed: bool) {
        self.report(Event::Acknowledged { connection: self.id, up_to, closed }).await;
    }

    /// Writes all bytes, and reports the progress.
    async fn write(&self, mut stream: impl AsyncWrite + Unpin, bytes: &[u8]) -> Result<(), DisconnectReason> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = stream.write(rest).await.map_err(|_| DisconnectReason::Reset)?;
            if written == 0 {
                return Err(DisconnectReason::Closed);
            }
            rest = &rest[written..];
            self.report_written(written, rest.len()).await;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
