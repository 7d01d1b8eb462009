//! The settings of a site: those of the admission controller, and the names of classes and tenants. This
//! module keeps the indexes of classes and tenants the same over reloads, and decides nothing about requests.
//! `parse` and `section` read the settings object, which the simulator's first message and the configuration
//! file both carry.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::admission::{Class, Settings, Tenant};

mod parse;
mod section;

/// How long the name of a class or tenant is still accepted after a reload dropped it, ms. Clients learn of a
/// reload about 1.2 s late, and the requests that they sent before that are still on their way.
pub const RETIRED_GRACE_MS: f64 = 3000.0;
/// Limit of the class indexes that one process assigns over all reloads. Each index takes rows in the
/// admission controller and series in telemetry.
pub const MAX_CLASSES: usize = 256;
/// Limit of the tenant indexes that one process assigns over all reloads. Each index takes two numbers.
pub const MAX_TENANTS: usize = 4096;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteError {
    /// A field is missing or has another type.
    #[error("field {field} is missing or not {wanted}")]
    Field {
        /// Path of the field, as in `services[1].deadlineMs`.
        field: String,
        /// The accepted type or values.
        wanted: &'static str,
    },
    /// The settings need more indexes than one process assigns.
    #[error(
        "field {field} raises the number of names since the start of the process, dropped names included, \
         above {max}: restart the process, which then counts only the names in the file"
    )]
    TooManyNames {
        /// The list: `services` or `projects`.
        field: &'static str,
        /// The limit.
        max: usize,
    },
}

impl SiteError {
    /// Path of the field.
    pub fn field(&self) -> &str {
        match self {
            SiteError::Field { field, .. } => field,
            SiteError::TooManyNames { field, .. } => field,
        }
    }
}

/// The name of a class or tenant at one index.
#[derive(Clone, Debug, PartialEq)]
struct IndexedName {
    name: String,
    /// When a reload dropped the name, Unix ms; `None` while the settings contain it.
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

/// The settings of a site, with the names by which messages refer to classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Settings of the admission controller.
    pub settings: Settings,
    /// Index of each class by its name, dropped ones included.
    pub class_names: BTreeMap<String, usize>,
    /// Index of each tenant by its name, dropped ones included.
    pub tenant_names: BTreeMap<String, usize>,
    /// Whether the registration in the service registry follows the result of the health check.
    pub registry_follows_health: bool,
    /// Name of each class by its index. A name has several indexes if its idempotency changed.
    class_table: Vec<IndexedName>,
    /// Name of each tenant by its index.
    tenant_table: Vec<IndexedName>,
}

impl Site {
    /// Reads a settings object; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`SiteError::Field`] for the first field that is invalid.
    pub fn from_json(settings: &Value) -> Result<Site, SiteError> {
        parse::site(settings)
    }

    /// The name of a class; empty for an index that was not assigned.
    pub fn class_name(&self, class: usize) -> &str {
        self.class_table.get(class).map_or("", |entry| entry.name.as_str())
    }

    /// The index of the class with this name at `now_ms` (Unix ms); `None` if the name is unknown or a reload
    /// dropped it [`RETIRED_GRACE_MS`] ago or earlier.
    pub fn class_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let class = *self.class_names.get(name)?;
        self.class_table[class].is_accepted(now_ms).then_some(class)
    }

    /// The index of the tenant with this name; see [`Site::class_of`].
    pub fn tenant_of(&self, name: &str, now_ms: f64) -> Option<usize> {
        let tenant = *self.tenant_names.get(name)?;
        self.tenant_table[tenant].is_accepted(now_ms).then_some(tenant)
    }

    /// Whether a reload dropped this class.
    pub fn is_retired(&self, class: usize) -> bool {
        self.class_table.get(class).is_some_and(|entry| entry.retired_ms.is_some())
    }

    /// Returns the settings that are active after `new` was read at `now_ms` (Unix ms). All indexes keep
    /// their meaning: classes and tenants that `new` does not name keep their settings and are marked as
    /// retired.
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

    /// Stores a class at the index that its name has with this idempotency, or at a new index. Entries of the
    /// key table refer to the index, and keep the idempotency with which they were created.
    fn insert_class(&mut self, name: IndexedName, class: Class) {
        let classes = &mut self.settings.classes;
        let mut indexes = self.class_table.iter().zip(classes.iter());
        let is_same = |(known_name, known_class): (&IndexedName, &Class)| {
            known_name.name == name.name && known_class.idempotency == class.idempotency
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

    /// Stores a tenant at the index that its name has, or at a new index.
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

/// Rejects a list that grew and is longer than `max`. A list that did not grow passes, whatever its length.
fn check_growth(field: &'static str, before: usize, after: usize, max: usize) -> Result<(), SiteError> {
    if after > before && after > max {
        return Err(SiteError::TooManyNames { field, max });
    }
    Ok(())
}
