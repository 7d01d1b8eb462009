//! Counters of the node. It owns them and their form; it must never decide anything or delay a request.

use std::cell::Cell;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters of the node, each counting up from its start.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>,)+ }

        impl Counters {
            /// Name and value of each, in a fixed order.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)+]
            }
        }
    };
}

counters! {
    /// Connections accepted by any front.
    connections,
    /// Connections that ended.
    connections_ended,
    /// Requests read and handed to the core.
    requests,
    /// Requests that were well framed but unusable, answered by the front.
    bad_requests,
    /// Requests that named a kept one.
    repeats,
    /// Requests with a known key and another body.
    refused_bodies,
    /// Requests whose time of arrival cannot be.
    bad_times,
    /// Answers with a result.
    served,
    /// Answers with a kept result of another try.
    reused,
    /// Refusals.
    refused,
    /// Failures.
    failed,
    /// Requests whose caller left before the answer.
    gone,
    /// Answers the core gave because the decisions had not by then.
    overdue,
    /// Health checks answered.
    pings,
    /// Runs begun on the engine.
    runs,
    /// Runs that the engine reported over.
    runs_ended,
    /// Runs stopped.
    halts,
    /// Starts that the core did not carry out as another try had run.
    doubles_prevented,
    /// Engine links made.
    engine_links,
    /// Commands that the engine did not carry out.
    engine_refusals,
    /// Timers served with old gauges as the engine was silent.
    stale_gauges,
    /// Calls made to the store.
    calls,
    /// Calls that went well.
    calls_done,
    /// Calls that ended otherwise.
    calls_failed,
    /// Runs that went on without their call.
    calls_left_out,
    /// Store connections made.
    store_links,
    /// Reports sent to the membership service.
    reports,
    /// Kept results given up for their size.
    results_dropped,
    /// Configurations taken at a reload.
    reloads,
    /// Configurations turned down at a reload.
    reloads_failed,
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// Writes all counters to the log as one line.
    pub fn print(&self) {
        let words: Vec<String> = self.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
        tracing::info!(all = words.join(" "), "counters");
    }
}
