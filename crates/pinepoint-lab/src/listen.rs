//! Listening sockets of stub services: unique addresses, and connections that are served while a service is
//! up. This module does not interpret the data on the connections.

use std::io;
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

/// Interval between two checks whether a service is up.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of addresses that are tried before binding fails.
const MAX_BIND_ATTEMPTS: usize = 1000;

/// Number of addresses that this process has tried so far.
static TRIED_ADDRESSES: AtomicUsize = AtomicUsize::new(0);
/// The port at each of these addresses. It is below 32,768: from there on systems assign ephemeral ports,
/// also for all addresses at once, so that such a port may be taken by another process whenever nothing
/// listens on it.
const PORT: u16 = 17_400;

/// Binds a TCP listener at a loopback address of its own, whose port is free for streams and datagrams. No
/// other caller gets the same address, even while nothing listens there.
pub(crate) fn bind_unique_address() -> io::Result<TcpListener> {
    let mut last_error = io::ErrorKind::AddrInUse.into();
    for _ in 0..MAX_BIND_ATTEMPTS {
        let host = unique_host(TRIED_ADDRESSES.fetch_add(1, Ordering::Relaxed));
        // Another process of this tool may use the address.
        match UdpSocket::bind((host, PORT)).and_then(|_| TcpListener::bind((host, PORT))) {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// The loopback address with this number; most likely no other process of this tool uses it.
fn unique_host(number: usize) -> Ipv4Addr {
    let (high, low) = ((number / 250 % 100) as u8, 1 + (number % 250) as u8);
    Ipv4Addr::from([127, 77 + high, (std::process::id() % 250) as u8, low])
}

/// Serves connections while the service is up. While it is down, nothing listens at its address; connections
/// that were open are closed.
pub(crate) fn serve_while_up<S, F>(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Clone + 'static,
    serve: S,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<impl Future<Output = ()>>
where
    S: Fn(Async<TcpStream>) -> F,
    F: Future<Output = io::Result<()>> + 'static,
{
    let address = listener.local_addr()?;
    let mut listener = Some(Async::new(listener)?);
    Ok(async move {
        loop {
            if listener.is_none() && is_up() {
                listener = Async::<TcpListener>::bind(address).ok();
            }
            let Some(open_listener) = listener.as_ref().filter(|_| is_up()) else {
                listener = None;
                Timer::after(POLL_INTERVAL).await;
                continue;
            };
            if let Some(stream) = accept_before_next_poll(open_listener).await {
                let _ = stream.get_ref().set_nodelay(true);
                let serving = future::or(serve(stream), wait_until_down(is_up.clone()));
                executor.spawn(serving).detach();
            }
        }
    })
}

/// Accepts a connection, if one arrives before the next check whether the service is up.
async fn accept_before_next_poll(listener: &Async<TcpListener>) -> Option<Async<TcpStream>> {
    let accepted = async { listener.accept().await.ok().map(|(stream, _)| stream) };
    let poll_timeout = async {
        Timer::after(POLL_INTERVAL).await;
        None
    };
    future::or(accepted, poll_timeout).await
}

/// Completes when the service is down.
async fn wait_until_down(is_up: impl Fn() -> bool) -> io::Result<()> {
    while is_up() {
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}
