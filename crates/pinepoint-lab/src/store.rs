//! A stub store that speaks the platform's line protocol and is shared by many processes. The store makes as
//! many concurrent calls as it has slots; with more calls in flight, calls take proportionally longer. If the
//! calls in flight exceed [`OVERLOAD_FACTOR`] times the slots for [`OVERLOAD_LIMIT`], the store crashes and
//! does not listen until its outage is over. Scripts may change the store while it runs.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::line_protocol::take_line;
use crate::listen::{bind_unique_address, serve_while_up};
use crate::sync::lock;

/// Calls in flight, as a multiple of the slots, beyond which the store is overloaded.
pub const OVERLOAD_FACTOR: f64 = 5.0;
/// How long the store is overloaded before it crashes.
pub const OVERLOAD_LIMIT: Duration = Duration::from_secs(5);

/// Outage of the store after a crash, unless a script sets another one.
const DEFAULT_OUTAGE: Duration = Duration::from_secs(5);

/// The state of the store: the settings that a script may change, and counts.
#[derive(Clone, Debug)]
pub struct StoreState {
    /// Calls that the store makes concurrently without delay.
    pub slots: usize,
    /// Time of a call within the slots.
    pub call_time: Duration,
    /// Outage after a crash.
    pub outage: Duration,
    /// A script has stopped the store.
    pub down: bool,
    /// Calls in flight now.
    pub in_flight: usize,
    /// Maximum number of calls that were in flight.
    pub peak_in_flight: usize,
    /// Calls so far.
    pub calls: u64,
    /// Crashes so far.
    pub crashes: u32,
    overloaded_since: Option<Instant>,
    recovers_at: Option<Instant>,
}

impl StoreState {
    /// An idle store with this number of slots.
    pub fn new(slots: usize, call_time: Duration) -> StoreState {
        StoreState {
            slots,
            call_time,
            outage: DEFAULT_OUTAGE,
            down: false,
            in_flight: 0,
            peak_in_flight: 0,
            calls: 0,
            crashes: 0,
            overloaded_since: None,
            recovers_at: None,
        }
    }

    /// Whether the store listens. Crashes an overloaded store and recovers a crashed one when the time has
    /// come.
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

    /// Starts a call and returns its duration.
    fn start_call(&mut self) -> Duration {
        self.calls += 1;
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.call_time.mul_f64((self.in_flight as f64 / self.slots.max(1) as f64).max(1.0))
    }
}

/// A handle on the store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    /// The address of the store.
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on this executor.
    ///
    /// # Errors
    /// If no address can be bound.
    pub fn start(state: StoreState, executor: &Rc<LocalExecutor<'static>>) -> io::Result<Store> {
        let listener = bind_unique_address()?;
        let store = Store { state: Arc::new(Mutex::new(state)), address: listener.local_addr()? };
        let (serving_store, listening_store) = (store.clone(), store.clone());
        let serve = move |stream: Async<TcpStream>| {
            let store = serving_store.clone();
            async move { store.serve(&stream).await }
        };
        let accepting = serve_while_up(listener, move || listening_store.listens(), serve, executor.clone())?;
        executor.spawn(accepting).detach();
        Ok(store)
    }

    /// The state, to read and to change.
    pub fn state(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.state)
    }

    /// Whether the store listens now.
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
                if let ["CALL", attempt_id, ..] = text.split(' ').collect::<Vec<_>>().as_slice() {
                    let call = CallGuard(self.clone());
                    let duration = self.state().start_call();
                    Timer::after(duration).await;
                    drop(call);
                    stream.write_all(format!("{attempt_id} OK 2\r\nok\r\n").as_bytes()).await?;
                }
            }
        }
    }
}

/// A call in flight; the call ends when this value is dropped.
struct CallGuard(Store);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}
