//! A simulated fleet in simulated time: members, a network with faults, crashes and pauses. All of it is
//! determined by a seed.
//!
//! Each test binary and the benchmark compile this module separately and use a part of it.
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
pub const PERIOD_MS: f64 = 1000.0;
/// Start of the simulated time, Unix ms: far from zero, as real clocks are.
const EPOCH: f64 = 1_700_000_000_000.0;

/// Number of datagrams that the socket of a paused process queues.
const SOCKET_CAPACITY: usize = 200;
/// Minimum delay of a datagram, ms.
const MIN_DELAY_MS: f64 = 0.2;

/// A member, whether its process runs or not.
pub struct Node {
    /// Protocol state of its process. None while no process runs.
    pub membership: Option<Membership>,
    pub name: String,
    pub zone: usize,
    /// Its process is stopped, as by SIGSTOP: it does nothing, and its socket queues received datagrams.
    pub is_paused: bool,
    undelivered: Vec<Packet>,
    /// Offset of its clock from the simulated time, ms. Positive if the clock is ahead.
    pub clock_offset_ms: f64,
    /// Its notifications, with their times.
    pub notifications: Vec<(f64, Notification)>,
    starts: u32,
    /// Number of its current timer. Ticks of earlier timers are ignored.
    timer: u64,
}

/// An event of the simulation.
enum SimulationEvent {
    /// The timer of this number of a member is due.
    Tick(usize, u64),
    /// A packet arrives at a member.
    Deliver(usize, Packet),
}

/// A fleet with its network and time.
pub struct Simulation {
    /// The simulated time, Unix ms.
    pub now: f64,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub settings: MembershipSettings,
    pub random: Pcg64Mcg,
    pub datagrams: u64,
    pub bytes: u64,
    /// One in so many messages is encoded, to estimate bytes and to check that it fits into a datagram. 0 for
    /// none.
    pub encode_every: u64,
    codec: Codec,
    /// Times of events, us since `EPOCH`, and their numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    sequence: u64,
}

/// Address of the member of this index.
pub fn address(index: usize) -> SocketAddr {
    ([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 7000).into()
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
        let node = |index: usize| Node {
            membership: None,
            name: format!("n{index}"),
            zone: index % zones.max(1),
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
            network: Network { max_delay_ms: 5.0, ..Network::default() },
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

    /// Members that were all started at once and have converged.
    pub fn settled(members: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(members, zones, settings, seed);
        (0..members).for_each(|index| simulation.start(index));
        let converged_after = simulation.run_until_converged(60.0);
        assert!(
            converged_after.is_some(),
            "seed {seed}: {members} members that start together do not converge: {}",
            simulation.view_errors()
        );
        simulation.clear_records();
        simulation
    }

    /// Members that know each other from the start, for large fleets.
    pub fn preloaded(members: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(members, zones, settings, seed);
        (0..members).for_each(|index| simulation.start(index));
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

    /// Removes all notifications, and resets the counts of datagrams and bytes.
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

    fn push(&mut self, time: f64, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((((time - EPOCH).max(0.0) * 1000.0) as u64, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Starts the process of a member.
    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.starts += 1;
        node.timer += 1;
        (node.is_paused, node.undelivered) = (false, Vec::new());
        let identity = Identity {
            name: node.name.clone(),
            zone: format!("z{}", node.zone),
            address: address(index),
            cores: 4,
            instance: (index as u32) << 8 | node.starts,
        };
        let (starts, clock_offset_ms, timer) = (node.starts, node.clock_offset_ms, node.timer);
        let seed = self.random.next_u64() ^ u64::from(starts);
        let seeds = (0..3.min(self.nodes.len())).map(address).collect();
        let mut membership =
            Membership::new(self.settings, self.now + clock_offset_ms, identity, seeds, seed);
        let mut actions = Vec::new();
        membership.handle(self.now + clock_offset_ms, Event::PhaseChanged(Phase::Serving), &mut actions);
        let due = membership.next_due() - clock_offset_ms;
        self.nodes[index].membership = Some(membership);
        self.push(due, SimulationEvent::Tick(index, timer));
        self.perform(index, actions);
    }

    /// Kills the process of a member, without a leave announcement.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        (node.membership, node.is_paused) = (None, false);
        node.timer += 1;
    }

    /// Shuts a member down gracefully.
    pub fn leave(&mut self, index: usize) {
        self.handle(index, Event::PhaseChanged(Phase::Draining));
        self.run(1.0);
        self.handle(index, Event::PhaseChanged(Phase::Left));
        self.kill(index);
    }

    /// Stops the process of a member until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].is_paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        let timer = self.nodes[index].timer;
        // The timer is overdue, and the socket has queued received datagrams.
        self.push(self.now, SimulationEvent::Tick(index, timer));
        for packet in std::mem::take(&mut self.nodes[index].undelivered) {
            self.push(self.now, SimulationEvent::Deliver(index, packet));
        }
    }

    /// Lets a member handle an event.
    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.now + self.nodes[index].clock_offset_ms;
        let Some(membership) = &mut self.nodes[index].membership else { return };
        let mut actions = Vec::new();
        membership.handle(now, event, &mut actions);
        self.perform(index, actions);
    }

    /// Delivers a packet as if received over the network.
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
            let bytes = self.codec.encode(&Message::Peer(packet.clone())).expect("it fits into a datagram");
            self.bytes += bytes.len() as u64 * self.encode_every;
        }
        if to >= self.nodes.len() || self.network.is_cut(from, to) {
            return;
        }
        let mut extra_delay_ms = 0.0;
        match self.network.datagram_fault.filter(|(number, _)| *number == self.datagrams) {
            Some((_, DatagramFault::Dropped)) => return,
            Some((_, DatagramFault::Delayed(periods))) => extra_delay_ms = periods * PERIOD_MS,
            None => {}
        }
        let loss = self.network.loss_towards(to);
        if self.random_event(loss) {
            return;
        }
        let copies = if self.random_event(self.network.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = extra_delay_ms
                + MIN_DELAY_MS
                + self.network.max_delay_ms * self.random_index(1000) as f64 / 1000.0;
            self.push(self.now + delay, SimulationEvent::Deliver(to, packet.clone()));
        }
    }

    /// Handles the next event, if there is one up to this time. Returns whether there was.
    fn step(&mut self, until: f64) -> bool {
        let Some(Reverse((time_us, number))) = self.queue.peek().copied() else { return false };
        let time = EPOCH + time_us as f64 / 1000.0;
        if time > until {
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(time);
        match self.events.remove(&number) {
            Some(SimulationEvent::Tick(index, timer)) => self.tick(index, timer),
            Some(SimulationEvent::Deliver(index, packet)) => self.deliver(index, packet),
            None => {}
        }
        true
    }

    fn tick(&mut self, index: usize, timer: u64) {
        let node = &self.nodes[index];
        if node.is_paused || node.timer != timer || node.membership.is_none() {
            return;
        }
        self.handle(index, Event::Tick);
        let node = &mut self.nodes[index];
        // After a resume a timer has two ticks. Renumbering the timer makes the second one void.
        node.timer += 1;
        let timer = node.timer;
        if let Some(membership) = &node.membership {
            let due = membership.next_due() - node.clock_offset_ms;
            self.push(due.max(self.now + 0.01), SimulationEvent::Tick(index, timer));
        }
    }

    fn deliver(&mut self, index: usize, packet: Packet) {
        let node = &mut self.nodes[index];
        if !node.is_paused {
            self.handle(index, Event::PacketReceived(packet));
        } else if node.undelivered.len() < SOCKET_CAPACITY {
            node.undelivered.push(packet);
        }
    }

    /// Advances the simulation by so many periods.
    pub fn run(&mut self, periods: f64) {
        let until = self.now + periods * PERIOD_MS;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until all views are equal and correct. Returns the number of periods until then, or none if that
    /// is more than `max_periods`.
    pub fn run_until_converged(&mut self, max_periods: f64) -> Option<f64> {
        let began = self.now;
        while self.now - began <= max_periods * PERIOD_MS {
            self.run(0.5);
            if self.has_converged() {
                return Some((self.now - began) / PERIOD_MS);
            }
        }
        None
    }

    /// The indexes and protocol states of the running members.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes.iter().enumerate().filter_map(|(index, node)| Some((index, node.membership.as_ref()?)))
    }

    /// Whether the views of all running members are equal and correct.
    pub fn has_converged(&self) -> bool {
        let mut digests = self.running().map(|(_, membership)| membership.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first) && self.view_errors().is_empty()
    }

    /// The first few errors in the views of running members, for messages of failed assertions.
    pub fn view_errors(&self) -> String {
        let mut errors = Vec::new();
        for (index, membership) in self.running() {
            for (other, node) in self.nodes.iter().enumerate().filter(|(other, _)| *other != index) {
                let known = membership.table().get(member_key(&node.name)).map(|member| &member.record);
                let is_correct = match (&node.membership, known) {
                    (Some(running), Some(known)) => {
                        known.generation == running.local_record().generation
                            && known.liveness == Liveness::Alive
                    }
                    (Some(_), None) => false,
                    (None, Some(known)) => !known.is_up(),
                    (None, None) => true,
                };
                if !is_correct && errors.len() < 4 {
                    errors.push(format!("n{index} has the record {known:?} of n{other}"));
                }
            }
            if errors.len() >= 4 {
                break;
            }
        }
        errors.join("; ")
    }

    /// Notifications of all members, not in order of time.
    pub fn notifications(&self) -> impl Iterator<Item = &Notification> {
        self.nodes.iter().flat_map(|node| &node.notifications).map(|(_, notification)| notification)
    }

    /// Notifications of one member, in order of time.
    pub fn notifications_of(&self, index: usize) -> impl Iterator<Item = &Notification> {
        self.nodes[index].notifications.iter().map(|(_, notification)| notification)
    }

    /// Times at which each other member first reported this liveness of member `of`, ms after `since`,
    /// ascending.
    pub fn notification_times(&self, of: usize, liveness: Liveness, since: f64) -> Vec<f64> {
        let name = &self.nodes[of].name;
        let mut times: Vec<f64> = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if index == of {
                continue;
            }
            let first = node.notifications.iter().find(|(time, notification)| {
                let Notification::MemberChanged { record, .. } = notification else { return false };
                *time >= since && record.identity.name == *name && record.liveness == liveness
            });
            times.extend(first.map(|(time, _)| time - since));
        }
        times.sort_by(f64::total_cmp);
        times
    }

    /// Number of notifications in which a running member was reported with this liveness.
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
