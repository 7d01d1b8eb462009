//! Processing time of one member's protocol state machine per period, among peers that answer it at once.

use std::time::Instant;

use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase};
use pinepoint_membership::membership::{Action, Event, Membership, MembershipSettings};
use pinepoint_membership::wire::{Packet, PacketBody, SenderState};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::report::median;
use crate::sim::{PERIOD_MS, address};

const PERIODS_PER_ROUND: u32 = 2000;

/// Changes of the peers' records during a round.
#[derive(Clone, Copy, PartialEq)]
enum Changes {
    None,
    OneEachPeriod,
}

struct Scenario {
    name: &'static str,
    lost: usize,
    changes: Changes,
}

const SCENARIOS: [Scenario; 3] = [
    Scenario { name: "no changes", lost: 0, changes: Changes::None },
    Scenario { name: "five members lost", lost: 5, changes: Changes::None },
    Scenario { name: "one member changes per period", lost: 0, changes: Changes::OneEachPeriod },
];

/// One member, and peers with the same view.
struct LoneMember {
    membership: Membership,
    peers: Vec<MemberRecord>,
    random: Pcg64Mcg,
    now: f64,
    sequence: u32,
    spent_s: f64,
}

impl LoneMember {
    fn new(size: usize, lost: usize) -> LoneMember {
        let now = 1.7e12;
        let record = |index: usize| {
            let liveness = if index <= lost { Liveness::Lost } else { Liveness::Alive };
            peer_record(index, liveness, now as u64 - 9_000_000)
        };
        let identity = (*record(0).identity).clone();
        let peers: Vec<MemberRecord> = (1..size).map(record).collect();
        let seeds = (1..4).map(address).collect();
        let mut membership = Membership::new(MembershipSettings::default(), now, identity, seeds, 7);
        membership.preload(now, peers.iter());
        let random = Pcg64Mcg::seed_from_u64(size as u64);
        LoneMember { membership, peers, random, now, sequence: 0, spent_s: 0.0 }
    }

    /// Runs a round of periods, in each of which a peer pings. Returns the processing time per period, us.
    fn run_round(&mut self, changes: Changes) -> f64 {
        self.spent_s = 0.0;
        for _ in 0..PERIODS_PER_ROUND {
            let until = self.now + PERIOD_MS;
            self.receive_ping(changes);
            while self.membership.next_due() < until {
                self.now = self.membership.next_due();
                self.tick();
            }
            self.now = until;
        }
        self.spent_s * 1e6 / f64::from(PERIODS_PER_ROUND)
    }

    fn receive_ping(&mut self, changes: Changes) {
        let from = self.random_index(self.peers.len());
        if self.peers[from].liveness != Liveness::Alive {
            return;
        }
        let updates = match changes {
            Changes::None => Vec::new(),
            Changes::OneEachPeriod => {
                let changed = self.peers.len() - 1 - self.random_index(self.peers.len() / 2);
                self.peers[changed].incarnation += 1;
                vec![self.peers[changed].clone()]
            }
        };
        self.sequence += 1;
        let ping = self.packet(from, PacketBody::Ping { sequence: self.sequence }, updates);
        self.handle(ping);
    }

    /// Handles a tick, and lets the peers answer the resulting pings.
    fn tick(&mut self) {
        let mut actions = self.handle(Event::Tick);
        while let Some(action) = actions.pop() {
            let Action::Send(to, Packet { body: PacketBody::Ping { sequence }, .. }) = action else {
                continue;
            };
            let target = self.peers.iter().position(|peer| peer.identity.address == to);
            if let Some(target) = target.filter(|index| self.peers[*index].liveness == Liveness::Alive) {
                let ack = self.packet(target, PacketBody::Ack { sequence }, Vec::new());
                actions.extend(self.handle(ack));
            }
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::with_capacity(16);
        let began = Instant::now();
        self.membership.handle(self.now, event, &mut actions);
        self.spent_s += began.elapsed().as_secs_f64();
        actions
    }

    fn packet(&self, from: usize, body: PacketBody, updates: Vec<MemberRecord>) -> Event {
        let sender = SenderState {
            record: self.peers[from].clone(),
            load: Load { up_s: 9000, healthy: true, ..Load::default() },
            digest: self.membership.digest(),
            known_members: self.peers.len() as u32,
            now_ms: self.now,
        };
        Event::PacketReceived(Packet { sender, body, updates })
    }

    fn random_index(&mut self, n: usize) -> usize {
        self.random.next_u64() as usize % n
    }
}

fn peer_record(index: usize, liveness: Liveness, generation: u64) -> MemberRecord {
    let identity = Identity {
        name: format!("n{index}"),
        zone: format!("z{}", index % 3),
        address: address(index),
        cores: 4,
        instance: index as u32,
    };
    MemberRecord {
        identity: identity.into(),
        generation,
        incarnation: 0,
        phase: Phase::Serving,
        liveness,
        accuser: 0,
    }
}

/// Measures the sizes in turns, so that other load on the machine affects all of them alike.
pub fn measure(sizes: &[usize], rounds: u64) {
    let columns: Vec<String> = sizes.iter().map(|size| format!("{size} members")).collect();
    println!(
        "| Processing time per period, us, median of {rounds} rounds (ratio to the first size) | {} |",
        columns.join(" | ")
    );
    for scenario in SCENARIOS {
        let mut members: Vec<LoneMember> =
            sizes.iter().map(|size| LoneMember::new(*size, scenario.lost)).collect();
        let mut times_us = vec![Vec::new(); sizes.len()];
        for round in 0..=rounds {
            for (member, times_us) in members.iter_mut().zip(&mut times_us) {
                let time_us = member.run_round(scenario.changes);
                // The first round is a warm-up of the program.
                if round > 0 {
                    times_us.push(time_us);
                }
            }
        }
        let medians: Vec<f64> = times_us.into_iter().map(median).collect();
        let row: Vec<String> = medians.iter().map(|us| format!("{us:.2} ({:.2})", us / medians[0])).collect();
        println!("| {} | {} |", scenario.name, row.join(" | "));
    }
}
