//! Stub services at the addresses of a configuration file: the engine, the store and the list service. With them one can
//! start the program on one machine and watch it serve a request.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::client::{Client, Reply, Request};
use super::engine::{Engine, Finish};
use super::services::{ServiceRegistry, Store};

/// Duration of a run on the stub engine.
const RUN_TIME: Duration = Duration::from_millis(5);
/// How long the program may take to become healthy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two attempts while the program starts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The addresses that a configuration file names; its other fields are not read.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where routers connect to the program.
    pub listen: SocketAddr,
    /// The engine, over TCP.
    pub engine: SocketAddr,
    /// The list service, over UDP.
    pub members: SocketAddr,
    /// The store, over TCP.
    pub store: SocketAddr,
}

impl Addresses {
    /// Reads them from a configuration file.
    pub fn read(file: &Path) -> io::Result<Addresses> {
        let text = std::fs::read_to_string(file)?;
        let document: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        let address = |field: &str| -> io::Result<SocketAddr> {
            let text = document.get(field).and_then(Value::as_str).unwrap_or_default();
            text.parse().map_err(|_| {
                let wrong = format!("{}: {field}: is no address like \"127.0.0.1:9300\"", file.display());
                io::Error::new(io::ErrorKind::InvalidData, wrong)
            })
        };
        Ok(Addresses {
            listen: address("listen")?,
            engine: address("engine")?,
            members: address("members")?,
            store: address("store")?,
        })
    }
}

/// The stub services, running on threads of their own for as long as this process lives.
#[derive(Debug)]
pub struct Stubs {
    /// The engine.
    pub engine: Engine,
    /// The store.
    pub store: Store,
    /// The list service.
    pub registry: ServiceRegistry,
}

impl Stubs {
    /// Starts all three at these addresses.
    pub fn start(addresses: &Addresses) -> io::Result<Stubs> {
        let engine = Engine::start_on(TcpListener::bind(addresses.engine)?, Finish::After(RUN_TIME))?;
        let store = Store::start_on(TcpListener::bind(addresses.store)?)?;
        let registry = ServiceRegistry::start_on(UdpSocket::bind(addresses.members)?)?;
        Ok(Stubs { engine, store, registry })
    }
}

/// Sends one request that only reads to the program at `listen`, once the program is healthy: it rejects requests until
/// it has connected to its engine.
pub fn request_once(listen: SocketAddr, body: &str) -> io::Result<Reply> {
    let client = connect_when_healthy(listen)?;
    Ok(client.call(&Request::read(body)))
}

/// Connects to the program at `listen` as soon as its health check succeeds.
fn connect_when_healthy(listen: SocketAddr) -> io::Result<Client> {
    let since = Instant::now();
    loop {
        let error = match Client::connect(listen) {
            Ok(client) if client.ping() == Reply::Health(true) => return Ok(client),
            Ok(_) => io::Error::new(io::ErrorKind::TimedOut, "the program is not healthy in time"),
            Err(error) => error,
        };
        if since.elapsed() > CONNECT_TIMEOUT {
            return Err(error);
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}
