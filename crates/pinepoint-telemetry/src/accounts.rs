//! Counts request events into the running totals and latency distributions of the process.
//!
//! Counting an event allocates nothing, does no I/O and reads no clock.

use std::rc::Rc;

use pinepoint_events::{Answer, CoreState, RequestEvent, RequestEventKind};

use crate::distribution::{Distribution, DistributionRecorder};
use crate::schema::{ClassCounter, ClassDistribution, Schema};

/// How the answers of a request class are valued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Latency objective, ms from the arrival at the machine.
    pub latency_objective_ms: f64,
    /// Multiple of the work hint that is added to the latency objective.
    pub objective_per_work: f64,
    /// Priority weight of a request, or of a second of its work.
    pub weight: f64,
    /// Factor of the weight for an answer after the latency objective, 0 to 1.
    pub late_weight: f64,
    /// Factor of the weight for a degraded answer, 0 to 1.
    pub weight_without_call: f64,
}

/// Counters and distributions of the process.
///
/// If weights count by work, a request without a work hint counts like the mean of the requests with one.
#[derive(Clone, Debug)]
pub struct Accounts {
    schema: Rc<Schema>,
    classes: Vec<Class>,
    /// The schema class whose metrics each class uses: classes of the same name share their metrics.
    series: Vec<usize>,
    weight_by_work: bool,
    /// Work hints seen so far, for each class of the schema.
    hints: Vec<HintMean>,
    totals: Vec<f64>,
    distributions: Vec<DistributionRecorder>,
}

/// Sum and number of work hints, ms.
#[derive(Clone, Copy, Debug, Default)]
struct HintMean {
    sum_ms: f64,
    count: f64,
}

/// The properties of a served answer that its weight depends on.
#[derive(Clone, Copy)]
struct Served {
    deduplicated: bool,
    degraded: bool,
    work_hint_ms: Option<f64>,
    took_ms: f64,
}

impl Accounts {
    /// Creates accounts with all counts at 0. `classes` are in the order of the schema. `weight_by_work` is
    /// true if weights count by work instead of by request.
    pub fn new(schema: Rc<Schema>, classes: Vec<Class>, weight_by_work: bool) -> Self {
        let hints = vec![HintMean::default(); classes.len()];
        let totals = vec![0.0; schema.counts()];
        let distributions = vec![DistributionRecorder::default(); schema.distributions()];
        let series = (0..classes.len()).collect();
        Accounts { schema, classes, series, weight_by_work, hints, totals, distributions }
    }

    /// Replaces the classes by others, at least as many as before. `series` has the schema class of each.
    /// `schema` is the current schema or one widened from it. All counts are kept.
    pub fn set_classes(
        &mut self,
        schema: Rc<Schema>,
        classes: Vec<Class>,
        series: Vec<usize>,
        weight_by_work: bool,
    ) {
        self.totals = schema.widen(&self.schema, &self.totals);
        self.distributions.resize_with(schema.distributions(), DistributionRecorder::default);
        self.hints.resize(schema.classes().len(), HintMean::default());
        self.schema = schema;
        self.classes = classes;
        self.series = series;
        self.weight_by_work = weight_by_work;
    }

    /// Open requests for each class of the schema.
    pub fn open_by_class(&self, state: &CoreState) -> Vec<u64> {
        let mut open = vec![0; self.schema.classes().len()];
        for (series, count) in self.series.iter().zip(&state.open) {
            open[*series] += count;
        }
        open
    }

    /// Counts one event. An event of an unknown class is ignored.
    pub fn record(&mut self, event: &RequestEvent) {
        let Some(valuation) = self.classes.get(event.class).copied() else { return };
        let class = self.series[event.class];
        match event.kind {
            RequestEventKind::Received { retry, work_hint_ms, .. } => {
                self.received(class, valuation, retry, work_hint_ms)
            }
            RequestEventKind::Decided(_) => {}
            RequestEventKind::RunStarted { queue_wait_ms } => {
                self.add(class, ClassCounter::RunsStarted, 1.0);
                self.record_duration(class, ClassDistribution::QueueWait, queue_wait_ms);
            }
            RequestEventKind::RunEnded { outcome, duration_ms } => {
                self.totals[self.schema.run(class, outcome)] += 1.0;
                self.record_duration(class, ClassDistribution::Run, duration_ms);
            }
            RequestEventKind::CallStarted => self.add(class, ClassCounter::CallsStarted, 1.0),
            RequestEventKind::CallEnded { outcome, duration_ms } => {
                self.totals[self.schema.call(class, outcome)] += 1.0;
                self.record_duration(class, ClassDistribution::Call, duration_ms);
            }
            RequestEventKind::CallSkipped => self.add(class, ClassCounter::CallsSkipped, 1.0),
            RequestEventKind::Answered { answer, work_hint_ms, took_ms } => {
                self.record_duration(class, ClassDistribution::Total, took_ms);
                match answer {
                    Answer::Served { deduplicated, degraded } => {
                        self.served(
                            class,
                            valuation,
                            Served { deduplicated, degraded, work_hint_ms, took_ms },
                        );
                    }
                    Answer::Rejected(reason) => self.totals[self.schema.rejected(class, reason)] += 1.0,
                    Answer::Failed(reason) => self.totals[self.schema.failed(class, reason)] += 1.0,
                }
            }
            RequestEventKind::DeadlineExceeded { took_ms, .. } => {
                self.record_duration(class, ClassDistribution::Total, took_ms);
                self.add(class, ClassCounter::DeadlineExceeded, 1.0);
            }
            RequestEventKind::CallerGone { .. } => self.add(class, ClassCounter::CallerGone, 1.0),
        }
    }

    fn received(&mut self, class: usize, valuation: Class, retry: bool, work_hint_ms: Option<f64>) {
        self.add(class, ClassCounter::Received, 1.0);
        self.add(class, ClassCounter::Retries, f64::from(u8::from(retry)));
        if let Some(work_hint_ms) = work_hint_ms {
            let hints = &mut self.hints[class];
            hints.sum_ms += work_hint_ms;
            hints.count += 1.0;
        }
        let weight = valuation.weight * self.weight_units(class, work_hint_ms);
        self.add(class, ClassCounter::WeightReceived, weight);
    }

    fn served(&mut self, class: usize, valuation: Class, served: Served) {
        let objective_ms = valuation.latency_objective_ms
            + valuation.objective_per_work * served.work_hint_ms.unwrap_or(0.0);
        let (outcome, lateness_factor) = if served.took_ms <= objective_ms {
            (ClassCounter::ServedWithinObjective, 1.0)
        } else {
            (ClassCounter::ServedLate, valuation.late_weight)
        };
        self.add(class, outcome, 1.0);
        self.add(class, ClassCounter::Deduplicated, f64::from(u8::from(served.deduplicated)));
        self.add(class, ClassCounter::Degraded, f64::from(u8::from(served.degraded)));
        let degradation_factor = if served.degraded { valuation.weight_without_call } else { 1.0 };
        let weight = valuation.weight * self.weight_units(class, served.work_hint_ms);
        self.add(class, ClassCounter::WeightServed, weight * lateness_factor * degradation_factor);
    }

    /// The factor of the weight of one request: 1, or its work in seconds.
    fn weight_units(&self, class: usize, work_hint_ms: Option<f64>) -> f64 {
        let hints = self.hints[class];
        match work_hint_ms {
            _ if !self.weight_by_work => 1.0,
            Some(work_hint_ms) => work_hint_ms / 1000.0,
            None if hints.count > 0.0 => hints.sum_ms / hints.count / 1000.0,
            None => 1.0,
        }
    }

    fn add(&mut self, class: usize, counter: ClassCounter, n: f64) {
        self.totals[self.schema.class_counter(class, counter)] += n;
    }

    fn record_duration(&mut self, class: usize, distribution: ClassDistribution, ms: f64) {
        self.distributions[self.schema.distribution(class, distribution)].record(ms);
    }

    /// Overwrites the totals from `first_index` on with counters that are kept elsewhere.
    pub fn set(&mut self, first_index: usize, values: &[u64]) {
        for (total, value) in self.totals[first_index..].iter_mut().zip(values) {
            *total = *value as f64;
        }
    }

    /// The accounting error: the number of requests by which
    /// `read = served + refused + failed + expired + gone + open` is violated, summed over all classes.
    /// `open` is the number of requests in the core's own tables at this instant. The error is 0 unless an
    /// event was missed or reported twice.
    pub fn accounting_error(&self, state: &CoreState) -> f64 {
        let open = self.open_by_class(state);
        open.iter().enumerate().map(|(class, open)| self.class_accounting_error(class, *open)).sum()
    }

    fn class_accounting_error(&self, class: usize, open: u64) -> f64 {
        let counter = |counter| self.totals[self.schema.class_counter(class, counter)];
        let rejected: f64 = self.totals[self.schema.rejections(class)].iter().sum();
        let failed: f64 = self.totals[self.schema.failures(class)].iter().sum();
        let served = counter(ClassCounter::ServedWithinObjective) + counter(ClassCounter::ServedLate);
        let unanswered = counter(ClassCounter::DeadlineExceeded) + counter(ClassCounter::CallerGone);
        let ended = served + rejected + failed + unanswered;
        (counter(ClassCounter::Received) - ended - open as f64).abs()
    }

    /// Ends an interval: returns the totals, which are kept, and the distributions, which are cleared.
    pub fn end_interval(&mut self) -> (Rc<[f64]>, Rc<[Distribution]>) {
        let distributions = self.distributions.iter_mut().map(DistributionRecorder::take);
        (self.totals.as_slice().into(), distributions.collect())
    }
}

#[cfg(test)]
mod tests;
