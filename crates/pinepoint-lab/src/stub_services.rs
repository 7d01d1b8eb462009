//! The services below one process: a simulated engine, a store that is never overloaded, and a service
//! registry that discards load reports.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;

use crate::simulated_engine::{EngineControl, start_engine};
use crate::store::{Store, StoreState};

/// Longest load report, bytes.
const MAX_REPORT_BYTES: usize = 256;

/// Addresses of the services of a process.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    /// The engine.
    pub engine: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The service registry.
    pub members: SocketAddr,
}

/// Settings of the services of a process.
#[derive(Clone, Copy, Debug)]
pub struct StubServices {
    /// Cores of the engine.
    pub cores: f64,
    /// Time of a call to the store.
    pub call: Duration,
}

impl StubServices {
    /// Starts the three services on this executor.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(self, executor: &Rc<LocalExecutor<'static>>) -> io::Result<ServiceAddresses> {
        let members = start_service_registry(executor)?;
        let engine = start_engine(self.cores, &EngineControl::default(), executor)?;
        // The store is never overloaded: it has more slots than there are calls.
        let store = Store::start(StoreState::new(usize::MAX, self.call), executor)?.address;
        Ok(ServiceAddresses { engine, store, members })
    }
}

/// Starts a service registry that reads load reports and discards them.
pub(crate) fn start_service_registry(executor: &Rc<LocalExecutor<'static>>) -> io::Result<SocketAddr> {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
    let address = socket.get_ref().local_addr()?;
    let discard_reports = async move {
        let mut report = [0; MAX_REPORT_BYTES];
        while socket.recv(&mut report).await.is_ok() {}
    };
    executor.spawn(discard_reports).detach();
    Ok(address)
}
