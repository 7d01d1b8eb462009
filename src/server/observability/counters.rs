//! Counters of the node, and those of each class of requests. It owns them and their form; it must never decide
//! anything or delay a request.

use std::cell::{Cell, RefCell};

macro_rules! counters {
    (
        node { $($(#[$node_doc:meta])* $node:ident),+ $(,)? }
        class { $($(#[$class_doc:meta])* $class:ident),+ $(,)? }
    ) => {
        /// Counters of the node, each counting up from its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$node_doc])* pub $node: Cell<u64>,)+
            classes: RefCell<Vec<ClassCounters>>,
        }

        /// Counters of the requests of one class. At any instant, what was read is what was served, refused, failed or
        /// left by its caller, and what is open.
        #[derive(Clone, Debug, Default)]
        pub struct ClassCounters { $($(#[$class_doc])* pub $class: Cell<u64>,)+ }

        impl Counters {
            /// Name and value of each, in a fixed order: those of classes as their sums.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                let all = self.all_classes();
                vec![
                    $((stringify!($node), self.$node.get()),)+
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
            /// Adds those of another class.
            pub fn add(&self, other: &ClassCounters) {
                $(self.$class.set(self.$class.get() + other.$class.get());)+
            }
        }
    };
}

counters! {
    node {
        /// Connections accepted by any front.
        connections,
        /// Connections that ended.
        connections_ended,
        /// Requests that were well framed but unusable, answered by the front.
        bad_requests,
        /// Requests that named a kept one.
        repeats,
        /// Requests with a known key and another body.
        refused_bodies,
        /// Requests whose time of arrival cannot be.
        bad_times,
        /// Answers with a kept result of another try.
        reused,
        /// Answers the core gave because the decisions had not by then.
        overdue,
        /// Health checks answered.
        pings,
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
    class {
        /// Requests read and handed to the core.
        requests,
        /// Answers with a result.
        served,
        /// Refusals.
        refused,
        /// Failures.
        failed,
        /// Requests whose caller left before the answer.
        gone,
        /// Runs begun on the engine.
        runs,
    }
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ClassCounters {
    /// Requests that were read and not ended yet.
    pub fn open(&self) -> u64 {
        let ended = self.served.get() + self.refused.get() + self.failed.get() + self.gone.get();
        self.requests.get().saturating_sub(ended)
    }
}

impl Counters {
    /// Adds one to a counter of the class with this index.
    pub fn count_class(&self, class: usize, counter: impl FnOnce(&ClassCounters) -> &Cell<u64>) {
        let mut classes = self.classes.borrow_mut();
        if classes.len() <= class {
            classes.resize_with(class + 1, ClassCounters::default);
        }
        count(counter(&classes[class]));
    }

    /// The counters of the class with this index as they stand.
    pub fn class(&self, class: usize) -> ClassCounters {
        self.classes.borrow().get(class).cloned().unwrap_or_default()
    }

    /// Writes all counters to the log as one line.
    pub fn print(&self) {
        let words: Vec<String> = self.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
        tracing::info!(all = words.join(" "), "counters");
    }
}
