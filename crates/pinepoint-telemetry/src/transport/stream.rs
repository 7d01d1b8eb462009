//! Graphite over TCP. The protocol has no acknowledgements; the orderly close of the connection serves as an
//! acknowledgement.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::{AsyncReadExt, future};

use super::{Command, ConnectionTask, EncodedMessage};
use crate::config::AckPolicy;
use crate::delivery::DisconnectReason;
use crate::send_queue::unacknowledged_bytes;

/// Interval at which the kernel is asked for the number of unacknowledged bytes, ms.
const ACK_POLL_INTERVAL_MS: f64 = 20.0;

impl ConnectionTask {
    /// Serves the connection until all messages are acknowledged. Returns the sequence number of the last
    /// message.
    pub(super) async fn serve_stream(
        &self,
        address: SocketAddr,
        ack_policy: AckPolicy,
    ) -> Result<u64, DisconnectReason> {
        let stream = Async::<TcpStream>::connect(address).await.map_err(|_| DisconnectReason::Refused)?;
        let _ = stream.get_ref().set_nodelay(true);
        self.report_connected().await;
        let last_sequence = future::or(self.write_messages(&stream), closed_by_receiver(&stream)).await?;
        if ack_policy == AckPolicy::Closed {
            stream.get_ref().shutdown(Shutdown::Write).map_err(|_| DisconnectReason::Reset)?;
            // The end of the stream means that the receiver's process has read all data and closed the
            // connection. If the process closes with unread data, its kernel sends a reset instead.
            read_to_end(&stream).await.map_err(|_| DisconnectReason::Reset)?;
        }
        self.wait_until_acknowledged(&stream).await?;
        Ok(last_sequence)
    }

    /// Writes messages until an acknowledgement is requested. Returns the sequence number of the last
    /// message.
    async fn write_messages(&self, stream: &Async<TcpStream>) -> Result<u64, DisconnectReason> {
        let mut last_sequence = 0;
        while let Ok(command) = self.commands.recv().await {
            match command {
                Command::Send { sequence, message: EncodedMessage::Stream(bytes) } => {
                    self.write(stream, &bytes).await?;
                    last_sequence = sequence;
                }
                Command::Send { .. } => {}
                Command::RequestAck => return Ok(last_sequence),
            }
        }
        Err(DisconnectReason::Closed)
    }

    /// Waits until the receiver's kernel has acknowledged all bytes.
    async fn wait_until_acknowledged(&self, stream: &Async<TcpStream>) -> Result<(), DisconnectReason> {
        let mut pending_before = usize::MAX;
        loop {
            if !matches!(stream.get_ref().take_error(), Ok(None)) {
                return Err(DisconnectReason::Reset);
            }
            let pending = unacknowledged_bytes(stream).map_err(|_| DisconnectReason::Reset)?;
            if pending == 0 {
                return Ok(());
            }
            let acknowledged = pending_before.saturating_sub(pending).min(pending);
            self.report_written(acknowledged, pending).await;
            pending_before = pending;
            self.clock.pause(ACK_POLL_INTERVAL_MS).await;
        }
    }
}

/// Waits until the receiver closes the connection unasked. Such a close does not show how much it has read.
async fn closed_by_receiver(stream: &Async<TcpStream>) -> Result<u64, DisconnectReason> {
    match read_to_end(stream).await {
        Ok(()) => Err(DisconnectReason::Closed),
        Err(_) => Err(DisconnectReason::Reset),
    }
}

/// Reads and ignores whatever the receiver sends, up to the end of the stream.
async fn read_to_end(mut stream: &Async<TcpStream>) -> io::Result<()> {
    let mut chunk = [0; 512];
    while stream.read(&mut chunk).await? > 0 {}
    Ok(())
}
