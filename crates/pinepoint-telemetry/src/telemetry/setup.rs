//! The settings and parts that telemetry is started with.

use std::rc::Rc;

use async_executor::LocalExecutor;
use pinepoint_clock::Clock;

use crate::accounts::Class;
use crate::config;
use crate::schema::{Destination, Schema};

/// The settings of telemetry.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Settings of all destinations.
    pub telemetry: config::Telemetry,
    /// Settings of Graphite; `None` if it is off.
    pub graphite: Option<config::Graphite>,
    /// Settings of collectd; `None` if it is off.
    pub collectd: Option<config::Collectd>,
}

impl Setup {
    /// Whether there is no destination.
    pub fn is_off(&self) -> bool {
        self.graphite.is_none() && self.collectd.is_none()
    }

    /// The names of the receivers of a destination; `None` if it is off.
    pub(super) fn receivers(&self, destination: Destination) -> Option<Vec<String>> {
        match destination {
            Destination::Graphite => {
                self.graphite.as_ref().map(|graphite| graphite.receivers.names().to_vec())
            }
            Destination::Collectd => {
                self.collectd.as_ref().map(|collectd| vec![collectd.address.to_string()])
            }
        }
    }
}

/// The interface of telemetry to the rest of the process.
pub trait Source {
    /// Asks the core to report its state to its observer. Must not block.
    fn ask(&self);
    /// Counters of the node, in the order of their names in the schema.
    fn counts(&self) -> Vec<u64>;
    /// Resident memory of the process, kB, and its open file descriptors.
    fn process(&self) -> (u64, u64);
    /// Number of suppressed log lines since the start.
    fn log_lines_left_out(&self) -> u64;
}

/// The parts that a [`Telemetry`](super::Telemetry) is made of.
pub struct Parts {
    /// The metrics.
    pub schema: Rc<Schema>,
    /// How answers are valued, in the order of the schema's classes.
    pub classes: Vec<Class>,
    /// Whether weights count by work instead of by request.
    pub weight_by_work: bool,
    /// The name of this host.
    pub host: String,
    /// The clock.
    pub clock: Clock,
    /// The executor of the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The interface to the rest of the process.
    pub source: Rc<dyn Source>,
}
