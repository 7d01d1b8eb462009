//! The machine below a comparer: an engine whose cores are shared by all that runs, the store, and the membership
//! service, over the platform's line protocol. Work is simulated by time alone: it takes none of this machine's cores.
//! A body tells its own work: `WORK_MS CALLS` in words, and anything behind them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::listen::{bind_unique_address, serve_while_up, take_line};
use crate::store::{Store, StoreState};

/// Speed of an engine that is quite cold, as a part of its own.
const COLD_SPEED: f64 = 0.29;

/// What the machine is like.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Cores that runs share.
    pub cores: f64,
    /// Time of a call to the store.
    pub call: Duration,
}

/// Where its services are.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    /// The engine.
    pub engine: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The membership service.
    pub members: SocketAddr,
}

struct Run {
    rid: String,
    body: Vec<u8>,
    left_ms: f64,
    /// Work left at which it stands before a call.
    call_at_left_ms: Option<f64>,
    waiting_for_call: bool,
}

/// The state of an engine that a script changes while it runs, and what it ran.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Nobody listens there.
    pub down: bool,
    /// Whoever attaches next finds it cold, and warm after so long.
    pub warm_up: Duration,
    /// How often each body was begun, and how often one of them was ended whole.
    pub started: HashMap<String, u32>,
    /// See above.
    pub completed: HashMap<String, u32>,
}

/// A handle on that; clones share it.
#[derive(Clone, Debug, Default)]
pub struct EngineControl(Arc<Mutex<EngineState>>);

impl EngineControl {
    /// To read and to change.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Engine {
    control: EngineControl,
    warm_up: Duration,
    attached: Instant,
    cores: f64,
    runs: Vec<Run>,
    last_advanced: Instant,
    last_notice: u64,
    busy_share: f64,
    out: Vec<u8>,
}

impl Engine {
    /// What each run on the cores gets of one.
    fn share(&self) -> f64 {
        let running = self.runs.iter().filter(|run| !run.waiting_for_call).count() as f64;
        let warm = self.attached.elapsed().as_secs_f64() / self.warm_up.as_secs_f64().max(1e-9);
        (self.cores / running.max(1.0)).min(1.0) * (COLD_SPEED + (1.0 - COLD_SPEED) * warm.min(1.0))
    }

    /// A comparer that attaches: it starts with numbers of its own, and the engine without its runs.
    fn attach(&mut self) {
        self.runs.clear();
        (self.last_notice, self.attached, self.last_advanced) = (0, Instant::now(), Instant::now());
        self.warm_up = std::mem::take(&mut self.control.state().warm_up);
        self.out.clear();
    }

    fn advance(&mut self) {
        let (share, ms) = (self.share(), self.last_advanced.elapsed().as_secs_f64() * 1000.0);
        self.last_advanced = Instant::now();
        let running = self.runs.iter().filter(|run| !run.waiting_for_call).count() as f64;
        let weight = (ms / 100.0).min(1.0);
        self.busy_share += ((running / self.cores).min(1.0) - self.busy_share) * weight;
        let mut completed = Vec::new();
        for run in self.runs.iter_mut().filter(|run| !run.waiting_for_call) {
            run.left_ms -= ms * share;
            if run.call_at_left_ms.is_some_and(|at| run.left_ms <= at) {
                run.call_at_left_ms = None;
                run.waiting_for_call = true;
                self.last_notice += 1;
                let head = format!("NEED {} {} {}\r\n", self.last_notice, run.rid, run.body.len());
                self.out.extend_from_slice(head.as_bytes());
                self.out.extend_from_slice(&run.body);
                self.out.extend_from_slice(b"\r\n");
            } else if run.left_ms <= 1e-6 {
                completed.push(run.rid.clone());
            }
        }
        completed.iter().for_each(|rid| self.finish_run(rid, "complete", b"result"));
    }

    fn finish_run(&mut self, rid: &str, how: &str, result: &[u8]) {
        let Some(at) = self.runs.iter().position(|run| run.rid == rid) else { return };
        let run = self.runs.swap_remove(at);
        if how == "complete" {
            let body = String::from_utf8_lossy(&run.body).into_owned();
            *self.control.state().completed.entry(body).or_default() += 1;
        }
        self.last_notice += 1;
        let head = format!("DONE {} {rid} {how} 1 {}\r\n", self.last_notice, result.len());
        self.out.extend_from_slice(head.as_bytes());
        self.out.extend_from_slice(result);
        self.out.extend_from_slice(b"\r\n");
    }

    fn next_event(&self) -> Option<Duration> {
        let share = self.share();
        let runs = self.runs.iter().filter(|run| !run.waiting_for_call);
        let ms = runs
            .map(|run| (run.left_ms - run.call_at_left_ms.unwrap_or(0.0)) / share)
            .min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(ms.max(0.02) / 1000.0))
    }

    fn command(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["ATTACH", _] if self.warm_up.is_zero() => self.out.extend_from_slice(b"HELLO hot 60000\r\n"),
            ["ATTACH", _] => {
                let hello = format!("HELLO chilly {}\r\n", self.warm_up.as_millis());
                self.out.extend_from_slice(hello.as_bytes());
            }
            ["RUN", rid, ..] => {
                let text = String::from_utf8_lossy(&body).into_owned();
                *self.control.state().started.entry(text.clone()).or_default() += 1;
                let mut numbers = text.split(' ').map(|word| word.parse::<f64>().unwrap_or(1.0));
                let (work, calls) = (numbers.next().unwrap_or(1.0), numbers.next().unwrap_or(0.0));
                let call_at_left_ms = (calls > 0.0).then_some(work / 2.0);
                self.runs.push(Run {
                    rid: (*rid).to_owned(),
                    body,
                    left_ms: work,
                    call_at_left_ms,
                    waiting_for_call: false,
                });
            }
            ["HALT", rid] => self.finish_run(rid, "cancelled", b""),
            ["FEED", rid, ..] | ["SKIP", rid, ..] => {
                self.runs
                    .iter_mut()
                    .filter(|run| run.rid == *rid)
                    .for_each(|run| run.waiting_for_call = false);
            }
            ["STAT", tag] => {
                let running = self.runs.iter().filter(|run| !run.waiting_for_call).count();
                let stats = format!("STATS {tag} {:.3} {running} 0.1 3\r\n", self.busy_share);
                self.out.extend_from_slice(stats.as_bytes());
            }
            _ => {}
        }
    }
}

async fn serve_engine(mut stream: &Async<TcpStream>, engine: &RefCell<Engine>) -> io::Result<()> {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        let next_event = engine.borrow().next_event();
        let due = async {
            match next_event {
                Some(pause) => Timer::after(pause).await,
                None => future::pending().await,
            };
            Ok(None)
        };
        let read = future::or(async { stream.read(&mut chunk).await.map(Some) }, due).await?;
        engine.borrow_mut().advance();
        match read {
            Some(0) => return Ok(()),
            Some(n) => input.extend_from_slice(&chunk[..n]),
            None => {}
        }
        while let Some((text, body)) = take_line(&mut input) {
            engine.borrow_mut().command(&text.split(' ').collect::<Vec<_>>(), body);
        }
        let out = std::mem::take(&mut engine.borrow_mut().out);
        if !out.is_empty() {
            stream.write_all(&out).await?;
        }
    }
}

/// Starts an engine of so many cores on this executor; scripts reach it by the board.
pub fn start_engine(
    cores: f64,
    control: &EngineControl,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<SocketAddr> {
    let listener = bind_unique_address()?;
    let address = listener.local_addr()?;
    let state = Rc::new(RefCell::new(Engine {
        control: control.clone(),
        warm_up: Duration::ZERO,
        attached: Instant::now(),
        cores,
        runs: Vec::new(),
        last_advanced: Instant::now(),
        last_notice: 0,
        busy_share: 0.0,
        out: Vec::new(),
    }));
    let serve = move |stream: Async<TcpStream>| {
        let state = state.clone();
        async move {
            state.borrow_mut().attach();
            serve_engine(&stream, &state).await
        }
    };
    let power = control.clone();
    executor.spawn(serve_while_up(listener, move || !power.state().down, serve, executor.clone())?).detach();
    Ok(address)
}

impl Machine {
    /// Starts the three services on this executor. `runs` counts how often each body was run.
    pub fn start(self, executor: &Rc<LocalExecutor<'static>>) -> io::Result<(ServiceAddresses, RunCounts)> {
        let members = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        let control = EngineControl::default();
        let engine = start_engine(self.cores, &control, executor)?;
        // More slots than there are calls: it does not crowd.
        let store = Store::start(StoreState::new(usize::MAX, self.call), executor)?.address;
        let addresses = ServiceAddresses { engine, store, members: members.get_ref().local_addr()? };
        let accepting = async move {
            let mut report = [0; 256];
            while members.recv(&mut report).await.is_ok() {}
        };
        executor.spawn(accepting).detach();
        Ok((addresses, RunCounts(control)))
    }
}

/// What was run.
pub struct RunCounts(EngineControl);

impl RunCounts {
    /// How often each body was run, since the start.
    pub fn counts(&self) -> HashMap<String, u32> {
        self.0.state().started.clone()
    }
}
