//! Checks whether a process listens at the address of a suspected member. The check sends an empty datagram
//! from a socket of its own, connected to that address: the system reports a closed port to such a socket,
//! but not to the shared socket.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, RecvError, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

/// Maximum number of concurrent checks. Further addresses are not checked.
const MAX_RUNNING_CHECKS: u32 = 8;
/// Maximum number of results that wait to be read. Further results are dropped.
const MAX_PENDING_RESULTS: usize = 64;

/// Runs checks and returns their results.
pub(super) struct RefusalChecks {
    executor: Rc<LocalExecutor<'static>>,
    timeout: Duration,
    running: Rc<Cell<u32>>,
    results: Sender<SocketAddr>,
    refused: Receiver<SocketAddr>,
}

/// Counts a running check until it is dropped.
struct RunningCheck(Rc<Cell<u32>>);

impl RunningCheck {
    fn new(running: &Rc<Cell<u32>>) -> Self {
        running.set(running.get() + 1);
        RunningCheck(running.clone())
    }
}

impl Drop for RunningCheck {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RefusalChecks {
    /// Checks run on this executor, for up to `timeout_ms` each.
    pub(super) fn new(executor: Rc<LocalExecutor<'static>>, timeout_ms: f64) -> Self {
        let (results, refused) = async_channel::bounded(MAX_PENDING_RESULTS);
        let timeout = Duration::from_secs_f64(timeout_ms / 1000.0);
        RefusalChecks { executor, timeout, running: Rc::default(), results, refused }
    }

    /// Starts a check, unless too many are running.
    pub(super) fn check(&self, address: SocketAddr) {
        if self.running.get() >= MAX_RUNNING_CHECKS {
            return;
        }
        let running = RunningCheck::new(&self.running);
        let (results, timeout) = (self.results.clone(), self.timeout);
        let check = async move {
            if is_refused(address, timeout).await {
                let _ = results.try_send(address);
            }
            drop(running);
        };
        self.executor.spawn(check).detach();
    }

    /// The next address at which no process listens.
    pub(super) async fn next_refused(&self) -> Result<SocketAddr, RecvError> {
        self.refused.recv().await
    }
}

async fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    let answer = async {
        let socket = Async::new(super::connected_socket(address)?)?;
        socket.send(&[]).await?;
        socket.recv(&mut [0; 1]).await
    };
    let timer = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let result = future::or(answer, timer).await;
    result.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
