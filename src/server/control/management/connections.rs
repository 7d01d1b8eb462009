//! The bounded table of open management connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::server::sync::Notify;

/// The open connections, each with the signal that evicts it.
pub(super) struct Connections {
    max: usize,
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last_id: Cell<u64>,
}

impl Connections {
    /// An empty table for at most `max` connections.
    pub(super) fn new(max: usize) -> Self {
        Connections { max, open: RefCell::default(), last_id: Cell::new(0) }
    }

    /// Adds a connection. A full table evicts its oldest connection.
    pub(super) fn open(self: &Rc<Self>) -> OpenConnection {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max
            && let Some((_, oldest)) = open.pop_first()
        {
            oldest.wake();
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let evicted = Rc::new(Notify::default());
        open.insert(id, evicted.clone());
        OpenConnection { id, evicted, table: self.clone() }
    }
}

/// A connection in the table; dropping this value removes the connection.
pub(super) struct OpenConnection {
    id: u64,
    evicted: Rc<Notify>,
    table: Rc<Connections>,
}

impl OpenConnection {
    /// Completes when the connection is evicted for a newer one.
    pub(super) async fn evicted(&self) {
        self.evicted.wait().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.id);
    }
}
