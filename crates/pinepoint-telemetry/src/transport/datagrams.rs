//! Datagrams over UDP. They are not acknowledged; only a refusal is detected.

use std::net::{SocketAddr, UdpSocket};

use async_io::Async;

use super::{Command, ConnectionTask, EncodedMessage};
use crate::delivery::DisconnectReason;

/// How long to wait for the kernel to learn that nobody listens at the destination, ms.
const REFUSAL_WAIT_MS: f64 = 50.0;
/// Maximum number of datagrams sent without a pause, so that the receiver's buffer does not overflow.
const DATAGRAM_BURST: usize = 8;
/// Pause after a burst, ms.
const BURST_PAUSE_MS: f64 = 2.0;

impl ConnectionTask {
    /// Serves the socket until it fails.
    pub(super) async fn serve_datagrams(&self, address: SocketAddr) -> Result<u64, DisconnectReason> {
        let any_port: SocketAddr =
            if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = Async::<UdpSocket>::bind(any_port).map_err(|_| DisconnectReason::Refused)?;
        socket.get_ref().connect(address).map_err(|_| DisconnectReason::Refused)?;
        self.report_connected().await;
        while let Ok(command) = self.commands.recv().await {
            let Command::Send { sequence, message: EncodedMessage::Datagrams(datagrams) } = command else {
                continue;
            };
            self.send_datagrams(&socket, &datagrams).await?;
            // The kernel reports the refusal of a datagram a moment later, with the next call.
            self.clock.pause(REFUSAL_WAIT_MS).await;
            if !matches!(socket.get_ref().take_error(), Ok(None)) {
                return Err(DisconnectReason::Refused);
            }
            self.report_written(datagrams.iter().map(Vec::len).sum(), 0).await;
            self.report_acknowledged(sequence, false).await;
        }
        Err(DisconnectReason::Closed)
    }

    async fn send_datagrams(
        &self,
        socket: &Async<UdpSocket>,
        datagrams: &[Vec<u8>],
    ) -> Result<(), DisconnectReason> {
        for (index, datagram) in datagrams.iter().enumerate() {
            if index > 0 && index % DATAGRAM_BURST == 0 {
                self.clock.pause(BURST_PAUSE_MS).await;
            }
            socket.send(datagram).await.map_err(|_| DisconnectReason::Refused)?;
        }
        Ok(())
    }
}
