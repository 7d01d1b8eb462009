//! Reports to the platform's service registry whether this process accepts requests. It decides neither that nor when
//! the process is registered: it sends what [`Status::registered`] says.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;

use crate::server::control::status::Status;
use crate::server::observability::counters::{Counters, count};
use crate::server::upstream::UpstreamAddresses;

/// Between two reports, ms. An entry of the registry lapses after 3 s, and reports get lost: with a quarter of them lost
/// one entry in 250 would lapse at four reports in that time; at a dozen none does.
const REPORT_INTERVAL_MS: f64 = 250.0;

/// Sends reports for as long as the process lives: at once when something changes, and so often that losses do not
/// matter.
///
/// # Errors
///
/// The system gives no datagram socket. A report that cannot be sent is no error: the next one repeats it.
pub async fn send_reports(
    addresses: Rc<UpstreamAddresses>,
    name: String,
    status: Rc<Status>,
    clock: Clock,
    counters: Rc<Counters>,
) -> io::Result<()> {
    let socket = datagram_socket_for(addresses.registry())?;
    loop {
        if let Some(accepts_requests) = status.registered.get() {
            let report = format!("HB {name} {}", if accepts_requests { "UP" } else { "OUT" });
            // The registry may be down for now.
            if socket.send_to(report.as_bytes(), addresses.registry()).await.is_ok() {
                count(&counters.reports);
            }
        }
        future::or(status.registry_wakeup.wait(), clock.pause(REPORT_INTERVAL_MS)).await;
    }
}

/// A socket of the address family of this address, on any port.
fn datagram_socket_for(address: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let unspecified: SocketAddr =
        if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    Async::<UdpSocket>::bind(unspecified)
}
