//! The addresses of the upstream services. A reload may change them while connections are in use. This module
//! owns no connection.

use std::cell::Cell;
use std::net::SocketAddr;

use crate::server::sync::Notify;

/// The current addresses of the three upstream services.
#[derive(Debug)]
pub struct UpstreamAddresses {
    engine: Cell<SocketAddr>,
    store: Cell<SocketAddr>,
    registry: Cell<SocketAddr>,
    changed: Notify,
}

impl UpstreamAddresses {
    /// Begins with the addresses from the first configuration.
    pub fn new(engine: SocketAddr, store: SocketAddr, registry: SocketAddr) -> Self {
        UpstreamAddresses {
            engine: Cell::new(engine),
            store: Cell::new(store),
            registry: Cell::new(registry),
            changed: Notify::default(),
        }
    }

    /// Replaces all three addresses at once. Calls to the store that are in flight stay on their connections.
    pub fn set(&self, engine: SocketAddr, store: SocketAddr, registry: SocketAddr) {
        self.engine.set(engine);
        self.store.set(store);
        self.registry.set(registry);
        self.changed.wake();
    }

    /// The engine's address.
    pub(super) fn engine(&self) -> SocketAddr {
        self.engine.get()
    }

    /// The store's address.
    pub(super) fn store(&self) -> SocketAddr {
        self.store.get()
    }

    /// The service registry's address.
    pub(super) fn registry(&self) -> SocketAddr {
        self.registry.get()
    }

    /// Completes when the engine's address differs from `address`. Only one task may wait at a time.
    pub(super) async fn engine_changed(&self, address: SocketAddr) {
        while self.engine.get() == address {
            self.changed.wait().await;
        }
    }
}
