//! How stub services listen: at addresses of their own, and with connections that are served while a script lets the
//! service be up. It does not know what is said on the connections.

use std::io;
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

/// Pause between two looks whether a service is up.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Addresses that are tried before none is found.
const MAX_BIND_ATTEMPTS: usize = 1000;

/// Addresses that were handed out by this process.
static ADDRESSES: AtomicUsize = AtomicUsize::new(0);
/// The port at each of them. Systems hand out ports from 32,768 on to those that ask for any, also at all addresses at once: one
/// from there may be somebody else's whenever nobody listens at it.
const PORT: u16 = 17_400;

/// Binds a port of loopback at an address of its own, free for streams and datagrams: nobody else is given the same, also
/// while nobody listens there.
pub(crate) fn bind_unique_address() -> io::Result<TcpListener> {
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..MAX_BIND_ATTEMPTS {
        let host = unique_host(ADDRESSES.fetch_add(1, Ordering::Relaxed));
        // Another process of this tool may have it.
        match UdpSocket::bind((host, PORT)).and_then(|_| TcpListener::bind((host, PORT))) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// The loopback address of this number, which is most likely of this process alone.
fn unique_host(number: usize) -> Ipv4Addr {
    let (high, low) = ((number / 250 % 100) as u8, 1 + (number % 250) as u8);
    Ipv4Addr::from([127, 77 + high, (std::process::id() % 250) as u8, low])
}

/// Serves connections while the service is up. While it is down nobody listens there, and open connections are closed.
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
            let Some(open) = listener.as_ref().filter(|_| is_up()) else {
                listener = None;
                Timer::after(POLL_INTERVAL).await;
                continue;
            };
            if let Some(stream) = accept_soon(open).await {
                let _ = stream.get_ref().set_nodelay(true);
                let serving = future::or(serve(stream), until_down(is_up.clone()));
                executor.spawn(serving).detach();
            }
        }
    })
}

/// A connection that comes before the next look whether the service is up.
async fn accept_soon(listener: &Async<TcpListener>) -> Option<Async<TcpStream>> {
    let accepted = async { listener.accept().await.ok().map(|(stream, _)| stream) };
    let time_to_look = async {
        Timer::after(POLL_INTERVAL).await;
        None
    };
    future::or(accepted, time_to_look).await
}

async fn until_down(is_up: impl Fn() -> bool) -> io::Result<()> {
    while is_up() {
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}
