//! The signals of the process and their handling: SIGTERM and SIGINT are termination notices, SIGHUP reloads
//! both files, and SIGUSR1 logs the counters.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use pinepoint::server::control::status::Status;
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;

use crate::reload::Reload;

/// Pause after an error while reading signals, ms.
const READ_RETRY_MS: f64 = 1000.0;

/// The stream of signals, opened before anything else is done: a signal that arrives without a handler ends
/// the process at once, whatever work is in progress. Signals that arrive during the start are handled after
/// the start, in order.
pub struct SignalStream {
    signals: Signals,
    /// Signals that arrived during the start and are not handled yet.
    deferred: VecDeque<Signal>,
}

impl SignalStream {
    /// Installs the handlers; the stream yields the signals that arrive from now on.
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
                // A read error must not count as a termination notice.
                Some(Err(error)) => tracing::warn!(%error, "signal-not-read"),
                None => tracing::warn!("signals-ended"),
            }
            clock.pause(READ_RETRY_MS).await;
        }
    }

    /// Waits up to `timeout_ms` for a signal and defers it; returns whether the signal is a termination
    /// notice.
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
    /// Reads both files again at SIGHUP.
    pub reload: Reload,
    /// State in which a termination notice is published.
    pub status: Rc<Status>,
    /// Counters that SIGUSR1 logs.
    pub counters: Rc<Counters>,
    /// Clock that dates a termination notice.
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

    /// Starts the grace period and the time until the kill now, even if the core is busy. Only the first
    /// notice counts.
    fn publish_termination_notice(&self) {
        let first_ms = self.status.termination_notice_ms.take();
        self.status.termination_notice_ms.set(first_ms.or(Some(self.clock.now())));
        self.status.core_wakeup.wake();
    }
}
