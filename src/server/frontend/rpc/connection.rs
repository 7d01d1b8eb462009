//! One router's connection: reads its messages in order, passes requests to the core and writes the answers.
//! It owns the connection's requests in flight and its message ids.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use pinepoint_events::Protocol;

use super::MAX_IN_FLIGHT_REQUESTS;
use super::message::{Message, ProtocolError, Request, take_message};
use super::response::{ResponseFields, write_error, write_go_away, write_pong, write_result};
use crate::server::core::api::{Arrival, Caller, CoreInput, Reply};
use crate::server::frontend::connection::{self, CloseReason, ReadHalf, WriteHalf};
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::observability::counters::count;

/// Serves one connection to its end; returns the reason code of the end.
pub async fn serve(
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
) -> &'static str {
    let connection = Rc::new(Connection {
        state,
        context: context.clone(),
        writer: Rc::new(WriteHalf::new(context.clone())),
        in_flight: RefCell::new(BTreeSet::new()),
        last_message_id: Cell::new(0),
    });
    let _ = context.queue.send(CoreInput::ConnectionOpened(connection.clone())).await;
    let mut reader =
        ReadHalf::new(stream.clone(), connection.state.clone(), context.clone(), connection.writer.clone());
    let reading = read_messages(&mut reader, &connection);
    let is_idle = || connection.in_flight.borrow().is_empty();
    connection::run(&stream, &connection.state, &context, &connection.writer, reading, is_idle).await
}

/// Reads messages until reading has to stop; returns the reason.
async fn read_messages(reader: &mut ReadHalf, connection: &Rc<Connection>) -> CloseReason {
    loop {
        if let Err(reason) = reader.read_more(None).await {
            return reason;
        }
        if let Err(error) = handle_buffered(reader, connection).await {
            return CloseReason::ProtocolError(error.reason_code());
        }
        connection.writer.ready().await;
        future::yield_now().await;
    }
}

/// Handles all complete messages.
async fn handle_buffered(reader: &mut ReadHalf, connection: &Rc<Connection>) -> Result<(), ProtocolError> {
    let context = &connection.context;
    loop {
        let site = context.active_settings.site();
        let Some(message) = take_message(&mut reader.bytes, &site, context.clock.now())? else {
            return Ok(());
        };
        context.limiter.message_received(&connection.state, context.clock.now());
        connection.handle(message).await?;
    }
}

/// One router's connection.
struct Connection {
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: Rc<WriteHalf>,
    /// Message ids of the unanswered requests.
    in_flight: RefCell<BTreeSet<u64>>,
    last_message_id: Cell<u64>,
}

impl Connection {
    async fn handle(self: &Rc<Self>, message: Message) -> Result<(), ProtocolError> {
        match message {
            Message::Cancel { id } => self.cancel(id).await,
            Message::Ping { id } => {
                self.accept_message_id(id)?;
                self.answer_ping(id);
            }
            Message::Request { id, request: Ok(request) } => {
                self.accept_message_id(id)?;
                self.submit(id, *request).await?;
            }
            Message::Request { id, request: Err(error) } => {
                self.accept_message_id(id)?;
                count(&self.context.counters.bad_requests);
                self.write_error(id, error.wire_name(), self.response_fields());
            }
        }
        Ok(())
    }

    /// Accepts a message id, which has to be greater than the previous one.
    fn accept_message_id(&self, id: u64) -> Result<(), ProtocolError> {
        self.state.count_read();
        if id <= self.last_message_id.replace(id) { Err(ProtocolError::MessageIdOrder) } else { Ok(()) }
    }

    async fn cancel(&self, id: u64) {
        if self.finish(id) {
            let gone = CoreInput::CallerGone { caller: self.state.id, correlation_id: id };
            let _ = self.context.queue.send(gone).await;
        }
    }

    fn answer_ping(&self, id: u64) {
        count(&self.context.counters.pings);
        let fields = self.response_fields();
        let healthy = self.context.status.healthy.get();
        self.writer.push(|out| write_pong(out, id, healthy, fields));
    }

    /// Passes a request to the core.
    async fn submit(self: &Rc<Self>, id: u64, request: Request) -> Result<(), ProtocolError> {
        if self.in_flight.borrow().len() >= MAX_IN_FLIGHT_REQUESTS {
            return Err(ProtocolError::TooManyInFlight);
        }
        self.in_flight.borrow_mut().insert(id);
        self.state.request_in_flight.set(true);
        let arrival = Arrival {
            caller: self.clone(),
            protocol: Protocol::Rpc,
            correlation_id: id,
            attempt_id: request.attempt_id,
            class: request.class,
            arrived_ms: request.arrived_ms,
            timeout_ms: request.timeout_ms,
            retry: request.retry,
            work_hint_ms: request.work_hint_ms,
            mem_kb: request.memory_kb,
            idempotency_key: request.idempotency_key,
            subject: request.subject,
            tenant: request.tenant,
            body: request.body,
        };
        let _ = self.context.queue.send(CoreInput::RequestReceived(Box::new(arrival))).await;
        Ok(())
    }

    /// Removes a request from the requests in flight; returns whether it was in flight.
    fn finish(&self, id: u64) -> bool {
        let was_in_flight = self.in_flight.borrow_mut().remove(&id);
        self.state.request_in_flight.set(!self.in_flight.borrow().is_empty());
        was_in_flight
    }

    /// The fields that are sent with every response.
    fn response_fields(&self) -> ResponseFields {
        ResponseFields { hint: self.context.status.load_report.get(), ..ResponseFields::default() }
    }

    fn write_error(&self, id: u64, error: &str, fields: ResponseFields) {
        self.writer.push(|out| write_error(out, id, error, fields));
    }
}

impl Caller for Connection {
    fn id(&self) -> u64 {
        self.state.id
    }

    fn answer(&self, correlation_id: u64, reply: &Reply) {
        // A cancelled request gets no answer, and no request gets two answers.
        if !self.finish(correlation_id) {
            return;
        }
        self.state.last_active_ms.set(self.context.clock.now());
        self.state.count_answered();
        let fields = self.response_fields();
        match reply {
            Reply::Served(result) => {
                self.writer.push(|out| write_result(out, correlation_id, result, fields));
            }
            Reply::Rejected { retry_after_ms, no_retry, .. } => {
                let retry_after_ms = Some(*retry_after_ms).filter(|ms| *ms > 0.0);
                let fields = ResponseFields { retry_after_ms, is_final: *no_retry, ..fields };
                self.write_error(correlation_id, "Busy", fields);
            }
            Reply::Failed { .. } => self.write_error(correlation_id, "Failed", fields),
        }
    }

    fn go_away(&self) {
        if self.state.mark_go_away_sent(self.context.clock.now()) {
            self.writer.push(write_go_away);
        }
    }

    fn go_away_if_idle(&self, since_ms: f64) {
        if self.state.is_idle_since(since_ms) {
            self.go_away();
        }
    }
}
