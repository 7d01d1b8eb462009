//! The switch between processes and what is around them: each advertised address is a port of it, and what comes there is
//! forwarded by pair and direction, or lost, delayed, doubled, or cut off, as a script says. Datagrams and streams alike;
//! what is lost of a stream comes later, as it would. Loopback only. It knows nothing of what it forwards.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender, unbounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::listen::{bind_unique_address, serve_while_up};

/// Who is at an end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// The process of this number.
    Member(usize),
    /// The store that all share.
    Store,
    /// The list service.
    List,
    /// The routers. They are outside: partitions do not touch them.
    Routers,
}

/// How late what is lost of a stream comes: it is sent again.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// Between two looks whether a way is open again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What happens on the ways.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that is lost of what these are sent.
    pub receive_loss: BTreeMap<Endpoint, f64>,
    /// Part that comes twice.
    pub duplication: f64,
    /// Most delay, ms: drawn evenly for each datagram, so that they overtake each other.
    pub delay_ms: u64,
    /// Nothing goes from the first to the second.
    pub blocked: BTreeSet<(Endpoint, Endpoint)>,
    /// Those of different parts do not reach each other; who is in none is in part 0.
    pub partition: BTreeMap<Endpoint, usize>,
}

impl Faults {
    fn forwards(&self, (from, to): (Endpoint, Endpoint)) -> bool {
        let partition = |at: Endpoint| self.partition.get(&at).copied().unwrap_or(0);
        let outside = from == Endpoint::Routers || to == Endpoint::Routers;
        (outside || partition(from) == partition(to)) && !self.blocked.contains(&(from, to))
    }

    fn loss_to(&self, to: Endpoint) -> f64 {
        self.loss.max(self.receive_loss.get(&to).copied().unwrap_or(0.0))
    }

    fn delay(&self, rng: &mut Pcg64Mcg) -> Duration {
        Duration::from_millis(rng.random_range(0..=self.delay_ms))
    }
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<Faults>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn snapshot(&self) -> Faults {
        self.lock().clone()
    }
}

/// Whether what is at the far end listens.
type IsUp = Box<dyn Fn() -> bool + Send>;

/// A way that is opened while the switch runs.
enum Route {
    Stream { at: TcpListener, direction: (Endpoint, Endpoint), to: SocketAddr, is_up: IsUp },
    Datagrams { socket: UdpSocket, direction: (Endpoint, Endpoint), to: SocketAddr },
}

/// The switch. Its thread ends with the process.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    faults: Shared,
    routes: Sender<Route>,
    /// Where each process is reached.
    pub ports: Vec<SocketAddr>,
}

impl FaultProxy {
    /// Forwards datagrams to these addresses, in their order; who sends from one of them is that process.
    pub fn start(targets: Vec<SocketAddr>, seed: u64) -> io::Result<FaultProxy> {
        let sockets: io::Result<Vec<UdpSocket>> =
            targets.iter().map(|_| UdpSocket::bind(("127.0.0.1", 0))).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<SocketAddr>> = sockets.iter().map(UdpSocket::local_addr).collect();
        let (routes, new_routes) = unbounded();
        let switch = FaultProxy { faults: Shared::default(), routes, ports: ports? };
        let faults = switch.faults.clone();
        std::thread::spawn(move || run_proxy(sockets, &targets, &faults, &new_routes, seed));
        Ok(switch)
    }

    /// The first few ports as a list in TOML: seeds of a fleet.
    pub fn seeds(&self) -> String {
        let seeds: Vec<String> = self.ports.iter().take(3).map(|port| format!("\"{port}\"")).collect();
        format!("[{}]", seeds.join(", "))
    }

    /// What happens now; changes count from the next datagram, or piece of a stream, on.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock()
    }

    /// Opens a way for streams from one end to another, which listens at this address while `is_up` says so. Returns where
    /// the first end is to connect.
    pub fn stream(
        &self,
        from: Endpoint,
        to: Endpoint,
        address: SocketAddr,
        is_up: impl Fn() -> bool + Send + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = bind_unique_address()?;
        let at = listener.local_addr()?;
        self.open(Route::Stream {
            at: listener,
            direction: (from, to),
            to: address,
            is_up: Box::new(is_up),
        })?;
        Ok(at)
    }

    /// Opens a way for datagrams in this direction only. Returns where the first end is to send them.
    pub fn datagrams(&self, from: Endpoint, to: Endpoint, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let at = socket.local_addr()?;
        self.open(Route::Datagrams { socket, direction: (from, to), to: address })?;
        Ok(at)
    }

    fn open(&self, way: Route) -> io::Result<()> {
        self.routes.send_blocking(way).map_err(|_| io::Error::other("the switch has ended"))
    }
}

fn run_proxy(
    sockets: Vec<UdpSocket>,
    targets: &[SocketAddr],
    faults: &Shared,
    new_routes: &Receiver<Route>,
    seed: u64,
) {
    let executor = Rc::new(LocalExecutor::new());
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for (to, socket) in sockets.into_iter().enumerate() {
        let Ok(socket) = Async::new(socket) else { return };
        let targets = targets.to_vec();
        let direction = move |from: SocketAddr| {
            let number = targets.iter().position(|address| *address == from)?;
            Some((Endpoint::Member(number), targets[to], Endpoint::Member(to)))
        };
        let rng = Pcg64Mcg::seed_from_u64(rng.next_u64());
        executor.spawn(forward_datagrams(socket, direction, faults.clone(), rng, executor.clone())).detach();
    }
    let open = async {
        while let Ok(way) = new_routes.recv().await {
            let rng = Pcg64Mcg::seed_from_u64(rng.next_u64());
            match way {
                Route::Datagrams { socket, direction: (from, to), to: address } => {
                    let Ok(socket) = Async::new(socket) else { continue };
                    let direction = move |_| Some((from, address, to));
                    executor
                        .spawn(forward_datagrams(socket, direction, faults.clone(), rng, executor.clone()))
                        .detach();
                }
                Route::Stream { at, direction, to, is_up } => {
                    let (faults, rng) = (faults.clone(), std::cell::RefCell::new(rng));
                    let serve = move |stream: Async<TcpStream>| {
                        let rng = Pcg64Mcg::seed_from_u64(rng.borrow_mut().next_u64());
                        proxy_stream(stream, to, direction, faults.clone(), rng)
                    };
                    let is_up: Rc<dyn Fn() -> bool> = Rc::from(is_up as Box<dyn Fn() -> bool>);
                    let Ok(accepting) = serve_while_up(at, move || is_up(), serve, executor.clone()) else {
                        continue;
                    };
                    executor.spawn(accepting).detach();
                }
            }
        }
        future::pending::<()>().await;
    };
    async_io::block_on(executor.run(open));
}

/// Forwards what comes to a socket, to where `direction` says of its sender.
async fn forward_datagrams(
    socket: Async<UdpSocket>,
    direction: impl Fn(SocketAddr) -> Option<(Endpoint, SocketAddr, Endpoint)>,
    faults: Shared,
    mut rng: Pcg64Mcg,
    executor: Rc<LocalExecutor<'static>>,
) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; 65_536];
    loop {
        // A refusal by the system of who is behind is told here, and is no end.
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
        let snapshot = faults.snapshot();
        let Some((from, target, to)) = direction(from) else { continue };
        if !snapshot.forwards((from, to)) || rng.random::<f64>() < snapshot.loss_to(to) {
            continue;
        }
        for _ in 0..if rng.random::<f64>() < snapshot.duplication { 2 } else { 1 } {
            let wait = snapshot.delay(&mut rng);
            let (socket, bytes) = (socket.clone(), buffer[..n].to_vec());
            let send = async move {
                if !wait.is_zero() {
                    Timer::after(wait).await;
                }
                let _ = socket.send_to(&bytes, target).await;
            };
            executor.spawn(send).detach();
        }
    }
}

/// Carries a stream to its other end and back, as long as both are there.
async fn proxy_stream(
    near: Async<TcpStream>,
    to: SocketAddr,
    (from, end): (Endpoint, Endpoint),
    faults: Shared,
    mut rng: Pcg64Mcg,
) -> io::Result<()> {
    // What asks for a connection goes there, and the answer back.
    wait_until_open(&faults, (from, end)).await;
    wait_until_open(&faults, (end, from)).await;
    let far = Async::<TcpStream>::connect(to).await?;
    far.get_ref().set_nodelay(true)?;
    let there = copy_direction(&near, &far, (from, end), &faults, Pcg64Mcg::seed_from_u64(rng.next_u64()));
    let back = copy_direction(&far, &near, (end, from), &faults, Pcg64Mcg::seed_from_u64(rng.next_u64()));
    let (there, back) = future::zip(there, back).await;
    there.and(back)
}

async fn wait_until_open(faults: &Shared, direction: (Endpoint, Endpoint)) {
    while !faults.lock().forwards(direction) {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn copy_direction(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    direction: (Endpoint, Endpoint),
    faults: &Shared,
    mut rng: Pcg64Mcg,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        wait_until_open(faults, direction).await;
        let n = match read {
            Ok(n) if n > 0 => n,
            ended => {
                // The other end hears of it, and what it still has to say comes through.
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return ended.map(|_| ());
            }
        };
        let snapshot = faults.snapshot();
        let mut wait = snapshot.delay(&mut rng);
        if rng.random::<f64>() < snapshot.loss_to(direction.1) {
            wait += RETRANSMIT_DELAY;
        }
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
        if let Err(error) = to.write_all(&buffer[..n]).await {
            let _ = from.get_ref().shutdown(Shutdown::Both);
            return Err(error);
        }
    }
}
