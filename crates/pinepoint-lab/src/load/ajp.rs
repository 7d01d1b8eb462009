//! AJP13 connections ("The Apache Tomcat Connectors - AJP Protocol Reference"). Each carries one request at a
//! time.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::recorder::Recorder;
use super::request::{Outcome, Request};

/// First bytes of a packet from the web server to the program.
const MAGIC: [u8; 2] = [0x12, 0x34];
/// Prefix code of a Forward Request.
const FORWARD_REQUEST: u8 = 2;
/// Method code of POST.
const POST: u8 = 4;
/// Code of the header `content-length`.
const CONTENT_LENGTH: [u8; 2] = [0xa0, 8];
/// Terminator of a Forward Request.
const REQUEST_TERMINATOR: u8 = 0xff;
/// Prefix code of Send Headers: the packet with status and headers.
const SEND_HEADERS: u8 = 4;
/// Prefix code of End Response: the packet that ends an answer.
const END_RESPONSE: u8 = 5;

/// A pool of reusable connections with an upper limit on their number.
pub(super) struct AjpPool {
    address: Option<SocketAddr>,
    idle: Rc<RefCell<Vec<Rc<Async<TcpStream>>>>>,
    opened: Cell<usize>,
    max_connections: usize,
}

impl AjpPool {
    pub(super) fn new(address: Option<SocketAddr>, max_connections: usize) -> AjpPool {
        AjpPool { address, idle: Rc::default(), opened: Cell::new(0), max_connections }
    }

    /// Sends a request on an idle or a new connection. A separate task waits for the answer.
    pub(super) async fn send(
        &self,
        request: Request,
        recorder: &Rc<Recorder>,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        let Some(address) = self.address else { return };
        let reused = self.idle.borrow_mut().pop();
        let stream = match reused {
            Some(stream) => stream,
            None if self.opened.get() < self.max_connections => {
                let Ok(stream) = Async::<TcpStream>::connect(address).await else { return };
                let _ = stream.get_ref().set_nodelay(true);
                self.opened.set(self.opened.get() + 1);
                Rc::new(stream)
            }
            None => return recorder.no_capacity(),
        };
        let (recorder, idle) = (recorder.clone(), self.idle.clone());
        recorder.sent(request.class);
        let exchange = async move {
            let sent = Instant::now();
            if let Ok(outcome) = exchange(&stream, &request).await {
                recorder.answered(request.class, outcome, sent);
                idle.borrow_mut().push(stream);
            }
        };
        executor.spawn(exchange).detach();
    }
}

fn write_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

fn packet(payload: &[u8]) -> Vec<u8> {
    [&MAGIC, &(payload.len() as u16).to_be_bytes()[..], payload].concat()
}

/// Encodes a request as two packets: the Forward Request and the body.
fn encode(request: &Request) -> Vec<u8> {
    let mut headers = vec![("est", format!("{:.3}", request.work_ms)), ("mem", "40".to_owned())];
    headers.extend(request.idempotency_key.clone().map(|key| ("token", key)));
    let mut head = vec![FORWARD_REQUEST, POST];
    for text in ["HTTP/1.1", &format!("/{}", request.class), "127.0.0.1", "", "portal"] {
        write_string(&mut head, text);
    }
    // Port 8080, no TLS.
    head.extend_from_slice(&[0x1f, 0x90, 0]);
    head.extend_from_slice(&(headers.len() as u16 + 1).to_be_bytes());
    head.extend_from_slice(&CONTENT_LENGTH);
    write_string(&mut head, &request.body.len().to_string());
    for (name, value) in &headers {
        write_string(&mut head, name);
        write_string(&mut head, value);
    }
    head.push(REQUEST_TERMINATOR);
    let body = [&(request.body.len() as u16).to_be_bytes(), request.body.as_bytes()].concat();
    [packet(&head), packet(&body)].concat()
}

/// Sends one request and reads the whole answer; returns an error if the connection cannot be reused.
async fn exchange(mut stream: &Async<TcpStream>, request: &Request) -> io::Result<Outcome> {
    stream.write_all(&encode(request)).await?;
    let mut outcome = Outcome::Failed;
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head).await?;
        let mut payload = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]]))];
        stream.read_exact(&mut payload).await?;
        match payload.as_slice() {
            [SEND_HEADERS, high, low, ..] => outcome = outcome_of(u16::from_be_bytes([*high, *low])),
            [END_RESPONSE, 1] => return Ok(outcome),
            [END_RESPONSE, _] => return Err(io::ErrorKind::ConnectionAborted.into()),
            _ => {}
        }
    }
}

fn outcome_of(status: u16) -> Outcome {
    match status {
        200 => Outcome::Served,
        503 => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}
