//! A Graphite receiver, written from "Feeding In Your Data" in Graphite's documentation: plaintext and pickle
//! over TCP, and plaintext over UDP. On command it stalls, reads slowly, resets connections and restarts. It
//! keeps the points of complete lines and batches only.

mod points;
#[cfg(test)]
mod tests;

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use points::Points;

use crate::sync::lock;

/// Pause between two checks of the mode, and read timeout of a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of further attempts to bind the address, one every [`POLL_INTERVAL`].
const MAX_BIND_ATTEMPTS: u32 = 400;
/// Receive buffer of a connection, bytes; small, so that most unread data stays at the sender.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Maximum size of a datagram, bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Behaviour of the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Reads everything that arrives.
    Normal,
    /// Accepts connections and reads nothing.
    Stalled,
    /// Reads this many bytes at a time, with this pause before each read.
    Drip(usize, Duration),
    /// Reads this many bytes of each connection and then resets it.
    ResetAfter(usize),
}

/// Protocol of a TCP receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Lines of text.
    Plaintext,
    /// Pickled batches.
    Pickle,
}

#[derive(Debug)]
struct Shared {
    protocol: Protocol,
    mode: Mutex<Mode>,
    /// Number of stops; connections and listeners of an earlier generation close.
    generation: Mutex<u64>,
    points: Mutex<Points>,
}

impl Shared {
    fn is_current(&self, generation: u64) -> bool {
        *lock(&self.generation) == generation
    }
}

/// A Graphite receiver over TCP. Its threads end when it is dropped.
#[derive(Debug)]
pub struct Graphite {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Graphite {
    /// Listens at a free loopback port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(protocol: Protocol) -> io::Result<Self> {
        Graphite::start_at(([127, 0, 0, 1], 0).into(), protocol)
    }

    /// Listens at this address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start_at(address: SocketAddr, protocol: Protocol) -> io::Result<Self> {
        let (mode, generation, points) = (Mutex::new(Mode::Normal), Mutex::new(0), Mutex::default());
        let mut graphite =
            Graphite { address, shared: Arc::new(Shared { protocol, mode, generation, points }) };
        graphite.address = graphite.listen()?;
        Ok(graphite)
    }

    /// The receiver's address; it stays the same after a stop.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behaviour from now on.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Stops the receiver: its connections close and unread data is lost. Points already read are kept.
    pub fn stop(&self) {
        *lock(&self.shared.generation) += 1;
    }

    /// Listens again at the same address after [`Graphite::stop`].
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn restart(&self) -> io::Result<()> {
        // The previous listener may still be open for a moment.
        let mut attempts = 0;
        loop {
            match self.listen() {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_BIND_ATTEMPTS => {
                    attempts += 1;
                    std::thread::sleep(POLL_INTERVAL);
                }
                result => return result.map(|_| ()),
            }
        }
    }

    /// All points read so far.
    pub fn points(&self) -> Points {
        lock(&self.shared.points).clone()
    }

    fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(self.address)?;
        let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (shared, generation) = (self.shared.clone(), *lock(&self.shared.generation));
        std::thread::spawn(move || {
            while shared.is_current(generation) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        lock(&shared.points).connections += 1;
                        let shared = shared.clone();
                        std::thread::spawn(move || serve(&stream, &shared, generation));
                    }
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(address)
    }
}

impl Drop for Graphite {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(mut stream: &TcpStream, shared: &Shared, generation: u64) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
    let (mut input, mut chunk, mut read) = (Vec::new(), [0; 4096], 0);
    while shared.is_current(generation) {
        let mode = *lock(&shared.mode);
        let max_bytes = match mode {
            Mode::Normal => chunk.len(),
            Mode::Stalled => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            Mode::Drip(bytes, pause) => {
                std::thread::sleep(pause);
                bytes.min(chunk.len())
            }
            Mode::ResetAfter(bytes) if read >= bytes => {
                let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
                return;
            }
            Mode::ResetAfter(bytes) => (bytes - read).min(chunk.len()),
        };
        match stream.read(&mut chunk[..max_bytes]) {
            Ok(0) => return,
            Ok(n) => {
                read += n;
                input.extend_from_slice(&chunk[..n]);
                lock(&shared.points).read(shared.protocol, &mut input);
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// A Graphite receiver of plaintext datagrams.
#[derive(Debug)]
pub struct GraphiteUdp {
    address: SocketAddr,
    points: Arc<Mutex<Points>>,
}

impl GraphiteUdp {
    /// Listens at a free loopback port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start() -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (address, points) = (socket.local_addr()?, Arc::<Mutex<Points>>::default());
        let received = points.clone();
        std::thread::spawn(move || {
            let mut packet = [0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok(n) = socket.recv(&mut packet) else { continue };
                lock(&received).read(Protocol::Plaintext, &mut packet[..n].to_vec());
            }
        });
        Ok(GraphiteUdp { address, points })
    }

    /// The receiver's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All points read so far.
    pub fn points(&self) -> Points {
        lock(&self.points).clone()
    }
}
