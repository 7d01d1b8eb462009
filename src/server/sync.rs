//! Wake-ups between tasks of the one thread. It owns nothing else.

use std::cell::Cell;

use async_channel::{Receiver, Sender};
use event_listener::Event;

/// A wake-up that is kept until it is awaited; many in a row count as one.
#[derive(Debug)]
pub struct Notify(Sender<()>, Receiver<()>);

impl Default for Notify {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notify(sender, receiver)
    }
}

impl Notify {
    /// Wakes the one that waits, or the next to wait.
    pub fn wake(&self) {
        // Full means that a wake-up is already under way.
        let _ = self.0.try_send(());
    }

    /// Completes after the next wake-up.
    pub async fn wait(&self) {
        // Both ends live in this value, so the channel cannot be closed while it is awaited.
        let _ = self.1.recv().await;
    }
}

/// A gate that is opened once, for all that wait at it.
#[derive(Debug)]
pub struct Latch(Sender<()>, Receiver<()>);

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Latch(sender, receiver)
    }
}

impl Latch {
    /// Opens it; tells whether it was closed before.
    pub fn open(&self) -> bool {
        self.0.close()
    }

    /// Completes once it is open.
    pub async fn passed(&self) {
        // Nothing is ever sent: the channel ends when the gate opens.
        let _ = self.1.recv().await;
    }
}

/// A state that is on or off, and that any number of tasks may wait for.
#[derive(Debug)]
pub struct Flag {
    on: Cell<bool>,
    changed: Event,
}

impl Flag {
    /// One that is in this state.
    pub fn new(on: bool) -> Self {
        Flag { on: Cell::new(on), changed: Event::new() }
    }

    /// Its state.
    pub fn is_on(&self) -> bool {
        self.on.get()
    }

    /// Sets its state.
    pub fn set(&self, on: bool) {
        if self.on.replace(on) != on {
            self.changed.notify(usize::MAX);
        }
    }

    /// Completes once it is in this state.
    pub async fn until(&self, on: bool) {
        while self.on.get() != on {
            // One thread: nothing changes between the look and the listening.
            self.changed.listen().await;
        }
    }
}
