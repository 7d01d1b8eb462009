//! Reads the settings object, as the simulator's first message and the node's configuration carry it. It owns
//! the names of that object's fields and must never decide anything from their values.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

use crate::interface::*;

type Object = Map<String, Value>;

/// A field of the settings is missing or has another type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteError {
    field: String,
    wanted: &'static str,
}

impl SiteError {
    /// The field.
    pub fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {} is missing or not {}", self.field, self.wanted)
    }
}

impl std::error::Error for SiteError {}

fn bad(field: &str, wanted: &'static str) -> SiteError {
    SiteError { field: field.to_owned(), wanted }
}

/// The settings of a site with the names that its messages use.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the controller is told.
    pub settings: Settings,
    /// Index of each class by its name.
    pub class_names: BTreeMap<String, usize>,
    /// Index of each tenant by its name.
    pub tenant_names: BTreeMap<String, usize>,
    /// The list of servers follows the health answer.
    pub listed_by_health: bool,
}

/// Reads one settings object; what is absent keeps the value of the defaults, another type is malformed.
struct Section<'a>(Option<&'a Object>);

impl<'a> Section<'a> {
    fn of(parent: &'a Object, field: &str) -> Result<Self, SiteError> {
        parent.get(field).map_or(Ok(Section(None)), |value| Section::from(value, field))
    }
    fn from(value: &'a Value, field: &str) -> Result<Self, SiteError> {
        value.as_object().map(|o| Section(Some(o))).ok_or_else(|| bad(field, "an object"))
    }
    fn read<T>(
        &self,
        field: &str,
        wanted: &'static str,
        as_type: fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, SiteError> {
        match self.0.and_then(|o| o.get(field)) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => as_type(value).map(Some).ok_or_else(|| bad(field, wanted)),
        }
    }
    fn num(&self, field: &str, default: f64) -> Result<f64, SiteError> {
        Ok(self.read(field, "a number", Value::as_f64)?.unwrap_or(default))
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
        let info = info.as_object().ok_or_else(|| bad("info", "an object"))?;
        let top = Section(Some(info));
        let own = Section::of(info, "specifics")?;
        let rules = Section::of(info, "contract")?;
        let limits = Section::of(info, "ceilings")?;
        let base = Settings::default();
        let flags = own.list("classCalls")?;
        let without = own.list("worthWithout")?;
        let mut class_names = BTreeMap::new();
        let mut classes = Vec::new();
        for (i, entry) in top.list("services")?.iter().enumerate() {
            let c = Section::from(entry, "services")?;
            let plain = Class::default();
            // The engine is told the name as one word of a line, and callers name a class by it.
            let name = c.text("name")?;
            if name.is_empty() || name.chars().any(|c| c.is_whitespace() || c.is_control()) {
                return Err(bad("name", "one word"));
            }
            if class_names.insert(name.to_owned(), i).is_some() {
                return Err(bad("name", "the name of one class only"));
            }
            classes.push(Class {
                aim_ms: c.num("promiseMs", plain.aim_ms)?,
                deadline_ms: c.num("deadlineMs", plain.deadline_ms)?,
                worth: c.num("worth", plain.worth)?,
                late_worth: c.num("lateWorth", plain.late_worth)?,
                worth_without: without.get(i).and_then(Value::as_f64).unwrap_or(0.0),
                aim_stretch: c.num("aimStretch", plain.aim_stretch)?,
                effect: match c.text("effect")? {
                    "idempotency_key" => Effect::Keyed,
                    "non_idempotent" => Effect::Unsafe,
                    "read_like" | "" => Effect::Read,
                    _ => return Err(bad("effect", "a known kind of class")),
                },
                key_window_ms: c.num("keyTtlMs", plain.key_window_ms)?,
                calls: flags.get(i).and_then(Value::as_bool).unwrap_or(false),
            });
        }
        let mut tenant_names = BTreeMap::new();
        let mut tenants = Vec::new();
        for (i, entry) in top.list("projects")?.iter().enumerate() {
            let t = Section::from(entry, "projects")?;
            tenant_names.insert(t.text("name")?.to_owned(), i);
            tenants.push(Tenant { allowance_per_s: t.num("allowancePerS", 0.0)? });
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
            run_factor: own.num("runFactor", base.run_factor)?,
            key_kb: own.num("keyKb", base.key_kb)?,
            tick_ms: top.num("tickMs", base.tick_ms)?,
            servers: top.num("servers", base.servers)?,
            callers: own.num("clientsTotal", base.callers)?,
            fresh_ms: own.num("freshForMs", base.fresh_ms)?,
            advice: match own.text("signal")? {
                "level" => AdviceKind::Level,
                "credit" => AdviceKind::Credit,
                "weight" => AdviceKind::Weight,
                "silent" | "" => AdviceKind::Silent,
                _ => return Err(bad("signal", "a known kind of advice")),
            },
            halting: match own.text("preemption")? {
                "drop" => Halting::Drops,
                "pause" => Halting::Pauses,
                "silent" | "" => Halting::Never,
                _ => return Err(bad("preemption", "a known way to stop work")),
            },
            longest_pause_ms: if limits.flag("retryAfter")? {
                limits.num("maxRetryAfterMs", 0.0)?
            } else {
                0.0
            },
            idle_ms: own.num("callerIdleMs", base.idle_ms)?,
            calls_share: own.num("callsOut", base.calls_share)?,
            calls_over_ms: own.num("callsOverMs", base.calls_over_ms)?,
            call_linger_ms: own.num("lingerMs", base.call_linger_ms)?,
            worth_by_work: top.text("worthBy")? == "work",
            over_share_worth: top.num("overShareWorth", base.over_share_worth)?,
            rules: Rules {
                answer_slack_ms: rules.num("answerSlackMs", base.rules.answer_slack_ms)?,
                drain_grace_ms: rules.num("drainGraceMs", base.rules.drain_grace_ms)?,
                crowd_per_core: rules.num("fallMultiple", base.rules.crowd_per_core)?,
                cold_speed: rules.num("startCapacity", base.rules.cold_speed)?,
                cold_ms: rules.num("coldMs", base.rules.cold_ms)?,
            },
            classes,
            tenants,
            gauges: own.list("gauges")?.iter().map(gauge).collect(),
        };
        let listed_by_health = own.flag("registryFollows")?;
        Ok(Site { settings, class_names, tenant_names, listed_by_health })
    }
}
