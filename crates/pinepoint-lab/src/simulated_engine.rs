//! A stub engine whose cores are shared by all runs, over the platform's line protocol. Work is simulated by time alone: it
//! takes none of this machine's cores. A body tells its own work: `WORK_MS CALLS` in words, and anything behind them.

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

/// Speed of an engine that is cold, as a share of its full speed.
const COLD_SPEED: f64 = 0.29;
/// Time constant of the busy share, ms.
const BUSY_SHARE_WINDOW_MS: f64 = 100.0;
/// A run with less work left than this has ended, ms.
const WORK_EPSILON_MS: f64 = 1e-6;
/// Least pause before the engine looks at its runs again, ms.
const MIN_PAUSE_MS: f64 = 0.02;
/// Work and calls of a run whose body does not tell them.
const DEFAULT_WORK_MS: f64 = 1.0;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// The state of an engine that a script changes while it runs, and what it ran.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Nobody listens there.
    pub down: bool,
    /// Whoever attaches next finds it cold; it warms up in this time.
    pub warm_up: Duration,
    /// How often a run of each body was started.
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
    request_id: String,
    body: Vec<u8>,
    left_ms: f64,
    /// Work left at which it stops for a call to the store.
    call_at_left_ms: Option<f64>,
    waits_for_call: bool,
}

impl Run {
    fn new(request_id: &str, body: Vec<u8>) -> Run {
        let text = String::from_utf8_lossy(&body);
        let mut numbers = text.split(' ').map(|word| word.parse().unwrap_or(DEFAULT_WORK_MS));
        let work_ms: f64 = numbers.next().unwrap_or(DEFAULT_WORK_MS);
        let calls = numbers.next().unwrap_or(0.0);
        let call_at_left_ms = (calls > 0.0).then_some(work_ms / 2.0);
        Run {
            request_id: request_id.to_owned(),
            body,
            left_ms: work_ms,
            call_at_left_ms,
            waits_for_call: false,
        }
    }

    /// Work left until it stops for a call or ends, ms.
    fn left_to_event_ms(&self) -> f64 {
        self.left_ms - self.call_at_left_ms.unwrap_or(0.0)
    }
}

/// How a run ended, as the protocol names it.
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
    /// When the runs were advanced last.
    advanced: Instant,
    last_notice: u64,
    /// Exponentially weighted moving average of the share of the cores that is used.
    busy_share: f64,
    /// Lines that are not sent yet.
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
            advanced: Instant::now(),
            last_notice: 0,
            busy_share: 0.0,
            output: Vec::new(),
        }
    }

    fn running(&self) -> usize {
        self.runs.iter().filter(|run| !run.waits_for_call).count()
    }

    /// The speed of each run, as a share of one core.
    fn speed(&self) -> f64 {
        let share_of_core = (self.cores / (self.running() as f64).max(1.0)).min(1.0);
        let warm = self.attached.elapsed().as_secs_f64() / self.warm_up.as_secs_f64().max(1e-9);
        share_of_core * (COLD_SPEED + (1.0 - COLD_SPEED) * warm.min(1.0))
    }

    /// A process attaches: it counts its requests anew, and the engine drops its runs.
    fn attach(&mut self) {
        self.runs.clear();
        self.last_notice = 0;
        self.attached = Instant::now();
        self.advanced = Instant::now();
        self.warm_up = std::mem::take(&mut self.control.state().warm_up);
        self.output.clear();
    }

    /// Advances all runs to now, and notifies of those that stop for a call or end.
    fn advance(&mut self) {
        let speed = self.speed();
        let elapsed_ms = self.advanced.elapsed().as_secs_f64() * 1000.0;
        self.advanced = Instant::now();
        let busy_share = (self.running() as f64 / self.cores).min(1.0);
        self.busy_share += (busy_share - self.busy_share) * (elapsed_ms / BUSY_SHARE_WINDOW_MS).min(1.0);
        let mut ended = Vec::new();
        for run in self.runs.iter_mut().filter(|run| !run.waits_for_call) {
            run.left_ms -= elapsed_ms * speed;
            if run.call_at_left_ms.is_some_and(|left_ms| run.left_ms <= left_ms) {
                run.call_at_left_ms = None;
                run.waits_for_call = true;
                self.last_notice += 1;
                let head = format!("NEED {} {}", self.last_notice, run.request_id);
                write_with_body(&mut self.output, &head, &run.body);
            } else if run.left_ms <= WORK_EPSILON_MS {
                ended.push(run.request_id.clone());
            }
        }
        ended.iter().for_each(|request_id| self.end_run(request_id, RunEnd::Complete));
    }

    fn end_run(&mut self, request_id: &str, end: RunEnd) {
        let Some(at) = self.runs.iter().position(|run| run.request_id == request_id) else { return };
        self.runs.swap_remove(at);
        self.last_notice += 1;
        let head = format!("DONE {} {request_id} {} 1", self.last_notice, end.name());
        write_with_body(&mut self.output, &head, end.result().as_bytes());
    }

    /// Time until the next run stops for a call or ends.
    fn next_event(&self) -> Option<Duration> {
        let speed = self.speed();
        let runs = self.runs.iter().filter(|run| !run.waits_for_call);
        let ms = runs.map(|run| run.left_to_event_ms() / speed).min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(ms.max(MIN_PAUSE_MS) / 1000.0))
    }

    /// Carries out a command of the process.
    fn execute(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["ATTACH", _] if self.warm_up.is_zero() => self.write_line("HELLO hot 60000"),
            ["ATTACH", _] => self.write_line(&format!("HELLO chilly {}", self.warm_up.as_millis())),
            ["RUN", request_id, ..] => {
                let text = String::from_utf8_lossy(&body).into_owned();
                *self.control.state().started.entry(text).or_default() += 1;
                self.runs.push(Run::new(request_id, body));
            }
            ["HALT", request_id] => self.end_run(request_id, RunEnd::Cancelled),
            ["FEED", request_id, ..] | ["SKIP", request_id, ..] => {
                let resumed = self.runs.iter_mut().filter(|run| run.request_id == *request_id);
                resumed.for_each(|run| run.waits_for_call = false);
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

/// Writes a line whose last word is the length of its body, and the body.
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

/// Starts an engine of so many cores on this executor; scripts change it by its control.
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
