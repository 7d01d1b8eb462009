//! How stand-ins listen: ports of their own, connections that are served while a script lets them be, and lines of the platform's
//! protocol. It owns ports; what is said over them is the stand-ins'.

use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

/// How often those that listen look whether they are to go on.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Takes a whole line off the front, with its body if its form has one.
pub(crate) fn take_line(input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = input.windows(2).position(|two| two == b"\r\n")?;
    let text = String::from_utf8_lossy(&input[..end]).into_owned();
    let has_body = ["RUN ", "FEED ", "CALL "].iter().any(|head| text.starts_with(head));
    let length = if has_body { text.rsplit(' ').next()?.parse::<usize>().ok()? + 2 } else { 0 };
    let body = input.get(end + 2..end + 2 + length)?.to_vec();
    input.drain(..end + 2 + length);
    Some((text, body.strip_suffix(b"\r\n").unwrap_or(&body).to_vec()))
}

/// Addresses handed out by this process.
static HOSTS: AtomicUsize = AtomicUsize::new(0);
/// The port at each of them. Systems hand out ports from 32,768 on to those that ask for any, also at all addresses at once: one
/// from there may be somebody else's whenever nobody listens at it.
const PORT: u16 = 17_400;

/// A port of loopback at an address of its own, for streams and datagrams: nobody else is given the same, also while
/// nobody listens there.
pub(crate) fn bind_unique_address() -> io::Result<TcpListener> {
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..1000 {
        let number = HOSTS.fetch_add(1, Ordering::Relaxed);
        let (high, low) = ((number / 250 % 100) as u8, 1 + (number % 250) as u8);
        let host = std::net::Ipv4Addr::from([127, 77 + high, (std::process::id() % 250) as u8, low]);
        // Another process of the laboratory may have it.
        match UdpSocket::bind((host, PORT)).and_then(|_| TcpListener::bind((host, PORT))) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Serves connections while this says so. While it does not nobody listens there, and those that were open are closed.
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
    async fn poll_tick<T>() -> Option<T> {
        Timer::after(POLL_INTERVAL).await;
        None
    }
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
            let accepted = async { open.accept().await.ok().map(|(stream, _)| stream) };
            if let Some(stream) = future::or(accepted, poll_tick()).await {
                let _ = stream.get_ref().set_nodelay(true);
                let (served, is_up) = (serve(stream), is_up.clone());
                let until_down = async move {
                    while is_up() {
                        Timer::after(POLL_INTERVAL).await;
                    }
                    Ok(())
                };
                executor.spawn(future::or(served, until_down)).detach();
            }
        }
    })
}
