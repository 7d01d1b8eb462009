//! A fault injection proxy between processes and what is around them: each advertised address is a port of it, and what
//! arrives there is forwarded by pair and direction, or lost, delayed, duplicated or blocked, as a script says. It forwards
//! datagrams and streams; what is lost of a stream comes later, as TCP would send it again. Loopback only. It does not look
//! into what it forwards.

mod faults;
mod forward;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::{Sender, unbounded};

pub use faults::{Direction, Endpoint, Faults};
use forward::Forwarder;

use crate::listen::bind_unique_address;
use crate::sync;

/// Members that are named as seeds.
const SEED_COUNT: usize = 3;

/// The faults of the moment, shared by the proxy and its tasks.
#[derive(Clone, Debug, Default)]
struct SharedFaults(Arc<Mutex<Faults>>);

impl SharedFaults {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        sync::lock(&self.0)
    }

    fn snapshot(&self) -> Faults {
        self.lock().clone()
    }
}

/// A path that is opened while the proxy runs.
enum Route {
    Streams(StreamRoute),
    Datagrams { socket: UdpSocket, direction: Direction, address: SocketAddr },
}

struct StreamRoute {
    listener: TcpListener,
    direction: Direction,
    address: SocketAddr,
    /// Whether the target listens.
    is_up: Box<dyn Fn() -> bool + Send>,
}

/// The proxy. Its thread ends with the process.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    faults: SharedFaults,
    routes: Sender<Route>,
    /// Where each member is reached, in their order.
    pub ports: Vec<SocketAddr>,
}

impl FaultProxy {
    /// Forwards datagrams to members at these addresses, in their order; who sends from one of them is that member.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub fn start(members: Vec<SocketAddr>, seed: u64) -> io::Result<FaultProxy> {
        let sockets: io::Result<Vec<UdpSocket>> =
            members.iter().map(|_| UdpSocket::bind(("127.0.0.1", 0))).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<SocketAddr>> = sockets.iter().map(UdpSocket::local_addr).collect();
        let (routes, opened) = unbounded();
        let proxy = FaultProxy { faults: SharedFaults::default(), routes, ports: ports? };
        let faults = proxy.faults.clone();
        std::thread::spawn(move || Forwarder::new(faults, seed).run(sockets, &members, &opened));
        Ok(proxy)
    }

    /// The ports of the first few members as a list in TOML: seeds of a fleet.
    pub fn seeds(&self) -> String {
        let ports = self.ports.iter().take(SEED_COUNT);
        let seeds: Vec<String> = ports.map(|port| format!("\"{port}\"")).collect();
        format!("[{}]", seeds.join(", "))
    }

    /// The faults, to read and to change; changes count from the next datagram, or piece of a stream, on.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock()
    }

    /// Opens a path for streams from one endpoint to another, which listens at this address while `is_up` says so. Returns
    /// where the first endpoint is to connect.
    ///
    /// # Errors
    /// If no address can be bound.
    pub fn stream(
        &self,
        from: Endpoint,
        to: Endpoint,
        address: SocketAddr,
        is_up: impl Fn() -> bool + Send + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = bind_unique_address()?;
        let entry = listener.local_addr()?;
        let direction = Direction::new(from, to);
        self.open(Route::Streams(StreamRoute { listener, direction, address, is_up: Box::new(is_up) }))?;
        Ok(entry)
    }

    /// Opens a path for datagrams in this direction only. Returns where the first endpoint is to send them.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn datagrams(&self, from: Endpoint, to: Endpoint, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let entry = socket.local_addr()?;
        self.open(Route::Datagrams { socket, direction: Direction::new(from, to), address })?;
        Ok(entry)
    }

    fn open(&self, route: Route) -> io::Result<()> {
        self.routes.send_blocking(route).map_err(|_| io::Error::other("the proxy has ended"))
    }
}
