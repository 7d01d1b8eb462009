//! A fleet in simulated time: members, a network with faults, crashes and pauses. Everything follows from a seed.
//!
//! Each of the test binaries and the benchmark compiles this module for itself and uses a part of it.
#![allow(dead_code)]

mod network;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

pub use network::{DatagramFault, Network};
use pinepoint_membership::member::{Identity, Liveness, Phase, member_key};
use pinepoint_membership::membership::{Action, Event, Membership, MembershipSettings, Notification};
use pinepoint_membership::wire::{Codec, Message, Packet};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Protocol period, ms.
pub const PERIOD: f64 = 1000.0;
/// The clocks of all members stand far from zero.
const EPOCH: f64 = 1_700_000_000_000.0;

/// Datagrams that the socket of a paused process holds.
const SOCKET_CAPACITY: usize = 200;
/// Shortest delay of a datagram, ms.
const MIN_DELAY_MS: f64 = 0.2;

/// A member, whether it runs or not.
pub struct Node {
    /// None while it does not run.
    pub membership: Option<Membership>,
    pub name: String,
    pub zone: usize,
    /// Its process is stopped, as by a signal: it does nothing, and its socket holds what is received.
    pub is_paused: bool,
    undelivered: Vec<Packet>,
    /// By how much its clock is ahead, ms.
    pub clock_offset_ms: f64,
    /// What it notified, and when.
    pub notifications: Vec<(f64, Notification)>,
    starts: u32,
    /// Number of the timer that is valid: ticks of earlier ones are void.
    timer: u64,
}

/// What happens at a moment.
enum SimulationEvent {
    /// The timer of this number of a member is due.
    Tick(usize, u64),
    /// A packet arrives at a member.
    Deliver(usize, Packet),
}

/// A fleet, its network and its time.
pub struct Simulation {
    /// Unix ms.
    pub now: f64,
    pub nodes: Vec<Node>,
    pub net: Network,
    pub settings: MembershipSettings,
    pub random: Pcg64Mcg,
    pub datagrams: u64,
    pub bytes: u64,
    /// Every n-th message is encoded, to estimate bytes and to check that it fits into a datagram; 0 for none.
    pub encode_every: u64,
    codec: Codec,
    /// Times of events, us since the epoch, and their numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    sequence: u64,
}

/// Address of the member of this index.
pub fn address(at: usize) -> SocketAddr {
    ([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 7000).into()
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl Simulation {
    /// Members `n0`, `n1` and so on in zones `z0`, `z1` and so on, none of them running.
    pub fn new(members: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Simulation {
        let node = |at: usize| Node {
            membership: None,
            name: format!("n{at}"),
            zone: at % zones.max(1),
            is_paused: false,
            undelivered: Vec::new(),
            clock_offset_ms: 0.0,
            notifications: Vec::new(),
            starts: 0,
            timer: 0,
        };
        Simulation {
            now: EPOCH,
            nodes: (0..members).map(node).collect(),
            net: Network { max_delay_ms: 5.0, ..Network::default() },
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            datagrams: 0,
            bytes: 0,
            encode_every: 50,
            codec: Codec::new("sim"),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
        }
    }

    /// Members that have all been started at once and have settled.
    pub fn settled(members: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(members, zones, settings, seed);
        (0..members).for_each(|at| simulation.start(at));
        let took = simulation.run_until_converged(60.0);
        assert!(
            took.is_some(),
            "seed {seed}: {members} members that start together do not settle: {}",
            simulation.view_errors()
        );
        simulation.clear_records();
        simulation
    }

    /// Members that know each other from the start: for large fleets.
    pub fn preloaded(members: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(members, zones, settings, seed);
        (0..members).for_each(|at| simulation.start(at));
        let records: Vec<_> =
            simulation.running().map(|(_, membership)| membership.local_record().clone()).collect();
        let now = simulation.now;
        for node in &mut simulation.nodes {
            if let Some(membership) = &mut node.membership {
                membership.preload(now, records.iter());
            }
        }
        simulation.run(6.0);
        simulation.clear_records();
        simulation
    }

    /// Forgets notifications, and counts datagrams from 0.
    pub fn clear_records(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.notifications.clear());
        (self.datagrams, self.bytes) = (0, 0);
    }

    pub fn random_index(&mut self, n: usize) -> usize {
        (self.random.next_u64() % n.max(1) as u64) as usize
    }

    pub fn random_event(&mut self, probability: f64) -> bool {
        probability > 0.0 && (self.random_index(1 << 20) as f64) < probability * f64::from(1 << 20)
    }

    fn push(&mut self, at: f64, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((((at - EPOCH).max(0.0) * 1000.0) as u64, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Starts the process of a member.
    pub fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.starts += 1;
        node.timer += 1;
        (node.is_paused, node.undelivered) = (false, Vec::new());
        let identity = Identity {
            name: node.name.clone(),
            zone: format!("z{}", node.zone),
            address: address(at),
            cores: 4,
            instance: (at as u32) << 8 | node.starts,
        };
        let (starts, clock_offset_ms, timer) = (node.starts, node.clock_offset_ms, node.timer);
        let seed = self.random.next_u64() ^ u64::from(starts);
        let seeds = (0..3.min(self.nodes.len())).map(address).collect();
        let mut membership =
            Membership::new(self.settings, self.now + clock_offset_ms, identity, seeds, seed);
        let mut actions = Vec::new();
        membership.handle(self.now + clock_offset_ms, Event::PhaseChanged(Phase::Serving), &mut actions);
        let due = membership.next_due() - clock_offset_ms;
        self.nodes[at].membership = Some(membership);
        self.push(due, SimulationEvent::Tick(at, timer));
        self.perform(at, actions);
    }

    /// Ends the process of a member without a word.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        (node.membership, node.is_paused) = (None, false);
        node.timer += 1;
    }

    /// Shuts a member down gracefully.
    pub fn leave(&mut self, at: usize) {
        self.handle(at, Event::PhaseChanged(Phase::Draining));
        self.run(1.0);
        self.handle(at, Event::PhaseChanged(Phase::Left));
        self.kill(at);
    }

    /// Stops the process of a member until it is resumed.
    pub fn pause(&mut self, at: usize) {
        self.nodes[at].is_paused = true;
    }

    pub fn resume(&mut self, at: usize) {
        self.nodes[at].is_paused = false;
        let timer = self.nodes[at].timer;
        // The timer is long due, and the socket holds what was received.
        self.push(self.now, SimulationEvent::Tick(at, timer));
        for packet in std::mem::take(&mut self.nodes[at].undelivered) {
            self.push(self.now, SimulationEvent::Deliver(at, packet));
        }
    }

    /// Lets a member handle an event.
    pub fn handle(&mut self, at: usize, event: Event) {
        let now = self.now + self.nodes[at].clock_offset_ms;
        let Some(membership) = &mut self.nodes[at].membership else { return };
        let mut actions = Vec::new();
        membership.handle(now, event, &mut actions);
        self.perform(at, actions);
    }

    /// Delivers a packet as if it came over the network.
    pub fn inject_packet(&mut self, to: usize, packet: Packet) {
        self.push(self.now, SimulationEvent::Deliver(to, packet));
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Notify(notification) => self.nodes[from].notifications.push((self.now, notification)),
                Action::Send(to, packet) => self.send(from, index_of(to), packet),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.datagrams += 1;
        if self.encode_every > 0 && self.datagrams.is_multiple_of(self.encode_every) {
            let bytes = self.codec.encode(&Message::Peer(packet.clone())).expect("within one datagram");
            self.bytes += bytes.len() as u64 * self.encode_every;
        }
        if to >= self.nodes.len() || self.net.is_cut(from, to) {
            return;
        }
        let mut late = 0.0;
        match self.net.datagram_fault.filter(|(number, _)| *number == self.datagrams) {
            Some((_, DatagramFault::Dropped)) => return,
            Some((_, DatagramFault::Delayed(periods))) => late = periods * PERIOD,
            None => {}
        }
        let loss = self.net.loss_towards(to);
        if self.random_event(loss) {
            return;
        }
        let copies = if self.random_event(self.net.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = late + MIN_DELAY_MS + self.net.max_delay_ms * self.random_index(1000) as f64 / 1000.0;
            self.push(self.now + delay, SimulationEvent::Deliver(to, packet.clone()));
        }
    }

    /// Handles the next event, if there is one before this time; returns whether there was.
    fn step(&mut self, until: f64) -> bool {
        let Some(Reverse((time_us, number))) = self.queue.peek().copied() else { return false };
        let time = EPOCH + time_us as f64 / 1000.0;
        if time > until {
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(time);
        match self.events.remove(&number) {
            Some(SimulationEvent::Tick(at, timer)) => self.tick(at, timer),
            Some(SimulationEvent::Deliver(at, packet)) => self.deliver(at, packet),
            None => {}
        }
        true
    }

    fn tick(&mut self, at: usize, timer: u64) {
        let node = &self.nodes[at];
        if node.is_paused || node.timer != timer || node.membership.is_none() {
            return;
        }
        self.handle(at, Event::Tick);
        let node = &mut self.nodes[at];
        // A process that was resumed has had two ticks of one timer: only one of them counts.
        node.timer += 1;
        let timer = node.timer;
        if let Some(membership) = &node.membership {
            let due = membership.next_due() - node.clock_offset_ms;
            self.push(due.max(self.now + 0.01), SimulationEvent::Tick(at, timer));
        }
    }

    fn deliver(&mut self, at: usize, packet: Packet) {
        let node = &mut self.nodes[at];
        if !node.is_paused {
            self.handle(at, Event::PacketReceived(packet));
        } else if node.undelivered.len() < SOCKET_CAPACITY {
            node.undelivered.push(packet);
        }
    }

    /// Lets so many periods pass.
    pub fn run(&mut self, periods: f64) {
        let until = self.now + periods * PERIOD;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until all views are equal and true; returns how many periods that took, or none if it took longer.
    pub fn run_until_converged(&mut self, max_periods: f64) -> Option<f64> {
        let began = self.now;
        while self.now - began <= max_periods * PERIOD {
            self.run(0.5);
            if self.has_converged() {
                return Some((self.now - began) / PERIOD);
            }
        }
        None
    }

    /// The members that run, and their indexes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.membership.as_ref()?)))
    }

    /// Whether the views of all members that run are equal and true.
    pub fn has_converged(&self) -> bool {
        let mut digests = self.running().map(|(_, membership)| membership.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first) && self.view_errors().is_empty()
    }

    /// The first few beliefs that are wrong, for messages of failures.
    pub fn view_errors(&self) -> String {
        let mut wrong = Vec::new();
        for (at, membership) in self.running() {
            for (other, node) in self.nodes.iter().enumerate().filter(|(other, _)| *other != at) {
                let seen = membership.table().get(member_key(&node.name)).map(|member| &member.record);
                let right = match (&node.membership, seen) {
                    (Some(runs), Some(seen)) => {
                        seen.generation == runs.local_record().generation && seen.liveness == Liveness::Alive
                    }
                    (Some(_), None) => false,
                    (None, Some(seen)) => !seen.is_up(),
                    (None, None) => true,
                };
                if !right && wrong.len() < 4 {
                    wrong.push(format!("n{at} holds {seen:?} of n{other}"));
                }
            }
            if wrong.len() >= 4 {
                break;
            }
        }
        wrong.join("; ")
    }

    /// Notifications of all members, in no order of time.
    pub fn notifications(&self) -> impl Iterator<Item = &Notification> {
        self.nodes.iter().flat_map(|node| &node.notifications).map(|(_, notification)| notification)
    }

    /// Notifications of one member, in order.
    pub fn notifications_of(&self, at: usize) -> impl Iterator<Item = &Notification> {
        self.nodes[at].notifications.iter().map(|(_, notification)| notification)
    }

    /// When each other member first notified that this one has this liveness, ms after `since`, ascending.
    pub fn notification_times(&self, of: usize, liveness: Liveness, since: f64) -> Vec<f64> {
        let name = &self.nodes[of].name;
        let mut times: Vec<f64> = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            if at == of {
                continue;
            }
            let first = node.notifications.iter().find(|(when, notification)| {
                let Notification::MemberChanged { record, .. } = notification else { return false };
                *when >= since && record.identity.name == *name && record.liveness == liveness
            });
            times.extend(first.map(|(when, _)| when - since));
        }
        times.sort_by(f64::total_cmp);
        times
    }

    /// How often a member notified that one that runs has this liveness.
    pub fn false_positives(&self, liveness: Liveness) -> usize {
        let is_false = |notification: &Notification| match notification {
            Notification::MemberChanged { record, .. } if record.liveness == liveness => {
                self.nodes.iter().any(|node| node.membership.is_some() && node.name == record.identity.name)
            }
            _ => false,
        };
        self.notifications().filter(|notification| is_false(notification)).count()
    }
}
