//! The store that all comparers share, over the platform's line protocol: it has so many slots, calls beyond them take
//! longer in the same measure, and one that is crowded over [`OVERLOAD_FACTOR`] times its slots for [`OVERLOAD_LIMIT`] falls: nobody
//! listens there until it is back. It owns its crowd and the count of it; scripts change it while it runs.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::listen::{bind_unique_address, serve_while_up, take_line};

/// How many times its slots in hand for how long make it fall.
pub const OVERLOAD_FACTOR: f64 = 5.0;
/// See above.
pub const OVERLOAD_LIMIT: Duration = Duration::from_secs(5);

/// What the store is like, and what became of it.
#[derive(Clone, Debug)]
pub struct StoreState {
    /// Calls that it makes at once in the time of one.
    pub slots: usize,
    /// Time of a call.
    pub call: Duration,
    /// How long it stays away once it fell.
    pub outage: Duration,
    /// A script has put it down.
    pub down: bool,
    /// Calls in hand, and the most that were.
    pub in_flight: usize,
    /// See above.
    pub peak_in_flight: usize,
    /// Calls that were asked for.
    pub calls: u64,
    /// How often it fell.
    pub crashes: u32,
    overloaded_since: Option<Instant>,
    recovers_at: Option<Instant>,
}

impl StoreState {
    /// An idle store of so many slots.
    pub fn new(slots: usize, call: Duration) -> StoreState {
        StoreState {
            slots,
            call,
            outage: Duration::from_secs(5),
            down: false,
            in_flight: 0,
            peak_in_flight: 0,
            calls: 0,
            crashes: 0,
            overloaded_since: None,
            recovers_at: None,
        }
    }

    /// Whether it listens; looks after its fall and its return.
    fn is_up(&mut self) -> bool {
        let now = Instant::now();
        if self.in_flight as f64 <= OVERLOAD_FACTOR * self.slots as f64 {
            self.overloaded_since = None;
        } else if now.duration_since(*self.overloaded_since.get_or_insert(now)) >= OVERLOAD_LIMIT {
            self.crashes += 1;
            self.overloaded_since = None;
            self.recovers_at = Some(now + self.outage);
        }
        if self.recovers_at.is_some_and(|at| at <= now) {
            self.recovers_at = None;
        }
        !self.down && self.recovers_at.is_none()
    }

    /// A call begins: how long it takes.
    fn start_call(&mut self) -> Duration {
        self.calls += 1;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.call.mul_f64((self.in_flight as f64 / self.slots.max(1) as f64).max(1.0))
    }
}

/// A handle on the store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts it on this executor.
    pub fn start(state: StoreState, executor: &Rc<LocalExecutor<'static>>) -> io::Result<Store> {
        let listener = bind_unique_address()?;
        let store = Store { state: Arc::new(Mutex::new(state)), address: listener.local_addr()? };
        let (own, up) = (store.clone(), store.clone());
        let serve = move |stream: Async<TcpStream>| {
            let store = own.clone();
            async move { store.serve(&stream).await }
        };
        let accepting = serve_while_up(listener, move || up.listens(), serve, executor.clone())?;
        executor.spawn(accepting).detach();
        Ok(store)
    }

    /// What it is like now, to read and to change.
    pub fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether anybody listens there now.
    pub fn listens(&self) -> bool {
        self.state().is_up()
    }

    async fn serve(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let (mut input, mut chunk) = (Vec::new(), vec![0; 4096]);
        loop {
            let n = stream.read(&mut chunk).await?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..n]);
            while let Some((text, _)) = take_line(&mut input) {
                if let ["CALL", rid, ..] = text.split(' ').collect::<Vec<_>>().as_slice() {
                    let call = CallGuard(self.clone());
                    let pause = self.state().start_call();
                    Timer::after(pause).await;
                    drop(call);
                    stream.write_all(format!("{rid} OK 2\r\nok\r\n").as_bytes()).await?;
                }
            }
        }
    }
}

/// A call in hand; it is none any more when this goes, however it ends.
struct CallGuard(Store);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}
