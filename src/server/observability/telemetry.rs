//! What telemetry needs from the node. It owns the translation between the two; it must never count, decide or delay a
//! request.

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

/// The node, as telemetry sees it.
struct Node {
    queue: Sender<CoreInput>,
    counters: Rc<Counters>,
}

impl Source for Node {
    fn ask(&self) {
        // A queue that is full is one that the core works on: it is asked again.
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

/// What the start of telemetry takes beside its own setup.
pub struct TelemetryContext {
    /// The comparer's name.
    pub name: String,
    /// Settings and names.
    pub site: Rc<Site>,
    /// For random numbers.
    pub seed: u64,
    /// The clock.
    pub clock: Clock,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The way to the core.
    pub queue: Sender<CoreInput>,
    /// Counters of the node.
    pub counters: Rc<Counters>,
}

/// Tells telemetry of the classes in force, before anything happens to a request of a new one.
pub fn set_classes(telemetry: &Telemetry, site: &Site) {
    let (names, classes) = classes_of(site);
    telemetry.set_classes(&names, classes, site.settings.weight_by_work);
}

/// Name and terms of each class, by index.
fn classes_of(site: &Site) -> (Vec<String>, Vec<Class>) {
    let terms = |class: &crate::admission::Class| Class {
        latency_objective_ms: class.latency_objective_ms,
        objective_per_work: class.objective_per_work,
        weight: class.weight,
        late_weight: class.late_weight,
        weight_without_call: class.weight_without_call,
    };
    let classes = site.settings.classes.iter();
    classes.enumerate().map(|(at, class)| (site.class_name(at).to_owned(), terms(class))).unzip()
}

/// Begins to count and to send what the setup says.
pub fn start(setup: &Setup, host: TelemetryContext) -> Rc<Telemetry> {
    let TelemetryContext { name, site, seed, clock, executor, queue, counters } = host;
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
        source: Rc::new(Node { queue, counters }),
    };
    Telemetry::start(setup, parts)
}
