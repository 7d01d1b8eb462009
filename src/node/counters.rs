//! Counters of the node and its log lines. It owns both forms; it must never decide anything or delay a request.

use std::cell::Cell;
use std::io;

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
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Longest line of the log, bytes: as much as a pipe that can be written to takes without waiting.
const LINE_MOST: usize = 4096;

/// One line of the log: words as `name=value`, without spaces in them. A reader of the log that has stopped
/// reading must not stop the process: what does not fit into its pipe now is left out.
pub fn log(line: std::fmt::Arguments<'_>) {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    use std::io::Write;
    let mut text = line.to_string().into_bytes();
    text.truncate(LINE_MOST - 1);
    text.push(b'\n');
    let mut stderr = io::stderr().lock();
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ready = poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&at_once));
    if ready.is_ok_and(|n| n > 0) {
        // A log that cannot be written is no reason to stop serving either.
        let _ = stderr.write_all(&text);
    }
}

impl Counters {
    /// Writes all counters to the log as one line.
    pub fn print(&self) {
        let words: Vec<String> = self.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
        log(format_args!("counters {}", words.join(" ")));
    }
}
