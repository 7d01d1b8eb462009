//! The reading side of a web server's connection: reads packets and requests in order, from the head of a
//! request and its body to the answer. It owns the connection's input; the answers belong to [`Connection`].

use std::rc::Rc;

use futures_lite::future;

use super::Options;
use super::connection::Connection;
use super::packet::{MAX_PACKET_BYTES, PacketError, body_data, code, take_packet};
use super::request::{BodyLength, ForwardRequest, HttpStatus, RequestHead};
use super::response::{Reuse, write_cpong, write_get_body_chunk};
use crate::server::frontend::connection::{CloseReason, ReadHalf};
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::request_limits::MAX_BODY_BYTES;
use crate::server::observability::counters::count;

/// Time within which a web server has to send the next part of a body, ms. Meanwhile its connection cannot be
/// evicted for others.
const BODY_PART_TIMEOUT_MS: f64 = 1500.0;

/// A request whose head and body are complete.
pub(super) struct ReceivedRequest {
    pub(super) correlation_id: u64,
    /// When it was complete, Unix ms.
    pub(super) arrived_ms: f64,
    /// How long its caller waits from that time, ms.
    pub(super) timeout_ms: f64,
    pub(super) head: RequestHead,
    pub(super) body: Vec<u8>,
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
pub(super) struct RequestReader {
    reader: ReadHalf,
    connection: Rc<Connection>,
    options: Rc<Options>,
}

impl RequestReader {
    /// The reading side of `connection`, whose input `reader` reads.
    pub(super) fn new(reader: ReadHalf, connection: Rc<Connection>, options: Rc<Options>) -> Self {
        RequestReader { reader, connection, options }
    }

    /// Reads packets until reading has to stop; returns the reason.
    pub(super) async fn run(&mut self) -> CloseReason {
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
