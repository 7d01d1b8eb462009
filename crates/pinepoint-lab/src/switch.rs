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

use crate::listen::{listen, own_port};

/// Who is at an end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
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
const AGAIN: Duration = Duration::from_millis(200);
/// Between two looks whether a way is open again.
const LOOK: Duration = Duration::from_millis(10);

/// What happens on the ways.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that is lost of what these are sent.
    pub deaf: BTreeMap<End, f64>,
    /// Part that comes twice.
    pub twice: f64,
    /// Most delay, ms: drawn evenly for each datagram, so that they overtake each other.
    pub delay_ms: u64,
    /// Nothing goes from the first to the second.
    pub cut: BTreeSet<(End, End)>,
    /// Those of different parts do not reach each other; who is in none is in part 0.
    pub part: BTreeMap<End, usize>,
}

impl Faults {
    fn forwards(&self, (from, to): (End, End)) -> bool {
        let part = |at: End| self.part.get(&at).copied().unwrap_or(0);
        let outside = from == End::Routers || to == End::Routers;
        (outside || part(from) == part(to)) && !self.cut.contains(&(from, to))
    }

    fn loss_to(&self, to: End) -> f64 {
        self.loss.max(self.deaf.get(&to).copied().unwrap_or(0.0))
    }

    fn delay(&self, random: &mut Pcg64Mcg) -> Duration {
        Duration::from_millis(random.random_range(0..=self.delay_ms))
    }
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<Faults>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Faults {
        self.lock().clone()
    }
}

/// Whether what is at the far end listens.
type IsUp = Box<dyn Fn() -> bool + Send>;

/// A way that is opened while the switch runs.
enum Way {
    Stream { at: TcpListener, ends: (End, End), to: SocketAddr, is_up: IsUp },
    Datagrams { socket: UdpSocket, ends: (End, End), to: SocketAddr },
}

/// The switch. Its thread ends with the process.
#[derive(Clone, Debug)]
pub struct Switch {
    faults: Shared,
    ways: Sender<Way>,
    /// Where each process is reached.
    pub ports: Vec<SocketAddr>,
}

impl Switch {
    /// Forwards datagrams to these addresses, in their order; who sends from one of them is that process.
    pub fn start(behind: Vec<SocketAddr>, seed: u64) -> io::Result<Switch> {
        let sockets: io::Result<Vec<UdpSocket>> =
            behind.iter().map(|_| UdpSocket::bind(("127.0.0.1", 0))).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<SocketAddr>> = sockets.iter().map(UdpSocket::local_addr).collect();
        let (ways, opened) = unbounded();
        let switch = Switch { faults: Shared::default(), ways, ports: ports? };
        let faults = switch.faults.clone();
        std::thread::spawn(move || forward(sockets, &behind, &faults, &opened, seed));
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
        from: End,
        to: End,
        address: SocketAddr,
        is_up: impl Fn() -> bool + Send + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = own_port()?;
        let at = listener.local_addr()?;
        self.open(Way::Stream { at: listener, ends: (from, to), to: address, is_up: Box::new(is_up) })?;
        Ok(at)
    }

    /// Opens a way for datagrams in this direction only. Returns where the first end is to send them.
    pub fn datagrams(&self, from: End, to: End, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let at = socket.local_addr()?;
        self.open(Way::Datagrams { socket, ends: (from, to), to: address })?;
        Ok(at)
    }

    fn open(&self, way: Way) -> io::Result<()> {
        self.ways.send_blocking(way).map_err(|_| io::Error::other("the switch has ended"))
    }
}

fn forward(
    sockets: Vec<UdpSocket>,
    behind: &[SocketAddr],
    faults: &Shared,
    opened: &Receiver<Way>,
    seed: u64,
) {
    let executor = Rc::new(LocalExecutor::new());
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for (to, socket) in sockets.into_iter().enumerate() {
        let Ok(socket) = Async::new(socket) else { return };
        let behind = behind.to_vec();
        let ends = move |from: SocketAddr| {
            let number = behind.iter().position(|address| *address == from)?;
            Some((End::Member(number), behind[to], End::Member(to)))
        };
        let random = Pcg64Mcg::seed_from_u64(random.next_u64());
        executor.spawn(datagrams(socket, ends, faults.clone(), random, executor.clone())).detach();
    }
    let open = async {
        while let Ok(way) = opened.recv().await {
            let random = Pcg64Mcg::seed_from_u64(random.next_u64());
            match way {
                Way::Datagrams { socket, ends: (from, to), to: address } => {
                    let Ok(socket) = Async::new(socket) else { continue };
                    let ends = move |_| Some((from, address, to));
                    executor
                        .spawn(datagrams(socket, ends, faults.clone(), random, executor.clone()))
                        .detach();
                }
                Way::Stream { at, ends, to, is_up } => {
                    let (faults, random) = (faults.clone(), std::cell::RefCell::new(random));
                    let serve = move |stream: Async<TcpStream>| {
                        let random = Pcg64Mcg::seed_from_u64(random.borrow_mut().next_u64());
                        carry(stream, to, ends, faults.clone(), random)
                    };
                    let is_up: Rc<dyn Fn() -> bool> = Rc::from(is_up as Box<dyn Fn() -> bool>);
                    let Ok(listen) = listen(at, move || is_up(), serve, executor.clone()) else { continue };
                    executor.spawn(listen).detach();
                }
            }
        }
        future::pending::<()>().await;
    };
    async_io::block_on(executor.run(open));
}

/// Forwards what comes to a socket, to where `ends` says of its sender.
async fn datagrams(
    socket: Async<UdpSocket>,
    ends: impl Fn(SocketAddr) -> Option<(End, SocketAddr, End)>,
    faults: Shared,
    mut random: Pcg64Mcg,
    executor: Rc<LocalExecutor<'static>>,
) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; 65_536];
    loop {
        // A refusal by the system of who is behind is told here, and is no end.
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
        let now = faults.now();
        let Some((from, target, to)) = ends(from) else { continue };
        if !now.forwards((from, to)) || random.random::<f64>() < now.loss_to(to) {
            continue;
        }
        for _ in 0..if random.random::<f64>() < now.twice { 2 } else { 1 } {
            let wait = now.delay(&mut random);
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
async fn carry(
    near: Async<TcpStream>,
    to: SocketAddr,
    (from, end): (End, End),
    faults: Shared,
    mut random: Pcg64Mcg,
) -> io::Result<()> {
    // What asks for a connection goes there, and the answer back.
    open_way(&faults, (from, end)).await;
    open_way(&faults, (end, from)).await;
    let far = Async::<TcpStream>::connect(to).await?;
    far.get_ref().set_nodelay(true)?;
    let there = pump(&near, &far, (from, end), &faults, Pcg64Mcg::seed_from_u64(random.next_u64()));
    let back = pump(&far, &near, (end, from), &faults, Pcg64Mcg::seed_from_u64(random.next_u64()));
    let (there, back) = future::zip(there, back).await;
    there.and(back)
}

async fn open_way(faults: &Shared, ends: (End, End)) {
    while !faults.lock().forwards(ends) {
        Timer::after(LOOK).await;
    }
}

async fn pump(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    ends: (End, End),
    faults: &Shared,
    mut random: Pcg64Mcg,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        open_way(faults, ends).await;
        let n = match read {
            Ok(n) if n > 0 => n,
            ended => {
                // The other end hears of it, and what it still has to say comes through.
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return ended.map(|_| ());
            }
        };
        let now = faults.now();
        let mut wait = now.delay(&mut random);
        if random.random::<f64>() < now.loss_to(ends.1) {
            wait += AGAIN;
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
