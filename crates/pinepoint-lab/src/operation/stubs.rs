//! Stub services at the addresses of a configuration file: the engine, the store and the service registry.
//! With them the program can be started on one machine and serve a request.

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
/// How long the program may take to accept a connection and become healthy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two health checks while the program starts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The addresses in a configuration file. Other fields of the file are ignored.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address at which the program accepts routers.
    pub listen: SocketAddr,
    /// Address of the engine, TCP.
    pub engine: SocketAddr,
    /// Address of the service registry, UDP.
    pub members: SocketAddr,
    /// Address of the store, TCP.
    pub store: SocketAddr,
}

impl Addresses {
    /// Reads the addresses from a configuration file.
    pub fn read(file: &Path) -> io::Result<Addresses> {
        let text = std::fs::read_to_string(file)?;
        let document: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        let address = |field: &str| -> io::Result<SocketAddr> {
            let text = document.get(field).and_then(Value::as_str).unwrap_or_default();
            text.parse().map_err(|_| {
                let message =
                    format!("{}: field {field:?} is not an address like \"127.0.0.1:9300\"", file.display());
                io::Error::new(io::ErrorKind::InvalidData, message)
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

/// The running stub services. Their threads run until this process exits.
#[derive(Debug)]
pub struct Stubs {
    /// The engine.
    pub engine: Engine,
    /// The store.
    pub store: Store,
    /// The service registry.
    pub registry: ServiceRegistry,
}

impl Stubs {
    /// Starts all three services at their addresses; `listen` is not used.
    pub fn start(addresses: &Addresses) -> io::Result<Stubs> {
        let engine = Engine::start_on(TcpListener::bind(addresses.engine)?, Finish::After(RUN_TIME))?;
        let store = Store::start_on(TcpListener::bind(addresses.store)?)?;
        let registry = ServiceRegistry::start_on(UdpSocket::bind(addresses.members)?)?;
        Ok(Stubs { engine, store, registry })
    }
}

/// Sends one read-only request to the program at `listen` as soon as the program is healthy. Before that it
/// rejects requests, because it has not connected to its engine.
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
            Ok(_) => io::Error::new(
                io::ErrorKind::TimedOut,
                "the program accepts connections but did not become healthy in time",
            ),
            Err(error) => error,
        };
        if since.elapsed() > CONNECT_TIMEOUT {
            return Err(error);
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}
