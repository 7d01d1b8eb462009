//! A collectd receiver, written from the collectd wiki's pages on the binary and the plain-text protocol. It
//! receives values and notifications, in signed, encrypted and plain packets, and drops datagrams and stalls
//! streams on command. Like collectd, it rejects a value that is not newer than the previous value of its
//! series, and a packet that is not protected as required.

mod packet;
mod received;
mod text;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use received::{Notification, Received, Value};

use crate::sync::lock;

/// How long the receiver waits for a datagram before it checks whether it has to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause between two checks whether a stalled stream may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a datagram, bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The required protection of packets, like collectd's `SecurityLevel`.
#[derive(Clone, Debug, Default)]
pub enum SecurityLevel {
    /// Packets are plain.
    #[default]
    None,
    /// Packets are signed with this user and password.
    Sign(String, String),
    /// Packets are encrypted with this user and password.
    Encrypt(String, String),
}

/// User and password.
struct Credentials<'a> {
    user: &'a str,
    password: &'a str,
}

/// State shared by the threads of a receiver.
#[derive(Debug, Default)]
struct Shared {
    received: Mutex<Received>,
    is_stalled: AtomicBool,
    /// How many of a thousand datagrams are dropped.
    dropped_thousandths: AtomicU64,
    is_stopped: AtomicBool,
}

/// A collectd receiver. Dropping it stops the reception of datagrams.
#[derive(Debug)]
pub struct Collectd {
    shared: Arc<Shared>,
    address: String,
    socket_path: Option<PathBuf>,
}

impl Collectd {
    /// Receives datagrams at a free loopback port. The seed determines which datagrams are dropped after a
    /// call of [`Collectd::drop_datagrams`].
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub fn network(security: SecurityLevel, seed: u64) -> io::Result<Self> {
        Collectd::network_at(([127, 0, 0, 1], 0).into(), security, seed)
    }

    /// Receives datagrams like [`Collectd::network`], but at this address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn network_at(address: SocketAddr, security: SecurityLevel, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let address = socket.local_addr()?.to_string();
        let shared = Arc::<Shared>::default();
        let receiver = shared.clone();
        std::thread::spawn(move || receive_datagrams(&socket, &receiver, &security, seed));
        Ok(Collectd { shared, address, socket_path: None })
    }

    /// Receives the plain-text protocol over TCP at a free loopback port.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub fn text() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let shared = Arc::<Shared>::default();
        let receiver = shared.clone();
        std::thread::spawn(move || serve_streams(listener.incoming().flatten(), &receiver));
        Ok(Collectd { shared, address, socket_path: None })
    }

    /// Receives the plain-text protocol over a Unix socket at this path. Dropping the receiver removes the
    /// path.
    ///
    /// # Errors
    /// If the path cannot be bound.
    pub fn text_at(path: &Path) -> io::Result<Self> {
        let listener = UnixListener::bind(path)?;
        let shared = Arc::<Shared>::default();
        let receiver = shared.clone();
        std::thread::spawn(move || serve_streams(listener.incoming().flatten(), &receiver));
        let address = format!("unix:{}", path.display());
        Ok(Collectd { shared, address, socket_path: Some(path.to_owned()) })
    }

    /// The receiver's address, in the form that the edge file uses.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Everything received so far.
    pub fn received(&self) -> Received {
        lock(&self.shared.received).clone()
    }

    /// Stops reading from streams if `is_stalled`, or continues.
    pub fn stall(&self, is_stalled: bool) {
        self.shared.is_stalled.store(is_stalled, Ordering::Relaxed);
    }

    /// Drops this many of a thousand datagrams from now on, at random.
    pub fn drop_datagrams(&self, thousandths: u64) {
        self.shared.dropped_thousandths.store(thousandths, Ordering::Relaxed);
    }
}

impl Drop for Collectd {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        if let Some(path) = &self.socket_path {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn receive_datagrams(socket: &UdpSocket, shared: &Shared, security: &SecurityLevel, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    while !shared.is_stopped.load(Ordering::Relaxed) {
        // An error is the timeout, or a signal to the process.
        let Ok(n) = socket.recv(&mut bytes) else { continue };
        if rng.random_range(0..1000) < shared.dropped_thousandths.load(Ordering::Relaxed) {
            continue;
        }
        let mut received = lock(&shared.received);
        match packet::parse(security, &bytes[..n]) {
            Some(packet) => received.merge(packet),
            None => received.rejected += 1,
        }
    }
}

/// A stream that can be duplicated, so that reading and writing use separate values.
trait Duplex: Read + Write + Send + Sized + 'static {
    fn duplicate(&self) -> io::Result<Self>;
}

impl Duplex for TcpStream {
    fn duplicate(&self) -> io::Result<Self> {
        self.try_clone()
    }
}

impl Duplex for UnixStream {
    fn duplicate(&self) -> io::Result<Self> {
        self.try_clone()
    }
}

/// Serves each stream on its own thread.
fn serve_streams(streams: impl Iterator<Item = impl Duplex>, shared: &Arc<Shared>) {
    for stream in streams {
        let shared = shared.clone();
        std::thread::spawn(move || {
            let Ok(reader) = stream.duplicate() else { return };
            serve_text(BufReader::new(reader), stream, &shared);
        });
    }
}

/// Answers each line, until the stream ends or its last line is incomplete.
fn serve_text(mut input: impl BufRead, mut output: impl Write, shared: &Shared) {
    let mut line = String::new();
    loop {
        while shared.is_stalled.load(Ordering::Relaxed) {
            std::thread::sleep(STALL_POLL_INTERVAL);
        }
        line.clear();
        if !matches!(input.read_line(&mut line), Ok(n) if n > 0 && line.ends_with('\n')) {
            return;
        }
        let answer = text::execute(&mut lock(&shared.received), &line);
        if output.write_all(format!("{answer}\n").as_bytes()).is_err() {
            return;
        }
    }
}
