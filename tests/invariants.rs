//! Whatever comes in whatever order, no rule is broken by the module's own doing.

mod common;

use std::collections::BTreeMap;

use common::*;
use pinepoint::admission::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Room for a few runs and a dozen held requests.
const MEMORY_KB: f64 = 600.0;

/// A request that is read.
#[derive(Clone, Copy, Debug)]
struct Read {
    class: usize,
    wait: f64,
    queued: f64,
    repeat: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(Read),
    /// Several in one instant, with the next timer.
    Instant(Vec<Read>, f64),
    Finish {
        pick: usize,
        ok: bool,
    },
    Need {
        pick: usize,
    },
    CallOutcome {
        pick: usize,
        outcome: usize,
    },
    Gone {
        pick: usize,
    },
    Pass {
        ms: f64,
        runnable: f64,
    },
    Leave,
}

fn read() -> impl Strategy<Value = Read> {
    let wait = prop_oneof![4 => 50.0..4000.0, 1 => -500.0..50.0];
    (0..3usize, wait, 0.0..900.0, any::<bool>()).prop_map(|(class, wait, queued, repeat)| Read {
        class,
        wait,
        queued,
        repeat,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => read().prop_map(Step::Arrive),
        3 => (proptest::collection::vec(read(), 1..5), 0.0..12.0)
            .prop_map(|(reads, runnable)| Step::Instant(reads, runnable)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, ok)| Step::Finish { pick, ok }),
        2 => any::<usize>().prop_map(|pick| Step::Need { pick }),
        2 => (any::<usize>(), 0..4usize).prop_map(|(pick, outcome)| Step::CallOutcome { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Gone { pick }),
        4 => (1.0..300.0, 0.0..12.0).prop_map(|(ms, runnable)| Step::Pass { ms, runnable }),
        1 => Just(Step::Leave),
    ]
}

/// What the world knows of one request.
#[derive(Default)]
struct Known {
    due: f64,
    arrived: f64,
    read: f64,
    idempotency: bool,
    without: bool,
    starts: u32,
    answers: u32,
    gone: bool,
    running: bool,
    at_call: bool,
    calling: bool,
    over: bool,
    original: Option<u32>,
}

#[derive(Default)]
struct World {
    known: BTreeMap<u32, Known>,
    kept: BTreeMap<u32, f64>,
    left: Option<f64>,
}

impl World {
    fn carry_out(&mut self, now: f64, actions: &[Action]) {
        let ran: Vec<u32> = self.known.iter().filter(|(_, e)| e.starts > 0).map(|(id, _)| *id).collect();
        for action in actions {
            match *action {
                Action::StartRun { id } => {
                    let entry = self.known.get_mut(&id).expect("only requests that arrived are started");
                    assert_eq!((entry.answers, entry.starts), (0, 0), "request {id} started again or late");
                    assert!(!entry.idempotency || self.kept.contains_key(&id), "keyed run without an entry");
                    let late = self.left.is_some_and(|since| entry.arrived > since + 500.0);
                    assert!(!late, "run after the grace of the drain");
                    entry.starts += 1;
                    entry.running = true;
                }
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let entry = self.known.get_mut(&id).expect("only requests that arrived are answered");
                    let refusal = matches!(action, Action::Reject { .. });
                    assert!(!refusal || entry.starts == 0, "request {id} ran and was turned away");
                    let ran = entry.original.is_some_and(|first| ran.contains(&first));
                    assert!(!refusal || !ran, "request {id} repeats what ran and was told that it never did");
                    assert!(!entry.over, "request {id} answered twice");
                    entry.answers += 1;
                    assert_eq!(entry.answers, 1);
                    entry.over = !entry.running;
                }
                Action::ReuseResult { id } => {
                    assert!(self.known[&id].original.is_some(), "nothing to reuse");
                }
                Action::RetainKey { id, ttl_ms } => {
                    self.kept.insert(id, now + ttl_ms);
                }
                Action::ReleaseKey { id } => {
                    self.kept.remove(&id);
                }
                Action::SkipCall { id } => {
                    let entry = self.known.get_mut(&id).expect("known");
                    assert!(entry.at_call && entry.without, "{id} does not stop, or must not go on without");
                    entry.at_call = false;
                }
                Action::StartCall { id, .. } => {
                    let entry = self.known.get_mut(&id).expect("known");
                    assert!(entry.at_call, "no call is awaited");
                    (entry.at_call, entry.calling) = (false, true);
                }
                _ => {}
            }
        }
        // Held 20 kB, running four times that, an entry 10 kB: as in the settings.
        let open = self.known.values().filter(|e| e.running || (!e.over && !e.gone));
        let requests: f64 = open.map(|e| if e.running { 80.0 } else { 20.0 }).sum();
        let keys = self.kept.values().filter(|until| **until > now).count() as f64 * 10.0;
        assert!(requests + keys <= MEMORY_KB, "{} kB wanted at {now}", requests + keys);
        let overdue = self
            .known
            .iter()
            .find(|(_, e)| !e.over && e.answers == 0 && !e.gone && e.due.max(e.read) + 60.0 + 25.0 < now);
        assert!(overdue.is_none(), "request {:?} has no answer at {now}", overdue.map(|(id, _)| id));
    }

    fn arrive(&mut self, id: u32, now: f64, read: Read) -> Request {
        let Read { class, wait, queued, repeat } = read;
        let original = self.pick(id as usize, |e| repeat && class == 1 && e.idempotency);
        let (due, arrived) = (now + wait, now - queued);
        let (idempotency, without) = (class == 1, class == 2);
        self.known.insert(
            id,
            Known { due, arrived, read: now, idempotency, without, original, ..Known::default() },
        );
        Request { deadline_ms: Some(due), queued_ms: queued, duplicate_of: original, ..request(id, class) }
    }

    fn pick(&self, index: usize, wanted: impl Fn(&Known) -> bool) -> Option<u32> {
        let ids: Vec<u32> = self.known.iter().filter(|(_, e)| wanted(e)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }
}

fn play(steps: &[Step]) {
    let mut set = Settings { memory_kb: MEMORY_KB, ..settings() };
    set.call_quota = 3.0;
    set.classes.push(Class { calls: true, weight_without_call: 0.3, ..Class::default() });
    let mut bench = Bench::new(set);
    let mut world = World::default();
    let mut next = 0;
    for step in steps {
        let out = match *step {
            Step::Arrive(read) => {
                next += 1;
                let new = world.arrive(next, bench.now, read);
                bench.arrive(new)
            }
            Step::Instant(ref reads, runnable) => {
                let first = bench.timers.iter().map(|(at, _)| *at).enumerate();
                let Some((at, due)) = first.min_by(|a, b| a.1.total_cmp(&b.1)) else { continue };
                let (_, token) = bench.timers.remove(at);
                bench.now = bench.now.max(due);
                let mut events = Vec::new();
                for read in reads {
                    next += 1;
                    events.push(Event::RequestArrived(world.arrive(next, bench.now, *read)));
                }
                events.push(Event::TimerFired { token, gauges: vec![0.5, runnable] });
                bench.batch(events)
            }
            Step::Finish { pick, ok } => {
                let Some(id) = world.pick(pick, |e| e.running && !e.at_call && !e.calling) else { continue };
                let entry = world.known.get_mut(&id).expect("picked");
                (entry.running, entry.over) = (false, true);
                let outcome = if ok { Outcome::Done } else { Outcome::Failed };
                bench.tell(Event::RunEnded { id, outcome })
            }
            Step::Need { pick } => {
                let free = |e: &Known| e.running && !e.at_call && !e.calling && e.answers == 0;
                let Some(id) = world.pick(pick, free) else { continue };
                world.known.get_mut(&id).expect("picked").at_call = true;
                bench.tell(Event::CallNeeded { id })
            }
            Step::CallOutcome { pick, outcome } => {
                let Some(id) = world.pick(pick, |e| e.calling) else { continue };
                let all = [Outcome::Done, Outcome::Rejected, Outcome::TimedOut, Outcome::Unreachable];
                let entry = world.known.get_mut(&id).expect("picked");
                (entry.calling, entry.at_call) = (false, outcome != 0);
                bench.tell(Event::CallEnded { id, outcome: all[outcome], took_ms: 40.0 })
            }
            Step::Gone { pick } => {
                let Some(id) = world.pick(pick, |e| !e.over && e.answers == 0) else { continue };
                world.known.get_mut(&id).expect("picked").gone = true;
                bench.tell(Event::CallerGone { id })
            }
            Step::Pass { ms, runnable } => {
                let until = bench.now + ms;
                while bench.now < until {
                    let part = 5f64.min(until - bench.now);
                    let out = bench.pass(part, 0.5, runnable);
                    world.carry_out(bench.now, &out);
                }
                continue;
            }
            Step::Leave if world.left.is_none() => {
                world.left = Some(bench.now);
                bench.tell(Event::DrainStarted { kill_ms: bench.now + 60_000.0 })
            }
            Step::Leave => continue,
        };
        world.carry_out(bench.now, &out);
    }
}

#[test]
fn rules_hold_under_random_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            play(&steps);
            Ok(())
        })
        .expect("no sequence of events breaks a rule");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut bench = Bench::new(settings());
        for id in 1..200 {
            bench.arrive(Request { queued_ms: f64::from(id % 7) * 60.0, ..request(id, (id % 2) as usize) });
            bench.pass(15.0, 1.0, 5.0);
        }
        bench.log
    };
    assert_eq!(run(), run());
}
