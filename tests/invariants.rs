//! Property tests: the invariants of the controller hold for any events in any order.

mod common;

use std::collections::BTreeMap;

use common::*;
use pinepoint::admission::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Memory for a few runs and a dozen queued requests.
const MEMORY_KB: f64 = 600.0;

/// A request that the host reads.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    class: usize,
    wait_ms: f64,
    read_delay_ms: f64,
    is_duplicate: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(Arrival),
    /// Several arrivals in one instant, together with the next timer.
    Batch(Vec<Arrival>, f64),
    EndRun {
        pick: usize,
        ok: bool,
    },
    NeedCall {
        pick: usize,
    },
    EndCall {
        pick: usize,
        outcome: usize,
    },
    CallerGone {
        pick: usize,
    },
    Advance {
        ms: f64,
        runnable: f64,
    },
    StartDrain,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let wait_ms = prop_oneof![4 => 50.0..4000.0, 1 => -500.0..50.0];
    (0..3usize, wait_ms, 0.0..900.0, any::<bool>()).prop_map(
        |(class, wait_ms, read_delay_ms, is_duplicate)| Arrival {
            class,
            wait_ms,
            read_delay_ms,
            is_duplicate,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => arrival().prop_map(Step::Arrive),
        3 => (proptest::collection::vec(arrival(), 1..5), 0.0..12.0)
            .prop_map(|(arrivals, runnable)| Step::Batch(arrivals, runnable)),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, ok)| Step::EndRun { pick, ok }),
        2 => any::<usize>().prop_map(|pick| Step::NeedCall { pick }),
        2 => (any::<usize>(), 0..4usize).prop_map(|(pick, outcome)| Step::EndCall { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::CallerGone { pick }),
        4 => (1.0..300.0, 0.0..12.0).prop_map(|(ms, runnable)| Step::Advance { ms, runnable }),
        1 => Just(Step::StartDrain),
    ]
}

/// The host's record of one request.
#[derive(Default)]
struct ModelRequest {
    deadline_ms: f64,
    arrived_ms: f64,
    read_ms: f64,
    keyed: bool,
    may_skip_call: bool,
    starts: u32,
    answers: u32,
    caller_gone: bool,
    running: bool,
    awaits_call: bool,
    in_call: bool,
    ended: bool,
    duplicate_of: Option<u32>,
}

/// A model of the host that checks the invariants.
#[derive(Default)]
struct HostModel {
    requests: BTreeMap<u32, ModelRequest>,
    retained_keys: BTreeMap<u32, f64>,
    drain_started_ms: Option<f64>,
}

impl HostModel {
    /// Carries out the actions of one batch and checks the invariants.
    fn apply(&mut self, now: f64, actions: &[Action]) {
        let ran: Vec<u32> = self.requests.iter().filter(|(_, e)| e.starts > 0).map(|(id, _)| *id).collect();
        for action in actions {
            self.apply_action(now, action, &ran);
        }
        self.check_memory(now);
        self.check_deadlines(now);
    }

    /// Carries out one action. `ran` lists the requests that were started before this batch.
    fn apply_action(&mut self, now: f64, action: &Action, ran: &[u32]) {
        match *action {
            Action::StartRun { id } => {
                let entry = self.requests.get_mut(&id).expect("a request that did not arrive was started");
                assert_eq!(
                    (entry.answers, entry.starts),
                    (0, 0),
                    "request {id} was started twice, or after its answer"
                );
                assert!(
                    !entry.keyed || self.retained_keys.contains_key(&id),
                    "keyed request {id} was started without a retained key"
                );
                let after_grace = self.drain_started_ms.is_some_and(|since| entry.arrived_ms > since + 500.0);
                assert!(!after_grace, "request {id} arrived after the grace of the drain and was started");
                entry.starts += 1;
                entry.running = true;
            }
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                let entry = self.requests.get_mut(&id).expect("a request that did not arrive was answered");
                let is_rejection = matches!(action, Action::Reject { .. });
                assert!(!is_rejection || entry.starts == 0, "request {id} ran and was rejected");
                let ran = entry.duplicate_of.is_some_and(|first| ran.contains(&first));
                assert!(
                    !is_rejection || !ran,
                    "request {id} duplicates a run and was rejected as if it never ran"
                );
                assert!(!entry.ended, "request {id} answered twice");
                entry.answers += 1;
                assert_eq!(entry.answers, 1);
                entry.ended = !entry.running;
            }
            Action::ReuseResult { id } => {
                assert!(
                    self.requests[&id].duplicate_of.is_some(),
                    "request {id} duplicates no request and has no result to reuse"
                );
            }
            Action::RetainKey { id, ttl_ms } => {
                self.retained_keys.insert(id, now + ttl_ms);
            }
            Action::ReleaseKey { id } => {
                self.retained_keys.remove(&id);
            }
            Action::SkipCall { id } => {
                let entry = self.requests.get_mut(&id).expect("a request that arrived");
                assert!(
                    entry.awaits_call && entry.may_skip_call,
                    "request {id} awaits no call, or may not skip it"
                );
                entry.awaits_call = false;
            }
            Action::StartCall { id, .. } => {
                let entry = self.requests.get_mut(&id).expect("a request that arrived");
                assert!(entry.awaits_call, "request {id} awaits no call");
                (entry.awaits_call, entry.in_call) = (false, true);
            }
            _ => {}
        }
    }

    /// Checks the memory limit. As in the settings, a queued request takes 20 kB, a running one four times
    /// that, and a key 10 kB.
    fn check_memory(&self, now: f64) {
        let open = self.requests.values().filter(|e| e.running || (!e.ended && !e.caller_gone));
        let requests: f64 = open.map(|e| if e.running { 80.0 } else { 20.0 }).sum();
        let keys = self.retained_keys.values().filter(|until| **until > now).count() as f64 * 10.0;
        assert!(
            requests + keys <= MEMORY_KB,
            "{} kB of {MEMORY_KB} kB reserved at {now} ms",
            requests + keys
        );
    }

    /// Checks that every request has its answer soon after its deadline.
    fn check_deadlines(&self, now: f64) {
        let overdue = self.requests.iter().find(|(_, e)| {
            !e.ended && e.answers == 0 && !e.caller_gone && e.deadline_ms.max(e.read_ms) + 60.0 + 25.0 < now
        });
        assert!(
            overdue.is_none(),
            "request {:?} is overdue and has no answer at {now} ms",
            overdue.map(|(id, _)| id)
        );
    }

    fn arrive(&mut self, id: u32, now: f64, arrival: Arrival) -> Request {
        let Arrival { class, wait_ms, read_delay_ms, is_duplicate } = arrival;
        let duplicate_of = self.pick(id as usize, |e| is_duplicate && class == 1 && e.keyed);
        let (deadline_ms, arrived_ms) = (now + wait_ms, now - read_delay_ms);
        let (keyed, may_skip_call) = (class == 1, class == 2);
        self.requests.insert(
            id,
            ModelRequest {
                deadline_ms,
                arrived_ms,
                read_ms: now,
                keyed,
                may_skip_call,
                duplicate_of,
                ..ModelRequest::default()
            },
        );
        Request { deadline_ms: Some(deadline_ms), read_delay_ms, duplicate_of, ..request(id, class) }
    }

    fn pick(&self, index: usize, wanted: impl Fn(&ModelRequest) -> bool) -> Option<u32> {
        let ids: Vec<u32> = self.requests.iter().filter(|(_, e)| wanted(e)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }
}

fn run_steps(steps: &[Step]) {
    let mut config = Settings { memory_kb: MEMORY_KB, ..settings() };
    config.call_quota = 3.0;
    config.classes.push(Class { calls: true, weight_without_call: 0.3, ..Class::default() });
    let mut server = TestServer::new(config);
    let mut model = HostModel::default();
    let mut next = 0;
    for step in steps {
        let actions = match *step {
            Step::Arrive(arrival) => {
                next += 1;
                let new = model.arrive(next, server.now, arrival);
                server.arrive(new)
            }
            Step::Batch(ref arrivals, runnable) => {
                let first = server.timers.iter().map(|(at, _)| *at).enumerate();
                let Some((at, deadline_ms)) = first.min_by(|a, b| a.1.total_cmp(&b.1)) else { continue };
                let (_, token) = server.timers.remove(at);
                server.now = server.now.max(deadline_ms);
                let mut events = Vec::new();
                for arrival in arrivals {
                    next += 1;
                    events.push(Event::RequestArrived(model.arrive(next, server.now, *arrival)));
                }
                events.push(Event::TimerFired { token, gauges: vec![0.5, runnable] });
                server.batch(events)
            }
            Step::EndRun { pick, ok } => {
                let Some(id) = model.pick(pick, |e| e.running && !e.awaits_call && !e.in_call) else {
                    continue;
                };
                let entry = model.requests.get_mut(&id).expect("picked");
                (entry.running, entry.ended) = (false, true);
                let outcome = if ok { Outcome::Done } else { Outcome::Failed };
                server.handle(Event::RunEnded { id, outcome })
            }
            Step::NeedCall { pick } => {
                let free = |e: &ModelRequest| e.running && !e.awaits_call && !e.in_call && e.answers == 0;
                let Some(id) = model.pick(pick, free) else { continue };
                model.requests.get_mut(&id).expect("picked").awaits_call = true;
                server.handle(Event::CallNeeded { id })
            }
            Step::EndCall { pick, outcome } => {
                let Some(id) = model.pick(pick, |e| e.in_call) else { continue };
                let all = [Outcome::Done, Outcome::Rejected, Outcome::TimedOut, Outcome::Unreachable];
                let entry = model.requests.get_mut(&id).expect("picked");
                (entry.in_call, entry.awaits_call) = (false, outcome != 0);
                server.handle(Event::CallEnded { id, outcome: all[outcome], took_ms: 40.0 })
            }
            Step::CallerGone { pick } => {
                let Some(id) = model.pick(pick, |e| !e.ended && e.answers == 0) else { continue };
                model.requests.get_mut(&id).expect("picked").caller_gone = true;
                server.handle(Event::CallerGone { id })
            }
            Step::Advance { ms, runnable } => {
                let until = server.now + ms;
                while server.now < until {
                    let part = 5f64.min(until - server.now);
                    let actions = server.advance(part, 0.5, runnable);
                    model.apply(server.now, &actions);
                }
                continue;
            }
            Step::StartDrain if model.drain_started_ms.is_none() => {
                model.drain_started_ms = Some(server.now);
                server.handle(Event::DrainStarted { kill_ms: server.now + 60_000.0 })
            }
            Step::StartDrain => continue,
        };
        model.apply(server.now, &actions);
    }
}

#[test]
fn invariants_hold_under_random_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            run_steps(&steps);
            Ok(())
        })
        .expect("the invariants hold for every sequence of events");
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut server = TestServer::new(settings());
        for id in 1..200 {
            server.arrive(Request {
                read_delay_ms: f64::from(id % 7) * 60.0,
                ..request(id, (id % 2) as usize)
            });
            server.advance(15.0, 1.0, 5.0);
        }
        server.log
    };
    assert_eq!(run(), run());
}
