//! One web server's connection as the core sees it. It owns the unanswered request and writes its answer.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use pinepoint_events::Protocol;

use super::Options;
use super::request::HttpStatus;
use super::request_reader::{ReceivedRequest, RequestReader};
use super::response::{Response, Reuse, write_response};
use crate::server::core::api::{Arrival, Caller, CoreInput, Reply};
use crate::server::frontend::connection::{self, ReadHalf, WriteHalf};
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::observability::counters::count;
use crate::server::sync::Notify;

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
    let mut request_reader = RequestReader::new(reader, connection.clone(), options);
    let reading = request_reader.run();
    let is_idle = || connection.in_flight.get().is_none();
    connection::run(&stream, &connection.state, &context, &connection.writer, reading, is_idle).await
}

/// One web server's connection, as the core sees it.
pub(super) struct Connection {
    pub(super) state: Rc<ConnectionState>,
    pub(super) context: Rc<FrontendContext>,
    pub(super) writer: Rc<WriteHalf>,
    /// The unanswered request, if there is one.
    pub(super) in_flight: Cell<Option<u64>>,
    /// Woken when the unanswered request is answered.
    pub(super) answered: Notify,
}

impl Connection {
    /// Passes a request to the core.
    pub(super) async fn submit(self: &Rc<Self>, request: ReceivedRequest, options: &Options) {
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
    pub(super) async fn abandon(&self, correlation_id: u64) {
        self.in_flight.set(None);
        let gone = CoreInput::CallerGone { caller: self.state.id, correlation_id };
        let _ = self.context.queue.send(gone).await;
    }

    /// Answers a request that does not reach the core.
    pub(super) fn reject(&self, status: HttpStatus, reuse: Reuse) {
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
