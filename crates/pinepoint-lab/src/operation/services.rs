//! The stub services that all processes of a deployment share: the service registry, which records each load
//! report, and a store that answers each call at once.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::line_protocol::take_line;
use crate::listen::bind_unique_address;
use crate::sync::lock;

/// One load report to the service registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When it arrived.
    pub at: Instant,
    /// Name of the reported process.
    pub name: String,
    /// Whether the reported state is `UP`; otherwise it is `OUT`.
    pub up: bool,
}

/// The stub service registry.
#[derive(Clone, Debug)]
pub struct ServiceRegistry {
    reports: Arc<Mutex<Vec<Report>>>,
    /// UDP address that receives the load reports.
    pub address: SocketAddr,
}

impl ServiceRegistry {
    /// Starts the registry on its own thread, at a free loopback port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start() -> io::Result<ServiceRegistry> {
        ServiceRegistry::start_on(UdpSocket::bind("127.0.0.1:0")?)
    }

    /// Starts the registry on its own thread, reading reports from `socket`.
    ///
    /// # Errors
    /// If the socket has no address.
    pub fn start_on(socket: UdpSocket) -> io::Result<ServiceRegistry> {
        let service = ServiceRegistry { reports: Arc::default(), address: socket.local_addr()? };
        let reports = service.reports.clone();
        std::thread::spawn(move || record_reports(&socket, &reports));
        Ok(service)
    }

    /// All reports that arrived at `since` or later.
    pub fn reports_since(&self, since: Instant) -> Vec<Report> {
        let reports = lock(&self.reports);
        reports.iter().filter(|report| report.at >= since).cloned().collect()
    }

    /// Whether a report of this state (`UP` if `up`, else `OUT`) arrived at `since` or later.
    pub fn has_report_since(&self, since: Instant, up: bool) -> bool {
        self.reports_since(since).iter().any(|report| report.up == up)
    }
}

fn record_reports(socket: &UdpSocket, reports: &Mutex<Vec<Report>>) {
    let mut packet = [0; 512];
    loop {
        // A signal to this process may interrupt the call.
        let Ok(n) = socket.recv(&mut packet) else { continue };
        let text = String::from_utf8_lossy(&packet[..n]);
        if let ["HB", name, state @ ("UP" | "OUT")] = text.split_whitespace().collect::<Vec<_>>().as_slice() {
            let report = Report { at: Instant::now(), name: (*name).to_owned(), up: *state == "UP" };
            lock(reports).push(report);
        }
    }
}

/// The stub store.
#[derive(Clone, Debug)]
pub struct Store {
    calls: Arc<AtomicU64>,
    /// TCP address that the store listens on.
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on its own threads, at a loopback address that nothing else uses.
    ///
    /// # Errors
    /// If no address can be bound.
    pub fn start() -> io::Result<Store> {
        Store::start_on(bind_unique_address()?)
    }

    /// Starts the store on its own threads, accepting connections on `listener`.
    ///
    /// # Errors
    /// If the listener has no address.
    pub fn start_on(listener: TcpListener) -> io::Result<Store> {
        let store = Store { calls: Arc::default(), address: listener.local_addr()? };
        let calls = store.calls.clone();
        std::thread::spawn(move || accept_callers(&listener, &calls));
        Ok(store)
    }

    /// Number of calls answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

fn accept_callers(listener: &TcpListener, calls: &Arc<AtomicU64>) {
    for stream in listener.incoming().flatten() {
        let calls = calls.clone();
        // An error ends only this connection.
        std::thread::spawn(move || answer_calls(stream, &calls));
    }
}

fn answer_calls(mut stream: TcpStream, calls: &AtomicU64) -> io::Result<()> {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 4096]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        input.extend_from_slice(&chunk[..n]);
        while let Some((text, _)) = take_line(&mut input) {
            if let ["CALL", attempt_id, ..] = text.split(' ').collect::<Vec<_>>().as_slice() {
                calls.fetch_add(1, Ordering::Relaxed);
                stream.write_all(format!("{attempt_id} OK 2\r\nok\r\n").as_bytes())?;
            }
        }
    }
}
