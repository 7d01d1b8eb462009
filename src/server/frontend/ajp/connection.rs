//! One web server's connection: handles one request at a time, from its head and its body to its answer. It
//! owns the connection's packets and the unanswered request.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use pinepoint_events::Protocol;

use super::Options;
use super::packet::{MAX_PACKET_BYTES, PacketError, body_data, code, take_packet};
use super::request::{BodyLength, ForwardRequest, HttpStatus, RequestHead};
use super::response::{Response, Reuse, write_cpong, write_get_body_chunk, write_response};
use crate::server::core::api::{Arrival, Caller, CoreInput, Reply};
use crate::server::frontend::connection::{self, CloseReason, ReadHalf, WriteHalf};
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::request_limits::MAX_BODY_BYTES;
use crate::server::observability::counters::count;
use crate::server::sync::Notify;

/// Time within which a web server has to send the next part of a body, ms. Meanwhile its connection cannot be
/// evicted for others.
const BODY_PART_TIMEOUT_MS: f64 = 1500.0;

/// Serves one connection to its end; returns the reason code of the end.
pub async fn serve(
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    options: Rc<Options>,
) -> &'static str {
    let connection = Rc::new(Connection {
        state,
        context: context.clone(),
        writer: Rc::new(WriteHalf::new(context.clone())),
        in_flight: Cell::new(None),
        answered: Notify::default(),
    });
    let _ = context.queue.send(CoreInput::ConnectionOpened(connection.clone())).await;
    let reader =
        ReadHalf::new(stream.clone(), connection.state.clone(), context.clone(), connection.writer.clone());
    let mut request_reader = RequestReader { reader, connection: connection.clone(), options };
    let reading = request_reader.run();
    let is_idle = || connection.in_flight.get().is_none();
    connection::run(&stream, &connection.state, &context, &connection.writer, reading, is_idle).await
}

/// A request whose head and body are complete.
struct ReceivedRequest {
    correlation_id: u64,
    /// When it was complete, Unix ms.
    arrived_ms: f64,
    /// How long its caller waits from that time, ms.
    timeout_ms: f64,
    head: RequestHead,
    body: Vec<u8>,
}

/// Why a request does not reach the core.
enum RequestError {
    /// The request is answered with this status. The connection ends unless it may be reused: the rest of the
    /// body may still arrive, and no packet after it could be interpreted.
    Status(HttpStatus, Reuse),
    /// The rest of the body did not come. The request is answered with this status, as the web server was told
    /// to go on with it, and the connection ends for this reason.
    Incomplete(HttpStatus, CloseReason),
    /// The connection ends.
    Close(CloseReason),
}

impl RequestError {
    /// Answers a request with this status and ends the connection.
    fn final_status(status: HttpStatus) -> Self {
        RequestError::Status(status, Reuse::Denied)
    }
}

impl From<CloseReason> for RequestError {
    fn from(reason: CloseReason) -> Self {
        RequestError::Close(reason)
    }
}

impl From<PacketError> for RequestError {
    fn from(error: PacketError) -> Self {
        RequestError::Close(error.into())
    }
}

impl From<PacketError> for CloseReason {
    fn from(error: PacketError) -> Self {
        CloseReason::ProtocolError(error.reason_code())
    }
}

/// The reading side of a connection: reads packets and handles one request after the other.
struct RequestReader {
    reader: ReadHalf,
    connection: Rc<Connection>,
    options: Rc<Options>,
}

impl RequestReader {
    /// Reads packets until reading has to stop; returns the reason.
    async fn run(&mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.handle_next_packet().await {
                return reason;
            }
            self.connection.writer.ready().await;
            future::yield_now().await;
        }
    }

    /// Handles one packet and, if it starts a request, the whole request.
    async fn handle_next_packet(&mut self) -> Result<(), CloseReason> {
        let payload = self.read_packet(None).await?;
        let connection = self.connection.clone();
        let FrontendContext { limiter, clock, .. } = &*connection.context;
        limiter.message_received(&connection.state, clock.now());
        match payload.first() {
            Some(&code::CPING) if payload.len() == 1 => {
                count(&connection.context.counters.pings);
                connection.writer.push(write_cpong);
                Ok(())
            }
            // Ignored: anyone who can connect could send it. SIGTERM is the way to stop this process.
            Some(&code::SHUTDOWN) => Ok(()),
            Some(&code::FORWARD_REQUEST) => {
                connection.state.request_in_flight.set(true);
                let result = self.request(&payload).await;
                connection.state.request_in_flight.set(false);
                result?;
                if connection.state.is_going_away() {
                    return Err(CloseReason::Graceful("drained"));
                }
                Ok(())
            }
            _ => Err(PacketError::InvalidCode.into()),
        }
    }

    /// Reads the next packet and returns its payload. `deadline_ms` limits the wait.
    async fn read_packet(&mut self, deadline_ms: Option<f64>) -> Result<Vec<u8>, CloseReason> {
        loop {
            if let Some(payload) = take_packet(&mut self.reader.bytes)? {
                return Ok(payload);
            }
            self.reader.read_more(deadline_ms).await?;
        }
    }

    /// Handles one request from its head to its answer.
    async fn request(&mut self, payload: &[u8]) -> Result<(), CloseReason> {
        match self.receive(payload).await {
            Ok(request) => {
                let correlation_id = request.correlation_id;
                self.connection.submit(request, &self.options).await;
                self.await_answer(correlation_id).await
            }
            Err(RequestError::Status(status, reuse)) => {
                self.connection.reject(status, reuse);
                if reuse == Reuse::Allowed { Ok(()) } else { Err(CloseReason::Graceful("bad-request")) }
            }
            Err(RequestError::Incomplete(status, reason)) => {
                self.connection.reject(status, Reuse::Denied);
                Err(reason)
            }
            Err(RequestError::Close(reason)) => Err(reason),
        }
    }

    /// Parses the head of a request and reads its body.
    async fn receive(&mut self, payload: &[u8]) -> Result<ReceivedRequest, RequestError> {
        let context = self.connection.context.clone();
        let head_ms = context.clock.now();
        let correlation_id = self.connection.state.count_read();
        let request = ForwardRequest::parse(payload)?;
        let length = request.body_length().map_err(RequestError::final_status)?;
        let site = context.active_settings.site();
        let head = request
            .head(&site, head_ms, self.options.secret.as_deref())
            .map_err(|status| RequestError::Status(status, reuse_after(status, length)))?;
        let class = &site.settings.classes[head.class];
        // The caller waits from the head on, but a request has reached this machine only when it is complete.
        let deadline_ms = head_ms + class.caller_timeout_ms(head.timeout_ms);
        let body = self.body(length, deadline_ms).await?;
        let arrived_ms = context.clock.now();
        let timeout_ms = (deadline_ms - arrived_ms).max(0.0);
        Ok(ReceivedRequest { correlation_id, arrived_ms, timeout_ms, head, body })
    }

    /// Reads a body, which has to be complete by `deadline_ms`.
    async fn body(&mut self, length: BodyLength, deadline_ms: f64) -> Result<Vec<u8>, RequestError> {
        let expected = match length {
            BodyLength::Known(bytes) if bytes > MAX_BODY_BYTES => {
                return Err(RequestError::final_status(HttpStatus::CONTENT_TOO_LARGE));
            }
            BodyLength::Known(bytes) => Some(bytes),
            BodyLength::Chunked => None,
        };
        let mut body = Vec::new();
        let mut arrives_unrequested = expected.is_some();
        while expected.is_none_or(|bytes| body.len() < bytes) {
            if !arrives_unrequested {
                // Requests up to one byte more than allowed, to detect a body that is too long.
                let missing = expected.map_or(usize::MAX, |bytes| bytes - body.len());
                let max_bytes = missing.min(MAX_BODY_BYTES + 1) as u16;
                self.connection.writer.push(|out| write_get_body_chunk(out, max_bytes));
            }
            arrives_unrequested = false;
            let packet_deadline_ms = self.connection.context.clock.now() + BODY_PART_TIMEOUT_MS;
            let packet = self.read_packet(Some(deadline_ms.min(packet_deadline_ms))).await;
            let payload = packet.map_err(|reason| self.incomplete(reason, deadline_ms))?;
            let data = body_data(&payload)?;
            if data.is_empty() && expected.is_none() {
                break;
            }
            if data.is_empty() {
                // The client of the web server disconnected: an incomplete request is not passed on.
                return Err(RequestError::final_status(HttpStatus::BAD_REQUEST));
            }
            body.extend_from_slice(data);
            if expected.is_some_and(|bytes| body.len() > bytes) {
                return Err(PacketError::InvalidLength.into());
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(RequestError::final_status(HttpStatus::CONTENT_TOO_LARGE));
            }
        }
        Ok(body)
    }

    /// The error of a request whose body is not complete when reading stops for `reason`.
    fn incomplete(&self, reason: CloseReason, deadline_ms: f64) -> RequestError {
        let is_overdue = self.connection.context.clock.now() >= deadline_ms;
        match reason {
            CloseReason::Finishing => RequestError::Incomplete(HttpStatus::SERVICE_UNAVAILABLE, reason),
            CloseReason::Graceful(_) if is_overdue => {
                RequestError::Incomplete(HttpStatus::GATEWAY_TIMEOUT, reason)
            }
            CloseReason::Graceful(_) => RequestError::Incomplete(HttpStatus::BAD_REQUEST, reason),
            CloseReason::PeerClosed
            | CloseReason::ProtocolError(_)
            | CloseReason::WriteClosed(_)
            | CloseReason::PeerGone(_) => RequestError::Close(reason),
        }
    }

    /// Completes when the core has answered. Meanwhile it keeps reading, only to detect that the web server
    /// disconnects: a web server has nothing to send before the answer.
    async fn await_answer(&mut self, correlation_id: u64) -> Result<(), CloseReason> {
        let connection = self.connection.clone();
        while connection.in_flight.get().is_some() {
            let answered = async {
                connection.answered.wait().await;
                Ok(())
            };
            match future::or(answered, self.reader.read_more(None)).await {
                Ok(()) => {}
                // Nothing more is read; the request that was read is still answered.
                Err(CloseReason::Finishing) => return Err(CloseReason::Finishing),
                Err(reason) => {
                    connection.abandon(correlation_id).await;
                    return Err(reason);
                }
            }
            if self.reader.bytes.len() > MAX_PACKET_BYTES {
                return Err(CloseReason::ProtocolError("unasked-data"));
            }
        }
        Ok(())
    }
}

/// Whether the connection may be reused after a request with an invalid head. It may not if a body follows or
/// if the web server did not send the secret.
fn reuse_after(status: HttpStatus, length: BodyLength) -> Reuse {
    Reuse::allowed_if(length == BodyLength::Known(0) && status != HttpStatus::FORBIDDEN)
}

/// One web server's connection, as the core sees it.
struct Connection {
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: Rc<WriteHalf>,
    /// The unanswered request, if there is one.
    in_flight: Cell<Option<u64>>,
    answered: Notify,
}

impl Connection {
    /// Passes a request to the core.
    async fn submit(self: &Rc<Self>, request: ReceivedRequest, options: &Options) {
        let ReceivedRequest { correlation_id, arrived_ms, timeout_ms, head, body } = request;
        self.in_flight.set(Some(correlation_id));
        let arrival = Arrival {
            caller: self.clone(),
            protocol: Protocol::Ajp,
            correlation_id,
            attempt_id: attempt_id(options.seed, self.state.id, correlation_id),
            class: head.class,
            arrived_ms,
            timeout_ms: Some(timeout_ms),
            retry: head.retry,
            work_hint_ms: head.work_hint_ms,
            mem_kb: head.memory_kb.unwrap_or(options.mem_kb),
            idempotency_key: head.idempotency_key,
            subject: head.subject,
            tenant: None,
            body,
        };
        let _ = self.context.queue.send(CoreInput::RequestReceived(Box::new(arrival))).await;
    }

    /// Notifies the core that the web server no longer waits for the answer.
    async fn abandon(&self, correlation_id: u64) {
        self.in_flight.set(None);
        let gone = CoreInput::CallerGone { caller: self.state.id, correlation_id };
        let _ = self.context.queue.send(gone).await;
    }

    /// Answers a request that does not reach the core.
    fn reject(&self, status: HttpStatus, reuse: Reuse) {
        count(&self.context.counters.bad_requests);
        self.state.count_answered();
        let is_refused = status == HttpStatus::SERVICE_UNAVAILABLE;
        let headers = if is_refused { rejection_headers(0.0, false) } else { Vec::new() };
        let stays_open = reuse == Reuse::Allowed && !self.state.is_going_away();
        self.respond(status.0, headers, b"", Reuse::allowed_if(stays_open));
    }

    fn respond(&self, status: u16, mut headers: Vec<(&str, String)>, body: &[u8], reuse: Reuse) {
        headers.extend(self.context.status.load_report.get().map(|value| ("hint", format!("{value:.4}"))));
        self.state.last_active_ms.set(self.context.clock.now());
        let response = Response { status, headers: &headers, body, reuse };
        self.writer.push(|out| write_response(out, &response));
    }
}

impl Caller for Connection {
    fn id(&self) -> u64 {
        self.state.id
    }

    fn answer(&self, correlation_id: u64, reply: &Reply) {
        if self.in_flight.get() != Some(correlation_id) {
            return;
        }
        self.in_flight.set(None);
        self.state.count_answered();
        let reuse = Reuse::allowed_if(!self.state.is_going_away());
        match reply {
            Reply::Served(result) => {
                let headers = vec![("Content-Type", "application/octet-stream".to_owned())];
                self.respond(200, headers, result, reuse);
            }
            Reply::Rejected { retry_after_ms, no_retry, .. } => {
                self.respond(503, rejection_headers(*retry_after_ms, *no_retry), b"", reuse);
            }
            Reply::Failed { late: true, .. } => self.respond(504, Vec::new(), b"", reuse),
            Reply::Failed { late: false, .. } => self.respond(500, Vec::new(), b"", reuse),
        }
        self.answered.wake();
    }

    fn go_away(&self) {
        // AJP13 has no go-away message: an idle connection is closed now, and the web server connects to
        // another server. A request whose body is still arriving has not reached the core, so the drain does
        // not have to answer it, but the connection stays open until the request is complete or times out.
        self.state.mark_going_away_unannounced(self.context.clock.now());
    }

    fn go_away_if_idle(&self, since_ms: f64) {
        if self.state.is_idle_since(since_ms) {
            self.go_away();
        }
    }
}

/// The headers of a rejection: Retry-After in whole seconds, at least 1, and whether no other server should
/// be tried.
fn rejection_headers(retry_after_ms: f64, is_final: bool) -> Vec<(&'static str, String)> {
    let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
    let mut headers = vec![("Retry-After", format!("{seconds:.0}"))];
    headers.extend(is_final.then(|| ("final", "1".to_owned())));
    headers
}

/// Generates an attempt id that is unique in this process: the ids of connection and request, scrambled by a
/// bijection.
fn attempt_id(seed: u64, connection: u64, correlation_id: u64) -> String {
    let mut id = seed ^ (connection << 32 | correlation_id & 0xffff_ffff);
    for _ in 0..2 {
        id = (id ^ (id >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    format!("{:016x}", id ^ (id >> 29))
}
