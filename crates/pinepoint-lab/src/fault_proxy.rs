//! A fault injection proxy between the processes and the services around them. Each advertised address is a
//! port of the proxy. Traffic that arrives there is forwarded, lost, delayed, duplicated or blocked, by pair
//! of endpoints and direction, as a script sets it. The proxy forwards datagrams and streams; a lost piece of
//! a stream is delayed, as if TCP retransmitted it. It works on loopback only and does not interpret the
//! data.

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

/// Number of members that are used as seeds.
const SEED_COUNT: usize = 3;

/// The current faults, shared by the proxy and its tasks.
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

/// A network path that is opened while the proxy runs.
enum Route {
    Streams(StreamRoute),
    Datagrams { socket: UdpSocket, direction: Direction, address: SocketAddr },
}

struct StreamRoute {
    listener: TcpListener,
    direction: Direction,
    address: SocketAddr,
    /// Whether the target listens now.
    is_up: Box<dyn Fn() -> bool + Send>,
}

/// A handle on the proxy, whose thread ends with the process; clones share the proxy.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    faults: SharedFaults,
    routes: Sender<Route>,
    /// The ports through which the members are reached, in the order of the members.
    pub ports: Vec<SocketAddr>,
}

impl FaultProxy {
    /// Starts a proxy that forwards datagrams between members at these addresses. A member is recognized by
    /// the address from which it sends.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub fn start(members: Vec<SocketAddr>, seed: u64) -> io::Result<FaultProxy> {
        let sockets: io::Result<Vec<UdpSocket>> =
            members.iter().map(|_| UdpSocket::bind(("127.0.0.1", 0))).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<SocketAddr>> = sockets.iter().map(UdpSocket::local_addr).collect();
        let (routes, route_receiver) = unbounded();
        let proxy = FaultProxy { faults: SharedFaults::default(), routes, ports: ports? };
        let faults = proxy.faults.clone();
        std::thread::spawn(move || Forwarder::new(faults, seed).run(sockets, &members, &route_receiver));
        Ok(proxy)
    }

    /// The ports of the first few members, which are the seeds of a fleet, as a list in TOML.
    pub fn seeds(&self) -> String {
        let ports = self.ports.iter().take(SEED_COUNT);
        let seeds: Vec<String> = ports.map(|port| format!("\"{port}\"")).collect();
        format!("[{}]", seeds.join(", "))
    }

    /// The faults, to read and to change. Changes take effect from the next datagram or piece of a stream on.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock()
    }

    /// Opens a path for streams from one endpoint to another, which listens at this address while `is_up`
    /// returns true. Returns the address to which the first endpoint has to connect.
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
        let proxy_address = listener.local_addr()?;
        let direction = Direction::new(from, to);
        self.open(Route::Streams(StreamRoute { listener, direction, address, is_up: Box::new(is_up) }))?;
        Ok(proxy_address)
    }

    /// Opens a path for datagrams in this direction only. Returns the address to which the first endpoint has
    /// to send them.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn datagrams(&self, from: Endpoint, to: Endpoint, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let proxy_address = socket.local_addr()?;
        self.open(Route::Datagrams { socket, direction: Direction::new(from, to), address })?;
        Ok(proxy_address)
    }

    fn open(&self, route: Route) -> io::Result<()> {
        self.routes
            .send_blocking(route)
            .map_err(|_| io::Error::other("the thread of the fault proxy has ended"))
    }
}
