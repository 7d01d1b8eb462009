//! Reads the settings object from JSON: maps the keys of its sections to settings. Unknown keys are ignored.

use std::collections::BTreeMap;

use serde_json::Value;

use super::section::{Object, Section};
use super::{IndexedName, Site, SiteError};
use crate::admission::{Class, Gauge, Idempotency, LoadReportKind, Preemption, Rules, Settings, Tenant};

/// The sections of the settings object.
struct Sections<'a> {
    /// The settings object itself.
    root: Section<'a>,
    /// `specifics`: settings of this server.
    server: Section<'a>,
    /// `contract`: rules of the platform.
    contract: Section<'a>,
    /// `ceilings`: limits of the platform.
    ceilings: Section<'a>,
}

impl<'a> Sections<'a> {
    fn of(settings: &'a Object) -> Result<Self, SiteError> {
        Ok(Sections {
            root: Section::root(settings),
            server: Section::in_field(settings, "specifics")?,
            contract: Section::in_field(settings, "contract")?,
            ceilings: Section::in_field(settings, "ceilings")?,
        })
    }
}

/// Entries with names: the index of each name, and the name and entry at each index.
struct NamedList<T> {
    indexes: BTreeMap<String, usize>,
    names: Vec<IndexedName>,
    entries: Vec<T>,
}

impl<T> Default for NamedList<T> {
    fn default() -> Self {
        NamedList { indexes: BTreeMap::new(), names: Vec::new(), entries: Vec::new() }
    }
}

impl<T> NamedList<T> {
    /// Appends an entry. If the list contains the name already, the name refers to the new entry from then
    /// on.
    fn push(&mut self, name: &str, entry: T) {
        self.indexes.insert(name.to_owned(), self.entries.len());
        self.names.push(IndexedName::new(name));
        self.entries.push(entry);
    }
}

/// Reads the settings object.
pub(super) fn site(settings: &Value) -> Result<Site, SiteError> {
    let not_an_object = || SiteError::Field { field: "info".into(), wanted: "an object" };
    let settings = settings.as_object().ok_or_else(not_an_object)?;
    let sections = Sections::of(settings)?;
    let classes = classes(&sections)?;
    let tenants = tenants(&sections)?;
    Ok(Site {
        settings: server_settings(&sections, classes.entries, tenants.entries)?,
        class_names: classes.indexes,
        tenant_names: tenants.indexes,
        registry_follows_health: sections.server.flag("registryFollows")?,
        class_table: classes.names,
        tenant_table: tenants.names,
    })
}

/// Reads the classes of requests: `services`, and the lists `classCalls` and `worthWithout` by class index.
fn classes(sections: &Sections) -> Result<NamedList<Class>, SiteError> {
    let makes_calls = sections.server.list("classCalls")?;
    let weights_without_call = sections.server.list("worthWithout")?;
    let mut classes: NamedList<Class> = NamedList::default();
    for (index, entry) in sections.root.list("services")?.iter().enumerate() {
        let section = Section::from_value(entry, &format!("services[{index}]"))?;
        let name = class_name(&section)?;
        if classes.indexes.contains_key(name) {
            return Err(section.invalid("name", "a name that no other class has"));
        }
        let class = Class {
            weight_without_call: weights_without_call.get(index).and_then(Value::as_f64).unwrap_or(0.0),
            calls: makes_calls.get(index).and_then(Value::as_bool).unwrap_or(false),
            ..class(&section)?
        };
        classes.push(name, class);
    }
    Ok(classes)
}

/// Reads the name of a class, which must be one word: the engine receives it as a word of a line, and clients
/// name the class by it.
fn class_name<'a>(section: &Section<'a>) -> Result<&'a str, SiteError> {
    let name = section.text("name")?;
    let is_one_word = !name.is_empty() && !name.chars().any(|c| c.is_whitespace() || c.is_control());
    is_one_word.then_some(name).ok_or_else(|| section.invalid("name", "one word without control characters"))
}

fn class(section: &Section) -> Result<Class, SiteError> {
    let default = Class::default();
    Ok(Class {
        latency_objective_ms: section.number("promiseMs", default.latency_objective_ms)?,
        timeout_ms: section.positive("deadlineMs", default.timeout_ms)?,
        weight: section.number("worth", default.weight)?,
        late_weight: section.number("lateWorth", default.late_weight)?,
        objective_per_work: section.number("aimStretch", default.objective_per_work)?,
        idempotency: idempotency(section)?,
        dedup_window_ms: section.number("keyTtlMs", default.dedup_window_ms)?,
        ..default
    })
}

fn idempotency(section: &Section) -> Result<Idempotency, SiteError> {
    match section.text("effect")? {
        "idempotency_key" => Ok(Idempotency::Keyed),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        "read_like" | "" => Ok(Idempotency::ReadOnly),
        _ => Err(section.invalid("effect", "one of read_like, idempotency_key, non_idempotent")),
    }
}

/// Reads the tenants: `projects`.
fn tenants(sections: &Sections) -> Result<NamedList<Tenant>, SiteError> {
    let mut tenants = NamedList::default();
    for (index, entry) in sections.root.list("projects")?.iter().enumerate() {
        let section = Section::from_value(entry, &format!("projects[{index}]"))?;
        let name = section.text("name")?;
        let quota_per_s = section.number("allowancePerS", 0.0)?;
        tenants.push(name, Tenant { quota_per_s, retired: false });
    }
    Ok(tenants)
}

fn server_settings(
    sections: &Sections,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
) -> Result<Settings, SiteError> {
    let Sections { root, server, .. } = sections;
    let default = Settings::default();
    Ok(Settings {
        cold: server.flag("cold")?,
        cores: server.number("cores", default.cores)?,
        memory_kb: server.number("heapKb", default.memory_kb)?,
        running_memory_factor: server.number("runFactor", default.running_memory_factor)?,
        key_kb: server.number("keyKb", default.key_kb)?,
        tick_ms: root.number("tickMs", default.tick_ms)?,
        servers: root.number("servers", default.servers)?,
        callers: server.number("clientsTotal", default.callers)?,
        read_result_ttl_ms: server.number("freshForMs", default.read_result_ttl_ms)?,
        load_report: load_report(server)?,
        preemption: preemption(server)?,
        max_retry_after_ms: max_retry_after_ms(&sections.ceilings)?,
        caller_idle_timeout_ms: server.number("callerIdleMs", default.caller_idle_timeout_ms)?,
        call_quota: server.number("callsOut", default.call_quota)?,
        call_quota_window_ms: server.number("callsOverMs", default.call_quota_window_ms)?,
        call_linger_ms: server.number("lingerMs", default.call_linger_ms)?,
        weight_by_work: root.text("worthBy")? == "work",
        over_quota_weight: root.number("overShareWorth", default.over_quota_weight)?,
        rules: rules(&sections.contract, &default.rules)?,
        classes,
        tenants,
        gauges: server.list("gauges")?.iter().map(gauge).collect(),
    })
}

fn load_report(server: &Section) -> Result<LoadReportKind, SiteError> {
    match server.text("signal")? {
        "level" => Ok(LoadReportKind::Level),
        "credit" => Ok(LoadReportKind::Credit),
        "weight" => Ok(LoadReportKind::Weight),
        "silent" | "" => Ok(LoadReportKind::Silent),
        _ => Err(server.invalid("signal", "one of level, credit, weight, silent")),
    }
}

fn preemption(server: &Section) -> Result<Preemption, SiteError> {
    match server.text("preemption")? {
        "drop" => Ok(Preemption::Drop),
        "pause" => Ok(Preemption::Pause),
        "silent" | "" => Ok(Preemption::Never),
        _ => Err(server.invalid("preemption", "one of drop, pause, silent")),
    }
}

/// The longest Retry-After, ms; 0 where the platform does not support it.
fn max_retry_after_ms(ceilings: &Section) -> Result<f64, SiteError> {
    if ceilings.flag("retryAfter")? { ceilings.number("maxRetryAfterMs", 0.0) } else { Ok(0.0) }
}

fn rules(contract: &Section, default: &Rules) -> Result<Rules, SiteError> {
    Ok(Rules {
        answer_slack_ms: contract.number("answerSlackMs", default.answer_slack_ms)?,
        drain_grace_ms: contract.number("drainGraceMs", default.drain_grace_ms)?,
        max_running_per_core: contract.number("fallMultiple", default.max_running_per_core)?,
        warm_up_initial_speed: contract.number("startCapacity", default.warm_up_initial_speed)?,
        warm_up_ms: contract.number("coldMs", default.warm_up_ms)?,
    })
}

fn gauge(name: &Value) -> Gauge {
    match name.as_str() {
        Some("cpu_busy") => Gauge::BusyShare,
        Some("runnable") => Gauge::Runnable,
        _ => Gauge::Other,
    }
}
