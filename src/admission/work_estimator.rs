//! Estimates the work of requests, from their class, their hints, and the speed of this server.
//!
//! The estimates are learned from completed runs. Work is the time that a run takes of one core of this
//! server, in ms.

use super::filters::{OBSERVATION_WEIGHT, moving_average};
use super::{Class, Request};

/// Expected work of a request before the first observation, as a part of its latency objective.
const INITIAL_WORK_PART: f64 = 0.15;
/// Weight of a new observation in the mean work of a class. It is small because the speed of a server changes
/// within seconds, but the work of a class hardly ever.
const CLASS_WEIGHT: f64 = 0.03;
/// Completed runs after which a learned value is trusted by half: the mean of a class, the exponent of hints.
const HALF_TRUST_RUNS: f64 = 10.0;
/// Exponent of hints before the first observation.
const INITIAL_HINT_EXPONENT: f64 = 0.5;
/// Largest logarithm of a ratio that is learned from one completed run.
const MAX_LOG_RATIO: f64 = 2.0;
/// Slowest speed that a cold server is assumed to start with.
const MIN_INITIAL_SPEED: f64 = 0.05;
/// Smallest expected work, ms; work is used as a divisor.
const MIN_WORK_MS: f64 = 0.1;
/// Smallest ratio of the work of one run to its estimate.
const MIN_WORK_RATIO: f64 = 0.1;
/// Largest ratio of the work of one run to its estimate.
const MAX_WORK_RATIO: f64 = 10.0;

/// Values learned from the completed runs of one class, at the usual speed of a server.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    mean_ms: f64,
    mean_hint_ms: f64,
    completed: f64,
}

/// Least-squares slope, through the origin, of the logarithm of work on the logarithm of hints.
#[derive(Clone, Debug)]
struct HintRegression {
    sum_of_products: f64,
    sum_of_squares: f64,
}

impl HintRegression {
    fn new() -> Self {
        HintRegression {
            sum_of_products: INITIAL_HINT_EXPONENT * HALF_TRUST_RUNS,
            sum_of_squares: HALF_TRUST_RUNS,
        }
    }

    fn record(&mut self, hint_ratio: f64, work_ratio: f64) {
        let hint = hint_ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let work = work_ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.sum_of_products += hint * work;
        self.sum_of_squares += hint * hint;
    }

    fn exponent(&self) -> f64 {
        (self.sum_of_products / self.sum_of_squares).clamp(0.0, 1.0)
    }
}

/// Estimates the work of requests.
#[derive(Clone, Debug)]
pub(super) struct WorkEstimator {
    /// Factor by which work takes longer on this server than usual; 1 is the usual speed.
    pub(super) slowdown: f64,
    /// Mean work of recent runs of all classes, ms.
    pub(super) mean_run_ms: f64,
    classes: Vec<ClassWork>,
    hints: HintRegression,
}

impl WorkEstimator {
    /// An estimator without classes; a server that is not warmed up has an initial speed below 1.
    pub(super) fn new(initial_speed: Option<f64>) -> Self {
        let slowdown = initial_speed.map_or(1.0, |speed| 1.0 / speed.clamp(MIN_INITIAL_SPEED, 1.0));
        WorkEstimator { slowdown, mean_run_ms: 0.0, classes: Vec::new(), hints: HintRegression::new() }
    }

    /// Number of known classes.
    pub(super) fn classes(&self) -> usize {
        self.classes.len()
    }

    /// Adds a class without any observation.
    pub(super) fn add_class(&mut self) {
        self.classes.push(ClassWork::default());
    }

    /// Work that a request is expected to take, ms.
    ///
    /// A hint is rough: the mean of the class is multiplied by a power of the ratio of the hint to the mean
    /// hint. The exponent is the observed slope of the logarithm of work on the logarithm of hints.
    pub(super) fn expected_ms(&self, request: &Request, class: &Class) -> f64 {
        let learned = &self.classes[request.class];
        let initial_ms = class.latency_objective_ms * INITIAL_WORK_PART;
        let mean_ms = if learned.completed > 0.0 {
            learned.mean_ms
        } else {
            request.work_hint_ms.unwrap_or(initial_ms)
        };
        let hint_factor = match request.work_hint_ms {
            Some(hint_ms) if learned.mean_hint_ms > 0.0 => {
                (hint_ms / learned.mean_hint_ms).powf(self.hints.exponent())
            }
            _ => 1.0,
        };
        (mean_ms * hint_factor * self.slowdown).max(MIN_WORK_MS)
    }

    /// Learns from a completed run that took `work_ms` of core time.
    ///
    /// A run shows the work of its class and the speed of this server. Each estimate learns the part that the
    /// other does not explain. If both learned a slow period, its effect would be multiplied, and all
    /// arrivals would be rejected as too late.
    pub(super) fn record_run(&mut self, request: &Request, class: &Class, work_ms: f64) {
        let usual_ms = self.expected_ms(request, class) / self.slowdown;
        let learned = &mut self.classes[request.class];
        // The mean of a few runs is mostly below the true mean: if it were fully trusted, every server would
        // seem slow.
        let trust = learned.completed / (learned.completed + HALF_TRUST_RUNS);
        if let (Some(hint_ms), true) = (request.work_hint_ms, learned.mean_hint_ms > 0.0) {
            self.hints.record(hint_ms / learned.mean_hint_ms, work_ms / (learned.mean_ms * self.slowdown));
        }
        let work_ratio = (work_ms / usual_ms).clamp(MIN_WORK_RATIO, MAX_WORK_RATIO);
        self.slowdown += (work_ratio - self.slowdown) * OBSERVATION_WEIGHT * trust;
        learned.completed += 1.0;
        self.mean_run_ms = moving_average(self.mean_run_ms, work_ms, OBSERVATION_WEIGHT);
        let weight = CLASS_WEIGHT.max(1.0 / learned.completed);
        learned.mean_ms = moving_average(learned.mean_ms, work_ms / self.slowdown, weight);
        learned.mean_hint_ms =
            moving_average(learned.mean_hint_ms, request.work_hint_ms.unwrap_or(0.0), weight);
    }
}
