//! Connects the server to the telemetry crate: the classes and counters that it exports, and the state that
//! it polls. This module neither counts nor decides anything.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use pinepoint_clock::Clock;
use pinepoint_telemetry::accounts::Class;
use pinepoint_telemetry::schema::Schema;
use pinepoint_telemetry::{Parts, Setup, Source, Telemetry};

use crate::admission::AdmissionSnapshot;
use crate::config::site::Site;
use crate::server::core::api::CoreInput;
use crate::server::observability::counters::Counters;

/// The state that telemetry polls.
struct TelemetrySource {
    queue: Sender<CoreInput>,
    counters: Rc<Counters>,
}

impl Source for TelemetrySource {
    fn ask(&self) {
        // A full queue means that the core is busy; the next poll requests the state again.
        let _ = self.queue.try_send(CoreInput::ReportState);
    }

    fn counts(&self) -> Vec<u64> {
        self.counters.list().into_iter().map(|(_, value)| value).collect()
    }

    fn process(&self) -> (u64, u64) {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0);
        let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
        (kb, descriptors)
    }

    fn log_lines_left_out(&self) -> u64 {
        pinepoint_log::lines_left_out()
    }
}

/// The parts of the process that telemetry uses.
pub struct TelemetryContext {
    /// The name of this server.
    pub name: String,
    /// The settings at the start.
    pub site: Rc<Site>,
    /// Seed of random numbers.
    pub seed: u64,
    /// The clock.
    pub clock: Clock,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The core's queue.
    pub queue: Sender<CoreInput>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
}

/// Sets the classes in force. Has to be called before any event of a request of a new class.
pub fn set_classes(telemetry: &Telemetry, site: &Site) {
    let (names, classes) = classes_of(site);
    telemetry.set_classes(&names, classes, site.settings.weight_by_work);
}

/// Names and parameters of the classes, by index.
fn classes_of(site: &Site) -> (Vec<String>, Vec<Class>) {
    let parameters = |class: &crate::admission::Class| Class {
        latency_objective_ms: class.latency_objective_ms,
        objective_per_work: class.objective_per_work,
        weight: class.weight,
        late_weight: class.late_weight,
        weight_without_call: class.weight_without_call,
    };
    let classes = site.settings.classes.iter();
    classes.enumerate().map(|(index, class)| (site.class_name(index).to_owned(), parameters(class))).unzip()
}

/// Starts counting and sending as configured by `setup`.
pub fn start(setup: &Setup, context: TelemetryContext) -> Rc<Telemetry> {
    let TelemetryContext { name, site, seed, clock, executor, queue, counters } = context;
    let (names, classes) = classes_of(&site);
    let node: Vec<&'static str> = counters.list().into_iter().map(|(name, _)| name).collect();
    let module = AdmissionSnapshot::NAMES;
    let parts = Parts {
        schema: Rc::new(Schema::new(&names, &node, &module)),
        classes,
        weight_by_work: site.settings.weight_by_work,
        host: name,
        clock,
        executor,
        seed,
        source: Rc::new(TelemetrySource { queue, counters }),
    };
    Telemetry::start(setup, parts)
}
