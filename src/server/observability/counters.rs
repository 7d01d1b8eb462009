//! Counters of the process and of each class of requests, for telemetry, the log and the management port.
//! They count up from the start of the process. The names of the fields are metric names.

use std::cell::{Cell, RefCell};

/// Defines both structs, and the list of their names and values. To add a counter, add one line with its
/// documentation; the counter then appears in telemetry and the log under its name. `process` lists the
/// counters of [`Counters`] itself, `class` the counters of each [`ClassCounters`].
macro_rules! counters {
    (
        process { $($(#[$process_doc:meta])* $process:ident),+ $(,)? }
        class { $($(#[$class_doc:meta])* $class:ident),+ $(,)? }
    ) => {
        /// Counters of the process, and of its requests by class.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$process_doc])* pub $process: Cell<u64>,)+
            classes: RefCell<Vec<ClassCounters>>,
        }

        /// Counters of the requests of one class. At any time, `requests` is the sum of `served`, `refused`,
        /// `failed`, `gone` and the open requests.
        #[derive(Clone, Debug, Default)]
        pub struct ClassCounters { $($(#[$class_doc])* pub $class: Cell<u64>,)+ }

        impl Counters {
            /// Name and value of each counter, in a fixed order; the class counters are summed over all
            /// classes.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                let all = self.all_classes();
                vec![
                    $((stringify!($process), self.$process.get()),)+
                    $((stringify!($class), all.$class.get()),)+
                ]
            }

            /// The sums over all classes.
            pub fn all_classes(&self) -> ClassCounters {
                let all = ClassCounters::default();
                for class in self.classes.borrow().iter() {
                    all.add(class);
                }
                all
            }
        }

        impl ClassCounters {
            /// Adds the counters of another class.
            pub fn add(&self, other: &ClassCounters) {
                $(self.$class.set(self.$class.get() + other.$class.get());)+
            }
        }
    };
}

counters! {
    process {
        /// Client connections accepted, over all protocols.
        connections,
        /// Client connections that ended.
        connections_ended,
        /// Well-framed but invalid requests, answered by the frontend.
        bad_requests,
        /// Requests with an idempotency key that is already known.
        repeats,
        /// Requests with a known idempotency key and a different body.
        refused_bodies,
        /// Requests with an impossible arrival time.
        bad_times,
        /// Answers with the retained result of another attempt.
        reused,
        /// Answers that the core sent because the admission controller had not answered in time.
        overdue,
        /// Health checks answered.
        pings,
        /// Runs that the engine reported as ended.
        runs_ended,
        /// Runs cancelled.
        halts,
        /// Starts that the core skipped because another attempt had run.
        doubles_prevented,
        /// Times that the engine was attached.
        engine_links,
        /// Commands that the engine rejected.
        engine_refusals,
        /// Timers handled with stale gauges because the engine was silent.
        stale_gauges,
        /// Calls made to the store.
        calls,
        /// Calls that succeeded.
        calls_done,
        /// Calls that ended in any other way.
        calls_failed,
        /// Runs that continued without their call.
        calls_left_out,
        /// Connections to the store opened.
        store_links,
        /// Reports sent to the service registry.
        reports,
        /// Retained results dropped because of their size.
        results_dropped,
        /// Configurations applied at a reload.
        reloads,
        /// Configurations rejected at a reload.
        reloads_failed,
    }
    class {
        /// Requests read and passed to the core.
        requests,
        /// Answers with a result.
        served,
        /// Requests rejected.
        refused,
        /// Requests failed.
        failed,
        /// Requests whose client left before the answer.
        gone,
        /// Runs started on the engine.
        runs,
    }
}

/// Increments a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ClassCounters {
    /// Number of requests that were read and have not ended.
    pub fn open(&self) -> u64 {
        let ended = self.served.get() + self.refused.get() + self.failed.get() + self.gone.get();
        self.requests.get().saturating_sub(ended)
    }
}

impl Counters {
    /// Increments a counter of the class with this index.
    pub fn count_class(&self, class: usize, counter: impl FnOnce(&ClassCounters) -> &Cell<u64>) {
        let mut classes = self.classes.borrow_mut();
        if classes.len() <= class {
            classes.resize_with(class + 1, ClassCounters::default);
        }
        count(counter(&classes[class]));
    }

    /// A copy of the counters of the class with this index.
    pub fn class(&self, class: usize) -> ClassCounters {
        self.classes.borrow().get(class).cloned().unwrap_or_default()
    }

    /// Writes all counters to the log as one line.
    pub fn log(&self) {
        let pairs: Vec<String> = self.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
        tracing::info!(all = pairs.join(" "), "counters");
    }
}
