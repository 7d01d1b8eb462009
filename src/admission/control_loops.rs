//! The two control loops: the share of arrivals that is rejected and the rate at which runs are started.
//!
//! Both are the PI loops of De Cicco, Cofano and Mascolo, "Local SIP Overload Control" (2015). Loop 1
//! compares the filtered share of busy cores with a setpoint; its output alpha is the share of arrivals to
//! reject. Loop 2 compares the length of the queue with the length that gives the target queueing time (the
//! arrival rate times that time, by Little's law); its output u is the rate of starts. The gains are those of
//! the paper's tuning.
//!
//! This module owns the measurements that the loops need. It does not choose which requests are rejected.

use super::filters::low_pass;
use super::pi_controller::PiController;

/// Setpoint of the busy share of loop 1, 0 to 1. The paper gives no value. Two cores are often both busy by
/// chance for a second: at 0.97 a fleet at two thirds of its capacity rejected a sixth of its load although
/// queues were short.
const BUSY_SETPOINT: f64 = 0.99;
/// Read delay that counts as much as a busy share of 1, ms. The busy share cannot exceed 1; beyond that, only
/// the read delay shows by how much demand exceeds the capacity of the cores.
const FULL_READ_DELAY_MS: f64 = 3000.0;
/// Read delay that a few simultaneous arrivals cause by chance, ms.
const CHANCE_READ_DELAY_MS: f64 = 100.0;
/// Proportional gain of loop 1 (dimensionless), from the paper.
const BUSY_PROPORTIONAL_GAIN: f64 = 3.5;
/// Integral gain of loop 1, 1/s, from the paper.
const BUSY_INTEGRAL_GAIN: f64 = 10.3;
/// Proportional gain of loop 2, 1/s, from the paper.
const START_PROPORTIONAL_GAIN: f64 = 19.2;
/// Integral gain of loop 2, 1/s², from the paper.
const START_INTEGRAL_GAIN: f64 = 130.5;
/// Target queueing time of loop 2, s: the paper's setpoint.
const QUEUEING_TIME_S: f64 = 0.05;
/// Shortest time constant of the filter on the busy share, s: the paper's value, which is right where many
/// runs end within it.
const MIN_BUSY_FILTER_S: f64 = 0.1;
/// Where fewer runs end, the time constant is the time in which this many runs end per core. The output of a
/// shorter filter follows single requests.
const BUSY_FILTER_RUNS: f64 = 6.0;
/// Time constant of the filter on the arrival rate, s. A server reads a few tens of requests a second, so
/// with the paper's 0.1 s the output would follow single requests.
const ARRIVAL_FILTER_S: f64 = 1.0;
/// Starts per core within a sample period to which the output of loop 2 is clamped: enough to fill all cores
/// at once.
const MAX_STARTS_PER_CORE: f64 = 4.0;
/// Sample period, ms: twice the paper's. It is well below the time constants of the filters and halves the
/// cost of timers.
pub(super) const SAMPLE_PERIOD_MS: f64 = 20.0;

/// The measurements of one timer.
pub(super) struct Sample {
    /// Time since the previous sample, s; above 0.
    pub(super) dt_s: f64,
    /// Cores of the server.
    pub(super) cores: f64,
    /// Number of tasks that need a core now.
    pub(super) runnable: f64,
    /// Requests in the queue.
    pub(super) queued: f64,
    /// Mean length of a run, ms.
    pub(super) mean_run_ms: f64,
    /// Read delay beyond its floor, ms.
    pub(super) excess_read_delay_ms: f64,
}

/// State of both loops and of the filters in front of them.
#[derive(Clone, Debug)]
pub(super) struct ControlLoops {
    /// Number of tasks that needed a core at the last sample.
    pub(super) runnable: f64,
    /// Filtered share of busy cores, 0 to 1.
    pub(super) busy_share: f64,
    /// Filtered rate of arrivals, 1/s.
    pub(super) arrivals_per_s: f64,
    /// Output of loop 1 (alpha): the share of arrivals to reject, 0 to 1.
    pub(super) reject_share: f64,
    /// Output of loop 2 (u): the rate of starts, 1/s.
    pub(super) start_rate_per_s: f64,
    started_since_sample: f64,
    arrived_since_sample: f64,
    /// Starts that loop 2 allows now.
    start_credit: f64,
    reject_loop: PiController,
    start_loop: PiController,
}

impl ControlLoops {
    pub(super) fn new() -> Self {
        ControlLoops {
            runnable: 0.0,
            busy_share: 0.0,
            arrivals_per_s: 0.0,
            reject_share: 0.0,
            start_rate_per_s: 0.0,
            started_since_sample: 0.0,
            arrived_since_sample: 0.0,
            start_credit: 0.0,
            reject_loop: PiController::new(BUSY_PROPORTIONAL_GAIN, BUSY_INTEGRAL_GAIN),
            start_loop: PiController::new(START_PROPORTIONAL_GAIN, START_INTEGRAL_GAIN),
        }
    }

    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self) {
        self.arrived_since_sample += 1.0;
    }

    /// Counts a start.
    pub(super) fn record_start(&mut self) {
        self.started_since_sample += 1.0;
    }

    /// Upper bound of the runs that need a core now: the tasks measured at the last sample and the runs
    /// started since.
    pub(super) fn max_on_core(&self) -> f64 {
        self.runnable + self.started_since_sample
    }

    /// Whether the busy share has reached the setpoint, so that loop 2 paces the starts.
    pub(super) fn is_saturated(&self) -> bool {
        self.busy_share >= BUSY_SETPOINT
    }

    /// Takes the credit for one start, if there is enough.
    pub(super) fn take_start_credit(&mut self) -> bool {
        if self.start_credit < 1.0 {
            return false;
        }
        self.start_credit -= 1.0;
        true
    }

    /// Takes a sample and runs both loops.
    pub(super) fn update(&mut self, sample: &Sample) {
        self.runnable = sample.runnable;
        self.filter_busy_share(sample);
        let arrivals_per_s = self.arrived_since_sample / sample.dt_s;
        self.arrivals_per_s = low_pass(self.arrivals_per_s, arrivals_per_s, sample.dt_s, ARRIVAL_FILTER_S);
        self.started_since_sample = 0.0;
        self.arrived_since_sample = 0.0;
        self.update_reject_share(sample);
        self.update_start_rate(sample);
    }

    fn filter_busy_share(&mut self, sample: &Sample) {
        let busy_share = (sample.runnable / sample.cores).clamp(0.0, 1.0);
        let runs_s = BUSY_FILTER_RUNS * sample.mean_run_ms / sample.cores / 1000.0;
        self.busy_share = low_pass(self.busy_share, busy_share, sample.dt_s, MIN_BUSY_FILTER_S.max(runs_s));
    }

    /// Runs loop 1.
    fn update_reject_share(&mut self, sample: &Sample) {
        let read_delay_ms = (sample.excess_read_delay_ms - CHANCE_READ_DELAY_MS).max(0.0);
        let error = self.busy_share + read_delay_ms / FULL_READ_DELAY_MS - BUSY_SETPOINT;
        self.reject_share = self.reject_loop.update(error, sample.dt_s, 0.0, 1.0);
    }

    /// Runs loop 2. At most one start is saved up beyond the starts that the rate allows within a sample
    /// period.
    fn update_start_rate(&mut self, sample: &Sample) {
        let max_rate_per_s = MAX_STARTS_PER_CORE * sample.cores / sample.dt_s.max(0.001);
        let error = sample.queued - QUEUEING_TIME_S * self.arrivals_per_s;
        self.start_rate_per_s = self.start_loop.update(error, sample.dt_s, 0.0, max_rate_per_s);
        let new_credit = self.start_rate_per_s * sample.dt_s;
        self.start_credit = (self.start_credit + new_credit).min(1.0 + new_credit);
    }
}
