//! An actor of a scenario: its inbox of text lines and the connections on which it sends.

use std::collections::HashMap;
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// Connections by the request id that was last named on each. The latest connection has the empty name.
pub(super) type Streams = Arc<Mutex<HashMap<String, TcpStream>>>;

/// A participant of a scenario: the program, a stub service or a client.
pub struct Actor {
    pub(super) inbox: Receiver<String>,
    pub(super) streams: Streams,
    /// Bytes kept by `cut=N` or `queue`; the next `send` writes them first.
    pub(super) unsent: Vec<u8>,
}

impl Actor {
    pub(super) fn new(inbox: Receiver<String>, streams: Streams) -> Self {
        Actor { inbox, streams, unsent: Vec::new() }
    }
}

/// A stream that records whether the peer reset it.
pub(super) struct ResetDetector {
    stream: TcpStream,
    was_reset: bool,
}

impl Read for ResetDetector {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let read = self.stream.read(bytes);
        self.was_reset |= read.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset);
        read
    }
}

/// The input of a client.
pub(super) type Input = BufReader<ResetDetector>;

/// Connects a client. A reader thread puts the texts that `read` decodes from the stream into its inbox, and
/// `closed` or `reset` at the end of the stream.
pub(super) fn connect_client(address: SocketAddr, read: fn(&mut Input) -> Option<String>) -> Actor {
    let stream = TcpStream::connect(address).expect("the program listens");
    let stream_to_read = ResetDetector { stream: stream.try_clone().expect("cloned"), was_reset: false };
    let mut input = BufReader::new(stream_to_read);
    let (sender, inbox) = channel();
    std::thread::spawn(move || {
        while let Some(text) = read(&mut input) {
            if sender.send(text).is_err() {
                return;
            }
        }
        let _ = sender.send(if input.get_ref().was_reset { "reset" } else { "closed" }.into());
    });
    Actor::new(inbox, Arc::new(Mutex::new(HashMap::from([(String::new(), stream)]))))
}

/// Reads `N` bytes.
pub(super) fn read_array<const N: usize>(input: &mut impl Read) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    input.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

/// Reads `length` bytes as text.
pub(super) fn read_text(input: &mut impl Read, length: usize) -> Option<String> {
    let mut bytes = vec![0; length];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
