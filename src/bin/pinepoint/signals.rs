//! The signals, and what the program does at each.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use pinepoint::server::control::status::Status;
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;

use crate::reload::Reload;

/// Wait after signals that could not be read, ms.
const SIGNAL_AGAIN_MS: f64 = 1000.0;

/// The signals, from before anything else is done: one that comes while its handler is not there ends the process, and
/// takes what the program was about to do along. What comes during the start is taken when that is over, in its order.
pub struct Signs {
    signals: Signals,
    /// Taken already, and not yet heeded.
    early: VecDeque<Signal>,
}

impl Signs {
    /// Takes the signals from now on.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])?;
        Ok(Signs { signals, early: VecDeque::new() })
    }

    /// The next signal, the ones kept before first.
    pub async fn next(&mut self, clock: &Clock) -> Signal {
        if let Some(signal) = self.early.pop_front() {
            return signal;
        }
        loop {
            match self.signals.next().await {
                Some(Ok(signal)) => return signal,
                // An error is no notice to leave.
                Some(Err(error)) => tracing::warn!(%error, "signal-not-read"),
                None => tracing::warn!("signals-ended"),
            }
            clock.pause(SIGNAL_AGAIN_MS).await;
        }
    }

    /// Waits a moment for a notice to leave; tells whether it came. What else comes is kept.
    pub async fn notice_within(&mut self, ms: f64, clock: &Clock) -> bool {
        let signal = async { Some(self.signals.next().await) };
        let late = async {
            clock.pause(ms).await;
            None
        };
        let Some(Some(Ok(signal))) = future::or(signal, late).await else { return false };
        self.early.push_back(signal);
        matches!(signal, Signal::Term | Signal::Int)
    }
}

/// What the program needs to act on signals.
pub struct Handler {
    /// Reads the files again.
    pub reload: Reload,
    /// Where the notice to leave is published.
    pub status: Rc<Status>,
    /// Printed on demand.
    pub counters: Rc<Counters>,
    /// The clock.
    pub clock: Clock,
}

impl Handler {
    /// Acts on each signal as it comes.
    pub async fn run(mut self, mut signs: Signs) {
        loop {
            match signs.next(&self.clock).await {
                Signal::Usr1 => self.counters.print(),
                Signal::Hup => {
                    self.reload.run().await;
                    self.status.registry_wakeup.wake();
                }
                _ => self.publish_notice(),
            }
        }
    }

    /// The grace and the kill count from now, whatever the core has in hand.
    fn publish_notice(&self) {
        let first = self.status.termination_notice_ms.take();
        self.status.termination_notice_ms.set(first.or(Some(self.clock.now())));
        self.status.core_wakeup.wake();
    }
}
