//! A Graphite receiver, written from "Feeding In Your Data" of Graphite's documentation: plaintext and pickle over TCP,
//! plaintext over UDP. It stalls, reads slowly, resets connections and restarts on command. It keeps what it has read:
//! complete lines and batches only.

mod points;
#[cfg(test)]
mod tests;

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use points::Points;

use crate::sync::lock;

/// Pause between two looks at the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What the receiver does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Reads all that comes.
    Normal,
    /// Accepts and reads nothing.
    Stalled,
    /// Reads so many bytes at a time, with a pause behind them.
    Drip(usize, Duration),
    /// Reads so many bytes of each connection and resets it.
    ResetAfter(usize),
}

/// The form of what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Lines.
    Plaintext,
    /// Pickled batches.
    Pickle,
}

#[derive(Debug)]
struct Shared {
    protocol: Protocol,
    mode: Mutex<Mode>,
    /// Connections and the listener of an earlier life end.
    generation: Mutex<u64>,
    points: Mutex<Points>,
}

impl Shared {
    fn is_current(&self, generation: u64) -> bool {
        *lock(&self.generation) == generation
    }
}

/// The receiver. Its threads end with it.
#[derive(Debug)]
pub struct Graphite {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Graphite {
    /// Listens at a free port of the loopback.
    pub fn start(protocol: Protocol) -> io::Result<Self> {
        Graphite::start_at(([127, 0, 0, 1], 0).into(), protocol)
    }

    /// Listens there.
    pub fn start_at(address: SocketAddr, protocol: Protocol) -> io::Result<Self> {
        let (mode, generation, points) = (Mutex::new(Mode::Normal), Mutex::new(0), Mutex::default());
        let mut graphite =
            Graphite { address, shared: Arc::new(Shared { protocol, mode, generation, points }) };
        graphite.address = graphite.listen()?;
        Ok(graphite)
    }

    /// Where it listens, or listened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does from now on.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Ends: its connections break, and what it has not read is lost. What it has read stays.
    pub fn stop(&self) {
        *lock(&self.shared.generation) += 1;
    }

    /// Listens again at the same address after [`Graphite::stop`].
    pub fn restart(&self) -> io::Result<()> {
        // The old listener takes a moment to go.
        let mut tries = 0;
        loop {
            match self.listen() {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < 400 => {
                    tries += 1;
                    std::thread::sleep(POLL_INTERVAL);
                }
                result => return result.map(|_| ()),
            }
        }
    }

    /// What was read so far.
    pub fn points(&self) -> Points {
        lock(&self.shared.points).clone()
    }

    fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(self.address)?;
        // A small window: what it does not read is not far from the sender.
        let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096);
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
        let most = match mode {
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
        match stream.read(&mut chunk[..most]) {
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

/// A receiver of plaintext datagrams.
#[derive(Debug)]
pub struct GraphiteUdp {
    address: SocketAddr,
    points: Arc<Mutex<Points>>,
}

impl GraphiteUdp {
    /// Listens at a free port of the loopback.
    pub fn start() -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (address, points) = (socket.local_addr()?, Arc::<Mutex<Points>>::default());
        let kept = points.clone();
        std::thread::spawn(move || {
            let mut packet = [0; 65_536];
            loop {
                let Ok(n) = socket.recv(&mut packet) else { continue };
                lock(&kept).read(Protocol::Plaintext, &mut packet[..n].to_vec());
            }
        });
        Ok(GraphiteUdp { address, points })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What was read so far.
    pub fn points(&self) -> Points {
        lock(&self.points).clone()
    }
}
