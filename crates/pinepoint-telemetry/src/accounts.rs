//! Facts to counts. It owns the running totals of a process; it must never allocate for a fact, do I/O or read a clock.

use std::rc::Rc;

use pinepoint_events::{Answer, CoreState, ReasonCode, RequestEvent, RequestEventKind};

use crate::schema::{Plain, Schema};
use crate::snapshot::{Dist, Growing};

/// What is told of a class, for judging what is done for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the arrival is in the aim, ms.
    pub aim_ms: f64,
    /// The aim grows by this multiple of the work hint.
    pub aim_stretch: f64,
    /// Worth of a request, or of a second of its work.
    pub worth: f64,
    /// Part of it that an answer after the aim earns.
    pub late_worth: f64,
    /// Part of it that an answer made without its call earns.
    pub worth_without: f64,
}

/// Counts what happens. A request's worth counts by its hinted work where worth goes by work; one without a hint counts
/// like the mean of those with one.
#[derive(Clone, Debug)]
pub struct Accounts {
    schema: Rc<Schema>,
    classes: Vec<Class>,
    /// For each class the place of its series in the schema: classes of one name share theirs.
    series: Vec<usize>,
    by_work: bool,
    hints: Vec<(f64, f64)>,
    totals: Vec<f64>,
    dists: Vec<Growing>,
}

const HOLD: usize = 0;
const RUN: usize = 1;
const TOTAL: usize = 2;
const CALL: usize = 3;

impl Accounts {
    /// Nothing counted yet. `classes` are in the order of the schema; `by_work` if worth counts for each unit of work.
    pub fn new(schema: Rc<Schema>, classes: Vec<Class>, by_work: bool) -> Self {
        let hints = vec![(0.0, 0.0); classes.len()];
        let totals = vec![0.0; schema.counts()];
        let dists = vec![Growing::default(); schema.dists()];
        let series = (0..classes.len()).collect();
        Accounts { schema, classes, series, by_work, hints, totals, dists }
    }

    /// Goes on with other classes, at the least as many as before, and with the place of each one's series in this
    /// schema. It is that of before, or has more classes; what was counted stays.
    pub fn set_classes(
        &mut self,
        schema: Rc<Schema>,
        classes: Vec<Class>,
        series: Vec<usize>,
        by_work: bool,
    ) {
        self.totals = schema.widen(&self.schema, &self.totals);
        self.dists.resize_with(schema.dists(), Growing::default);
        self.hints.resize(schema.classes().len(), (0.0, 0.0));
        (self.schema, self.classes, self.series, self.by_work) = (schema, classes, series, by_work);
    }

    /// Open requests by series, from those by class.
    pub fn open_by_series(&self, state: &CoreState) -> Vec<u64> {
        let mut open = vec![0; self.schema.classes().len()];
        for (series, n) in self.series.iter().zip(&state.open) {
            open[*series] += n;
        }
        open
    }

    /// Takes one fact. One about a class that does not exist is passed over.
    pub fn note(&mut self, fact: &RequestEvent) {
        let Some(plan) = self.classes.get(fact.class).copied() else { return };
        let class = self.series[fact.class];
        match fact.kind {
            RequestEventKind::Received { retry: again, hint_ms, .. } => {
                self.add(class, Plain::Read, 1.0);
                self.add(class, Plain::ReadAgain, f64::from(u8::from(again)));
                if let Some(hint_ms) = hint_ms {
                    let (sum, count) = &mut self.hints[class];
                    *sum += hint_ms;
                    *count += 1.0;
                }
                let asked = plan.worth * self.units(class, hint_ms);
                self.add(class, Plain::Asked, asked);
            }
            RequestEventKind::Decided(_) => {}
            RequestEventKind::RunStarted { queue_wait_ms } => {
                self.add(class, Plain::Runs, 1.0);
                self.record(class, HOLD, queue_wait_ms);
            }
            RequestEventKind::RunEnded { end, ran_ms } => {
                self.totals[self.schema.run(class, end)] += 1.0;
                self.record(class, RUN, ran_ms);
            }
            RequestEventKind::CallStarted => self.add(class, Plain::Calls, 1.0),
            RequestEventKind::CallEnded { end, called_ms } => {
                self.totals[self.schema.call(class, end)] += 1.0;
                self.record(class, CALL, called_ms);
            }
            RequestEventKind::CallSkipped => self.add(class, Plain::LeftOut, 1.0),
            RequestEventKind::Answered { answer, hint_ms, took_ms } => {
                self.record(class, TOTAL, took_ms);
                match answer {
                    Answer::Served { deduplicated, degraded } => {
                        self.served(class, plan, deduplicated, degraded, hint_ms, took_ms)
                    }
                    Answer::Rejected(why) => self.totals[self.schema.refused(class, why)] += 1.0,
                    Answer::Failed(why) => self.totals[self.schema.failed(class, why)] += 1.0,
                }
            }
            RequestEventKind::DeadlineExceeded { took_ms, .. } => {
                self.record(class, TOTAL, took_ms);
                self.add(class, Plain::Expired, 1.0);
            }
            RequestEventKind::CallerGone { .. } => self.add(class, Plain::Gone, 1.0),
        }
    }

    fn served(
        &mut self,
        class: usize,
        plan: Class,
        deduplicated: bool,
        degraded: bool,
        hint_ms: Option<f64>,
        took_ms: f64,
    ) {
        let in_aim = took_ms <= plan.aim_ms + plan.aim_stretch * hint_ms.unwrap_or(0.0);
        self.add(class, if in_aim { Plain::InAim } else { Plain::Late }, 1.0);
        self.add(class, Plain::Reused, f64::from(u8::from(deduplicated)));
        self.add(class, Plain::Poorer, f64::from(u8::from(degraded)));
        let worth = plan.worth * self.units(class, hint_ms);
        let worth = worth * if in_aim { 1.0 } else { plan.late_worth };
        self.add(class, Plain::Served, worth * if degraded { plan.worth_without } else { 1.0 });
    }

    /// What the worth of one request counts by.
    fn units(&self, class: usize, hint_ms: Option<f64>) -> f64 {
        let (sum, count) = self.hints[class];
        match hint_ms {
            _ if !self.by_work => 1.0,
            Some(hint_ms) => hint_ms / 1000.0,
            None if count > 0.0 => sum / count / 1000.0,
            None => 1.0,
        }
    }

    fn add(&mut self, class: usize, plain: Plain, n: f64) {
        self.totals[self.schema.plain(class, plain)] += n;
    }

    fn record(&mut self, class: usize, dist: usize, ms: f64) {
        self.dists[self.schema.dist(class, dist)].record(ms);
    }

    /// Sets what others count, from this place on.
    pub fn set(&mut self, at: usize, values: &[u64]) {
        for (total, value) in self.totals[at..].iter_mut().zip(values) {
            *total = *value as f64;
        }
    }

    /// By how many requests the law `read = served + refused + failed + expired + gone + open` is off, over all
    /// classes, where `open` is what the core counts in its own tables at this instant.
    pub fn law_off(&self, state: &CoreState) -> f64 {
        let open = self.open_by_series(state);
        let of_class = |class: usize| {
            let plain = |plain| self.totals[self.schema.plain(class, plain)];
            let sum = |from: usize, n: usize| self.totals[from..from + n].iter().sum::<f64>();
            let refused = sum(
                self.schema.refused(class, ReasonCode::ALL[0]),
                pinepoint_events::RejectReason::ALL.len(),
            );
            let failed = sum(
                self.schema.failed(class, ReasonCode::ALL[0]),
                pinepoint_events::FailureReason::ALL.len(),
            );
            let served = plain(Plain::InAim) + plain(Plain::Late);
            let ended = served + refused + failed + plain(Plain::Expired) + plain(Plain::Gone);
            (plain(Plain::Read) - ended - open[class] as f64).abs()
        };
        (0..open.len()).map(of_class).sum()
    }

    /// Ends an interval: the totals as they stand, and its distributions, which begin anew.
    pub fn cut(&mut self) -> (Rc<[f64]>, Rc<[Dist]>) {
        (self.totals.as_slice().into(), self.dists.iter_mut().map(Growing::take).collect())
    }
}

#[cfg(test)]
mod tests;
