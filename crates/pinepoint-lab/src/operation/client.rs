//! A blocking MessagePack-RPC client with one connection: sends requests, collects replies by message id, and
//! records GOAWAY and how the connection ended. It owns the connection and the thread that reads it.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rmpv::Value;

use crate::rpc::{self, NOTIFICATION, RESPONSE, RequestFields, take_message, unix_ms};
use crate::sync::lock;

/// Class of requests that only read.
pub const READ_CLASS: &str = "look";
/// Class of requests that read and call the store; their bodies begin with [`super::engine::CALL_PREFIX`].
pub const CALLING_CLASS: &str = "lookup";
/// Class of requests with an effect, which carry an idempotency key.
pub const KEYED_CLASS: &str = "write";

/// Timeout of a reply: longer than the deadline of any class.
pub const REPLY_LIMIT: Duration = Duration::from_secs(8);
/// Timeout of an attempt to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// Number of the next attempt, unique in this process.
static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// A request. It may be sent several times; each attempt has its own id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request class.
    pub class: &'static str,
    /// Idempotency key; set in the keyed class only.
    pub token: Option<String>,
    /// Request body.
    pub body: String,
    /// Time of the first attempt, Unix ms.
    pub t0: u128,
    /// Estimated work, ms.
    pub work_ms: u32,
}

impl Request {
    /// A read-only request, first sent now.
    pub fn read(body: &str) -> Request {
        Request { class: READ_CLASS, token: None, body: body.to_owned(), t0: unix_ms(), work_ms: 5 }
    }

    /// A request that calls the store, first sent now.
    pub fn calling(body: &str) -> Request {
        Request { class: CALLING_CLASS, ..Request::read(&format!("{}{body}", super::engine::CALL_PREFIX)) }
    }

    /// A request with an effect, first sent now; its body equals its idempotency key. A duplicate request
    /// differs only in a later `t0`.
    pub fn keyed(token: &str) -> Request {
        Request { class: KEYED_CLASS, token: Some(token.to_owned()), ..Request::read(token) }
    }

    fn message(&self, message_id: u64) -> io::Result<Vec<u8>> {
        let fields = RequestFields {
            attempt_id: u64::from(std::process::id()) << 40 | ATTEMPTS.fetch_add(1, Ordering::Relaxed),
            first_sent_ms: self.t0,
            estimate_ms: self.work_ms.to_string(),
            idempotency_key: self.token.clone(),
            is_retry: false,
        };
        rpc::encode_request(message_id, self.class, fields, &self.body)
    }
}

/// The outcome of a request or a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request was served, with this result.
    Served(String),
    /// The answer to a health check.
    Health(bool),
    /// The request was rejected with the error `Busy`.
    Busy,
    /// The answer was another error, with this name.
    Failed(String),
    /// The connection ended before an answer arrived.
    Lost,
    /// No answer arrived in time.
    Late,
}

impl Reply {
    /// The result, if the request was served.
    pub fn result(&self) -> Option<&str> {
        if let Reply::Served(result) = self { Some(result) } else { None }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server closed the connection in an orderly way.
    Closed,
    /// A reset or another error ended the connection; replies may be lost.
    Broken,
}

#[derive(Debug, Default)]
struct Inbox {
    replies: HashMap<u64, Reply>,
    has_goaway: bool,
    ending: Option<Ending>,
}

#[derive(Debug, Default)]
struct Shared {
    inbox: Mutex<Inbox>,
    changed: Condvar,
}

impl Shared {
    fn inbox(&self) -> MutexGuard<'_, Inbox> {
        lock(&self.inbox)
    }

    /// Waits until `take` returns a value; `None` if it returns none within `limit`.
    fn wait_for<T>(&self, limit: Duration, mut take: impl FnMut(&mut Inbox) -> Option<T>) -> Option<T> {
        let deadline = Instant::now() + limit;
        let mut inbox = self.inbox();
        loop {
            if let Some(taken) = take(&mut inbox) {
                return Some(taken);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            inbox = self.changed.wait_timeout(inbox, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A client connection.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    shared: Arc<Shared>,
    last_id: AtomicU64,
}

impl Client {
    /// Connects and starts a thread that reads replies until the connection ends.
    ///
    /// # Errors
    /// If the connection is not accepted in time.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
        stream.set_nodelay(true)?;
        let (reading, shared) = (stream.try_clone()?, Arc::new(Shared::default()));
        let inbox = shared.clone();
        std::thread::spawn(move || read_replies(reading, &inbox));
        Ok(Client { stream, shared, last_id: AtomicU64::new(0) })
    }

    fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Encodes a request; returns its message id and its bytes, which [`Client::write`] can send in parts.
    ///
    /// # Errors
    /// If the request cannot be encoded.
    pub fn encode(&self, request: &Request) -> io::Result<(u64, Vec<u8>)> {
        let id = self.next_id();
        Ok((id, request.message(id)?))
    }

    /// Writes arbitrary bytes.
    ///
    /// # Errors
    /// If the connection has ended.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Sends a request; returns its message id.
    ///
    /// # Errors
    /// If the connection has ended.
    pub fn send(&self, request: &Request) -> io::Result<u64> {
        let (id, bytes) = self.encode(request)?;
        self.write(&bytes)?;
        Ok(id)
    }

    /// Waits for the reply to the request with this message id.
    pub fn wait(&self, id: u64) -> Reply {
        let take = |inbox: &mut Inbox| inbox.replies.remove(&id).or(inbox.ending.map(|_| Reply::Lost));
        self.shared.wait_for(REPLY_LIMIT, take).unwrap_or(Reply::Late)
    }

    /// Sends a request and waits for the reply.
    pub fn call(&self, request: &Request) -> Reply {
        self.send(request).map_or(Reply::Lost, |id| self.wait(id))
    }

    /// Sends a health check and waits for the reply.
    pub fn ping(&self) -> Reply {
        let id = self.next_id();
        let message = rpc::encode_call(id, "ping", Vec::new());
        message.and_then(|bytes| self.write(&bytes)).map_or(Reply::Lost, |()| self.wait(id))
    }

    /// Aborts the request with this message id.
    ///
    /// # Errors
    /// If the connection has ended.
    pub fn abort(&self, id: u64) -> io::Result<()> {
        self.write(&rpc::encode_notification("abort", vec![id.into()])?)
    }

    /// Whether a GOAWAY was received.
    pub fn has_goaway(&self) -> bool {
        self.shared.inbox().has_goaway
    }

    /// Waits for a GOAWAY; returns whether it was received within `limit`.
    pub fn wait_for_goaway(&self, limit: Duration) -> bool {
        self.shared.wait_for(limit, |inbox| inbox.has_goaway.then_some(())).is_some()
    }

    /// How the connection ended; `None` while it is open.
    pub fn ending(&self) -> Option<Ending> {
        self.shared.inbox().ending
    }

    /// Waits for the end of the connection; `None` if it is still open after `limit`.
    pub fn wait_for_ending(&self, limit: Duration) -> Option<Ending> {
        self.shared.wait_for(limit, |inbox| inbox.ending)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_replies(mut stream: TcpStream, shared: &Shared) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    let ending = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break Ending::Closed,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(_) => break Ending::Broken,
        }
        let mut inbox = shared.inbox();
        while let Some(message) = take_message(&mut input) {
            accept_message(&mut inbox, &message);
        }
        shared.changed.notify_all();
    };
    shared.inbox().ending = Some(ending);
    shared.changed.notify_all();
}

fn accept_message(inbox: &mut Inbox, message: &Value) {
    match message.as_array().map(Vec::as_slice) {
        Some([kind, name, _]) if kind.as_u64() == Some(NOTIFICATION) && name.as_str() == Some("goaway") => {
            inbox.has_goaway = true;
        }
        Some([kind, id, error, result]) if kind.as_u64() == Some(RESPONSE) => {
            if let Some(id) = id.as_u64() {
                inbox.replies.insert(id, reply(error, result));
            }
        }
        _ => {}
    }
}

fn reply(error: &Value, result: &Value) -> Reply {
    let first = |value: &Value| value.as_array().and_then(|items| items.first().cloned());
    if let Some(name) = first(error) {
        return match name.as_str() {
            Some("Busy") => Reply::Busy,
            name => Reply::Failed(name.unwrap_or_default().to_owned()),
        };
    }
    match first(result) {
        Some(Value::Boolean(healthy)) => Reply::Health(healthy),
        Some(Value::Binary(bytes)) => Reply::Served(String::from_utf8_lossy(&bytes).into_owned()),
        other => Reply::Failed(format!("unexpected result {other:?}; expected a boolean or bytes")),
    }
}
