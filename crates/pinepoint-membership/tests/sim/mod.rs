//! A fleet in simulated time: members, a network that loses, delays, duplicates, cuts and parts, and faults. Everything
//! follows from a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use pinepoint_membership::member::{Identity, Liveness, Phase, member_key};
use pinepoint_membership::membership::{Action, Event, Membership, MembershipSettings, Notification};
use pinepoint_membership::wire::{Codec, Message, Packet};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const PERIOD: f64 = 1000.0;
/// The clocks of all members stand far from zero.
const EPOCH: f64 = 1_700_000_000_000.0;

pub struct Node {
    pub membership: Option<Membership>,
    pub name: String,
    pub zone: usize,
    /// Stopped as by a signal: it gets nothing done, and what comes waits.
    pub stopped: bool,
    waiting: Vec<Packet>,
    /// Of its clock, ms.
    pub clock_off: f64,
    pub told: Vec<(f64, Notification)>,
    lives: u32,
    ticking: u64,
}

/// What the network does.
#[derive(Clone, Debug, Default)]
pub struct Net {
    /// Part of all datagrams that is lost.
    pub loss: f64,
    /// Members of different parts do not hear each other; nothing here for one whole.
    pub parts: Vec<usize>,
    /// Nothing goes from the first to the second.
    pub cut: Vec<(usize, usize)>,
    /// Part that is lost of what these members are sent.
    pub deaf: BTreeMap<usize, f64>,
    /// Part that comes twice.
    pub twice: f64,
    /// Most delay, ms.
    pub delay: f64,
    /// What becomes of the datagram of this number, counted from the last [`World::clear`].
    pub one: Option<(u64, One)>,
}

/// What becomes of one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum One {
    /// It is lost.
    Lost,
    /// It comes so many periods later.
    Late(f64),
}

enum Thing {
    Tick(usize, u64),
    Arrive(usize, Packet),
}

pub struct World {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub net: Net,
    pub rules: MembershipSettings,
    pub random: Pcg64Mcg,
    pub datagrams: u64,
    pub bytes: u64,
    /// Encode every so-manieth message, to count bytes and hold the bound; 0 for none.
    pub weigh: u64,
    codec: Codec,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    things: std::collections::HashMap<u64, Thing>,
    sequence: u64,
}

pub fn address(at: usize) -> SocketAddr {
    ([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 7000).into()
}

fn index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl World {
    /// Members in so many zones, none of them started.
    pub fn new(members: usize, zones: usize, rules: MembershipSettings, seed: u64) -> World {
        let node = |at: usize| Node {
            membership: None,
            name: format!("n{at}"),
            zone: at % zones.max(1),
            stopped: false,
            waiting: Vec::new(),
            clock_off: 0.0,
            told: Vec::new(),
            lives: 0,
            ticking: 0,
        };
        World {
            now: EPOCH,
            nodes: (0..members).map(node).collect(),
            net: Net { delay: 5.0, ..Net::default() },
            rules,
            random: Pcg64Mcg::seed_from_u64(seed),
            datagrams: 0,
            bytes: 0,
            weigh: 50,
            codec: Codec::new("sim"),
            queue: BinaryHeap::new(),
            things: std::collections::HashMap::new(),
            sequence: 0,
        }
    }

    /// The same, all started at once and settled.
    pub fn settled(members: usize, zones: usize, rules: MembershipSettings, seed: u64) -> World {
        let mut world = World::new(members, zones, rules, seed);
        (0..members).for_each(|at| world.start(at));
        let took = world.await_truth(60.0);
        assert!(
            took.is_some(),
            "seed {seed}: {members} members that start together do not settle: {}",
            world.untrue()
        );
        world.clear();
        world
    }

    /// The same for large fleets: all know each other from the start.
    pub fn preloaded(members: usize, zones: usize, rules: MembershipSettings, seed: u64) -> World {
        let mut world = World::new(members, zones, rules, seed);
        (0..members).for_each(|at| world.start(at));
        let records: Vec<_> =
            world.running().map(|(_, membership)| membership.local_record().clone()).collect();
        let now = world.now;
        for node in &mut world.nodes {
            if let Some(membership) = &mut node.membership {
                membership.preload(now, records.iter());
            }
        }
        world.run(6.0);
        world.clear();
        world
    }

    pub fn clear(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.told.clear());
        (self.datagrams, self.bytes) = (0, 0);
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.random.next_u64() % n.max(1) as u64) as usize
    }

    pub fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && (self.below(1 << 20) as f64) < part * f64::from(1 << 20)
    }

    fn push(&mut self, at: f64, thing: Thing) {
        self.sequence += 1;
        self.queue.push(Reverse((((at - EPOCH).max(0.0) * 1000.0) as u64, self.sequence)));
        self.things.insert(self.sequence, thing);
    }

    // ---- faults ----

    pub fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.lives += 1;
        node.ticking += 1;
        (node.stopped, node.waiting) = (false, Vec::new());
        let identity = Identity {
            name: node.name.clone(),
            zone: format!("z{}", node.zone),
            address: address(at),
            cores: 4,
            instance: (at as u32) << 8 | node.lives,
        };
        let (lives, off, ticking) = (node.lives, node.clock_off, node.ticking);
        let seed = self.random.next_u64() ^ u64::from(lives);
        let seeds = (0..3.min(self.nodes.len())).map(address).collect();
        let mut membership = Membership::new(self.rules, self.now + off, identity, seeds, seed);
        let mut out = Vec::new();
        membership.handle(self.now + off, Event::PhaseChanged(Phase::Serving), &mut out);
        let due = membership.next_due() - off;
        self.nodes[at].membership = Some(membership);
        self.push(due, Thing::Tick(at, ticking));
        self.carry_out(at, out);
    }

    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        (node.membership, node.stopped) = (None, false);
        node.ticking += 1;
    }

    pub fn leave(&mut self, at: usize) {
        self.tell(at, Event::PhaseChanged(Phase::Draining));
        self.run(1.0);
        self.tell(at, Event::PhaseChanged(Phase::Left));
        self.kill(at);
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at].stopped = true;
    }

    pub fn go_on(&mut self, at: usize) {
        self.nodes[at].stopped = false;
        let ticking = self.nodes[at].ticking;
        // The timer is long due, and what came lies in the socket.
        self.push(self.now, Thing::Tick(at, ticking));
        for packet in std::mem::take(&mut self.nodes[at].waiting) {
            self.push(self.now, Thing::Arrive(at, packet));
        }
    }

    pub fn tell(&mut self, at: usize, event: Event) {
        let now = self.now + self.nodes[at].clock_off;
        let Some(membership) = &mut self.nodes[at].membership else { return };
        let mut out = Vec::new();
        membership.handle(now, event, &mut out);
        self.carry_out(at, out);
    }

    /// Delivers this as if it came over the network.
    pub fn forge(&mut self, to: usize, packet: Packet) {
        self.push(self.now, Thing::Arrive(to, packet));
    }

    // ---- running ----

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Notify(told) => self.nodes[from].told.push((self.now, told)),
                Action::Send(to, packet) => self.send(from, index(to), packet),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.datagrams += 1;
        if self.weigh > 0 && self.datagrams.is_multiple_of(self.weigh) {
            let bytes = self.codec.encode(&Message::Peer(packet.clone())).expect("within one datagram");
            self.bytes += bytes.len() as u64 * self.weigh;
        }
        if to >= self.nodes.len() || self.is_cut(from, to) {
            return;
        }
        let mut late = 0.0;
        match self.net.one.filter(|(number, _)| *number == self.datagrams) {
            Some((_, One::Lost)) => return,
            Some((_, One::Late(periods))) => late = periods * PERIOD,
            None => {}
        }
        let loss = self.net.deaf.get(&to).copied().unwrap_or(0.0).max(self.net.loss);
        if self.chance(loss) {
            return;
        }
        let copies = if self.chance(self.net.twice) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = late + 0.2 + self.net.delay * self.below(1000) as f64 / 1000.0;
            self.push(self.now + delay, Thing::Arrive(to, packet.clone()));
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let part = |at: usize| self.net.parts.get(at).copied().unwrap_or(0);
        part(from) != part(to) || self.net.cut.contains(&(from, to))
    }

    /// One event; tells whether there was one before this time.
    fn next(&mut self, until: f64) -> bool {
        let Some(Reverse((at, number))) = self.queue.peek().copied() else { return false };
        let at = EPOCH + at as f64 / 1000.0;
        if at > until {
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(at);
        let Some(thing) = self.things.remove(&number) else { return true };
        match thing {
            Thing::Tick(at, ticking) => {
                let node = &self.nodes[at];
                if node.stopped || node.ticking != ticking || node.membership.is_none() {
                    return true;
                }
                self.tell(at, Event::Tick);
                let off = self.nodes[at].clock_off;
                let due = self.nodes[at].membership.as_ref().map(|membership| membership.next_due() - off);
                // Only one timer for each: that of a stop that ended makes a second one of the same number.
                self.nodes[at].ticking += 1;
                let ticking = self.nodes[at].ticking;
                if let Some(due) = due {
                    self.push(due.max(self.now + 0.01), Thing::Tick(at, ticking));
                }
            }
            Thing::Arrive(at, packet) if self.nodes[at].stopped => {
                // A socket holds so much.
                if self.nodes[at].waiting.len() < 200 {
                    self.nodes[at].waiting.push(packet);
                }
            }
            Thing::Arrive(at, packet) => self.tell(at, Event::PacketReceived(packet)),
        }
        true
    }

    /// Lets so many periods pass.
    pub fn run(&mut self, periods: f64) {
        let until = self.now + periods * PERIOD;
        while self.next(until) {}
        self.now = until;
    }

    /// Runs until all that run hold the same and it is true; tells how many periods that took, or nothing if it took longer.
    pub fn await_truth(&mut self, most: f64) -> Option<f64> {
        let began = self.now;
        while self.now - began <= most * PERIOD {
            self.run(0.5);
            if self.is_true() {
                return Some((self.now - began) / PERIOD);
            }
        }
        None
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.membership.as_ref()?)))
    }

    /// Whether all that run hold the same, and it is true.
    pub fn is_true(&self) -> bool {
        let mut digests = self.running().map(|(_, membership)| membership.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first) && self.untrue().is_empty()
    }

    /// What is held wrongly somewhere, the first few.
    pub fn untrue(&self) -> String {
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

    /// When members other than this one told that they hold it so, ms from this time on, sorted.
    pub fn told_of(&self, of: usize, liveness: Liveness, since: f64) -> Vec<f64> {
        let name = &self.nodes[of].name;
        let mut times: Vec<f64> = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            if at == of {
                continue;
            }
            let first = node.told.iter().find(|(when, told)| {
                let Notification::MemberChanged { record, .. } = told else { return false };
                *when >= since && record.identity.name == *name && record.liveness == liveness
            });
            times.extend(first.map(|(when, _)| when - since));
        }
        times.sort_by(f64::total_cmp);
        times
    }

    /// How often a member that runs was held so by another.
    pub fn wrongly(&self, liveness: Liveness) -> usize {
        let of = |told: &Notification| match told {
            Notification::MemberChanged { record, .. } if record.liveness == liveness => {
                self.nodes.iter().any(|node| node.membership.is_some() && node.name == record.identity.name)
            }
            _ => false,
        };
        self.nodes.iter().flat_map(|node| &node.told).filter(|(_, told)| of(told)).count()
    }
}
