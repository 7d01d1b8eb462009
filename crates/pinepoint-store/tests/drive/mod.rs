//! A store on a real directory, driven one request at a time, for the tests and the benchmark.

use std::path::Path;

use pinepoint_store::directory::{OpenError, SegmentDirectory};
use pinepoint_store::format::Change;
use pinepoint_store::store::{Action, Durability, Event, Options, Store};

pub struct OpenStore {
    pub store: Store,
    /// Actions of the store other than disk requests.
    pub actions: Vec<Action>,
    directory: SegmentDirectory,
    now: f64,
}

impl OpenStore {
    /// Opens a directory once its previous user has released the lock. All events have the time `now`.
    pub fn new(dir: &Path, options: Options, now: f64) -> OpenStore {
        let directory = loop {
            match SegmentDirectory::open(dir) {
                Ok(directory) => break directory,
                Err(OpenError::InUse(_)) => std::thread::yield_now(),
                Err(error) => panic!("{error}"),
            }
        };
        let mut out = Vec::new();
        let store = Store::open(options, 0.0, &mut out);
        let mut open = OpenStore { store, actions: Vec::new(), directory, now };
        open.execute(out);
        open
    }

    fn execute(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                let Action::Disk(request) = action else {
                    self.actions.push(action);
                    continue;
                };
                self.directory.requests.send_blocking(request).expect("the worker thread runs");
                let response = self.directory.responses.recv_blocking().expect("the worker thread responds");
                self.store.handle(self.now, Event::DiskCompleted(response), &mut next);
            }
            actions = next;
        }
    }

    /// Writes these batches durably, each with its ticket. All of them are queued at once.
    pub fn put(&mut self, batches: impl Iterator<Item = (u64, Vec<Change>)>) {
        let mut out = Vec::new();
        for (ticket, changes) in batches {
            self.store.handle(
                self.now,
                Event::Write { ticket, changes, durability: Durability::Durable },
                &mut out,
            );
        }
        self.execute(out);
    }
}
