//! A stub engine that records every run and ends it on command or after a fixed time. Unlike
//! [`crate::simulated_engine`] it does not share cores between runs.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::line_protocol::take_line;
use crate::listen::bind_unique_address;
use crate::sync::lock;

/// Number of running runs at which the engine reports itself fully busy. It exceeds the number of requests
/// that a light load has open at once, so that the admission controller has no reason to reject one.
pub(crate) const CORES: usize = 16;
/// Runs whose body has this prefix pause once for a call to the store.
pub const CALL_PREFIX: &str = "call ";

/// Sequence number of the next result, so that no two runs have the same result.
static RESULTS: AtomicU64 = AtomicU64::new(0);

/// When runs end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// When [`Engine::finish`] or [`Engine::finish_all`] is called.
    OnCommand,
    /// This long after the start of the run, or after the reply to its call.
    After(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Running { due: Option<Instant> },
    AtCall,
    Ended,
}

#[derive(Debug)]
struct Run {
    attempt_id: String,
    body: String,
    state: RunState,
}

#[derive(Debug)]
struct State {
    finish: Finish,
    up: bool,
    link: Option<TcpStream>,
    runs: Vec<Run>,
    /// All notices sent so far; the first has the number 1.
    notices: Vec<Vec<u8>>,
}

impl State {
    fn write(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link {
            // After a broken link the program reconnects and asks for the notices it missed.
            let _ = link.write_all(bytes);
        }
    }

    fn notify(&mut self, notice: impl FnOnce(usize) -> Vec<u8>) {
        let bytes = notice(self.notices.len() + 1);
        self.write(&bytes);
        self.notices.push(bytes);
    }

    fn new_due(&self) -> Option<Instant> {
        match self.finish {
            Finish::OnCommand => None,
            Finish::After(pause) => Some(Instant::now() + pause),
        }
    }

    fn is_open(&self, run: &Run) -> bool {
        run.state != RunState::Ended
    }

    fn end(&mut self, index: usize, outcome: &str) {
        let run = &mut self.runs[index];
        run.state = RunState::Ended;
        let result = match outcome {
            "complete" => format!("{}/{}", run.body, RESULTS.fetch_add(1, Ordering::Relaxed)),
            _ => String::new(),
        };
        let attempt_id = run.attempt_id.clone();
        self.notify(|number| {
            format!("DONE {number} {attempt_id} {outcome} 1 {}\r\n{result}\r\n", result.len()).into_bytes()
        });
    }

    fn end_due(&mut self) {
        let now = Instant::now();
        for index in 0..self.runs.len() {
            if matches!(self.runs[index].state, RunState::Running { due: Some(due) } if due <= now) {
                self.end(index, "complete");
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let due = |run: &Run| if let RunState::Running { due } = run.state { due } else { None };
        self.runs.iter().filter_map(due).min()
    }

    fn attach(&mut self, last_notice: usize) {
        self.write(b"HELLO hot 60000\r\n");
        let missed: Vec<u8> = self.notices.iter().skip(last_notice).flatten().copied().collect();
        self.write(&missed);
    }

    fn start_run(&mut self, attempt_id: &str, body: Vec<u8>) {
        // The program resends commands after a broken link; a known run is not started again.
        if self.runs.iter().any(|run| run.attempt_id == attempt_id) {
            return;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let makes_call = body.starts_with(CALL_PREFIX);
        let state = if makes_call { RunState::AtCall } else { RunState::Running { due: self.new_due() } };
        self.runs.push(Run { attempt_id: attempt_id.to_owned(), body, state });
        if makes_call {
            self.notify(|number| format!("NEED {number} {attempt_id} 3\r\nask\r\n").into_bytes());
        }
    }

    fn execute(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["ATTACH", last] => self.attach(last.parse().unwrap_or(0)),
            ["RUN", attempt_id, ..] => self.start_run(attempt_id, body),
            ["HALT", attempt_id] => {
                if let Some(index) =
                    self.runs.iter().position(|run| run.attempt_id == *attempt_id && self.is_open(run))
                {
                    self.end(index, "cancelled");
                }
            }
            ["FEED" | "SKIP", attempt_id, ..] => {
                let due = self.new_due();
                let is_waiting =
                    |run: &&mut Run| run.attempt_id == *attempt_id && run.state == RunState::AtCall;
                if let Some(run) = self.runs.iter_mut().find(is_waiting) {
                    run.state = RunState::Running { due };
                }
            }
            ["STAT", tag] => {
                let running =
                    self.runs.iter().filter(|run| matches!(run.state, RunState::Running { .. })).count();
                let busy = (running as f64 / CORES as f64).min(1.0);
                self.write(format!("STATS {tag} {busy:.3} {running} 0.1 3\r\n").as_bytes());
            }
            _ => {}
        }
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// A handle to a stub engine; clones share the engine. Its threads run until this process exits.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    /// TCP address that the engine listens on.
    pub address: SocketAddr,
}

impl Engine {
    /// Starts an engine that is up, at a loopback address that nothing else uses.
    ///
    /// # Errors
    /// If no address can be bound.
    pub fn start(finish: Finish) -> io::Result<Engine> {
        Engine::start_on(bind_unique_address()?, finish)
    }

    /// Starts an engine that is up and accepts its link on `listener`.
    ///
    /// # Errors
    /// If the listener has no address.
    pub fn start_on(listener: TcpListener, finish: Finish) -> io::Result<Engine> {
        let address = listener.local_addr()?;
        let state = State { finish, up: true, link: None, runs: Vec::new(), notices: Vec::new() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (accepting, ending) = (shared.clone(), shared.clone());
        std::thread::spawn(move || accept(&listener, &accepting));
        std::thread::spawn(move || end_runs_when_due(&ending));
        Ok(Engine { shared, address })
    }

    /// Starts an engine that is down.
    ///
    /// # Errors
    /// If no address can be bound.
    pub fn start_down(finish: Finish) -> io::Result<Engine> {
        let engine = Engine::start(finish)?;
        engine.set_up(false);
        Ok(engine)
    }

    /// If `up`, accepts links from now on; otherwise ends the current link and accepts no new one.
    pub fn set_up(&self, up: bool) {
        let mut state = self.shared.state();
        state.up = up;
        if let Some(link) = state.link.take().filter(|_| !up) {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Sets when runs end; applies to runs that start, or resume after a call, from now on.
    pub fn set_finish(&self, finish: Finish) {
        self.shared.state().finish = finish;
    }

    /// Completes all runs with this body that are not waiting for a call; returns their number.
    pub fn finish(&self, body: &str) -> usize {
        self.finish_where(|run| run.body == body)
    }

    /// Completes all runs that are not waiting for a call; returns their number.
    pub fn finish_all(&self) -> usize {
        self.finish_where(|_| true)
    }

    fn finish_where(&self, wanted: impl Fn(&Run) -> bool) -> usize {
        let mut state = self.shared.state();
        let runs = state.runs.iter().enumerate();
        let running = |run: &Run| matches!(run.state, RunState::Running { .. });
        let ending = runs.filter(|(_, run)| running(run) && wanted(run)).map(|(index, _)| index);
        let ending: Vec<usize> = ending.collect();
        ending.iter().for_each(|index| state.end(*index, "complete"));
        ending.len()
    }

    /// Number of runs started with this body.
    pub fn runs_of(&self, body: &str) -> usize {
        self.shared.state().runs.iter().filter(|run| run.body == body).count()
    }

    /// Number of runs started, by body.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in &self.shared.state().runs {
            *counts.entry(run.body.clone()).or_default() += 1;
        }
        counts
    }

    /// Number of runs that have not ended.
    pub fn open_runs(&self) -> usize {
        let state = self.shared.state();
        state.runs.iter().filter(|run| state.is_open(run)).count()
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let mut state = shared.state();
        let Ok(link) = stream.try_clone() else { continue };
        // While the engine is down, the stream is dropped here, which closes it.
        if state.up {
            state.link = Some(link);
            let shared = shared.clone();
            std::thread::spawn(move || read_commands(stream, &shared));
        }
    }
}

fn read_commands(mut stream: TcpStream, shared: &Shared) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        input.extend_from_slice(&chunk[..n]);
        let mut state = shared.state();
        while let Some((text, body)) = take_line(&mut input) {
            state.execute(&text.split(' ').collect::<Vec<_>>(), body);
        }
        shared.changed.notify_all();
    }
}

fn end_runs_when_due(shared: &Shared) {
    let mut state = shared.state();
    loop {
        state.end_due();
        state = match state.next_due() {
            Some(due) => {
                let pause = due.saturating_duration_since(Instant::now());
                let waited = shared.changed.wait_timeout(state, pause);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
        };
    }
}
