//! What the measurement page of the fleet shows: the same deciding code in simulated time, over sizes and seeds, against
//! plain SWIM and the plain heartbeat. `cargo bench -p pinepoint-membership --bench measure -- detect --sizes 12,100 --seeds 20`

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Parser, ValueEnum};
use pinepoint_membership::diagnosis::VerdictKind;
use pinepoint_membership::member::{Identity, Liveness, Load, MemberRecord, Phase, member_key};
use pinepoint_membership::membership::{
    Action, Event, FailureDetector, Membership, MembershipSettings, Notification,
};
use pinepoint_membership::wire::{Packet, PacketBody, SenderState};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sim::{Net, PERIOD, World, address};

#[derive(Clone, Copy, Debug, ValueEnum)]
enum What {
    /// Periods from a crash to the first and to all that hold it lost
    Detect,
    /// Accusations and losses of members that live, at loss and with pauses
    Accuse,
    /// Periods from the last fault of any course until all views are equal and true
    Heal,
    /// Datagrams, bytes and time on a core, a member and period
    Cost,
    /// Time on a core of one member's decisions alone, a period, among so many that answer it
    Alone,
    /// Verdicts over courses with and without the loss of a zone
    DiagnosisEngine,
}

#[derive(Parser)]
struct Cli {
    what: What,
    #[arg(long, value_delimiter = ',', default_value = "12,100,300")]
    sizes: Vec<usize>,
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Only these detectors, with commas: own-trouble, plain, heartbeat
    #[arg(long, value_delimiter = ',')]
    detectors: Vec<String>,
    /// Simulations at once; all cores if left out
    #[arg(long)]
    jobs: Option<usize>,
    /// That cargo passes along.
    #[arg(long, hide = true)]
    bench: bool,
}

fn rules(detector: FailureDetector) -> MembershipSettings {
    MembershipSettings { detector, ..MembershipSettings::default() }
}

/// Simulations at once.
static JOBS: AtomicU64 = AtomicU64::new(1);

/// Runs this for each seed on all cores; progress on standard error.
fn over<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..JOBS.load(Ordering::Relaxed) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    let result = run(seed);
                    let mut done = done.lock().expect("no thread panicked");
                    done.push(result);
                    eprint!("\r{} of {seeds} ", done.len());
                }
            });
        }
    });
    eprint!("\r");
    done.into_inner().expect("no thread panicked")
}

/// Median, 99th percentile and largest.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values.get(((values.len() as f64 * part).ceil() as usize).max(1) - 1);
    let text = |value: Option<&f64>| value.map_or("-".into(), |value| format!("{value:.1}"));
    format!("{} / {} / {}", text(at(0.5)), text(at(0.99)), text(values.last()))
}

fn detect(size: usize, detector: FailureDetector, seeds: u64) {
    let found = over(seeds, |seed| {
        let mut world = World::preloaded(size, 3, rules(detector), seed);
        world.weigh = 0;
        let (since, gone) = (world.now, (seed as usize * 7 + 5) % size);
        world.kill(gone);
        let mut times = Vec::new();
        while times.len() < size - 1 && world.now - since < 60.0 * PERIOD {
            world.run(1.0);
            times = world.told_of(gone, Liveness::Lost, since);
        }
        (times.first().map(|ms| ms / PERIOD), (times.len() == size - 1).then(|| times[size - 2] / PERIOD))
    });
    let first = found.iter().filter_map(|(first, _)| *first).collect();
    let all: Vec<f64> = found.iter().filter_map(|(_, all)| *all).collect();
    println!(
        "| {detector:?} | {size} | {} | {} | {} of {seeds} |",
        spread(first),
        spread(all.clone()),
        all.len()
    );
}

fn accuse(size: usize, detector: FailureDetector, seeds: u64) {
    for (name, loss, paused) in
        [("loss 0", 0.0, 0), ("loss 5 %", 0.05, 0), ("loss 20 %", 0.2, 0), ("paused", 0.0, size / 10)]
    {
        let (rounds, length) = (20, 3.0);
        let sums = over(seeds, |seed| {
            let mut world = World::preloaded(size, 3, rules(detector), seed);
            world.weigh = 0;
            world.net.loss = loss;
            let (mut suspected, mut lost, mut first_hand) = (0, 0, 0);
            let mut now: Vec<usize> = Vec::new();
            for round in 0..rounds {
                let before = std::mem::take(&mut now);
                before.iter().for_each(|at| world.go_on(*at));
                now = (0..paused).map(|n| (round * paused + n) % size).collect();
                now.iter().for_each(|at| world.stop(*at));
                world.run(length);
                // Of those that are paused, or were a moment ago, it is true.
                let quiet = |name: &str| now.iter().chain(&before).any(|at| world.nodes[*at].name == name);
                for (own, told) in
                    world.nodes.iter().flat_map(|node| node.told.iter().map(|t| (&node.name, &t.1)))
                {
                    if let Notification::MemberChanged { record, .. } = told
                        && !quiet(&record.identity.name)
                    {
                        suspected += usize::from(record.liveness == Liveness::Suspected);
                        lost += usize::from(record.liveness == Liveness::Lost);
                        let by = member_key(own) as u32 | 1;
                        first_hand += usize::from(record.liveness == Liveness::Lost && record.accuser == by);
                    }
                }
                world.clear();
            }
            (suspected, lost, first_hand)
        });
        // Each view in which a living member is held so counts; periods are seconds.
        let hours = seeds as f64 * size as f64 * rounds as f64 * length / 3600.0;
        let sum = |of: fn(&(usize, usize, usize)) -> usize| sums.iter().map(of).sum::<usize>();
        let (suspected, lost, first_hand) = (sum(|s| s.0), sum(|s| s.1), sum(|s| s.2));
        let rate = |n: usize| n as f64 / hours / size as f64;
        println!(
            "| {detector:?} | {size} | {name} | {suspected} ({:.3}) | {lost} ({:.3}) | {first_hand} |",
            rate(suspected),
            rate(lost)
        );
    }
}

fn heal(size: usize, seeds: u64) {
    let took = over(seeds, |seed| {
        let mut world = World::preloaded(size, 3, rules(FailureDetector::Lifeguard), seed);
        world.weigh = 0;
        for _ in 0..6 {
            let (kind, some) = (world.below(9), 1 + world.below(size / 10 + 1));
            let picked: Vec<usize> = (0..some).map(|_| world.below(size)).collect();
            match kind {
                0 => picked.iter().for_each(|at| world.kill(*at)),
                1 => picked.iter().for_each(|at| world.stop(*at)),
                2 => world.net.parts = (0..size).map(|at| at % (2 + seed as usize % 2)).collect(),
                3 => world.net.loss = 0.2,
                4 => world.net.deaf = picked.iter().map(|at| (*at, 0.3)).collect(),
                5 => world.net.cut.extend(picked.iter().map(|at| (*at, (at + 1) % size))),
                6 => world.net = Net { delay: 5.0, ..Net::default() },
                7 => (0..size).filter(|at| at % 3 == 1).for_each(|at| world.kill(at)),
                _ => picked.iter().for_each(|at| {
                    world.kill(*at);
                    world.start(*at);
                }),
            }
            let periods = 1.0 + world.below(15) as f64;
            world.run(periods);
        }
        world.net = Net { delay: 5.0, ..Net::default() };
        let stopped: Vec<usize> = (0..size).filter(|at| world.nodes[*at].stopped).collect();
        stopped.into_iter().for_each(|at| world.go_on(at));
        let gone: Vec<usize> = (0..size).filter(|at| world.nodes[*at].membership.is_none()).collect();
        gone.into_iter().filter(|at| at % 2 == 0).for_each(|at| world.start(at));
        let took = world.await_truth(60.0);
        if took.is_none() {
            println!("seed {seed}: not in 60 periods: {}", world.untrue());
        }
        took
    });
    let healed: Vec<f64> = took.iter().flatten().copied().collect();
    let within = healed.iter().filter(|took| **took <= 15.0).count();
    println!("| {size} | {} | {} of {seeds} | {within} of {seeds} |", spread(healed.clone()), healed.len());
}

fn cost(size: usize, detector: FailureDetector, seeds: u64) {
    let periods = 20.0;
    let seeds = seeds.min(5);
    let mut rows = Vec::new();
    for seed in 0..seeds {
        let mut world = World::preloaded(size, 3, rules(detector), seed);
        world.weigh = 101;
        // Past the first minutes, in which each member judges whether the whole fleet starts.
        if detector != FailureDetector::Heartbeat {
            world.run(130.0);
            world.clear();
        }
        let began = Instant::now();
        world.run(periods);
        let each = size as f64 * periods;
        rows.push((
            world.datagrams as f64 / each,
            world.bytes as f64 / each,
            began.elapsed().as_secs_f64() * 1e6 / each,
        ));
    }
    let mean = |of: fn(&(f64, f64, f64)) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    println!(
        "| {detector:?} | {size} | {:.2} | {:.0} | {:.1} |",
        mean(|r| r.0),
        mean(|r| r.1),
        mean(|r| r.2)
    );
}

/// One member among peers that answer it at once and hold the same, so that what is timed is its own decisions and nothing
/// of a simulation.
struct Alone {
    membership: Membership,
    peers: Vec<MemberRecord>,
    random: Pcg64Mcg,
    now: f64,
    sequence: u32,
    spent: f64,
}

impl Alone {
    fn new(size: usize, lost: usize) -> Alone {
        let now = 1.7e12;
        let peer = |at: usize| {
            let (name, zone) = (format!("n{at}"), format!("z{}", at % 3));
            let identity = Identity { name, zone, address: address(at), cores: 4, instance: at as u32 };
            let liveness = if at <= lost { Liveness::Lost } else { Liveness::Alive };
            MemberRecord {
                identity: identity.into(),
                generation: now as u64 - 9_000_000,
                incarnation: 0,
                phase: Phase::Serving,
                liveness,
                accuser: 0,
            }
        };
        let own = (*peer(0).identity).clone();
        let peers: Vec<MemberRecord> = (1..size).map(peer).collect();
        let seeds = (1..4).map(address).collect();
        let mut membership = Membership::new(MembershipSettings::default(), now, own, seeds, 7);
        membership.preload(now, peers.iter());
        Alone {
            membership,
            peers,
            random: Pcg64Mcg::seed_from_u64(size as u64),
            now,
            sequence: 0,
            spent: 0.0,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::with_capacity(16);
        let began = Instant::now();
        self.membership.handle(self.now, event, &mut out);
        self.spent += began.elapsed().as_secs_f64();
        out
    }

    fn says(&self, at: usize, body: PacketBody, updates: Vec<MemberRecord>) -> Event {
        let load = Load { up_s: 9000, healthy: true, ..Load::default() };
        let (record, digest, known_members) =
            (self.peers[at].clone(), self.membership.digest(), self.peers.len() as u32);
        Event::PacketReceived(Packet {
            sender: SenderState { record, load, digest, known_members, now_ms: self.now },
            body,
            updates,
        })
    }

    /// Lets periods pass, with one question of a peer in each, and, where it is wished, one change of a member.
    fn run(&mut self, periods: u32, changes: bool) -> f64 {
        self.spent = 0.0;
        for _ in 0..periods {
            let until = self.now + PERIOD;
            let at = self.random.next_u64() as usize % self.peers.len();
            if self.peers[at].liveness == Liveness::Alive {
                let updates = if changes {
                    let of = self.peers.len() - 1 - self.random.next_u64() as usize % (self.peers.len() / 2);
                    self.peers[of].incarnation += 1;
                    vec![self.peers[of].clone()]
                } else {
                    Vec::new()
                };
                self.sequence += 1;
                let asked = self.says(at, PacketBody::Ping { sequence: self.sequence }, updates);
                self.handle(asked);
            }
            while self.membership.next_due() < until {
                self.now = self.membership.next_due();
                let mut queue = self.handle(Event::Tick);
                while let Some(action) = queue.pop() {
                    let Action::Send(to, Packet { body: PacketBody::Ping { sequence }, .. }) = action else {
                        continue;
                    };
                    let peer = self.peers.iter().position(|peer| peer.identity.address == to);
                    let peer = peer.filter(|at| self.peers[*at].liveness == Liveness::Alive);
                    if let Some(peer) = peer {
                        let answer = self.says(peer, PacketBody::Ack { sequence }, Vec::new());
                        queue.extend(self.handle(answer));
                    }
                }
            }
            self.now = until;
        }
        self.spent * 1e6 / f64::from(periods)
    }
}

/// Sizes in turns, so that what the machine does meanwhile favours none.
fn alone(sizes: &[usize], rounds: u64) {
    for (what, lost, changes) in
        [("nothing happens", 0, false), ("five are lost", 5, false), ("one changes each period", 0, true)]
    {
        let mut members: Vec<Alone> = sizes.iter().map(|size| Alone::new(*size, lost)).collect();
        let mut took = vec![Vec::new(); sizes.len()];
        for round in 0..rounds + 1 {
            for (at, member) in members.iter_mut().enumerate() {
                let us = member.run(2000, changes);
                // The first round is the program's own warming.
                if round > 0 {
                    took[at].push(us);
                }
            }
        }
        let middle = |mut all: Vec<f64>| {
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let us: Vec<f64> = took.into_iter().map(middle).collect();
        let row: Vec<String> = us.iter().map(|one| format!("{one:.2} ({:.2})", one / us[0])).collect();
        println!("| {what} | {} |", row.join(" | "));
    }
}

fn zone_kinds(world: &World) -> Vec<(f64, VerdictKind, String)> {
    let told = world.nodes.iter().flat_map(|node| &node.told);
    let verdicts = told.filter_map(|(at, told)| match told {
        Notification::VerdictChanged(change) if change.holds => {
            Some((*at, change.verdict.kind, change.verdict.subject.clone()))
        }
        _ => None,
    });
    verdicts.filter(|(_, kind, _)| !matches!(kind, VerdictKind::FleetStart | VerdictKind::OneWay)).collect()
}

fn judge(size: usize, seeds: u64) {
    let quiet = over(seeds, |seed| {
        let mut world = World::preloaded(size, 3, rules(FailureDetector::Lifeguard), seed);
        world.weigh = 0;
        // A zone of which chance has left nobody that runs is rightly judged gone.
        let mut emptied: Vec<String> = Vec::new();
        for _ in 0..8 {
            let at = world.below(size);
            match world.below(5) {
                0 => world.kill(at),
                1 => world.leave(at),
                2 => world.stop(at),
                3 => world.net = Net { loss: 0.1, delay: 60.0, ..Net::default() },
                _ => {
                    world.kill(at);
                    world.start(at);
                }
            }
            for zone in 0..3 {
                let mut runs =
                    world.nodes.iter().filter(|n| n.zone == zone && n.membership.is_some() && !n.stopped);
                emptied.extend(runs.next().is_none().then(|| format!("z{zone}")));
            }
            world.run(4.0);
        }
        zone_kinds(&world).into_iter().filter(|(_, _, of)| !emptied.contains(of)).count()
    });
    let wrong = quiet.iter().filter(|n| **n > 0).count();
    let found = over(seeds, |seed| {
        let mut world = World::preloaded(size, 3, rules(FailureDetector::Lifeguard), seed);
        world.weigh = 0;
        let since = world.now;
        (0..size).filter(|at| at % 3 == 1).for_each(|at| world.kill(at));
        world.run(25.0);
        let verdicts = zone_kinds(&world);
        let right =
            verdicts.iter().filter(|(_, kind, of)| *kind == VerdictKind::ZoneUnreachable && of == "z1");
        let mut times: Vec<f64> = right.map(|(at, ..)| (at - since) / PERIOD).collect();
        times.sort_by(f64::total_cmp);
        let strange =
            verdicts.iter().any(|(_, kind, of)| *kind != VerdictKind::ZoneUnreachable || of != "z1");
        (times.first().copied(), times.last().copied(), times.len() >= size - size.div_ceil(3), strange)
    });
    let firsts = found.iter().filter_map(|row| row.0).collect();
    let lasts = found.iter().filter_map(|row| row.1).collect();
    let (all, strange) = (found.iter().filter(|row| row.2).count(), found.iter().filter(|row| row.3).count());
    println!(
        "| {size} | {wrong} of {seeds} | {} | {} | {all} of {seeds} | {strange} of {seeds} |",
        spread(firsts),
        spread(lasts)
    );
}

fn main() {
    let Cli { what, sizes, seeds, detectors, jobs, .. } = Cli::parse();
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    JOBS.store(jobs.unwrap_or(cores) as u64, Ordering::Relaxed);
    let began = Instant::now();
    match what {
        What::Detect => {
            println!("| detector | members | first, periods: p50 / p99 / most | all | held lost by all |")
        }
        What::Accuse => println!(
            "| detector | members | what | suspected (a view and member-hour) | lost | of these first hand |"
        ),
        What::Heal => {
            println!("| members | periods till equal and true: p50 / p99 / most | healed | within 15 |")
        }
        What::Cost => println!(
            "| detector | members | datagrams a member and period | bytes | us of a core, simulation included |"
        ),
        What::Alone => {
            let heads: Vec<String> = sizes.iter().map(|size| format!("{size} members")).collect();
            println!(
                "| us of a core a period, median of {seeds} rounds (to the first) | {} |",
                heads.join(" | ")
            );
            return alone(&sizes, seeds);
        }
        What::DiagnosisEngine => println!(
            "| members | wrong verdicts without a zone's loss | first, periods: p50 / p99 / most | last | judged by all | another verdict |"
        ),
    }
    let all = [FailureDetector::Lifeguard, FailureDetector::Swim, FailureDetector::Heartbeat];
    let named = |detector: &FailureDetector| {
        let name = match detector {
            FailureDetector::Lifeguard => "own-trouble",
            FailureDetector::Swim => "plain",
            FailureDetector::Heartbeat => "heartbeat",
        };
        detectors.iter().any(|wanted| wanted == name)
    };
    // All to all is n² datagrams: beyond some hundreds nothing else is simulated in the time, unless it is named.
    let kinds = |size: usize| {
        let known = all.iter().copied().filter(move |d| size <= 300 || *d != FailureDetector::Heartbeat);
        let kinds: Vec<FailureDetector> =
            if detectors.is_empty() { known.collect() } else { all.iter().copied().filter(named).collect() };
        kinds
    };
    for size in sizes {
        match what {
            What::Detect => kinds(size).iter().for_each(|detector| detect(size, *detector, seeds)),
            What::Accuse => all[..2].iter().for_each(|detector| accuse(size, *detector, seeds)),
            What::Heal => heal(size, seeds),
            What::Cost => kinds(size).iter().for_each(|detector| cost(size, *detector, seeds)),
            What::Alone => {}
            What::DiagnosisEngine => judge(size, seeds),
        }
    }
    eprintln!("{:.0} s", began.elapsed().as_secs_f64());
}
