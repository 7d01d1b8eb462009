//! The tasks of the proxy: each forwards the datagrams of one socket, or the streams of one listener, and
//! applies the current faults.

use std::cell::RefCell;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Direction, Endpoint, Route, SharedFaults, StreamRoute};
use crate::listen::serve_while_up;

/// Additional delay of a lost piece of a stream, which stands for a retransmission by TCP.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// Interval between two checks whether a blocked path is open again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum length of a datagram, bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum length of a forwarded piece of a stream, bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Destination of a forwarded datagram.
#[derive(Clone, Copy)]
struct Forwarding {
    direction: Direction,
    address: SocketAddr,
}

/// All tasks of the proxy, on one thread.
pub(super) struct Forwarder {
    executor: Rc<LocalExecutor<'static>>,
    faults: SharedFaults,
    rng: Pcg64Mcg,
}

impl Forwarder {
    pub(super) fn new(faults: SharedFaults, seed: u64) -> Forwarder {
        Forwarder { executor: Rc::default(), faults, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Forwards datagrams between members, and traffic on each route that is opened, until this process ends.
    pub(super) fn run(mut self, sockets: Vec<UdpSocket>, members: &[SocketAddr], routes: &Receiver<Route>) {
        for (to, socket) in sockets.into_iter().enumerate() {
            if self.forward_to_member(socket, members, to).is_err() {
                return;
            }
        }
        let executor = self.executor.clone();
        async_io::block_on(executor.run(async {
            while let Ok(route) = routes.recv().await {
                // A route whose socket the system refuses is not served.
                let _ = self.open(route);
            }
            future::pending::<()>().await;
        }));
    }

    fn child_rng(&mut self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.rng.next_u64())
    }

    /// Forwards the datagrams that members send to the member with this index.
    fn forward_to_member(&mut self, socket: UdpSocket, members: &[SocketAddr], to: usize) -> io::Result<()> {
        let socket = Async::new(socket)?;
        let members = members.to_vec();
        let target = move |sender: SocketAddr| {
            let from = members.iter().position(|address| *address == sender)?;
            let direction = Direction::new(Endpoint::Member(from), Endpoint::Member(to));
            Some(Forwarding { direction, address: members[to] })
        };
        self.spawn_datagrams(socket, target);
        Ok(())
    }

    fn open(&mut self, route: Route) -> io::Result<()> {
        let rng = self.child_rng();
        match route {
            Route::Datagrams { socket, direction, address } => {
                let socket = Async::new(socket)?;
                let forwarding = Forwarding { direction, address };
                self.spawn_datagrams_with(socket, move |_| Some(forwarding), rng);
            }
            Route::Streams(StreamRoute { listener, direction, address, is_up }) => {
                let (faults, rng) = (self.faults.clone(), RefCell::new(rng));
                let serve = move |stream: Async<TcpStream>| {
                    let rng = Pcg64Mcg::seed_from_u64(rng.borrow_mut().next_u64());
                    forward_stream(stream, address, direction, faults.clone(), rng)
                };
                let is_up: Rc<dyn Fn() -> bool> = Rc::from(is_up as Box<dyn Fn() -> bool>);
                let accepting = serve_while_up(listener, move || is_up(), serve, self.executor.clone())?;
                self.executor.spawn(accepting).detach();
            }
        }
        Ok(())
    }

    fn spawn_datagrams(
        &mut self,
        socket: Async<UdpSocket>,
        target: impl Fn(SocketAddr) -> Option<Forwarding> + 'static,
    ) {
        let rng = self.child_rng();
        self.spawn_datagrams_with(socket, target, rng);
    }

    fn spawn_datagrams_with(
        &self,
        socket: Async<UdpSocket>,
        target: impl Fn(SocketAddr) -> Option<Forwarding> + 'static,
        rng: Pcg64Mcg,
    ) {
        let (faults, executor) = (self.faults.clone(), self.executor.clone());
        self.executor.spawn(forward_datagrams(socket, target, faults, rng, executor)).detach();
    }
}

/// Forwards the datagrams that arrive at a socket. `target` returns the destination by sender; datagrams
/// without one are dropped.
async fn forward_datagrams(
    socket: Async<UdpSocket>,
    target: impl Fn(SocketAddr) -> Option<Forwarding>,
    faults: SharedFaults,
    mut rng: Pcg64Mcg,
    executor: Rc<LocalExecutor<'static>>,
) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports that a target refused an earlier datagram. The socket stays usable.
        let Ok((n, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let faults = faults.snapshot();
        let Some(Forwarding { direction, address }) = target(sender) else { continue };
        if !faults.allows(direction) || faults.draw_loss(direction.to, &mut rng) {
            continue;
        }
        for _ in 0..faults.draw_copies(&mut rng) {
            let delay = faults.draw_delay(&mut rng);
            executor.spawn(send_later(socket.clone(), buffer[..n].to_vec(), address, delay)).detach();
        }
    }
}

async fn send_later(socket: Rc<Async<UdpSocket>>, bytes: Vec<u8>, address: SocketAddr, delay: Duration) {
    if !delay.is_zero() {
        Timer::after(delay).await;
    }
    let _ = socket.send_to(&bytes, address).await;
}

/// Forwards a stream to its target and back, until both directions have ended.
async fn forward_stream(
    client: Async<TcpStream>,
    address: SocketAddr,
    direction: Direction,
    faults: SharedFaults,
    mut rng: Pcg64Mcg,
) -> io::Result<()> {
    // A TCP handshake needs both directions: the SYN goes to the target, and its answer comes back.
    wait_until_open(&faults, direction).await;
    wait_until_open(&faults, direction.reversed()).await;
    let target = Async::<TcpStream>::connect(address).await?;
    target.get_ref().set_nodelay(true)?;
    let outbound = copy(&client, &target, direction, &faults, Pcg64Mcg::seed_from_u64(rng.next_u64()));
    let inbound =
        copy(&target, &client, direction.reversed(), &faults, Pcg64Mcg::seed_from_u64(rng.next_u64()));
    let (outbound, inbound) = future::zip(outbound, inbound).await;
    outbound.and(inbound)
}

/// Waits until traffic in this direction is not blocked.
async fn wait_until_open(faults: &SharedFaults, direction: Direction) {
    while !faults.lock().allows(direction) {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Copies one direction of a stream to its end.
async fn copy(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    direction: Direction,
    faults: &SharedFaults,
    mut rng: Pcg64Mcg,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        wait_until_open(faults, direction).await;
        let n = match read {
            Ok(n) if n > 0 => n,
            end_or_error => {
                // A half-close: the receiver reads the end of the stream and may still send.
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return end_or_error.map(|_| ());
            }
        };
        let faults = faults.snapshot();
        let mut delay = faults.draw_delay(&mut rng);
        if faults.draw_loss(direction.to, &mut rng) {
            delay += RETRANSMIT_DELAY;
        }
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        if let Err(error) = to.write_all(&buffer[..n]).await {
            let _ = from.get_ref().shutdown(Shutdown::Both);
            return Err(error);
        }
    }
}
