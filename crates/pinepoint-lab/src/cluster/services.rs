//! The services below the members of a cluster: one engine each, the shared store and the service
//! registry. They run on one thread, which ends with the process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use async_executor::LocalExecutor;
use futures_lite::future;

use super::ENGINE_CORES;
use crate::simulated_engine::{EngineControl, start_engine};
use crate::store::{Store, StoreState};
use crate::stub_services::start_service_registry;

/// Calls that the store makes concurrently, unless a script sets another number.
const STORE_SLOTS: usize = 64;
/// Time of a call to the store, unless a script sets another one.
const STORE_CALL_TIME: Duration = Duration::from_millis(5);

/// The engine of one member.
pub(super) struct MemberEngine {
    pub(super) address: SocketAddr,
    pub(super) control: EngineControl,
}

/// All services of a cluster.
pub(super) struct Services {
    pub(super) engines: Vec<MemberEngine>,
    pub(super) store: Store,
    /// The address at which the service registry receives load reports.
    pub(super) registry: SocketAddr,
}

impl Services {
    /// Starts the services of this number of members on a thread of their own.
    pub(super) fn start(members: usize) -> io::Result<Services> {
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            if sender.send(start_services(members, &executor)).is_ok() {
                async_io::block_on(executor.run(future::pending::<()>()));
            }
        });
        started.recv().map_err(io::Error::other)?
    }
}

fn start_services(members: usize, executor: &Rc<LocalExecutor<'static>>) -> io::Result<Services> {
    let engines: io::Result<Vec<_>> = (0..members).map(|_| start_member_engine(executor)).collect();
    let store = Store::start(StoreState::new(STORE_SLOTS, STORE_CALL_TIME), executor)?;
    let registry = start_service_registry(executor)?;
    Ok(Services { engines: engines?, store, registry })
}

fn start_member_engine(executor: &Rc<LocalExecutor<'static>>) -> io::Result<MemberEngine> {
    let control = EngineControl::default();
    let address = start_engine(ENGINE_CORES, &control, executor)?;
    Ok(MemberEngine { address, control })
}
