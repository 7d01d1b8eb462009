//! The switch between processes: each advertised address is a port of it, and what comes there is forwarded by pair and
//! direction, or lost, delayed, doubled, or cut off, as a script says. Loopback only. It knows nothing of what is in a
//! datagram.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What happens between processes, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that is lost of what these are sent.
    pub deaf: BTreeMap<usize, f64>,
    /// Part that comes twice.
    pub twice: f64,
    /// Most delay, ms: drawn evenly for each datagram, so that they overtake each other.
    pub delay_ms: u64,
    /// Nothing goes from the first to the second.
    pub cut: BTreeSet<(usize, usize)>,
    /// Those of different parts do not reach each other; who is in none is in part 0.
    pub part: BTreeMap<usize, usize>,
}

impl Faults {
    fn forwards(&self, from: usize, to: usize) -> bool {
        let part = |at: usize| self.part.get(&at).copied().unwrap_or(0);
        part(from) == part(to) && !self.cut.contains(&(from, to))
    }
}

/// The switch. Its thread ends with the process.
#[derive(Clone, Debug)]
pub struct Switch {
    faults: Arc<Mutex<Faults>>,
    /// Where each process is reached.
    pub ports: Vec<SocketAddr>,
}

impl Switch {
    /// Forwards to these addresses, in their order; who sends from one of them is that process.
    pub fn start(behind: Vec<SocketAddr>, seed: u64) -> io::Result<Switch> {
        let sockets: io::Result<Vec<UdpSocket>> =
            behind.iter().map(|_| UdpSocket::bind(("127.0.0.1", 0))).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<SocketAddr>> = sockets.iter().map(UdpSocket::local_addr).collect();
        let switch = Switch { faults: Arc::default(), ports: ports? };
        let faults = switch.faults.clone();
        std::thread::spawn(move || forward(sockets, &behind, &faults, seed));
        Ok(switch)
    }

    /// The first few ports as a list in TOML: seeds of a fleet.
    pub fn seeds(&self) -> String {
        let seeds: Vec<String> = self.ports.iter().take(3).map(|port| format!("\"{port}\"")).collect();
        format!("[{}]", seeds.join(", "))
    }

    /// What happens now; changes count from the next datagram on.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn forward(sockets: Vec<UdpSocket>, behind: &[SocketAddr], faults: &Arc<Mutex<Faults>>, seed: u64) {
    let executor = Rc::new(LocalExecutor::new());
    let mut tasks = Vec::new();
    for (to, socket) in sockets.into_iter().enumerate() {
        let Ok(socket) = Async::new(socket) else { return };
        let (socket, behind, faults) = (Rc::new(socket), behind.to_vec(), faults.clone());
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ to as u64);
        let own = executor.clone();
        tasks.push(executor.spawn(async move {
            let mut buffer = vec![0; 65_536];
            loop {
                // A refusal by the system of who is behind is told here, and is no end.
                let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
                let now = faults.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let Some(from) = behind.iter().position(|address| *address == from) else { continue };
                let loss = now.loss.max(now.deaf.get(&to).copied().unwrap_or(0.0));
                if !now.forwards(from, to) || random.random::<f64>() < loss {
                    continue;
                }
                for _ in 0..if random.random::<f64>() < now.twice { 2 } else { 1 } {
                    let wait = Duration::from_millis(random.random_range(0..=now.delay_ms));
                    let (socket, bytes, target) = (socket.clone(), buffer[..n].to_vec(), behind[to]);
                    let send = async move {
                        if !wait.is_zero() {
                            Timer::after(wait).await;
                        }
                        let _ = socket.send_to(&bytes, target).await;
                    };
                    own.spawn(send).detach();
                }
            }
        }));
    }
    async_io::block_on(executor.run(future::pending::<()>()));
}
