//! A stub engine that speaks the platform's line protocol and shares its cores between all runs. Work is
//! simulated by time alone and uses none of this machine's cores. The body of a run states its work: it
//! begins with the words `WORK_MS CALLS`, and any text may follow.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::line_protocol::take_line;
use crate::listen::{bind_unique_address, serve_while_up};
use crate::sync::lock;

/// Speed of an engine at the start of its warm-up, as a share of its full speed.
const COLD_SPEED: f64 = 0.29;
/// Time constant of the busy share, ms.
const BUSY_SHARE_WINDOW_MS: f64 = 100.0;
/// A run with no more remaining work than this is complete, ms.
const WORK_EPSILON_MS: f64 = 1e-6;
/// Minimum pause before the engine advances its runs again, ms.
const MIN_PAUSE_MS: f64 = 0.02;
/// Work of a run whose body does not state it, ms; also stands in for a number of calls that cannot be
/// parsed.
const DEFAULT_WORK_MS: f64 = 1.0;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// The state of an engine that a script may change while the engine runs, and the record of its runs.
#[derive(Debug, Default)]
pub struct EngineState {
    /// The engine does not listen.
    pub down: bool,
    /// Warm-up time after the next attach; later attaches find a warm engine.
    pub warm_up: Duration,
    /// Number of started runs by body.
    pub started: HashMap<String, u32>,
}

/// A handle on the state of an engine; clones share it.
#[derive(Clone, Debug, Default)]
pub struct EngineControl(Arc<Mutex<EngineState>>);

impl EngineControl {
    /// The state, to read and to change.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.0)
    }
}

/// One run on the engine.
struct Run {
    attempt_id: String,
    body: Vec<u8>,
    remaining_ms: f64,
    /// Remaining work at which the run stops for a call to the store.
    call_at_remaining_ms: Option<f64>,
    is_waiting_for_call: bool,
}

impl Run {
    fn new(attempt_id: &str, body: Vec<u8>) -> Run {
        let text = String::from_utf8_lossy(&body);
        let mut numbers = text.split(' ').map(|word| word.parse().unwrap_or(DEFAULT_WORK_MS));
        let work_ms: f64 = numbers.next().unwrap_or(DEFAULT_WORK_MS);
        let calls = numbers.next().unwrap_or(0.0);
        let call_at_remaining_ms = (calls > 0.0).then_some(work_ms / 2.0);
        Run {
            attempt_id: attempt_id.to_owned(),
            body,
            remaining_ms: work_ms,
            call_at_remaining_ms,
            is_waiting_for_call: false,
        }
    }

    /// Work until the run stops for a call or ends, ms.
    fn remaining_to_event_ms(&self) -> f64 {
        self.remaining_ms - self.call_at_remaining_ms.unwrap_or(0.0)
    }
}

/// End of a run, as named in the protocol.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Complete,
    Cancelled,
}

impl RunEnd {
    fn name(self) -> &'static str {
        match self {
            RunEnd::Complete => "complete",
            RunEnd::Cancelled => "cancelled",
        }
    }

    fn result(self) -> &'static str {
        match self {
            RunEnd::Complete => "result",
            RunEnd::Cancelled => "",
        }
    }
}

struct Engine {
    control: EngineControl,
    cores: f64,
    warm_up: Duration,
    attached: Instant,
    runs: Vec<Run>,
    /// Time of the last advance of the runs.
    last_advance: Instant,
    last_notice_number: u64,
    /// Exponentially weighted moving average of the share of the cores in use.
    busy_share: f64,
    /// Lines that have not been sent yet.
    output: Vec<u8>,
}

impl Engine {
    fn new(cores: f64, control: EngineControl) -> Engine {
        Engine {
            control,
            cores,
            warm_up: Duration::ZERO,
            attached: Instant::now(),
            runs: Vec::new(),
            last_advance: Instant::now(),
            last_notice_number: 0,
            busy_share: 0.0,
            output: Vec::new(),
        }
    }

    fn running(&self) -> usize {
        self.runs.iter().filter(|run| !run.is_waiting_for_call).count()
    }

    /// The speed of each run, as a share of one core.
    fn speed(&self) -> f64 {
        let core_share = (self.cores / (self.running() as f64).max(1.0)).min(1.0);
        let warm = self.attached.elapsed().as_secs_f64() / self.warm_up.as_secs_f64().max(1e-9);
        core_share * (COLD_SPEED + (1.0 - COLD_SPEED) * warm.min(1.0))
    }

    /// Attaches a process. The process numbers its requests anew, so the engine drops all runs and restarts
    /// its notice numbers.
    fn attach(&mut self) {
        self.runs.clear();
        self.last_notice_number = 0;
        self.attached = Instant::now();
        self.last_advance = Instant::now();
        self.warm_up = std::mem::take(&mut self.control.state().warm_up);
        self.output.clear();
    }

    /// Advances all runs to the current time, and reports the runs that stop for a call or end.
    fn advance(&mut self) {
        let speed = self.speed();
        let elapsed_ms = self.last_advance.elapsed().as_secs_f64() * 1000.0;
        self.last_advance = Instant::now();
        let busy_share = (self.running() as f64 / self.cores).min(1.0);
        self.busy_share += (busy_share - self.busy_share) * (elapsed_ms / BUSY_SHARE_WINDOW_MS).min(1.0);
        let mut completed = Vec::new();
        for run in self.runs.iter_mut().filter(|run| !run.is_waiting_for_call) {
            run.remaining_ms -= elapsed_ms * speed;
            if run.call_at_remaining_ms.is_some_and(|remaining_ms| run.remaining_ms <= remaining_ms) {
                run.call_at_remaining_ms = None;
                run.is_waiting_for_call = true;
                self.last_notice_number += 1;
                let head = format!("NEED {} {}", self.last_notice_number, run.attempt_id);
                write_with_body(&mut self.output, &head, &run.body);
            } else if run.remaining_ms <= WORK_EPSILON_MS {
                completed.push(run.attempt_id.clone());
            }
        }
        completed.iter().for_each(|attempt_id| self.end_run(attempt_id, RunEnd::Complete));
    }

    fn end_run(&mut self, attempt_id: &str, end: RunEnd) {
        let Some(index) = self.runs.iter().position(|run| run.attempt_id == attempt_id) else { return };
        self.runs.swap_remove(index);
        self.last_notice_number += 1;
        let head = format!("DONE {} {attempt_id} {} 1", self.last_notice_number, end.name());
        write_with_body(&mut self.output, &head, end.result().as_bytes());
    }

    /// Time until the next run stops for a call or ends.
    fn next_event(&self) -> Option<Duration> {
        let speed = self.speed();
        let runs = self.runs.iter().filter(|run| !run.is_waiting_for_call);
        let ms = runs.map(|run| run.remaining_to_event_ms() / speed).min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(ms.max(MIN_PAUSE_MS) / 1000.0))
    }

    /// Carries out a command from the process.
    fn execute(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["ATTACH", _] if self.warm_up.is_zero() => self.write_line("HELLO hot 60000"),
            ["ATTACH", _] => self.write_line(&format!("HELLO chilly {}", self.warm_up.as_millis())),
            ["RUN", attempt_id, ..] => {
                let text = String::from_utf8_lossy(&body).into_owned();
                *self.control.state().started.entry(text).or_default() += 1;
                self.runs.push(Run::new(attempt_id, body));
            }
            ["HALT", attempt_id] => self.end_run(attempt_id, RunEnd::Cancelled),
            ["FEED", attempt_id, ..] | ["SKIP", attempt_id, ..] => {
                let resumed = self.runs.iter_mut().filter(|run| run.attempt_id == *attempt_id);
                resumed.for_each(|run| run.is_waiting_for_call = false);
            }
            ["STAT", tag] => {
                let gauges = format!("STATS {tag} {:.3} {} 0.1 3", self.busy_share, self.running());
                self.write_line(&gauges);
            }
            _ => {}
        }
    }

    fn write_line(&mut self, line: &str) {
        self.output.extend_from_slice(line.as_bytes());
        self.output.extend_from_slice(b"\r\n");
    }
}

/// Writes a line with the length of the body as its last word, and then the body.
fn write_with_body(output: &mut Vec<u8>, head: &str, body: &[u8]) {
    output.extend_from_slice(format!("{head} {}\r\n", body.len()).as_bytes());
    output.extend_from_slice(body);
    output.extend_from_slice(b"\r\n");
}

/// Reads commands and advances the runs until the process closes the connection.
async fn serve(mut stream: &Async<TcpStream>, engine: &RefCell<Engine>) -> io::Result<()> {
    let (mut input, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        let next_event = engine.borrow().next_event();
        let event = async {
            match next_event {
                Some(pause) => Timer::after(pause).await,
                None => future::pending().await,
            };
            Ok(None)
        };
        let read = future::or(async { stream.read(&mut chunk).await.map(Some) }, event).await?;
        engine.borrow_mut().advance();
        match read {
            Some(0) => return Ok(()),
            Some(n) => input.extend_from_slice(&chunk[..n]),
            None => {}
        }
        while let Some((text, body)) = take_line(&mut input) {
            engine.borrow_mut().execute(&text.split(' ').collect::<Vec<_>>(), body);
        }
        let output = std::mem::take(&mut engine.borrow_mut().output);
        if !output.is_empty() {
            stream.write_all(&output).await?;
        }
    }
}

/// Starts an engine with this number of cores on this executor; scripts change the engine through `control`.
///
/// # Errors
/// If no address can be bound.
pub fn start_engine(
    cores: f64,
    control: &EngineControl,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<SocketAddr> {
    let listener = bind_unique_address()?;
    let address = listener.local_addr()?;
    let engine = Rc::new(RefCell::new(Engine::new(cores, control.clone())));
    let serve = move |stream: Async<TcpStream>| {
        let engine = engine.clone();
        async move {
            engine.borrow_mut().attach();
            serve(&stream, &engine).await
        }
    };
    let control = control.clone();
    let accepting = serve_while_up(listener, move || !control.state().down, serve, executor.clone())?;
    executor.spawn(accepting).detach();
    Ok(address)
}
