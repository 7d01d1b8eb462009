//! A Graphite receiver, written from "Feeding In Your Data" of Graphite's documentation: plaintext and pickle over TCP,
//! plaintext over UDP. It stalls, drips, resets and restarts on command. It keeps what it has read: whole lines and
//! whole batches only.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_pickle::{DeOptions, Value};

/// Longest line and batch that it takes, bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Between two looks at what it is to do.
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

/// What was read.
#[derive(Clone, Debug, Default)]
pub struct Points {
    /// Value by path and time.
    pub values: HashMap<String, BTreeMap<u64, f64>>,
    /// Points that came with another value than before.
    pub conflicting: u64,
    /// Lines and batches that could not be understood.
    pub malformed: u64,
    /// Connections that were accepted.
    pub connections: u64,
}

impl Points {
    /// The sum of all values of a path.
    pub fn sum(&self, path: &str) -> f64 {
        self.values.get(path).map_or(0.0, |times| times.values().sum())
    }

    /// Adds what another receiver has: a time of a path that both have counts once.
    pub fn merge(&mut self, other: &Points) {
        for (path, times) in &other.values {
            for (time, value) in times {
                self.insert(path, *time, *value);
            }
        }
        self.malformed += other.malformed;
        self.conflicting += other.conflicting;
    }

    fn insert(&mut self, path: &str, time: u64, value: f64) {
        let known = self.values.entry(path.to_owned()).or_default().insert(time, value);
        self.conflicting += u64::from(known.is_some_and(|known| known != value));
    }

    fn insert_line(&mut self, insert_line: &[u8]) {
        let text = std::str::from_utf8(insert_line).unwrap_or_default();
        let words: Vec<&str> = text.trim_end().split(' ').collect();
        match words.as_slice() {
            [path, value, time] => match (value.parse(), time.parse()) {
                (Ok(value), Ok(time)) if !path.is_empty() => self.insert(path, time, value),
                _ => self.malformed += 1,
            },
            _ => self.malformed += 1,
        }
    }

    fn insert_batch(&mut self, insert_batch: &[u8]) {
        let Ok(Value::List(rows)) = serde_pickle::value_from_slice(insert_batch, DeOptions::new()) else {
            self.malformed += 1;
            return;
        };
        for row in rows {
            let Value::Tuple(row) = row else { return self.malformed += 1 };
            let [Value::String(path), Value::Tuple(at)] = row.as_slice() else { return self.malformed += 1 };
            match at.as_slice() {
                [Value::I64(time), Value::I64(value)] => self.insert(path, *time as u64, *value as f64),
                [Value::I64(time), Value::F64(value)] => self.insert(path, *time as u64, *value),
                _ => self.malformed += 1,
            }
        }
    }

    /// Takes what is whole off the front.
    fn read(&mut self, protocol: Protocol, input: &mut Vec<u8>) {
        match protocol {
            Protocol::Plaintext => {
                while let Some(end) = input.iter().position(|b| *b == b'\n') {
                    let insert_line: Vec<u8> = input.drain(..=end).collect();
                    self.insert_line(&insert_line);
                }
            }
            Protocol::Pickle => {
                while let Some(head) = input.first_chunk::<4>() {
                    let length = u32::from_be_bytes(*head) as usize;
                    if length > MAX_MESSAGE_BYTES {
                        self.malformed += 1;
                        input.clear();
                        return;
                    }
                    let Some(insert_batch) = input.get(4..4 + length) else { return };
                    let insert_batch = insert_batch.to_vec();
                    input.drain(..4 + length);
                    self.insert_batch(&insert_batch);
                }
            }
        }
    }
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
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

#[cfg(test)]
mod tests {
    use std::io::Write;

    use super::*;

    fn wait(graphite: &Graphite, what: impl Fn(&Points) -> bool) -> Points {
        for _ in 0..2000 {
            let points = graphite.points();
            if what(&points) {
                return points;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("it did not come: {:?}", graphite.points());
    }

    #[test]
    fn whole_lines_are_kept_and_the_rest_is_not() {
        let graphite = Graphite::start(Protocol::Plaintext).expect("it listens");
        let mut stream = TcpStream::connect(graphite.address()).expect("connected");
        stream.write_all(b"a.b 3 100\na.b 4 110\nnonsense\na.b 5 1").expect("sent");
        let points = wait(&graphite, |points| points.malformed == 1);
        assert_eq!((points.sum("a.b"), points.values["a.b"].len(), points.conflicting), (7.0, 2, 0));
        graphite.stop();
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
        assert!(TcpStream::connect(graphite.address()).is_err() || graphite.restart().is_ok());
    }
}
