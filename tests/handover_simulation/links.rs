//! The links between the simulated processes: queues of encoded messages with a delay, which can be cut at
//! any point.

use std::cell::RefCell;
use std::collections::VecDeque;

use pinepoint::server::core::api::{HandoverTransport, PeerEvent};
use pinepoint_handover::message::Message;
use pinepoint_handover::ownership::NoPredecessor;
use pinepoint_handover::successor::RECONNECT_MS;
use pinepoint_handover::wire;

use super::Simulation;

/// A command of a core to its links. The simulation executes it after the batch.
enum Command {
    Send(Side, Vec<u8>),
    Drop(Side),
    Find,
    Listen,
    Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Predecessor,
    Successor,
}

#[derive(Default)]
pub(super) struct Port(RefCell<Vec<Command>>);

impl Port {
    fn push(&self, command: Command) {
        self.0.borrow_mut().push(command);
    }
    fn send(&self, side: Side, message: &Message) {
        self.push(Command::Send(side, wire::encode(message).expect("each message fits into a frame")));
    }
}

impl HandoverTransport for Port {
    fn send_to_predecessor(&self, message: &Message) {
        self.send(Side::Predecessor, message);
    }
    fn send_to_successor(&self, message: &Message) {
        self.send(Side::Successor, message);
    }
    fn drop_predecessor(&self) {
        self.push(Command::Drop(Side::Predecessor));
    }
    fn drop_successor(&self) {
        self.push(Command::Drop(Side::Successor));
    }
    fn find_predecessor(&self) {
        self.push(Command::Find);
    }
    fn listen_for_successor(&self) {
        self.push(Command::Listen);
    }
    fn release_listeners(&self) {
        self.push(Command::Release);
    }
    fn set_peer_connections(&self, _: usize) {}
}

/// One end of a link, with the frames in flight to its owner.
pub(super) struct LinkEnd {
    pub(super) owner: usize,
    /// The role of the other process for the owner.
    side: Side,
    frames: VecDeque<(f64, Vec<u8>)>,
    /// Whether the link is closed: no frame follows the queued ones.
    pub(super) closed: bool,
    /// Whether the owner has dropped the link or was notified of its end.
    pub(super) abandoned: bool,
    /// Whether the owner is a successor that waits for the hello; it does not see the link before.
    awaits_hello: bool,
    decoder: wire::Decoder,
}

/// A link: the end of the successor and that of the predecessor.
pub(super) struct Link(pub(super) [LinkEnd; 2]);

impl Link {
    /// Closes the link: nothing more is sent. Of the messages in flight, this many still arrive in each
    /// direction.
    pub(super) fn close(&mut self, kept: usize) {
        for end in &mut self.0 {
            if !end.closed {
                end.closed = true;
                end.frames.truncate(kept);
            }
        }
    }
}

impl LinkEnd {
    fn new(owner: usize, side: Side, awaits_hello: bool) -> LinkEnd {
        let (frames, decoder) = Default::default();
        LinkEnd { owner, side, frames, closed: false, abandoned: false, awaits_hello, decoder }
    }

    /// Queues a frame, which arrives no earlier than the frames sent before it.
    fn send(&mut self, at_ms: f64, frame: Vec<u8>) {
        if !self.closed {
            let after = self.frames.back().map_or(at_ms, |(at, _)| at.max(at_ms));
            self.frames.push_back((after, frame));
        }
    }

    pub(super) fn next_due(&self, now: f64) -> Option<f64> {
        if self.abandoned {
            return None;
        }
        let closed = self.closed.then_some(now);
        self.frames.front().map(|(at, _)| *at).or(closed)
    }
}

impl Simulation {
    pub(super) fn find_predecessor(&mut self, index: usize) {
        let reason = match self.listening {
            None => NoPredecessor::NoSocket,
            Some(older) if older == index || !self.processes[older].alive => NoPredecessor::Refused,
            Some(older) if self.processes[older].has_released_listeners => NoPredecessor::BadListeners,
            Some(older) if self.open_end(older, Side::Successor).is_some() => NoPredecessor::Closed,
            Some(older) => {
                self.links.push(Link([
                    LinkEnd::new(index, Side::Predecessor, true),
                    LinkEnd::new(older, Side::Successor, false),
                ]));
                self.processes[older].inbox.push(PeerEvent::SuccessorFound);
                self.run_batch(older, |_, _| ());
                return;
            }
        };
        self.processes[index].has_searched_predecessor = true;
        self.processes[index].inbox.push(PeerEvent::NoPredecessor(reason));
    }

    /// The index of the link of a process to this side, and the index of the process's end of the link.
    fn open_end(&self, owner: usize, side: Side) -> Option<(usize, usize)> {
        let is_open_end = |end: &LinkEnd| end.owner == owner && end.side == side && !end.abandoned;
        let mut links = self.links.iter().enumerate();
        links.find_map(|(at, link)| Some((at, link.0.iter().position(is_open_end)?)))
    }

    /// Moves arrived messages into the inbox of a process.
    pub(super) fn deliver(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let ends = self.links.iter_mut().flat_map(|link| &mut link.0);
        for end in ends.filter(|end| end.owner == index && !end.abandoned) {
            while end.frames.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, frame)) = end.frames.pop_front() else { break };
                end.decoder.push(&frame);
                while let Some(message) =
                    end.decoder.next_message().expect("an encoded message can be decoded")
                {
                    process.inbox.push(match (end.side, message) {
                        (Side::Predecessor, Message::Hello(hello)) if end.awaits_hello => {
                            end.awaits_hello = false;
                            process.has_searched_predecessor = true;
                            PeerEvent::PredecessorFound(hello)
                        }
                        (Side::Predecessor, message) => PeerEvent::FromPredecessor(message),
                        (Side::Successor, message) => PeerEvent::FromSuccessor(message),
                    });
                }
            }
            if end.closed && end.frames.is_empty() {
                end.abandoned = true;
                process.inbox.push(match end.side {
                    Side::Predecessor if end.awaits_hello => {
                        process.has_searched_predecessor = true;
                        PeerEvent::NoPredecessor(NoPredecessor::Closed)
                    }
                    Side::Predecessor => PeerEvent::PredecessorLost,
                    Side::Successor => PeerEvent::SuccessorLost,
                });
            }
        }
    }

    pub(super) fn execute_commands(&mut self, index: usize) {
        let commands = std::mem::take(&mut *self.processes[index].port.0.borrow_mut());
        for command in commands {
            match command {
                Command::Send(side, frame) => {
                    let Some((link, end)) = self.open_end(index, side) else { continue };
                    let at = self.now + self.delay_ms;
                    self.links[link].0[1 - end].send(at, frame);
                }
                Command::Drop(side) => {
                    let Some((link, end)) = self.open_end(index, side) else { continue };
                    self.links[link].0[end].abandoned = true;
                    self.links[link].close(usize::MAX);
                    self.cuts += 1;
                }
                Command::Find => self.processes[index].reconnect_ms = Some(self.now + RECONNECT_MS),
                Command::Listen => self.listening = Some(index),
                Command::Release => self.processes[index].has_released_listeners = true,
            }
        }
    }
}
