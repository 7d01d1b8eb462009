//! A MessagePack-RPC connection that carries several requests at once, like the connections of routers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::recorder::Recorder;
use super::request::{Incoming, Request, take_incoming};
use crate::rpc::unix_ms;

/// Maximum number of requests in flight on one connection.
const MAX_IN_FLIGHT: usize = 32;
/// Size of the read buffer, bytes.
const READ_BYTES: usize = 16 * 1024;

/// A request that waits for its answer.
struct Pending {
    class: &'static str,
    sent: Instant,
}

/// Requests in flight by message id.
type PendingRequests = Rc<RefCell<HashMap<u64, Pending>>>;

/// A connection. A separate task reads the answers.
pub(super) struct RpcConnection {
    stream: Rc<Async<TcpStream>>,
    pending: PendingRequests,
    last_id: Cell<u64>,
    recorder: Rc<Recorder>,
}

impl RpcConnection {
    pub(super) async fn connect(
        address: SocketAddr,
        recorder: Rc<Recorder>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<RpcConnection> {
        let stream = Rc::new(Async::<TcpStream>::connect(address).await?);
        stream.get_ref().set_nodelay(true)?;
        let pending = PendingRequests::default();
        let answers = read_answers(stream.clone(), pending.clone(), recorder.clone());
        executor.spawn(answers).detach();
        Ok(RpcConnection { stream, pending, last_id: Cell::new(0), recorder })
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.pending.borrow().len() < MAX_IN_FLIGHT
    }

    pub(super) async fn send(&self, request: &Request) -> io::Result<()> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let bytes = request.message(id, unix_ms(), false)?;
        self.pending.borrow_mut().insert(id, Pending { class: request.class, sent: Instant::now() });
        self.recorder.sent(request.class);
        (&*self.stream).write_all(&bytes).await
    }
}

async fn read_answers(stream: Rc<Async<TcpStream>>, pending: PendingRequests, recorder: Rc<Recorder>) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        match (&*stream).read(&mut chunk).await {
            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
            _ => return,
        }
        while let Some(incoming) = take_incoming(&mut input) {
            let Incoming::Answer(id, outcome) = incoming else { continue };
            match pending.borrow_mut().remove(&id) {
                Some(Pending { class, sent }) => recorder.answered(class, outcome, sent),
                None => recorder.duplicate_answer(),
            }
        }
    }
}
