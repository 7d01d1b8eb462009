//! A load tool: requests at random times, whatever becomes of those before them (an open loop), over MessagePack-RPC and
//! AJP at once. It counts for itself what became of each, by class and outcome, and how long each took.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use rmpv::Value;

/// Requests that may be open on one MessagePack-RPC connection.
const MAX_IN_FLIGHT: usize = 32;
/// Answers that come later than this after the last request do not come, ms.
const ANSWER_WAIT_MS: u64 = 12_000;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Its share of all.
    pub share: f64,
    /// Mean work, ms on one core.
    pub work_ms: f64,
    /// It needs a key.
    pub keyed: bool,
    /// It makes a call.
    pub calls: bool,
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Classes.
    pub classes: Vec<RequestClass>,
    /// Requests a second.
    pub rate: f64,
    /// Of these, the share that comes by AJP.
    pub ajp: f64,
    /// For how long.
    pub duration: Duration,
    /// Connections of MessagePack-RPC, and of AJP at the most.
    pub connections: (usize, usize),
    /// Spread of the work around its mean (the standard deviation of its logarithm).
    pub work_sigma: f64,
    /// Times and work follow from it.
    pub seed: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Sent.
    pub sent: u64,
    /// Answered with a result.
    pub served: u64,
    /// Turned away.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Not answered.
    pub unanswered: u64,
}

/// What the load tool saw.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// By class.
    pub outcomes: BTreeMap<&'static str, OutcomeCounts>,
    /// Time from the sending to the answer of what was served, us.
    pub latency: Histogram<u64>,
    /// Requests that found no AJP connection free, and were not sent.
    pub no_capacity: u64,
    /// Answers beyond the first to one request.
    pub duplicate_answers: u64,
}

impl LoadSummary {
    /// All classes together.
    pub fn all(&self) -> OutcomeCounts {
        self.outcomes.values().fold(OutcomeCounts::default(), |sum, outcomes| OutcomeCounts {
            sent: sum.sent + outcomes.sent,
            served: sum.served + outcomes.served,
            rejected: sum.rejected + outcomes.rejected,
            failed: sum.failed + outcomes.failed,
            unanswered: sum.unanswered + outcomes.unanswered,
        })
    }
}

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served,
    Rejected,
    Failed,
}

struct Recorder {
    summary: RefCell<LoadSummary>,
    in_flight: Cell<u64>,
}

impl Recorder {
    fn sent(&self, class: &'static str) {
        self.summary.borrow_mut().outcomes.entry(class).or_default().sent += 1;
        self.in_flight.set(self.in_flight.get() + 1);
    }

    fn ended(&self, class: &'static str, end: Outcome, since: Instant) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut summary = self.summary.borrow_mut();
        let outcomes = summary.outcomes.entry(class).or_default();
        match end {
            Outcome::Served => outcomes.served += 1,
            Outcome::Rejected => outcomes.rejected += 1,
            Outcome::Failed => outcomes.failed += 1,
        }
        if end == Outcome::Served {
            summary.latency.saturating_record(since.elapsed().as_micros() as u64);
        }
    }
}

/// One request as it is planned.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: &'static str,
    pub(crate) work_ms: f64,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: String,
    pub(crate) request_id: u64,
}

/// Sends what the plan says to a comparer that listens at these addresses, and waits for the answers.
pub async fn run(
    workload: &Workload,
    rpc: SocketAddr,
    ajp: Option<SocketAddr>,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<LoadSummary> {
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are sound");
    let summary = LoadSummary { outcomes: BTreeMap::new(), latency, no_capacity: 0, duplicate_answers: 0 };
    let recorder = Rc::new(Recorder { summary: RefCell::new(summary), in_flight: Cell::new(0) });
    let mut connections = Vec::new();
    for _ in 0..workload.connections.0 {
        connections.push(RpcConnection::connect(rpc, recorder.clone(), executor).await?);
    }
    let ajp_pool = AjpPool { ajp, idle: Rc::default(), all: Cell::new(0), most: workload.connections.1 };
    let mut rng = Pcg64Mcg::seed_from_u64(workload.seed);
    let gaps = Exp::new(workload.rate).map_err(io::Error::other)?;
    let began = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0_u64;
    let mut next_connection = 0;
    loop {
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        if at > workload.duration {
            break;
        }
        number += 1;
        let request = draw_request(&workload.classes, workload.work_sigma, workload.seed, number, &mut rng)?;
        let by_ajp = ajp.is_some() && rng.random::<f64>() < workload.ajp;
        Timer::at(began + at).await;
        if by_ajp {
            ajp_pool.send(request, &recorder, executor).await;
        } else {
            // The next connection with room; where none has, requests would wait at the router, not here.
            let free = (0..connections.len())
                .map(|n| (next_connection + n) % connections.len())
                .find(|n| connections[*n].has_capacity());
            next_connection += 1;
            match free {
                Some(n) => connections[n].send(&request).await?,
                None => recorder.summary.borrow_mut().no_capacity += 1,
            }
        }
    }
    let until = Instant::now() + Duration::from_millis(ANSWER_WAIT_MS);
    while recorder.in_flight.get() > 0 && Instant::now() < until {
        Timer::after(Duration::from_millis(5)).await;
    }
    let mut summary = recorder.summary.borrow().clone();
    for outcomes in summary.outcomes.values_mut() {
        outcomes.unanswered = outcomes.sent - outcomes.served - outcomes.rejected - outcomes.failed;
    }
    Ok(summary)
}

/// The request of this number: a class by its share, and work around its mean.
pub(crate) fn draw_request(
    classes: &[RequestClass],
    work_sigma: f64,
    seed: u64,
    number: u64,
    rng: &mut Pcg64Mcg,
) -> io::Result<Request> {
    let mut share = rng.random::<f64>() * classes.iter().map(|class| class.share).sum::<f64>();
    let class = classes.iter().find(|class| {
        share -= class.share;
        share <= 0.0
    });
    let class = class.or(classes.last()).ok_or_else(|| io::Error::other("a plan without classes"))?;
    let mu = class.work_ms.ln() - work_sigma * work_sigma / 2.0;
    let work_ms = LogNormal::new(mu, work_sigma).map_err(io::Error::other)?.sample(rng).max(0.05);
    let idempotency_key = class.keyed.then(|| format!("k{seed}-{number}"));
    // Behind the numbers that the engine goes by it may say anything.
    let kind = if class.keyed { " keyed" } else { "" };
    let body = format!("{work_ms:.3} {} n{number}{kind}", u8::from(class.calls));
    Ok(Request { class: class.name, work_ms, idempotency_key, body, request_id: seed << 32 | number })
}

// ---- MessagePack-RPC ----

/// Now, Unix ms.
pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl Request {
    /// The message of one try, under an id of its connection; `first_sent_ms` is when the request was first sent.
    pub(crate) fn message(&self, id: u64, first_sent_ms: u128, is_retry: bool) -> io::Result<Vec<u8>> {
        let mut fields = vec![
            ("rid", format!("{:016x}", self.request_id)),
            ("t0", first_sent_ms.to_string()),
            ("est", format!("{:.3}", self.work_ms)),
            ("mem", "40".to_owned()),
        ];
        fields.extend(self.idempotency_key.clone().map(|idempotency_key| ("token", idempotency_key)));
        fields.extend(is_retry.then(|| ("again", "1".to_owned())));
        let fields =
            fields.into_iter().map(|(name, value)| (Value::from(name), Value::from(value))).collect();
        let body = Value::Binary(self.body.clone().into_bytes());
        let message = Value::Array(vec![
            0.into(),
            id.into(),
            self.class.into(),
            Value::Array(vec![Value::Map(fields), body]),
        ]);
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &message).map_err(io::Error::other)?;
        Ok(bytes)
    }
}

/// What came over a connection of MessagePack-RPC.
pub(crate) enum Incoming {
    /// An answer to the request of this id.
    Answer(u64, Outcome),
    /// It is told to go.
    GoAway,
}

/// Takes a whole message off the front, if there is one; passes over what is none of these.
pub(crate) fn take_message(input: &mut Vec<u8>) -> Option<Incoming> {
    loop {
        let mut rest = input.as_slice();
        let message = rmpv::decode::read_value(&mut rest).ok()?;
        let used = input.len() - rest.len();
        input.drain(..used);
        match message.as_array().map(Vec::as_slice) {
            Some([kind, _, _]) if kind.as_u64() == Some(2) => return Some(Incoming::GoAway),
            Some([kind, id, error, _]) if kind.as_u64() == Some(1) => {
                let end = match error.as_array().and_then(|error| error.first()?.as_str()) {
                    None => Outcome::Served,
                    Some("Busy") => Outcome::Rejected,
                    Some(_) => Outcome::Failed,
                };
                return Some(Incoming::Answer(id.as_u64()?, end));
            }
            _ => {}
        }
    }
}

type PendingRequests = Rc<RefCell<HashMap<u64, (&'static str, Instant)>>>;

struct RpcConnection {
    stream: Rc<Async<TcpStream>>,
    pending: PendingRequests,
    last: Cell<u64>,
    recorder: Rc<Recorder>,
}

impl RpcConnection {
    async fn connect(
        at: SocketAddr,
        recorder: Rc<Recorder>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<RpcConnection> {
        let stream = Rc::new(Async::<TcpStream>::connect(at).await?);
        stream.get_ref().set_nodelay(true)?;
        let pending = PendingRequests::default();
        let (reader, waiting, kept) = (stream.clone(), pending.clone(), recorder.clone());
        executor.spawn(async move { read_answers(&reader, &waiting, &kept).await }).detach();
        Ok(RpcConnection { stream, pending, last: Cell::new(0), recorder })
    }

    fn has_capacity(&self) -> bool {
        self.pending.borrow().len() < MAX_IN_FLIGHT
    }

    async fn send(&self, request: &Request) -> io::Result<()> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let bytes = request.message(id, unix_ms(), false)?;
        self.pending.borrow_mut().insert(id, (request.class, Instant::now()));
        self.recorder.sent(request.class);
        (&*self.stream).write_all(&bytes).await
    }
}

async fn read_answers(mut stream: &Async<TcpStream>, pending: &PendingRequests, recorder: &Recorder) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
            _ => return,
        }
        while let Some(incoming) = take_message(&mut input) {
            let Incoming::Answer(id, end) = incoming else { continue };
            let Some((class, since)) = pending.borrow_mut().remove(&id) else {
                recorder.summary.borrow_mut().duplicate_answers += 1;
                continue;
            };
            recorder.ended(class, end, since);
        }
    }
}

// ---- AJP ----

struct AjpPool {
    ajp: Option<SocketAddr>,
    idle: Rc<RefCell<Vec<Rc<Async<TcpStream>>>>>,
    all: Cell<usize>,
    most: usize,
}

impl AjpPool {
    async fn send(&self, request: Request, recorder: &Rc<Recorder>, executor: &Rc<LocalExecutor<'static>>) {
        let Some(address) = self.ajp else { return };
        let used = self.idle.borrow_mut().pop();
        let stream = match used {
            Some(stream) => stream,
            None if self.all.get() < self.most => {
                let Ok(stream) = Async::<TcpStream>::connect(address).await else { return };
                let _ = stream.get_ref().set_nodelay(true);
                self.all.set(self.all.get() + 1);
                Rc::new(stream)
            }
            None => return recorder.summary.borrow_mut().no_capacity += 1,
        };
        let (recorder, idle) = (recorder.clone(), self.idle.clone());
        recorder.sent(request.class);
        let exchange = async move {
            let since = Instant::now();
            if let Ok(end) = ajp_exchange(&stream, &request).await {
                recorder.ended(request.class, end, since);
                idle.borrow_mut().push(stream);
            }
        };
        executor.spawn(exchange).detach();
    }
}

fn ajp_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

fn ajp_packet(payload: &[u8]) -> Vec<u8> {
    [&[0x12, 0x34], &(payload.len() as u16).to_be_bytes()[..], payload].concat()
}

/// One request over AJP13, up to the end of its answer ("The Apache Tomcat Connectors - AJP Protocol Reference").
async fn ajp_exchange(mut stream: &Async<TcpStream>, request: &Request) -> io::Result<Outcome> {
    let mut headers = vec![("est", format!("{:.3}", request.work_ms)), ("mem", "40".to_owned())];
    headers.extend(request.idempotency_key.clone().map(|idempotency_key| ("token", idempotency_key)));
    let mut out = vec![2, 4];
    for text in ["HTTP/1.1", &format!("/{}", request.class), "127.0.0.1", "", "portal"] {
        ajp_text(&mut out, text);
    }
    out.extend_from_slice(&[0x1f, 0x90, 0]);
    out.extend_from_slice(&(headers.len() as u16 + 1).to_be_bytes());
    out.extend_from_slice(&[0xa0, 8]);
    ajp_text(&mut out, &request.body.len().to_string());
    for (name, value) in &headers {
        ajp_text(&mut out, name);
        ajp_text(&mut out, value);
    }
    out.push(0xff);
    let mut bytes = ajp_packet(&out);
    let data = [&(request.body.len() as u16).to_be_bytes(), request.body.as_bytes()].concat();
    bytes.extend(ajp_packet(&data));
    stream.write_all(&bytes).await?;
    let mut end = Outcome::Failed;
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head).await?;
        let mut payload = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]]))];
        stream.read_exact(&mut payload).await?;
        match payload.as_slice() {
            [4, high, low, ..] => {
                end = match u16::from_be_bytes([*high, *low]) {
                    200 => Outcome::Served,
                    503 => Outcome::Rejected,
                    _ => Outcome::Failed,
                }
            }
            [5, reuse] => {
                return if *reuse == 1 { Ok(end) } else { Err(io::ErrorKind::ConnectionAborted.into()) };
            }
            _ => {}
        }
    }
}

/// Waits for something, or gives up.
pub async fn timeout<T>(limit: Duration, what: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(what.await) }, late).await
}
