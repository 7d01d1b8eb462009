//! Ends the reporting intervals and makes their snapshots.

use futures_lite::future;
use pinepoint_events::CoreState;

use super::Telemetry;
use crate::delivery::Event;
use crate::interval_schedule::EndedInterval;
use crate::schema::{CORE_STATE_GAUGES, DELIVERY_COUNTERS, DELIVERY_GAUGES, Schema};
use crate::snapshot::Snapshot;

/// How long to wait for the core's state before it is requested again, ms.
const CORE_STATE_TIMEOUT_MS: f64 = 1000.0;

impl Telemetry {
    /// Ends intervals as long as the process runs. When an interval is due, the core is asked for its state,
    /// and its answer ends the interval.
    pub(super) async fn end_intervals(&self) {
        loop {
            let due_ms = self.schedule.get().due_ms();
            self.clock.until(due_ms).await;
            if self.clock.now() < self.schedule.get().due_ms() {
                continue;
            }
            self.is_interval_due.set(true);
            self.source.ask();
            let ended = async {
                // Cannot fail: `self` owns both ends of the channel.
                let _ = self.interval_ended.1.recv().await;
            };
            future::or(ended, self.clock.pause(CORE_STATE_TIMEOUT_MS)).await;
        }
    }

    /// Makes the snapshot of an interval that ended and hands it to the deliveries.
    pub(super) fn end_interval(&self, ended: EndedInterval, state: &CoreState) {
        let schema = self.schema();
        let accounting_error = self.accounts.borrow().accounting_error(state);
        self.set_counters(&schema);
        let gauges = self.gauges(&schema, state, accounting_error);
        let (totals, distributions) = self.accounts.borrow_mut().end_interval();
        *self.last_totals.borrow_mut() = totals.clone();
        let EndedInterval { slot_s, span_ms } = ended;
        if accounting_error != 0.0 {
            tracing::error!(law_off = accounting_error, slot_s, "counts-do-not-add-up");
        }
        let snapshot = Snapshot { slot_s, slots: 1, span_ms, totals, gauges: gauges.into(), distributions };
        self.send_to_deliveries(&Event::IntervalEnded(snapshot));
    }

    /// Sets the totals of counters that are kept elsewhere.
    fn set_counters(&self, schema: &Schema) {
        let mut accounts = self.accounts.borrow_mut();
        accounts.set(schema.node().start, &self.source.counts());
        accounts.set(schema.log_lines_left_out(), &[self.source.log_lines_left_out()]);
        for deliveries in &self.destinations {
            let stats = deliveries.stats();
            let counters: [u64; DELIVERY_COUNTERS.len()] = [
                stats.merged,
                stats.dropped,
                stats.points_sent,
                stats.points_resent,
                stats.acks,
                stats.disconnects,
            ];
            accounts.set(schema.delivery(deliveries.destination).counters, &counters);
        }
    }

    fn gauges(&self, schema: &Schema, state: &CoreState, accounting_error: f64) -> Vec<f64> {
        let offsets = schema.gauge_offsets();
        let mut gauges = vec![0.0; schema.gauges()];
        let open = self.accounts.borrow().open_by_class(state);
        copy_into(&mut gauges, open.iter().map(|count| *count as f64));
        let core_state = self.core_state_gauges(state);
        copy_into(&mut gauges[offsets.core_state..], core_state.iter().map(|value| *value as f64));
        copy_into(&mut gauges[offsets.module], state.admission.iter().map(|(_, value)| *value));
        for deliveries in &self.destinations {
            let stats = deliveries.stats();
            let values: [f64; DELIVERY_GAUGES.len()] = [
                stats.backlog_intervals as f64,
                stats.backlog_bytes as f64 / 1024.0,
                stats.receivers_down as f64,
            ];
            copy_into(&mut gauges[schema.delivery(deliveries.destination).gauges..], values);
        }
        gauges[offsets.accounting_error] = accounting_error;
        gauges
    }

    /// The gauges of the core's state, of the process and of the membership view.
    fn core_state_gauges(&self, state: &CoreState) -> [u64; CORE_STATE_GAUGES.len()] {
        let (memory_kb, descriptors) = self.source.process();
        let membership = self.membership.get();
        [
            state.queued,
            state.awaiting_result,
            state.running,
            state.calls,
            state.keys,
            state.results_bytes,
            state.connections,
            memory_kb,
            descriptors,
            self.is_draining.get().into(),
            membership.up.into(),
            membership.suspected.into(),
            membership.lost.into(),
            membership.verdicts.into(),
            membership.settled.into(),
        ]
    }
}

/// Copies values to the start of a row.
fn copy_into(row: &mut [f64], values: impl IntoIterator<Item = f64>) {
    for (cell, value) in row.iter_mut().zip(values) {
        *cell = value;
    }
}
