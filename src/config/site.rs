//! Reads the settings object, as the simulator's first message and the node's configuration carry it, and keeps the
//! indexes of classes and tenants the same over later settings. It owns the names of that object's fields and must never
//! decide about a request from their values.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

use crate::admission::*;

type Object = Map<String, Value>;

/// Time for which the name of a dropped class or tenant is still accepted, ms: callers hear of a reload about 1.2 s late,
/// and a request that they sent before is still under way then.
pub const RETIRED_GRACE_MS: f64 = 3000.0;
/// Class and tenant indexes that one process may give out by reloads. Each class takes rows in the module and series in
/// telemetry; tenants take two numbers.
pub const CLASSES_MOST: usize = 256;
/// See [`CLASSES_MOST`].
pub const TENANTS_MOST: usize = 4096;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteError {
    /// A field is missing or has another type.
    Field {
        /// The field with its parents, as in `services[1].deadlineMs`.
        field: String,
        /// What it has to be.
        wanted: &'static str,
    },
    /// More indexes would be needed than one process gives out.
    Full {
        /// The list: `services` or `projects`.
        field: &'static str,
        /// The most that there may be.
        most: usize,
    },
}

impl SiteError {
    /// The field, with its parents.
    pub fn field(&self) -> &str {
        match self {
            SiteError::Field { field, .. } => field,
            SiteError::Full { field, .. } => field,
        }
    }
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteError::Field { field, wanted } => write!(f, "field {field} is missing or not {wanted}"),
            SiteError::Full { field, most } => write!(
                f,
                "field {field} brings the names seen since the start, dropped ones included, above {most}: restart \
                 the process, which then knows only those of the file"
            ),
        }
    }
}

impl std::error::Error for SiteError {}

/// A name that has an index.
#[derive(Clone, Debug, PartialEq)]
struct Named {
    name: String,
    /// When a reload dropped it, Unix ms.
    retired_ms: Option<f64>,
}

impl Named {
    fn new(name: &str) -> Self {
        Named { name: name.to_owned(), retired_ms: None }
    }

    fn is_accepted(&self, now_ms: f64) -> bool {
        self.retired_ms.is_none_or(|since_ms| now_ms < since_ms + RETIRED_GRACE_MS)
    }
}

/// The settings of a site with the names that its messages use.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// What the controller is told.
    pub settings: Settings,
    /// Index of each class by its name, dropped ones included.
    pub class_names: BTreeMap<String, usize>,
    /// Index of each tenant by its name, dropped ones included.
    pub tenant_names: BTreeMap<String, usize>,
    /// The list of servers follows the health answer.
    pub registry_follows_health: bool,
    /// By class index. A name has several indexes if its effect kind changed.
    class_table: Vec<Named>,
    /// By tenant index.
    tenant_table: Vec<Named>,
}

/// Reads one settings object; what is absent keeps the value of the defaults, another type is malformed.
struct Section<'a> {
    object: Option<&'a Object>,
    /// Its place among its parents, with a dot behind it.
    path: String,
}

impl<'a> Section<'a> {
    fn of(parent: &'a Object, field: &str) -> Result<Self, SiteError> {
        let none = Section { object: None, path: String::new() };
        parent.get(field).map_or(Ok(none), |value| Section::from(value, field))
    }
    fn from(value: &'a Value, path: &str) -> Result<Self, SiteError> {
        let object = value.as_object();
        let object =
            object.ok_or_else(|| SiteError::Field { field: path.to_owned(), wanted: "an object" })?;
        Ok(Section { object: Some(object), path: format!("{path}.") })
    }
    fn bad(&self, field: &str, wanted: &'static str) -> SiteError {
        SiteError::Field { field: format!("{}{field}", self.path), wanted }
    }
    fn get(&self, field: &str) -> Option<&'a Value> {
        self.object.and_then(|object| object.get(field))
    }
    fn read<T>(
        &self,
        field: &str,
        wanted: &'static str,
        as_type: fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, SiteError> {
        match self.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => as_type(value).map(Some).ok_or_else(|| self.bad(field, wanted)),
        }
    }
    fn num(&self, field: &str, default: f64) -> Result<f64, SiteError> {
        Ok(self.read(field, "a number", Value::as_f64)?.unwrap_or(default))
    }
    /// A number above 0, which null is not.
    fn positive(&self, field: &str, default: f64) -> Result<f64, SiteError> {
        let Some(value) = self.get(field) else { return Ok(default) };
        value.as_f64().filter(|n| *n > 0.0).ok_or_else(|| self.bad(field, "a number above 0"))
    }
    fn flag(&self, field: &str) -> Result<bool, SiteError> {
        Ok(self.read(field, "true or false", Value::as_bool)?.unwrap_or(false))
    }
    fn text(&self, field: &str) -> Result<&'a str, SiteError> {
        Ok(self.read(field, "text", Value::as_str)?.unwrap_or(""))
    }
    fn list(&self, field: &str) -> Result<&'a [Value], SiteError> {
        Ok(self.read(field, "a list", Value::as_array)?.map_or(&[], Vec::as_slice))
    }
}

impl Site {
    /// Reads one settings object; unknown fields are passed over.
    pub fn read(info: &Value) -> Result<Site, SiteError> {
        let info = info.as_object().ok_or(SiteError::Field { field: "info".into(), wanted: "an object" })?;
        let top = Section { object: Some(info), path: String::new() };
        let own = Section::of(info, "specifics")?;
        let rules = Section::of(info, "contract")?;
        let limits = Section::of(info, "ceilings")?;
        let base = Settings::default();
        let flags = own.list("classCalls")?;
        let without = own.list("worthWithout")?;
        let (mut class_names, mut class_table) = (BTreeMap::new(), Vec::new());
        let mut classes = Vec::new();
        for (i, entry) in top.list("services")?.iter().enumerate() {
            let c = Section::from(entry, &format!("services[{i}]"))?;
            let plain = Class::default();
            // The engine is told the name as one word of a line, and callers name a class by it.
            let name = c.text("name")?;
            if name.is_empty() || name.chars().any(|c| c.is_whitespace() || c.is_control()) {
                return Err(c.bad("name", "one word"));
            }
            if class_names.insert(name.to_owned(), i).is_some() {
                return Err(c.bad("name", "the name of one class only"));
            }
            class_table.push(Named::new(name));
            classes.push(Class {
                latency_objective_ms: c.num("promiseMs", plain.latency_objective_ms)?,
                timeout_ms: c.positive("deadlineMs", plain.timeout_ms)?,
                weight: c.num("worth", plain.weight)?,
                late_weight: c.num("lateWorth", plain.late_weight)?,
                weight_without_call: without.get(i).and_then(Value::as_f64).unwrap_or(0.0),
                objective_per_work: c.num("aimStretch", plain.objective_per_work)?,
                idempotency: match c.text("effect")? {
                    "idempotency_key" => Idempotency::Keyed,
                    "non_idempotent" => Idempotency::NonIdempotent,
                    "read_like" | "" => Idempotency::ReadOnly,
                    _ => return Err(c.bad("effect", "a known kind of class")),
                },
                dedup_window_ms: c.num("keyTtlMs", plain.dedup_window_ms)?,
                calls: flags.get(i).and_then(Value::as_bool).unwrap_or(false),
            });
        }
        let (mut tenant_names, mut tenant_table) = (BTreeMap::new(), Vec::new());
        let mut tenants = Vec::new();
        for (i, entry) in top.list("projects")?.iter().enumerate() {
            let t = Section::from(entry, &format!("projects[{i}]"))?;
            tenant_names.insert(t.text("name")?.to_owned(), i);
            tenant_table.push(Named::new(t.text("name")?));
            tenants.push(Tenant { quota_per_s: t.num("allowancePerS", 0.0)?, retired: false });
        }
        let gauge = |name: &Value| match name.as_str().unwrap_or("") {
            "cpu_busy" => Gauge::BusyShare,
            "runnable" => Gauge::Runnable,
            _ => Gauge::Other,
        };
        let settings = Settings {
            cold: own.flag("cold")?,
            cores: own.num("cores", base.cores)?,
            memory_kb: own.num("heapKb", base.memory_kb)?,
            running_memory_factor: own.num("runFactor", base.running_memory_factor)?,
            key_kb: own.num("keyKb", base.key_kb)?,
            tick_ms: top.num("tickMs", base.tick_ms)?,
            servers: top.num("servers", base.servers)?,
            callers: own.num("clientsTotal", base.callers)?,
            read_result_ttl_ms: own.num("freshForMs", base.read_result_ttl_ms)?,
            load_report: match own.text("signal")? {
                "level" => LoadReportKind::Level,
                "credit" => LoadReportKind::Credit,
                "weight" => LoadReportKind::Weight,
                "silent" | "" => LoadReportKind::Silent,
                _ => return Err(own.bad("signal", "a known kind of advice")),
            },
            preemption: match own.text("preemption")? {
                "drop" => Preemption::Drop,
                "pause" => Preemption::Pause,
                "silent" | "" => Preemption::Never,
                _ => return Err(own.bad("preemption", "a known way to stop work")),
            },
            max_retry_after_ms: if limits.flag("retryAfter")? {
                limits.num("maxRetryAfterMs", 0.0)?
            } else {
                0.0
            },
            caller_idle_timeout_ms: own.num("callerIdleMs", base.caller_idle_timeout_ms)?,
            call_quota: own.num("callsOut", base.call_quota)?,
            call_quota_window_ms: own.num("callsOverMs", base.call_quota_window_ms)?,
            call_linger_ms: own.num("lingerMs", base.call_linger_ms)?,
            weight_by_work: top.text("worthBy")? == "work",
            over_quota_weight: top.num("overShareWorth", base.over_quota_weight)?,
            rules: Rules {
                answer_slack_ms: rules.num("answerSlackMs", base.rules.answer_slack_ms)?,
                drain_grace_ms: rules.num("drainGraceMs", base.rules.drain_grace_ms)?,
                max_running_per_core: rules.num("fallMultiple", base.rules.max_running_per_core)?,
                warm_up_initial_speed: rules.num("startCapacity", base.rules.warm_up_initial_speed)?,
                warm_up_ms: rules.num("coldMs", base.rules.warm_up_ms)?,
            },
            classes,
            tenants,
            gauges: own.list("gauges")?.iter().map(gauge).collect(),
        };
        let registry_follows_health = own.flag("registryFollows")?;
        Ok(Site { settings, class_names, tenant_names, registry_follows_health, class_table, tenant_table })
    }

    /// The name under which requests of this class come.
    pub fn class_name(&self, class: usize) -> &str {
        self.class_table.get(class).map_or("", |named| named.name.as_str())
    }

    /// The class of requests that come under this name now; none if it is unknown or was dropped a while ago.
    pub fn class_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let class = *self.class_names.get(name)?;
        self.class_table[class].is_accepted(now_ms).then_some(class)
    }

    /// The tenant of this name; see [`Site::class_of`].
    pub fn tenant_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let tenant = *self.tenant_names.get(name)?;
        self.tenant_table[tenant].is_accepted(now_ms).then_some(tenant)
    }

    /// Whether a reload dropped this class.
    pub fn is_retired(&self, class: usize) -> bool {
        self.class_table.get(class).is_some_and(|named| named.retired_ms.is_some())
    }

    /// What is in force after these settings were read at this time, Unix ms. All indexes given out so far stand for
    /// what they stood for: what `new` does not name keeps its settings and is marked as retired.
    pub fn merged_with(&self, new: Site, now_ms: f64) -> Result<Site, SiteError> {
        let Site { mut settings, class_table, tenant_table, registry_follows_health, .. } = new;
        let classes = std::mem::replace(&mut settings.classes, self.settings.classes.clone());
        let tenants = std::mem::replace(&mut settings.tenants, self.settings.tenants.clone());
        let mut merged = Site { settings, registry_follows_health, ..self.clone() };
        merged.retire_all(now_ms);
        for (named, class) in class_table.into_iter().zip(classes) {
            merged.enter_class(named, class);
        }
        for (named, tenant) in tenant_table.into_iter().zip(tenants) {
            merged.enter_tenant(named, tenant);
        }
        let outgrown = |before: usize, after: usize, most: usize| after > before && after > most;
        if outgrown(self.class_table.len(), merged.class_table.len(), CLASSES_MOST) {
            return Err(SiteError::Full { field: "services", most: CLASSES_MOST });
        }
        if outgrown(self.tenant_table.len(), merged.tenant_table.len(), TENANTS_MOST) {
            return Err(SiteError::Full { field: "projects", most: TENANTS_MOST });
        }
        Ok(merged)
    }

    fn retire_all(&mut self, now_ms: f64) {
        for named in self.class_table.iter_mut().chain(&mut self.tenant_table) {
            named.retired_ms = named.retired_ms.or(Some(now_ms));
        }
        for tenant in &mut self.settings.tenants {
            tenant.retired = true;
        }
    }

    /// Puts a class under the index that its name has with this effect, or under a new one. Entries of the key table
    /// follow the effect kind that they were made under.
    fn enter_class(&mut self, named: Named, class: Class) {
        let classes = &mut self.settings.classes;
        let mut indexes = self.class_table.iter().zip(classes.iter());
        let is_same =
            |(known, old): (&Named, &Class)| known.name == named.name && old.idempotency == class.idempotency;
        let index = match indexes.position(is_same) {
            Some(index) => index,
            None => {
                self.class_table.push(named.clone());
                classes.push(class.clone());
                classes.len() - 1
            }
        };
        classes[index] = class;
        self.class_table[index].retired_ms = None;
        self.class_names.insert(named.name, index);
    }

    fn enter_tenant(&mut self, named: Named, tenant: Tenant) {
        let tenants = &mut self.settings.tenants;
        let index = *self.tenant_names.entry(named.name.clone()).or_insert(tenants.len());
        if index == tenants.len() {
            self.tenant_table.push(named);
            tenants.push(tenant);
        }
        tenants[index] = tenant;
        self.tenant_table[index].retired_ms = None;
    }
}
