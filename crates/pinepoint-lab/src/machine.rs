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

use crate::listen::{line, listen, own_port};
use crate::store::{Crowd, Store};

/// Speed of an engine that is quite cold, as a part of its own.
const COLD: f64 = 0.29;

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
pub struct Places {
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
    call_at_ms: Option<f64>,
    waits: bool,
}

/// The state of an engine that a script changes while it runs, and what it ran.
#[derive(Debug, Default)]
pub struct Power {
    /// Nobody listens there.
    pub down: bool,
    /// Whoever attaches next finds it cold, and warm after so long.
    pub chilly: Duration,
    /// How often each body was begun, and how often one of them was ended whole.
    pub begun: HashMap<String, u32>,
    /// See above.
    pub ended: HashMap<String, u32>,
}

/// A handle on that; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Switchboard(Arc<Mutex<Power>>);

impl Switchboard {
    /// To read and to change.
    pub fn power(&self) -> MutexGuard<'_, Power> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Engine {
    board: Switchboard,
    chilly: Duration,
    attached: Instant,
    cores: f64,
    runs: Vec<Run>,
    told: Instant,
    notice: u64,
    busy: f64,
    out: Vec<u8>,
}

impl Engine {
    /// What each run on the cores gets of one.
    fn share(&self) -> f64 {
        let running = self.runs.iter().filter(|run| !run.waits).count() as f64;
        let warm = self.attached.elapsed().as_secs_f64() / self.chilly.as_secs_f64().max(1e-9);
        (self.cores / running.max(1.0)).min(1.0) * (COLD + (1.0 - COLD) * warm.min(1.0))
    }

    /// A comparer that attaches: it starts with numbers of its own, and the engine without its runs.
    fn attach(&mut self) {
        self.runs.clear();
        (self.notice, self.attached, self.told) = (0, Instant::now(), Instant::now());
        self.chilly = std::mem::take(&mut self.board.power().chilly);
        self.out.clear();
    }

    fn pass(&mut self) {
        let (share, ms) = (self.share(), self.told.elapsed().as_secs_f64() * 1000.0);
        self.told = Instant::now();
        let running = self.runs.iter().filter(|run| !run.waits).count() as f64;
        let weight = (ms / 100.0).min(1.0);
        self.busy += ((running / self.cores).min(1.0) - self.busy) * weight;
        let mut ended = Vec::new();
        for run in self.runs.iter_mut().filter(|run| !run.waits) {
            run.left_ms -= ms * share;
            if run.call_at_ms.is_some_and(|at| run.left_ms <= at) {
                run.call_at_ms = None;
                run.waits = true;
                self.notice += 1;
                let head = format!("NEED {} {} {}\r\n", self.notice, run.rid, run.body.len());
                self.out.extend_from_slice(head.as_bytes());
                self.out.extend_from_slice(&run.body);
                self.out.extend_from_slice(b"\r\n");
            } else if run.left_ms <= 1e-6 {
                ended.push(run.rid.clone());
            }
        }
        ended.iter().for_each(|rid| self.end(rid, "complete", b"result"));
    }

    fn end(&mut self, rid: &str, how: &str, result: &[u8]) {
        let Some(at) = self.runs.iter().position(|run| run.rid == rid) else { return };
        let run = self.runs.swap_remove(at);
        if how == "complete" {
            let body = String::from_utf8_lossy(&run.body).into_owned();
            *self.board.power().ended.entry(body).or_default() += 1;
        }
        self.notice += 1;
        let head = format!("DONE {} {rid} {how} 1 {}\r\n", self.notice, result.len());
        self.out.extend_from_slice(head.as_bytes());
        self.out.extend_from_slice(result);
        self.out.extend_from_slice(b"\r\n");
    }

    fn next(&self) -> Option<Duration> {
        let share = self.share();
        let runs = self.runs.iter().filter(|run| !run.waits);
        let ms =
            runs.map(|run| (run.left_ms - run.call_at_ms.unwrap_or(0.0)) / share).min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(ms.max(0.02) / 1000.0))
    }

    fn command(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["ATTACH", _] if self.chilly.is_zero() => self.out.extend_from_slice(b"HELLO hot 60000\r\n"),
            ["ATTACH", _] => {
                let hello = format!("HELLO chilly {}\r\n", self.chilly.as_millis());
                self.out.extend_from_slice(hello.as_bytes());
            }
            ["RUN", rid, ..] => {
                let text = String::from_utf8_lossy(&body).into_owned();
                *self.board.power().begun.entry(text.clone()).or_default() += 1;
                let mut told = text.split(' ').map(|word| word.parse::<f64>().unwrap_or(1.0));
                let (work, calls) = (told.next().unwrap_or(1.0), told.next().unwrap_or(0.0));
                let call_at_ms = (calls > 0.0).then_some(work / 2.0);
                self.runs.push(Run { rid: (*rid).to_owned(), body, left_ms: work, call_at_ms, waits: false });
            }
            ["HALT", rid] => self.end(rid, "cancelled", b""),
            ["FEED", rid, ..] | ["SKIP", rid, ..] => {
                self.runs.iter_mut().filter(|run| run.rid == *rid).for_each(|run| run.waits = false);
            }
            ["STAT", tag] => {
                let running = self.runs.iter().filter(|run| !run.waits).count();
                let line = format!("STATS {tag} {:.3} {running} 0.1 3\r\n", self.busy);
                self.out.extend_from_slice(line.as_bytes());
            }
            _ => {}
        }
    }
}

async fn serve_engine(mut stream: &Async<TcpStream>, engine: &RefCell<Engine>) -> io::Result<()> {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        let next = engine.borrow().next();
        let due = async {
            match next {
                Some(pause) => Timer::after(pause).await,
                None => future::pending().await,
            };
            Ok(None)
        };
        let read = future::or(async { stream.read(&mut chunk).await.map(Some) }, due).await?;
        engine.borrow_mut().pass();
        match read {
            Some(0) => return Ok(()),
            Some(n) => input.extend_from_slice(&chunk[..n]),
            None => {}
        }
        while let Some((text, body)) = line(&mut input) {
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
    board: &Switchboard,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<SocketAddr> {
    let listener = own_port()?;
    let address = listener.local_addr()?;
    let state = Rc::new(RefCell::new(Engine {
        board: board.clone(),
        chilly: Duration::ZERO,
        attached: Instant::now(),
        cores,
        runs: Vec::new(),
        told: Instant::now(),
        notice: 0,
        busy: 0.0,
        out: Vec::new(),
    }));
    let serve = move |stream: Async<TcpStream>| {
        let state = state.clone();
        async move {
            state.borrow_mut().attach();
            serve_engine(&stream, &state).await
        }
    };
    let power = board.clone();
    executor.spawn(listen(listener, move || !power.power().down, serve, executor.clone())?).detach();
    Ok(address)
}

impl Machine {
    /// Starts the three services on this executor. `runs` counts how often each body was run.
    pub fn start(self, executor: &Rc<LocalExecutor<'static>>) -> io::Result<(Places, Runs)> {
        let members = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        let board = Switchboard::default();
        let engine = start_engine(self.cores, &board, executor)?;
        // More slots than there are calls: it does not crowd.
        let store = Store::start(Crowd::new(usize::MAX, self.call), executor)?.address;
        let places = Places { engine, store, members: members.get_ref().local_addr()? };
        let listen = async move {
            let mut report = [0; 256];
            while members.recv(&mut report).await.is_ok() {}
        };
        executor.spawn(listen).detach();
        Ok((places, Runs(board)))
    }
}

/// What was run.
pub struct Runs(Switchboard);

impl Runs {
    /// How often each body was run, since the start.
    pub fn seen(&self) -> HashMap<String, u32> {
        self.0.power().begun.clone()
    }
}
