//! Reports to the platform's service registry whether this process accepts requests. This module does not
//! decide when the process is registered or accepts requests: it sends the state in [`Status::registered`].

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;

use crate::server::control::status::Status;
use crate::server::observability::counters::{Counters, count};
use crate::server::upstream::UpstreamAddresses;

/// Interval between two reports, ms. An entry of the registry expires after 3 s without a report, and reports
/// get lost. If a quarter of the reports is lost, one entry in 250 would expire with four reports in 3 s;
/// with twelve none does.
const REPORT_INTERVAL_MS: f64 = 250.0;

/// Sends reports until the process ends: at once after a change, and otherwise often enough that lost reports
/// do not matter.
///
/// # Errors
///
/// The datagram socket cannot be opened. A report that cannot be sent is not an error: the next report
/// replaces it.
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
            // The registry may be down for a while, so a failure to send is ignored.
            if socket.send_to(report.as_bytes(), addresses.registry()).await.is_ok() {
                count(&counters.reports);
            }
        }
        future::or(status.registry_wakeup.wait(), clock.pause(REPORT_INTERVAL_MS)).await;
    }
}

/// Opens a datagram socket on any port, in the address family of `address`.
fn datagram_socket_for(address: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let unspecified: SocketAddr =
        if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    Async::<UdpSocket>::bind(unspecified)
}
