//! The signals of the process, and what it does at each: SIGTERM and SIGINT are termination notices, SIGHUP reloads, and
//! SIGUSR1 logs the counters.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use pinepoint::server::control::status::Status;
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;

use crate::reload::Reload;

/// Pause after signals that could not be read, ms.
const READ_RETRY_MS: f64 = 1000.0;

/// The signals, taken from before anything else is done: one that arrives without a handler ends the process, with
/// everything that it was about to do. Signals that arrive during the start are handled after it, in their order.
pub struct SignalStream {
    signals: Signals,
    /// Received during the start and not handled yet.
    deferred: VecDeque<Signal>,
}

impl SignalStream {
    /// Takes the signals from now on.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])?;
        Ok(SignalStream { signals, deferred: VecDeque::new() })
    }

    /// The next signal, the deferred ones first.
    pub async fn next(&mut self, clock: &Clock) -> Signal {
        if let Some(signal) = self.deferred.pop_front() {
            return signal;
        }
        loop {
            match self.signals.next().await {
                Some(Ok(signal)) => return signal,
                // An error is no termination notice.
                Some(Err(error)) => tracing::warn!(%error, "signal-not-read"),
                None => tracing::warn!("signals-ended"),
            }
            clock.pause(READ_RETRY_MS).await;
        }
    }

    /// Waits up to `timeout_ms` for a termination notice; returns whether it arrived. All signals are deferred.
    pub async fn terminated_within(&mut self, timeout_ms: f64, clock: &Clock) -> bool {
        let signal = async { Some(self.signals.next().await) };
        let timeout = async {
            clock.pause(timeout_ms).await;
            None
        };
        let Some(Some(Ok(signal))) = future::or(signal, timeout).await else { return false };
        self.deferred.push_back(signal);
        matches!(signal, Signal::Term | Signal::Int)
    }
}

/// Handles signals while the process serves.
pub struct SignalHandler {
    /// Reads the files again.
    pub reload: Reload,
    /// Where a termination notice is published.
    pub status: Rc<Status>,
    /// Logged on demand.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
}

impl SignalHandler {
    /// Handles each signal as it arrives. Never completes.
    pub async fn run(mut self, mut signals: SignalStream) {
        loop {
            match signals.next(&self.clock).await {
                Signal::Usr1 => self.counters.log(),
                Signal::Hup => {
                    self.reload.run().await;
                    self.status.registry_wakeup.wake();
                }
                _ => self.publish_termination_notice(),
            }
        }
    }

    /// The grace period and the kill count from now, whatever the core is busy with. Only the first notice counts.
    fn publish_termination_notice(&self) {
        let first_ms = self.status.termination_notice_ms.take();
        self.status.termination_notice_ms.set(first_ms.or(Some(self.clock.now())));
        self.status.core_wakeup.wake();
    }
}
