//! The export of the counters to Graphite and collectd. It owns these forms; it must never decide anything and
//! never delay a request. A monitor that is slow or gone costs its own numbers and nothing else.

use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncWriteExt, future};
use pinepoint_clock::Clock;

use super::counters::Counters;
use super::links::datagrams_to;

/// Longest datagram to collectd, bytes: what fits into one Ethernet frame.
const DATAGRAM_MOST: usize = 1452;

/// Where counters are sent, and how often.
#[derive(Clone, Debug)]
pub struct Target {
    /// The monitor.
    pub address: SocketAddr,
    /// Name of this comparer there.
    pub host: String,
    /// Time between two reports, ms.
    pub every_ms: f64,
}

// ---- Graphite: plaintext lines over TCP ----

/// All counters as lines of `path value seconds`.
pub fn graphite_lines(counters: &Counters, prefix: &str, host: &str, now_ms: f64) -> String {
    // A dot would part the name into two levels of the tree.
    let host = host.replace(['.', ' '], "_");
    let seconds = (now_ms / 1000.0).floor();
    let line = |(name, value): (&str, u64)| format!("{prefix}.{host}.{name} {value} {seconds:.0}\n");
    counters.list().into_iter().map(line).collect()
}

/// Reports to Graphite for ever: a connection for each report, given up when the next is due.
pub async fn graphite(target: Target, prefix: String, counters: Rc<Counters>, clock: Clock) {
    loop {
        clock.pause(target.every_ms).await;
        let lines = graphite_lines(&counters, &prefix, &target.host, clock.now());
        let report = async {
            let mut stream = Async::<TcpStream>::connect(target.address).await?;
            stream.write_all(lines.as_bytes()).await?;
            stream.close().await
        };
        let late = async {
            clock.pause(target.every_ms).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        told("graphite", future::or(report, late).await);
    }
}

fn told(monitor: &str, result: io::Result<()>) {
    if let Err(error) = result {
        tracing::warn!(monitor, %error, "report-failed");
    }
}

// ---- collectd: its binary network protocol over UDP ----

const HOST: u16 = 0x0000;
const PLUGIN: u16 = 0x0002;
const TYPE: u16 = 0x0004;
const TYPE_INSTANCE: u16 = 0x0005;
const VALUES: u16 = 0x0006;
const TIME_HIGH: u16 = 0x0008;
const INTERVAL_HIGH: u16 = 0x0009;
const DERIVE: u8 = 2;

fn part(out: &mut Vec<u8>, kind: u16, payload: &[u8]) {
    out.extend_from_slice(&kind.to_be_bytes());
    out.extend_from_slice(&(payload.len() as u16 + 4).to_be_bytes());
    out.extend_from_slice(payload);
}

fn string_part(out: &mut Vec<u8>, kind: u16, text: &str) {
    part(out, kind, &[text.as_bytes(), &[0]].concat());
}

/// Milliseconds in the protocol's unit, 2^-30 s.
fn high_resolution(ms: f64) -> [u8; 8] {
    ((ms / 1000.0 * f64::from(1 << 30)) as u64).to_be_bytes()
}

/// All counters as datagrams, each complete in itself: a lost one takes only its own values along.
pub fn collectd_datagrams(counters: &Counters, host: &str, now_ms: f64, every_ms: f64) -> Vec<Vec<u8>> {
    let mut head = Vec::new();
    string_part(&mut head, HOST, host);
    part(&mut head, TIME_HIGH, &high_resolution(now_ms));
    part(&mut head, INTERVAL_HIGH, &high_resolution(every_ms));
    string_part(&mut head, PLUGIN, "pinepoint");
    string_part(&mut head, TYPE, "derive");
    let mut datagrams = vec![head.clone()];
    for (name, value) in counters.list() {
        let mut entry = Vec::new();
        string_part(&mut entry, TYPE_INSTANCE, name);
        let value = i64::try_from(value).unwrap_or(i64::MAX).to_be_bytes();
        part(&mut entry, VALUES, &[&[0, 1, DERIVE], &value[..]].concat());
        match datagrams.last_mut() {
            Some(last) if last.len() + entry.len() <= DATAGRAM_MOST => last.extend(entry),
            _ => datagrams.push([head.clone(), entry].concat()),
        }
    }
    datagrams
}

/// Reports to collectd for ever.
pub async fn collectd(target: Target, counters: Rc<Counters>, clock: Clock) -> io::Result<()> {
    let socket = datagrams_to(target.address)?;
    loop {
        clock.pause(target.every_ms).await;
        for datagram in collectd_datagrams(&counters, &target.host, clock.now(), target.every_ms) {
            told("collectd", send(&socket, &datagram, target.address).await);
        }
    }
}

async fn send(socket: &Async<UdpSocket>, datagram: &[u8], address: SocketAddr) -> io::Result<()> {
    socket.send_to(datagram, address).await.map(|_| ())
}
