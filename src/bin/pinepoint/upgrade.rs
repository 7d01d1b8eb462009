//! The start of a process that may take over from another one of the same server: it looks for a predecessor, and opens the
//! listening sockets that were passed, or its own. It must never wait for a predecessor without a bound.

use std::io;
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

use crate::bind::{Bound, bind, with_address};
use crate::signals::Signs;
use crate::start_error::StartError;

/// The directory that all processes of a server share.
const SHARED_DIRECTORY: &str = "TMPDIR";

/// What was found of a predecessor, and the listening sockets that were opened.
pub struct Upgrade {
    path: PathBuf,
    found: Result<Connected, NoPredecessor>,
    /// Those that were opened, by name, for a successor.
    opened: Vec<(String, TcpListener)>,
}

impl Upgrade {
    /// Looks for a predecessor, where the platform tells of upgrades at all: it then gives a management address and a shared
    /// directory.
    pub fn look(management: Option<SocketAddr>) -> Option<Upgrade> {
        management?;
        let directory = std::env::var_os(SHARED_DIRECTORY)?;
        let path = socket_path(Path::new(&directory));
        let found = async_io::block_on(connect(&path, 0));
        Some(Upgrade { path, found, opened: Vec::new() })
    }

    /// Whether a predecessor may be serving.
    pub fn may_have_predecessor(&self) -> bool {
        match &self.found {
            Ok(_) => true,
            Err(why) => !why.is_absent(),
        }
    }

    /// The listening socket of this name: the predecessor's, or one of its own that others may share.
    pub fn open(
        &mut self,
        name: &'static str,
        address: SocketAddr,
        signs: &mut Signs,
        clock: &Clock,
    ) -> Result<Option<Bound>, StartError> {
        let passed = self.found.as_mut().ok().and_then(|found| take_named(&mut found.listeners, name));
        let opened = match passed {
            Some(listener) => Some(with_address(listener).map_err(|e| StartError::System(name, e))?),
            None => bind(name, address, bind_shared, signs, clock)?,
        };
        if let Some((listener, _)) = &opened {
            let copy = listener.get_ref().try_clone().map_err(|e| StartError::System(name, e))?;
            self.opened.push((name.to_owned(), copy));
        }
        Ok(opened)
    }

    /// The links to the other process, and what the core needs of them.
    pub fn link(
        self,
        site: &Site,
        host: impl FnOnce(PathBuf, Rc<PeerInbox>) -> HandoverContext,
    ) -> (Rc<HandoverLinks>, HandoverDependencies) {
        let inbox = Rc::new(PeerInbox::default());
        let (names, listeners) = self.opened.into_iter().unzip();
        let link = match self.found {
            Ok(Connected { hello, link, task, .. }) => {
                inbox.push(PeerEvent::PredecessorFound(hello));
                Some((link, task))
            }
            Err(why) => {
                inbox.push(PeerEvent::NoPredecessor(why));
                None
            }
        };
        let links = HandoverLinks::new(host(self.path, inbox.clone()), listeners, link);
        let parts = HandoverDependencies {
            transport: links.clone(),
            inbox,
            rules: rules(site),
            listener_names: names,
        };
        (links, parts)
    }
}

fn take_named(listeners: &mut Vec<(String, TcpListener)>, name: &str) -> Option<TcpListener> {
    let place = listeners.iter().position(|(listener, _)| listener == name)?;
    Some(listeners.swap_remove(place).1)
}

fn rules(site: &Site) -> Rules {
    Rules { longest_window_ms: longest_dedup_window_ms(site), ..Rules::default() }
}

/// The listening socket of this name, in a process that may be part of an upgrade or not.
pub fn open(
    upgrade: &mut Option<Upgrade>,
    name: &'static str,
    address: SocketAddr,
    signs: &mut Signs,
    clock: &Clock,
) -> Result<Option<Bound>, StartError> {
    match upgrade {
        Some(upgrade) => upgrade.open(name, address, signs, clock),
        None => bind(name, address, bind_alone, signs, clock),
    }
}

/// Listens at an address at which nobody else may.
pub fn bind_alone(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}
