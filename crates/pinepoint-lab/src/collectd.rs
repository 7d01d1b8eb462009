//! A collectd receiver, written from the wiki's pages on the binary and the plain-text protocol: values, notifications,
//! signed and encrypted packets; datagrams are lost and the stream is stalled on command. As collectd does, it refuses a
//! value that is not newer than the one before it, and a packet that is not protected as it was told.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use aes::Aes256;
use hmac::{Hmac, KeyInit, Mac};
use ofb::cipher::{KeyIvInit, StreamCipher};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sha1::Sha1;
use sha2::{Digest, Sha256};

/// A value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// A running total.
    Derive(i64),
    /// A state.
    Gauge(f64),
}

/// A notification.
#[derive(Clone, Debug, PartialEq)]
pub struct Notification {
    /// 1 failure, 2 warning, 4 okay.
    pub severity: u64,
    /// What it is about.
    pub type_instance: String,
    /// In words.
    pub message: String,
}

/// What was taken.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Values by `host/plugin-instance/type-instance`, each with its time in s.
    pub values: BTreeMap<String, Vec<(f64, Vec<Value>)>>,
    /// Notifications.
    pub notifications: Vec<Notification>,
    /// Packets and lines that were refused: bad form, wrong signature, wrong key, or not protected.
    pub rejected: u64,
    /// Values that were not newer than the last.
    pub stale: u64,
    /// Interval that senders told last, s.
    pub interval_s: f64,
}

impl Received {
    /// The last total or state of a series.
    pub fn last(&self, name: &str) -> Option<f64> {
        match self.values.get(name)?.last()?.1.first()? {
            Value::Derive(n) => Some(*n as f64),
            Value::Gauge(n) => Some(*n),
        }
    }

    fn merge(&mut self, other: Received) {
        for (name, rows) in other.values {
            for (time_s, values) in rows {
                self.insert(name.clone(), time_s, values);
            }
        }
        self.notifications.extend(other.notifications);
        self.stale += other.stale;
        self.interval_s = other.interval_s.max(self.interval_s);
    }

    fn insert(&mut self, name: String, time_s: f64, values: Vec<Value>) -> bool {
        let row = self.values.entry(name).or_default();
        if row.last().is_some_and(|(last, _)| *last >= time_s) {
            self.stale += 1;
            return false;
        }
        row.push((time_s, values));
        true
    }
}

/// What packets have to be protected with.
#[derive(Clone, Debug, Default)]
pub enum SecurityLevel {
    /// Nothing.
    #[default]
    None,
    /// A signature by this user and password at least.
    Sign(String, String),
    /// Encryption by them.
    Encrypt(String, String),
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn to_array<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.try_into().ok()
}

/// Takes what a packet holds; nothing of one that breaks off or is not what was wanted.
pub fn packet(received: &mut Received, security: &SecurityLevel, bytes: &[u8]) -> Option<()> {
    let kind = u16::from_be_bytes(to_array(bytes.get(..2)?)?);
    let length = usize::from(u16::from_be_bytes(to_array(bytes.get(2..4)?)?));
    let (head, rest) = (bytes.get(4..length)?, bytes.get(length..)?);
    match (security, kind) {
        (SecurityLevel::Sign(user, password), 0x0200) => {
            let (mac, name) = head.split_at_checked(32)?;
            let mut check = <Hmac<Sha256> as KeyInit>::new_from_slice(password.as_bytes()).ok()?;
            check.update(name);
            check.update(rest);
            if name != user.as_bytes() || check.verify_slice(mac).is_err() {
                return None;
            }
            parts(received, rest)
        }
        (SecurityLevel::Encrypt(user, password), 0x0210) => {
            if !rest.is_empty() {
                return None;
            }
            let name_length = usize::from(u16::from_be_bytes(to_array(head.get(..2)?)?));
            let name = head.get(2..2 + name_length)?;
            let vector: [u8; 16] = to_array(head.get(2 + name_length..2 + name_length + 16)?)?;
            let mut sealed = head.get(2 + name_length + 16..)?.to_vec();
            let key = Sha256::digest(password.as_bytes());
            ofb::Ofb::<Aes256>::new(&key, &vector.into()).apply_keystream(&mut sealed);
            let (digest, inner) = sealed.split_at_checked(20)?;
            if name != user.as_bytes() || Sha1::digest(inner).as_slice() != digest {
                return None;
            }
            parts(received, inner)
        }
        (SecurityLevel::None, kind) if kind < 0x0200 => parts(received, bytes),
        _ => None,
    }
}

fn name_of(named: &HashMap<u16, String>, kind: u16) -> &str {
    named.get(&kind).map_or("", String::as_str)
}

fn parts(received: &mut Received, mut bytes: &[u8]) -> Option<()> {
    let mut named: HashMap<u16, String> = HashMap::new();
    let (mut time_s, mut severity) = (0.0, 0);
    while !bytes.is_empty() {
        let kind = u16::from_be_bytes(to_array(bytes.get(..2)?)?);
        let length = usize::from(u16::from_be_bytes(to_array(bytes.get(2..4)?)?));
        let part = bytes.get(4..length)?;
        bytes = bytes.get(length..)?;
        match kind {
            0x0000 | 0x0002..=0x0005 | 0x0100 => {
                let text = std::str::from_utf8(part.strip_suffix(&[0])?).ok()?;
                named.insert(kind, text.to_owned());
                if kind == 0x0100 {
                    let (type_instance, message) = (name_of(&named, 5).to_owned(), text.to_owned());
                    received.notifications.push(Notification { severity, type_instance, message });
                }
            }
            0x0006 => {
                let count = usize::from(u16::from_be_bytes(to_array(part.get(..2)?)?));
                let (kinds, numbers) = part.get(2..)?.split_at_checked(count)?;
                if numbers.len() != count * 8 {
                    return None;
                }
                let value = |(kind, bytes): (&u8, &[u8])| match kind {
                    1 => Some(Value::Gauge(f64::from_le_bytes(to_array(bytes)?))),
                    2 => Some(Value::Derive(i64::from_be_bytes(to_array(bytes)?))),
                    _ => None,
                };
                let values = kinds.iter().zip(numbers.chunks(8)).map(value).collect::<Option<Vec<_>>>()?;
                let [host, plugin, instance, kind, what] = [0, 2, 3, 4, 5].map(|kind| name_of(&named, kind));
                let name = format!("{host}/{plugin}-{instance}/{kind}-{what}");
                received.insert(name, time_s, values);
            }
            0x0008 => time_s = u64::from_be_bytes(to_array(part)?) as f64 / f64::from(1 << 30),
            0x0009 => received.interval_s = u64::from_be_bytes(to_array(part)?) as f64 / f64::from(1 << 30),
            0x0101 => severity = u64::from_be_bytes(to_array(part)?),
            _ => return None,
        }
    }
    Some(())
}

/// Takes a command of the text protocol; returns the answer.
fn command(received: &mut Received, line: &str) -> String {
    let mut words = Vec::new();
    let mut rest = line.trim_end();
    while !rest.is_empty() {
        // A quoted word, or NAME=QUOTED.
        let (mut word, mut end, mut quoted, mut escaped) = (String::new(), rest.len(), false, false);
        for (at, c) in rest.char_indices() {
            match c {
                _ if escaped => {
                    word.push(c);
                    escaped = false;
                }
                '\\' if quoted => escaped = true,
                '"' => quoted = !quoted,
                ' ' if !quoted => {
                    end = at;
                    break;
                }
                _ => word.push(c),
            }
        }
        words.push(word);
        rest = rest[end..].trim_start();
    }
    let text: Vec<&str> = words.iter().map(String::as_str).collect();
    let option = |name: &str| text.iter().find_map(|word| word.strip_prefix(name)).map(str::to_owned);
    match text.as_slice() {
        ["PUTVAL", name, .., values] if name.split('/').count() == 3 => {
            let mut numbers = values.split(':');
            let time = numbers.next().and_then(|time| time.parse::<f64>().ok());
            let derive = name.contains("/derive");
            let values: Option<Vec<Value>> = numbers
                .map(|n| match n {
                    "U" => Some(Value::Gauge(f64::NAN)),
                    n if derive => n.parse().ok().map(Value::Derive),
                    n => n.parse().ok().map(Value::Gauge),
                })
                .collect();
            match (time, values) {
                (Some(time), Some(values)) if !values.is_empty() => {
                    if received.insert((*name).to_owned(), time, values) {
                        "0 Success: 1 value has been dispatched.".into()
                    } else {
                        "-1 Dispatching values failed: value too old".into()
                    }
                }
                _ => {
                    received.rejected += 1;
                    "-1 Parsing the values string failed.".into()
                }
            }
        }
        ["PUTNOTIF", ..] => {
            let severity = match option("severity=").as_deref() {
                Some("failure") => 1,
                Some("warning") => 2,
                _ => 4,
            };
            let (type_instance, message) = (option("type_instance="), option("message="));
            received.notifications.push(Notification {
                severity,
                type_instance: type_instance.unwrap_or_default(),
                message: message.unwrap_or_default(),
            });
            "0 Success".into()
        }
        _ => {
            received.rejected += 1;
            "-1 Unknown command".into()
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    received: Mutex<Received>,
    stalled: AtomicBool,
    /// Of a thousand datagrams, those that are lost.
    dropped_thousandths: AtomicU64,
    stopped: AtomicBool,
}

/// The receiver. Its threads end with it.
#[derive(Debug)]
pub struct Collectd {
    shared: Arc<Shared>,
    address: String,
    path: Option<PathBuf>,
}

impl Collectd {
    /// Takes datagrams at a free port of the loopback, lost by this seed once some are to be.
    pub fn network(security: SecurityLevel, seed: u64) -> io::Result<Self> {
        Collectd::network_at(([127, 0, 0, 1], 0).into(), security, seed)
    }

    /// The same at this address.
    pub fn network_at(address: SocketAddr, security: SecurityLevel, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let address = socket.local_addr()?.to_string();
        let shared = Arc::<Shared>::default();
        let shared_with_thread = shared.clone();
        std::thread::spawn(move || {
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let mut bytes = [0; 65_536];
            while !shared_with_thread.stopped.load(Ordering::Relaxed) {
                // A signal to the process may interrupt it.
                let Ok(n) = socket.recv(&mut bytes) else { continue };
                if random.random_range(0..1000)
                    < shared_with_thread.dropped_thousandths.load(Ordering::Relaxed)
                {
                    continue;
                }
                let mut received = lock(&shared_with_thread.received);
                // One that breaks off leaves nothing.
                let mut fresh = Received::default();
                match packet(&mut fresh, &security, &bytes[..n]) {
                    Some(()) => received.merge(fresh),
                    None => received.rejected += 1,
                }
            }
        });
        Ok(Collectd { shared, address, path: None })
    }

    /// Takes text over TCP at a free port of the loopback.
    pub fn text() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let shared = Arc::<Shared>::default();
        let shared_with_thread = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared_with_thread.clone();
                std::thread::spawn(move || {
                    let Ok(reader) = stream.try_clone() else { return };
                    serve(BufReader::new(reader), stream, &shared);
                });
            }
        });
        Ok(Collectd { shared, address, path: None })
    }

    /// Takes text over a Unix socket at this path.
    pub fn text_at(path: &Path) -> io::Result<Self> {
        let listener = UnixListener::bind(path)?;
        let shared = Arc::<Shared>::default();
        let shared_with_thread = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared_with_thread.clone();
                std::thread::spawn(move || {
                    let Ok(reader) = stream.try_clone() else { return };
                    serve(BufReader::new(reader), stream, &shared);
                });
            }
        });
        Ok(Collectd { shared, address: format!("unix:{}", path.display()), path: Some(path.to_owned()) })
    }

    /// Where it is, as the edge file has it.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// What was taken so far.
    pub fn received(&self) -> Received {
        lock(&self.shared.received).clone()
    }

    /// Reads nothing from a stream while this is set.
    pub fn stall(&self, stalled: bool) {
        self.shared.stalled.store(stalled, Ordering::Relaxed);
    }

    /// Loses so many of a thousand datagrams.
    pub fn drop_datagrams(&self, thousandths: u64) {
        self.shared.dropped_thousandths.store(thousandths, Ordering::Relaxed);
    }
}

impl Drop for Collectd {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(path) = &self.path {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write, shared: &Shared) {
    let mut line = String::new();
    loop {
        while shared.stalled.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        line.clear();
        if !matches!(input.read_line(&mut line), Ok(n) if n > 0 && line.ends_with('\n')) {
            return;
        }
        let answer = command(&mut lock(&shared.received), &line);
        if output.write_all(format!("{answer}\n").as_bytes()).is_err() {
            return;
        }
    }
}
