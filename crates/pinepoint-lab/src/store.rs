//! The store that all comparers share, over the platform's line protocol: it has so many slots, calls beyond them take
//! longer in the same measure, and one that is crowded over [`FALL_OVER`] times its slots for [`FALL_AFTER`] falls: nobody
//! listens there until it is back. It owns its crowd and the count of it; scripts change it while it runs.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::listen::{line, listen, own_port};

/// How many times its slots in hand for how long make it fall.
pub const FALL_OVER: f64 = 5.0;
/// See above.
pub const FALL_AFTER: Duration = Duration::from_secs(5);

/// What the store is like, and what became of it.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Calls that it makes at once in the time of one.
    pub slots: usize,
    /// Time of a call.
    pub call: Duration,
    /// How long it stays away once it fell.
    pub away: Duration,
    /// A script has put it down.
    pub down: bool,
    /// Calls in hand, and the most that were.
    pub in_hand: usize,
    /// See above.
    pub most: usize,
    /// Calls that were asked for.
    pub calls: u64,
    /// How often it fell.
    pub falls: u32,
    over_since: Option<Instant>,
    back_at: Option<Instant>,
}

impl Crowd {
    /// An idle store of so many slots.
    pub fn new(slots: usize, call: Duration) -> Crowd {
        Crowd {
            slots,
            call,
            away: Duration::from_secs(5),
            down: false,
            in_hand: 0,
            most: 0,
            calls: 0,
            falls: 0,
            over_since: None,
            back_at: None,
        }
    }

    /// Whether it listens; looks after its fall and its return.
    fn is_up(&mut self) -> bool {
        let now = Instant::now();
        if self.in_hand as f64 <= FALL_OVER * self.slots as f64 {
            self.over_since = None;
        } else if now.duration_since(*self.over_since.get_or_insert(now)) >= FALL_AFTER {
            self.falls += 1;
            self.over_since = None;
            self.back_at = Some(now + self.away);
        }
        if self.back_at.is_some_and(|at| at <= now) {
            self.back_at = None;
        }
        !self.down && self.back_at.is_none()
    }

    /// A call begins: how long it takes.
    fn begin(&mut self) -> Duration {
        self.calls += 1;
        self.in_hand += 1;
        self.most = self.most.max(self.in_hand);
        self.call.mul_f64((self.in_hand as f64 / self.slots.max(1) as f64).max(1.0))
    }
}

/// A handle on the store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    crowd: Arc<Mutex<Crowd>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts it on this executor.
    pub fn start(crowd: Crowd, executor: &Rc<LocalExecutor<'static>>) -> io::Result<Store> {
        let listener = own_port()?;
        let store = Store { crowd: Arc::new(Mutex::new(crowd)), address: listener.local_addr()? };
        let (own, up) = (store.clone(), store.clone());
        let serve = move |stream: Async<TcpStream>| {
            let store = own.clone();
            async move { store.serve(&stream).await }
        };
        let listen = listen(listener, move || up.listens(), serve, executor.clone())?;
        executor.spawn(listen).detach();
        Ok(store)
    }

    /// What it is like now, to read and to change.
    pub fn crowd(&self) -> MutexGuard<'_, Crowd> {
        self.crowd.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether anybody listens there now.
    pub fn listens(&self) -> bool {
        self.crowd().is_up()
    }

    async fn serve(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let (mut input, mut chunk) = (Vec::new(), vec![0; 4096]);
        loop {
            let n = stream.read(&mut chunk).await?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..n]);
            while let Some((text, _)) = line(&mut input) {
                if let ["CALL", rid, ..] = text.split(' ').collect::<Vec<_>>().as_slice() {
                    let call = Call(self.clone());
                    let pause = self.crowd().begin();
                    Timer::after(pause).await;
                    drop(call);
                    stream.write_all(format!("{rid} OK 2\r\nok\r\n").as_bytes()).await?;
                }
            }
        }
    }
}

/// A call in hand; it is none any more when this goes, however it ends.
struct Call(Store);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.crowd().in_hand -= 1;
    }
}
