//! Synchronization between tasks of one thread: a wake-up, a latch and a flag.

use std::cell::Cell;

use async_channel::{Receiver, Sender};
use event_listener::Event;

/// A wake-up for one task. It is kept until it is awaited; several pending wake-ups count as one.
#[derive(Debug)]
pub struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Notify {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notify { sender, receiver }
    }
}

impl Notify {
    /// Wakes the waiting task, or the next task that waits.
    pub fn wake(&self) {
        // The channel is full if a wake-up is already pending.
        let _ = self.sender.try_send(());
    }

    /// Completes after the next wake-up.
    pub async fn wait(&self) {
        // This value owns both ends, so the channel cannot be closed while it is awaited.
        let _ = self.receiver.recv().await;
    }
}

/// A latch that is opened once, for all tasks that wait for it.
#[derive(Debug)]
pub struct Latch {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Latch { sender, receiver }
    }
}

impl Latch {
    /// Opens the latch; returns whether it was closed before.
    pub fn open(&self) -> bool {
        self.sender.close()
    }

    /// Completes once the latch is open.
    pub async fn wait(&self) {
        // Nothing is ever sent: the channel is closed when the latch opens.
        let _ = self.receiver.recv().await;
    }
}

/// A flag that is on or off; any number of tasks may wait for either state.
#[derive(Debug)]
pub struct Flag {
    on: Cell<bool>,
    changed: Event,
}

impl Flag {
    /// A flag in the given state.
    pub fn new(on: bool) -> Self {
        Flag { on: Cell::new(on), changed: Event::new() }
    }

    /// Whether the flag is on.
    pub fn is_on(&self) -> bool {
        self.on.get()
    }

    /// Sets the state and wakes the waiting tasks if it changes.
    pub fn set(&self, on: bool) {
        if self.on.replace(on) != on {
            self.changed.notify(usize::MAX);
        }
    }

    /// Completes once the flag is in the given state.
    pub async fn wait_for(&self, on: bool) {
        while self.on.get() != on {
            // All tasks run on one thread: nothing changes between the check and the registration of the
            // listener.
            self.changed.listen().await;
        }
    }
}
