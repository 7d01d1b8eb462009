//! What the node tells of itself: counters, log lines, and the export of the counters to Graphite and collectd.
//! It owns the counters and these forms; it must never decide anything and never delay a request. A monitor
//! that is slow or gone costs its own numbers and nothing else.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncWriteExt, future};

use super::clock::Clock;

/// Longest datagram to collectd, bytes: what fits into one Ethernet frame.
const DATAGRAM_MOST: usize = 1452;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters of the node, each counting up from its start.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>,)+ }

        impl Counters {
            /// Name and value of each, in a fixed order.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)+]
            }
        }
    };
}

counters! {
    /// Connections accepted by any front.
    connections,
    /// Connections that ended.
    connections_ended,
    /// Requests read and handed to the core.
    requests,
    /// Requests that were well framed but unusable, answered by the front.
    bad_requests,
    /// Requests that named a kept one.
    repeats,
    /// Requests with a known key and another body.
    refused_bodies,
    /// Requests whose time of arrival cannot be.
    bad_times,
    /// Answers with a result.
    served,
    /// Answers with a kept result of another try.
    reused,
    /// Refusals.
    refused,
    /// Failures.
    failed,
    /// Requests whose caller left before the answer.
    gone,
    /// Answers the core gave because the decisions had not by then.
    overdue,
    /// Health checks answered.
    pings,
    /// Runs begun on the engine.
    runs,
    /// Runs that the engine reported over.
    runs_ended,
    /// Runs stopped.
    halts,
    /// Starts that the core did not carry out as another try had run.
    doubles_prevented,
    /// Engine links made.
    engine_links,
    /// Commands that the engine did not carry out.
    engine_refusals,
    /// Timers served with old gauges as the engine was silent.
    stale_gauges,
    /// Calls made to the store.
    calls,
    /// Calls that went well.
    calls_done,
    /// Calls that ended otherwise.
    calls_failed,
    /// Runs that went on without their call.
    calls_left_out,
    /// Store connections made.
    store_links,
    /// Reports sent to the membership service.
    reports,
    /// Kept results given up for their size.
    results_dropped,
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Longest line of the log, bytes: as much as a pipe that can be written to takes without waiting.
const LINE_MOST: usize = 4096;

/// One line of the log: words as `name=value`, without spaces in them. A reader of the log that has stopped
/// reading must not stop the process: what does not fit into its pipe now is left out.
pub fn log(line: std::fmt::Arguments<'_>) {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    use std::io::Write;
    let mut text = line.to_string().into_bytes();
    text.truncate(LINE_MOST - 1);
    text.push(b'\n');
    let mut stderr = io::stderr().lock();
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ready = poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&at_once));
    if ready.is_ok_and(|n| n > 0) {
        // A log that cannot be written is no reason to stop serving either.
        let _ = stderr.write_all(&text);
    }
}

impl Counters {
    /// Writes all counters to the log as one line.
    pub fn print(&self) {
        let words: Vec<String> = self.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
        log(format_args!("counters {}", words.join(" ")));
    }
}

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
        log(format_args!("report={monitor} failed reason={}", error.to_string().replace(' ', "-")));
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
    let socket = super::links::datagrams_to(target.address)?;
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
