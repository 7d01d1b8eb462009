//! The settings of a site: what the admission controller is told, and the names of classes and tenants. It keeps their
//! indexes the same over reloads, and decides nothing about requests. `parse` and `section` read the settings object, which
//! the simulator's first message and the configuration file both carry.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::admission::{Class, Settings, Tenant};

mod parse;
mod section;

/// How long the name of a class or tenant that a reload dropped is still accepted, ms: clients hear of a reload about 1.2 s
/// late, and requests that they sent before are still on their way then.
pub const RETIRED_GRACE_MS: f64 = 3000.0;
/// Class indexes that one process may assign over all reloads. Each takes rows in the admission controller and series in
/// telemetry.
pub const MAX_CLASSES: usize = 256;
/// Tenant indexes that one process may assign over all reloads. Each takes two numbers.
pub const MAX_TENANTS: usize = 4096;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteError {
    /// A field is missing or has another type.
    #[error("field {field} is missing or not {wanted}")]
    Field {
        /// The field with its parents, as in `services[1].deadlineMs`.
        field: String,
        /// What it has to be.
        wanted: &'static str,
    },
    /// More indexes would be needed than one process assigns.
    #[error(
        "field {field} brings the names seen since the start, dropped ones included, above {max}: restart \
         the process, which then knows only those of the file"
    )]
    TooManyNames {
        /// The list: `services` or `projects`.
        field: &'static str,
        /// The most that there may be.
        max: usize,
    },
}

impl SiteError {
    /// The field, with its parents.
    pub fn field(&self) -> &str {
        match self {
            SiteError::Field { field, .. } => field,
            SiteError::TooManyNames { field, .. } => field,
        }
    }
}

/// The name of a class or tenant, which has an index.
#[derive(Clone, Debug, PartialEq)]
struct IndexedName {
    name: String,
    /// When a reload dropped it, Unix ms.
    retired_ms: Option<f64>,
}

impl IndexedName {
    fn new(name: &str) -> Self {
        IndexedName { name: name.to_owned(), retired_ms: None }
    }

    fn is_accepted(&self, now_ms: f64) -> bool {
        self.retired_ms.is_none_or(|since_ms| now_ms < since_ms + RETIRED_GRACE_MS)
    }
}

/// The settings of a site, with the names that its messages use.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// What the admission controller is told.
    pub settings: Settings,
    /// Index of each class by its name, dropped ones included.
    pub class_names: BTreeMap<String, usize>,
    /// Index of each tenant by its name, dropped ones included.
    pub tenant_names: BTreeMap<String, usize>,
    /// The registration in the service registry follows the health answer.
    pub registry_follows_health: bool,
    /// By class index. A name has several indexes if its idempotency changed.
    class_table: Vec<IndexedName>,
    /// By tenant index.
    tenant_table: Vec<IndexedName>,
}

impl Site {
    /// Reads a settings object; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`SiteError::Field`] for the first field that cannot be used.
    pub fn from_json(settings: &Value) -> Result<Site, SiteError> {
        parse::site(settings)
    }

    /// The name of a class; empty for an index that was not assigned.
    pub fn class_name(&self, class: usize) -> &str {
        self.class_table.get(class).map_or("", |entry| entry.name.as_str())
    }

    /// The index of the class that this name stands for at `now_ms` (Unix ms); `None` if it is unknown or was dropped more than
    /// [`RETIRED_GRACE_MS`] ago.
    pub fn class_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let class = *self.class_names.get(name)?;
        self.class_table[class].is_accepted(now_ms).then_some(class)
    }

    /// The index of the tenant of this name; see [`Site::class_of`].
    pub fn tenant_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let tenant = *self.tenant_names.get(name)?;
        self.tenant_table[tenant].is_accepted(now_ms).then_some(tenant)
    }

    /// Whether a reload dropped this class.
    pub fn is_retired(&self, class: usize) -> bool {
        self.class_table.get(class).is_some_and(|entry| entry.retired_ms.is_some())
    }

    /// The settings that are in force after `new` was read at `now_ms` (Unix ms). All indexes keep their meaning: classes and
    /// tenants that `new` does not name keep their settings and are marked as retired.
    ///
    /// # Errors
    ///
    /// [`SiteError::TooManyNames`] if the indexes exceed [`MAX_CLASSES`] or [`MAX_TENANTS`].
    pub fn merged_with(&self, new: Site, now_ms: f64) -> Result<Site, SiteError> {
        let Site { mut settings, class_table, tenant_table, registry_follows_health, .. } = new;
        let classes = std::mem::replace(&mut settings.classes, self.settings.classes.clone());
        let tenants = std::mem::replace(&mut settings.tenants, self.settings.tenants.clone());
        let mut merged = Site { settings, registry_follows_health, ..self.clone() };
        merged.retire_all(now_ms);
        for (name, class) in class_table.into_iter().zip(classes) {
            merged.insert_class(name, class);
        }
        for (name, tenant) in tenant_table.into_iter().zip(tenants) {
            merged.insert_tenant(name, tenant);
        }
        check_growth("services", self.class_table.len(), merged.class_table.len(), MAX_CLASSES)?;
        check_growth("projects", self.tenant_table.len(), merged.tenant_table.len(), MAX_TENANTS)?;
        Ok(merged)
    }

    fn retire_all(&mut self, now_ms: f64) {
        for entry in self.class_table.iter_mut().chain(&mut self.tenant_table) {
            entry.retired_ms = entry.retired_ms.or(Some(now_ms));
        }
        for tenant in &mut self.settings.tenants {
            tenant.retired = true;
        }
    }

    /// Puts a class at the index that its name has with this idempotency, or at a new one: entries of the key table
    /// follow the idempotency that they were made under.
    fn insert_class(&mut self, name: IndexedName, class: Class) {
        let classes = &mut self.settings.classes;
        let mut indexes = self.class_table.iter().zip(classes.iter());
        let is_same = |(known, old): (&IndexedName, &Class)| {
            known.name == name.name && old.idempotency == class.idempotency
        };
        let index = match indexes.position(is_same) {
            Some(index) => index,
            None => {
                self.class_table.push(name.clone());
                classes.push(class.clone());
                classes.len() - 1
            }
        };
        classes[index] = class;
        self.class_table[index].retired_ms = None;
        self.class_names.insert(name.name, index);
    }

    /// Puts a tenant at the index that its name has, or at a new one.
    fn insert_tenant(&mut self, name: IndexedName, tenant: Tenant) {
        let tenants = &mut self.settings.tenants;
        let index = *self.tenant_names.entry(name.name.clone()).or_insert(tenants.len());
        if index == tenants.len() {
            self.tenant_table.push(name);
            tenants.push(tenant);
        }
        tenants[index] = tenant;
        self.tenant_table[index].retired_ms = None;
    }
}

/// A list may be as long as it is allowed to be, or as long as it was already.
fn check_growth(field: &'static str, before: usize, after: usize, max: usize) -> Result<(), SiteError> {
    if after > before && after > max {
        return Err(SiteError::TooManyNames { field, max });
    }
    Ok(())
}
