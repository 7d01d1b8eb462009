//! A long run in simulated time: after rounds of varied load, each followed by an idle period, all tables are
//! empty again, and memory use has not grown since the first rounds. The environment variable `GROWTH_SEED`
//! sets the seed.

mod core_harness;

use std::alloc::System;
use std::cell::RefCell;
use std::rc::Rc;

use core_harness::{CoreHarness, RecordingCaller, Step, run_result};
use pinepoint::admission::{AdmissionSnapshot, Outcome};
use pinepoint::server::core::api::CoreInput;
use pinepoint_telemetry::accounts::{Accounts, Class};
use pinepoint_telemetry::schema::Schema;
use pinepoint_telemetry::snapshot::Snapshot;
use pinepoint_telemetry::spool::{Bounds, Spool};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn heap_bytes() -> isize {
    let stats = HEAP.stats();
    stats.bytes_allocated as isize - stats.bytes_deallocated as isize
}

/// Length of a step of the simulated machine, ms, and the number of steps in a second.
const STEP_MS: f64 = 50.0;
const STEPS: u64 = 20;
const ROUND_S: u32 = 1200;
const INTERVAL_S: u32 = 10;
const SPOOL_BYTES: usize = 256 * 1024;

/// The largest sizes of the tables. The load has to fill the tables, as otherwise empty tables at the end
/// prove nothing.
#[derive(Debug, Default)]
struct Peak {
    keys: u64,
    open_requests: u64,
    result_bytes: u64,
}

/// The core, its simulated callers and machine, and the telemetry of the core.
struct LongRun {
    harness: CoreHarness,
    random: Pcg64Mcg,
    accounts: Accounts,
    gauges: usize,
    spool: Spool,
    keys: u64,
    callers: std::ops::Range<u64>,
    peak: Peak,
}

/// Removes an element from a list of the test doubles; `None` if the list is empty.
fn remove_picked<T>(list: &RefCell<Vec<T>>, pick: usize) -> Option<T> {
    let mut list = list.borrow_mut();
    let at = pick.checked_rem(list.len())?;
    Some(list.remove(at))
}

impl LongRun {
    fn new(seed: u64) -> LongRun {
        let mut harness = CoreHarness::with_memory(0.1, 40_000.0);
        harness.apply(&Step::AttachEngine);
        let schema = Rc::new(Schema::new(&["look".into(), "write".into()], &[], &AdmissionSnapshot::NAMES));
        let class = Class {
            latency_objective_ms: 900.0,
            objective_per_work: 0.0,
            weight: 1.0,
            late_weight: 0.2,
            weight_without_call: 0.3,
        };
        let accounts = Accounts::new(schema.clone(), vec![class; 2], false);
        let bounds = Bounds { bytes: SPOOL_BYTES, age_ms: 86_400_000.0, window: 8 };
        let spool = Spool::new(bounds, vec![0.0; schema.counts()].into());
        let (random, gauges) = (Pcg64Mcg::seed_from_u64(seed), schema.gauges());
        LongRun { harness, random, accounts, gauges, spool, keys: 0, callers: 0..0, peak: Peak::default() }
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n
    }

    /// Opens a connection, and closes the oldest if there are more than 40.
    fn connect(&mut self) {
        let client = RecordingCaller(self.callers.end, self.harness.recorded.clone());
        self.callers.end += 1;
        self.harness.handle(CoreInput::ConnectionOpened(Rc::new(client)));
        if self.callers.end - self.callers.start > 40 {
            self.harness.handle(CoreInput::ConnectionClosed { caller: self.callers.start });
            self.callers.start += 1;
        }
    }

    /// Ends one run of the engine.
    fn end_run(&mut self, pick: usize, how: u8) {
        if let Some(attempt_id) = remove_picked(&self.harness.recorded.runs, pick) {
            self.harness.handle(CoreInput::RunEnded { attempt_id, result: run_result(how) });
        }
    }

    /// Ends one call of the store. Most calls succeed.
    fn end_call(&mut self, pick: usize, how: u8) {
        let Some(call) = remove_picked(&self.harness.recorded.calls, pick) else { return };
        let (outcome, reply) = match how % 16 {
            0 => (Outcome::Rejected, None),
            1 => (Outcome::Reset, None),
            _ => (Outcome::Done, Some(vec![how])),
        };
        self.harness.handle(CoreInput::CallEnded { call, outcome, reply });
    }

    /// Simulates one step of the machine: all calls end, and its two cores end one run of 100 ms or bring it
    /// to a call.
    fn step(&mut self) {
        let (a, b) = (self.random_below(256) as u8, self.random_below(256) as u8);
        while !self.harness.recorded.calls.borrow().is_empty() {
            self.end_call(0, b);
        }
        if a < 100 {
            self.harness.apply(&Step::NeedCall { run: 0 });
        } else {
            self.end_run(0, if a < 230 { 0 } else { b });
        }
        let runs = self.harness.recorded.runs.borrow().len() as f64;
        self.harness.advance(STEP_MS, (runs / 2.0).min(1.0));
    }

    /// Simulates one second with about this many arrivals.
    fn second(&mut self, arrivals: u64) {
        for step in 0..STEPS {
            for _ in arrivals * step / STEPS..arrivals * (step + 1) / STEPS {
                let caller = self.callers.start + self.random_below(self.callers.end - self.callers.start);
                // A fifth of the arrivals repeat one of the last keys, some of them with another body.
                let again = self.random_below(5) == 0 && self.keys > 8;
                let key = if again { self.keys - self.random_below(8) } else { self.keys + 1 };
                self.keys = self.keys.max(key);
                let (class, body) = ((key % 2) as usize, (key + u64::from(self.random_below(9) == 0)) as u8);
                let age = if self.random_below(50) == 0 { 9000.0 } else { self.random_below(40) as f64 };
                self.harness.arrive_from(caller, class, format!("k{key}"), body, age);
                if self.random_below(12) == 0 {
                    let correlation_id = self.harness.last_correlation_id
                        - self.random_below(8.min(self.harness.last_correlation_id));
                    self.harness.handle(CoreInput::CallerGone { caller, correlation_id });
                }
                if self.random_below(12) == 0 {
                    self.connect();
                }
            }
            self.step();
        }
        if self.random_below(300) == 0 {
            self.harness.apply(&Step::DetachEngine);
            self.harness.apply(&Step::AttachEngine);
            // The answer to the gauge request that follows the repeated notices after a reconnect.
            let tag = self.harness.recorded.last_gauge_tag.get();
            self.harness.handle(CoreInput::Gauges { tag, values: vec![0.5, 1.0] });
        }
        let events = std::mem::take(&mut *self.harness.recorded.request_events.borrow_mut());
        events.iter().for_each(|event| self.accounts.record(event));
        self.harness.recorded.answers.borrow_mut().clear();
        self.harness.recorded.delivered_replies.borrow_mut().clear();
        self.harness.recorded.process_events.borrow_mut().clear();
        let state = self.harness.core.state();
        self.peak.keys = self.peak.keys.max(state.keys);
        self.peak.open_requests = self.peak.open_requests.max(state.open.iter().sum());
        self.peak.result_bytes = self.peak.result_bytes.max(state.results_bytes);
    }

    fn finish_interval(&mut self, slot_s: u64) {
        let now = self.harness.now;
        let state = self.harness.core.state();
        assert_eq!(self.accounts.accounting_error(&state), 0.0);
        let (totals, distributions) = self.accounts.end_interval();
        let gauges = vec![0.0; self.gauges].into();
        let span_ms = (now - f64::from(INTERVAL_S) * 1000.0, now);
        self.spool.push(now, Snapshot { slot_s, slots: 1, span_ms, totals, gauges, distributions });
        assert!(self.spool.size().1 <= SPOOL_BYTES);
    }

    /// Simulates a round of twenty minutes: load that rises and falls, then an idle period.
    fn round(&mut self, number: u32) {
        for _ in 0..40 {
            self.connect();
        }
        for second in 0..ROUND_S {
            let level =
                if second < ROUND_S - 120 { [0, 2, 8, 20, 40][(second / 60 % 5) as usize] } else { 0 };
            let arrivals = if level == 0 { 0 } else { level / 2 + self.random_below(level) };
            if second > ROUND_S - 120 {
                // All runs end, and all connections are closed.
                while !self.harness.recorded.runs.borrow().is_empty() {
                    self.end_run(0, 2);
                }
                let last = self.callers.end;
                for caller in std::mem::replace(&mut self.callers, last..last) {
                    self.harness.handle(CoreInput::ConnectionClosed { caller });
                }
            }
            self.second(arrivals);
            if second % INTERVAL_S == INTERVAL_S - 1 {
                self.finish_interval(u64::from(number * ROUND_S + second));
            }
        }
    }
}

#[test]
fn tables_are_empty_and_memory_is_stable_after_long_load() {
    let seed = std::env::var("GROWTH_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(11);
    println!("GROWTH_SEED={seed}");
    let mut long_run = LongRun::new(seed);
    let mut heap_bytes_after = Vec::new();
    for number in 0..5 {
        long_run.round(number);
        let state = long_run.harness.core.state();
        assert!(
            state.open.iter().all(|open| *open == 0),
            "open requests after round {number}: {:?}",
            state.open
        );
        let remaining = [
            state.queued,
            state.awaiting_result,
            state.running,
            state.calls,
            state.keys,
            state.results_bytes,
        ];
        assert_eq!(
            remaining, [0; 6],
            "queued, awaiting a result, running, calls, keys, bytes of results after round {number}"
        );
        assert_eq!(state.connections, 0, "connections after round {number}");
        heap_bytes_after.push(heap_bytes());
    }
    let peak = &long_run.peak;
    assert!(
        peak.keys > 50 && peak.open_requests > 10 && peak.result_bytes > 2000,
        "the load does not fill the tables: {peak:?}"
    );
    println!("memory after each round, bytes: {heap_bytes_after:?}; {peak:?}");
    // Capacity that a table or spool keeps after it was full once is not growth. A leak of one byte per
    // request would be over 50 kB.
    let (first, last) = (heap_bytes_after[1], heap_bytes_after[4]);
    assert!(
        last - first < 32 * 1024,
        "memory grew by 32 KiB or more, bytes after each round: {heap_bytes_after:?}"
    );
}
