//! The start of a process that may take over from another process of the same server. This module looks for
//! that predecessor, and takes the listening sockets that the predecessor passed or opens new sockets. Each
//! wait for a predecessor has a limit.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use pinepoint::config::site::Site;
use pinepoint::server::control::handover::{HandoverContext, HandoverLinks};
use pinepoint::server::core::api::{PeerEvent, PeerInbox};
use pinepoint::server::core::{HandoverDependencies, longest_dedup_window_ms};
use pinepoint::server::frontend::listener::bind_shared;
use pinepoint_clock::Clock;
use pinepoint_handover::io::{Connected, connect, socket_path};
use pinepoint_handover::ownership::{NoPredecessor, Rules};

use crate::bind::{BoundListener, bind, listen_exclusively};
use crate::signals::SignalStream;
use crate::start_error::StartError;

/// Variable with the path of the directory that all processes of a server share.
const SHARED_DIRECTORY: &str = "TMPDIR";

/// The result of the search for a predecessor, and the listening sockets to pass to a successor.
pub struct Upgrade {
    /// Path of the handover socket, which both processes derive from the shared directory.
    path: PathBuf,
    predecessor: Result<Connected, NoPredecessor>,
    /// Copies of the listening sockets that are open, by name.
    opened: Vec<(String, TcpListener)>,
}

impl Upgrade {
    /// Looks for a predecessor. Returns `None` if the platform does not support upgrades: a platform that
    /// does supplies a management address and a shared directory.
    pub fn find_predecessor(management: Option<SocketAddr>) -> Option<Upgrade> {
        management?;
        let directory = std::env::var_os(SHARED_DIRECTORY)?;
        let path = socket_path(Path::new(&directory));
        let predecessor = async_io::block_on(connect(&path, 0));
        Some(Upgrade { path, predecessor, opened: Vec::new() })
    }

    /// Whether a predecessor may be serving.
    pub fn may_have_predecessor(&self) -> bool {
        match &self.predecessor {
            Ok(_) => true,
            Err(reason) => !reason.is_absent(),
        }
    }

    /// Returns the listening socket with this name that the predecessor passed, or opens a new socket that
    /// other processes can share.
    fn open_listener(
        &mut self,
        name: &'static str,
        address: SocketAddr,
        signals: &mut SignalStream,
        clock: &Clock,
    ) -> Result<BoundListener, StartError> {
        let system_error = |error| StartError::System(name, error);
        let bound = match self.take_passed(name) {
            Some(listener) => BoundListener::new(listener).map_err(system_error)?,
            None => bind(name, address, bind_shared, signals, clock)?,
        };
        let copy = bound.listener.get_ref().try_clone().map_err(system_error)?;
        self.opened.push((name.to_owned(), copy));
        Ok(bound)
    }

    fn take_passed(&mut self, name: &str) -> Option<TcpListener> {
        let passed = &mut self.predecessor.as_mut().ok()?.listeners;
        let index = passed.iter().position(|(listener, _)| listener == name)?;
        Some(passed.swap_remove(index).1)
    }

    /// Turns this into the links to the other process and the part of them that the core uses.
    pub fn into_links(
        self,
        site: &Site,
        context: impl FnOnce(PathBuf, Rc<PeerInbox>) -> HandoverContext,
    ) -> (Rc<HandoverLinks>, HandoverDependencies) {
        let inbox = Rc::new(PeerInbox::default());
        let (names, listeners) = self.opened.into_iter().unzip();
        let link = match self.predecessor {
            Ok(Connected { hello, link, task, .. }) => {
                inbox.push(PeerEvent::PredecessorFound(hello));
                Some((link, task))
            }
            Err(reason) => {
                inbox.push(PeerEvent::NoPredecessor(reason));
                None
            }
        };
        let links = HandoverLinks::new(context(self.path, inbox.clone()), listeners, link);
        let rules = Rules { longest_window_ms: longest_dedup_window_ms(site), ..Rules::default() };
        let transport = links.clone();
        let dependencies = HandoverDependencies { transport, inbox, rules, listener_names: names };
        (links, dependencies)
    }
}

/// Opens the listening socket with this name. Only a process that may be part of an upgrade shares the
/// socket.
pub fn open_listener(
    upgrade: &mut Option<Upgrade>,
    name: &'static str,
    address: SocketAddr,
    signals: &mut SignalStream,
    clock: &Clock,
) -> Result<BoundListener, StartError> {
    match upgrade {
        Some(upgrade) => upgrade.open_listener(name, address, signals, clock),
        None => bind(name, address, listen_exclusively, signals, clock),
    }
}
